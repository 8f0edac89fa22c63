package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// actor is one party of a scenario.
type actor struct {
	name   string
	dials  chan net.Conn // from the program
	nc     net.Conn
	msgs   chan string
	headed net.Conn

	complain func(format string, args ...any)

	mu    sync.Mutex
	hooks map[string]func() // by instant, each once
	gate  chan struct{}     // connections come up once it is closed; nil where they do at once
}

// network is what connects the actors and the program.
type network int

const (
	pipes    network = iota // in virtual time
	loopback                // in real time
)

// world is the program and the actors of a scenario.
type world struct {
	t       *testing.T
	network network
	set     aggregator.Settings

	coordinator *coordinator.Coordinator
	clients     *Server
	nodes       *ConnPool
	watch       *Watch
	ctx         context.Context // of the program
	stop        context.CancelFunc
	unwatch     context.CancelFunc // ends the watch
	watching    chan struct{}      // closed once it has ended
	serving     sync.WaitGroup     // of the connections in crowd

	// mu guards what follows.
	mu     sync.Mutex
	actors map[string]*actor
	ends   map[string]time.Time // by the query's id, when its client's time is over
	crowd  []net.Conn           // of clients that only take a place
}

// settle lets all that can happen now happen.
func (w *world) settle() {
	if w.network == loopback {
		time.Sleep(3 * time.Millisecond)
		return
	}
	synctest.Wait()
}

// pair is one connection, as its two ends see it.
func (w *world) pair() (ours, theirs net.Conn) {
	if w.network == pipes {
		return net.Pipe()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer ln.Close()
	if ours, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		w.t.Fatal(err)
	}
	if theirs, err = ln.Accept(); err != nil {
		w.t.Fatal(err)
	}
	return ours, theirs
}

// fire runs what is to happen at an instant.
func (a *actor) fire(instant string) {
	a.mu.Lock()
	f := a.hooks[instant]
	delete(a.hooks, instant)
	a.mu.Unlock()
	if f != nil {
		f()
	}
}

// at notes what is to happen at an instant.
func (a *actor) at(instant string, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hooks == nil {
		a.hooks = map[string]func(){}
	}
	a.hooks[instant] = f
}

// play runs a scenario, and checks that everything is given back at its end.
func play(t *testing.T, network network, s scenario) {
	t.Helper()
	w := newWorld(t, network, s.nodes)
	for i, line := range strings.Split(strings.TrimSpace(s.script), "\n") {
		w.settle()
		w.step(i+1, strings.TrimSpace(line))
	}
	w.end()
}

// newWorld starts the program between the actors that nodes names; a word with "=" is an option.
func newWorld(t *testing.T, network network, nodes string) *world {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	set := worldSettings(nodes)
	c, err := coordinator.New(set, 7, log, membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	w := &world{t: t, network: network, actors: map[string]*actor{}, ends: map[string]time.Time{}, set: set, ctx: ctx, stop: stop, coordinator: c,
		clients: &Server{Coordinator: c, Log: log, MaxConns: 9, BodyMemory: 2 * maxBody, RetryAfter: time.Second}}
	go c.Run(ctx)
	w.nodes = &ConnPool{Coordinator: c, Log: log, Dial: w.dial, Streams: 32, ConnectTimeout: set.Limits.ConnectTimeout,
		IdleTimeout: set.Limits.ConnIdle, Connections: make(chan struct{}, 9)}
	c.RegisterDispatcher("", w.nodes.Dispatch)
	w.watch = NewWatch("d1")
	w.watch.Source, w.watch.Log, w.watch.Dial = c.AddSource(membership.Spec{Name: "discovery"}), log, w.dial
	var list []string
	confirm := 0
	options := map[string]*int{"streams": &w.nodes.Streams, "busy": &w.clients.ActiveConns, "most": &w.clients.MaxConns, "confirm": &confirm}
	for _, id := range strings.Fields(nodes) {
		if key, n, ok := strings.Cut(id, "="); ok {
			if to := options[key]; to != nil {
				*to, _ = strconv.Atoi(n)
			}
			continue
		}
		w.actor(id)
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":%d,"state":"SERVING"}`, id, id, (id[1]+1)%2))
	}
	w.actor("d1")
	w.watch.ConfirmTimeout = time.Duration(confirm) * time.Millisecond
	w.watch.Restore(fmt.Appendf(nil, `{"version":41,"servers":[%s]}`, strings.Join(list, ",")))
	w.watching = make(chan struct{})
	var watched context.Context
	watched, w.unwatch = context.WithCancel(ctx)
	go func() { w.watch.Run(watched); close(w.watching) }()
	return w
}

// worldSettings are the settings of a scenario.
func worldSettings(nodes string) aggregator.Settings {
	set := aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 2, Shards: 4, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1,
			LateShare: 0.1, CompleteShare: 1, MinShare: 1}, {Name: "entry", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1,
			Effect: aggregator.Keyed, DedupWindow: 2 * time.Second, CompleteShare: 1, MinShare: 1}},
		Tenants: []aggregator.Tenant{{Name: "club", Rate: 100}}, CallCost: time.Millisecond,
		Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, Probes: true, SendRetryAfter: true,
			MaxRetryAfter: time.Second, ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second},
		Rules: aggregator.Rules{DrainGrace: 2 * time.Second},
	}
	if strings.Contains(nodes, "nocancel=1") {
		set.Limits.CanCancel = false
	}
	if strings.Contains(nodes, "slowstart=1") { // a data node that has just started may be sent next to nothing
		set.Rules.OverloadMultiple, set.Rules.OverloadWindow, set.Rules.InitialCapacity, set.Rules.WarmupTime = 2, time.Second, 0.001, time.Minute
	}
	return set
}

// step plays one line of a script.
func (w *world) step(number int, line string) {
	w.t.Helper()
	words := strings.SplitN(line, " ", 3)
	if words[0] == "wait" {
		d, err := time.ParseDuration(words[1])
		if err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(d)
		return
	}
	a := w.actor(words[0])
	switch words[1] {
	case "send":
		w.send(a, words[2])
	case "expect", "find":
		wait := time.Second
		if words[1] == "find" || words[2] == "-" {
			wait = 0
		}
		got, want := w.next(a, wait), words[2]
		if n := len(want); a.name[0] == 'c' && len(got) > n && !strings.Contains(want, "{") {
			got = strings.TrimSpace(got[:n]) // the status only
		}
		if diff := cmp.Diff(want, got); diff != "" {
			w.t.Errorf("line %d, %s: (-want +got)\n%s", number, line, diff)
		}
	case "close":
		a.nc.Close()
		a.nc = nil
		for <-a.msgs != "end" { // what its own reader saw of it
		}
	case "half-close":
		if err := a.nc.(*net.TCPConn).CloseWrite(); err != nil {
			w.t.Fatal(err)
		}
	case "hold":
		a.mu.Lock()
		a.gate = make(chan struct{})
		a.mu.Unlock()
	case "release":
		close(a.gate)
	case "at-read", "at-write", "at-shut":
		a.at(words[1], func() { w.instant(a, words[2]) })
	default:
		w.t.Fatalf("line %d: verb %q", number, words[1])
	}
}

// end checks that everything is given back, what is kept for connections, clients and data nodes included: with no data node
// listed and no client left, nothing may go on running.
func (w *world) end() {
	w.t.Helper()
	w.unwatch()
	for _, a := range w.actors {
		if a.nc != nil && a.name[0] != 'n' {
			a.nc.Close()
		}
	}
	w.mu.Lock()
	for _, nc := range w.crowd {
		nc.Close()
	}
	w.mu.Unlock()
	w.serving.Wait()
	<-w.watching
	w.watch.Source.ReplaceList(nil, false)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if w.network == loopback && w.givenBack() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, a := range w.actors {
		for w.accept(a); a.nc != nil; w.accept(a) {
			a.nc.Close()
			a.nc = nil
		}
	}
	w.settle()
	if len(w.nodes.Connections) > 0 {
		w.t.Errorf("%d connections were not given back", len(w.nodes.Connections))
	}
	if s := w.clients; len(s.conns)+s.active > 0 || s.bodyBytes > 0 {
		w.t.Errorf("%d client connections, %d of them used, and %d bytes are still held", len(s.conns), s.active, s.bodyBytes)
	}
	if w.coordinator.OpenCount() > 0 {
		w.t.Errorf("%d queries and parts are still held", w.coordinator.OpenCount())
	}
	w.stop()
}

// givenBack tells whether nothing is held any more.
func (w *world) givenBack() bool {
	w.clients.mu.Lock()
	defer w.clients.mu.Unlock()
	return len(w.nodes.Connections)+len(w.clients.conns)+w.coordinator.OpenCount() == 0
}

// instant does what happens at a held instant.
func (w *world) instant(a *actor, what string) {
	switch what {
	case "rest":
		w.clients.CloseIdle()
	case "crowd": // a new connection needs the place
		ours, theirs := w.pair()
		w.mu.Lock()
		w.crowd = append(w.crowd, ours)
		w.mu.Unlock()
		w.serving.Go(func() { w.clients.placeConn(theirs).run() })
		time.Sleep(50 * time.Millisecond)
	default:
		w.send(a, strings.TrimPrefix(what, "send "))
		time.Sleep(20 * time.Millisecond) // it has come in
	}
}

func (w *world) actor(name string) *actor {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.actors[name] == nil {
		w.actors[name] = &actor{name: name, complain: w.t.Errorf, dials: make(chan net.Conn, 9), msgs: make(chan string, 99)}
	}
	return w.actors[name]
}

// dial is the network as the program sees it.
func (w *world) dial(ctx context.Context, addr string) (net.Conn, error) {
	if addr[0] == 'h' {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := w.actor(addr)
	a.mu.Lock()
	gate := a.gate
	a.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ours, theirs := w.pair()
	a.dials <- theirs
	return ours, nil
}

// accept takes the next connection that the program opened, if there is one and none is in hand.
func (w *world) accept(a *actor) {
	if a.nc == nil {
		select {
		case a.nc = <-a.dials:
			if a.name[0] != 'm' {
				go w.read(a, a.nc)
			}
		default:
		}
	}
}

// next is the next message of an actor, "-" where none comes in time.
func (w *world) next(a *actor, wait time.Duration) string {
	if wait == 0 && w.network == loopback {
		time.Sleep(50 * time.Millisecond)
	}
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		w.settle()
		w.accept(a)
		w.settle()
		select {
		case msg := <-a.msgs:
			if msg == "end" && a.nc != nil {
				a.nc.Close()
				a.nc = nil
			}
			return msg
		default:
		}
		if wait == 0 || time.Now().After(end) {
			return "-"
		}
	}
}

// read turns what comes into messages.
func (w *world) read(a *actor, nc net.Conn) {
	in := textproto.NewReader(bufio.NewReader(nc))
	for {
		var msg string
		var err error
		switch a.name[0] {
		case 'c':
			msg, err = readResponse(in)
		case 'n':
			var left map[string]time.Duration
			msg, left, err = frameTimes(in.R)
			w.checkTimes(left)
		case 'd':
			if msg, err = in.ReadLine(); err == nil {
				msg = strings.TrimSuffix(msg, " HTTP/1.1")
				_, err = in.ReadMIMEHeader()
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			a.msgs <- "reset"
			return
		}
		if err != nil {
			a.msgs <- "end"
			return
		}
		a.msgs <- msg
	}
}

// checkTimes compares what parts tell of the time that is left with what their clients have left.
func (w *world) checkTimes(left map[string]time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, told := range left {
		query, _, _ := strings.Cut(id, ".")
		end, known := w.ends[query]
		if !known {
			continue
		}
		if most := time.Until(end) + 20*time.Millisecond; told > most {
			w.t.Errorf("part %s tells of %v that are left; its client waits for %v", id, told, most)
		}
	}
}

func (w *world) send(a *actor, text string) {
	if a.name[0] == 'c' && a.nc == nil {
		ours, theirs := w.pair()
		a.nc = ours
		go func() { w.clients.placeConn(&hookedConn{theirs, a}).run() }()
		go w.read(a, a.nc)
	}
	words := strings.SplitN(text, " ", 4)
	var data string
	switch {
	case text == "drain":
		w.clients.Drain(time.Now().Add(time.Minute))
		return
	case words[0] == "move":
		w.watch.Move(w.ctx, words[1])
		return
	case text == "rest":
		w.clients.CloseIdle()
		return
	case words[0] == "raw":
		var err error
		if data, err = strconv.Unquote(strings.TrimPrefix(text, "raw ")); err != nil {
			w.t.Fatal(err)
		}
	case words[0] == "part":
		n, _ := strconv.Atoi(words[2])
		data = "POST /report HTTP/1.1\r\nContent-Length: " + words[1] + "\r\n\r\n" + strings.Repeat("x", n)
	case text == "long":
		data = "GET /up HTTP/1.1\r\nX: " + strings.Repeat("x", 200_000) + "\r\n\r\n"
	case words[0] == "both": // two queries in one write
		data = w.queryText(strings.SplitN(words[1]+" "+words[2]+" 0", " ", 3), "report") + w.queryText(strings.SplitN(words[3], " ", 3), "report")
	case words[0] == "query", words[0] == "entry":
		data = w.queryText(words[1:], words[0])
	case words[0] == "A":
		value := ""
		if len(words) > 3 {
			value = words[3]
		}
		data = frameOf(fmt.Sprintf("A%s %s 1 util=0.5,odd=x\n%s", words[1], words[2], value))
	case words[0] == "L":
		data = frameOf("L" + strings.TrimPrefix(text, "L "))
	case words[0] == "page", words[0] == "line", words[0] == "indented", words[0] == "restarted":
		line := strings.TrimSpace(strings.TrimPrefix(text, words[0])) + "\n"
		switch words[0] {
		case "line":
			line = "\n"
		case "indented":
			var out bytes.Buffer
			if err := json.Indent(&out, []byte(line), "", "  "); err != nil {
				w.t.Fatal(err)
			}
			line = out.String()
		case "restarted":
			line = fmt.Sprintf(`{"version":42,"servers":[{"id":%q,"addr":%[1]q,"cell":0,"state":"SERVING","started_ms":%d}]}`+"\n",
				words[1], time.Now().UnixMilli())
		}
		if a.headed != a.nc { // the head of the watch's answer, once a connection
			a.headed = a.nc
			data = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		}
		data += fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	}
	nc := a.nc
	if nc == nil {
		w.t.Errorf("%s has no connection to send %q on", a.name, text)
		return
	}
	go func() { io.WriteString(nc, data) }() // a pipe takes what is read only
	w.settle()
}

// queryText is a query: its id, its time in ms, its shards and maybe its key.
func (w *world) queryText(words []string, kind string) string {
	class, key, shards := "report", "", words[2]
	if kind == "entry" {
		class = "entry"
		shards, key, _ = strings.Cut(shards, " ")
		key = "Idempotency-Key: " + key + "\r\n"
	}
	var parts []string
	for _, shard := range strings.Split(shards, ",") {
		parts = append(parts, fmt.Sprintf(`{"shard":%s,"weight":%g}`, shard, 1/float64(1+strings.Count(shards, ","))))
	}
	body := `{"shards":[` + strings.Join(parts, ",") + `],"q":"text"}`
	if ms, err := strconv.Atoi(words[1]); err == nil {
		w.mu.Lock()
		w.ends[words[0]] = time.Now().Add(time.Duration(ms) * time.Millisecond)
		w.mu.Unlock()
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nReq-Id: %s\r\nReq-Owner: club\r\nReq-Deadline-Ms: %s\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, words[0], words[1], key, len(body), body)
}

package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// actor is a client, a data node, a discovery address or the signal source of a scenario.
type actor struct {
	name         string
	dials        chan net.Conn // connections that the program has opened
	nc           net.Conn
	msgs         chan string
	headerSentOn net.Conn // connection on which the response header was sent

	errorf func(format string, args ...any)

	mu    sync.Mutex
	hooks map[string]func() // by the event that runs them, each once
	gate  chan struct{}     // dials succeed once it is closed; nil: at once
}

// network is the kind of connection between the actors and the program.
type network int

const (
	pipes    network = iota // in virtual time
	loopback                // in real time
)

// harness holds the program and the actors of a scenario.
type harness struct {
	t       *testing.T
	network network
	set     aggregator.Settings

	coordinator *coordinator.Coordinator
	clients     *Server
	nodes       *ConnPool
	watch       *Watch
	ctx         context.Context // context of the program
	stop        context.CancelFunc
	unwatch     context.CancelFunc // ends the watch
	watchDone   chan struct{}      // closed once the watch has ended
	pages       atomic.Int64       // pages of discovery that the program has applied
	serveExtra  sync.WaitGroup     // goroutines that serve the connections in extraConns

	// mu guards the fields below.
	mu         sync.Mutex
	actors     map[string]*actor
	deadlines  map[string]time.Time // deadlines of queries at the client, by id
	extraConns []net.Conn           // of clients that only occupy a connection
}

// waitSettled waits until the program has processed all input.
func (h *harness) waitSettled() {
	if h.network == loopback {
		time.Sleep(3 * time.Millisecond)
		return
	}
	synctest.Wait()
}

// noticeTimeout is how long the program may take to notice an event on a loopback connection. The rules allow so long from a client's
// close to the last attempt for it, and longer for a drain.
const noticeTimeout = 100 * time.Millisecond

// waitNoticed waits on loopback connections until the program has noticed an event, at most for noticeTimeout. The next step of the script
// may then rely on it also on a busy machine. On pipes waitSettled is enough.
func (h *harness) waitNoticed(noticed func() bool) {
	for end := time.Now().Add(noticeTimeout); h.network == loopback && !noticed() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// openConns returns the number of client connections that the program holds.
func (h *harness) openConns() int {
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	return len(h.clients.conns)
}

// connPair returns the two ends of a new connection.
func (h *harness) connPair() (ours, theirs net.Conn) {
	if h.network == pipes {
		return net.Pipe()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	defer ln.Close()
	if ours, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		h.t.Fatal(err)
	}
	if theirs, err = ln.Accept(); err != nil {
		h.t.Fatal(err)
	}
	return ours, theirs
}

// runHook runs the hook for an event, if one is set, and removes it.
func (a *actor) runHook(event string) {
	a.mu.Lock()
	f := a.hooks[event]
	delete(a.hooks, event)
	a.mu.Unlock()
	if f != nil {
		f()
	}
}

// setHook sets the hook for an event.
func (a *actor) setHook(event string, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hooks == nil {
		a.hooks = map[string]func(){}
	}
	a.hooks[event] = f
}

// runScenario runs a scenario, and checks at its end that all resources are released.
func runScenario(t *testing.T, network network, s scenario) {
	t.Helper()
	h := newHarness(t, network, s.nodes)
	for i, line := range strings.Split(strings.TrimSpace(s.script), "\n") {
		h.waitSettled()
		h.runStep(i+1, strings.TrimSpace(line))
	}
	h.checkReleased()
}

// newHarness starts the program with the data nodes named in nodes; a word with "=" is an option.
func newHarness(t *testing.T, network network, nodes string) *harness {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	set := scenarioSettings(nodes)
	c, err := coordinator.New(set, 7, log, membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	h := &harness{t: t, network: network, actors: map[string]*actor{}, deadlines: map[string]time.Time{}, set: set, ctx: ctx, stop: stop, coordinator: c,
		clients: &Server{Coordinator: c, Log: log, MaxConns: 9, BodyMemory: 2 * maxBody, RetryAfter: time.Second}}
	go c.Run(ctx)
	h.nodes = &ConnPool{Coordinator: c, Log: log, Dial: h.dial, Streams: 32, ConnectTimeout: set.Limits.ConnectTimeout,
		IdleTimeout: set.Limits.ConnIdle, Descriptors: make(chan struct{}, 9)}
	c.RegisterDispatcher("", h.nodes.Dispatch)
	h.watch = NewWatch("d1")
	h.watch.Source, h.watch.Log, h.watch.Dial = c.AddSource(membership.Spec{Name: "discovery"}), log, h.dial
	var list []string
	confirm := 0
	options := map[string]*int{"streams": &h.nodes.Streams, "activeconns": &h.clients.MaxActiveConns, "maxconns": &h.clients.MaxConns, "confirm": &confirm}
	for _, id := range strings.Fields(nodes) {
		if key, n, ok := strings.Cut(id, "="); ok {
			if to := options[key]; to != nil {
				*to, _ = strconv.Atoi(n)
			}
			continue
		}
		h.actor(id)
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":%d,"state":"SERVING"}`, id, id, (id[1]+1)%2))
	}
	h.actor("d1")
	h.watch.Persist = func([]byte) { h.pages.Add(1) }
	h.watch.ConfirmTimeout = time.Duration(confirm) * time.Millisecond
	h.watch.Restore(fmt.Appendf(nil, `{"version":41,"servers":[%s]}`, strings.Join(list, ",")))
	h.watchDone = make(chan struct{})
	var watched context.Context
	watched, h.unwatch = context.WithCancel(ctx)
	go func() { h.watch.Run(watched); close(h.watchDone) }()
	return h
}

// scenarioSettings returns the settings of a scenario.
func scenarioSettings(nodes string) aggregator.Settings {
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
	if strings.Contains(nodes, "slowstart=1") { // a newly started data node may be sent almost nothing
		set.Rules.OverloadMultiple, set.Rules.OverloadWindow, set.Rules.InitialCapacity, set.Rules.WarmupTime = 2, time.Second, 0.001, time.Minute
	}
	return set
}

// runStep runs one line of a script.
func (h *harness) runStep(number int, line string) {
	h.t.Helper()
	words := strings.SplitN(line, " ", 3)
	if words[0] == "wait" {
		d, err := time.ParseDuration(words[1])
		if err != nil {
			h.t.Fatal(err)
		}
		time.Sleep(d)
		return
	}
	a := h.actor(words[0])
	switch words[1] {
	case "send":
		h.send(a, words[2])
	case "expect", "expect-now":
		wait := time.Second
		if words[1] == "expect-now" || words[2] == "-" {
			wait = 0
		}
		got, want := h.next(a, wait), words[2]
		if n := len(want); a.name[0] == 'c' && len(got) > n && !strings.Contains(want, "{") {
			got = strings.TrimSpace(got[:n]) // compare the status only
		}
		if diff := cmp.Diff(want, got); diff != "" {
			h.t.Errorf("line %d, %s: (-want +got)\n%s", number, line, diff)
		}
	case "close":
		held := h.openConns()
		a.nc.Close()
		a.nc = nil
		for <-a.msgs != "end" { // discard what its reader still received
		}
		if a.name[0] == 'c' {
			h.waitNoticed(func() bool { return h.openConns() < held })
		}
	case "half-close":
		if err := a.nc.(*net.TCPConn).CloseWrite(); err != nil {
			h.t.Fatal(err)
		}
	case "hold":
		a.mu.Lock()
		a.gate = make(chan struct{})
		a.mu.Unlock()
	case "release":
		close(a.gate)
	case "at-read", "at-write", "at-close-write":
		a.setHook(words[1], func() { h.runHookAction(a, words[2]) })
	default:
		h.t.Fatalf("line %d: verb %q", number, words[1])
	}
}

// checkReleased checks that all resources are released, including those held for connections, clients and data nodes: with no data node
// listed and no client left, nothing may keep running.
func (h *harness) checkReleased() {
	h.t.Helper()
	h.unwatch()
	for _, a := range h.actors {
		if a.nc != nil && a.name[0] != 'n' {
			a.nc.Close()
		}
	}
	h.mu.Lock()
	for _, nc := range h.extraConns {
		nc.Close()
	}
	h.mu.Unlock()
	h.serveExtra.Wait()
	<-h.watchDone
	h.watch.Source.ReplaceList(nil, false)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if h.network == loopback && h.allReleased() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, a := range h.actors {
		for h.accept(a); a.nc != nil; h.accept(a) {
			a.nc.Close()
			a.nc = nil
		}
	}
	h.waitSettled()
	if len(h.nodes.Descriptors) > 0 {
		h.t.Errorf("%d connections were not released", len(h.nodes.Descriptors))
	}
	if s := h.clients; len(s.conns)+s.active > 0 || s.bodyBytes > 0 {
		h.t.Errorf("%d client connections, %d of them used, and %d bytes are still held", len(s.conns), s.active, s.bodyBytes)
	}
	if h.coordinator.OpenCount() > 0 {
		h.t.Errorf("%d queries and parts are still held", h.coordinator.OpenCount())
	}
	h.stop()
}

// allReleased reports whether all resources are released.
func (h *harness) allReleased() bool {
	h.clients.mu.Lock()
	defer h.clients.mu.Unlock()
	return len(h.nodes.Descriptors)+len(h.clients.conns)+h.coordinator.OpenCount() == 0
}

// runHookAction runs the action of a hook.
func (h *harness) runHookAction(a *actor, action string) {
	switch action {
	case "close-idle":
		h.clients.CloseIdle()
	case "new-conn": // a new connection needs room
		ours, theirs := h.connPair()
		h.mu.Lock()
		h.extraConns = append(h.extraConns, ours)
		h.mu.Unlock()
		h.serveExtra.Go(func() { h.serveConn(theirs) })
		time.Sleep(50 * time.Millisecond)
	default:
		h.send(a, strings.TrimPrefix(action, "send "))
		time.Sleep(20 * time.Millisecond) // until the program has received it
	}
}

// actor returns the actor of that name, and creates it if needed.
func (h *harness) actor(name string) *actor {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.actors[name] == nil {
		h.actors[name] = &actor{name: name, errorf: h.t.Errorf, dials: make(chan net.Conn, 9), msgs: make(chan string, 99)}
	}
	return h.actors[name]
}

// dial opens connections for the program.
func (h *harness) dial(ctx context.Context, addr string) (net.Conn, error) {
	if addr[0] == 'h' {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := h.actor(addr)
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
	ours, theirs := h.connPair()
	a.dials <- theirs
	return ours, nil
}

// accept takes the next connection that the program has opened, unless the actor already has one.
func (h *harness) accept(a *actor) {
	if a.nc == nil {
		select {
		case a.nc = <-a.dials:
			if a.name[0] != 'm' {
				go h.readMessages(a, a.nc)
			}
		default:
		}
	}
}

// next returns the next message that an actor receives, "-" if none arrives within wait.
func (h *harness) next(a *actor, wait time.Duration) string {
	if wait == 0 && h.network == loopback {
		time.Sleep(50 * time.Millisecond)
	}
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		h.waitSettled()
		h.accept(a)
		h.waitSettled()
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

// readMessages converts what arrives on a connection to messages.
func (h *harness) readMessages(a *actor, nc net.Conn) {
	in := textproto.NewReader(bufio.NewReader(nc))
	for {
		var msg string
		var err error
		switch a.name[0] {
		case 'c':
			msg, err = readResponse(in)
		case 'n':
			var left map[string]time.Duration
			msg, left, err = readFrame(in.R)
			h.checkTimeLeft(left)
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

// checkTimeLeft checks that the time left given for parts does not exceed that of their clients by more than 20 ms.
func (h *harness) checkTimeLeft(left map[string]time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, timeLeft := range left {
		query, _, _ := strings.Cut(id, ".")
		end, known := h.deadlines[query]
		if !known {
			continue
		}
		if limit := time.Until(end) + 20*time.Millisecond; timeLeft > limit {
			h.t.Errorf("part %s has %v left; its client waits for at most %v", id, timeLeft, limit)
		}
	}
}

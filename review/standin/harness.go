//go:build review

// Command standin plays the cases of the review: it starts the coordinator as a process of its own, with the run command of the
// deploy file, between stand-ins for discovery, data nodes and clients, and checks one rule of the pages. Everything is on loopback
// addresses and the real clock.
//
//	standin CASE FOLDER
//
// RUN holds the run command, ROOT the root of the repository. TROUBLE=0 leaves the disruption out. The exit status is 0 if the rule
// held, 1 if it was broken, 2 if the case could not run. FOLDER/record.txt gets what was sent, answered and run.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// The bounds and slacks of the pages.
const (
	timeSlack  = 50 * time.Millisecond  // each time limit grows by it
	heldUp     = 150 * time.Millisecond // a coordinator may be held up for so long between its clock and the write
	lateAnswer = 500 * time.Millisecond // up to so long after its time an answer only earns nothing
	leaveSlack = 100 * time.Millisecond // an attempt that begins later than so long after its client left is a break
)

// world is one run: the record, the coordinator and the temporary folder.
type world struct {
	trouble bool
	start   time.Time
	dir     string // temporary folder, removed at the end

	mu      sync.Mutex
	record  *bufio.Writer
	crashed string // how a coordinator ended that was not told to

	coordinators []*coordinator
	closers      []func()
}

// cases are the cases by name. Each returns the breaks that it found.
var cases = map[string]func(*world) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit status.
func play(name, folder string) (status int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), dir: dir, record: bufio.NewWriter(file)}
	// A case ends within its own bounds; this ends one that does not, and its processes with it.
	time.AfterFunc(110*time.Second, func() {
		fmt.Println("the case did not end in time")
		w.abort()
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.abort()
	}()
	w.logf("case %s, trouble %v", name, w.trouble)
	breaks, err := cases[name](w)
	w.killAll()
	for _, b := range breaks {
		w.logf("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		status = failed
	case len(breaks) > 0:
		status = broken
	default:
		w.logf("the rule held")
		fmt.Println("the rule held")
	}
	w.mu.Lock()
	_ = w.record.Flush()
	_ = file.Close()
	w.mu.Unlock()
	for _, f := range w.closers {
		f()
	}
	_ = os.RemoveAll(dir)
	return status
}

// abort ends a run that can't be judged.
func (w *world) abort() {
	w.killAll()
	_ = os.RemoveAll(w.dir)
	os.Exit(failed)
}

// logf writes a line with the time since the start into the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.4f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// coordinator is a coordinator process.
type coordinator struct {
	addr   string
	cmd    *exec.Cmd
	ended  chan struct{}
	ending bool // it was told to end
}

// config is the configuration of a coordinator, in the form of the deployment page.
type config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Settings  map[string]any `json:"settings"`
}

// startCoordinator starts a coordinator by the run command, from the root, and waits until it is ready.
func (w *world) startCoordinator(name, discovery string, sockets int, settings map[string]any) (*coordinator, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	seed := fmt.Sprintf("%016x", uint64(time.Now().UnixNano()))
	c := config{Name: name, Listen: addr, Discovery: discovery, Seed: seed, Settings: settings,
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets}}
	data, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return nil, err
	}
	path, tmp := filepath.Join(w.dir, name+".json"), filepath.Join(w.dir, name)
	if err := errors.Join(os.WriteFile(path, data, 0o600), os.Mkdir(tmp, 0o700)); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	run := os.Getenv("RUN")
	if run == "" {
		return nil, errors.New("RUN is not set")
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = os.Getenv("ROOT"), logFile, logFile
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "NODE_NAME=" + name, "NODE_LISTEN=" + addr,
		"NODE_DISCOVERY=" + discovery, "NODE_CONFIG=" + path}
	// The coordinator ends with this process, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &coordinator{addr: addr, cmd: cmd, ended: make(chan struct{})}
	w.coordinators = append(w.coordinators, p)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		w.mu.Lock()
		if !p.ending {
			w.crashed = fmt.Sprintf("%s: %v", name, err)
		}
		w.mu.Unlock()
		close(p.ended)
	}()
	w.logf("coordinator %s started at %s, settings %s", name, addr, must(json.Marshal(settings)))
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ready(addr) {
			w.logf("coordinator %s ready", name)
			return p, nil
		}
	}
	log, _ := os.ReadFile(logFile.Name())
	return nil, fmt.Errorf("%s is not ready: %s", name, bytes.TrimSpace(log))
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// ready reports whether GET /up answers 200.
func ready(addr string) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + addr + "/up")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// killAll ends the coordinators that still run, and appends their logs to the record.
func (w *world) killAll() {
	for _, p := range w.coordinators {
		w.mu.Lock()
		p.ending = true
		w.mu.Unlock()
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if len(data) > 200<<10 {
			data = data[:200<<10]
		}
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			w.logf("log of %s: %s", strings.TrimSuffix(filepath.Base(path), ".log"), line)
		}
	}
	w.coordinators = nil
}

// crash returns how a coordinator ended by itself; empty if none did.
func (w *world) crash() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// server is one entry of discovery's list.
type server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// discovery is the agent of one coordinator: it answers at once, with what it has.
type discovery struct {
	w    *world
	addr string

	mu      sync.Mutex
	version int64
	servers []server
	changes map[chan []server]bool
}

// startDiscovery starts an agent that lists the given servers.
func (w *world) startDiscovery(servers []server) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, addr: ln.Addr().String(), version: 1, servers: servers, changes: map[chan []server]bool{}}
	h := &http.Server{Handler: d}
	go func() { _ = h.Serve(ln) }()
	w.closers = append(w.closers, func() { _ = h.Close() })
	w.logf("discovery at %s lists %s", d.addr, must(json.Marshal(servers)))
	return d, nil
}

// ServeHTTP serves the whole list, or a watch.
func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	page := must(json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.servers}))
	news := make(chan []server, 64)
	if r.URL.Query().Get("watch") != "" {
		d.changes[news] = true
	}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.changes, news)
		d.mu.Unlock()
	}()
	_, _ = rw.Write(append(page, '\n'))
	if r.URL.Query().Get("watch") == "" {
		return
	}
	flush := func() { _ = http.NewResponseController(rw).Flush() }
	flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case changed := <-news:
			d.mu.Lock()
			line := must(json.Marshal(map[string]any{"version": d.version, "full": false, "servers": changed}))
			d.mu.Unlock()
			_, _ = rw.Write(append(line, '\n'))
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(rw, "\n")
		}
		flush()
	}
}

// attempt is a part that a data node has got.
type attempt struct {
	at    time.Time
	node  *dataNode
	conn  *nodeConn
	id    string
	shard int
	list  string
	text  string
}

// key returns the idempotency key of the attempt's list.
func (a *attempt) key() string {
	for _, item := range strings.Split(a.list, ",") {
		if key, ok := strings.CutPrefix(item, "k="); ok {
			return key
		}
	}
	return ""
}

// dataNode is a stand-in for a data node. Its serve function says what becomes of each part.
type dataNode struct {
	w     *world
	id    string
	addr  string
	serve func(*attempt)

	mu    sync.Mutex
	conns map[*nodeConn]bool
}

// nodeConn is a connection of a data node.
type nodeConn struct {
	node *dataNode
	conn net.Conn

	mu     sync.Mutex // guards gone, and serializes writes
	gone   map[string]bool
	closed bool
}

// startNode starts a data node.
func (w *world) startNode(id string, serve func(*attempt)) (*dataNode, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &dataNode{w: w, id: id, addr: ln.Addr().String(), serve: serve, conns: map[*nodeConn]bool{}}
	w.closers = append(w.closers, func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c := &nodeConn{node: n, conn: nc, gone: map[string]bool{}}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go c.read()
		}
	}()
	return n, nil
}

// resetAll resets all connections of a data node.
func (n *dataNode) resetAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.conn.Close()
	}
}

// read reads frames until the connection ends.
func (c *nodeConn) read() {
	defer func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		_ = c.conn.Close()
		c.node.mu.Lock()
		delete(c.node.conns, c)
		c.node.mu.Unlock()
	}()
	in := bufio.NewReader(c.conn)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := int(head[0]) | int(head[1])<<8 | int(head[2])<<16 | int(head[3])<<24
		if size < 1 || size > 1<<20 {
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		if !c.handle(body[0], body[1:]) {
			return
		}
	}
}

// handle handles one frame; false ends the connection.
func (c *nodeConn) handle(letter byte, rest []byte) bool {
	switch letter {
	case 'P':
		c.write("P", "ok")
	case 'L':
		c.write("L", "-")
	case 'X':
		c.node.w.logf("%s gets X %s", c.node.id, rest)
		c.mu.Lock()
		c.gone[string(rest)] = true
		c.mu.Unlock()
	case 'Q':
		return c.call(rest)
	}
	return true
}

// call hands the parts of a call to serve.
func (c *nodeConn) call(rest []byte) bool {
	now := time.Now()
	for len(rest) > 0 {
		line, after, ok := bytes.Cut(rest, []byte("\n"))
		words := strings.Fields(string(line))
		if !ok || len(words) != 4 {
			return false
		}
		shard, err1 := strconv.Atoi(words[1])
		n, err2 := strconv.Atoi(words[3])
		if err1 != nil || err2 != nil || n < 0 || n > len(after) {
			return false
		}
		a := &attempt{at: now, node: c.node, conn: c, id: words[0], shard: shard, list: words[2], text: string(after[:n])}
		rest = after[n:]
		c.mu.Lock()
		delete(c.gone, a.id)
		c.mu.Unlock()
		c.node.w.logf("%s gets part %s, shard %d, list %s, text %q", c.node.id, a.id, a.shard, a.list, a.text)
		go c.node.serve(a)
	}
	return true
}

// write writes one frame.
func (c *nodeConn) write(letter, text string) {
	n := 1 + len(text)
	c.writeRaw(append([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}, letter+text...))
}

func (c *nodeConn) writeRaw(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		_ = c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, _ = c.conn.Write(data)
	}
}

// givenUp reports whether the coordinator has given the attempt up, or its connection has ended.
func (a *attempt) givenUp() bool {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	return a.conn.closed || a.conn.gone[a.id]
}

// answer answers the attempt, unless it was given up.
func (a *attempt) answer(end, value string) {
	if a.givenUp() {
		return
	}
	a.node.w.logf("%s answers %s %s, %d bytes", a.node.id, a.id, end, len(value))
	a.conn.write("A", fmt.Sprintf("%s %s 1 -\n%s", a.id, end, value))
}

// part is a part of a client's query.
type part struct {
	Shard  int     `json:"shard"`
	Weight float64 `json:"weight"`
}

// request is a client's request.
type request struct {
	id, class, owner, key, text string
	deadline                    time.Duration
	parts                       []part
}

// encode returns the request's bytes.
func (r *request) encode() []byte {
	body := must(json.Marshal(map[string]any{"shards": r.parts, "q": r.text}))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\n", r.class, r.id, r.owner,
		r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.key)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// response is the answer to a request.
type response struct {
	status   int
	complete bool
	docs     map[int]string
	took     time.Duration
	written  bool  // the request was written whole
	shut     bool  // the connection was closed or reset before an answer began
	err      error // there is no whole answer
}

func (r response) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", r.took.Seconds(), r.err)
	}
	return fmt.Sprintf("%d after %.3f s, complete %v, %d parts", r.status, r.took.Seconds(), r.complete, len(r.docs))
}

// readResponse reads an answer.
func readResponse(in *bufio.Reader, sent time.Time) (r response) {
	h, err := http.ReadResponse(in, nil)
	if err != nil {
		return response{err: err, took: time.Since(sent)}
	}
	body, err := io.ReadAll(h.Body)
	_ = h.Body.Close()
	r = response{status: h.StatusCode, err: err, took: time.Since(sent), docs: map[int]string{}}
	var answer struct {
		Complete bool
		Hits     []struct {
			Shard int
			Doc   string
		}
	}
	if err == nil && h.StatusCode == http.StatusOK {
		r.err = json.Unmarshal(body, &answer)
		r.complete = answer.Complete
		for _, hit := range answer.Hits {
			r.docs[hit.Shard] = hit.Doc
		}
	}
	return r
}

// send sends a request on a new connection and waits for its answer until its time is over, and half a second and the slacks more.
func (w *world) send(addr string, r *request) (answer response) {
	begun := time.Now()
	nc, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return response{err: fmt.Errorf("connect: %w", err), took: time.Since(begun)}
	}
	defer nc.Close()
	if _, err := nc.Write(r.encode()); err != nil {
		return response{err: fmt.Errorf("write: %w", err), took: time.Since(begun)}
	}
	sent := time.Now()
	w.logf("client sends %s %s, deadline %d ms, %d parts", r.class, r.id, r.deadline.Milliseconds(), len(r.parts))
	_ = nc.SetReadDeadline(sent.Add(r.deadline + lateAnswer + timeSlack + heldUp))
	answer = readResponse(bufio.NewReader(nc), sent)
	answer.written = true
	answer.shut = answer.err != nil && !errors.Is(answer.err, os.ErrDeadlineExceeded)
	w.logf("client got for %s: %v", r.id, answer)
	return answer
}

// baseSettings returns settings like those of a small deployment.
func baseSettings(classes []map[string]any, family, limits map[string]any) map[string]any {
	all := map[string]any{"Cancel": true, "SendCap": 3, "ConnectTimeoutS": 0.25, "ConnIdleS": 30.0, "StreamsPerConn": 32, "RetryAfter": true,
		"MaxRetryAfterS": 2.0, "MayProbe": true, "MaxOpen": 400}
	for k, v := range limits {
		all[k] = v
	}
	return map[string]any{"TickS": 0.005, "Az": "a", "Balancers": 1, "Me": 0, "Discovery": "automatic", "Classes": classes, "FamilyInfo": family,
		"Limits": all, "Zones": []string{"a"},
		"Rules": map[string]any{"AnswerSlackS": 0.02, "DrainGraceS": 2.0, "FallMultiple": 2.0, "StartCapacity": 0.28, "TipAfterS": 1.5, "WarmAfterS": 17.0}}
}

package platform

// This file owns the connections to data nodes and the frames on them. Each connection has one writer, which
// alone settles what is out on it when it ends. It must never hold up the core, write a part to a data node
// that the list bars, report a give-up before the data node was told or the connection was closed, or take for a
// part's value what may be anything else: a connection on which that can't be told is closed.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unicode/utf8"

	"gullfall/internal/coordinator"
)

const (
	maxFrameBytes = maxBody + 1<<10 // the longest frame that a data node may send
	maxFrameLine  = 1 << 10         // and the longest line in it
	// frameTime is how long a frame may take from its first byte to its last. Data nodes write frames whole.
	readFrameTimeout = 100 * time.Millisecond
	// writeFrameTime is how long a frame may take to be written: what it tells of the time left holds when it is begun, and
	// may be too much by 150 ms at its end.
	writeFrameTimeout = 140 * time.Millisecond
	// staleTime is how long after its deadline an answer may come to a part that was given up.
	lateAnswerWindow = 10 * time.Second
	// A connection that does not come up within the settings' time goes on for lateTimes that, for the parts that come
	// next; those that waited for it are told at once.
	lateConnectFactor = 8
	// spareTime is how long a data node's second connection is kept idle, and any further.
	extraConnIdleTimeout = 2 * time.Second
)

// errSpoilt marks what a data node should not have sent. Its connection can't be read any further.
var errCorrupt = errors.New("not understood")

// errSlots marks a connection for which no descriptor came free.
var errNoDescriptor = errors.New("no descriptor left")

// Nodes carries orders to data nodes. Its exported fields are set before its first use.
type ConnPool struct {
	Coordinator    *coordinator.Coordinator
	Log            *slog.Logger
	Dial           func(ctx context.Context, addr string) (net.Conn, error)
	Streams        int           // parts that one connection carries at once
	ConnectTimeout time.Duration // within which a connection comes up, a frame is written, a probe is answered
	IdleTimeout    time.Duration // after which the peer closes an idle connection; 0 where not known
	Slots          chan struct{} // one for each connection that may be open

	mu    sync.Mutex // guards links; taken before a link's own
	pools map[*nodePool]bool
}

// link is all connections to one data node.
type nodePool struct {
	*ConnPool
	node *coordinator.Node

	mu    sync.Mutex // guards conns and the fields of each
	conns []*nodeConn
}

type nodeConn struct {
	pool         *nodePool
	wake         chan struct{}
	queue        []queuedFrame
	pending      map[string]*pendingAttempt
	probes       []*probe // written, in order of their answers
	stale        map[string]time.Time
	netConn      net.Conn // nil while it comes up
	lastAnswered string   // the part answered last
	hasSlot      bool     // it has a descriptor
	closed       bool
	late         bool               // it has not come up in time: nothing waits for it any more
	cancel       context.CancelFunc // ends the attempt to open it; nil while there is none
	wroteFrame   bool               // a frame went out on it since it was opened last
	inFrame      bool               // a frame has begun to come in
	corrupt      bool               // ended for what came in on it
	unresponsive bool               // an attempt was given up on it and nothing was heard since that was sent
	lastReceived time.Time          // last frame
	lastUsed     time.Time          // last frame either way
}

// sent is an attempt that is queued or out on a connection.
type pendingAttempt struct {
	*coordinator.Attempt
	begunAt    time.Time // when its frame was begun; zero while queued
	cancelling bool
}

type probe struct{ done bool }

// frame is one that waits to be written; one field is set.
type queuedFrame struct {
	call   []*pendingAttempt
	cancel *pendingAttempt
	probe  *probe
}

// Dispatch serves one data node until it has left the list.
func (ns *ConnPool) Dispatch(n *coordinator.Node) {
	l := &nodePool{ConnPool: ns, node: n}
	ns.list(l, true)
	defer ns.list(l, false)
	for {
		o := n.Pick(context.Background())
		switch {
		case o == nil:
			l.closeIdle()
			return
		case o.Call != nil:
			l.send(o.Call)
		case o.Cancel != nil:
			l.cancel(o.Cancel)
		case o.RejectQueued:
			l.rejectUnsent()
		case o.Probe:
			l.sendProbe()
		case o.CloseIdle:
			l.closeIdle()
		}
	}
}

// list notes a data node's connections for as long as it is served.
func (ns *ConnPool) list(l *nodePool, on bool) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if ns.pools == nil {
		ns.pools = map[*nodePool]bool{}
	}
	if ns.pools[l] = true; !on {
		delete(ns.pools, l)
	}
}

// reap closes the connection that carries nothing and was used least lately, so that its descriptor comes free: where
// there are more data nodes than descriptors for them, each gets one in turn. No link's lock may be held.
func (ns *ConnPool) closeIdlest() {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	var oldest *nodeConn
	var used time.Time
	for l := range ns.pools {
		l.mu.Lock()
		for _, c := range l.conns {
			if (c.netConn != nil || c.late) && c.isIdle() && (oldest == nil || c.lastUsed.Before(used)) {
				oldest, used = c, c.lastUsed
			}
		}
		l.mu.Unlock()
	}
	if oldest == nil {
		return
	}
	oldest.pool.mu.Lock()
	defer oldest.pool.mu.Unlock()
	if oldest.isIdle() {
		oldest.close()
	}
}

// room returns a connection with room for a call, opening one where there is none. One stream stays free, since behind
// the last one frames wait unread, those that give parts up included. A part that was given up on a connection does not
// go out on it again: a late answer to the first sending could not be told from one to the second.
func (l *nodePool) acquire(call []*coordinator.Attempt) *nodeConn {
	now := time.Now()
next:
	for _, c := range l.conns {
		if c.closed || c.late || c.unresponsive || c.inFrame || len(c.pending)+len(call) > max(l.Streams-1, len(call)) || c.idleExpired(now) {
			continue
		}
		for _, a := range call {
			if _, again := c.stale[a.ID]; again || c.pending[a.ID] != nil {
				continue next
			}
		}
		return c
	}
	c := &nodeConn{pool: l, lastUsed: now, wake: make(chan struct{}, 1), pending: map[string]*pendingAttempt{}, stale: map[string]time.Time{}}
	select {
	case l.Slots <- struct{}{}:
		c.hasSlot = true
	default: // run waits for what comes free
	}
	l.conns = append(l.conns, c)
	go c.run()
	return c
}

func (l *nodePool) send(call []*coordinator.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.acquire(call)
	f := queuedFrame{}
	for _, a := range call {
		s := &pendingAttempt{Attempt: a}
		c.pending[a.ID] = s
		f.call = append(f.call, s)
	}
	c.enqueue(f)
}

// drop gives up an attempt. What was not begun is only forgotten; else an X frame follows it, or the connection is
// closed where it carries so many parts that the data node reads no further.
func (l *nodePool) cancel(a *coordinator.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		s := c.pending[a.ID]
		if s == nil || s.Attempt != a {
			continue
		}
		if s.begunAt.IsZero() {
			delete(c.pending, a.ID)
			l.Coordinator.Report(a, coordinator.Result{Outcome: coordinator.Cancelled})
			return
		}
		s.cancelling = true
		if c.lastReceived.Before(s.begunAt) {
			c.unresponsive = true
		}
		if len(c.pending) >= l.Streams {
			c.corrupt = true // what it carries beside
			c.close()        // an X frame would lie unread
			return
		}
		c.enqueue(queuedFrame{cancel: s})
		return
	}
}

// bar turns back what is not begun.
func (l *nodePool) rejectUnsent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		for id, s := range c.pending {
			if s.begunAt.IsZero() {
				delete(c.pending, id)
				l.Coordinator.Report(s.Attempt, coordinator.Result{Outcome: coordinator.Overloaded})
			}
		}
	}
}

func (l *nodePool) sendProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.acquire(nil)
	p := &probe{}
	c.enqueue(queuedFrame{probe: p})
	time.AfterFunc(l.ConnectTimeout, func() { c.probeTimedOut(p, coordinator.Result{Outcome: coordinator.Cancelled}) })
}

// closeIdle closes the connections that carry nothing. A probe that is still waited for is something.
func (l *nodePool) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.isIdle() {
			c.close()
		}
	}
}

// idle tells whether the peer may be about to close the connection.
func (c *nodeConn) idleExpired(now time.Time) bool {
	return c.pool.IdleTimeout > 0 && len(c.pending) == 0 && !now.Before(c.idleDeadline())
}

// idleEnd is when an idle connection is closed: well before the peer does so, and soon where another is in use.
func (c *nodeConn) idleDeadline() time.Time {
	keep := c.pool.IdleTimeout - c.pool.IdleTimeout/8
	for _, o := range c.pool.conns {
		if o == c {
			break
		}
		if !o.closed && !o.unresponsive {
			keep = min(keep, extraConnIdleTimeout)
		}
	}
	return c.lastUsed.Add(keep)
}

// push leaves a frame for the writer. The queue is bounded by the parts of a connection.
func (c *nodeConn) enqueue(f queuedFrame) {
	c.queue = append(c.queue, f)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// shut ends a connection; its writer settles the rest. The caller holds the lock.
func (c *nodeConn) close() {
	c.closed = true
	if c.netConn != nil {
		c.netConn.Close()
	}
	if c.cancel != nil {
		c.cancel()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run is the writer: it opens the connection, writes what is queued, and gives everything back at the end. A
// connection that breaks under parts is opened anew at once: whether that succeeds tells a data node that has died
// from one that only lost a connection, and what was not begun goes out on it.
func (c *nodeConn) run() {
	var nc net.Conn
	err := c.acquireSlot()
	if err == nil {
		nc, err = c.dial()
	}
	for err == nil {
		var reader sync.WaitGroup
		reader.Go(func() { c.readFrames(nc) })
		err = c.writeFrames(nc)
		nc.Close()
		reader.Wait()
		if !c.shouldReconnect(err) {
			break
		}
		if nc, err = c.dial(); err == nil {
			c.reconnected()
		}
	}
	c.finish(err)
}

// await waits for a descriptor for as long as a connection may take to come up. It looks again and again for a connection
// that carries nothing: one that was in use as the wait began may be done before it ends.
func (c *nodeConn) acquireSlot() error {
	if c.hasSlot {
		return nil
	}
	end := time.NewTimer(c.pool.ConnectTimeout)
	defer end.Stop()
	look := time.NewTicker(max(c.pool.ConnectTimeout/32, time.Millisecond))
	defer look.Stop()
	for {
		c.pool.closeIdlest()
		select {
		case c.pool.Slots <- struct{}{}:
			c.hasSlot = true
			return nil
		case <-look.C:
		case <-end.C:
			c.pool.Log.Warn("no descriptor left for a connection", "node", c.pool.node.ID())
			return errNoDescriptor
		}
	}
}

// spare tells whether a connection carries nothing. The caller holds the lock.
func (c *nodeConn) isIdle() bool {
	probing := slices.ContainsFunc(c.probes, func(p *probe) bool { return !p.done })
	return !c.closed && len(c.pending) == 0 && len(c.queue) == 0 && !probing
}

// open opens the connection; a first one that was reset is no sign yet.
func (c *nodeConn) dial() (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(lateConnectFactor*c.pool.ConnectTimeout))
	defer cancel()
	c.pool.mu.Lock()
	c.cancel = cancel
	c.pool.mu.Unlock()
	overdue := time.AfterFunc(c.pool.ConnectTimeout, c.connectOverdue)
	defer overdue.Stop()
	nc, err := c.pool.Dial(ctx, c.pool.node.Addr())
	if errors.Is(err, syscall.ECONNRESET) {
		nc, err = c.pool.Dial(ctx, c.pool.node.Addr())
	}
	c.pool.mu.Lock()
	held := len(c.pool.conns)
	if err == nil {
		c.netConn = nc
		c.lastUsed = time.Now()
	}
	c.cancel, c.late = nil, false
	c.pool.mu.Unlock()
	c.pool.Log.Debug("connection opened", "node", c.pool.node.ID(), "held", held, "cause", err)
	return nc, err
}

// overdue turns back what has waited for the connection for as long as one may take to come up. It goes on coming up, but
// for a second one of the same data node: those it would take are spent on no more than one.
func (c *nodeConn) connectOverdue() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.cancel == nil {
		return
	}
	c.failAll(coordinator.ConnectTimeout, coordinator.Reset)
	if slices.ContainsFunc(c.pool.conns, func(o *nodeConn) bool { return o.late && !o.closed }) {
		c.close()
		return
	}
	c.late = true
}

// turnBack reports all that waits for a connection or was out on it: what was not begun ends as unsent, what was as begun.
// The caller holds the lock.
func (c *nodeConn) failAll(unsent, begun coordinator.Outcome) {
	for id, s := range c.pending {
		delete(c.pending, id)
		if s.begunAt.IsZero() {
			c.report(s, unsent)
		} else {
			c.report(s, begun)
		}
	}
	for _, f := range c.queue {
		if f.probe != nil {
			c.endProbe(f.probe, coordinator.Result{Outcome: unsent})
		}
	}
	for _, p := range c.probes {
		c.endProbe(p, coordinator.Result{Outcome: coordinator.Reset})
	}
	c.queue, c.probes = nil, nil
}

// again tells whether a connection that ended is to be opened anew: it carried parts, and the data node took in
// what was written to it, so that each time something is got done.
func (c *nodeConn) shouldReconnect(err error) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	wrote := c.wroteFrame
	c.wroteFrame = false
	for _, s := range c.pending {
		if !s.cancelling && !(c.corrupt && !s.begunAt.IsZero()) {
			return wrote && !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

// renew goes on with a new connection. What was out on the old one is cut: it may have run.
func (c *nodeConn) reconnected() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.Log.Info("connection to data node was cut and is open again", "node", c.pool.node.ID(), "parts", len(c.pending))
	for id, s := range c.pending {
		if !s.begunAt.IsZero() {
			delete(c.pending, id)
			c.report(s, coordinator.ConnectionLost)
		}
	}
	for _, p := range c.probes {
		c.enqueue(queuedFrame{probe: p})
	}
	c.probes, c.lastAnswered = nil, ""
	clear(c.stale)
	c.closed, c.inFrame, c.corrupt, c.unresponsive = false, false, false, false
	c.lastUsed = time.Now()
}

// report tells how an attempt ended with its connection. The caller holds the lock.
func (c *nodeConn) report(s *pendingAttempt, outcome coordinator.Outcome) {
	if s.cancelling {
		outcome = coordinator.Cancelled
	}
	c.pool.Coordinator.Report(s.Attempt, coordinator.Result{Outcome: outcome})
}

// settle reports what was out as its connection ended.
func (c *nodeConn) finish(err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closed = true
	c.pool.conns = slices.DeleteFunc(c.pool.conns, func(o *nodeConn) bool { return o == c })
	if len(c.pending) > 0 {
		c.pool.Log.Info("connection to data node ended", "node", c.pool.node.ID(), "parts", len(c.pending), "cause", err)
	}
	unsent, begun := coordinator.NotConnected, coordinator.Reset
	switch {
	case errors.Is(err, errNoDescriptor):
		unsent = coordinator.NotSent
	case errors.Is(err, context.DeadlineExceeded):
		unsent = coordinator.ConnectTimeout
	}
	if c.corrupt {
		begun = coordinator.ConnectionLost
	}
	c.failAll(unsent, begun)
	if c.hasSlot {
		<-c.pool.Slots
	}
}

// write serves the queue until the connection ends or has been idle for long enough.
func (c *nodeConn) writeFrames(nc net.Conn) error {
	for {
		c.pool.mu.Lock()
		if c.closed {
			c.pool.mu.Unlock()
			return nil
		}
		if len(c.queue) == 0 {
			now := time.Now()
			if c.idleExpired(now) {
				c.closed = true
				c.pool.mu.Unlock()
				return nil
			}
			end := c.idleDeadline()
			if !end.After(now) { // parts are out on it
				end = now.Add(c.pool.IdleTimeout / 8)
			}
			c.pool.mu.Unlock()
			c.wait(end)
			continue
		}
		f := c.queue[0]
		c.queue = c.queue[1:]
		data := c.encode(f)
		c.pool.mu.Unlock()
		if data == nil {
			continue
		}
		nc.SetWriteDeadline(time.Now().Add(min(c.pool.ConnectTimeout, writeFrameTimeout)))
		_, err := nc.Write(data)
		c.pool.mu.Lock()
		c.lastUsed = time.Now()
		if err != nil {
			// Not written whole: a part of this frame has never run.
			for _, s := range f.call {
				s.begunAt = time.Time{}
			}
			c.queue = append([]queuedFrame{f}, c.queue...)
			c.pool.mu.Unlock()
			return err
		}
		c.wroteFrame = true
		if f.cancel != nil && c.pending[f.cancel.ID] == f.cancel {
			delete(c.pending, f.cancel.ID)
			c.expectLateAnswer(f.cancel)
			c.pool.Coordinator.Report(f.cancel.Attempt, coordinator.Result{Outcome: coordinator.Cancelled})
		}
		c.pool.mu.Unlock()
	}
}

// spoil notes a part that was given up on this connection, for as long as an answer to it may come.
func (c *nodeConn) expectLateAnswer(s *pendingAttempt) {
	now := time.Now()
	for id, end := range c.stale {
		if now.After(end) {
			delete(c.stale, id)
		}
	}
	c.stale[s.ID] = s.Deadline.Add(lateAnswerWindow)
}

// wait pauses the writer until something is queued, the connection is shut, or end.
func (c *nodeConn) wait(end time.Time) {
	if c.pool.IdleTimeout <= 0 {
		<-c.wake
		return
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.C:
	}
}

// encode makes the bytes of a frame and marks what it carries as begun. Parts that may no longer be sent are turned back.
// The caller holds the lock.
func (c *nodeConn) encode(f queuedFrame) []byte {
	now := time.Now()
	body := []byte{0, 0, 0, 0}
	switch {
	case f.probe != nil:
		if f.probe.done {
			return nil
		}
		c.probes = append(c.probes, f.probe)
		body = append(body, 'L')
	case f.cancel != nil:
		if c.pending[f.cancel.ID] != f.cancel {
			return nil // answered meanwhile
		}
		body = append(body, 'X')
		body = append(body, f.cancel.ID...)
	default:
		body = append(body, 'Q')
		for _, s := range f.call {
			left := s.Deadline.Sub(now).Milliseconds()
			switch {
			case c.pending[s.ID] != s:
				continue
			case left < 1:
				continue // the core is about to drop it
			}
			if outcome, ok := s.Sendable(now); !ok {
				delete(c.pending, s.ID)
				c.pool.Coordinator.Report(s.Attempt, coordinator.Result{Outcome: outcome})
				continue
			}
			s.begunAt = now
			body = fmt.Appendf(body, "%s %d d=%d", s.ID, s.Shard, left)
			if s.IdempotencyKey != "" {
				body = fmt.Appendf(body, ",k=%s", s.IdempotencyKey)
			}
			body = fmt.Appendf(body, " %d\n%s", len(s.Text), s.Text)
		}
		if len(body) == 5 {
			return nil
		}
	}
	binary.LittleEndian.PutUint32(body, uint32(len(body)-4))
	return body
}

// read takes in frames until the connection ends.
func (c *nodeConn) readFrames(nc net.Conn) {
	in := bufio.NewReaderSize(nc, maxFrameLine)
	var err error
	for err == nil {
		nc.SetReadDeadline(time.Time{})
		if _, err = in.Peek(1); err == nil {
			err = c.frameBegins()
		}
		if err == nil {
			nc.SetReadDeadline(time.Now().Add(readFrameTimeout))
			err = c.readFrame(in)
		}
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	// A frame that does not come whole, though the connection holds, has a length that is not its own.
	c.corrupt = c.corrupt || errors.Is(err, errCorrupt) || c.inFrame && errors.Is(err, os.ErrDeadlineExceeded)
	if c.corrupt && !c.closed {
		c.pool.Log.Info("data node sent what is not understood", "node", c.pool.node.ID(), "cause", err)
	}
	c.close()
}

// begin notes that something comes in. Where nothing is waited for, it can be no answer: the connection is closed
// before it may carry the next part.
func (c *nodeConn) frameBegins() error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.inFrame = true
	if len(c.probes)+len(c.stale) > 0 {
		return nil
	}
	for _, s := range c.pending {
		if !s.begunAt.IsZero() {
			return nil
		}
	}
	c.close()
	return errors.New("more than was asked for")
}

// frame takes in one frame. Nothing is allocated for it before its start could be one of ours.
func (c *nodeConn) readFrame(in *bufio.Reader) error {
	head, err := in.Peek(5)
	if err != nil {
		return err
	}
	n, letter := parseFrameStart(head)
	if !plausible(n, letter) {
		return fmt.Errorf("%w: frame of %d bytes, letter %q", errCorrupt, n+1, letter)
	}
	in.Discard(5)
	if letter != 'A' {
		if n > maxFrameLine {
			return fmt.Errorf("%w: frame %q of %d bytes", errCorrupt, letter, n)
		}
		rest := make([]byte, n)
		if _, err := io.ReadFull(in, rest); err != nil {
			return err
		}
		if letter == 'E' {
			return fmt.Errorf("%w: it could not use a frame: %.200q", errCorrupt, rest)
		}
		return c.handleProbeAnswer(strings.TrimSpace(string(rest)))
	}
	line, err := in.ReadSlice('\n')
	if err == bufio.ErrBufferFull || len(line) > n {
		err = fmt.Errorf("%w: line without an end", errCorrupt)
	}
	if err != nil {
		return err
	}
	words := strings.Fields(string(line))
	if len(words) < 4 || answerOutcomes[words[1]] == 0 || !c.expects(words[0]) {
		return fmt.Errorf("%w: answer %.200q", errCorrupt, line)
	}
	value := make([]byte, n-len(line))
	if _, err := io.ReadFull(in, value); err != nil {
		return err
	}
	// Had the frame a length that is not its own, its value is cut, with the rest directly behind, or holds the start
	// of the next. Neither is what the data node made.
	if !isText(value) || !nextFrameFits(in) {
		return fmt.Errorf("%w: value of %s", errCorrupt, words[0])
	}
	return c.handleAnswer(words, value)
}

// text tells whether a value is one that a client can be handed unchanged.
func isText(value []byte) bool {
	return utf8.Valid(value) && bytes.IndexFunc(value, func(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' }) < 0
}

// follows tells whether what has come in directly behind a frame, if anything, is the start of another.
func nextFrameFits(in *bufio.Reader) bool {
	if in.Buffered() == 0 {
		return true
	}
	next, err := in.Peek(5)
	return err == nil && plausible(parseFrameStart(next))
}

// start reads the start of a frame: the length of its rest, and its letter.
func parseFrameStart(head []byte) (n int, letter byte) {
	return int(binary.LittleEndian.Uint32(head)) - 1, head[4]
}

// possible tells whether a data node may send such a frame.
func plausible(n int, letter byte) bool {
	return n >= 0 && n < maxFrameBytes && strings.IndexByte("APLE", letter) >= 0
}

// knows tells whether a part's answer may come on this connection.
func (c *nodeConn) expects(id string) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	s := c.pending[id]
	_, late := c.stale[id]
	return s != nil && !s.begunAt.IsZero() || late || id == c.lastAnswered
}

// took notes that a frame was read whole. The caller holds the lock.
func (c *nodeConn) received() {
	c.lastReceived = time.Now()
	c.lastUsed, c.unresponsive, c.inFrame = c.lastReceived, false, false
}

var answerOutcomes = map[string]coordinator.Outcome{"ok": coordinator.OK, "err": coordinator.Errored, "busy": coordinator.Overloaded}

// answer handles the answer to a part. One to a part that was given up, or a second one, is skipped.
func (c *nodeConn) handleAnswer(words []string, value []byte) error {
	r := coordinator.Result{Outcome: answerOutcomes[words[1]], Docs: [][]byte{value}, LoadReport: parseLoadReport(strings.Join(words[3:], " "))}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.received()
	id := words[0]
	if s := c.pending[id]; s != nil && !s.begunAt.IsZero() {
		delete(c.pending, id)
		c.lastAnswered = id
		c.pool.Coordinator.Report(s.Attempt, r)
	}
	delete(c.stale, id)
	return nil
}

// answerProbe handles the answer to the oldest probe.
func (c *nodeConn) handleProbeAnswer(report string) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.probes) == 0 {
		return fmt.Errorf("%w: answer to no probe", errCorrupt)
	}
	c.received()
	p := c.probes[0]
	c.probes = c.probes[1:]
	r := coordinator.Result{Outcome: coordinator.OK, LoadReport: parseLoadReport(report)}
	if report == "err" {
		r.Outcome = coordinator.Errored
	}
	c.endProbe(p, r)
	return nil
}

// probed ends a probe once; a late answer to one that timed out is skipped.
func (c *nodeConn) probeTimedOut(p *probe, r coordinator.Result) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.endProbe(p, r)
}

func (c *nodeConn) endProbe(p *probe, r coordinator.Result) {
	if !p.done {
		p.done = true
		c.pool.Coordinator.ReportProbe(c.pool.node, r)
	}
}

// load reads a report, as name=value pairs or as a JSON object; a field that is no number is skipped.
func parseLoadReport(text string) map[string]float64 {
	report := map[string]float64{}
	if strings.HasPrefix(text, "{") {
		var raw map[string]any
		if json.Unmarshal([]byte(text), &raw) == nil {
			for k, v := range raw {
				if x, ok := v.(float64); ok {
					report[k] = x
				}
			}
		}
		return report
	}
	for _, field := range strings.Split(text, ",") {
		k, v, ok := strings.Cut(field, "=")
		if x, err := strconv.ParseFloat(v, 64); ok && err == nil && !math.IsNaN(x) && !math.IsInf(x, 0) {
			report[k] = x
		}
	}
	return report
}

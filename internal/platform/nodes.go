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
	maxFrame = maxBody + 1<<10 // the longest frame that a data node may send
	maxLine  = 1 << 10         // and the longest line in it
	// frameTime is how long a frame may take from its first byte to its last. Data nodes write frames whole.
	frameTime = 100 * time.Millisecond
	// writeFrameTime is how long a frame may take to be written: what it tells of the time left holds when it is begun, and
	// may be too much by 150 ms at its end.
	writeFrameTime = 140 * time.Millisecond
	// staleTime is how long after its deadline an answer may come to a part that was given up.
	staleTime = 10 * time.Second
	// A connection that does not come up within the settings' time goes on for lateTimes that, for the parts that come
	// next; those that waited for it are told at once.
	lateTimes = 8
	// spareTime is how long a data node's second connection is kept idle, and any further.
	spareTime = 2 * time.Second
)

// errSpoilt marks what a data node should not have sent. Its connection can't be read any further.
var errSpoilt = errors.New("not understood")

// errSlots marks a connection for which no descriptor came free.
var errSlots = errors.New("no descriptor left")

// Nodes carries orders to data nodes. Its exported fields are set before its first use.
type ConnPool struct {
	Coordinator    *coordinator.Coordinator
	Log     *slog.Logger
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Streams int           // parts that one connection carries at once
	ConnectTimeout time.Duration // within which a connection comes up, a frame is written, a probe is answered
	IdleTimeout    time.Duration // after which the peer closes an idle connection; 0 where not known
	Slots   chan struct{} // one for each connection that may be open

	mu    sync.Mutex // guards links; taken before a link's own
	links map[*link]bool
}

// link is all connections to one data node.
type link struct {
	*ConnPool
	node *coordinator.Node

	mu    sync.Mutex // guards conns and the fields of each
	conns []*conn
}

type conn struct {
	l      *link
	wake   chan struct{}
	queue  []frame
	out    map[string]*sent
	probes []*probe // written, in order of their answers
	stale  map[string]time.Time
	nc     net.Conn // nil while it comes up
	last   string   // the part answered last
	slot   bool     // it has a descriptor
	closed bool
	late   bool               // it has not come up in time: nothing waits for it any more
	cancel context.CancelFunc // ends the attempt to open it; nil while there is none
	wrote  bool               // a frame went out on it since it was opened last
	midway bool               // a frame has begun to come in
	spoilt bool               // ended for what came in on it
	silent bool               // an attempt was given up on it and nothing was heard since that was sent
	heard  time.Time          // last frame
	used   time.Time          // last frame either way
}

// sent is an attempt that is queued or out on a connection.
type sent struct {
	*coordinator.Attempt
	at       time.Time // when its frame was begun; zero while queued
	dropping bool
}

type probe struct{ done bool }

// frame is one that waits to be written; one field is set.
type frame struct {
	call  []*sent
	drop  *sent
	probe *probe
}

// Dispatch serves one data node until it has left the list.
func (ns *ConnPool) Dispatch(n *coordinator.Node) {
	l := &link{ConnPool: ns, node: n}
	ns.list(l, true)
	defer ns.list(l, false)
	for {
		o := n.Pick(context.Background())
		switch {
		case o == nil:
			l.closeIdle()
			return
		case o.Call != nil:
			l.call(o.Call)
		case o.Cancel != nil:
			l.drop(o.Cancel)
		case o.RejectQueued:
			l.bar()
		case o.Probe:
			l.probe()
		case o.CloseIdle:
			l.closeIdle()
		}
	}
}

// list notes a data node's connections for as long as it is served.
func (ns *ConnPool) list(l *link, on bool) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if ns.links == nil {
		ns.links = map[*link]bool{}
	}
	if ns.links[l] = true; !on {
		delete(ns.links, l)
	}
}

// reap closes the connection that carries nothing and was used least lately, so that its descriptor comes free: where
// there are more data nodes than descriptors for them, each gets one in turn. No link's lock may be held.
func (ns *ConnPool) reap() {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	var oldest *conn
	var used time.Time
	for l := range ns.links {
		l.mu.Lock()
		for _, c := range l.conns {
			if (c.nc != nil || c.late) && c.spare() && (oldest == nil || c.used.Before(used)) {
				oldest, used = c, c.used
			}
		}
		l.mu.Unlock()
	}
	if oldest == nil {
		return
	}
	oldest.l.mu.Lock()
	defer oldest.l.mu.Unlock()
	if oldest.spare() {
		oldest.shut()
	}
}

// room returns a connection with room for a call, opening one where there is none. One stream stays free, since behind
// the last one frames wait unread, those that give parts up included. A part that was given up on a connection does not
// go out on it again: a late answer to the first sending could not be told from one to the second.
func (l *link) room(call []*coordinator.Attempt) *conn {
	now := time.Now()
next:
	for _, c := range l.conns {
		if c.closed || c.late || c.silent || c.midway || len(c.out)+len(call) > max(l.Streams-1, len(call)) || c.idle(now) {
			continue
		}
		for _, a := range call {
			if _, again := c.stale[a.ID]; again || c.out[a.ID] != nil {
				continue next
			}
		}
		return c
	}
	c := &conn{l: l, used: now, wake: make(chan struct{}, 1), out: map[string]*sent{}, stale: map[string]time.Time{}}
	select {
	case l.Slots <- struct{}{}:
		c.slot = true
	default: // run waits for what comes free
	}
	l.conns = append(l.conns, c)
	go c.run()
	return c
}

func (l *link) call(call []*coordinator.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.room(call)
	f := frame{}
	for _, a := range call {
		s := &sent{Attempt: a}
		c.out[a.ID] = s
		f.call = append(f.call, s)
	}
	c.push(f)
}

// drop gives up an attempt. What was not begun is only forgotten; else an X frame follows it, or the connection is
// closed where it carries so many parts that the data node reads no further.
func (l *link) drop(a *coordinator.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		s := c.out[a.ID]
		if s == nil || s.Attempt != a {
			continue
		}
		if s.at.IsZero() {
			delete(c.out, a.ID)
			l.Coordinator.Report(a, coordinator.Result{Outcome: coordinator.Cancelled})
			return
		}
		s.dropping = true
		if c.heard.Before(s.at) {
			c.silent = true
		}
		if len(c.out) >= l.Streams {
			c.spoilt = true // what it carries beside
			c.shut()        // an X frame would lie unread
			return
		}
		c.push(frame{drop: s})
		return
	}
}

// bar turns back what is not begun.
func (l *link) bar() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		for id, s := range c.out {
			if s.at.IsZero() {
				delete(c.out, id)
				l.Coordinator.Report(s.Attempt, coordinator.Result{Outcome: coordinator.Overloaded})
			}
		}
	}
}

func (l *link) probe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.room(nil)
	p := &probe{}
	c.push(frame{probe: p})
	time.AfterFunc(l.ConnectTimeout, func() { c.probed(p, coordinator.Result{Outcome: coordinator.Cancelled}) })
}

// closeIdle closes the connections that carry nothing. A probe that is still waited for is something.
func (l *link) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c.spare() {
			c.shut()
		}
	}
}

// idle tells whether the peer may be about to close the connection.
func (c *conn) idle(now time.Time) bool {
	return c.l.IdleTimeout > 0 && len(c.out) == 0 && !now.Before(c.idleEnd())
}

// idleEnd is when an idle connection is closed: well before the peer does so, and soon where another is in use.
func (c *conn) idleEnd() time.Time {
	keep := c.l.IdleTimeout - c.l.IdleTimeout/8
	for _, o := range c.l.conns {
		if o == c {
			break
		}
		if !o.closed && !o.silent {
			keep = min(keep, spareTime)
		}
	}
	return c.used.Add(keep)
}

// push leaves a frame for the writer. The queue is bounded by the parts of a connection.
func (c *conn) push(f frame) {
	c.queue = append(c.queue, f)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// shut ends a connection; its writer settles the rest. The caller holds the lock.
func (c *conn) shut() {
	c.closed = true
	if c.nc != nil {
		c.nc.Close()
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
func (c *conn) run() {
	var nc net.Conn
	err := c.await()
	if err == nil {
		nc, err = c.open()
	}
	for err == nil {
		var reader sync.WaitGroup
		reader.Go(func() { c.read(nc) })
		err = c.write(nc)
		nc.Close()
		reader.Wait()
		if !c.again(err) {
			break
		}
		if nc, err = c.open(); err == nil {
			c.renew()
		}
	}
	c.settle(err)
}

// await waits for a descriptor for as long as a connection may take to come up. It looks again and again for a connection
// that carries nothing: one that was in use as the wait began may be done before it ends.
func (c *conn) await() error {
	if c.slot {
		return nil
	}
	end := time.NewTimer(c.l.ConnectTimeout)
	defer end.Stop()
	look := time.NewTicker(max(c.l.ConnectTimeout/32, time.Millisecond))
	defer look.Stop()
	for {
		c.l.reap()
		select {
		case c.l.Slots <- struct{}{}:
			c.slot = true
			return nil
		case <-look.C:
		case <-end.C:
			c.l.Log.Warn("no descriptor left for a connection", "node", c.l.node.ID())
			return errSlots
		}
	}
}

// spare tells whether a connection carries nothing. The caller holds the lock.
func (c *conn) spare() bool {
	probing := slices.ContainsFunc(c.probes, func(p *probe) bool { return !p.done })
	return !c.closed && len(c.out) == 0 && len(c.queue) == 0 && !probing
}

// open opens the connection; a first one that was reset is no sign yet.
func (c *conn) open() (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(lateTimes*c.l.ConnectTimeout))
	defer cancel()
	c.l.mu.Lock()
	c.cancel = cancel
	c.l.mu.Unlock()
	overdue := time.AfterFunc(c.l.ConnectTimeout, c.overdue)
	defer overdue.Stop()
	nc, err := c.l.Dial(ctx, c.l.node.Addr())
	if errors.Is(err, syscall.ECONNRESET) {
		nc, err = c.l.Dial(ctx, c.l.node.Addr())
	}
	c.l.mu.Lock()
	held := len(c.l.conns)
	if err == nil {
		c.nc = nc
		c.used = time.Now()
	}
	c.cancel, c.late = nil, false
	c.l.mu.Unlock()
	c.l.Log.Debug("connection opened", "node", c.l.node.ID(), "held", held, "cause", err)
	return nc, err
}

// overdue turns back what has waited for the connection for as long as one may take to come up. It goes on coming up, but
// for a second one of the same data node: those it would take are spent on no more than one.
func (c *conn) overdue() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.cancel == nil {
		return
	}
	c.turnBack(coordinator.ConnectTimeout, coordinator.Reset)
	if slices.ContainsFunc(c.l.conns, func(o *conn) bool { return o.late && !o.closed }) {
		c.shut()
		return
	}
	c.late = true
}

// turnBack reports all that waits for a connection or was out on it: what was not begun ends as unsent, what was as begun.
// The caller holds the lock.
func (c *conn) turnBack(unsent, begun coordinator.Outcome) {
	for id, s := range c.out {
		delete(c.out, id)
		if s.at.IsZero() {
			c.report(s, unsent)
		} else {
			c.report(s, begun)
		}
	}
	for _, f := range c.queue {
		if f.probe != nil {
			c.end(f.probe, coordinator.Result{Outcome: unsent})
		}
	}
	for _, p := range c.probes {
		c.end(p, coordinator.Result{Outcome: coordinator.Reset})
	}
	c.queue, c.probes = nil, nil
}

// again tells whether a connection that ended is to be opened anew: it carried parts, and the data node took in
// what was written to it, so that each time something is got done.
func (c *conn) again(err error) bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	wrote := c.wrote
	c.wrote = false
	for _, s := range c.out {
		if !s.dropping && !(c.spoilt && !s.at.IsZero()) {
			return wrote && !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return false
}

// renew goes on with a new connection. What was out on the old one is cut: it may have run.
func (c *conn) renew() {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.Log.Info("connection to data node was cut and is open again", "node", c.l.node.ID(), "parts", len(c.out))
	for id, s := range c.out {
		if !s.at.IsZero() {
			delete(c.out, id)
			c.report(s, coordinator.ConnectionLost)
		}
	}
	for _, p := range c.probes {
		c.push(frame{probe: p})
	}
	c.probes, c.last = nil, ""
	clear(c.stale)
	c.closed, c.midway, c.spoilt, c.silent = false, false, false, false
	c.used = time.Now()
}

// report tells how an attempt ended with its connection. The caller holds the lock.
func (c *conn) report(s *sent, outcome coordinator.Outcome) {
	if s.dropping {
		outcome = coordinator.Cancelled
	}
	c.l.Coordinator.Report(s.Attempt, coordinator.Result{Outcome: outcome})
}

// settle reports what was out as its connection ended.
func (c *conn) settle(err error) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.closed = true
	c.l.conns = slices.DeleteFunc(c.l.conns, func(o *conn) bool { return o == c })
	if len(c.out) > 0 {
		c.l.Log.Info("connection to data node ended", "node", c.l.node.ID(), "parts", len(c.out), "cause", err)
	}
	unsent, begun := coordinator.NotConnected, coordinator.Reset
	switch {
	case errors.Is(err, errSlots):
		unsent = coordinator.NotSent
	case errors.Is(err, context.DeadlineExceeded):
		unsent = coordinator.ConnectTimeout
	}
	if c.spoilt {
		begun = coordinator.ConnectionLost
	}
	c.turnBack(unsent, begun)
	if c.slot {
		<-c.l.Slots
	}
}

// write serves the queue until the connection ends or has been idle for long enough.
func (c *conn) write(nc net.Conn) error {
	for {
		c.l.mu.Lock()
		if c.closed {
			c.l.mu.Unlock()
			return nil
		}
		if len(c.queue) == 0 {
			now := time.Now()
			if c.idle(now) {
				c.closed = true
				c.l.mu.Unlock()
				return nil
			}
			end := c.idleEnd()
			if !end.After(now) { // parts are out on it
				end = now.Add(c.l.IdleTimeout / 8)
			}
			c.l.mu.Unlock()
			c.wait(end)
			continue
		}
		f := c.queue[0]
		c.queue = c.queue[1:]
		data := c.encode(f)
		c.l.mu.Unlock()
		if data == nil {
			continue
		}
		nc.SetWriteDeadline(time.Now().Add(min(c.l.ConnectTimeout, writeFrameTime)))
		_, err := nc.Write(data)
		c.l.mu.Lock()
		c.used = time.Now()
		if err != nil {
			// Not written whole: a part of this frame has never run.
			for _, s := range f.call {
				s.at = time.Time{}
			}
			c.queue = append([]frame{f}, c.queue...)
			c.l.mu.Unlock()
			return err
		}
		c.wrote = true
		if f.drop != nil && c.out[f.drop.ID] == f.drop {
			delete(c.out, f.drop.ID)
			c.spoil(f.drop)
			c.l.Coordinator.Report(f.drop.Attempt, coordinator.Result{Outcome: coordinator.Cancelled})
		}
		c.l.mu.Unlock()
	}
}

// spoil notes a part that was given up on this connection, for as long as an answer to it may come.
func (c *conn) spoil(s *sent) {
	now := time.Now()
	for id, end := range c.stale {
		if now.After(end) {
			delete(c.stale, id)
		}
	}
	c.stale[s.ID] = s.Deadline.Add(staleTime)
}

// wait pauses the writer until something is queued, the connection is shut, or end.
func (c *conn) wait(end time.Time) {
	if c.l.IdleTimeout <= 0 {
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
func (c *conn) encode(f frame) []byte {
	now := time.Now()
	body := []byte{0, 0, 0, 0}
	switch {
	case f.probe != nil:
		if f.probe.done {
			return nil
		}
		c.probes = append(c.probes, f.probe)
		body = append(body, 'L')
	case f.drop != nil:
		if c.out[f.drop.ID] != f.drop {
			return nil // answered meanwhile
		}
		body = append(body, 'X')
		body = append(body, f.drop.ID...)
	default:
		body = append(body, 'Q')
		for _, s := range f.call {
			left := s.Deadline.Sub(now).Milliseconds()
			switch {
			case c.out[s.ID] != s:
				continue
			case left < 1:
				continue // the core is about to drop it
			}
			if outcome, ok := s.Sendable(now); !ok {
				delete(c.out, s.ID)
				c.l.Coordinator.Report(s.Attempt, coordinator.Result{Outcome: outcome})
				continue
			}
			s.at = now
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
func (c *conn) read(nc net.Conn) {
	in := bufio.NewReaderSize(nc, maxLine)
	var err error
	for err == nil {
		nc.SetReadDeadline(time.Time{})
		if _, err = in.Peek(1); err == nil {
			err = c.begin()
		}
		if err == nil {
			nc.SetReadDeadline(time.Now().Add(frameTime))
			err = c.frame(in)
		}
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	// A frame that does not come whole, though the connection holds, has a length that is not its own.
	c.spoilt = c.spoilt || errors.Is(err, errSpoilt) || c.midway && errors.Is(err, os.ErrDeadlineExceeded)
	if c.spoilt && !c.closed {
		c.l.Log.Info("data node sent what is not understood", "node", c.l.node.ID(), "cause", err)
	}
	c.shut()
}

// begin notes that something comes in. Where nothing is waited for, it can be no answer: the connection is closed
// before it may carry the next part.
func (c *conn) begin() error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.midway = true
	if len(c.probes)+len(c.stale) > 0 {
		return nil
	}
	for _, s := range c.out {
		if !s.at.IsZero() {
			return nil
		}
	}
	c.shut()
	return errors.New("more than was asked for")
}

// frame takes in one frame. Nothing is allocated for it before its start could be one of ours.
func (c *conn) frame(in *bufio.Reader) error {
	head, err := in.Peek(5)
	if err != nil {
		return err
	}
	n, letter := start(head)
	if !possible(n, letter) {
		return fmt.Errorf("%w: frame of %d bytes, letter %q", errSpoilt, n+1, letter)
	}
	in.Discard(5)
	if letter != 'A' {
		if n > maxLine {
			return fmt.Errorf("%w: frame %q of %d bytes", errSpoilt, letter, n)
		}
		rest := make([]byte, n)
		if _, err := io.ReadFull(in, rest); err != nil {
			return err
		}
		if letter == 'E' {
			return fmt.Errorf("%w: it could not use a frame: %.200q", errSpoilt, rest)
		}
		return c.answerProbe(strings.TrimSpace(string(rest)))
	}
	line, err := in.ReadSlice('\n')
	if err == bufio.ErrBufferFull || len(line) > n {
		err = fmt.Errorf("%w: line without an end", errSpoilt)
	}
	if err != nil {
		return err
	}
	words := strings.Fields(string(line))
	if len(words) < 4 || ends[words[1]] == 0 || !c.knows(words[0]) {
		return fmt.Errorf("%w: answer %.200q", errSpoilt, line)
	}
	value := make([]byte, n-len(line))
	if _, err := io.ReadFull(in, value); err != nil {
		return err
	}
	// Had the frame a length that is not its own, its value is cut, with the rest directly behind, or holds the start
	// of the next. Neither is what the data node made.
	if !text(value) || !follows(in) {
		return fmt.Errorf("%w: value of %s", errSpoilt, words[0])
	}
	return c.answer(words, value)
}

// text tells whether a value is one that a client can be handed unchanged.
func text(value []byte) bool {
	return utf8.Valid(value) && bytes.IndexFunc(value, func(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' }) < 0
}

// follows tells whether what has come in directly behind a frame, if anything, is the start of another.
func follows(in *bufio.Reader) bool {
	if in.Buffered() == 0 {
		return true
	}
	next, err := in.Peek(5)
	return err == nil && possible(start(next))
}

// start reads the start of a frame: the length of its rest, and its letter.
func start(head []byte) (n int, letter byte) {
	return int(binary.LittleEndian.Uint32(head)) - 1, head[4]
}

// possible tells whether a data node may send such a frame.
func possible(n int, letter byte) bool {
	return n >= 0 && n < maxFrame && strings.IndexByte("APLE", letter) >= 0
}

// knows tells whether a part's answer may come on this connection.
func (c *conn) knows(id string) bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	s := c.out[id]
	_, late := c.stale[id]
	return s != nil && !s.at.IsZero() || late || id == c.last
}

// took notes that a frame was read whole. The caller holds the lock.
func (c *conn) took() {
	c.heard = time.Now()
	c.used, c.silent, c.midway = c.heard, false, false
}

var ends = map[string]coordinator.Outcome{"ok": coordinator.OK, "err": coordinator.Errored, "busy": coordinator.Overloaded}

// answer handles the answer to a part. One to a part that was given up, or a second one, is skipped.
func (c *conn) answer(words []string, value []byte) error {
	r := coordinator.Result{Outcome: ends[words[1]], Docs: [][]byte{value}, LoadReport: load(strings.Join(words[3:], " "))}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.took()
	id := words[0]
	if s := c.out[id]; s != nil && !s.at.IsZero() {
		delete(c.out, id)
		c.last = id
		c.l.Coordinator.Report(s.Attempt, r)
	}
	delete(c.stale, id)
	return nil
}

// answerProbe handles the answer to the oldest probe.
func (c *conn) answerProbe(report string) error {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if len(c.probes) == 0 {
		return fmt.Errorf("%w: answer to no probe", errSpoilt)
	}
	c.took()
	p := c.probes[0]
	c.probes = c.probes[1:]
	r := coordinator.Result{Outcome: coordinator.OK, LoadReport: load(report)}
	if report == "err" {
		r.Outcome = coordinator.Errored
	}
	c.end(p, r)
	return nil
}

// probed ends a probe once; a late answer to one that timed out is skipped.
func (c *conn) probed(p *probe, r coordinator.Result) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.end(p, r)
}

func (c *conn) end(p *probe, r coordinator.Result) {
	if !p.done {
		p.done = true
		c.l.Coordinator.ReportProbe(c.l.node, r)
	}
}

// load reads a report, as name=value pairs or as a JSON object; a field that is no number is skipped.
func load(text string) map[string]float64 {
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

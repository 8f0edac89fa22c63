package platform

// This file owns the connections to data nodes and the frames on them. Each connection has one writer, which
// alone settles what is out on it when it ends. It must never hold up the core, write a part to a data node
// that the list bars, or report a give-up before the data node was told or the connection was closed.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gullfall/internal/core"
)

// maxFrame is the longest frame that a data node may send.
const maxFrame = maxBody + 1<<10

// Nodes carries orders to data nodes. Its fields are set before its first use.
type Nodes struct {
	Core    *core.Core
	Log     *slog.Logger
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Streams int           // parts that one connection carries at once
	Connect time.Duration // within which a connection comes up, a frame is written, a probe is answered
	Idle    time.Duration // after which the peer closes an idle connection; 0 where not known
	Slots   chan struct{} // one for each connection that may be open
}

// link is all connections to one data node.
type link struct {
	*Nodes
	node *core.Node

	mu    sync.Mutex // guards conns and the fields of each
	conns []*conn
}

type conn struct {
	l      *link
	born   time.Time
	wake   chan struct{}
	queue  []frame
	out    map[string]*sent
	probes []*probe // written, in order of their answers
	stale  map[string]time.Time
	nc     net.Conn // nil while it comes up
	closed bool
	silent bool      // an attempt was given up on it and nothing was heard since that was sent
	heard  time.Time // last frame
	used   time.Time // last frame either way
}

// sent is an attempt that is queued or out on a connection.
type sent struct {
	*core.Attempt
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

// Carry serves one data node until it has left the list.
func (ns *Nodes) Carry(n *core.Node) {
	l := &link{Nodes: ns, node: n}
	for {
		o := n.Pick(context.Background())
		switch {
		case o == nil:
			l.closeIdle()
			return
		case o.Call != nil:
			l.call(o.Call)
		case o.Drop != nil:
			l.drop(o.Drop)
		case o.Barred:
			l.bar()
		case o.Probe:
			l.probe()
		case o.CloseIdle:
			l.closeIdle()
		}
	}
}

// room returns a connection with room for n more parts, opening one where there is none; nil where no
// descriptor is left. A part that was given up on a connection does not go out on it again: a late answer to
// the first sending could not be told from one to the second.
func (l *link) room(call []*core.Attempt) *conn {
	now := time.Now()
next:
	for _, c := range l.conns {
		if c.closed || c.silent || len(c.out)+len(call) > max(l.Streams, len(call)) || c.idle(now) {
			continue
		}
		for _, a := range call {
			if _, again := c.stale[a.ID]; again || c.out[a.ID] != nil {
				continue next
			}
		}
		return c
	}
	select {
	case l.Slots <- struct{}{}:
	default:
		return nil
	}
	c := &conn{l: l, born: now, used: now, wake: make(chan struct{}, 1), out: map[string]*sent{}, stale: map[string]time.Time{}}
	l.conns = append(l.conns, c)
	go c.run()
	return c
}

func (l *link) call(call []*core.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.room(call)
	if c == nil {
		l.Log.Warn("no descriptor left for a connection", "node", l.node.ID())
		for _, a := range call {
			l.Core.Report(a, core.Result{Outcome: core.NotConnected})
		}
		return
	}
	f := frame{}
	for _, a := range call {
		s := &sent{Attempt: a}
		c.out[a.ID] = s
		f.call = append(f.call, s)
	}
	c.push(f)
}

// drop gives up an attempt. What was not begun is only forgotten; else an X frame follows it.
func (l *link) drop(a *core.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		s := c.out[a.ID]
		if s == nil || s.Attempt != a {
			continue
		}
		if s.at.IsZero() {
			delete(c.out, a.ID)
			l.Core.Report(a, core.Result{Outcome: core.Dropped})
			return
		}
		s.dropping = true
		if c.heard.Before(s.at) {
			c.silent = true
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
				l.Core.Report(s.Attempt, core.Result{Outcome: core.Busy})
			}
		}
	}
}

func (l *link) probe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.room(nil)
	if c == nil {
		l.Core.Probed(l.node, core.Result{Outcome: core.NotConnected})
		return
	}
	p := &probe{}
	c.push(frame{probe: p})
	time.AfterFunc(l.Connect, func() { c.probed(p, core.Result{Outcome: core.Dropped}) })
}

// closeIdle closes the connections that carry nothing. A probe that is still waited for is something.
func (l *link) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		probing := slices.ContainsFunc(c.probes, func(p *probe) bool { return !p.done })
		if len(c.out) == 0 && len(c.queue) == 0 && !probing {
			c.shut()
		}
	}
}

// idle tells whether the peer may be about to close the connection.
func (c *conn) idle(now time.Time) bool {
	return c.l.Idle > 0 && len(c.out) == 0 && !now.Before(c.idleEnd())
}

// idleEnd is when an idle connection is closed, well before the peer does so.
func (c *conn) idleEnd() time.Time { return c.used.Add(c.l.Idle - c.l.Idle/8) }

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
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run is the writer: it opens the connection, writes what is queued, and gives everything back at the end.
func (c *conn) run() {
	ctx, cancel := context.WithDeadline(context.Background(), c.born.Add(c.l.Connect))
	nc, err := c.l.Dial(ctx, c.l.node.Addr())
	cancel()
	var reader sync.WaitGroup
	if err == nil {
		c.l.mu.Lock()
		c.nc = nc
		c.l.mu.Unlock()
		reader.Go(func() { c.read(nc) })
		err = c.write(nc)
		nc.Close()
	}
	reader.Wait()
	c.settle(err)
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
	for _, s := range c.out {
		outcome := core.NotConnected
		switch {
		case s.dropping:
			outcome = core.Dropped
		case !s.at.IsZero():
			outcome = core.Reset
		}
		c.l.Core.Report(s.Attempt, core.Result{Outcome: outcome})
	}
	for _, f := range c.queue {
		if f.probe != nil {
			c.end(f.probe, core.Result{Outcome: core.NotConnected})
		}
	}
	for _, p := range c.probes {
		c.end(p, core.Result{Outcome: core.Reset})
	}
	<-c.l.Slots
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
				end = now.Add(c.l.Idle / 8)
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
		nc.SetWriteDeadline(time.Now().Add(c.l.Connect))
		_, err := nc.Write(data)
		c.l.mu.Lock()
		c.used = time.Now()
		if err != nil {
			// Not written whole: a part of this frame has never run.
			for _, s := range f.call {
				s.at = time.Time{}
			}
			c.l.mu.Unlock()
			return err
		}
		if f.drop != nil && c.out[f.drop.ID] == f.drop {
			delete(c.out, f.drop.ID)
			c.spoil(f.drop)
			c.l.Core.Report(f.drop.Attempt, core.Result{Outcome: core.Dropped})
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
	c.stale[s.ID] = s.Deadline.Add(time.Minute)
}

// wait pauses the writer until something is queued, the connection is shut, or end.
func (c *conn) wait(end time.Time) {
	if c.l.Idle <= 0 {
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

// encode makes the bytes of a frame and marks what it carries as begun. Calls to a data node that the list
// bars by now, and parts whose time is over, are turned back unsent. The caller holds the lock.
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
			case c.l.node.Barred():
				delete(c.out, s.ID)
				c.l.Core.Report(s.Attempt, core.Result{Outcome: core.Busy})
				continue
			case left < 1:
				continue // the core is about to drop it
			}
			s.at = now
			body = fmt.Appendf(body, "%s %d d=%d %d\n%s", s.ID, s.Shard, left, len(s.Text), s.Text)
		}
		if len(body) == 5 {
			return nil
		}
	}
	binary.LittleEndian.PutUint32(body, uint32(len(body)-4))
	return body
}

// read takes in frames until the connection ends; a frame that can't be read ends it.
func (c *conn) read(nc net.Conn) {
	in := bufio.NewReader(nc)
	var err error
	for err == nil {
		var size [4]byte
		if _, err = io.ReadFull(in, size[:]); err != nil {
			break
		}
		n := binary.LittleEndian.Uint32(size[:])
		if n < 1 || n > maxFrame {
			err = fmt.Errorf("frame of %d bytes", n)
			break
		}
		body := make([]byte, n)
		if _, err = io.ReadFull(in, body); err == nil {
			err = c.take(body[0], body[1:])
		}
	}
	if err != io.EOF {
		c.l.Log.Debug("reading from data node ended", "node", c.l.node.ID(), "cause", err)
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.shut()
}

// take handles one frame.
func (c *conn) take(letter byte, rest []byte) error {
	c.l.mu.Lock()
	c.heard = time.Now()
	c.used, c.silent = c.heard, false
	c.l.mu.Unlock()
	switch letter {
	case 'A':
		return c.answer(rest)
	case 'P', 'L':
		c.l.mu.Lock()
		if len(c.probes) == 0 {
			c.l.mu.Unlock()
			return fmt.Errorf("answer to no probe")
		}
		p := c.probes[0]
		c.probes = c.probes[1:]
		c.l.mu.Unlock()
		r := core.Result{Outcome: core.Served, Load: load(strings.TrimSpace(string(rest)))}
		if strings.TrimSpace(string(rest)) == "err" {
			r.Outcome = core.Errored
		}
		c.probed(p, r)
		return nil
	case 'E':
		return fmt.Errorf("data node could not use a frame: %.200q", rest)
	}
	return fmt.Errorf("frame of unknown letter %q", letter)
}

var ends = map[string]core.Outcome{"ok": core.Served, "err": core.Errored, "busy": core.Busy}

// answer handles the answer to a part.
func (c *conn) answer(rest []byte) error {
	line, value, found := bytes.Cut(rest, []byte("\n"))
	words := strings.Fields(string(line))
	if !found || len(words) < 2 || ends[words[1]] == 0 {
		return fmt.Errorf("answer not understood: %.200q", line)
	}
	r := core.Result{Outcome: ends[words[1]], Docs: [][]byte{value}}
	if len(words) > 3 {
		r.Load = load(strings.Join(words[3:], " "))
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	s := c.out[words[0]]
	if s == nil || s.at.IsZero() {
		return nil // given up meanwhile
	}
	delete(c.out, words[0])
	c.l.Core.Report(s.Attempt, r)
	return nil
}

// probed ends a probe once; a late answer to one that timed out is skipped.
func (c *conn) probed(p *probe, r core.Result) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.end(p, r)
}

func (c *conn) end(p *probe, r core.Result) {
	if !p.done {
		p.done = true
		c.l.Core.Probed(c.l.node, r)
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
		if x, err := strconv.ParseFloat(v, 64); ok && err == nil {
			report[k] = x
		}
	}
	return report
}

package platform

// This file owns the watch on discovery: one connection, opened anew after the last version seen whenever it
// ends, and a second one for as long as the watch moves to another address. It must never hold back a change,
// leave one source before the next has told its list, nor let a list or an entry that can't be read end the
// process.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// Watch follows the list of data nodes. Its exported fields are set before Run.
type Watch struct {
	Source   *coordinator.Source
	Log      *slog.Logger
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Persist  func(list []byte)       // takes in the list, in discovery's form, after each change; may be nil
	Schedule membership.PollSchedule // when the list is called for
	Random   func() float64          // from 0 to 1, not the same in each coordinator
	// Confirm is how long a remembered list is used before discovery has answered; 0 sets no bound.
	ConfirmTimeout time.Duration

	moves        chan string
	addr         string
	version      int64
	listed       bool // a list was told, or remembered
	moved        bool // and not by the address in use
	reconnecting bool // the last try failed, and was logged

	confirmed bool // discovery has answered since the start
	withheld  bool // the remembered list is not used

	entries map[string]json.RawMessage // by id
}

// NewWatch returns a watch on discovery at addr.
func NewWatch(addr string) *Watch {
	return &Watch{addr: addr, moves: make(chan string), Random: rand.Float64}
}

// source is one connection to discovery, or the attempt to open one.
type discoveryConn struct {
	addr, target     string
	sinceVersion     bool          // it is asked for what has changed since the version that is held
	firstLineTimeout time.Duration // how long it may bring nothing before its first line
	events           chan<- watchEvent
	stop             context.CancelFunc
}

// telling is what a source has brought: that it is open, that nothing has changed, a page, or its end.
type watchEvent struct {
	from *discoveryConn
	open bool
	idle bool
	page *page
	end  error
}

// page is one message of discovery.
type page struct {
	Version int64             `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`
}

type endpointEntry struct {
	ID, Addr, Zone, State string
	Cell                  int
	Weight                float64
	Started               float64 `json:"started_ms"`
}

var endpointStates = map[string]coordinator.State{"SERVING": coordinator.Serving, "DRAINING": coordinator.Draining, "DELETED": coordinator.Gone}

// members reads the entries of a page and merges them into the list.
func (w *Watch) mergePage(p page) (list []coordinator.Member) {
	if p.Full || w.entries == nil {
		w.entries = map[string]json.RawMessage{}
	}
	for _, raw := range p.Servers {
		m, err := w.parseEntry(raw)
		if err != nil {
			w.Log.Warn("entry of the list not understood", "entry", string(raw), "cause", err)
			continue
		}
		if w.entries[m.ID] = raw; m.State == coordinator.Gone {
			delete(w.entries, m.ID)
		}
		list = append(list, m)
	}
	w.Schedule.Lines = len(w.entries)
	return list
}

// errNoID reports an entry of the list that names no data node.
var errNoID = errors.New("no id")

// member reads an entry. A state that is not known reads as draining, so that nothing new is sent.
func (w *Watch) parseEntry(raw json.RawMessage) (coordinator.Member, error) {
	e := endpointEntry{Weight: 1}
	if err := json.Unmarshal(raw, &e); err != nil {
		return coordinator.Member{}, err
	}
	if e.ID == "" {
		return coordinator.Member{}, errNoID
	}
	m := coordinator.Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, ShardSet: e.Cell, Weight: e.Weight, State: coordinator.Draining}
	if state, known := endpointStates[e.State]; known {
		m.State = state
	} else {
		w.Log.Warn("state not known; taken as draining", "node", e.ID, "state", e.State)
	}
	if e.Started > 0 {
		m.Started = time.UnixMilli(int64(e.Started))
	}
	return m, nil
}

// all is the whole list as it is held.
func (w *Watch) allMembers() (list []coordinator.Member) {
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		if m, err := w.parseEntry(w.entries[id]); err == nil {
			list = append(list, m)
		}
	}
	return list
}

// Remember starts from a list as it was last held.
func (w *Watch) Restore(known []byte) {
	var p page
	if err := json.Unmarshal(known, &p); err != nil {
		w.Log.Warn("remembered list not understood", "cause", err)
		return
	}
	p.Full = true
	w.version, w.listed = p.Version, true
	w.Source.Replace(w.mergePage(p), true)
}

// withhold stops the use of a remembered list that discovery has not confirmed in time: it may name data nodes whose
// drain was told before this process began.
func (w *Watch) withhold() {
	if w.confirmed || !w.listed {
		return
	}
	w.Log.Warn("remembered list not confirmed; nothing is sent until discovery answers", "lines", len(w.entries))
	w.withheld = true
	list := w.allMembers()
	for i := range list {
		list[i].State = coordinator.Draining
	}
	w.Source.Change(list)
}

// confirm takes a remembered list for the present one: discovery has been asked for what has changed since, and nothing has.
func (w *Watch) confirmCached() {
	if w.withheld {
		w.Source.Replace(w.allMembers(), false)
	}
	w.confirmed, w.withheld = true, false
}

// Move goes over to discovery at another address. It returns once Run knows of it, or ctx ends.
func (w *Watch) Move(ctx context.Context, addr string) {
	select {
	case w.moves <- addr:
	case <-ctx.Done():
	}
}

// Run watches until ctx ends. While it moves, the old source is followed until the new one has told its whole
// list: another address may be another agent, whose versions need not be those of the first.
func (w *Watch) Run(ctx context.Context) {
	told := make(chan watchEvent)
	open := func() *discoveryConn {
		s := &discoveryConn{addr: w.addr, target: "/discovery/hosts?watch=1", firstLineTimeout: w.Schedule.Timeout(), events: told}
		if w.listed && !w.moved {
			s.sinceVersion = true
			s.target += "&after=" + strconv.FormatInt(w.version, 10)
		}
		var running context.Context
		running, s.stop = context.WithCancel(ctx)
		go w.runConn(running, s)
		return s
	}
	var now, next *discoveryConn
	again := time.NewTimer(w.Schedule.FirstDelay(w.Random()))
	defer again.Stop()
	var unconfirmed <-chan time.Time
	if w.ConfirmTimeout > 0 {
		timer := time.NewTimer(w.ConfirmTimeout)
		defer timer.Stop()
		unconfirmed = timer.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-unconfirmed:
			w.withhold()
		case addr := <-w.moves:
			if addr == w.addr {
				continue
			}
			w.Log.Info("watch on discovery moves", "from", w.addr, "to", addr)
			if w.addr, w.moved = addr, true; next != nil {
				next.stop()
			}
			next = open()
		case <-again.C:
			if now == nil && next == nil {
				now = open()
			} else if next == nil {
				next = open()
			}
		case t := <-told:
			switch {
			case t.from != now && t.from != next: // it was stopped meanwhile
			case t.end != nil:
				t.from.stop()
				if t.from == now {
					now = nil
				} else {
					next = nil
				}
				if !w.reconnecting {
					w.Log.Warn("watch on discovery ended; opening it anew", "addr", t.from.addr, "version", w.version,
						"cause", t.end)
				}
				if w.reconnecting = true; next == nil {
					again.Reset(w.Schedule.RetryDelay(w.Random()))
				}
			case t.open:
				w.Schedule.Succeeded()
				if w.reconnecting {
					w.Log.Info("watch on discovery is open again", "version", w.version)
				}
				w.reconnecting = false
			case t.idle:
				if t.from == now && t.from.sinceVersion {
					w.confirmCached()
				}
			default:
				if t.from == next {
					if now != nil {
						now.stop()
					}
					now, next = next, nil
				}
				w.moved = w.moved && now.addr != w.addr
				w.apply(*t.page)
			}
		}
	}
}

// apply takes in a page.
func (w *Watch) apply(p page) {
	changed := w.mergePage(p)
	switch {
	case p.Full:
		w.Source.Replace(changed, false)
	case w.withheld:
		w.Source.Replace(w.allMembers(), false)
	default:
		w.Source.Change(changed)
	}
	w.version, w.listed = p.Version, true
	w.confirmed, w.withheld = true, false
	w.persist()
}

// tell passes on what a source has brought, unless it was stopped.
func (s *discoveryConn) send(ctx context.Context, t watchEvent) {
	t.from = s
	select {
	case s.events <- t:
	case <-ctx.Done():
	}
}

// follow runs a source until it ends.
func (w *Watch) runConn(ctx context.Context, s *discoveryConn) {
	begun := time.Now()
	end := w.readPages(ctx, s)
	w.Log.Debug("list call ended", "took", time.Since(begun), "target", s.target, "cause", end)
	s.send(ctx, watchEvent{end: end})
}

// read opens a source's connection and tells what it brings, until it ends.
func (w *Watch) readPages(ctx context.Context, s *discoveryConn) error {
	dialing, cancel := context.WithDeadline(ctx, time.Now().Add(s.firstLineTimeout))
	nc, err := w.Dial(dialing, s.addr)
	cancel()
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetWriteDeadline(time.Now().Add(s.firstLineTimeout))
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", s.target, s.addr); err != nil {
		return err
	}
	live := &silenceTimeoutReader{conn: nc, timeout: s.firstLineTimeout}
	in := textproto.NewReader(bufio.NewReader(live))
	status, err := in.ReadLine()
	if err != nil {
		return err
	}
	if words := strings.Fields(status); len(words) < 2 || words[1] != "200" {
		return fmt.Errorf("discovery answered %.100q", status)
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return err
	}
	body, err := bodyOf(in, header)
	if err != nil {
		return err
	}
	// The head alone tells nothing: the call may still wait its turn, and end.
	opened := &onFirstByte{in: body, call: func() {
		live.timeout = membership.SilenceTimeout
		s.send(ctx, watchEvent{open: true})
	}}
	idle := func() { s.send(ctx, watchEvent{idle: true}) }
	for pages := newPageReader(opened, idle); ; {
		p, err := pages.next()
		if err != nil {
			return err
		}
		s.send(ctx, watchEvent{page: p})
	}
}

// bodyOf is the body of an answer: chunked, of a length, or up to the end of the connection.
func bodyOf(in *textproto.Reader, header textproto.MIMEHeader) (io.Reader, error) {
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		return &chunkReader{in: in}, nil
	}
	length := header.Get("Content-Length")
	if length == "" {
		return in.R, nil
	}
	n, err := strconv.ParseUint(length, 10, 31)
	if err != nil {
		return nil, fmt.Errorf("Content-Length %.40q", length)
	}
	return io.LimitReader(in.R, int64(n)), nil
}

// onFirstByte calls a function once, when the first byte comes.
type onFirstByte struct {
	in   io.Reader
	call func()
}

func (o *onFirstByte) Read(p []byte) (int, error) {
	n, err := o.in.Read(p)
	if n > 0 && o.call != nil {
		o.call()
		o.call = nil
	}
	return n, err
}

// lively reads a connection for as long as it goes on bringing something.
type silenceTimeoutReader struct {
	conn    net.Conn
	timeout time.Duration // that is borne
}

func (l *silenceTimeoutReader) Read(p []byte) (int, error) {
	l.conn.SetReadDeadline(time.Now().Add(l.timeout))
	return l.conn.Read(p)
}

// keep passes on the whole list.
func (w *Watch) persist() {
	if w.Persist == nil {
		return
	}
	p := page{Version: w.version, Full: true, Servers: []json.RawMessage{}}
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		p.Servers = append(p.Servers, w.entries[id])
	}
	if data, err := json.Marshal(p); err == nil {
		w.Persist(data)
	}
}

// chunks reads a chunked body; its end is io.EOF.
type chunkReader struct {
	in   *textproto.Reader
	left int64
	open bool // within a chunk, whose line end is still to come
	done bool
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.left == 0 {
		if c.open {
			if line, err := c.in.ReadLine(); err != nil || line != "" {
				return 0, fmt.Errorf("chunk without its end: %w", unexpected(err))
			}
		}
		line, err := c.in.ReadLine()
		if err != nil {
			return 0, unexpected(err)
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return 0, fmt.Errorf("size of a chunk: %.40q", line)
		}
		if c.left, c.open = int64(n), true; n == 0 {
			for line != "" { // trailers
				if line, err = c.in.ReadLine(); err != nil {
					return 0, unexpected(err)
				}
			}
			c.done = true
			return 0, io.EOF
		}
	}
	n, err := c.in.R.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, unexpected(err)
}

// unexpected is the error of a body that ends too early.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

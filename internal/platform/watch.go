package platform

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// Watch follows the list of data nodes at discovery. It holds one connection, which it reopens after the last version received
// whenever it ends, and a second one while it moves to another address. Its exported fields must be set before Run.
type Watch struct {
	Source   *coordinator.Source
	Log      *slog.Logger
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Persist  func(list []byte)       // receives the list, in the form used by discovery, after each change; may be nil
	Schedule membership.PollSchedule // timing of calls to discovery
	Random   func() float64          // returns a number from 0 to 1 that differs between coordinators
	// ConfirmTimeout is how long a cached list is used before discovery has confirmed it; 0 means no limit.
	ConfirmTimeout time.Duration

	moves             chan string // addresses to move to
	addr              string
	list              endpointList
	hasList           bool // a list is present, received or cached
	listFromOtherAddr bool // the list is from an address other than addr
	failing           bool // the last call failed, which was logged

	confirmed bool // discovery has confirmed or replaced the list since the start
	withheld  bool // the cached list is not in use
}

// NewWatch returns a watch on discovery at addr, with Random set.
func NewWatch(addr string) *Watch {
	return &Watch{addr: addr, moves: make(chan string), Random: rand.Float64}
}

// Restore loads a cached list, as passed to Persist.
func (w *Watch) Restore(cached []byte) {
	p, err := decodePage(cached)
	if err != nil {
		w.Log.Warn("cached list not understood", "cause", err)
		return
	}
	p.Full = true
	w.hasList = true
	w.Source.ReplaceList(w.merge(p), true)
}

// Move switches to discovery at another address. It returns once Run has taken the address, or ctx ends.
func (w *Watch) Move(ctx context.Context, addr string) {
	select {
	case w.moves <- addr:
	case <-ctx.Done():
	}
}

// Run follows discovery until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	r := &watchRun{Watch: w, events: make(chan watchEvent), retry: time.NewTimer(w.Schedule.FirstDelay(w.Random()))}
	defer r.retry.Stop()
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
			r.moveTo(ctx, addr)
		case <-r.retry.C:
			r.connect(ctx)
		case e := <-r.events:
			r.handle(e)
		}
	}
}

// watchRun is the state of a running watch. During a move it follows the old connection until the first page has arrived on the
// new one: another address may be another agent, whose version numbers need not match those of the first.
type watchRun struct {
	*Watch
	events        chan watchEvent
	current, next *watchConn
	retry         *time.Timer // fires when it is time to connect again
}

// open starts a connection.
func (r *watchRun) open(ctx context.Context) *watchConn {
	c := &watchConn{addr: r.addr, timeout: r.Schedule.Timeout(), events: r.events}
	if r.hasList && !r.listFromOtherAddr {
		c.resumes, c.after = true, r.list.version
	}
	ctx, c.stop = context.WithCancel(ctx)
	go r.runConn(ctx, c)
	return c
}

// moveTo opens a connection to another address.
func (r *watchRun) moveTo(ctx context.Context, addr string) {
	if addr == r.addr {
		return
	}
	r.Log.Info("watch on discovery moves", "from", r.addr, "to", addr)
	r.addr, r.listFromOtherAddr = addr, true
	if r.next != nil {
		r.next.stop()
	}
	r.next = r.open(ctx)
}

// connect opens the missing connection.
func (r *watchRun) connect(ctx context.Context) {
	switch {
	case r.next != nil:
	case r.current == nil:
		r.current = r.open(ctx)
	default:
		r.next = r.open(ctx)
	}
}

// handle processes an event of a connection. It ignores events of connections that have been stopped.
func (r *watchRun) handle(e watchEvent) {
	if e.from != r.current && e.from != r.next {
		return
	}
	switch e.kind {
	case watchOpened:
		r.opened()
	case watchUnchanged:
		if e.from == r.current && e.from.resumes {
			r.confirmCached()
		}
	case watchPage:
		r.pageReceived(e.from, e.page)
	case watchEnded:
		r.ended(e.from, e.err)
	}
}

// opened records that discovery has begun to answer.
func (r *watchRun) opened() {
	r.Schedule.Succeeded()
	if r.failing {
		r.Log.Info("watch on discovery reconnected", "version", r.list.version)
	}
	r.failing = false
}

// pageReceived applies a page. The first page of a new connection makes it the current one.
func (r *watchRun) pageReceived(from *watchConn, p *page) {
	if from == r.next {
		if r.current != nil {
			r.current.stop()
		}
		r.current, r.next = r.next, nil
	}
	r.listFromOtherAddr = r.listFromOtherAddr && r.current.addr != r.addr
	r.apply(*p)
}

// ended schedules a reconnect, unless another connection is already being opened.
func (r *watchRun) ended(from *watchConn, err error) {
	from.stop()
	if from == r.current {
		r.current = nil
	} else {
		r.next = nil
	}
	if !r.failing {
		r.Log.Warn("watch on discovery ended; reconnecting", "addr", from.addr, "version", r.list.version, "cause", err)
	}
	r.failing = true
	if r.next == nil {
		r.retry.Reset(r.Schedule.RetryDelay(r.Random()))
	}
}

// apply merges a page into the list and passes the change to Source and Persist.
func (w *Watch) apply(p page) {
	changed := w.merge(p)
	switch {
	case p.Full:
		w.Source.ReplaceList(changed, false)
	case w.withheld:
		w.Source.ReplaceList(w.list.members(w.Log), false)
	default:
		w.Source.ApplyChanges(changed)
	}
	w.hasList = true
	w.confirmed, w.withheld = true, false
	w.persist()
}

// merge merges a page into the list and returns the members that the page names.
func (w *Watch) merge(p page) []coordinator.Member {
	changed := w.list.merge(p, w.Log)
	w.Schedule.ListLength = len(w.list.entries)
	return changed
}

// withhold stops using a cached list that discovery has not confirmed in time. The list may name data nodes whose drain was
// announced before this process started: they would be sent work for as long as discovery is unreachable.
func (w *Watch) withhold() {
	if w.confirmed || !w.hasList {
		return
	}
	w.Log.Warn("cached list not confirmed; nothing is sent until discovery answers", "lines", len(w.list.entries))
	w.withheld = true
	members := w.list.members(w.Log)
	for i := range members {
		members[i].State = coordinator.Draining
	}
	w.Source.ApplyChanges(members)
}

// confirmCached marks a cached list as current: discovery, asked for changes since its version, has reported none.
func (w *Watch) confirmCached() {
	if w.withheld {
		w.Source.ReplaceList(w.list.members(w.Log), false)
	}
	w.confirmed, w.withheld = true, false
}

// persist passes the complete list to Persist.
func (w *Watch) persist() {
	if w.Persist == nil {
		return
	}
	if data, err := w.list.encode(); err == nil {
		w.Persist(data)
	}
}

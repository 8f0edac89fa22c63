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

// Watch follows the list of data nodes at discovery. It has one connection, opened anew after the last version seen whenever
// it ends, and a second one while it moves to another address. Its exported fields are set before Run.
type Watch struct {
	Source   *coordinator.Source
	Log      *slog.Logger
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Persist  func(list []byte)       // takes the list, in discovery's form, after each change; may be nil
	Schedule membership.PollSchedule // when discovery is called
	Random   func() float64          // from 0 to 1, not the same in each coordinator
	// ConfirmTimeout is how long a cached list is used before discovery has answered; 0 sets no bound.
	ConfirmTimeout time.Duration

	moves   chan string // addresses to go over to
	addr    string
	list    endpointList
	listed  bool // there is a list, from discovery or cached
	moved   bool // and not from the address in use
	failing bool // the last call failed, and was logged

	confirmed bool // discovery has answered since the start
	withheld  bool // the cached list is not used
}

// NewWatch returns a watch on discovery at addr.
func NewWatch(addr string) *Watch {
	return &Watch{addr: addr, moves: make(chan string), Random: rand.Float64}
}

// Restore starts from a cached list, as Persist got it.
func (w *Watch) Restore(cached []byte) {
	p, err := decodePage(cached)
	if err != nil {
		w.Log.Warn("cached list not understood", "cause", err)
		return
	}
	p.Full = true
	w.listed = true
	w.Source.ReplaceList(w.merge(p), true)
}

// Move goes over to discovery at another address. It returns once Run knows of it, or ctx ends.
func (w *Watch) Move(ctx context.Context, addr string) {
	select {
	case w.moves <- addr:
	case <-ctx.Done():
	}
}

// Run watches until ctx ends.
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

// watchRun is the connections of a watch that runs. While it moves, the old connection is followed until the new one has
// brought its list: another address may be another agent, whose versions need not be those of the first.
type watchRun struct {
	*Watch
	events        chan watchEvent
	current, next *watchConn
	retry         *time.Timer // when to connect again
}

// open starts a connection.
func (r *watchRun) open(ctx context.Context) *watchConn {
	c := &watchConn{addr: r.addr, timeout: r.Schedule.Timeout(), events: r.events}
	if r.listed && !r.moved {
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
	r.addr, r.moved = addr, true
	if r.next != nil {
		r.next.stop()
	}
	r.next = r.open(ctx)
}

// connect opens the connection that is missing.
func (r *watchRun) connect(ctx context.Context) {
	switch {
	case r.next != nil:
	case r.current == nil:
		r.current = r.open(ctx)
	default:
		r.next = r.open(ctx)
	}
}

// handle takes in what a connection has brought. What comes of one that was stopped meanwhile is skipped.
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

// opened notes that discovery has begun to answer.
func (r *watchRun) opened() {
	r.Schedule.Succeeded()
	if r.failing {
		r.Log.Info("watch on discovery reconnected", "version", r.list.version)
	}
	r.failing = false
}

// pageReceived takes in a page. With its first one, a new connection replaces the current one.
func (r *watchRun) pageReceived(from *watchConn, p *page) {
	if from == r.next {
		if r.current != nil {
			r.current.stop()
		}
		r.current, r.next = r.next, nil
	}
	r.moved = r.moved && r.current.addr != r.addr
	r.apply(*p)
}

// ended sets when to connect again, unless another connection is under way.
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

// apply takes a page into the list and passes the change on.
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
	w.listed = true
	w.confirmed, w.withheld = true, false
	w.persist()
}

// merge takes a page into the list and returns the members that it names.
func (w *Watch) merge(p page) []coordinator.Member {
	changed := w.list.merge(p, w.Log)
	w.Schedule.ListLength = len(w.list.entries)
	return changed
}

// withhold stops the use of a cached list that discovery has not confirmed in time. It may name data nodes whose drain was
// notified before this process began: they would get work for as long as discovery is away.
func (w *Watch) withhold() {
	if w.confirmed || !w.listed {
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

// confirmCached takes a cached list for the present one: discovery was asked for what has changed since, and nothing has.
func (w *Watch) confirmCached() {
	if w.withheld {
		w.Source.ReplaceList(w.list.members(w.Log), false)
	}
	w.confirmed, w.withheld = true, false
}

// persist passes on the complete list.
func (w *Watch) persist() {
	if w.Persist == nil {
		return
	}
	if data, err := w.list.encode(); err == nil {
		w.Persist(data)
	}
}

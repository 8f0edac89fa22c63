package admission

// This file owns the Door: its scopes, its passes and their order. It must never let a pass count in one scope and not
// in another, nor keep a scope for nobody beyond its bound.

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

// Pass is one that came in. It is given back by Leave, once.
type Pass struct {
	kind   Kind
	in     [scopes]*scope
	number uint64
	held   int64
	moved  time.Time // when it last made progress, or began to hold
	heavy  int       // its index among those that hold; -1 where it holds nothing
	read   bool      // something of what it holds is being read; else it is only reserved
	gone   bool
	cut    bool
}

// Held is how many bytes it holds.
func (p *Pass) Held() int64 { return p.held }

type scopeKey struct {
	scope Scope
	id    string
	conn  uint64
}

// scope is the account of one connection, owner or network, or of all.
type scope struct {
	key     scopeKey
	limits  *Limits
	streams int
	queries int
	passes  int
	bytes   int64
	tokens  float64
	filled  time.Time
	left    [2]departures // by Kind
	idle    *list.Element
}

// departures is how often one leaves, as a mean of the pauses between that weighs the latest most.
type departures struct {
	last  time.Time
	pause float64 // seconds; 0 while not known
}

// departWeight is of the latest pause in the mean.
const departWeight = 0.2

// Controller is where passes are given out. It is not safe for use by several goroutines.
type Controller struct {
	cfg    Config
	scopes map[scopeKey]*scope
	idle   *list.List
	heavy  []*Pass // those that hold bytes
	count  uint64
}

// New returns a door that nobody has passed, or the first figure that can't be worked with.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d := &Controller{cfg: cfg.withDefaults(), scopes: map[scopeKey]*scope{}, idle: list.New()}
	return d, nil
}

// Change sets other figures; those who are in stay in.
func (d *Controller) Change(cfg Config) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	d.cfg = cfg.withDefaults()
	for _, s := range d.scopes {
		s.limits = d.limits(s.key.scope)
		s.tokens = math.Min(s.tokens, s.limits.Burst)
	}
	return nil
}

func (d *Controller) limits(s Scope) *Limits {
	return [...]*Limits{&d.cfg.Connection, &d.cfg.Owner, &d.cfg.Network, &d.cfg.All}[s]
}

// scope finds or makes the account of a key.
func (d *Controller) scope(now time.Time, k scopeKey) *scope {
	s := d.scopes[k]
	if s == nil {
		s = &scope{key: k, limits: d.limits(k.scope), filled: now}
		s.tokens = s.limits.Burst
		d.scopes[k] = s
	}
	return s
}

// keys are the scopes that somebody counts in; one without an owner or network has none of that scope.
func keys(w Who) (list []scopeKey) {
	list = append(list, scopeKey{scope: Connection, conn: w.Connection})
	if w.Owner != "" {
		list = append(list, scopeKey{scope: Owner, id: w.Owner})
	}
	if w.Network != "" {
		list = append(list, scopeKey{scope: Network, id: w.Network})
	}
	return append(list, scopeKey{scope: All})
}

// Admit asks for a pass.
func (d *Controller) Admit(now time.Time, w Who, k Kind) (*Pass, *Refusal) {
	d.count++
	p := &Pass{kind: k, number: d.count, heavy: -1, moved: now}
	var refused *Refusal
	for _, key := range keys(w) {
		s := d.scope(now, key)
		p.in[key.scope] = s
		s.fill(now)
		if r := d.full(now, s, k); r != nil && refused == nil {
			refused = r
		}
	}
	if refused != nil {
		for _, s := range p.in {
			if s != nil {
				d.rest(now, s)
			}
		}
		return nil, refused
	}
	for _, s := range p.in {
		if s == nil {
			continue
		}
		d.wake(s)
		s.passes++
		if k == Stream {
			s.streams++
		} else if s.queries++; s.limits.Rate > 0 {
			s.tokens--
		}
	}
	return p, nil
}

// full tells whether a scope has no place for one more.
func (d *Controller) full(now time.Time, s *scope, k Kind) *Refusal {
	l := s.limits
	switch {
	case k == Stream && l.Streams > 0 && s.streams >= l.Streams:
		return &Refusal{s.key.scope, Streams, float64(l.Streams), d.wait(now, s, k, 1)}
	case k == Query && l.Queries > 0 && s.queries >= l.Queries:
		return &Refusal{s.key.scope, Queries, float64(l.Queries), d.wait(now, s, k, 1)}
	case k == Query && l.Rate > 0 && s.tokens < 1:
		return &Refusal{s.key.scope, Rate, l.Rate, d.bound((1 - s.tokens) / l.Rate)}
	}
	return nil
}

// bound turns seconds into a time to come back.
func (d *Controller) bound(seconds float64) time.Duration {
	if !(seconds < d.cfg.MostRetry.Seconds()) {
		return d.cfg.MostRetry
	}
	return max(d.cfg.LeastRetry, time.Duration(math.Ceil(seconds*1e9)))
}

// wait is how long it should take until n have left a scope. While nobody has left for longer than usual, the pause
// that is under way counts in place of the mean.
func (d *Controller) wait(now time.Time, s *scope, k Kind, n int) time.Duration {
	left := &s.left[k]
	if left.pause == 0 {
		return d.bound(math.Sqrt(d.cfg.LeastRetry.Seconds() * d.cfg.MostRetry.Seconds())) // not known: between the bounds
	}
	return d.bound(math.Max(left.pause, now.Sub(left.last).Seconds()) * float64(n))
}

// fill brings a bucket up to date.
func (s *scope) fill(now time.Time) {
	if s.limits.Rate > 0 && now.After(s.filled) {
		s.tokens = math.Min(s.limits.Burst, s.tokens+s.limits.Rate*now.Sub(s.filled).Seconds())
	}
	if now.After(s.filled) {
		s.filled = now
	}
}

// Release gives a pass back, with all that it holds. A second time does nothing.
func (d *Controller) Release(now time.Time, p *Pass) {
	if p.gone {
		return
	}
	p.gone = true
	d.drop(p, p.held)
	for _, s := range p.in {
		if s == nil {
			continue
		}
		s.passes--
		if p.kind == Stream {
			s.streams--
		} else {
			s.queries--
		}
		s.left[p.kind].note(now)
		d.rest(now, s)
	}
}

func (l *departures) note(now time.Time) {
	if !l.last.IsZero() {
		if pause := math.Max(now.Sub(l.last).Seconds(), 1e-6); l.pause == 0 {
			l.pause = pause
		} else {
			l.pause += departWeight * (pause - l.pause)
		}
	}
	l.last = now
}

// Hold asks for room for bytes that a pass is to hold. Where there is none it may be made by cutting others, which are
// returned and hold nothing from now on; their streams must be ended. A refusal cuts nobody.
func (d *Controller) Hold(now time.Time, p *Pass, bytes int64) (cut []*Pass, refused *Refusal) {
	if cut, refused = d.Reserve(now, p, bytes); refused == nil && !p.read && !p.cut {
		p.read, p.moved = p.held > 0, now
	}
	return cut, refused
}

// Reserve is Hold for an answer that has not come yet: nobody is cut for not reading what is not there.
func (d *Controller) Reserve(now time.Time, p *Pass, bytes int64) (cut []*Pass, refused *Refusal) {
	if p.gone || p.cut || bytes <= 0 {
		return nil, nil
	}
	for _, s := range p.in {
		if s == nil || s.key.scope == All || s.limits.Bytes == 0 || s.bytes+bytes <= s.limits.Bytes {
			continue
		}
		return nil, &Refusal{s.key.scope, Bytes, float64(s.limits.Bytes), d.wait(now, s, p.kind, 1)}
	}
	all := p.in[All]
	if limit := all.limits.Bytes; limit > 0 && all.bytes+bytes > limit {
		short := all.bytes + bytes - limit
		for _, v := range d.slowest(now, p) {
			if short <= 0 {
				break
			}
			cut, short = append(cut, v), short-v.held
		}
		if short > 0 {
			return nil, &Refusal{All, Bytes, float64(limit), d.wait(now, all, p.kind, 1)}
		}
		for _, v := range cut {
			v.cut = true
			d.drop(v, v.held)
		}
	}
	if p.held == 0 {
		p.moved, p.heavy = now, len(d.heavy)
		d.heavy = append(d.heavy, p)
	}
	p.held += bytes
	for _, s := range p.in {
		if s != nil {
			s.bytes += bytes
		}
	}
	return cut, nil
}

// slowest are the readers that may be cut for another, the first to go first.
func (d *Controller) slowest(now time.Time, but *Pass) (list []*Pass) {
	for _, p := range d.heavy {
		if p != but && p.read && now.Sub(p.moved) >= d.cfg.Grace {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *Pass) int {
		return cmp.Or(a.moved.Compare(b.moved), cmp.Compare(b.held, a.held), cmp.Compare(a.number, b.number))
	})
	return list
}

// Read notes that a reader has taken bytes in: it holds them no more, and makes progress.
func (d *Controller) Read(now time.Time, p *Pass, bytes int64) {
	if p.gone || p.cut || bytes <= 0 {
		return
	}
	p.moved = now
	d.drop(p, min(bytes, p.held))
}

// drop takes bytes off the accounts.
func (d *Controller) drop(p *Pass, bytes int64) {
	if bytes <= 0 {
		return
	}
	p.held -= bytes
	for _, s := range p.in {
		if s != nil {
			s.bytes -= bytes
		}
	}
	if p.held == 0 {
		last := d.heavy[len(d.heavy)-1]
		d.heavy[p.heavy], last.heavy = last, p.heavy
		d.heavy = d.heavy[:len(d.heavy)-1]
		p.heavy, p.read = -1, false
	}
}

// Tick returns those that have made no progress for Stall. They hold nothing from now on; their streams must be ended.
func (d *Controller) Tick(now time.Time) (cut []*Pass) {
	for _, p := range d.heavy {
		if p.read && now.Sub(p.moved) >= d.cfg.Stall {
			cut = append(cut, p)
		}
	}
	slices.SortFunc(cut, func(a, b *Pass) int { return cmp.Compare(a.number, b.number) })
	for _, p := range cut {
		p.cut = true
		d.drop(p, p.held)
	}
	return cut
}

// Next is when Tick must be called if nothing else happens before; zero where it need not be.
func (d *Controller) Next() (at time.Time) {
	for _, p := range d.heavy {
		if due := p.moved.Add(d.cfg.Stall); p.read && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// wake takes a scope off those that are kept for nobody.
func (d *Controller) wake(s *scope) {
	if s.idle != nil {
		d.idle.Remove(s.idle)
		s.idle = nil
	}
}

// rest keeps or forgets a scope that nobody is in.
func (d *Controller) rest(now time.Time, s *scope) {
	if s.passes > 0 || s.key.scope == All {
		return
	}
	d.wake(s)
	young := s.limits.Rate > 0 && s.tokens < s.limits.Burst
	if s.key.scope == Connection || !young && s.left[Stream].last.IsZero() && s.left[Query].last.IsZero() {
		delete(d.scopes, s.key) // nothing of it is worth knowing
		return
	}
	s.idle = d.idle.PushBack(s)
	for d.idle.Len() > d.cfg.MaxIdle {
		old := d.idle.Front().Value.(*scope)
		d.wake(old)
		delete(d.scopes, old.key)
	}
}

// Usage is what a scope has in it.
type Usage struct {
	Scope            Scope
	ID               string
	Streams, Queries int
	Bytes            int64
}

// Usage is what owners, networks and all have in them, by scope and name.
func (d *Controller) Usage() (list []Usage) {
	for k, s := range d.scopes {
		if k.scope != Connection && s.passes > 0 {
			list = append(list, Usage{k.scope, k.id, s.streams, s.queries, s.bytes})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.ID, b.ID)) })
	return list
}

package admission

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

// Pass is what was admitted. It is given back by Release, once.
type Pass struct {
	kind         Kind
	scopes       [scopes]*scope
	number       uint64
	bytes        int64
	lastProgress time.Time // when it last made progress, or began to hold
	holderIndex  int       // its index among those that hold; -1 where it holds nothing
	reading      bool      // something of what it holds is being read; else it is only reserved
	released     bool
	evicted      bool
}

// Bytes is how many bytes of answers it holds.
func (p *Pass) Bytes() int64 { return p.bytes }

type scopeKey struct {
	scope Scope
	id    string
	conn  uint64
}

// scope is the account of one connection, owner or network, or of all.
type scope struct {
	key        scopeKey
	limits     *Limits
	streams    int
	queries    int
	passes     int
	bytes      int64
	tokens     float64
	refilled   time.Time
	departures [2]departureRate // by Kind
	idle       *list.Element
}

// departureRate is how often a pass is released: the exponentially weighted mean of the intervals between.
type departureRate struct {
	last     time.Time
	interval float64 // seconds; 0 while not known
}

// departureWeight is the weight of the latest interval in the mean.
const departureWeight = 0.2

// Controller admits and counts. It is not safe for use by several goroutines.
type Controller struct {
	cfg     Config
	scopes  map[scopeKey]*scope
	idle    *list.List
	holders []*Pass // those that hold bytes
	count   uint64
}

// New returns a controller that has admitted nothing. The error names the first limit that is out of its range.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	d := &Controller{cfg: cfg.withDefaults(), scopes: map[scopeKey]*scope{}, idle: list.New()}
	return d, nil
}

// SetLimits sets other limits; what was admitted stays admitted.
func (d *Controller) SetLimits(cfg Config) error {
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
		s = &scope{key: k, limits: d.limits(k.scope), refilled: now}
		s.tokens = s.limits.Burst
		d.scopes[k] = s
	}
	return s
}

// keys are the scopes that somebody counts in; one without an owner or network has none of that scope.
func keys(c Client) (list []scopeKey) {
	list = append(list, scopeKey{scope: Connection, conn: c.Connection})
	if c.Owner != "" {
		list = append(list, scopeKey{scope: Owner, id: c.Owner})
	}
	if c.Network != "" {
		list = append(list, scopeKey{scope: Network, id: c.Network})
	}
	return append(list, scopeKey{scope: All})
}

// Admit admits a call or a query. A rejected one counts nowhere.
func (d *Controller) Admit(now time.Time, client Client, k Kind) (*Pass, *Rejection) {
	d.count++
	p := &Pass{kind: k, number: d.count, holderIndex: -1, lastProgress: now}
	var rejection *Rejection
	for _, key := range keys(client) {
		s := d.scope(now, key)
		p.scopes[key.scope] = s
		s.refill(now)
		if r := d.exceeded(now, s, k); r != nil && rejection == nil {
			rejection = r
		}
	}
	if rejection != nil {
		for _, s := range p.scopes {
			if s != nil {
				d.retire(s)
			}
		}
		return nil, rejection
	}
	for _, s := range p.scopes {
		if s != nil {
			d.activate(s)
			s.charge(k)
		}
	}
	return p, nil
}

// charge counts a pass of a kind in.
func (s *scope) charge(k Kind) {
	s.passes++
	if k == Stream {
		s.streams++
		return
	}
	if s.queries++; s.limits.Rate > 0 {
		s.tokens--
	}
}

// exceeded is the rejection of one more in a scope; nil where it may be admitted.
func (d *Controller) exceeded(now time.Time, s *scope, k Kind) *Rejection {
	l := s.limits
	switch {
	case k == Stream && l.Streams > 0 && s.streams >= l.Streams:
		return &Rejection{s.key.scope, Streams, float64(l.Streams), d.retryAfter(now, s, k)}
	case k == Query && l.Queries > 0 && s.queries >= l.Queries:
		return &Rejection{s.key.scope, Queries, float64(l.Queries), d.retryAfter(now, s, k)}
	case k == Query && l.Rate > 0 && s.tokens < 1:
		return &Rejection{s.key.scope, Rate, l.Rate, d.clampRetryAfter((1 - s.tokens) / l.Rate)}
	}
	return nil
}

// clampRetryAfter turns seconds into a Retry-After within the bounds.
func (d *Controller) clampRetryAfter(seconds float64) time.Duration {
	if !(seconds < d.cfg.MaxRetryAfter.Seconds()) {
		return d.cfg.MaxRetryAfter
	}
	return max(d.cfg.MinRetryAfter, time.Duration(math.Ceil(seconds*1e9)))
}

// retryAfter is how long it should take until a pass of a kind was released in a scope. While nobody has left for longer than usual, the pause
// that is under way counts in place of the mean.
func (d *Controller) retryAfter(now time.Time, s *scope, k Kind) time.Duration {
	left := &s.departures[k]
	if left.interval == 0 {
		return d.clampRetryAfter(math.Sqrt(d.cfg.MinRetryAfter.Seconds() * d.cfg.MaxRetryAfter.Seconds())) // not known: between the bounds
	}
	return d.clampRetryAfter(math.Max(left.interval, now.Sub(left.last).Seconds()))
}

// refill adds the tokens of the time that has passed.
func (s *scope) refill(now time.Time) {
	if s.limits.Rate > 0 && now.After(s.refilled) {
		s.tokens = math.Min(s.limits.Burst, s.tokens+s.limits.Rate*now.Sub(s.refilled).Seconds())
	}
	if now.After(s.refilled) {
		s.refilled = now
	}
}

// Release gives a pass back, with all that it holds. A second time does nothing.
func (d *Controller) Release(now time.Time, p *Pass) {
	if p.released {
		return
	}
	p.released = true
	d.uncharge(p, p.bytes)
	for _, s := range p.scopes {
		if s == nil {
			continue
		}
		s.passes--
		if p.kind == Stream {
			s.streams--
		} else {
			s.queries--
		}
		s.departures[p.kind].record(now)
		d.retire(s)
	}
}

func (l *departureRate) record(now time.Time) {
	if !l.last.IsZero() {
		if pause := math.Max(now.Sub(l.last).Seconds(), 1e-6); l.interval == 0 {
			l.interval = pause
		} else {
			l.interval += departureWeight * (pause - l.interval)
		}
	}
	l.last = now
}

// Hold asks for memory for bytes of an answer that a pass is reading from now on. Slow readers may be evicted for it: they are
// returned and hold nothing from now on, and their streams must be ended. A rejection evicts nobody.
func (d *Controller) Hold(now time.Time, p *Pass, bytes int64) (evicted []*Pass, rejection *Rejection) {
	if evicted, rejection = d.Reserve(now, p, bytes); rejection == nil && !p.reading && !p.evicted {
		p.reading, p.lastProgress = p.bytes > 0, now
	}
	return evicted, rejection
}

// Reserve is Hold for an answer that has not come yet: nobody is evicted for not reading what is not there.
func (d *Controller) Reserve(now time.Time, p *Pass, bytes int64) (evicted []*Pass, rejection *Rejection) {
	if p.released || p.evicted || bytes <= 0 {
		return nil, nil
	}
	for _, s := range p.scopes {
		if s == nil || s.key.scope == All || s.limits.Bytes == 0 || s.bytes+bytes <= s.limits.Bytes {
			continue
		}
		return nil, &Rejection{s.key.scope, Bytes, float64(s.limits.Bytes), d.retryAfter(now, s, p.kind)}
	}
	evicted, rejection = d.evictFor(now, p, bytes)
	if rejection != nil {
		return nil, rejection
	}
	if p.bytes == 0 {
		p.lastProgress, p.holderIndex = now, len(d.holders)
		d.holders = append(d.holders, p)
	}
	p.bytes += bytes
	for _, s := range p.scopes {
		if s != nil {
			s.bytes += bytes
		}
	}
	return evicted, nil
}

// evictFor makes room for bytes that a pass is to hold, where the limit of all is reached. Those evicted hold nothing any more.
// A rejection evicts nobody.
func (d *Controller) evictFor(now time.Time, p *Pass, bytes int64) (evicted []*Pass, rejection *Rejection) {
	all := p.scopes[All]
	limit := all.limits.Bytes
	missing := all.bytes + bytes - limit
	if limit <= 0 || missing <= 0 {
		return nil, nil
	}
	for _, reader := range d.slowReaders(now, p) {
		if missing <= 0 {
			break
		}
		evicted, missing = append(evicted, reader), missing-reader.bytes
	}
	if missing > 0 {
		return nil, &Rejection{All, Bytes, float64(limit), d.retryAfter(now, all, p.kind)}
	}
	for _, reader := range evicted {
		reader.evicted = true
		d.uncharge(reader, reader.bytes)
	}
	return evicted, nil
}

// slowReaders are those that may be evicted for another, the first to go first.
func (d *Controller) slowReaders(now time.Time, but *Pass) (list []*Pass) {
	for _, p := range d.holders {
		if p != but && p.reading && now.Sub(p.lastProgress) >= d.cfg.SlowReaderGrace {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *Pass) int {
		return cmp.Or(a.lastProgress.Compare(b.lastProgress), cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.number, b.number))
	})
	return list
}

// Read notes that a reader has taken bytes in: it holds them no more, and makes progress.
func (d *Controller) Read(now time.Time, p *Pass, bytes int64) {
	if p.released || p.evicted || bytes <= 0 {
		return
	}
	p.lastProgress = now
	d.uncharge(p, min(bytes, p.bytes))
}

// uncharge takes bytes off the accounts of a pass.
func (d *Controller) uncharge(p *Pass, bytes int64) {
	if bytes <= 0 {
		return
	}
	p.bytes -= bytes
	for _, s := range p.scopes {
		if s != nil {
			s.bytes -= bytes
		}
	}
	if p.bytes == 0 {
		last := d.holders[len(d.holders)-1]
		d.holders[p.holderIndex], last.holderIndex = last, p.holderIndex
		d.holders = d.holders[:len(d.holders)-1]
		p.holderIndex, p.reading = -1, false
	}
}

// Tick returns those that have made no progress for Stall. They hold nothing from now on; their streams must be ended.
func (d *Controller) Tick(now time.Time) (cut []*Pass) {
	for _, p := range d.holders {
		if p.reading && now.Sub(p.lastProgress) >= d.cfg.StallTimeout {
			cut = append(cut, p)
		}
	}
	slices.SortFunc(cut, func(a, b *Pass) int { return cmp.Compare(a.number, b.number) })
	for _, p := range cut {
		p.evicted = true
		d.uncharge(p, p.bytes)
	}
	return cut
}

// Next is when Tick must be called if nothing else happens before; zero where it need not be.
func (d *Controller) Next() (at time.Time) {
	for _, p := range d.holders {
		if due := p.lastProgress.Add(d.cfg.StallTimeout); p.reading && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// activate takes a scope off the list of idle ones.
func (d *Controller) activate(s *scope) {
	if s.idle != nil {
		d.idle.Remove(s.idle)
		s.idle = nil
	}
}

// retire keeps or forgets a scope that has no passes.
func (d *Controller) retire(s *scope) {
	if s.passes > 0 || s.key.scope == All {
		return
	}
	d.activate(s)
	young := s.limits.Rate > 0 && s.tokens < s.limits.Burst
	if s.key.scope == Connection || !young && s.departures[Stream].last.IsZero() && s.departures[Query].last.IsZero() {
		delete(d.scopes, s.key) // nothing of it is worth knowing
		return
	}
	s.idle = d.idle.PushBack(s)
	for d.idle.Len() > d.cfg.MaxIdleScopes {
		old := d.idle.Front().Value.(*scope)
		d.activate(old)
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

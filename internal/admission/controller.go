package admission

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"
)

// Pass is an admitted call or query. Release ends it, once.
type Pass struct {
	kind         Kind
	scopes       [scopeCount]*scopeState
	seq          uint64
	bytes        int64
	lastProgress time.Time // when its reader last made progress, or when it began to hold bytes
	holderIndex  int       // index in Controller.holders; -1 if the pass holds nothing
	reading      bool      // the client is reading the answer; false while the bytes are only reserved
	released     bool
	evicted      bool
}

// Bytes returns the bytes of answers that the pass holds.
func (p *Pass) Bytes() int64 { return p.bytes }

type scopeKey struct {
	scope Scope
	id    string
	conn  uint64
}

// scopeState counts the usage of one connection, owner or network, or of all clients.
type scopeState struct {
	key              scopeKey
	limits           *Limits
	streams          int
	queries          int
	passes           int
	bytes            int64
	tokens           float64
	refilled         time.Time
	releaseIntervals [2]releaseInterval // indexed by Kind
	idleElement      *list.Element
}

// releaseInterval tracks the intervals between releases of passes of one kind.
type releaseInterval struct {
	last time.Time // of the last release
	mean float64   // exponentially weighted mean of the intervals, in seconds; 0 until two passes have been released
}

// releaseIntervalWeight is the weight of the latest interval in the mean.
const releaseIntervalWeight = 0.2

// Controller admits requests and counts their usage. It is not safe for concurrent use.
type Controller struct {
	cfg        Config
	scopes     map[scopeKey]*scopeState
	idleScopes *list.List
	holders    []*Pass // passes that hold bytes
	lastSeq    uint64
}

// New returns a controller without passes, or the error of Config.Check.
func New(cfg Config) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg.withDefaults(), scopes: map[scopeKey]*scopeState{}, idleScopes: list.New()}
	return c, nil
}

// SetLimits replaces the whole configuration: the limits and the times. Passes that were admitted before stay admitted, even above the new
// limits.
func (c *Controller) SetLimits(cfg Config) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	c.cfg = cfg.withDefaults()
	for _, s := range c.scopes {
		s.limits = c.limits(s.key.scope)
		s.tokens = math.Min(s.tokens, s.limits.Burst)
	}
	return nil
}

func (c *Controller) limits(s Scope) *Limits {
	return [...]*Limits{&c.cfg.Connection, &c.cfg.Owner, &c.cfg.Network, &c.cfg.All}[s]
}

// scopeFor returns the state of the scope of a key and creates it if it does not exist.
func (c *Controller) scopeFor(now time.Time, k scopeKey) *scopeState {
	s := c.scopes[k]
	if s == nil {
		s = &scopeState{key: k, limits: c.limits(k.scope), refilled: now}
		s.tokens = s.limits.Burst
		c.scopes[k] = s
	}
	return s
}

// scopeKeys returns the keys of the scopes that a client counts in. Without an owner or a network it counts in no scope of that kind.
func scopeKeys(c Client) (list []scopeKey) {
	list = append(list, scopeKey{scope: Connection, conn: c.Connection})
	if c.Owner != "" {
		list = append(list, scopeKey{scope: Owner, id: c.Owner})
	}
	if c.Network != "" {
		list = append(list, scopeKey{scope: Network, id: c.Network})
	}
	return append(list, scopeKey{scope: All})
}

// Admit admits or rejects a call or a query. A rejected one counts in no scope.
func (c *Controller) Admit(now time.Time, client Client, k Kind) (*Pass, *Rejection) {
	c.lastSeq++
	p := &Pass{kind: k, seq: c.lastSeq, holderIndex: -1, lastProgress: now}
	var rejection *Rejection
	for _, key := range scopeKeys(client) {
		s := c.scopeFor(now, key)
		p.scopes[key.scope] = s
		s.refill(now)
		if r := c.exceeded(now, s, k); r != nil && rejection == nil {
			rejection = r
		}
	}
	if rejection != nil {
		for _, s := range p.scopes {
			if s != nil {
				c.markIdle(s)
			}
		}
		return nil, rejection
	}
	for _, s := range p.scopes {
		if s != nil {
			c.removeFromIdle(s)
			s.countPass(k)
		}
	}
	return p, nil
}

// countPass counts a new pass of a kind and takes its token from the bucket.
func (s *scopeState) countPass(k Kind) {
	s.passes++
	if k == Stream {
		s.streams++
		return
	}
	if s.queries++; s.limits.Rate > 0 {
		s.tokens--
	}
}

// exceeded returns the rejection of one more pass of a kind in a scope, or nil if the scope admits it.
func (c *Controller) exceeded(now time.Time, s *scopeState, k Kind) *Rejection {
	l := s.limits
	switch {
	case k == Stream && l.Streams > 0 && s.streams >= l.Streams:
		return &Rejection{s.key.scope, Streams, float64(l.Streams), c.retryAfter(now, s, k)}
	case k == Query && l.Queries > 0 && s.queries >= l.Queries:
		return &Rejection{s.key.scope, Queries, float64(l.Queries), c.retryAfter(now, s, k)}
	case k == Query && l.Rate > 0 && s.tokens < 1:
		return &Rejection{s.key.scope, Rate, l.Rate, c.clampRetryAfter((1 - s.tokens) / l.Rate)}
	}
	return nil
}

// clampRetryAfter converts seconds to a duration between MinRetryAfter and MaxRetryAfter.
func (c *Controller) clampRetryAfter(seconds float64) time.Duration {
	if !(seconds < c.cfg.MaxRetryAfter.Seconds()) {
		return c.cfg.MaxRetryAfter
	}
	return max(c.cfg.MinRetryAfter, time.Duration(math.Ceil(seconds*1e9)))
}

// retryAfter returns the expected time until the next pass of a kind is released in a scope: the mean interval between releases, or
// the time since the last release where that is longer.
func (c *Controller) retryAfter(now time.Time, s *scopeState, k Kind) time.Duration {
	releases := &s.releaseIntervals[k]
	if releases.mean == 0 {
		// No interval is known yet: the geometric mean of the bounds.
		return c.clampRetryAfter(math.Sqrt(c.cfg.MinRetryAfter.Seconds() * c.cfg.MaxRetryAfter.Seconds()))
	}
	return c.clampRetryAfter(math.Max(releases.mean, now.Sub(releases.last).Seconds()))
}

// refill adds the tokens for the time since the last refill.
func (s *scopeState) refill(now time.Time) {
	if s.limits.Rate > 0 && now.After(s.refilled) {
		s.tokens = math.Min(s.limits.Burst, s.tokens+s.limits.Rate*now.Sub(s.refilled).Seconds())
	}
	if now.After(s.refilled) {
		s.refilled = now
	}
}

// Release ends a pass and frees the bytes that it holds. A second call for the same pass does nothing.
func (c *Controller) Release(now time.Time, p *Pass) {
	if p.released {
		return
	}
	p.released = true
	c.releaseBytes(p, p.bytes)
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
		s.releaseIntervals[p.kind].record(now)
		c.markIdle(s)
	}
}

// record adds the interval since the last release to the mean.
func (l *releaseInterval) record(now time.Time) {
	if !l.last.IsZero() {
		if interval := math.Max(now.Sub(l.last).Seconds(), 1e-6); l.mean == 0 {
			l.mean = interval
		} else {
			l.mean += releaseIntervalWeight * (interval - l.mean)
		}
	}
	l.last = now
}

// Hold acquires memory for bytes of an answer that the client of a pass reads from now on. Slow readers may be evicted for it; they
// are returned and hold nothing any more, and the caller must end their streams. A rejection evicts no reader.
func (c *Controller) Hold(now time.Time, p *Pass, bytes int64) (evicted []*Pass, rejection *Rejection) {
	if evicted, rejection = c.Reserve(now, p, bytes); rejection == nil && !p.reading && !p.evicted {
		p.reading, p.lastProgress = p.bytes > 0, now
	}
	return evicted, rejection
}

// Reserve is like Hold, but for an answer that has not arrived yet. A pass that only has reservations is never evicted, since there is
// nothing for its client to read.
func (c *Controller) Reserve(now time.Time, p *Pass, bytes int64) (evicted []*Pass, rejection *Rejection) {
	if p.released || p.evicted || bytes <= 0 {
		return nil, nil
	}
	for _, s := range p.scopes {
		if s == nil || s.key.scope == All || s.limits.Bytes == 0 || s.bytes+bytes <= s.limits.Bytes {
			continue
		}
		return nil, &Rejection{s.key.scope, Bytes, float64(s.limits.Bytes), c.retryAfter(now, s, p.kind)}
	}
	evicted, rejection = c.evictSlowReaders(now, p, bytes)
	if rejection != nil {
		return nil, rejection
	}
	if p.bytes == 0 {
		p.lastProgress, p.holderIndex = now, len(c.holders)
		c.holders = append(c.holders, p)
	}
	p.bytes += bytes
	for _, s := range p.scopes {
		if s != nil {
			s.bytes += bytes
		}
	}
	return evicted, nil
}

// evictSlowReaders evicts as many slow readers as are needed for a pass to hold more bytes within the byte limit of all clients.
// Evicted passes hold nothing any more. A rejection evicts no reader.
func (c *Controller) evictSlowReaders(now time.Time, p *Pass, bytes int64) (evicted []*Pass, rejection *Rejection) {
	all := p.scopes[All]
	limit := all.limits.Bytes
	shortfall := all.bytes + bytes - limit
	if limit <= 0 || shortfall <= 0 {
		return nil, nil
	}
	for _, reader := range c.slowReaders(now, p) {
		if shortfall <= 0 {
			break
		}
		evicted, shortfall = append(evicted, reader), shortfall-reader.bytes
	}
	if shortfall > 0 {
		return nil, &Rejection{All, Bytes, float64(limit), c.retryAfter(now, all, p.kind)}
	}
	for _, reader := range evicted {
		reader.evicted = true
		c.releaseBytes(reader, reader.bytes)
	}
	return evicted, nil
}

// slowReaders returns the passes that may be evicted in favor of another one, in the order of eviction.
func (c *Controller) slowReaders(now time.Time, except *Pass) (list []*Pass) {
	for _, p := range c.holders {
		if p != except && p.reading && now.Sub(p.lastProgress) >= c.cfg.SlowReaderGrace {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *Pass) int {
		return cmp.Or(a.lastProgress.Compare(b.lastProgress), cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.seq, b.seq))
	})
	return list
}

// Read records that the client of a pass has read bytes: the pass no longer holds them, and its reader has made progress.
func (c *Controller) Read(now time.Time, p *Pass, bytes int64) {
	if p.released || p.evicted || bytes <= 0 {
		return
	}
	p.lastProgress = now
	c.releaseBytes(p, min(bytes, p.bytes))
}

// releaseBytes subtracts bytes from a pass and its scopes.
func (c *Controller) releaseBytes(p *Pass, bytes int64) {
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
		last := c.holders[len(c.holders)-1]
		c.holders[p.holderIndex], last.holderIndex = last, p.holderIndex
		c.holders = c.holders[:len(c.holders)-1]
		p.holderIndex, p.reading = -1, false
	}
}

// Tick evicts and returns the readers that have made no progress for StallTimeout. They hold nothing any more, and the caller must end
// their streams.
func (c *Controller) Tick(now time.Time) (evicted []*Pass) {
	for _, p := range c.holders {
		if p.reading && now.Sub(p.lastProgress) >= c.cfg.StallTimeout {
			evicted = append(evicted, p)
		}
	}
	slices.SortFunc(evicted, func(a, b *Pass) int { return cmp.Compare(a.seq, b.seq) })
	for _, p := range evicted {
		p.evicted = true
		c.releaseBytes(p, p.bytes)
	}
	return evicted
}

// NextTick returns when Tick must be called if nothing else happens before; zero if it need not be called.
func (c *Controller) NextTick() (at time.Time) {
	for _, p := range c.holders {
		if due := p.lastProgress.Add(c.cfg.StallTimeout); p.reading && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// removeFromIdle removes a scope from the list of idle scopes, if it is on it.
func (c *Controller) removeFromIdle(s *scopeState) {
	if s.idleElement != nil {
		c.idleScopes.Remove(s.idleElement)
		s.idleElement = nil
	}
}

// markIdle drops a scope without passes or, if its state still matters, puts it on the list of idle scopes. A list over MaxIdleScopes
// loses the scope that became idle first.
func (c *Controller) markIdle(s *scopeState) {
	if s.passes > 0 || s.key.scope == All {
		return
	}
	c.removeFromIdle(s)
	refilling := s.limits.Rate > 0 && s.tokens < s.limits.Burst
	if s.key.scope == Connection || !refilling && s.releaseIntervals[Stream].last.IsZero() && s.releaseIntervals[Query].last.IsZero() {
		delete(c.scopes, s.key) // its bucket is full and it has no release intervals, or its connection has no pass left
		return
	}
	s.idleElement = c.idleScopes.PushBack(s)
	for c.idleScopes.Len() > c.cfg.MaxIdleScopes {
		oldest := c.idleScopes.Front().Value.(*scopeState)
		c.removeFromIdle(oldest)
		delete(c.scopes, oldest.key)
	}
}

// Usage is the current usage of one scope.
type Usage struct {
	Scope            Scope
	ID               string
	Streams, Queries int
	Bytes            int64
}

// Usage returns the usage of each owner and network with passes and of all clients, sorted by scope and name.
func (c *Controller) Usage() (list []Usage) {
	for k, s := range c.scopes {
		if k.scope != Connection && s.passes > 0 {
			list = append(list, Usage{k.scope, k.id, s.streams, s.queries, s.bytes})
		}
	}
	slices.SortFunc(list, func(a, b Usage) int { return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.ID, b.ID)) })
	return list
}

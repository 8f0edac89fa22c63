package aggregator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// window counts stamps within a sliding span.
type window struct{ at []time.Duration }

func (w *window) since(t time.Duration) int {
	i, _ := slices.BinarySearch(w.at, t)
	w.at = append(w.at[:0], w.at[i:]...)
	return len(w.at)
}

// load is work sent to a cold replica.
type load struct {
	at   time.Duration
	work float64
}

type replica struct {
	member     Member
	tag        uint16        // its name in messages between nodes
	others     float64       // work that other nodes sent, seconds
	othersAt   time.Duration // as of then
	barred     bool          // the list says draining or gone
	left       time.Duration // when it left the list; 0 while it is listed
	cold       bool
	born       time.Duration // start of its warm-up, if cold
	open       []*attempt    // in order of sending, ghosts included
	calls      int           // calls with open attempts
	call       *call         // the call of the round in hand
	sent       []load        // while cold, within the falling window
	thrown     time.Duration // when die was thrown
	die        float64       // the share of a call that must fit into the room while cold
	room       float64       // work that this node may send while cold; below 0 what it has sent ahead
	accrued    time.Duration // until when room was counted
	excess     float64       // recent latency above the class's base, seconds
	pace       float64       // seconds a call takes for each of ours that is out
	answers    int
	unanswered int           // attempts given up since the last answer
	passed     time.Duration // when the latest attempt that was answered had been sent
	sampled    time.Duration
	heard      time.Duration // last answer
	seen       time.Duration // last probe that came back
	used       time.Duration // last send or answer
	hushed     time.Duration // how long its connections had idled before a call that got no answer
	asked      time.Duration // last probe sent before a part
	doubted    time.Duration // when it failed a probe or a part, or owed an answer to a probe; 0 once it answers
	load       float64       // what its last report said it holds
	strikes    float64
	ejected    bool
	shunned    time.Duration // full until about then
	cut        int           // the round that last counted a lost connection
	leaky      bool          // its last failure was a quick error
	cleared    bool          // a trial part may be sent
	until      time.Duration // no trial before
	backoff    time.Duration
}

type call struct {
	round, size, open int
	work              float64
	lead              *attempt
	judged            bool // its silence has been counted
}

type attempt struct {
	p       *part
	r       *replica
	c       *call
	n       int
	at      time.Duration
	place   int           // calls of ours at the replica as it was sent
	open    bool          // no outcome yet
	fresh   bool          // sent on a new connection
	gap     time.Duration // since the replica's connections were last used
	dropped bool          // cancelled, or out when its query ended
}

type part struct {
	id       string
	q        *query
	shard    int
	weight   float64
	work     float64
	tries    []*attempt
	done     bool
	lost     bool    // no further attempt is allowed
	wait     float64 // forecast at its query's admission, seconds
	mayRun   bool
	firstRun time.Duration // when the first attempt that may have run was sent
	quick    bool          // the last attempt ended by itself, or its replica was ejected
}

func (p *part) out() (n int) {
	for _, t := range p.tries {
		if t.open {
			n++
		}
	}
	return n
}

// cost is what a further attempt takes from the store: less where the last one spent little of a replica.
func (p *part) cost() float64 {
	if p.quick {
		return quickCost
	}
	return 1
}

type query struct {
	id       string
	class    int
	tenant   int
	retry    bool
	parts    []*part
	want     int
	step     int
	admitted bool
	ended    bool
	whole    bool // the first step was answered whole
	arrived  time.Duration
	sent     time.Duration // first send of any part
	wrecks   int           // attempts that ended with the connection reset
	jolted   bool          // an attempt on an idle connection was
	answered bool          // some part was answered
	why      Reason        // it was turned away at the door
	aim, end time.Duration
	worth    float64 // per work
}

// latency is what has been learned of the parts of one step of a class, in seconds.
type latency struct{ base, mid, high quantile }

// Aggregator decides for one front node. It is not safe for concurrent use.
type Aggregator struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	round    int
	out      []Action
	byName   map[string]*replica
	byTag    map[uint16]*replica
	news     []news        // not yet told to the other nodes
	shared   time.Duration // when they last were
	fleet    []*replica
	cells    [][]*replica
	listed   bool
	queries  map[string]*query
	parts    map[string]*part
	live     []*query
	learned  []latency // two for each class, one a step
	tenants  []window  // what each asked
	again    []window  // and asked again
	worths   recent    // worth for work of queries
	credit   float64
	taken    window
	extras   window
	wake     time.Duration
	pace     float64       // time a call takes for each call of ours that it joins, over the fleet
	median   float64       // excess of the fleet
	pool     float64       // excess of recent answers of any replica
	pooled   time.Duration // and when
	wide     bool          // half the fleet is ejected
	deaf     bool          // under half of the fleet was heard lately
	heard    time.Duration // last answer of any replica
	probes   float64       // earned by bad signs
	reap     time.Duration // idle time after which connections were found dead
	reaped   time.Duration // and when
	stale    float64       // signs that idle connections are dead, less those against it
	broke    time.Duration // a replica last died without draining
	killed   time.Duration // a query last broke what ran it
	asking   bool          // the list is to be asked for
	askAt    time.Duration // and when
	refusals int           // list calls without an answer, in a row
	lag      time.Duration // how late this turn came
	stall    time.Duration // longest standstill of this node lately
	stalled  time.Duration // and when the last one ended
	gap      time.Duration // usual time between two answers of one replica
	gaps     int           // of which so many were seen
}

// quantile follows one quantile of a stream by small steps in proportion to its value.
type quantile struct {
	v, p float64
	n    int
}

func (q *quantile) add(x float64) {
	q.n++
	if q.n == 1 {
		q.v = x
		return
	}
	step := math.Max(quantileStep, 1/float64(q.n+1))
	if x > q.v {
		q.v *= 1 + step*q.p
	} else {
		q.v *= 1 - step*(1-q.p)
	}
}

// New returns an aggregator for the settings; the seed settles its random choices.
func New(set Settings, seed uint64) (*Aggregator, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	set.Aggregators, set.Tick = max(set.Aggregators, 1), max(set.Tick, time.Millisecond)
	set.Limits.MaxAttempts, set.Limits.MaxBatch = max(set.Limits.MaxAttempts, 1), max(set.Limits.MaxBatch, 1)
	a := &Aggregator{
		set: set, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), byName: map[string]*replica{}, byTag: map[uint16]*replica{},
		cells: make([][]*replica, set.ShardSets), queries: map[string]*query{}, parts: map[string]*part{},
		learned: make([]latency, 2*len(set.Classes)), tenants: make([]window, len(set.Tenants)),
		again:  make([]window, len(set.Tenants)),
		credit: extraStore, wake: -1, asking: set.PollList, askAt: math.MaxInt64,
	}
	for i := range a.learned {
		a.learned[i] = latency{
			base: quantile{p: baseQuantile}, mid: quantile{p: 0.5}, high: quantile{p: highQuantile},
		}
	}
	return a, nil
}

// addPart adds a part to its query. Parts of no query, known parts and shards out of range are skipped.
func (a *Aggregator) addPart(e *Event) {
	q := a.queries[e.Query]
	a.count()
	if q == nil || a.parts[e.Part] != nil || e.Shard < 0 || e.Shard >= a.set.Shards {
		return
	}
	p := &part{id: e.Part, q: q, shard: e.Shard, weight: e.Weight, work: e.Work.Seconds()}
	q.parts = append(q.parts, p)
	a.parts[p.id] = p
}

// count notes a query or part taken, where further attempts are rationed by them.
func (a *Aggregator) count() {
	if a.set.Rules.RetryWindow > 0 {
		a.taken.at = append(a.taken.at, a.now)
	}
}

// leave notes that a replica is listed no more.
func (r *replica) leave(now time.Duration) {
	if r.left == 0 {
		r.left = now
	}
}

// forgets lets go of a replica that left the list long ago and has nothing out: new ones come under new names for
// as long as the program runs. One that is back before is known by what it showed.
func (a *Aggregator) forgets(r *replica) bool {
	if r.left == 0 || a.now-r.left < times(goneAims, a.longAim()) || len(r.open) > 0 {
		return false
	}
	delete(a.byName, r.member.Replica)
	if a.byTag[r.tag] == r {
		delete(a.byTag, r.tag)
	}
	cell := &a.cells[r.member.ShardSet]
	*cell = slices.DeleteFunc(*cell, func(o *replica) bool { return o == r })
	return true
}

// close forgets a query and calls off what it has out.
func (a *Aggregator) close(q *query) {
	q.ended = true
	delete(a.queries, q.id)
	for _, p := range q.parts {
		a.drop(p)
	}
}

// drop forgets a part once nothing of it is out.
func (a *Aggregator) drop(p *part) {
	a.cancelRest(p)
	if p.out() == 0 {
		delete(a.parts, p.id)
	}
}

// recent holds the latest values of a stream.
type recent struct {
	list []float64
	seen int
}

// place adds x and counts how many of the n values before it lie below it, and how many equal it.
func (r *recent) place(x float64) (below, equal, n float64) {
	for _, w := range r.list {
		switch {
		case w < x*0.99:
			below++
		case w < x*1.01:
			equal++
		}
	}
	n = float64(len(r.list))
	if len(r.list) < worthsKept {
		r.list = append(r.list, x)
	} else {
		r.list[r.seen%worthsKept] = x
	}
	r.seen++
	return below, equal, n
}

// book counts an attempt at r in the call that joins allows, else in a new one.
func (a *Aggregator) book(p *part, r *replica, fresh bool) *attempt {
	if !a.joins(p, r) && (r.call == nil || r.call.round != a.round || r.call.size >= a.set.Limits.MaxBatch ||
		a.set.CallCost == 0) {
		r.call = &call{round: a.round}
		r.calls++
	}
	if r.call.open == 0 && r.call.size > 0 {
		r.calls++
	}
	if r.used == 0 || a.set.Limits.ConnIdle > 0 && a.now-r.used >= a.set.Limits.ConnIdle {
		fresh = true
	}
	t := &attempt{p: p, r: r, c: r.call, n: len(p.tries), at: a.now, open: true, place: r.calls, fresh: fresh,
		gap: a.now - r.used}
	if t.c.size++; t.c.size == 1 {
		t.c.lead = t
	}
	t.c.open++
	if p.q.sent == 0 {
		p.q.sent = a.now
	}
	r.used = a.now
	p.tries = append(p.tries, t)
	r.open = append(r.open, t)
	return t
}

// rehouse moves a replica whose cell has changed.
func (a *Aggregator) rehouse(r *replica, cell int) {
	if cell != r.member.ShardSet {
		old := &a.cells[r.member.ShardSet]
		*old = slices.DeleteFunc(*old, func(o *replica) bool { return o == r })
		a.cells[cell] = append(a.cells[cell], r)
	}
}

// sleep asks to be woken at the earliest time that matters, unless that is arranged already.
func (a *Aggregator) sleep(next time.Duration) {
	if next == math.MaxInt64 || a.wake > a.now && a.wake <= next {
		return
	}
	a.wake = max(next, a.now+a.set.Tick)
	a.out = append(a.out, Action{Kind: Wake, After: a.wake - a.now})
}

// times is a share or a multiple of a span.
func times(share float64, span time.Duration) time.Duration {
	return time.Duration(share * float64(span))
}

// take hands an event to what it concerns.
func (a *Aggregator) take(e *Event) {
	switch e.Kind {
	case QueryArrived:
		a.arrive(e)
	case PartArrived:
		a.addPart(e)
	case AttemptEnded:
		a.outcome(e)
	case ClientGone:
		if q := a.queries[e.Query]; q != nil {
			a.close(q)
		}
	case ListChanged, ListReplaced, ListCached:
		a.updateList(e)
	case ProbeEnded:
		a.probed(e)
	case GossipReceived:
		a.takePeerNews(e)
	case ListCallFailed:
		a.asking = true
	}
}

// arrive takes a query; one of a class that the settings lack is refused.
func (a *Aggregator) arrive(e *Event) {
	if a.queries[e.Query] != nil {
		return
	}
	a.count()
	q := &query{id: e.Query, class: e.Class, tenant: e.Tenant, want: e.Count, retry: e.Retry, arrived: a.now}
	if e.Class < 0 || e.Class >= len(a.set.Classes) {
		q.ended = true
		a.out = append(a.out, Action{Kind: Reject, Query: q.id})
		return
	}
	left := max(0, e.TimeLeft)
	q.end = a.now + left - a.reserve(q.class, left)
	q.aim = min(q.end, a.now+a.set.Classes[e.Class].LatencyObjective)
	a.queries[q.id] = q
	a.live = append(a.live, q)
}

// cancelRest calls off what a part has out.
func (a *Aggregator) cancelRest(p *part) {
	for _, t := range p.tries {
		if t.open && !t.dropped && a.set.Limits.CanCancel {
			t.dropped = true
			a.out = append(a.out, Action{Kind: Cancel, Part: p.id, Attempt: t.n})
		}
	}
}

// weights sums the weight that is in and counts the parts that may still come and those that are not in.
func (q *query) weights() (got float64, open, missing int) {
	for _, p := range q.parts {
		switch {
		case p.done:
			got += p.weight
			continue
		case !p.lost:
			open++
		}
		missing++
	}
	return got, open, missing
}

// open counts the queries and parts held.
func (a *Aggregator) open() (n int) {
	for _, q := range a.live {
		if !q.ended {
			n += 1 + len(q.parts)
		}
	}
	return n
}

// holders lists the replicas that hold a shard.
func (a *Aggregator) holders(shard int) []*replica {
	if a.set.Reach == 1 {
		return a.cells[shard%a.set.ShardSets]
	}
	var all []*replica
	for j := range a.set.Reach {
		all = append(all, a.cells[(shard+j)%a.set.ShardSets]...)
	}
	return all
}

// release takes an attempt off its replica's count.
func (a *Aggregator) release(t *attempt) {
	if i := slices.Index(t.r.open, t); i >= 0 {
		t.r.open = slices.Delete(t.r.open, i, i+1)
		if t.c.open--; t.c.open == 0 {
			t.r.calls--
		}
	}
}

// stat is what has been learned of parts like p.
func (a *Aggregator) stat(q *query) *latency { return &a.learned[2*q.class+min(q.step, 1)] }

// fade is a figure of the fleet, less the longer nothing is heard of any replica.
func (a *Aggregator) fade(x float64) float64 {
	return x * math.Exp(-(a.now-a.pooled).Seconds()/a.longAim().Seconds())
}

// covers counts the parts of a query still to be placed that r could take in one call.
func (a *Aggregator) covers(q *query, r *replica) (n int) {
	for _, p := range q.parts {
		if len(p.tries) == 0 && (r.member.ShardSet-p.shard%a.set.ShardSets+a.set.ShardSets)%a.set.ShardSets < a.set.Reach {
			n++
		}
	}
	return min(max(n, 1), a.set.Limits.MaxBatch)
}

// typical is the mean of the classes' median latencies.
func (a *Aggregator) typical() float64 {
	sum, n := 0.0, 0.0
	for i := range a.learned {
		if s := &a.learned[i]; s.mid.n > 0 {
			sum, n = sum+s.mid.v, n+1
		}
	}
	if n == 0 {
		return unlearned * a.longAim().Seconds()
	}
	return sum / n
}

// faded is the excess of a replica. Where nothing new is heard of it, over the longest aim it turns into
// that of the fleet, which a node with little traffic knows sooner, and that into none where no replica
// is heard.
func (a *Aggregator) faded(r *replica) float64 {
	pool := a.fade(a.pool)
	return pool + (r.excess-pool)*math.Exp(-(a.now-r.sampled).Seconds()/a.memory().Seconds())
}

// memory is how long what was heard of a replica holds: the longest aim, or where this node's share of the traffic is
// so small that it hears a replica more seldom, a few times the usual time between two answers.
func (a *Aggregator) memory() time.Duration {
	return max(a.longAim(), times(heardTimes, a.gap))
}

// others is the work that other nodes were heard to have sent to r, as far as it may still be there.
func (a *Aggregator) others(r *replica) float64 {
	return r.others * math.Exp(-(a.now-r.othersAt).Seconds()/a.typical())
}

// reachable tells whether the parts that are in or may still come can make an answer.
func (a *Aggregator) reachable(q *query) bool {
	sum := 0.0
	for _, p := range q.parts {
		if !p.lost {
			sum += p.weight
		}
	}
	return sum >= a.least(q)
}

// learn takes a latency into the accounts of its class, its replica and the fleet.
func (a *Aggregator) learn(t *attempt, took float64) {
	r, p := t.r, t.p
	r.unanswered = 0
	s := a.stat(p.q)
	if t.c.size <= 1 {
		s.base.add(took)
	}
	s.mid.add(took)
	s.high.add(took)
	over := math.Max(0, took-a.usual(p.q))
	r.excess, r.sampled = (1-excessWeight)*a.faded(r)+excessWeight*over, a.now
	a.pool, a.pooled = a.pool+poolWeight*(over-a.pool), a.now
	a.note(r, newsExcess, times(over, time.Second))
	if r.answers++; r.answers == 1 {
		r.pace = took / float64(t.place)
	}
	r.pace += excessWeight / 2 * (took/float64(t.place) - r.pace)
}

// learnAtLeast takes in an attempt that was given up: how long it would have taken is not known, only that it is longer than
// this. Where nothing was said of it, a jam in which all is given up was forgotten as it lasted. The first without an answer
// between says nothing yet, nor does silence on a connection that had idled while such are found dead.
func (a *Aggregator) learnAtLeast(t *attempt, took float64) {
	r := t.r
	r.unanswered++
	over := took - a.usual(t.p.q)
	if r.unanswered < 2 || over <= a.faded(r) || a.idled(t) && (r.hushed > 0 || a.idleLimit() > 0) {
		return
	}
	r.excess, r.sampled = over, a.now
	a.pool, a.pooled = a.pool+poolWeight*(over-a.pool), a.now
}

// longAim is the longest aim of any class.
func (a *Aggregator) longAim() (aim time.Duration) {
	for _, c := range a.set.Classes {
		aim = max(aim, c.LatencyObjective)
	}
	return aim
}

// at returns the value that quarters quarters of the list lie under, 0 for an empty list.
func at(list []float64, quarters int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*quarters/4]
}

package aggregator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// window counts stamps within a sliding span.
type slidingWindow struct{ times []time.Duration }

func (w *slidingWindow) countSince(t time.Duration) int {
	i, _ := slices.BinarySearch(w.times, t)
	w.times = append(w.times[:0], w.times[i:]...)
	return len(w.times)
}

// load is work sent to a cold replica.
type sentWork struct {
	sentAt time.Duration
	work   float64
}

type replica struct {
	member          Member
	tag             uint16        // its name in messages between nodes
	peerWork        float64       // work that other nodes sent, seconds
	peerWorkAt      time.Duration // as of then
	excluded        bool          // the list says draining or gone
	removedAt       time.Duration // when it left the list; 0 while it is listed
	warming         bool
	warmupStart     time.Duration // start of its warm-up, if cold
	inFlight        []*attempt    // in order of sending, ghosts included
	openCalls       int           // calls with open attempts
	currentCall     *call         // the call of the round in hand
	recentSends     []sentWork    // while cold, within the falling window
	drawnAt         time.Duration // when die was thrown
	draw            float64       // the share of a call that must fit into the room while cold
	allowance       float64       // work that this node may send while cold; below 0 what it has sent ahead
	accruedAt       time.Duration // until when room was counted
	excess          float64       // recent latency above the class's base, seconds
	timePerCall     float64       // seconds a call takes for each of ours that is out
	answers         int
	unanswered      int           // attempts given up since the last answer
	answeredSendAt  time.Duration // when the latest attempt that was answered had been sent
	excessAt        time.Duration
	lastAnswer      time.Duration // last answer
	lastProbeAnswer time.Duration // last probe that came back
	lastUse         time.Duration // last send or answer
	silentIdle      time.Duration // how long its connections had idled before a call that got no answer
	lastProbe       time.Duration // last probe sent before a part
	suspectedAt     time.Duration // when it failed a probe or a part, or owed an answer to a probe; 0 once it answers
	reportedLoad    float64       // what its last report said it holds
	failures        float64
	ejected         bool
	backoffUntil    time.Duration // full until about then
	lostConnRound   int           // the round that last counted a lost connection
	failingFast     bool          // its last failure was a quick error
	halfOpen        bool          // a trial part may be sent
	trialAt         time.Duration // no trial before
	ejectionTime    time.Duration
}

type call struct {
	round, size, openAttempts int
	work                      float64
	first                     *attempt
	silenceCounted            bool // its silence has been counted
}

type attempt struct {
	part         *part
	replica      *replica
	call         *call
	index        int
	sentAt       time.Duration
	callPosition int           // calls of ours at the replica as it was sent
	open         bool          // no outcome yet
	newConn      bool          // sent on a new connection
	connIdle     time.Duration // since the replica's connections were last used
	abandoned    bool          // cancelled, or out when its query ended
}

type part struct {
	id           string
	query        *query
	shard        int
	weight       float64
	work         float64
	attempts     []*attempt
	answered     bool
	abandoned    bool    // no further attempt is allowed
	forecast     float64 // forecast at its query's admission, seconds
	mayRun       bool
	firstRun     time.Duration // when the first attempt that may have run was sent
	endedQuickly bool          // the last attempt ended by itself, or its replica was ejected
}

func (p *part) openAttempts() (n int) {
	for _, t := range p.attempts {
		if t.open {
			n++
		}
	}
	return n
}

// cost is what a further attempt takes from the store: less where the last one spent little of a replica.
func (p *part) retryCost() float64 {
	if p.endedQuickly {
		return quickRetryCost
	}
	return 1
}

type query struct {
	id                  string
	class               int
	tenant              int
	retry               bool
	parts               []*part
	partCount           int
	step                int
	admitted            bool
	ended               bool
	firstStepComplete   bool // the first step was answered whole
	arrived             time.Duration
	firstSend           time.Duration // first send of any part
	resets              int           // attempts that ended with the connection reset
	idleReset           bool          // an attempt on an idle connection was
	answered            bool          // some part was answered
	rejection           Reason        // it was turned away at the door
	objective, deadline time.Duration
	priority            float64 // per work
}

// latency is what has been learned of the parts of one step of a class, in seconds.
type latencyEstimate struct{ base, median, high quantile }

// Aggregator decides for one front node. It is not safe for concurrent use.
type Aggregator struct {
	settings         Settings
	rng              *rand.Rand
	now              time.Duration
	round            int
	out              []Action
	replicaByName    map[string]*replica
	replicaByTag     map[uint16]*replica
	pendingGossip    []gossipEntry // not yet told to the other nodes
	gossipSentAt     time.Duration // when they last were
	replicas         []*replica
	shardSets        [][]*replica
	listed           bool
	queries          map[string]*query
	parts            map[string]*part
	live             []*query
	latencies        []latencyEstimate // two for each class, one a step
	tenantQueries    []slidingWindow   // what each asked
	tenantRetries    []slidingWindow   // and asked again
	priorities       recentValues      // worth for work of queries
	retryCredit      float64
	accepted         slidingWindow
	retries          slidingWindow
	wakeAt           time.Duration
	timePerCall      float64       // time a call takes for each call of ours that it joins, over the fleet
	medianExcess     float64       // excess of the fleet
	fleetExcess      float64       // excess of recent answers of any replica
	fleetExcessAt    time.Duration // and when
	panicMode        bool          // half the fleet is ejected
	staleView        bool          // under half of the fleet was heard lately
	lastAnswer       time.Duration // last answer of any replica
	probeCredit      float64       // earned by bad signs
	deadAfter        time.Duration // idle time after which connections were found dead
	deadConnAt       time.Duration // and when
	idleEvidence     float64       // signs that idle connections are dead, less those against it
	lastCrash        time.Duration // a replica last died without draining
	lastQueryOfDeath time.Duration // a query last broke what ran it
	pollFailed       bool          // the list is to be asked for
	pollAt           time.Duration // and when
	pollFailures     int           // list calls without an answer, in a row
	stepDelay        time.Duration // how late this turn came
	longestPause     time.Duration // longest standstill of this node lately
	lastPause        time.Duration // and when the last one ended
	answerInterval   time.Duration // usual time between two answers of one replica
	answerIntervals  int           // of which so many were seen
}

// quantile follows one quantile of a stream by small steps in proportion to its value.
type quantile struct {
	value, target float64
	samples       int
}

func (q *quantile) add(x float64) {
	q.samples++
	if q.samples == 1 {
		q.value = x
		return
	}
	step := math.Max(minQuantileStep, 1/float64(q.samples+1))
	if x > q.value {
		q.value *= 1 + step*q.target
	} else {
		q.value *= 1 - step*(1-q.target)
	}
}

// New returns an aggregator for the settings; the seed settles its random choices.
func New(set Settings, seed uint64) (*Aggregator, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.Aggregators, set.Tick = max(set.Aggregators, 1), max(set.Tick, time.Millisecond)
	set.Limits.MaxAttempts, set.Limits.MaxBatch = max(set.Limits.MaxAttempts, 1), max(set.Limits.MaxBatch, 1)
	a := &Aggregator{
		settings: set, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), replicaByName: map[string]*replica{}, replicaByTag: map[uint16]*replica{},
		shardSets: make([][]*replica, set.ShardSets), queries: map[string]*query{}, parts: map[string]*part{},
		latencies: make([]latencyEstimate, 2*len(set.Classes)), tenantQueries: make([]slidingWindow, len(set.Tenants)),
		tenantRetries: make([]slidingWindow, len(set.Tenants)),
		retryCredit:   maxRetryCredit, wakeAt: -1, pollFailed: set.PollList, pollAt: math.MaxInt64,
	}
	for i := range a.latencies {
		a.latencies[i] = latencyEstimate{
			base: quantile{target: baseQuantile}, median: quantile{target: 0.5}, high: quantile{target: tailQuantile},
		}
	}
	return a, nil
}

// addPart adds a part to its query. Parts of no query, known parts and shards out of range are skipped.
func (a *Aggregator) partArrived(e *Event) {
	q := a.queries[e.Query]
	a.countAccepted()
	if q == nil || a.parts[e.Part] != nil || e.Shard < 0 || e.Shard >= a.settings.Shards {
		return
	}
	p := &part{id: e.Part, query: q, shard: e.Shard, weight: e.Weight, work: e.Work.Seconds()}
	q.parts = append(q.parts, p)
	a.parts[p.id] = p
}

// count notes a query or part taken, where further attempts are rationed by them.
func (a *Aggregator) countAccepted() {
	if a.settings.Rules.RetryWindow > 0 {
		a.accepted.times = append(a.accepted.times, a.now)
	}
}

// leave notes that a replica is listed no more.
func (r *replica) markRemoved(now time.Duration) {
	if r.removedAt == 0 {
		r.removedAt = now
	}
}

// forgets lets go of a replica that left the list long ago and has nothing out: new ones come under new names for
// as long as the program runs. One that is back before is known by what it showed.
func (a *Aggregator) forget(r *replica) bool {
	if r.removedAt == 0 || a.now-r.removedAt < scale(removedLifetime, a.maxObjective()) || len(r.inFlight) > 0 {
		return false
	}
	delete(a.replicaByName, r.member.Replica)
	if a.replicaByTag[r.tag] == r {
		delete(a.replicaByTag, r.tag)
	}
	cell := &a.shardSets[r.member.ShardSet]
	*cell = slices.DeleteFunc(*cell, func(o *replica) bool { return o == r })
	return true
}

// close forgets a query and calls off what it has out.
func (a *Aggregator) closeQuery(q *query) {
	q.ended = true
	delete(a.queries, q.id)
	for _, p := range q.parts {
		a.dropPart(p)
	}
}

// drop forgets a part once nothing of it is out.
func (a *Aggregator) dropPart(p *part) {
	a.cancelAttempts(p)
	if p.openAttempts() == 0 {
		delete(a.parts, p.id)
	}
}

// recent holds the latest values of a stream.
type recentValues struct {
	values []float64
	seen   int
}

// place adds x and counts how many of the n values before it lie below it, and how many equal it.
func (r *recentValues) compareAndAdd(x float64) (below, equal, n float64) {
	for _, w := range r.values {
		switch {
		case w < x*0.99:
			below++
		case w < x*1.01:
			equal++
		}
	}
	n = float64(len(r.values))
	if len(r.values) < recentPriorities {
		r.values = append(r.values, x)
	} else {
		r.values[r.seen%recentPriorities] = x
	}
	r.seen++
	return below, equal, n
}

// book counts an attempt at r in the call that joins allows, else in a new one.
func (a *Aggregator) recordAttempt(p *part, r *replica, fresh bool) *attempt {
	if !a.joinsCall(p, r) && (r.currentCall == nil || r.currentCall.round != a.round || r.currentCall.size >= a.settings.Limits.MaxBatch ||
		a.settings.CallCost == 0) {
		r.currentCall = &call{round: a.round}
		r.openCalls++
	}
	if r.currentCall.openAttempts == 0 && r.currentCall.size > 0 {
		r.openCalls++
	}
	if r.lastUse == 0 || a.settings.Limits.ConnIdle > 0 && a.now-r.lastUse >= a.settings.Limits.ConnIdle {
		fresh = true
	}
	t := &attempt{part: p, replica: r, call: r.currentCall, index: len(p.attempts), sentAt: a.now, open: true, callPosition: r.openCalls, newConn: fresh,
		connIdle: a.now - r.lastUse}
	if t.call.size++; t.call.size == 1 {
		t.call.first = t
	}
	t.call.openAttempts++
	if p.query.firstSend == 0 {
		p.query.firstSend = a.now
	}
	r.lastUse = a.now
	p.attempts = append(p.attempts, t)
	r.inFlight = append(r.inFlight, t)
	return t
}

// rehouse moves a replica whose cell has changed.
func (a *Aggregator) moveShardSet(r *replica, cell int) {
	if cell != r.member.ShardSet {
		old := &a.shardSets[r.member.ShardSet]
		*old = slices.DeleteFunc(*old, func(o *replica) bool { return o == r })
		a.shardSets[cell] = append(a.shardSets[cell], r)
	}
}

// sleep asks to be woken at the earliest time that matters, unless that is arranged already.
func (a *Aggregator) scheduleWake(next time.Duration) {
	if next == math.MaxInt64 || a.wakeAt > a.now && a.wakeAt <= next {
		return
	}
	a.wakeAt = max(next, a.now+a.settings.Tick)
	a.out = append(a.out, Action{Kind: Wake, After: a.wakeAt - a.now})
}

// times is a share or a multiple of a span.
func scale(share float64, span time.Duration) time.Duration {
	return time.Duration(share * float64(span))
}

// take hands an event to what it concerns.
func (a *Aggregator) handle(e *Event) {
	switch e.Kind {
	case QueryArrived:
		a.queryArrived(e)
	case PartArrived:
		a.partArrived(e)
	case AttemptEnded:
		a.attemptEnded(e)
	case ClientGone:
		if q := a.queries[e.Query]; q != nil {
			a.closeQuery(q)
		}
	case ListChanged, ListReplaced, ListCached:
		a.updateList(e)
	case ProbeEnded:
		a.probeEnded(e)
	case GossipReceived:
		a.applyGossip(e)
	case ListCallFailed:
		a.pollFailed = true
	}
}

// arrive takes a query; one of a class that the settings lack is refused.
func (a *Aggregator) queryArrived(e *Event) {
	if a.queries[e.Query] != nil {
		return
	}
	a.countAccepted()
	q := &query{id: e.Query, class: e.Class, tenant: e.Tenant, partCount: e.Count, retry: e.Retry, arrived: a.now}
	if e.Class < 0 || e.Class >= len(a.settings.Classes) {
		q.ended = true
		a.out = append(a.out, Action{Kind: Reject, Query: q.id})
		return
	}
	left := max(0, e.TimeLeft)
	q.deadline = a.now + left - a.reserve(q.class, left)
	q.objective = min(q.deadline, a.now+a.settings.Classes[e.Class].LatencyObjective)
	a.queries[q.id] = q
	a.live = append(a.live, q)
}

// cancelRest calls off what a part has out.
func (a *Aggregator) cancelAttempts(p *part) {
	for _, t := range p.attempts {
		if t.open && !t.abandoned && a.settings.Limits.CanCancel {
			t.abandoned = true
			a.out = append(a.out, Action{Kind: Cancel, Part: p.id, Attempt: t.index})
		}
	}
}

// weights sums the weight that is in and counts the parts that may still come and those that are not in.
func (q *query) weights() (got float64, open, missing int) {
	for _, p := range q.parts {
		switch {
		case p.answered:
			got += p.weight
			continue
		case !p.abandoned:
			open++
		}
		missing++
	}
	return got, open, missing
}

// open counts the queries and parts held.
func (a *Aggregator) heldItems() (n int) {
	for _, q := range a.live {
		if !q.ended {
			n += 1 + len(q.parts)
		}
	}
	return n
}

// holders lists the replicas that hold a shard.
func (a *Aggregator) holders(shard int) []*replica {
	if a.settings.Reach == 1 {
		return a.shardSets[shard%a.settings.ShardSets]
	}
	var all []*replica
	for j := range a.settings.Reach {
		all = append(all, a.shardSets[(shard+j)%a.settings.ShardSets]...)
	}
	return all
}

// release takes an attempt off its replica's count.
func (a *Aggregator) release(t *attempt) {
	if i := slices.Index(t.replica.inFlight, t); i >= 0 {
		t.replica.inFlight = slices.Delete(t.replica.inFlight, i, i+1)
		if t.call.openAttempts--; t.call.openAttempts == 0 {
			t.replica.openCalls--
		}
	}
}

// stat is what has been learned of parts like p.
func (a *Aggregator) latencyOf(q *query) *latencyEstimate {
	return &a.latencies[2*q.class+min(q.step, 1)]
}

// fade is a figure of the fleet, less the longer nothing is heard of any replica.
func (a *Aggregator) decayedFleetExcess(x float64) float64 {
	return x * math.Exp(-(a.now-a.fleetExcessAt).Seconds()/a.maxObjective().Seconds())
}

// covers counts the parts of a query still to be placed that r could take in one call.
func (a *Aggregator) partsFor(q *query, r *replica) (n int) {
	for _, p := range q.parts {
		if len(p.attempts) == 0 && (r.member.ShardSet-p.shard%a.settings.ShardSets+a.settings.ShardSets)%a.settings.ShardSets < a.settings.Reach {
			n++
		}
	}
	return min(max(n, 1), a.settings.Limits.MaxBatch)
}

// typical is the mean of the classes' median latencies.
func (a *Aggregator) typicalLatency() float64 {
	sum, n := 0.0, 0.0
	for i := range a.latencies {
		if s := &a.latencies[i]; s.median.samples > 0 {
			sum, n = sum+s.median.value, n+1
		}
	}
	if n == 0 {
		return assumedLatencyShare * a.maxObjective().Seconds()
	}
	return sum / n
}

// faded is the excess of a replica. Where nothing new is heard of it, over the longest aim it turns into
// that of the fleet, which a node with little traffic knows sooner, and that into none where no replica
// is heard.
func (a *Aggregator) decayedExcess(r *replica) float64 {
	pool := a.decayedFleetExcess(a.fleetExcess)
	return pool + (r.excess-pool)*math.Exp(-(a.now-r.excessAt).Seconds()/a.observationLifetime().Seconds())
}

// memory is how long what was heard of a replica holds: the longest aim, or where this node's share of the traffic is
// so small that it hears a replica more seldom, a few times the usual time between two answers.
func (a *Aggregator) observationLifetime() time.Duration {
	return max(a.maxObjective(), scale(answerIntervalsKept, a.answerInterval))
}

// others is the work that other nodes were heard to have sent to r, as far as it may still be there.
func (a *Aggregator) decayedPeerWork(r *replica) float64 {
	return r.peerWork * math.Exp(-(a.now-r.peerWorkAt).Seconds()/a.typicalLatency())
}

// reachable tells whether the parts that are in or may still come can make an answer.
func (a *Aggregator) answerable(q *query) bool {
	sum := 0.0
	for _, p := range q.parts {
		if !p.abandoned {
			sum += p.weight
		}
	}
	return sum >= a.requiredShare(q)
}

// learn takes a latency into the accounts of its class, its replica and the fleet.
func (a *Aggregator) recordLatency(t *attempt, took float64) {
	r, p := t.replica, t.part
	r.unanswered = 0
	s := a.latencyOf(p.query)
	if t.call.size <= 1 {
		s.base.add(took)
	}
	s.median.add(took)
	s.high.add(took)
	over := math.Max(0, took-a.baseLatency(p.query))
	r.excess, r.excessAt = (1-excessSampleWeight)*a.decayedExcess(r)+excessSampleWeight*over, a.now
	a.fleetExcess, a.fleetExcessAt = a.fleetExcess+fleetSampleWeight*(over-a.fleetExcess), a.now
	a.recordGossip(r, gossipExcess, scale(over, time.Second))
	if r.answers++; r.answers == 1 {
		r.timePerCall = took / float64(t.callPosition)
	}
	r.timePerCall += excessSampleWeight / 2 * (took/float64(t.callPosition) - r.timePerCall)
}

// learnAtLeast takes in an attempt that was given up: how long it would have taken is not known, only that it is longer than
// this. Where nothing was said of it, a jam in which all is given up was forgotten as it lasted. The first without an answer
// between says nothing yet, nor does silence on a connection that had idled while such are found dead.
func (a *Aggregator) recordAbandoned(t *attempt, took float64) {
	r := t.replica
	r.unanswered++
	over := took - a.baseLatency(t.part.query)
	if r.unanswered < 2 || over <= a.decayedExcess(r) || a.onIdleConn(t) && (r.silentIdle > 0 || a.idleTimeout() > 0) {
		return
	}
	r.excess, r.excessAt = over, a.now
	a.fleetExcess, a.fleetExcessAt = a.fleetExcess+fleetSampleWeight*(over-a.fleetExcess), a.now
}

// longAim is the longest aim of any class.
func (a *Aggregator) maxObjective() (aim time.Duration) {
	for _, c := range a.settings.Classes {
		aim = max(aim, c.LatencyObjective)
	}
	return aim
}

// at returns the value that quarters quarters of the list lie under, 0 for an empty list.
func quartile(list []float64, quarters int) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*quarters/4]
}

package aggregator

// Every decision of the aggregator; the types it works on (Settings, Event, Action) are in aggregator.go.
//
// A Step first takes in all its events, then walks the open queries in order of arrival: it admits the
// new ones, places parts, chases attempts that are overdue, and ends what is complete or can't succeed.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuning. All of it is in shares of what the settings state or the aggregator has observed.
const (
	extraRate     = 0.10  // further attempts earned by each first send, beside the rule's ration
	extraStore    = 8.0   // and saved up at most
	quickCost     = 0.3   // of one further attempt, for a retry after an attempt that ended quickly
	strikeOut     = 2.0   // strikes that eject a replica
	strikeFade    = 0.6   // what an answer leaves of the strikes
	excessWeight  = 0.3   // of a new sample in a replica's excess
	poolWeight    = 0.05  // of a new sample in the fleet's excess
	unlearned     = 0.1   // share of the aim that a part is taken to need before any was answered
	baseQuantile  = 0.10  // of a class's latencies: what a part takes on an unloaded replica
	highQuantile  = 0.95  // and what few exceed
	worthsKept    = 128   // recent queries that a new one is ranked among
	quantileStep  = 0.02  // least share by which a quantile follows a new value
	admitLow      = 0.50  // share of the aim within which the least worthy query must be expected
	admitHigh     = 1.00  // and the worthiest
	straggling    = 0.75  // excesses of the fleet for each e-fold of parts: a query's parts are slow together
	chaseHigh     = 2.0   // high latencies after which a part stands out
	chaseMid      = 4.0   // and median latencies, whichever is later
	secondTimes   = 2.5   // high latencies of a part that are left for a second step, whose slowest part decides
	lastShare     = 0.125 // share of a query's parts: so few are worth a second copy on suspicion
	lateLeast     = 0.25  // late worth under which a query ends at its aim
	pressShare    = 0.3   // share of the aim in the forecast above which a shard is pressed
	spareTimes    = 6.0   // usual latencies in the forecast above which an answer does without a part
	farTimes      = 1.5   // a tie counts a replica of another zone as slower by this
	shunTimes     = 2.0   // median latencies that a full replica is left alone
	meanTimes     = 1.8   // latencies of light parts that the mean work of parts is taken for at most
	unlearnedWork = 0.2   // and the share of the aim before any was answered: too much harms no replica in slow start
	coldCalls     = 8.0   // calls of all nodes in a falling window among which chance evens out
	heardTimes    = 3.0   // times between two answers of a replica for which what was heard of it holds
	gapWeight     = 0.01  // of a new sample in that time
	joinShare     = 0.25  // a shared call may fill this share of the time to the aim
	fewNodes      = 3.0   // nodes up to which each sees all that there is to see
	probesEarned  = 12.0  // by each bad sign, spent by probing holders before a part
	silenceSign   = 0.15  // of a reset, as a sign: most silent parts are only slow
	reapAims      = 8.0   // longest aims for which idle connections found dead are closed before use
	freshShare    = 0.4   // share of the longest aim after which a replica must be heard again, on guard
	riskShare     = 0.12  // share of the fleet that a query may touch before its first answer
	scoutShare    = 0.12  // share of the aim that the rest waits for that answer
	staleActs     = 2.0   // signs of dead idle connections, less those against, from which they are closed
	idleLeast     = 0.1   // share of the longest aim above which a connection counts as idle
	staleAnswer   = 0.25  // what an answer on a long idle connection counts against
	wreckLimit    = 2     // replicas that may break under a query without any answer
	askShare      = 0.04  // share of the aim that a part waits for the probes of its holders
	roomShare     = 0.8   // share of the open queries and parts above which only worthy queries enter
	reserveShare  = 0.2   // share of the class's deadline that is kept back for a standstill of this node
	stallAims     = 8.0   // longest aims for which a standstill is expected again
	rounding      = 5e-5  // by which all weights may fall short of 1: half of what the rules allow
	goneAims      = 40.0  // longest aims for which a replica that has left the list may come back as it was
	askShares     = 0.06  // share of the rule's time between list calls over which the first one is spread
)

// Step takes in the events of a round, in order, and appends the actions to out.
func (a *Aggregator) Step(now time.Duration, events []Event, out []Action) []Action {
	a.now, a.out = max(now, a.now), out
	a.round++
	a.stand()
	for i := range events {
		a.take(&events[i])
	}
	a.ask()
	a.survey()
	next := a.askAt
	for _, q := range a.live {
		next = min(next, a.advance(q))
	}
	a.live = slices.DeleteFunc(a.live, func(q *query) bool { return q.ended })
	a.share()
	a.sleep(next)
	out, a.out = a.out, nil
	return out
}

// stand notes whether this node itself stood still, or is short of processor time: its turn comes later than
// the wake it asked for. What ended meanwhile is told late, and its latency counts without the delay.
func (a *Aggregator) stand() {
	if a.lag = 0; a.now-a.stalled > times(stallAims, a.longAim()) {
		a.stall = 0
	}
	if a.wake < 0 || a.now < a.wake {
		return
	}
	if lag := a.now - a.wake; lag > 4*a.set.Tick {
		a.lag, a.stall, a.stalled = lag, max(lag, a.stall), a.now
	}
	a.wake = -1
}

// reserve is what is kept back of a query's time. A node that stands still past the end of a query has lost
// it, and the first standstill comes unannounced; after one, the next may be as long. It costs answers that
// would come in the last moment of a short try.
func (a *Aggregator) reserve(class int, left time.Duration) time.Duration {
	return min(max(times(reserveShare, a.set.Classes[class].Deadline), a.stall+a.stall/8), left/2)
}

// ask subscribes to the list where it must be asked for: at the start, and after each refusal with a pause
// that doubles up to a quarter of the time after which the drain rule takes what is listed as told. Pauses
// are drawn at random, so that nodes that start together don't ask in step.
func (a *Aggregator) ask() {
	if a.asking {
		a.asking = false
		share := askShares * math.Exp2(float64(a.refusals)) * a.rng.Float64()
		a.askAt = a.now + times(share, max(a.set.Rules.AskEvery, a.longAim()))
		a.refusals = min(a.refusals+1, 2)
	}
	if a.now >= a.askAt {
		a.askAt = math.MaxInt64
		a.out = append(a.out, Action{Kind: Subscribe})
	}
}

// share tells the other nodes, where it may, what this one has sent and seen: at once after a send, else now
// and then. A message costs its bytes for each receiver.
func (a *Aggregator) share() {
	if len(a.news) > 0 && (a.news[len(a.news)-1].kind == newsSent || a.now-a.shared > 10*a.set.Tick) {
		a.out = append(a.out, Action{Kind: Tell, Data: pack(a.news, a.longAim())})
		a.news, a.shared = a.news[:0], a.now
	}
}

// heed takes in what another node sent and saw. These are hints of listed replicas, for ties and
// the forecast; what this node has just heard of a replica itself comes first, and no hint ejects.
func (a *Aggregator) heed(e *Event) {
	for _, n := range unpack(e.Data, a.longAim()) {
		r := a.byTag[n.tag]
		switch {
		case r == nil:
		case n.kind == newsSent:
			r.others, r.othersAt = a.others(r)+n.span.Seconds(), a.now
		case r.heard == 0 || a.now-r.heard > a.fresh():
			r.excess, r.sampled = a.faded(r)+excessWeight/2*(n.span.Seconds()-a.faded(r)), a.now
		}
	}
}

// probed takes in the answer to a probe. One that fails is as bad a sign as a part that fails.
func (a *Aggregator) probed(e *Event) {
	r := a.byName[e.Replica]
	if r == nil {
		return
	}
	if e.Outcome == Errored {
		// It answers, and will not say more: it is probed by many. That is no sign against it.
		r.seen, r.doubted = a.now, 0
		return
	}
	if e.Outcome != OK {
		r.doubted = a.now
		a.warn(1)
		if r.ejected && !r.cleared {
			a.eject(r)
		} else {
			a.strike(r)
		}
		return
	}
	r.seen, r.doubted, r.load = a.now, 0, 0
	// What it says that it holds, the larger figure where one may include the other, tells ties while fresh.
	if x := max(e.Report["inflight"], e.Report["queue"]); x > 0 && x < math.MaxInt32 {
		r.load = x
	}
	r.cleared = r.cleared || r.ejected
}

// warn notes a bad sign: a reset, a failed connect or probe, a silence. It puts the node on guard by
// earning probes; they run out soon where all of them come back.
func (a *Aggregator) warn(weight float64) {
	a.probes = math.Min(a.probes+a.sees()*weight*probesEarned, a.sees()*float64(len(a.fleet)))
}

// sees is how much of what there is to see this node sees itself: all where there are few nodes.
func (a *Aggregator) sees() float64 { return math.Min(1, fewNodes/float64(a.set.Aggregators)) }

// fresh is how long what was heard of a replica holds.
func (a *Aggregator) fresh() time.Duration { return times(freshShare, a.longAim()) }

// doubtful tells whether a replica failed a part or a probe, or owed an answer, a short while ago.
func (a *Aggregator) doubtful(r *replica) bool { return r.doubted > 0 && a.now-r.doubted < a.longAim() }

// sound asks the holders of a part that were not heard lately whether they answer at all, and tells how long
// to wait for that. It acts on guard only: a node that seldom sends a replica a part learns of its death too
// late from the parts themselves. A replica that owes its answer by then is doubted, not ejected.
func (a *Aggregator) sound(p *part) (wait time.Duration) {
	if !a.set.Limits.Probes || !a.deaf || a.probes < 1 || a.now-p.q.arrived > p.q.aim-a.now {
		return 0
	}
	patience := times(askShare, a.set.Classes[p.q.class].Aim)
	for _, r := range a.holders(p.shard) {
		if r.barred || r.ejected || !a.doubtful(r) && a.now-max(r.seen, r.heard) < a.fresh() {
			continue
		}
		if r.asked <= max(r.seen, r.heard) || a.now-r.asked > a.fresh() {
			r.asked = a.now
			a.probes--
			a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
		}
		if left := r.asked + patience - a.now; left > 0 {
			wait = max(wait, left)
		} else {
			r.doubted = a.now
		}
	}
	return wait
}

// list brings the fleet up to date. What it says of draining is binding at once, well within the grace;
// that a replica runs is a hint only.
func (a *Aggregator) list(e *Event) {
	if e.Kind != ListChanged {
		for _, r := range a.fleet {
			r.barred = true
			r.leave(a.now)
		}
	}
	for _, m := range e.Members {
		if m.Cell < 0 || m.Cell >= a.set.Cells {
			continue
		}
		r := a.byName[m.Replica]
		if r == nil {
			r = &replica{member: m, tag: tagOf(m.Replica)}
			a.byName[m.Replica], a.byTag[r.tag] = r, r
			a.fleet = append(a.fleet, r)
			a.cells[m.Cell] = append(a.cells[m.Cell], r)
			a.warmUp(r, m.Started, a.listed && m.Started == 0)
		} else if m.Started > r.member.Started {
			a.warmUp(r, m.Started, false)
		}
		if r.member.State == On && m.State == Gone {
			a.broke = a.now
		}
		a.rehouse(r, m.Cell)
		if r.member, r.barred = m, m.State != On; m.State == Gone {
			r.leave(a.now)
		} else {
			r.left = 0
		}
	}
	a.listed, a.refusals = true, 0
}

// warmUp notes a start. A replica that appears without a time of start has started about now.
func (a *Aggregator) warmUp(r *replica, started time.Duration, unknown bool) {
	if unknown {
		started = a.now
	}
	if started > 0 && a.now-started < a.set.Rules.WarmAfter {
		r.cold, r.born = true, max(started, r.born)
		r.ejected, r.strikes, r.excess = false, 0, 0
	}
}

// usual is the latency of a part on an unloaded replica, in seconds; a share of the aim until learned.
func (a *Aggregator) usual(q *query) float64 {
	if s := a.stat(q); s.base.n > 0 {
		return s.base.v
	}
	return unlearned * a.set.Classes[q.class].Aim.Seconds()
}

// neverRan are the outcomes of attempts that their replica has not begun.
var neverRan = map[Outcome]bool{Full: true, ConnectFailed: true, ConnectTimeout: true, Moot: true}

// outcome takes in the end of an attempt. Anything not known to have kept the part from running counts as
// may-have-run; outcomes of unknown or ended attempts are skipped.
func (a *Aggregator) outcome(e *Event) {
	p := a.parts[e.Part]
	var t *attempt
	if p != nil && e.Attempt >= 0 && e.Attempt < len(p.tries) {
		t = p.tries[e.Attempt]
	}
	if t == nil || !t.open {
		return
	}
	t.open = false
	r, took := t.r, max(a.now-t.at-a.lag, 0).Seconds()
	switch e.Outcome {
	case OK:
		a.answered(t, took)
	case Errored, Reset, Unknown, ConnectFailed, ConnectTimeout:
		a.release(t)
		if e.Outcome == Reset && p.q.wrecks == 0 && a.idled(t) && took < a.usual(p.q)/2 {
			// The connection was dead, neither the replica nor its query to blame: no strike, no cold start.
			a.deadIdle(t.gap)
			r.hushed, p.q.jolted = t.gap, true
			break
		}
		if e.Outcome != Errored {
			r.doubted = a.now
			a.warn(1)
		}
		if e.Outcome != Errored && e.Outcome != ConnectTimeout {
			a.broke = a.now
		}
		if e.Outcome == Reset {
			if p.q.wrecks++; p.q.jolted {
				p.q.wrecks = wreckLimit // on a new connection too
			}
		}
		r.leaky = e.Outcome == Errored
		a.strike(r)
		if e.Outcome == Reset || e.Outcome == ConnectFailed && r.strikes >= strikeOut {
			// A process that drops or refuses connections may have restarted before the list says so; one whose
			// connections come up late has not.
			r.cold, r.born = true, a.now
		}
	case Cut:
		a.release(t)
		// Nothing has died, and whatever else was out on the connection is no further sign.
		if r.cut != a.round {
			r.cut, r.leaky = a.round, true
			a.strike(r)
		}
	case Full:
		a.release(t)
		// A full queue is a wait of its own length, though none of our calls shows it: left alone for a while.
		r.shunned = a.now + time.Duration(shunTimes*a.typical()*float64(time.Second))
		r.excess, r.sampled = math.Max(a.excess(r), a.longAim().Seconds()/2), a.now
		a.pool, a.pooled = a.pool+poolWeight*(r.excess-a.pool), a.now
	case Moot:
		a.release(t)
	}
	if !neverRan[e.Outcome] && !p.mayRun {
		p.mayRun, p.firstRun = true, t.at
	}
	if e.Outcome != Cancelled {
		p.quick = e.Outcome != TimedOut
	}
	if p.q.ended && p.out() == 0 {
		delete(a.parts, p.id)
	}
}

// answered counts an answer. An answer to a later attempt also settles the ghosts before it.
func (a *Aggregator) answered(t *attempt, took float64) {
	r, p := t.r, t.p
	for _, g := range slices.Clone(r.open) {
		if g == t || !g.open && g.at <= t.at {
			a.release(g)
		}
	}
	if limit := a.idleLimit(); !t.fresh && limit > 0 && t.gap >= limit {
		a.blameIdle(-staleAnswer) // idling that did no harm
	} else if t.fresh && r.hushed > 0 {
		// A call on an idle connection was lost, one on a new connection is answered: the connection was
		// to blame.
		a.deadIdle(r.hushed)
	}
	r.hushed, r.used, r.passed = 0, a.now, max(r.passed, t.at)
	if r.heard > 0 && r.heard < t.at {
		a.gaps++
		a.gap += times(math.Max(gapWeight, 1/float64(a.gaps)), a.now-r.heard-a.gap)
	}
	a.heard, r.heard, r.doubted = a.now, a.now, 0
	r.strikes *= strikeFade
	a.learn(t, took)
	if r.ejected {
		// One good answer ends it, one more failure brings it back.
		r.ejected, r.strikes = false, strikeOut-1
	}
	p.q.answered = true
	if !p.done && !p.q.ended {
		p.done = true
		a.cancelRest(p)
	}
}

// straggle is by how much the last part that a query needs may be expected after a typical one. The largest
// of n waits that fall off exponentially lies ln n means above none, and the forecast of a part holds one. It
// goes by what the median replica shows: a few slow or pausing ones are no load that refusals would ease.
func (a *Aggregator) straggle(q *query) float64 {
	missed := max(1-a.least(q), 1/float64(max(len(q.parts), 1)))
	return straggling * a.median * math.Max(-math.Log(missed)-1, 0)
}

// excess is what a part sent to r now must expect above the usual: recent answers, or the age of the
// oldest attempt since the last answer, which tells of a pause or a hang before any answer does. An older
// one that others have overtaken tells of its part, not of r.
func (a *Aggregator) excess(r *replica) float64 {
	x := a.faded(r)
	for _, t := range r.open {
		if t.open && r.heard < t.at {
			x = math.Max(x, (a.now-t.at).Seconds()-a.usual(t.p.q))
			break
		}
	}
	return x
}

// expect is how long a part sent to r now may take: what r shows, or what its calls of ours will take at
// the pace at which calls have been answered. The pace sees a wave as it is sent, the excess only as it
// returns.
func (a *Aggregator) expect(q *query, r *replica) float64 {
	return math.Max(a.excess(r)+a.others(r)+a.usual(q), math.Max(r.pace, a.pace)*float64(r.calls+1))
}

func (a *Aggregator) strike(r *replica) {
	r.strikes++
	if r.ejected || r.strikes >= strikeOut {
		a.eject(r)
	}
}

// eject keeps a replica from first sends while others hold the shard. It comes back by trials, each
// failure doubling the pause.
func (a *Aggregator) eject(r *replica) {
	r.ejected, r.cleared = true, false
	r.backoff = min(max(2*r.backoff, a.memory()/2), 4*a.memory())
	r.until = a.now + r.backoff
}

// survey looks over the fleet once a round: ghosts that have outlived any likely run are let go, and
// silence while peers answer counts like an error.
func (a *Aggregator) survey() {
	var all, paces []float64
	present, out, heard := 0, 0, 0
	for _, r := range a.fleet {
		if !r.barred {
			if present++; r.ejected {
				out++
			}
			if r.heard > 0 && a.now-r.heard < a.fresh() {
				heard++
			}
		}
	}
	// Where half the fleet is out by opinion it is load or the network, and the next opinion is not heard.
	a.wide, a.deaf = 2*out >= present, 2*heard < present
	for _, r := range a.fleet {
		if r.cold && a.now-r.born >= a.set.Rules.WarmAfter {
			r.cold, r.sent = false, nil
		}
		for _, t := range slices.Clone(r.open) {
			age := a.now - t.at
			if !t.open && age > a.set.Classes[t.p.q.class].Aim {
				a.release(t)
			}
			if !t.c.judged && r.heard < t.at && a.heard > t.at && age.Seconds() > a.patience(t.p.q) {
				t.c.judged, r.leaky = true, false
				a.warn(silenceSign)
				if r.hushed = t.gap; t.fresh || t.gap < a.idleLimit() {
					r.hushed = 0 // silence that no idling explains
					a.blameIdle(-1)
				}
				if !a.wide {
					a.strike(r)
				}
			}
		}
		// A probe asks whether it can be reached at all before a part is risked on it.
		if r.ejected && !r.cleared && a.now >= r.until && !r.barred {
			if r.until, r.cleared = a.now+r.backoff, !a.set.Limits.Probes; !r.cleared {
				a.out = append(a.out, Action{Kind: Probe, Replica: r.member.Replica})
			}
		}
		if !r.barred && !r.ejected {
			all = append(all, a.excess(r))
			if r.pace > 0 {
				paces = append(paces, r.pace)
			}
		}
	}
	a.median, a.pace = at(all, 2), at(paces, 3)
	a.fleet = slices.DeleteFunc(a.fleet, a.forgets)
}

// patience is how long a part may take before it stands out.
func (a *Aggregator) patience(q *query) float64 {
	s, aim := a.stat(q), a.set.Classes[q.class].Aim.Seconds()
	if s.high.n < 30 {
		return aim / 2
	}
	return math.Min(math.Max(chaseHigh*s.high.v, chaseMid*s.mid.v), aim/2)
}

// advance moves one query on and returns when it next needs attention.
func (a *Aggregator) advance(q *query) time.Duration {
	got, open, _ := q.weights()
	late, next := q.aim-3*a.set.Tick, q.end-2*a.set.Tick
	early := late - a.second(q)
	switch {
	case q.ended:
	case a.now >= next:
		a.settle(q, Late)
	case len(q.parts) < q.want:
		return next
	case !q.admitted && !a.admit(q):
		a.giveUp(q, q.why)
	case open == 0 || q.step == 0 && got >= a.set.Classes[q.class].Need-rounding:
		a.settle(q, Spent)
	case a.now >= early && a.partialPays(q, got), a.now >= late && a.useful(q) == q.aim:
		a.settle(q, Late)
	case q.wrecks >= wreckLimit && !q.answered:
		a.killed = a.now
		a.giveUp(q, Wrecked)
	case a.now < early:
		return a.place(q, early)
	case a.now < late:
		return a.place(q, late)
	default:
		return a.place(q, next)
	}
	return math.MaxInt64
}

// second is the time that the second step of a query may take, where one is still to come: a partial answer
// that leaves no time for it is worth nothing.
func (a *Aggregator) second(q *query) time.Duration {
	c := &a.set.Classes[q.class]
	if q.step > 0 || c.Fetch == 0 {
		return 0
	}
	if s := &a.learned[2*q.class+1]; s.high.n > 0 {
		return min(times(secondTimes*s.high.v, time.Second), c.Aim/2)
	}
	return c.Aim / 4
}

// place sends what a query may send now, part by part, and returns when it next needs attention.
func (a *Aggregator) place(q *query, next time.Duration) time.Duration {
	hold := a.now
	room, until := a.scouts(q)
	for _, p := range q.parts {
		if !p.done && p.out() == 0 {
			hold = max(hold, a.now+a.sound(p))
		}
	}
	for _, p := range q.parts {
		if p.done || p.lost {
			continue
		}
		if room <= 0 && p.out() == 0 && !a.joins(p, a.choose(p)) {
			next = min(next, max(a.now+a.set.Tick, until))
			continue
		}
		sent := len(p.tries)
		when, hopeless := a.push(p, hold)
		if n := len(p.tries); n > sent && p.tries[n-1].c.lead == p.tries[n-1] {
			room--
		}
		if p.lost = hopeless; hopeless && !a.reachable(q) {
			a.settle(q, Spent)
			return math.MaxInt64
		} else if !hopeless {
			next = min(next, when)
		}
	}
	return next
}

// least is the share of the weight from which a step can be answered at all; weights may be rounded.
func (a *Aggregator) least(q *query) float64 {
	c := &a.set.Classes[q.class]
	if q.step > 0 && c.Floor >= c.Need {
		return 1 - rounding
	}
	return min(c.Need, c.Floor) - rounding
}

// scouts is how many parts of a query may go out now. A query that breaks what runs it shows nothing before,
// so until a part is answered it may touch a small share of the fleet, and one replica while on guard or
// once a part was reset. It also spares a fleet that fails for other reasons; it costs a part's latency.
func (a *Aggregator) scouts(q *query) (room int, until time.Duration) {
	until = q.sent + times(scoutShare, a.set.Classes[q.class].Aim)
	shaken := q.wrecks > 0 || q.jolted
	if a.broke == 0 && !shaken || q.answered || q.sent > 0 && !shaken && a.now >= until {
		return math.MaxInt32, until
	}
	room = max(1, int(riskShare*float64(len(a.fleet))))
	if a.killed > 0 && a.now-a.killed < a.set.Rules.WarmAfter || shaken {
		room = 1
	}
	for _, p := range q.parts {
		for _, t := range p.tries {
			if t.open && t.c.lead == t {
				room--
			}
		}
	}
	return room, until
}

// useful is how long an answer is worth its work. A late answer is worth little; while the whole fleet is
// slow, what it takes is taken from queries that could still be in time, and a jam would feed on it.
func (a *Aggregator) useful(q *query) time.Duration {
	if c := &a.set.Classes[q.class]; c.LateWorth < lateLeast || a.median > a.typical() {
		return q.aim
	}
	return q.end
}

// partialPays tells whether a partial answer now beats a whole one after the aim.
func (a *Aggregator) partialPays(q *query, got float64) bool {
	c := &a.set.Classes[q.class]
	return got >= c.Floor && c.Floor < c.Need && c.Partial*got/c.Need > c.LateWorth
}

// settle ends a query with the best that is in: a whole answer, a partial one, or none.
func (a *Aggregator) settle(q *query, why Why) {
	c := &a.set.Classes[q.class]
	got, _, missing := q.weights()
	whole := got >= c.Need-rounding
	if q.step > 0 {
		whole = missing == 0 && q.whole
	}
	if got < a.least(q) || len(q.parts) < q.want {
		a.giveUp(q, why)
		return
	}
	if q.step == 0 && c.Fetch > 0 {
		if q.end-a.now <= 2*a.set.Tick {
			a.giveUp(q, Late) // an answer now would open a second step and end nothing
			return
		}
		done := 0
		for _, p := range q.parts {
			if p.done {
				done++
			}
			a.drop(p)
		}
		q.step, q.whole, q.parts, q.want = 1, whole, nil, min(c.Fetch, done)
		a.out = append(a.out, Action{Kind: Answer, Query: q.id, Whole: whole})
		return
	}
	a.out = append(a.out, Action{Kind: Answer, Query: q.id, Whole: whole, Final: true})
	a.close(q)
}

// giveUp ends a query without an answer, at once. A refusal says that asking again is harmless and when;
// where a part that must not be repeated freely may have run, only a failure is honest.
func (a *Aggregator) giveUp(q *query, why Why) {
	kind, wait := Refuse, time.Duration(0)
	for _, p := range q.parts {
		if a.set.Classes[q.class].Effect != Safe && (p.mayRun || p.out() > 0) {
			kind = Fail
		}
	}
	if a.set.Limits.RetryAfter && kind == Refuse {
		s := a.median + a.typical()*(1+a.rng.Float64())
		wait = min(times(s, time.Second), a.set.Limits.MaxRetryAfter)
	}
	a.out = append(a.out, Action{Kind: kind, Query: q.id, Why: why, After: wait})
	a.close(q)
}

// admit decides on a new query. It is let in if it can be expected within a share of its aim that grows
// with its worth for the work, compared with the queries seen lately; so load that can't be served is
// turned away early, the least worthy first, and more of it the longer the wait has grown.
func (a *Aggregator) admit(q *query) bool {
	q.admitted = true
	rank := a.rank(q)
	for _, p := range q.parts {
		p.wait = a.forecast(p)
	}
	soonest := slices.Clone(q.parts)
	slices.SortFunc(soonest, func(p, o *part) int { return cmp.Compare(p.wait, o.wait) })
	wait, sum := 0.0, 0.0
	for _, p := range soonest {
		if sum < a.least(q) {
			wait, sum = p.wait, sum+p.weight
		}
	}
	if q.why = NoHolder; math.IsInf(wait, 1) {
		return false
	}
	if wait += a.straggle(q); a.set.Classes[q.class].Fetch > 0 {
		wait *= 1.5
	}
	q.why = Held
	if m := float64(a.set.Limits.MaxOpen); m > 0 && float64(a.open()) > m*(roomShare+(1-roomShare)*rank) {
		return false
	}
	q.why = Forecast
	if wait > (admitLow+(admitHigh-admitLow)*rank)*(q.aim-a.now).Seconds() {
		return false
	}
	a.spare(q, soonest)
	return true
}

// spare leaves out at once the parts that an answer can do without and whose holders are all pressed, the
// slowest first. They would come late or not at all, and take what queries need that must have all their
// parts. Half of what may be missing is kept for parts that fail. Where few nodes share the load, each knows
// it from its own parts, and one that is expected within the aim comes; of many, each hears of a jam late.
func (a *Aggregator) spare(q *query, soonest []*part) {
	c, rest := &a.set.Classes[q.class], 1.0
	if c.Partial == 0 || c.Fetch > 0 {
		return
	}
	pressed := math.Max(spareTimes*a.usual(q), a.sees()*admitLow*(q.aim-a.now).Seconds())
	for _, p := range slices.Backward(soonest) {
		if p.wait < pressed || rest-p.weight < (c.Floor+c.Need)/2 {
			return
		}
		p.lost, rest = true, rest-p.weight
	}
}

// forecast is how long a part may take at the best holder, an ejected one only where there is no other.
func (a *Aggregator) forecast(p *part) float64 {
	best, spare := math.Inf(1), math.Inf(1)
	for _, r := range a.holders(p.shard) {
		switch {
		case !a.usable(p, r):
		case r.ejected:
			spare = math.Min(spare, a.expect(p.q, r))
		default:
			best = math.Min(best, a.expect(p.q, r))
		}
	}
	if math.IsInf(best, 1) {
		return spare
	}
	return best
}

// rank places a query among the recent ones by worth for work, from 0 (least) to 1. What a tenant asks
// above its share counts for little.
func (a *Aggregator) rank(q *query) float64 {
	c := &a.set.Classes[q.class]
	worth := c.Worth
	if !a.set.WorthByWork {
		work := float64(len(q.parts)) * a.usual(q)
		if c.Fetch > 0 {
			work *= 1 + 0.5*float64(c.Fetch)/float64(max(len(q.parts), 1))
		}
		worth /= math.Max(work, 1e-3)
	}
	if q.tenant >= 0 && q.tenant < len(a.tenants) {
		w, again := &a.tenants[q.tenant], &a.again[q.tenant]
		if w.at = append(w.at, a.now); q.retry {
			again.at = append(again.at, a.now)
		}
		share, since := a.set.Tenants[q.tenant].Rate/float64(a.set.Aggregators), a.now-2*time.Second
		// Where most of what a tenant asks is asked again, its retries count as over its share.
		asked, repeats := float64(w.since(since)), float64(again.since(since))
		if asked > 2*share+3 || q.retry && repeats > 2 && 2*repeats > asked {
			worth *= a.set.OverShareWorth
		}
	}
	q.worth = worth
	below, equal, n := a.worths.place(worth)
	if n == 0 {
		return 1
	}
	return (below + equal*a.rng.Float64()) / n
}

// push sends a part that has nothing out, or chases one whose attempt is overdue.
func (a *Aggregator) push(p *part, hold time.Duration) (next time.Duration, hopeless bool) {
	if p.out() == 0 {
		if !a.repeatable(p) {
			return 0, true
		}
		if hold > a.now {
			return hold, false
		}
		if r := a.choose(p); r != nil && a.afford(p) {
			a.send(p, r)
			return a.overdue(p), false
		}
		return a.now + 2*a.set.Tick, false
	}
	when := a.overdue(p)
	if a.now < when {
		return when, false
	}
	last := p.tries[len(p.tries)-1]
	if last.dropped || p.out() > 1 || !a.repeatable(p) || !a.set.Limits.Copies && !a.set.Limits.Cancel {
		return math.MaxInt64, false
	}
	// Where all are slow it is load, and a further attempt adds to it: another must be clearly faster.
	r := a.choose(p)
	p.quick = last.r.ejected || last.c.judged
	// Answers to what was sent later are in: this one may be lost, and holds up a query that has the rest.
	_, left, _ := p.q.weights()
	chase := p.quick || last.r.passed >= last.at && float64(left) <= lastShare*float64(len(p.q.parts))
	if !chase || r == nil || r.ejected || a.excess(r) > (a.now-last.at).Seconds()/2 || !a.mayExtra(p) {
		return a.now + 4*a.set.Tick, false
	}
	if a.set.Limits.Copies {
		a.afford(p)
		a.send(p, r)
		return a.overdue(p), false
	}
	last.dropped = true
	a.out = append(a.out, Action{Kind: Cancel, Part: p.id, Attempt: last.n})
	return a.now + 2*a.set.Tick, false
}

// overdue is when the last attempt of a part should be answered by another: once it stands out among its
// class, early enough that another fits in before the aim.
func (a *Aggregator) overdue(p *part) time.Duration {
	t, q := p.tries[len(p.tries)-1], p.q
	wait := a.patience(q)
	if t.r.ejected {
		wait = math.Min(wait, a.stat(q).mid.v*1.5)
	}
	return t.at + times(wait, time.Second)
}

// repeatable tells whether the rules allow p another attempt at all: the cap, and the class's effect.
func (a *Aggregator) repeatable(p *part) bool {
	return len(p.tries) == 0 || len(p.tries) < a.set.Limits.Attempts && a.begin(p) > 0
}

// begin is how long a further attempt may still begin: in a keyed class, for as long as a repeat is dropped.
func (a *Aggregator) begin(p *part) time.Duration {
	c := &a.set.Classes[p.q.class]
	since, may := p.firstRun, p.mayRun
	for _, t := range p.tries {
		if t.open && (!may || t.at < since) {
			since, may = t.at, true
		}
	}
	switch {
	case !may || c.Effect == Safe:
		return math.MaxInt64
	case c.Effect == Keyed:
		return since + c.Memory - 4*a.set.Tick - a.now
	}
	return 0
}

// mayExtra tells whether a further attempt is within the rule's ration and what has been saved up.
func (a *Aggregator) mayExtra(p *part) bool {
	if b := a.set.Rules; b.BudgetWindow > 0 {
		taken := a.taken.since(a.now - b.BudgetWindow + a.set.Tick)
		extras := a.extras.since(a.now - b.BudgetWindow - a.set.Tick)
		if float64(extras+1) > b.BudgetFree+b.BudgetShare*float64(taken) {
			return false
		}
	}
	return a.credit >= p.cost()
}

// afford books a send: first sends earn, further ones pay.
func (a *Aggregator) afford(p *part) bool {
	if len(p.tries) == 0 {
		a.credit = math.Min(a.credit+extraRate, extraStore)
		return true
	}
	if !a.mayExtra(p) {
		return false
	}
	a.credit -= p.cost()
	if a.set.Rules.BudgetWindow > 0 {
		a.extras.at = append(a.extras.at, a.now)
	}
	return true
}

// choose picks the replica of a part's shard that would hold the fewest of our calls, the query's earlier
// parts counted; of equals the one that answers faster, else at random. An ejected replica, or one that
// has failed this part, is taken only where no other is usable.
func (a *Aggregator) choose(p *part) *replica {
	var best *replica
	var rank [3]float64
	holders := a.holders(p.shard)
	pressed := len(p.tries) == 0 && a.credit > extraStore/2 && a.set.Classes[p.q.class].Effect == Safe &&
		a.set.Limits.Attempts > 2 && !slices.ContainsFunc(holders, func(r *replica) bool {
		return !r.ejected && a.usable(p, r) && a.expect(p.q, r) < pressShare*(p.q.aim-a.now).Seconds()
	})
	for _, r := range holders {
		if !a.usable(p, r) {
			continue
		}
		mine := a.order(p, r, pressed)
		if best == nil || slices.Compare(mine[:], rank[:]) < 0 {
			best, rank = r, mine
		}
	}
	return best
}

func (a *Aggregator) order(p *part, r *replica, pressed bool) (rank [3]float64) {
	trial := r.cleared && len(r.open) == 0 && len(p.tries) == 0 || pressed && r.leaky
	switch {
	case r.ejected && !trial:
		rank[0] = 1
	case !r.ejected && a.doubtful(r):
		rank[0] = 0.5
	}
	for _, t := range p.tries {
		if t.r == r {
			rank[0] += 2
		}
	}
	rank[1] = float64(r.calls + 1)
	join := a.joins(p, r)
	if join {
		rank[1]--
	}
	rank[2] = (a.excess(r) + a.others(r) + a.usual(p.q)) * (0.8 + 0.4*a.rng.Float64())
	if r.member.Zone != a.set.Zone {
		rank[2] *= farTimes
	}
	if r.seen > 0 && a.now-r.seen < a.fresh() {
		rank[2] *= 1 + r.load
	}
	if join {
		rank[2] = 0
	} else if a.set.CallCost > 0 {
		// Of equals, the one that can take most of the query's parts in one call.
		rank[2] /= float64(a.covers(p.q, r))
	}
	return rank
}

// joins tells whether a part would share the call that this round already sends to r.
func (a *Aggregator) joins(p *part, r *replica) bool {
	if r == nil || r.call == nil {
		return false
	}
	c := r.call
	return c.round == a.round && c.size < a.set.Limits.Bundle && a.set.CallCost > 0 &&
		c.work < joinShare*(p.q.aim-a.now).Seconds()
}

// usable is what the rules and the list leave: not draining or gone, no attempt of this part out, and
// within this front node's share of what a cold replica may be sent.
func (a *Aggregator) usable(p *part, r *replica) bool {
	if r.barred || a.now < r.shunned {
		return false
	}
	for _, t := range p.tries {
		if t.open && t.r == r {
			return false
		}
	}
	return !r.cold || a.coldRoom(p, r)
}

// coldRoom presumes one unit of work at a time, the slowest ramp and the other front nodes sending as much.
// Where a node's share is less than a part, it accrues and may be saved up for two falling windows. Calls are
// then rationed by chance: a die thrown anew with each one, and each window, says how much of it must have
// accrued, so that nodes don't send in step, and what is sent ahead is paid later. The die counts one
// window's share at most: all nodes may have saved when all are asked at once. A call may hold more
// parts as long as the room of all nodes holds many such.
func (a *Aggregator) coldRoom(p *part, r *replica) bool {
	b := a.set.Rules
	if b.FallMultiple == 0 || b.FallWindow == 0 {
		return true
	}
	grown := min(1, max(0, (a.now-r.born).Seconds()/math.Max(b.WarmAfter.Seconds(), 1e-3)))
	all := b.FallMultiple * (b.ColdShare + (1-b.ColdShare)*grown) * b.FallWindow.Seconds()
	room, work := all/float64(a.set.Aggregators), a.workOf(p)
	r.sent = slices.DeleteFunc(r.sent, func(l load) bool { return l.at < a.now-b.FallWindow })
	sum := 0.0
	for _, l := range r.sent {
		sum += l.work
	}
	if r.accrued < r.born {
		r.accrued, r.room = r.born, 0
	}
	r.room = math.Min(r.room+room*(a.now-r.accrued).Seconds()/b.FallWindow.Seconds(), 2*room)
	if r.accrued = a.now; a.now >= r.thrown+b.FallWindow {
		r.thrown, r.die = a.now, a.rng.Float64()
	}
	if room < work {
		most := max(1, int(all/(coldCalls*work)))
		return a.joins(p, r) && r.call.size < most ||
			math.Min(r.room, room) >= work*float64(min(most, a.covers(p.q, r)))*r.die
	}
	return sum+work*r.die <= room
}

// workOf is the mean work that a part is expected to bring, its call included. The latency on an unloaded replica is of
// the lighter parts, the median also of the wait under load, which is why it counts up to a multiple of the other.
func (a *Aggregator) workOf(p *part) float64 {
	mean := a.usual(p.q)
	if s := a.stat(p.q); s.mid.n > 0 {
		mean = min(max(mean, s.mid.v), meanTimes*mean)
	} else {
		mean = max(mean, unlearnedWork*a.set.Classes[p.q.class].Aim.Seconds())
	}
	return math.Max(mean, p.work) + a.set.CallCost.Seconds()
}

// idleLimit is the time without use after which connections were lately found dead, 0 for none.
func (a *Aggregator) idleLimit() time.Duration {
	if (a.now - a.reaped).Seconds() > reapAims*a.longAim().Seconds() {
		a.reap, a.stale = 0, 0
	}
	return a.reap
}

// idled tells whether an attempt was sent on a connection that had been out of use for a while.
func (a *Aggregator) idled(t *attempt) bool {
	return !t.fresh && t.place == 1 && t.gap > times(idleLeast, a.longAim())
}

// deadIdle counts a sign that connections out of use for gap are dead.
func (a *Aggregator) deadIdle(gap time.Duration) {
	a.blameIdle(1)
	if a.reaped = a.now; a.reap == 0 || gap < a.reap {
		a.reap = gap
	}
}

// blameIdle counts signs that idle connections are dead, or against it; enough of the latter clear them.
func (a *Aggregator) blameIdle(sign float64) {
	if a.stale = math.Min(a.stale+sign, 2*staleActs); a.stale <= -staleActs {
		a.reap, a.stale = 0, 0
	}
}

// refresh closes the idle connections to r before a part is sent where they may be dead: a call on one
// was lost, or they have idled as long as others that were; at the first sign already for a part that may
// not run twice. It costs a handshake.
func (a *Aggregator) refresh(p *part, r *replica) bool {
	limit, enough := a.idleLimit(), staleActs
	if a.set.Classes[p.q.class].Effect == Unsafe {
		enough = 1
	}
	suspect := r.hushed > 0 || p.q.jolted || limit > 0 && a.stale >= enough && a.now-r.used >= limit
	if len(r.open) > 0 || !suspect {
		return false
	}
	a.out = append(a.out, Action{Kind: CloseIdle, Replica: r.member.Replica})
	return true
}

// send starts an attempt. Its time-out is the time in which an answer is of use; servers may skip the
// rest.
func (a *Aggregator) send(p *part, r *replica) {
	q, fresh, begin := p.q, a.refresh(p, r), a.begin(p)
	a.book(p, r, fresh).c.work += a.usual(q)
	a.note(r, newsSent, times(a.workOf(p), time.Second))
	if r.cold {
		r.room -= a.workOf(p)
		r.sent = append(r.sent, load{a.now, a.workOf(p)})
		r.thrown, r.die = a.now, a.rng.Float64()
	}
	end := a.useful(q) - 3*a.set.Tick
	a.out = append(a.out, Action{Kind: Send, Part: p.id, Replica: r.member.Replica,
		After: max(end-a.now, time.Microsecond), Begin: begin})
}

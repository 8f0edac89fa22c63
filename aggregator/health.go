package aggregator

// What the ends of attempts and probes say of a replica and its connections: outlier ejection.

import (
	"math"
	"slices"
	"time"
)

const ( // in shares of what the settings state or the aggregator has observed
	strikeOut    = 2.0  // strikes that eject a replica
	strikeFade   = 0.6  // what an answer leaves of the strikes
	poolWeight   = 0.05 // of a new sample in the fleet's excess
	shunTimes    = 2.0  // median latencies that a full replica is left alone
	heardTimes   = 3.0  // times between two answers of a replica for which what was heard of it holds
	gapWeight    = 0.01 // of a new sample in that time
	fewNodes     = 3.0  // nodes up to which each sees all that there is to see
	probesEarned = 12.0 // by each bad sign, spent by probing holders before a part
	silenceSign  = 0.15 // of a reset, as a sign: most silent parts are only slow
	reapAims     = 8.0  // longest aims for which idle connections found dead are closed before use
	freshShare   = 0.4  // share of the longest aim after which a replica must be heard again, on guard
	staleActs    = 2.0  // signs of dead idle connections, less those against, from which they are closed
	idleLeast    = 0.1  // share of the longest aim above which a connection counts as idle
	staleAnswer  = 0.25 // what an answer on a long idle connection counts against
	askShare     = 0.04 // share of the aim that a part waits for the probes of its holders
)

// neverRan are the outcomes of attempts that their replica has not begun.
var neverRan = map[Outcome]bool{Rejected: true, ConnectFailed: true, ConnectTimeout: true, NotSent: true}

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
			a.addProbeCredit(1)
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
		a.addFailure(r)
		if e.Outcome == Reset || e.Outcome == ConnectFailed && r.strikes >= strikeOut {
			// A process that drops or refuses connections may have restarted before the list says so; one whose
			// connections come up late has not.
			r.cold, r.born = true, a.now
		}
	case ConnectionLost:
		a.release(t)
		// Nothing has died, and whatever else was out on the connection is no further sign.
		if r.cut != a.round {
			r.cut, r.leaky = a.round, true
			a.addFailure(r)
		}
	case Rejected:
		a.release(t)
		// A full queue is a wait of its own length, though none of our calls shows it: left alone for a while.
		r.shunned = a.now + time.Duration(shunTimes*a.typical()*float64(time.Second))
		r.excess, r.sampled = math.Max(a.excess(r), a.longAim().Seconds()/2), a.now
		a.pool, a.pooled = a.pool+poolWeight*(r.excess-a.pool), a.now
	case NotSent:
		a.release(t)
	case TimedOut, Cancelled:
		a.learnAtLeast(t, took)
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

func (a *Aggregator) addFailure(r *replica) {
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

// reviewReplicas looks over the fleet once a round: ghosts that have outlived any likely run are let go, and
// silence while peers answer counts like an error.
func (a *Aggregator) reviewReplicas() {
	var all, paces []float64
	present, out, heard := 0, 0, 0
	for _, r := range a.fleet {
		if !r.barred {
			if present++; r.ejected {
				out++
			}
			if r.heard > 0 && a.now-r.heard < a.freshness() {
				heard++
			}
		}
	}
	// Where half the fleet is out by opinion it is load or the network, and the next opinion is not heard.
	a.wide, a.deaf = 2*out >= present, 2*heard < present
	for _, r := range a.fleet {
		if r.cold && a.now-r.born >= a.set.Rules.WarmupTime {
			r.cold, r.sent = false, nil
		}
		for _, t := range slices.Clone(r.open) {
			age := a.now - t.at
			if !t.open && age > a.set.Classes[t.p.q.class].LatencyObjective {
				a.release(t)
			}
			if !t.c.judged && r.heard < t.at && a.heard > t.at && age.Seconds() > a.patience(t.p.q) {
				t.c.judged, r.leaky = true, false
				a.addProbeCredit(silenceSign)
				if r.hushed = t.gap; t.fresh || t.gap < a.idleLimit() {
					r.hushed = 0 // silence that no idling explains
					a.blameIdle(-1)
				}
				if !a.wide {
					a.addFailure(r)
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
		a.addProbeCredit(1)
		if r.ejected && !r.cleared {
			a.eject(r)
		} else {
			a.addFailure(r)
		}
		return
	}
	r.seen, r.doubted, r.load = a.now, 0, 0
	// What it says that it holds, the larger figure where one may include the other, tells ties while fresh.
	if x := max(e.LoadReport["inflight"], e.LoadReport["queue"]); x > 0 && x < math.MaxInt32 {
		r.load = x
	}
	r.cleared = r.cleared || r.ejected
}

// addProbeCredit notes a bad sign: a reset, a failed connect or probe, a silence. It puts the node on guard
// by earning probes; they run out soon where all of them come back.
func (a *Aggregator) addProbeCredit(weight float64) {
	a.probes = math.Min(a.probes+a.visibleShare()*weight*probesEarned, a.visibleShare()*float64(len(a.fleet)))
}

// visibleShare is how much of what there is to see this node sees itself: all where there are few nodes.
func (a *Aggregator) visibleShare() float64 { return math.Min(1, fewNodes/float64(a.set.Aggregators)) }

// freshness is how long what was heard of a replica holds.
func (a *Aggregator) freshness() time.Duration { return times(freshShare, a.longAim()) }

// doubtful tells whether a replica failed a part or a probe, or owed an answer, a short while ago.
func (a *Aggregator) doubtful(r *replica) bool { return r.doubted > 0 && a.now-r.doubted < a.longAim() }

// probeHolders asks the holders of a part that were not heard lately whether they answer at all, and tells
// how long to wait for that. It acts on guard only: a node that seldom sends a replica a part learns of its
// death too late from the parts themselves. A replica that owes its answer by then is doubted, not ejected.
func (a *Aggregator) probeHolders(p *part) (wait time.Duration) {
	if !a.set.Limits.Probes || !a.deaf || a.probes < 1 || a.now-p.q.arrived > p.q.aim-a.now {
		return 0
	}
	patience := times(askShare, a.set.Classes[p.q.class].LatencyObjective)
	for _, r := range a.holders(p.shard) {
		if r.barred || r.ejected || !a.doubtful(r) && a.now-max(r.seen, r.heard) < a.freshness() {
			continue
		}
		if r.asked <= max(r.seen, r.heard) || a.now-r.asked > a.freshness() {
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

package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	removedLifetime = 40.0 // longest aims for which a replica that has left the list may come back as it was
	firstPollShare  = 0.06 // share of the rule's time between list calls over which the first one is spread
)

// replica is one data node of the endpoint list and what this aggregator knows of it.
type replica struct {
	member    Member
	tag       uint16        // its name in gossip
	excluded  bool          // the endpoint list says that it is draining or gone
	removedAt time.Duration // when it left the endpoint list; 0 while it is listed
	calls     replicaCalls
	latency   replicaLatency
	slowStart slowStart
	outlier   outlierState
	health    replicaHealth
	conns     replicaConns
	peerLoad  peerLoad
}

// requestList subscribes to the list where it must be asked for: at the start, and after each refusal with a
// pause that doubles up to a quarter of the time after which the drain rule takes what is listed as told.
// Pauses are drawn at random, so that nodes that start together don't ask in step.
func (a *Aggregator) pollEndpoints() {
	if a.endpoints.poller.failed {
		a.endpoints.poller.failed = false
		share := firstPollShare * math.Exp2(float64(a.endpoints.poller.failures)) * a.rng.Float64()
		a.endpoints.poller.nextPoll = a.now + scale(share, max(a.settings.Rules.PollInterval, a.maxObjective()))
		a.endpoints.poller.failures = min(a.endpoints.poller.failures+1, 2)
	}
	if a.now >= a.endpoints.poller.nextPoll {
		a.endpoints.poller.nextPoll = math.MaxInt64
		a.out = append(a.out, Action{Kind: PollEndpoints})
	}
}

// updateList brings the fleet up to date. What it says of draining is binding at once, well within the grace;
// that a replica runs is a hint only.
func (a *Aggregator) updateEndpoints(e *Event) {
	if e.Kind != ListChanged {
		for _, r := range a.endpoints.replicas {
			r.excluded = true
			r.markRemoved(a.now)
		}
	}
	for _, m := range e.Members {
		if m.ShardSet < 0 || m.ShardSet >= a.settings.ShardSets {
			continue
		}
		r := a.endpoints.byName[m.Replica]
		if r == nil {
			r = &replica{member: m, tag: replicaTag(m.Replica)}
			a.endpoints.byName[m.Replica], a.endpoints.byTag[r.tag] = r, r
			a.endpoints.replicas = append(a.endpoints.replicas, r)
			a.endpoints.shardSets[m.ShardSet] = append(a.endpoints.shardSets[m.ShardSet], r)
			a.startSlowStart(r, m.Started, a.endpoints.listed && m.Started == 0)
		} else if m.Started > r.member.Started {
			a.startSlowStart(r, m.Started, false)
		}
		if r.member.State == Serving && m.State == Gone {
			a.queryOfDeath.lastCrash = a.now
		}
		a.moveShardSet(r, m.ShardSet)
		if r.member, r.excluded = m, m.State != Serving; m.State == Gone {
			r.markRemoved(a.now)
		} else {
			r.removedAt = 0
		}
	}
	a.endpoints.listed, a.endpoints.poller.failures = true, 0
}

// rehouse moves a replica whose cell has changed.
func (a *Aggregator) moveShardSet(r *replica, cell int) {
	if cell != r.member.ShardSet {
		old := &a.endpoints.shardSets[r.member.ShardSet]
		*old = slices.DeleteFunc(*old, func(o *replica) bool { return o == r })
		a.endpoints.shardSets[cell] = append(a.endpoints.shardSets[cell], r)
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
	if r.removedAt == 0 || a.now-r.removedAt < scale(removedLifetime, a.maxObjective()) || len(r.calls.inFlight) > 0 {
		return false
	}
	delete(a.endpoints.byName, r.member.Replica)
	if a.endpoints.byTag[r.tag] == r {
		delete(a.endpoints.byTag, r.tag)
	}
	cell := &a.endpoints.shardSets[r.member.ShardSet]
	*cell = slices.DeleteFunc(*cell, func(o *replica) bool { return o == r })
	return true
}

// holders lists the replicas that hold a shard.
func (a *Aggregator) holders(shard int) []*replica {
	if a.settings.Reach == 1 {
		return a.endpoints.shardSets[shard%a.settings.ShardSets]
	}
	var all []*replica
	for j := range a.settings.Reach {
		all = append(all, a.endpoints.shardSets[(shard+j)%a.settings.ShardSets]...)
	}
	return all
}

// endpointList holds the replicas that discovery listed.
type endpointList struct {
	byName    map[string]*replica
	byTag     map[uint16]*replica
	replicas  []*replica
	shardSets [][]*replica // replicas by the set of shards that they hold
	listed    bool         // a list has come in
	poller    endpointPoller
}

// endpointPoller subscribes to the endpoint list.
type endpointPoller struct {
	failed   bool          // the next poll is to be scheduled
	nextPoll time.Duration // when the next poll is due; the largest value for never
	failures int           // polls that failed in a row, counted to 2
}

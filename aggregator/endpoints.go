package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	// removedLifetime is for how many longest latency objectives a replica that left the list is remembered.
	removedLifetime = 40.0
	// firstPollShare is the share of Rules.PollInterval over which the first poll is spread. It doubles with each failure.
	firstPollShare = 0.06
	// maxPollDoublings bounds the growth, so that the pause stays below a quarter of the interval.
	maxPollDoublings = 2
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

// endpointList holds the replicas that discovery lists, and for a while those that it has listed.
type endpointList struct {
	byName    map[string]*replica
	byTag     map[uint16]*replica
	replicas  []*replica   // in order of their first listing
	shardSets [][]*replica // by the set of shards that they hold
	listed    bool         // a list has come in
	poller    endpointPoller
}

// endpointPoller asks for the endpoint list where that is needed.
type endpointPoller struct {
	failed   bool          // the last poll failed, or none was made yet: the next is to be scheduled
	nextPoll time.Duration // when the next poll is due; the largest value for never
	failures int           // polls in a row that failed, maxPollDoublings at most
}

// pollEndpoints asks for the endpoint list at the start, and after each failure with a backoff. The pauses are random, so
// that aggregators that start together don't poll together.
func (a *Aggregator) pollEndpoints() {
	poller := &a.endpoints.poller
	if poller.failed {
		poller.failed = false
		share := firstPollShare * math.Exp2(float64(poller.failures)) * a.rng.Float64()
		poller.nextPoll = a.now + scale(share, max(a.settings.Rules.PollInterval, a.maxObjective()))
		poller.failures = min(poller.failures+1, maxPollDoublings)
	}
	if a.now >= poller.nextPoll {
		poller.nextPoll = math.MaxInt64
		a.act(Action{Kind: PollEndpoints})
	}
}

// updateEndpoints takes in a change of the endpoint list, or a complete list. That a replica drains or is gone holds at
// once; that it serves is a hint only.
func (a *Aggregator) updateEndpoints(e *Event) {
	if e.Kind != ListChanged {
		for _, r := range a.endpoints.replicas {
			r.excluded = true
			r.markRemoved(a.now)
		}
	}
	for _, m := range e.Members {
		if m.ShardSet >= 0 && m.ShardSet < a.settings.ShardSets {
			a.updateMember(m)
		}
	}
	a.endpoints.listed, a.endpoints.poller.failures = true, 0
}

// updateMember takes in one entry of the endpoint list.
func (a *Aggregator) updateMember(m Member) {
	r := a.endpoints.byName[m.Replica]
	if r == nil {
		r = a.addReplica(m)
	} else if m.Started > r.member.Started {
		a.startSlowStart(r, m.Started)
	}
	if r.member.State == Serving && m.State == Gone {
		a.queryOfDeath.lastCrash = a.now
	}
	a.moveShardSet(r, m.ShardSet)
	r.member, r.excluded = m, m.State != Serving
	if m.State == Gone {
		r.markRemoved(a.now)
	} else {
		r.removedAt = 0
	}
}

// addReplica adds a replica that was not listed before. Without a time of start it has started about now, unless it is in
// the first list.
func (a *Aggregator) addReplica(m Member) *replica {
	r := &replica{member: m, tag: replicaTag(m.Replica)}
	list := &a.endpoints
	list.byName[m.Replica], list.byTag[r.tag] = r, r
	list.replicas = append(list.replicas, r)
	list.shardSets[m.ShardSet] = append(list.shardSets[m.ShardSet], r)
	started := m.Started
	if list.listed && started == 0 {
		started = a.now
	}
	a.startSlowStart(r, started)
	return r
}

// moveShardSet moves a replica whose set of shards has changed.
func (a *Aggregator) moveShardSet(r *replica, set int) {
	if set == r.member.ShardSet {
		return
	}
	a.removeFromShardSet(r)
	a.endpoints.shardSets[set] = append(a.endpoints.shardSets[set], r)
}

func (a *Aggregator) removeFromShardSet(r *replica) {
	set := &a.endpoints.shardSets[r.member.ShardSet]
	*set = slices.DeleteFunc(*set, func(o *replica) bool { return o == r })
}

// markRemoved notes that a replica is no longer listed.
func (r *replica) markRemoved(now time.Duration) {
	if r.removedAt == 0 {
		r.removedAt = now
	}
}

// forget removes a replica that left the list long ago and has nothing in flight, and tells whether it did. Replicas come
// under new names for as long as the program runs; one that returns earlier is known by what it has shown.
func (a *Aggregator) forget(r *replica) bool {
	if r.removedAt == 0 || a.now-r.removedAt < scale(removedLifetime, a.maxObjective()) || len(r.calls.inFlight) > 0 {
		return false
	}
	delete(a.endpoints.byName, r.member.Replica)
	if a.endpoints.byTag[r.tag] == r {
		delete(a.endpoints.byTag, r.tag)
	}
	a.removeFromShardSet(r)
	return true
}

// holders returns the replicas that hold a shard.
func (a *Aggregator) holders(shard int) []*replica {
	if a.settings.Reach == 1 {
		return a.endpoints.shardSets[shard%a.settings.ShardSets]
	}
	var all []*replica
	for i := range a.settings.Reach {
		all = append(all, a.endpoints.shardSets[(shard+i)%a.settings.ShardSets]...)
	}
	return all
}

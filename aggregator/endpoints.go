package aggregator

import (
	"math"
	"slices"
	"time"
)

const (
	// removedLifetime is the time for which a replica that left the list is remembered, in longest latency objectives.
	removedLifetime = 40.0
	// firstPollShare is the share of Rules.PollInterval over which the first poll is spread; it doubles with each failure.
	firstPollShare = 0.06
	// maxPollDoublings bounds the doubling, so that the delay stays below a quarter of the interval.
	maxPollDoublings = 2
)

// replica is one data node of the endpoint list with this aggregator's state for it.
type replica struct {
	member    Member
	tag       uint16        // identifies it in gossip
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

// endpointList holds the replicas in the endpoint list, and for a while those that have left it.
type endpointList struct {
	byName    map[string]*replica
	byTag     map[uint16]*replica
	replicas  []*replica   // in order of their first listing
	shardSets [][]*replica // by the shard set that they hold
	listed    bool         // a list has been received
	poller    endpointPoller
}

// endpointPoller schedules polls of the endpoint list.
type endpointPoller struct {
	failed   bool          // the last poll failed or none was made yet; the next one must be scheduled
	nextPoll time.Duration // when the next poll is due; math.MaxInt64 for never
	failures int           // consecutive failed polls, at most maxPollDoublings
}

// pollEndpoints polls the endpoint list at the start, and after each failure with a backoff. The delays are random, so that
// aggregators that start together don't poll together.
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
		a.emit(Action{Kind: PollEndpoints})
	}
}

// updateEndpoints applies a change of the endpoint list, or a complete list. Draining and gone take effect at once; serving
// is only a hint.
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

// updateMember applies one entry of the endpoint list.
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

// addReplica adds a newly listed replica. Without a start time it is assumed to have just started, unless it is in the
// first list.
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

// moveShardSet moves a replica to another shard set.
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

// markRemoved records when a replica left the endpoint list.
func (r *replica) markRemoved(now time.Duration) {
	if r.removedAt == 0 {
		r.removedAt = now
	}
}

// evict removes a replica that left the list long ago and has nothing in flight, and reports whether it did. Replicas
// with new names keep appearing while the process runs, so old ones must go; one that returns earlier keeps its state.
func (a *Aggregator) evict(r *replica) bool {
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

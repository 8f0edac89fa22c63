package aggregator

// The decision trace simulates seeded scenarios in virtual time and compares a hash of all decisions with a recorded one. A
// change that only renames, moves or splits code keeps the hashes; a change of a decision, of the order of random draws or
// of floating-point sums does not.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

// traceScenario is a deployment with its load and the recorded hash.
type traceScenario struct {
	name         string
	settings     Settings
	coordinators int           // aggregators that share the fleet
	replicas     int           // data nodes at the start
	interval     time.Duration // mean time between two queries of one aggregator
	seed         uint64
	hash         string // of all actions, as recorded
}

// traceScenarios returns scenarios that differ in layout, classes, limits and permissions, so that every rule takes effect
// in at least one of them.
func traceScenarios() []traceScenario {
	classes := []Class{
		{Name: "lookup", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1},
		{Name: "search", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Priority: 3, LateShare: 0.5, CompleteShare: 0.95, MinShare: 0.5, PartialShare: 0.8},
		{Name: "fetch", LatencyObjective: 1500 * ms, Deadline: 4 * time.Second, Priority: 5, LateShare: 0.1, CompleteShare: 0.9, MinShare: 0.6, PartialShare: 0.7, SecondPhaseParts: 2},
		{Name: "entry", LatencyObjective: time.Second, Deadline: 3 * time.Second, Effect: Keyed, DedupWindow: 900 * ms, Priority: 4, CompleteShare: 1, MinShare: 1},
		{Name: "write", LatencyObjective: time.Second, Deadline: 3 * time.Second, Effect: Unsafe, Priority: 6, CompleteShare: 1, MinShare: 1},
	}
	tenants := []Tenant{{Name: "one", Rate: 30}, {Name: "two", Rate: 5}}
	rules := Rules{DrainGrace: 250 * ms, OverloadMultiple: 2, OverloadWindow: time.Second, InitialCapacity: 0.2, WarmupTime: 6 * time.Second}
	rationed := rules
	rationed.RetryWindow, rationed.RetryFloor, rationed.RetryRatio = 4*time.Second, 5, 0.02
	listed := rationed
	listed.PollInterval = 8 * time.Second
	return []traceScenario{
		{
			name: "shared calls, cancels, probes and gossip", coordinators: 3, replicas: 12, interval: 40 * ms, seed: 11,
			hash: "d757d69164ed7d00612dc577d02619e3",
			settings: Settings{
				Zone: "a", Aggregators: 3, Tick: 5 * ms, Classes: classes, Tenants: tenants, OverQuotaFactor: 0.2,
				ShardSets: 4, Shards: 8, Reach: 1, CallCost: 4 * ms,
				Limits: Limits{MaxAttempts: 3, MaxOpen: 400, MaxBatch: 4, CanCancel: true, Probes: true, Gossip: true, SendRetryAfter: true,
					MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * ms, ConnIdle: 30 * time.Second},
				Rules: rules,
			},
		},
		{
			name: "hedged requests and a retry ratio", coordinators: 2, replicas: 9, interval: 30 * ms, seed: 12,
			hash: "424a2bae0101c28cdb22b1c5ab6b955d",
			settings: Settings{
				Zone: "b", Aggregators: 2, Tick: 5 * ms, Classes: classes, Tenants: tenants, OverQuotaFactor: 0.1, PriorityPerWork: true,
				ShardSets: 9, Shards: 9, Reach: 3,
				Limits: Limits{MaxAttempts: 2, MaxBatch: 1, CanCancel: true, Hedging: true, Probes: true, SendRetryAfter: true, MaxRetryAfter: time.Second},
				Rules:  rationed,
			},
		},
		{
			name: "large fleet with a polled endpoint list", coordinators: 4, replicas: 30, interval: 120 * ms, seed: 13,
			hash: "bdb0ef5b2eb4da950c481e7d7c7ce70f",
			settings: Settings{
				Zone: "c", Aggregators: 80, Tick: 5 * ms, Classes: classes,
				ShardSets: 10, Shards: 20, Reach: 1, CallCost: 3 * ms, PollList: true, KeyCaches: true,
				Limits: Limits{MaxAttempts: 3, MaxBatch: 8, Probes: true, Gossip: true, ConnIdle: 2 * time.Second},
				Rules:  listed,
			},
		},
	}
}

// traceCoordinator is one aggregator with its pending events.
type traceCoordinator struct {
	aggregator  *Aggregator
	due         []traceEvent
	wakeAt      time.Duration   // due time of the requested wake; -1 for none
	pausedUntil time.Duration   // the aggregator is paused until then
	nextQuery   time.Duration   // time of the next query
	attempts    map[string]int  // attempts by part
	received    map[string]bool // parts that it has received
}

// traceEvent is an event that an aggregator receives no earlier than at a given time.
type traceEvent struct {
	at    time.Duration
	event Event
}

// traceReplica is a data node with a single queue.
type traceReplica struct {
	member    Member
	busyUntil time.Duration // time until which its queue is occupied
	fault     traceFault
	faultEnd  time.Duration // end of the fault
}

// traceFault is a fault of a data node.
type traceFault int

const (
	faultNone traceFault = iota
	faultNoAnswer
	faultErrors
	faultResets
	faultConnectFailed
	faultFull
	faultSlow
	faultConnectionLost
	faultConnectTimeout
	traceFaultCount
)

// traceSimulation simulates all aggregators and data nodes of a scenario.
type traceSimulation struct {
	scenario     traceScenario
	random       *rand.Rand
	now          time.Duration
	coordinators []*traceCoordinator
	replicas     []*traceReplica
	byName       map[string]*traceReplica
	created      int
	queries      int
	digest       hash.Hash
	kinds        map[ActionKind]int
}

func newTraceSimulation(t *testing.T, scenario traceScenario) *traceSimulation {
	t.Helper()
	w := &traceSimulation{
		scenario: scenario, random: rand.New(rand.NewPCG(scenario.seed, 1)), now: 100 * time.Second,
		byName: map[string]*traceReplica{}, digest: sha256.New(), kinds: map[ActionKind]int{},
	}
	for range scenario.replicas {
		w.addReplica(0)
	}
	for i := range scenario.coordinators {
		aggregator, err := New(scenario.settings, scenario.seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		coord := &traceCoordinator{aggregator: aggregator, wakeAt: -1, nextQuery: w.now, attempts: map[string]int{}, received: map[string]bool{}}
		coord.schedule(w.now, Event{Kind: ListCached, Members: w.list()})
		w.coordinators = append(w.coordinators, coord)
	}
	return w
}

func (n *traceCoordinator) schedule(at time.Duration, event Event) {
	n.due = append(n.due, traceEvent{at, event})
}

func (w *traceSimulation) addReplica(started time.Duration) *traceReplica {
	name := fmt.Sprint("r", w.created)
	member := Member{Replica: name, ShardSet: w.created % w.scenario.settings.ShardSets, Zone: string(rune('a' + w.created%3)), Started: started, Size: 1}
	w.created++
	r := &traceReplica{member: member}
	w.replicas = append(w.replicas, r)
	w.byName[name] = r
	return r
}

func (w *traceSimulation) list() (members []Member) {
	for _, r := range w.replicas {
		members = append(members, r.member)
	}
	return members
}

// between returns a random duration from low to high.
func (w *traceSimulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// run simulates the scenario for the given time and returns the hash of all actions.
func (w *traceSimulation) run(length time.Duration) string {
	end := w.now + length
	tick := w.scenario.settings.Tick
	for ; w.now < end; w.now += tick {
		if w.random.IntN(60) == 0 {
			w.injectChange()
		}
		for i, coord := range w.coordinators {
			w.addQueries(coord, i)
			w.step(coord, i)
		}
	}
	return hex.EncodeToString(w.digest.Sum(nil))[:32]
}

// step passes the due events to an aggregator and executes its actions.
func (w *traceSimulation) step(coord *traceCoordinator, index int) {
	if w.now < coord.pausedUntil {
		return
	}
	var events []Event
	coord.due = slices.DeleteFunc(coord.due, func(d traceEvent) bool {
		if d.at > w.now {
			return false
		}
		events = append(events, d.event)
		return true
	})
	if coord.wakeAt >= 0 && w.now >= coord.wakeAt {
		coord.wakeAt = -1
		events = append(events, Event{Kind: Wakeup})
	}
	if len(events) == 0 {
		return
	}
	for _, action := range coord.aggregator.Step(w.now, events, nil) {
		w.record(index, action)
		w.execute(coord, index, action)
	}
}

// record adds an action to the hash, field by field.
func (w *traceSimulation) record(index int, a Action) {
	w.kinds[a.Kind]++
	number := func(v int64) {
		w.digest.Write(binary.BigEndian.AppendUint64(nil, uint64(v)))
	}
	text := func(s string) {
		number(int64(len(s)))
		w.digest.Write([]byte(s))
	}
	flag := func(b bool) {
		if b {
			number(1)
		} else {
			number(0)
		}
	}
	number(int64(w.now))
	number(int64(index))
	number(int64(a.Kind))
	text(a.Query)
	text(a.Part)
	text(a.Replica)
	number(int64(a.Attempt))
	flag(a.Complete)
	flag(a.Final)
	number(int64(a.Reason))
	number(int64(a.After))
	number(int64(a.BeginWithin))
	text(string(a.Data))
}

// execute carries out an action.
func (w *traceSimulation) execute(coord *traceCoordinator, index int, a Action) {
	switch a.Kind {
	case Send:
		w.send(coord, a)
	case Cancel:
		coord.schedule(w.now+w.between(ms, 8*ms), Event{Kind: AttemptEnded, Part: a.Part, Attempt: a.Attempt, Outcome: Cancelled})
	case Answer:
		if !a.Final {
			w.addSecondPhase(coord, a.Query)
		}
	case Probe:
		w.probe(coord, a.Replica)
	case Wake:
		coord.wakeAt = w.now + a.After
	case PollEndpoints:
		if w.random.IntN(3) == 0 {
			coord.schedule(w.now+w.between(10*ms, 400*ms), Event{Kind: ListCallFailed})
		} else {
			coord.schedule(w.now+w.between(10*ms, 400*ms), Event{Kind: ListReplaced, Members: w.list()})
		}
	case SendGossip:
		for i, other := range w.coordinators {
			if i != index && w.random.IntN(10) > 0 {
				other.schedule(w.now+w.between(ms, 20*ms), Event{Kind: GossipReceived, Data: a.Data})
			}
		}
	}
}

// send simulates one attempt at its data node.
func (w *traceSimulation) send(coord *traceCoordinator, a Action) {
	attempt := coord.attempts[a.Part]
	coord.attempts[a.Part]++
	end := func(after time.Duration, outcome Outcome) {
		coord.schedule(w.now+after, Event{Kind: AttemptEnded, Part: a.Part, Attempt: attempt, Replica: a.Replica, Outcome: outcome, Elapsed: after})
	}
	r := w.byName[a.Replica]
	r.busyUntil = max(r.busyUntil, w.now) + w.between(5*ms, 45*ms)
	took := r.busyUntil - w.now + w.between(ms, 4*ms)
	if r.member.State == Gone {
		end(3*ms, ConnectFailed)
		return
	}
	fault := r.fault
	if w.now >= r.faultEnd {
		fault = faultNone
	}
	switch fault {
	case faultNoAnswer:
		end(min(a.After, time.Hour), TimedOut)
		return
	case faultErrors:
		end(2*ms, Errored)
		return
	case faultResets:
		end(took/2+ms, Reset)
		return
	case faultConnectFailed:
		end(ms, ConnectFailed)
		return
	case faultFull:
		end(2*ms, Rejected)
		return
	case faultSlow:
		took *= 6
	case faultConnectionLost:
		end(took/2+ms, ConnectionLost)
		return
	case faultConnectTimeout:
		end(250*ms, ConnectTimeout)
		return
	}
	switch {
	case w.random.IntN(400) == 0:
		end(ms, Reset)
	case w.random.IntN(500) == 0:
		end(ms, NotSent)
	case w.random.IntN(500) == 0:
		end(ms, Unknown)
	case took > a.After:
		end(a.After, TimedOut)
	default:
		end(took, OK)
	}
}

func (w *traceSimulation) probe(coord *traceCoordinator, replica string) {
	event := Event{Kind: ProbeEnded, Replica: replica, Outcome: OK}
	r := w.byName[replica]
	if w.random.IntN(2) == 0 {
		event.LoadReport = map[string]float64{"inflight": float64(w.random.IntN(9)), "queue": float64(w.random.IntN(5))}
	}
	if w.now < r.faultEnd && r.fault != faultSlow && r.fault != faultErrors || r.member.State == Gone {
		event.Outcome = TimedOut
	} else if w.random.IntN(10) == 0 {
		event.Outcome = Errored
	}
	coord.schedule(w.now+w.between(2*ms, 60*ms), event)
}

// addQueries schedules the queries of an aggregator that are due, with periodic bursts.
func (w *traceSimulation) addQueries(coord *traceCoordinator, index int) {
	set := &w.scenario.settings
	for w.now >= coord.nextQuery {
		mean := w.scenario.interval
		if w.now/(7*time.Second)%3 == 2 {
			mean /= 4
		}
		coord.nextQuery += w.between(mean/4, 2*mean-mean/4)
		w.queries++
		id := fmt.Sprint("q", index, "-", w.queries)
		class := w.random.IntN(len(set.Classes))
		shards := 1 + w.random.IntN(set.Shards)
		event := Event{Kind: QueryArrived, Query: id, Class: class, Tenant: w.random.IntN(len(set.Tenants)+1) - 1, PartCount: shards,
			TimeLeft: w.between(set.Classes[class].Deadline/4, set.Classes[class].Deadline), Retry: w.random.IntN(8) == 0}
		if w.random.IntN(300) == 0 {
			event.Class = len(set.Classes) // not in the settings
		}
		coord.schedule(w.now, event)
		first := w.random.IntN(set.Shards)
		for i := range shards {
			w.addPart(coord, id, fmt.Sprint(id, "/", i), (first+i)%set.Shards, 1/float64(shards))
		}
		if w.random.IntN(25) == 0 {
			coord.schedule(w.now+w.between(0, 300*ms), Event{Kind: ClientGone, Query: id})
		}
	}
}

func (w *traceSimulation) addPart(coord *traceCoordinator, query, id string, shard int, weight float64) {
	event := Event{Kind: PartArrived, Query: query, Part: id, Shard: shard, Weight: weight}
	if w.random.IntN(3) == 0 {
		event.Work = w.between(5*ms, 40*ms)
	}
	coord.received[id] = true
	coord.schedule(w.now, event)
}

func (w *traceSimulation) addSecondPhase(coord *traceCoordinator, query string) {
	for i := range 2 {
		w.addPart(coord, query, fmt.Sprint(query, "/second/", i), w.random.IntN(w.scenario.settings.Shards), 0.5)
	}
}

// injectChange applies one random fault or change.
func (w *traceSimulation) injectChange() {
	r := w.replicas[w.random.IntN(len(w.replicas))]
	switch w.random.IntN(9) {
	case 0, 1, 2, 3:
		r.fault, r.faultEnd = faultNone+1+traceFault(w.random.IntN(int(traceFaultCount)-1)), w.now+w.between(200*ms, 4*time.Second)
	case 4: // the replica drains or moves to another shard set
		if w.random.IntN(6) == 0 {
			r.member.ShardSet = w.random.IntN(w.scenario.settings.ShardSets)
			w.setState(r, r.member.State)
		} else {
			w.setState(r, Draining)
		}
	case 5: // the replica is gone, or returns as a new process
		if r.member.State == Serving {
			w.setState(r, Gone)
		} else {
			r.member.Started, r.fault = w.now, faultNone
			w.setState(r, Serving)
		}
	case 6: // a new replica replaces it
		w.setState(r, Gone)
		w.setState(w.addReplica(w.now), Serving)
	case 7: // an aggregator pauses
		coord := w.coordinators[w.random.IntN(len(w.coordinators))]
		coord.pausedUntil = w.now + w.between(20*ms, 700*ms)
	case 8: // a complete list, a quarter of a second late
		for _, coord := range w.coordinators {
			coord.schedule(w.now+250*ms, Event{Kind: ListReplaced, Members: w.list()})
		}
	}
	for _, coord := range w.coordinators { // some replicas return, so that no shard is without holders for long
		for _, other := range w.replicas[:w.scenario.settings.ShardSets] {
			if other.member.State != Serving && w.random.IntN(4) == 0 {
				other.member.State, other.member.Started = Serving, w.now
				coord.schedule(w.now+w.between(0, 200*ms), Event{Kind: ListChanged, Members: []Member{other.member}})
			}
		}
	}
}

func (w *traceSimulation) setState(r *traceReplica, state State) {
	r.member.State = state
	for _, coord := range w.coordinators {
		coord.schedule(w.now+w.between(0, 200*ms), Event{Kind: ListChanged, Members: []Member{r.member}})
	}
}

// TestDecisionTrace checks that the aggregator decides as it did when the hashes were recorded.
func TestDecisionTrace(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("sums of floating-point numbers differ in their last bits on other processors")
	}
	kinds := map[ActionKind]int{}
	for _, scenario := range traceScenarios() {
		w := newTraceSimulation(t, scenario)
		if got := w.run(90 * time.Second); got != scenario.hash {
			t.Errorf("%s: hash %s, want %s; %d queries, actions by kind %v", scenario.name, got, scenario.hash, w.queries, w.kinds)
		}
		for kind, n := range w.kinds {
			kinds[kind] += n
		}
	}
	for kind := Send; kind <= SendGossip; kind++ {
		if kinds[kind] == 0 {
			t.Errorf("no action of kind %d: the scenarios do not cover it", kind)
		}
	}
}

package aggregator

import (
	"fmt"
	"testing"
	"time"
)

var sizes = []int{16, 60, 1000}

// loadedAggregator returns an aggregator for a fleet of n replicas, three for each shard, after n answered queries.
func loadedAggregator(b *testing.B, n int) (*Aggregator, time.Duration) {
	b.Helper()
	set := testSettings()
	set.ShardSets, set.Shards, set.Reach, set.Aggregators = max(n/3, 1), 4*max(n/3, 1), 1, 80
	set.Limits.MaxBatch, set.CallCost = 8, 4*ms
	a, err := New(set, 7)
	if err != nil {
		b.Fatal(err)
	}
	var all []Member
	for i := range n {
		all = append(all, Member{Replica: fmt.Sprint("r", i), ShardSet: i % set.ShardSets})
	}
	now := 100 * time.Second
	a.Step(now, []Event{{Kind: ListCached, Members: all}}, nil)
	for i := range n {
		now += 10 * ms
		a.Step(now, queryEvents(fmt.Sprint("first", i), 3*time.Second, i%set.Shards), nil)
		a.Step(now+20*ms, []Event{attemptEnded(fmt.Sprint("first", i, "/0"), 0, OK)}, nil)
	}
	return a, now
}

// BenchmarkStep runs a query of twelve parts from its arrival to its answer, in two rounds.
func BenchmarkStep(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			a, now := loadedAggregator(b, n)
			var out []Action
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("q", i)
				now += 20 * ms
				shards := make([]int, 12)
				for j := range shards {
					shards[j] = (i + j) % a.settings.Shards
				}
				out = a.Step(now, queryEvents(id, 3*time.Second, shards...), out[:0])
				var in []Event
				for _, s := range out {
					if s.Kind == Send {
						in = append(in, attemptEnded(s.Part, 0, OK))
					}
				}
				now += 20 * ms
				out = a.Step(now, in, out[:0])
			}
		})
	}
}

// BenchmarkList applies a change of one entry of the endpoint list.
func BenchmarkList(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			a, now := loadedAggregator(b, n)
			var out []Action
			for i := 0; b.Loop(); i++ {
				now += ms
				m := Member{Replica: fmt.Sprint("r", i%n), ShardSet: i % n % a.settings.ShardSets, State: State(i / n % 2)}
				out = a.Step(now, []Event{{Kind: ListChanged, Members: []Member{m}}}, out[:0])
			}
		})
	}
}

// BenchmarkWideStep runs an idle round with 120 replicas and hundreds of open parts.
func BenchmarkWideStep(b *testing.B) {
	set, all := fleetSettings(120, 3, 40)
	a, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := 100 * time.Second
	a.Step(now, []Event{{Kind: ListCached, Members: all}}, nil)
	var out []Action
	for i := range 40 {
		out = a.Step(now, queryEvents(fmt.Sprint("open", i), time.Hour, i, i+1, i+2, i+3, i+4, i+5, i+6, i+7), out[:0])
	}
	b.ReportAllocs()
	for b.Loop() {
		out = a.Step(now, []Event{{Kind: Wakeup}}, out[:0])
	}
}

// BenchmarkPart runs a part from its arrival to its answer.
func BenchmarkPart(b *testing.B) {
	a, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Second
	a.Step(now, []Event{{Kind: ListCached, Members: members("a", "b", "c")}}, nil)
	var out []Action
	b.ReportAllocs()
	for i := range b.N {
		id := fmt.Sprint(i)
		out = a.Step(now, queryEvents(id, time.Second, i%3), out[:0])
		now += 10 * ms
		out = a.Step(now, []Event{attemptEnded(id+"/0", 0, OK)}, out[:0])
	}
}

package membership

// A property test of Table against a naive model, which keeps the latest claim of each source and derives the list from all
// of them, and benchmarks of one event. The model calls none of the code under test.

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelClaim holds the last report of one source of the model about an id.
type modelClaim struct {
	rec         Record
	changedAt   time.Time
	cached      bool
	wasDraining bool
}

// model is a naive Table: it derives the list from all claims after each step. Its maps are by id, its slices by source.
type model struct {
	shardSets, reach int
	ranks            []int
	damped           []bool
	leases           []time.Duration
	maxStale         []time.Duration
	lastAnswer       []time.Time
	complete         []bool
	claims           []map[string]*modelClaim
	addrSince        map[string]time.Time // when it took its present address
	addr             map[string]string
	state            map[string]State
	owner            map[string]int
	penalty          map[string]float64
	asOf             map[string]time.Time
	suppressedUntil  map[string]time.Time
	suspectUntil     map[string]time.Time
	failures         map[string]int
	start            map[string]time.Time
	statedStart      map[string]time.Time
	statedBy         map[string]int
	forgetAt         map[string]time.Time // when its start is forgotten, once it is gone
}

func (m *model) freshness(now time.Time, i int, w *modelClaim) int {
	if w.cached {
		return 0
	}
	if m.leases[i] > 0 && !now.Before(m.lastAnswer[i].Add(m.leases[i])) {
		return 1
	}
	return 2
}

// resolve applies the table under Claims in the package comment row by row.
func (m *model) resolve(now time.Time, id string) (owner int, state State) {
	type rankedClaim struct{ source, freshness, rank int }
	var all []rankedClaim
	for i := range m.claims {
		if w := m.claims[i][id]; w != nil {
			all = append(all, rankedClaim{i, m.freshness(now, i, w), m.ranks[i]})
		}
	}
	slices.SortStableFunc(all, func(a, b rankedClaim) int {
		if a.freshness != b.freshness {
			return b.freshness - a.freshness
		}
		return b.rank - a.rank
	})
	if len(all) == 0 {
		return -1, Gone
	}
	owner = all[0].source
	own := m.claims[owner][id]
	if own.rec.State == Gone {
		owner = -1
		for _, s := range all[1:] {
			if w := m.claims[s.source][id]; s.freshness == 2 && w.rec.State != Gone && w.changedAt.After(own.changedAt) {
				owner = s.source
				break
			}
		}
		if owner < 0 {
			return -1, Gone
		}
		own = m.claims[owner][id]
	}
	state = own.rec.State
	for _, s := range all {
		w := m.claims[s.source][id]
		if s.source == owner || s.freshness < 2 || w.rec.Started.Before(own.rec.Started) {
			continue
		}
		if w.rec.State == Draining || w.rec.State == Gone && w.wasDraining && !w.changedAt.Before(own.changedAt) {
			state = Draining
		}
	}
	return owner, state
}

func (m *model) ids() (list []string) {
	seen := map[string]bool{}
	for _, ws := range m.claims {
		for id := range ws {
			if !seen[id] {
				seen[id], list = true, append(list, id)
			}
		}
	}
	slices.Sort(list)
	return list
}

const (
	halfLife = 15 * time.Second
	suppress = 2500
	reuse    = 800
)

// update updates penalties, addresses and starts, and drops the ids that no source names.
func (m *model) update(now time.Time) {
	for i := range m.claims {
		if m.leases[i] > 0 && m.maxStale[i] > 0 && !now.Before(m.lastAnswer[i].Add(m.leases[i]+m.maxStale[i])) {
			m.claims[i] = map[string]*modelClaim{}
		}
	}
	for _, id := range append(m.ids(), sortedKeys(m.state)...) {
		old, had := m.state[id]
		owner, state := m.resolve(now, id)
		add := 0.0
		switch {
		case !had || old == Gone:
		case state == Gone && m.damped[m.owner[id]]:
			if add = 1000; old == Draining {
				add = 500
			}
		case state == Draining && old == Serving && m.damped[owner]:
			add = 500
		}
		if add > 0 {
			p := m.penalty[id]*math.Exp2(-now.Sub(m.asOf[id]).Seconds()/halfLife.Seconds()) + add
			p = math.Min(p, reuse*math.Exp2(60.0/15))
			wasSuppressed := now.Before(m.suppressedUntil[id])
			if m.penalty[id], m.asOf[id] = p, now; wasSuppressed || p >= suppress {
				m.suppressedUntil[id] = now.Add(time.Duration(math.Ceil(float64(halfLife) * math.Log2(p/reuse))))
			}
		}
		if state == Gone {
			if had && old != Gone {
				m.forgetAt[id] = now.Add(10 * time.Second)
				if p := m.penalty[id]; p > reuse/2 {
					if f := m.asOf[id].Add(time.Duration(math.Ceil(float64(halfLife) * math.Log2(p/(reuse/2))))); f.After(m.forgetAt[id]) {
						m.forgetAt[id] = f
					}
				}
			}
			delete(m.suspectUntil, id)
			delete(m.addr, id)
			m.failures[id] = 0
			gone := true
			for i := range m.claims {
				if w := m.claims[i][id]; w != nil && w.rec.State != Gone {
					gone = false
				}
			}
			for i := range m.claims {
				if gone {
					delete(m.claims[i], id)
				}
			}
		} else if addr := m.claims[owner][id].rec.Addr; m.addr[id] != addr {
			m.addr[id], m.addrSince[id] = addr, now
		}
		if state != Gone {
			m.updateStart(now, id, m.claims[owner][id], owner)
		}
		m.state[id], m.owner[id] = state, owner
	}
}

// updateStart updates the start of a data node, and clears the evidence against it if it has restarted.
func (m *model) updateStart(now time.Time, id string, w *modelClaim, owner int) {
	if f, gone := m.forgetAt[id]; gone {
		if delete(m.forgetAt, id); !now.Before(f) {
			delete(m.start, id)
		}
	}
	if w.cached {
		owner = -1
	}
	before, seen := m.start[id]
	switch at := w.rec.Started; {
	case seen && at.Equal(m.statedStart[id]):
	case seen && at.Before(m.statedStart[id]) && owner >= 0 && owner == m.statedBy[id]:
		m.start[id] = now
	default:
		m.start[id] = at
	}
	m.statedStart[id], m.statedBy[id] = w.rec.Started, owner
	if seen && m.start[id].After(before) {
		m.failures[id] = 0
		delete(m.suspectUntil, id)
	}
}

func sortedKeys(m map[string]State) (list []string) {
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// list returns the expected list, as "id address state".
func (m *model) list(now time.Time) []string {
	type candidate struct {
		id              string
		rec             Record
		freshness, rank int
		addrSince       time.Time
		alias, healthy  bool
	}
	var all []*candidate
	for _, id := range m.ids() {
		owner, state := m.resolve(now, id)
		if state == Gone {
			continue
		}
		w := m.claims[owner][id]
		c := &candidate{id: id, rec: w.rec, freshness: m.freshness(now, owner, w), rank: m.ranks[owner], addrSince: m.addrSince[id]}
		c.rec.State = state
		all = append(all, c)
	}
	for _, c := range all {
		for _, o := range all {
			if o == c || o.rec.Addr != c.rec.Addr {
				continue
			}
			switch {
			case o.freshness != c.freshness:
				c.alias = c.alias || o.freshness > c.freshness
			case o.rank != c.rank:
				c.alias = c.alias || o.rank > c.rank
			case !o.addrSince.Equal(c.addrSince):
				c.alias = c.alias || o.addrSince.After(c.addrSince)
			default:
				c.alias = c.alias || o.id < c.id
			}
		}
	}
	for _, c := range all {
		_, suspect := m.suspectUntil[c.id]
		c.healthy = c.rec.State == Serving && !c.alias && !now.Before(m.suppressedUntil[c.id]) && !suspect
	}
	// uncovered reports whether some shard of the shard set has no healthy data node of a priority below the bound.
	uncovered := func(shardSet, bound int) bool {
		for shard := range m.shardSets {
			holds, covered := false, false
			for i := range m.reach {
				h := (shard + i) % m.shardSets
				holds = holds || h == shardSet
				for _, o := range all {
					covered = covered || o.healthy && o.rec.ShardSet == h && int(o.rec.Priority) < bound
				}
			}
			if holds && !covered {
				return true
			}
		}
		return false
	}
	var out []string
	for _, c := range all {
		if c.alias {
			continue
		}
		state := c.rec.State
		if state == Serving && now.Before(m.suppressedUntil[c.id]) && !uncovered(c.rec.ShardSet, math.MaxInt) {
			state = Draining
		} else if state == Serving && !now.Before(m.suppressedUntil[c.id]) && c.rec.Priority > 0 && !uncovered(c.rec.ShardSet, int(c.rec.Priority)) {
			state = Draining
		}
		out = append(out, fmt.Sprint(c.id, " ", c.rec.Addr, " ", state))
	}
	return out
}

// TestAgainstModel: the list equals the model's for any reports and evidence in any order.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shardSets, reach = 4, 2
		table, err := New(Config{ShardSets: shardSets, Shards: shardSets, Reach: reach})
		if err != nil {
			t.Fatal(err)
		}
		specs := []Spec{{Name: "a", Rank: 3, Damped: true, MaxStale: 30 * time.Second}, {Name: "b", Rank: 2, Damped: true, MaxStale: 30 * time.Second}, {Name: "c", Rank: 2}}
		m := &model{shardSets: shardSets, reach: reach, addrSince: map[string]time.Time{}, addr: map[string]string{},
			state: map[string]State{}, owner: map[string]int{}, penalty: map[string]float64{}, asOf: map[string]time.Time{},
			suppressedUntil: map[string]time.Time{}, suspectUntil: map[string]time.Time{}, failures: map[string]int{}, start: map[string]time.Time{}, statedStart: map[string]time.Time{}, statedBy: map[string]int{}, forgetAt: map[string]time.Time{}}
		var sources []*Source
		for _, spec := range specs {
			sources = append(sources, table.AddSource(spec))
			m.maxStale = append(m.maxStale, spec.MaxStale)
			m.ranks, m.damped = append(m.ranks, spec.Rank), append(m.damped, spec.Damped)
			m.leases, m.lastAnswer, m.complete = append(m.leases, 0), append(m.lastAnswer, time.Time{}), append(m.complete, false)
			m.claims = append(m.claims, map[string]*modelClaim{})
		}
		list := map[string]Record{}
		apply := func(r Result) {
			for _, c := range r.Changes {
				if list[c.ID] = c; c.State == Gone {
					delete(list, c.ID)
				}
			}
		}
		record := rapid.Custom(func(t *rapid.T) Record {
			return Record{ID: fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "id")), Addr: fmt.Sprint("x", rapid.IntRange(0, 6).Draw(t, "addr")),
				ShardSet: rapid.IntRange(0, shardSets-1).Draw(t, "shard set"), Priority: uint16(10 * rapid.IntRange(0, 1).Draw(t, "priority")),
				State:   rapid.SampledFrom([]State{Serving, Serving, Serving, Draining}).Draw(t, "state"),
				Started: at(float64(rapid.IntRange(1, 2).Draw(t, "start")))}
		})
		now := at(10)
		report := func(i int, rec Record, cached bool) {
			w := m.claims[i][rec.ID]
			if w == nil {
				if rec.State == Gone {
					return
				}
				w = &modelClaim{changedAt: now, rec: rec}
				m.claims[i][rec.ID] = w
			} else if w.rec.State != rec.State || rec.State != Gone && (w.rec.Addr != rec.Addr || w.rec.Started != rec.Started) {
				w.changedAt = now
			}
			w.cached = cached
			if rec.State == Gone {
				w.wasDraining = w.rec.State == Draining || w.rec.State == Gone && w.wasDraining
				w.rec.State = Gone
			} else {
				w.rec, w.wasDraining = rec, false
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 200, 1000, 9000}).Draw(t, "ms")) * time.Millisecond)
			apply(table.Tick(now))
			for id, end := range m.suspectUntil {
				if !now.Before(end) {
					delete(m.suspectUntil, id)
					m.failures[id] = 0
				}
			}
			m.update(now)
			i := rapid.IntRange(0, len(sources)-1).Draw(t, "source")
			switch rapid.SampledFrom([]string{"entry", "entry", "gone", "full", "empty", "cached", "refused", "answered", "failed"}).Draw(t, "event") {
			case "entry":
				rec := record.Draw(t, "record")
				apply(sources[i].Update(now, Update{Records: []Record{rec}, Lease: 5 * time.Second}))
				m.lastAnswer[i], m.leases[i] = now, 5*time.Second
				report(i, rec, false)
			case "gone":
				rec := Record{ID: record.Draw(t, "record").ID, State: Gone}
				apply(sources[i].Update(now, Update{Records: []Record{rec}}))
				m.lastAnswer[i], m.leases[i] = now, 0
				report(i, rec, false)
			case "full", "empty", "cached":
				cached := rapid.Bool().Draw(t, "cached")
				var records []Record
				seen := map[string]bool{}
				for range rapid.IntRange(0, 4).Draw(t, "length") {
					if rec := record.Draw(t, "record"); !seen[rec.ID] {
						seen[rec.ID], records = true, append(records, rec)
					}
				}
				apply(sources[i].Update(now, Update{Full: true, Cached: cached, Records: records}))
				if cached && !m.lastAnswer[i].IsZero() {
					break
				}
				if !cached {
					m.lastAnswer[i], m.leases[i], m.complete[i] = now, 0, true
				}
				for id, w := range m.claims[i] {
					if !seen[id] && w.rec.State != Gone {
						report(i, Record{ID: id, State: Gone}, cached)
					}
				}
				for _, rec := range records {
					report(i, rec, cached)
				}
			case "failed":
				apply(sources[i].Update(now, Update{Reliability: Failed, Cause: "no answer"}))
			case "refused", "answered":
				id := record.Draw(t, "record").ID
				_, listed := list[id]
				if rapid.Bool().Draw(t, "good") {
					apply(table.Observe(now, id, Answered))
					if listed {
						m.failures[id] = 0
						delete(m.suspectUntil, id)
					}
				} else {
					apply(table.Observe(now, id, ConnectionRefused))
					if listed {
						if m.failures[id]++; m.failures[id] >= 2 {
							m.suspectUntil[id] = now.Add(10 * time.Second)
						}
					}
				}
			}
			m.update(now)
			var got []string
			for _, r := range table.List() {
				got = append(got, fmt.Sprint(r.ID, " ", r.Addr, " ", r.State))
				if list[r.ID] != r {
					t.Fatalf("the changes add up to %v, the list has %v", list[r.ID], r)
				}
			}
			if want := m.list(now); strings.Join(got, "\n") != strings.Join(want, "\n") {
				t.Fatalf("at %v\n got %q\nwant %q", now.Sub(epoch), got, want)
			}
		}
	})
}

// BenchmarkEvent measures one changed record (removed, or listed again) and two pieces of evidence, with one change a
// second in the whole fleet. The cost must grow more slowly than the logarithm of the number of data nodes.
func BenchmarkEvent(b *testing.B) { benchmark(b, func(int) time.Duration { return time.Second }) }

// BenchmarkStorm measures the same while each data node flaps every second, so that nearly all are suppressed: the cost of
// a change then grows with the number of data nodes of its shard set that it puts into use or out of use.
func BenchmarkStorm(b *testing.B) {
	benchmark(b, func(n int) time.Duration { return time.Second / time.Duration(n) })
}

func benchmark(b *testing.B, pause func(n int) time.Duration) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, _ := New(Config{ShardSets: 16, Shards: 64, Reach: 2})
			src := table.AddSource(Spec{Name: "zone", Damped: true})
			var records []Record
			for i := range n {
				records = append(records, Record{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("x", i), ShardSet: i % 16})
			}
			now := at(0)
			src.Update(now, Update{Full: true, Records: records})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(pause(n))
				rec := records[i/2*7919%n] // removed and listed again in turn
				if i%2 == 0 {
					rec.State = Gone
				}
				src.Update(now, Update{Records: []Record{rec}})
				table.Observe(now, records[i%n].ID, ConnectionRefused)
				table.Observe(now, records[i%n].ID, Answered)
			}
		})
	}
}

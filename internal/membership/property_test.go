package membership

// The Table against a naive model that holds nothing but the latest claim of each source and derives everything else
// from all of them, and benchmarks of one event. The model calls nothing of what it checks.

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelClaim is the latest that a source of the model reported of an id.
type modelClaim struct {
	rec        Record
	since      time.Time
	remembered bool
	drained    bool
}

// model is a naive Table: it derives everything anew from the claims.
type model struct {
	shardSets, reach int
	ranks            []int
	damped           []bool
	lease            []time.Duration
	stale            []time.Duration
	heard            []time.Time
	complete         []bool
	claims           []map[string]*modelClaim
	came             map[string]time.Time // to its present address
	where            map[string]string
	was              map[string]State
	by               map[string]int
	penalty          map[string]float64
	asOf             map[string]time.Time
	until            map[string]time.Time
	suspectUntil     map[string]time.Time
	failures         map[string]int
	start            map[string]time.Time
	stated           map[string]time.Time
	from             map[string]int
	forget           map[string]time.Time // when what is known of its start is forgotten
}

func (m *model) freshness(now time.Time, i int, w *modelClaim) int {
	if w.remembered {
		return 0
	}
	if m.lease[i] > 0 && !now.Before(m.heard[i].Add(m.lease[i])) {
		return 1
	}
	return 2
}

// resolve reads the first table of the package's comment row by row.
func (m *model) resolve(now time.Time, id string) (by int, state State) {
	type said struct{ src, kind, rank int }
	var all []said
	for i := range m.claims {
		if w := m.claims[i][id]; w != nil {
			all = append(all, said{i, m.freshness(now, i, w), m.ranks[i]})
		}
	}
	slices.SortStableFunc(all, func(a, b said) int {
		if a.kind != b.kind {
			return b.kind - a.kind
		}
		return b.rank - a.rank
	})
	if len(all) == 0 {
		return -1, Gone
	}
	by = all[0].src
	own := m.claims[by][id]
	if own.rec.State == Gone {
		by = -1
		for _, s := range all[1:] {
			if w := m.claims[s.src][id]; s.kind == 2 && w.rec.State != Gone && w.since.After(own.since) {
				by = s.src
				break
			}
		}
		if by < 0 {
			return -1, Gone
		}
		own = m.claims[by][id]
	}
	state = own.rec.State
	for _, s := range all {
		w := m.claims[s.src][id]
		if s.src == by || s.kind < 2 || w.rec.Started.Before(own.rec.Started) {
			continue
		}
		if w.rec.State == Draining || w.rec.State == Gone && w.drained && !w.since.Before(own.since) {
			state = Draining
		}
	}
	return by, state
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
	half     = 15 * time.Second
	suppress = 2500
	reuse    = 800
)

// settle brings penalties and addresses up to date, and drops what nobody names.
func (m *model) settle(now time.Time) {
	for i := range m.claims {
		if m.lease[i] > 0 && m.stale[i] > 0 && !now.Before(m.heard[i].Add(m.lease[i]+m.stale[i])) {
			m.claims[i] = map[string]*modelClaim{}
		}
	}
	for _, id := range append(m.ids(), keys(m.was)...) {
		old, had := m.was[id]
		by, state := m.resolve(now, id)
		add := 0.0
		switch {
		case !had || old == Gone:
		case state == Gone && m.damped[m.by[id]]:
			if add = 1000; old == Draining {
				add = 500
			}
		case state == Draining && old == Serving && m.damped[by]:
			add = 500
		}
		if add > 0 {
			p := m.penalty[id]*math.Exp2(-now.Sub(m.asOf[id]).Seconds()/half.Seconds()) + add
			p = math.Min(p, reuse*math.Exp2(60.0/15))
			held := now.Before(m.until[id])
			if m.penalty[id], m.asOf[id] = p, now; held || p >= suppress {
				m.until[id] = now.Add(time.Duration(math.Ceil(float64(half) * math.Log2(p/reuse))))
			}
		}
		if state == Gone {
			if had && old != Gone {
				m.forget[id] = now.Add(10 * time.Second)
				if p := m.penalty[id]; p > reuse/2 {
					if f := m.asOf[id].Add(time.Duration(math.Ceil(float64(half) * math.Log2(p/(reuse/2))))); f.After(m.forget[id]) {
						m.forget[id] = f
					}
				}
			}
			delete(m.suspectUntil, id)
			delete(m.where, id)
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
		} else if addr := m.claims[by][id].rec.Addr; m.where[id] != addr {
			m.where[id], m.came[id] = addr, now
		}
		if state != Gone {
			m.restart(now, id, m.claims[by][id], by)
		}
		m.was[id], m.by[id] = state, by
	}
}

// restart clears what was seen of a data node once it runs anew.
func (m *model) restart(now time.Time, id string, w *modelClaim, by int) {
	if f, gone := m.forget[id]; gone {
		if delete(m.forget, id); !now.Before(f) {
			delete(m.start, id)
		}
	}
	if w.remembered {
		by = -1
	}
	before, seen := m.start[id]
	switch at := w.rec.Started; {
	case seen && at.Equal(m.stated[id]):
	case seen && at.Before(m.stated[id]) && by >= 0 && by == m.from[id]:
		m.start[id] = now
	default:
		m.start[id] = at
	}
	m.stated[id], m.from[id] = w.rec.Started, by
	if seen && m.start[id].After(before) {
		m.failures[id] = 0
		delete(m.suspectUntil, id)
	}
}

func keys(m map[string]State) (list []string) {
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// list is what the joined list should say, as "id address state".
func (m *model) list(now time.Time) []string {
	type cand struct {
		id           string
		rec          Record
		kind, rank   int
		came         time.Time
		alias, sound bool
	}
	var all []*cand
	for _, id := range m.ids() {
		by, state := m.resolve(now, id)
		if state == Gone {
			continue
		}
		w := m.claims[by][id]
		c := &cand{id: id, rec: w.rec, kind: m.freshness(now, by, w), rank: m.ranks[by], came: m.came[id]}
		c.rec.State = state
		all = append(all, c)
	}
	for _, c := range all {
		for _, o := range all {
			if o == c || o.rec.Addr != c.rec.Addr {
				continue
			}
			switch {
			case o.kind != c.kind:
				c.alias = c.alias || o.kind > c.kind
			case o.rank != c.rank:
				c.alias = c.alias || o.rank > c.rank
			case !o.came.Equal(c.came):
				c.alias = c.alias || o.came.After(c.came)
			default:
				c.alias = c.alias || o.id < c.id
			}
		}
	}
	for _, c := range all {
		_, doubted := m.suspectUntil[c.id]
		c.sound = c.rec.State == Serving && !c.alias && !now.Before(m.until[c.id]) && !doubted
	}
	// lacks: some shard that the cell holds has no sound one of a priority below the bound.
	lacks := func(cell, bound int) bool {
		for shard := range m.shardSets {
			holds, covered := false, false
			for i := range m.reach {
				h := (shard + i) % m.shardSets
				holds = holds || h == cell
				for _, o := range all {
					covered = covered || o.sound && o.rec.ShardSet == h && int(o.rec.Priority) < bound
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
		if state == Serving && now.Before(m.until[c.id]) && !lacks(c.rec.ShardSet, math.MaxInt) {
			state = Draining
		} else if state == Serving && !now.Before(m.until[c.id]) && c.rec.Priority > 0 && !lacks(c.rec.ShardSet, int(c.rec.Priority)) {
			state = Draining
		}
		out = append(out, fmt.Sprint(c.id, " ", c.rec.Addr, " ", state))
	}
	return out
}

// TestAgainstModel: whatever sources and evidence say in whatever order, the list is the model's.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cells, reach = 4, 2
		table, err := New(Config{ShardSets: cells, Shards: cells, Reach: reach})
		if err != nil {
			t.Fatal(err)
		}
		specs := []Spec{{Name: "a", Rank: 3, Damped: true, MaxStale: 30 * time.Second}, {Name: "b", Rank: 2, Damped: true, MaxStale: 30 * time.Second}, {Name: "c", Rank: 2}}
		m := &model{shardSets: cells, reach: reach, came: map[string]time.Time{}, where: map[string]string{},
			was: map[string]State{}, by: map[string]int{}, penalty: map[string]float64{}, asOf: map[string]time.Time{},
			until: map[string]time.Time{}, suspectUntil: map[string]time.Time{}, failures: map[string]int{}, start: map[string]time.Time{}, stated: map[string]time.Time{}, from: map[string]int{}, forget: map[string]time.Time{}}
		var sources []*Source
		for _, spec := range specs {
			sources = append(sources, table.Source(spec))
			m.stale = append(m.stale, spec.MaxStale)
			m.ranks, m.damped = append(m.ranks, spec.Rank), append(m.damped, spec.Damped)
			m.lease, m.heard, m.complete = append(m.lease, 0), append(m.heard, time.Time{}), append(m.complete, false)
			m.claims = append(m.claims, map[string]*modelClaim{})
		}
		list := map[string]Record{}
		add := func(r Result) {
			for _, c := range r.Changes {
				if list[c.ID] = c; c.State == Gone {
					delete(list, c.ID)
				}
			}
		}
		record := rapid.Custom(func(t *rapid.T) Record {
			return Record{ID: fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "id")), Addr: fmt.Sprint("x", rapid.IntRange(0, 6).Draw(t, "addr")),
				ShardSet: rapid.IntRange(0, cells-1).Draw(t, "cell"), Priority: uint16(10 * rapid.IntRange(0, 1).Draw(t, "priority")),
				State:   rapid.SampledFrom([]State{Serving, Serving, Serving, Draining}).Draw(t, "state"),
				Started: at(float64(rapid.IntRange(1, 2).Draw(t, "start")))}
		})
		now := at(10)
		say := func(i int, rec Record, remembered bool) {
			w := m.claims[i][rec.ID]
			if w == nil {
				if rec.State == Gone {
					return
				}
				w = &modelClaim{since: now, rec: rec}
				m.claims[i][rec.ID] = w
			} else if w.rec.State != rec.State || rec.State != Gone && (w.rec.Addr != rec.Addr || w.rec.Started != rec.Started) {
				w.since = now
			}
			w.remembered = remembered
			if rec.State == Gone {
				w.drained = w.rec.State == Draining || w.rec.State == Gone && w.drained
				w.rec.State = Gone
			} else {
				w.rec, w.drained = rec, false
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 200, 1000, 9000}).Draw(t, "ms")) * time.Millisecond)
			add(table.Tick(now))
			for id, end := range m.suspectUntil {
				if !now.Before(end) {
					delete(m.suspectUntil, id)
					m.failures[id] = 0
				}
			}
			m.settle(now)
			i := rapid.IntRange(0, len(sources)-1).Draw(t, "source")
			switch rapid.SampledFrom([]string{"entry", "entry", "gone", "full", "empty", "remembered", "refused", "answered", "failed"}).Draw(t, "what") {
			case "entry":
				rec := record.Draw(t, "record")
				add(sources[i].Update(now, Update{Records: []Record{rec}, Lease: 5 * time.Second}))
				m.heard[i], m.lease[i] = now, 5*time.Second
				say(i, rec, false)
			case "gone":
				rec := Record{ID: record.Draw(t, "record").ID, State: Gone}
				add(sources[i].Update(now, Update{Records: []Record{rec}}))
				m.heard[i], m.lease[i] = now, 0
				say(i, rec, false)
			case "full", "empty", "remembered":
				remembered := rapid.Bool().Draw(t, "remembered")
				var records []Record
				seen := map[string]bool{}
				for range rapid.IntRange(0, 4).Draw(t, "length") {
					if rec := record.Draw(t, "record"); !seen[rec.ID] {
						seen[rec.ID], records = true, append(records, rec)
					}
				}
				add(sources[i].Update(now, Update{Full: true, Cached: remembered, Records: records}))
				if remembered && !m.heard[i].IsZero() {
					break
				}
				if !remembered {
					m.heard[i], m.lease[i], m.complete[i] = now, 0, true
				}
				for id, w := range m.claims[i] {
					if !seen[id] && w.rec.State != Gone {
						say(i, Record{ID: id, State: Gone}, remembered)
					}
				}
				for _, rec := range records {
					say(i, rec, remembered)
				}
			case "failed":
				add(sources[i].Update(now, Update{Basis: Failed, Cause: "no answer"}))
			case "refused", "answered":
				id := record.Draw(t, "record").ID
				_, listed := list[id]
				if rapid.Bool().Draw(t, "good") {
					add(table.Observe(now, id, Answered))
					if listed {
						m.failures[id] = 0
						delete(m.suspectUntil, id)
					}
				} else {
					add(table.Observe(now, id, ConnectionRefused))
					if listed {
						if m.failures[id]++; m.failures[id] >= 2 {
							m.suspectUntil[id] = now.Add(10 * time.Second)
						}
					}
				}
			}
			m.settle(now)
			var got []string
			for _, r := range table.List() {
				got = append(got, fmt.Sprint(r.ID, " ", r.Addr, " ", r.State))
				if list[r.ID] != r {
					t.Fatalf("changes add up to %v, the list says %v", list[r.ID], r)
				}
			}
			if want := m.list(now); strings.Join(got, "\n") != strings.Join(want, "\n") {
				t.Fatalf("at %v\n got %q\nwant %q", now.Sub(epoch), got, want)
			}
		}
	})
}

// BenchmarkEvent is the cost of one changed record (removed, or back) and two pieces of evidence, with a change a
// second in the whole fleet. Its growth must stay below that of the logarithm of the number of data nodes.
func BenchmarkEvent(b *testing.B) { benchmark(b, func(int) time.Duration { return time.Second }) }

// BenchmarkStorm is the same where each data node flaps each second, so that nearly all are held back: then what a
// change brings on grows with how many it lets in or bars, by cell.
func BenchmarkStorm(b *testing.B) {
	benchmark(b, func(n int) time.Duration { return time.Second / time.Duration(n) })
}

func benchmark(b *testing.B, pause func(n int) time.Duration) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, _ := New(Config{ShardSets: 16, Shards: 64, Reach: 2})
			src := table.Source(Spec{Name: "zone", Damped: true})
			var records []Record
			for i := range n {
				records = append(records, Record{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("x", i), ShardSet: i % 16})
			}
			now := at(0)
			src.Update(now, Update{Full: true, Records: records})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(pause(n))
				rec := records[i/2*7919%n] // it goes, and comes back
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

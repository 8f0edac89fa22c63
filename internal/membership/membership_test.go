package membership

// Tests of the rules of the package comment: precedence, identity, damping, priorities, and which answers of a source are
// not applied.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var epoch = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// harness is a table with two sources, of which "dns" has the higher rank, and the list that all results add up to.
type harness struct {
	*testing.T
	table    *Table
	dns, dir *Source
	list     map[string]Record
	notes    []string
}

func newHarness(t *testing.T, cfg Config) *harness {
	t.Helper()
	table, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{T: t, table: table, list: map[string]Record{},
		dns: table.AddSource(Spec{Name: "dns", Rank: 2, Damped: true, MaxStale: time.Hour}),
		dir: table.AddSource(Spec{Name: "dir", Rank: 1})}
}

// apply applies a result, and checks that all results add up to the list.
func (s *harness) apply(r Result) {
	s.Helper()
	for _, c := range r.Changes {
		if s.list[c.ID] = c; c.State == Gone {
			delete(s.list, c.ID)
		}
	}
	for _, n := range r.Notes {
		s.notes = append(s.notes, strings.TrimSpace(string(n.Cause)+" "+n.ID))
	}
	var all []Record
	for _, rec := range s.table.List() {
		all = append(all, rec)
		if s.list[rec.ID] != rec {
			s.Errorf("the changes add up to %v, the list has %v", s.list[rec.ID], rec)
		}
	}
	if len(all) != len(s.list) || len(all) != s.table.Len() {
		s.Errorf("the changes add up to %d data nodes, the list has %d, Len returns %d", len(s.list), len(all), s.table.Len())
	}
}

// report applies an answer of a source on one data node, such as "dns serving", "dir gone" or "dir draining@5" (with a
// start at 5 s).
func (s *harness) report(now float64, words string) {
	s.Helper()
	name, rest, _ := strings.Cut(words, " ")
	src := map[string]*Source{"dns": s.dns, "dir": s.dir}[name]
	word, started, stated := strings.Cut(rest, "@")
	rec := Record{ID: "n", Addr: "127.0.0.1:1", Weight: 1, StartUnknown: !stated}
	if stated {
		var startSeconds float64
		fmt.Sscan(started, &startSeconds)
		rec.Started = at(startSeconds)
	}
	u := Update{Records: []Record{rec}}
	switch word {
	case "serving":
	case "draining":
		u.Records[0].State = Draining
	case "gone":
		u.Records[0].State = Gone
	case "cached":
		u.Cached, u.Full = true, true
	case "empty":
		u.Records, u.Full = nil, true
	case "leased":
		u.Lease = time.Second
	case "failed":
		u = Update{Reliability: Failed, Cause: "no answer"}
	default:
		s.Fatalf("unknown report: %s", words)
	}
	s.apply(src.Update(at(now), u))
}

// TestPrecedence covers the table under Claims in the package comment, and leases, cached lists and evidence.
func TestPrecedence(t *testing.T) {
	for _, c := range []struct{ reports, want string }{
		{"dns serving", "serving"},
		{"dns serving, dir serving", "serving"},
		{"dns serving, dir serving, dir gone", "serving"},
		{"dns serving, dir draining", "draining"},
		{"dir draining, dns serving", "draining"},
		{"dns serving, dir draining, dir gone", "draining"},
		{"dns serving, dir draining, dir gone, dns serving@9", "serving"},
		{"dns serving, dir draining, dir serving", "serving"},
		{"dns serving@9, dir draining@3", "serving"},
		{"dns serving@3, dir draining@9", "draining"},
		{"dns draining, dir serving", "draining"},
		{"dns draining, dir gone, dir serving", "draining"},
		{"dir serving, dns serving, dns gone", "gone"},
		{"dir serving, dns serving, dns empty", "gone"},
		{"dir serving, dns serving, dns gone, dir serving", "gone"}, // a repeated claim is not a change
		{"dir serving, dns serving, dns gone, dir serving@9", "serving"},
		{"dir serving, dns serving, dns gone, dir draining", "draining"},
		{"dir serving, dns serving, dns gone, dns serving", "serving"},
		{"dir gone, dns serving", "serving"},
		{"dir cached", "serving"},
		{"dns cached, dir serving, dir draining", "draining"},
		{"dns cached, dir serving, dir gone", "gone"},
		{"dir cached, dns serving, dns gone", "gone"},
		{"dir cached, dir empty", "gone"},
		{"dns serving, dns failed", "serving"},
		{"dns leased, wait, dns failed", "serving"},             // a source that does not answer removes nothing
		{"dns leased, dir draining, wait", "draining"},          // a fresh claim precedes a stale one
		{"dns leased, dir serving, wait, dir gone", "gone"},     // so does a fresh removal
		{"dns leased, wait, dir serving, dns gone", "gone"},     // a source that answers again owns the data node again
		{"dns leased, dir serving, wait, expire", "serving"},    // the claim of the other source is left
		{"dns leased, wait, expire", "gone"},                    // RFC 8767: stale claims are kept for a limited time
		{"dns leased, wait, expire, dns serving", "serving"},    // a source that answers again lists the data node again
		{"dns serving, dns empty, dns cached", "gone"},          // a cached list is ignored once the source has answered
		{"dns draining, dns gone, dns serving", "serving"},      // the new claim counts, not the one before the removal
		{"dns serving, dir serving, refused x9", "serving"},     // evidence removes nothing from the list
		{"refused x9, dns serving, dns gone, answered", "gone"}, // and adds nothing to it
	} {
		t.Run(c.reports, func(t *testing.T) {
			s := newHarness(t, Config{Suppress: 1e9})
			now := 10.0
			for _, words := range strings.Split(c.reports, ", ") {
				switch now++; words {
				case "wait":
					now += 10
					s.apply(s.table.Tick(at(now)))
				case "expire":
					now += 3601
					s.apply(s.table.Tick(at(now)))
				case "refused x9":
					for range 9 {
						s.apply(s.table.Observe(at(now), "n", ConnectionRefused))
					}
				case "answered":
					s.apply(s.table.Observe(at(now), "n", Answered))
				default:
					s.report(now, words)
				}
			}
			got := Gone
			if rec, listed := s.list["n"]; listed {
				got = rec.State
			}
			if got.String() != c.want {
				t.Errorf("got %v, want %s (%s)", got, c.want, s.table.Explain("n"))
			}
		})
	}
}

// TestIdentity covers the table under Identity in the package comment: the start of a data node after its id, address or stated
// start has changed.
func TestIdentity(t *testing.T) {
	node := func(id, addr string, started float64) Record {
		r := Record{ID: id, Addr: addr, Weight: 1, StartUnknown: started < 0}
		if started > 0 {
			r.Started = at(started)
		}
		return r
	}
	type step struct {
		src      string
		at       float64
		full     []Record
		evidence Evidence
	}
	list := func(src string, now float64, records ...Record) step { return step{src: src, at: now, full: records} }
	for name, c := range map[string]struct {
		steps []step
		want  string // id, address and start of each data node
	}{
		"first list":                                     {[]step{list("dns", 1, node("a", "x", -1))}, "a x long ago"},
		"new in a later list":                            {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20, node("a", "x", -1), node("b", "y", -1))}, "a x long ago, b y 20s"},
		"moved, stated":                                  {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20, node("a", "y", 5))}, "a y 5s"},
		"moved, not stated":                              {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20, node("a", "y", -1))}, "a y 20s"},
		"replaced":                                       {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20, node("b", "x", -1))}, "b x 20s"},
		"replaced by a lower id":                         {[]step{list("dns", 1, node("b", "x", -1)), list("dns", 20, node("a", "x", -1))}, "a x 20s"},
		"replaced, both listed":                          {[]step{list("dns", 1, node("b", "x", -1)), list("dns", 20, node("a", "x", -1), node("b", "x", -1))}, "a x 20s"},
		"replaced, stated":                               {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20, node("b", "x", 15))}, "b x 15s"},
		"restarted":                                      {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20, node("a", "x", 18))}, "a x 18s"},
		"start went back":                                {[]step{list("dns", 1, node("a", "x", 15)), list("dns", 20, node("a", "x", 5))}, "a x 20s"},
		"start went back, repeated":                      {[]step{list("dns", 1, node("a", "x", 15)), list("dns", 20, node("a", "x", 5)), list("dns", 30, node("a", "x", 5))}, "a x 20s"},
		"absent for 1 s":                                 {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20), list("dns", 21, node("a", "x", -1))}, "a x long ago"},
		"absent for 20 s":                                {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20), list("dns", 40, node("a", "x", -1))}, "a x 40s"},
		"absent for 20 s, stated":                        {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20), list("dns", 40, node("a", "x", 5))}, "a x 5s"},
		"absent, returns at other address":               {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20), list("dns", 21, node("a", "y", -1))}, "a y 21s"},
		"connections lost, returns":                      {[]step{list("dns", 1, node("a", "x", -1)), {evidence: ConnectionReset, at: 19}, list("dns", 20), list("dns", 21, node("a", "x", -1))}, "a x 21s"},
		"lost, answered, returns":                        {[]step{list("dns", 1, node("a", "x", -1)), {evidence: ConnectionReset, at: 18}, {evidence: Answered, at: 19}, list("dns", 20), list("dns", 21, node("a", "x", -1))}, "a x long ago"},
		"two sources, one id, two addresses":             {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("a", "y", 5))}, "a y 5s"},
		"two sources, only the lower one states a start": {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("a", "x", -1))}, "a x 5s"},
		"two sources, two ids":                           {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("b", "x", -1))}, "b x 5s"},
		"two ids, the listed one removed":                {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("b", "x", -1)), list("dns", 3)}, "a x 5s"},
		"two ids, the alias removed":                     {[]step{list("dns", 1, node("b", "x", 5)), list("dir", 2, node("a", "x", 5)), list("dir", 3)}, "b x 5s"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, Config{})
			for _, st := range c.steps {
				switch st.src {
				case "dns":
					s.apply(s.dns.Update(at(st.at), Update{Full: true, Records: st.full}))
				case "dir":
					s.apply(s.dir.Update(at(st.at), Update{Full: true, Records: st.full}))
				default:
					s.apply(s.table.Observe(at(st.at), "a", st.evidence))
				}
			}
			var got []string
			for _, r := range s.table.List() {
				start := "long ago"
				if !r.Started.IsZero() {
					start = r.Started.Sub(epoch).String()
				}
				got = append(got, r.ID+" "+r.Addr+" "+start)
			}
			if diff := cmp.Diff(c.want, strings.Join(got, ", ")); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

// TestListAcceptance checks which answers of a source remove data nodes, and which do not.
func TestListAcceptance(t *testing.T) {
	two := []Record{{ID: "a", Addr: "x"}, {ID: "b", Addr: "y"}}
	for name, c := range map[string]struct {
		updates []Update
		want    int
		note    string
	}{
		"authoritative and empty":          {[]Update{{Full: true}}, 0, "list emptied"},
		"not authoritative, empty":         {[]Update{{Full: true, Reliability: NonAuthoritative}}, 2, "list held"},
		"not authoritative, one fewer":     {[]Update{{Full: true, Reliability: NonAuthoritative, Records: two[:1]}}, 1, "removed b"},
		"truncated":                        {[]Update{{Full: true, Reliability: Truncated, Records: two[:1]}}, 2, "list held"},
		"truncated, one more":              {[]Update{{Full: true, Reliability: Truncated, Records: []Record{{ID: "c", Addr: "z"}}}}, 3, "list held"},
		"failed":                           {[]Update{{Reliability: Failed, Cause: "REFUSED"}}, 2, "list held"},
		"older serial":                     {[]Update{{Full: true, Serial: 9, HasSerial: true}}, 2, "list held"},
		"undefined serial order":           {[]Update{{Full: true, Serial: 10 + 1<<31, HasSerial: true}}, 2, "list held"},
		"newer serial":                     {[]Update{{Full: true, Serial: 11, HasSerial: true}}, 0, "list emptied"},
		"same serial":                      {[]Update{{Full: true, Serial: 10, HasSerial: true}}, 0, "list emptied"},
		"newer after wraparound":           {[]Update{{Full: true, Serial: 1 << 31, HasSerial: true, Records: two}, {Full: true, Serial: 1<<32 - 1, HasSerial: true, Records: two}, {Full: true, Serial: 3, HasSerial: true}}, 0, "list emptied"},
		"older for longer than SerialHold": {slices.Repeat([]Update{{Full: true, Serial: 9, HasSerial: true}}, 40), 0, "serial back"},
		"older, then newer":                {append(slices.Repeat([]Update{{Full: true, Serial: 9, HasSerial: true}}, 9), Update{Full: true, Serial: 12, HasSerial: true, Records: two}), 2, "list held"},
		"older and same in turn":           {slices.Repeat([]Update{{Full: true, Serial: 9, HasSerial: true}, {Full: true, Serial: 10, HasSerial: true, Records: two}}, 40), 2, "list held"},
		"cached after an answer":           {[]Update{{Full: true, Cached: true}}, 2, ""},
		"shard set out of range":           {[]Update{{Records: []Record{{ID: "a", Addr: "x", ShardSet: 7}}}}, 2, "unfit a"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, Config{Suppress: 1e9})
			s.apply(s.dns.Update(at(0), Update{Full: true, Records: two, Serial: 10, HasSerial: true}))
			for i, u := range c.updates {
				s.apply(s.dns.Update(at(float64(i+1)), u))
			}
			if len(s.list) != c.want || c.note != "" && !slices.Contains(s.notes, c.note) {
				t.Errorf("%d data nodes, want %d; notes %v, want %q among them", len(s.list), c.want, s.notes, c.note)
			}
		})
	}
}

// TestFlapDamping: a record that is removed and listed again is used at once the first time; after forty times its return
// is suppressed, for a bounded time, but not if its shard has no other data node.
func TestFlapDamping(t *testing.T) {
	for _, alone := range []bool{false, true} {
		s := newHarness(t, Config{})
		records := []Record{{ID: "flaps", Addr: "x"}}
		if !alone {
			records = append(records, Record{ID: "stays", Addr: "y"})
		}
		s.apply(s.dns.Update(at(0), Update{Full: true, Records: records}))
		s.apply(s.dns.Update(at(1), Update{Full: true, Records: records[1:]}))
		if _, listed := s.list["flaps"]; listed {
			t.Fatal("the first removal was delayed")
		}
		s.apply(s.dns.Update(at(1.5), Update{Full: true, Records: records}))
		if s.list["flaps"].State != Serving {
			t.Error("the first return was suppressed")
		}
		for i := range 40 {
			s.apply(s.dns.Update(at(2+float64(i)), Update{Full: true, Records: records[1:]}))
			if _, listed := s.list["flaps"]; listed {
				t.Fatalf("removal %d was delayed", i)
			}
			s.apply(s.dns.Update(at(2.5+float64(i)), Update{Full: true, Records: records}))
		}
		want := Draining
		if alone {
			want = Serving
		}
		if got := s.list["flaps"].State; got != want {
			t.Errorf("alone %v: state after forty flaps is %v, want %v", alone, got, want)
		}
		if !alone { // used at once when the other is removed
			s.apply(s.dns.Update(at(42), Update{Records: []Record{{ID: "stays", State: Gone}}}))
			if s.list["flaps"].State != Serving {
				t.Error("suppressed although its shard has no other data node")
			}
			s.apply(s.dns.Update(at(42.2), Update{Records: records[1:]}))
			if s.list["flaps"].State != Draining {
				t.Error("not suppressed although its shard has another data node")
			}
		}
		// Suppression lasts for 60 s at most, and Next returns when it ends.
		for next := s.table.Next(); !next.IsZero() && next.Before(at(200)); next = s.table.Next() {
			s.apply(s.table.Tick(next))
			if s.list["flaps"].State == Serving && !alone && next.After(at(42+62)) {
				t.Errorf("it was suppressed until %v", next.Sub(epoch))
			}
		}
		if s.list["flaps"].State != Serving {
			t.Error("the suppression does not end")
		}
	}
}

// TestPriorities: records of a higher priority value are used only while a shard has no healthy data node of a lower one.
func TestPriorities(t *testing.T) {
	s := newHarness(t, Config{ShardSets: 4, Shards: 8, Reach: 2})
	var records []Record
	for shardSet := range 4 {
		records = append(records, Record{ID: fmt.Sprint("first", shardSet), Addr: fmt.Sprint("a", shardSet), ShardSet: shardSet},
			Record{ID: fmt.Sprint("second", shardSet), Addr: fmt.Sprint("b", shardSet), ShardSet: shardSet, Priority: 10})
	}
	used := func() (list []string) {
		for _, r := range s.table.List() {
			if r.State == Serving && strings.HasPrefix(r.ID, "second") {
				list = append(list, r.ID)
			}
		}
		return list
	}
	expect := func(what string, want ...string) {
		t.Helper()
		if diff := cmp.Diff(want, used()); diff != "" {
			t.Errorf("%s (-want +got)\n%s", what, diff)
		}
	}
	s.apply(s.dns.Update(at(0), Update{Full: true, Records: records}))
	expect("all of the lower value are healthy")
	// Shard sets 0 and 1 hold shard 0; with both first ones unavailable, both second ones are used.
	s.apply(s.dns.Update(at(1), Update{Records: []Record{{ID: "first0", State: Gone}}}))
	expect("shard set 1 still covers shard 0")
	refuse := func(now float64, id string) {
		for range 2 {
			s.apply(s.table.Observe(at(now), id, ConnectionRefused))
		}
	}
	refuse(2, "first1")
	expect("shard 0 has no healthy one of the lower value", "second0", "second1")
	if s.list["first1"].State != Serving {
		t.Error("a suspect is no longer listed as serving")
	}
	s.apply(s.table.Observe(at(3), "first1", Answered))
	expect("the suspect answers again")
	refuse(4, "first1")
	s.apply(s.table.Tick(at(15)))
	expect("the suspicion ends without new evidence")
	s.apply(s.dns.Update(at(16), Update{Records: []Record{{ID: "first1", Addr: "a1", ShardSet: 1, State: Draining}}}))
	expect("a draining one does not count as healthy", "second0", "second1")
}

// TestRejectionsMakeSuspect: a data node that rejects all parts, as a draining one does before its record changes, is
// suspect; one that rejects some is not.
func TestRejectionsMakeSuspect(t *testing.T) {
	s := newHarness(t, Config{})
	s.apply(s.dns.Update(at(0), Update{Full: true, Records: []Record{{ID: "a", Addr: "x"}, {ID: "b", Addr: "y", Priority: 10}}}))
	for i := range 100 {
		e := Rejected
		if i%10 == 9 {
			e = Answered
		}
		s.apply(s.table.Observe(at(float64(i)/100), "a", e))
	}
	if s.list["b"].State != Draining {
		t.Error("a data node that rejects 9 of 10 parts is suspect")
	}
	for i := range 16 {
		s.apply(s.table.Observe(at(2+float64(i)/100), "a", Rejected))
	}
	if s.list["b"].State != Serving || s.list["a"].State != Serving {
		t.Errorf("with one that rejects all parts, the list is %v, want both serving", s.list)
	}
}

// TestMemoryBounds: after thousands of new ids no more unclaimed data nodes are kept than Config allows, and a source names
// no more than its Spec allows.
func TestMemoryBounds(t *testing.T) {
	s := newHarness(t, Config{MaxUnclaimed: 50})
	for i := range 5000 {
		s.apply(s.dns.Update(at(float64(i)/100), Update{Full: true, Records: []Record{{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}}}))
		if n := len(s.table.nodes); n > 52 || len(s.table.timers) > 52 || s.table.unclaimed.Len() > 51 {
			t.Fatalf("%d nodes, %d timers after %d ids", n, len(s.table.timers), i)
		}
		s.notes = nil
	}
	s.apply(s.table.Tick(at(1e6)))
	if len(s.table.nodes) != 1 || len(s.table.addrs) != 1 || len(s.table.dependents) != 0 || len(s.table.coverage.levels) != 1 {
		t.Errorf("left: %d nodes, %d addresses, %d dependents, %d levels", len(s.table.nodes), len(s.table.addrs), len(s.table.dependents), len(s.table.coverage.levels))
	}
	few := s.table.AddSource(Spec{Name: "few", MaxNodes: 3})
	var many []Record
	for i := range 9 {
		many = append(many, Record{ID: fmt.Sprint("m", i), Addr: fmt.Sprint("b", i)})
	}
	s.apply(few.Update(at(1e6), Update{Full: true, Records: many}))
	if len(s.list) != 4 || !slices.Contains(s.notes, "too many m3") {
		t.Errorf("%d data nodes, notes %v", len(s.list), s.notes)
	}
}

// TestReturnWhileUnclaimedIsFull: a data node returns in the same list that drops another one. The list of unclaimed data
// nodes is full then, and its oldest is forgotten. That must not be the one that has returned: its claim would have no
// node, and the next change of the claim would panic.
func TestReturnWhileUnclaimedIsFull(t *testing.T) {
	s := newHarness(t, Config{MaxUnclaimed: 1})
	leaves, returns := Record{ID: "a", Addr: "x"}, Record{ID: "b", Addr: "y"}
	s.apply(s.dns.Update(at(1), Update{Full: true, Records: []Record{leaves, returns}}))
	s.apply(s.dns.Update(at(2), Update{Full: true, Records: []Record{leaves}}))
	s.apply(s.dns.Update(at(3), Update{Full: true, Records: []Record{returns}}))
	returns.State = Draining
	s.apply(s.dns.Update(at(4), Update{Full: true, Records: []Record{returns}}))
	if got := s.list["b"].State; len(s.list) != 1 || got != Draining {
		t.Errorf("the list is %v, want b as draining", s.list)
	}
}

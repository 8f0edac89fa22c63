package membership

// Table tests of the package's tables: precedence, identity, damping, priorities and what a source is not trusted
// with.

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

// harness is a table with two sources, of which "dns" has the higher rank, and the list that its results add up to.
type harness struct {
	*testing.T
	t        *Table
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
	return &harness{T: t, t: table, list: map[string]Record{},
		dns: table.Source(Spec{Name: "dns", Rank: 2, Damped: true, MaxStale: time.Hour}),
		dir: table.Source(Spec{Name: "dir", Rank: 1})}
}

// add applies a result, and checks that all results together make up the list.
func (s *harness) add(r Result) {
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
	for _, rec := range s.t.List() {
		all = append(all, rec)
		if s.list[rec.ID] != rec {
			s.Errorf("changes add up to %v, the list says %v", s.list[rec.ID], rec)
		}
	}
	if len(all) != len(s.list) || len(all) != s.t.Len() {
		s.Errorf("changes add up to %d data nodes, the list has %d, its length is %d", len(s.list), len(all), s.t.Len())
	}
}

// say runs words such as "dns serving", "dir gone" or "dir draining@5" (of a start at 5 s) on one data node.
func (s *harness) say(now float64, words string) {
	s.Helper()
	name, rest, _ := strings.Cut(words, " ")
	src := map[string]*Source{"dns": s.dns, "dir": s.dir}[name]
	word, started, stated := strings.Cut(rest, "@")
	rec := Record{ID: "n", Addr: "127.0.0.1:1", Weight: 1, Unstated: !stated}
	if stated {
		var at5 float64
		fmt.Sscan(started, &at5)
		rec.Started = at(at5)
	}
	u := Update{Records: []Record{rec}}
	switch word {
	case "serving":
	case "draining":
		u.Records[0].State = Draining
	case "gone":
		u.Records[0].State = Gone
	case "remembers":
		u.Cached, u.Full = true, true
	case "empty":
		u.Records, u.Full = nil, true
	case "lease":
		u.Lease = time.Second
	case "silent":
		u = Update{Basis: Failed, Cause: "no answer"}
	default:
		s.Fatalf("no such word: %s", words)
	}
	s.add(src.Update(at(now), u))
}

// TestPrecedence is the package's first table, and the cases round it.
func TestPrecedence(t *testing.T) {
	for _, c := range []struct{ told, want string }{
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
		{"dir serving, dns serving, dns gone, dir serving", "gone"}, // said again is not news
		{"dir serving, dns serving, dns gone, dir serving@9", "serving"},
		{"dir serving, dns serving, dns gone, dir draining", "draining"},
		{"dir serving, dns serving, dns gone, dns serving", "serving"},
		{"dir gone, dns serving", "serving"},
		{"dir remembers", "serving"},
		{"dns remembers, dir serving, dir draining", "draining"},
		{"dns remembers, dir serving, dir gone", "gone"},
		{"dir remembers, dns serving, dns gone", "gone"},
		{"dir remembers, dir empty", "gone"},
		{"dns serving, dns silent", "serving"},
		{"dns lease, wait, dns silent", "serving"},              // a source that is silent is not one that says gone
		{"dns lease, dir draining, wait", "draining"},           // fresh comes before stale
		{"dns lease, dir serving, wait, dir gone", "gone"},      // so does its removal
		{"dns lease, wait, dir serving, dns gone", "gone"},      // heard again, it owns again
		{"dns lease, dir serving, wait, lapse", "serving"},      // what is left is another's
		{"dns lease, wait, lapse", "gone"},                      // RFC 8767: with a bound
		{"dns lease, wait, lapse, dns serving", "serving"},      //
		{"dns serving, dns empty, dns remembers", "gone"},       // once heard, nothing is remembered any more
		{"dns draining, dns gone, dns serving", "serving"},      //
		{"dns serving, dir serving, refused x9", "serving"},     // own evidence takes nothing off the list
		{"refused x9, dns serving, dns gone, answered", "gone"}, // and puts nothing on it
	} {
		t.Run(c.told, func(t *testing.T) {
			s := newHarness(t, Config{Suppress: 1e9})
			now := 10.0
			for _, words := range strings.Split(c.told, ", ") {
				switch now++; words {
				case "wait":
					now += 10
					s.add(s.t.Tick(at(now)))
				case "lapse":
					now += 3601
					s.add(s.t.Tick(at(now)))
				case "refused x9":
					for range 9 {
						s.add(s.t.Observe(at(now), "n", ConnectionRefused))
					}
				case "answered":
					s.add(s.t.Observe(at(now), "n", Answered))
				default:
					s.say(now, words)
				}
			}
			got := Gone
			if rec, listed := s.list["n"]; listed {
				got = rec.State
			}
			if got.String() != c.want {
				t.Errorf("got %v, want %s (%s)", got, c.want, s.t.Explain("n"))
			}
		})
	}
}

// TestIdentity is the package's second table: since when a data node runs once its id, address or start changes.
func TestIdentity(t *testing.T) {
	node := func(id, addr string, started float64) Record {
		r := Record{ID: id, Addr: addr, Weight: 1, Unstated: started < 0}
		if started > 0 {
			r.Started = at(started)
		}
		return r
	}
	type step struct {
		src  string
		at   float64
		full []Record
		seen Evidence
	}
	list := func(src string, now float64, records ...Record) step { return step{src: src, at: now, full: records} }
	for name, c := range map[string]struct {
		steps []step
		want  string // id, address and start of each
	}{
		"the first list":                     {[]step{list("dns", 1, node("a", "x", -1))}, "a x long ago"},
		"new in a later list":                {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20, node("a", "x", -1), node("b", "y", -1))}, "a x long ago, b y 20s"},
		"moved, stated":                      {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20, node("a", "y", 5))}, "a y 5s"},
		"moved, not stated":                  {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20, node("a", "y", -1))}, "a y 20s"},
		"replaced":                           {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20, node("b", "x", -1))}, "b x 20s"},
		"replaced by a lower id":             {[]step{list("dns", 1, node("b", "x", -1)), list("dns", 20, node("a", "x", -1))}, "a x 20s"},
		"replaced, both listed":              {[]step{list("dns", 1, node("b", "x", -1)), list("dns", 20, node("a", "x", -1), node("b", "x", -1))}, "a x 20s"},
		"replaced, stated":                   {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20, node("b", "x", 15))}, "b x 15s"},
		"restarted":                          {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20, node("a", "x", 18))}, "a x 18s"},
		"start went back":                    {[]step{list("dns", 1, node("a", "x", 15)), list("dns", 20, node("a", "x", 5))}, "a x 20s"},
		"start went back and stays":          {[]step{list("dns", 1, node("a", "x", 15)), list("dns", 20, node("a", "x", 5)), list("dns", 30, node("a", "x", 5))}, "a x 20s"},
		"vanished for a second":              {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20), list("dns", 21, node("a", "x", -1))}, "a x long ago"},
		"vanished for long":                  {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20), list("dns", 40, node("a", "x", -1))}, "a x 40s"},
		"vanished, stated":                   {[]step{list("dns", 1, node("a", "x", 5)), list("dns", 20), list("dns", 40, node("a", "x", 5))}, "a x 5s"},
		"vanished, came elsewhere":           {[]step{list("dns", 1, node("a", "x", -1)), list("dns", 20), list("dns", 21, node("a", "y", -1))}, "a y 21s"},
		"died and came back":                 {[]step{list("dns", 1, node("a", "x", -1)), {seen: ConnectionReset, at: 19}, list("dns", 20), list("dns", 21, node("a", "x", -1))}, "a x 21s"},
		"lost, answered, came back":          {[]step{list("dns", 1, node("a", "x", -1)), {seen: ConnectionReset, at: 18}, {seen: Answered, at: 19}, list("dns", 20), list("dns", 21, node("a", "x", -1))}, "a x long ago"},
		"two sources, one id, two addresses": {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("a", "y", 5))}, "a y 5s"},
		"two sources, the other states":      {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("a", "x", -1))}, "a x 5s"},
		"two sources, two ids":               {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("b", "x", -1))}, "b x 5s"},
		"two ids, the owner's goes":          {[]step{list("dir", 1, node("a", "x", 5)), list("dns", 2, node("b", "x", -1)), list("dns", 3)}, "a x 5s"},
		"two ids, the alias goes":            {[]step{list("dns", 1, node("b", "x", 5)), list("dir", 2, node("a", "x", 5)), list("dir", 3)}, "b x 5s"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, Config{})
			for _, st := range c.steps {
				switch st.src {
				case "dns":
					s.add(s.dns.Update(at(st.at), Update{Full: true, Records: st.full}))
				case "dir":
					s.add(s.dir.Update(at(st.at), Update{Full: true, Records: st.full}))
				default:
					s.add(s.t.Observe(at(st.at), "a", st.seen))
				}
			}
			var got []string
			for _, r := range s.t.List() {
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

// TestTrust: lists that remove nothing, and those that do.
func TestTrust(t *testing.T) {
	two := []Record{{ID: "a", Addr: "x"}, {ID: "b", Addr: "y"}}
	for name, c := range map[string]struct {
		then []Update
		want int
		note string
	}{
		"authoritative and empty":   {[]Update{{Full: true}}, 0, "list emptied"},
		"lame and empty":            {[]Update{{Full: true, Basis: Relayed}}, 2, "list held"},
		"relayed, one fewer":        {[]Update{{Full: true, Basis: Relayed, Records: two[:1]}}, 1, "removed b"},
		"cut":                       {[]Update{{Full: true, Basis: Truncated, Records: two[:1]}}, 2, "list held"},
		"cut, one more":             {[]Update{{Full: true, Basis: Truncated, Records: []Record{{ID: "c", Addr: "z"}}}}, 3, "list held"},
		"refused":                   {[]Update{{Basis: Failed, Cause: "REFUSED"}}, 2, "list held"},
		"older":                     {[]Update{{Full: true, Serial: 9, Serialled: true}}, 2, "list held"},
		"older by the other half":   {[]Update{{Full: true, Serial: 10 + 1<<31, Serialled: true}}, 2, "list held"},
		"newer":                     {[]Update{{Full: true, Serial: 11, Serialled: true}}, 0, "list emptied"},
		"the same":                  {[]Update{{Full: true, Serial: 10, Serialled: true}}, 0, "list emptied"},
		"newer over the end":        {[]Update{{Full: true, Serial: 1 << 31, Serialled: true, Records: two}, {Full: true, Serial: 1<<32 - 1, Serialled: true, Records: two}, {Full: true, Serial: 3, Serialled: true}}, 0, "list emptied"},
		"older, and stays so":       {slices.Repeat([]Update{{Full: true, Serial: 9, Serialled: true}}, 40), 0, "serial back"},
		"older, and then newer":     {append(slices.Repeat([]Update{{Full: true, Serial: 9, Serialled: true}}, 9), Update{Full: true, Serial: 12, Serialled: true, Records: two}), 2, "list held"},
		"older now and then":        {slices.Repeat([]Update{{Full: true, Serial: 9, Serialled: true}, {Full: true, Serial: 10, Serialled: true, Records: two}}, 40), 2, "list held"},
		"remembered after heard":    {[]Update{{Full: true, Cached: true}}, 2, ""},
		"a cell that there is none": {[]Update{{Records: []Record{{ID: "a", Addr: "x", ShardSet: 7}}}}, 2, "unfit a"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t, Config{Suppress: 1e9})
			s.add(s.dns.Update(at(0), Update{Full: true, Records: two, Serial: 10, Serialled: true}))
			for i, u := range c.then {
				s.add(s.dns.Update(at(float64(i+1)), u))
			}
			if len(s.list) != c.want || c.note != "" && !slices.Contains(s.notes, c.note) {
				t.Errorf("%d data nodes, want %d; notes %v, want %s among them", len(s.list), c.want, s.notes, c.note)
			}
		})
	}
}

// TestFlaps: a record that vanishes and returns is listed again at once the first time; after forty times it is held
// back, for a bounded time, but not where its shard has no other.
func TestFlaps(t *testing.T) {
	for _, alone := range []bool{false, true} {
		s := newHarness(t, Config{})
		records := []Record{{ID: "flaps", Addr: "x"}}
		if !alone {
			records = append(records, Record{ID: "stays", Addr: "y"})
		}
		s.add(s.dns.Update(at(0), Update{Full: true, Records: records}))
		s.add(s.dns.Update(at(1), Update{Full: true, Records: records[1:]}))
		if _, listed := s.list["flaps"]; listed {
			t.Fatal("a removal is not at once")
		}
		s.add(s.dns.Update(at(1.5), Update{Full: true, Records: records}))
		if s.list["flaps"].State != Serving {
			t.Error("the first return is held back")
		}
		for i := range 40 {
			s.add(s.dns.Update(at(2+float64(i)), Update{Full: true, Records: records[1:]}))
			if _, listed := s.list["flaps"]; listed {
				t.Fatalf("removal %d is not at once", i)
			}
			s.add(s.dns.Update(at(2.5+float64(i)), Update{Full: true, Records: records}))
		}
		want := Draining
		if alone {
			want = Serving
		}
		if got := s.list["flaps"].State; got != want {
			t.Errorf("alone %v: after forty flaps it is %v, want %v", alone, got, want)
		}
		if !alone { // it is let in at once when the other goes
			s.add(s.dns.Update(at(42), Update{Records: []Record{{ID: "stays", State: Gone}}}))
			if s.list["flaps"].State != Serving {
				t.Error("its shard was left without its only data node")
			}
			s.add(s.dns.Update(at(42.2), Update{Records: records[1:]}))
			if s.list["flaps"].State != Draining {
				t.Error("it is not held back though there is another")
			}
		}
		// Its time is bounded: 60 s, and the alarm comes by itself.
		for next := s.t.Next(); !next.IsZero() && next.Before(at(200)); next = s.t.Next() {
			s.add(s.t.Tick(next))
			if s.list["flaps"].State == Serving && !alone && next.After(at(42+62)) {
				t.Errorf("it was held back until %v", next.Sub(epoch))
			}
		}
		if s.list["flaps"].State != Serving {
			t.Error("it is held back for good")
		}
	}
}

// TestPriorities: records of a higher figure are used only while a shard has no sound data node of a lower one.
func TestPriorities(t *testing.T) {
	s := newHarness(t, Config{ShardSets: 4, Shards: 8, Reach: 2})
	var records []Record
	for cell := range 4 {
		records = append(records, Record{ID: fmt.Sprint("first", cell), Addr: fmt.Sprint("a", cell), ShardSet: cell},
			Record{ID: fmt.Sprint("second", cell), Addr: fmt.Sprint("b", cell), ShardSet: cell, Priority: 10})
	}
	used := func() (list []string) {
		for _, r := range s.t.List() {
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
	s.add(s.dns.Update(at(0), Update{Full: true, Records: records}))
	expect("all first ones are there")
	// Cells 0 and 1 hold shard 0; with both first ones away, both second ones are used.
	s.add(s.dns.Update(at(1), Update{Records: []Record{{ID: "first0", State: Gone}}}))
	expect("cell 1 still holds what cell 0 does")
	refuse := func(now float64, id string) {
		for range 2 {
			s.add(s.t.Observe(at(now), id, ConnectionRefused))
		}
	}
	refuse(2, "first1")
	expect("shard 0 is without a sound one", "second0", "second1")
	if s.list["first1"].State != Serving {
		t.Error("a doubtful one was taken off the list")
	}
	s.add(s.t.Observe(at(3), "first1", Answered))
	expect("it answers again")
	refuse(4, "first1")
	s.add(s.t.Tick(at(15)))
	expect("doubt ends without news")
	s.add(s.dns.Update(at(16), Update{Records: []Record{{ID: "first1", Addr: "a1", ShardSet: 1, State: Draining}}}))
	expect("a draining one is none", "second0", "second1")
}

// TestRejectionsMakeSuspect: a data node that rejects everything, as one that drains does before its record says so, is
// suspect; one that rejects now and then is not.
func TestRejectionsMakeSuspect(t *testing.T) {
	s := newHarness(t, Config{})
	s.add(s.dns.Update(at(0), Update{Full: true, Records: []Record{{ID: "a", Addr: "x"}, {ID: "b", Addr: "y", Priority: 10}}}))
	for i := range 100 {
		e := Rejected
		if i%10 == 9 {
			e = Answered
		}
		s.add(s.t.Observe(at(float64(i)/100), "a", e))
	}
	if s.list["b"].State != Draining {
		t.Error("a data node that is full now and then is suspect")
	}
	for i := range 16 {
		s.add(s.t.Observe(at(2+float64(i)/100), "a", Rejected))
	}
	if s.list["b"].State != Serving || s.list["a"].State != Serving {
		t.Errorf("one that rejects everything: %v", s.list)
	}
}

// TestBounds: months of ever new ids leave no more than the past that Config allows, and a source names no more
// than it may.
func TestBounds(t *testing.T) {
	s := newHarness(t, Config{MaxForgotten: 50})
	for i := range 5000 {
		s.add(s.dns.Update(at(float64(i)/100), Update{Full: true, Records: []Record{{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}}}))
		if n := len(s.t.nodes); n > 52 || len(s.t.timers) > 52 || s.t.past.Len() > 51 {
			t.Fatalf("%d nodes, %d timers after %d ids", n, len(s.t.timers), i)
		}
		s.notes = nil
	}
	s.add(s.t.Tick(at(1e6)))
	if len(s.t.nodes) != 1 || len(s.t.addrs) != 1 || len(s.t.dependents) != 0 || len(s.t.coverage.levels) != 1 {
		t.Errorf("left: %d nodes, %d addresses, %d dependents, %d levels", len(s.t.nodes), len(s.t.addrs), len(s.t.dependents), len(s.t.coverage.levels))
	}
	few := s.t.Source(Spec{Name: "few", MaxNodes: 3})
	var many []Record
	for i := range 9 {
		many = append(many, Record{ID: fmt.Sprint("m", i), Addr: fmt.Sprint("b", i)})
	}
	s.add(few.Update(at(1e6), Update{Full: true, Records: many}))
	if len(s.list) != 4 || !slices.Contains(s.notes, "too many m3") {
		t.Errorf("%d data nodes, notes %v", len(s.list), s.notes)
	}
}

// TestReturnWhileThePastIsFull: a data node comes back in the same list that drops another one. The past is full then,
// and the longest gone is forgotten; that must not be the one that is back, or its claim has no node and the next list
// that changes it ends the process.
func TestReturnWhileThePastIsFull(t *testing.T) {
	s := newHarness(t, Config{MaxForgotten: 1})
	leaves, returns := Record{ID: "a", Addr: "x"}, Record{ID: "b", Addr: "y"}
	s.add(s.dns.Update(at(1), Update{Full: true, Records: []Record{leaves, returns}}))
	s.add(s.dns.Update(at(2), Update{Full: true, Records: []Record{leaves}}))
	s.add(s.dns.Update(at(3), Update{Full: true, Records: []Record{returns}}))
	returns.State = Draining
	s.add(s.dns.Update(at(4), Update{Full: true, Records: []Record{returns}}))
	if got := s.list["b"].State; len(s.list) != 1 || got != Draining {
		t.Errorf("the list is %v, it should hold b as draining", s.list)
	}
}

package statemachine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const s = time.Second

func put(key, value string) []Pair { return []Pair{{key, []byte(value)}} }

// TestCommand checks each row of the package's table, after commands in term 1 that put a=1 and granted n0 the duty d and its
// presence at stamp 0.
func TestCommand(t *testing.T) {
	for _, c := range []struct {
		name   string
		index  uint64
		term   uint64
		cmd    Command
		failed string
		value  string // of a, afterwards
	}{
		{"put", 9, 1, Command{LeaderTerm: 1, Put: put("a", "2")}, "", "2"},
		{"already applied", 9, 1, Command{ID: ID{"w", 1}, LeaderTerm: 1, Put: put("a", "2")}, "", "1"},
		{"stamp of another term", 9, 2, Command{LeaderTerm: 1, Put: put("a", "2")}, StaleStamp, "1"},
		{"expected revision", 9, 1, Command{LeaderTerm: 1, Conditions: []Condition{{Key: "a", Revision: 1}}, Put: put("a", "2")}, "", "2"},
		{"another revision", 9, 1, Command{LeaderTerm: 1, Conditions: []Condition{{Key: "a", Revision: 2}}, Put: put("a", "2")}, Conflict, "1"},
		{"expected no value", 9, 1, Command{LeaderTerm: 1, Conditions: []Condition{{Key: "a"}}, Put: put("a", "2")}, Conflict, "1"},
		{"current token of the duty", 9, 1, Command{LeaderTerm: 1, Conditions: []Condition{{Duty: "d", Token: 1}}, Put: put("a", "2")}, "", "2"},
		{"old token of the duty", 9, 1, Command{LeaderTerm: 1, Conditions: []Condition{{Duty: "d", Token: 0}}, Put: put("a", "2")}, Conflict, "1"},
		{"presence not yet expired", 9, 1, Command{LeaderTerm: 1, LeaderTime: 4*s - 1, Conditions: []Condition{{ExpiredPresence: "n0"}}, Put: put("a", "2")}, Conflict, "1"},
		{"presence expired", 9, 1, Command{LeaderTerm: 1, LeaderTime: 4 * s, Conditions: []Condition{{ExpiredPresence: "n0"}}, Put: put("a", "2")}, "", "2"},
		{"a new leader extends the presence from its first stamp", 9, 2, Command{LeaderTerm: 2, LeaderTime: 900 * s, Conditions: []Condition{{ExpiredPresence: "n0"}}, Put: put("a", "2")}, Conflict, "1"},
		{"no put if another holds the lease", 9, 1, Command{LeaderTerm: 1, Lease: &LeaseOp{Kind: Campaign, Duty: "d", Coordinator: "n1"}, Put: put("a", "2")}, HeldByOther, "1"},
		{"renewal of a past term", 9, 1, Command{LeaderTerm: 1, Lease: &LeaseOp{Kind: Renew, Duty: "d", Coordinator: "n0", Term: 7}, Put: put("a", "2")}, TermOver, "1"},
		{"a presence that has not expired is not forgotten", 9, 1, Command{LeaderTerm: 1, Lease: &LeaseOp{Kind: Forget, Presence: true, Duty: "n0"}, Put: put("a", "2")}, HeldByOther, "1"},
		{"removed", 9, 1, Command{LeaderTerm: 1, Put: []Pair{{"a", nil}}}, "", ""},
		{"first format", 9, 5, Command{Key: "a", Value: []byte("2")}, "", "2"},
	} {
		st := New()
		for i, first := range []Command{
			{ID: ID{"w", 1}, LeaderTerm: 1, Put: put("a", "1")},
			{LeaderTerm: 1, Lease: &LeaseOp{Kind: Campaign, Duty: "d", Coordinator: "n0", Length: 10 * s}},
			{LeaderTerm: 1, Lease: &LeaseOp{Kind: Campaign, Duty: "n0", Presence: true, Coordinator: "n0", Length: 4 * s}},
		} {
			if r, _ := st.Apply(uint64(i+1), 1, &first); r.Cause != "" {
				t.Fatal(r.Err())
			}
		}
		r, _ := st.Apply(c.index, c.term, &c.cmd)
		e, _ := st.Get("a")
		if r.Cause != c.failed || string(e.Value) != c.value {
			t.Errorf("%s: %q (%s), a is %q; want %q and %q", c.name, r.Cause, r.Detail, e.Value, c.failed, c.value)
		}
	}
}

// TestOldNumberRejected checks that a command with a number outside the window is rejected instead of applied again, and that the
// number of sessions is bounded.
func TestOldNumberRejected(t *testing.T) {
	st := New()
	for i := uint64(1); i <= 200; i++ {
		st.Apply(i, 1, &Command{ID: ID{"w", i}, LeaderTerm: 1, Put: put("a", fmt.Sprint(i))})
	}
	if r, _ := st.Apply(201, 1, &Command{ID: ID{"w", 1}, LeaderTerm: 1, Put: put("a", "again")}); r.Cause != Expired {
		t.Errorf("a number outside the window: %+v", r)
	}
	for i := range uint64(2 * MaxWriters) {
		st.Apply(300+i, 1, &Command{ID: ID{fmt.Sprint("w", i), 1}, LeaderTerm: 1, Put: put("b", "x")})
	}
	if len(st.sessions) > MaxWriters {
		t.Errorf("%d sessions, want at most MaxWriters", len(st.sessions))
	}
	last := Command{ID: ID{fmt.Sprint("w", 2*MaxWriters-1), 1}, LeaderTerm: 1, Put: put("b", "twice")}
	if st.Apply(99999, 1, &last); string(st.values["b"].Value) != "x" {
		t.Error("the session of the latest writer was evicted")
	}
}

// TestSnapshotAfterAnyCommand applies random commands to two members, of which one is restored from its snapshot after some of
// them: both must reach the same state and results. Some commands are repeated.
func TestSnapshotAfterAnyCommand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		var clock time.Duration
		term := uint64(1)
		var issued []Command
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			name := func(of string, n int) string { return of + rapid.StringMatching(fmt.Sprintf("[0-%d]", n)).Draw(t, of) }
			clock += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "leader") == 0 {
				term, clock = term+1, time.Duration(rapid.IntRange(0, 1e6).Draw(t, "clock"))*time.Millisecond
			}
			var c Command
			if len(issued) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
				c = issued[rapid.IntRange(0, len(issued)-1).Draw(t, "which")]
			} else {
				c = Command{ID: ID{name("w", 2), uint64(i + 1)}, LeaderTime: clock, LeaderTerm: term}
				switch rapid.IntRange(0, 2).Draw(t, "kind") {
				case 0:
					c.Put = put(name("k", 3), fmt.Sprint(i))
					c.Conditions = []Condition{{Key: c.Put[0].Key, Revision: a.values[c.Put[0].Key].Revision}, {ExpiredPresence: name("n", 2)}}[:rapid.IntRange(0, 2).Draw(t, "conds")]
				case 1:
					c.Lease = &LeaseOp{Kind: Campaign, Duty: name("d", 1), Coordinator: name("n", 2), Presence: rapid.Bool().Draw(t, "presence"), Length: 4 * s}
				case 2:
					c.Lease = &LeaseOp{Kind: Renew, Duty: name("d", 1), Coordinator: name("n", 2), Term: uint64(rapid.IntRange(1, 3).Draw(t, "term"))}
				}
				issued = append(issued, c)
			}
			copied := c
			ra, _ := a.Apply(uint64(i+1), term, &c)
			rb, _ := b.Apply(uint64(i+1), term, &copied)
			if d := cmp.Diff(ra, rb); d != "" {
				t.Fatalf("command %d: results differ: %s", i, d)
			}
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b = New()
				if err := b.Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			x, _ := a.Snapshot()
			y, _ := b.Snapshot()
			if d := cmp.Diff(string(x), string(y)); d != "" {
				t.Fatalf("command %d: states differ: %s", i, d)
			}
		}
	})
}

// TestRestoreFormats checks that a snapshot of the first format is read, and that one of a later version or an invalid one is rejected.
func TestRestoreFormats(t *testing.T) {
	st := New()
	if err := st.Restore([]byte(`{"members":"bGlzdA=="}`)); err != nil || string(st.values["members"].Value) != "list" {
		t.Errorf("the first format: %v, %q", err, st.values["members"].Value)
	}
	for _, bad := range []string{`{"Version":3}`, `nonsense`, `{"Version":2,"Values":7}`} {
		if st.Restore([]byte(bad)) == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{100, 10_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			st := New()
			for i := range b.N {
				c := Command{ID: ID{fmt.Sprint("w", i%8), uint64(i)}, LeaderTerm: 1, Conditions: []Condition{{ExpiredPresence: "n9"}}, Put: put(fmt.Sprint("k", i%keys), "value")}
				st.Apply(uint64(i+1), 1, &c)
			}
		})
	}
}

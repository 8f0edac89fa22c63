package linearizability

import (
	"testing"
	"time"
)

// TestCheck checks that Check accepts linearizable histories and rejects others, and that LostWrites finds lost writes. A write
// without an answer may take effect late or never.
func TestCheck(t *testing.T) {
	at := func(k Kind, old, value string, done, unknown bool, call, end time.Duration) Op {
		return Op{Kind: k, Key: "k", Old: old, Value: value, Swapped: done, Unknown: unknown, Call: call, End: end}
	}
	for _, c := range []struct {
		name string
		ops  []Op
		want bool
		lost int // number of keys reported by LostWrites if the last Get reads the final value; 0 is not checked
	}{
		{"read after write", []Op{at(Put, "", "a", false, false, 0, 1), at(Get, "", "a", false, false, 2, 3)}, true, 0},
		{"read of an overwritten value", []Op{at(Put, "", "a", false, false, 0, 1), at(Put, "", "b", false, false, 2, 3), at(Get, "", "a", false, false, 4, 5)}, false, 1},
		{"acknowledged write is lost", []Op{at(Put, "", "a", false, false, 0, 1), at(Get, "", "", false, false, 2, 3)}, false, 1},
		{"read concurrent with a write", []Op{at(Put, "", "a", false, false, 0, 3), at(Get, "", "", false, false, 1, 2)}, true, 0},
		{"write without an answer takes effect late", []Op{at(Put, "", "a", false, true, 0, 1), at(Get, "", "", false, false, 2, 3), at(Get, "", "a", false, false, 4, 5)}, true, 0},
		{"write without an answer takes effect and disappears", []Op{at(Put, "", "a", false, true, 0, 1), at(Get, "", "a", false, false, 2, 3), at(Get, "", "", false, false, 4, 5)}, false, 0},
		{"two successful swaps of one value", []Op{at(CompareAndSwap, "", "a", true, false, 0, 1), at(CompareAndSwap, "", "b", true, false, 2, 3)}, false, 0},
		{"swap correctly rejected", []Op{at(Put, "", "a", false, false, 0, 1), at(CompareAndSwap, "", "b", false, false, 2, 3)}, true, 0},
		{"swap wrongly rejected", []Op{at(CompareAndSwap, "", "b", false, false, 2, 3)}, false, 0},
	} {
		var h History
		final := map[string]string{}
		for _, o := range c.ops {
			h.Add(o)
			if o.Kind == Get {
				final = map[string]string{"k": o.Value}
			}
		}
		if got, known := h.Check(time.Second); got != c.want || !known {
			t.Errorf("%s: linearizable %v (known %v), want %v", c.name, got, known, c.want)
		}
		if got := h.LostWrites(final); c.lost > 0 && len(got) != c.lost {
			t.Errorf("%s: lost %v, want %d", c.name, got, c.lost)
		}
	}
}

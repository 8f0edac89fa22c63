package virtualtime

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestQueue checks that events are returned by time, and in the order of insertion for equal times, up to and including the limit.
func TestQueue(t *testing.T) {
	var q Queue[string]
	for _, x := range []struct {
		at time.Duration
		e  string
	}{{3, "c1"}, {1, "a"}, {3, "c2"}, {2, "b"}, {3, "c3"}, {9, "z"}} {
		q.Put(x.at, x.e)
	}
	var got []string
	for {
		_, e, ok := q.Next(3)
		if !ok {
			break
		}
		got = append(got, e)
	}
	if d := cmp.Diff([]string{"a", "b", "c1", "c2", "c3"}, got); d != "" {
		t.Error(d)
	}
	if at, e, ok := q.Next(9); at != 9 || e != "z" || !ok {
		t.Error(at, e, ok)
	}
}

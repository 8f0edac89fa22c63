package session

// Table tests of the lives of flights and sessions, and a property test of flights: one query for each, one owner, and
// nothing kept beyond its time or its room.

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

var words = map[error]string{ErrUnknown: "unknown", ErrOtherOwner: "not yours", ErrCancelled: "cancelled", ErrFull: "full"}

func word(err error) string {
	for e, w := range words {
		if errors.Is(err, e) {
			return w
		}
	}
	if err != nil {
		return "error"
	}
	return "ok"
}

// TestLife: the life of a flight of two ranges, by what is asked of it.
func TestLife(t *testing.T) {
	next := map[Next]string{Start: "ask", Wait: "wait", Send: "send", Report: "tell"}
	for _, c := range []struct{ asked, want string }{
		{"claim 0", "ask"},
		{"claim 0, claim 1, claim 0", "ask wait wait"},
		{"claim 0, finish 5, claim 0, claim 1", "ask ok send send"},
		{"claim 0, fail, claim 0, claim 1", "ask ok tell tell"},
		{"claim 0, finish 5, claim 0 of other", "ask ok not yours"},
		{"claim 2", "unknown"},
		{"claim -1, claim 0", "ask wait"},
		{"wait 31, claim 0", "unknown"},
		{"wait 29, claim 0", "ask"},
		{"wait 29, renew, wait 29, claim 0", "ok ask"},
		{"claim 0, wait 1000, claim 1", "ask wait"}, // running until it is finished
		{"claim 0, finish 5, wait 29, claim 0", "ask ok send"},
		{"claim 0, finish 5, wait 31, claim 0", "ask ok unknown"},
		{"claim 0, finish 5, wait 29, renew, wait 29, claim 0", "ask ok ok send"},
		{"claim 0, finish 5, claim 0, sent 0, claim 0", "ask ok send send"},                                  // again, while it is kept
		{"claim 0, finish 5, claim 0, sent 0, claim 1, sent 1, wait 1, claim 0", "ask ok send send send"},    // and lingers
		{"claim 0, finish 5, claim 0, sent 0, claim 1, sent 1, wait 3, claim 0", "ask ok send send unknown"}, //
		{"claim 0, finish 5, claim 0, sent 0, claim 1, broke 1, wait 3, claim 1", "ask ok send send send"},   // not all of it was sent
		{"claim 0, finish 5, claim 0, wait 100, claim 1", "ask ok send send"},                                // not while it is being sent
		{"cancel, claim 0", "ok cancelled"},
		{"claim 0, cancel, finish 5, claim 0", "ask running error cancelled"}, // a late answer is none
		{"claim 0, finish 5, cancel, claim 0", "ask ok ok send"},              // it was over before
		{"cancel of other, claim 0", "not yours ask"},
		{"cancel, wait 31, claim 0", "ok unknown"},
		{"cancel, renew", "ok cancelled"},
		{"open", "error"},
	} {
		t.Run(c.asked, func(t *testing.T) {
			f := NewFlights(FlightConfig{})
			f.Open(at(0), "x", "me", 2, at(500))
			now, got := 0.0, []string{}
			for _, asked := range strings.Split(c.asked, ", ") {
				what, rest, _ := strings.Cut(asked, " ")
				arg, other, _ := strings.Cut(rest, " of ")
				n, owner := 0, "me"
				if fmt.Sscan(arg, &n); other != "" || strings.HasPrefix(rest, "of ") {
					owner = "other"
				}
				switch what {
				case "wait":
					now += float64(n)
				case "claim":
					next2, err := f.Claim(at(now), "x", owner, n)
					if err != nil {
						got = append(got, word(err))
					} else {
						got = append(got, next[next2])
					}
				case "finish":
					_, ok := f.Complete(at(now), "x", int64(n))
					got = append(got, map[bool]string{true: "ok", false: "error"}[ok])
				case "fail":
					ok := f.Fail(at(now), "x")
					got = append(got, map[bool]string{true: "ok", false: "error"}[ok])
				case "sent":
					f.Sent(at(now), "x", n)
				case "broke":
					f.Interrupted(at(now), "x", n)
				case "renew":
					_, err := f.Renew(at(now), "x", owner)
					got = append(got, word(err))
				case "cancel":
					running, _, err := f.Cancel(at(now), "x", owner)
					if running {
						got = append(got, "running")
					} else {
						got = append(got, word(err))
					}
				case "open":
					_, err := f.Open(at(now), "x", owner, 1, at(9))
					got = append(got, word(err))
				}
			}
			if diff := cmp.Diff(c.want, strings.Join(got, " ")); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
			f.Interrupted(at(now), "x", 0)
			f.Interrupted(at(now), "x", 1)
			f.Fail(at(now), "x")
			f.Tick(at(now + 1e6))
			if n, bytes := f.Len(); n+int(bytes)+len(f.perOwner) > 0 {
				t.Errorf("left: %d flights, %d bytes, %d owners", n, bytes, len(f.perOwner))
			}
		})
	}
}

// TestRenewEnds: a flight can't be kept for ever.
func TestRenewEnds(t *testing.T) {
	f := NewFlights(FlightConfig{MaxTTL: time.Minute})
	f.Open(at(0), "x", "me", 1, at(5))
	f.Claim(at(0), "x", "me", 0)
	f.Complete(at(1), "x", 1)
	for s := 1.0; s < 100; s++ {
		until, err := f.Renew(at(s), "x", "me")
		if until.After(at(61)) {
			t.Fatalf("kept until %v", until.Sub(epoch))
		}
		if err != nil {
			if s < 61 {
				t.Fatalf("dropped at %g s: %v", s, err)
			}
			return
		}
	}
	t.Error("kept for ever")
}

// TestFull: what goes for a newcomer, and who is refused.
func TestFull(t *testing.T) {
	f := NewFlights(FlightConfig{MaxFlights: 4, MaxPerOwner: 3, MaxBytes: 100})
	run := func(id string, bytes int64, fetched bool) {
		t.Helper()
		if _, err := f.Claim(at(0), id, "me", 0); err != nil {
			t.Fatal(err)
		}
		if _, ok := f.Complete(at(1), id, bytes); !ok {
			t.Fatalf("%s: no room", id)
		}
		if fetched {
			f.Claim(at(1), id, "me", 0)
			f.Sent(at(1), id, 0)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, err := f.Open(at(0), id, "me", 1, at(9)); err != nil {
			t.Fatal(err)
		}
	}
	run("a", 60, true)
	run("b", 30, false)
	dropped, err := f.Open(at(1), "d", "me", 1, at(9))
	if diff := cmp.Diff([]string{"a"}, dropped); diff != "" || err != nil {
		t.Errorf("first goes the one that was fetched: %v (-want +got)\n%s", err, diff)
	}
	dropped, err = f.Open(at(1), "e", "me", 1, at(9))
	if diff := cmp.Diff([]string{"c"}, dropped); diff != "" || err != nil {
		t.Errorf("then the oldest that is only planned: %v (-want +got)\n%s", err, diff)
	}
	f.Claim(at(1), "d", "me", 0)
	f.Claim(at(1), "e", "me", 0)
	if _, err := f.Open(at(1), "f", "me", 1, at(9)); word(err) != "full" {
		t.Errorf("with none to spare: %v", err)
	}
	if _, err := f.Open(at(1), "f", "other", 1, at(9)); err != nil {
		t.Errorf("another owner: %v", err)
	}
	if _, err := f.Open(at(1), "g", "third", 1, at(9)); err != nil {
		t.Errorf("a third, for a planned one: %v", err)
	}
	// d's answer finds no room beside b's, which nobody has fetched.
	if dropped, ok := f.Complete(at(2), "d", 90); ok || len(dropped) > 0 {
		t.Errorf("an answer too many: %v, %v", dropped, ok)
	}
	if next, err := f.Claim(at(2), "d", "me", 0); next != Report || err != nil {
		t.Errorf("its flight: %v, %v", next, err)
	}
	f.Claim(at(2), "b", "me", 0)
	f.Sent(at(2), "b", 0)
	if dropped, ok := f.Complete(at(2), "e", 90); !ok || !slices.Equal(dropped, []string{"b"}) {
		t.Errorf("with one to spare: %v, %v", dropped, ok)
	}
}

// TestFlights: whatever is asked in whatever order, a flight is asked once, its answer goes to its owner alone, and what
// is kept stays within its bounds.
func TestFlights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFlights(FlightConfig{MaxFlights: 5, MaxPerOwner: 3, MaxBytes: 50})
		asked, over, owners := map[string]int{}, map[string]bool{}, map[string]string{}
		sending := map[string]int{}
		now, made := at(0), 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 1000, 40_000}).Draw(t, "ms")) * time.Millisecond)
			id, owner := fmt.Sprint("f", rapid.IntRange(max(0, made-5), made).Draw(t, "id")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
			switch rapid.SampledFrom([]string{"open", "claim", "claim", "finish", "sent", "renew", "cancel", "tick"}).Draw(t, "what") {
			case "open":
				made++
				if _, err := f.Open(now, fmt.Sprint("f", made), owner, 2, now.Add(time.Second)); err == nil {
					owners[fmt.Sprint("f", made)] = owner
				}
			case "claim":
				next, err := f.Claim(now, id, owner, rapid.IntRange(-1, 1).Draw(t, "range"))
				if err != nil {
					break
				}
				if owners[id] != owner {
					t.Fatalf("%s of %s was claimed by %s", id, owners[id], owner)
				}
				switch next {
				case Start:
					asked[id]++
				case Send:
					sending[id]++
					if !over[id] {
						t.Fatalf("%s is sent before it has an answer", id)
					}
				}
			case "finish":
				if asked[id] > 0 && !over[id] {
					over[id] = true
					answered, bytes := rapid.Bool().Draw(t, "answered"), int64(rapid.IntRange(0, 40).Draw(t, "bytes"))
					if answered {
						f.Complete(now, id, bytes)
					} else {
						f.Fail(now, id)
					}
				}
			case "sent":
				if sending[id] > 0 {
					sending[id]--
					if r, whole := rapid.IntRange(0, 1).Draw(t, "range"), rapid.Bool().Draw(t, "all"); whole {
						f.Sent(now, id, r)
					} else {
						f.Interrupted(now, id, r)
					}
				}
			case "renew":
				f.Renew(now, id, owner)
			case "cancel":
				f.Cancel(now, id, owner)
			case "tick":
				f.Tick(now)
			}
			for id, n := range asked {
				if n > 1 {
					t.Fatalf("%s was asked %d times", id, n)
				}
			}
			n, bytes := f.Len()
			total, count := int64(0), map[string]int{}
			for _, x := range f.flights {
				total += x.bytes
				count[x.owner]++
			}
			if n > 5 || bytes > 50 || total != bytes || count["a"] > 3 || count["b"] > 3 || count["a"] != f.perOwner["a"] {
				t.Fatalf("%d flights, %d bytes (%d counted), owners %v", n, bytes, total, count)
			}
		}
	})
}

// TestSessions: options are checked one by one; sessions are their owner's, bounded, and end.
func TestSessions(t *testing.T) {
	s := NewSessions(Config{MaxSessions: 4, MaxPerOwner: 2, Options: []Option{{Name: "codec", Values: []string{"zstd", "lz4"}},
		{Name: "batch", Check: func(v string) error {
			if v == "0" {
				return errors.New("is 0")
			}
			return nil
		}}}})
	for i, id := range []string{"a", "b", "c"} {
		if err := s.Open(at(float64(i)), id, "me"); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Options(at(3), "a", "me"); word(err) != "unknown" {
		t.Errorf("the oldest of three where two may be: %v", err)
	}
	faults, err := s.Set(at(3), "b", "me", map[string]string{"codec": "gzip", "batch": "0", "other": "1"})
	if err != nil || len(faults) != 3 {
		t.Errorf("faults %v, %v", faults, err)
	}
	faults, err = s.Set(at(3), "b", "me", map[string]string{"codec": "zstd", "batch": "7", "other": "1"})
	got, _ := s.Options(at(3), "b", "me")
	if diff := cmp.Diff(map[string]string{"codec": "zstd", "batch": "7"}, got); diff != "" || err != nil || len(faults) != 1 {
		t.Errorf("%v, %v (-want +got)\n%s", faults, err, diff)
	}
	s.Set(at(3), "b", "me", map[string]string{"batch": ""})
	if got, _ := s.Options(at(3), "b", "me"); len(got) != 1 {
		t.Errorf("after one was taken back: %v", got)
	}
	if _, err := s.Options(at(3), "b", "other"); word(err) != "not yours" {
		t.Errorf("another's: %v", err)
	}
	if err := s.Close(at(3), "b", "other"); word(err) != "not yours" {
		t.Errorf("another closes it: %v", err)
	}
	if err := s.Close(at(3), "b", "me"); err != nil {
		t.Error(err)
	}
	for _, id := range []string{"x", "y"} {
		if err := s.Open(at(4), id, "other"); err != nil {
			t.Error(err)
		}
	}
	s.Open(at(4), "z", "third")
	if err := s.Open(at(4), "w", "fourth"); word(err) != "full" {
		t.Errorf("beyond all: %v", err)
	}
	if s.Tick(at(700)); s.Len() != 0 {
		t.Errorf("%d sessions are left", s.Len())
	}
}

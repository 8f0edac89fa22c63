package session

// Tests of flights and sessions. A property test checks that the query of a flight is executed once, that its answer goes only to its
// owner, and that the kept flights stay within the limits.

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

var errorNames = map[error]string{ErrUnknown: "unknown", ErrOtherOwner: "other-owner", ErrCancelled: "cancelled", ErrFull: "full"}

func errorName(err error) string {
	for e, name := range errorNames {
		if errors.Is(err, e) {
			return name
		}
	}
	if err != nil {
		return "error"
	}
	return "ok"
}

// TestFlightLifecycle runs sequences of operations on a flight of two ranges and checks the outcome of each.
func TestFlightLifecycle(t *testing.T) {
	nextNames := map[Next]string{Start: "start", Wait: "wait", Send: "send", Report: "report"}
	for _, c := range []struct{ operations, want string }{
		{"claim 0", "start"},
		{"claim 0, claim 1, claim 0", "start wait wait"},
		{"claim 0, complete 5, claim 0, claim 1", "start ok send send"},
		{"claim 0, fail, claim 0, claim 1", "start ok report report"},
		{"claim 0, complete 5, claim 0 of other", "start ok other-owner"},
		{"claim 2", "unknown"},
		{"claim -1, claim 0", "start wait"},
		{"advance 31, claim 0", "unknown"},
		{"advance 29, claim 0", "start"},
		{"advance 29, renew, advance 29, claim 0", "ok start"},
		{"claim 0, advance 1000, claim 1", "start wait"}, // a running flight does not expire
		{"claim 0, complete 5, advance 29, claim 0", "start ok send"},
		{"claim 0, complete 5, advance 31, claim 0", "start ok unknown"},
		{"claim 0, complete 5, advance 29, renew, advance 29, claim 0", "start ok ok send"},
		{"claim 0, complete 5, claim 0, sent 0, claim 0", "start ok send send"},                                         // fetched again
		{"claim 0, complete 5, claim 0, sent 0, claim 1, sent 1, advance 1, claim 0", "start ok send send send"},        // within FetchedTTL
		{"claim 0, complete 5, claim 0, sent 0, claim 1, sent 1, advance 3, claim 0", "start ok send send unknown"},     // after FetchedTTL
		{"claim 0, complete 5, claim 0, sent 0, claim 1, interrupted 1, advance 3, claim 1", "start ok send send send"}, // range 1 not fetched
		{"claim 0, complete 5, claim 0, advance 100, claim 1", "start ok send send"},                                    // still being sent
		{"cancel, claim 0", "ok cancelled"},
		{"claim 0, cancel, complete 5, claim 0", "start running error cancelled"}, // an answer after Cancel is discarded
		{"claim 0, complete 5, cancel, claim 0", "start ok ok send"},              // Cancel does not affect a flight that has ended
		{"cancel of other, claim 0", "other-owner start"},
		{"cancel, advance 31, claim 0", "ok unknown"},
		{"cancel, renew", "ok cancelled"},
		{"open", "error"},
	} {
		t.Run(c.operations, func(t *testing.T) {
			f := NewFlights(FlightConfig{})
			f.Open(at(0), "x", "me", 2, at(500))
			now, got := 0.0, []string{}
			for _, operation := range strings.Split(c.operations, ", ") {
				verb, rest, _ := strings.Cut(operation, " ")
				arg, other, _ := strings.Cut(rest, " of ")
				n, owner := 0, "me"
				if fmt.Sscan(arg, &n); other != "" || strings.HasPrefix(rest, "of ") {
					owner = "other"
				}
				switch verb {
				case "advance":
					now += float64(n)
				case "claim":
					next, err := f.Claim(at(now), "x", owner, n)
					if err != nil {
						got = append(got, errorName(err))
					} else {
						got = append(got, nextNames[next])
					}
				case "complete":
					_, ok := f.Complete(at(now), "x", int64(n))
					got = append(got, map[bool]string{true: "ok", false: "error"}[ok])
				case "fail":
					ok := f.Fail(at(now), "x")
					got = append(got, map[bool]string{true: "ok", false: "error"}[ok])
				case "sent":
					f.RangeSent(at(now), "x", n)
				case "interrupted":
					f.RangeInterrupted(at(now), "x", n)
				case "renew":
					_, err := f.Renew(at(now), "x", owner)
					got = append(got, errorName(err))
				case "cancel":
					running, _, err := f.Cancel(at(now), "x", owner)
					if running {
						got = append(got, "running")
					} else {
						got = append(got, errorName(err))
					}
				case "open":
					_, err := f.Open(at(now), "x", owner, 1, at(9))
					got = append(got, errorName(err))
				}
			}
			if diff := cmp.Diff(c.want, strings.Join(got, " ")); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
			f.RangeInterrupted(at(now), "x", 0)
			f.RangeInterrupted(at(now), "x", 1)
			f.Fail(at(now), "x")
			f.Tick(at(now + 1e6))
			if n, bytes := f.Len(); n+int(bytes)+len(f.perOwner) > 0 {
				t.Errorf("still kept: %d flights, %d bytes, %d owners", n, bytes, len(f.perOwner))
			}
		})
	}
}

// TestRenewMaxTTL checks that Renew can't keep a flight beyond MaxTTL.
func TestRenewMaxTTL(t *testing.T) {
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
				t.Fatalf("removed at %g s: %v", s, err)
			}
			return
		}
	}
	t.Error("not removed after MaxTTL")
}

// TestFlightEviction checks which flights are evicted at each limit, and when a new flight or answer is rejected instead.
func TestFlightEviction(t *testing.T) {
	f := NewFlights(FlightConfig{MaxFlights: 4, MaxPerOwner: 3, MaxBytes: 100})
	complete := func(id string, bytes int64, fetched bool) {
		t.Helper()
		if _, err := f.Claim(at(0), id, "me", 0); err != nil {
			t.Fatal(err)
		}
		if _, ok := f.Complete(at(1), id, bytes); !ok {
			t.Fatalf("%s: no room for its answer", id)
		}
		if fetched {
			f.Claim(at(1), id, "me", 0)
			f.RangeSent(at(1), id, 0)
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, err := f.Open(at(0), id, "me", 1, at(9)); err != nil {
			t.Fatal(err)
		}
	}
	complete("a", 60, true)
	complete("b", 30, false)
	evicted, err := f.Open(at(1), "d", "me", 1, at(9))
	if diff := cmp.Diff([]string{"a"}, evicted); diff != "" || err != nil {
		t.Errorf("evicted first, want the fetched flight: error %v (-want +got)\n%s", err, diff)
	}
	evicted, err = f.Open(at(1), "e", "me", 1, at(9))
	if diff := cmp.Diff([]string{"c"}, evicted); diff != "" || err != nil {
		t.Errorf("evicted second, want the oldest planned flight: error %v (-want +got)\n%s", err, diff)
	}
	f.Claim(at(1), "d", "me", 0)
	f.Claim(at(1), "e", "me", 0)
	if _, err := f.Open(at(1), "f", "me", 1, at(9)); errorName(err) != "full" {
		t.Errorf("open without an evictable flight of the owner: error %v, want ErrFull", err)
	}
	if _, err := f.Open(at(1), "f", "other", 1, at(9)); err != nil {
		t.Errorf("open by another owner: %v", err)
	}
	if _, err := f.Open(at(1), "g", "third", 1, at(9)); err != nil {
		t.Errorf("open by a third owner, evicting a planned flight: %v", err)
	}
	// There is no room for d's answer beside b's, which has not been fetched.
	if evicted, ok := f.Complete(at(2), "d", 90); ok || len(evicted) > 0 {
		t.Errorf("complete without room: evicted %v, kept %v", evicted, ok)
	}
	if next, err := f.Claim(at(2), "d", "me", 0); next != Report || err != nil {
		t.Errorf("claim of the flight without room: %v, error %v", next, err)
	}
	f.Claim(at(2), "b", "me", 0)
	f.RangeSent(at(2), "b", 0)
	if evicted, ok := f.Complete(at(2), "e", 90); !ok || !slices.Equal(evicted, []string{"b"}) {
		t.Errorf("complete with an evictable flight: evicted %v, kept %v", evicted, ok)
	}
}

// TestFlightInvariants checks, for random sequences of operations, that the query of a flight is executed once, that its answer goes only
// to its owner, and that the kept flights stay within the limits.
func TestFlightInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFlights(FlightConfig{MaxFlights: 5, MaxPerOwner: 3, MaxBytes: 50})
		executed, ended, owners := map[string]int{}, map[string]bool{}, map[string]string{}
		sending := map[string]int{}
		now, opened := at(0), 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 1000, 40_000}).Draw(t, "ms")) * time.Millisecond)
			id, owner := fmt.Sprint("f", rapid.IntRange(max(0, opened-5), opened).Draw(t, "id")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner")
			switch rapid.SampledFrom([]string{"open", "claim", "claim", "complete", "sent", "renew", "cancel", "tick"}).Draw(t, "operation") {
			case "open":
				opened++
				if _, err := f.Open(now, fmt.Sprint("f", opened), owner, 2, now.Add(time.Second)); err == nil {
					owners[fmt.Sprint("f", opened)] = owner
				}
			case "claim":
				next, err := f.Claim(now, id, owner, rapid.IntRange(-1, 1).Draw(t, "range"))
				if err != nil {
					break
				}
				if owners[id] != owner {
					t.Fatalf("%s of owner %s was claimed by %s", id, owners[id], owner)
				}
				switch next {
				case Start:
					executed[id]++
				case Send:
					sending[id]++
					if !ended[id] {
						t.Fatalf("%s is sent before its query has ended", id)
					}
				}
			case "complete":
				if executed[id] > 0 && !ended[id] {
					ended[id] = true
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
					if r, whole := rapid.IntRange(0, 1).Draw(t, "range"), rapid.Bool().Draw(t, "whole"); whole {
						f.RangeSent(now, id, r)
					} else {
						f.RangeInterrupted(now, id, r)
					}
				}
			case "renew":
				f.Renew(now, id, owner)
			case "cancel":
				f.Cancel(now, id, owner)
			case "tick":
				f.Tick(now)
			}
			for id, n := range executed {
				if n > 1 {
					t.Fatalf("%s was executed %d times", id, n)
				}
			}
			n, bytes := f.Len()
			total, count := int64(0), map[string]int{}
			for _, x := range f.flights {
				total += x.bytes
				count[x.owner]++
			}
			if n > 5 || bytes > 50 || total != bytes || count["a"] > 3 || count["b"] > 3 || count["a"] != f.perOwner["a"] {
				t.Fatalf("%d flights, %d bytes (%d recounted), flights by owner %v", n, bytes, total, count)
			}
		}
	})
}

// TestSessions checks that options are validated one by one, that only its owner can use a session, and that sessions are limited and
// expire.
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
	if _, err := s.Options(at(3), "a", "me"); errorName(err) != "unknown" {
		t.Errorf("options of the oldest of three sessions with a limit of two: error %v, want ErrUnknown", err)
	}
	invalid, err := s.Set(at(3), "b", "me", map[string]string{"codec": "gzip", "batch": "0", "other": "1"})
	if err != nil || len(invalid) != 3 {
		t.Errorf("invalid options %v, error %v", invalid, err)
	}
	invalid, err = s.Set(at(3), "b", "me", map[string]string{"codec": "zstd", "batch": "7", "other": "1"})
	got, _ := s.Options(at(3), "b", "me")
	if diff := cmp.Diff(map[string]string{"codec": "zstd", "batch": "7"}, got); diff != "" || err != nil || len(invalid) != 1 {
		t.Errorf("invalid options %v, error %v (-want +got)\n%s", invalid, err, diff)
	}
	s.Set(at(3), "b", "me", map[string]string{"batch": ""})
	if got, _ := s.Options(at(3), "b", "me"); len(got) != 1 {
		t.Errorf("options after one was removed: %v", got)
	}
	if _, err := s.Options(at(3), "b", "other"); errorName(err) != "other-owner" {
		t.Errorf("options for another owner: error %v, want ErrOtherOwner", err)
	}
	if err := s.Close(at(3), "b", "other"); errorName(err) != "other-owner" {
		t.Errorf("close by another owner: error %v, want ErrOtherOwner", err)
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
	if err := s.Open(at(4), "w", "fourth"); errorName(err) != "full" {
		t.Errorf("open beyond MaxSessions: error %v, want ErrFull", err)
	}
	if s.Tick(at(700)); s.Len() != 0 {
		t.Errorf("%d sessions are open after IdleTimeout", s.Len())
	}
}

package gossip

// Tests of the encoding, the keyring, and two coordinators on loopback.

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/observations"
	"gullfall/internal/swim"
)

var sample = swim.Update{Name: "n1", Addr: "127.0.0.1:7946", Process: 1 << 60, Incarnation: 300, State: swim.Suspect, By: "n2"}

func messages() []*swim.Message {
	return []*swim.Message{
		{Kind: swim.Ping, Seq: 7, From: sample, Target: "n2"},
		{Kind: swim.PingReq, Seq: 1<<32 - 1, From: sample, Target: "n3", Addr: "127.0.0.3:1"},
		{Kind: swim.Ack, From: sample, Via: "n4", Updates: []swim.Update{sample, {Name: "x", Addr: "y", State: swim.Left}},
			Links: []swim.Link{{From: "a", To: "b", By: "a", Version: 1<<32 - 1, Cut: true}, {From: "b", To: "a", By: "a"}}},
		{Kind: swim.Nack, From: sample},
		{Kind: swim.Reject, From: sample, Reason: strings.Repeat("r", 255)},
	}
}

// TestMessageEncoding checks that messages survive a round trip within their predicted size, and that truncated and extended
// encodings are rejected.
func TestMessageEncoding(t *testing.T) {
	for _, m := range messages() {
		raw := AppendMessage(nil, m)
		got, _, err := Decode(raw)
		if diff := cmp.Diff(m, got); err != nil || diff != "" {
			t.Errorf("error %v (-want +got)\n%s", err, diff)
		}
		if len(raw) > m.Size() {
			t.Errorf("%d bytes, more than the predicted %d", len(raw), m.Size())
		}
		for n := range raw {
			if _, _, err := Decode(raw[:n]); !errors.Is(err, errMalformed) {
				t.Errorf("truncated at %d of %d bytes: error %v", n, len(raw), err)
			}
		}
		if _, _, err := Decode(append(raw, 0)); !errors.Is(err, errMalformed) {
			t.Errorf("one extra byte: error %v", err)
		}
	}
	full := &swim.FullState{From: sample, Reply: true, RejectReason: "why", Members: []swim.Update{sample}, Links: []swim.Link{{From: "a", To: "b", By: "b", Cut: true}}}
	raw := AppendFull(nil, full)
	_, got, err := Decode(raw)
	if diff := cmp.Diff(full, got); err != nil || diff != "" || len(raw) > full.Size() {
		t.Errorf("error %v, %d bytes of %d (-want +got)\n%s", err, len(raw), full.Size(), diff)
	}
}

func someFacts(n int) (facts []observations.Fact) {
	for i := range n {
		facts = append(facts, observations.Fact{Node: fmt.Sprint("node-", i), Field: observations.Field(i % 5), Stamp: observations.Stamp{Physical: 1_700_000_000_000, Logical: uint32(i), Coordinator: "n0"},
			Age: time.Duration(i) * time.Millisecond, Value: 0.25})
	}
	return facts
}

// TestFactsEncoding checks that facts survive a round trip, as many as fit into a packet, that truncated and extended encodings are
// rejected, and that an age is never rounded down.
func TestFactsEncoding(t *testing.T) {
	facts := someFacts(100)
	raw, n := AppendFacts(nil, facts)
	got, err := DecodeFacts(raw)
	if diff := cmp.Diff(facts[:n], got); err != nil || diff != "" || n < 20 || len(raw)+sealOverhead > maxPacketBytes {
		t.Errorf("error %v, %d facts in %d bytes (-want +got)\n%s", err, n, len(raw), diff)
	}
	for i := range raw {
		if _, err := DecodeFacts(raw[:i]); !errors.Is(err, errMalformed) {
			t.Fatalf("truncated at %d of %d bytes: error %v", i, len(raw), err)
		}
	}
	if _, err := DecodeFacts(append(raw, 0)); !errors.Is(err, errMalformed) {
		t.Errorf("one extra byte: error %v", err)
	}
	short := facts[:1]
	short[0].Age = 1500 * time.Microsecond
	raw, _ = AppendFacts(nil, short)
	if got, err := DecodeFacts(raw); err != nil || got[0].Age != 2*time.Millisecond {
		t.Errorf("age of 1.5 ms: got %v, error %v", got, err)
	}
}

// FuzzDecodeFacts checks that any input is either rejected or decodes to facts that survive a round trip.
func FuzzDecodeFacts(f *testing.F) {
	raw, _ := AppendFacts(nil, someFacts(3))
	f.Add(raw)
	f.Add([]byte{kindFacts, 0xff, 0xff, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		facts, err := DecodeFacts(raw)
		if err != nil || len(facts) == 0 {
			return
		}
		for i := range facts {
			if facts[i].Value != facts[i].Value {
				return // NaN is not equal to itself
			}
		}
		again, n := AppendFacts(nil, facts)
		if got, err := DecodeFacts(again); err != nil || cmp.Diff(facts[:n], got) != "" {
			t.Fatalf("error %v\n%s", err, cmp.Diff(facts[:n], got))
		}
	})
}

// FuzzDecode checks that any input is either rejected or decodes to a message that survives a round trip. Decode never allocates for
// an impossible count.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		f.Add(AppendMessage(nil, m))
	}
	f.Add(AppendFull(nil, &swim.FullState{From: sample, Members: []swim.Update{sample}}))
	f.Add([]byte{kindFull, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, full, err := Decode(raw)
		switch {
		case err != nil && (m != nil || full != nil):
			t.Fatal("got both an error and a message")
		case m != nil:
			again, _, err := Decode(AppendMessage(nil, m))
			if diff := cmp.Diff(m, again); err != nil || diff != "" {
				t.Fatalf("error %v\n%s", err, diff)
			}
		case full != nil:
			_, again, err := Decode(AppendFull(nil, full))
			if diff := cmp.Diff(full, again); err != nil || diff != "" {
				t.Fatalf("error %v\n%s", err, diff)
			}
		}
	})
}

func key(id byte, c string) Key { return Key{ID: id, Secret: []byte(strings.Repeat(c, 16))} }

func newTestKeyring(t *testing.T, fleet string, process uint64, keys ...Key) *keyring {
	t.Helper()
	r, err := newKeyring(fleet, process, keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSealAndOpen checks which packets are opened. Keys are rotated by adding the new one, sealing with it, and removing the old
// one. Packets of another fleet or version, corrupt packets and repeated packets are rejected.
func TestSealAndOpen(t *testing.T) {
	from := newTestKeyring(t, "f", 1, key(1, "a"))
	raw := from.seal([]byte("hello"))
	for _, c := range []struct {
		name    string
		fleet   string
		keys    []Key
		corrupt func([]byte)
		want    error
	}{
		{"the same key", "f", []Key{key(1, "a")}, nil, nil},
		{"a new key seals, the old one opens", "f", []Key{key(2, "b"), key(1, "a")}, nil, nil},
		{"the old key is removed", "f", []Key{key(2, "b")}, nil, errSeal},
		{"another secret with the same id", "f", []Key{key(1, "c")}, nil, errSeal},
		{"another fleet", "g", []Key{key(1, "a")}, nil, errSeal},
		{"another version", "f", []Key{key(1, "a")}, func(b []byte) { b[0]++ }, errVersion},
		{"a corrupt byte", "f", []Key{key(1, "a")}, func(b []byte) { b[len(b)-1]++ }, errSeal},
	} {
		b := append([]byte(nil), raw...)
		if c.corrupt != nil {
			c.corrupt(b)
		}
		to := newTestKeyring(t, c.fleet, 2, c.keys...)
		got, err := to.open(b)
		if !errors.Is(err, c.want) || c.want == nil && string(got) != "hello" {
			t.Errorf("%s: %q, error %v, want %v", c.name, got, err, c.want)
		}
		if _, err := to.open(b); err == nil {
			t.Errorf("%s: opened twice", c.name)
		}
	}
	if _, err := newKeyring("f", 1, []Key{{ID: 1, Secret: []byte("short")}}); err == nil || strings.Contains(err.Error(), "short") {
		t.Errorf("a short key: %v", err)
	}
}

// TestReplay checks that packets are accepted in any order within a window of 64, each once, and that older ones are rejected.
func TestReplay(t *testing.T) {
	from, to := newTestKeyring(t, "f", 1, key(1, "a")), newTestKeyring(t, "f", 2, key(1, "a"))
	var sent [][]byte
	for range 100 {
		sent = append(sent, from.seal(nil))
	}
	for _, c := range []struct {
		n  int
		ok bool
	}{{50, true}, {40, true}, {50, false}, {99, true}, {36, true}, {35, false}, {98, true}, {98, false}, {40, false}} {
		if _, err := to.open(sent[c.n]); (err == nil) != c.ok {
			t.Errorf("packet %d: error %v, want accepted %v", c.n, err, c.ok)
		}
	}
}

// TestTwoCoordinators checks that two coordinators find each other through a seed, share observations, count and drop foreign
// packets, and stay connected while keys are rotated, that one learns of the other's departure, and that Close ends all goroutines.
func TestTwoCoordinators(t *testing.T) {
	freeAddr := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	seed := freeAddr()
	start := func(name, addr string, keys ...Key) *Gossip {
		g, err := Start(Options{Fleet: "f", Keys: keys, Log: slog.New(slog.DiscardHandler),
			Swim: swim.Config{Self: name, Addr: addr, Process: uint64(name[0]), Seeds: []string{seed}, Period: 50 * time.Millisecond, MaxPause: 500 * time.Millisecond}})
		if err != nil {
			t.Fatal(err)
		}
		return g
	}
	a, b := start("a", seed, key(1, "a")), start("b", freeAddr(), key(1, "a"))
	defer a.Close()
	state := func(g *Gossip, name string) (s string) {
		g.View(func(v *swim.Swim) {
			if held, known := v.State(name); known {
				s = held.String()
			}
		})
		return s
	}
	waitUntil := func(what string, met func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timeout waiting until %s", what)
			}
		}
	}
	waitUntil("each sees the other as alive", func() bool { return state(a, "b") == "alive" && state(b, "a") == "alive" })
	// A failure of a data node that one observes is shared with the other, until a clearly later answer clears it.
	a.Observe("n", observations.Failed, 0)
	a.Observe("n", observations.Utilization, 0.5)
	waitUntil("a failure is shared", func() bool { v := b.Observations("n"); return v.Suspect && v.Utilization == 0.5 })
	time.Sleep(600 * time.Millisecond)
	b.Observe("n", observations.Answered, 0)
	waitUntil("an answer clears the failure", func() bool { return !a.Observations("n").Suspect && !b.Observations("n").Suspect })
	if a.Facts.Rejected.Load()+b.Facts.Rejected.Load() > 0 || b.Facts.Accepted.Load() == 0 {
		t.Errorf("facts accepted %d, rejected %d and %d", b.Facts.Accepted.Load(), a.Facts.Rejected.Load(), b.Facts.Rejected.Load())
	}
	conn, err := net.Dial("udp", seed)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write([]byte(strings.Repeat("x", 100)))
	conn.Write(append([]byte{Version, 1}, make([]byte, 98)...))
	conn.Close()
	waitUntil("foreign packets are counted", func() bool { return a.Drops.Version.Load() == 1 && a.Drops.Unauthenticated.Load() == 1 })
	for _, keys := range [][]Key{{key(1, "a"), key(2, "b")}, {key(2, "b"), key(1, "a")}, {key(2, "b")}} {
		if err := errors.Join(a.SetKeys(keys), b.SetKeys(keys)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if state(a, "b") != "alive" || state(b, "a") != "alive" {
		t.Errorf("after the keys were rotated: %s, %s", state(a, "b"), state(b, "a"))
	}
	b.Leave()
	waitUntil("the departure is known", func() bool { return state(a, "b") == "left" })
	b.Close()
}

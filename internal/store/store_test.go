package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func open(t *testing.T, cfg config.Store, name string) *Store {
	t.Helper()
	s, err := Open(cfg, name, quiet)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// until waits for a member to hold a value.
func until(t *testing.T, s *Store, key, want string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); string(s.Get(key)) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s is %q, never %q", key, s.Get(key), want)
		}
	}
}

// TestSingleMemberWritesLatestValue: alone and in memory, as on the platform, the store takes what it is handed, also before it
// leads, and the latest value of a key wins.
func TestSingleMemberWritesLatestValue(t *testing.T) {
	s := open(t, config.Store{}, "n0")
	defer s.Close()
	for i := range 10 {
		s.Put(EndpointList, fmt.Appendf(nil, "list %d", i))
	}
	s.Put(Settings, []byte("settings"))
	until(t, s, EndpointList, "list 9")
	until(t, s, Settings, "settings")
}

// TestLogIsTrimmed: on a day on which data nodes come and go, each change of the list is an entry; the log must not
// grow with them.
func TestLogIsTrimmed(t *testing.T) {
	s := open(t, config.Store{}, "n0")
	defer s.Close()
	for i := range 200 {
		value := fmt.Sprintf("list %d", i)
		s.Put(EndpointList, []byte(value))
		until(t, s, EndpointList, value)
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		first, _ := s.raftLog.FirstIndex()
		last, _ := s.raftLog.LastIndex()
		if last >= 200 && last-first < 50 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the log holds %d to %d", first, last)
		}
	}
}

// TestAppliedValuesRewrittenAfterFailedWrite: a member that could not write what it applied says so, and goes on.
func TestAppliedValuesRewrittenAfterFailedWrite(t *testing.T) {
	s := open(t, config.Store{Directory: t.TempDir()}, "n0")
	defer s.Close()
	s.Put(EndpointList, []byte("list"))
	until(t, s, EndpointList, "list")
	if !s.Persistent() || !s.Durable() {
		t.Fatal("nothing failed yet")
	}
	closed, err := openDisk(t.TempDir(), quiet)
	if err != nil {
		t.Fatal(err)
	}
	closed.db.Close()
	s.mu.Lock()
	whole := s.disk
	s.disk = closed // its log stays with the first
	s.mu.Unlock()
	s.Put(EndpointList, []byte("list 2"))
	until(t, s, EndpointList, "list 2")
	if s.Durable() {
		t.Error("a write failed, and what is applied counts as kept")
	}
	s.mu.Lock()
	s.disk = whole
	s.mu.Unlock()
	// Once the disk takes writes again, all is written, the value too that failed; what is put wakes that up.
	for n := 0; !s.Durable(); n++ {
		if n > 100 {
			t.Fatal("the disk is whole again, and nothing is written")
		}
		s.Put("other", fmt.Append(nil, n))
		time.Sleep(100 * time.Millisecond)
	}
	restored, err := s.disk.readApplied()
	if err != nil || string(restored.values[EndpointList]) != "list 2" {
		t.Errorf("the disk holds %q, %v", restored.values[EndpointList], err)
	}
}

// TestRestoredAtStart: what a member held on disk can be read as soon as it is opened, before any election.
func TestRestoredAtStart(t *testing.T) {
	cfg := config.Store{Directory: t.TempDir()}
	for round := range 3 {
		s := open(t, cfg, "n0")
		if got, want := string(s.Get(EndpointList)), []string{"", "list 0", "list 1"}[round]; got != want {
			t.Errorf("round %d: restored %q, want %q", round, got, want)
		}
		next := fmt.Sprintf("list %d", round)
		s.Put(EndpointList, []byte(next))
		until(t, s, EndpointList, next)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLostQuorum: three members hold what the leader is told; once two are gone, reads and writes still return
// at once, and the value waits for the quorum to come back.
func TestLostQuorum(t *testing.T) {
	var peers []config.Peer
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, config.Peer{Name: fmt.Sprintf("n%d", i), Addr: ln.Addr().String()})
		ln.Close()
	}
	member := func(i int, dir string) *Store {
		return open(t, config.Store{Directory: dir, Listen: peers[i].Addr, Peer: peers}, peers[i].Name)
	}
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var all []*Store
	for i := range peers {
		all = append(all, member(i, dirs[i]))
	}
	put := func(value string) {
		for _, s := range all {
			s.Put(EndpointList, []byte(value)) // each coordinator hears the same list
		}
	}
	put("before")
	for _, s := range all {
		until(t, s, EndpointList, "before")
	}
	all[1].Close()
	all[2].Close()
	start := time.Now()
	all[0].Put(EndpointList, []byte("after"))
	if got := string(all[0].Get(EndpointList)); got != "before" || time.Since(start) > time.Second {
		t.Errorf("without a quorum: %q after %v", got, time.Since(start))
	}
	all[1] = member(1, dirs[1])
	all[1].Put(EndpointList, []byte("after"))
	until(t, all[0], EndpointList, "after")
	until(t, all[1], EndpointList, "after")
	all[0].Close()
	all[1].Close()
}

// fleetOf opens three members with a vote and one learner, each with a disk of its own.
func fleetOf(t *testing.T) (all []*Store, reopen func(i int)) {
	return fleetWith(t, config.Store{}, quiet)
}

// fleetWith is fleetOf with figures and a log of the test's own.
func fleetWith(t *testing.T, cfg config.Store, log *slog.Logger) (all []*Store, reopen func(i int)) {
	t.Helper()
	var peers []config.Peer
	var dirs []string
	for i := range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, config.Peer{Name: fmt.Sprintf("n%d", i), Addr: ln.Addr().String(), Learner: i == 3})
		dirs = append(dirs, t.TempDir())
		ln.Close()
	}
	all = make([]*Store, 4)
	reopen = func(i int) {
		cfg.Directory, cfg.Listen, cfg.Peer, cfg.Heartbeat = dirs[i], peers[i].Addr, peers, config.Span(300*time.Millisecond)
		s, err := Open(cfg, peers[i].Name, log)
		if err != nil {
			t.Fatal(err)
		}
		all[i] = s
	}
	for i := range all {
		reopen(i)
	}
	return all, reopen
}

// TestForwardedCommandAppliedOnce: every member, the learner too, counts the same value up by compare-and-set while leaders are closed and
// opened anew; each step that was told done, and no other, is in the sum.
func TestForwardedCommandAppliedOnce(t *testing.T) {
	all, reopen := fleetOf(t)
	var mu sync.Mutex // guards all
	at := func(i int) *Store {
		mu.Lock()
		defer mu.Unlock()
		return all[i]
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(60*time.Second))
	defer cancel()
	var done, unknown atomic.Int64
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := 0; n < 15 && ctx.Err() == nil; {
				s := at(i)
				one, end := context.WithDeadline(ctx, time.Now().Add(5*time.Second))
				if s.Sync(one) == nil {
					var e statemachine.Entry
					s.View(func(st *statemachine.State) { e, _ = st.Get("sum") })
					sum := 0
					fmt.Sscan(string(e.Value), &sum)
					r, err := s.Do(one, statemachine.Command{If: []statemachine.Condition{{Key: "sum", Revision: e.Revision}}, Put: []statemachine.Pair{{Key: "sum", Value: fmt.Append(nil, sum+1)}}})
					switch {
					case err != nil:
						unknown.Add(1)
					case r.Failed == "":
						done.Add(1)
						n++
					}
				} else {
					time.Sleep(10 * time.Millisecond)
				}
				end()
			}
		})
	}
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		for i := range 3 {
			if s := at(i); s.Status().State == "Leader" {
				s.Close()
				time.Sleep(100 * time.Millisecond)
				mu.Lock()
				reopen(i)
				mu.Unlock()
				break
			}
		}
	}
	wg.Wait()
	if err := at(3).Sync(ctx); err != nil {
		t.Fatal(err)
	}
	sum := int64(0)
	fmt.Sscan(string(at(3).Get("sum")), &sum)
	if sum < done.Load() || sum > done.Load()+unknown.Load() || done.Load() != 60 {
		t.Errorf("the sum is %d; %d steps were told done, of %d it is not known", sum, done.Load(), unknown.Load())
	}
	for _, s := range all {
		s.Close()
	}
}

// TestMembersChange: a member that is gone for good is taken out, one in its place joins as a learner and gets its vote once it
// has caught up; what does not fit is refused with the reason, and the values stay.
func TestMembersChange(t *testing.T) {
	all, _ := fleetOf(t)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(60*time.Second))
	defer cancel()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	r, err := all[3].Do(ctx, statemachine.Command{Put: []statemachine.Pair{{Key: "k", Value: []byte("v")}}})
	must(errors.Join(err, r.Err()))
	must(all[0].Close())
	all[0] = nil
	for _, c := range []struct {
		from int
		c    MemberChange
		want string
	}{
		{3, MemberChange{Remove, "n9", ""}, "no member \"n9\""},
		{1, MemberChange{AddLearner, "n2", "127.0.0.1:1"}, "\"n2\" is a member already"},
		{1, MemberChange{AddLearner, "n4", "nowhere"}, "a member needs a name and an address"},
		{1, MemberChange{GiveVote, "", ""}, "\"n1\" is no learner"},
		{1, MemberChange{"paint", "n2", ""}, "is no change of a member"},
	} {
		if err := all[c.from].Change(ctx, c.c); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.c, err, c.want)
		}
	}
	must(all[3].Change(ctx, MemberChange{What: Remove, Name: "n0"}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	addr := ln.Addr().String()
	ln.Close()
	must(all[2].Change(ctx, MemberChange{AddLearner, "n4", addr}))
	peers := []config.Peer{{Name: "n4", Addr: addr, Learner: true}}
	for name, at := range all[1].Status().Addrs {
		if name != "n4" {
			peers = append(peers, config.Peer{Name: name, Addr: at, Learner: all[1].Status().Peers[name] != "voter"})
		}
	}
	fresh := open(t, config.Store{Directory: t.TempDir(), Listen: addr, Peer: peers, Heartbeat: config.Span(300 * time.Millisecond)}, "n4")
	all = append(all, fresh)
	must(fresh.Change(ctx, MemberChange{What: GiveVote}))
	until(t, fresh, "k", "v")
	want := map[string]string{"n1": "voter", "n2": "voter", "n3": "nonvoter", "n4": "voter"}
	for _, i := range []int{1, 3, 4} {
		for end := time.Now().Add(20 * time.Second); !maps.Equal(all[i].Status().Peers, want); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("member %d holds %v for the members, want %v", i, all[i].Status().Peers, want)
			}
		}
	}
	for _, s := range all {
		if s != nil {
			must(s.Close())
		}
	}
}

// TestCatchUp: a member that was away is sent the entries it missed while they are kept, and a snapshot at a bounded pace once they
// are not; meanwhile it shows what it had, and the others go on.
func TestCatchUp(t *testing.T) {
	var lines syncBuffer
	const pace = 1 << 20
	all, reopen := fleetWith(t, config.Store{CatchUp: pace}, slog.New(slog.NewTextHandler(&lines, nil)))
	defer func() {
		for _, s := range all {
			s.Close()
		}
	}()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(90*time.Second))
	defer cancel()
	put := func(n int, value []byte) {
		t.Helper()
		for i := range n {
			r, err := all[0].Do(ctx, statemachine.Command{Put: []statemachine.Pair{{Key: fmt.Sprint("k", i%8), Value: value}}})
			if err := errors.Join(err, r.Err()); err != nil {
				t.Fatal(err)
			}
		}
	}
	away := func() uint64 {
		t.Helper()
		if err := all[3].Close(); err != nil {
			t.Fatal(err)
		}
		return all[3].Status().Index
	}
	put(8, []byte("first"))
	away()
	put(300, []byte("second"))  // more than were kept whatever their size
	time.Sleep(6 * time.Second) // by then the library's own pauses are 5 s long
	back := time.Now()
	reopen(3)
	until(t, all[3], "k7", "second")
	if took := time.Since(back); took > 3*time.Second {
		t.Errorf("caught up with 300 entries within %v", took)
	}
	if strings.Contains(lines.String(), "sends a snapshot") {
		t.Error("a member that missed 300 short entries was sent a snapshot")
	}
	at := away()
	long := bytes.Repeat([]byte("x"), 300_000)
	put(64, long)
	for ctx.Err() == nil { // until no leader can go on from there
		kept := false
		for _, s := range all[:3] {
			first, _ := s.raftLog.FirstIndex()
			kept = kept || first <= at+1
		}
		if !kept {
			break
		}
		put(1, long)
		time.Sleep(100 * time.Millisecond)
	}
	start := time.Now()
	reopen(3)
	if got := string(all[3].Get("k7")); got != "second" {
		t.Errorf("it starts with %d bytes under k7, want what it had", len(got))
	}
	for len(all[3].Get("k7")) != len(long) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(start)
	if !strings.Contains(lines.String(), "sends a snapshot") || ctx.Err() != nil {
		t.Fatalf("no snapshot was sent, or it did not arrive: %v", ctx.Err())
	}
	// Eight values of 300,000 bytes are 3.2 MB as they are written; one part goes ahead of the pace.
	if least := time.Duration(3_200_000-defaultPartSize) * time.Second / pace; took < least {
		t.Errorf("caught up within %v, faster than %v", took, least)
	}
	t.Logf("caught up within %v", took)
}

// syncBuffer takes a log's lines in from any goroutine.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestRecover: with two votes of three gone for good the third goes on alone on an operator's word, with all that it had; not while it
// runs, and not from nothing.
func TestRecover(t *testing.T) {
	var peers []config.Peer
	var cfgs []config.Store
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peers = append(peers, config.Peer{Name: fmt.Sprintf("n%d", i), Addr: ln.Addr().String()})
		ln.Close()
	}
	var all []*Store
	for i := range peers {
		cfgs = append(cfgs, config.Store{Directory: t.TempDir(), Listen: peers[i].Addr, Peer: peers, Heartbeat: config.Span(300 * time.Millisecond)})
		all = append(all, open(t, cfgs[i], peers[i].Name))
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(60*time.Second))
	defer cancel()
	for i := range 50 { // enough for a snapshot beside the log
		r, err := all[i%3].Do(ctx, statemachine.Command{Put: []statemachine.Pair{{Key: "k", Value: fmt.Append(nil, i)}}})
		if err := errors.Join(err, r.Err()); err != nil {
			t.Fatal(err)
		}
	}
	until(t, all[2], "k", "49")
	if _, err := Recover(cfgs[2], "n2", quiet); err == nil || !strings.Contains(err.Error(), "end the coordinator") {
		t.Errorf("while it runs: %v", err)
	}
	for _, s := range all {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Recover(config.Store{Directory: t.TempDir(), Listen: peers[0].Addr}, "n0", quiet); err == nil || !strings.Contains(err.Error(), "holds no store") {
		t.Errorf("from nothing: %v", err)
	}
	if _, err := Recover(cfgs[2], "n2", quiet); err != nil {
		t.Fatal(err)
	}
	s := open(t, cfgs[2], "n2")
	defer s.Close()
	r, err := s.Do(ctx, statemachine.Command{Put: []statemachine.Pair{{Key: "after", Value: []byte("alone")}}})
	if err := errors.Join(err, r.Err()); err != nil {
		t.Fatal(err)
	}
	until(t, s, "k", "49")
	until(t, s, "after", "alone")
	if d := s.Status().Peers; len(d) != 1 || d["n2"] != "voter" {
		t.Errorf("members: %v", d)
	}
}

// TestCloseUnderLoad: a leader that is closed while others put commands to it ends at once, whatever it has taken in and not begun.
func TestCloseUnderLoad(t *testing.T) {
	for range 4 {
		all, _ := fleetOf(t)
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(60*time.Second))
		var leader *Store
		for leader == nil && ctx.Err() == nil {
			for _, s := range all {
				if s.Status().State == "Leader" {
					leader = s
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		var wg sync.WaitGroup
		working, stop := context.WithCancel(ctx)
		for _, s := range all {
			for range 40 {
				wg.Go(func() {
					for working.Err() == nil {
						one, end := context.WithDeadline(working, time.Now().Add(2*time.Second))
						s.Do(one, statemachine.Command{Put: []statemachine.Pair{{Key: "k", Value: []byte("v")}}})
						end()
					}
				})
			}
		}
		time.Sleep(300 * time.Millisecond)
		closed := make(chan error, 1)
		go func() { closed <- leader.Close() }()
		select {
		case err := <-closed:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(15 * time.Second):
			t.Error("the leader does not end")
		}
		stop()
		wg.Wait()
		for _, s := range all {
			if s != leader {
				s.Close()
			}
		}
		cancel()
		if t.Failed() {
			return
		}
	}
}

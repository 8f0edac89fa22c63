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

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func open(t *testing.T, cfg config.Store, name string) *Store {
	t.Helper()
	s, err := Open(cfg, name, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// waitForValue waits until a member holds a value.
func waitForValue(t *testing.T, s *Store, key, want string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); string(s.Get(key)) != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s is %q, never %q", key, s.Get(key), want)
		}
	}
}

// TestSingleMemberWritesLatestValue checks that a single member without a directory, whose log is in memory, accepts values also
// before it leads, and keeps the latest value of each key.
func TestSingleMemberWritesLatestValue(t *testing.T) {
	s := open(t, config.Store{}, "n0")
	defer s.Close()
	for i := range 10 {
		s.Put(EndpointList, fmt.Appendf(nil, "list %d", i))
	}
	s.Put(Settings, []byte("settings"))
	waitForValue(t, s, EndpointList, "list 9")
	waitForValue(t, s, Settings, "settings")
}

// TestLogIsTrimmed checks that the log stays short when data nodes come and go and each change of the list is an entry.
func TestLogIsTrimmed(t *testing.T) {
	s := open(t, config.Store{}, "n0")
	defer s.Close()
	for i := range 200 {
		value := fmt.Sprintf("list %d", i)
		s.Put(EndpointList, []byte(value))
		waitForValue(t, s, EndpointList, value)
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

// TestAppliedValuesRewrittenAfterFailedWrite checks that a member that could not write what it applied reports it, goes on, and
// writes all values again once the disk accepts writes.
func TestAppliedValuesRewrittenAfterFailedWrite(t *testing.T) {
	s := open(t, config.Store{Directory: t.TempDir()}, "n0")
	defer s.Close()
	s.Put(EndpointList, []byte("list"))
	waitForValue(t, s, EndpointList, "list")
	if !s.Persistent() || !s.Durable() {
		t.Fatal("not durable before any write failed")
	}
	closed, err := openDisk(t.TempDir(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	closed.db.Close()
	s.mu.Lock()
	original := s.disk
	s.disk = closed // raft's log stays on the first disk
	s.mu.Unlock()
	s.Put(EndpointList, []byte("list 2"))
	waitForValue(t, s, EndpointList, "list 2")
	if s.Durable() {
		t.Error("durable after a failed write")
	}
	s.mu.Lock()
	s.disk = original
	s.mu.Unlock()
	// Once the disk accepts writes again, the next put triggers a rewrite of all values, including the one that failed.
	for n := 0; !s.Durable(); n++ {
		if n > 100 {
			t.Fatal("the values are not rewritten although the disk accepts writes again")
		}
		s.Put("other", fmt.Append(nil, n))
		time.Sleep(100 * time.Millisecond)
	}
	restored, err := s.disk.readApplied()
	if err != nil || string(restored.values[EndpointList]) != "list 2" {
		t.Errorf("the disk holds %q, %v", restored.values[EndpointList], err)
	}
}

// TestRestoredAtStart checks that what a member held on disk is readable as soon as it is opened, before any election.
func TestRestoredAtStart(t *testing.T) {
	cfg := config.Store{Directory: t.TempDir()}
	for round := range 3 {
		s := open(t, cfg, "n0")
		if got, want := string(s.Get(EndpointList)), []string{"", "list 0", "list 1"}[round]; got != want {
			t.Errorf("round %d: restored %q, want %q", round, got, want)
		}
		next := fmt.Sprintf("list %d", round)
		s.Put(EndpointList, []byte(next))
		waitForValue(t, s, EndpointList, next)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLostQuorum stops two of three members: reads and writes must still return at once, and a value that is put meanwhile must be
// written once the quorum is back.
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
			s.Put(EndpointList, []byte(value)) // each coordinator discovers the same list
		}
	}
	put("before")
	for _, s := range all {
		waitForValue(t, s, EndpointList, "before")
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
	waitForValue(t, all[0], EndpointList, "after")
	waitForValue(t, all[1], EndpointList, "after")
	all[0].Close()
	all[1].Close()
}

// openCluster opens three voters and one learner, each with its own disk.
func openCluster(t *testing.T) (all []*Store, reopen func(i int)) {
	return openClusterWith(t, config.Store{}, discardLog)
}

// openClusterWith is like openCluster, with settings and a logger.
func openClusterWith(t *testing.T, cfg config.Store, log *slog.Logger) (all []*Store, reopen func(i int)) {
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

// TestForwardedCommandAppliedOnce has all members, including the learner, increment one value by compare-and-set while leaders are
// closed and reopened. The sum must count every acknowledged increment once, and none that was rejected.
func TestForwardedCommandAppliedOnce(t *testing.T) {
	all, reopen := openCluster(t)
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
				callCtx, cancelCall := context.WithDeadline(ctx, time.Now().Add(5*time.Second))
				if s.Sync(callCtx) == nil {
					var e statemachine.Entry
					s.View(func(st *statemachine.State) { e, _ = st.Get("sum") })
					sum := 0
					fmt.Sscan(string(e.Value), &sum)
					r, err := s.Do(callCtx, statemachine.Command{Conditions: []statemachine.Condition{{Key: "sum", Revision: e.Revision}}, Put: []statemachine.Pair{{Key: "sum", Value: fmt.Append(nil, sum+1)}}})
					switch {
					case err != nil:
						unknown.Add(1)
					case r.Cause == "":
						done.Add(1)
						n++
					}
				} else {
					time.Sleep(10 * time.Millisecond)
				}
				cancelCall()
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
		t.Errorf("the sum is %d; %d increments were acknowledged, the outcome of %d is unknown", sum, done.Load(), unknown.Load())
	}
	for _, s := range all {
		s.Close()
	}
}

// TestMembersChange removes a permanently lost member and adds a replacement as a learner, which gets its vote once it has caught
// up. Invalid changes must be rejected with the reason, and the values must stay.
func TestMembersChange(t *testing.T) {
	all, _ := openCluster(t)
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
	for name, addr := range all[1].Status().Addrs {
		if name != "n4" {
			peers = append(peers, config.Peer{Name: name, Addr: addr, Learner: all[1].Status().Peers[name] != "voter"})
		}
	}
	added := open(t, config.Store{Directory: t.TempDir(), Listen: addr, Peer: peers, Heartbeat: config.Span(300 * time.Millisecond)}, "n4")
	all = append(all, added)
	must(added.Change(ctx, MemberChange{What: GiveVote}))
	waitForValue(t, added, "k", "v")
	want := map[string]string{"n1": "voter", "n2": "voter", "n3": "nonvoter", "n4": "voter"}
	for _, i := range []int{1, 3, 4} {
		for end := time.Now().Add(20 * time.Second); !maps.Equal(all[i].Status().Peers, want); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("member %d lists the members %v, want %v", i, all[i].Status().Peers, want)
			}
		}
	}
	for _, s := range all {
		if s != nil {
			must(s.Close())
		}
	}
}

// TestCatchUp restarts a member that was down: it must be sent the entries that it missed while they are retained, and otherwise a
// snapshot at the configured rate. Until that arrives it must show its old values.
func TestCatchUp(t *testing.T) {
	var lines syncBuffer
	const pace = 1 << 20
	all, reopen := openClusterWith(t, config.Store{CatchUp: pace}, slog.New(slog.NewTextHandler(&lines, nil)))
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
	closeLearner := func() uint64 {
		t.Helper()
		if err := all[3].Close(); err != nil {
			t.Fatal(err)
		}
		return all[3].Status().Index
	}
	put(8, []byte("first"))
	closeLearner()
	put(300, []byte("second"))  // more than minTrailing, so they are retained only because they are short
	time.Sleep(6 * time.Second) // by then the raft library alone would wait 5 s between attempts to send entries; retryingTransport must not
	reopened := time.Now()
	reopen(3)
	waitForValue(t, all[3], "k7", "second")
	if took := time.Since(reopened); took > 3*time.Second {
		t.Errorf("took %v to catch up with 300 entries, want at most 3s", took)
	}
	if strings.Contains(lines.String(), "sends a snapshot") {
		t.Error("a member that missed 300 short entries was sent a snapshot")
	}
	lastIndex := closeLearner()
	long := bytes.Repeat([]byte("x"), 300_000)
	put(64, long)
	for ctx.Err() == nil { // until no member retains the entries that the learner misses
		kept := false
		for _, s := range all[:3] {
			first, _ := s.raftLog.FirstIndex()
			kept = kept || first <= lastIndex+1
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
		t.Errorf("k7 has %d bytes after the restart, want its old value", len(got))
	}
	for len(all[3].Get("k7")) != len(long) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(start)
	if !strings.Contains(lines.String(), "sends a snapshot") || ctx.Err() != nil {
		t.Fatalf("no snapshot was sent, or it did not arrive: %v", ctx.Err())
	}
	// Eight values of 300,000 bytes are 3.2 MB when encoded; the limiter passes one chunk of defaultPartSize bytes without
	// delay.
	if least := time.Duration(3_200_000-defaultPartSize) * time.Second / pace; took < least {
		t.Errorf("caught up within %v, faster than the %v that the rate allows", took, least)
	}
	t.Logf("caught up within %v", took)
}

// syncBuffer is a buffer for log lines that any goroutine may write to.
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

// TestRecover recovers the third member after two of three voters are permanently lost: it must go on alone with all its values.
// Recovery must fail while the member runs, and on an empty directory.
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
	waitForValue(t, all[2], "k", "49")
	if _, err := Recover(cfgs[2], "n2", discardLog); err == nil || !strings.Contains(err.Error(), "stop the coordinator") {
		t.Errorf("recovery of a running member: %v", err)
	}
	for _, s := range all {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Recover(config.Store{Directory: t.TempDir(), Listen: peers[0].Addr}, "n0", discardLog); err == nil || !strings.Contains(err.Error(), "holds no store") {
		t.Errorf("recovery of an empty directory: %v", err)
	}
	if _, err := Recover(cfgs[2], "n2", discardLog); err != nil {
		t.Fatal(err)
	}
	s := open(t, cfgs[2], "n2")
	defer s.Close()
	r, err := s.Do(ctx, statemachine.Command{Put: []statemachine.Pair{{Key: "after", Value: []byte("alone")}}})
	if err := errors.Join(err, r.Err()); err != nil {
		t.Fatal(err)
	}
	waitForValue(t, s, "k", "49")
	waitForValue(t, s, "after", "alone")
	if d := s.Status().Peers; len(d) != 1 || d["n2"] != "voter" {
		t.Errorf("members: %v", d)
	}
}

// TestCloseUnderLoad closes a leader while others send it commands: Close must return promptly although commands are still queued.
func TestCloseUnderLoad(t *testing.T) {
	for range 4 {
		all, _ := openCluster(t)
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
						callCtx, cancelCall := context.WithDeadline(working, time.Now().Add(2*time.Second))
						s.Do(callCtx, statemachine.Command{Put: []statemachine.Pair{{Key: "k", Value: []byte("v")}}})
						cancelCall()
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
			t.Error("Close of the leader does not return")
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

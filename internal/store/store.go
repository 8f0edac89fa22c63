// Package store keeps the coordinators' shared state in a small replicated store: configuration, the last known list of data
// nodes, and, where coordinators may talk, what they settle among themselves (internal/statemachine). It owns its log and its
// members' connections. Serving waits for none of it: Put is handed over and made when there is a leader, Get sees what this
// member has applied, and a lost quorum stops neither. Do and Sync are for what has to be settled; they end with their
// deadline. It must never say that something was done which may be undone.
package store

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

// The keys that are kept.
const (
	Settings = "settings"
	Members  = "members"
)

// Store is one member.
type Store struct {
	log  *slog.Logger
	name string
	raft *raft.Raft
	// running is raft once it has begun, for what it calls itself.
	running atomic.Pointer[raft.Raft]
	logs    raft.LogStore
	disk    *disk  // nil where all is kept in memory
	layer   *layer // nil where it is alone
	start   time.Time
	skew    float64 // of clock
	writer  string
	number  atomic.Uint64

	mu      sync.Mutex
	state   *statemachine.State
	torn    bool              // a write to the disk has failed: what is there is older than what is applied
	tried   time.Time         // when the last one did
	boot    map[string][]byte // as this member had applied it before its start, up to bootAt
	bootAt  uint64
	want    map[string][]byte // to be written, the latest of each key
	changed chan struct{}     // closed when something is applied
	wake    chan struct{}
	ended   chan struct{}
}

// Open starts the member called name; what it had applied on disk can be read at once.
func Open(cfg config.Store, name string, log *slog.Logger) (*Store, error) {
	s := &Store{log: log, name: name, start: time.Now(), skew: cfg.Skew, state: statemachine.New(), want: map[string][]byte{}, wake: make(chan struct{}, 1), changed: make(chan struct{}),
		ended: make(chan struct{})}
	var err error
	var process [6]byte
	if _, err := rand.Read(process[:]); err != nil {
		return nil, err
	}
	s.writer = name + "/" + hex.EncodeToString(process[:])
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(name)
	// Little is kept of the log beside the latest values: each change of the list is an entry of its length. On a disk, by bytes (tune).
	conf.SnapshotInterval, conf.SnapshotThreshold, conf.TrailingLogs = 2*time.Second, 32, 16
	conf.Logger = hclog.New(&hclog.LoggerOptions{Name: "store", Level: hclog.Error, Output: os.Stderr})
	var logs raft.LogStore
	var stable raft.StableStore
	var snapshots raft.SnapshotStore
	if cfg.Directory == "" {
		mem := raft.NewInmemStore()
		logs, stable, snapshots = mem, mem, raft.NewInmemSnapshotStore()
	} else {
		d, err := openDisk(cfg.Directory, log)
		if err != nil {
			return nil, fmt.Errorf("store.directory: %w", err)
		}
		s.disk = d
		if s.boot, s.bootAt, err = d.read(); err != nil {
			return nil, fmt.Errorf("store.directory: %w", err)
		}
		logs, stable, snapshots = d, d, d
	}
	servers := []raft.Server{{ID: conf.LocalID, Address: raft.ServerAddress(name)}}
	var transport raft.Transport
	if cfg.Listen == "" {
		// Nobody is to be waited for: one member leads soon after its start.
		conf.HeartbeatTimeout, conf.ElectionTimeout = 100*time.Millisecond, 100*time.Millisecond
		conf.LeaderLeaseTimeout = 100 * time.Millisecond
		_, transport = raft.NewInmemTransport(raft.ServerAddress(name))
	} else {
		if beat := time.Duration(cfg.Heartbeat); beat > 0 {
			conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = beat, beat, beat/2
		}
		if s.layer, err = listen(cfg, s); err != nil {
			return nil, fmt.Errorf("store.listen: %w", err)
		}
		// What is long under way holds up a log: a few heartbeats; and a snapshot for twice as long as its pace needs.
		within := 2 * conf.HeartbeatTimeout
		wire := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.layer, MaxPool: 2, Timeout: within, Logger: conf.Logger})
		wire.TimeoutScale = max(1, int(cfg.Pace()*within.Seconds()/2))
		transport = &patient{wire, s.leads, s.ended}
		servers = nil
		for _, p := range cfg.Peer {
			server := raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Addr)}
			if p.Learner {
				server.Suffrage = raft.Nonvoter
			}
			servers = append(servers, server)
		}
	}
	known, err := raft.HasExistingState(logs, stable, snapshots)
	if err == nil && !known {
		err = raft.BootstrapCluster(conf, logs, stable, snapshots, transport, raft.Configuration{Servers: servers})
	}
	if err == nil {
		s.raft, err = raft.NewRaft(conf, (*machine)(s), logs, stable, snapshots, transport)
	}
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.logs = logs
	s.running.Store(s.raft)
	if s.disk != nil {
		// A leader reads a snapshot only to send it to a member that is far behind.
		s.disk.pace = func(m *raft.SnapshotMeta) float64 {
			if s.raft.State() != raft.Leader {
				return 0
			}
			s.log.Info("store sends a snapshot to a member that is far behind", "index", m.Index, "bytes", m.Size, "bytes_per_s", cfg.Pace())
			return cfg.Pace()
		}
		s.disk.runs.Store(true)
	}
	if s.layer != nil {
		s.layer.serve()
	}
	go s.write()
	return s, nil
}

// leads tells whether this member leads another in a term.
func (s *Store) leads(term uint64, member raft.ServerID) bool {
	r := s.running.Load()
	if r == nil || r.State() != raft.Leader || r.CurrentTerm() != term {
		return false
	}
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(p raft.Server) bool { return p.ID == member })
}

// Get returns what this member has applied under a key, nil for nothing. Until it has caught up with what it had applied before
// its start, that is what it tells.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Index() < s.bootAt || s.state.Index() == 0 {
		return bytes.Clone(s.boot[key])
	}
	e, _ := s.state.Get(key)
	return bytes.Clone(e.Value)
}

// View lets f read the state as this member has applied it. f must not keep it, nor wait for anything.
func (s *Store) View(f func(*statemachine.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.state)
}

// clock is what leases are counted by: it never jumps while the process runs, and is never compared with another's.
func (s *Store) clock() time.Duration {
	return time.Duration(float64(time.Since(s.start)) * (1 + s.skew))
}

// at is when the clock shows a time.
func (s *Store) at(own time.Duration) time.Time {
	return s.start.Add(time.Duration(float64(own) / (1 + s.skew)))
}

// Changed is closed once something further is applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Persistent tells whether what this member applies is meant to be there after a restart.
func (s *Store) Persistent() bool { return s.disk != nil }

// Durable tells whether it will be: false from a write to the disk that failed until all is written again.
func (s *Store) Durable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.torn
}

// Put hands over a value and returns at once. The leader writes what all share; a key that ends with a member's name is that
// member's own, and is written from wherever it is.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	s.want[key] = bytes.Clone(value)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// retry is the pause before a command is tried again that found no leader.
const retry = 20 * time.Millisecond

// Do has a command logged and applied once, whoever leads, and returns what it came to. An error means that this is not known,
// as ctx ended first; it may be done yet, once.
func (s *Store) Do(ctx context.Context, c statemachine.Command) (statemachine.Result, error) {
	if err := c.Check(); err != nil {
		return statemachine.Result{}, err
	}
	c.ID = statemachine.ID{Writer: s.writer, N: s.number.Add(1)}
	var last error
	for {
		r, err := s.ask(ctx, call{Command: &c})
		if err == nil && r.Failed != statemachine.StaleStamp {
			return r, nil
		}
		if err != nil {
			last = err
		}
		if err := s.pause(ctx); err != nil {
			return statemachine.Result{}, errors.Join(err, last)
		}
	}
}

func (s *Store) pause(ctx context.Context) error {
	timer := time.NewTimer(retry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.ended:
		return errEnded
	case <-timer.C:
		return nil
	}
}

var (
	errEnded    = errors.New("the store has ended")
	errNoLeader = errors.New("the store has no leader")
)

// ask puts a call to the leader, wherever it is.
func (s *Store) ask(ctx context.Context, c call) (statemachine.Result, error) {
	if s.raft.State() == raft.Leader {
		return s.lead(ctx, c)
	}
	addr, id := s.raft.LeaderWithID()
	if addr == "" || s.layer == nil || string(id) == s.name {
		return statemachine.Result{}, errNoLeader
	}
	return s.layer.call(ctx, string(addr), c)
}

// lead serves a call at the leader.
func (s *Store) lead(ctx context.Context, c call) (r statemachine.Result, err error) {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(longest)
	}
	if c.Member != nil {
		return s.changeMember(ctx, *c.Member, end)
	}
	if c.Command == nil {
		if err := s.await(ctx, s.raft.Barrier(time.Until(end))); err != nil {
			return r, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		return statemachine.Result{Index: s.state.Index()}, nil
	}
	// The stamp: the term is read before and after, so that the clock is that of this term's leader while it leads.
	term := s.raft.CurrentTerm()
	if s.raft.State() != raft.Leader || s.raft.CurrentTerm() != term {
		return r, errNoLeader
	}
	stamped := *c.Command
	stamped.At, stamped.LedTerm = s.clock(), term
	data, err := json.Marshal(stamped)
	if err != nil {
		return r, err
	}
	f := s.raft.Apply(data, time.Until(end))
	if err := s.await(ctx, f); err != nil {
		return r, err
	}
	if r, ok = f.Response().(statemachine.Result); !ok {
		return r, fmt.Errorf("the store could not apply it: %v", f.Response())
	}
	return r, nil
}

// await waits for the log's answer until ctx ends or the store does: what the log has taken in and not begun as it is shut down it
// never answers.
func (s *Store) await(ctx context.Context, f raft.Future) error {
	answer := make(chan error, 1)
	go func() { answer <- f.Error() }()
	select {
	case err := <-answer:
		return err
	case <-s.ended:
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sync returns once this member has applied everything that was done before the call, wherever that was.
func (s *Store) Sync(ctx context.Context) error {
	for {
		r, err := s.ask(ctx, call{})
		if err == nil {
			return s.Wait(ctx, r.Index)
		}
		if err2 := s.pause(ctx); err2 != nil {
			return errors.Join(err2, err)
		}
	}
}

// Wait returns once this member has applied the log up to an index.
func (s *Store) Wait(ctx context.Context, index uint64) error {
	for {
		s.mu.Lock()
		at, changed := s.state.Index(), s.changed
		s.mu.Unlock()
		if at >= index {
			return nil
		}
		select {
		case <-changed:
		case <-s.ended:
			return errEnded
		case <-ctx.Done():
			return fmt.Errorf("this member has applied the log up to %d, not %d: %w", at, index, ctx.Err())
		}
	}
}

// Status is how one member sees the store.
type Status struct {
	Name   string
	State  string // Leader, Follower, Candidate, Shutdown
	Leader string // empty for none
	Term   uint64
	Index  uint64 // applied
	Heard  time.Duration
	Peers  map[string]string // suffrage by name
	Addrs  map[string]string // where each listens
}

// Status tells how this member sees the store now.
func (s *Store) Status() Status {
	_, leader := s.raft.LeaderWithID()
	st := Status{Name: s.name, State: s.raft.State().String(), Leader: string(leader), Term: s.raft.CurrentTerm(), Peers: map[string]string{},
		Addrs: map[string]string{}}
	if at := s.raft.LastContact(); !at.IsZero() && st.State != "Leader" {
		st.Heard = time.Since(at)
	}
	if f := s.raft.GetConfiguration(); f.Error() == nil {
		for _, p := range f.Configuration().Servers {
			st.Peers[string(p.ID)] = strings.ToLower(p.Suffrage.String())
			st.Addrs[string(p.ID)] = string(p.Address)
		}
	}
	s.mu.Lock()
	st.Index = s.state.Index()
	s.mu.Unlock()
	return st
}

// Close ends the member.
func (s *Store) Close() error {
	close(s.ended)
	if s.disk != nil {
		s.disk.stop()
	}
	err := s.raft.Shutdown().Error()
	if s.layer != nil {
		s.layer.Close()
	}
	if s.disk != nil {
		err = errors.Join(err, s.disk.Close())
	}
	return err
}

// tune has as much of the log kept, and snapshots taken as often, as the sizes of its entries ask for.
func (s *Store) tune() {
	if s.disk == nil {
		return
	}
	s.disk.mu.Lock()
	trailing, threshold := s.disk.sizes.plan()
	s.disk.mu.Unlock()
	now := s.raft.ReloadableConfig()
	far := func(a, b uint64) bool { return 4*a > 5*b || 4*b > 5*a }
	if !far(trailing, now.TrailingLogs) && !far(threshold, now.SnapshotThreshold) {
		return
	}
	now.TrailingLogs, now.SnapshotThreshold = trailing, threshold
	if err := s.raft.ReloadConfig(now); err != nil {
		s.log.Warn("store keeps as much of its log as before", "cause", err)
	}
}

// write brings what is wanted into the store: whatever it is while this member leads, else what is its own.
func (s *Store) write() {
	again := time.NewTicker(time.Second)
	defer again.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-s.wake:
		case <-s.raft.LeaderCh():
		case <-again.C:
			s.tune()
		}
		leads := s.raft.State() == raft.Leader
		s.mu.Lock()
		want := maps.Clone(s.want)
		s.mu.Unlock()
		for key, value := range want {
			if !leads && !strings.HasSuffix(key, "/"+s.name) {
				continue
			}
			s.mu.Lock()
			e, _ := s.state.Get(key)
			same := bytes.Equal(e.Value, value)
			s.mu.Unlock()
			if !same {
				ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
				r, err := s.ask(ctx, call{Command: &statemachine.Command{Put: []statemachine.Pair{{Key: key, Value: value}}}})
				cancel()
				if err == nil {
					err = r.Err()
				}
				if err != nil {
					if leads {
						s.log.Warn("store did not take a value; serving goes on", "key", key, "cause", err)
					}
					continue
				}
			}
			s.mu.Lock()
			if bytes.Equal(s.want[key], value) {
				delete(s.want, key)
			}
			s.mu.Unlock()
		}
	}
}

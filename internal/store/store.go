// Package store keeps the coordinators' shared state in a small store replicated by Raft: the configuration, the last known list
// of data nodes and, where coordinators may communicate, the state that they agree on (internal/statemachine). Serving does not
// depend on it: Put queues a value and returns at once, Get returns what this member has applied, and both work without a quorum.
// Do and Sync wait for the quorum until their deadline; a command that they report as done is never undone.
package store

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"gullfall/internal/config"
	"gullfall/internal/statemachine"
)

// The keys of values that the coordinators share.
const (
	Settings     = "settings"
	EndpointList = "members" // the last known list of data nodes
)

// Store is one member of the replicated store. Its methods may be called from any goroutine.
type Store struct {
	log   *slog.Logger
	name  string
	clock leaseClock
	ids   commandIDs
	puts  putQueue

	raft *raft.Raft
	// started is nil until raft runs, then raft: raft calls isLeaderOf before NewRaft has returned.
	started   atomic.Pointer[raft.Raft]
	raftLog   raft.LogStore
	disk      *disk         // nil for a store in memory
	transport *streamLayer  // nil for a store of one member
	closed    chan struct{} // closed by Close

	// mu guards the fields below.
	mu         sync.Mutex
	state      *statemachine.State
	changed    chan struct{} // closed, and replaced, when entries are applied
	restored   appliedState  // what this member had applied before its start
	diskWrites diskWrites
}

// appliedState holds the values that a member has applied up to a log index.
type appliedState struct {
	values map[string][]byte
	index  uint64
}

// diskWrites records the outcome of writing applied values to the disk.
type diskWrites struct {
	stale       bool // a write failed: the disk lacks some applied values
	lastFailure time.Time
}

// leaseClock measures the time of leases. It is monotonic while the process runs, and is never compared with another member's.
type leaseClock struct {
	start time.Time
	skew  float64 // fraction by which it runs too fast; 0 except in tests
}

// now returns the time since the start.
func (c leaseClock) now() time.Duration {
	return time.Duration(float64(time.Since(c.start)) * (1 + c.skew))
}

// timeAt returns the wall-clock time at which now returns a reading.
func (c leaseClock) timeAt(reading time.Duration) time.Time {
	return c.start.Add(time.Duration(float64(reading) / (1 + c.skew)))
}

// commandIDs numbers the commands of one process, so that a command sent twice is applied once.
type commandIDs struct {
	writer string // the member's name and random bytes that identify the process
	last   atomic.Uint64
}

func (c *commandIDs) next() statemachine.ID {
	return statemachine.ID{Writer: c.writer, N: c.last.Add(1)}
}

// Open starts the member called name. The values that it had applied before are readable at once.
func Open(cfg config.Store, name string, log *slog.Logger) (*Store, error) {
	s, err := newStore(cfg, name, log)
	if err != nil {
		return nil, err
	}
	storage, err := s.openStorage(cfg.Directory)
	if err != nil {
		return nil, fmt.Errorf("store.directory: %w", err)
	}
	conf := raftConfig(cfg, name)
	transport, servers, err := s.openTransport(cfg, conf)
	if err != nil {
		return nil, fmt.Errorf("store.listen: %w", err)
	}
	if err := s.startRaft(conf, storage, transport, servers); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if s.disk != nil {
		s.disk.snapshotRate = s.snapshotRate(cfg.Pace())
		s.disk.raftRunning.Store(true)
	}
	if s.transport != nil {
		s.transport.start()
	}
	go s.runPutQueue()
	return s, nil
}

// newStore returns a store without storage and raft.
func newStore(cfg config.Store, name string, log *slog.Logger) (*Store, error) {
	var randomPart [6]byte
	if _, err := rand.Read(randomPart[:]); err != nil {
		return nil, err
	}
	s := &Store{log: log, name: name, clock: leaseClock{start: time.Now(), skew: cfg.Skew}, puts: newPutQueue(), state: statemachine.New(),
		changed: make(chan struct{}), closed: make(chan struct{})}
	s.ids.writer = name + "/" + hex.EncodeToString(randomPart[:])
	return s, nil
}

// raftStorage groups the stores in which raft keeps its state.
type raftStorage struct {
	log       raft.LogStore
	stable    raft.StableStore
	snapshots raft.SnapshotStore
}

// openStorage opens the member's directory and reads the applied values. With an empty name the state is kept in memory.
func (s *Store) openStorage(directory string) (raftStorage, error) {
	if directory == "" {
		memory := raft.NewInmemStore()
		s.raftLog = memory
		return raftStorage{memory, memory, raft.NewInmemSnapshotStore()}, nil
	}
	d, err := openDisk(directory, s.log)
	if err != nil {
		return raftStorage{}, err
	}
	s.disk, s.raftLog = d, d
	if s.restored, err = d.readApplied(); err != nil {
		return raftStorage{}, err
	}
	return raftStorage{d, d, d}, nil
}

// raftConfig returns raft's timeouts and log retention. adjustRetention adapts the retention of a store on a disk later.
func raftConfig(cfg config.Store, name string) *raft.Config {
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(name)
	// Each change of the endpoint list is a log entry that holds the whole list, so a store in memory retains few entries.
	conf.SnapshotInterval, conf.SnapshotThreshold, conf.TrailingLogs = 2*time.Second, 32, 16
	conf.Logger = raftLogger()
	if cfg.Listen == "" {
		// A single member has no other to wait for, so short timeouts make it the leader soon after its start.
		conf.HeartbeatTimeout, conf.ElectionTimeout = 100*time.Millisecond, 100*time.Millisecond
		conf.LeaderLeaseTimeout = 100 * time.Millisecond
	} else if timeout := time.Duration(cfg.Heartbeat); timeout > 0 {
		conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = timeout, timeout, timeout/2
	}
	return conf
}

// raftLogger returns a logger that writes only raft's errors.
func raftLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "store", Level: hclog.Error, Output: os.Stderr})
}

// openTransport listens for the other members. It returns the transport, and the members with which an empty store is bootstrapped.
func (s *Store) openTransport(cfg config.Store, conf *raft.Config) (raft.Transport, []raft.Server, error) {
	if cfg.Listen == "" {
		address := raft.ServerAddress(s.name)
		_, transport := raft.NewInmemTransport(address)
		return transport, []raft.Server{{ID: conf.LocalID, Address: address}}, nil
	}
	var err error
	if s.transport, err = newStreamLayer(cfg, s); err != nil {
		return nil, nil, err
	}
	// A slow request delays the entries behind it, so the timeout is two heartbeat timeouts. TimeoutScale is in bytes: raft extends
	// the timeout of a snapshot in proportion to its size, so that it may take twice as long as at its rate limit.
	timeout := 2 * conf.HeartbeatTimeout
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.transport, MaxPool: 2, Timeout: timeout, Logger: conf.Logger})
	network.TimeoutScale = max(1, int(cfg.Pace()*timeout.Seconds()/2))
	return &retryingTransport{network, s.isLeaderOf, s.closed}, initialServers(cfg), nil
}

// initialServers returns the members named in the settings.
func initialServers(cfg config.Store) (servers []raft.Server) {
	for _, p := range cfg.Peer {
		server := raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Addr)}
		if p.Learner {
			server.Suffrage = raft.Nonvoter
		}
		servers = append(servers, server)
	}
	return servers
}

// startRaft starts raft, and bootstraps the cluster of servers if the storage is empty.
func (s *Store) startRaft(conf *raft.Config, storage raftStorage, transport raft.Transport, servers []raft.Server) error {
	exists, err := raft.HasExistingState(storage.log, storage.stable, storage.snapshots)
	if err == nil && !exists {
		err = raft.BootstrapCluster(conf, storage.log, storage.stable, storage.snapshots, transport, raft.Configuration{Servers: servers})
	}
	if err == nil {
		s.raft, err = raft.NewRaft(conf, (*fsm)(s), storage.log, storage.stable, storage.snapshots, transport)
	}
	if err != nil {
		return err
	}
	s.started.Store(s.raft)
	return nil
}

// snapshotRate returns a function that gives the limit, in bytes a second, on reading a snapshot from the disk. A leader reads one
// only to send it to a member that is far behind, and is limited to leaderRate; 0 means no limit.
func (s *Store) snapshotRate(leaderRate float64) func(*raft.SnapshotMeta) float64 {
	return func(m *raft.SnapshotMeta) float64 {
		if s.raft.State() != raft.Leader {
			return 0
		}
		s.log.Info("store sends a snapshot to a member that is far behind", "index", m.Index, "bytes", m.Size, "bytes_per_s", leaderRate)
		return leaderRate
	}
}

// isLeaderOf reports whether this member is the leader in a term and the given server is a member of the store.
func (s *Store) isLeaderOf(term uint64, member raft.ServerID) bool {
	r := s.started.Load()
	if r == nil || r.State() != raft.Leader || r.CurrentTerm() != term {
		return false
	}
	f := r.GetConfiguration()
	return f.Error() == nil && slices.ContainsFunc(f.Configuration().Servers, func(p raft.Server) bool { return p.ID == member })
}

// Get returns the value of a key that this member has applied, or nil if the key has none. After a restart, Get returns the value
// that the disk held until the member has replayed the log up to the index that it had applied before.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Index() < s.restored.index || s.state.Index() == 0 {
		return bytes.Clone(s.restored.values[key])
	}
	e, _ := s.state.Get(key)
	return bytes.Clone(e.Value)
}

// View calls f with the state that this member has applied. f runs under the store's lock: it must neither retain the state nor block.
func (s *Store) View(f func(*statemachine.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.state)
}

// Changed returns a channel that is closed when further entries are applied.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Persistent reports whether this member keeps what it applies on a disk.
func (s *Store) Persistent() bool { return s.disk != nil }

// Durable reports whether the disk holds all applied values: false from a failed write until all values are rewritten.
func (s *Store) Durable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.diskWrites.stale
}

// Close stops the member.
func (s *Store) Close() error {
	close(s.closed)
	if s.disk != nil {
		s.disk.stop()
	}
	err := s.raft.Shutdown().Error()
	if s.transport != nil {
		_ = s.transport.Close() // it always returns nil
	}
	if s.disk != nil {
		err = errors.Join(err, s.disk.Close())
	}
	return err
}

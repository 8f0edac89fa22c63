// Package store keeps the coordinators' shared state in a small replicated store by Raft: the configuration, the last known list
// of data nodes, and, where coordinators may talk, what they agree on (internal/statemachine). Serving does not depend on it: Put
// returns at once and is written when there is a leader, Get reads what this member has applied, and a lost quorum stops neither.
// Do and Sync wait for agreement until their deadline; what they report as done is never undone.
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
	running   atomic.Pointer[raft.Raft]
	raftLog   raft.LogStore
	disk      *disk        // nil where all is kept in memory
	transport *streamLayer // nil where it is alone
	start     time.Time
	skew      float64 // of clock
	writer    string
	number    atomic.Uint64

	mu              sync.Mutex
	state           *statemachine.State
	diskStale       bool              // a write to the disk has failed: what is there is older than what is applied
	lastDiskFailure time.Time         // when the last one did
	restored        map[string][]byte // as this member had applied it before its start, up to bootAt
	restoredIndex   uint64
	pending         map[string][]byte // to be written, the latest of each key
	changed         chan struct{}     // closed when something is applied
	pendingChanged  chan struct{}
	closed          chan struct{}
}

// Open starts the member called name; what it had applied on disk can be read at once.
func Open(cfg config.Store, name string, log *slog.Logger) (*Store, error) {
	s := &Store{log: log, name: name, start: time.Now(), skew: cfg.Skew, state: statemachine.New(), pending: map[string][]byte{}, pendingChanged: make(chan struct{}, 1), changed: make(chan struct{}),
		closed: make(chan struct{})}
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
		if s.restored, s.restoredIndex, err = d.readApplied(); err != nil {
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
		if s.transport, err = newStreamLayer(cfg, s); err != nil {
			return nil, fmt.Errorf("store.listen: %w", err)
		}
		// What is long under way holds up a log: a few heartbeats; and a snapshot for twice as long as its pace needs.
		within := 2 * conf.HeartbeatTimeout
		wire := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.transport, MaxPool: 2, Timeout: within, Logger: conf.Logger})
		wire.TimeoutScale = max(1, int(cfg.Pace()*within.Seconds()/2))
		transport = &retryingTransport{wire, s.isLeaderOf, s.closed}
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
		s.raft, err = raft.NewRaft(conf, (*fsm)(s), logs, stable, snapshots, transport)
	}
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s.raftLog = logs
	s.running.Store(s.raft)
	if s.disk != nil {
		// A leader reads a snapshot only to send it to a member that is far behind.
		s.disk.snapshotRate = func(m *raft.SnapshotMeta) float64 {
			if s.raft.State() != raft.Leader {
				return 0
			}
			s.log.Info("store sends a snapshot to a member that is far behind", "index", m.Index, "bytes", m.Size, "bytes_per_s", cfg.Pace())
			return cfg.Pace()
		}
		s.disk.raftRunning.Store(true)
	}
	if s.transport != nil {
		s.transport.start()
	}
	go s.runPutQueue()
	return s, nil
}

// leads tells whether this member leads another in a term.
func (s *Store) isLeaderOf(term uint64, member raft.ServerID) bool {
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
	if s.state.Index() < s.restoredIndex || s.state.Index() == 0 {
		return bytes.Clone(s.restored[key])
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
	return !s.diskStale
}

// Close ends the member.
func (s *Store) Close() error {
	close(s.closed)
	if s.disk != nil {
		s.disk.stop()
	}
	err := s.raft.Shutdown().Error()
	if s.transport != nil {
		s.transport.Close()
	}
	if s.disk != nil {
		err = errors.Join(err, s.disk.Close())
	}
	return err
}

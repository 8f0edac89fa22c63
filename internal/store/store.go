// Package store keeps the configuration and the last known list of data nodes in a small replicated store, so
// that a coordinator that starts without them has something to start from. It owns its log and its members'
// connections. Nothing waits for it: a write is handed over and made when there is a leader, a read sees what
// this member has applied, and a lost quorum stops neither. No decision reads what another coordinator wrote.
package store

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"gullfall/internal/config"
)

// The keys that are kept.
const (
	Settings = "settings"
	Members  = "members"
)

// Store is one member.
type Store struct {
	log  *slog.Logger
	raft *raft.Raft
	logs raft.LogStore
	disk *disk // nil where all is kept in memory

	mu     sync.Mutex
	values map[string][]byte // applied
	want   map[string][]byte // to be written, the latest of each key
	wake   chan struct{}
	ended  chan struct{}
}

// entry is one write.
type entry struct {
	Key   string
	Value []byte
}

// Open starts the member called name; what it had applied on disk can be read at once.
func Open(cfg config.Store, name string, log *slog.Logger) (*Store, error) {
	s := &Store{log: log, values: map[string][]byte{}, want: map[string][]byte{}, wake: make(chan struct{}, 1),
		ended: make(chan struct{})}
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(name)
	// Little is kept of the log beside the latest values: each change of the list is an entry of its length.
	conf.SnapshotInterval, conf.SnapshotThreshold, conf.TrailingLogs = 2*time.Second, 32, 16
	conf.Logger = hclog.New(&hclog.LoggerOptions{Name: "store", Level: hclog.Error, Output: os.Stderr})
	var logs raft.LogStore
	var stable raft.StableStore
	var snapshots raft.SnapshotStore
	if cfg.Directory == "" {
		mem := raft.NewInmemStore()
		logs, stable, snapshots = mem, mem, raft.NewInmemSnapshotStore()
	} else {
		d, err := openDisk(cfg.Directory)
		if err != nil {
			return nil, fmt.Errorf("store.directory: %w", err)
		}
		s.disk = d
		if s.values, err = d.read(); err != nil {
			return nil, fmt.Errorf("store.directory: %w", err)
		}
		files, err := raft.NewFileSnapshotStoreWithLogger(cfg.Directory, 2, conf.Logger)
		if err != nil {
			return nil, fmt.Errorf("store.directory: %w", err)
		}
		logs, stable, snapshots = d, d, files
	}
	servers := []raft.Server{{ID: conf.LocalID, Address: raft.ServerAddress(name)}}
	var transport raft.Transport
	if cfg.Listen == "" {
		// Nobody is to be waited for: one member leads soon after its start.
		conf.HeartbeatTimeout, conf.ElectionTimeout = 100*time.Millisecond, 100*time.Millisecond
		conf.LeaderLeaseTimeout = 100 * time.Millisecond
		_, transport = raft.NewInmemTransport(raft.ServerAddress(name))
	} else {
		tcp, err := raft.NewTCPTransportWithLogger(cfg.Listen, nil, 2, time.Second, conf.Logger)
		if err != nil {
			return nil, fmt.Errorf("store.listen: %w", err)
		}
		transport, servers = tcp, nil
		for _, p := range cfg.Peer {
			servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Addr)})
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
	go s.write()
	return s, nil
}

// Get returns what this member has applied under a key, nil for nothing.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Clone(s.values[key])
}

// Put hands over a value and returns at once. The leader writes it; the others hold what the leader was told.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	s.want[key] = bytes.Clone(value)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close ends the member.
func (s *Store) Close() error {
	close(s.ended)
	err := s.raft.Shutdown().Error()
	if s.disk != nil {
		err = s.disk.db.Close()
	}
	return err
}

// write brings what is wanted into the store whenever this member leads.
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
		}
		if s.raft.State() != raft.Leader {
			continue
		}
		s.mu.Lock()
		want := maps.Clone(s.want)
		s.mu.Unlock()
		for key, value := range want {
			data, _ := json.Marshal(entry{key, value})
			if !bytes.Equal(s.Get(key), value) {
				if err := s.raft.Apply(data, time.Second).Error(); err != nil {
					s.log.Warn("store did not take a value; serving goes on", "key", key, "cause", err)
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

// machine is the Store as the replicated log sees it.
type machine Store

// Apply takes in one entry of the log.
func (m *machine) Apply(l *raft.Log) any {
	var e entry
	if err := json.Unmarshal(l.Data, &e); err != nil {
		m.log.Error("entry of the store not understood", "index", l.Index, "cause", err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[e.Key] = e.Value
	return m.keep()
}

// keep writes what is applied to the disk, where there is one. The caller holds the lock.
func (m *machine) keep() error {
	if m.disk == nil {
		return nil
	}
	err := m.disk.write(m.values)
	if err != nil {
		m.log.Error("store can't be written", "cause", err)
	}
	return err
}

// Snapshot copies all values.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return snapshot(maps.Clone(m.values)), nil
}

// Restore replaces all values.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	values := map[string][]byte{}
	if err := json.NewDecoder(r).Decode(&values); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values = values
	return m.keep()
}

type snapshot map[string][]byte

// Persist writes a snapshot out.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to give back.
func (s snapshot) Release() {}

// disk keeps the log, the member's votes and the applied values in one file.
type disk struct{ db *bbolt.DB }

var (
	bucketLog    = []byte("log")
	bucketStable = []byte("stable")
	bucketValues = []byte("values")
)

func openDisk(dir string) (*disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, "store.db"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	return &disk{db}, db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketLog, bucketStable, bucketValues} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

func (d *disk) read() (map[string][]byte, error) {
	values := map[string][]byte{}
	return values, d.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketValues).ForEach(func(k, v []byte) error {
			values[string(k)] = bytes.Clone(v)
			return nil
		})
	})
}

func (d *disk) write(values map[string][]byte) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		for k, v := range values {
			if err := tx.Bucket(bucketValues).Put([]byte(k), v); err != nil {
				return err
			}
		}
		return nil
	})
}

func place(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// end reads the index at one end of the log, 0 for an empty one.
func (d *disk) end(seek func(*bbolt.Cursor) ([]byte, []byte)) (index uint64, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		if k, _ := seek(tx.Bucket(bucketLog).Cursor()); k != nil {
			index = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return index, err
}

// FirstIndex and the methods below are the library's LogStore and StableStore.
func (d *disk) FirstIndex() (uint64, error) { return d.end((*bbolt.Cursor).First) }

// LastIndex is the index of the latest entry.
func (d *disk) LastIndex() (uint64, error) { return d.end((*bbolt.Cursor).Last) }

// GetLog reads an entry.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	return d.db.View(func(tx *bbolt.Tx) error {
		data := tx.Bucket(bucketLog).Get(place(index))
		if data == nil {
			return raft.ErrLogNotFound
		}
		return json.Unmarshal(data, l)
	})
}

// StoreLog writes an entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		for _, l := range logs {
			data, err := json.Marshal(l)
			if err == nil {
				err = tx.Bucket(bucketLog).Put(place(l.Index), data)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange removes entries, both ends included.
func (d *disk) DeleteRange(first, last uint64) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		for i := first; i <= last; i++ {
			if err := tx.Bucket(bucketLog).Delete(place(i)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Set keeps a figure of the member.
func (d *disk) Set(key, value []byte) error {
	return d.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketStable).Put(key, value) })
}

// Get reads a figure of the member, none for one that is not kept.
func (d *disk) Get(key []byte) (value []byte, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		value = bytes.Clone(tx.Bucket(bucketStable).Get(key))
		return nil
	})
	return value, err
}

// SetUint64 keeps a number.
func (d *disk) SetUint64(key []byte, value uint64) error { return d.Set(key, place(value)) }

// GetUint64 reads a number, 0 for one that is not kept.
func (d *disk) GetUint64(key []byte) (uint64, error) {
	value, err := d.Get(key)
	if err != nil || len(value) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(value), nil
}

package store

// This file owns what the replicated log calls on a member: each entry is applied to the state, and what it changed goes to
// the disk. It must never apply anything but by internal/replica.

import (
	"encoding/json"
	"io"

	"github.com/hashicorp/raft"

	"gullfall/internal/replica"
)

// machine is the Store as the replicated log sees it.
type machine Store

// Apply takes in one entry of the log.
func (m *machine) Apply(l *raft.Log) any {
	var c replica.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		m.log.Error("entry of the store not understood", "index", l.Index, "cause", err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, keys := m.state.Apply(l.Index, l.Term, &c)
	if len(keys) > 0 && m.disk != nil {
		values := map[string][]byte{}
		for _, k := range keys {
			e, _ := m.state.Get(k)
			values[k] = e.Value
		}
		m.keep(m.disk.write(values, l.Index, false))
	}
	m.tell()
	return r
}

// tell wakes those that wait for a change. The caller holds the lock.
func (m *machine) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// keep takes in what came of a write. The caller holds the lock.
func (m *machine) keep(err error) {
	if err != nil {
		m.torn = true
		m.log.Error("store can't be written", "cause", err)
	}
}

// Snapshot copies the state.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	return snapshot(data), err
}

// Restore replaces the state.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.Restore(data); err != nil {
		return err
	}
	if m.disk != nil {
		values := map[string][]byte{}
		for k, e := range m.state.Values() {
			values[k] = e.Value
		}
		m.keep(m.disk.write(values, m.state.Index(), true))
	}
	m.tell()
	return nil
}

type snapshot []byte

// Persist writes a snapshot out.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to give back.
func (s snapshot) Release() {}

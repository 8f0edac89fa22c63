package store

// This file owns what the replicated log calls on a member: each entry is applied to the state, and what it changed goes to
// the disk. It must never apply anything but by internal/statemachine.

import (
	"encoding/json"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// machine is the Store as the replicated log sees it.
type machine Store

// Apply takes in one entry of the log.
func (m *machine) Apply(l *raft.Log) any { return m.ApplyBatch([]*raft.Log{l})[0] }

// ApplyBatch takes in entries in their order, and writes what they changed at once.
func (m *machine) ApplyBatch(logs []*raft.Log) []any {
	m.mu.Lock()
	defer m.mu.Unlock()
	results, changed := make([]any, len(logs)), map[string]bool{}
	for i, l := range logs {
		if l.Type != raft.LogCommand {
			continue
		}
		var c statemachine.Command
		if err := json.Unmarshal(l.Data, &c); err != nil {
			m.log.Error("entry of the store not understood", "index", l.Index, "cause", err)
			results[i] = err
			continue
		}
		r, keys := m.state.Apply(l.Index, l.Term, &c)
		for _, k := range keys {
			changed[k] = true
		}
		results[i] = r
	}
	if m.disk != nil && m.torn {
		m.mend()
	} else if m.disk != nil && len(changed) > 0 {
		values := map[string][]byte{}
		for k := range changed {
			e, _ := m.state.Get(k)
			values[k] = e.Value
		}
		m.keep(m.disk.write(values, m.state.Index(), false))
	}
	m.tell()
	return results
}

// tell wakes those that wait for a change. The caller holds the lock.
func (m *machine) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// keep takes in what came of a write. The caller holds the lock.
func (m *machine) keep(err error) {
	switch {
	case err != nil:
		m.log.Error("store can't be written", "cause", err)
		m.tried = time.Now()
	case m.torn:
		m.log.Info("store is written again")
	}
	m.torn = err != nil
}

// mend writes all values anew after a write has failed, once a second at most: what changed meanwhile is not on the disk. The caller
// holds the lock.
func (m *machine) mend() {
	if time.Since(m.tried) < time.Second {
		return
	}
	m.keep(m.disk.write(m.all(), m.state.Index(), true))
}

func (m *machine) all() map[string][]byte {
	values := map[string][]byte{}
	for k, e := range m.state.Values() {
		values[k] = e.Value
	}
	return values
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
		m.keep(m.disk.write(m.all(), m.state.Index(), true))
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

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
type fsm Store

// Apply takes in one entry of the log.
func (m *fsm) Apply(l *raft.Log) any { return m.ApplyBatch([]*raft.Log{l})[0] }

// ApplyBatch takes in entries in their order, and writes what they changed at once.
func (m *fsm) ApplyBatch(logs []*raft.Log) []any {
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
	if m.disk != nil && m.diskStale {
		m.rewriteAll()
	} else if m.disk != nil && len(changed) > 0 {
		values := map[string][]byte{}
		for k := range changed {
			e, _ := m.state.Get(k)
			values[k] = e.Value
		}
		m.recordWrite(m.disk.writeApplied(values, m.state.Index(), false))
	}
	m.notify()
	return results
}

// tell wakes those that wait for a change. The caller holds the lock.
func (m *fsm) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// keep takes in what came of a write. The caller holds the lock.
func (m *fsm) recordWrite(err error) {
	switch {
	case err != nil:
		m.log.Error("store can't be written", "cause", err)
		m.lastDiskFailure = time.Now()
	case m.diskStale:
		m.log.Info("store is written again")
	}
	m.diskStale = err != nil
}

// mend writes all values anew after a write has failed, once a second at most: what changed meanwhile is not on the disk. The caller
// holds the lock.
func (m *fsm) rewriteAll() {
	if time.Since(m.lastDiskFailure) < time.Second {
		return
	}
	m.recordWrite(m.disk.writeApplied(m.values(), m.state.Index(), true))
}

func (m *fsm) values() map[string][]byte {
	values := map[string][]byte{}
	for k, e := range m.state.Values() {
		values[k] = e.Value
	}
	return values
}

// Snapshot copies the state.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	return fsmSnapshot(data), err
}

// Restore replaces the state.
func (m *fsm) Restore(r io.ReadCloser) error {
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
		m.recordWrite(m.disk.writeApplied(m.values(), m.state.Index(), true))
	}
	m.notify()
	return nil
}

type fsmSnapshot []byte

// Persist writes a snapshot out.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to give back.
func (s fsmSnapshot) Release() {}

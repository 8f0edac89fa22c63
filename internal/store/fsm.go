package store

import (
	"encoding/json"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// rewriteInterval is the minimum time between a failed write to the disk and the next attempt.
const rewriteInterval = time.Second

// fsm is the Store as raft's state machine. internal/statemachine makes all changes of the state.
type fsm Store

// Apply applies one entry of the log.
func (m *fsm) Apply(l *raft.Log) any { return m.ApplyBatch([]*raft.Log{l})[0] }

// ApplyBatch applies entries in order, and writes the values that they changed to the disk together.
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
			m.log.Error("store log entry can't be decoded", "index", l.Index, "cause", err)
			results[i] = err
			continue
		}
		r, keys := m.state.Apply(l.Index, l.Term, &c)
		for _, k := range keys {
			changed[k] = true
		}
		results[i] = r
	}
	m.persist(changed)
	m.notify()
	return results
}

// persist writes the changed values to the disk, or all of them after a failed write. The caller holds the lock.
func (m *fsm) persist(changed map[string]bool) {
	switch {
	case m.disk == nil:
	case m.diskWrites.stale:
		m.rewriteAll()
	case len(changed) > 0:
		values := map[string][]byte{}
		for k := range changed {
			e, _ := m.state.Get(k)
			values[k] = e.Value
		}
		m.recordWrite(m.disk.writeChanged(values, m.state.Index()))
	}
}

// notify wakes the callers that wait for a change. The caller holds the lock.
func (m *fsm) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// recordWrite records and logs the result of a write to the disk. The caller holds the lock.
func (m *fsm) recordWrite(err error) {
	switch {
	case err != nil:
		m.log.Error("store can't be written", "cause", err)
		m.diskWrites.lastFailure = time.Now()
	case m.diskWrites.stale:
		m.log.Info("store writes to its disk again")
	}
	m.diskWrites.stale = err != nil
}

// rewriteAll writes all values again after a failed write, since the disk lacks what has changed since then. It does nothing within
// rewriteInterval of the last failure. The caller holds the lock.
func (m *fsm) rewriteAll() {
	if time.Since(m.diskWrites.lastFailure) < rewriteInterval {
		return
	}
	m.recordWrite(m.disk.replaceAll(m.values(), m.state.Index()))
}

func (m *fsm) values() map[string][]byte {
	values := map[string][]byte{}
	for k, e := range m.state.Values() {
		values[k] = e.Value
	}
	return values
}

// Snapshot encodes the state.
func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.state.Snapshot()
	return fsmSnapshot(data), err
}

// Restore replaces the state by a snapshot.
func (m *fsm) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
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
		m.recordWrite(m.disk.replaceAll(m.values(), m.state.Index()))
	}
	m.notify()
	return nil
}

// fsmSnapshot is an encoded state.
type fsmSnapshot []byte

// Persist writes the snapshot to raft's sink.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // leftovers are removed at the next start
		return err
	}
	return sink.Close()
}

// Release does nothing: the snapshot holds no resources.
func (s fsmSnapshot) Release() {}

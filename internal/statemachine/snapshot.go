package statemachine

import (
	"encoding/json"
	"fmt"

	"gullfall/internal/lease"
)

// snapshotData is the format of a snapshot. Changing it requires another Version.
type snapshotData struct {
	Version  int
	Index    uint64
	Term     uint64
	Values   map[string]Entry
	Duties   []lease.Record
	Presence []lease.Record
	Writers  map[string]*clientSession
}

const snapshotVersion = 2

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshotData{snapshotVersion, s.index, s.term, s.values, s.duties.Snapshot(), s.presence.Snapshot(), s.sessions})
}

// Restore replaces the state by a snapshot. It also reads the first format, a map of values without a version.
func (s *State) Restore(data []byte) error {
	var snapshot snapshotData
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("snapshot of the store: %w", err)
	}
	switch snapshot.Version {
	case snapshotVersion:
	case 0:
		var first map[string][]byte
		if err := json.Unmarshal(data, &first); err != nil {
			return fmt.Errorf("snapshot of the store: %w", err)
		}
		snapshot.Values = map[string]Entry{}
		for key, value := range first {
			snapshot.Values[key] = Entry{value, 1}
		}
	default:
		return fmt.Errorf("snapshot of the store: version %d; this program knows up to %d: start the newer release", snapshot.Version, snapshotVersion)
	}
	if snapshot.Values == nil {
		snapshot.Values = map[string]Entry{}
	}
	if snapshot.Writers == nil {
		snapshot.Writers = map[string]*clientSession{}
	}
	for _, w := range snapshot.Writers {
		if w.Results == nil {
			w.Results = map[uint64]Result{}
		}
	}
	s.index, s.term, s.values, s.sessions = snapshot.Index, snapshot.Term, snapshot.Values, snapshot.Writers
	s.duties.Restore(snapshot.Duties)
	s.presence.Restore(snapshot.Presence)
	return nil
}

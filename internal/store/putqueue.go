package store

import (
	"bytes"
	"context"
	"maps"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// Put hands over a value and returns at once. The leader writes what all share; a key that ends with a member's name is that
// member's own, and is written from wherever it is.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	s.pending[key] = bytes.Clone(value)
	s.mu.Unlock()
	select {
	case s.pendingChanged <- struct{}{}:
	default:
	}
}

// tune has as much of the log kept, and snapshots taken as often, as the sizes of its entries ask for.
func (s *Store) adjustRetention() {
	if s.disk == nil {
		return
	}
	s.disk.mu.Lock()
	trailing, threshold := s.disk.entrySizes.retention()
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
func (s *Store) runPutQueue() {
	again := time.NewTicker(time.Second)
	defer again.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-s.pendingChanged:
		case <-s.raft.LeaderCh():
		case <-again.C:
			s.adjustRetention()
		}
		leads := s.raft.State() == raft.Leader
		s.mu.Lock()
		want := maps.Clone(s.pending)
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
				r, err := s.sendToLeader(ctx, call{Command: &statemachine.Command{Put: []statemachine.Pair{{Key: key, Value: value}}}})
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
			if bytes.Equal(s.pending[key], value) {
				delete(s.pending, key)
			}
			s.mu.Unlock()
		}
	}
}

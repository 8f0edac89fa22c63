package store

import (
	"bytes"
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/statemachine"
)

// putInterval is the interval at which values that could not be written are retried, and the log retention is adjusted.
const putInterval = time.Second

// putQueue holds the latest value of each key that is to be written.
type putQueue struct {
	changed chan struct{} // receives a signal when a value is queued

	mu     sync.Mutex
	values map[string][]byte
}

func newPutQueue() putQueue {
	return putQueue{changed: make(chan struct{}, 1), values: map[string][]byte{}}
}

func (q *putQueue) put(key string, value []byte) {
	q.mu.Lock()
	q.values[key] = bytes.Clone(value)
	q.mu.Unlock()
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// pending returns a copy of the queued values.
func (q *putQueue) pending() map[string][]byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.values)
}

// remove removes a value that was written, unless a later one has replaced it in the queue.
func (q *putQueue) remove(key string, value []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if bytes.Equal(q.values[key], value) {
		delete(q.values, key)
	}
}

// Put queues a value and returns at once. A shared key is written only while this member leads. A key that ends with a slash and
// this member's name is written whether or not it leads.
func (s *Store) Put(key string, value []byte) { s.puts.put(key, value) }

// runPutQueue writes the queued values until the store is closed.
func (s *Store) runPutQueue() {
	ticker := time.NewTicker(putInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-s.puts.changed:
		case <-s.raft.LeaderCh():
		case <-ticker.C:
			s.adjustRetention()
		}
		s.writePending()
	}
}

// writePending writes the queued values: all of them while this member leads, otherwise its own.
func (s *Store) writePending() {
	leader := s.raft.State() == raft.Leader
	for key, value := range s.puts.pending() {
		if !leader && !strings.HasSuffix(key, "/"+s.name) {
			continue
		}
		if err := s.writeValue(key, value); err != nil {
			if leader {
				s.log.Warn("value not replicated; serving continues", "key", key, "cause", err)
			}
			continue
		}
		s.puts.remove(key, value)
	}
}

// writeValue replicates a value, unless this member has applied it already.
func (s *Store) writeValue(key string, value []byte) error {
	s.mu.Lock()
	e, _ := s.state.Get(key)
	same := bytes.Equal(e.Value, value)
	s.mu.Unlock()
	if same {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer cancel()
	r, err := s.sendToLeader(ctx, call{Command: &statemachine.Command{Put: []statemachine.Pair{{Key: key, Value: value}}}})
	if err != nil {
		return err
	}
	return r.Err()
}

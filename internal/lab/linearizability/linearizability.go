// Package linearizability keeps the history of what clients did to the coordinators' store, and checks it: whether all of it could have
// happened in one order, each operation at some moment between its call and its return (linearizable, by porcupine). It must never
// take an operation without an answer for one that was not done: it may be done at any later moment.
package linearizability

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is what an operation does.
type Kind uint8

// The kinds of operations.
const (
	Get Kind = iota
	Put
	Swap // puts Value where Old is the value
)

// Op is one operation on one key. Values are unique, but for the empty one, which is there before any.
type Op struct {
	Client     int
	Kind       Kind
	Key        string
	Old, Value string // Get: Value is what was read
	Done       bool   // Swap: Old was there
	Unknown    bool   // no answer came
	Call, End  time.Duration
}

// History takes in operations of several goroutines.
type History struct {
	mu  sync.Mutex
	all []Op
}

// Add notes an operation.
func (h *History) Add(o Op) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, o)
}

// Counts tells how many operations there are, how many writes were acknowledged, and how many ended without an answer.
func (h *History) Counts() (all, committed, unknown int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.all {
		switch {
		case o.Unknown:
			unknown++
		case o.Kind == Put || o.Kind == Swap && o.Done:
			committed++
		}
	}
	return len(h.all), committed, unknown
}

// model is a register for each key.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) (parts [][]porcupine.Operation) {
		at := map[string]int{}
		for _, o := range history {
			key := o.Input.(Op).Key
			i, ok := at[key]
			if !ok {
				i = len(parts)
				at[key], parts = i, append(parts, nil)
			}
			parts[i] = append(parts[i], o)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		o, now := input.(Op), state.(string)
		switch {
		case o.Kind == Put:
			return true, o.Value
		case o.Kind == Get:
			return now == o.Value, now
		case o.Unknown && now == o.Old:
			return true, o.Value
		case o.Unknown:
			return true, now
		case o.Done:
			return now == o.Old, o.Value
		}
		return now != o.Old, now
	},
}

// Check tells whether the history is linearizable; known is false where that was not found out within limit.
func (h *History) Check(limit time.Duration) (linearizable, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	for _, o := range h.all {
		if o.Unknown && o.Kind == Get {
			continue // it says nothing
		}
		end := int64(o.End)
		if o.Unknown {
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: o.Client, Input: o, Output: o, Call: int64(o.Call), Return: end})
	}
	switch porcupine.CheckOperationsTimeout(model, ops, limit) {
	case porcupine.Ok:
		return true, true
	case porcupine.Illegal:
		return false, true
	}
	return false, false
}

// Lost tells of which keys the last value that is read is one that no order allows: a value older than an acknowledged write that
// was called after it had returned, and that no unknown write explains.
func (h *History) Lost(final map[string]string) (lost []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, value := range final {
		if newer := h.newerThan(key, value); newer != nil {
			lost = append(lost, fmt.Sprintf("%s: %q was acknowledged and %q is read", key, newer.Value, value))
		}
	}
	return lost
}

// newerThan finds an acknowledged write of a key that must have come after the last write of value; nil where there is none. The
// caller holds the lock.
func (h *History) newerThan(key, value string) *Op {
	written := h.lastWriteOf(key, value)
	for i := range h.all {
		o := &h.all[i]
		if o.Key != key || !o.acknowledgedWrite() || o.Value == value {
			continue
		}
		if written == nil || !written.Unknown && o.Call > written.End {
			return o
		}
	}
	return nil
}

// lastWriteOf finds the last write of a value to a key that may have been done; nil where there is none.
func (h *History) lastWriteOf(key, value string) (written *Op) {
	for i, o := range h.all {
		if o.Key == key && o.Value == value && (o.Kind == Put || o.Kind == Swap && (o.Done || o.Unknown)) {
			written = &h.all[i]
		}
	}
	return written
}

// acknowledgedWrite tells whether an operation wrote its value for certain.
func (o *Op) acknowledgedWrite() bool {
	return !o.Unknown && (o.Kind == Put || o.Kind == Swap && o.Done)
}

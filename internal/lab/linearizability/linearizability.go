// Package linearizability records the history of client operations on the coordinators' store and checks with porcupine whether it is
// linearizable: whether all operations could have taken effect in one order, each at some moment between its call and its return. An
// operation without an answer must not be treated as failed, because it may take effect at any later moment.
package linearizability

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is the kind of an operation.
type Kind uint8

// The kinds of operations.
const (
	Get Kind = iota
	Put
	CompareAndSwap // compare-and-swap: writes Value if the current value is Old
)

// Op is one operation on one key. Written values must be unique and not empty; the empty value stands for a key without a value.
type Op struct {
	Client     int
	Kind       Kind
	Key        string
	Old, Value string // for Get, Value is the value read
	Swapped    bool   // CompareAndSwap only: the current value was Old, and Value was written
	Unknown    bool   // no answer arrived, so the effect is unknown
	Call, End  time.Duration
}

// History records operations. It is safe for concurrent use.
type History struct {
	mu  sync.Mutex
	ops []Op
}

// Add records an operation.
func (h *History) Add(o Op) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// Counts returns the number of operations, of acknowledged writes, and of operations without an answer.
func (h *History) Counts() (all, committed, unknown int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.ops {
		switch {
		case o.Unknown:
			unknown++
		case o.Kind == Put || o.Kind == CompareAndSwap && o.Swapped:
			committed++
		}
	}
	return len(h.ops), committed, unknown
}

// registerModel specifies the store for porcupine as an independent register for each key.
var registerModel = porcupine.Model{
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
		case o.Swapped:
			return now == o.Old, o.Value
		}
		return now != o.Old, now
	},
}

// Check reports whether the history is linearizable. known is false if the check did not finish within limit.
func (h *History) Check(limit time.Duration) (linearizable, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ops []porcupine.Operation
	for _, o := range h.ops {
		if o.Unknown && o.Kind == Get {
			continue // a read without a result does not constrain the history
		}
		end := int64(o.End)
		if o.Unknown {
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: o.Client, Input: o, Output: o, Call: int64(o.Call), Return: end})
	}
	switch porcupine.CheckOperationsTimeout(registerModel, ops, limit) {
	case porcupine.Ok:
		return true, true
	case porcupine.Illegal:
		return false, true
	}
	return false, false
}

// LostWrites describes the keys whose final value shows that an acknowledged write was lost: the write was called after the write of
// the final value had returned, or no write of that value is known. A final value whose write had no answer is not reported, because
// that write may have taken effect late.
func (h *History) LostWrites(final map[string]string) (lost []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, value := range final {
		if newer := h.newerThan(key, value); newer != nil {
			lost = append(lost, fmt.Sprintf("key %s: acknowledged value %q was lost; the final value is %q", key, newer.Value, value))
		}
	}
	return lost
}

// newerThan returns an acknowledged write to a key that must have taken effect after the last write of value, or nil if there is none. The
// caller holds mu.
func (h *History) newerThan(key, value string) *Op {
	written := h.lastWriteOf(key, value)
	for i := range h.ops {
		o := &h.ops[i]
		if o.Key != key || !o.acknowledgedWrite() || o.Value == value {
			continue
		}
		if written == nil || !written.Unknown && o.Call > written.End {
			return o
		}
	}
	return nil
}

// lastWriteOf returns the last write of a value to a key that may have taken effect, or nil if there is none.
func (h *History) lastWriteOf(key, value string) (written *Op) {
	for i, o := range h.ops {
		if o.Key == key && o.Value == value && (o.Kind == Put || o.Kind == CompareAndSwap && (o.Swapped || o.Unknown)) {
			written = &h.ops[i]
		}
	}
	return written
}

// acknowledgedWrite reports whether an operation certainly wrote its value.
func (o *Op) acknowledgedWrite() bool {
	return !o.Unknown && (o.Kind == Put || o.Kind == CompareAndSwap && o.Swapped)
}

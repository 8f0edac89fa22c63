// Package simulator runs instances of the decision module (package aggregator) behind the simulator's line protocol: it decodes batches
// of messages, passes each instance its events, and encodes the resulting actions. It makes no decisions of its own.
package simulator

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/config"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 20

// Host holds the module instances of one process. They share only the numbered lists of data nodes.
type Host struct {
	instances map[int]*instance
	lists     map[int][]aggregator.Member
}

// instance is one decision module with the events and actions of the current batch.
type instance struct {
	node          int
	module        *aggregator.Aggregator
	classes       map[string]int
	tenants       map[string]int
	queryByNumber map[int]string // query ids of open queries by number
	numberByQuery map[string]int // the inverse of queryByNumber
	events        []aggregator.Event
	actions       []aggregator.Action
	queued        bool // has an event in the current batch
}

// NewHost returns a Host without instances.
func NewHost() *Host {
	return &Host{instances: map[int]*instance{}, lists: map[int][]aggregator.Member{}}
}

// Serve reads batches from r and writes replies to w until r ends. Its errors give the line number.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, bufferSize), bufio.NewWriterSize(w, bufferSize)
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	host := NewHost()
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if len(text) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil || errors.Is(err, io.EOF) {
			err = host.processLine(text, encoder, out)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
	}
}

// processLine processes one line of input and writes the line of output.
func (h *Host) processLine(text []byte, encoder *json.Encoder, out *bufio.Writer) error {
	r, err := h.Batch(text)
	if err != nil {
		return err
	}
	if err := encoder.Encode(r); err != nil {
		return err
	}
	return out.Flush()
}

// Batch processes one line of input and returns the reply. After all messages have been applied, each instance with events steps
// once, in the order of their first events.
func (h *Host) Batch(text []byte) (*reply, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if b.TimeS == nil {
		return nil, errors.New("batch: TimeS is missing")
	}
	answer := &reply{Round: b.Round, Do: [][]any{}}
	var queue []*instance
	for i, raw := range b.In {
		in, err := h.receive(raw, answer)
		if err != nil {
			return nil, fmt.Errorf("message %d: %w", i, err)
		}
		if in != nil && !in.queued {
			in.queued = true
			queue = append(queue, in)
		}
	}
	now := config.SecondsToDuration(*b.TimeS)
	for _, in := range queue {
		in.queued = false
		if h.instances[in.node] == in { // a later message may have removed or replaced it
			answer.Do = in.step(now, answer.Do)
		}
	}
	return answer, nil
}

// receive decodes and applies one message. It returns the instance that the message has an event for, or nil.
func (h *Host) receive(raw []byte, answer *reply) (*instance, error) {
	m, err := decodeMessage(raw)
	if err != nil {
		return nil, err
	}
	in, err := h.apply(&m, answer)
	if err == nil {
		err = m.err
	}
	return in, err
}

func (h *Host) apply(m *message, answer *reply) (*instance, error) {
	if m.name == msgSheet {
		number, list, err := decodeSheet(m)
		h.lists[number] = list
		return nil, err
	}
	node := m.integer(1, "NodeId")
	switch m.name {
	case msgConfigure:
		return h.configure(node, m, answer)
	case msgExit:
		delete(h.instances, node)
		return nil, nil
	}
	in := h.instances[node]
	if in == nil {
		return nil, nil
	}
	e, ok := h.event(in, m)
	if !ok {
		return nil, nil
	}
	if e.Kind == aggregator.ClientGone {
		in.removeQuery(e.Query)
	}
	in.events = append(in.events, e)
	return in, nil
}

// configure starts an instance and replaces an earlier one of the same node. Settings that the module rejects are answered with a PANIC
// action.
func (h *Host) configure(node int, m *message, answer *reply) (*instance, error) {
	c := decodeConfiguration(m)
	if m.err != nil {
		return nil, m.err
	}
	set, err := config.Settings(c.settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", m.name, err)
	}
	module, err := aggregator.New(set, c.seed)
	if err != nil {
		answer.Do = append(answer.Do, encodePanic(node, err))
		return nil, nil
	}
	in := &instance{node: node, module: module, classes: map[string]int{}, tenants: map[string]int{},
		queryByNumber: map[int]string{}, numberByQuery: map[string]int{}}
	for i, c := range set.Classes {
		in.classes[c.Name] = i
	}
	for i, t := range set.Tenants {
		in.tenants[t.Name] = i
	}
	h.instances[node] = in
	return in, nil
}

// event converts a message to an event of the module; ok is false if the message yields none.
func (h *Host) event(in *instance, m *message) (e aggregator.Event, ok bool) {
	switch m.name {
	case msgIncoming:
		return in.arrivalEvent(decodeArrival(m)), true
	case msgCompleted:
		return decodeAttemptEnd(m), true
	case msgClientGone:
		return aggregator.Event{Kind: aggregator.ClientGone, Query: m.text(2, "Job")}, true
	case msgWakeup:
		return aggregator.Event{Kind: aggregator.Wakeup}, true
	case msgProbed:
		return decodeProbeEnd(m), true
	case msgFromPeer:
		data, err := hex.DecodeString(m.text(3, "Octets"))
		return aggregator.Event{Kind: aggregator.GossipReceived, Data: data}, err == nil
	case msgMembers:
		return h.listEvent(m)
	}
	return e, false
}

// listEvent converts a MEMBERS message to an event with the list that it refers to by number.
func (h *Host) listEvent(m *message) (e aggregator.Event, ok bool) {
	kind, known := listKinds[m.text(3, "Form")]
	if !known {
		return e, false
	}
	e.Kind = kind
	if kind != aggregator.ListCallFailed {
		e.Members = h.lists[m.integer(4, "Page")]
	}
	return e, true
}

// arrivalEvent returns the event for the arrival of a query or a part. A part refers to its query by number.
func (in *instance) arrivalEvent(a arrival) aggregator.Event {
	e := aggregator.Event{Shard: a.shard, Key: a.key, Work: a.work}
	if a.isPart() {
		e.Kind, e.Part, e.Query, e.Weight = aggregator.PartArrived, a.id, in.queryByNumber[a.number], a.weight
		return e
	}
	in.queryByNumber[a.number], in.numberByQuery[a.id] = a.id, a.number
	e.Kind, e.Query, e.PartCount, e.TimeLeft, e.Retry = aggregator.QueryArrived, a.id, a.partCount, a.timeLeft, a.retry
	e.Class, e.Tenant = indexOf(in.classes, a.class), indexOf(in.tenants, a.tenant)
	return e
}

// indexOf returns the index of a name, or -1 if it is unknown.
func indexOf(names map[string]int, name string) int {
	if i, ok := names[name]; ok {
		return i
	}
	return -1
}

// removeQuery removes a query that has ended, and its number.
func (in *instance) removeQuery(query string) {
	if number, ok := in.numberByQuery[query]; ok {
		delete(in.numberByQuery, query)
		delete(in.queryByNumber, number)
	}
}

// step passes the events of the batch to the module and appends its actions to do. A panic of the module becomes a PANIC action.
func (in *instance) step(now time.Duration, do [][]any) (result [][]any) {
	defer func() {
		in.events = in.events[:0]
		if r := recover(); r != nil {
			result = append(do, encodePanic(in.node, r))
		}
	}()
	in.actions = in.module.Step(now, in.events, in.actions[:0])
	for _, a := range in.actions {
		if a.Kind == aggregator.Reject || a.Kind == aggregator.Fail || a.Kind == aggregator.Answer && a.Final {
			in.removeQuery(a.Query)
		}
		do = append(do, encodeAction(in.node, a))
	}
	return do
}

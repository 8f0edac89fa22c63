package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/config"
)

// Host holds the instances of one process. They share the numbered lists of the wire and nothing else.
type Host struct {
	instances map[int]*instance
	lists    map[int][]aggregator.Member
}

// instance is one aggregator with the events and actions of the batch in hand.
type instance struct {
	node    int
	module     *aggregator.Aggregator
	classes map[string]int
	tenants map[string]int
	queryByNumber map[int]string // a query's number to its id
	numberByQuery map[string]int // and back, for as long as it is open
	events  []aggregator.Event
	actions []aggregator.Action
	queued  bool
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{instances: map[int]*instance{}, lists: map[int][]aggregator.Member{}}
}

// Serve answers batches from r on w until r ends.
func Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<20), bufio.NewWriterSize(w, 1<<20)
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	host := NewHost()
	for line := 1; ; line++ {
		text, err := in.ReadBytes('\n')
		if len(text) == 0 && err == io.EOF {
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", line, err)
		}
		answer, err := host.Batch(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := encoder.Encode(answer); err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
	}
}

// Batch runs one line of input and returns the line of output.
func (h *Host) Batch(text []byte) (*reply, error) {
	var b batch
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if b.TimeS == nil {
		return nil, fmt.Errorf("batch: TimeS is missing")
	}
	answer := &reply{Round: b.Round, Do: [][]any{}}
	var turn []*instance
	for i, raw := range b.In {
		f := message{}
		if err := json.Unmarshal(raw, &f.fields); err != nil {
			return nil, fmt.Errorf("message %d: %w", i, err)
		}
		f.read(0, "name", &f.name)
		in, err := h.apply(&f, answer)
		if err == nil {
			err = f.err
		}
		if err != nil {
			return nil, fmt.Errorf("message %d: %w", i, err)
		}
		if in != nil && !in.queued {
			in.queued = true
			turn = append(turn, in)
		}
	}
	now := config.Duration(*b.TimeS)
	for _, in := range turn {
		in.queued = false
		if h.instances[in.node] == in {
			answer.Do = in.step(now, answer.Do)
		}
	}
	return answer, nil
}

// take applies one message and returns the instance that has an event from it, if any.
func (h *Host) apply(f *message, answer *reply) (*instance, error) {
	if f.name == "SHEET" {
		var raw []json.RawMessage
		f.read(2, "Items", &raw)
		list, err := decodeMembers(raw)
		h.lists[f.integer(1, "Page")] = list
		return nil, err
	}
	node := f.integer(1, "NodeId")
	switch f.name {
	case "CONFIGURE":
		return h.configure(node, f, answer)
	case "EXIT":
		delete(h.instances, node)
		return nil, nil
	}
	in := h.instances[node]
	if in == nil {
		return nil, nil
	}
	e, ok := h.event(in, f)
	if !ok {
		return nil, nil
	}
	if e.Kind == aggregator.ClientGone {
		in.forget(e.Query)
	}
	in.events = append(in.events, e)
	return in, nil
}

// configure starts an instance afresh.
func (h *Host) configure(node int, f *message, answer *reply) (*instance, error) {
	var raw json.RawMessage
	var seed uint64
	f.read(3, "Settings", &raw)
	if len(f.fields) > 2 {
		if json.Unmarshal(f.fields[2], &seed) != nil {
			seed = uint64(int64(f.number(2, "Entropy")))
		}
	}
	if f.err != nil {
		return nil, f.err
	}
	set, err := config.Settings(raw)
	if err != nil {
		return nil, fmt.Errorf("CONFIGURE: %w", err)
	}
	agg, err := aggregator.New(set, seed)
	if err != nil {
		answer.Do = append(answer.Do, panicked(node, err))
		return nil, nil
	}
	in := &instance{node: node, module: agg, classes: map[string]int{}, tenants: map[string]int{},
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

// close forgets the number of a query that has ended.
func (in *instance) forget(query string) {
	if number, ok := in.numberByQuery[query]; ok {
		delete(in.numberByQuery, query)
		delete(in.queryByNumber, number)
	}
}

// step hands the instance its events of the batch and appends its actions to do.
func (in *instance) step(now time.Duration, do [][]any) (result [][]any) {
	defer func() {
		in.events = in.events[:0]
		if r := recover(); r != nil {
			result = append(do, panicked(in.node, r))
		}
	}()
	in.actions = in.module.Step(now, in.events, in.actions[:0])
	for _, a := range in.actions {
		if a.Kind == aggregator.Reject || a.Kind == aggregator.Fail || a.Kind == aggregator.Answer && a.Final {
			in.forget(a.Query)
		}
		do = append(do, encode(in.node, a))
	}
	return do
}

func panicked(node int, cause any) []any { return []any{"PANIC", node, fmt.Sprint(cause)} }

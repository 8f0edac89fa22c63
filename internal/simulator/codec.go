// Package simulator carries the decision module on the bench's wire: it reads batches of events for many
// instances, hands each instance its own, and writes their actions back. It decides nothing.
package simulator

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/config"
)

// batch is one line of input.
type batch struct {
	TimeS *float64
	Round json.RawMessage
	In    []json.RawMessage
}

// reply is one line of output.
type reply struct {
	Round json.RawMessage `json:"round,omitempty"`
	Do    [][]any         `json:"do"`
}

// fields reads the members of one message by position; the first failure sticks.
type message struct {
	fields  []json.RawMessage
	name string
	err  error
}

// read decodes member i into dst; missing and null members leave it as it is.
func (f *message) read(i int, field string, dst any) {
	if f.err != nil || i >= len(f.fields) {
		return
	}
	if err := json.Unmarshal(f.fields[i], dst); err != nil {
		f.err = fmt.Errorf("%s: %s: %w", f.name, field, err)
	}
}

func (f *message) text(i int, field string) (s string) {
	f.read(i, field, &s)
	return s
}

// label reads a text that some sites leave out by writing 0.
func (f *message) label(i int, field string) string {
	var v any
	f.read(i, field, &v)
	s, _ := v.(string)
	return s
}

func (f *message) number(i int, field string) (x float64) {
	f.read(i, field, &x)
	return x
}

func (f *message) integer(i int, field string) int { return int(f.number(i, field)) }

func (f *message) seconds(i int, field string) time.Duration {
	return config.Duration(f.number(i, field))
}

// report reads a load report, an object of numbers; what is missing or of another form is no report.
func (f *message) report(i int) map[string]float64 {
	var report map[string]float64
	if i >= len(f.fields) || json.Unmarshal(f.fields[i], &report) != nil {
		return nil
	}
	return report
}

func seconds(d time.Duration) float64 { return float64(d/time.Microsecond) / 1e6 }

var outcomes = map[string]aggregator.Outcome{
	"ok": aggregator.OK, "error": aggregator.Errored, "full": aggregator.Rejected, "timeout": aggregator.TimedOut,
	"connect_failed": aggregator.ConnectFailed, "reset": aggregator.Reset, "cancelled": aggregator.Cancelled,
	"moot": aggregator.NotSent,
}

var states = map[string]aggregator.State{
	"on": aggregator.Serving, "fading": aggregator.Draining, "off": aggregator.Gone,
}

var listKinds = map[string]aggregator.EventKind{
	"changes": aggregator.ListChanged, "all": aggregator.ListReplaced,
	"remembered": aggregator.ListCached, "refused": aggregator.ListCallFailed,
}

// members decodes the entries of a numbered list. A state it does not know reads as draining.
func decodeMembers(raw []json.RawMessage) ([]aggregator.Member, error) {
	list := make([]aggregator.Member, 0, len(raw))
	for _, entry := range raw {
		f := message{name: "SHEET entry"}
		if err := json.Unmarshal(entry, &f.fields); err != nil {
			return nil, fmt.Errorf("SHEET entry: %w", err)
		}
		state, known := states[f.text(2, "StageState")]
		if !known {
			state = aggregator.Draining
		}
		list = append(list, aggregator.Member{
			Started: f.seconds(1, "UpSinceS"), State: state, Replica: f.text(3, "Server"),
			ShardSet: f.integer(4, "Position"), Zone: f.text(5, "RegionPart"), Size: f.number(6, "Units"),
		})
		if f.err != nil {
			return nil, f.err
		}
	}
	return list, nil
}

// event decodes the messages that go to the module; ok is false for those that do not.
func (h *Host) event(in *instance, f *message) (e aggregator.Event, ok bool) {
	switch f.name {
	case "INCOMING":
		return in.arrival(f), true
	case "COMPLETED":
		e = aggregator.Event{Kind: aggregator.AttemptEnded, Part: f.text(2, "Job"), Attempt: f.integer(3, "Copy"),
			Replica: f.text(4, "Server"), Outcome: outcomes[f.text(5, "Ending")], Elapsed: f.seconds(6, "WaitTimeS")}
	case "TIMED_OUT_CLIENT":
		e = aggregator.Event{Kind: aggregator.ClientGone, Query: f.text(2, "Job")}
	case "WAKEUP":
		e = aggregator.Event{Kind: aggregator.Wakeup}
	case "PROBED":
		e = aggregator.Event{Kind: aggregator.ProbeEnded, Replica: f.text(2, "Server"),
			Outcome: outcomes[f.text(3, "Ending")], Elapsed: f.seconds(4, "WaitTimeS"), LoadReport: f.report(5)}
	case "FROM_PEER":
		data, err := hex.DecodeString(f.text(3, "Octets"))
		if err != nil {
			return e, false
		}
		e = aggregator.Event{Kind: aggregator.GossipReceived, Data: data}
	case "MEMBERS":
		kind, known := listKinds[f.text(3, "Form")]
		if !known {
			return e, false
		}
		e = aggregator.Event{Kind: kind}
		if kind != aggregator.ListCallFailed {
			e.Members = h.lists[f.integer(4, "Page")]
		}
	default:
		return e, false
	}
	return e, true
}

// Bits of INCOMING's Bitmap.
const (
	flagWorkKnown  = 1
	flagRetry = 2
)

// incoming decodes a query or a part; a part names its query by the number both carry.
func (in *instance) arrival(f *message) aggregator.Event {
	id, number, shard := f.text(2, "Job"), f.integer(4, "WholeNo"), f.integer(6, "SegmentNo")
	bits := f.integer(11, "Bitmap")
	e := aggregator.Event{Shard: shard, Key: f.label(9, "PathKey")}
	if bits&flagWorkKnown != 0 {
		e.Work = f.seconds(3, "ExpectedS")
	}
	if shard >= 0 {
		e.Kind, e.Part, e.Query, e.Weight = aggregator.PartArrived, id, in.queryByNumber[number], f.number(5, "Measure")
		return e
	}
	in.queryByNumber[number], in.numberByQuery[id] = id, number
	e.Kind, e.Query, e.Count, e.TimeLeft = aggregator.QueryArrived, id, f.integer(5, "Measure"), f.seconds(8, "LeftS")
	e.Retry = bits&flagRetry != 0
	e.Class, e.Tenant = indexOf(in.classes, f.label(10, "Type")), indexOf(in.tenants, f.label(7, "Tenant"))
	return e
}

func indexOf(names map[string]int, name string) int {
	if i, ok := names[name]; ok {
		return i
	}
	return -1
}

// encode turns one action into the wire's form.
func encode(node int, a aggregator.Action) []any {
	switch a.Kind {
	case aggregator.Send:
		return []any{"TRANSMIT", node, a.Part, a.Replica, seconds(a.After)}
	case aggregator.Cancel:
		return []any{"CALL_OFF", node, a.Part, a.Attempt}
	case aggregator.Answer:
		return []any{"WRAP_UP", node, a.Query, a.Complete}
	case aggregator.Reject:
		return []any{"BOUNCE", node, a.Query, seconds(a.After)}
	case aggregator.Fail:
		return []any{"SURRENDER", node, a.Query}
	case aggregator.Probe:
		return []any{"SOUND_OUT", node, a.Replica}
	case aggregator.Wake:
		return []any{"DEFER", node, seconds(a.After), "wake"}
	case aggregator.CloseIdle:
		return []any{"CLOSE_IDLE", node, a.Replica}
	case aggregator.SendGossip:
		return []any{"MEMO_TO", node, "all", hex.EncodeToString(a.Data)}
	case aggregator.PollEndpoints:
		return []any{"LISTEN", node, true}
	}
	return []any{"PANIC", node, fmt.Sprintf("action of unknown kind %d", a.Kind)}
}

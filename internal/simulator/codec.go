package simulator

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"gullfall/aggregator"
)

// Names of the incoming messages.
const (
	msgConfigure  = "CONFIGURE"
	msgExit       = "EXIT"
	msgSheet      = "SHEET"
	msgIncoming   = "INCOMING"
	msgCompleted  = "COMPLETED"
	msgClientGone = "TIMED_OUT_CLIENT"
	msgWakeup     = "WAKEUP"
	msgProbed     = "PROBED"
	msgFromPeer   = "FROM_PEER"
	msgMembers    = "MEMBERS"
)

// Names of the outgoing actions.
const (
	actSend          = "TRANSMIT"
	actCancel        = "CALL_OFF"
	actAnswer        = "WRAP_UP"
	actReject        = "BOUNCE"
	actFail          = "SURRENDER"
	actProbe         = "SOUND_OUT"
	actWake          = "DEFER"
	actCloseIdle     = "CLOSE_IDLE"
	actSendGossip    = "MEMO_TO"
	actPollEndpoints = "LISTEN"
	actPanic         = "PANIC"
)

// Fixed values of action fields.
const (
	wakeToken = "wake"
	allPeers  = "all"
)

var outcomes = map[string]aggregator.Outcome{
	"ok":             aggregator.OK,
	"error":          aggregator.Errored,
	"full":           aggregator.Rejected,
	"timeout":        aggregator.TimedOut,
	"connect_failed": aggregator.ConnectFailed,
	"reset":          aggregator.Reset,
	"cancelled":      aggregator.Cancelled,
	"moot":           aggregator.NotSent,
}

var states = map[string]aggregator.State{
	"on":     aggregator.Serving,
	"fading": aggregator.Draining,
	"off":    aggregator.Gone,
}

var listKinds = map[string]aggregator.EventKind{
	"changes":    aggregator.ListChanged,
	"all":        aggregator.ListReplaced,
	"remembered": aggregator.ListCached,
	"refused":    aggregator.ListCallFailed,
}

// Bits of INCOMING's Bitmap field.
const (
	flagWorkKnown = 1
	flagRetry     = 2
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

// configuration holds the fields of a CONFIGURE message.
type configuration struct {
	seed     uint64
	settings json.RawMessage
}

// decodeConfiguration decodes a CONFIGURE message. A seed that is not an unsigned 64-bit integer is read as a number and truncated.
func decodeConfiguration(m *message) (c configuration) {
	m.read(3, "Settings", &c.settings)
	if len(m.fields) > 2 && json.Unmarshal(m.fields[2], &c.seed) != nil {
		c.seed = uint64(int64(m.number(2, "Entropy")))
	}
	return c
}

// decodeSheet decodes a SHEET message: a numbered list of data nodes, to which later messages refer by that number.
func decodeSheet(m *message) (number int, list []aggregator.Member, err error) {
	var items []json.RawMessage
	m.read(2, "Items", &items)
	list, err = decodeMembers(items)
	return m.integer(1, "Page"), list, err
}

// decodeMembers decodes the entries of a list. An unknown state is treated as draining.
func decodeMembers(items []json.RawMessage) ([]aggregator.Member, error) {
	list := make([]aggregator.Member, 0, len(items))
	for _, item := range items {
		m := message{name: "SHEET entry"}
		if err := json.Unmarshal(item, &m.fields); err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		state, known := states[m.text(2, "StageState")]
		if !known {
			state = aggregator.Draining
		}
		list = append(list, aggregator.Member{
			Started:  m.seconds(1, "UpSinceS"),
			State:    state,
			Replica:  m.text(3, "Server"),
			ShardSet: m.integer(4, "Position"),
			Zone:     m.text(5, "RegionPart"),
			Size:     m.number(6, "Units"),
		})
		if m.err != nil {
			return nil, m.err
		}
	}
	return list, nil
}

// arrival holds the fields of an INCOMING message. It announces a part if its shard is not negative, otherwise a query.
type arrival struct {
	id     string
	number int // number of the query; its parts carry the same one
	shard  int
	key    string
	work   time.Duration // expected work; 0 if unknown

	weight float64 // parts only

	// The fields below are set for queries only.
	partCount int
	timeLeft  time.Duration
	retry     bool
	class     string
	tenant    string
}

func (a *arrival) isPart() bool { return a.shard >= 0 }

// decodeArrival decodes an INCOMING message. Only the fields that apply to its kind are read; the others may hold any value.
func decodeArrival(m *message) arrival {
	a := arrival{id: m.text(2, "Job"), number: m.integer(4, "WholeNo"), shard: m.integer(6, "SegmentNo")}
	flags := m.integer(11, "Bitmap")
	a.key = m.optionalText(9, "PathKey")
	if flags&flagWorkKnown != 0 {
		a.work = m.seconds(3, "ExpectedS")
	}
	if a.isPart() {
		a.weight = m.number(5, "Measure")
		return a
	}
	a.partCount, a.timeLeft = m.integer(5, "Measure"), m.seconds(8, "LeftS")
	a.retry = flags&flagRetry != 0
	a.class, a.tenant = m.optionalText(10, "Type"), m.optionalText(7, "Tenant")
	return a
}

func decodeAttemptEnd(m *message) aggregator.Event {
	return aggregator.Event{
		Kind:    aggregator.AttemptEnded,
		Part:    m.text(2, "Job"),
		Attempt: m.integer(3, "Copy"),
		Replica: m.text(4, "Server"),
		Outcome: outcomes[m.text(5, "Ending")],
		Elapsed: m.seconds(6, "WaitTimeS"),
	}
}

func decodeProbeEnd(m *message) aggregator.Event {
	return aggregator.Event{
		Kind:       aggregator.ProbeEnded,
		Replica:    m.text(2, "Server"),
		Outcome:    outcomes[m.text(3, "Ending")],
		Elapsed:    m.seconds(4, "WaitTimeS"),
		LoadReport: m.loadReport(5),
	}
}

// encodeAction returns an instance's action in the simulator's format.
func encodeAction(node int, a aggregator.Action) []any {
	switch a.Kind {
	case aggregator.Send:
		return []any{actSend, node, a.Part, a.Replica, seconds(a.After)}
	case aggregator.Cancel:
		return []any{actCancel, node, a.Part, a.Attempt}
	case aggregator.Answer:
		return []any{actAnswer, node, a.Query, a.Complete}
	case aggregator.Reject:
		return []any{actReject, node, a.Query, seconds(a.After)}
	case aggregator.Fail:
		return []any{actFail, node, a.Query}
	case aggregator.Probe:
		return []any{actProbe, node, a.Replica}
	case aggregator.Wake:
		return []any{actWake, node, seconds(a.After), wakeToken}
	case aggregator.CloseIdle:
		return []any{actCloseIdle, node, a.Replica}
	case aggregator.SendGossip:
		return []any{actSendGossip, node, allPeers, hex.EncodeToString(a.Data)}
	case aggregator.PollEndpoints:
		return []any{actPollEndpoints, node, true}
	}
	return encodePanic(node, fmt.Sprintf("action of unknown kind %d", a.Kind))
}

// encodePanic returns the action that reports a failed instance to the simulator.
func encodePanic(node int, cause any) []any { return []any{actPanic, node, fmt.Sprint(cause)} }

// seconds converts d to seconds, truncated to whole microseconds.
func seconds(d time.Duration) float64 { return float64(d/time.Microsecond) / 1e6 }

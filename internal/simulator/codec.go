package simulator

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"gullfall/aggregator"
)

// Names of the messages that come in.
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

// Names of the actions that go out.
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

// Words of the simulator that stand in an action.
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

// Flags of INCOMING.
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

// configuration is what CONFIGURE says.
type configuration struct {
	seed     uint64
	settings json.RawMessage
}

// decodeConfiguration reads a CONFIGURE. A seed that is no unsigned integer is read as a number and cut off.
func decodeConfiguration(m *message) (c configuration) {
	m.read(3, "Settings", &c.settings)
	if len(m.fields) > 2 && json.Unmarshal(m.fields[2], &c.seed) != nil {
		c.seed = uint64(int64(m.number(2, "Entropy")))
	}
	return c
}

// decodeSheet reads a SHEET: a list of data nodes under a number, which later messages name.
func decodeSheet(m *message) (page int, list []aggregator.Member, err error) {
	var items []json.RawMessage
	m.read(2, "Items", &items)
	list, err = decodeMembers(items)
	return m.integer(1, "Page"), list, err
}

// decodeMembers reads the entries of a list. A state that is not known reads as draining.
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

// arrival is what INCOMING says of a query, or of a part where its shard is not negative.
type arrival struct {
	id     string
	number int // of the query; its parts carry the same
	shard  int
	key    string
	work   time.Duration // 0 where not known

	weight float64 // of a part

	count    int // of a query, as all that follows
	timeLeft time.Duration
	retry    bool
	class    string
	tenant   string
}

func (a *arrival) isPart() bool { return a.shard >= 0 }

// decodeArrival reads an INCOMING. Only the fields that the kind of arrival uses are read; the others may hold anything.
func decodeArrival(m *message) arrival {
	a := arrival{id: m.text(2, "Job"), number: m.integer(4, "WholeNo"), shard: m.integer(6, "SegmentNo")}
	flags := m.integer(11, "Bitmap")
	a.key = m.label(9, "PathKey")
	if flags&flagWorkKnown != 0 {
		a.work = m.seconds(3, "ExpectedS")
	}
	if a.isPart() {
		a.weight = m.number(5, "Measure")
		return a
	}
	a.count, a.timeLeft = m.integer(5, "Measure"), m.seconds(8, "LeftS")
	a.retry = flags&flagRetry != 0
	a.class, a.tenant = m.label(10, "Type"), m.label(7, "Tenant")
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
		LoadReport: m.report(5),
	}
}

// encode turns one action of an instance into the simulator's form.
func encode(node int, a aggregator.Action) []any {
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

// encodePanic tells the simulator that an instance can't go on.
func encodePanic(node int, cause any) []any { return []any{actPanic, node, fmt.Sprint(cause)} }

// seconds is a time in the simulator's form, in whole microseconds.
func seconds(d time.Duration) float64 { return float64(d/time.Microsecond) / 1e6 }

package swimsim

import (
	"strconv"
	"time"

	"gullfall/internal/swim"
)

// swimDetector is a failure detector that runs internal/swim.
type swimDetector struct {
	swim    *swim.Swim
	changed bool // whether the last step changed the state of a member
}

func (m *swimDetector) step(now time.Duration, in []any) (list []packet) {
	events := make([]swim.Event, 0, len(in))
	for _, body := range in {
		switch b := body.(type) {
		case *swim.Message:
			events = append(events, swim.Event{Packet: b})
		case *swim.FullState:
			events = append(events, swim.Event{Full: b})
		}
	}
	m.changed = false
	for _, a := range m.swim.Step(now, events...) {
		to := -1
		if a.Change == nil {
			to, _ = strconv.Atoi(a.To)
		}
		switch {
		case a.Packet != nil:
			list = append(list, packet{to: to, body: a.Packet, size: a.Packet.Size()})
		case a.Full != nil:
			list = append(list, packet{to: to, body: a.Full, size: a.Full.Size(), stream: true})
		case a.Change != nil:
			m.changed = true
		}
	}
	return list
}

func (m *swimDetector) next() time.Duration { return m.swim.NextWake() }

func (m *swimDetector) dead(i int) bool {
	state, known := m.swim.State(Name(i))
	return known && state == swim.Dead
}

func (m *swimDetector) alive(i int) bool {
	state, known := m.swim.State(Name(i))
	return known && state <= swim.Suspect
}

package swimsim

import (
	"strconv"
	"time"

	"gullfall/internal/swim"
)

// member is a detector that runs swim.
type member struct {
	swim    *swim.Swim
	changed bool
}

func (m *member) step(now time.Duration, in []any) (list []packet) {
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

func (m *member) next() time.Duration { return m.swim.NextWake() }

func (m *member) dead(i int) bool {
	state, known := m.swim.State(Name(i))
	return known && state == swim.Dead
}

func (m *member) alive(i int) bool {
	state, known := m.swim.State(Name(i))
	return known && state <= swim.Suspect
}

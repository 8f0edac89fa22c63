package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"gullfall/internal/config"
)

// message is one message, an array whose first member is its name. Its fields are read by position; the first failure sticks.
type message struct {
	fields []json.RawMessage
	name   string
	err    error
}

// decodeMessage reads an array and its name. A name of the wrong type is left in the message's err.
func decodeMessage(raw []byte) (m message, err error) {
	if err := json.Unmarshal(raw, &m.fields); err != nil {
		return m, err
	}
	m.read(0, "name", &m.name)
	return m, nil
}

// read decodes a field into dst; a missing or null one leaves dst as it is.
func (m *message) read(position int, field string, dst any) {
	if m.err != nil || position >= len(m.fields) {
		return
	}
	if err := json.Unmarshal(m.fields[position], dst); err != nil {
		m.err = fmt.Errorf("%s: %s: %w", m.name, field, err)
	}
}

func (m *message) text(position int, field string) (s string) {
	m.read(position, field, &s)
	return s
}

// label reads a text that some sites leave out by writing 0.
func (m *message) label(position int, field string) string {
	var v any
	m.read(position, field, &v)
	s, _ := v.(string)
	return s
}

func (m *message) number(position int, field string) (x float64) {
	m.read(position, field, &x)
	return x
}

func (m *message) integer(position int, field string) int { return int(m.number(position, field)) }

func (m *message) seconds(position int, field string) time.Duration {
	return config.Duration(m.number(position, field))
}

// report reads a load report, an object of numbers; what is missing or of another form is no report.
func (m *message) report(position int) map[string]float64 {
	var report map[string]float64
	if position >= len(m.fields) || json.Unmarshal(m.fields[position], &report) != nil {
		return nil
	}
	return report
}

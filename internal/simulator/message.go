package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"gullfall/internal/config"
)

// message is a JSON array whose first element is the message's name. Fields are read by position; err keeps the first decoding error.
type message struct {
	fields []json.RawMessage
	name   string
	err    error
}

// decodeMessage decodes the array and the name. A name of the wrong type is reported in the message's err.
func decodeMessage(raw []byte) (m message, err error) {
	if err := json.Unmarshal(raw, &m.fields); err != nil {
		return m, err
	}
	m.read(0, "name", &m.name)
	return m, nil
}

// read decodes a field into dst; a missing or null field leaves dst unchanged.
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

// optionalText returns a string field; "" for another type, since the simulator sometimes writes 0 for an absent text.
func (m *message) optionalText(position int, field string) string {
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
	return config.SecondsToDuration(m.number(position, field))
}

// loadReport returns a load report, an object of numbers; nil if the field is missing or has another type.
func (m *message) loadReport(position int) map[string]float64 {
	var report map[string]float64
	if position >= len(m.fields) || json.Unmarshal(m.fields[position], &report) != nil {
		return nil
	}
	return report
}

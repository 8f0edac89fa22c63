package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"gullfall/internal/observations"
)

// maxFactBytes bounds the encoded facts of a packet.
const maxFactBytes = 1100

func appendFact(b []byte, f *observations.Fact) []byte {
	b = appendText(append(b, byte(f.Field)), f.Node)
	b = binary.AppendUvarint(b, uint64(f.Stamp.Physical))
	b = binary.AppendUvarint(b, uint64(f.Stamp.Logical))
	b = appendText(b, f.Stamp.Coordinator)
	b = binary.AppendUvarint(b, uint64((f.Age+time.Millisecond-1)/time.Millisecond)) // rounded up: never younger than it is
	return binary.BigEndian.AppendUint32(b, math.Float32bits(float32(f.Value)))
}

// AppendFacts encodes as many facts as fit into a packet, and returns how many.
func AppendFacts(b []byte, facts []observations.Fact) ([]byte, int) {
	var body []byte
	n := 0
	for i := range facts {
		next := appendFact(body, &facts[i])
		if len(next) > maxFactBytes {
			break
		}
		body, n = next, n+1
	}
	b = binary.AppendUvarint(append(b, kindFacts), uint64(n))
	return append(b, body...), n
}

// DecodeFacts decodes an opened packet of facts. internal/observations decides whether each of them is accepted. The error is
// errMalformed.
func DecodeFacts(b []byte) (facts []observations.Fact, err error) {
	d := &decoder{rest: b}
	if d.readByte() != kindFacts {
		return nil, errMalformed
	}
	for range d.count(minFactBytes) {
		f := observations.Fact{Field: observations.Field(d.readByte()), Node: d.text()}
		at, n := d.uvarint(), d.uvarint()
		f.Stamp = observations.Stamp{Physical: int64(at), Logical: uint32(n), Coordinator: d.text()}
		age := d.uvarint()
		f.Age = time.Duration(age) * time.Millisecond
		if raw := d.readBytes(4); raw != nil {
			f.Value = float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))
		}
		d.failed = d.failed || at > math.MaxInt64 || n > math.MaxUint32 || age > math.MaxInt32
		facts = append(facts, f)
	}
	if d.failed || len(d.rest) > 0 {
		return nil, errMalformed
	}
	return facts, nil
}

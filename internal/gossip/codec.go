package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"gullfall/internal/swim"
)

// Version is the first byte of every packet and exchange.
const Version = 1

// Message kinds in addition to those of swim.
const (
	kindFacts = 0x40
	kindFull  = 0x80
)

const (
	maxTextBytes  = 255
	maxListLength = 20_000 // entries of one list in an exchange
)

// Minimum encoded sizes of list entries.
const (
	minUpdateBytes = 13
	minLinkBytes   = 5
	minFactBytes   = 10
)

// errMalformed is returned for bytes that are not a valid message.
var errMalformed = errors.New("malformed message")

func appendText(b []byte, s string) []byte {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	return append(append(b, byte(len(s))), s...)
}

func appendUpdate(b []byte, u *swim.Update) []byte {
	b = append(b, byte(u.State))
	b = binary.AppendUvarint(b, u.Incarnation)
	b = binary.BigEndian.AppendUint64(b, u.Process)
	return appendText(appendText(appendText(b, u.Name), u.Addr), u.By)
}

func appendLink(b []byte, l *swim.Link) []byte {
	flag := byte(0)
	if l.Cut {
		flag = 1
	}
	b = binary.AppendUvarint(append(b, flag), uint64(l.Version))
	return appendText(appendText(appendText(b, l.From), l.To), l.By)
}

// AppendMessage encodes a message.
func AppendMessage(b []byte, m *swim.Message) []byte {
	b = binary.BigEndian.AppendUint32(append(b, byte(m.Kind)), m.Seq)
	b = appendUpdate(b, &m.From)
	b = appendText(appendText(appendText(appendText(b, m.Target), m.Addr), m.Via), m.Reason)
	b = binary.AppendUvarint(b, uint64(len(m.Updates)))
	for i := range m.Updates {
		b = appendUpdate(b, &m.Updates[i])
	}
	b = binary.AppendUvarint(b, uint64(len(m.Links)))
	for i := range m.Links {
		b = appendLink(b, &m.Links[i])
	}
	return b
}

// AppendFull encodes a full state.
func AppendFull(b []byte, f *swim.FullState) []byte {
	flag := byte(0)
	if f.Reply {
		flag = 1
	}
	b = appendUpdate(append(b, kindFull, flag), &f.From)
	b = appendText(b, f.RejectReason)
	b = binary.AppendUvarint(b, uint64(len(f.Members)))
	for i := range f.Members {
		b = appendUpdate(b, &f.Members[i])
	}
	b = binary.AppendUvarint(b, uint64(len(f.Links)))
	for i := range f.Links {
		b = appendLink(b, &f.Links[i])
	}
	return b
}

// decoder reads an encoded message. After the first error it returns zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) readBytes(n int) []byte {
	if d.failed || n > len(d.rest) {
		d.failed = true
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) readByte() byte {
	if b := d.readBytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || d.failed {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) text() string { return string(d.readBytes(int(d.readByte()))) }

// count reads the length of a list whose entries take at least minBytes each. A length that the remaining bytes can't hold is
// rejected before anything is allocated for it.
func (d *decoder) count(minBytes int) int {
	n := d.uvarint()
	if n > maxListLength || n > uint64(len(d.rest)/minBytes) {
		d.failed = true
		return 0
	}
	return int(n)
}

func (d *decoder) update() (u swim.Update) {
	u.State = swim.State(d.readByte())
	u.Incarnation = d.uvarint()
	if b := d.readBytes(8); b != nil {
		u.Process = binary.BigEndian.Uint64(b)
	}
	u.Name, u.Addr, u.By = d.text(), d.text(), d.text()
	d.failed = d.failed || u.State > swim.Left || u.Name == "" || u.Addr == ""
	return u
}

func (d *decoder) link() (l swim.Link) {
	flag := d.readByte()
	v := d.uvarint()
	l.Cut, l.Version = flag == 1, uint32(v)
	l.From, l.To, l.By = d.text(), d.text(), d.text()
	d.failed = d.failed || flag > 1 || v > 1<<32-1
	return l
}

func (d *decoder) updates() (list []swim.Update) {
	for range d.count(minUpdateBytes) {
		list = append(list, d.update())
	}
	return list
}

func (d *decoder) links() (list []swim.Link) {
	for range d.count(minLinkBytes) {
		list = append(list, d.link())
	}
	return list
}

// Decode decodes an opened packet or exchange, and returns the message or the full state that it holds. The error wraps
// errMalformed.
func Decode(b []byte) (*swim.Message, *swim.FullState, error) {
	d := &decoder{rest: b}
	kind := d.readByte()
	if kind == kindFull {
		flag := d.readByte()
		f := &swim.FullState{Reply: flag == 1, From: d.update(), RejectReason: d.text()}
		f.Members, f.Links = d.updates(), d.links()
		if d.failed || flag > 1 || len(d.rest) > 0 {
			return nil, nil, errMalformed
		}
		return nil, f, nil
	}
	m := &swim.Message{Kind: swim.Kind(kind)}
	if b := d.readBytes(4); b != nil {
		m.Seq = binary.BigEndian.Uint32(b)
	}
	m.From = d.update()
	m.Target, m.Addr, m.Via, m.Reason = d.text(), d.text(), d.text(), d.text()
	m.Updates, m.Links = d.updates(), d.links()
	if d.failed || len(d.rest) > 0 || m.Kind < swim.Ping || m.Kind > swim.Updates {
		return nil, nil, fmt.Errorf("%w: kind %d, %d bytes", errMalformed, kind, len(b))
	}
	return m, nil, nil
}

// Package gossip is the coordinators' own talk: sealed packets for internal/swim over UDP, and full exchanges over TCP, on
// one loopback address. This file owns the encoding; docs/formats/gossip.md describes it byte by byte. It must never decide
// who is there, allocate for a length before it was checked, or let what comes in end the process.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"gullfall/internal/swim"
)

// Version is the first byte of every packet and exchange.
const Version = 1

const (
	kindFull = 0x80 // beside the kinds of swim
	maxTextBytes = 255
	maxListLength = 20_000 // entries of one list in an exchange
)

// errForm marks bytes that are no message.
var errMalformed = errors.New("not a message of this version")

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

// AppendMessage encodes a packet's message.
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

// AppendFull encodes an exchange.
func AppendFull(b []byte, f *swim.Full) []byte {
	flag := byte(0)
	if f.Reply {
		flag = 1
	}
	b = appendUpdate(append(b, kindFull, flag), &f.From)
	b = appendText(b, f.Refused)
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

// reader takes an encoding apart; after the first fault it yields zeros.
type decoder struct {
	rest   []byte
	failed bool
}

func (r *decoder) readBytes(n int) []byte {
	if r.failed || n > len(r.rest) {
		r.failed = true
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *decoder) readByte() byte {
	if b := r.readBytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || r.failed {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *decoder) text() string { return string(r.readBytes(int(r.readByte()))) }

// count reads a list's length. Each entry takes at least so many bytes: a longer list can't be there.
func (r *decoder) count(least int) int {
	n := r.uvarint()
	if n > maxListLength || n > uint64(len(r.rest)/least) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *decoder) update() (u swim.Update) {
	u.State = swim.State(r.readByte())
	u.Incarnation = r.uvarint()
	if b := r.readBytes(8); b != nil {
		u.Process = binary.BigEndian.Uint64(b)
	}
	u.Name, u.Addr, u.By = r.text(), r.text(), r.text()
	r.failed = r.failed || u.State > swim.Left || u.Name == "" || u.Addr == ""
	return u
}

func (r *decoder) link() (l swim.Link) {
	flag := r.readByte()
	v := r.uvarint()
	l.Cut, l.Version = flag == 1, uint32(v)
	l.From, l.To, l.By = r.text(), r.text(), r.text()
	r.failed = r.failed || flag > 1 || v > 1<<32-1
	return l
}

func (r *decoder) updates() (list []swim.Update) {
	for range r.count(13) {
		list = append(list, r.update())
	}
	return list
}

func (r *decoder) links() (list []swim.Link) {
	for range r.count(5) {
		list = append(list, r.link())
	}
	return list
}

// Decode reads an opened packet or exchange: one of the two is set.
func Decode(b []byte) (*swim.Message, *swim.Full, error) {
	r := &decoder{rest: b}
	kind := r.readByte()
	if kind == kindFull {
		flag := r.readByte()
		f := &swim.Full{Reply: flag == 1, From: r.update(), Refused: r.text()}
		f.Members, f.Links = r.updates(), r.links()
		if r.failed || flag > 1 || len(r.rest) > 0 {
			return nil, nil, errMalformed
		}
		return nil, f, nil
	}
	m := &swim.Message{Kind: swim.Kind(kind)}
	if b := r.readBytes(4); b != nil {
		m.Seq = binary.BigEndian.Uint32(b)
	}
	m.From = r.update()
	m.Target, m.Addr, m.Via, m.Reason = r.text(), r.text(), r.text(), r.text()
	m.Updates, m.Links = r.updates(), r.links()
	if r.failed || len(r.rest) > 0 || m.Kind < swim.Ping || m.Kind > swim.Updates {
		return nil, nil, fmt.Errorf("%w: kind %d, %d bytes", errMalformed, kind, len(b))
	}
	return m, nil, nil
}

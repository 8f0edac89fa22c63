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
	fullKind = 0x80 // beside the kinds of swim
	mostName = 255
	mostList = 20_000 // entries of one list in an exchange
)

// errForm marks bytes that are no message.
var errForm = errors.New("not a message of this version")

func text(b []byte, s string) []byte {
	if len(s) > mostName {
		s = s[:mostName]
	}
	return append(append(b, byte(len(s))), s...)
}

func update(b []byte, u *swim.Update) []byte {
	b = append(b, byte(u.State))
	b = binary.AppendUvarint(b, u.Incarnation)
	b = binary.BigEndian.AppendUint64(b, u.Process)
	return text(text(text(b, u.Name), u.Addr), u.By)
}

func link(b []byte, l *swim.Link) []byte {
	flag := byte(0)
	if l.Cut {
		flag = 1
	}
	b = binary.AppendUvarint(append(b, flag), uint64(l.Version))
	return text(text(text(b, l.From), l.To), l.By)
}

// AppendMessage encodes a packet's message.
func AppendMessage(b []byte, m *swim.Message) []byte {
	b = binary.BigEndian.AppendUint32(append(b, byte(m.Kind)), m.Seq)
	b = update(b, &m.From)
	b = text(text(text(text(b, m.Target), m.Addr), m.Via), m.Reason)
	b = binary.AppendUvarint(b, uint64(len(m.Updates)))
	for i := range m.Updates {
		b = update(b, &m.Updates[i])
	}
	b = binary.AppendUvarint(b, uint64(len(m.Links)))
	for i := range m.Links {
		b = link(b, &m.Links[i])
	}
	return b
}

// AppendFull encodes an exchange.
func AppendFull(b []byte, f *swim.Full) []byte {
	flag := byte(0)
	if f.Reply {
		flag = 1
	}
	b = update(append(b, fullKind, flag), &f.From)
	b = text(b, f.Refused)
	b = binary.AppendUvarint(b, uint64(len(f.Members)))
	for i := range f.Members {
		b = update(b, &f.Members[i])
	}
	b = binary.AppendUvarint(b, uint64(len(f.Links)))
	for i := range f.Links {
		b = link(b, &f.Links[i])
	}
	return b
}

// reader takes an encoding apart; after the first fault it yields zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) bytes(n int) []byte {
	if r.bad || n > len(r.b) {
		r.bad = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || r.bad {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() string { return string(r.bytes(int(r.byte()))) }

// count reads a list's length. Each entry takes at least so many bytes: a longer list can't be there.
func (r *reader) count(least int) int {
	n := r.uvarint()
	if n > mostList || n > uint64(len(r.b)/least) {
		r.bad = true
		return 0
	}
	return int(n)
}

func (r *reader) update() (u swim.Update) {
	u.State = swim.State(r.byte())
	u.Incarnation = r.uvarint()
	if b := r.bytes(8); b != nil {
		u.Process = binary.BigEndian.Uint64(b)
	}
	u.Name, u.Addr, u.By = r.text(), r.text(), r.text()
	r.bad = r.bad || u.State > swim.Left || u.Name == "" || u.Addr == ""
	return u
}

func (r *reader) link() (l swim.Link) {
	flag := r.byte()
	v := r.uvarint()
	l.Cut, l.Version = flag == 1, uint32(v)
	l.From, l.To, l.By = r.text(), r.text(), r.text()
	r.bad = r.bad || flag > 1 || v > 1<<32-1
	return l
}

func (r *reader) updates() (list []swim.Update) {
	for range r.count(13) {
		list = append(list, r.update())
	}
	return list
}

func (r *reader) links() (list []swim.Link) {
	for range r.count(5) {
		list = append(list, r.link())
	}
	return list
}

// Decode reads an opened packet or exchange: one of the two is set.
func Decode(b []byte) (*swim.Message, *swim.Full, error) {
	r := &reader{b: b}
	kind := r.byte()
	if kind == fullKind {
		flag := r.byte()
		f := &swim.Full{Reply: flag == 1, From: r.update(), Refused: r.text()}
		f.Members, f.Links = r.updates(), r.links()
		if r.bad || flag > 1 || len(r.b) > 0 {
			return nil, nil, errForm
		}
		return nil, f, nil
	}
	m := &swim.Message{Kind: swim.Kind(kind)}
	if b := r.bytes(4); b != nil {
		m.Seq = binary.BigEndian.Uint32(b)
	}
	m.From = r.update()
	m.Target, m.Addr, m.Via, m.Reason = r.text(), r.text(), r.text(), r.text()
	m.Updates, m.Links = r.updates(), r.links()
	if r.bad || len(r.b) > 0 || m.Kind < swim.Ping || m.Kind > swim.Updates {
		return nil, nil, fmt.Errorf("%w: kind %d, %d bytes", errForm, kind, len(b))
	}
	return m, nil, nil
}

package dnssd

// This file owns the socket on which servers tell that a zone has changed (NOTIFY, RFC 1996). What comes is a hint
// to ask, never an answer. It must never react to who is not allowed, or tell strangers that it is there.

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"
)

// Listener takes in NOTIFY messages for the zones that are followed.
type Listener struct {
	Allow     *bart.Lite
	Followers []*Follower

	accepted, dropped atomic.Uint64
}

// Serve reads from the socket until ctx ends; it closes it.
func (l *Listener) Serve(ctx context.Context, pc net.PacketConn) error {
	secrets := map[string]string{}
	for _, f := range l.Followers {
		if k := f.Zone.Key; k != nil {
			secrets[k.Name] = k.Secret
		}
	}
	server := &dns.Server{PacketConn: pc, Handler: l, TsigSecret: secrets,
		MsgAcceptFunc: func(h dns.Header) dns.MsgAcceptAction {
			const response, opcode = 1 << 15, 0xf
			if h.Bits&response != 0 || int(h.Bits>>11)&opcode != dns.OpcodeNotify || h.Qdcount != 1 {
				l.dropped.Add(1)
				return dns.MsgIgnore
			}
			return dns.MsgAccept
		}}
	defer context.AfterFunc(ctx, func() { server.ShutdownContext(context.Background()) })()
	return server.ActivateAndServe()
}

// ServeDNS takes in one message.
func (l *Listener) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	from, err := netip.ParseAddrPort(w.RemoteAddr().String())
	if err != nil || !l.Allow.Contains(from.Addr().Unmap()) || q.Opcode != dns.OpcodeNotify || len(q.Question) != 1 {
		l.dropped.Add(1)
		return
	}
	name, known := strings.ToLower(q.Question[0].Name), false
	for _, f := range l.Followers {
		if !dns.IsSubDomain(name, strings.ToLower(f.Zone.Domain)) {
			continue // neither the zone nor one that it lies in
		}
		if k := f.Zone.Key; k != nil && (q.IsTsig() == nil || w.TsigStatus() != nil || !strings.EqualFold(q.IsTsig().Hdr.Name, k.Name)) {
			continue
		}
		known = true
		f.Refresh()
	}
	if !known {
		l.dropped.Add(1)
		return
	}
	l.accepted.Add(1)
	a := new(dns.Msg).SetReply(q)
	a.Authoritative = true
	if t := q.IsTsig(); t != nil {
		a.SetTsig(t.Hdr.Name, t.Algorithm, 300, int64(t.TimeSigned))
	}
	w.WriteMsg(a)
}

// Counts are the messages that were taken and those that were not.
func (l *Listener) Counts() (taken, dropped uint64) { return l.accepted.Load(), l.dropped.Load() }

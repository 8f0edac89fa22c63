package dnssd

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"
)

// Listener takes NOTIFY messages (RFC 1996), by which servers say that a followed zone has changed. A message is a hint to poll
// the zone and nothing more. Whoever is not allowed gets no answer.
type Listener struct {
	Allow     *bart.Lite // who may send them
	Followers []*Follower

	accepted, dropped atomic.Uint64
}

// Serve reads from the socket until ctx ends, and closes it.
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
	defer context.AfterFunc(ctx, func() { _ = server.ShutdownContext(context.Background()) })()
	return server.ActivateAndServe()
}

// ServeDNS takes in one message.
func (l *Listener) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	from, err := netip.ParseAddrPort(w.RemoteAddr().String())
	if err != nil || !l.Allow.Contains(from.Addr().Unmap()) || q.Opcode != dns.OpcodeNotify || len(q.Question) != 1 {
		l.dropped.Add(1)
		return
	}
	accepted := false
	for _, f := range l.Followers {
		if f.concernedBy(q.Question[0].Name) && f.trusts(w, q) {
			accepted = true
			f.Refresh()
		}
	}
	if !accepted {
		l.dropped.Add(1)
		return
	}
	l.accepted.Add(1)
	a := new(dns.Msg).SetReply(q)
	a.Authoritative = true
	if t := q.IsTsig(); t != nil {
		a.SetTsig(t.Hdr.Name, t.Algorithm, tsigFudge, int64(t.TimeSigned))
	}
	_ = w.WriteMsg(a) // the sender repeats what is not answered
}

// concernedBy tells whether a change of the zone with this name may be one of the followed domain: it is the domain, or lies
// above it.
func (f *Follower) concernedBy(zone string) bool {
	return dns.IsSubDomain(strings.ToLower(zone), strings.ToLower(f.Zone.Domain))
}

// trusts tells whether a message is signed by the zone's key, if it has one.
func (f *Follower) trusts(w dns.ResponseWriter, q *dns.Msg) bool {
	k := f.Zone.Key
	return k == nil || q.IsTsig() != nil && w.TsigStatus() == nil && strings.EqualFold(q.IsTsig().Hdr.Name, k.Name)
}

// Counts are the messages that were accepted, and those that were not.
func (l *Listener) Counts() (accepted, dropped uint64) { return l.accepted.Load(), l.dropped.Load() }

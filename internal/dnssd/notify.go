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

// Listener receives NOTIFY messages (RFC 1996), which servers send when a followed DNS zone has changed. A message only triggers a poll of
// the zone. Senders that are not allowed get no answer.
type Listener struct {
	Allow     *bart.Lite // addresses that may send messages
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

// ServeDNS handles one message.
func (l *Listener) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	from, err := netip.ParseAddrPort(w.RemoteAddr().String())
	if err != nil || !l.Allow.Contains(from.Addr().Unmap()) || q.Opcode != dns.OpcodeNotify || len(q.Question) != 1 {
		l.dropped.Add(1)
		return
	}
	accepted := false
	for _, f := range l.Followers {
		if f.inZone(q.Question[0].Name) && f.isAuthentic(w, q) {
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
	_ = w.WriteMsg(a) // the sender repeats an unanswered message
}

// inZone reports whether the followed domain is the zone with this name or lies below it, so that a change of the zone may affect it.
func (f *Follower) inZone(zone string) bool {
	return dns.IsSubDomain(strings.ToLower(zone), strings.ToLower(f.Zone.Domain))
}

// isAuthentic reports whether a message is signed with the zone's key. Without a key every message is accepted.
func (f *Follower) isAuthentic(w dns.ResponseWriter, q *dns.Msg) bool {
	k := f.Zone.Key
	return k == nil || q.IsTsig() != nil && w.TsigStatus() == nil && strings.EqualFold(q.IsTsig().Hdr.Name, k.Name)
}

// Counts returns how many messages were accepted and dropped.
func (l *Listener) Counts() (accepted, dropped uint64) { return l.accepted.Load(), l.dropped.Load() }

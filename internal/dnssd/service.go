package dnssd

// This file owns the records of our own Flight service. It must never describe one that is being withdrawn.

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
)

// ownTTL is how long others may keep our records, seconds. It is short, for they have no serial to ask us for
// unless they ask for ours.
const ownTTL = 10

// Service is what our own records say.
type Service struct {
	Instance string // one label, not escaped
	Type     string // as _name._tcp
	Domain   string // ends in a dot
	Addr     netip.AddrPort
	Text     []string

	withdrawn atomic.Int64 // milliseconds of Unix time since when; 0 while it serves
}

// Withdraw takes the service back: no instance is listed any more, and the TXT record of who asks by name says that
// it drains.
func (s *Service) Withdraw() { s.withdrawn.CompareAndSwap(0, time.Now().UnixMilli()) }

// ServeDNS answers for our own records.
func (s *Service) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	answer := new(dns.Msg).SetReply(q)
	answer.Authoritative = true
	if len(q.Question) == 1 {
		answer.Answer, answer.Extra = s.records(q.Question[0])
		if len(answer.Answer) == 0 {
			if dns.IsSubDomain(s.Domain, strings.ToLower(q.Question[0].Name)) {
				answer.Ns = []dns.RR{s.soa()}
			} else {
				answer.Authoritative, answer.Rcode = false, dns.RcodeRefused
			}
		}
	}
	if e := q.IsEdns0(); e != nil {
		answer.SetEdns0(udpSize, false)
		answer.Truncate(int(max(e.UDPSize(), dns.MinMsgSize)))
	} else {
		answer.Truncate(dns.MinMsgSize)
	}
	w.WriteMsg(answer)
}

func (s *Service) soa() *dns.SOA {
	serial := uint32(1)
	if s.withdrawn.Load() != 0 {
		serial = 2
	}
	return &dns.SOA{Hdr: dns.RR_Header{Name: s.Domain, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: ownTTL},
		Ns: s.Domain, Mbox: "hostmaster." + s.Domain, Serial: serial, Refresh: ownTTL, Retry: ownTTL, Expire: 60, Minttl: 1}
}

// records are those that answer a question, and those that save the next ones.
func (s *Service) records(q dns.Question) (answer, extra []dns.RR) {
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ownTTL}
	}
	kind := s.Type + "." + s.Domain
	instance, host := Escape(s.Instance)+"."+kind, Escape(s.Instance)+"."+s.Domain
	gone, state := s.withdrawn.Load() != 0, "state=serving"
	if gone {
		state = "state=draining"
	}
	text := append(slices.Clone(s.Text), state)
	all := []dns.RR{
		&dns.PTR{Hdr: head("_services._dns-sd._udp."+s.Domain, dns.TypePTR), Ptr: kind},
		&dns.PTR{Hdr: head(kind, dns.TypePTR), Ptr: instance},
		&dns.SRV{Hdr: head(instance, dns.TypeSRV), Port: s.Addr.Port(), Target: host},
		&dns.TXT{Hdr: head(instance, dns.TypeTXT), Txt: text},
	}
	if a := s.Addr.Addr(); a.Is4() {
		all = append(all, &dns.A{Hdr: head(host, dns.TypeA), A: a.AsSlice()})
	} else {
		all = append(all, &dns.AAAA{Hdr: head(host, dns.TypeAAAA), AAAA: a.AsSlice()})
	}
	all = append(all, s.soa())
	for _, rr := range all {
		h := rr.Header()
		if gone && h.Rrtype == dns.TypePTR {
			continue
		}
		if strings.EqualFold(h.Name, q.Name) && (q.Qtype == h.Rrtype || q.Qtype == dns.TypeANY) {
			answer = append(answer, rr)
		}
	}
	if len(answer) > 0 && strings.EqualFold(q.Name, kind) {
		extra = all[2 : len(all)-1]
	}
	return answer, extra
}

// Serve answers on a UDP socket until ctx ends.
func (s *Service) Serve(ctx context.Context, pc net.PacketConn) error {
	server := &dns.Server{PacketConn: pc, Handler: s}
	defer context.AfterFunc(ctx, func() { server.ShutdownContext(context.Background()) })()
	return server.ActivateAndServe()
}

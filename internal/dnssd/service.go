package dnssd

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

const (
	// ownTTL is the TTL of our records in seconds. It is short, since most clients do not poll the serial.
	ownTTL = 10
	// ownExpire is the time after which a secondary server without contact to us must stop serving our records, in seconds.
	ownExpire = 60
)

// Service is our own Flight service, as its records describe it.
type Service struct {
	Instance string // one label, not escaped
	Type     string // such as _name._tcp
	Domain   string // ends in a dot
	Addr     netip.AddrPort
	Text     []string

	withdrawn atomic.Int64 // Unix time of the withdrawal in milliseconds; 0 while the service is available
}

// Withdraw withdraws the service: its instance is no longer listed, and its TXT record, for clients that still query it, says that it
// drains.
func (s *Service) Withdraw() { s.withdrawn.CompareAndSwap(0, time.Now().UnixMilli()) }

// ServeDNS answers a query for our own records.
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
	_ = w.WriteMsg(answer) // a client that gets no answer repeats the query
}

// soa returns the SOA record of our DNS zone. Its serial increases when the service is withdrawn.
func (s *Service) soa() *dns.SOA {
	serial := uint32(1)
	if s.withdrawn.Load() != 0 {
		serial = 2
	}
	return &dns.SOA{Hdr: dns.RR_Header{Name: s.Domain, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: ownTTL},
		Ns: s.Domain, Mbox: "hostmaster." + s.Domain, Serial: serial, Refresh: ownTTL, Retry: ownTTL, Expire: ownExpire, Minttl: 1}
}

// records returns the records that answer a question, and additional ones that save further queries.
func (s *Service) records(q dns.Question) (answer, extra []dns.RR) {
	header := func(name string, rrtype uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: rrtype, Class: dns.ClassINET, Ttl: ownTTL}
	}
	serviceType := s.Type + "." + s.Domain
	instance, host := Escape(s.Instance)+"."+serviceType, Escape(s.Instance)+"."+s.Domain
	withdrawn, state := s.withdrawn.Load() != 0, "state=serving"
	if withdrawn {
		state = "state=draining"
	}
	text := append(slices.Clone(s.Text), state)
	all := []dns.RR{
		&dns.PTR{Hdr: header("_services._dns-sd._udp."+s.Domain, dns.TypePTR), Ptr: serviceType},
		&dns.PTR{Hdr: header(serviceType, dns.TypePTR), Ptr: instance},
		&dns.SRV{Hdr: header(instance, dns.TypeSRV), Port: s.Addr.Port(), Target: host},
		&dns.TXT{Hdr: header(instance, dns.TypeTXT), Txt: text},
	}
	if a := s.Addr.Addr(); a.Is4() {
		all = append(all, &dns.A{Hdr: header(host, dns.TypeA), A: a.AsSlice()})
	} else {
		all = append(all, &dns.AAAA{Hdr: header(host, dns.TypeAAAA), AAAA: a.AsSlice()})
	}
	all = append(all, s.soa())
	for _, rr := range all {
		h := rr.Header()
		if withdrawn && h.Rrtype == dns.TypePTR {
			continue
		}
		if strings.EqualFold(h.Name, q.Name) && (q.Qtype == h.Rrtype || q.Qtype == dns.TypeANY) {
			answer = append(answer, rr)
		}
	}
	if len(answer) > 0 && strings.EqualFold(q.Name, serviceType) {
		extra = all[2 : len(all)-1]
	}
	return answer, extra
}

// Serve answers queries on a UDP socket until ctx ends.
func (s *Service) Serve(ctx context.Context, pc net.PacketConn) error {
	server := &dns.Server{PacketConn: pc, Handler: s}
	defer context.AfterFunc(ctx, func() { _ = server.ShutdownContext(context.Background()) })()
	return server.ActivateAndServe()
}

// Package dnssd works with DNS-SD records (RFC 6763): it browses for Flight data nodes and describes our own
// Flight service. It owns the DNS messages and nothing else. A record that can't be read costs that data
// node, one that has vanished means that it is gone, and a resolver that does not answer changes nothing.
package dnssd

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"gullfall/internal/core"
)

// How often the records are asked for again: at half of their time to live, within these bounds.
const (
	leastPause = time.Second
	mostPause  = 30 * time.Second
	ownTTL     = 10 // seconds
)

// Browser follows the data nodes of one service type. Its fields are set before Run.
type Browser struct {
	Fleet    *core.Fleet
	Log      *slog.Logger
	Resolver string
	Service  string // as _name._tcp
	Domain   string // ends in a dot

	known map[string]core.Member // by instance name
}

// Run browses until ctx ends.
func (b *Browser) Run(ctx context.Context) {
	for {
		pause, err := b.browse(ctx)
		if err != nil && ctx.Err() == nil {
			b.Log.Warn("browsing failed; the list stays", "resolver", b.Resolver, "cause", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// browse asks once for all instances and passes on the complete list.
func (b *Browser) browse(ctx context.Context) (pause time.Duration, err error) {
	name := b.Service + "." + b.Domain
	answer, err := b.ask(ctx, name, dns.TypePTR)
	if err != nil {
		return leastPause, err
	}
	ttl := uint32(mostPause / time.Second * 2)
	found := map[string]core.Member{}
	var list []core.Member
	for _, rr := range answer {
		ptr, ok := rr.(*dns.PTR)
		if !ok || !strings.EqualFold(ptr.Hdr.Name, name) {
			continue
		}
		ttl = min(ttl, ptr.Hdr.Ttl)
		m, err := b.resolve(ctx, ptr.Ptr)
		old, was := b.known[ptr.Ptr]
		switch {
		case err == nil:
		case was && isTimeout(err):
			m = old // not heard again, but not gone either
		default:
			b.Log.Warn("record not usable", "instance", ptr.Ptr, "cause", err)
			continue
		}
		found[ptr.Ptr] = m
		list = append(list, m)
	}
	for instance := range b.known {
		if _, still := found[instance]; !still {
			b.Log.Warn("record has vanished; the data node is taken as gone", "instance", instance)
		}
	}
	if !same(b.known, found) {
		b.Fleet.Replace(list, false)
	}
	b.known = found
	return min(max(time.Duration(ttl)*time.Second/2, leastPause), mostPause), nil
}

func same(a, b map[string]core.Member) bool {
	for k, m := range a {
		if b[k] != m {
			return false
		}
	}
	return a != nil && len(a) == len(b)
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// resolve reads the SRV and TXT records of one instance, and the address of its host.
func (b *Browser) resolve(ctx context.Context, instance string) (core.Member, error) {
	answer, err := b.ask(ctx, instance, dns.TypeSRV)
	if err != nil {
		return core.Member{}, err
	}
	var srv *dns.SRV
	for _, rr := range answer {
		if r, ok := rr.(*dns.SRV); ok && strings.EqualFold(r.Hdr.Name, instance) {
			srv = r
		}
	}
	if srv == nil || srv.Port == 0 || srv.Target == "." {
		return core.Member{}, fmt.Errorf("no SRV record with a port and a target")
	}
	hosts, err := b.ask(ctx, srv.Target, dns.TypeA)
	if err != nil {
		return core.Member{}, err
	}
	var addr netip.Addr
	for _, rr := range hosts {
		if r, ok := rr.(*dns.A); ok {
			addr, _ = netip.AddrFromSlice(r.A.To4())
		}
	}
	if !addr.IsLoopback() {
		return core.Member{}, fmt.Errorf("host %s: no loopback address", srv.Target)
	}
	texts, err := b.ask(ctx, instance, dns.TypeTXT)
	if err != nil {
		return core.Member{}, err
	}
	label, _, _ := strings.Cut(instance, ".")
	m := core.Member{ID: label, Addr: netip.AddrPortFrom(addr, srv.Port).String(), Weight: 1}
	for _, rr := range texts {
		if r, ok := rr.(*dns.TXT); ok {
			if err := describe(&m, r.Txt); err != nil {
				return m, err
			}
		}
	}
	return m, nil
}

// describe reads the strings of a TXT record; keys that it does not know are skipped.
func describe(m *core.Member, texts []string) (err error) {
	for _, s := range texts {
		key, value, _ := strings.Cut(s, "=")
		switch strings.ToLower(key) {
		case "cell":
			m.Cell, err = strconv.Atoi(value)
		case "zone":
			m.Zone = value
		case "weight":
			m.Weight, err = strconv.ParseFloat(value, 64)
		case "state":
			if m.State = core.Draining; value == "serving" {
				m.State = core.Serving
			}
		case "started_ms":
			var ms int64
			if ms, err = strconv.ParseInt(value, 10, 64); ms > 0 {
				m.Started = time.UnixMilli(ms)
			}
		}
		if err != nil {
			return fmt.Errorf("TXT %q: %w", s, err)
		}
	}
	return nil
}

// ask asks for one kind of record, over UDP, and over TCP where the answer was cut.
func (b *Browser) ask(ctx context.Context, name string, kind uint16) ([]dns.RR, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(leastPause))
	defer cancel()
	q := new(dns.Msg).SetQuestion(name, kind)
	answer, _, err := (&dns.Client{Net: "udp"}).ExchangeContext(ctx, q, b.Resolver)
	if err == nil && answer.Truncated {
		answer, _, err = (&dns.Client{Net: "tcp"}).ExchangeContext(ctx, q, b.Resolver)
	}
	if err != nil {
		return nil, err
	}
	if answer.Rcode != dns.RcodeSuccess && answer.Rcode != dns.RcodeNameError {
		return nil, fmt.Errorf("%s: %s", name, dns.RcodeToString[answer.Rcode])
	}
	return answer.Answer, nil
}

// Service is what our own records say.
type Service struct {
	Instance string // one label
	Type     string // as _name._tcp
	Domain   string // ends in a dot
	Addr     netip.AddrPort
	Text     []string
}

// ServeDNS answers for our own records.
func (s *Service) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	answer := new(dns.Msg).SetReply(q)
	answer.Authoritative = true
	if len(q.Question) == 1 {
		answer.Answer, answer.Extra = s.records(q.Question[0])
		if len(answer.Answer) == 0 && !dns.IsSubDomain(s.Domain, strings.ToLower(q.Question[0].Name)) {
			answer.Rcode = dns.RcodeRefused
		}
	}
	w.WriteMsg(answer)
}

// records are those that answer a question, and those that save the next ones.
func (s *Service) records(q dns.Question) (answer, extra []dns.RR) {
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ownTTL}
	}
	kind := s.Type + "." + s.Domain
	instance, host := s.Instance+"."+kind, s.Instance+"."+s.Domain
	types := "_services._dns-sd._udp." + s.Domain
	text := s.Text
	if len(text) == 0 {
		text = []string{""} // RFC 6763, 6.1: never without a string
	}
	all := []dns.RR{
		&dns.PTR{Hdr: head(types, dns.TypePTR), Ptr: kind},
		&dns.PTR{Hdr: head(kind, dns.TypePTR), Ptr: instance},
		&dns.SRV{Hdr: head(instance, dns.TypeSRV), Port: s.Addr.Port(), Target: host},
		&dns.TXT{Hdr: head(instance, dns.TypeTXT), Txt: text},
		&dns.A{Hdr: head(host, dns.TypeA), A: s.Addr.Addr().AsSlice()},
	}
	for _, rr := range all {
		h := rr.Header()
		if strings.EqualFold(h.Name, q.Name) && (q.Qtype == h.Rrtype || q.Qtype == dns.TypeANY) {
			answer = append(answer, rr)
		}
	}
	if len(answer) > 0 && strings.EqualFold(q.Name, kind) {
		extra = all[2:]
	}
	return answer, extra
}

// Serve answers on a UDP socket until ctx ends.
func (s *Service) Serve(ctx context.Context, pc net.PacketConn) error {
	server := &dns.Server{PacketConn: pc, Handler: s}
	defer context.AfterFunc(ctx, func() { server.ShutdownContext(context.Background()) })()
	return server.ActivateAndServe()
}

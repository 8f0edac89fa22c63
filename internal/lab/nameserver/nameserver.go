// Package nameserver is an authoritative DNS server with fault injection for tests, the demo and the benchmarks: its
// zone holds DNS-SD records and is changed by a script while it serves (RFC 1035, 1995, 1996, 2308, 5936, 6763, 8945).
// It serves UDP and TCP on one loopback address, and must not be used beyond loopback: a script can make it violate the
// protocol.
package nameserver

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"gullfall/internal/dnssd"
)

// Instance is one service instance, with the records that describe it.
type Instance struct {
	Label            string // without DNS escapes
	Service          string // such as _dn._tcp
	Addr             netip.AddrPort
	Priority, Weight uint16
	Text             []string
}

// change holds the records removed and added between two consecutive serials of a zone.
type change struct {
	from, to       uint32
	removed, added []dns.RR
}

// Zone holds the contents of a DNS zone; several servers may serve it.
type Zone struct {
	Apex string
	TTL  uint32

	mu        sync.Mutex
	serial    uint32
	instances map[string]Instance
	history   []change
	index     map[string][]dns.RR // by name in lower case; nil if it must be rebuilt
	exists    map[string]bool     // names with records at or below them
	targets   []string            // addresses that get a NOTIFY of each change
	key       *dnssd.Key
}

// NewZone returns an empty zone.
func NewZone(apex string, ttl uint32) *Zone {
	return &Zone{Apex: dns.Fqdn(apex), TTL: ttl, serial: 1, instances: map[string]Instance{}}
}

// maxHistory is the number of changes kept for IXFR.
const maxHistory = 256

// Notify adds an address that gets a NOTIFY of each change. The key of the last call, if not
// nil, signs the messages to all addresses.
func (z *Zone) Notify(addr string, key *dnssd.Key) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.targets, z.key = append(z.targets, addr), key
}

// Set adds or changes instances, all under one new serial.
func (z *Zone) Set(list ...Instance) { z.edit(list, nil) }

// Remove removes instances, all under one new serial.
func (z *Zone) Remove(labels ...string) { z.edit(nil, labels) }

func (z *Zone) edit(set []Instance, remove []string) {
	z.mu.Lock()
	z.index = nil
	c := change{from: z.serial, to: z.serial + 1}
	if c.to == 0 {
		c.to = 1
	}
	for _, label := range remove {
		if old, ok := z.instances[label]; ok {
			c.removed = append(c.removed, z.records(old)...)
			delete(z.instances, label)
		}
	}
	for _, i := range set {
		if old, ok := z.instances[i.Label]; ok {
			c.removed = append(c.removed, z.records(old)...)
		}
		c.added = append(c.added, z.records(i)...)
		z.instances[i.Label] = i
	}
	z.serial = c.to
	if z.history = append(z.history, c); len(z.history) > maxHistory {
		z.history = z.history[1:]
	}
	targets, key, serial := slices.Clone(z.targets), z.key, z.serial
	z.mu.Unlock()
	for _, t := range targets {
		Tell(t, z.Apex, serial, key)
	}
}

// Get returns an instance and reports whether it exists.
func (z *Zone) Get(label string) (Instance, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	i, ok := z.instances[label]
	return i, ok
}

// SetSerial sets the serial, forward or back, and clears the IXFR history.
func (z *Zone) SetSerial(serial uint32) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.serial, z.history = serial, nil
}

// Serial returns the zone's serial.
func (z *Zone) Serial() uint32 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.serial
}

// Clone returns an independent copy without history and NOTIFY targets, for a second server whose contents differ.
func (z *Zone) Clone() *Zone {
	z.mu.Lock()
	defer z.mu.Unlock()
	c := NewZone(z.Apex, z.TTL)
	c.serial = z.serial
	for k, i := range z.instances {
		c.instances[k] = i
	}
	return c
}

// Tell sends one NOTIFY message and does not wait for the answer. A key that is not nil signs it.
func Tell(addr, apex string, serial uint32, key *dnssd.Key) {
	m := new(dns.Msg).SetNotify(apex)
	m.Answer = []dns.RR{&dns.SOA{Hdr: dns.RR_Header{Name: apex, Rrtype: dns.TypeSOA, Class: dns.ClassINET}, Ns: ".", Mbox: ".", Serial: serial}}
	nc, err := net.Dial("udp", addr)
	if err != nil {
		return
	}
	defer nc.Close()
	var raw []byte
	if key != nil {
		m.SetTsig(key.Name, key.Algorithm, 300, time.Now().Unix())
		raw, _, err = dns.TsigGenerate(m, key.Secret, "", false)
	} else {
		raw, err = m.Pack()
	}
	if err == nil {
		_, _ = nc.Write(raw) // an error is ignored: the datagram may be lost anyway
	}
}

func (z *Zone) header(name string, kind uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: z.TTL}
}

func (z *Zone) soa() *dns.SOA {
	return &dns.SOA{Hdr: z.header(z.Apex, dns.TypeSOA), Ns: "ns." + z.Apex, Mbox: "hostmaster." + z.Apex, Serial: z.serial,
		Refresh: 3600, Retry: 600, Expire: 86400, Minttl: 5}
}

// records returns the records of an instance: PTR, SRV, TXT, and the address of a host name of its own.
func (z *Zone) records(i Instance) []dns.RR {
	kind := i.Service + "." + z.Apex
	name, host := dnssd.EscapeLabel(i.Label)+"."+kind, dnssd.EscapeLabel(strings.ReplaceAll(i.Label, ".", "-"))+"."+z.Apex
	text := i.Text
	if len(text) == 0 {
		text = []string{""}
	}
	list := []dns.RR{&dns.PTR{Hdr: z.header(kind, dns.TypePTR), Ptr: name},
		&dns.SRV{Hdr: z.header(name, dns.TypeSRV), Priority: i.Priority, Weight: i.Weight, Port: i.Addr.Port(), Target: host},
		&dns.TXT{Hdr: z.header(name, dns.TypeTXT), Txt: text}}
	if a := i.Addr.Addr(); a.Is4() {
		return append(list, &dns.A{Hdr: z.header(host, dns.TypeA), A: a.AsSlice()})
	}
	return append(list, &dns.AAAA{Hdr: z.header(host, dns.TypeAAAA), AAAA: i.Addr.Addr().AsSlice()})
}

// allRecords returns the zone's records without its SOA, ordered by label.
func (z *Zone) allRecords() (list []dns.RR) {
	labels := make([]string, 0, len(z.instances))
	for l := range z.instances {
		labels = append(labels, l)
	}
	slices.Sort(labels)
	for _, l := range labels {
		list = append(list, z.records(z.instances[l])...)
	}
	return list
}

// find returns the records of a name and reports whether the name exists.
func (z *Zone) find(name string) ([]dns.RR, bool) {
	if z.index == nil {
		z.index, z.exists = map[string][]dns.RR{}, map[string]bool{strings.ToLower(z.Apex): true}
		for _, rr := range z.allRecords() {
			n := strings.ToLower(rr.Header().Name)
			z.index[n] = append(z.index[n], rr)
			for labels := dns.SplitDomainName(n); len(labels) > 0; labels = labels[1:] {
				z.exists[dns.Fqdn(strings.Join(labels, "."))] = true
			}
		}
	}
	return z.index[name], z.exists[name]
}

// Server serves a zone. Do sets the faults that it injects.
type Server struct {
	zone *Zone
	udp  *dns.Server
	tcp  *dns.Server
	addr string

	mu                sync.Mutex
	mute              bool           // sends no answers
	rcode             int            // error code of all answers; 0 for normal answers
	lame              bool           // answers are empty and not authoritative, as of a lame server
	truncateLists     bool           // PTR answers have half of the records and the TC flag
	wrongQuestion     bool           // answers carry a question with another name
	transfers         bool           // AXFR and IXFR are allowed
	cutAfter          int            // number of messages after which a transfer is cut off; negative for never
	recordsPerMessage int            // records per message of a transfer
	omitAdditional    bool           // PTR answers have no additional records
	refuseSOA         bool           // SOA queries are refused
	extra             []dns.RR       // additional records of all answers
	asked             map[uint16]int // received questions, by type
}

// Start serves a zone on a free loopback port. Zone transfers are allowed. Answers to signed requests are signed with the key.
func Start(z *Zone, key *dnssd.Key) (*Server, error) {
	s := &Server{zone: z, transfers: true, cutAfter: -1, recordsPerMessage: 100, asked: map[uint16]int{}}
	secrets := map[string]string{}
	if key != nil {
		secrets[key.Name] = key.Secret
	}
	for range 20 { // a free TCP port may be taken for UDP
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		pc, err := net.ListenPacket("udp", ln.Addr().String())
		if err != nil {
			ln.Close()
			continue
		}
		s.addr = ln.Addr().String()
		s.tcp = &dns.Server{Listener: ln, Handler: s, TsigSecret: secrets}
		s.udp = &dns.Server{PacketConn: pc, Handler: s, TsigSecret: secrets}
		go s.tcp.ActivateAndServe()
		go s.udp.ActivateAndServe()
		return s, nil
	}
	return nil, fmt.Errorf("no port is free for both UDP and TCP")
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.addr }

// Close stops the server.
func (s *Server) Close() {
	s.udp.Shutdown()
	s.tcp.Shutdown()
}

// Asked returns the number of received questions of a type; 0 counts all types.
func (s *Server) Asked(kind uint16) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, count := range s.asked {
		if kind == 0 || k == kind {
			n += count
		}
	}
	return n
}

// Ride sets additional records that are sent with every answer.
func (s *Server) Ride(extra ...dns.RR) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = extra
}

// ServeDNS answers one question, with the injected faults.
func (s *Server) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	s.mu.Lock()
	if len(q.Question) == 1 {
		s.asked[q.Question[0].Qtype]++
	}
	mute, rcode, lame, truncateLists, wrongQuestion, transfers, extra := s.mute, s.rcode, s.lame, s.truncateLists, s.wrongQuestion, s.transfers, s.extra
	cutAfter, recordsPerMessage, omitAdditional, refuseSOA := s.cutAfter, s.recordsPerMessage, s.omitAdditional, s.refuseSOA
	s.mu.Unlock()
	if mute || len(q.Question) != 1 {
		return
	}
	a := new(dns.Msg).SetReply(q)
	_, overTCP := w.LocalAddr().(*net.TCPAddr)
	asked := q.Question[0]
	isTransfer := asked.Qtype == dns.TypeAXFR || asked.Qtype == dns.TypeIXFR
	switch {
	case rcode != 0:
		a.Rcode = rcode
	case refuseSOA && asked.Qtype == dns.TypeSOA:
		a.Rcode = dns.RcodeRefused
	case q.IsTsig() != nil && w.TsigStatus() != nil:
		a.Rcode = dns.RcodeNotAuth
	case lame: // neither an error nor an authoritative answer
	case isTransfer && (!transfers || !overTCP):
		a.Rcode = dns.RcodeRefused
	case isTransfer:
		s.transfer(w, q, cutAfter, recordsPerMessage)
		return
	default:
		a.Authoritative = true
		s.answer(a, asked, answerFaults{truncateLists: truncateLists, omitAdditional: omitAdditional})
	}
	a.Extra = append(a.Extra, extra...)
	if wrongQuestion {
		a.Question[0].Name = "another." + s.zone.Apex
	}
	size := dns.MinMsgSize
	if overTCP {
		size = dns.MaxMsgSize
	} else if e := q.IsEdns0(); e != nil {
		size = int(max(e.UDPSize(), dns.MinMsgSize))
	}
	if cut := a.Truncated; !cut {
		a.Truncate(size)
	}
	if t := q.IsTsig(); t != nil {
		a.SetTsig(t.Hdr.Name, t.Algorithm, 300, time.Now().Unix())
	}
	_ = w.WriteMsg(a) // the client retries
}

// answerFaults are the faults of an answer: a truncated PTR list, and no additional records.
type answerFaults struct{ truncateLists, omitAdditional bool }

// answer adds the records that answer a question. PTR answers get all SRV, TXT and address records as additional records, which
// saves the follow-up questions (RFC 6763, section 12).
func (s *Server) answer(a *dns.Msg, q dns.Question, faults answerFaults) {
	z := s.zone
	z.mu.Lock()
	defer z.mu.Unlock()
	name := strings.ToLower(q.Name)
	if !dns.IsSubDomain(strings.ToLower(z.Apex), name) {
		a.Authoritative, a.Rcode = false, dns.RcodeRefused
		return
	}
	if name == strings.ToLower(z.Apex) && q.Qtype == dns.TypeSOA {
		a.Answer = []dns.RR{z.soa()}
		return
	}
	set, exists := z.find(name)
	for _, rr := range set {
		if rr.Header().Rrtype == q.Qtype {
			a.Answer = append(a.Answer, rr)
		}
	}
	if faults.truncateLists && q.Qtype == dns.TypePTR {
		a.Answer, a.Truncated = a.Answer[:len(a.Answer)/2], true
		return
	}
	if len(a.Answer) == 0 {
		a.Ns = []dns.RR{z.soa()}
		if !exists {
			a.Rcode = dns.RcodeNameError
		}
		return
	}
	if q.Qtype == dns.TypePTR && !faults.omitAdditional {
		for _, rr := range z.allRecords() {
			if rr.Header().Rrtype != dns.TypePTR {
				a.Extra = append(a.Extra, rr)
			}
		}
	}
}

// transfer sends the whole zone, or for IXFR its changes if the history has them, in messages of recordsPerMessage records.
func (s *Server) transfer(w dns.ResponseWriter, q *dns.Msg, cutAfter, recordsPerMessage int) {
	z := s.zone
	z.mu.Lock()
	soa := z.soa()
	list := append(append([]dns.RR{soa}, z.allRecords()...), soa)
	if q.Question[0].Qtype == dns.TypeIXFR && len(q.Ns) == 1 {
		if from, ok := q.Ns[0].(*dns.SOA); ok {
			if from.Serial == z.serial {
				list = []dns.RR{soa}
			} else if i := slices.IndexFunc(z.history, func(c change) bool { return c.from == from.Serial }); i >= 0 {
				list = []dns.RR{soa}
				for _, c := range z.history[i:] {
					old, next := *soa, *soa
					old.Serial, next.Serial = c.from, c.to
					list = append(append(append(append(list, &old), c.removed...), &next), c.added...)
				}
				list = append(list, soa)
			}
		}
	}
	z.mu.Unlock()
	defer w.Close()
	n := 0
	for part := range slices.Chunk(list, recordsPerMessage) {
		if cutAfter >= 0 && n >= cutAfter {
			return
		}
		m := new(dns.Msg).SetReply(q)
		m.Authoritative, m.Answer = true, part
		if t := q.IsTsig(); t != nil {
			m.SetTsig(t.Hdr.Name, t.Algorithm, 300, time.Now().Unix())
		}
		if w.WriteMsg(m) != nil {
			return
		}
		w.TsigTimersOnly(true)
		n++
	}
}

// Messages returns the number of messages of a full transfer of the current zone.
func (s *Server) Messages() int {
	s.zone.mu.Lock()
	defer s.zone.mu.Unlock()
	return (len(s.zone.instances)*4 + 2 + s.recordsPerMessage - 1) / s.recordsPerMessage
}

// PerMessage sets the number of records per message of a transfer.
func (s *Server) PerMessage(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordsPerMessage = n
}

// Package nameserver is a stand-in authoritative DNS server for tests, the demo and measurements: its zone holds
// DNS-SD records and is changed by a script while it is asked (RFC 1035, 1995, 1996, 2308, 5936, 6763, 8945). It serves
// UDP and TCP on one loopback address. It must never be used for anything but loopback, and does what a script says
// even where a sound server would not.
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
	Label            string // not escaped
	Service          string // as _dn._tcp
	Addr             netip.AddrPort
	Priority, Weight uint16
	Text             []string
}

// change is what has happened to a zone from one serial to the next.
type change struct {
	from, to    uint32
	gone, added []dns.RR
}

// Zone is the contents of a zone; several servers may serve it.
type Zone struct {
	Apex string
	TTL  uint32

	mu        sync.Mutex
	serial    uint32
	instances map[string]Instance
	history   []change
	index     map[string][]dns.RR // by name in lower case; nil where it must be made anew
	exists    map[string]bool     // names with records at or below them
	targets   []string            // told by NOTIFY
	key       *dnssd.Key
}

// NewZone returns an empty zone.
func NewZone(apex string, ttl uint32) *Zone {
	return &Zone{Apex: dns.Fqdn(apex), TTL: ttl, serial: 1, instances: map[string]Instance{}}
}

// mostHistory is how many changes a server can tell by IXFR.
const mostHistory = 256

// Notify names an address that is told of each change, signed where the key is given.
func (z *Zone) Notify(addr string, key *dnssd.Key) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.targets, z.key = append(z.targets, addr), key
}

// Set adds or changes instances, all under one new serial.
func (z *Zone) Set(list ...Instance) { z.edit(list, nil) }

// Remove takes instances out, all under one new serial.
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
			c.gone = append(c.gone, z.records(old)...)
			delete(z.instances, label)
		}
	}
	for _, i := range set {
		if old, ok := z.instances[i.Label]; ok {
			c.gone = append(c.gone, z.records(old)...)
		}
		c.added = append(c.added, z.records(i)...)
		z.instances[i.Label] = i
	}
	z.serial = c.to
	if z.history = append(z.history, c); len(z.history) > mostHistory {
		z.history = z.history[1:]
	}
	targets, key, serial := slices.Clone(z.targets), z.key, z.serial
	z.mu.Unlock()
	for _, t := range targets {
		Tell(t, z.Apex, serial, key)
	}
}

// Get is an instance as it stands.
func (z *Zone) Get(label string) (Instance, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	i, ok := z.instances[label]
	return i, ok
}

// SetSerial moves the serial, back too; there is no history to it.
func (z *Zone) SetSerial(serial uint32) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.serial, z.history = serial, nil
}

// Serial is the zone's serial.
func (z *Zone) Serial() uint32 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.serial
}

// Clone is a copy that changes by itself: what a second server holds that differs.
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

// Tell sends one NOTIFY message, whose answer is not waited for.
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
		_, _ = nc.Write(raw) // a datagram may be lost in any case
	}
}

func (z *Zone) head(name string, kind uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: z.TTL}
}

func (z *Zone) soa() *dns.SOA {
	return &dns.SOA{Hdr: z.head(z.Apex, dns.TypeSOA), Ns: "ns." + z.Apex, Mbox: "hostmaster." + z.Apex, Serial: z.serial,
		Refresh: 3600, Retry: 600, Expire: 86400, Minttl: 5}
}

// records describe an instance: PTR, SRV, TXT and the address of a host of its own.
func (z *Zone) records(i Instance) []dns.RR {
	kind := i.Service + "." + z.Apex
	name, host := dnssd.Escape(i.Label)+"."+kind, dnssd.Escape(strings.ReplaceAll(i.Label, ".", "-"))+"."+z.Apex
	text := i.Text
	if len(text) == 0 {
		text = []string{""}
	}
	list := []dns.RR{&dns.PTR{Hdr: z.head(kind, dns.TypePTR), Ptr: name},
		&dns.SRV{Hdr: z.head(name, dns.TypeSRV), Priority: i.Priority, Weight: i.Weight, Port: i.Addr.Port(), Target: host},
		&dns.TXT{Hdr: z.head(name, dns.TypeTXT), Txt: text}}
	if a := i.Addr.Addr(); a.Is4() {
		return append(list, &dns.A{Hdr: z.head(host, dns.TypeA), A: a.AsSlice()})
	}
	return append(list, &dns.AAAA{Hdr: z.head(host, dns.TypeAAAA), AAAA: i.Addr.Addr().AsSlice()})
}

// all are the zone's records without its SOA, by label.
func (z *Zone) all() (list []dns.RR) {
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

// find returns the records of a name, and whether it exists.
func (z *Zone) find(name string) ([]dns.RR, bool) {
	if z.index == nil {
		z.index, z.exists = map[string][]dns.RR{}, map[string]bool{strings.ToLower(z.Apex): true}
		for _, rr := range z.all() {
			n := strings.ToLower(rr.Header().Name)
			z.index[n] = append(z.index[n], rr)
			for labels := dns.SplitDomainName(n); len(labels) > 0; labels = labels[1:] {
				z.exists[dns.Fqdn(strings.Join(labels, "."))] = true
			}
		}
	}
	return z.index[name], z.exists[name]
}

// Server serves a zone. What it does wrong is set by Do.
type Server struct {
	zone *Zone
	udp  *dns.Server
	tcp  *dns.Server
	addr string

	mu        sync.Mutex
	mute      bool // no answer at all
	refuse    int  // an rcode for each question
	lost      bool // it does not know the zone: an empty answer without authority
	cutList   bool // lists come half, and marked as cut
	lie       bool // answers are to another question
	transfers bool
	cutAfter  int      // transfers end after so many messages; below 0 for never
	perMsg    int      // records in one message of a transfer
	bare      bool     // lists come without what saves the next questions
	noSOA     bool     // it refuses to tell its serial
	extra     []dns.RR // that ride along, whatever is asked
	asked     map[uint16]int
}

// Start serves a zone on a loopback address of its own. Transfers are allowed, and signed where a key is given.
func Start(z *Zone, key *dnssd.Key) (*Server, error) {
	s := &Server{zone: z, transfers: true, cutAfter: -1, perMsg: 100, asked: map[uint16]int{}}
	secrets := map[string]string{}
	if key != nil {
		secrets[key.Name] = key.Secret
	}
	for range 20 { // a port that is free for both
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

// Addr is where the server listens.
func (s *Server) Addr() string { return s.addr }

// Close ends the server.
func (s *Server) Close() {
	s.udp.Shutdown()
	s.tcp.Shutdown()
}

// Asked counts the questions of a type; 0 for all.
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

// Ride sets records that go with every answer, whatever is asked.
func (s *Server) Ride(extra ...dns.RR) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = extra
}

// ServeDNS answers one question.
func (s *Server) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	s.mu.Lock()
	if len(q.Question) == 1 {
		s.asked[q.Question[0].Qtype]++
	}
	mute, refuse, lost, cutList, lie, transfers, extra := s.mute, s.refuse, s.lost, s.cutList, s.lie, s.transfers, s.extra
	cutAfter, perMsg, bare, noSOA := s.cutAfter, s.perMsg, s.bare, s.noSOA
	s.mu.Unlock()
	if mute || len(q.Question) != 1 {
		return
	}
	a := new(dns.Msg).SetReply(q)
	_, overTCP := w.LocalAddr().(*net.TCPAddr)
	asked := q.Question[0]
	moves := asked.Qtype == dns.TypeAXFR || asked.Qtype == dns.TypeIXFR
	switch {
	case refuse != 0:
		a.Rcode = refuse
	case noSOA && asked.Qtype == dns.TypeSOA:
		a.Rcode = dns.RcodeRefused
	case q.IsTsig() != nil && w.TsigStatus() != nil:
		a.Rcode = dns.RcodeNotAuth
	case lost: // lame: neither an error nor authority
	case moves && (!transfers || !overTCP):
		a.Rcode = dns.RcodeRefused
	case moves:
		s.transfer(w, q, cutAfter, perMsg)
		return
	default:
		a.Authoritative = true
		s.answer(a, asked, answerFaults{cutList: cutList, bare: bare})
	}
	a.Extra = append(a.Extra, extra...)
	if lie {
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
	_ = w.WriteMsg(a) // whoever asks asks again
}

// answerFaults are what is wrong with answers: a list that is cut, and none of the records that save the next questions.
type answerFaults struct{ cutList, bare bool }

// answer finds the records that a question asks for, with those that save the next ones.
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
	if faults.cutList && q.Qtype == dns.TypePTR {
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
	if q.Qtype == dns.TypePTR && !faults.bare {
		for _, rr := range z.all() {
			if rr.Header().Rrtype != dns.TypePTR {
				a.Extra = append(a.Extra, rr)
			}
		}
	}
}

// transfer sends the zone, or its changes, in messages of some records each.
func (s *Server) transfer(w dns.ResponseWriter, q *dns.Msg, cutAfter, perMsg int) {
	z := s.zone
	z.mu.Lock()
	soa := z.soa()
	list := append(append([]dns.RR{soa}, z.all()...), soa)
	if q.Question[0].Qtype == dns.TypeIXFR && len(q.Ns) == 1 {
		if from, ok := q.Ns[0].(*dns.SOA); ok {
			if from.Serial == z.serial {
				list = []dns.RR{soa}
			} else if i := slices.IndexFunc(z.history, func(c change) bool { return c.from == from.Serial }); i >= 0 {
				list = []dns.RR{soa}
				for _, c := range z.history[i:] {
					old, next := *soa, *soa
					old.Serial, next.Serial = c.from, c.to
					list = append(append(append(append(list, &old), c.gone...), &next), c.added...)
				}
				list = append(list, soa)
			}
		}
	}
	z.mu.Unlock()
	defer w.Close()
	n := 0
	for part := range slices.Chunk(list, perMsg) {
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

// Messages is how many messages a whole transfer takes now.
func (s *Server) Messages() int {
	s.zone.mu.Lock()
	defer s.zone.mu.Unlock()
	return (len(s.zone.instances)*4 + 2 + s.perMsg - 1) / s.perMsg
}

// PerMessage sets how many records a message of a transfer holds.
func (s *Server) PerMessage(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perMsg = n
}

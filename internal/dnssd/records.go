package dnssd

// This file owns the records of a zone that have come, and reads data nodes out of them. It does no I/O. It must never
// take a record from outside the zone, hold more of them than maxRecords, or let one bad record cost another.

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"

	"gullfall/internal/membership"
)

// maxRecords bounds what is held of one zone.
const maxRecords = 1 << 16

// maxHops bounds the CNAME records that are followed from one name.
const maxHops = 8

// key names a set of records.
type recordKey struct {
	name   string // in lower case
	rrtype uint16
}

func newRecordKey(name string, kind uint16) recordKey {
	return recordKey{strings.ToLower(dns.Fqdn(name)), kind}
}

// records is what is held of a zone.
type records struct {
	apex   string // what lies outside it is not taken
	sets   map[recordKey][]dns.RR
	absent map[recordKey]time.Time // RFC 2308: there are none, until then
	count  int
}

func newRecords(apex string) *records {
	return &records{apex: strings.ToLower(dns.Fqdn(apex)), sets: map[recordKey][]dns.RR{}, absent: map[recordKey]time.Time{}}
}

// clone is a copy that can be changed by itself.
func (r *records) clone() *records {
	c := newRecords(r.apex)
	c.count = r.count
	for k, set := range r.sets {
		c.sets[k] = slices.Clone(set)
	}
	maps.Copy(c.absent, r.absent)
	return c
}

// wanted tells whether a record is of use and in bailiwick.
func (r *records) usable(rr dns.RR) bool {
	switch rr.Header().Rrtype {
	case dns.TypePTR, dns.TypeSRV, dns.TypeTXT, dns.TypeA, dns.TypeAAAA, dns.TypeCNAME:
		return rr.Header().Class == dns.ClassINET && dns.IsSubDomain(r.apex, strings.ToLower(rr.Header().Name))
	}
	return false
}

// add takes in a record; it tells whether it was there already or is now.
func (r *records) add(rr dns.RR) bool {
	if !r.usable(rr) {
		return false
	}
	k := newRecordKey(rr.Header().Name, rr.Header().Rrtype)
	if slices.ContainsFunc(r.sets[k], func(o dns.RR) bool { return dns.IsDuplicate(o, rr) }) {
		return true
	}
	if r.count >= maxRecords {
		return false
	}
	r.sets[k] = append(r.sets[k], rr)
	r.count++
	delete(r.absent, k)
	return true
}

// remove takes a record out.
func (r *records) remove(rr dns.RR) {
	k := newRecordKey(rr.Header().Name, rr.Header().Rrtype)
	kept := slices.DeleteFunc(r.sets[k], func(o dns.RR) bool { return dns.IsDuplicate(o, rr) })
	r.count -= len(r.sets[k]) - len(kept)
	if r.sets[k] = kept; len(kept) == 0 {
		delete(r.sets, k)
	}
}

// replace puts the sets that an answer holds in the place of those of the same names, and notes where there are none
// of what was asked. Sets that only ride along are taken where they are in bailiwick. It returns what it has set.
func (r *records) replace(asked recordKey, answer *dns.Msg, now time.Time) map[recordKey]bool {
	fresh := map[recordKey]bool{}
	for _, section := range [][]dns.RR{answer.Answer, answer.Extra} {
		for _, rr := range section {
			if !r.usable(rr) {
				continue
			}
			k := newRecordKey(rr.Header().Name, rr.Header().Rrtype)
			if !fresh[k] {
				r.count -= len(r.sets[k])
				delete(r.sets, k)
				fresh[k] = true
			}
			r.add(rr)
		}
	}
	if !fresh[asked] && !fresh[recordKey{asked.name, dns.TypeCNAME}] {
		r.count -= len(r.sets[asked])
		delete(r.sets, asked)
		r.absent[asked] = now.Add(negativeTTL(answer))
		fresh[asked] = true
	}
	return fresh
}

// Negative answers hold for what their SOA record says (RFC 2308, 5), within these bounds.
const (
	minNegativeTTL = time.Second
	maxNegativeTTL = 5 * time.Minute
)

func negativeTTL(answer *dns.Msg) time.Duration {
	for _, rr := range answer.Ns {
		if soa, ok := rr.(*dns.SOA); ok {
			ttl := time.Duration(min(soa.Minttl, soa.Hdr.Ttl)) * time.Second
			return min(max(ttl, minNegativeTTL), maxNegativeTTL)
		}
	}
	return minNegativeTTL
}

// prune forgets what no instance refers to any more.
func (r *records) prune(kinds []string) {
	keep := map[recordKey]bool{}
	for _, kind := range kinds {
		ptr := newRecordKey(kind, dns.TypePTR)
		keep[ptr] = true
		for _, rr := range r.sets[ptr] {
			name := rr.(*dns.PTR).Ptr
			srv := newRecordKey(name, dns.TypeSRV)
			keep[srv], keep[newRecordKey(name, dns.TypeTXT)] = true, true
			for _, rr := range r.sets[srv] {
				for _, name := range r.chain(rr.(*dns.SRV).Target) {
					keep[recordKey{name, dns.TypeA}], keep[recordKey{name, dns.TypeAAAA}], keep[recordKey{name, dns.TypeCNAME}] = true, true, true
				}
			}
		}
	}
	for k, set := range r.sets {
		if !keep[k] {
			r.count -= len(set)
			delete(r.sets, k)
		}
	}
	for k := range r.absent {
		if !keep[k] {
			delete(r.absent, k)
		}
	}
}

// chain is a name and those that its CNAME records lead to.
func (r *records) chain(name string) []string {
	list := []string{strings.ToLower(dns.Fqdn(name))}
	for range maxHops {
		set := r.sets[recordKey{list[len(list)-1], dns.TypeCNAME}]
		if len(set) == 0 {
			break
		}
		next := strings.ToLower(set[0].(*dns.CNAME).Target)
		if slices.Contains(list, next) {
			break
		}
		list = append(list, next)
	}
	return list
}

// addresses are those of a host, IPv4 first and then by value, so that every reader takes the same.
func (r *records) addresses(host string) (list []netip.Addr) {
	for _, name := range r.chain(host) {
		for _, rr := range r.sets[recordKey{name, dns.TypeA}] {
			if a, ok := netip.AddrFromSlice(rr.(*dns.A).A); ok {
				list = append(list, a.Unmap())
			}
		}
		for _, rr := range r.sets[recordKey{name, dns.TypeAAAA}] {
			if a, ok := netip.AddrFromSlice(rr.(*dns.AAAA).AAAA); ok {
				list = append(list, a)
			}
		}
	}
	slices.SortFunc(list, netip.Addr.Compare)
	return list
}

// Problem is an instance whose records can't be used.
type Problem struct {
	Instance string
	Cause    error
}

// reading is what a zone's records come to.
type zoneReading struct {
	nodes    []membership.Record
	names    []string // the instance's full name of each
	problems []Problem
	missing  []recordKey   // what must be asked for before more can be read
	ttl      time.Duration // shortest of the records read
}

// errMissing marks an instance of which records have not come yet.
var errMissing = errors.New("records have not come")

// read finds the data nodes of the service types; addresses must lie within the networks.
func (r *records) read(kinds []string, networks *bart.Lite) (out zoneReading) {
	out.ttl = time.Duration(math.MaxInt64)
	seen := map[string]bool{}
	for _, kind := range kinds {
		set := r.sets[newRecordKey(kind, dns.TypePTR)]
		names := make([]string, 0, len(set))
		for _, rr := range set {
			names = append(names, rr.(*dns.PTR).Ptr)
			out.ttl = min(out.ttl, time.Duration(rr.Header().Ttl)*time.Second)
		}
		slices.Sort(names)
		for _, name := range names {
			rec, err := r.readInstance(name, kind, networks, &out)
			if err == nil && seen[rec.ID] {
				err = fmt.Errorf("id %q is another instance's too", rec.ID)
			}
			switch {
			case errors.Is(err, errMissing):
			case err != nil:
				out.problems = append(out.problems, Problem{name, err})
			default:
				seen[rec.ID] = true
				out.nodes, out.names = append(out.nodes, rec), append(out.names, name)
			}
		}
	}
	if len(out.nodes) == 0 {
		out.ttl = 0
	}
	return out
}

// node reads one instance.
func (r *records) readInstance(name, kind string, networks *bart.Lite, out *zoneReading) (rec membership.Record, err error) {
	label, err := Instance(name, kind)
	if err != nil {
		return rec, err
	}
	srvs, texts := r.sets[newRecordKey(name, dns.TypeSRV)], r.sets[newRecordKey(name, dns.TypeTXT)]
	for _, need := range []struct {
		have bool
		k    recordKey
	}{{len(srvs) > 0, newRecordKey(name, dns.TypeSRV)}, {len(texts) > 0, newRecordKey(name, dns.TypeTXT)}} {
		if _, none := r.absent[need.k]; !need.have && !none {
			out.missing = append(out.missing, need.k)
			err = errMissing
		}
	}
	if err != nil {
		return rec, err
	}
	if len(srvs) == 0 {
		return rec, errors.New("no SRV record")
	}
	srv := slices.MinFunc(srvs, func(a, b dns.RR) int {
		x, y := a.(*dns.SRV), b.(*dns.SRV)
		if x.Priority != y.Priority {
			return int(x.Priority) - int(y.Priority)
		}
		if x.Weight != y.Weight {
			return int(y.Weight) - int(x.Weight)
		}
		return strings.Compare(x.Target, y.Target)
	}).(*dns.SRV)
	if srv.Target == "." {
		return rec, errors.New("SRV target is \".\": the service is decidedly not there")
	}
	if srv.Port == 0 {
		return rec, errors.New("SRV port is 0")
	}
	addrs := r.addresses(srv.Target)
	if len(addrs) == 0 {
		last := r.chain(srv.Target)
		host := last[len(last)-1]
		missing := false
		for _, k := range []recordKey{{host, dns.TypeA}, {host, dns.TypeAAAA}} {
			if _, none := r.absent[k]; !none && dns.IsSubDomain(r.apex, host) {
				out.missing, missing = append(out.missing, k), true
			}
		}
		if missing {
			return rec, errMissing
		}
		return rec, fmt.Errorf("host %s has no address in this zone", srv.Target)
	}
	i := slices.IndexFunc(addrs, networks.Contains)
	if i < 0 {
		return rec, fmt.Errorf("host %s: %v is outside dnssd.networks", srv.Target, addrs[0])
	}
	rec = membership.Record{ID: label, Addr: netip.AddrPortFrom(addrs[i], srv.Port).String(), Weight: 1, Unstated: true,
		Priority: srv.Priority}
	if srv.Weight > 0 {
		rec.Weight = float64(srv.Weight) / standardSRVWeight
	}
	var strs []string
	for _, rr := range texts {
		strs = append(strs, rr.(*dns.TXT).Txt...)
	}
	out.ttl = min(out.ttl, time.Duration(srv.Hdr.Ttl)*time.Second)
	return rec, applyText(&rec, ReadText(strs))
}

// ordinaryWeight is the SRV weight of an ordinary data node.
const standardSRVWeight = 100

// The values of the TXT key proto, and the carriers' names that they stand for.
var protocols = map[string]string{"frames": Frames, "flight": Flight}

// The protocols of data nodes, as carriers are named by them.
const (
	Frames = ""
	Flight = "flight"
)

// describe reads the keys of a TXT record; those that it does not know are skipped.
func applyText(rec *membership.Record, text Text) (err error) {
	if id := text["id"]; id != "" {
		if len(id) > 255 || strings.ContainsFunc(id, func(r rune) bool { return r <= ' ' || r > '~' }) {
			return fmt.Errorf("TXT id=%q: up to 255 printable characters are allowed", id)
		}
		rec.ID = id
	}
	if proto, said := text["proto"]; said {
		known := false
		if rec.Proto, known = protocols[strings.ToLower(proto)]; !known {
			return fmt.Errorf("TXT proto=%q is neither frames nor flight", proto)
		}
	}
	rec.Zone = text["zone"]
	if s, said := text["cell"]; said {
		if rec.ShardSet, err = strconv.Atoi(s); err != nil || rec.ShardSet < 0 {
			return fmt.Errorf("TXT cell=%q is no number from 0 on", s)
		}
	}
	if s, said := text["weight"]; said {
		if rec.Weight, err = strconv.ParseFloat(s, 64); err != nil || !(rec.Weight > 0 && rec.Weight <= 1e6) {
			return fmt.Errorf("TXT weight=%q is no number above 0", s)
		}
	}
	if s, said := text["state"]; said && !strings.EqualFold(s, "serving") {
		rec.State = membership.Draining // one that is not known gets nothing new either
	}
	if s, said := text["started_ms"]; said {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms < 0 || ms > 1<<45 {
			return fmt.Errorf("TXT started_ms=%q is no time in milliseconds", s)
		}
		if rec.Unstated = false; ms > 0 {
			rec.Started = time.UnixMilli(ms)
		}
	}
	return nil
}

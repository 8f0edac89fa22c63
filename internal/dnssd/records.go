package dnssd

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxRecords bounds the records of one DNS zone.
	maxRecords = 1 << 16
	// maxHops bounds the chain of CNAME records that is followed from one name.
	maxHops = 8
)

// recordKey identifies a record set.
type recordKey struct {
	name   string // in lower case
	rrtype uint16
}

func newRecordKey(name string, rrtype uint16) recordKey {
	return recordKey{strings.ToLower(dns.Fqdn(name)), rrtype}
}

// records holds the records of a DNS zone that have been fetched.
type records struct {
	apex   string // records outside of it are ignored
	sets   map[recordKey][]dns.RR
	absent map[recordKey]time.Time // negative answers and when they expire (RFC 2308)
	count  int
}

func newRecords(apex string) *records {
	return &records{apex: strings.ToLower(dns.Fqdn(apex)), sets: map[recordKey][]dns.RR{}, absent: map[recordKey]time.Time{}}
}

// clone returns an independent copy.
func (r *records) clone() *records {
	c := newRecords(r.apex)
	c.count = r.count
	for k, set := range r.sets {
		c.sets[k] = slices.Clone(set)
	}
	maps.Copy(c.absent, r.absent)
	return c
}

// usable reports whether a record has a type that this package uses and is in bailiwick, that is, at or below the apex.
func (r *records) usable(rr dns.RR) bool {
	switch rr.Header().Rrtype {
	case dns.TypePTR, dns.TypeSRV, dns.TypeTXT, dns.TypeA, dns.TypeAAAA, dns.TypeCNAME:
		return rr.Header().Class == dns.ClassINET && dns.IsSubDomain(r.apex, strings.ToLower(rr.Header().Name))
	}
	return false
}

// add adds a record and reports whether the zone contains it now. Records that are not usable or beyond maxRecords are not added.
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

// remove removes a record.
func (r *records) remove(rr dns.RR) {
	k := newRecordKey(rr.Header().Name, rr.Header().Rrtype)
	kept := slices.DeleteFunc(r.sets[k], func(o dns.RR) bool { return dns.IsDuplicate(o, rr) })
	r.count -= len(r.sets[k]) - len(kept)
	if r.sets[k] = kept; len(kept) == 0 {
		delete(r.sets, k)
	}
}

// replace replaces record sets by those in an answer and marks the queried set as absent if the answer does not contain it. Additional
// sets are used if they are in bailiwick. It returns the keys of the sets that it has replaced.
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

// Bounds of the TTL of negative answers, which comes from their SOA record (RFC 2308, section 5).
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

// prune removes the records that no instance of the service types refers to.
func (r *records) prune(serviceTypes []string) {
	keep := map[recordKey]bool{}
	for _, serviceType := range serviceTypes {
		ptr := newRecordKey(serviceType, dns.TypePTR)
		keep[ptr] = true
		for _, rr := range r.sets[ptr] {
			name := rr.(*dns.PTR).Ptr
			srv := newRecordKey(name, dns.TypeSRV)
			keep[srv], keep[newRecordKey(name, dns.TypeTXT)] = true, true
			for _, rr := range r.sets[srv] {
				for _, name := range r.cnameChain(rr.(*dns.SRV).Target) {
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

// cnameChain returns a name and the names that its CNAME records lead to.
func (r *records) cnameChain(name string) []string {
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

// addresses returns the addresses of a host, IPv4 first and then by value, so that every reader chooses the same one.
func (r *records) addresses(host string) (list []netip.Addr) {
	for _, name := range r.cnameChain(host) {
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

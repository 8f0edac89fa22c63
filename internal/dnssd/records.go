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
	// maxRecords bounds the records of one zone.
	maxRecords = 1 << 16
	// maxHops bounds the CNAME records that are followed from one name.
	maxHops = 8
)

// recordKey names a set of records.
type recordKey struct {
	name   string // in lower case
	rrtype uint16
}

func newRecordKey(name string, rrtype uint16) recordKey {
	return recordKey{strings.ToLower(dns.Fqdn(name)), rrtype}
}

// records are those of a zone that have come.
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

// usable tells whether a record is of a type in use, and in bailiwick.
func (r *records) usable(rr dns.RR) bool {
	switch rr.Header().Rrtype {
	case dns.TypePTR, dns.TypeSRV, dns.TypeTXT, dns.TypeA, dns.TypeAAAA, dns.TypeCNAME:
		return rr.Header().Class == dns.ClassINET && dns.IsSubDomain(r.apex, strings.ToLower(rr.Header().Name))
	}
	return false
}

// add takes in a record and tells whether it is there now: one that is not usable, or beyond maxRecords, is not.
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

// replace puts the sets of records in an answer in the place of those with the same keys, and notes the set that was asked for
// as absent where the answer has none. Additional sets are taken where they are in bailiwick. It returns the keys that it has
// set.
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

// prune forgets what no instance of the service types refers to any more.
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

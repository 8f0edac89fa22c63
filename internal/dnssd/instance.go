package dnssd

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"

	"gullfall/internal/membership"
)

// standardSRVWeight is the SRV weight that corresponds to a data node's weight of 1.
const standardSRVWeight = 100

var (
	// errMissing reports an instance some of whose records have not been fetched yet.
	errMissing = errors.New("records not fetched yet")
	// errNoSRV, errNotAvailable and errNoPort report an instance without a usable SRV record.
	errNoSRV        = errors.New("no SRV record")
	errNotAvailable = errors.New("SRV target is \".\": the service is decidedly not there")
	errNoPort       = errors.New("SRV port is 0")
)

// Problem describes an instance whose records can't be used.
type Problem struct {
	Instance string
	Cause    error
}

// zoneContents is the result of reading a DNS zone's records.
type zoneContents struct {
	nodes    []membership.Record
	problems []Problem
	missing  []recordKey   // record sets to fetch before more instances can be read
	ttl      time.Duration // shortest TTL of the records read
}

// read returns the data nodes of the service types. Their addresses must lie within the networks. An unusable record excludes only its
// own instance.
func (r *records) read(serviceTypes []string, networks *bart.Lite) (out zoneContents) {
	out.ttl = time.Duration(math.MaxInt64)
	seen := map[string]bool{}
	for _, serviceType := range serviceTypes {
		for _, name := range r.instances(serviceType, &out) {
			rec, err := r.readInstance(name, serviceType, networks, &out)
			if err == nil && seen[rec.ID] {
				err = fmt.Errorf("id %q is another instance's too", rec.ID)
			}
			switch {
			case errors.Is(err, errMissing):
			case err != nil:
				out.problems = append(out.problems, Problem{name, err})
			default:
				seen[rec.ID] = true
				out.nodes = append(out.nodes, rec)
			}
		}
	}
	if len(out.nodes) == 0 {
		out.ttl = 0
	}
	return out
}

// instances returns the sorted names of a service type's instances.
func (r *records) instances(serviceType string, out *zoneContents) []string {
	set := r.sets[newRecordKey(serviceType, dns.TypePTR)]
	names := make([]string, 0, len(set))
	for _, rr := range set {
		names = append(names, rr.(*dns.PTR).Ptr)
		out.limitTTL(rr)
	}
	slices.Sort(names)
	return names
}

// limitTTL limits the TTL of the result to that of a record it rests on.
func (z *zoneContents) limitTTL(rr dns.RR) {
	z.ttl = min(z.ttl, time.Duration(rr.Header().Ttl)*time.Second)
}

// readInstance reads one instance.
func (r *records) readInstance(name, serviceType string, networks *bart.Lite, out *zoneContents) (membership.Record, error) {
	label, err := Instance(name, serviceType)
	if err != nil {
		return membership.Record{}, err
	}
	needed := r.emptySets(newRecordKey(name, dns.TypeSRV), newRecordKey(name, dns.TypeTXT))
	if err := r.requireAbsent(out, needed...); err != nil {
		return membership.Record{}, err
	}
	srv, err := r.preferredSRV(name)
	if err != nil {
		return membership.Record{}, err
	}
	addr, err := r.reachableAddr(srv.Target, networks, out)
	if err != nil {
		return membership.Record{}, err
	}
	rec := membership.Record{ID: label, Addr: netip.AddrPortFrom(addr, srv.Port).String(), Weight: 1, StartUnknown: true, Priority: srv.Priority}
	if srv.Weight > 0 {
		rec.Weight = float64(srv.Weight) / standardSRVWeight
	}
	out.limitTTL(srv)
	err = applyText(&rec, r.text(name))
	return rec, err
}

// emptySets returns the keys whose record sets are empty.
func (r *records) emptySets(keys ...recordKey) []recordKey {
	return slices.DeleteFunc(keys, func(k recordKey) bool { return len(r.sets[k]) > 0 })
}

// requireAbsent adds the record sets that are not known to be absent to out.missing, and returns errMissing if there are any.
func (r *records) requireAbsent(out *zoneContents, keys ...recordKey) (err error) {
	for _, k := range keys {
		if _, absent := r.absent[k]; !absent {
			out.missing = append(out.missing, k)
			err = errMissing
		}
	}
	return err
}

// preferredSRV returns the SRV record of an instance with the lowest priority and, among those, the highest weight.
func (r *records) preferredSRV(name string) (*dns.SRV, error) {
	set := r.sets[newRecordKey(name, dns.TypeSRV)]
	if len(set) == 0 {
		return nil, errNoSRV
	}
	srv := slices.MinFunc(set, func(a, b dns.RR) int { return compareSRV(a.(*dns.SRV), b.(*dns.SRV)) }).(*dns.SRV)
	switch {
	case srv.Target == ".":
		return nil, errNotAvailable
	case srv.Port == 0:
		return nil, errNoPort
	}
	return srv, nil
}

// compareSRV orders SRV records by preference. The target breaks ties, so that every reader chooses the same record.
func compareSRV(a, b *dns.SRV) int {
	if a.Priority != b.Priority {
		return int(a.Priority) - int(b.Priority)
	}
	if a.Weight != b.Weight {
		return int(b.Weight) - int(a.Weight)
	}
	return strings.Compare(a.Target, b.Target)
}

// reachableAddr returns the first address of a host that lies within the networks.
func (r *records) reachableAddr(host string, networks *bart.Lite, out *zoneContents) (netip.Addr, error) {
	addrs := r.addresses(host)
	if len(addrs) == 0 {
		chain := r.cnameChain(host)
		last := chain[len(chain)-1]
		if dns.IsSubDomain(r.apex, last) {
			if err := r.requireAbsent(out, recordKey{last, dns.TypeA}, recordKey{last, dns.TypeAAAA}); err != nil {
				return netip.Addr{}, err
			}
		}
		return netip.Addr{}, fmt.Errorf("host %s has no address in this zone", host)
	}
	i := slices.IndexFunc(addrs, networks.Contains)
	if i < 0 {
		return netip.Addr{}, fmt.Errorf("host %s: %v is outside dnssd.networks", host, addrs[0])
	}
	return addrs[i], nil
}

// text returns the keys and values of an instance's TXT records.
func (r *records) text(name string) Text {
	var list []string
	for _, rr := range r.sets[newRecordKey(name, dns.TypeTXT)] {
		list = append(list, rr.(*dns.TXT).Txt...)
	}
	return ReadText(list)
}

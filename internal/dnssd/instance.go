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

// standardSRVWeight is the SRV weight of a data node of weight 1.
const standardSRVWeight = 100

var (
	// errMissing reports an instance of which records have not come yet.
	errMissing = errors.New("records have not come")
	// errNoSRV, errNotThere and errNoPort report an instance whose SRV record does not lead to a service.
	errNoSRV    = errors.New("no SRV record")
	errNotThere = errors.New("SRV target is \".\": the service is decidedly not there")
	errNoPort   = errors.New("SRV port is 0")
)

// Problem is an instance whose records can't be used.
type Problem struct {
	Instance string
	Cause    error
}

// zoneReading is what a zone's records come to.
type zoneReading struct {
	nodes    []membership.Record
	problems []Problem
	missing  []recordKey   // what must be asked for before more can be read
	ttl      time.Duration // shortest of the records read
}

// read finds the data nodes of the service types; addresses must lie within the networks. A record that can't be used costs
// only its own instance.
func (r *records) read(serviceTypes []string, networks *bart.Lite) (out zoneReading) {
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

// instances are the names of a type's instances, in order.
func (r *records) instances(serviceType string, out *zoneReading) []string {
	set := r.sets[newRecordKey(serviceType, dns.TypePTR)]
	names := make([]string, 0, len(set))
	for _, rr := range set {
		names = append(names, rr.(*dns.PTR).Ptr)
		out.limitTTL(rr)
	}
	slices.Sort(names)
	return names
}

// limitTTL notes that the reading rests on a record.
func (z *zoneReading) limitTTL(rr dns.RR) {
	z.ttl = min(z.ttl, time.Duration(rr.Header().Ttl)*time.Second)
}

// readInstance reads one instance.
func (r *records) readInstance(name, serviceType string, networks *bart.Lite, out *zoneReading) (membership.Record, error) {
	label, err := Instance(name, serviceType)
	if err != nil {
		return membership.Record{}, err
	}
	needed := r.withoutRecords(newRecordKey(name, dns.TypeSRV), newRecordKey(name, dns.TypeTXT))
	if err := r.require(out, needed...); err != nil {
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

// withoutRecords are those of the sets that are empty.
func (r *records) withoutRecords(keys ...recordKey) []recordKey {
	return slices.DeleteFunc(keys, func(k recordKey) bool { return len(r.sets[k]) > 0 })
}

// require notes which of the sets are not known to be absent, and returns errMissing if there are any.
func (r *records) require(out *zoneReading, keys ...recordKey) (err error) {
	for _, k := range keys {
		if _, absent := r.absent[k]; !absent {
			out.missing = append(out.missing, k)
			err = errMissing
		}
	}
	return err
}

// preferredSRV is the SRV record of an instance that counts: of the lowest priority, and there of the highest weight.
func (r *records) preferredSRV(name string) (*dns.SRV, error) {
	set := r.sets[newRecordKey(name, dns.TypeSRV)]
	if len(set) == 0 {
		return nil, errNoSRV
	}
	srv := slices.MinFunc(set, func(a, b dns.RR) int { return compareSRV(a.(*dns.SRV), b.(*dns.SRV)) }).(*dns.SRV)
	switch {
	case srv.Target == ".":
		return nil, errNotThere
	case srv.Port == 0:
		return nil, errNoPort
	}
	return srv, nil
}

// compareSRV orders SRV records by preference. The target is the last key, so that every reader takes the same one.
func compareSRV(a, b *dns.SRV) int {
	if a.Priority != b.Priority {
		return int(a.Priority) - int(b.Priority)
	}
	if a.Weight != b.Weight {
		return int(b.Weight) - int(a.Weight)
	}
	return strings.Compare(a.Target, b.Target)
}

// reachableAddr is the first address of a host that lies within the networks.
func (r *records) reachableAddr(host string, networks *bart.Lite, out *zoneReading) (netip.Addr, error) {
	addrs := r.addresses(host)
	if len(addrs) == 0 {
		chain := r.chain(host)
		last := chain[len(chain)-1]
		if dns.IsSubDomain(r.apex, last) {
			if err := r.require(out, recordKey{last, dns.TypeA}, recordKey{last, dns.TypeAAAA}); err != nil {
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

// text is what the TXT records of an instance say.
func (r *records) text(name string) Text {
	var list []string
	for _, rr := range r.sets[newRecordKey(name, dns.TypeTXT)] {
		list = append(list, rr.(*dns.TXT).Txt...)
	}
	return ReadText(list)
}

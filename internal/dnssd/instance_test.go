package dnssd

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gaissmai/bart"
	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"

	"gullfall/internal/membership"
)

// loopback4 returns the networks in which the tests allow data nodes.
func loopback4() *bart.Lite {
	n := new(bart.Lite)
	n.Insert(netip.MustParsePrefix("127.0.0.0/8"))
	return n
}

// TestReadInstance: which data node the records of an instance describe, or why they can't be used.
func TestReadInstance(t *testing.T) {
	const ptr, srv, host = "_dn._tcp.e. 60 IN PTR a._dn._tcp.e.", "a._dn._tcp.e. 60 IN SRV 5 50 81 h.e.", "h.e. 60 IN A 127.0.0.9"
	text := func(strs string) string { return "a._dn._tcp.e. 60 IN TXT " + strs }
	base := membership.Record{ID: "a", Addr: "127.0.0.9:81", Weight: 0.5, Priority: 5, StartUnknown: true}
	with := func(f func(*membership.Record)) *membership.Record { r := base; f(&r); return &r }
	for name, c := range map[string]struct {
		records string
		want    *membership.Record
		fault   string
		missing int
	}{
		"minimal": {ptr + "\n" + srv + "\n" + host + "\n" + text(`""`), &base, "", 0},
		"all TXT keys": {ptr + "\n" + srv + "\n" + host + "\n" + text(`"id=n7" "cell=2" "zone=b" "weight=2" "proto=flight" "started_ms=9" "state=serving"`), with(func(r *membership.Record) {
			r.ID, r.ShardSet, r.Zone, r.Weight, r.Proto, r.Started, r.StartUnknown = "n7", 2, "b", 2, ProtocolFlight, time.UnixMilli(9), false
		}), "", 0},
		"started long ago":             {ptr + "\n" + srv + "\n" + host + "\n" + text(`"started_ms=0"`), with(func(r *membership.Record) { r.StartUnknown = false }), "", 0},
		"draining":                     {ptr + "\n" + srv + "\n" + host + "\n" + text(`"state=draining"`), with(func(r *membership.Record) { r.State = membership.Draining }), "", 0},
		"unknown state":                {ptr + "\n" + srv + "\n" + host + "\n" + text(`"state=asleep"`), with(func(r *membership.Record) { r.State = membership.Draining }), "", 0},
		"CNAME":                        {ptr + "\n" + srv + "\nh.e. 60 IN CNAME i.e.\ni.e. 60 IN A 127.0.0.9\n" + text(`""`), &base, "", 0},
		"CNAME loop":                   {ptr + "\n" + srv + "\nh.e. 60 IN CNAME i.e.\ni.e. 60 IN CNAME h.e.\n" + text(`""`), nil, "", 2},
		"two addresses":                {ptr + "\n" + srv + "\n" + host + "\nh.e. 60 IN A 192.0.2.1\n" + text(`""`), &base, "", 0},
		"two SRV":                      {ptr + "\n" + srv + "\na._dn._tcp.e. 60 IN SRV 9 9 99 h.e.\n" + host + "\n" + text(`""`), &base, "", 0},
		"address outside the networks": {ptr + "\n" + srv + "\nh.e. 60 IN A 192.0.2.1\n" + text(`""`), nil, "dnssd.networks", 0},
		"host in another zone":         {ptr + "\na._dn._tcp.e. 60 IN SRV 0 0 81 h.f.\nh.f. 60 IN A 127.0.0.9\n" + text(`""`), nil, "no address in this zone", 0},
		"service not available":        {ptr + "\na._dn._tcp.e. 60 IN SRV 0 0 81 .\n" + text(`""`), nil, "not there", 0},
		"no port":                      {ptr + "\na._dn._tcp.e. 60 IN SRV 0 0 0 h.e.\n" + host + "\n" + text(`""`), nil, "port", 0},
		"no SRV yet":                   {ptr + "\n" + text(`""`), nil, "", 1},
		"only PTR":                     {ptr, nil, "", 2},
		"bad cell":                     {ptr + "\n" + srv + "\n" + host + "\n" + text(`"cell=-1"`), nil, "cell", 0},
		"bad weight":                   {ptr + "\n" + srv + "\n" + host + "\n" + text(`"weight=NaN"`), nil, "weight", 0},
		"bad proto":                    {ptr + "\n" + srv + "\n" + host + "\n" + text(`"proto=smoke"`), nil, "proto", 0},
		"bad start":                    {ptr + "\n" + srv + "\n" + host + "\n" + text(`"started_ms=soon"`), nil, "started_ms", 0},
		"bad id":                       {ptr + "\n" + srv + "\n" + host + "\n" + text(`"id=a b"`), nil, "id", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecords("e.")
			for _, line := range strings.Split(c.records, "\n") {
				rr, err := dns.NewRR(line)
				if err != nil {
					t.Fatal(err)
				}
				r.add(rr)
			}
			out := r.read([]string{"_dn._tcp.e."}, loopback4())
			var got *membership.Record
			if len(out.nodes) == 1 {
				got = &out.nodes[0]
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
			if len(out.missing) != c.missing || (c.fault != "") != (len(out.problems) == 1) || c.fault != "" && !strings.Contains(out.problems[0].Cause.Error(), c.fault) {
				t.Errorf("missing %v, problems %v, want %q", out.missing, out.problems, c.fault)
			}
		})
	}
}

// TestOneBadRecord: an unusable record excludes only its own instance, and of two instances with the same id the first is used.
func TestOneBadRecord(t *testing.T) {
	r := newRecords("e.")
	for _, line := range strings.Split(`_dn._tcp.e. 60 IN PTR a._dn._tcp.e.
_dn._tcp.e. 60 IN PTR b._dn._tcp.e.
_dn._tcp.e. 60 IN PTR c._dn._tcp.e.
_dn._tcp.e. 60 IN PTR a.b.c._dn._tcp.e.
a._dn._tcp.e. 60 IN SRV 0 0 1 h.e.
b._dn._tcp.e. 60 IN SRV 0 0 2 h.e.
c._dn._tcp.e. 60 IN SRV 0 0 3 h.e.
a._dn._tcp.e. 60 IN TXT "id=one"
b._dn._tcp.e. 60 IN TXT "id=one"
c._dn._tcp.e. 60 IN TXT "cell=x"
h.e. 60 IN A 127.0.0.1`, "\n") {
		rr, err := dns.NewRR(line)
		if err != nil {
			t.Fatal(err)
		}
		r.add(rr)
	}
	out := r.read([]string{"_dn._tcp.e."}, loopback4())
	if len(out.nodes) != 1 || out.nodes[0].Addr != "127.0.0.1:1" || len(out.problems) != 3 {
		t.Errorf("nodes %v, problems %v", out.nodes, out.problems)
	}
}

// FuzzRead: the records and data nodes read from an arbitrary answer stay within their bounds.
func FuzzRead(f *testing.F) {
	m := new(dns.Msg).SetQuestion("_dn._tcp.e.", dns.TypePTR)
	for _, line := range []string{"_dn._tcp.e. 60 IN PTR a._dn._tcp.e.", "a._dn._tcp.e. 60 IN SRV 5 50 81 h.e.", "h.e. 60 IN A 127.0.0.9", `a._dn._tcp.e. 60 IN TXT "cell=1" "id=x"`} {
		rr, err := dns.NewRR(line)
		if err != nil {
			f.Fatal(err)
		}
		m.Answer = append(m.Answer, rr)
	}
	raw, err := m.Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	networks := loopback4()
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(dns.Msg)
		if m.Unpack(raw) != nil {
			return
		}
		r := newRecords("e.")
		r.replace(newRecordKey("_dn._tcp.e.", dns.TypePTR), m, time.Unix(0, 0))
		count := 0
		for _, set := range r.sets {
			count += len(set)
		}
		if count != r.count || count > maxRecords {
			t.Errorf("%d records, counted %d", count, r.count)
		}
		r.prune([]string{"_dn._tcp.e."})
		for _, rec := range r.read([]string{"_dn._tcp.e."}, networks).nodes {
			a, err := netip.ParseAddrPort(rec.Addr)
			if err != nil || !networks.Contains(a.Addr()) || a.Port() == 0 || rec.ID == "" || rec.ShardSet < 0 || !(rec.Weight > 0) || rec.State == membership.Gone {
				t.Errorf("read %+v", rec)
			}
		}
		assembleZone("e.", nil, m.Answer)
		assembleZone("e.", &transferredZone{r, 1}, m.Answer)
	})
}

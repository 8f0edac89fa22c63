package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gaissmai/bart"
	"github.com/miekg/dns"

	"gullfall/internal/dnssd"
)

// Bounds of the keys under dnssd.
const (
	minQuestions = 4 // queries per second
	minPoll      = 50 * time.Millisecond
	maxPoll      = 500 * time.Millisecond
)

// DNSSD configures the DNS-SD zones that are followed for data nodes, and the records that advertise this coordinator's own service.
type DNSSD struct {
	Serve, Domain string   // address that serves this coordinator's own records, and their domain
	Networks      []string // networks in which data nodes may be
	Questions     float64  `toml:"questions_per_s"` // maximum rate of queries to DNS servers
	Poll          Span     // interval at which a zone's serial is polled
	Stale         Span     // how long a zone's data nodes are kept past their TTL while its servers don't answer
	Notify        string   // address that receives NOTIFY messages; disabled if empty
	Allow         []string // networks from which NOTIFY messages are accepted
	Zone          []Zone
	Key           []Key
}

// Zone is a domain whose records are followed.
type Zone struct {
	Domain   string
	Services []string
	Servers  []string
	Transfer bool   // whether the servers may be asked for transfers
	Key      string // name of the key that signs messages; none if empty
}

// Key is a TSIG key, which signs DNS messages (RFC 8945).
type Key struct{ Name, Algorithm, Secret string }

func (d *DNSSD) defaults() {
	setDefault(&d.Domain, "local.")
	setDefault(&d.Questions, 400)
	setDefault(&d.Poll, Span(dnssd.DefaultPoll))
	setDefault(&d.Stale, Span(time.Hour))
	if len(d.Networks) == 0 {
		d.Networks = []string{"127.0.0.0/8", "::1/128"}
	}
	d.Domain = dns.Fqdn(strings.ToLower(d.Domain))
	for i := range d.Zone {
		z := &d.Zone[i]
		z.Domain = dns.Fqdn(strings.ToLower(z.Domain))
		if len(z.Services) == 0 {
			z.Services = []string{"_dn._tcp"}
		}
	}
	for i := range d.Key {
		k := &d.Key[i]
		k.Name = dns.CanonicalName(k.Name)
		setDefault(&k.Algorithm, dns.HmacSHA256)
		k.Algorithm = dns.Fqdn(k.Algorithm)
	}
}

func (d *DNSSD) check(f *faults) {
	f.checkOptionalLoopback("dnssd.serve", d.Serve)
	if d.Notify != "" {
		if f.checkLoopback("dnssd.notify", d.Notify); len(d.Allow) == 0 {
			f.add("dnssd.allow: empty; dnssd.notify needs the addresses from which messages are accepted")
		}
	}
	if _, ok := dns.IsDomainName(d.Domain); !ok {
		f.add("dnssd.domain: %q is not a domain name", d.Domain)
	}
	f.checkNetworks("dnssd.networks", d.Networks)
	f.checkNetworks("dnssd.allow", d.Allow)
	if !(d.Questions >= minQuestions) {
		f.add("dnssd.questions_per_s: %g is under 4", d.Questions)
	}
	if p := time.Duration(d.Poll); p < minPoll || p > maxPoll {
		f.add("dnssd.poll: %v is not within 50ms and 500ms", p)
	}
	d.checkKeys(f)
	d.checkZones(f)
}

func (d *DNSSD) checkKeys(f *faults) {
	for i, k := range d.Key {
		if _, err := base64.StdEncoding.DecodeString(k.Secret); err != nil || k.Secret == "" || k.Name == "." {
			f.add("dnssd.key[%d]: name and a secret in base64 are needed", i)
		}
		if !strings.HasPrefix(k.Algorithm, "hmac-sha") {
			f.add("dnssd.key[%d].algorithm: %q is none of hmac-sha1, -sha224, -sha256, -sha384, -sha512", i, k.Algorithm)
		}
	}
}

func (d *DNSSD) checkZones(f *faults) {
	keys := map[string]bool{}
	for _, k := range d.Key {
		keys[k.Name] = true
	}
	seen := map[string]bool{}
	for i, z := range d.Zone {
		key := fmt.Sprintf("dnssd.zone[%d]", i)
		if _, ok := dns.IsDomainName(z.Domain); !ok || z.Domain == "." {
			f.add("%s.domain: %q is not a domain name", key, z.Domain)
		}
		if seen[z.Domain] {
			f.add("%s.domain: %q is a duplicate", key, z.Domain)
		}
		seen[z.Domain] = true
		z.check(f, key)
		if z.Key != "" && !keys[dns.CanonicalName(z.Key)] {
			f.add("%s.key: no dnssd.key has the name %q", key, z.Key)
		}
	}
}

// check checks the services and servers of a zone.
func (z *Zone) check(f *faults, key string) {
	for _, s := range z.Services {
		if !isService(s) {
			f.add("%s.services: %q is not of the form _name._tcp", key, s)
		}
	}
	if len(z.Servers) == 0 {
		f.add("%s.servers: empty", key)
	}
	for i, s := range z.Servers {
		f.checkLoopback(fmt.Sprintf("%s.servers[%d]", key, i), s)
	}
}

// isService reports whether name has the form _name._tcp.
func isService(name string) bool {
	labels := strings.Split(name, ".")
	return len(labels) == 2 && strings.HasPrefix(labels[0], "_") && len(labels[0]) >= 2 && labels[1] == "_tcp"
}

// Zones returns the zones to follow. The configuration must have been checked.
func (d *DNSSD) Zones() (list []dnssd.Zone) {
	allowed, _ := parseNetworks(d.Networks)
	for _, z := range d.Zone {
		out := dnssd.Zone{Domain: z.Domain, ServiceTypes: z.Services, Servers: z.Servers, Transfer: z.Transfer, AllowedNetworks: allowed}
		for _, k := range d.Key {
			if z.Key != "" && k.Name == dns.CanonicalName(z.Key) {
				out.Key = &dnssd.Key{Name: k.Name, Algorithm: k.Algorithm, Secret: k.Secret}
			}
		}
		list = append(list, out)
	}
	return list
}

// NotifySources returns the addresses from which NOTIFY messages are accepted. The configuration must have been checked.
func (d *DNSSD) NotifySources() *bart.Lite {
	set, _ := parseNetworks(d.Allow)
	return set
}

// parseNetworks parses a list of networks and addresses, such as "10.1.0.0/16" and "10.1.0.7".
func parseNetworks(list []string) (*bart.Lite, error) {
	set := new(bart.Lite)
	for _, s := range list {
		p, err := netip.ParsePrefix(s)
		if err != nil {
			a, single := netip.ParseAddr(s)
			if single != nil {
				return set, fmt.Errorf("%q is neither a network nor an address", s)
			}
			p = netip.PrefixFrom(a, a.BitLen())
		}
		set.Insert(p.Masked())
	}
	return set, nil
}

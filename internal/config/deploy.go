package config

// This file owns our own file below deploy/: its form, its checks and its defaults. It must never turn on what
// the file does not name, and a check names every faulty key, not only the first.

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gaissmai/bart"
	"github.com/miekg/dns"

	"gullfall/internal/dnssd"
	"gullfall/internal/membership"
	"gullfall/internal/zones"
)

// DeployFile is where the file of ours lies, seen from the repository's root.
const DeployFile = "deploy/gullfall.toml"

// Deploy is what our own file says: the log, the second front, the records, who is there, the store, and the talk among
// coordinators.
type Deploy struct {
	Log        Log
	Flight     FlightFront
	DNSSD      DNSSD
	Membership Membership
	Node       []Node
	Store      Store
	Work       Work
	Zones      Zones
	Peers      Peers
	Admin      Admin
}

// Zones is how a zone that fails as a whole is left, and how fast work goes back. Each coordinator decides from its
// own evidence; a figure of 0 takes the default of internal/zones.
type Zones struct {
	Enabled    bool
	Window     Span
	Doubt      float64
	Clear      float64
	Leave      float64
	Margin     float64
	MinFailing int `toml:"min_failing"`
	Confirm    Span
	Quiet      Span
	Wait       Span
	MaxWait    Span `toml:"max_wait"`
	Spread     Span
	Ramp       Span
	Keep       float64
	Drained    []string // zones left by an operator's word; read again on SIGHUP
}

// Log is how much is logged, and how.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// DNSSD is what is browsed, and what is described.
type DNSSD struct {
	Serve, Domain string
	Networks      []string
	Questions     float64 `toml:"questions_per_s"`
	Poll          Span
	Stale         Span
	Notify        string
	Allow         []string
	Zone          []Zone
	Key           []Key
}

// Zone is a domain that is browsed.
type Zone struct {
	Domain   string
	Services []string
	Servers  []string
	Transfer bool
	Key      string
}

// Key signs messages (RFC 8945).
type Key struct{ Name, Algorithm, Secret string }

// Membership is how returns are damped (RFC 2439).
type Membership struct {
	HalfLife        Span `toml:"half_life"`
	Suppress, Reuse float64
	Longest         Span
}

// Node is a data node that is always named.
type Node struct {
	ID, Addr, Zone, Proto string
	Cell                  int
	Weight                float64
}

// Span is a length of time, written as "1m30s".
type Span time.Duration

// UnmarshalText reads a Span.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("%v is negative", d)
	}
	*s = Span(d)
	return err
}

// Store is where configuration and state are kept.
type Store struct {
	Directory string
	Listen    string
	Heartbeat Span // a leader not heard for so long is replaced; 1s
	Peer      []Peer
	Route     []PeerRoute
	CatchUp   int     `toml:"catch_up"` // bytes of a snapshot that the leader sends a member far behind in a second; 4 MiB
	Skew      float64 // by how much the clock that leases are counted by runs fast; to try their bound, 0 in service
}

// Pace is CatchUp, or what stands for 0.
func (s Store) Pace() float64 {
	if s.CatchUp == 0 {
		return 4 << 20
	}
	return float64(s.CatchUp)
}

// Peer is one member of the store. A learner holds a copy and has no vote.
type Peer struct {
	Name, Addr string
	Learner    bool
}

// LoadDeploy reads the deploy file; everything is off where there is none.
func LoadDeploy(path, name string) (Deploy, error) {
	var d Deploy
	md, err := toml.DecodeFile(path, &d)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	var faults []error
	for _, key := range md.Undecoded() {
		faults = append(faults, fmt.Errorf("%s: unknown key", key))
	}
	d.defaults()
	faults = append(faults, d.check(name)...)
	for i, err := range faults {
		faults[i] = fmt.Errorf("%s: %w", path, err)
	}
	return d, errors.Join(faults...)
}

// Check fills in defaults and names every faulty key of a Deploy that was made by hand.
func (d *Deploy) Check(name string) error {
	d.defaults()
	return errors.Join(d.check(name)...)
}

func (d *Deploy) defaults() {
	d.Work.defaults()
	for _, v := range []struct {
		to *string
		by string
	}{{&d.Log.Level, "info"}, {&d.Log.Format, "text"}, {&d.DNSSD.Domain, "local."}} {
		if *v.to == "" {
			*v.to = v.by
		}
	}
	if d.Flight.Connections == 0 {
		d.Flight.Connections = 128
	}
	if d.DNSSD.Questions == 0 {
		d.DNSSD.Questions = 400
	}
	if d.DNSSD.Poll == 0 {
		d.DNSSD.Poll = Span(dnssd.DefaultPoll)
	}
	if d.DNSSD.Stale == 0 {
		d.DNSSD.Stale = Span(time.Hour)
	}
	if len(d.DNSSD.Networks) == 0 {
		d.DNSSD.Networks = []string{"127.0.0.0/8", "::1/128"}
	}
	d.DNSSD.Domain = dns.Fqdn(strings.ToLower(d.DNSSD.Domain))
	for i := range d.DNSSD.Zone {
		z := &d.DNSSD.Zone[i]
		z.Domain = dns.Fqdn(strings.ToLower(z.Domain))
		if len(z.Services) == 0 {
			z.Services = []string{"_dn._tcp"}
		}
	}
	for i := range d.DNSSD.Key {
		k := &d.DNSSD.Key[i]
		if k.Name = dns.CanonicalName(k.Name); k.Algorithm == "" {
			k.Algorithm = dns.HmacSHA256
		}
		k.Algorithm = dns.Fqdn(k.Algorithm)
	}
	for i := range d.Node {
		if d.Node[i].Weight == 0 {
			d.Node[i].Weight = 1
		}
	}
}

// check names the faulty keys.
func (d *Deploy) check(name string) (faults []error) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	addr := func(key, addr string) {
		if addr == "" {
			return
		}
		if ap, err := netip.ParseAddrPort(addr); err != nil {
			fault("%s: %w", key, err)
		} else if !ap.Addr().IsLoopback() {
			fault("%s: %s is not a loopback address", key, addr)
		}
	}
	if _, known := levels[d.Log.Level]; !known {
		fault("log.level: %q is none of debug, info, warn, error", d.Log.Level)
	}
	if d.Log.Format != "text" && d.Log.Format != "json" {
		fault("log.format: %q is neither text nor json", d.Log.Format)
	}
	addr("flight.listen", d.Flight.Listen)
	if d.Flight.Connections < 0 {
		fault("flight.connections: %d is negative", d.Flight.Connections)
	}
	faults = append(faults, d.Flight.check()...)
	faults = append(faults, d.DNSSD.check()...)
	if d.DNSSD.Serve != "" && d.Flight.Listen == "" {
		fault("dnssd.serve: there is no service to describe while flight.listen is empty")
	}
	if err := d.Damping().Check(); err != nil {
		fault("membership.suppress, membership.reuse: %w", err)
	}
	if len(d.Zones.Drained) > 0 && !d.Zones.Enabled {
		fault("zones.drained: %v: zones are not watched while zones.enabled is false", d.Zones.Drained)
	}
	if err := d.ZoneRules(0).Check(); err != nil {
		fault("%w (keys in lower case, MaxWait as max_wait, MinFailing as min_failing)", err)
	}
	seen := map[string]bool{}
	for i, n := range d.Node {
		key := fmt.Sprintf("node[%d]", i)
		if n.ID == "" || seen[n.ID] {
			fault("%s.id: %q is missing or another's", key, n.ID)
		}
		seen[n.ID] = true
		if n.Addr == "" {
			fault("%s.addr: missing", key)
		}
		addr(key+".addr", n.Addr)
		if n.Proto != "" && n.Proto != "frames" && n.Proto != "flight" {
			fault("%s.proto: %q is neither frames nor flight", key, n.Proto)
		}
		if n.Cell < 0 || !(n.Weight > 0) {
			fault("%s: cell or weight is negative", key)
		}
	}
	faults = append(faults, d.Peers.check()...)
	faults = append(faults, d.Work.check(d.Store)...)
	addr("store.listen", d.Store.Listen)
	self := false
	for i, p := range d.Store.Peer {
		if p.Name == "" || p.Addr == "" {
			fault("store.peer[%d]: name and addr are needed", i)
		}
		self = self || p.Name == name
		addr(fmt.Sprintf("store.peer[%d].addr", i), p.Addr)
	}
	for i, r := range d.Store.Route {
		addr(fmt.Sprintf("store.route[%d].addr", i), r.Addr)
		addr(fmt.Sprintf("store.route[%d].via", i), r.Via)
	}
	if k := d.Store.Skew; !(k > -0.5 && k < 0.5) {
		fault("store.skew: %v; between -0.5 and 0.5, and 0 in service", k)
	}
	if k := d.Store.CatchUp; k != 0 && k < 64<<10 {
		fault("store.catch_up: %d; 65536 bytes a second at least", k)
	}
	if b := time.Duration(d.Store.Heartbeat); b != 0 && b < 50*time.Millisecond {
		fault("store.heartbeat: %v; give 50ms or more, longer than the longest pause of a member", b)
	}
	switch {
	case len(d.Store.Peer) > 0 && !slices.ContainsFunc(d.Store.Peer, func(p Peer) bool { return !p.Learner }):
		fault("store.peer: all are learners; one at least must have a vote")
	case (d.Store.Listen != "") != (len(d.Store.Peer) > 0):
		fault("store.listen, store.peer: one needs the other")
	case len(d.Store.Peer) > 0 && !self:
		fault("store.peer: this coordinator, %q, is not among them", name)
	}
	return faults
}

// check names the faulty keys of the records' part.
func (d *DNSSD) check() (faults []error) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	loop := func(key, addr string) {
		if ap, err := netip.ParseAddrPort(addr); err != nil {
			fault("%s: %w", key, err)
		} else if !ap.Addr().IsLoopback() {
			fault("%s: %s is not a loopback address", key, addr)
		}
	}
	if d.Serve != "" {
		loop("dnssd.serve", d.Serve)
	}
	if d.Notify != "" {
		if loop("dnssd.notify", d.Notify); len(d.Allow) == 0 {
			fault("dnssd.allow: empty; dnssd.notify needs to know whose messages count")
		}
	}
	if _, ok := dns.IsDomainName(d.Domain); !ok {
		fault("dnssd.domain: %q is no domain", d.Domain)
	}
	for _, v := range []struct {
		key  string
		list []string
	}{{"dnssd.networks", d.Networks}, {"dnssd.allow", d.Allow}} {
		if _, err := networks(v.list); err != nil {
			fault("%s: %w", v.key, err)
		}
	}
	if !(d.Questions >= 4) {
		fault("dnssd.questions_per_s: %g is under 4", d.Questions)
	}
	if p := time.Duration(d.Poll); p < 50*time.Millisecond || p > 500*time.Millisecond {
		fault("dnssd.poll: %v is not within 50ms and 500ms", p)
	}
	keys := map[string]bool{}
	for i, k := range d.Key {
		if _, err := base64.StdEncoding.DecodeString(k.Secret); err != nil || k.Secret == "" || k.Name == "." {
			fault("dnssd.key[%d]: name and a secret in base64 are needed", i)
		}
		if !strings.HasPrefix(k.Algorithm, "hmac-sha") {
			fault("dnssd.key[%d].algorithm: %q is none of hmac-sha1, -sha224, -sha256, -sha384, -sha512", i, k.Algorithm)
		}
		keys[k.Name] = true
	}
	seen := map[string]bool{}
	for i, z := range d.Zone {
		key := fmt.Sprintf("dnssd.zone[%d]", i)
		if _, ok := dns.IsDomainName(z.Domain); !ok || z.Domain == "." {
			fault("%s.domain: %q is no domain", key, z.Domain)
		}
		if seen[z.Domain] {
			fault("%s.domain: %q is there twice", key, z.Domain)
		}
		seen[z.Domain] = true
		for _, s := range z.Services {
			if labels := strings.Split(s, "."); len(labels) != 2 || !strings.HasPrefix(labels[0], "_") || len(labels[0]) < 2 ||
				labels[1] != "_tcp" {
				fault("%s.services: %q is not of the form _name._tcp", key, s)
			}
		}
		if len(z.Servers) == 0 {
			fault("%s.servers: empty", key)
		}
		for j, s := range z.Servers {
			loop(fmt.Sprintf("%s.servers[%d]", key, j), s)
		}
		if z.Key != "" && !keys[dns.CanonicalName(z.Key)] {
			fault("%s.key: no dnssd.key has the name %q", key, z.Key)
		}
	}
	return faults
}

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
	"error": slog.LevelError}

// SlogLevel is the level as the log has it.
func (l Log) SlogLevel() slog.Level { return levels[l.Level] }

// Damping is the part of the membership's figures that the file has.
func (d *Deploy) Damping() membership.Config {
	m := d.Membership
	return membership.Config{HalfLife: time.Duration(m.HalfLife), Suppress: m.Suppress, Reuse: m.Reuse,
		MaxSuppress: time.Duration(m.Longest)}
}

// ZoneRules are the figures of the zones' verdicts, with this coordinator's seed; they say nothing where zones are off.
func (d *Deploy) ZoneRules(seed uint64) zones.Config {
	z := d.Zones
	return zones.Config{Window: time.Duration(z.Window), Doubt: z.Doubt, Clear: z.Clear, Leave: z.Leave,
		Margin: z.Margin, MinFailing: z.MinFailing, Confirm: time.Duration(z.Confirm), Quiet: time.Duration(z.Quiet),
		Wait: time.Duration(z.Wait), MaxWait: time.Duration(z.MaxWait), Spread: time.Duration(z.Spread),
		Ramp: time.Duration(z.Ramp), Keep: z.Keep, Seed: seed}
}

// Fixed are the data nodes that the file names.
func (d *Deploy) Fixed() (list []membership.Record) {
	for _, n := range d.Node {
		r := membership.Record{ID: n.ID, Addr: n.Addr, Zone: n.Zone, ShardSet: n.Cell, Weight: n.Weight, Unstated: true}
		if n.Proto == "flight" {
			r.Proto = dnssd.Flight
		}
		list = append(list, r)
	}
	return list
}

// Zones are the zones to be followed; the file has been checked.
func (d *DNSSD) Zones() (list []dnssd.Zone) {
	allowed, _ := networks(d.Networks)
	for _, z := range d.Zone {
		out := dnssd.Zone{Domain: z.Domain, Services: z.Services, Servers: z.Servers, Transfer: z.Transfer, Networks: allowed}
		for _, k := range d.Key {
			if z.Key != "" && k.Name == dns.CanonicalName(z.Key) {
				out.Key = &dnssd.Key{Name: k.Name, Algorithm: k.Algorithm, Secret: k.Secret}
			}
		}
		list = append(list, out)
	}
	return list
}

// Allowed are the addresses whose NOTIFY messages count; the file has been checked.
func (d *DNSSD) Allowed() *bart.Lite {
	set, _ := networks(d.Allow)
	return set
}

// networks reads a set of addresses, as "10.1.0.0/16" or "10.1.0.7".
func networks(list []string) (*bart.Lite, error) {
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

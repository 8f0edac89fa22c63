package config

import (
	"fmt"
	"time"

	"gullfall/internal/dnssd"
	"gullfall/internal/membership"
)

// Membership configures flap damping of data nodes that return (RFC 2439).
type Membership struct {
	HalfLife        Span    `toml:"half_life"` // half-life of a penalty
	Suppress, Reuse float64 // returns are suppressed once the penalty reaches Suppress, until it has decayed to Reuse
	MaxSuppress     Span    `toml:"longest"` // longest suppression
}

// Node is a data node of the fixed list in the deploy file.
type Node struct {
	ID, Addr, Zone, Proto string
	ShardSet              int `toml:"cell"`
	Weight                float64
}

// Damping returns the damping parameters as internal/membership takes them.
func (d *Deploy) Damping() membership.Config {
	m := d.Membership
	return membership.Config{HalfLife: time.Duration(m.HalfLife), Suppress: m.Suppress, Reuse: m.Reuse,
		MaxSuppress: time.Duration(m.MaxSuppress)}
}

// FixedNodes returns the data nodes of the fixed list.
func (d *Deploy) FixedNodes() (list []membership.Record) {
	for _, n := range d.Node {
		r := membership.Record{ID: n.ID, Addr: n.Addr, Zone: n.Zone, ShardSet: n.ShardSet, Weight: n.Weight, StartUnknown: true}
		if n.Proto == "flight" {
			r.Proto = dnssd.Flight
		}
		list = append(list, r)
	}
	return list
}

func (d *Deploy) checkNodes(f *faults) {
	seen := map[string]bool{}
	for i, n := range d.Node {
		key := fmt.Sprintf("node[%d]", i)
		if n.ID == "" || seen[n.ID] {
			f.add("%s.id: %q is missing or a duplicate", key, n.ID)
		}
		seen[n.ID] = true
		n.check(f, key)
	}
}

func (n *Node) check(f *faults, key string) {
	if n.Addr == "" {
		f.add("%s.addr: missing", key)
	}
	f.checkOptionalLoopback(key+".addr", n.Addr)
	if n.Proto != "" && n.Proto != "frames" && n.Proto != "flight" {
		f.add("%s.proto: %q is neither frames nor flight", key, n.Proto)
	}
	if n.ShardSet < 0 || !(n.Weight > 0) {
		f.add("%s: cell or weight is negative", key)
	}
}

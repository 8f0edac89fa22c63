package config

// This file owns our own file below deploy/: its form, its checks and its defaults. It must never turn on what
// the file does not name.

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"strings"

	"github.com/BurntSushi/toml"
)

// DeployFile is where the file of ours lies, seen from the repository's root.
const DeployFile = "deploy/gullfall.toml"

// Deploy is what our own file says: the second front, the records, and the store.
type Deploy struct {
	Flight struct {
		Listen      string
		Connections int
	}
	DNSSD struct {
		Resolver, Serve, Domain, Nodes string
	}
	Store Store
}

// Store is where configuration and state are kept.
type Store struct {
	Directory string
	Listen    string
	Peer      []Peer
}

// Peer is one member of the store.
type Peer struct{ Name, Addr string }

// LoadDeploy reads the deploy file; everything is off where there is none.
func LoadDeploy(path, name string) (Deploy, error) {
	var d Deploy
	md, err := toml.DecodeFile(path, &d)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return d, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if err := d.check(name); err != nil {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	return d, nil
}

// check fills in defaults and names the first faulty key.
func (d *Deploy) check(name string) error {
	if d.Flight.Connections == 0 {
		d.Flight.Connections = 128
	}
	if d.Flight.Connections < 0 {
		return fmt.Errorf("flight.connections: %d is negative", d.Flight.Connections)
	}
	if d.DNSSD.Domain == "" {
		d.DNSSD.Domain = "local."
	}
	d.DNSSD.Domain = strings.TrimSuffix(d.DNSSD.Domain, ".") + "."
	if d.DNSSD.Nodes == "" {
		d.DNSSD.Nodes = "_gullfall-node._tcp"
	}
	if labels := strings.Split(d.DNSSD.Nodes, "."); len(labels) != 2 || labels[0] == "" || labels[0][0] != '_' ||
		labels[1] != "_tcp" {
		return fmt.Errorf("dnssd.nodes: %q is not of the form _name._tcp", d.DNSSD.Nodes)
	}
	addrs := []struct{ key, addr string }{{"flight.listen", d.Flight.Listen}, {"dnssd.resolver", d.DNSSD.Resolver},
		{"dnssd.serve", d.DNSSD.Serve}, {"store.listen", d.Store.Listen}}
	self := false
	for i, p := range d.Store.Peer {
		if p.Name == "" || p.Addr == "" {
			return fmt.Errorf("store.peer[%d]: name and addr are needed", i)
		}
		self = self || p.Name == name
		addrs = append(addrs, struct{ key, addr string }{fmt.Sprintf("store.peer[%d].addr", i), p.Addr})
	}
	for _, a := range addrs {
		if a.addr == "" {
			continue
		}
		if ap, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		} else if !ap.Addr().IsLoopback() {
			return fmt.Errorf("%s: %s is not a loopback address", a.key, a.addr)
		}
	}
	switch {
	case d.DNSSD.Serve != "" && d.Flight.Listen == "":
		return fmt.Errorf("dnssd.serve: there is no service to describe while flight.listen is empty")
	case (d.Store.Listen != "") != (len(d.Store.Peer) > 0):
		return fmt.Errorf("store.listen, store.peer: one needs the other")
	case len(d.Store.Peer) > 0 && !self:
		return fmt.Errorf("store.peer: this coordinator, %q, is not among them", name)
	}
	return nil
}

package fleet

// This file runs several gullfall processes with simulated data nodes in several zones, and a fault proxy between each coordinator and
// each data node, so that a zone can fail for some coordinators only. It ends only processes that it has started; Stop releases
// everything.

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/admin"
	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/discovery"
	"gullfall/internal/lab/load"
	"gullfall/internal/lab/proxy"
)

// The layout of Zones.
const (
	zoneCells  = 4
	zoneShards = 8
	// ZoneTakes is the time that a part takes at these data nodes.
	ZoneTakes = 35 * time.Millisecond
	zoneWarm  = 5 * time.Second // WarmAfterS in Settings
)

// ZoneWarmupBound returns the number of parts that all coordinators together may send to a returning data node in its first second; see
// WorkWarmupBound. Without verdicts on zones, and so without a gradual return of the zone, a data node receives about 47 parts at
// 20 queries per second and coordinator.
func ZoneWarmupBound() float64 { return warmupBound(ZoneTakes, zoneWarm) }

// ZonesOptions configure Zones.
type ZonesOptions struct {
	Coordinators int
	Zones        []string
	PerZone      int
	Rate         float64 // queries per second at each coordinator
	Deploy       string  // the [zones] table of deploy/gullfall.toml
	Store        bool    // the coordinators share a store, with three voters; the others are learners
	Gossip       bool    // the coordinators gossip, also about data nodes
	Binary       string
	Seed         uint64
	NoLoad       []int // coordinators that receive no queries
}

// ZoneView is a coordinator's verdict on a zone.
type ZoneView struct {
	Zone, Verdict, Why string
	Drained            bool
}

// Zones is a group of coordinators with data nodes in several zones.
type Zones struct {
	o           ZonesOptions
	tempDir     string
	directories []*discovery.Directory // by coordinator: each lists the data nodes at that coordinator's proxies
	Ledger      *datanode.Ledger
	Coords      []*Coordinator
	fronts      []string
	addrs       []string // store addresses of the coordinators
	gossipAddrs []string // gossip addresses of the coordinators
	loads       []*load.Load
	stop        context.CancelFunc
	wg          sync.WaitGroup

	mu    sync.Mutex
	Nodes []*ZoneNode
}

// ZoneNode is a data node and the proxies to it, one per coordinator.
type ZoneNode struct {
	*datanode.Node
	Zone     string
	proxies  []*proxy.Proxy
	replaced bool // by ReplaceNodes
}

// StartZones starts the fleet. The caller stops it if it is not nil, also after an error.
func StartZones(ctx context.Context, o ZonesOptions) (z *Zones, err error) {
	z = &Zones{o: o, Ledger: datanode.NewLedger()}
	if z.tempDir, err = os.MkdirTemp("", "gullfall-zones-"); err != nil {
		return z, err
	}
	for range o.Coordinators {
		d, err := discovery.Start()
		if err != nil {
			return z, err
		}
		z.directories = append(z.directories, d)
	}
	for zi, zone := range o.Zones {
		for i := range o.PerZone {
			if err := z.add(zone, fmt.Sprintf("%s-%d", zone, i), (zi+i)%zoneCells, time.Now().Add(-time.Hour)); err != nil {
				return z, err
			}
		}
	}
	for range o.Coordinators {
		z.addrs, z.gossipAddrs = append(z.addrs, freeAddr("tcp")), append(z.gossipAddrs, freeAddr("tcp"))
	}
	for i := range o.Coordinators {
		z.fronts = append(z.fronts, freeAddr("tcp"))
		z.Coords = append(z.Coords, nil)
		if err := z.Start(ctx, i); err != nil {
			return z, err
		}
		z.loads = append(z.loads, &load.Load{Addr: z.fronts[i], Owner: "club", Rate: o.Rate, Shards: zoneShards, Classes: Classes, Open: 64, Ledger: z.Ledger,
			Seed: o.Seed*1000 + uint64(i)})
	}
	loading, stop := context.WithCancel(ctx)
	z.stop = stop
	for i, l := range z.loads {
		if slices.Contains(o.NoLoad, i) {
			continue
		}
		z.wg.Go(func() { l.Run(loading) })
	}
	return z, nil
}

// add starts a data node and its proxies and lists it in the discovery of each coordinator. If started is
// zero, discovery lists the time at which the data node actually started.
func (z *Zones) add(zone, id string, cell int, started time.Time) error {
	n := &ZoneNode{Node: &datanode.Node{ID: id, Cell: cell, Proto: "frames", Ledger: z.Ledger, Takes: ZoneTakes, Started: started}, Zone: zone}
	z.mu.Lock()
	z.Nodes = append(z.Nodes, n)
	z.mu.Unlock()
	if err := n.Start(); err != nil {
		return err
	}
	if !started.IsZero() {
		n.Started = started
	}
	for _, d := range z.directories {
		p, err := proxy.Start(n.Addr())
		if err != nil {
			return err
		}
		n.proxies = append(n.proxies, p)
		d.Set(discovery.Entry{ID: n.ID, Addr: p.Addr(), Zone: zone, Cell: cell, State: "SERVING", Weight: 1, Started: n.Started.UnixMilli()})
	}
	return nil
}

func (z *Zones) socket(i int) string { return filepath.Join(z.tempDir, PeerName(i)) }

// Start starts a coordinator, or restarts it after Kill.
func (z *Zones) Start(ctx context.Context, i int) (err error) {
	deploy := fmt.Sprintf("[log]\nlevel = \"debug\"\n[admin]\nsocket = %q\n[zones]\n%s", z.socket(i), z.o.Deploy) // attempts are counted by their debug lines
	if z.o.Gossip {
		deploy += fmt.Sprintf("[peers]\nlisten = %q\nfleet = \"lab\"\nseeds = [%q, %q]\nperiod = \"200ms\"\ntimeout = \"50ms\"\n[[peers.key]]\nid = 1\nsecret = \"AAECAwQFBgcICQoLDA0ODw==\"\n",
			z.gossipAddrs[i], z.gossipAddrs[0], z.gossipAddrs[1])
	}
	if z.o.Store {
		deploy += fmt.Sprintf("[store]\ndirectory = %q\nlisten = %q\nheartbeat = \"500ms\"\n", filepath.Join(z.tempDir, "store-"+PeerName(i)), z.addrs[i])
		for j, addr := range z.addrs {
			deploy += fmt.Sprintf("[[store.peer]]\nname = %q\naddr = %q\nlearner = %v\n", PeerName(j), addr, j >= 3)
		}
	}
	config := Config(PeerName(i), z.fronts[i], z.directories[i].Addr(), z.o.Seed*1000+uint64(i)+1, 64, Settings(zoneCells, zoneShards, z.o.Coordinators))
	z.Coords[i], err = Spawn(ctx, z.o.Binary, z.fronts[i], map[string]string{"config.json": config, "deploy/gullfall.toml": deploy})
	return err
}

// Stall stops a coordinator with SIGSTOP until Resume.
func (z *Zones) Stall(i int) error { return syscall.Kill(z.Coords[i].Pid(), syscall.SIGSTOP) }

// Resume continues a stalled coordinator.
func (z *Zones) Resume(i int) error { return syscall.Kill(z.Coords[i].Pid(), syscall.SIGCONT) }

// Kill ends a coordinator with SIGKILL.
func (z *Zones) Kill(i int) error { return errors.Join(z.Coords[i].Kill(), z.Coords[i].Discard()) }

// Set sets the fault between the given coordinators, or all if none is given, and the data nodes of a zone.
func (z *Zones) Set(f proxy.Fault, zone string, from ...int) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	var errs []error
	for _, n := range z.Nodes {
		for i, p := range n.proxies {
			if n.Zone == zone && !n.replaced && (len(from) == 0 || slices.Contains(from, i)) {
				errs = append(errs, p.Set(f, 20*time.Millisecond))
			}
		}
	}
	return errors.Join(errs...)
}

// ReplaceNodes replaces a zone's data nodes by as many with new ids, as in a zone that was rebuilt.
func (z *Zones) ReplaceNodes(zone string) error {
	z.mu.Lock()
	var old []*ZoneNode
	for _, n := range z.Nodes {
		if n.Zone == zone && !n.replaced {
			n.replaced = true
			old = append(old, n)
		}
	}
	z.mu.Unlock()
	for _, n := range old {
		n.Kill()
		for _, d := range z.directories {
			d.Set(discovery.Entry{ID: n.ID, State: "DELETED"})
		}
		if err := z.add(zone, n.ID+"x", n.Cell, time.Time{}); err != nil {
			return err
		}
	}
	return nil
}

// Verdicts returns a coordinator's verdicts by zone.
func (z *Zones) Verdicts(ctx context.Context, i int) (map[string]ZoneView, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
	defer cancel()
	var list []ZoneView
	err := admin.Call(ctx, z.socket(i), "zones", nil, &list)
	views := map[string]ZoneView{}
	for _, v := range list {
		views[v.Zone] = v
	}
	return views, err
}

// Learned returns, by data node, whether it is doubtful according to the reports of all coordinators that coordinator i has received.
func (z *Zones) Learned(ctx context.Context, i int) (doubtful map[string]bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
	defer cancel()
	var list []struct {
		Node     string
		Doubtful bool
	}
	err = admin.Call(ctx, z.socket(i), "learned", nil, &list)
	doubtful = map[string]bool{}
	for _, l := range list {
		doubtful[l.Node] = l.Doubtful
	}
	return doubtful, err
}

// Command gives an operator's command, "drain" or "undrain", on a zone to a coordinator.
func (z *Zones) Command(ctx context.Context, i int, command, zone string) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	var said string
	return admin.Call(ctx, z.socket(i), "zones "+command, zone, &said)
}

// Until waits until a coordinator's verdict on a zone is one of the given ones.
func (z *Zones) Until(ctx context.Context, i int, zone string, end time.Time, verdicts ...string) error {
	var last string
	for {
		v, err := z.Verdicts(ctx, i)
		if last = v[zone].Verdict; err == nil && slices.Contains(verdicts, last) {
			return nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return fmt.Errorf("zone %s at %s is %q (%s), not %v: %w", zone, PeerName(i), last, v[zone].Why, verdicts, errors.Join(err, ctx.Err(), errTimedOut))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var errTimedOut = errors.New("timed out")

// Parts returns the number of parts started so far at each of a zone's data nodes.
func (z *Zones) Parts(zone string) map[string]int {
	starts := z.Ledger.Account().Starts
	z.mu.Lock()
	defer z.mu.Unlock()
	m := map[string]int{}
	for _, n := range z.Nodes {
		if n.Zone == zone && !n.replaced {
			m[n.ID] = starts[n.ID]
		}
	}
	return m
}

// Sum returns the outcomes of the queries at a coordinator.
func (z *Zones) Sum(i int) load.Tally { return z.loads[i].Sum() }

// EndLoad stops the clients and waits for their end.
func (z *Zones) EndLoad() {
	if z.stop != nil {
		z.stop()
		z.wg.Wait()
		z.stop = nil
	}
}

// Stop ends all processes, proxies and data nodes and removes their files.
func (z *Zones) Stop() (err error) {
	z.EndLoad()
	for _, c := range z.Coords {
		if c != nil {
			err = errors.Join(err, c.Stop())
		}
	}
	for _, n := range z.Nodes {
		for _, p := range n.proxies {
			p.Close()
		}
		n.Kill()
	}
	for _, d := range z.directories {
		d.Close()
	}
	return errors.Join(err, os.RemoveAll(z.tempDir))
}

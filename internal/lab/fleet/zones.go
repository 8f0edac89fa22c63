package fleet

// Here are coordinators of the real program before stand-in data nodes in several zones, with a fault proxy between each
// coordinator and each data node, so that a zone can be away for some of them only. It must never end a process that it has not
// started, and gives all back in Stop.

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

// The layout of the lab's zones.
const (
	zoneCells  = 4
	zoneShards = 8
	// ZoneTakes is the work of a part at these data nodes.
	ZoneTakes = 35 * time.Millisecond
	zoneWarm  = 5 * time.Second // by the lab's settings
)

// ZoneColdBound is how many parts a cold data node of these bears in its first second, from all coordinators together: see
// coldBound. Judged by data node, without a pace, it gets some 47 at 20 queries a second and coordinator.
func ZoneColdBound() float64 { return coldBound(ZoneTakes, zoneWarm) }

// ZonesOptions say what is started.
type ZonesOptions struct {
	Coordinators int
	Zones        []string
	PerZone      int
	Rate         float64 // queries a second at each coordinator
	Deploy       string  // [zones] of deploy/gullfall.toml
	Store        bool    // they share a store: three votes, the others learners
	Talk         bool    // they watch each other, and tell what they learn of data nodes
	Binary       string
	Seed         uint64
	Quiet        []int // coordinators that no client asks
}

// ZoneView is a coordinator's verdict on a zone.
type ZoneView struct {
	Zone, Verdict, Why string
	Drained            bool
}

// Zones is what was started.
type Zones struct {
	o      ZonesOptions
	folder string
	dirs   []*discovery.Directory // one for each coordinator: each knows the data nodes by proxies of its own
	Ledger *datanode.Ledger
	Coords []*Coordinator
	fronts []string
	addrs  []string // of the store's members
	talks  []string // where they watch each other
	loads  []*load.Load
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	Nodes []*ZoneNode
}

// ZoneNode is a data node and the ways to it, by coordinator.
type ZoneNode struct {
	*datanode.Node
	Zone string
	ways []*proxy.Proxy
	gone bool
}

// StartZones starts them. The caller stops them, also after an error if Zones is not nil.
func StartZones(ctx context.Context, o ZonesOptions) (z *Zones, err error) {
	z = &Zones{o: o, Ledger: datanode.NewLedger()}
	if z.folder, err = os.MkdirTemp("", "gullfall-zones-"); err != nil {
		return z, err
	}
	for range o.Coordinators {
		d, err := discovery.Start()
		if err != nil {
			return z, err
		}
		z.dirs = append(z.dirs, d)
	}
	for zi, zone := range o.Zones {
		for i := range o.PerZone {
			if err := z.add(zone, fmt.Sprintf("%s-%d", zone, i), (zi+i)%zoneCells, time.Now().Add(-time.Hour)); err != nil {
				return z, err
			}
		}
	}
	for range o.Coordinators {
		z.addrs, z.talks = append(z.addrs, free("tcp")), append(z.talks, free("tcp"))
	}
	for i := range o.Coordinators {
		z.fronts = append(z.fronts, free("tcp"))
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
		if slices.Contains(o.Quiet, i) {
			continue
		}
		z.wg.Go(func() { l.Run(loading) })
	}
	return z, nil
}

// add starts a data node and lists it to each coordinator.
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
	for _, d := range z.dirs {
		p, err := proxy.Start(n.Addr())
		if err != nil {
			return err
		}
		n.ways = append(n.ways, p)
		d.Set(discovery.Entry{ID: n.ID, Addr: p.Addr(), Zone: zone, Cell: cell, State: "SERVING", Weight: 1, Started: n.Started.UnixMilli()})
	}
	return nil
}

func (z *Zones) socket(i int) string { return filepath.Join(z.folder, PeerName(i)) }

// Start starts a coordinator, anew after Kill.
func (z *Zones) Start(ctx context.Context, i int) (err error) {
	deploy := fmt.Sprintf("[log]\nlevel = \"debug\"\n[admin]\nsocket = %q\n[zones]\n%s", z.socket(i), z.o.Deploy) // attempts are counted by their debug lines
	if z.o.Talk {
		deploy += fmt.Sprintf("[peers]\nlisten = %q\nfleet = \"lab\"\nseeds = [%q, %q]\nperiod = \"200ms\"\ntimeout = \"50ms\"\n[[peers.key]]\nid = 1\nsecret = \"AAECAwQFBgcICQoLDA0ODw==\"\n",
			z.talks[i], z.talks[0], z.talks[1])
	}
	if z.o.Store {
		deploy += fmt.Sprintf("[store]\ndirectory = %q\nlisten = %q\nheartbeat = \"500ms\"\n", filepath.Join(z.folder, "store-"+PeerName(i)), z.addrs[i])
		for j, addr := range z.addrs {
			deploy += fmt.Sprintf("[[store.peer]]\nname = %q\naddr = %q\nlearner = %v\n", PeerName(j), addr, j >= 3)
		}
	}
	config := Config(PeerName(i), z.fronts[i], z.dirs[i].Addr(), z.o.Seed*1000+uint64(i)+1, 64, Settings(zoneCells, zoneShards, z.o.Coordinators))
	z.Coords[i], err = Spawn(ctx, z.o.Binary, z.fronts[i], map[string]string{"config.json": config, "deploy/gullfall.toml": deploy})
	return err
}

// Stall stops a coordinator by SIGSTOP until Resume.
func (z *Zones) Stall(i int) error { return syscall.Kill(z.Coords[i].Pid(), syscall.SIGSTOP) }

// Resume lets a stalled coordinator go on.
func (z *Zones) Resume(i int) error { return syscall.Kill(z.Coords[i].Pid(), syscall.SIGCONT) }

// Kill ends a coordinator by SIGKILL.
func (z *Zones) Kill(i int) error { return errors.Join(z.Coords[i].Kill(), z.Coords[i].Discard()) }

// Set puts a fault on the ways from coordinators to a zone; from all of them where none is named.
func (z *Zones) Set(f proxy.Fault, zone string, from ...int) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	var errs []error
	for _, n := range z.Nodes {
		for i, p := range n.ways {
			if n.Zone == zone && !n.gone && (len(from) == 0 || slices.Contains(from, i)) {
				errs = append(errs, p.Set(f, 20*time.Millisecond))
			}
		}
	}
	return errors.Join(errs...)
}

// Renew ends a zone's data nodes and starts as many under new names, as a zone does that was built anew.
func (z *Zones) Renew(zone string) error {
	z.mu.Lock()
	var old []*ZoneNode
	for _, n := range z.Nodes {
		if n.Zone == zone && !n.gone {
			n.gone = true
			old = append(old, n)
		}
	}
	z.mu.Unlock()
	for _, n := range old {
		n.Kill()
		for _, d := range z.dirs {
			d.Set(discovery.Entry{ID: n.ID, State: "DELETED"})
		}
		if err := z.add(zone, n.ID+"x", n.Cell, time.Time{}); err != nil {
			return err
		}
	}
	return nil
}

// Verdicts are a coordinator's, by zone.
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

// Learned tells which data nodes are doubtful by what all coordinators have told one.
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

// Word drains a zone at a coordinator by an operator's word, or no longer.
func (z *Zones) Word(ctx context.Context, i int, word, zone string) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	var said string
	return admin.Call(ctx, z.socket(i), "zones "+word, zone, &said)
}

// Until waits for a coordinator's verdict on a zone to be one of those named.
func (z *Zones) Until(ctx context.Context, i int, zone string, end time.Time, verdicts ...string) error {
	var last string
	for {
		v, err := z.Verdicts(ctx, i)
		if last = v[zone].Verdict; err == nil && slices.Contains(verdicts, last) {
			return nil
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return fmt.Errorf("zone %s at %s is %q (%s), not %v: %w", zone, PeerName(i), last, v[zone].Why, verdicts, errors.Join(err, ctx.Err(), errLate))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var errLate = errors.New("in its time")

// Parts counts the parts that have begun at each of a zone's data nodes.
func (z *Zones) Parts(zone string) map[string]int {
	starts := z.Ledger.Account().Starts
	z.mu.Lock()
	defer z.mu.Unlock()
	m := map[string]int{}
	for _, n := range z.Nodes {
		if n.Zone == zone && !n.gone {
			m[n.ID] = starts[n.ID]
		}
	}
	return m
}

// Sum is what became of the queries at a coordinator.
func (z *Zones) Sum(i int) load.Tally { return z.loads[i].Sum() }

// EndLoad lets the clients end.
func (z *Zones) EndLoad() {
	if z.stop != nil {
		z.stop()
		z.wg.Wait()
		z.stop = nil
	}
}

// Stop ends what was started.
func (z *Zones) Stop() (err error) {
	z.EndLoad()
	for _, c := range z.Coords {
		if c != nil {
			err = errors.Join(err, c.Stop())
		}
	}
	for _, n := range z.Nodes {
		for _, p := range n.ways {
			p.Close()
		}
		n.Kill()
	}
	for _, d := range z.dirs {
		d.Close()
	}
	return errors.Join(err, os.RemoveAll(z.folder))
}

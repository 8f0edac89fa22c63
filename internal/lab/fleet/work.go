package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/discovery"
	"gullfall/internal/lab/load"
	"gullfall/internal/lab/proxy"
)

// The layout of the lab's works: each zone holds every cell where it has four data nodes.
const (
	workCells  = 4
	workShards = 8
	workReach  = 2
	// WorkTakes is the work of a part at these data nodes.
	WorkTakes = 20 * time.Millisecond
)

// WorkColdBound is how many parts a cold data node of these bears in its first second, from all coordinators together. By the
// lab's settings it falls at FallMultiple (2) times what it can do at that moment for a second, one part at a time, which is
// StartCapacity (0.3) of all at first and all of it after warm; to that N comes what chance adds, 3 roots of N and 3.
func WorkColdBound(warm time.Duration) float64 { return coldBound(WorkTakes, warm) }

func coldBound(takes, warm time.Duration) float64 {
	n := 2 * (0.3 + 0.7*min(1, 0.5*float64(time.Second)/float64(warm))) * float64(time.Second) / float64(takes)
	return n + 3*math.Sqrt(n) + 3
}

// MaintenanceOptions say what is started.
type MaintenanceOptions struct {
	Coordinators, Voters int
	PerZone              int
	Rate                 float64 // queries a second at each coordinator
	Floor                int
	Share                float64
	Bound, Lease, Warm   time.Duration
	Heartbeat            time.Duration
	Work                 time.Duration // that the hands take for a machine
	Duties               []string      // beside that of the work
	Skew                 float64       // clocks of leases run between this much slow and this much fast
	Binary               string
	Seed                 uint64
}

// MaintenanceFleet is the coordinators, the data nodes and the hands.
type MaintenanceFleet struct {
	o      MaintenanceOptions
	dir    *discovery.Directory
	folder string
	Ledger *datanode.Ledger
	Nodes  []*datanode.Node
	Coords []*Coordinator
	addrs  []string
	fronts []string
	ways   [][]*proxy.Proxy // from, to; nil on the diagonal
	loads  []*load.Load
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	down    []bool
	stalled []bool
	busy    []time.Time // until when what befalls a coordinator's clients is its fault's
	clean   []Tallies   // at each coordinator, outside its faults
	mark    []load.Tally
	orders  map[uint64]string // moves by number, as any coordinator told them
	Faults  WorkFaults
	Returns []int           // parts that came to each machine in the first second after its return was seen
	steps   map[string]bool // machines in work, as last seen
	moved   uint64
	since   time.Time     // of the last move, or of the first open request
	Stalled time.Duration // longest that an open request saw no move
	hand    []sync.Mutex  // of each data node: held by who stops and starts it
}

// Tallies are what became of queries.
type Tallies struct{ Asked, Served, Lost, Wrong, Refused, Failed int }

// WorkFaults is what must not happen, and how much of it did.
type WorkFaults struct {
	SentWhileOut int      // parts that came to a machine between its hand-over and its return
	FloorBroken  int      // looks at which a shard had fewer replicas outside work than its floor
	TwoOrders    int      // moves that two coordinators told differently
	HandedOver   int      // machines that were
	Overtaken    int      // machines that crashed and came up anew before the hands took them up
	Said         []string // the first of each
}

// StartMaintenanceFleet starts it. The caller stops it, also after an error if it is not nil.
func StartMaintenanceFleet(ctx context.Context, o MaintenanceOptions) (w *MaintenanceFleet, err error) {
	w = &MaintenanceFleet{o: o, Ledger: datanode.NewLedger(), orders: map[uint64]string{}}
	if w.dir, err = discovery.Start(); err != nil {
		return w, err
	}
	if w.folder, err = os.MkdirTemp("", "gullfall-works-"); err != nil {
		return w, err
	}
	if err := w.startNodes(); err != nil {
		return w, err
	}
	n := o.Coordinators
	w.Coords, w.down, w.stalled = make([]*Coordinator, n), make([]bool, n), make([]bool, n)
	w.busy, w.clean, w.mark = make([]time.Time, n), make([]Tallies, n), make([]load.Tally, n)
	if err := w.connect(); err != nil {
		return w, err
	}
	for i := range n {
		if err := w.Start(ctx, i); err != nil {
			return w, err
		}
	}
	ctx, w.stop = context.WithCancel(ctx)
	for i := range n {
		l := &load.Load{Addr: w.fronts[i], Owner: "club", Rate: o.Rate, Shards: workShards, Classes: Classes, Open: 64, Ledger: w.Ledger, Seed: o.Seed*1000 + uint64(i)}
		w.loads = append(w.loads, l)
		w.wg.Go(func() { l.Run(ctx) })
	}
	w.wg.Go(func() { w.hands(ctx) })
	return w, nil
}

// startNodes starts the data nodes of three zones and lists them.
func (w *MaintenanceFleet) startNodes() error {
	var entries []discovery.Entry
	for zi, zone := range []string{"a", "b", "c"} {
		for i := range w.o.PerZone {
			n := &datanode.Node{ID: fmt.Sprintf("%s-%d", zone, i), Cell: (zi + i) % workCells, Proto: "frames", Ledger: w.Ledger, Takes: WorkTakes}
			if err := n.Start(); err != nil {
				return err
			}
			w.Nodes = append(w.Nodes, n)
			n.Started = time.Now().Add(-time.Hour)
			entries = append(entries, w.entry(n))
		}
	}
	w.dir.Set(entries...)
	w.hand = make([]sync.Mutex, len(w.Nodes))
	return nil
}

// connect reserves the coordinators' addresses and starts a proxy from each to each other.
func (w *MaintenanceFleet) connect() (err error) {
	n := w.o.Coordinators
	for i := range n {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.8.%d:0", 1+i%250))
		if err != nil {
			return err
		}
		w.addrs = append(w.addrs, ln.Addr().String())
		ln.Close()
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.9.%d:0", 1+i%250)); err != nil {
			return err
		}
		w.fronts = append(w.fronts, ln.Addr().String())
		ln.Close()
	}
	for i := range n {
		w.ways = append(w.ways, make([]*proxy.Proxy, n))
		for j := range n {
			if i != j {
				if w.ways[i][j], err = proxy.Start(w.addrs[j]); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (w *MaintenanceFleet) entry(n *datanode.Node) discovery.Entry {
	e := Entry(n, "SERVING")
	e.Zone, _, _ = strings.Cut(n.ID, "-")
	return e
}

func (w *MaintenanceFleet) socket(i int) string { return filepath.Join(w.folder, PeerName(i)) }

// Start starts one coordinator, anew after Kill, with the store that it had.
func (w *MaintenanceFleet) Start(ctx context.Context, i int) (err error) {
	text := fmt.Sprintf("[log]\nlevel = \"info\"\n[admin]\nsocket = %q\n[work]\nenabled = true\nbound = %q\nlease = %q\nevery = \"50ms\"\nduties = [%s]\nfloor = %d\nshare = %g\nzone_share = 1\n[store]\ndirectory = %q\nlisten = %q\nheartbeat = %q\nskew = %g\n",
		w.socket(i), w.o.Bound, w.o.Lease, quoted(w.o.Duties), w.o.Floor, w.o.Share, filepath.Join(w.folder, "store-"+PeerName(i)), w.addrs[i], w.o.Heartbeat, w.o.Skew*(1-2*float64(i)/float64(max(w.o.Coordinators-1, 1))))
	for j, addr := range w.addrs {
		text += fmt.Sprintf("[[store.peer]]\nname = %q\naddr = %q\nlearner = %v\n", PeerName(j), addr, j >= w.o.Voters)
		if j != i {
			text += fmt.Sprintf("[[store.route]]\naddr = %q\nvia = %q\n", addr, w.ways[i][j].Addr())
		}
	}
	settings := strings.Replace(Settings(workCells, workShards, w.o.Coordinators), `"WarmAfterS":5`, fmt.Sprintf(`"WarmAfterS":%g`, w.o.Warm.Seconds()), 1)
	config := Config(PeerName(i), w.fronts[i], w.dir.Addr(), w.o.Seed*1000+uint64(i)+1, 64, settings)
	w.Coords[i], err = Spawn(ctx, w.o.Binary, w.fronts[i], map[string]string{"config.json": config, "deploy/gullfall.toml": text})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[i], w.stalled[i] = false, false
	w.busy[i] = time.Now().Add(4 * time.Second)
	return err
}

// quoted is a list of names as the deploy file has it.
func quoted(names []string) string {
	var list []string
	for _, n := range names {
		list = append(list, strconv.Quote(n))
	}
	return strings.Join(list, ", ")
}

// Up tells whether a coordinator runs and is not stalled.
func (w *MaintenanceFleet) Up(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down[i] && !w.stalled[i]
}

// touch settles a coordinator's tally up to now, and leaves out what befalls its clients from now on until it is well again.
func (w *MaintenanceFleet) touch(i int, until time.Time) {
	w.settle(i)
	w.mu.Lock()
	w.busy[i] = until
	w.mu.Unlock()
}

// settle adds what became of a coordinator's queries since the last time, if no fault of its own lay in between.
func (w *MaintenanceFleet) settle(i int) {
	if len(w.loads) <= i {
		return
	}
	t := w.loads[i].Sum()
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.mark[i]
	w.mark[i] = t
	if time.Now().Before(w.busy[i]) || w.down[i] || w.stalled[i] {
		return
	}
	c := &w.clean[i]
	c.Asked, c.Served, c.Lost, c.Wrong = c.Asked+t.Asked-m.Asked, c.Served+t.Served-m.Served, c.Lost+t.Lost-m.Lost, c.Wrong+t.Wrong-m.Wrong
	c.Refused, c.Failed = c.Refused+t.Refused-m.Refused, c.Failed+t.Failed-m.Failed
}

// Clean is what became of the queries of all coordinators outside their own faults.
func (w *MaintenanceFleet) Clean() (sum Tallies) {
	for i := range w.Coords {
		w.settle(i)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.clean {
		sum.Asked, sum.Served, sum.Lost, sum.Wrong = sum.Asked+c.Asked, sum.Served+c.Served, sum.Lost+c.Lost, sum.Wrong+c.Wrong
		sum.Refused, sum.Failed = sum.Refused+c.Refused, sum.Failed+c.Failed
	}
	return sum
}

// afterFault is how long after a fault its end may still be felt by clients.
const afterFault = 4 * time.Second

// Stall stops a coordinator by SIGSTOP until Resume.
func (w *MaintenanceFleet) Stall(i int) error {
	w.touch(i, time.Now().Add(afterFault))
	w.mu.Lock()
	w.stalled[i] = true
	w.mu.Unlock()
	return syscall.Kill(w.Coords[i].Pid(), syscall.SIGSTOP)
}

// Resume lets a stalled coordinator go on.
func (w *MaintenanceFleet) Resume(i int) error {
	w.touch(i, time.Now().Add(afterFault))
	w.mu.Lock()
	w.stalled[i] = false
	w.mu.Unlock()
	return syscall.Kill(w.Coords[i].Pid(), syscall.SIGCONT)
}

// Kill ends a coordinator by SIGKILL.
func (w *MaintenanceFleet) Kill(i int) error {
	w.touch(i, time.Now().Add(time.Hour))
	w.mu.Lock()
	w.down[i] = true
	w.mu.Unlock()
	err := w.Coords[i].Kill()
	w.history(w.Coords[i])
	return errors.Join(err, w.Coords[i].Discard())
}

// End ends a coordinator by SIGTERM.
func (w *MaintenanceFleet) End(i int) error {
	w.touch(i, time.Now().Add(time.Hour))
	w.mu.Lock()
	w.down[i] = true
	w.mu.Unlock()
	w.history(w.Coords[i])
	return w.Coords[i].Stop()
}

// Cut sets what befalls the store's traffic from one coordinator to another, connections that the other opens not included.
func (w *MaintenanceFleet) Cut(from, to int, f proxy.Fault) error {
	return w.ways[from][to].Set(f, 20*time.Millisecond)
}

// Isolate cuts a coordinator's store from all others, or mends that.
func (w *MaintenanceFleet) Isolate(i int, f proxy.Fault) (err error) {
	for j := range w.Coords {
		if j != i {
			err = errors.Join(err, w.Cut(i, j, f), w.Cut(j, i, f))
		}
	}
	return err
}

// Crash ends a data node that is not in work as a crash would, and starts it again after a while, as a new process.
func (w *MaintenanceFleet) Crash(i int, d time.Duration) error {
	w.mu.Lock()
	inWork := w.steps[w.Nodes[i].ID]
	w.mu.Unlock()
	if inWork || !w.hand[i].TryLock() {
		return nil
	}
	defer w.hand[i].Unlock()
	w.Nodes[i].Kill()
	time.Sleep(d)
	return w.startNode(i)
}

// startNode starts a data node anew, and lists it so.
func (w *MaintenanceFleet) startNode(i int) error {
	if err := w.Nodes[i].Start(); err != nil {
		return err
	}
	w.dir.Set(w.entry(w.Nodes[i]))
	return nil
}

// EndLoad lets the clients end.
func (w *MaintenanceFleet) EndLoad() {
	if w.stop != nil {
		w.stop()
		w.wg.Wait()
		w.stop = nil
	}
}

// Stop ends what was started.
func (w *MaintenanceFleet) Stop() (err error) {
	w.EndLoad()
	for i, c := range w.Coords {
		if c != nil && !w.down[i] {
			err = errors.Join(err, c.Stop())
		}
	}
	for _, row := range w.ways {
		for _, p := range row {
			if p != nil {
				p.Close()
			}
		}
	}
	for _, n := range w.Nodes {
		n.Kill()
	}
	if w.dir != nil {
		w.dir.Close()
	}
	return errors.Join(err, os.RemoveAll(w.folder))
}

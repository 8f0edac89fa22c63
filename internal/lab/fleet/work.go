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

// The layout of a MaintenanceFleet. With four or more data nodes per zone, each zone has data nodes of every cell.
const (
	maintenanceCells  = 4
	maintenanceShards = 8
	maintenanceReach  = 2
	// WorkTakes is the time that a part takes at these data nodes.
	WorkTakes = 20 * time.Millisecond
)

// WorkWarmupBound returns the number of parts that all coordinators together may send to a returning data node in its first second. In the
// lab's settings a data node is overloaded by FallMultiple (2) times the parts that it can process in a second, one at a time. While its
// capacity grows from StartCapacity (0.3) to 1 within warm, the mean capacity of the first second applies. If N parts overload it so, the
// bound is N + 3*sqrt(N) + 3, which allows for random variation.
func WorkWarmupBound(warm time.Duration) float64 { return warmupBound(WorkTakes, warm) }

func warmupBound(takes, warm time.Duration) float64 {
	n := 2 * (0.3 + 0.7*min(1, 0.5*float64(time.Second)/float64(warm))) * float64(time.Second) / float64(takes)
	return n + 3*math.Sqrt(n) + 3
}

// MaintenanceOptions configure a MaintenanceFleet.
type MaintenanceOptions struct {
	Coordinators, Voters int
	PerZone              int     // data nodes in each zone
	Rate                 float64 // queries per second at each coordinator
	Floor                int     // replicas outside work that each shard keeps
	Share                float64
	Bound, Lease, Warm   time.Duration
	Heartbeat            time.Duration
	Work                 time.Duration // time from a machine's handover to its restart
	Duties               []string      // in addition to the maintenance duty
	Skew                 float64       // lease clocks of the coordinators run from this share too slow to this share too fast
	Binary               string
	Seed                 uint64
}

// MaintenanceFleet is a group of coordinators with a common store, their data nodes and clients, and a simulated maintenance crew that
// restarts the machines handed over to it.
type MaintenanceFleet struct {
	o         MaintenanceOptions
	directory *discovery.Directory
	tempDir   string
	Ledger    *datanode.Ledger
	Nodes     []*datanode.Node
	Coords    []*Coordinator
	addrs     []string
	fronts    []string
	links     [][]*proxy.Proxy // by sender, then receiver; nil on the diagonal
	loads     []*load.Load
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu            sync.Mutex
	down          []bool
	stalled       []bool
	excludedUntil []time.Time       // by coordinator: its queries up to this time are excluded, since a fault affects them
	tallies       []Tallies         // by coordinator, outside its faults
	lastTallies   []load.Tally      // by coordinator, at the last call of settle
	moves         map[uint64]string // moves by number, as a coordinator first logged them
	Faults        WorkViolations
	Returns       []int           // for each return of a machine, the parts sent to it in the first second after the return was observed
	inWork        map[string]bool // machines in work in the latest plan
	lastMove      uint64          // number of the last move
	lastProgress  time.Time       // time of the last move, or of the last check that found no open request
	Stalled       time.Duration   // longest time without a move while a request was open
	nodeLocks     []sync.Mutex    // by data node; held while it is stopped and started
}

// Tallies counts queries by their outcome.
type Tallies struct{ Asked, Served, Lost, Wrong, Refused, Failed int }

// WorkViolations counts violations of the maintenance rules, and the machines handed over.
type WorkViolations struct {
	SentWhileOut        int      // parts sent to a machine between its handover and its return
	FloorBroken         int      // shards with fewer replicas outside work than their floor, counted again at each check
	ConflictingMoves    int      // moves that two coordinators logged differently
	HandedOver          int      // machines handed over for work; no violation
	RestartedBeforeWork int      // machines that crashed and restarted before the work on them began; no violation
	Violations          []string // descriptions; Verdict returns the first 20
}

// StartMaintenanceFleet starts a fleet. The caller stops it if it is not nil, also after an error.
func StartMaintenanceFleet(ctx context.Context, o MaintenanceOptions) (w *MaintenanceFleet, err error) {
	w = &MaintenanceFleet{o: o, Ledger: datanode.NewLedger(), moves: map[uint64]string{}}
	if w.directory, err = discovery.Start(); err != nil {
		return w, err
	}
	if w.tempDir, err = os.MkdirTemp("", "gullfall-works-"); err != nil {
		return w, err
	}
	if err := w.startNodes(); err != nil {
		return w, err
	}
	n := o.Coordinators
	w.Coords, w.down, w.stalled = make([]*Coordinator, n), make([]bool, n), make([]bool, n)
	w.excludedUntil, w.tallies, w.lastTallies = make([]time.Time, n), make([]Tallies, n), make([]load.Tally, n)
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
		l := &load.Load{Addr: w.fronts[i], Owner: "club", Rate: o.Rate, Shards: maintenanceShards, Classes: Classes, Open: 64, Ledger: w.Ledger, Seed: o.Seed*1000 + uint64(i)}
		w.loads = append(w.loads, l)
		w.wg.Go(func() { l.Run(ctx) })
	}
	w.wg.Go(func() { w.maintain(ctx) })
	return w, nil
}

// startNodes starts the data nodes of three zones and lists them in discovery.
func (w *MaintenanceFleet) startNodes() error {
	var entries []discovery.Entry
	for zi, zone := range []string{"a", "b", "c"} {
		for i := range w.o.PerZone {
			n := &datanode.Node{ID: fmt.Sprintf("%s-%d", zone, i), Cell: (zi + i) % maintenanceCells, Proto: "frames", Ledger: w.Ledger, Takes: WorkTakes}
			if err := n.Start(); err != nil {
				return err
			}
			w.Nodes = append(w.Nodes, n)
			n.Started = time.Now().Add(-time.Hour)
			entries = append(entries, w.entry(n))
		}
	}
	w.directory.Set(entries...)
	w.nodeLocks = make([]sync.Mutex, len(w.Nodes))
	return nil
}

// connect chooses the coordinators' addresses and starts a proxy from each coordinator to each other one.
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
		w.links = append(w.links, make([]*proxy.Proxy, n))
		for j := range n {
			if i != j {
				if w.links[i][j], err = proxy.Start(w.addrs[j]); err != nil {
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

func (w *MaintenanceFleet) socket(i int) string { return filepath.Join(w.tempDir, PeerName(i)) }

// Start starts one coordinator, or restarts it with its previous store after Kill.
func (w *MaintenanceFleet) Start(ctx context.Context, i int) (err error) {
	text := fmt.Sprintf("[log]\nlevel = \"info\"\n[admin]\nsocket = %q\n[work]\nenabled = true\nbound = %q\nlease = %q\nevery = \"50ms\"\nduties = [%s]\nfloor = %d\nshare = %g\nzone_share = 1\n[store]\ndirectory = %q\nlisten = %q\nheartbeat = %q\nskew = %g\n",
		w.socket(i), w.o.Bound, w.o.Lease, quotedList(w.o.Duties), w.o.Floor, w.o.Share, filepath.Join(w.tempDir, "store-"+PeerName(i)), w.addrs[i], w.o.Heartbeat, w.o.Skew*(1-2*float64(i)/float64(max(w.o.Coordinators-1, 1))))
	for j, addr := range w.addrs {
		text += fmt.Sprintf("[[store.peer]]\nname = %q\naddr = %q\nlearner = %v\n", PeerName(j), addr, j >= w.o.Voters)
		if j != i {
			text += fmt.Sprintf("[[store.route]]\naddr = %q\nvia = %q\n", addr, w.links[i][j].Addr())
		}
	}
	settings := strings.Replace(Settings(maintenanceCells, maintenanceShards, w.o.Coordinators), `"WarmAfterS":5`, fmt.Sprintf(`"WarmAfterS":%g`, w.o.Warm.Seconds()), 1)
	config := Config(PeerName(i), w.fronts[i], w.directory.Addr(), w.o.Seed*1000+uint64(i)+1, 64, settings)
	w.Coords[i], err = Spawn(ctx, w.o.Binary, w.fronts[i], map[string]string{"config.json": config, "deploy/gullfall.toml": text})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[i], w.stalled[i] = false, false
	w.excludedUntil[i] = time.Now().Add(4 * time.Second)
	return err
}

// quotedList returns names as the elements of a TOML array.
func quotedList(names []string) string {
	var list []string
	for _, n := range names {
		list = append(list, strconv.Quote(n))
	}
	return strings.Join(list, ", ")
}

// Up reports whether a coordinator runs and is not stalled.
func (w *MaintenanceFleet) Up(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down[i] && !w.stalled[i]
}

// excludeUntil counts a coordinator's queries up to now, and excludes those from now until the given time.
func (w *MaintenanceFleet) excludeUntil(i int, until time.Time) {
	w.settle(i)
	w.mu.Lock()
	w.excludedUntil[i] = until
	w.mu.Unlock()
}

// settle adds the outcomes of a coordinator's queries since the last call, unless the coordinator is down, stalled or still affected by a
// fault.
func (w *MaintenanceFleet) settle(i int) {
	if len(w.loads) <= i {
		return
	}
	t := w.loads[i].Sum()
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.lastTallies[i]
	w.lastTallies[i] = t
	if time.Now().Before(w.excludedUntil[i]) || w.down[i] || w.stalled[i] {
		return
	}
	c := &w.tallies[i]
	c.Asked, c.Served, c.Lost, c.Wrong = c.Asked+t.Asked-m.Asked, c.Served+t.Served-m.Served, c.Lost+t.Lost-m.Lost, c.Wrong+t.Wrong-m.Wrong
	c.Refused, c.Failed = c.Refused+t.Refused-m.Refused, c.Failed+t.Failed-m.Failed
}

// TalliesOutsideFaults returns the outcomes of the queries at all coordinators, except those during faults of their own coordinator.
func (w *MaintenanceFleet) TalliesOutsideFaults() (sum Tallies) {
	for i := range w.Coords {
		w.settle(i)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.tallies {
		sum.Asked, sum.Served, sum.Lost, sum.Wrong = sum.Asked+c.Asked, sum.Served+c.Served, sum.Lost+c.Lost, sum.Wrong+c.Wrong
		sum.Refused, sum.Failed = sum.Refused+c.Refused, sum.Failed+c.Failed
	}
	return sum
}

// afterFault is the time after the end of a fault during which it may still affect clients.
const afterFault = 4 * time.Second

// Stall stops a coordinator with SIGSTOP until Resume.
func (w *MaintenanceFleet) Stall(i int) error {
	w.excludeUntil(i, time.Now().Add(afterFault))
	w.mu.Lock()
	w.stalled[i] = true
	w.mu.Unlock()
	return syscall.Kill(w.Coords[i].Pid(), syscall.SIGSTOP)
}

// Resume continues a stalled coordinator.
func (w *MaintenanceFleet) Resume(i int) error {
	w.excludeUntil(i, time.Now().Add(afterFault))
	w.mu.Lock()
	w.stalled[i] = false
	w.mu.Unlock()
	return syscall.Kill(w.Coords[i].Pid(), syscall.SIGCONT)
}

// Kill ends a coordinator with SIGKILL.
func (w *MaintenanceFleet) Kill(i int) error {
	w.excludeUntil(i, time.Now().Add(time.Hour))
	w.mu.Lock()
	w.down[i] = true
	w.mu.Unlock()
	err := w.Coords[i].Kill()
	w.collectMoves(w.Coords[i])
	return errors.Join(err, w.Coords[i].Discard())
}

// End ends a coordinator with SIGTERM.
func (w *MaintenanceFleet) End(i int) error {
	w.excludeUntil(i, time.Now().Add(time.Hour))
	w.mu.Lock()
	w.down[i] = true
	w.mu.Unlock()
	w.collectMoves(w.Coords[i])
	return w.Coords[i].Stop()
}

// Cut sets the fault of the store connections that one coordinator opens to another. Connections that the other opens are unaffected.
func (w *MaintenanceFleet) Cut(from, to int, f proxy.Fault) error {
	return w.links[from][to].Set(f, 20*time.Millisecond)
}

// Isolate sets the fault of all store connections between a coordinator and the others; proxy.Pass ends the isolation.
func (w *MaintenanceFleet) Isolate(i int, f proxy.Fault) (err error) {
	for j := range w.Coords {
		if j != i {
			err = errors.Join(err, w.Cut(i, j, f), w.Cut(j, i, f))
		}
	}
	return err
}

// Crash ends a data node abruptly and starts it after d as a new process. It does nothing if the data node is in work.
func (w *MaintenanceFleet) Crash(i int, d time.Duration) error {
	w.mu.Lock()
	inWork := w.inWork[w.Nodes[i].ID]
	w.mu.Unlock()
	if inWork || !w.nodeLocks[i].TryLock() {
		return nil
	}
	defer w.nodeLocks[i].Unlock()
	w.Nodes[i].Kill()
	time.Sleep(d)
	return w.startNode(i)
}

// startNode starts a data node again and updates its discovery entry.
func (w *MaintenanceFleet) startNode(i int) error {
	if err := w.Nodes[i].Start(); err != nil {
		return err
	}
	w.directory.Set(w.entry(w.Nodes[i]))
	return nil
}

// EndLoad stops the clients and the maintenance crew, and waits for their end.
func (w *MaintenanceFleet) EndLoad() {
	if w.stop != nil {
		w.stop()
		w.wg.Wait()
		w.stop = nil
	}
}

// Stop ends all processes, proxies and data nodes and removes their files.
func (w *MaintenanceFleet) Stop() (err error) {
	w.EndLoad()
	for i, c := range w.Coords {
		if c != nil && !w.down[i] {
			err = errors.Join(err, c.Stop())
		}
	}
	for _, row := range w.links {
		for _, p := range row {
			if p != nil {
				p.Close()
			}
		}
	}
	for _, n := range w.Nodes {
		n.Kill()
	}
	if w.directory != nil {
		w.directory.Close()
	}
	return errors.Join(err, os.RemoveAll(w.tempDir))
}

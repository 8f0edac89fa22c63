package fleet

// This file owns coordinators of the real program that take machines out for work together: members of one store, each pair
// behind a fault proxy in each direction, before stand-in data nodes in three zones; clients that ask all the time, and the
// hands that work on what is handed over. It must never end a process that it has not started, and gives all back in Stop.

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

	"gullfall/internal/admin"
	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/discovery"
	"gullfall/internal/lab/load"
	"gullfall/internal/lab/proxy"
	"gullfall/internal/maintenance"
	"gullfall/internal/maintenance/agent"
	"gullfall/internal/store"
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

// WorksOptions say what is started.
type WorksOptions struct {
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

// Works are the coordinators, the data nodes and the hands.
type Works struct {
	o      WorksOptions
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

// StartWorks starts them. The caller stops them, also after an error if Works is not nil.
func StartWorks(ctx context.Context, o WorksOptions) (w *Works, err error) {
	w = &Works{o: o, Ledger: datanode.NewLedger(), orders: map[uint64]string{}}
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
func (w *Works) startNodes() error {
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
func (w *Works) connect() (err error) {
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

func (w *Works) entry(n *datanode.Node) discovery.Entry {
	e := Entry(n, "SERVING")
	e.Zone, _, _ = strings.Cut(n.ID, "-")
	return e
}

func (w *Works) socket(i int) string { return filepath.Join(w.folder, PeerName(i)) }

// Start starts one coordinator, anew after Kill, with the store that it had.
func (w *Works) Start(ctx context.Context, i int) (err error) {
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
func (w *Works) Up(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down[i] && !w.stalled[i]
}

// touch settles a coordinator's tally up to now, and leaves out what befalls its clients from now on until it is well again.
func (w *Works) touch(i int, until time.Time) {
	w.settle(i)
	w.mu.Lock()
	w.busy[i] = until
	w.mu.Unlock()
}

// settle adds what became of a coordinator's queries since the last time, if no fault of its own lay in between.
func (w *Works) settle(i int) {
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
func (w *Works) Clean() (sum Tallies) {
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
func (w *Works) Stall(i int) error {
	w.touch(i, time.Now().Add(afterFault))
	w.mu.Lock()
	w.stalled[i] = true
	w.mu.Unlock()
	return syscall.Kill(w.Coords[i].Pid(), syscall.SIGSTOP)
}

// Resume lets a stalled coordinator go on.
func (w *Works) Resume(i int) error {
	w.touch(i, time.Now().Add(afterFault))
	w.mu.Lock()
	w.stalled[i] = false
	w.mu.Unlock()
	return syscall.Kill(w.Coords[i].Pid(), syscall.SIGCONT)
}

// Kill ends a coordinator by SIGKILL.
func (w *Works) Kill(i int) error {
	w.touch(i, time.Now().Add(time.Hour))
	w.mu.Lock()
	w.down[i] = true
	w.mu.Unlock()
	err := w.Coords[i].Kill()
	w.history(w.Coords[i])
	return errors.Join(err, w.Coords[i].Discard())
}

// End ends a coordinator by SIGTERM.
func (w *Works) End(i int) error {
	w.touch(i, time.Now().Add(time.Hour))
	w.mu.Lock()
	w.down[i] = true
	w.mu.Unlock()
	w.history(w.Coords[i])
	return w.Coords[i].Stop()
}

// Cut sets what befalls the store's traffic from one coordinator to another, connections that the other opens not included.
func (w *Works) Cut(from, to int, f proxy.Fault) error {
	return w.ways[from][to].Set(f, 20*time.Millisecond)
}

// Isolate cuts a coordinator's store from all others, or mends that.
func (w *Works) Isolate(i int, f proxy.Fault) (err error) {
	for j := range w.Coords {
		if j != i {
			err = errors.Join(err, w.Cut(i, j, f), w.Cut(j, i, f))
		}
	}
	return err
}

// Crash ends a data node that is not in work as a crash would, and starts it again after a while, as a new process.
func (w *Works) Crash(i int, d time.Duration) error {
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
func (w *Works) startNode(i int) error {
	if err := w.Nodes[i].Start(); err != nil {
		return err
	}
	w.dir.Set(w.entry(w.Nodes[i]))
	return nil
}

// Ask asks for work at a coordinator.
func (w *Works) Ask(ctx context.Context, i int, a agent.Request) (p agent.Planned, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	return p, admin.Call(ctx, w.socket(i), "work start", a, &p)
}

// Order gives an operator's word on a request at a coordinator.
func (w *Works) Order(ctx context.Context, i int, word string, request uint64) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	var id uint64
	return admin.Call(ctx, w.socket(i), "work order", map[string]any{"By": "lab", "Word": word, "Request": request}, &id)
}

// Forget says at a coordinator that another is gone for good, to the work and to the store.
func (w *Works) Forget(ctx context.Context, i int, name string) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(10*time.Second))
	defer cancel()
	var said string
	if err := admin.Call(ctx, w.socket(i), "work forget", map[string]any{"By": "lab", "Name": name}, &said); err != nil {
		return err
	}
	return admin.Call(ctx, w.socket(i), "store change", store.MemberChange{What: store.Remove, Name: name}, &said)
}

// Look is the work as a coordinator knows it, without asking the store's leader.
func (w *Works) Look(ctx context.Context, i int) (v agent.View, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Second))
	defer cancel()
	return v, admin.Call(ctx, w.socket(i), "work look", map[string]any{"Fresh": false}, &v)
}

// Holder is who holds the duty of the work on machines, as HolderOf.
func (w *Works) Holder(ctx context.Context) int { return w.HolderOf(ctx, maintenance.Duty) }

// HolderOf is who holds a duty by the highest token that any coordinator knows, since one that is cut off still holds the past for
// true; below 0 for nobody.
func (w *Works) HolderOf(ctx context.Context, duty string) int {
	holder, token := -1, uint64(0)
	for i := range w.Coords {
		if !w.Up(i) {
			continue
		}
		v, err := w.Look(ctx, i)
		if err != nil {
			continue
		}
		for _, d := range v.Duties {
			if n, err := strconv.Atoi(strings.TrimPrefix(d.Holder, "n")); err == nil && d.Duty == duty && d.Token >= token {
				holder, token = n, d.Token
			}
		}
	}
	return holder
}

// Until waits until a coordinator that answers shows what is wanted.
func (w *Works) Until(ctx context.Context, what string, end time.Time, met func(agent.View) bool) error {
	var last string
	for {
		for i := range w.Coords {
			if !w.Up(i) {
				continue
			}
			v, err := w.Look(ctx, i)
			if err != nil {
				last = err.Error()
				continue
			}
			if met(v) {
				return nil
			}
			last = describeRequests(v.Plan)
		}
		if !time.Now().Before(end) || ctx.Err() != nil {
			return fmt.Errorf("%s: never%s", what, last)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// describeRequests says for an error what holds each request up; empty without a plan.
func describeRequests(plan *maintenance.State) (text string) {
	if plan == nil {
		return ""
	}
	for _, r := range plan.Requests {
		text += fmt.Sprintf("; request %d %s: %s", r.ID, r.State, r.Why)
	}
	return text
}

// hands work on the machines that are handed over: each is left running for a while, so that what is sent to it is seen, and is
// then started anew.
func (w *Works) hands(ctx context.Context) {
	at, back := map[string]uint64{}, map[string]uint64{} // turns that were taken up, and seen to return
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		for i := range w.Coords {
			w.settleSometimes(i)
			if !w.Up(i) {
				continue
			}
			v, err := w.Look(ctx, i)
			if err != nil || v.Plan == nil {
				continue
			}
			w.check(v.Plan)
			w.follow(ctx, v.Plan, at, back)
		}
	}
}

// follow takes up the machines that a plan hands over and counts those that return, each turn once.
func (w *Works) follow(ctx context.Context, plan *maintenance.State, at, back map[string]uint64) {
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			if st.State == maintenance.Out && at[st.Machine] < st.Turn {
				at[st.Machine] = st.Turn
				w.wg.Go(func() { w.work(ctx, st.Machine, st.Started) })
			}
			if st.State == maintenance.Returning && back[st.Machine] < st.Turn {
				back[st.Machine] = st.Turn
				w.countReturn(st.Machine)
			}
		}
	}
}

// countReturn adds the parts that come to a machine within the next second to Returns.
func (w *Works) countReturn(machine string) {
	before := w.Ledger.Account().Starts[machine]
	time.AfterFunc(time.Second, func() {
		came := w.Ledger.Account().Starts[machine] - before
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Returns = append(w.Returns, came)
	})
}

func (w *Works) settleSometimes(i int) {
	w.mu.Lock()
	well := !time.Now().Before(w.busy[i])
	w.mu.Unlock()
	if !well {
		w.settle(i) // what befalls its clients until then is left out
	}
}

// work is the hands' part on one machine, whose process was started then as it was drained.
func (w *Works) work(ctx context.Context, machine string, started int64) {
	for i, n := range w.Nodes {
		if n.ID != machine {
			continue
		}
		w.hand[i].Lock()
		defer w.hand[i].Unlock()
		if n.Started.UnixMilli() != started {
			// It crashed as it was called and came up anew since it was handed over: that is its return, and it gets parts again.
			w.mu.Lock()
			w.Faults.Overtaken++
			w.mu.Unlock()
			return
		}
		before := w.Ledger.Account().Starts[machine]
		select {
		case <-time.After(w.o.Work):
		case <-ctx.Done():
			return
		}
		sent := w.Ledger.Account().Starts[machine] - before
		w.mu.Lock()
		w.Faults.HandedOver++
		if w.Faults.SentWhileOut += sent; sent > 0 {
			w.Faults.Said = append(w.Faults.Said, fmt.Sprintf("%d parts were sent to %s while it was out", sent, machine))
		}
		w.mu.Unlock()
		n.Kill()
		if err := w.startNode(i); err != nil {
			w.mu.Lock()
			w.Faults.Said = append(w.Faults.Said, err.Error())
			w.mu.Unlock()
		}
	}
}

// check takes in a plan: how it gets on, and whether a shard has fewer replicas outside work than its floor.
func (w *Works) check(plan *maintenance.State) {
	inWork := map[string]bool{}
	for _, r := range plan.Requests {
		for _, st := range r.Steps {
			if st.State > maintenance.Waiting && st.State < maintenance.Done || st.State == maintenance.Failed {
				inWork[st.Machine] = true
			}
		}
	}
	w.noteProgress(plan, inWork)
	w.checkFloors(inWork)
}

// noteProgress takes in which machines are in work, and how long an open request has seen no move.
func (w *Works) noteProgress(plan *maintenance.State, inWork map[string]bool) {
	open := false
	for _, r := range plan.Requests {
		open = open || r.State == maintenance.Open
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = inWork
	if plan.Moved > w.moved || w.since.IsZero() || !open {
		w.moved, w.since = max(w.moved, plan.Moved), time.Now()
	}
	w.Stalled = max(w.Stalled, time.Since(w.since))
}

// checkFloors counts the shards that have fewer replicas outside work than their floor.
func (w *Works) checkFloors(inWork map[string]bool) {
	for shard := range workShards {
		left := 0
		for _, n := range w.Nodes {
			if d := (n.Cell - shard%workCells + workCells) % workCells; d < workReach && !inWork[n.ID] {
				left++
			}
		}
		if left < w.o.Floor {
			w.mu.Lock()
			w.Faults.FloorBroken++
			w.Faults.Said = append(w.Faults.Said, fmt.Sprintf("shard %d has %d replicas outside work, fewer than %d", shard, left, w.o.Floor))
			w.mu.Unlock()
		}
	}
}

// history takes in the moves that a coordinator has logged, and compares them with those of the others.
func (w *Works) history(c *Coordinator) {
	for _, line := range c.Lines(`msg="machine in work" `) {
		_, rest, _ := strings.Cut(line, " n=")
		number, rest, _ := strings.Cut(rest, " ")
		text, _, _ := strings.Cut(rest, " why=")
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			continue
		}
		w.mu.Lock()
		if old, ok := w.orders[n]; !ok {
			w.orders[n] = text
		} else if old != text {
			w.Faults.TwoOrders++
			w.Faults.Said = append(w.Faults.Said, fmt.Sprintf("move %d is %q and %q", n, old, text))
		}
		w.mu.Unlock()
	}
}

// Verdict takes in what all running coordinators have logged and returns what must not have happened.
func (w *Works) Verdict() WorkFaults {
	for i, c := range w.Coords {
		if c != nil && !w.down[i] {
			w.history(c)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.Faults
	f.Said = append([]string{}, f.Said[:min(len(f.Said), 20)]...)
	return f
}

// Moves is how many moves were told.
func (w *Works) Moves() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.orders)
}

// EndLoad lets the clients end.
func (w *Works) EndLoad() {
	if w.stop != nil {
		w.stop()
		w.wg.Wait()
		w.stop = nil
	}
}

// Stop ends what was started.
func (w *Works) Stop() (err error) {
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

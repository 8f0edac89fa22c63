package main

// `gullfall-lab dnssd`: measures DNS-SD discovery with removals, drains and flaps under load, and its cost when nothing changes.
// Only removals that the lab itself made may be counted.

import (
	"context"
	"errors"
	"fmt"
	"os/signal"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/miekg/dns"

	"gullfall/internal/dnssd"
	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/load"
)

type dnssdCmd struct {
	Nodes    int           `default:"64" help:"Number of data nodes in the DNS zone."`
	For      time.Duration `default:"60s" help:"Duration of the measurement."`
	TTL      uint32        `default:"4500" help:"Time to live of the records, in seconds."`
	Notify   bool          `help:"The servers announce changes by NOTIFY."`
	Browse   bool          `help:"The servers refuse zone transfers."`
	Rest     bool          `help:"Measure the idle cost of discovery: records don't change and no queries are sent. The data nodes exist only as records."`
	Every    time.Duration `default:"200ms" help:"Interval between changes of records."`
	Rate     float64       `default:"400" help:"Queries a second."`
	Seed     uint64        `default:"1" help:"Seed of the changes and the load."`
	JSON     string        `name:"json" help:"Write the report to this file."`
	Binary   string        `help:"Path of gullfall; by default in this program's directory."`
	KeepLogs bool          `name:"log" help:"Print the end of gullfall's log."`
}

// dnssdReport is the result of a run. Its JSON keys are stable.
type dnssdReport struct {
	Nodes              int     `json:"nodes"`
	TTL                uint32  `json:"ttl"`
	Notify             bool    `json:"notify"`
	Transfer           bool    `json:"transfer"`
	Seconds            float64 `json:"seconds"`
	Cores              int     `json:"cores"`
	Removals           int     `json:"removals"`
	Flaps              int     `json:"flaps"`
	Drains             int     `json:"drains"`
	RemovalWorst       float64 `json:"worst_after_removal_ms"` // from a removal to the last part that started at the data node
	RemovalP99         float64 `json:"p99_after_removal_ms"`
	RemovalMedian      float64 `json:"median_after_removal_ms"`
	Twins              int     `json:"twins"`
	MostAttempts       int     `json:"most_attempts"`
	Lost               int     `json:"lost"`
	Wrong              int     `json:"wrong"`
	Asked              int     `json:"asked"`
	Served             int     `json:"served"`
	Refused            int     `json:"refused"`
	Failed             int     `json:"failed"`
	QueryP50           float64 `json:"p50_ms"` // of queries
	QueryP99           float64 `json:"p99_ms"` // of queries
	DNSQuestionsPerS   float64 `json:"dns_questions_per_s"`
	CPUShare           float64 `json:"cpu_share"` // of a core
	MemoryMB           int     `json:"memory_mb"`
	ColdReturns        int     `json:"cold_returns"`               // data nodes that returned after a restart
	PartsInFirstSecond float64 `json:"parts_in_first_cold_second"` // mean at a returned data node
	PartsPerSAndNode   float64 `json:"parts_a_second_and_node"`    // mean over all data nodes

	// Baseline in the same run: a client that polls at half of the time to live, 30 s at most.
	BaselineNoticed int     `json:"baseline_removals_noticed"`
	BaselineWorst   float64 `json:"baseline_worst_ms"`
	BaselineMedian  float64 `json:"baseline_median_ms"`
}

// pollingBaseline polls the list of instances at half of their time to live, 30 s at most, and records how long it takes to notice each
// removal.
type pollingBaseline struct {
	mu      sync.Mutex
	removed map[string]time.Time // by label, while the record is removed
	noticed map[string]bool
	delays  []time.Duration
}

// recordRemoval records that a record was removed.
func (b *pollingBaseline) recordRemoval(label string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removed[label] = time.Now()
}

// recordReturn records that a record is listed again.
func (b *pollingBaseline) recordReturn(label string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.removed, label)
	delete(b.noticed, label)
}

// run polls the second name server until ctx ends. Failed polls are skipped.
func (b *pollingBaseline) run(ctx context.Context, f *fleet.Fleet, ttl uint32) {
	pause := min(time.Duration(ttl)*time.Second/2, 30*time.Second)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		listed, err := listInstances(f.Servers[1].Addr())
		if err != nil {
			continue
		}
		b.mu.Lock()
		for label, at := range b.removed {
			if !listed[label] && !b.noticed[label] {
				b.noticed[label] = true
				b.delays = append(b.delays, time.Since(at))
			}
		}
		b.mu.Unlock()
	}
}

// listInstances queries a name server for the labels of all instances, over TCP if the answer doesn't fit into a datagram.
func listInstances(server string) (map[string]bool, error) {
	const service = "_dn._tcp." + fleet.Domain
	question := new(dns.Msg).SetQuestion(service, dns.TypePTR)
	m, _, err := new(dns.Client).Exchange(question, server)
	if err == nil && m.Truncated {
		m, _, err = (&dns.Client{Net: "tcp"}).Exchange(new(dns.Msg).SetQuestion(service, dns.TypePTR), server)
	}
	if err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	for _, rr := range m.Answer {
		if label, err := dnssd.InstanceLabel(rr.(*dns.PTR).Ptr, service); err == nil {
			listed[label] = true
		}
	}
	return listed, nil
}

// Run runs the measurement, prints the report and checks the bounds.
func (d dnssdCmd) Run() (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := fleet.Start(ctx, fleet.Options{Nodes: d.Nodes, Cells: 8, Shards: 32, TTL: d.TTL, Transfer: !d.Browse, Notify: d.Notify,
		RecordsOnly: d.Rest, ServiceTime: 8 * time.Millisecond, Binary: gullfallPath(d.Binary), Seed: d.Seed})
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // time to receive the first list
	if listed := f.Listed(); listed < d.Nodes {
		return fmt.Errorf("only %d of %d data nodes are listed after 2 s\n%s", listed, d.Nodes, f.Log(2000))
	}
	l := &load.Load{Addr: f.Front, Owner: "club", Rate: d.Rate, Shards: 32, Classes: fleet.Classes, Open: 300, Ledger: f.Ledger, Seed: d.Seed}
	start, questions, cpu := time.Now(), f.Questions(), f.CPU()
	ctx, cancel := context.WithDeadline(ctx, start.Add(d.For))
	defer cancel()
	r := dnssdReport{Nodes: d.Nodes, TTL: d.TTL, Notify: d.Notify, Transfer: !d.Browse, Cores: runtime.NumCPU()}
	var churnErr error
	var wg sync.WaitGroup
	polling := &pollingBaseline{removed: map[string]time.Time{}, noticed: map[string]bool{}}
	if d.Rest {
		<-ctx.Done()
	} else {
		wg.Go(func() { l.Run(ctx) })
		time.Sleep(500 * time.Millisecond)
		wg.Go(func() { polling.run(ctx, f, d.TTL) })
		changes := &churn{fleet: f, baseline: polling, affected: map[string]bool{}}
		churnErr = changes.run(ctx, d.Every)
		r.Flaps, r.Drains = changes.flaps, changes.drains
		slices.Sort(polling.delays)
		if r.BaselineNoticed = len(polling.delays); len(polling.delays) > 0 {
			r.BaselineWorst, r.BaselineMedian = ms(polling.delays[len(polling.delays)-1]), ms(polling.delays[len(polling.delays)/2])
		}
	}
	wg.Wait()
	took := time.Since(start)
	r.DNSQuestionsPerS = float64(f.Questions()-questions) / took.Seconds()
	r.CPUShare, r.MemoryMB = (f.CPU()-cpu).Seconds()/took.Seconds(), f.Memory()
	r.fill(took, f.Ledger.Account(), l.Sum())
	if d.KeepLogs {
		fmt.Println(f.Log(20000))
	}
	err = errors.Join(churnErr, f.Stop())
	r.print(d.Rest)
	if werr := writeJSON(d.JSON, r); werr != nil {
		return werr
	}
	if err != nil {
		return err
	}
	return r.check(d.Rest)
}

// fill copies the counts of the data nodes and the clients into the report; took is the length of the measurement.
func (r *dnssdReport) fill(took time.Duration, a datanode.Account, sum load.Tally) {
	r.Seconds = took.Seconds()
	r.Removals, r.RemovalWorst, r.RemovalP99, r.RemovalMedian = a.Removals, ms(a.Worst), ms(a.P99), ms(a.Median)
	r.Twins, r.MostAttempts = a.Twins, a.MostAttempts
	r.Asked, r.Served, r.Refused, r.Failed, r.Lost, r.Wrong = sum.Asked, sum.Served, sum.Refused, sum.Failed, sum.Lost, sum.Wrong
	r.QueryP50, r.QueryP99 = ms(sum.Quantile(50)), ms(sum.Quantile(99))
	if r.ColdReturns = a.WarmupReturns; a.WarmupReturns > 0 {
		r.PartsInFirstSecond = float64(a.WarmupParts) / float64(a.WarmupReturns)
	}
	r.PartsPerSAndNode = float64(a.Begun) / took.Seconds() / float64(r.Nodes)
}

// print writes the report as text; at rest, without the lines about changes and queries.
func (r *dnssdReport) print(rest bool) { //nolint:revive // rest selects lines of the text; two methods would repeat the others.
	fmt.Printf("%d data nodes, TTL %d s, transfers %v, NOTIFY %v, %.0f s on %d cores\n", r.Nodes, r.TTL, r.Transfer, r.Notify, r.Seconds, r.Cores)
	if !rest {
		fmt.Printf("removals %d (flaps %d, drains %d): last new work after %.0f ms at the median, %.0f ms at p99, %.0f ms at worst\n", r.Removals, r.Flaps, r.Drains, r.RemovalMedian, r.RemovalP99, r.RemovalWorst)
		fmt.Printf("queries %d: served %d, refused %d, failed %d, lost %d, wrong %d; p50 %.1f ms, p99 %.1f ms\n", r.Asked, r.Served, r.Refused, r.Failed, r.Lost, r.Wrong, r.QueryP50, r.QueryP99)
		fmt.Printf("attempts: twins %d, of one part %d at most; a data node back from the dead began %.1f parts in its first second, others %.1f\n", r.Twins, r.MostAttempts, r.PartsInFirstSecond, r.PartsPerSAndNode)
		fmt.Printf("who asks at half of the time to live, 30 s at most, noticed %d of the removals, %.0f ms after them at the median, %.0f ms at worst\n",
			r.BaselineNoticed, r.BaselineMedian, r.BaselineWorst)
	}
	fmt.Printf("DNS questions %.1f a second; %.2f%% of a core, %d MB\n", r.DNSQuestionsPerS, 100*r.CPUShare, r.MemoryMB)
}

// check returns an error if a bound was exceeded or a rule was violated.
func (r *dnssdReport) check(rest bool) error {
	switch {
	case rest && (r.DNSQuestionsPerS >= 4 || r.CPUShare >= 0.01):
		return errors.New("bound exceeded: at rest, fewer than 4 DNS questions a second and less than 1% of a core are allowed")
	case rest:
	case r.RemovalWorst >= 2000:
		return errors.New("bound exceeded: a part started at a data node 2 s or more after its removal")
	case r.Notify && r.RemovalMedian >= 100:
		return errors.New("bound exceeded: with NOTIFY, the median from a removal to the last new part must be below 100 ms")
	case r.Twins > 0 || r.Lost > 0 || r.Wrong > 0 || r.MostAttempts > 3:
		return errors.New("rule violated: concurrent attempts of one part, lost or wrong queries, or more than 3 attempts of a part")
	}
	return nil
}

// churn removes and restores records. At most a quarter of the data nodes is affected at a time.
type churn struct {
	fleet         *fleet.Fleet
	baseline      *pollingBaseline
	pending       sync.WaitGroup // scheduled changes
	flaps, drains int

	// mu guards away and err, and serializes changes.
	mu       sync.Mutex
	affected map[string]bool // ids of the data nodes whose record or process is being changed
	err      error           // of data nodes that failed to restart
}

// run makes a change at each interval until ctx ends: every third record returns after 200 ms, every fifth is drained before its
// removal, and every seventh belongs to a process that is killed and restarted.
func (c *churn) run(ctx context.Context, every time.Duration) error {
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			c.pending.Wait()
			return c.err
		case <-time.After(every):
		}
		c.change(ctx, i)
	}
}

// change removes one record, unless a quarter of the data nodes is affected already.
func (c *churn) change(ctx context.Context, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.fleet
	free := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *datanode.Node) bool { return c.affected[n.ID] })
	if len(free) <= len(f.Nodes)*3/4 {
		return
	}
	n := free[f.Random().IntN(len(free))]
	c.affected[n.ID] = true
	back := func() {
		f.Ledger.On(n.ID)
		c.restore(n)
	}
	f.Ledger.Off(n.ID)
	switch {
	case i%3 == 0:
		c.flaps++
		c.remove(n)
		c.schedule(ctx, 200*time.Millisecond, back)
	case i%5 == 0:
		c.drains++
		f.Zone.Set(f.Instance(n, "draining"))
		c.schedule(ctx, 2500*time.Millisecond, func() { c.remove(n) })
		c.schedule(ctx, 3500*time.Millisecond, back)
	case i%7 == 0:
		c.remove(n)
		c.schedule(ctx, time.Second, n.Kill)
		c.schedule(ctx, 2500*time.Millisecond, func() {
			c.err = errors.Join(c.err, n.Start())
			f.Ledger.Restarted(n.ID)
			c.restore(n)
		})
	default:
		c.remove(n)
		c.schedule(ctx, 2500*time.Millisecond, back)
	}
}

// schedule calls do after a delay, unless ctx ends before.
func (c *churn) schedule(ctx context.Context, after time.Duration, do func()) {
	c.pending.Go(func() {
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		do()
	})
}

// remove deletes a data node's record from the DNS zone.
func (c *churn) remove(n *datanode.Node) {
	label := c.fleet.Instance(n, "").Label
	c.fleet.Zone.Remove(label)
	c.baseline.recordRemoval(label)
}

// restore restores a data node's record in the DNS zone.
func (c *churn) restore(n *datanode.Node) {
	i := c.fleet.Instance(n, "serving")
	c.fleet.Zone.Set(i)
	c.baseline.recordReturn(i.Label)
	delete(c.affected, n.ID)
}

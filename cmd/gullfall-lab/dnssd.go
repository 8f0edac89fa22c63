package main

// This file is the measurement of DNS-SD: removals, drains and flaps under load, and the cost of a watch at rest. It
// must never count a removal that has not been asked for.

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
	Nodes    int           `default:"64" help:"How many data nodes the zone names."`
	For      time.Duration `default:"60s" help:"How long records come and go."`
	TTL      uint32        `default:"4500" help:"Time to live of the records, seconds."`
	Notify   bool          `help:"The servers tell of changes by NOTIFY."`
	Browse   bool          `help:"The servers turn transfers down."`
	Rest     bool          `help:"Nothing changes and nothing is asked: what watching costs. The data nodes are records only."`
	Every    time.Duration `default:"200ms" help:"How often a record goes."`
	Rate     float64       `default:"400" help:"Queries a second."`
	Seed     uint64        `default:"1" help:"Settles who goes when."`
	JSON     string        `name:"json" help:"Write the report to this file."`
	Binary   string        `help:"Where gullfall lies; beside this program by default."`
	KeepLogs bool          `name:"log" help:"Print the end of gullfall's log."`
}

// dnssdReport is the report, with stable names.
type dnssdReport struct {
	Nodes         int     `json:"nodes"`
	TTL           uint32  `json:"ttl"`
	Notify        bool    `json:"notify"`
	Transfer      bool    `json:"transfer"`
	Seconds       float64 `json:"seconds"`
	Cores         int     `json:"cores"`
	Removals      int     `json:"removals"`
	Flaps         int     `json:"flaps"`
	Drains        int     `json:"drains"`
	Worst         float64 `json:"worst_after_removal_ms"`
	P99           float64 `json:"p99_after_removal_ms"`
	Median        float64 `json:"median_after_removal_ms"`
	Twins         int     `json:"twins"`
	MostAttempts  int     `json:"most_attempts"`
	Lost          int     `json:"lost"`
	Wrong         int     `json:"wrong"`
	Asked         int     `json:"asked"`
	Served        int     `json:"served"`
	Refused       int     `json:"refused"`
	Failed        int     `json:"failed"`
	P50           float64 `json:"p50_ms"`
	P99Query      float64 `json:"p99_ms"`
	Questions     float64 `json:"dns_questions_per_s"`
	CPU           float64 `json:"cpu_share"`
	MemoryMB      int     `json:"memory_mb"`
	ColdReturns   int     `json:"cold_returns"`
	ColdPartsEach float64 `json:"parts_in_first_cold_second"`
	PartsEach     float64 `json:"parts_a_second_and_node"`

	// The same run, seen by one who asks again after half of the time to live, 30 s at most, as gullfall once did.
	BaselineNoticed int     `json:"baseline_removals_noticed"`
	BaselineWorst   float64 `json:"baseline_worst_ms"`
	BaselineMedian  float64 `json:"baseline_median_ms"`
}

// baseline asks for the list of instances at half of their time to live, and notes how long after a removal it
// learns of it.
type baseline struct {
	mu      sync.Mutex
	removed map[string]time.Time // by label, while the record is away
	noticed map[string]bool
	took    []time.Duration
}

func (b *baseline) gone(label string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removed[label] = time.Now()
}

func (b *baseline) back(label string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.removed, label)
	delete(b.noticed, label)
}

func (b *baseline) run(ctx context.Context, f *fleet.Fleet, ttl uint32) {
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
				b.took = append(b.took, time.Since(at))
			}
		}
		b.mu.Unlock()
	}
}

// listInstances asks a name server for the labels of all instances, by TCP where they don't fit into a datagram.
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
		if label, err := dnssd.Instance(rr.(*dns.PTR).Ptr, service); err == nil {
			listed[label] = true
		}
	}
	return listed, nil
}

// Run measures.
func (d dnssdCmd) Run() (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	f, err := fleet.Start(ctx, fleet.Options{Nodes: d.Nodes, Cells: 8, Shards: 32, TTL: d.TTL, Transfer: !d.Browse, Notify: d.Notify,
		Hollow: d.Rest, Takes: 8 * time.Millisecond, Binary: binary(d.Binary), Seed: d.Seed})
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the first list
	if listed := f.Listed(); listed < d.Nodes {
		return fmt.Errorf("only %d of %d data nodes are listed after 2 s\n%s", listed, d.Nodes, f.Log(2000))
	}
	l := &load.Load{Addr: f.Front, Owner: "club", Rate: d.Rate, Shards: 32, Classes: fleet.Classes, Open: 300, Ledger: f.Ledger, Seed: d.Seed}
	start, questions, cpu := time.Now(), f.Questions(), f.CPU()
	ctx, cancel := context.WithDeadline(ctx, start.Add(d.For))
	defer cancel()
	r := dnssdReport{Nodes: d.Nodes, TTL: d.TTL, Notify: d.Notify, Transfer: !d.Browse, Cores: runtime.NumCPU()}
	var changed error
	var wg sync.WaitGroup
	old := &baseline{removed: map[string]time.Time{}, noticed: map[string]bool{}}
	if d.Rest {
		<-ctx.Done()
	} else {
		wg.Go(func() { l.Run(ctx) })
		time.Sleep(500 * time.Millisecond)
		wg.Go(func() { old.run(ctx, f, d.TTL) })
		changes := &churn{fleet: f, baseline: old, away: map[string]bool{}}
		changed = changes.run(ctx, d.Every)
		r.Flaps, r.Drains = changes.flaps, changes.drains
		slices.Sort(old.took)
		if r.BaselineNoticed = len(old.took); len(old.took) > 0 {
			r.BaselineWorst, r.BaselineMedian = ms(old.took[len(old.took)-1]), ms(old.took[len(old.took)/2])
		}
	}
	wg.Wait()
	took := time.Since(start)
	r.Questions = float64(f.Questions()-questions) / took.Seconds()
	r.CPU, r.MemoryMB = (f.CPU()-cpu).Seconds()/took.Seconds(), f.Memory()
	r.fill(took, f.Ledger.Account(), l.Sum())
	if d.KeepLogs {
		fmt.Println(f.Log(20000))
	}
	err = errors.Join(changed, f.Stop())
	r.print(d.Rest)
	if werr := writeJSON(d.JSON, r); werr != nil {
		return werr
	}
	if err != nil {
		return err
	}
	return r.check(d.Rest)
}

// fill takes in what the data nodes and the clients have counted in that time.
func (r *dnssdReport) fill(took time.Duration, a datanode.Account, sum load.Tally) {
	r.Seconds = took.Seconds()
	r.Removals, r.Worst, r.P99, r.Median = a.Removals, ms(a.Worst), ms(a.P99), ms(a.Median)
	r.Twins, r.MostAttempts = a.Twins, a.MostAttempts
	r.Asked, r.Served, r.Refused, r.Failed, r.Lost, r.Wrong = sum.Asked, sum.Served, sum.Refused, sum.Failed, sum.Lost, sum.Wrong
	r.P50, r.P99Query = ms(sum.Quantile(50)), ms(sum.Quantile(99))
	if r.ColdReturns = a.ColdReturns; a.ColdReturns > 0 {
		r.ColdPartsEach = float64(a.ColdParts) / float64(a.ColdReturns)
	}
	r.PartsEach = float64(a.Begun) / took.Seconds() / float64(r.Nodes)
}

// print writes the report as text; at rest, without what only changes and queries show.
func (r *dnssdReport) print(rest bool) { //nolint:revive // rest selects lines of the text; two methods would repeat the others.
	fmt.Printf("%d data nodes, TTL %d s, transfers %v, NOTIFY %v, %.0f s on %d cores\n", r.Nodes, r.TTL, r.Transfer, r.Notify, r.Seconds, r.Cores)
	if !rest {
		fmt.Printf("removals %d (flaps %d, drains %d): last new work after %.0f ms at the median, %.0f ms at p99, %.0f ms at worst\n", r.Removals, r.Flaps, r.Drains, r.Median, r.P99, r.Worst)
		fmt.Printf("queries %d: served %d, refused %d, failed %d, lost %d, wrong %d; p50 %.1f ms, p99 %.1f ms\n", r.Asked, r.Served, r.Refused, r.Failed, r.Lost, r.Wrong, r.P50, r.P99Query)
		fmt.Printf("attempts: twins %d, of one part %d at most; a data node back from the dead began %.1f parts in its first second, others %.1f\n", r.Twins, r.MostAttempts, r.ColdPartsEach, r.PartsEach)
		fmt.Printf("who asks at half of the time to live, 30 s at most, noticed %d of the removals, %.0f ms after them at the median, %.0f ms at worst\n",
			r.BaselineNoticed, r.BaselineMedian, r.BaselineWorst)
	}
	fmt.Printf("DNS questions %.1f a second; %.2f%% of a core, %d MB\n", r.Questions, 100*r.CPU, r.MemoryMB)
}

// check returns an error where a bound was missed or a rule broke.
func (r *dnssdReport) check(rest bool) error {
	switch {
	case rest && (r.Questions >= 4 || r.CPU >= 0.01):
		return errors.New("bound missed: under 4 questions a second and 1% of a core at rest")
	case rest:
	case r.Worst >= 2000:
		return errors.New("bound missed: new work later than 2 s after a removal")
	case r.Notify && r.Median >= 100:
		return errors.New("bound missed: with NOTIFY, 100 ms at the median")
	case r.Twins > 0 || r.Lost > 0 || r.Wrong > 0 || r.MostAttempts > 3:
		return errors.New("a rule broke")
	}
	return nil
}

// churn lets records go and come back. A quarter of the data nodes at most is away.
type churn struct {
	fleet         *fleet.Fleet
	baseline      *baseline
	pending       sync.WaitGroup // of what is done later
	flaps, drains int

	// mu guards away and err, and keeps changes apart.
	mu   sync.Mutex
	away map[string]bool // data nodes by name
	err  error           // of data nodes that did not start anew
}

// run makes a change at each interval until ctx ends: each third record flaps within 200 ms, each fifth drains before it goes, each
// seventh belongs to a process that dies and starts anew.
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

// change lets one record go, if enough are left.
func (c *churn) change(ctx context.Context, i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.fleet
	free := slices.DeleteFunc(slices.Clone(f.Nodes), func(n *datanode.Node) bool { return c.away[n.ID] })
	if len(free) <= len(f.Nodes)*3/4 {
		return
	}
	n := free[f.Chance().IntN(len(free))]
	c.away[n.ID] = true
	back := func() {
		f.Ledger.On(n.ID)
		c.list(n)
	}
	f.Ledger.Off(n.ID)
	switch {
	case i%3 == 0:
		c.flaps++
		c.remove(n)
		c.later(ctx, 200*time.Millisecond, back)
	case i%5 == 0:
		c.drains++
		f.Zone.Set(f.Instance(n, "draining"))
		c.later(ctx, 2500*time.Millisecond, func() { c.remove(n) })
		c.later(ctx, 3500*time.Millisecond, back)
	case i%7 == 0:
		c.remove(n)
		c.later(ctx, time.Second, n.Kill)
		c.later(ctx, 2500*time.Millisecond, func() {
			c.err = errors.Join(c.err, n.Start())
			f.Ledger.Restarted(n.ID)
			c.list(n)
		})
	default:
		c.remove(n)
		c.later(ctx, 2500*time.Millisecond, back)
	}
}

// later does something after a time, unless ctx ends before.
func (c *churn) later(ctx context.Context, after time.Duration, do func()) {
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

// remove takes a data node's record out of the zone.
func (c *churn) remove(n *datanode.Node) {
	label := c.fleet.Instance(n, "").Label
	c.fleet.Zone.Remove(label)
	c.baseline.gone(label)
}

// list puts a data node's record back into the zone.
func (c *churn) list(n *datanode.Node) {
	i := c.fleet.Instance(n, "serving")
	c.fleet.Zone.Set(i)
	c.baseline.back(i.Label)
	delete(c.away, n.ID)
}

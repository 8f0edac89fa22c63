package main

// `gullfall-lab replicate`: gullfall processes that form the coordinators' store are killed, stalled and partitioned while
// clients read, put and swap values through all of them. The history that the clients saw is then checked for linearizability.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/linearizability"
)

type replicateCmd struct {
	Coordinators int    `default:"5" help:"Number of coordinators."`
	Voters       int    `default:"3" help:"Number of coordinators that vote in the store."`
	Clients      int    `default:"8" help:"Number of clients that read, put and swap values."`
	Faults       int    `default:"100" help:"Number of faults."`
	Away         bool   `help:"Also measure how a member catches up with the log of a minute and of a day of absence."`
	Remembered   int    `help:"Also measure how soon a coordinator serves that starts alone with a cached list of this many data nodes."`
	Seed         uint64 `default:"1" help:"Seed of the faults and the clients' operations."`
	Binary       string `help:"Path of gullfall; by default in this program's directory."`
	JSON         string `name:"json" help:"Write the report to this file."`
}

// replicateReport is the result of a run.
type replicateReport struct {
	Faults       int            `json:"faults"`
	Kinds        map[string]int `json:"kinds"` // faults by kind
	Operations   int            `json:"operations"`
	Committed    int            `json:"committed"` // acknowledged writes
	Unknown      int            `json:"unknown"`   // operations without an answer
	Lost         int            `json:"lost"`      // acknowledged writes missing after the run
	Linearizable bool           `json:"linearizable"`
	Checked      bool           `json:"checked"` // false if the check ran out of time
	P50CatchUpMS float64        `json:"p50_catchup_ms"`
	P99CatchUpMS float64        `json:"p99_catchup_ms"`      // from a start until the log as it was then is applied
	P99StartMS   float64        `json:"p99_start_ms"`        // from a member's start until its first accepted connection
	BytesPerOp   float64        `json:"bytes_per_operation"` // sent between members
	Away         []absence      `json:"away,omitempty"`
	Remembered   int            `json:"remembered,omitempty"`          // data nodes in the cached list
	P50AnswerMS  float64        `json:"p50_first_answer_ms,omitempty"` // from the start of a coordinator, alone and with Remembered data nodes
	P99AnswerMS  float64        `json:"p99_first_answer_ms,omitempty"`
	Seed         uint64         `json:"seed"`
	LostWrites   []string       `json:"said,omitempty"` // a line for each lost write
}

// absence is the result of restarting a member that missed part of the log.
type absence struct {
	Name          string  `json:"name"`
	MissedEntries uint64  `json:"missed"` // entries
	LogBytes      int64   `json:"log_bytes"`
	CatchUpMS     float64 `json:"catchup_ms"`
	BytesSent     int64   `json:"bytes_sent"`      // between members, from the restart until the member had caught up
	FirstAnswerMS float64 `json:"first_answer_ms"` // from the restart until the member answered
}

// Run injects the faults while clients use the store, then checks the history and prints the report.
func (c *replicateCmd) Run() (err error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Duration(c.Faults)*8*time.Second+3*time.Minute))
	defer cancel()
	r := replicateReport{Kinds: map[string]int{}, Seed: c.Seed}
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: c.Coordinators, Voters: c.Voters, PerZone: 4, Rate: 1, Floor: 2, Share: 0.35, Bound: time.Second,
		Lease: 2 * time.Second, Warm: workWarm, Heartbeat: 300 * time.Millisecond, Work: 400 * time.Millisecond, Binary: gullfallPath(c.Binary), Seed: c.Seed})
	if w != nil {
		defer func() { err = errors.Join(err, w.Stop()) }()
	}
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	clients := &fleet.StoreClients{Fleet: w, History: &linearizability.History{}, Clients: c.Clients, Keys: 12, Epoch: 4 * time.Second, Pause: 25 * time.Millisecond,
		Timeout: 2 * time.Second, Seed: c.Seed}
	working, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	sent := w.Sent()
	wg.Go(func() { clients.Run(working) })
	p := &replicateRun{c: c, w: w, rng: rand.New(rand.NewPCG(c.Seed, 22)), kinds: r.Kinds}
	for r.Faults < c.Faults && err == nil && ctx.Err() == nil {
		if err = p.injectFault(ctx); err == nil {
			r.Faults++
			time.Sleep(time.Duration(50+p.rng.IntN(400)) * time.Millisecond)
		}
	}
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	sent = w.Sent() - sent
	time.Sleep(3 * time.Second)
	final, err := clients.ReadAll(ctx, 0)
	if err != nil {
		return err
	}
	if c.Away {
		if r.Away, err = p.measureAbsences(ctx); err != nil {
			return err
		}
	}
	if c.Remembered > 0 {
		if err := c.measureRemembered(ctx, &r); err != nil {
			return err
		}
	}
	r.Operations, r.Committed, r.Unknown = clients.History.Counts()
	r.BytesPerOp = float64(sent) / float64(max(r.Operations, 1))
	r.LostWrites = clients.History.LostWrites(final)
	r.Lost = len(r.LostWrites)
	r.Linearizable, r.Checked = clients.History.Check(2 * time.Minute)
	r.P50CatchUpMS, r.P99CatchUpMS, r.P99StartMS = quantileMS(p.catchUpTimes, 0.5), quantileMS(p.catchUpTimes, 0.99), quantileMS(p.startTimes, 0.99)
	r.print()
	if err := writeJSON(c.JSON, r); err != nil {
		return err
	}
	if r.Lost > 0 || !r.Linearizable || r.Committed == 0 {
		return fmt.Errorf("store check failed: %d acknowledged writes lost; linearizable %v, checked %v", r.Lost, r.Linearizable, r.Checked)
	}
	return nil
}

// measureRemembered starts a single coordinator 20 times and measures the time from its start to its first answer.
func (c *replicateCmd) measureRemembered(ctx context.Context, r *replicateReport) error {
	_, answers, err := fleet.MeasureCachedStart(ctx, gullfallPath(c.Binary), c.Remembered, 20, c.Seed)
	if err != nil {
		return err
	}
	r.Remembered, r.P50AnswerMS, r.P99AnswerMS = c.Remembered, quantileMS(answers, 0.5), quantileMS(answers, 0.99)
	fmt.Printf("%-28s first answer %.0f ms after its start at the median, %.0f ms at worst of 20\n", fmt.Sprintf("alone, %d remembered", c.Remembered), r.P50AnswerMS, r.P99AnswerMS)
	return nil
}

// print writes the report as a table.
func (r *replicateReport) print() {
	fmt.Printf("%-28s %d %v\n", "faults", r.Faults, r.Kinds)
	fmt.Printf("%-28s %d, %d writes acknowledged, %d without an answer; %.0f bytes between members for each\n", "operations", r.Operations, r.Committed, r.Unknown, r.BytesPerOp)
	fmt.Printf("%-28s linearizable %v (checked %v), %d acknowledged writes lost\n", "history", r.Linearizable, r.Checked, r.Lost)
	fmt.Printf("%-28s %.0f ms at the median, %.0f ms at the 99th percentile; first connection after %.0f ms\n", "caught up after a start", r.P50CatchUpMS, r.P99CatchUpMS, r.P99StartMS)
	for _, a := range r.Away {
		fmt.Printf("%-28s %d entries, %.1f MB; answers after %.0f ms, caught up after %.0f ms, %.1f MB sent\n", "away for "+a.Name, a.MissedEntries, float64(a.LogBytes)/1e6,
			a.FirstAnswerMS, a.CatchUpMS, float64(a.BytesSent)/1e6)
	}
	for _, s := range r.LostWrites[:min(len(r.LostWrites), 10)] {
		fmt.Println("  " + s)
	}
}

// quantileMS returns the q-quantile of a list in milliseconds; 0 if the list is empty.
func quantileMS(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return float64(list[min(int(q*float64(len(list))), len(list)-1)].Microseconds()) / 1000
}

// replicateRun injects the faults of one run and collects the times of the restarts.
type replicateRun struct {
	c            *replicateCmd
	w            *fleet.MaintenanceFleet
	rng          *rand.Rand
	kinds        map[string]int
	startTimes   []time.Duration
	catchUpTimes []time.Duration
}

// errNotCaughtUp is returned if a restarted member does not catch up in time.
var errNotCaughtUp = errors.New("catch-up timed out")

// restart starts a stopped member again. It records how long the start takes, and how long until the member has applied the log up to its
// current length.
func (p *replicateRun) restart(ctx context.Context, i int) error {
	var want uint64
	for j := range p.c.Coordinators {
		if j != i && p.w.Up(j) {
			if at, _, err := p.w.Applied(ctx, j); err == nil {
				want = max(want, at)
			}
		}
	}
	begun := time.Now()
	if err := p.w.Start(ctx, i); err != nil {
		return err
	}
	p.startTimes = append(p.startTimes, time.Since(begun))
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		at, _, err := p.w.Applied(ctx, i)
		if err == nil && at >= want {
			p.catchUpTimes = append(p.catchUpTimes, time.Since(begun))
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s has applied the log up to entry %d 15 s after its start, want %d: %w", fleet.PeerName(i), at, want, errors.Join(errNotCaughtUp, err))
		}
	}
}

// measureAbsences stops the last member, writes through another as much as in a minute and in a day, and restarts it. A minute is 1,200
// values of 100 bytes (20 a second); a day is several times the retained log: 8,000 values of 4,000 bytes.
func (p *replicateRun) measureAbsences(ctx context.Context) (list []absence, err error) {
	last := p.c.Coordinators - 1
	for _, a := range []struct {
		name                string
		notes, length, keys int
	}{{"a minute", 1200, 100, 50}, {"a day", 8000, 4000, 500}} {
		from, _, err := p.w.Applied(ctx, last)
		if err != nil {
			return nil, err
		}
		if err := p.w.End(last); err != nil {
			return nil, err
		}
		if err := p.w.Fill(ctx, 0, a.notes, a.length, a.keys); err != nil {
			return nil, fmt.Errorf("write to the store for an absence of %s: %w", a.name, err)
		}
		time.Sleep(5 * time.Second) // the leader takes its snapshots
		to, _, err := p.w.Applied(ctx, 0)
		if err != nil {
			return nil, err
		}
		sent, begun := p.w.Sent(), time.Now()
		if err := p.restart(ctx, last); err != nil {
			return nil, fmt.Errorf("restart after an absence of %s: %w", a.name, err)
		}
		list = append(list, absence{a.name, to - from, int64(a.notes) * int64(a.length), float64(time.Since(begun).Microseconds()) / 1000, p.w.Sent() - sent,
			float64(p.startTimes[len(p.startTimes)-1].Microseconds()) / 1000})
	}
	return list, nil
}

// leader returns the store's leader according to the first coordinator that knows one, or else a random coordinator.
func (p *replicateRun) leader(ctx context.Context) int {
	for i := range p.c.Coordinators {
		if !p.w.Up(i) {
			continue
		}
		if _, leader, err := p.w.Applied(ctx, i); err == nil {
			for j := range p.c.Coordinators {
				if fleet.PeerName(j) == leader {
					return j
				}
			}
		}
	}
	return p.rng.IntN(p.c.Coordinators)
}

// injectFault injects one random fault and undoes it.
func (p *replicateRun) injectFault(ctx context.Context) (err error) {
	w, n := p.w, p.c.Coordinators
	target := p.rng.IntN(n)
	if p.rng.IntN(2) == 0 {
		target = p.leader(ctx)
	}
	duration := time.Duration(50+p.rng.IntN(900)) * time.Millisecond
	f := randomLinkFault(p.rng)
	inject := faultInjector{fleet: w, coordinators: n, restart: p.restart}
	kind := ""
	switch k := p.rng.IntN(20); {
	case k < 5:
		kind, err = "kill", inject.kill(ctx, target, duration/2)
	case k < 9:
		kind, err = "stall", inject.stall(duration, target)
	case k < 13:
		kind, err = "isolate "+f.String(), inject.isolate(target, f, duration)
	case k < 16:
		to := (target + 1 + p.rng.IntN(n-1)) % n
		kind, err = "one way "+f.String(), inject.cut(target, to, f, duration)
	case k < 18:
		kind, err = "split", inject.split(duration)
	case k < 19:
		kind, err = "end", inject.end(ctx, target)
	default:
		kind, err = "all killed", inject.killAll(ctx)
	}
	if err != nil {
		return fmt.Errorf("inject fault %q: %w", kind, err)
	}
	p.kinds[kind]++
	return nil
}

package main

// `gullfall-lab replicate`: members of the coordinators' store, in processes of the real program, are killed, stalled and
// cut off while clients read, put and swap values at all of them; and whether what the clients saw could have happened in one order.

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
	Coordinators int    `default:"5" help:"How many coordinators."`
	Voters       int    `default:"3" help:"Of them, members of the store with a vote."`
	Clients      int    `default:"8" help:"Clients that read, put and swap."`
	Faults       int    `default:"100" help:"How many faults."`
	Away         bool   `help:"Also: how a member catches up that was away for a minute, and for a day, by the length of the log."`
	Remembered   int    `help:"Also: how soon one serves that starts alone with so many remembered data nodes."`
	Seed         uint64 `default:"1" help:"Settles the faults and what clients do."`
	Binary       string `help:"The gullfall to play; beside this program by default."`
	JSON         string `name:"json" help:"Write the figures here."`
}

// replicateReport is what a play showed.
type replicateReport struct {
	Faults       int            `json:"faults"`
	Kinds        map[string]int `json:"kinds"`
	Operations   int            `json:"operations"`
	Committed    int            `json:"committed"` // acknowledged writes
	Unknown      int            `json:"unknown"`   // operations without an answer
	Lost         int            `json:"lost"`      // acknowledged writes that are not there in the end
	Linearizable bool           `json:"linearizable"`
	Checked      bool           `json:"checked"` // within the time for it
	P50CatchUpMS float64        `json:"p50_catchup_ms"`
	P99CatchUpMS float64        `json:"p99_catchup_ms"` // from a start to where the log was then
	P99StartMS   float64        `json:"p99_start_ms"`   // from a start to the first connection taken
	BytesPerOp   float64        `json:"bytes_per_operation"`
	Away         []absence      `json:"away,omitempty"`
	Remembered   int            `json:"remembered,omitempty"`
	P50AnswerMS  float64        `json:"p50_first_answer_ms,omitempty"` // of one that starts alone with Remembered data nodes
	P99AnswerMS  float64        `json:"p99_first_answer_ms,omitempty"`
	Seed         uint64         `json:"seed"`
	Said         []string       `json:"said,omitempty"`
}

// absence is how a member came back that had missed part of the log.
type absence struct {
	Name       string  `json:"name"`
	Missed     uint64  `json:"missed"` // entries
	LogBytes   int64   `json:"log_bytes"`
	CatchUpMS  float64 `json:"catchup_ms"`
	BytesSent  int64   `json:"bytes_sent"`      // between members, from its start until it had caught up
	AnsweredMS float64 `json:"first_answer_ms"` // by then it showed what it had
}

// Run plays.
func (c *replicateCmd) Run() (err error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Duration(c.Faults)*8*time.Second+3*time.Minute))
	defer cancel()
	r := replicateReport{Kinds: map[string]int{}, Seed: c.Seed}
	w, err := fleet.StartMaintenanceFleet(ctx, fleet.MaintenanceOptions{Coordinators: c.Coordinators, Voters: c.Voters, PerZone: 4, Rate: 1, Floor: 2, Share: 0.35, Bound: time.Second,
		Lease: 2 * time.Second, Warm: workWarm, Heartbeat: 300 * time.Millisecond, Work: 400 * time.Millisecond, Binary: binary(c.Binary), Seed: c.Seed})
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
	p := &replicatePlay{c: c, w: w, chance: rand.New(rand.NewPCG(c.Seed, 22)), kinds: r.Kinds}
	for r.Faults < c.Faults && err == nil && ctx.Err() == nil {
		if err = p.fault(ctx); err == nil {
			r.Faults++
			time.Sleep(time.Duration(50+p.chance.IntN(400)) * time.Millisecond)
		}
	}
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	sent = w.Sent() - sent
	time.Sleep(3 * time.Second)
	final, err := clients.Final(ctx, 0)
	if err != nil {
		return err
	}
	if c.Away {
		if r.Away, err = p.away(ctx); err != nil {
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
	r.Said = clients.History.Lost(final)
	r.Lost = len(r.Said)
	r.Linearizable, r.Checked = clients.History.Check(2 * time.Minute)
	r.P50CatchUpMS, r.P99CatchUpMS, r.P99StartMS = quantileMS(p.caught, 0.5), quantileMS(p.caught, 0.99), quantileMS(p.starts, 0.99)
	r.print()
	if err := writeJSON(c.JSON, r); err != nil {
		return err
	}
	if r.Lost > 0 || !r.Linearizable || r.Committed == 0 {
		return fmt.Errorf("%d acknowledged writes lost; linearizable %v, checked %v", r.Lost, r.Linearizable, r.Checked)
	}
	return nil
}

// measureRemembered starts a coordinator alone, 20 times, and takes the times until its first answer.
func (c *replicateCmd) measureRemembered(ctx context.Context, r *replicateReport) error {
	_, answers, err := fleet.Remembered(ctx, binary(c.Binary), c.Remembered, 20, c.Seed)
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
		fmt.Printf("%-28s %d entries, %.1f MB; answers after %.0f ms, caught up after %.0f ms, %.1f MB sent\n", "away for "+a.Name, a.Missed, float64(a.LogBytes)/1e6,
			a.AnsweredMS, a.CatchUpMS, float64(a.BytesSent)/1e6)
	}
	for _, s := range r.Said[:min(len(r.Said), 10)] {
		fmt.Println("  " + s)
	}
}

func quantileMS(list []time.Duration, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	list = slices.Sorted(slices.Values(list))
	return float64(list[min(int(q*float64(len(list))), len(list)-1)].Microseconds()) / 1000
}

// replicatePlay is one play's faults.
type replicatePlay struct {
	c      *replicateCmd
	w      *fleet.MaintenanceFleet
	chance *rand.Rand
	kinds  map[string]int
	starts []time.Duration
	caught []time.Duration
}

// errCatchUp is a member that does not catch up in its time.
var errCatchUp = errors.New("too late")

// start starts a member again, and notes how long that takes and until it has caught up with where the log is now.
func (p *replicatePlay) start(ctx context.Context, i int) error {
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
	p.starts = append(p.starts, time.Since(begun))
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		at, _, err := p.w.Applied(ctx, i)
		if err == nil && at >= want {
			p.caught = append(p.caught, time.Since(begun))
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s has applied the log up to %d 15 s after its start, %d was there before: %w", fleet.PeerName(i), at, want, errors.Join(errCatchUp, err))
		}
	}
}

// away ends the last member, has others write what a minute and a day bring, and starts it again. A minute is 1,200 notes of 100 bytes
// (20 a second); a day is as much of the log as is kept several times over: 8,000 notes of 4,000 bytes.
func (p *replicatePlay) away(ctx context.Context) (list []absence, err error) {
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
			return nil, fmt.Errorf("away for %s: %w", a.name, err)
		}
		time.Sleep(5 * time.Second) // the leader takes its snapshots
		to, _, err := p.w.Applied(ctx, 0)
		if err != nil {
			return nil, err
		}
		sent, begun := p.w.Sent(), time.Now()
		if err := p.start(ctx, last); err != nil {
			return nil, fmt.Errorf("away for %s: %w", a.name, err)
		}
		list = append(list, absence{a.name, to - from, int64(a.notes) * int64(a.length), float64(time.Since(begun).Microseconds()) / 1000, p.w.Sent() - sent,
			float64(p.starts[len(p.starts)-1].Microseconds()) / 1000})
	}
	return list, nil
}

// leader is who leads the store by the first that answers, else anybody.
func (p *replicatePlay) leader(ctx context.Context) int {
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
	return p.chance.IntN(p.c.Coordinators)
}

// fault plays one fault and undoes it.
func (p *replicatePlay) fault(ctx context.Context) (err error) {
	w, n := p.w, p.c.Coordinators
	some := p.chance.IntN(n)
	if p.chance.IntN(2) == 0 {
		some = p.leader(ctx)
	}
	while := time.Duration(50+p.chance.IntN(900)) * time.Millisecond
	f := drawLinkFault(p.chance)
	inject := faultInjector{fleet: w, coordinators: n, restart: p.start}
	kind := ""
	switch k := p.chance.IntN(20); {
	case k < 5:
		kind, err = "kill", inject.kill(ctx, some, while/2)
	case k < 9:
		kind, err = "stall", inject.stall(while, some)
	case k < 13:
		kind, err = "isolate "+f.String(), inject.isolate(some, f, while)
	case k < 16:
		to := (some + 1 + p.chance.IntN(n-1)) % n
		kind, err = "one way "+f.String(), inject.cut(some, to, f, while)
	case k < 18:
		kind, err = "split", inject.split(while)
	case k < 19:
		kind, err = "end", inject.end(ctx, some)
	default:
		kind, err = "all killed", inject.killAll(ctx)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	p.kinds[kind]++
	return nil
}

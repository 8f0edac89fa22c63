package fleet

// This file holds the zone failure cases: the faults that each injects, and the conditions that must hold then. Every wait in a case
// has a time limit.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gullfall/internal/lab/proxy"
)

// ZoneCase is one zone failure case.
type ZoneCase struct {
	Name   string
	Zones  []string // a, b and c if empty
	Store  bool     // see ZonesOptions
	Gossip bool     // see ZonesOptions
	Lossy  bool     // queries may be lost, since the remaining zones can't answer all of them
	Warm   bool     // the data nodes keep serving other coordinators, so they are warmed up and the first-second bound does not apply
	NoLoad []int    // coordinators that receive no queries
	Play   func(ctx context.Context, p *ZonePlay) error
}

// ZonePlay is one run of a case.
type ZonePlay struct {
	*Zones
	Steady     float64       // parts per second and data node before the fault
	ColdBound  float64       // see ZoneWarmupBound
	MostReturn int           // most parts at one data node in the second after a returning zone received its first part
	Leave      time.Duration // longest time from a fault to the verdict "out"
	Return     time.Duration // longest time from the end of a fault to the verdict "healthy"
}

const (
	leaveWithin  = 6 * time.Second
	returnWithin = 25 * time.Second
)

// ZoneDeploy is the [zones] table of the cases, with times shortened so that a case takes seconds.
const ZoneDeploy = "enabled = true\nwait = \"500ms\"\nquiet = \"500ms\"\nspread = \"1s\"\nramp = \"3s\"\n"

// all returns the indexes of all coordinators.
func (p *ZonePlay) all() (list []int) {
	for i := range p.Coords {
		list = append(list, i)
	}
	return list
}

// waitOut waits until the given coordinators have taken a zone out.
func (p *ZonePlay) waitOut(ctx context.Context, zone string, who ...int) error {
	begun := time.Now()
	for _, i := range who {
		if err := p.Until(ctx, i, zone, begun.Add(leaveWithin), "out"); err != nil {
			return err
		}
	}
	p.Leave = max(p.Leave, time.Since(begun))
	return nil
}

// waitHealthy waits until the given coordinators see a zone as healthy again, and meanwhile counts the first parts at its data nodes.
func (p *ZonePlay) waitHealthy(ctx context.Context, zone string, who ...int) error {
	begun := time.Now()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		p.countFirstParts(ctx, zone)
	}()
	for _, i := range who {
		if err := p.Until(ctx, i, zone, begun.Add(returnWithin), "healthy"); err != nil {
			return err
		}
	}
	p.Return = max(p.Return, time.Since(begun))
	<-watched
	return nil
}

// countFirstParts waits for the first part at a zone's data nodes and raises MostReturn to the most parts that one of them has received
// a second later.
func (p *ZonePlay) countFirstParts(ctx context.Context, zone string) {
	before := p.Parts(zone)
	received := func(id string, n int) bool { return n > before[id] }
	for end := time.Now().Add(returnWithin); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		for id, n := range p.Parts(zone) {
			if received(id, n) {
				time.Sleep(time.Second)
				for id, n := range p.Parts(zone) {
					p.MostReturn = max(p.MostReturn, n-before[id])
				}
				return
			}
		}
	}
}

// neverOut returns an error if one of the given coordinators takes the zone out within the given time.
func (p *ZonePlay) neverOut(ctx context.Context, zone string, during time.Duration, who ...int) error {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range who {
			if v, err := p.Verdicts(ctx, i); err == nil && v[zone].Verdict == "out" {
				return fmt.Errorf("%s has taken zone %s out (%s)", PeerName(i), zone, v[zone].Why)
			}
		}
	}
	return nil
}

// outAndBack returns a complete case: a fault between some coordinators, or all if none is given, and a zone. These coordinators, and no
// other, must take the zone out, and see it as healthy after the fault.
func outAndBack(f proxy.Fault, zone string, who ...int) func(context.Context, *ZonePlay) error {
	return func(ctx context.Context, p *ZonePlay) error {
		some, others := who, []int{}
		if len(some) == 0 {
			some = p.all()
		}
		for _, i := range p.all() {
			hit := false
			for _, j := range some {
				hit = hit || i == j
			}
			if !hit {
				others = append(others, i)
			}
		}
		if err := p.Set(f, zone, who...); err != nil {
			return err
		}
		if err := p.waitOut(ctx, zone, some...); err != nil {
			return err
		}
		if err := p.neverOut(ctx, zone, 2*time.Second, others...); err != nil {
			return err
		}
		if err := p.Set(proxy.Pass, zone, who...); err != nil {
			return err
		}
		return p.waitHealthy(ctx, zone, some...)
	}
}

// ZoneCases are the zone failure cases.
var ZoneCases = []ZoneCase{
	{Name: "silent", Play: outAndBack(proxy.Drop, "a")},
	{Name: "refused", Play: outAndBack(proxy.Cut, "a")},
	{Name: "reset", Play: outAndBack(proxy.Reset, "b")},
	{Name: "answers lost", Play: outAndBack(proxy.DropDown, "c")},
	{Name: "split view", Warm: true, Play: outAndBack(proxy.Drop, "a", 0, 1)},
	{Name: "flaps", Play: func(ctx context.Context, p *ZonePlay) error {
		for range 2 {
			if err := errors.Join(p.Set(proxy.Cut, "a"), p.waitOut(ctx, "a", p.all()...), p.Set(proxy.Pass, "a")); err != nil {
				return err
			}
			if err := p.Until(ctx, 0, "a", time.Now().Add(returnWithin), "returning", "healthy"); err != nil {
				return err
			}
		}
		return outAndBack(proxy.Cut, "a")(ctx, p)
	}},
	{Name: "new names", Play: func(ctx context.Context, p *ZonePlay) error {
		if err := errors.Join(p.Set(proxy.Cut, "a"), p.waitOut(ctx, "a", p.all()...), p.ReplaceNodes("a")); err != nil {
			return err
		}
		return p.waitHealthy(ctx, "a", p.all()...)
	}},
	{Name: "two at once", Lossy: true, Play: func(ctx context.Context, p *ZonePlay) error {
		if err := errors.Join(p.Set(proxy.Cut, "a"), p.waitOut(ctx, "a", p.all()...), p.Set(proxy.Cut, "b")); err != nil {
			return err
		}
		if err := p.neverOut(ctx, "b", 3*time.Second, p.all()...); err != nil {
			return fmt.Errorf("with one zone out, the second must stay in: %w", err)
		}
		if err := errors.Join(p.Set(proxy.Pass, "a"), p.Set(proxy.Pass, "b")); err != nil {
			return err
		}
		return errors.Join(p.waitHealthy(ctx, "a", p.all()...), p.waitHealthy(ctx, "b", p.all()...))
	}},
	{Name: "all at once", Lossy: true, Play: func(ctx context.Context, p *ZonePlay) error {
		for _, zone := range []string{"a", "b", "c"} {
			if err := p.Set(proxy.Cut, zone); err != nil {
				return err
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			if err := p.neverOut(ctx, zone, time.Second, p.all()...); err != nil {
				return err
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			if err := errors.Join(p.Set(proxy.Pass, zone), p.Until(ctx, 0, zone, time.Now().Add(returnWithin), "healthy")); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "a single zone", Zones: []string{"a"}, Lossy: true, Play: func(ctx context.Context, p *ZonePlay) error {
		if err := errors.Join(p.Set(proxy.Cut, "a"), p.neverOut(ctx, "a", 2*time.Second, p.all()...), p.Set(proxy.Pass, "a")); err != nil {
			return err
		}
		return p.Until(ctx, 0, "a", time.Now().Add(returnWithin), "healthy")
	}},
	{Name: "one stalled, one killed", Play: func(ctx context.Context, p *ZonePlay) error {
		if err := errors.Join(p.Set(proxy.Drop, "a"), p.Stall(0), p.Kill(1)); err != nil {
			return err
		}
		if err := p.waitOut(ctx, "a", 2, 3, 4); err != nil {
			return err
		}
		if err := errors.Join(p.Resume(0), p.Start(ctx, 1)); err != nil {
			return err
		}
		if err := p.waitOut(ctx, "a", 0, 1); err != nil { // each decides from its own observations, also the restarted one
			return err
		}
		return errors.Join(p.Set(proxy.Pass, "a"), p.waitHealthy(ctx, "a", p.all()...))
	}},
	{Name: "told by others", Gossip: true, Warm: true, Play: func(ctx context.Context, p *ZonePlay) error {
		known := func(doubtful bool, within time.Duration) error {
			for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				learned, err := p.Learned(ctx, 4)
				n := 0
				for id, d := range learned {
					if d && id[0] == 'a' {
						n++
					}
				}
				if err == nil && len(learned) >= 8 && (n > 0) == doubtful {
					return nil
				}
			}
			return fmt.Errorf("n4, which reaches all data nodes, has not learned in time that data nodes of zone a are doubtful: %v", doubtful)
		}
		if err := errors.Join(known(false, 5*time.Second), p.Set(proxy.Cut, "a", 0)); err != nil {
			return err
		}
		return errors.Join(known(true, 3*time.Second), p.Set(proxy.Pass, "a", 0), p.waitHealthy(ctx, "a", 0), known(false, 10*time.Second))
	}},
	{Name: "told, and asked by nobody", Gossip: true, NoLoad: []int{4}, Play: func(ctx context.Context, p *ZonePlay) error {
		// n4 sends no parts, so it learns about the zone only from the other coordinators.
		return errors.Join(p.Set(proxy.Drop, "a"), p.waitOut(ctx, "a", p.all()...), p.Set(proxy.Pass, "a"), p.waitHealthy(ctx, "a", p.all()...))
	}},
	{Name: "by an operator's word", Store: true, Play: func(ctx context.Context, p *ZonePlay) error {
		if err := p.Command(ctx, 4, "drain", "unknown zone"); err == nil {
			return errors.New("an unknown zone was drained")
		}
		if err := errors.Join(p.Command(ctx, 4, "drain", "b"), p.waitOut(ctx, "b", p.all()...)); err != nil {
			return err
		}
		if err := p.Kill(2); err != nil {
			return err
		}
		if err := errors.Join(p.Start(ctx, 2), p.waitOut(ctx, "b", 2)); err != nil { // the drain is in the store, so it holds after the restart
			return err
		}
		return errors.Join(p.Command(ctx, 3, "undrain", "b"), p.waitHealthy(ctx, "b", p.all()...))
	}},
}

// ZoneResult is the result of a case.
type ZoneResult struct {
	Name       string  `json:"case"`
	LeaveMS    float64 `json:"leave_ms"`  // longest time until all affected coordinators had taken the zone out
	ReturnMS   float64 `json:"return_ms"` // longest time until all of them saw the zone as healthy again
	Asked      int     `json:"asked"`
	Lost       int     `json:"lost"` // queries that failed or had no or a wrong answer, except at stalled or killed coordinators
	Twins      int     `json:"twins"`
	MostReturn int     `json:"first_second"`
	ColdBound  float64 `json:"cold_bound"`
	Steady     float64 `json:"steady_parts_s"` // per data node, before the fault
	Over       bool    `json:"over_cold_bound"`
	Broken     string  `json:"broken,omitempty"`
}

// RunZoneCase runs a case on a new fleet.
func RunZoneCase(ctx context.Context, c ZoneCase, o ZonesOptions) (r ZoneResult, err error) {
	r.Name = c.Name
	if o.Zones, o.Store, o.Gossip, o.NoLoad = c.Zones, c.Store, c.Gossip, c.NoLoad; len(o.Zones) == 0 {
		o.Zones = []string{"a", "b", "c"}
	} else {
		o.PerZone *= 3 / len(o.Zones)
	}
	if o.Deploy == "" {
		o.Deploy = ZoneDeploy
	}
	z, err := StartZones(ctx, o)
	if z != nil {
		defer func() { err = errors.Join(err, z.Stop()) }()
	}
	if err != nil {
		return r, err
	}
	time.Sleep(time.Second)
	p := &ZonePlay{Zones: z}
	count := func() (n int) {
		for _, zone := range o.Zones {
			for _, k := range z.Parts(zone) {
				n += k
			}
		}
		return n
	}
	before := count()
	time.Sleep(2 * time.Second)
	p.Steady = float64(count()-before) / 2 / float64(len(o.Zones)*o.PerZone)
	p.ColdBound = ZoneWarmupBound()
	broken := c.Play(ctx, p)
	time.Sleep(500 * time.Millisecond)
	z.EndLoad()
	for i := range z.Coords {
		t := z.Sum(i)
		r.Asked += t.Asked
		if c.Name != "one stalled, one killed" && c.Name != "by an operator's word" || i > 2 {
			r.Lost += t.Failed + t.Lost + t.Wrong
		}
	}
	r.Twins = z.Ledger.Account().Twins
	r.LeaveMS, r.ReturnMS, r.MostReturn, r.ColdBound = float64(p.Leave.Milliseconds()), float64(p.Return.Milliseconds()), p.MostReturn, p.ColdBound
	r.Steady = p.Steady
	r.Over = float64(p.MostReturn) > p.ColdBound && !c.Warm
	switch {
	case broken != nil:
		r.Broken = broken.Error()
	case r.Twins > 0:
		r.Broken = fmt.Sprintf("%d times two attempts of one part were in flight together", r.Twins)
	case r.Lost > 0 && !c.Lossy:
		r.Broken = fmt.Sprintf("%d queries of %d were lost", r.Lost, r.Asked)
	case r.Over:
		r.Broken = fmt.Sprintf("a data node received %d parts in the first second of its return; the bound is %.0f", r.MostReturn, r.ColdBound)
	}
	return r, nil
}

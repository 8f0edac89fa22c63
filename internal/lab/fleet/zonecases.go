package fleet

// Here are the hard cases of zones, each as what befalls the fleet and what has to hold then. It must never wait for longer than
// a case's own bounds say.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gullfall/internal/lab/proxy"
)

// ZoneCase is one hard case.
type ZoneCase struct {
	Name  string
	Zones []string // three by default
	Store bool
	Talk  bool
	Lossy bool  // queries may be lost: no zone is left to answer them, or only just
	Warm  bool  // the data nodes serve others all the time, so the cold bound is none of theirs
	Quiet []int // coordinators that no client asks
	Play  func(ctx context.Context, p *ZonePlay) error
}

// ZonePlay is a case as it is played.
type ZonePlay struct {
	*Zones
	Steady     float64 // parts a second at a data node when all is well
	ColdBound  float64
	MostReturn int           // most parts at one data node of a zone in the second after it had its first part again
	Leave      time.Duration // longest from a fault to a verdict of out
	Return     time.Duration // longest from the end of a fault to a verdict of healthy
}

const (
	leaveWithin  = 6 * time.Second
	returnWithin = 25 * time.Second
)

// ZoneDeploy is the [zones] of the cases: the waits of the daemon, shortened so that a case takes seconds.
const ZoneDeploy = "enabled = true\nwait = \"500ms\"\nquiet = \"500ms\"\nspread = \"1s\"\nramp = \"3s\"\n"

func (p *ZonePlay) all() (list []int) {
	for i := range p.Coords {
		list = append(list, i)
	}
	return list
}

// left waits until some coordinators have left a zone.
func (p *ZonePlay) left(ctx context.Context, zone string, who ...int) error {
	begun := time.Now()
	for _, i := range who {
		if err := p.Until(ctx, i, zone, begun.Add(leaveWithin), "out"); err != nil {
			return err
		}
	}
	p.Leave = max(p.Leave, time.Since(begun))
	return nil
}

// back waits until some coordinators hold a zone for healthy again, and notes what its data nodes get at first.
func (p *ZonePlay) back(ctx context.Context, zone string, who ...int) error {
	begun := time.Now()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		p.first(ctx, zone)
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

// first waits for the first part at a zone's data nodes and counts what comes to each in the second after.
func (p *ZonePlay) first(ctx context.Context, zone string) {
	before := p.Parts(zone)
	came := func(id string, n int) bool { return n > before[id] }
	for end := time.Now().Add(returnWithin); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		for id, n := range p.Parts(zone) {
			if came(id, n) {
				time.Sleep(time.Second)
				for id, n := range p.Parts(zone) {
					p.MostReturn = max(p.MostReturn, n-before[id])
				}
				return
			}
		}
	}
}

// neverOut returns an error that names a coordinator which takes the zone out within a time.
func (p *ZonePlay) neverOut(ctx context.Context, zone string, during time.Duration, who ...int) error {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range who {
			if v, err := p.Verdicts(ctx, i); err == nil && v[zone].Verdict == "out" {
				return fmt.Errorf("%s holds zone %s for out (%s)", PeerName(i), zone, v[zone].Why)
			}
		}
	}
	return nil
}

// away is a whole case: a fault for some coordinators, left by them and by no other, and back.
func away(f proxy.Fault, zone string, who ...int) func(context.Context, *ZonePlay) error {
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
		if err := p.left(ctx, zone, some...); err != nil {
			return err
		}
		if err := p.neverOut(ctx, zone, 2*time.Second, others...); err != nil {
			return err
		}
		if err := p.Set(proxy.Pass, zone, who...); err != nil {
			return err
		}
		return p.back(ctx, zone, some...)
	}
}

// ZoneCases are the hard cases.
var ZoneCases = []ZoneCase{
	{Name: "silent", Play: away(proxy.Drop, "a")},
	{Name: "refused", Play: away(proxy.Cut, "a")},
	{Name: "reset", Play: away(proxy.Reset, "b")},
	{Name: "answers lost", Play: away(proxy.DropDown, "c")},
	{Name: "split view", Warm: true, Play: away(proxy.Drop, "a", 0, 1)},
	{Name: "flaps", Play: func(ctx context.Context, p *ZonePlay) error {
		for range 2 {
			if err := errors.Join(p.Set(proxy.Cut, "a"), p.left(ctx, "a", p.all()...), p.Set(proxy.Pass, "a")); err != nil {
				return err
			}
			if err := p.Until(ctx, 0, "a", time.Now().Add(returnWithin), "returning", "healthy"); err != nil {
				return err
			}
		}
		return away(proxy.Cut, "a")(ctx, p)
	}},
	{Name: "new names", Play: func(ctx context.Context, p *ZonePlay) error {
		if err := errors.Join(p.Set(proxy.Cut, "a"), p.left(ctx, "a", p.all()...), p.Renew("a")); err != nil {
			return err
		}
		return p.back(ctx, "a", p.all()...)
	}},
	{Name: "two at once", Lossy: true, Play: func(ctx context.Context, p *ZonePlay) error {
		if err := errors.Join(p.Set(proxy.Cut, "a"), p.left(ctx, "a", p.all()...), p.Set(proxy.Cut, "b")); err != nil {
			return err
		}
		if err := p.neverOut(ctx, "b", 3*time.Second, p.all()...); err != nil {
			return fmt.Errorf("with one zone out the guard keeps the second: %w", err)
		}
		if err := errors.Join(p.Set(proxy.Pass, "a"), p.Set(proxy.Pass, "b")); err != nil {
			return err
		}
		return errors.Join(p.back(ctx, "a", p.all()...), p.back(ctx, "b", p.all()...))
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
		if err := p.left(ctx, "a", 2, 3, 4); err != nil {
			return err
		}
		if err := errors.Join(p.Resume(0), p.Start(ctx, 1)); err != nil {
			return err
		}
		if err := p.left(ctx, "a", 0, 1); err != nil { // each from its own evidence, that which starts too
			return err
		}
		return errors.Join(p.Set(proxy.Pass, "a"), p.back(ctx, "a", p.all()...))
	}},
	{Name: "told by others", Talk: true, Warm: true, Play: func(ctx context.Context, p *ZonePlay) error {
		known := func(doubtful bool, within time.Duration) error {
			for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				told, err := p.Learned(ctx, 4)
				n := 0
				for id, d := range told {
					if d && id[0] == 'a' {
						n++
					}
				}
				if err == nil && len(told) >= 8 && (n > 0) == doubtful {
					return nil
				}
			}
			return fmt.Errorf("n4, which reaches all, does not hold that a data node of zone a is doubtful: %v", doubtful)
		}
		if err := errors.Join(known(false, 5*time.Second), p.Set(proxy.Cut, "a", 0)); err != nil {
			return err
		}
		return errors.Join(known(true, 3*time.Second), p.Set(proxy.Pass, "a", 0), p.back(ctx, "a", 0), known(false, 10*time.Second))
	}},
	{Name: "told, and asked by nobody", Talk: true, Quiet: []int{4}, Play: func(ctx context.Context, p *ZonePlay) error {
		// What n4 knows of the zone it has from the others: it sends nothing.
		return errors.Join(p.Set(proxy.Drop, "a"), p.left(ctx, "a", p.all()...), p.Set(proxy.Pass, "a"), p.back(ctx, "a", p.all()...))
	}},
	{Name: "by an operator's word", Store: true, Play: func(ctx context.Context, p *ZonePlay) error {
		if err := p.Word(ctx, 4, "drain", "zone that is none"); err == nil {
			return errors.New("a zone that is none was drained")
		}
		if err := errors.Join(p.Word(ctx, 4, "drain", "b"), p.left(ctx, "b", p.all()...)); err != nil {
			return err
		}
		if err := p.Kill(2); err != nil {
			return err
		}
		if err := errors.Join(p.Start(ctx, 2), p.left(ctx, "b", 2)); err != nil { // it is in the store
			return err
		}
		return errors.Join(p.Word(ctx, 3, "undrain", "b"), p.back(ctx, "b", p.all()...))
	}},
}

// ZoneResult is what a case showed.
type ZoneResult struct {
	Name       string  `json:"case"`
	LeaveMS    float64 `json:"leave_ms"`  // longest until all that were to had left
	ReturnMS   float64 `json:"return_ms"` // longest until all held the zone for healthy again
	Asked      int     `json:"asked"`
	Lost       int     `json:"lost"` // queries that failed or got no answer, but for those of a coordinator that was stalled or killed
	Twins      int     `json:"twins"`
	MostReturn int     `json:"first_second"`
	ColdBound  float64 `json:"cold_bound"`
	Steady     float64 `json:"steady_parts_s"` // at a data node when all is well
	Over       bool    `json:"over_cold_bound"`
	Broken     string  `json:"broken,omitempty"`
}

// PlayZones plays a case on a fleet of its own.
func PlayZones(ctx context.Context, c ZoneCase, o ZonesOptions) (r ZoneResult, err error) {
	r.Name = c.Name
	if o.Zones, o.Store, o.Talk, o.Quiet = c.Zones, c.Store, c.Talk, c.Quiet; len(o.Zones) == 0 {
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
	p.ColdBound = ZoneColdBound()
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
		r.Broken = fmt.Sprintf("%d attempts of one part were out together", r.Twins)
	case r.Lost > 0 && !c.Lossy:
		r.Broken = fmt.Sprintf("%d queries of %d were lost", r.Lost, r.Asked)
	case r.Over:
		r.Broken = fmt.Sprintf("a data node got %d parts in the second of its return; %.0f are the bound", r.MostReturn, r.ColdBound)
	}
	return r, nil
}

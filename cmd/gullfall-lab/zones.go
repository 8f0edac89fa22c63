package main

// `gullfall-lab zones`: several gullfall processes with simulated data nodes in three zones, a fault proxy on each connection.
// One zone is disconnected and reconnected, once with every data node judged separately and once with [zones] enabled. With --cases
// the cases of fleet.ZoneCases are run instead.

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gullfall/internal/coordinator"
	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/proxy"
)

type zonesCmd struct {
	Coordinators int           `default:"5" help:"Number of coordinators."`
	PerZone      int           `default:"4" help:"Number of data nodes in each of the three zones."`
	Fault        string        `default:"drop" enum:"drop,cut,reset" help:"Fault of the zone: drop (silent), cut (connections refused), reset."`
	Away         time.Duration `default:"6s" help:"Duration of the zone's fault."`
	Rate         float64       `default:"20" help:"Queries a second at each coordinator."`
	Cases        bool          `help:"Run the cases of partial and repeated zone faults instead."`
	Case         string        `help:"Run only this one of the cases."`
	Seed         uint64        `default:"1" help:"Seed of the load and the coordinators' random choices."`
	Binary       string        `help:"Path of gullfall; by default in this program's directory."`
	JSON         string        `name:"json" help:"Write the report to this file."`
	Plot         string        `help:"Plot the load of each zone over time to zones-node.png and zones-zone.png in this directory."`
}

// zoneRun is the result of one measurement of a zone's fault.
type zoneRun struct {
	Judged        string                 `json:"judged"` // judgedByNode or judgedByZone
	Coordinators  int                    `json:"coordinators"`
	LeaveMS       float64                `json:"leave_ms"`        // from the fault's start to its last attempt in the zone
	IntoZone      int                    `json:"into_zone"`       // attempts started in the zone during the fault
	ZoneOut       int                    `json:"zone_out"`        // coordinators that logged "zone out" for the zone
	Lost          int                    `json:"lost"`            // queries that failed or got no answer
	Asked         int                    `json:"asked"`           // queries sent
	Twins         int                    `json:"twins"`           // attempts of one part in flight at the same time
	FirstSecond   int                    `json:"first_second"`    // most parts at a returning data node in the second after its first part
	ColdBound     float64                `json:"cold_bound"`      // parts allowed in that second, from all coordinators
	OverColdBound int                    `json:"over_cold_bound"` // returning data nodes that got more than ColdBound
	ReturnMS      float64                `json:"return_ms"`       // from the fault's end to four fifths of the steady rate
	Ends          map[string]int         `json:"ends"`            // attempts in the zone that ended during the fault, by outcome
	load          map[string]plotter.XYs // parts a second and data node over seconds, by zone
}

// faultsByName maps the values of --fault.
var faultsByName = map[string]proxy.Fault{"drop": proxy.Drop, "cut": proxy.Cut, "reset": proxy.Reset}

// zoneNames lists the zones of a run.
var zoneNames = []string{"a", "b", "c"}

// Values of zoneRun.Judged: whether coordinators judge the health of each data node separately or also that of a zone as a whole.
const (
	judgedByNode = "node"
	judgedByZone = "zone"
)

// Run measures the zone's fault with data nodes judged separately and with zones judged as a whole, or runs the cases, and prints a table.
func (z *zonesCmd) Run() error {
	if z.Cases || z.Case != "" {
		return z.runCases()
	}
	var runs []zoneRun
	for _, judgedBy := range []string{judgedByNode, judgedByZone} {
		p, err := z.measure(judgedBy)
		if err != nil {
			return err
		}
		runs = append(runs, p)
	}
	fmt.Printf("%-7s %12s %8s %9s %8s %5s %6s %6s %12s %6s %10s\n", "judged", "coordinators", "leave_ms", "into_zone",
		"zone_out", "lost", "asked", "twins", "first_second", "bound", "return_ms")
	bad := false
	for _, p := range runs {
		fmt.Printf("%-7s %12d %8.0f %9d %8d %5d %6d %6d %12d %6.1f %10.0f\n", p.Judged, p.Coordinators, p.LeaveMS,
			p.IntoZone, p.ZoneOut, p.Lost, p.Asked, p.Twins, p.FirstSecond, p.ColdBound, p.ReturnMS)
		fmt.Printf("        ends in the zone while away: %v\n", p.Ends)
		bad = bad || p.Twins > 0
		if z.Plot != "" {
			if err := p.savePlot(filepath.Join(z.Plot, "zones-"+p.Judged+".png")); err != nil {
				return err
			}
		}
	}
	if err := writeJSON(z.JSON, map[string]any{"plays": runs, "seed": z.Seed, "fault": z.Fault}); err != nil {
		return err
	}
	if bad || runs[1].OverColdBound > 0 {
		return fmt.Errorf("rule violated: concurrent attempts of one part, or a returning data node over its warm-up bound")
	}
	return nil
}

// runCases runs the cases, each on a fleet of its own.
func (z *zonesCmd) runCases() error {
	var results []fleet.ZoneResult
	broken := 0
	fmt.Printf("%-24s %9s %10s %6s %5s %6s %13s %6s\n", "case", "leave_ms", "return_ms", "asked", "lost", "twins", "first_second", "bound")
	for _, c := range fleet.ZoneCases {
		if z.Case != "" && c.Name != z.Case {
			continue
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(2*time.Minute))
		r, err := fleet.RunZoneCase(ctx, c, fleet.ZonesOptions{Coordinators: max(z.Coordinators, 5), PerZone: z.PerZone, Rate: z.Rate, Binary: gullfallPath(z.Binary), Seed: z.Seed})
		cancel()
		if err != nil {
			return fmt.Errorf("%s: %w", c.Name, err)
		}
		results = append(results, r)
		fmt.Printf("%-24s %9.0f %10.0f %6d %5d %6d %13d %6.1f  %s\n", r.Name, r.LeaveMS, r.ReturnMS, r.Asked, r.Lost, r.Twins, r.MostReturn, r.ColdBound, r.Broken)
		if r.Broken != "" {
			broken++
		}
	}
	if err := writeJSON(z.JSON, map[string]any{"cases": results, "seed": z.Seed}); err != nil {
		return err
	}
	if broken > 0 || len(results) == 0 {
		return fmt.Errorf("%d of %d cases failed", broken, len(results))
	}
	return nil
}

// fleetOptions returns the options of the fleet of one run, judged by data node or by zone.
func (z *zonesCmd) fleetOptions(judgedBy string) fleet.ZonesOptions {
	return fleet.ZonesOptions{Coordinators: z.Coordinators, Zones: zoneNames, PerZone: z.PerZone, Rate: z.Rate,
		Deploy: fmt.Sprintf("enabled = %v\n", judgedBy == judgedByZone), Binary: gullfallPath(z.Binary), Seed: z.Seed}
}

// measure disconnects zone a for z.Away, reconnects it and returns the measurements.
func (z *zonesCmd) measure(judgedBy string) (run zoneRun, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(2*time.Minute))
	defer cancel()
	run = zoneRun{Judged: judgedBy, Coordinators: z.Coordinators, ColdBound: fleet.ZoneWarmupBound(), Ends: map[string]int{}, load: map[string]plotter.XYs{}}
	f, err := fleet.StartZones(ctx, z.fleetOptions(judgedBy))
	if f != nil {
		defer func() { err = errors.Join(err, f.Stop()) }()
	}
	if err != nil {
		return run, err
	}
	sampler := newZoneRateSampler(f, z.PerZone, &run)
	steady := 0.0
	const samples = 20
	for range samples {
		time.Sleep(sampleInterval)
		steady += sampler.sample()["a"] / samples
	}
	began := time.Now()
	if err := f.Set(faultsByName[z.Fault], "a"); err != nil {
		return run, err
	}
	for time.Since(began) < z.Away {
		time.Sleep(sampleInterval)
		sampler.sample()
	}
	back := time.Now()
	if err := f.Set(proxy.Pass, "a"); err != nil {
		return run, err
	}
	run.watchReturn(f, sampler, back, steady)
	f.EndLoad()
	for i := range f.Coords {
		t := f.Sum(i)
		run.Asked += t.Asked
		run.Lost += t.Failed + t.Lost + t.Wrong
	}
	run.Twins = f.Ledger.Account().Twins
	for _, c := range f.Coords {
		if err := run.readLog(c, began, back); err != nil {
			return run, err
		}
	}
	return run, nil
}

// sampleInterval is the interval between samples of the rates of parts.
const sampleInterval = 250 * time.Millisecond

// zoneRateSampler samples, for each zone, the mean number of parts a second that start at a data node.
type zoneRateSampler struct {
	fleet   *fleet.Zones
	perZone int
	run     *zoneRun // receives the samples in its load
	start   time.Time
	last    map[string]map[string]int // parts by zone and data node, at lastAt
	lastAt  time.Time
}

func newZoneRateSampler(f *fleet.Zones, perZone int, run *zoneRun) *zoneRateSampler {
	now := time.Now()
	return &zoneRateSampler{fleet: f, perZone: perZone, run: run, start: now, last: map[string]map[string]int{}, lastAt: now}
}

// sample returns the rates by zone since the last sample and appends them to the run's load.
func (l *zoneRateSampler) sample() map[string]float64 {
	now, r := time.Now(), map[string]float64{}
	for _, zone := range zoneNames {
		parts := l.fleet.Parts(zone)
		for id, n := range parts {
			r[zone] += float64(n-l.last[zone][id]) / now.Sub(l.lastAt).Seconds() / float64(l.perZone)
		}
		l.last[zone] = parts
		l.run.load[zone] = append(l.run.load[zone], plotter.XY{X: now.Sub(l.start).Seconds(), Y: r[zone]})
	}
	l.lastAt = now
	return r
}

// watchReturn counts the parts at each data node of zone a in the second after its first part, and measures the time until the zone's
// rate, as the mean of a second, is four fifths of its steady rate again. It watches for 15 s.
func (p *zoneRun) watchReturn(f *fleet.Zones, sampler *zoneRateSampler, back time.Time, steady float64) {
	first, counted := map[string]time.Time{}, map[string]bool{}
	before := f.Parts("a")
	var recent []float64 // the samples of the last second
	for time.Since(back) < 15*time.Second {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		for id, n := range f.Parts("a") {
			switch at, came := first[id]; {
			case !came && n > before[id]:
				first[id] = now
			case came && !counted[id] && now.Sub(at) >= time.Second:
				p.countFirstSecond(n - before[id])
				counted[id] = true
			}
		}
		if now.Sub(sampler.lastAt) >= sampleInterval {
			recent = append(recent, sampler.sample()["a"])
			if recent = recent[max(0, len(recent)-4):]; p.ReturnMS == 0 && len(recent) == 4 && mean(recent) >= 0.8*steady {
				p.ReturnMS = float64(now.Sub(back).Milliseconds())
			}
		}
	}
}

// countFirstSecond records the number of parts that one returning data node got in its first second.
func (p *zoneRun) countFirstSecond(parts int) {
	p.FirstSecond = max(p.FirstSecond, parts)
	if float64(parts) > p.ColdBound {
		p.OverColdBound++
	}
}

// readLog counts the attempts in zone a that a coordinator logged during the fault, and whether it logged the zone out.
func (p *zoneRun) readLog(c *fleet.Coordinator, began, back time.Time) error {
	away := func(line string) (time.Duration, bool) {
		t, err := time.Parse(time.RFC3339Nano, logValue(line, "time"))
		return t.Sub(began), err == nil && !t.Before(began) && t.Before(back)
	}
	for _, line := range c.Lines(fmt.Sprintf("msg=%q node=a-", coordinator.LogAttemptBegun)) {
		if after, ok := away(line); ok {
			p.IntoZone++
			p.LeaveMS = max(p.LeaveMS, float64(after.Milliseconds()))
		}
	}
	for _, line := range c.Lines(fmt.Sprintf("msg=%q node=a-", coordinator.LogAttemptEnded)) {
		if _, ok := away(line); ok {
			p.Ends[logValue(line, "end")]++
		}
	}
	if c.Logged(`msg="zone out" zone=a`) > 0 {
		p.ZoneOut++
	}
	if n := c.Logged("panicked"); n > 0 {
		return fmt.Errorf("a coordinator panicked:\n%s", c.Log(2000))
	}
	return nil
}

// mean returns the mean of a list; 0 if it is empty.
func mean(list []float64) (sum float64) {
	for _, x := range list {
		sum += x / float64(len(list))
	}
	return sum
}

// savePlot plots the load of each zone over time.
func (p *zoneRun) savePlot(path string) error {
	pic := plot.New()
	pic.Legend.Top = true
	pic.Title.Text, pic.X.Label.Text, pic.Y.Label.Text = "judged by "+p.Judged, "s", "parts a second at a data node"
	var names []string
	for zone := range p.load {
		names = append(names, zone)
	}
	slices.Sort(names)
	for i, zone := range names {
		line, err := plotter.NewLine(p.load[zone])
		if err != nil {
			return err
		}
		line.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}, {vg.Points(1), vg.Points(2)}}[i%3]
		pic.Add(line)
		pic.Legend.Add("zone "+zone, line)
	}
	return pic.Save(18*vg.Centimeter, 10*vg.Centimeter, path)
}

// logValue returns the unquoted value of key in a line of the text log; "" if the line doesn't have the key.
func logValue(line, key string) string {
	i := strings.Index(" "+line, " "+key+"=")
	if i < 0 {
		return ""
	}
	v := line[i+len(key)+1:]
	if strings.HasPrefix(v, `"`) {
		if u, err := strconv.QuotedPrefix(v); err == nil {
			v, _ = strconv.Unquote(u)
			return v
		}
	}
	v, _, _ = strings.Cut(v, " ")
	return v
}

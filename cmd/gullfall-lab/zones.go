package main

// This file owns `gullfall-lab zones`: several coordinators of the real program before stand-in data nodes in three
// zones, each data node behind a fault proxy of ours, one zone taken away and given back. It plays the same day twice,
// with each data node judged alone and with [zones] on, and compares. It must never leave a process behind.

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gullfall/internal/lab/directory"
	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/load"
	"gullfall/internal/lab/nodes"
	"gullfall/internal/lab/proxy"
)

type zonesCmd struct {
	Coordinators int           `default:"5" help:"How many coordinators."`
	PerZone      int           `default:"4" help:"Data nodes in each of the three zones."`
	Fault        string        `default:"drop" enum:"drop,cut,reset" help:"What befalls the zone: drop (silent), cut (refused), reset."`
	Away         time.Duration `default:"6s" help:"How long the zone is away."`
	Rate         float64       `default:"40" help:"Queries a second at each coordinator."`
	Seed         uint64        `default:"1" help:"Settles the load and the coordinators' draws."`
	Binary       string        `help:"The gullfall to measure; beside this program by default."`
	JSON         string        `name:"json" help:"Write the figures here."`
}

// zonePlay is what one play of the day showed.
type zonePlay struct {
	Judged        string         `json:"judged"`
	Coordinators  int            `json:"coordinators"`
	LeaveMS       float64        `json:"leave_ms"`        // from the fault to the last attempt begun in the zone while it lasted
	IntoZone      int            `json:"into_zone"`       // attempts begun in the zone while it was away
	ZoneOut       int            `json:"zone_out"`        // coordinators that logged the zone out
	Lost          int            `json:"lost"`            // queries that failed or got no answer
	Asked         int            `json:"asked"`           //
	Twins         int            `json:"twins"`           // attempts of one part out together
	FirstSecond   int            `json:"first_second"`    // most parts begun at one returning data node in its first second
	ColdBound     float64        `json:"cold_bound"`      // what a cold data node is to get in a second, over all coordinators
	OverColdBound int            `json:"over_cold_bound"` // returning data nodes that got more
	ReturnMS      float64        `json:"return_ms"`       // from the zone's return until its data nodes have four fifths of their share
	Ends          map[string]int `json:"ends"`            // how attempts in the zone ended while it was away, by end
}

func (z *zonesCmd) Run() error {
	var plays []zonePlay
	for _, on := range []bool{false, true} {
		p, err := z.play(on)
		if err != nil {
			return err
		}
		plays = append(plays, p)
	}
	fmt.Printf("%-7s %12s %8s %9s %8s %5s %6s %6s %12s %6s %10s\n", "judged", "coordinators", "leave_ms", "into_zone",
		"zone_out", "lost", "asked", "twins", "first_second", "bound", "return_ms")
	bad := false
	for _, p := range plays {
		fmt.Printf("%-7s %12d %8.0f %9d %8d %5d %6d %6d %12d %6.1f %10.0f\n", p.Judged, p.Coordinators, p.LeaveMS,
			p.IntoZone, p.ZoneOut, p.Lost, p.Asked, p.Twins, p.FirstSecond, p.ColdBound, p.ReturnMS)
		fmt.Printf("        ends in the zone while away: %v\n", p.Ends)
		bad = bad || p.Twins > 0
	}
	if err := writeJSON(z.JSON, map[string]any{"plays": plays, "seed": z.Seed, "fault": z.Fault}); err != nil {
		return err
	}
	if bad || plays[1].OverColdBound > 0 {
		return fmt.Errorf("a rule broke: twin attempts, or a returning data node over its cold bound")
	}
	return nil
}

var faults = map[string]proxy.Fault{"drop": proxy.Drop, "cut": proxy.Cut, "reset": proxy.Reset}

func (z *zonesCmd) play(on bool) (play zonePlay, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	play.Judged, play.Coordinators = "node", z.Coordinators
	if on {
		play.Judged = "zone"
	}
	ledger := nodes.NewLedger()
	dir, err := directory.Start()
	if err != nil {
		return play, err
	}
	defer dir.Close()
	const cells, shards = 4, 8
	var all []*nodes.Node
	var proxies []*proxy.Proxy
	var entries []directory.Entry
	defer func() {
		for _, p := range proxies {
			p.Close()
		}
		for _, n := range all {
			n.Kill()
		}
	}()
	zoneOf := map[string]string{}
	for zi, zone := range []string{"a", "b", "c"} {
		for i := range z.PerZone {
			n := &nodes.Node{ID: fmt.Sprintf("%s-%d", zone, i), Cell: (zi + i) % cells, Proto: "frames", Ledger: ledger,
				Takes: 5 * time.Millisecond, Started: time.Now().Add(-time.Hour)}
			if err := n.Start(); err != nil {
				return play, err
			}
			all = append(all, n)
			p, err := proxy.Start(n.Addr())
			if err != nil {
				return play, err
			}
			proxies = append(proxies, p)
			zoneOf[n.ID] = zone
			entries = append(entries, directory.Entry{ID: n.ID, Addr: p.Addr(), Zone: zone, Cell: n.Cell, State: "SERVING",
				Weight: 1, Started: n.Started.UnixMilli()})
		}
	}
	dir.Set(entries...)
	deploy := "[log]\nlevel = \"debug\"\n[zones]\nenabled = false\n" // attempts are counted by their debug lines
	if on {
		deploy = "[log]\nlevel = \"debug\"\n[zones]\nenabled = true\n"
	}
	var coords []*fleet.Coordinator
	defer func() {
		for _, c := range coords {
			c.Stop()
		}
	}()
	var loads []*load.Load
	for i := range z.Coordinators {
		front := fleet.Free("tcp")
		settings := fleet.Settings(cells, shards, z.Coordinators)
		config := fleet.Config(fmt.Sprint("n", i), front, dir.Addr(), z.Seed*1000+uint64(i)+1, 64, settings)
		c, err := fleet.Spawn(ctx, binary(z.Binary), front, map[string]string{"config.json": config, "deploy/gullfall.toml": deploy})
		coords = append(coords, c)
		if err != nil {
			return play, err
		}
		loads = append(loads, &load.Load{Addr: front, Owner: "club", Rate: z.Rate, Shards: shards, Classes: fleet.Classes,
			Open: 64, Ledger: ledger, Seed: z.Seed*1000 + uint64(i)})
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	done := make(chan struct{})
	for _, l := range loads {
		go func() { l.Run(loadCtx); done <- struct{}{} }()
	}
	startsA := func() map[string]int {
		s := ledger.Account().Starts
		m := map[string]int{}
		for id, zone := range zoneOf {
			if zone == "a" {
				m[id] = s[id]
			}
		}
		return m
	}
	const warm = 5 * time.Second
	before := startsA()
	time.Sleep(warm)
	steady := 0.0 // parts a second at a data node of zone a, before
	for id, n := range startsA() {
		steady += float64(n-before[id]) / warm.Seconds() / float64(z.PerZone)
	}
	play.ColdBound = 2 * 0.3 * steady // FallMultiple times StartCapacity of the lab's settings
	fault := faults[z.Fault]
	began := time.Now()
	for i, p := range proxies {
		if zoneOf[all[i].ID] == "a" {
			p.Set(fault, 0)
		}
	}
	time.Sleep(z.Away)
	back := time.Now()
	for i, p := range proxies {
		if zoneOf[all[i].ID] == "a" {
			p.Set(proxy.Pass, 0)
		}
	}
	atBack := startsA()
	prev, prevAt := atBack, back
	firstDone := false
	for time.Since(back) < 15*time.Second {
		time.Sleep(250 * time.Millisecond)
		now := startsA()
		if !firstDone && time.Since(back) >= time.Second {
			firstDone = true
			for id, n := range now {
				got := n - atBack[id]
				play.FirstSecond = max(play.FirstSecond, got)
				if float64(got) > play.ColdBound*time.Since(back).Seconds() {
					play.OverColdBound++
				}
			}
		}
		rate := 0.0
		for id, n := range now {
			rate += float64(n-prev[id]) / time.Since(prevAt).Seconds() / float64(z.PerZone)
		}
		if play.ReturnMS == 0 && rate >= 0.8*steady {
			play.ReturnMS = float64(time.Since(back).Milliseconds())
		}
		prev, prevAt = now, time.Now()
	}
	stopLoad()
	for range loads {
		<-done
	}
	for _, l := range loads {
		t := l.Sum()
		play.Asked += t.Asked
		play.Lost += t.Failed + t.Lost + t.Wrong
	}
	play.Twins = ledger.Account().Twins
	away := func(line string) (time.Duration, bool) {
		t, err := time.Parse(time.RFC3339Nano, logValue(line, "time"))
		return t.Sub(began), err == nil && !t.Before(began) && t.Before(back)
	}
	for _, c := range coords {
		for _, line := range c.Lines(`msg="attempt begun" node=a-`) {
			if after, ok := away(line); ok {
				play.IntoZone++
				play.LeaveMS = max(play.LeaveMS, float64(after.Milliseconds()))
			}
		}
		for _, line := range c.Lines(`msg="attempt ended" node=a-`) {
			if _, ok := away(line); ok {
				if play.Ends == nil {
					play.Ends = map[string]int{}
				}
				play.Ends[logValue(line, "end")]++
			}
		}
		if c.Logged(`msg="zone out" zone=a`) > 0 {
			play.ZoneOut++
		}
		if n := c.Logged("panicked"); n > 0 {
			fmt.Fprintf(os.Stderr, "a coordinator panicked:\n%s\n", c.Log(2000))
		}
	}
	return play, nil
}

// logValue is the value of key in a line of the text log, unquoted; empty where the line has none.
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

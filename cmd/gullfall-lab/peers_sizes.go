package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gullfall/internal/lab/swimsim"
	"gullfall/internal/swim"
)

// sizeRow is the result of one simulated fleet.
type sizeRow struct {
	Members     int     `json:"members"`
	Detect      string  `json:"detect"`        // the detector: swim, plain or heartbeat
	Loss        float64 `json:"loss"`          // share of packets
	BearS       float64 `json:"bear_s"`        // the longest pause to tolerate, seconds
	FalseDead   int     `json:"false_dead"`    // running members considered dead
	DetectP50MS float64 `json:"detect_p50_ms"` // from a crash until half of the members know of it
	DetectAllMS float64 `json:"detect_all_ms"` // from a crash until all members know of it
	PacketsPerS float64 `json:"packets_per_s"` // sent by each member
	BytesPerS   float64 `json:"bytes_per_s"`   // sent by each member
}

// simulateSizes simulates fleets in virtual time: two minutes of pauses and packet loss, then up to three crashes.
func (p *peersCmd) simulateSizes() error {
	var rows []sizeRow
	fmt.Printf("%8s %-10s %5s %6s %10s %14s %14s %10s %9s\n", "members", "detect", "loss", "bear_s", "false_dead", "detect_p50_ms", "detect_all_ms", "packets/s", "bytes/s")
	for _, n := range p.Sizes {
		plan := p.planSizes(n)
		// The number of concurrent simulations is limited by memory: each member stores an entry for every other, some 500 bytes and
		// as much again for the garbage collector.
		var group errgroup.Group
		group.SetLimit(max(1, min(runtime.GOMAXPROCS(0), 10_000_000/(n*n))))
		for i := range plan {
			group.Go(func() error { return p.simulate(&plan[i]) })
		}
		if err := group.Wait(); err != nil {
			return err
		}
		runtime.GC()
		for _, row := range plan {
			fmt.Printf("%8d %-10s %5.2f %6.1f %10d %14.0f %14.0f %10.2f %9.0f\n", row.Members, row.Detect, row.Loss, row.BearS, row.FalseDead, row.DetectP50MS, row.DetectAllMS, row.PacketsPerS, row.BytesPerS)
		}
		rows = append(rows, plan...)
	}
	if p.Plots != "" {
		if err := plotSizes(p.Plots, rows); err != nil {
			return err
		}
	}
	return writeJSON(p.JSON, map[string]any{"rows": rows, "seed": p.Seed})
}

// planSizes returns the fleets of one size to simulate.
func (p *peersCmd) planSizes(n int) (plan []sizeRow) {
	if p.Curve {
		for _, maxPause := range []float64{0.001, 0.5, 1, 2, 3, 5} {
			plan = append(plan, sizeRow{Members: n, Detect: "swim", Loss: 0.2, BearS: maxPause})
		}
		return plan
	}
	losses := []float64{0, 0.1, 0.2, 0.4}
	if n > 300 {
		losses = []float64{0, 0.2}
	}
	if len(p.Loss) > 0 {
		losses = p.Loss
	}
	for _, loss := range losses {
		for _, detect := range []string{"swim", "plain", "heartbeat"} {
			plan = append(plan, sizeRow{Members: n, Detect: detect, Loss: loss, BearS: 3})
		}
	}
	return plan
}

// simulate simulates the fleet of a row and fills in its results.
func (p *peersCmd) simulate(row *sizeRow) error {
	n, detect, maxPause := row.Members, row.Detect, time.Duration(row.BearS*float64(time.Second))
	// With heartbeats every member watches every other. Above 300 members only some are simulated as watchers, and their counts are
	// scaled up to all members.
	watchers, scale := n, 1.0
	if detect == "heartbeat" && n > 300 {
		watchers = 90_000 / n
		scale = float64(n) / float64(watchers)
	}
	f, err := swimsim.New(swimsim.Config{Members: n, Watchers: watchers, Seed: p.Seed, Detect: detect, HeartbeatTimeout: 5 * time.Second, Delay: 2 * time.Millisecond,
		Jitter: 5 * time.Millisecond, Swim: swim.Config{Period: time.Second, MaxPause: maxPause}})
	if err != nil {
		return err
	}
	f.Run(40 * time.Second)
	rng := rand.New(rand.NewPCG(p.Seed, uint64(n)))
	f.SetLoss(row.Loss)
	packets, bytes, from, before := f.Packets, f.Bytes, f.Now(), f.FalseDead
	for f.Now() < from+2*time.Minute {
		for range max(1, n/20) { // every 10 s, one member in twenty pauses for up to 3 s
			f.Pause(rng.IntN(n), time.Duration(rng.Int64N(int64(3*time.Second))))
		}
		f.Run(f.Now() + 10*time.Second)
	}
	span := (f.Now() - from).Seconds()
	row.FalseDead = int(float64(f.FalseDead-before) * scale)
	row.PacketsPerS, row.BytesPerS = float64(f.Packets-packets)/span/float64(n)*scale, float64(f.Bytes-bytes)/span/float64(n)*scale
	var half, all []time.Duration
	crashes := min(3, n/3)
	if n > 1000 {
		crashes = 1
	}
	for k := range crashes {
		h, a, _ := f.Detection(n-1-k, 3*time.Minute)
		half, all = append(half, h), append(all, a)
	}
	row.DetectP50MS = float64(swimsim.Quantile(half, 0.5).Milliseconds())
	row.DetectAllMS = float64(swimsim.Quantile(all, 0.5).Milliseconds())
	return nil
}

// plotSizes plots false positives and detection time over packet loss, a line for each detector and size.
func plotSizes(dir string, rows []sizeRow) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, metric := range []struct {
		name, label string
		value       func(sizeRow) float64
	}{{"false_dead", "members taken for dead that were not", func(r sizeRow) float64 { return float64(r.FalseDead) }},
		{"detection", "crash known to all, s", func(r sizeRow) float64 { return r.DetectAllMS / 1000 }}} {
		pic := plot.New()
		pic.Title.Text, pic.X.Label.Text, pic.Y.Label.Text = metric.name, "share of packets lost", metric.label
		lines := map[string]plotter.XYs{}
		var names []string
		for _, r := range rows {
			name := fmt.Sprintf("%s, %d", r.Detect, r.Members)
			if lines[name] == nil {
				names = append(names, name)
			}
			lines[name] = append(lines[name], plotter.XY{X: r.Loss, Y: metric.value(r)})
		}
		for i, name := range names {
			line, points, err := plotter.NewLinePoints(lines[name])
			if err != nil {
				return err
			}
			line.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}, {vg.Points(1), vg.Points(2)}}[i%3]
			pic.Add(line, points)
			pic.Legend.Add(name, line)
		}
		if err := pic.Save(18*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, metric.name+".png")); err != nil {
			return err
		}
	}
	return nil
}

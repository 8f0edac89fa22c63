package main

// `gullfall-lab fleet`: tables, JSON and a plot of the failed queries in the logs of all coordinators of a run.

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gullfall/internal/lab/fleetlog"
)

type fleetCmd struct {
	Dir  string `arg:"" help:"Directory with the coordinators' logs, *.log; attempts are counted only at log.level debug."`
	JSON string `name:"json" help:"Write the report to this file."`
	Plot string `help:"Plot failed queries a second to ends.png in this directory."`
	Top  int    `default:"12" help:"Maximum number of rows in each table."`
}

// Run reads the logs and prints the tables.
func (f *fleetCmd) Run() error {
	r, err := fleetlog.Read(f.Dir)
	if err != nil {
		return err
	}
	fmt.Printf("%d logs, %d queries, %d lines not read\n\n", r.Logs, r.Queries, r.Unread)
	fmt.Printf("%8s %6s  %-8s %-18s %-15s %-20s %8s %8s\n", "queries", "share", "end", "why", "parts", "class", "p50_ms", "p99_ms")
	for _, w := range r.Outcomes[:min(f.Top, len(r.Outcomes))] {
		fmt.Printf("%8d %5.1f%%  %-8s %-18s %-15s %-20s %8.0f %8.0f\n", w.Queries, 100*w.Share, w.End, w.Why, w.Parts, w.Class, w.P50MS, w.P99MS)
	}
	if len(r.Nodes) > 0 {
		fmt.Printf("\n%8s  %-14s %s\n", "missing", "data node", "last attempts")
		for _, n := range r.Nodes[:min(f.Top, len(r.Nodes))] {
			fmt.Printf("%8d  %-14s %v\n", n.Parts, n.ID, n.Ends)
		}
	}
	if len(r.Attempts) > 0 {
		fmt.Printf("\n%8s  %-15s %8s %8s\n", "attempts", "end", "p50_ms", "p99_ms")
		for _, a := range r.Attempts {
			fmt.Printf("%8d  %-15s %8.0f %8.0f\n", a.N, a.End, a.P50MS, a.P99MS)
		}
	}
	if f.Plot != "" {
		if err := plotSeconds(filepath.Join(f.Plot, "ends.png"), r.Second); err != nil {
			return err
		}
	}
	return writeJSON(f.JSON, r)
}

// plotSeconds plots the number of failed queries in each second, with one line for each kind of failure.
func plotSeconds(path string, countsByWay map[string]map[int]int) error {
	pic := plot.New()
	pic.Title.Text, pic.X.Label.Text, pic.Y.Label.Text = "queries that ended badly", "second of the day", "queries"
	for i, way := range slices.Sorted(maps.Keys(countsByWay)) {
		last := 0
		for s := range countsByWay[way] {
			last = max(last, s)
		}
		var points plotter.XYs
		for s := range last + 1 {
			points = append(points, plotter.XY{X: float64(s), Y: float64(countsByWay[way][s])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Dashes = [][]vg.Length{nil, {vg.Points(5), vg.Points(2)}, {vg.Points(2), vg.Points(2)}, {vg.Points(1), vg.Points(3)}}[i%4]
		pic.Add(line)
		pic.Legend.Add(way, line)
	}
	return pic.Save(20*vg.Centimeter, 11*vg.Centimeter, path)
}

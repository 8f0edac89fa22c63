package main

// `gullfall-lab model`: a simulation in virtual time, once for each way in which coordinators detect a zone failure. Results
// of different loads or seeds must not be compared.

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gullfall/internal/lab/model"
)

type modelCmd struct {
	Day          string  `default:"zone" help:"Scenario: quiet, zone, fresh or roll."`
	Coordinators int     `default:"100" help:"Number of coordinators that share the load."`
	Load         float64 `default:"0.5" help:"Utilization of the data nodes, 0 to 1, when all serve."`
	Seeds        int     `default:"5" help:"Number of seeds, from 1."`
	Plot         string  `help:"Plot the served share over time to this file (PNG or SVG)."`
	JSON         string  `name:"json" help:"Write the report to this file."`
}

// modelRow is the result of one way of detection over all seeds.
type modelRow struct {
	Way                string    `json:"way"`
	Served             float64   `json:"served"`
	First10            float64   `json:"served_first_10s"` // mean of the 10 s after the zone's failure
	WorstHalfSecond    float64   `json:"worst_half_second"`
	AttemptsAtLostZone float64   `json:"attempts_at_lost_zone"` // mean
	PushedOver         int       `json:"pushed_over"`           // data nodes that failed by overload while they warmed up
	Lost               int       `json:"lost"`
	Twins              int       `json:"twins"`            // attempts of one part in flight at the same time
	AfterGrace         int       `json:"after_grace"`      // attempts sent to a draining data node after its grace
	Attempts           float64   `json:"attempts"`         // mean
	ServedOverTime     []float64 `json:"served_over_time"` // mean for each half second
}

// Run simulates the day for each way and prints a table.
func (m *modelCmd) Run() error {
	var rows []modelRow
	fmt.Printf("%-10s %8s %10s %8s %10s %8s %6s\n", "way", "served", "first 10 s", "worst", "at lost", "pushed", "lost")
	for _, way := range model.Ways {
		row, err := m.simulate(way)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		fmt.Printf("%-10s %8.4f %10.4f %8.3f %10.0f %8d %6d\n", way, row.Served, row.First10, row.WorstHalfSecond, row.AttemptsAtLostZone, row.PushedOver, row.Lost)
	}
	if m.Plot != "" {
		if err := m.savePlot(rows); err != nil {
			return err
		}
	}
	if err := writeJSON(m.JSON, map[string]any{"day": m.Day, "coordinators": m.Coordinators, "load": m.Load, "seeds": m.Seeds, "ways": rows}); err != nil {
		return err
	}
	for _, r := range rows {
		if r.PushedOver+r.Lost+r.Twins+r.AfterGrace > 0 {
			return fmt.Errorf("%s: %d data nodes overloaded while warming up, %d queries lost, %d concurrent attempts of one part, %d attempts sent after a drain's grace", r.Way, r.PushedOver, r.Lost, r.Twins, r.AfterGrace)
		}
	}
	return nil
}

// simulate simulates the day for one way with every seed and returns means; failures are summed.
func (m *modelCmd) simulate(way string) (row modelRow, err error) {
	row = modelRow{Way: way, WorstHalfSecond: 1}
	for seed := range m.Seeds {
		c, err := model.Day(m.Day, way, m.Coordinators, m.Load, uint64(seed+1))
		if err != nil {
			return row, err
		}
		f, err := model.Run(c)
		if err != nil {
			return row, err
		}
		n := float64(m.Seeds)
		row.Served, row.AttemptsAtLostZone, row.Attempts = row.Served+f.Served/n, row.AttemptsAtLostZone+float64(f.SentToDown)/n, row.Attempts+f.Attempts/n
		row.PushedOver, row.Lost, row.Twins, row.AfterGrace = row.PushedOver+f.Overloaded, row.Lost+f.Lost, row.Twins+f.ConcurrentAttempts, row.AfterGrace+f.SentAfterGrace
		if row.ServedOverTime == nil {
			row.ServedOverTime = make([]float64, len(f.ServedOverTime))
		}
		for i := range min(len(row.ServedOverTime), len(f.ServedOverTime)) {
			row.ServedOverTime[i] += f.ServedOverTime[i] / n
		}
	}
	row.WorstHalfSecond = slices.Min(row.ServedOverTime)
	first := int(model.ZoneFailure.Seconds() * 2)
	for _, x := range row.ServedOverTime[first : first+20] {
		row.First10 += x / 20
	}
	return row, nil
}

// savePlot plots the served share over time, a line for each way.
func (m *modelCmd) savePlot(rows []modelRow) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %d coordinators, load %.2f, mean of %d seeds", m.Day, m.Coordinators, m.Load, m.Seeds)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "served within the aim, share"
	p.Legend.Left = true
	for i, r := range rows {
		var points plotter.XYs
		for k, y := range r.ServedOverTime {
			points = append(points, plotter.XY{X: float64(k) / 2, Y: y})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Way, line)
	}
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, m.Plot)
}

package main

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"gullfall/internal/observations"
)

// learnedView shows the observations of one data node, combined from all coordinators.
type learnedView struct {
	Node      string  `json:"node"`
	Doubtful  bool    `json:"doubtful"`
	ColdS     float64 `json:"cold_s,omitempty"` // remaining seconds of the warm-up
	LatencyMS float64 `json:"latency_ms"`       // negative if unknown
	Busy      float64 `json:"busy"`             // utilization; negative if unknown
}

// learnedViews returns a view of each data node's observations, sorted by the data node's name.
func learnedViews(all map[string]observations.View) (list []learnedView) {
	for _, id := range slices.Sorted(maps.Keys(all)) {
		v := all[id]
		l := learnedView{id, v.Suspect, tenths(v.WarmupLeft), -1, v.Utilization}
		if v.Latency >= 0 {
			l.LatencyMS = math.Round(v.Latency*1e4) / 10
		}
		list = append(list, l)
	}
	return list
}

type peersLearnedCmd struct {
	socketFlag
	JSON bool `name:"json" help:"Print JSON."`
}

// Run prints the observations of all data nodes.
func (p peersLearnedCmd) Run() error {
	var list []learnedView
	if err := p.callWithStore("learned", nil, &list); err != nil {
		return err
	}
	if p.JSON {
		return printJSON(list)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "data node\tdoubtful\tcold_s\tlatency_ms\tbusy")
	for _, l := range list {
		fmt.Fprintf(t, "%s\t%v\t%.1f\t%.1f\t%.2f\n", l.Node, l.Doubtful, l.ColdS, l.LatencyMS, l.Busy)
	}
	return t.Flush()
}

package model

import (
	"fmt"
	"time"
)

// Ways lists the methods by which coordinators detect a failed zone: from each data node separately (alone), by tracking the health of the
// whole zone (verdicts), and by that together with the observations of other coordinators (shared).
var Ways = []string{"alone", "verdicts", "shared"}

// ZoneFailure and ZoneReturn are the times at which the zone fails and returns to warm up, on the days `zone` and `fresh`.
const (
	ZoneFailure = 5 * time.Second
	ZoneReturn  = 12 * time.Second
)

// Day returns the configuration of a simulated day:
//
//	quiet  no faults
//	zone   one of three zones does not answer for 7 s
//	fresh  as zone, and a tenth of the coordinators restart within 5 s after the failure
//	roll   all data nodes are replaced by newly started ones, five every 6 s
//
// load is the utilization of the data nodes, 0 to 1, when all serve. The days must not change, because their figures are compared over
// time.
func Day(name, way string, coordinators int, load float64, seed uint64) (Config, error) {
	c := Config{Coordinators: coordinators, Zones: []string{"a", "b", "c"}, NodesPerZone: 8, Cores: 2, Parts: 3, Work: 25 * time.Millisecond,
		NetworkDelay: time.Millisecond, ListLag: time.Second, Duration: 20 * time.Second, Seed: seed, GossipPeriod: time.Second}
	switch way {
	case "alone":
	case "verdicts":
		c.TrackZones = true
	case "shared":
		c.TrackZones, c.Gossip = true, true
	default:
		return c, fmt.Errorf("unknown way %q, want one of %v", way, Ways)
	}
	mean := c.Work.Seconds() * 1.133 // mean of log-normal work with a standard deviation of 0.5 in its logarithm
	c.Rate = load * float64(len(c.Zones)*c.NodesPerZone*c.Cores) / mean / float64(c.Parts*coordinators)
	switch name {
	case "quiet":
	case "fresh":
		for i := range coordinators / 10 {
			c.Faults = append(c.Faults, Fault{At: ZoneFailure + time.Duration(i)*5*time.Second/time.Duration(coordinators/10), Restart: i + 1})
		}
		fallthrough
	case "zone":
		c.Faults = append(c.Faults, Fault{At: ZoneFailure, Until: ZoneReturn, Zone: "a", Silent: true})
	case "roll":
		c.Duration = 40 * time.Second
		for i := range len(c.Zones) * c.NodesPerZone {
			at := 4*time.Second + time.Duration(i/5)*6*time.Second
			c.Faults = append(c.Faults, Fault{At: at, Until: at + 3*time.Second, Node: i})
		}
	default:
		return c, fmt.Errorf("unknown day %q, want one of quiet, zone, fresh, roll", name)
	}
	return c, nil
}

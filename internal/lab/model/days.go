package model

import (
	"fmt"
	"time"
)

// Ways are how coordinators learn that a zone has failed: from each data node by itself (alone), from the zone as a whole (verdicts), and
// from that with the observations of other coordinators (shared).
var Ways = []string{"alone", "verdicts", "shared"}

// Lost and Back are when the zone of the day `zone` fails, and when it comes back and warms up.
const (
	Lost = 5 * time.Second
	Back = 12 * time.Second
)

// Day returns the configuration of a day: `quiet`; `zone`, in which one zone of three doesn't answer for 7 s; `fresh`, that and a tenth of
// the coordinators restarting in the 5 s after the failure; `roll`, in which all data nodes are replaced by newly started ones, five every
// 6 s. Load is the utilization of the data nodes, 0 to 1, when all serve. Figures of days are compared over time, so days don't change.
func Day(name, way string, coordinators int, load float64, seed uint64) (Config, error) {
	c := Config{Coordinators: coordinators, Zones: []string{"a", "b", "c"}, NodesPerZone: 8, Cores: 2, Parts: 3, Work: 25 * time.Millisecond,
		NetworkDelay: time.Millisecond, ListLag: time.Second, Duration: 20 * time.Second, Seed: seed, GossipPeriod: time.Second}
	switch way {
	case "alone":
	case "verdicts":
		c.JudgeZones = true
	case "shared":
		c.JudgeZones, c.Gossip = true, true
	default:
		return c, fmt.Errorf("way %q is none of %v", way, Ways)
	}
	mean := c.Work.Seconds() * 1.133 // of work that varies by half an e-fold around its median
	c.Rate = load * float64(len(c.Zones)*c.NodesPerZone*c.Cores) / mean / float64(c.Parts*coordinators)
	switch name {
	case "quiet":
	case "fresh":
		for i := range coordinators / 10 {
			c.Faults = append(c.Faults, Fault{At: Lost + time.Duration(i)*5*time.Second/time.Duration(coordinators/10), Restart: i + 1})
		}
		fallthrough
	case "zone":
		c.Faults = append(c.Faults, Fault{At: Lost, Until: Back, Zone: "a", Silent: true})
	case "roll":
		c.Duration = 40 * time.Second
		for i := range len(c.Zones) * c.NodesPerZone {
			at := 4*time.Second + time.Duration(i/5)*6*time.Second
			c.Faults = append(c.Faults, Fault{At: at, Until: at + 3*time.Second, Node: i})
		}
	default:
		return c, fmt.Errorf("day %q is none of quiet, zone, fresh, roll", name)
	}
	return c, nil
}

package model

// This file owns the days that are played, each in small: what befalls the fleet, and how loaded it is. They must stay what they are
// for as long as figures of them are compared.

import (
	"fmt"
	"time"
)

// Ways are the ways in which coordinators learn of a lost zone: each data node by itself, the zone as a whole, and that with what the
// others tell.
var Ways = []string{"alone", "verdicts", "shared"}

// Lost and Back are when the zone of the day `zone` goes, and comes back cold.
const (
	Lost = 5 * time.Second
	Back = 12 * time.Second
)

// Day returns a day: `quiet`; `zone`, in which a zone of three falls silent for 7 s; `fresh`, that and a tenth of the coordinators
// starting anew in the 5 s after the loss; `roll`, in which all data nodes are replaced by cold ones, five every 6 s. Load is how busy
// the data nodes are when all are there.
func Day(name, way string, coordinators int, load float64, seed uint64) (Config, error) {
	c := Config{Coordinators: coordinators, Zones: []string{"a", "b", "c"}, PerZone: 8, Cores: 2, Parts: 3, Work: 25 * time.Millisecond,
		Way: time.Millisecond, ListLag: time.Second, For: 20 * time.Second, Seed: seed, Period: time.Second}
	switch way {
	case "alone":
	case "verdicts":
		c.Verdicts = true
	case "shared":
		c.Verdicts, c.Share = true, true
	default:
		return c, fmt.Errorf("way %q is none of %v", way, Ways)
	}
	mean := c.Work.Seconds() * 1.133 // of work that varies by half an e-fold around its median
	c.Rate = load * float64(len(c.Zones)*c.PerZone*c.Cores) / mean / float64(c.Parts*coordinators)
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
		c.For = 40 * time.Second
		for i := range len(c.Zones) * c.PerZone {
			at := 4*time.Second + time.Duration(i/5)*6*time.Second
			c.Faults = append(c.Faults, Fault{At: at, Until: at + 3*time.Second, Node: i})
		}
	default:
		return c, fmt.Errorf("day %q is none of quiet, zone, fresh, roll", name)
	}
	return c, nil
}

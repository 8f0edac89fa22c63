// Package model plays a fleet in virtual time with the decision code as it is in service: the module, the zones' verdicts and learned
// state of each coordinator, before data nodes that queue, start cold and fall over, under clients that ask. It owns the virtual clock
// and network, and the account of what came of queries. It must never decide what the code under test decides, use the real clock, or
// let map order show in a result: the same configuration gives the same figures.
//
// What it leaves out: connections (a part costs no handshake), clients that try again, the cost of probes and calls, and processes'
// own processor time. So it tells causes, and ratios between two ways; a score it is not.
package model

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gullfall/internal/lab/virtualtime"
	"gullfall/internal/observations"
)

// Model is a fleet at work.
type Model struct {
	c      Config
	rng    *rand.Rand
	now    time.Duration
	queue  virtualtime.Queue[func()] // a turn, an answer, a change: whatever happens at a time
	nodes  []*dataNode
	coords []*coordinator
	number int

	figures Figures
	asked   []int
	served  []int
	sent    int
	err     error // the first fact that a table rejected as wrong; it makes the figures worthless
}

// epoch is what virtual time counts from, for code that takes times.
var epoch = time.Unix(1_000_000_000, 0)

// Run plays a day.
func Run(c Config) (Figures, error) {
	m := &Model{c: c, rng: rand.New(rand.NewPCG(c.Seed, 0x30de1)), now: time.Hour} // the module's clock begins above 0
	n := int(c.For/slice) + 1
	m.asked, m.served = make([]int, n), make([]int, n)
	for _, zone := range c.Zones {
		for cell := range c.PerZone {
			m.nodes = append(m.nodes, &dataNode{id: fmt.Sprintf("%s-%d", zone, cell), zone: zone, cell: cell})
		}
	}
	for i := range c.Coordinators {
		k := &coordinator{m: m, index: i}
		if err := k.start(); err != nil {
			return Figures{}, err
		}
		m.coords = append(m.coords, k)
		m.arrive(k)
		if c.Share {
			m.after(time.Duration(m.rng.Int64N(int64(c.Period))), func() { m.tell(k) })
		}
	}
	for _, f := range c.Faults {
		m.at(time.Hour+f.At, func() { m.begin(f) })
		if f.Until > 0 {
			m.at(time.Hour+f.Until, func() { m.end(f) })
		}
	}
	end := time.Hour + c.For
	for at, do, ok := m.queue.Next(end + limit + time.Second); ok; at, do, ok = m.queue.Next(end + limit + time.Second) {
		m.now = max(m.now, at)
		do()
	}
	f := &m.figures
	whole := 0
	for i := range m.asked {
		share := math.NaN()
		if m.asked[i] > 0 {
			share = float64(m.served[i]) / float64(m.asked[i])
		}
		if f.Asked, whole = f.Asked+m.asked[i], whole+m.served[i]; !math.IsNaN(share) {
			f.Over = append(f.Over, share)
		}
	}
	f.Served, f.Attempts = float64(whole)/float64(f.Asked), float64(m.sent)/float64(f.Asked)
	for _, k := range m.coords {
		f.Lost += len(k.queries)
	}
	return *f, m.err
}

// checkFact takes the result of writing a fact. Facts that are known or too old are rejected in the normal course of gossip; any
// other error is a fault of the model, which Run returns.
func (m *Model) checkFact(err error) {
	if err != nil && m.err == nil && !errors.Is(err, observations.ErrKnown) && !errors.Is(err, observations.ErrOld) {
		m.err = err
	}
}

func (m *Model) at(t time.Duration, do func()) { m.queue.Put(t, do) }

func (m *Model) after(d time.Duration, do func()) { m.at(m.now+d, do) }

// elapsed is how long the day has gone on.
func (m *Model) elapsed() time.Duration { return m.now - time.Hour }

// arrive lets a query come, and the next one after it.
func (m *Model) arrive(k *coordinator) {
	m.after(time.Duration(m.rng.ExpFloat64()/m.c.Rate*float64(time.Second)), func() {
		if m.elapsed() < m.c.For {
			k.ask()
			m.arrive(k)
		}
	})
}

// Package model simulates a fleet in virtual time around the decision code that runs in production: package aggregator, the zone tracker
// and the shared observations of each coordinator. Data nodes that queue parts, warm up and fail, and clients that send queries are
// simulated. It depends neither on the real clock nor on the iteration order of maps: the same configuration gives the same figures.
//
// It does not simulate connections (a part costs no handshake), clients' retries, the cost of health checks and calls, or the processor
// time of coordinators. Its figures can be used to find causes and to compare two configurations, but not to predict a deployment.
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

// Model is a running simulation.
type Model struct {
	config       Config
	rng          *rand.Rand
	now          time.Duration
	queue        virtualtime.Queue[func()] // scheduled callbacks
	nodes        []*dataNode
	coordinators []*coordinator
	lastQuery    int

	figures        Figures
	arrivedBySlice []int
	servedBySlice  []int
	attemptsSent   int
	err            error // first unexpected rejection of an observation; the figures are not valid if set
}

// dayStart is the virtual time at which a day starts. It is above 0 because the decision code needs a positive clock.
const dayStart = time.Hour

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Unix(1_000_000_000, 0)

// Run simulates a day. It returns an error if the configuration is invalid or an observation was unexpectedly rejected.
func Run(c Config) (Figures, error) {
	m := &Model{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x30de1)), now: dayStart}
	n := int(c.Duration/sliceLength) + 1
	m.arrivedBySlice, m.servedBySlice = make([]int, n), make([]int, n)
	for _, zone := range c.Zones {
		for shardSet := range c.NodesPerZone {
			m.nodes = append(m.nodes, &dataNode{id: fmt.Sprintf("%s-%d", zone, shardSet), zone: zone, shardSet: shardSet})
		}
	}
	for i := range c.Coordinators {
		k := &coordinator{model: m, index: i}
		if err := k.start(); err != nil {
			return Figures{}, err
		}
		m.coordinators = append(m.coordinators, k)
		m.scheduleArrival(k)
		if c.Gossip {
			m.after(time.Duration(m.rng.Int64N(int64(c.GossipPeriod))), func() { m.gossip(k) })
		}
	}
	for _, f := range c.Faults {
		m.at(dayStart+f.At, func() { m.beginFault(f) })
		if f.Until > 0 {
			m.at(dayStart+f.Until, func() { m.endFault(f) })
		}
	}
	end := dayStart + c.Duration + deadline + time.Second // all queries have ended by then
	for at, do, ok := m.queue.Next(end); ok; at, do, ok = m.queue.Next(end) {
		m.now = max(m.now, at)
		do()
	}
	return m.summary(), m.err
}

// summary computes the figures at the end of the day.
func (m *Model) summary() Figures {
	f := m.figures
	served := 0
	for i := range m.arrivedBySlice {
		share := math.NaN()
		if m.arrivedBySlice[i] > 0 {
			share = float64(m.servedBySlice[i]) / float64(m.arrivedBySlice[i])
		}
		if f.Arrived, served = f.Arrived+m.arrivedBySlice[i], served+m.servedBySlice[i]; !math.IsNaN(share) {
			f.ServedOverTime = append(f.ServedOverTime, share)
		}
	}
	f.Served, f.Attempts = float64(served)/float64(f.Arrived), float64(m.attemptsSent)/float64(f.Arrived)
	for _, k := range m.coordinators {
		f.Lost += len(k.queries)
	}
	return f
}

// recordFactError records the error of writing a fact. Gossip normally causes rejections of facts that are known or too old; any other
// error is a fault of the model, which Run returns.
func (m *Model) recordFactError(err error) {
	if err != nil && m.err == nil && !errors.Is(err, observations.ErrKnown) && !errors.Is(err, observations.ErrOld) {
		m.err = err
	}
}

// at schedules do at a virtual time.
func (m *Model) at(t time.Duration, do func()) { m.queue.Put(t, do) }

// after schedules do after a delay.
func (m *Model) after(d time.Duration, do func()) { m.at(m.now+d, do) }

// elapsed returns the time since the start of the day.
func (m *Model) elapsed() time.Duration { return m.now - dayStart }

// scheduleArrival schedules the next query at a coordinator, which in turn schedules the one after it.
func (m *Model) scheduleArrival(k *coordinator) {
	m.after(time.Duration(m.rng.ExpFloat64()/m.config.Rate*float64(time.Second)), func() {
		if m.elapsed() < m.config.Duration {
			k.startQuery()
			m.scheduleArrival(k)
		}
	})
}

// Package model simulates a fleet in virtual time around the decision code that is in service: package aggregator, the judgement of
// zones and the shared observations of each coordinator, with data nodes that queue, warm up and fail, and clients that send queries. It
// uses neither the real clock nor the order of maps: the same configuration gives the same figures.
//
// It leaves out connections (a part costs no handshake), clients' retries, the cost of health checks and calls, and the processor time of
// coordinators. So its figures serve to find causes and to compare two configurations, not to forecast a deployment.
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
	queue        virtualtime.Queue[func()] // what happens at a time
	nodes        []*dataNode
	coordinators []*coordinator
	lastQuery    int

	figures        Figures
	arrivedBySlice []int
	servedBySlice  []int
	attemptsSent   int
	err            error // why an observation was rejected, the first time; the figures are not valid then
}

// dayStart is the virtual time at which a day starts: the decision code's clock is above 0.
const dayStart = time.Hour

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Unix(1_000_000_000, 0)

// Run simulates a day. The error is of the configuration, or of an observation that was rejected.
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
	end := dayStart + c.Duration + deadline + time.Second // by then all queries have ended
	for at, do, ok := m.queue.Next(end); ok; at, do, ok = m.queue.Next(end) {
		m.now = max(m.now, at)
		do()
	}
	return m.summary(), m.err
}

// summary completes the figures at the end of the day.
func (m *Model) summary() Figures {
	f := m.figures
	served := 0
	for i := range m.arrivedBySlice {
		share := math.NaN()
		if m.arrivedBySlice[i] > 0 {
			share = float64(m.servedBySlice[i]) / float64(m.arrivedBySlice[i])
		}
		if f.Asked, served = f.Asked+m.arrivedBySlice[i], served+m.servedBySlice[i]; !math.IsNaN(share) {
			f.Over = append(f.Over, share)
		}
	}
	f.Served, f.Attempts = float64(served)/float64(f.Asked), float64(m.attemptsSent)/float64(f.Asked)
	for _, k := range m.coordinators {
		f.Lost += len(k.queries)
	}
	return f
}

// checkFact takes the result of writing a fact. Facts that are known or too old are rejected in the normal course of gossip; any
// other error is a fault of the model, which Run returns.
func (m *Model) checkFact(err error) {
	if err != nil && m.err == nil && !errors.Is(err, observations.ErrKnown) && !errors.Is(err, observations.ErrOld) {
		m.err = err
	}
}

// at calls do at a virtual time.
func (m *Model) at(t time.Duration, do func()) { m.queue.Put(t, do) }

// after calls do after a delay.
func (m *Model) after(d time.Duration, do func()) { m.at(m.now+d, do) }

// elapsed is the time since the start of the day.
func (m *Model) elapsed() time.Duration { return m.now - dayStart }

// scheduleArrival lets the next query of a coordinator's clients arrive, and those after it.
func (m *Model) scheduleArrival(k *coordinator) {
	m.after(time.Duration(m.rng.ExpFloat64()/m.config.Rate*float64(time.Second)), func() {
		if m.elapsed() < m.config.Duration {
			k.startQuery()
			m.scheduleArrival(k)
		}
	})
}

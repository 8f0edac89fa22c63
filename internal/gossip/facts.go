package gossip

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gullfall/internal/observations"
	"gullfall/internal/swim"
)

const (
	factFanout     = 2                     // members that facts are sent to in a period
	factBatch      = maxFactBytes / 20     // facts that are considered for a packet
	minFactsPeriod = 50 * time.Millisecond // minimum time between two rounds
)

// sharedFacts is this coordinator's copy of the observations of data nodes that all coordinators share.
type sharedFacts struct {
	mu    sync.Mutex // guards table; it is not held while packets are sent
	table *observations.Table
}

// FactCounts counts the facts received from peers: accepted, already known, and rejected.
type FactCounts struct{ Accepted, Known, Rejected atomic.Int64 }

// Observe shares an observation of a data node with the other coordinators.
func (g *Gossip) Observe(node string, f observations.Field, value float64) {
	g.facts.mu.Lock()
	defer g.facts.mu.Unlock()
	// An invalid value, such as a negative latency, is not shared.
	_ = g.facts.table.Observe(g.Elapsed(), time.Now(), node, f, value)
}

// ObserveStart shares how long ago a data node started.
func (g *Gossip) ObserveStart(node string, ago time.Duration) {
	g.facts.mu.Lock()
	defer g.facts.mu.Unlock()
	// A start too long ago to matter is not shared.
	_ = g.facts.table.ObserveStart(g.Elapsed(), time.Now(), node, ago)
}

// Observations returns the combined observations of all coordinators for a data node.
func (g *Gossip) Observations(node string) observations.View {
	g.facts.mu.Lock()
	defer g.facts.mu.Unlock()
	return g.facts.table.View(g.Elapsed(), node)
}

// AllObservations returns the combined observations for each data node, by id.
func (g *Gossip) AllObservations() map[string]observations.View {
	g.facts.mu.Lock()
	defer g.facts.mu.Unlock()
	return g.facts.table.Views(g.Elapsed())
}

// gossipFacts sends facts to a few random members, once a period.
func (g *Gossip) gossipFacts(period time.Duration) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		to := g.reachableAddrs()
		if len(to) == 0 {
			continue
		}
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		facts := g.nextFacts()
		if len(facts) == 0 {
			continue
		}
		packet, _ := AppendFacts(nil, facts) // facts that do not fit are sent in a later period
		for _, addr := range to[:min(len(to), factFanout)] {
			g.sealAndSend(addr, packet)
		}
	}
}

// reachableAddrs returns the addresses of the other members that are alive or suspect.
func (g *Gossip) reachableAddrs() (addrs []string) {
	g.View(func(s *swim.Swim) { addrs = otherAddrs(s) })
	return addrs
}

func otherAddrs(s *swim.Swim) (addrs []string) {
	for _, m := range s.Members() {
		if m.State <= swim.Suspect && m.Name != s.Self() {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// nextFacts drops expired facts and returns those to send next.
func (g *Gossip) nextFacts() []observations.Fact {
	g.facts.mu.Lock()
	defer g.facts.mu.Unlock()
	g.facts.table.Expire(g.Elapsed())
	return g.facts.table.Facts(g.Elapsed(), factBatch)
}

// receiveFacts merges the facts of a packet.
func (g *Gossip) receiveFacts(plain []byte) error {
	facts, err := DecodeFacts(plain)
	if err != nil {
		return err
	}
	g.facts.mu.Lock()
	defer g.facts.mu.Unlock()
	for _, f := range facts {
		switch err := g.facts.table.Merge(g.Elapsed(), time.Now(), f); {
		case err == nil:
			g.Facts.Accepted.Add(1)
		case errors.Is(err, observations.ErrKnown):
			g.Facts.Known.Add(1)
		default:
			g.Facts.Rejected.Add(1)
		}
	}
	return nil
}

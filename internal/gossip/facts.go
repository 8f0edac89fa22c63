package gossip

// This file owns what the talk carries of learned state: facts go to a few others each period, beside the probes, and what comes is
// handed to internal/observations, which decides. It must never hold the table's lock while it sends, nor believe a length before it was
// checked.

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"gullfall/internal/observations"
	"gullfall/internal/swim"
)

const (
	kindFacts = 0x40 // beside the kinds of swim
	maxFactBytes = 1100 // bytes of them in a packet
	factFanout    = 2    // others in a period
)

func appendFact(b []byte, f *observations.Fact) []byte {
	b = appendText(append(b, byte(f.Field)), f.Node)
	b = binary.AppendUvarint(b, uint64(f.Stamp.At))
	b = binary.AppendUvarint(b, uint64(f.Stamp.N))
	b = appendText(b, f.Stamp.By)
	b = binary.AppendUvarint(b, uint64((f.Age+time.Millisecond-1)/time.Millisecond)) // never younger than it is
	return binary.BigEndian.AppendUint32(b, math.Float32bits(float32(f.Value)))
}

// AppendFacts encodes as many facts as a packet holds, and tells how many.
func AppendFacts(b []byte, facts []observations.Fact) ([]byte, int) {
	var body []byte
	n := 0
	for i := range facts {
		next := appendFact(body, &facts[i])
		if len(next) > maxFactBytes {
			break
		}
		body, n = next, n+1
	}
	b = binary.AppendUvarint(append(b, kindFacts), uint64(n))
	return append(b, body...), n
}

// DecodeFacts reads an opened packet of facts. Whether each can be one is internal/observations's to say.
func DecodeFacts(b []byte) (facts []observations.Fact, err error) {
	r := &decoder{rest: b}
	if r.readByte() != kindFacts {
		return nil, errMalformed
	}
	for range r.count(10) {
		f := observations.Fact{Field: observations.Field(r.readByte()), Node: r.text()}
		at, n := r.uvarint(), r.uvarint()
		f.Stamp = observations.Stamp{At: int64(at), N: uint32(n), By: r.text()}
		age := r.uvarint()
		f.Age = time.Duration(age) * time.Millisecond
		if raw := r.readBytes(4); raw != nil {
			f.Value = float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))
		}
		r.failed = r.failed || at > math.MaxInt64 || n > math.MaxUint32 || age > math.MaxInt32
		facts = append(facts, f)
	}
	if r.failed || len(r.rest) > 0 {
		return nil, errMalformed
	}
	return facts, nil
}

// Observe takes in what this coordinator has seen of a data node.
func (g *Gossip) Observe(node string, f observations.Field, value float64) {
	g.facts.Lock()
	defer g.facts.Unlock()
	g.learned.Observe(g.Since(), time.Now(), node, f, value)
}

// ObserveStart takes in that a data node started some time ago.
func (g *Gossip) ObserveStart(node string, ago time.Duration) {
	g.facts.Lock()
	defer g.facts.Unlock()
	g.learned.ObserveStart(g.Since(), time.Now(), node, ago)
}

// Observations is what is held of a data node by all that was told.
func (g *Gossip) Observations(node string) observations.View {
	g.facts.Lock()
	defer g.facts.Unlock()
	return g.learned.Of(g.Since(), node)
}

// AllObservations is what is held of each data node.
func (g *Gossip) AllObservations() map[string]observations.View {
	g.facts.Lock()
	defer g.facts.Unlock()
	return g.learned.All(g.Since())
}

// tellFacts passes facts on, once a period.
func (g *Gossip) gossipFacts(period time.Duration) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		var to []string
		g.View(func(s *swim.Swim) {
			for _, m := range s.Members() {
				if m.State <= swim.Suspect && m.Name != g.opts.Swim.Self {
					to = append(to, m.Addr)
				}
			}
		})
		if len(to) == 0 {
			continue
		}
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		g.facts.Lock()
		g.learned.Step(g.Since())
		facts := g.learned.Facts(g.Since(), maxFactBytes/20)
		g.facts.Unlock()
		if len(facts) == 0 {
			continue
		}
		body, _ := AppendFacts(nil, facts) // what does not fit is told a period later, by how often it was told
		for _, addr := range to[:min(len(to), factFanout)] {
			g.sendRaw(addr, body)
		}
	}
}

// takeFacts hands over what came.
func (g *Gossip) receiveFacts(plain []byte) error {
	facts, err := DecodeFacts(plain)
	if err != nil {
		return err
	}
	g.facts.Lock()
	defer g.facts.Unlock()
	for _, f := range facts {
		switch err := g.learned.Merge(g.Since(), time.Now(), f); err {
		case nil:
			g.Facts.Taken.Add(1)
		case observations.ErrKnown:
			g.Facts.Known.Add(1)
		default:
			g.Facts.Refused.Add(1)
		}
	}
	return nil
}

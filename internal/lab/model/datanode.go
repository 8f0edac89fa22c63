package model

import (
	"slices"
	"time"

	"gullfall/aggregator"
)

type dataNode struct {
	id      string
	zone    string
	cell    int
	started time.Duration // 0 for long ago
	state   aggregator.State
	lost    bool
	silent  bool
	fallen  bool
	busy    int
	queue   []*job
	lately  []arrival // of the last second
	outs    []*attempt
	life    int // how often it was lost
}

type arrival struct {
	at   time.Duration
	work float64
}

type job struct {
	a    *attempt
	work time.Duration
	off  bool // given up
}

// capacity is the share of its speed that a data node has by now.
func (n *dataNode) capacity(now time.Duration) float64 {
	if n.started == 0 {
		return 1
	}
	return min(1, cold+(1-cold)*float64(now-n.started)/float64(warm))
}

// take begins a part, or lets it wait; a cold data node that is sent too much falls over.
func (n *dataNode) take(m *Model, j *job) {
	k := j.a.c
	switch {
	case n.lost && n.silent:
		return
	case n.lost || n.fallen:
		m.after(m.c.Way, func() { k.ended(j.a, aggregator.ConnectFailed) })
		return
	}
	if n.started > 0 && m.now < n.started+warm {
		n.lately = slices.DeleteFunc(n.lately, func(a arrival) bool { return a.at < m.now-time.Second })
		n.lately = append(n.lately, arrival{m.now, j.work.Seconds()})
		sum := 0.0
		for _, a := range n.lately {
			sum += a.work
		}
		if sum > falls*n.capacity(m.now)*float64(m.c.Cores) {
			m.figures.Fell++
			m.refuse(n)
			n.fallen = true
			return
		}
	}
	n.queue = append(n.queue, j)
	n.next(m)
}

// next begins what waits while a core is free.
func (n *dataNode) next(m *Model) {
	for n.busy < m.c.Cores && len(n.queue) > 0 {
		j := n.queue[0]
		if n.queue = n.queue[1:]; j.off {
			continue
		}
		n.busy++
		life := n.life
		m.after(time.Duration(float64(j.work)/n.capacity(m.now)), func() {
			if n.life != life {
				return
			}
			n.busy--
			if !j.off {
				m.after(m.c.Way, func() { j.a.c.ended(j.a, aggregator.OK) })
			}
			n.next(m)
		})
	}
}

// shutDown ends all work of a data node without a word to those who wait for it: what runs there and what is sent there is lost.
func (n *dataNode) shutDown() {
	n.lost, n.silent = true, true
	for _, j := range n.queue {
		j.off = true
	}
	n.outs = nil
	n.life++
	n.queue, n.busy = nil, 0
}

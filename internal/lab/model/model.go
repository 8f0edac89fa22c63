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

	"gullfall/aggregator"
	"gullfall/internal/lab/virtualtime"
	"gullfall/internal/observations"
	"gullfall/internal/zones"
)

// Config is a fleet and its day.
type Config struct {
	Coordinators int
	Zones        []string
	PerZone      int           // data nodes
	Cores        int           // of each
	Rate         float64       // queries a second at each coordinator
	Parts        int           // of a query; shards are as many as cells
	Work         time.Duration // of a part, at the median
	Way          time.Duration // one way between any two
	ListLag      time.Duration // until a change of the list is heard
	For          time.Duration
	Seed         uint64

	Verdicts bool // zones are left as a whole
	Share    bool // coordinators tell each other what they learn, each Period
	Period   time.Duration

	Faults []Fault
}

// Fault is what befalls the fleet.
type Fault struct {
	At, Until time.Duration
	Zone      string // is lost; it comes back cold
	Silent    bool   // what is sent there is lost, else refused
	Node      int    // without a zone: this data node drains, and a cold one is in its place at Until
	Restart   int    // above 0: coordinator Restart-1 starts anew at At and knows nothing but the list
}

// Figures are what came of a day.
type Figures struct {
	Asked    int       `json:"asked"`
	Served   float64   `json:"served"`    // share of queries answered whole within their aim
	Late     int       `json:"late"`      // answered whole, later
	Refused  int       `json:"refused"`   // or failed, or answered in part
	Lost     int       `json:"lost"`      // no final answer in its time
	Fell     int       `json:"fell"`      // cold data nodes pushed over
	Gone     int       `json:"gone"`      // attempts at what was lost
	After    int       `json:"after"`     // sent to a data node later than the grace after its drain was heard
	Twins    int       `json:"twins"`     // attempts of one part out together
	Over     []float64 `json:"over_time"` // Served by each half second of arrival
	Attempts float64   `json:"attempts"`  // sent for each query
}

const (
	tick  = 10 * time.Millisecond
	aim   = time.Second
	limit = 2 * time.Second
	grace = 2 * time.Second
	warm  = 8 * time.Second
	cold  = 0.25 // share of its capacity with which a data node starts
	falls = 2.5  // times of what it can do, for a second: then it falls over
	slice = 500 * time.Millisecond
)

// settings are what all coordinators are told.
func (c *Config) settings() aggregator.Settings {
	return aggregator.Settings{Aggregators: c.Coordinators, Tick: tick, ShardSets: c.PerZone, Shards: c.PerZone, Reach: 1,
		Classes: []aggregator.Class{{Name: "lookup", LatencyObjective: aim, Deadline: limit, Priority: 1, LateShare: 0.3, CompleteShare: 1, MinShare: 1}},
		Rules:   aggregator.Rules{DrainGrace: grace, OverloadMultiple: falls, OverloadWindow: time.Second, InitialCapacity: cold, WarmupTime: warm},
		Limits:  aggregator.Limits{MaxAttempts: 3, MaxBatch: 1, CanCancel: true, Probes: true, SendRetryAfter: true, MaxRetryAfter: 2 * time.Second}}
}

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

// capacity is the share of its speed that a data node has by now.
func (n *dataNode) capacity(now time.Duration) float64 {
	if n.started == 0 {
		return 1
	}
	return min(1, cold+(1-cold)*float64(now-n.started)/float64(warm))
}

type job struct {
	a    *attempt
	work time.Duration
	off  bool // given up
}

type attempt struct {
	c      *coordinator
	part   *part
	number int
	node   *dataNode
	begun  time.Duration
	over   bool
	job    *job
}

type part struct {
	id    string
	q     *query
	work  time.Duration
	tries []*attempt
}

type query struct {
	id      string
	arrived time.Duration
	over    bool
}

type coordinator struct {
	m       *Model
	index   int
	life    int // how often it was started
	agg     *aggregator.Aggregator
	zones   *zones.Tracker
	learned *observations.Table
	since   time.Duration
	inbox   []aggregator.Event
	due     time.Duration // of the next turn; below 0 for none
	last    time.Duration
	parts   map[string]*part
	queries map[string]*query
	heard   map[string]time.Duration // by data node: its last answer
	drained map[string]time.Duration // and when a drain of it was heard
}

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

// begin and end carry a fault out.
func (m *Model) begin(f Fault) {
	switch {
	case f.Restart > 0:
		k := m.coords[f.Restart-1]
		k.life++
		m.figures.Refused += len(k.queries) // they died with it
		if err := k.start(); err != nil {
			panic(err) // the same settings were taken before
		}
	case f.Zone != "":
		for _, n := range m.nodes {
			switch {
			case n.zone != f.Zone:
			case f.Silent:
				n.shutDown()
			default:
				m.refuse(n)
			}
		}
	default:
		n := m.nodes[f.Node]
		n.state = aggregator.Draining
		m.listed(n)
	}
}

func (m *Model) end(f Fault) {
	if f.Zone != "" {
		for _, n := range m.nodes {
			if n.zone == f.Zone {
				n.lost, n.fallen, n.started, n.lately = false, false, m.now, nil
				m.listed(n)
			}
		}
		return
	}
	if f.Restart > 0 {
		return
	}
	n := m.nodes[f.Node]
	m.refuse(n)
	n.state = aggregator.Gone
	m.listed(n)
	next := &dataNode{id: n.id + "'", zone: n.zone, cell: n.cell, started: m.now}
	m.nodes = append(m.nodes, next)
	m.listed(next)
}

// refuse ends a data node's process: what runs there is reset and what is sent there is refused.
func (m *Model) refuse(n *dataNode) {
	for _, a := range n.outs {
		if !a.over {
			m.after(m.c.Way, func() { a.c.ended(a, aggregator.Reset) })
		}
	}
	n.shutDown()
	n.silent = false
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

// listed tells all coordinators of a change, each when it hears of it.
func (m *Model) listed(n *dataNode) {
	state, started := n.state, n.started
	for _, k := range m.coords {
		m.after(time.Duration(float64(m.c.ListLag)*(0.5+m.rng.Float64())), func() {
			if state == aggregator.Draining {
				if _, known := k.drained[n.id]; !known {
					k.drained[n.id] = m.now
				}
			}
			k.put(aggregator.Event{Kind: aggregator.ListChanged, Members: []aggregator.Member{k.member(n, state, started)}})
			if k.zones != nil {
				k.zones.List(k.wall(), k.m.serving())
			}
			if k.learned != nil && state == aggregator.Serving && started > 0 {
				m.checkFact(k.learned.ObserveStart(m.now, k.wall(), n.id, m.now-started))
			}
		})
	}
}

func (m *Model) serving() map[string]string {
	list := map[string]string{}
	for _, n := range m.nodes {
		if n.state == aggregator.Serving {
			list[n.id] = n.zone
		}
	}
	return list
}

// arrive lets a query come, and the next one after it.
func (m *Model) arrive(k *coordinator) {
	m.after(time.Duration(m.rng.ExpFloat64()/m.c.Rate*float64(time.Second)), func() {
		if m.elapsed() < m.c.For {
			k.ask()
			m.arrive(k)
		}
	})
}

// Package gossip is the transport between coordinators: sealed packets for internal/swim and internal/observations over UDP,
// and exchanges of the full state over TCP, both on one loopback address. docs/formats/gossip.md describes the encoding byte by
// byte. The package makes no membership decisions: one goroutine steps internal/swim and never blocks on a peer, and everything
// the other goroutines do has a deadline and a bound.
package gossip

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gullfall/internal/observations"
	"gullfall/internal/swim"
)

const (
	maxPacketBytes     = 1400 // including the seal
	maxExchangeBytes   = 4 << 20
	maxExchanges       = 8    // open at the same time in each direction
	maxQueuedInputs    = 1024 // inputs waiting for a step
	maxStepInputs      = 64   // inputs applied by one step
	messageHeaderBytes = 300  // of a packet, in addition to its updates
)

// Options are the parameters of Start.
type Options struct {
	Swim  swim.Config
	Fleet string // name of the fleet; packets of other fleets are rejected
	Keys  []Key  // the first one seals, all of them open
	// Routes maps addresses of members to the addresses by which they are reached from here, for example through a tunnel.
	Routes     map[string]string
	WarmupTime time.Duration // warm-up time of a data node
	Log        *slog.Logger
	// Changed is called for each change, in order, from the goroutine that steps internal/swim; it must not block. It may be nil.
	Changed func(swim.Change)
	// SaveAddrs receives the addresses of the members that are alive or suspect, as seeds for a later start. It may be nil.
	SaveAddrs func(addrs []string)
}

// Gossip is the gossip endpoint of one coordinator. Close releases its sockets and goroutines.
type Gossip struct {
	opts       Options
	keys       *keyring
	swim       *swim.Swim // owned by the goroutine run
	started    time.Time
	inputs     chan input // consumed by run
	packetConn net.PacketConn
	listener   net.Listener
	slots      exchangeSlots
	changes    changeLog // owned by the goroutine run
	facts      sharedFacts

	ctx  context.Context // cancelled by Close
	stop context.CancelFunc
	wg   sync.WaitGroup

	Drops   Drops
	Traffic Traffic
	Facts   FactCounts
}

// Drops counts discarded packets and exchanges: sealed with an unknown key, of another version, replayed, malformed, or received
// while the queue was full. Malformed also counts failed reads and packets that are oversized, or not sent because the address
// does not resolve or is not a loopback address.
type Drops struct{ Unauthenticated, Version, Replay, Malformed, QueueFull atomic.Int64 }

// Traffic counts packets and bytes that were sent and received.
type Traffic struct{ PacketsOut, PacketsIn, BytesOut, BytesIn atomic.Int64 }

// input is work for the goroutine run: an event, with a reply channel if it is an exchange that a peer began, or a view.
type input struct {
	event swim.Event
	reply chan *swim.FullState
	view  func(*swim.Swim)
	done  chan struct{} // closed after the view
}

// Start listens and begins to join the other coordinators.
func Start(o Options) (*Gossip, error) {
	g := &Gossip{
		opts:    o,
		started: time.Now(),
		inputs:  make(chan input, maxQueuedInputs),
		slots:   exchangeSlots{outgoing: make(chan struct{}, maxExchanges), incoming: make(chan struct{}, maxExchanges)},
		changes: newChangeLog(o.Log),
	}
	var err error
	if g.keys, err = newKeyring(o.Fleet, o.Swim.Process, o.Keys); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	o.Swim.MaxUpdateBytes = maxPacketBytes - sealOverhead - messageHeaderBytes
	if g.swim, err = swim.New(o.Swim, 0); err != nil {
		return nil, err
	}
	if g.facts.table, err = observations.New(observations.Config{Self: o.Swim.Self, WarmupTime: o.WarmupTime}); err != nil {
		return nil, err
	}
	if err := g.listen(o.Swim.Addr); err != nil {
		return nil, err
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.wg.Go(g.run)
	g.wg.Go(g.readPackets)
	g.wg.Go(g.serveExchanges)
	g.wg.Go(func() { g.gossipFacts(max(o.Swim.Period, minFactsPeriod)) })
	return g, nil
}

func (g *Gossip) listen(addr string) (err error) {
	if g.packetConn, err = net.ListenPacket("udp", addr); err != nil {
		return fmt.Errorf("peers.listen: %w", err)
	}
	if g.listener, err = net.Listen("tcp", addr); err != nil {
		_ = g.packetConn.Close()
		return fmt.Errorf("peers.listen: %w", err)
	}
	return nil
}

// Close stops without announcing it; see Leave.
func (g *Gossip) Close() {
	g.stop()
	_ = g.packetConn.Close()
	_ = g.listener.Close()
	g.wg.Wait()
}

// Leave announces the departure to some members; the others learn of it from them within a few periods.
func (g *Gossip) Leave() {
	g.enqueue(input{event: swim.Event{Leave: true}})
}

// Forget removes a dead member that an operator declares permanently gone.
func (g *Gossip) Forget(name string) { g.enqueue(input{event: swim.Event{MarkGone: name}}) }

// SetKeys replaces the keys: the first one seals, all of them open.
func (g *Gossip) SetKeys(keys []Key) error { return g.keys.set(keys) }

// View calls f with the state between two steps. It returns false after Close.
func (g *Gossip) View(f func(*swim.Swim)) bool {
	done := make(chan struct{})
	select {
	case g.inputs <- input{view: f, done: done}:
	case <-g.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-g.ctx.Done():
		return false
	}
}

// Elapsed returns the time since Start, which is the clock of the state that View shows.
func (g *Gossip) Elapsed() time.Duration { return time.Since(g.started) }

// enqueue queues an input for the goroutine run, and blocks while the queue is full.
func (g *Gossip) enqueue(in input) {
	select {
	case g.inputs <- in:
	case <-g.ctx.Done():
	}
}

// run steps internal/swim until Close.
func (g *Gossip) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []input
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		case in := <-g.inputs:
			batch = append(batch, in)
		}
		g.step(g.appendQueued(batch))
		timer.Reset(g.swim.NextWake() - g.Elapsed())
	}
}

// appendQueued adds the inputs that are already queued to a batch.
func (g *Gossip) appendQueued(batch []input) []input {
	for len(batch) < maxStepInputs {
		select {
		case in := <-g.inputs:
			batch = append(batch, in)
		default:
			return batch
		}
	}
	return batch
}

// step applies a batch. Views and exchanges see the effects of all earlier inputs.
func (g *Gossip) step(batch []input) {
	var events []swim.Event
	flush := func() {
		g.perform(g.swim.Step(g.Elapsed(), events...), nil)
		events = nil
	}
	for _, in := range batch {
		switch {
		case in.view != nil:
			flush()
			in.view(g.swim)
			close(in.done)
		case in.reply != nil:
			flush()
			g.perform(g.swim.Step(g.Elapsed(), in.event), in.reply)
		default:
			events = append(events, in.event)
		}
	}
	flush()
}

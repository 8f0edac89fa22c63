// Package gossip carries what coordinators tell each other: sealed packets for internal/swim and internal/observations over
// UDP, and exchanges of the full state over TCP, both on one loopback address. docs/formats/gossip.md describes the encoding
// byte by byte. It decides nothing about members: one goroutine steps internal/swim, is never blocked by a peer, and all
// that others do has a deadline and a bound.
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
	maxPacketBytes   = 1400 // its seal included
	maxExchangeBytes = 4 << 20
	maxExchanges     = 8    // open at once, each way
	maxQueuedInputs  = 1024 // that wait for a step
	maxStepInputs    = 64   // taken in by one step
	messageHeadBytes = 300  // of a packet, beside its updates
)

// Options are what Start needs.
type Options struct {
	Swim  swim.Config
	Fleet string // its name: packets of another fleet are not opened
	Keys  []Key  // the first seals, all open
	// Routes are addresses of members that are reached by another from here, as through a tunnel.
	Routes     map[string]string
	WarmupTime time.Duration // of a data node
	Log        *slog.Logger
	// Changed is called for each change, in order, from the goroutine that steps; it must not block. It may be nil.
	Changed func(swim.Change)
	// SaveAddrs gets the addresses of the members that are there, as seeds for a later start. It may be nil.
	SaveAddrs func(addrs []string)
}

// Gossip is one coordinator's part. Close gives back its sockets and goroutines.
type Gossip struct {
	opts       Options
	keys       *keyring
	swim       *swim.Swim // of the goroutine run
	started    time.Time
	inputs     chan input // for run
	packetConn net.PacketConn
	listener   net.Listener
	slots      exchangeSlots
	changes    changeLog // of the goroutine run
	facts      sharedFacts

	ctx  context.Context // ends with Close
	stop context.CancelFunc
	wg   sync.WaitGroup

	Drops   Drops
	Traffic Traffic
	Facts   FactCounts
}

// Drops counts what came in and was not used: of another key, version, or process; repeated; malformed; or while the queue
// was full.
type Drops struct{ Seal, Version, Replay, Form, Full atomic.Int64 }

// Traffic counts bytes and packets.
type Traffic struct{ PacketsOut, PacketsIn, BytesOut, BytesIn atomic.Int64 }

// input is one thing for the goroutine that steps: an event, with the channel for its answer where it is an exchange that
// another has begun, or a view.
type input struct {
	event swim.Event
	reply chan *swim.FullState
	view  func(*swim.Swim)
	done  chan struct{} // closed after the view
}

// Start listens and begins to join.
func Start(o Options) (*Gossip, error) {
	g := &Gossip{
		opts:    o,
		started: time.Now(),
		inputs:  make(chan input, maxQueuedInputs),
		slots:   exchangeSlots{begun: make(chan struct{}, maxExchanges), served: make(chan struct{}, maxExchanges)},
		changes: newChangeLog(o.Log),
	}
	var err error
	if g.keys, err = newKeyring(o.Fleet, o.Swim.Process, o.Keys); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	o.Swim.MaxUpdateBytes = maxPacketBytes - sealOverhead - messageHeadBytes
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

// Close ends without a goodbye; see Leave.
func (g *Gossip) Close() {
	g.stop()
	_ = g.packetConn.Close()
	_ = g.listener.Close()
	g.wg.Wait()
}

// Leave says goodbye to some members; the others learn of it from them within some periods.
func (g *Gossip) Leave() {
	g.put(input{event: swim.Event{Leave: true}})
}

// Forget is an operator's word that a dead member is gone for good.
func (g *Gossip) Forget(name string) { g.put(input{event: swim.Event{MarkGone: name}}) }

// SetKeys replaces the keys: the first seals, all open.
func (g *Gossip) SetKeys(keys []Key) error { return g.keys.set(keys) }

// View lets f read the state, between two steps. It returns false after Close.
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

// Since is the time since Start: the clock of what View shows.
func (g *Gossip) Since() time.Duration { return time.Since(g.started) }

// put queues an input for the goroutine that steps, and waits for a place.
func (g *Gossip) put(in input) {
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
		g.step(g.moreInputs(batch))
		timer.Reset(g.swim.NextWake() - g.Since())
	}
}

// moreInputs adds to a batch what is queued already.
func (g *Gossip) moreInputs(batch []input) []input {
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

// step applies a batch. Views and exchanges see what came before them.
func (g *Gossip) step(batch []input) {
	var events []swim.Event
	flush := func() {
		g.perform(g.swim.Step(g.Since(), events...), nil)
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
			g.perform(g.swim.Step(g.Since(), in.event), in.reply)
		default:
			events = append(events, in.event)
		}
	}
	flush()
}

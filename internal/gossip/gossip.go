package gossip

// This file owns the sockets and the one goroutine that steps the decisions. Deadlines are absolute. It must never
// block that goroutine on a peer, hold more than a bounded number of exchanges, or listen outside its one address.

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"gullfall/internal/observations"
	"gullfall/internal/swim"
)

const (
	maxPacketBytes    = 1400    // bytes of a packet, its seal included
	maxExchangeBytes  = 4 << 20 // and of an exchange
	maxExchanges = 8       // that are open at once, each way
	maxQueuedInputs        = 1024    // packets that wait for their turn
)

// Options are what the talk is started with.
type Options struct {
	Swim  swim.Config
	Fleet string
	Keys  []Key
	// Routes are addresses of members that are reached by another from here, as through a tunnel.
	Routes     map[string]string
	WarmupTime time.Duration // that a cold data node needs
	Log        *slog.Logger
	// Changed is called for each change, in order, from the goroutine that decides; it must not block. It may be nil.
	Changed func(swim.Change)
	// Keep takes in the addresses of those that are there, as seeds for a later start. It may be nil.
	SaveAddrs func(addrs []string)
}

// Gossip is one coordinator's part in the talk.
type Gossip struct {
	opts       Options
	keys    *keyring
	swim       *swim.Swim
	started   time.Time
	packetConn      net.PacketConn
	listener      net.Listener
	inputs      chan input
	places  chan struct{} // exchanges that we have begun
	served  chan struct{} // and that others have
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	limit   *rate.Limiter
	untold  int
	refused string
	Drops   Drops
	Traffic Traffic
	Facts   FactCounts

	facts   sync.Mutex // guards learned
	learned *observations.Table
}

// FactCounts counts the facts that others told: taken, known already, and refused.
type FactCounts struct{ Taken, Known, Refused atomic.Int64 }

// Drops counts what came in and was not used.
type Drops struct{ Seal, Version, Replay, Form, Full atomic.Int64 }

// Traffic counts bytes and packets.
type Traffic struct{ PacketsOut, PacketsIn, BytesOut, BytesIn atomic.Int64 }

// input is what the deciding goroutine takes in; one field is set.
type input struct {
	event swim.Event
	reply chan *swim.Full // the answer to an exchange that another has begun
	view  func(*swim.Swim)
	done  chan struct{}
}

// Start listens and begins to join. The listener is given back by Close.
func Start(o Options) (*Gossip, error) {
	g := &Gossip{opts: o, started: time.Now(), inputs: make(chan input, maxQueuedInputs), places: make(chan struct{}, maxExchanges),
		served: make(chan struct{}, maxExchanges), limit: rate.NewLimiter(10, 40)}
	var err error
	if g.keys, err = newKeyring(o.Fleet, o.Swim.Process, o.Keys); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	o.Swim.MaxUpdateBytes = maxPacketBytes - sealOverhead - 300 // beside the head of a message
	if g.swim, err = swim.New(o.Swim, 0); err != nil {
		return nil, err
	}
	if g.learned, err = observations.New(observations.Config{Self: o.Swim.Self, Warm: o.WarmupTime}); err != nil {
		return nil, err
	}
	if g.packetConn, err = net.ListenPacket("udp", o.Swim.Addr); err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	if g.listener, err = net.Listen("tcp", o.Swim.Addr); err != nil {
		g.packetConn.Close()
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.wg.Go(g.run)
	g.wg.Go(g.readPackets)
	g.wg.Go(g.serveExchanges)
	g.wg.Go(func() { g.gossipFacts(max(o.Swim.Period, 50*time.Millisecond)) })
	return g, nil
}

// Close ends the talk without a goodbye; see Leave.
func (g *Gossip) Close() {
	g.stop()
	g.packetConn.Close()
	g.listener.Close()
	g.wg.Wait()
}

// Leave says goodbye; the others hear of it within some periods, by those that are told now.
func (g *Gossip) Leave() {
	g.put(input{event: swim.Event{Leave: true}})
}

// Forget is an operator's word that a dead member is gone for good.
func (g *Gossip) Forget(name string) { g.put(input{event: swim.Event{Forget: name}}) }

// SetKeys replaces the keys: the first seals, all open.
func (g *Gossip) SetKeys(keys []Key) error { return g.keys.set(keys) }

// View lets f read the view, between two steps. It returns false where the talk has ended.
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

// Since is how long the talk runs: the clock of what Look shows.
func (g *Gossip) Since() time.Duration { return time.Since(g.started) }

func (g *Gossip) put(in input) {
	select {
	case g.inputs <- in:
	case <-g.ctx.Done():
	}
}

// run steps the decisions.
func (g *Gossip) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ins []input
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		case in := <-g.inputs:
			ins = append(ins, in)
		}
		for more := true; more && len(ins) < 64; {
			select {
			case in := <-g.inputs:
				ins = append(ins, in)
			default:
				more = false
			}
		}
		var events []swim.Event
		step := func() {
			g.perform(g.swim.Step(g.Since(), events...), nil)
			events = nil
		}
		for _, in := range ins {
			switch {
			case in.view != nil:
				step()
				in.view(g.swim)
				close(in.done)
			case in.reply != nil:
				step()
				g.perform(g.swim.Step(g.Since(), in.event), in.reply)
			default:
				events = append(events, in.event)
			}
		}
		step()
		timer.Reset(g.swim.Next() - g.Since())
	}
}

// do carries out what was decided.
func (g *Gossip) perform(actions []swim.Action, reply chan *swim.Full) {
	moved := false
	for _, a := range actions {
		switch {
		case a.Packet != nil:
			g.send(a.To, a.Packet)
		case a.Full != nil && a.Full.Reply:
			if reply != nil {
				select {
				case reply <- a.Full:
				default:
				}
			}
		case a.Full != nil:
			g.exchangeWith(a.To, a.Full)
		case a.Change != nil:
			moved = moved || a.Change.Name != "" && a.Change.LinkFrom == ""
			g.logChange(*a.Change)
		}
	}
	if why := g.swim.Rejection(); why != g.refused {
		if g.refused = why; why != "" {
			g.opts.Log.Error("refused by the other coordinators", "why", why)
		} else {
			g.opts.Log.Info("no longer refused by the other coordinators")
		}
	}
	if moved && g.opts.SaveAddrs != nil {
		var addrs []string
		for _, m := range g.swim.Members() {
			if m.State <= swim.Suspect && m.Name != g.opts.Swim.Self {
				addrs = append(addrs, m.Addr)
			}
		}
		g.opts.SaveAddrs(addrs)
	}
}

// tell logs a change, limited in rate, and passes it on.
func (g *Gossip) logChange(c swim.Change) {
	if g.opts.Changed != nil {
		g.opts.Changed(c)
	}
	if !g.limit.Allow() {
		g.untold++
		return
	}
	level, msg := slog.LevelInfo, ""
	args := []any{}
	switch {
	case c.Name == "":
		if msg = "coordinators are " + c.Quorum.Kind.String(); c.Quorum.Kind != swim.Connected {
			level = slog.LevelWarn
		}
		args = append(args, "here", c.Quorum.Here, "known", c.Quorum.Known, "majority", c.Quorum.Majority)
	case c.LinkFrom != "":
		if msg = "coordinators reach each other again"; c.Cut {
			msg, level = "coordinators do not reach each other", slog.LevelWarn
		}
		args = append(args, "from", c.LinkFrom, "to", c.Name, "why", c.Why)
	default:
		if msg = "coordinator " + c.State.String(); c.State == swim.Dead {
			level = slog.LevelWarn
		}
		args = append(args, "name", c.Name, "was", c.Was.String(), "why", c.Why)
		if c.New {
			args[3] = "new"
		}
	}
	if g.untold > 0 {
		args = append(args, "untold", g.untold)
		g.untold = 0
	}
	g.opts.Log.Log(g.ctx, level, msg, args...)
}

// route is the address by which a member's is reached from here.
func (g *Gossip) route(addr string) string {
	if via, ok := g.opts.Routes[addr]; ok {
		return via
	}
	return addr
}

func (g *Gossip) send(to string, m *swim.Message) { g.sendRaw(to, AppendMessage(nil, m)) }

// sendRaw seals and sends a packet.
func (g *Gossip) sendRaw(to string, plain []byte) {
	raw := g.keys.seal(plain)
	addr, err := net.ResolveUDPAddr("udp", g.route(to))
	if err != nil || !addr.IP.IsLoopback() || len(raw) > maxPacketBytes {
		g.Drops.Form.Add(1)
		return
	}
	if _, err := g.packetConn.WriteTo(raw, addr); err == nil { // what can't be sent is lost, as packets are
		g.Traffic.PacketsOut.Add(1)
		g.Traffic.BytesOut.Add(int64(len(raw)))
	}
}

// packets reads what comes by UDP.
func (g *Gossip) readPackets() {
	buf := make([]byte, maxPacketBytes+1)
	for {
		n, _, err := g.packetConn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil || n > maxPacketBytes {
			g.Drops.Form.Add(1)
			continue
		}
		g.Traffic.PacketsIn.Add(1)
		g.Traffic.BytesIn.Add(int64(n))
		m, _ := g.decode(buf[:n])
		if m == nil {
			continue
		}
		select {
		case g.inputs <- input{event: swim.Event{Packet: m}}:
		default:
			g.Drops.Full.Add(1) // as a socket's buffer drops
		}
	}
}

// decode opens what came in, and counts what is of no use.
func (g *Gossip) decode(raw []byte) (m *swim.Message, f *swim.Full) {
	plain, err := g.keys.open(raw)
	switch {
	case err != nil:
	case len(plain) > 0 && plain[0] == kindFacts:
		err = g.receiveFacts(plain)
	default:
		m, f, err = Decode(plain)
	}
	switch {
	case err == nil:
	case errors.Is(err, errVersion):
		g.Drops.Version.Add(1)
	case errors.Is(err, errReplay):
		g.Drops.Replay.Add(1)
	case errors.Is(err, errSeal):
		g.Drops.Seal.Add(1)
	default:
		g.Drops.Form.Add(1)
	}
	return m, f
}

// begin exchanges all that is known with another; where as many are open as may be, a later one does.
func (g *Gossip) exchangeWith(to string, f *swim.Full) {
	select {
	case g.places <- struct{}{}:
	default:
		return
	}
	end := time.Now().Add(max(4*g.swim.ProbeTimeout(), time.Second))
	g.wg.Go(func() {
		defer func() { <-g.places }()
		ctx, cancel := context.WithDeadline(g.ctx, end)
		defer cancel()
		var d net.Dialer
		nc, err := d.DialContext(ctx, "tcp", g.route(to))
		if err != nil {
			return // the next one goes elsewhere
		}
		defer nc.Close()
		defer context.AfterFunc(ctx, func() { nc.Close() })()
		nc.SetDeadline(end)
		if g.writeFull(nc, f) != nil {
			return
		}
		if answer := g.readFull(nc); answer != nil {
			g.put(input{event: swim.Event{Full: answer}})
		}
	})
}

// accept serves the exchanges that others begin.
func (g *Gossip) serveExchanges() {
	for {
		nc, err := g.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		select {
		case g.served <- struct{}{}:
		default:
			nc.Close()
			continue
		}
		end := time.Now().Add(2 * time.Second)
		g.wg.Go(func() {
			defer func() { <-g.served }()
			defer nc.Close()
			defer context.AfterFunc(g.ctx, func() { nc.Close() })()
			nc.SetDeadline(end)
			f := g.readFull(nc)
			if f == nil || f.Reply {
				return
			}
			reply := make(chan *swim.Full, 1)
			g.put(input{event: swim.Event{Full: f}, reply: reply})
			select {
			case answer := <-reply:
				g.writeFull(nc, answer)
			case <-time.After(time.Until(end)):
			case <-g.ctx.Done():
			}
		})
	}
}

func (g *Gossip) writeFull(nc net.Conn, f *swim.Full) error {
	raw := g.keys.seal(AppendFull(nil, f))
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
	_, err := nc.Write(append(frame, raw...))
	g.Traffic.BytesOut.Add(int64(len(raw) + 4))
	return err
}

// readFull reads one exchange; nil for none that is of use.
func (g *Gossip) readFull(nc net.Conn) *swim.Full {
	in := bufio.NewReader(nc)
	var size uint32
	if binary.Read(in, binary.BigEndian, &size) != nil || size > maxExchangeBytes {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(in, int64(size))) // grows with what comes
	if err != nil || len(raw) < int(size) {
		return nil
	}
	g.Traffic.BytesIn.Add(int64(size) + 4)
	_, f := g.decode(raw)
	return f
}

package gossip

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"gullfall/internal/swim"
)

const (
	minExchangeTime = time.Second           // for an exchange begun here
	exchangeTimeout = 2 * time.Second       // for one that another has begun
	acceptBackoff   = 10 * time.Millisecond // after a failed accept, most often for want of descriptors
	frameHeadBytes  = 4                     // the length before an exchange
)

// exchangeSlots bound the exchanges that are open: a send takes a slot, a receive gives it back.
type exchangeSlots struct {
	begun  chan struct{}
	served chan struct{}
}

// exchangeWith exchanges the full state with another member. Where as many are open as may be, or it can't be reached, the
// next exchange makes up for it.
func (g *Gossip) exchangeWith(to string, f *swim.FullState) {
	select {
	case g.slots.begun <- struct{}{}:
	default:
		return
	}
	deadline := time.Now().Add(max(4*g.swim.ProbeTimeout(), minExchangeTime))
	g.wg.Go(func() {
		defer func() { <-g.slots.begun }()
		ctx, cancel := context.WithDeadline(g.ctx, deadline)
		defer cancel()
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", g.route(to))
		if err != nil {
			return
		}
		defer closeWith(ctx, conn, deadline)()
		if g.writeFull(conn, f) != nil {
			return
		}
		if answer := g.readFull(conn); answer != nil {
			g.put(input{event: swim.Event{Full: answer}})
		}
	})
}

// closeWith sets a connection's deadline and has it closed with the context. The function that it returns closes it.
func closeWith(ctx context.Context, conn net.Conn, deadline time.Time) func() {
	_ = conn.SetDeadline(deadline) // fails only on one that is closed
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() {
		stop()
		_ = conn.Close()
	}
}

// serveExchanges accepts the exchanges that others begin, until Close.
func (g *Gossip) serveExchanges() {
	for {
		conn, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		select {
		case g.slots.served <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		deadline := time.Now().Add(exchangeTimeout)
		g.wg.Go(func() {
			defer func() { <-g.slots.served }()
			g.serveExchange(conn, deadline)
		})
	}
}

// serveExchange reads another's full state and answers with this one's.
func (g *Gossip) serveExchange(conn net.Conn, deadline time.Time) {
	defer closeWith(g.ctx, conn, deadline)()
	f := g.readFull(conn)
	if f == nil || f.Reply {
		return
	}
	reply := make(chan *swim.FullState, 1)
	g.put(input{event: swim.Event{Full: f}, reply: reply})
	select {
	case answer := <-reply:
		_ = g.writeFull(conn, answer) // the other asks again with its next exchange
	case <-time.After(time.Until(deadline)):
	case <-g.ctx.Done():
	}
}

// writeFull writes a full state, sealed and with its length before it.
func (g *Gossip) writeFull(conn net.Conn, f *swim.FullState) error {
	raw := g.keys.seal(AppendFull(nil, f))
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
	_, err := conn.Write(append(frame, raw...))
	g.Traffic.BytesOut.Add(int64(len(raw) + frameHeadBytes))
	return err
}

// readFull reads one full state; nil for none that is of use. It allocates as bytes come, not by the length before them.
func (g *Gossip) readFull(conn net.Conn) *swim.FullState {
	in := bufio.NewReader(conn)
	var size uint32
	if binary.Read(in, binary.BigEndian, &size) != nil || size > maxExchangeBytes {
		return nil
	}
	raw, err := io.ReadAll(io.LimitReader(in, int64(size)))
	if err != nil || len(raw) < int(size) {
		return nil
	}
	g.Traffic.BytesIn.Add(int64(size) + frameHeadBytes)
	_, f := g.decode(raw)
	return f
}

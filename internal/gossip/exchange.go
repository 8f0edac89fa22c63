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
	minOutgoingTimeout = time.Second           // minimum timeout of an exchange begun here
	incomingTimeout    = 2 * time.Second       // timeout of an exchange that a peer began
	acceptBackoff      = 10 * time.Millisecond // after a failed accept, usually for lack of file descriptors
	frameHeaderBytes   = 4                     // length prefix of an exchange
)

// exchangeSlots bounds the open exchanges: sending to a channel takes a slot, receiving from it releases the slot.
type exchangeSlots struct {
	outgoing chan struct{}
	incoming chan struct{}
}

// exchangeWith exchanges the full state with another member. It gives up if too many exchanges are open or the member can't be
// reached; a later exchange makes up for it.
func (g *Gossip) exchangeWith(to string, f *swim.FullState) {
	select {
	case g.slots.outgoing <- struct{}{}:
	default:
		return
	}
	deadline := time.Now().Add(max(4*g.swim.ProbeTimeout(), minOutgoingTimeout))
	g.wg.Go(func() {
		defer func() { <-g.slots.outgoing }()
		ctx, cancel := context.WithDeadline(g.ctx, deadline)
		defer cancel()
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", g.route(to))
		if err != nil {
			return
		}
		defer closeOnDone(ctx, conn, deadline)()
		if g.writeFull(conn, f) != nil {
			return
		}
		if answer := g.readFull(conn); answer != nil {
			g.enqueue(input{event: swim.Event{Full: answer}})
		}
	})
}

// closeOnDone sets a connection's deadline and closes the connection when ctx ends. The returned function closes it earlier.
func closeOnDone(ctx context.Context, conn net.Conn, deadline time.Time) func() {
	_ = conn.SetDeadline(deadline) // fails only on a closed connection
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	return func() {
		stop()
		_ = conn.Close()
	}
}

// serveExchanges accepts the exchanges that peers begin, until Close.
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
		case g.slots.incoming <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		deadline := time.Now().Add(incomingTimeout)
		g.wg.Go(func() {
			defer func() { <-g.slots.incoming }()
			g.serveExchange(conn, deadline)
		})
	}
}

// serveExchange reads a peer's full state and answers with the local one.
func (g *Gossip) serveExchange(conn net.Conn, deadline time.Time) {
	defer closeOnDone(g.ctx, conn, deadline)()
	f := g.readFull(conn)
	if f == nil || f.Reply {
		return
	}
	reply := make(chan *swim.FullState, 1)
	g.enqueue(input{event: swim.Event{Full: f}, reply: reply})
	select {
	case answer := <-reply:
		_ = g.writeFull(conn, answer) // on failure the peer retries with its next exchange
	case <-time.After(time.Until(deadline)):
	case <-g.ctx.Done():
	}
}

// writeFull writes a full state, sealed and with a length prefix.
func (g *Gossip) writeFull(conn net.Conn, f *swim.FullState) error {
	raw := g.keys.seal(AppendFull(nil, f))
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(raw)))
	_, err := conn.Write(append(frame, raw...))
	g.Traffic.BytesOut.Add(int64(len(raw) + frameHeaderBytes))
	return err
}

// readFull reads one full state; it returns nil if there is no valid one. It allocates as bytes arrive, not by the length prefix.
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
	g.Traffic.BytesIn.Add(int64(size) + frameHeaderBytes)
	_, f := g.decode(raw)
	return f
}

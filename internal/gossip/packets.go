package gossip

import (
	"errors"
	"net"

	"gullfall/internal/swim"
)

// route returns the address by which a member's address is reached from here.
func (g *Gossip) route(addr string) string {
	if via, ok := g.opts.Routes[addr]; ok {
		return via
	}
	return addr
}

// sealAndSend seals a packet and sends it. A packet that can't be sent is dropped, like one lost on the network.
func (g *Gossip) sealAndSend(to string, plain []byte) {
	raw := g.keys.seal(plain)
	addr, err := net.ResolveUDPAddr("udp", g.route(to))
	if err != nil || !addr.IP.IsLoopback() || len(raw) > maxPacketBytes {
		g.Drops.Malformed.Add(1)
		return
	}
	if _, err := g.packetConn.WriteTo(raw, addr); err == nil {
		g.Traffic.PacketsOut.Add(1)
		g.Traffic.BytesOut.Add(int64(len(raw)))
	}
}

// readPackets reads UDP packets until Close.
func (g *Gossip) readPackets() {
	buf := make([]byte, maxPacketBytes+1)
	for {
		n, _, err := g.packetConn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maxPacketBytes {
			g.Drops.Malformed.Add(1)
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
			g.Drops.QueueFull.Add(1)
		}
	}
}

// decode opens a packet or exchange, merges its facts, and returns its message or full state. It counts input that it discards.
func (g *Gossip) decode(raw []byte) (m *swim.Message, f *swim.FullState) {
	plain, err := g.keys.open(raw)
	switch {
	case err != nil:
	case len(plain) > 0 && plain[0] == kindFacts:
		err = g.receiveFacts(plain)
	default:
		m, f, err = Decode(plain)
	}
	if err != nil {
		g.countDrop(err)
	}
	return m, f
}

func (g *Gossip) countDrop(err error) {
	switch {
	case errors.Is(err, errVersion):
		g.Drops.Version.Add(1)
	case errors.Is(err, errReplay):
		g.Drops.Replay.Add(1)
	case errors.Is(err, errSeal):
		g.Drops.Unauthenticated.Add(1)
	default:
		g.Drops.Malformed.Add(1)
	}
}

package proxy

// The fault proxy for UDP, in one direction only: from any sender to the target. Two processes that exchange packets and
// connections get one Way in each direction. It delivers on loopback only, and never delivers a lost packet later.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Loss holds the faults of packets.
type Loss struct {
	Lost    float64       // fraction of packets that are dropped
	Twice   float64       // fraction of packets that are sent twice
	Delay   time.Duration // of each packet
	Reorder time.Duration // upper bound of an additional random delay per packet, which may reorder packets
	Cut     bool          // drops all packets
}

// Way proxies one direction between two processes: UDP packets, and TCP connections on the same port.
type Way struct {
	addr   string
	target *net.UDPAddr
	in     *net.UDPConn
	out    *net.UDPConn
	stream *Proxy

	mu     sync.Mutex
	loss   Loss
	rng    *rand.Rand
	closed bool
	wg     sync.WaitGroup
	Passed int // packets sent, duplicates included
	Lost   int // packets dropped
}

// StartWay listens on a free loopback port for packets and connections and forwards both to the target. The seed makes the
// random faults reproducible.
func StartWay(target string, seed uint64) (*Way, error) {
	ap, err := netip.ParseAddrPort(target)
	if err != nil || !ap.Addr().IsLoopback() {
		return nil, fmt.Errorf("proxy: target %q is not a loopback address and port", target)
	}
	w := &Way{target: net.UDPAddrFromAddrPort(ap), rng: rand.New(rand.NewPCG(seed, 0x9a7))}
	for range 20 { // the free TCP port may be taken for UDP
		if w.stream, err = Start(target); err != nil {
			return nil, err
		}
		w.addr = w.stream.Addr()
		at := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(w.addr))
		if w.in, err = net.ListenUDP("udp", at); err == nil {
			break
		}
		w.stream.Close()
	}
	if err != nil {
		return nil, err
	}
	if w.out, err = net.DialUDP("udp", nil, w.target); err != nil {
		w.in.Close()
		w.stream.Close()
		return nil, err
	}
	w.wg.Go(w.run)
	return w, nil
}

// Addr returns the listen address, at which the target is reached through w.
func (w *Way) Addr() string { return w.addr }

// Set replaces the packet faults. Cut also drops what connections send to the target; to cut the return direction
// as well, call Set on the other Way.
func (w *Way) Set(l Loss) error {
	w.mu.Lock()
	w.loss = l
	w.mu.Unlock()
	if l.Cut {
		return w.stream.Set(DropUp, 0)
	}
	return w.stream.Set(Pass, 0)
}

// Stream replaces the fault of connections.
func (w *Way) Stream(f Fault) error { return w.stream.Set(f, 0) }

func (w *Way) run() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := w.in.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		w.mu.Lock()
		copies := 1
		switch l := w.loss; {
		case w.closed, l.Cut, w.rng.Float64() < l.Lost:
			copies = 0
			w.Lost++
		case w.rng.Float64() < l.Twice:
			copies = 2
		}
		for range copies {
			w.Passed++
			wait := w.loss.Delay
			if w.loss.Reorder > 0 {
				wait += time.Duration(w.rng.Int64N(int64(w.loss.Reorder)))
			}
			if wait == 0 {
				_, _ = w.out.Write(buf[:n]) // a failed write is a lost packet
				continue
			}
			packet := append([]byte(nil), buf[:n]...)
			time.AfterFunc(wait, func() { _, _ = w.out.Write(packet) })
		}
		w.mu.Unlock()
	}
}

// Close closes both listeners and waits for the receiving goroutine.
func (w *Way) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.in.Close()
	w.stream.Close()
	w.wg.Wait()
	w.out.Close()
}

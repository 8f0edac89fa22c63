package proxy

// This file owns the fault proxy for packets: one way only, from whoever sends to its address on to the target. A pair
// of processes that talk by packets and by connections gets one Way each way. It must never keep a packet that it was
// told to lose, nor deliver outside loopback.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Loss is what befalls packets.
type Loss struct {
	Lost    float64       // share that never arrives
	Twice   float64       // share that arrives twice
	Delay   time.Duration // each packet's
	Reorder time.Duration // drawn for each packet on top, so that later ones may come sooner
	Cut     bool          // nothing arrives
}

// Way is the way from one process to another: packets, and connections at the same port.
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
	Passed int
	Lost   int
}

// StartWay listens on a free loopback port, for packets and connections alike, on behalf of the target.
func StartWay(target string, seed uint64) (*Way, error) {
	ap, err := netip.ParseAddrPort(target)
	if err != nil || !ap.Addr().IsLoopback() {
		return nil, fmt.Errorf("proxy: target %q is not a loopback address and port", target)
	}
	w := &Way{target: net.UDPAddrFromAddrPort(ap), rng: rand.New(rand.NewPCG(seed, 0x9a7))}
	for range 20 { // a port may be free for packets and taken for connections
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

// Addr is where the target is reached by this way.
func (w *Way) Addr() string { return w.addr }

// Set changes what befalls packets. Cut holds for connections too; whoever cuts the way back as well does so at the other Way.
func (w *Way) Set(l Loss) error {
	w.mu.Lock()
	w.loss = l
	w.mu.Unlock()
	if l.Cut {
		return w.stream.Set(DropUp, 0)
	}
	return w.stream.Set(Pass, 0)
}

// Stream changes what befalls connections that come by this way.
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
				_, _ = w.out.Write(buf[:n]) // one that nobody takes is lost, as packets are
				continue
			}
			packet := append([]byte(nil), buf[:n]...)
			time.AfterFunc(wait, func() { _, _ = w.out.Write(packet) })
		}
		w.mu.Unlock()
	}
}

// Close gives back both listeners and waits for what was started.
func (w *Way) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.in.Close()
	w.stream.Close()
	w.wg.Wait()
	w.out.Close()
}

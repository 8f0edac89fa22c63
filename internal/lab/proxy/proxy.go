// Package proxy is a fault-injecting proxy between two processes on loopback: as a test selects, it passes data, delays
// it, drops it in one or both directions, resets connections, or closes them and refuses new ones. It owns its listener
// and all connections that it has accepted or dialled, and closes them in Close. It listens and dials on loopback only,
// and never delivers dropped data later.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is the fault that the proxy injects.
type Fault uint8

// The faults. Drop keeps connections open and discards the data, like a hanging data node or a network that loses all
// packets; Cut closes the listener, so that new connections are refused, as by a machine whose process has ended.
const (
	Pass     Fault = iota
	Delay          // forwards each chunk after the delay, in order
	Drop           // discards data in both directions
	DropUp         // discards data from the client to the target only
	DropDown       // discards data from the target to the client only
	Reset          // resets open connections, and new ones at once
	Cut            // closes open connections and refuses new ones
)

var faultNames = [...]string{"pass", "delay", "drop", "drop up", "drop down", "reset", "cut"}

func (f Fault) String() string { return faultNames[f] }

// Proxy forwards one loopback address to another.
type Proxy struct {
	addr   string
	target string

	mu     sync.Mutex
	ln     net.Listener // nil during a Cut
	fault  Fault
	delay  time.Duration
	pairs  map[*pair]bool
	closed bool
	wg     sync.WaitGroup
	counts Counts
}

// Counts holds the proxy's connection and byte counters.
type Counts struct {
	Accepted, Refused, Reset int   // connections
	Up, Down, Dropped        int64 // bytes
}

// pair is an accepted connection and its connection to the target.
type pair struct {
	in, out         net.Conn
	endedDirections int // directions that have ended; guarded by Proxy.mu
}

// Start listens on a free loopback port and forwards to the target, which must be a loopback address and port.
func Start(target string) (*Proxy, error) {
	ap, err := netip.ParseAddrPort(target)
	if err != nil || !ap.Addr().IsLoopback() {
		return nil, fmt.Errorf("proxy: target %q is not a loopback address and port", target)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: listening for %s: %w", target, err)
	}
	p := &Proxy{addr: ln.Addr().String(), target: target, ln: ln, pairs: map[*pair]bool{}}
	p.wg.Add(1)
	go p.accept(ln)
	return p, nil
}

// Addr returns the listen address; it stays the same across a Cut.
func (p *Proxy) Addr() string { return p.addr }

// Counts returns the counters so far.
func (p *Proxy) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Set replaces the current fault; delay applies to Delay only.
func (p *Proxy) Set(f Fault, delay time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.New("proxy: closed")
	}
	p.fault, p.delay = f, delay
	switch f {
	case Reset:
		for pr := range p.pairs {
			p.reset(pr)
		}
	case Cut:
		for pr := range p.pairs {
			pr.in.Close()
			pr.out.Close()
			delete(p.pairs, pr)
		}
		if p.ln != nil {
			p.ln.Close()
			p.ln = nil
		}
	default:
		if p.ln == nil {
			ln, err := net.Listen("tcp", p.addr)
			if err != nil {
				return fmt.Errorf("proxy: listening again on %s after a cut: %w", p.addr, err)
			}
			p.ln = ln
			p.wg.Add(1)
			go p.accept(ln)
		}
	}
	return nil
}

// reset closes both connections of a pair with a TCP reset. The caller holds the lock.
func (p *Proxy) reset(pr *pair) {
	for _, c := range []net.Conn{pr.in, pr.out} {
		if tc, ok := c.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.Close()
	}
	delete(p.pairs, pr)
	p.counts.Reset++
}

func (p *Proxy) accept(ln net.Listener) {
	defer p.wg.Done()
	for {
		in, err := ln.Accept()
		if err != nil {
			return // closed by Cut or by Close
		}
		out, err := net.Dial("tcp", p.target)
		p.mu.Lock()
		if err != nil || p.closed || p.fault == Cut {
			p.counts.Refused++
			p.mu.Unlock()
			in.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		pr := &pair{in: in, out: out}
		p.pairs[pr] = true
		p.counts.Accepted++
		if p.fault == Reset {
			p.reset(pr)
			p.mu.Unlock()
			continue
		}
		p.wg.Add(2)
		p.mu.Unlock()
		go p.copy(direction{pair: pr, to: out, from: in, up: true})
		go p.copy(direction{pair: pr, to: in, from: out})
	}
}

// direction is one direction of a pair.
type direction struct {
	pair     *pair
	to, from net.Conn
	up       bool // from the client to the target
}

// copy forwards one direction of a pair until a read or write fails, then calls endDirection.
func (p *Proxy) copy(d direction) {
	defer p.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := d.from.Read(buf)
		if n > 0 {
			if werr := p.forward(d, buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.endDirection(d, err)
			return
		}
	}
}

// forward applies the current fault to a chunk: it sends the chunk, sends it late or drops it.
func (p *Proxy) forward(d direction, chunk []byte) error {
	p.mu.Lock()
	fault, delay := p.fault, p.delay
	drop := fault == Drop || d.up && fault == DropUp || !d.up && fault == DropDown
	switch {
	case drop:
		p.counts.Dropped += int64(len(chunk))
	case d.up:
		p.counts.Up += int64(len(chunk))
	default:
		p.counts.Down += int64(len(chunk))
	}
	p.mu.Unlock()
	if fault == Delay {
		time.Sleep(delay)
	}
	if drop {
		return nil
	}
	_, err := d.to.Write(chunk)
	return err
}

// endDirection handles the end of a direction. The first EOF of a pair is passed on as a half close, so that a client that has
// closed its sending side still gets its answer; otherwise the pair is closed.
func (p *Proxy) endDirection(d direction, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.pair.endedDirections++; errors.Is(err, io.EOF) && d.pair.endedDirections < 2 {
		if conn, ok := d.to.(*net.TCPConn); ok {
			conn.CloseWrite()
			return
		}
	}
	if p.pairs[d.pair] {
		delete(p.pairs, d.pair)
		d.pair.in.Close()
		d.pair.out.Close()
	}
}

// Close closes the listener and all connections, and waits for the goroutines of the proxy.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	if p.ln != nil {
		p.ln.Close()
		p.ln = nil
	}
	for pr := range p.pairs {
		pr.in.Close()
		pr.out.Close()
		delete(p.pairs, pr)
	}
	p.mu.Unlock()
	p.wg.Wait()
	return nil
}

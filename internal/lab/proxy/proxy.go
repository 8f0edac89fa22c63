// Package proxy is the project's fault proxy: it stands between two processes on loopback and, on the word of a test,
// passes what they send, delays it, drops it one way or both, resets their connections or cuts them off so that
// new ones are refused. It owns its listener and every connection it has accepted or dialled, and gives them back in
// Close. It must never listen or dial outside loopback, nor keep a byte that it was told to drop.
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

// Fault is what the proxy does to what passes.
type Fault uint8

// The faults. Drop keeps connections open and swallows what is sent, as a data node that hangs or a network that
// loses everything; Cut closes the listener, so that connecting is refused, as a machine that is gone.
const (
	Pass     Fault = iota
	Delay          // each chunk waits for the delay, in order
	Drop           // both ways
	DropUp         // from the one that connected to the target only
	DropDown       // from the target to the one that connected only
	Reset          // open connections are reset, new ones reset at once
	Cut            // open connections are closed, new ones refused
)

var names = [...]string{"pass", "delay", "drop", "drop up", "drop down", "reset", "cut"}

func (f Fault) String() string { return names[f] }

// Proxy forwards one loopback address to another.
type Proxy struct {
	addr   string
	target string

	mu     sync.Mutex
	ln     net.Listener // nil while cut
	fault  Fault
	delay  time.Duration
	pairs  map[*pair]bool
	closed bool
	wg     sync.WaitGroup
	counts Counts
}

// Counts are what the proxy has seen.
type Counts struct {
	Accepted, Refused, Reset int
	Up, Down, Dropped        int64 // bytes
}

type pair struct {
	in, out net.Conn
	halves  int // directions that have ended; guarded by Proxy.mu
}

// Start listens on a free loopback port for the target, which must be a loopback address.
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

// Addr is where the proxy listens; it stays the same across a cut.
func (p *Proxy) Addr() string { return p.addr }

// Counts tells what has passed so far.
func (p *Proxy) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Set changes the fault from now on; delay counts for Delay only.
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

// reset ends both sides of a pair with a reset; the caller holds the lock.
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
			return // closed by a cut or by Close
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

// direction is one way of a pair.
type direction struct {
	pair     *pair
	to, from net.Conn
	up       bool // from the one that connected to the target
}

// copy carries one direction of a pair until either side ends; the pair is given back by whichever ends first.
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
			p.ended(d, err)
			return
		}
	}
}

// forward passes a chunk on, late or not at all, as the fault says.
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

// ended closes a pair once a direction has ended. A half close is passed on, so that a client that only sends still gets its answer.
func (p *Proxy) ended(d direction, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.pair.halves++; errors.Is(err, io.EOF) && d.pair.halves < 2 {
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

// Close ends the listener and every connection, and waits for all that the proxy started.
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

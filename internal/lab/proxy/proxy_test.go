package proxy

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startEchoServer returns the address of a server that echoes each line until the test ends.
func startEchoServer(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					c.Write([]byte(line))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// step is one step of a scenario: set a fault, dial, send a line, expect its echo, expect no data, or expect an error.
type step struct {
	action string // "set", "dial", "send", "expect", "silent", "refused", "reset", "ended"
	fault  Fault
	delay  time.Duration
	text   string
}

func runSteps(t *testing.T, p *Proxy, steps []step) {
	t.Helper()
	var c net.Conn
	var r *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i, s := range steps {
		var err error
		switch s.action {
		case "set":
			err = p.Set(s.fault, s.delay)
		case "dial":
			if c, err = net.Dial("tcp", p.Addr()); err == nil {
				r = bufio.NewReader(c)
			}
		case "send":
			_, err = c.Write([]byte(s.text + "\n"))
		case "expect":
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			var line string
			start := time.Now()
			if line, err = r.ReadString('\n'); err == nil && strings.TrimSpace(line) != s.text {
				t.Fatalf("step %d: got %q, want %q", i, line, s.text)
			}
			if took := time.Since(start); err == nil && took < s.delay {
				t.Fatalf("step %d: the echo came after %v, before the delay of %v", i, took, s.delay)
			}
		case "silent":
			c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
			if _, rerr := r.ReadString('\n'); !errors.Is(rerr, syscall.ETIMEDOUT) && !isTimeout(rerr) {
				t.Fatalf("step %d: want silence, got %v", i, rerr)
			}
		case "refused":
			if _, derr := net.Dial("tcp", p.Addr()); !errors.Is(derr, syscall.ECONNREFUSED) {
				t.Fatalf("step %d: dial: %v, want refused", i, derr)
			}
		case "reset":
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, rerr := r.ReadString('\n'); !errors.Is(rerr, syscall.ECONNRESET) {
				t.Fatalf("step %d: read: %v, want a reset", i, rerr)
			}
		case "ended":
			c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, rerr := r.ReadString('\n'); rerr == nil || isTimeout(rerr) {
				t.Fatalf("step %d: read: %v, want the connection ended", i, rerr)
			}
		}
		if err != nil {
			t.Fatalf("step %d (%s): %v", i, s.action, err)
		}
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"pass", []step{{action: "dial"}, {action: "send", text: "a"}, {action: "expect", text: "a"}}},
		{"delay", []step{{action: "set", fault: Delay, delay: 80 * time.Millisecond}, {action: "dial"}, {action: "send", text: "a"},
			{action: "expect", text: "a", delay: 160 * time.Millisecond}}},
		{"drop, then pass on the same connection", []step{{action: "dial"}, {action: "set", fault: Drop}, {action: "send", text: "a"},
			{action: "silent"}, {action: "set", fault: Pass}, {action: "send", text: "b"}, {action: "expect", text: "b"}}},
		{"drop up", []step{{action: "dial"}, {action: "set", fault: DropUp}, {action: "send", text: "a"}, {action: "silent"}}},
		{"drop down", []step{{action: "dial"}, {action: "set", fault: DropDown}, {action: "send", text: "a"}, {action: "silent"},
			{action: "set", fault: Pass}, {action: "send", text: "b"}, {action: "expect", text: "b"}}},
		{"reset", []step{{action: "dial"}, {action: "send", text: "a"}, {action: "expect", text: "a"}, {action: "set", fault: Reset},
			{action: "reset"}}},
		{"cut, then pass on the same address", []step{{action: "dial"}, {action: "set", fault: Cut}, {action: "ended"},
			{action: "refused"}, {action: "set", fault: Pass}, {action: "dial"}, {action: "send", text: "b"}, {action: "expect", text: "b"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := Start(startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			runSteps(t, p, c.steps)
		})
	}
}

func TestStartRejectsNonLoopbackTarget(t *testing.T) {
	if _, err := Start("192.0.2.1:80"); err == nil || !strings.Contains(err.Error(), "not a loopback") {
		t.Fatalf("Start of another machine: %v", err)
	}
}

// TestCloseEndsConnectionsAndGoroutines checks that Close closes every connection and returns within 2 s, after the goroutines of the
// proxy have ended, and that the counters stay readable.
func TestCloseEndsConnectionsAndGoroutines(t *testing.T) {
	p, err := Start(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("a\n"))
	bufio.NewReader(c).ReadString('\n')
	done := make(chan struct{})
	go func() { p.Close(); close(done) }()
	select {
	case <-done:
	case <-time.After(2 * time.Second):
		t.Fatal("Close did not end within 2 s")
	}
	if got := p.Counts(); got.Accepted != 1 || got.Up != 2 || got.Down != 2 {
		t.Fatalf("counts %+v", got)
	}
}

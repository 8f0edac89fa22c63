package datanode

// This file owns one stand-in data node: its listener, its connections, and how long it takes for a part. Its doc for a
// part is made from the shard alone, so that every answer can be checked. It must never outlive its Kill.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
)

// Doc is what every data node answers for a shard.
func Doc(shard int) string { return fmt.Sprintf("%016x", uint64(shard+1)*0x9e3779b97f4a7c15) }

// Node is one stand-in data node.
type Node struct {
	ID     string
	Cell   int
	Proto  string // frames or flight
	Ledger *Ledger
	Takes  time.Duration // on average, for a part
	Fill   int           // bytes by which its documents are longer

	Started  time.Time // of the process that it stands for
	addr     string
	draining atomic.Bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	grpc  *grpc.Server
	down  bool
}

// doc is what it answers for a shard: moves of a game over and over, where it is to be long.
func (n *Node) doc(shard int) string {
	if n.Fill == 0 {
		return Doc(shard)
	}
	var b strings.Builder
	b.WriteString(Doc(shard))
	for i := uint64(shard + 1); b.Len() < n.Fill; i = i*6364136223846793005 + 1442695040888963407 {
		fmt.Fprintf(&b, " %c%d-%c%d", 'a'+i>>33%8, 1+i>>37%8, 'a'+i>>41%8, 1+i>>45%8)
	}
	return b.String()
}

// Addr is where it listens; it stays the same over Kill and Start.
func (n *Node) Addr() string { return n.addr }

// Drain sets whether parts are turned away.
func (n *Node) Drain(on bool) { n.draining.Store(on) }

// Start listens, on the address that it had before if there was one.
func (n *Node) Start() error {
	want := n.addr
	if want == "" {
		want = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", want)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addr, n.ln, n.conns, n.down = ln.Addr().String(), ln, map[net.Conn]bool{}, false
	n.Started = time.Now()
	n.draining.Store(false)
	if n.Proto == "flight" {
		n.grpc = grpc.NewServer()
		arrowflight.RegisterFlightServiceServer(n.grpc, &flightNode{n: n})
		go n.grpc.Serve(ln)
		return nil
	}
	go n.accept(ln)
	return nil
}

// Kill ends it as a crash would: all connections break.
func (n *Node) Kill() {
	n.Ledger.Cut(n.ID) // before anyone can know of it
	defer n.Ledger.Cut(n.ID)
	n.mu.Lock()
	n.down = true
	if n.ln != nil {
		n.ln.Close()
	}
	for nc := range n.conns {
		nc.Close()
	}
	g := n.grpc
	n.grpc = nil
	n.mu.Unlock()
	if g != nil {
		g.Stop()
	}
}

func (n *Node) accept(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		if n.down {
			n.mu.Unlock()
			nc.Close()
			continue
		}
		n.conns[nc] = true
		n.mu.Unlock()
		go n.serve(nc)
	}
}

// pause is how long a part takes: between a half and one and a half of the average.
func (n *Node) pause() time.Duration {
	return time.Duration(float64(n.Takes) * (0.5 + rand.Float64()))
}

// outs are the parts that are out on a connection or stream, by id, with what will answer them.
type outs map[string]*time.Timer

// end notes that a part is over; it tells whether it was out.
func (o outs) end(n *Node, id string) bool {
	t, was := o[id]
	if was {
		t.Stop()
		delete(o, id)
		n.Ledger.End(n.ID, id)
	}
	return was
}

func (o outs) endAll(n *Node) {
	for id := range o {
		o.end(n, id)
	}
}

package datanode

// A simulated data node: its listener, its connections and its service time. The document for a part is computed from
// the shard alone, so that every answer can be checked. A node must not serve after Kill.

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

// Doc returns the document with which every data node answers for a shard.
func Doc(shard int) string { return fmt.Sprintf("%016x", uint64(shard+1)*0x9e3779b97f4a7c15) }

// Node is one simulated data node.
type Node struct {
	ID     string
	Cell   int
	Proto  string // "frames" or "flight"
	Ledger *Ledger
	Takes  time.Duration // average service time of a part
	Fill   int           // minimum size of a document, in bytes; 0 sends the plain Doc

	Started  time.Time // start of the simulated process
	addr     string
	draining atomic.Bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	grpc  *grpc.Server
	down  bool
}

// doc returns the document for a shard, padded with generated chess moves up to Fill bytes.
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

// Addr returns the listen address; it stays the same across Kill and Start.
func (n *Node) Addr() string { return n.addr }

// Drain sets whether new parts are rejected.
func (n *Node) Drain(on bool) { n.draining.Store(on) }

// Start listens, on the previous address if there was one.
func (n *Node) Start() error {
	address := n.addr
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
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

// Kill stops the node as a crash would: all connections break.
func (n *Node) Kill() {
	n.Ledger.Cut(n.ID) // before a coordinator can see the broken connections
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

// serviceTime returns a random service time for a part, between 0.5 and 1.5 times the average.
func (n *Node) serviceTime() time.Duration {
	return time.Duration(float64(n.Takes) * (0.5 + rand.Float64()))
}

// activeParts holds the parts in progress on a connection or stream: the timer that sends the answer, by part id.
type activeParts map[string]*time.Timer

// end stops a part and records its end; it reports whether the part was in progress.
func (a activeParts) end(n *Node, id string) bool {
	t, active := a[id]
	if active {
		t.Stop()
		delete(a, id)
		n.Ledger.End(n.ID, id)
	}
	return active
}

func (a activeParts) endAll(n *Node) {
	for id := range a {
		a.end(n, id)
	}
}

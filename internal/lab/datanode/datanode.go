package datanode

// This file owns one stand-in data node: its listener, its connections, and how long it takes for a part. Its doc for a
// part is made from the shard alone, so that every answer can be checked. It must never outlive its Kill.

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/internal/flight"
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

// serve speaks frames on a connection.
func (n *Node) serve(nc net.Conn) {
	var mu sync.Mutex // guards out and writing
	out := outs{}
	defer func() {
		nc.Close()
		n.mu.Lock()
		delete(n.conns, nc)
		n.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		out.endAll(n)
	}()
	write := func(letter byte, text string) {
		frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
		nc.Write(append(append(frame, letter), text...))
	}
	in := bufio.NewReader(nc)
	for {
		var size uint32
		if binary.Read(in, binary.LittleEndian, &size) != nil || size == 0 || size > 1<<20 {
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		mu.Lock()
		switch body[0] {
		case 'X':
			out.end(n, string(body[1:]))
		case 'P':
			write('P', "ok")
		case 'L':
			write('L', fmt.Sprintf("inflight=%d", len(out)))
		case 'Q':
			for rest := body[1:]; len(rest) > 0; {
				line, after, _ := bytes.Cut(rest, []byte("\n"))
				words := strings.Fields(string(line))
				if len(words) != 4 {
					write('E', "line of a call")
					mu.Unlock()
					return
				}
				shard, _ := strconv.Atoi(words[1])
				length, err := strconv.Atoi(words[3])
				if err != nil || length < 0 || length > len(after) {
					write('E', "length in a call")
					mu.Unlock()
					return
				}
				rest = after[length:]
				id := words[0]
				if n.draining.Load() {
					n.Ledger.Begin(n.ID, id)
					n.Ledger.End(n.ID, id)
					write('A', id+" busy 0 -\n")
					continue
				}
				n.Ledger.Begin(n.ID, id)
				out[id] = time.AfterFunc(n.pause(), func() {
					mu.Lock()
					defer mu.Unlock()
					if out.end(n, id) {
						write('A', id+" ok 1 -\n"+n.doc(shard))
					}
				})
			}
		}
		mu.Unlock()
	}
}

// flightNode speaks Arrow Flight.
type flightNode struct {
	arrowflight.BaseFlightServer
	n *Node
}

// DoGet answers for one part.
func (f *flightNode) DoGet(t *arrowflight.Ticket, stream arrowflight.FlightService_DoGetServer) error {
	var ticket flight.PartTicket
	if err := json.Unmarshal(t.Ticket, &ticket); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	n := f.n
	n.Ledger.Begin(n.ID, ticket.ID)
	defer n.Ledger.End(n.ID, ticket.ID)
	if n.draining.Load() {
		return status.Error(codes.ResourceExhausted, "draining")
	}
	select {
	case <-time.After(n.pause()):
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
	defer b.Release()
	b.Field(0).(*array.Int32Builder).Append(int32(ticket.Shard))
	b.Field(1).(*array.BinaryBuilder).Append([]byte(n.doc(ticket.Shard)))
	rec := b.NewRecordBatch()
	defer rec.Release()
	w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
	defer w.Close()
	n.Ledger.End(n.ID, ticket.ID) // before the answer can be read
	return w.WriteWithAppMetadata(rec, nil)
}

// DoExchange answers for the parts of a call.
func (f *flightNode) DoExchange(stream arrowflight.FlightService_DoExchangeServer) error {
	n := f.n
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if path := first.GetFlightDescriptor().GetPath(); len(path) != 1 || path[0] != flight.PartsPath {
		return status.Error(codes.InvalidArgument, "only parts")
	}
	var mu sync.Mutex // guards out and writing
	out := outs{}
	w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		out.endAll(n)
	}()
	tell := func(shard int, doc string, m flight.PartResponse) {
		b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
		defer b.Release()
		if doc != "" {
			b.Field(0).(*array.Int32Builder).Append(int32(shard))
			b.Field(1).(*array.BinaryBuilder).Append([]byte(doc))
		}
		rec := b.NewRecordBatch()
		defer rec.Release()
		raw, _ := json.Marshal(m)
		w.WriteWithAppMetadata(rec, raw)
	}
	for m := first; ; {
		var ask flight.CallRequest
		if err := json.Unmarshal(m.GetAppMetadata(), &ask); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		mu.Lock()
		if ask.Cancel != "" {
			out.end(n, ask.Cancel)
		}
		for _, part := range ask.Parts {
			n.Ledger.Begin(n.ID, part.ID)
			if n.draining.Load() {
				n.Ledger.End(n.ID, part.ID)
				tell(0, "", flight.PartResponse{ID: part.ID, Status: codes.ResourceExhausted.String()})
				continue
			}
			out[part.ID] = time.AfterFunc(n.pause(), func() {
				mu.Lock()
				defer mu.Unlock()
				if out.end(n, part.ID) {
					tell(part.Shard, n.doc(part.Shard), flight.PartResponse{ID: part.ID, Last: true})
				}
			})
		}
		mu.Unlock()
		if m, err = stream.Recv(); err == io.EOF {
			mu.Lock()
			defer mu.Unlock()
			return w.Close()
		} else if err != nil {
			return err
		}
	}
}

// DoAction answers a probe.
func (f *flightNode) DoAction(a *arrowflight.Action, stream arrowflight.FlightService_DoActionServer) error {
	if a.Type != flight.LoadAction {
		return status.Error(codes.Unimplemented, "only load")
	}
	return stream.Send(&arrowflight.Result{Body: []byte(`{"util":0.5}`)})
}

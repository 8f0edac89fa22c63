//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	gflight "gullfall/internal/flight"
	"gullfall/internal/lab/nameserver"
)

// flightNode is a data node that speaks Arrow Flight: calls by DoExchange, as internal/flight/nodecalls.go describes them.
type flightNode struct {
	flight.BaseFlightServer
	r    *run
	id   string
	cell int
	addr string
	do   func(n *flightNode, p part) reply

	spoilt messages // an answer that was encoded before
}

// startFlightNode starts a Flight data node.
func (r *run) startFlightNode(id string, cell int, do func(n *flightNode, p part) reply) *flightNode {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &flightNode{r: r, id: id, cell: cell, addr: ln.Addr().String(), do: do}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, n)
	go server.Serve(ln)
	return n
}

// instance returns the DNS-SD record of the data node.
func (n *flightNode) instance() nameserver.Instance {
	return nameserver.Instance{Label: strings.ReplaceAll(n.id, "-", " "), Service: "_dn._tcp", Weight: 100, Addr: netip.MustParseAddrPort(n.addr),
		Text: []string{"txtvers=1", "id=" + n.id, fmt.Sprintf("cell=%d", n.cell), "zone=a", "proto=flight", longAgo()}}
}

// nodeExchange is one call's stream at a data node.
type nodeExchange struct {
	n      *flightNode
	stream flight.FlightService_DoExchangeServer
	begun  bool // the schema was sent

	mu   sync.Mutex
	open map[string]*time.Timer
}

// DoExchange takes the parts of a call, and cancellations.
func (n *flightNode) DoExchange(stream flight.FlightService_DoExchangeServer) error {
	e := &nodeExchange{n: n, stream: stream, open: map[string]*time.Timer{}}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, t := range e.open {
			t.Stop()
		}
	}()
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		var request gflight.CallRequest
		if err := json.Unmarshal(message.GetAppMetadata(), &request); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if request.Cancel != "" {
			e.cancel(request.Cancel)
		}
		for _, p := range request.Parts {
			n.r.note("%s part %s shard %d d=%d text %q", n.id, p.ID, p.Shard, p.DeadlineMS, p.Q)
			e.take(part{id: p.ID, shard: p.Shard, text: p.Q})
		}
	}
}

func (e *nodeExchange) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.open[id]; t != nil {
		t.Stop()
		delete(e.open, id)
		e.n.r.note("%s part %s given up", e.n.id, id)
	}
}

// take starts the work on a part.
func (e *nodeExchange) take(p part) {
	do := e.n.do(e.n, p)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open[p.id] = time.AfterFunc(do.after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.open[p.id] == nil || do.end == "" {
			return
		}
		delete(e.open, p.id)
		e.n.r.note("%s part %s answered %s, %d bytes", e.n.id, p.id, do.end, len(do.value))
		m := gflight.PartResponse{ID: p.id, Last: true, Load: map[string]float64{"util": 0.5}}
		if do.end == "busy" {
			m = gflight.PartResponse{ID: p.id, Status: codes.ResourceExhausted.String()}
		}
		e.write(p.shard, do.value, m)
	})
}

// write sends an answer, and the schema before the first one.
func (e *nodeExchange) write(shard int, value string, m gflight.PartResponse) {
	messages := e.n.spoilt
	if value != spoiltValue {
		messages = encode(shard, value)
	}
	if !e.begun {
		e.begun = true
		_ = e.stream.Send(&flight.FlightData{DataHeader: messages[0].DataHeader, DataBody: messages[0].DataBody})
	}
	raw, _ := json.Marshal(m)
	_ = e.stream.Send(&flight.FlightData{DataHeader: messages[1].DataHeader, DataBody: messages[1].DataBody, AppMetadata: raw})
}

// spoiltValue stands for a value that was encoded before.
const spoiltValue = "spoilt"

// messages collects what an Arrow writer writes.
type messages []*flight.FlightData

func (c *messages) Start() error { return nil }
func (c *messages) Close() error { return nil }
func (c *messages) WritePayload(p ipc.Payload) error {
	meta := p.Meta()
	defer meta.Release()
	var body bytes.Buffer
	if err := p.SerializeBody(&body); err != nil {
		return err
	}
	*c = append(*c, &flight.FlightData{DataHeader: bytes.Clone(meta.Bytes()), DataBody: body.Bytes()})
	return nil
}

// encode returns the messages of the schema and of a batch with one value, or with none. Batches are compressed.
func encode(shard int, value string) messages {
	b := array.NewRecordBuilder(memory.DefaultAllocator, gflight.Schema)
	defer b.Release()
	if value != "" {
		b.Field(0).(*array.Int32Builder).Append(int32(shard))
		b.Field(1).(*array.BinaryBuilder).Append([]byte(value))
	}
	rec := b.NewRecordBatch()
	defer rec.Release()
	var out messages
	w := ipc.NewWriterWithPayloadWriter(&out, ipc.WithSchema(gflight.Schema), ipc.WithZstd())
	must(w.Write(rec))
	return out
}

// DoAction answers a probe.
func (n *flightNode) DoAction(a *flight.Action, stream flight.FlightService_DoActionServer) error {
	return stream.Send(&flight.Result{Body: []byte(`{"util":0.5}`)})
}

// asker is a client of the Arrow Flight front that asks many queries on one exchange.
type asker struct {
	stream flight.FlightService_DoExchangeClient
	client flight.Client
	class  string
	begun  bool
}

// dialFlight connects to the Flight front.
func dialFlight(addr string, options ...grpc.DialOption) flight.Client {
	cc, err := grpc.NewClient("passthrough:///"+addr, append(options, grpc.WithDisableRetry(), grpc.WithNoProxy(),
		grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	must(err)
	return flight.NewClientFromConn(cc, nil)
}

// startAsker opens an exchange.
func startAsker(ctx context.Context, addr, class string) *asker {
	a := &asker{client: dialFlight(addr), class: class}
	var err error
	a.stream, err = a.client.DoExchange(ctx)
	must(err)
	return a
}

// ask sends a query.
func (a *asker) ask(id string, deadline time.Duration, shards ...int) error {
	var list []string
	for _, s := range shards {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%.9f}`, s, 1/float64(len(shards))))
	}
	m := &flight.FlightData{AppMetadata: fmt.Appendf(nil, `{"id":%q,"deadline_ms":%d,"owner":"club","shards":[%s],"q":"c41e77d0"}`, id,
		deadline.Milliseconds(), strings.Join(list, ","))}
	if !a.begun {
		m.FlightDescriptor, a.begun = &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: []string{a.class}}, true
	}
	return a.stream.Send(m)
}

// answers calls each for each query that has got its final answer, until the exchange ends.
func (a *asker) answers(each func(id, status string)) error {
	in, err := flight.NewRecordReader(a.stream)
	if err != nil {
		return err
	}
	defer in.Release()
	for in.Next() {
		var m struct {
			ID, Status string
			Last       bool
		}
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return err
		}
		switch {
		case m.Status != "":
			each(m.ID, m.Status)
		case m.Last:
			each(m.ID, "OK")
		}
	}
	return in.Err()
}

// longAgo returns the TXT string of a process that started an hour ago.
func longAgo() string {
	return fmt.Sprintf("started_ms=%d", time.Now().Add(-time.Hour).UnixMilli())
}

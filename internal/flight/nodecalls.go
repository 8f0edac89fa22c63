package flight

// This file owns calls to data nodes: several parts on one DoExchange stream, so that a call counts as the module counts
// it, each part given up by a message of its own. A data node that does not offer DoExchange is asked by DoGet, a stream
// for each part. It must never have a part out twice, report the end of one before the data node was told of it, or use
// what came before a cut.
//
// The coordinator sends one message without a body whose descriptor's path is "parts" and whose metadata is
// {"parts":[{"id":"q.3","shard":3,"q":"...","deadline_ms":240}]} (with "idempotency_key" in a keyed class), and {"cancel":"q.3"} for one that is given up. The data
// node answers with batches whose metadata is {"id":"q.3","last":true,"load":{"util":0.6}}, or a batch without rows
// and {"id":"q.3","status":"ResourceExhausted"} for a part that it turns away.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/internal/coordinator"
)

// PartsPath is the path of a call's descriptor.
const PartsPath = "parts"

// PartAsk is one part of a call.
type PartAsk struct {
	ID         string `json:"id"`
	Shard      int    `json:"shard"`
	Q          string `json:"q"`
	DeadlineMS int64  `json:"deadline_ms"`
	Key        string `json:"idempotency_key,omitempty"` // of a keyed class: a repeat is dropped by it
}

// PartsAsk is the metadata of a message to a data node.
type PartsAsk struct {
	Parts  []PartAsk `json:"parts,omitempty"`
	Cancel string    `json:"cancel,omitempty"`
}

// PartTold is the metadata of a batch from a data node.
type PartTold struct {
	ID      string             `json:"id"`
	Last    bool               `json:"last,omitempty"`
	Status  string             `json:"status,omitempty"` // a gRPC code's name, for a part that has no answer
	Message string             `json:"message,omitempty"`
	Load    map[string]float64 `json:"load,omitempty"`
}

// group is a call on its stream. Its fields but sending are guarded by the peer's lock.
type group struct {
	cancel  context.CancelFunc
	ch      *channel
	stream  flight.FlightService_DoExchangeClient
	list    []*coordinator.Attempt          // all of its parts, in the order in which they were sent here
	left    map[string]*coordinator.Attempt // by id, those without an end
	sending sync.Mutex                      // one message at a time
}

// enrol notes a call, before anything else can be ordered of its parts, and lets it be sent.
func (p *peer) enrol(list []*coordinator.Attempt) {
	end := list[0].Deadline
	for _, a := range list {
		if a.Deadline.After(end) {
			end = a.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	g := &group{cancel: cancel, list: list, left: map[string]*coordinator.Attempt{}}
	p.mu.Lock()
	for _, a := range list {
		g.left[a.ID] = a
		p.calls[a] = &call{cancel: func() {}, group: g}
	}
	p.mu.Unlock()
	go p.share(ctx, g, min(int64(len(list)), p.width))
}

// share sends the parts of a call on one stream and reports the end of each.
func (p *peer) share(ctx context.Context, g *group, n int64) {
	defer g.cancel()
	if err := p.turns.Acquire(ctx, n); err != nil {
		p.rest(g, coordinator.Result{Outcome: coordinator.Cancelled})
		return
	}
	defer p.turns.Release(n)
	ch, err := p.acquire(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.Log.Info("no channel to data node", "node", p.node.ID(), "cause", err)
		}
		p.rest(g, coordinator.Result{Outcome: unsent(err)})
		return
	}
	defer func() {
		p.mu.Lock()
		p.release(ch, 1)
		p.mu.Unlock()
	}()
	ask, live := p.begin(g, ch)
	if !live {
		return
	}
	err = p.speak(ctx, g, ch, ask)
	if status.Code(err) == codes.Unimplemented {
		p.plain.Store(true)
		p.Log.Info("data node does not offer DoExchange; it is asked by DoGet", "node", p.node.ID())
		p.each(g) // none of them has run
		return
	}
	p.mu.Lock()
	left := len(g.left)
	p.mu.Unlock()
	if left == 0 {
		return
	}
	r := coordinator.Result{Outcome: coordinator.Errored} // a stream that ended well without them
	if err != nil {
		if r.Outcome = outcome(ctx, err); r.Outcome == coordinator.Reset && p.lives(ctx) {
			r.Outcome = coordinator.ConnectionLost
		}
	}
	p.Log.Info("parts ended without their values", "node", p.node.ID(), "parts", left, "cause", err)
	p.rest(g, r)
}

// begin notes that the data node may know of a call's parts from now on, and returns those that are still wanted.
func (p *peer) begin(g *group, ch *channel) (ask PartsAsk, live bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.ch = ch
	now := time.Now()
	for _, a := range g.list {
		if g.left[a.ID] != a {
			continue // given up while it waited
		}
		if outcome, ok := a.Sendable(now); !ok {
			p.finish(g, a, coordinator.Result{Outcome: outcome})
			continue
		}
		p.calls[a].begun, p.calls[a].ch = now, ch
		ask.Parts = append(ask.Parts, PartAsk{ID: a.ID, Shard: a.Shard, Q: a.Text, Key: a.IdempotencyKey,
			DeadlineMS: max(1, time.Until(a.Deadline).Milliseconds())})
	}
	return ask, len(ask.Parts) > 0
}

// speak sends a call and reads its answers until all parts have an end, or the stream does.
func (p *peer) speak(ctx context.Context, g *group, ch *channel, ask PartsAsk) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			p.Log.Error("stream of data node not understood", "node", p.node.ID(), "cause", cause)
			err = fmt.Errorf("%w: %v", errStream, cause)
		}
	}()
	stream, err := ch.client.DoExchange(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	g.stream = stream
	p.mu.Unlock()
	raw, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	if err := g.send(&flight.FlightData{FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: []string{PartsPath}}, AppMetadata: raw}); err != nil && err != io.EOF {
		return err
	}
	in, err := flight.NewRecordReader(stream)
	if err != nil {
		if err == io.EOF {
			err = errStream
		}
		return err
	}
	defer in.Release()
	got, sizes := map[string]*coordinator.Result{}, map[string]int{}
	for p.waits(g) && in.Next() {
		p.mu.Lock()
		ch.heard = time.Now()
		p.mu.Unlock()
		var m PartTold
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return fmt.Errorf("%w: metadata: %v", errStream, err)
		}
		if err := p.take(g, in.RecordBatch(), m, got, sizes); err != nil {
			return err
		}
	}
	if p.waits(g) {
		if err := in.Err(); err != nil && err != io.EOF {
			return err
		}
		return nil
	}
	g.sending.Lock()
	defer g.sending.Unlock()
	return stream.CloseSend()
}

// take takes in one batch of a part.
func (p *peer) take(g *group, rec arrow.RecordBatch, m PartTold, got map[string]*coordinator.Result, sizes map[string]int) error {
	p.mu.Lock()
	a := g.left[m.ID]
	p.mu.Unlock()
	if a == nil {
		return nil // it was given up meanwhile
	}
	if m.Status != "" {
		r := coordinator.Result{Outcome: coordinator.Errored, LoadReport: m.Load}
		if m.Status == codes.ResourceExhausted.String() || m.Status == codes.Unavailable.String() {
			r.Outcome = coordinator.Overloaded
		}
		p.end(g, a, r)
		return nil
	}
	r := got[m.ID]
	if r == nil {
		r = &coordinator.Result{Outcome: coordinator.OK}
		got[m.ID] = r
	}
	n, err := documents(rec, a.Shard, r)
	if sizes[m.ID] += n; err == nil && sizes[m.ID] > maxPart {
		err = fmt.Errorf("%w: over %d bytes", errStream, maxPart)
	}
	if err == nil && m.Last && len(r.Docs) == 0 {
		err = fmt.Errorf("%w: no document", errStream)
	}
	if err != nil { // it costs its part, not the call
		p.Log.Info("part ended without its value", "node", p.node.ID(), "part", m.ID, "cause", err)
		p.end(g, a, coordinator.Result{Outcome: coordinator.Errored})
		return nil
	}
	if m.Load != nil {
		r.LoadReport = m.Load
	}
	if m.Last {
		p.end(g, a, *r)
	}
	return nil
}

// documents takes the documents out of a batch: rows of Schema, or else the batch as a whole.
func documents(rec arrow.RecordBatch, shard int, r *coordinator.Result) (size int, err error) {
	if !rec.Schema().Equal(Schema) {
		doc, err := EncodeBatch(rec)
		if err != nil {
			return 0, fmt.Errorf("%w: %v", errStream, err)
		}
		r.Docs = append(r.Docs, doc)
		return len(doc), nil
	}
	shards, docs, err := columns(rec)
	if err != nil {
		return 0, err
	}
	for i := range docs.Len() {
		if int(shards.Value(i)) != shard {
			return size, fmt.Errorf("%w: document of shard %d", errStream, shards.Value(i))
		}
		size += len(docs.Value(i))
		r.Docs = append(r.Docs, append([]byte(nil), docs.Value(i)...))
	}
	return size, nil
}

// send sends a message; it waits for nobody but the transport.
func (g *group) send(m *flight.FlightData) error {
	g.sending.Lock()
	defer g.sending.Unlock()
	return g.stream.Send(m)
}

// waits tells whether some part of a call has no end yet.
func (p *peer) waits(g *group) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(g.left) > 0
}

// end reports the end of a part.
func (p *peer) end(g *group, a *coordinator.Attempt, r coordinator.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(g, a, r)
}

// finish is end for one that holds the lock.
func (p *peer) finish(g *group, a *coordinator.Attempt, r coordinator.Result) {
	if g.left[a.ID] != a {
		return
	}
	delete(g.left, a.ID)
	delete(p.calls, a)
	p.Core.Report(a, r)
}

// rest reports the same end for all parts that have none.
func (p *peer) rest(g *group, r coordinator.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range g.list {
		p.finish(g, a, r)
	}
}

// each asks for the parts of a call by a stream for each.
func (p *peer) each(g *group) {
	p.mu.Lock()
	list := g.left
	g.left = map[string]*coordinator.Attempt{}
	for _, a := range list {
		delete(p.calls, a)
	}
	p.mu.Unlock()
	for _, a := range list {
		p.single(a)
	}
}

// giveUp tells the data node that a part of a call is given up, and reports its end after that. The last part takes the
// stream with it.
func (p *peer) giveUp(g *group, a *coordinator.Attempt, begun bool) {
	if !begun {
		p.end(g, a, coordinator.Result{Outcome: coordinator.Cancelled})
		return
	}
	p.mu.Lock()
	last := len(g.left) == 1 && g.left[a.ID] == a
	stream := g.stream
	p.mu.Unlock()
	if raw, err := json.Marshal(PartsAsk{Cancel: a.ID}); err == nil && stream != nil && !last {
		if err := g.send(&flight.FlightData{AppMetadata: raw}); err != nil && !errors.Is(err, io.EOF) {
			g.cancel() // it can't be told otherwise
		}
	} else {
		g.cancel()
	}
	p.end(g, a, coordinator.Result{Outcome: coordinator.Cancelled})
}

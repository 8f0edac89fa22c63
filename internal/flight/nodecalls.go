package flight

// Calls to data nodes by DoExchange: several parts on one stream, so that a call counts as the module counts it, each part
// cancelled by a message of its own. A part's end is reported only once the data node was told of it, and what came before the
// stream broke is not used.
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

// PartRequest is one part of a call.
type PartRequest struct {
	ID         string `json:"id"`
	Shard      int    `json:"shard"`
	Q          string `json:"q"`
	DeadlineMS int64  `json:"deadline_ms"`
	Key        string `json:"idempotency_key,omitempty"` // of a keyed class: a repeat is dropped by it
}

// CallRequest is the metadata of a message to a data node.
type CallRequest struct {
	Parts  []PartRequest `json:"parts,omitempty"`
	Cancel string        `json:"cancel,omitempty"`
}

// PartResponse is the metadata of a batch from a data node.
type PartResponse struct {
	ID      string             `json:"id"`
	Last    bool               `json:"last,omitempty"`
	Status  string             `json:"status,omitempty"` // a gRPC code's name, for a part that has no answer
	Message string             `json:"message,omitempty"`
	Load    map[string]float64 `json:"load,omitempty"`
}

// nodeCall is a call on its stream. Its fields but sending are guarded by the peer's lock.
type nodeCall struct {
	cancel   context.CancelFunc
	channel  *channel
	stream   flight.FlightService_DoExchangeClient
	attempts []*coordinator.Attempt          // all of its parts, in the order in which they were sent here
	pending  map[string]*coordinator.Attempt // by id, those without an end
	sending  sync.Mutex                      // one message at a time
}

// startCall notes a call, before anything else can be ordered of its parts, and lets it be sent.
func (p *nodeConn) startCall(list []*coordinator.Attempt) {
	end := list[0].Deadline
	for _, a := range list {
		if a.Deadline.After(end) {
			end = a.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	g := &nodeCall{cancel: cancel, attempts: list, pending: map[string]*coordinator.Attempt{}}
	p.mu.Lock()
	for _, a := range list {
		g.pending[a.ID] = a
		p.calls[a] = &attemptState{cancel: func() {}, call: g}
	}
	p.mu.Unlock()
	go p.runCall(ctx, g, min(int64(len(list)), p.maxStreams))
}

// runCall sends the parts of a call on one stream and reports the end of each.
func (p *nodeConn) runCall(ctx context.Context, g *nodeCall, n int64) {
	defer g.cancel()
	if err := p.streams.Acquire(ctx, n); err != nil {
		p.finishAll(g, coordinator.Result{Outcome: coordinator.Cancelled})
		return
	}
	defer p.streams.Release(n)
	ch, err := p.acquire(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.Log.Info("no channel to data node", "node", p.node.ID(), "cause", err)
		}
		p.finishAll(g, coordinator.Result{Outcome: outcomeWithoutChannel(err)})
		return
	}
	defer func() {
		p.mu.Lock()
		p.release(ch, 1)
		p.mu.Unlock()
	}()
	ask, live := p.beginCall(g, ch)
	if !live {
		return
	}
	err = p.exchange(ctx, g, ch, ask)
	if status.Code(err) == codes.Unimplemented {
		p.noExchange.Store(true)
		p.Log.Info("data node does not offer DoExchange; using DoGet", "node", p.node.ID())
		p.retryAsParts(g) // none of them has run
		return
	}
	p.mu.Lock()
	left := len(g.pending)
	p.mu.Unlock()
	if left == 0 {
		return
	}
	r := coordinator.Result{Outcome: coordinator.Errored} // a stream that ended well without them
	if err != nil {
		if r.Outcome = outcomeOfStream(ctx, err); r.Outcome == coordinator.Reset && p.reconnects(ctx) {
			r.Outcome = coordinator.ConnectionLost
		}
	}
	p.Log.Info("parts ended without their values", "node", p.node.ID(), "parts", left, "cause", err)
	p.finishAll(g, r)
}

// beginCall notes that the data node may know of a call's parts from now on, and returns those that are still wanted.
func (p *nodeConn) beginCall(g *nodeCall, ch *channel) (ask CallRequest, live bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.channel = ch
	now := time.Now()
	for _, a := range g.attempts {
		if g.pending[a.ID] != a {
			continue // given up while it waited
		}
		if outcome, ok := a.Sendable(now); !ok {
			p.finishLocked(g, a, coordinator.Result{Outcome: outcome})
			continue
		}
		p.calls[a].begun, p.calls[a].channel = now, ch
		ask.Parts = append(ask.Parts, PartRequest{ID: a.ID, Shard: a.Shard, Q: a.Text, Key: a.IdempotencyKey,
			DeadlineMS: max(1, time.Until(a.Deadline).Milliseconds())})
	}
	return ask, len(ask.Parts) > 0
}

// exchange sends a call and reads its answers until all parts have an end, or the stream does.
func (p *nodeConn) exchange(ctx context.Context, g *nodeCall, ch *channel, ask CallRequest) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			p.Log.Error("stream of data node not understood", "node", p.node.ID(), "cause", cause)
			err = fmt.Errorf("%w: %v", errMalformedStream, cause)
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
	if err := g.send(&flight.FlightData{FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: []string{PartsPath}}, AppMetadata: raw}); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	in, err := flight.NewRecordReader(stream)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = errMalformedStream
		}
		return err
	}
	defer in.Release()
	got, sizes := map[string]*coordinator.Result{}, map[string]int{}
	for p.pending(g) && in.Next() {
		p.mu.Lock()
		ch.lastReceived = time.Now()
		p.mu.Unlock()
		var m PartResponse
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return fmt.Errorf("%w: metadata: %w", errMalformedStream, err)
		}
		if err := p.takeBatch(g, in.RecordBatch(), m, got, sizes); err != nil {
			return err
		}
	}
	if p.pending(g) {
		if err := in.Err(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		return nil
	}
	g.sending.Lock()
	defer g.sending.Unlock()
	return stream.CloseSend()
}

// takeBatch takes in one batch of a part.
func (p *nodeConn) takeBatch(g *nodeCall, rec arrow.RecordBatch, m PartResponse, got map[string]*coordinator.Result, sizes map[string]int) error {
	p.mu.Lock()
	a := g.pending[m.ID]
	p.mu.Unlock()
	if a == nil {
		return nil // it was given up meanwhile
	}
	if m.Status != "" {
		r := coordinator.Result{Outcome: coordinator.Errored, LoadReport: m.Load}
		if m.Status == codes.ResourceExhausted.String() || m.Status == codes.Unavailable.String() {
			r.Outcome = coordinator.Overloaded
		}
		p.finish(g, a, r)
		return nil
	}
	r := got[m.ID]
	if r == nil {
		r = &coordinator.Result{Outcome: coordinator.OK}
		got[m.ID] = r
	}
	n, err := documents(rec, a.Shard, r)
	if sizes[m.ID] += n; err == nil && sizes[m.ID] > maxPartBytes {
		err = fmt.Errorf("%w: over %d bytes", errMalformedStream, maxPartBytes)
	}
	if err == nil && m.Last && len(r.Docs) == 0 {
		err = fmt.Errorf("%w: no document", errMalformedStream)
	}
	if err != nil { // it costs its part, not the call
		p.Log.Info("part ended without its value", "node", p.node.ID(), "part", m.ID, "cause", err)
		p.finish(g, a, coordinator.Result{Outcome: coordinator.Errored})
		return nil
	}
	if m.Load != nil {
		r.LoadReport = m.Load
	}
	if m.Last {
		p.finish(g, a, *r)
	}
	return nil
}

// documents takes the documents out of a batch: rows of Schema, or else the batch as a whole.
func documents(rec arrow.RecordBatch, shard int, r *coordinator.Result) (size int, err error) {
	if !rec.Schema().Equal(Schema) {
		doc, err := EncodeBatch(rec)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", errMalformedStream, err)
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
			return size, fmt.Errorf("%w: document of shard %d", errMalformedStream, shards.Value(i))
		}
		size += len(docs.Value(i))
		r.Docs = append(r.Docs, append([]byte(nil), docs.Value(i)...))
	}
	return size, nil
}

// send sends a message; it waits for nobody but the transport.
func (g *nodeCall) send(m *flight.FlightData) error {
	g.sending.Lock()
	defer g.sending.Unlock()
	return g.stream.Send(m)
}

// pending tells whether some part of a call has no end yet.
func (p *nodeConn) pending(g *nodeCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(g.pending) > 0
}

// finish reports the end of a part.
func (p *nodeConn) finish(g *nodeCall, a *coordinator.Attempt, r coordinator.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishLocked(g, a, r)
}

// finishLocked is end for one that holds the lock.
func (p *nodeConn) finishLocked(g *nodeCall, a *coordinator.Attempt, r coordinator.Result) {
	if g.pending[a.ID] != a {
		return
	}
	delete(g.pending, a.ID)
	delete(p.calls, a)
	p.Coordinator.Report(a, r)
}

// finishAll reports the same end for all parts that have none.
func (p *nodeConn) finishAll(g *nodeCall, r coordinator.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range g.attempts {
		p.finishLocked(g, a, r)
	}
}

// retryAsParts asks for the parts of a call by a stream for each.
func (p *nodeConn) retryAsParts(g *nodeCall) {
	p.mu.Lock()
	list := g.pending
	g.pending = map[string]*coordinator.Attempt{}
	for _, a := range list {
		delete(p.calls, a)
	}
	p.mu.Unlock()
	for _, a := range list {
		p.startPart(a)
	}
}

// cancelPart tells the data node that a part of a call is given up, and reports its end after that. The last part of a call takes
// the stream with it. One that the data node may not know of is only reported.
func (p *nodeConn) cancelPart(c *nodeCall, a *coordinator.Attempt, begun time.Time) {
	if !begun.IsZero() {
		p.sendCancel(c, a)
	}
	p.finish(c, a, coordinator.Result{Outcome: coordinator.Cancelled})
}

// sendCancel sends the cancellation of a part, or ends the stream where that can't be sent or no other part is left on it.
func (p *nodeConn) sendCancel(c *nodeCall, a *coordinator.Attempt) {
	p.mu.Lock()
	last := len(c.pending) == 1 && c.pending[a.ID] == a
	stream := c.stream
	p.mu.Unlock()
	raw, err := json.Marshal(CallRequest{Cancel: a.ID})
	if err != nil || stream == nil || last {
		c.cancel()
		return
	}
	if err := c.send(&flight.FlightData{AppMetadata: raw}); err != nil && !errors.Is(err, io.EOF) {
		c.cancel()
	}
}

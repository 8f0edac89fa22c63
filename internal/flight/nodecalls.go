package flight

// Calls to data nodes by DoExchange. All parts of a call share one stream, so that a call is one unit here as it is in package
// aggregator, and each part is cancelled by its own message. The end of a cancelled part is reported only after the data node has been
// told, and batches received of a part before its stream broke are discarded.
//
// The coordinator sends one message without a body whose descriptor's path is "parts" and whose metadata is
// {"parts":[{"id":"q.3","shard":3,"q":"...","deadline_ms":240}]} (with "idempotency_key" in a keyed class), and later
// {"cancel":"q.3"} for a part to cancel. The data node answers with batches whose metadata is
// {"id":"q.3","last":true,"load":{"util":0.6}}, or, for a part that it rejects, with a batch without rows and the metadata
// {"id":"q.3","status":"ResourceExhausted"}.

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

	"gullfall/internal/coordinator"
)

// PartsPath is the descriptor path of a call.
const PartsPath = "parts"

// PartRequest asks a data node for one part.
type PartRequest struct {
	ID         string `json:"id"`
	Shard      int    `json:"shard"`
	Q          string `json:"q"`
	DeadlineMS int64  `json:"deadline_ms"`
	Key        string `json:"idempotency_key,omitempty"` // only in a keyed class: the data node drops a repeated key
}

// CallRequest is the metadata of a message to a data node: the parts of a call, or the ID of a part to cancel.
type CallRequest struct {
	Parts  []PartRequest `json:"parts,omitempty"`
	Cancel string        `json:"cancel,omitempty"`
}

// PartResponse is the metadata of a batch from a data node.
type PartResponse struct {
	ID      string             `json:"id"`
	Last    bool               `json:"last,omitempty"`
	Status  string             `json:"status,omitempty"` // name of a gRPC code, for a part without an answer
	Message string             `json:"message,omitempty"`
	Load    map[string]float64 `json:"load,omitempty"`
}

// rejectedStatus is the status of a part that a data node rejects.
var rejectedStatus = codes.ResourceExhausted.String()

// nodeCall is a call and its stream. The lock of nodeConn guards all fields except sendMu.
type nodeCall struct {
	cancel   context.CancelFunc
	channel  *channel
	stream   flight.FlightService_DoExchangeClient
	attempts []*coordinator.Attempt          // all parts of the call, in their order in the request
	pending  map[string]*coordinator.Attempt // parts that have not ended, by ID
	sendMu   sync.Mutex                      // serializes sends on the stream
}

// startCall registers a call, so that later commands find its parts, and starts sending it.
func (p *nodeConn) startCall(attempts []*coordinator.Attempt) {
	deadline := attempts[0].Deadline
	for _, a := range attempts {
		if a.Deadline.After(deadline) {
			deadline = a.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	g := &nodeCall{cancel: cancel, attempts: attempts, pending: map[string]*coordinator.Attempt{}}
	p.mu.Lock()
	for _, a := range attempts {
		g.pending[a.ID] = a
		p.attempts[a] = &attemptState{cancel: func() {}, call: g}
	}
	p.mu.Unlock()
	go p.runCall(ctx, g, min(int64(len(attempts)), p.maxStreams))
}

// runCall sends the parts of a call on one stream and reports the result of each.
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
	request, sendable := p.beginCall(g, ch)
	if !sendable {
		return
	}
	ctx, received := recordResponse(ctx)
	err = p.exchange(ctx, g, ch, request)
	if offersNoExchange(received, err) {
		p.noExchange.Store(true)
		p.Log.Info("data node does not offer DoExchange; using DoGet", "node", p.node.ID())
		p.retryAsParts(g) // the data node has run none of them
		return
	}
	p.mu.Lock()
	unfinished := len(g.pending)
	p.mu.Unlock()
	if unfinished == 0 {
		return
	}
	r := coordinator.Result{Outcome: coordinator.Errored} // the stream ended without an error before these parts did
	if err != nil {
		if r.Outcome = outcomeOfStream(ctx, received, err); r.Outcome == coordinator.Reset && p.reconnects(ctx) {
			r.Outcome = coordinator.ConnectionLost
		}
	}
	p.Log.Info("parts ended without their values", "node", p.node.ID(), "parts", unfinished, "cause", err)
	p.finishAll(g, r)
}

// beginCall returns the request for those parts that are still wanted, and marks them as possibly known to the data node.
func (p *nodeConn) beginCall(g *nodeCall, ch *channel) (request CallRequest, sendable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g.channel = ch
	now := time.Now()
	for _, a := range g.attempts {
		if g.pending[a.ID] != a {
			continue // cancelled while the call waited
		}
		if outcome, ok := a.Sendable(now); !ok {
			p.finishLocked(g, a, coordinator.Result{Outcome: outcome})
			continue
		}
		p.attempts[a].started, p.attempts[a].channel = now, ch
		request.Parts = append(request.Parts, PartRequest{ID: a.ID, Shard: a.Shard, Q: a.Text, Key: a.IdempotencyKey,
			DeadlineMS: max(1, time.Until(a.Deadline).Milliseconds())})
	}
	return request, len(request.Parts) > 0
}

// exchange sends a call and reads the answers until all of its parts or the stream have ended.
func (p *nodeConn) exchange(ctx context.Context, g *nodeCall, ch *channel, request CallRequest) (err error) {
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
	raw, err := json.Marshal(request)
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
	results, sizes := map[string]*coordinator.Result{}, map[string]int{}
	for p.hasPending(g) && in.Next() {
		p.mu.Lock()
		ch.lastReceived = time.Now()
		p.mu.Unlock()
		var m PartResponse
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return fmt.Errorf("%w: metadata: %w", errMalformedStream, err)
		}
		if err := p.handleBatch(g, in.RecordBatch(), m, results, sizes); err != nil {
			return err
		}
	}
	if p.hasPending(g) {
		if err := in.Err(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		return nil
	}
	g.sendMu.Lock()
	defer g.sendMu.Unlock()
	return stream.CloseSend()
}

// handleBatch processes one batch of a part.
func (p *nodeConn) handleBatch(g *nodeCall, rec arrow.RecordBatch, m PartResponse, results map[string]*coordinator.Result, sizes map[string]int) error {
	p.mu.Lock()
	a := g.pending[m.ID]
	p.mu.Unlock()
	if a == nil {
		return nil // cancelled in the meantime
	}
	if m.Status != "" {
		r := coordinator.Result{Outcome: coordinator.Errored, LoadReport: m.Load}
		if hasRun := results[m.ID] != nil; m.Status == rejectedStatus && !hasRun {
			r.Outcome = coordinator.Overloaded
		}
		p.finish(g, a, r)
		return nil
	}
	r := results[m.ID]
	if r == nil {
		r = &coordinator.Result{Outcome: coordinator.OK}
		results[m.ID] = r
	}
	n, err := appendDocuments(rec, a.Shard, r)
	if sizes[m.ID] += n; err == nil && sizes[m.ID] > maxPartBytes {
		err = fmt.Errorf("%w: over %d bytes", errMalformedStream, maxPartBytes)
	}
	if err == nil && m.Last && len(r.Docs) == 0 {
		err = fmt.Errorf("%w: no document", errMalformedStream)
	}
	if err != nil { // only this part fails, not the call
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

// appendDocuments appends the documents of a batch to r and returns their size: each row of a batch of Schema, or else the whole
// batch as one document.
func appendDocuments(rec arrow.RecordBatch, shard int, r *coordinator.Result) (size int, err error) {
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

// send sends a message. It waits only for the transport and for other sends.
func (g *nodeCall) send(m *flight.FlightData) error {
	g.sendMu.Lock()
	defer g.sendMu.Unlock()
	return g.stream.Send(m)
}

// hasPending reports whether any part of a call has not ended.
func (p *nodeConn) hasPending(g *nodeCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(g.pending) > 0
}

// finish reports the result of a part that has not ended.
func (p *nodeConn) finish(g *nodeCall, a *coordinator.Attempt, r coordinator.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishLocked(g, a, r)
}

// finishLocked is finish for callers that hold the lock.
func (p *nodeConn) finishLocked(g *nodeCall, a *coordinator.Attempt, r coordinator.Result) {
	if g.pending[a.ID] != a {
		return
	}
	delete(g.pending, a.ID)
	delete(p.attempts, a)
	p.Coordinator.Report(a, r)
}

// finishAll reports the same result for all parts that have not ended.
func (p *nodeConn) finishAll(g *nodeCall, r coordinator.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range g.attempts {
		p.finishLocked(g, a, r)
	}
}

// retryAsParts requests each part of a call on its own stream.
func (p *nodeConn) retryAsParts(g *nodeCall) {
	p.mu.Lock()
	pending := g.pending
	g.pending = map[string]*coordinator.Attempt{}
	for _, a := range pending {
		delete(p.attempts, a)
	}
	p.mu.Unlock()
	for _, a := range pending {
		p.startPart(a)
	}
}

// cancelPart tells the data node that a part is cancelled and then reports its end. A part that the data node can't know of is only
// reported.
func (p *nodeConn) cancelPart(c *nodeCall, a *coordinator.Attempt, started time.Time) {
	if !started.IsZero() {
		p.sendCancel(c, a)
	}
	p.finish(c, a, coordinator.Result{Outcome: coordinator.Cancelled})
}

// sendCancel sends the cancellation of a part. It ends the stream instead if the message can't be sent or if this is the last part.
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

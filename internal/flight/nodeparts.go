package flight

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"

	"gullfall/internal/coordinator"
)

// startPart requests one part on its own stream.
func (p *nodeConn) startPart(a *coordinator.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	c := &attemptState{cancel: cancel}
	p.mu.Lock()
	p.attempts[a] = c
	p.mu.Unlock()
	go p.runPart(ctx, c, a)
}

// runPart runs one attempt and reports its result.
func (p *nodeConn) runPart(ctx context.Context, c *attemptState, a *coordinator.Attempt) {
	defer c.cancel()
	var r coordinator.Result
	if p.streams.Acquire(ctx, 1) == nil {
		r = p.requestPart(ctx, c, a)
		p.streams.Release(1)
	} else {
		r.Outcome = coordinator.Cancelled
	}
	p.mu.Lock()
	delete(p.attempts, a)
	if c.rejected && r.Outcome != coordinator.OK {
		r.Outcome = coordinator.Overloaded
	} else if c.cancelled && r.Outcome != coordinator.OK {
		r.Outcome = coordinator.Cancelled
	}
	p.mu.Unlock()
	p.Coordinator.Report(a, r)
}

// requestPart requests one part and reads its stream to the end.
func (p *nodeConn) requestPart(ctx context.Context, c *attemptState, a *coordinator.Attempt) (r coordinator.Result) {
	ch, err := p.acquire(ctx)
	if err != nil {
		p.Log.Info("no channel to data node", "node", p.node.ID(), "cause", err)
		return coordinator.Result{Outcome: outcomeWithoutChannel(err)}
	}
	skipOutcome, sendable := p.beginPart(c, a, ch)
	defer func() {
		p.mu.Lock()
		p.release(ch, 1)
		p.mu.Unlock()
		if cause := recover(); cause != nil {
			p.Log.Error("stream of data node not understood", "node", p.node.ID(), "cause", cause)
			r = coordinator.Result{Outcome: coordinator.Errored}
		}
	}()
	if !sendable {
		return coordinator.Result{Outcome: skipOutcome}
	}
	ctx, received := recordResponse(ctx)
	ticket, _ := json.Marshal(PartTicket{ID: a.ID, Shard: a.Shard, Q: a.Text, Key: a.IdempotencyKey})
	stream, err := ch.client.DoGet(ctx, &flight.Ticket{Ticket: ticket})
	if err == nil {
		r, err = p.readPart(ch, stream, a.Shard)
	}
	if err != nil {
		if r = (coordinator.Result{Outcome: outcomeOfStream(ctx, received, err)}); r.Outcome == coordinator.Reset && p.reconnects(ctx) {
			r.Outcome = coordinator.ConnectionLost
		}
		p.Log.Info("part ended without its value", "node", p.node.ID(), "part", a.ID, "cause", err)
	}
	return r
}

// beginPart marks a part as possibly known to the data node, unless it must not be sent any more: then it returns its outcome.
func (p *nodeConn) beginPart(c *attemptState, a *coordinator.Attempt, ch *channel) (outcome coordinator.Outcome, sendable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.channel = ch
	switch {
	case c.rejected:
		return coordinator.Overloaded, false
	case c.cancelled:
		return coordinator.Cancelled, false
	}
	now := time.Now()
	if outcome, sendable = a.Sendable(now); sendable {
		c.started = now
	}
	return outcome, sendable
}

// outcomeWithoutChannel returns the outcome of a part for which acquire failed with err.
func outcomeWithoutChannel(err error) coordinator.Outcome {
	if errors.Is(err, errConnectTimeout) {
		return coordinator.ConnectTimeout
	}
	if errors.Is(err, errNoDescriptor) {
		return coordinator.NotSent
	}
	return coordinator.NotConnected
}

// reconnects reports whether a channel comes up at once. A data node that has died refuses it.
func (p *nodeConn) reconnects(ctx context.Context) bool {
	ch, err := p.acquire(ctx)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(ch, 1)
	return true
}

// errMalformedStream marks a stream whose content can't be used although its transport did not fail.
var errMalformedStream = errors.New("malformed stream")

// readPart reads the documents of one part. Load reports come in the metadata of the batches.
func (p *nodeConn) readPart(ch *channel, stream flight.FlightService_DoGetClient, shard int) (coordinator.Result, error) {
	in, err := flight.NewRecordReader(stream)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = errMalformedStream
		}
		return coordinator.Result{}, err
	}
	defer in.Release()
	r := coordinator.Result{Outcome: coordinator.OK}
	size := 0
	for in.Next() {
		p.mu.Lock()
		ch.lastReceived = time.Now()
		p.mu.Unlock()
		n, err := appendDocuments(in.RecordBatch(), shard, &r)
		if err != nil {
			return coordinator.Result{}, err
		}
		if size += n; size > maxPartBytes {
			return coordinator.Result{}, fmt.Errorf("%w: over %d bytes", errMalformedStream, maxPartBytes)
		}
		var meta struct{ Load map[string]float64 }
		if json.Unmarshal(in.LatestAppMetadata(), &meta) == nil && meta.Load != nil {
			r.LoadReport = meta.Load
		}
	}
	if err := in.Err(); err != nil && !errors.Is(err, io.EOF) {
		return coordinator.Result{}, err
	}
	if len(r.Docs) == 0 {
		return coordinator.Result{}, fmt.Errorf("%w: no document", errMalformedStream)
	}
	return r, nil
}

// columns returns the shard and doc columns of a batch.
func columns(rec arrow.RecordBatch) (shards *array.Int32, docs *array.Binary, err error) {
	if rec.NumCols() == 2 && rec.Schema().Equal(Schema) {
		shards, _ = rec.Column(0).(*array.Int32)
		docs, _ = rec.Column(1).(*array.Binary)
	}
	if shards == nil || docs == nil || shards.NullN()+docs.NullN() > 0 {
		return nil, nil, fmt.Errorf("%w: schema %v", errMalformedStream, rec.Schema())
	}
	return shards, docs, nil
}

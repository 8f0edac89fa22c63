package flight

// This file owns the channels to Flight data nodes, and the streams of those that are asked by DoGet: one for each part.
// Calls by DoExchange are in nodecalls.go. A part is in only once its stream has ended well. It must never send a part
// twice (retries by the library are off), begin one at a data node that the list bars, or use what came before a cut.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"golang.org/x/sync/semaphore"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gullfall/internal/coordinator"
)

// maxPart bounds the documents of one part.
const maxPart = 256 << 10

// PartTicket is what a data node is asked with.
type PartTicket struct {
	ID    string `json:"id"`
	Shard int    `json:"shard"`
	Q     string `json:"q"`
	Key   string `json:"idempotency_key,omitempty"` // of a keyed class
}

// LoadAction is the type of the action by which a data node is probed; its result is a load report.
const LoadAction = "load"

// Nodes carries orders to Flight data nodes. Its fields are set before its first use.
type Nodes struct {
	Core    *coordinator.Coordinator
	Log     *slog.Logger
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Streams int           // parts that are out at one data node at once
	Connect time.Duration // within which a channel comes up and a probe is answered
	Idle    time.Duration // after which the peer closes an idle connection; 0 where not known
	Slots   chan struct{} // one for each channel that may be open
}

// peer is one data node.
type peer struct {
	*Nodes
	node  *coordinator.Node
	turns *semaphore.Weighted // one for each part that is out
	width int64               // of turns
	plain atomic.Bool         // it does not offer DoExchange

	mu    sync.Mutex
	ch    *channel // the one in use; nil where there is none
	calls map[*coordinator.Attempt]*call
	pause backOff
}

// channel is one connection; it is closed once it is out of use and nothing is out on it.
type channel struct {
	cc      *grpc.ClientConn
	client  flight.Client
	out     int
	retired bool
	lost    bool // it never came up, and that was noted
	heard   time.Time
}

type call struct {
	cancel  context.CancelFunc
	group   *group // where it is part of a call on one stream
	ch      *channel
	begun   time.Time // zero until the data node may know of it
	dropped bool
	barred  bool
}

// Dispatch serves one data node until it has left the list.
func (ns *Nodes) Dispatch(n *coordinator.Node) {
	width := int64(max(1, ns.Streams))
	p := &peer{Nodes: ns, node: n, turns: semaphore.NewWeighted(width), width: width, calls: map[*coordinator.Attempt]*call{}}
	for {
		o := n.Pick(context.Background())
		switch {
		case o == nil:
			p.retire(nil)
			return
		case o.Call != nil && p.plain.Load():
			for _, a := range o.Call {
				p.single(a)
			}
		case o.Call != nil:
			p.enrol(o.Call)
		case o.Cancel != nil:
			p.drop(o.Cancel)
		case o.RejectQueued:
			p.bar()
		case o.Probe:
			go p.probe()
		case o.CloseIdle:
			p.retire(func(ch *channel) bool { return ch.out == 0 })
		}
	}
}

// single asks for one part by a stream of its own.
func (p *peer) single(a *coordinator.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
	c := &call{cancel: cancel}
	p.mu.Lock()
	p.calls[a] = c
	p.mu.Unlock()
	go p.fetch(ctx, c, a)
}

// drop gives up an attempt; its end is reported by fetch, after the stream was cancelled, or by giveUp. A channel on which
// nothing was heard since the attempt began may be dead, and is not used for the next.
func (p *peer) drop(a *coordinator.Attempt) {
	p.mu.Lock()
	c := p.calls[a]
	if c != nil {
		c.dropped = true
		c.cancel()
	}
	p.mu.Unlock()
	if c != nil && c.group != nil {
		p.giveUp(c.group, a, !c.begun.IsZero())
	}
	if c != nil {
		p.retire(func(ch *channel) bool { return ch == c.ch && !c.begun.IsZero() && ch.heard.Before(c.begun) })
	}
}

// bar turns back what is not begun.
func (p *peer) bar() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.calls {
		if c.begun.IsZero() {
			c.barred = true
			if c.cancel(); c.group != nil {
				p.finish(c.group, a, coordinator.Result{Outcome: coordinator.Overloaded})
			}
		}
	}
}

// retire takes the channel in use out of use, where it meets the condition.
func (p *peer) retire(condition func(*channel) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ch != nil && (condition == nil || condition(p.ch)) {
		ch := p.ch
		p.ch, ch.retired = nil, true
		p.release(ch, 0)
	}
}

// release counts streams off a channel and closes it after the last if it is out of use. The caller holds the
// lock.
func (p *peer) release(ch *channel, n int) {
	if ch.out -= n; ch.out == 0 && ch.retired {
		ch.cc.Close()
		<-p.Slots
	}
}

var (
	errSlots = errors.New("no descriptor left for a connection")
	errLate  = errors.New("the channel did not come up in time")
	errPause = errors.New("the last connections failed; none is opened for a moment")
)

// Pauses between connections that fail; they double.
const (
	leastBackOff = 50 * time.Millisecond
	mostBackOff  = time.Second
)

// backOff is when the next connection may be opened, once some have failed. Its methods take the time; it reads no clock.
type backOff struct {
	failed int
	until  time.Time
}

// open tells whether a connection may be opened.
func (b *backOff) open(now time.Time) bool { return !now.Before(b.until) }

// note takes in how one ended; chance within 0 and 1 spreads those who wait for the same data node.
func (b *backOff) note(now time.Time, up bool, chance float64) {
	if up {
		*b = backOff{}
		return
	}
	if b.failed++; b.failed > 1 { // one may fail by chance, and is tried anew at once
		pause := min(leastBackOff<<min(b.failed-2, 10), mostBackOff)
		b.until = now.Add(time.Duration(float64(pause) * (0.5 + chance/2)))
	}
}

// acquire returns the channel in use, opening one where there is none, and waits until it is up.
func (p *peer) acquire(ctx context.Context) (*channel, error) {
	end := time.Now().Add(p.Connect)
	p.mu.Lock()
	if p.ch == nil {
		if !p.pause.open(time.Now()) {
			p.mu.Unlock()
			return nil, errPause
		}
		select {
		case p.Slots <- struct{}{}:
		default:
			p.mu.Unlock()
			return nil, errSlots
		}
		cc, err := grpc.NewClient("passthrough:///"+p.node.Addr(), grpc.WithDisableRetry(),
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(p.Dial),
			grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPart+64<<10)), grpc.WithIdleTimeout(p.Idle-p.Idle/8))
		if err != nil {
			<-p.Slots
			p.mu.Unlock()
			return nil, err
		}
		p.ch = &channel{cc: cc, client: flight.NewClientFromConn(cc, nil)}
	}
	ch := p.ch
	ch.out++
	p.mu.Unlock()
	up, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for {
		state := ch.cc.GetState()
		switch state {
		case connectivity.Ready:
			p.mu.Lock()
			p.pause.note(time.Now(), true, 0)
			p.mu.Unlock()
			return ch, nil
		case connectivity.Idle:
			ch.cc.Connect()
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown || !ch.cc.WaitForStateChange(up, state) {
			p.retire(func(o *channel) bool { return o == ch })
			p.mu.Lock()
			if !ch.lost && ctx.Err() == nil { // several may have waited for it; it failed once
				ch.lost = true
				p.pause.note(time.Now(), false, rand.Float64())
			}
			p.release(ch, 1)
			p.mu.Unlock()
			if state == connectivity.Connecting {
				return nil, errLate
			}
			return nil, fmt.Errorf("channel is %v", state)
		}
	}
}

// fetch runs one attempt and reports its end.
func (p *peer) fetch(ctx context.Context, c *call, a *coordinator.Attempt) {
	defer c.cancel()
	var r coordinator.Result
	if p.turns.Acquire(ctx, 1) == nil {
		r = p.get(ctx, c, a)
		p.turns.Release(1)
	} else {
		r.Outcome = coordinator.Cancelled
	}
	p.mu.Lock()
	delete(p.calls, a)
	if c.barred && r.Outcome != coordinator.OK {
		r.Outcome = coordinator.Overloaded
	} else if c.dropped && r.Outcome != coordinator.OK {
		r.Outcome = coordinator.Cancelled
	}
	p.mu.Unlock()
	p.Core.Report(a, r)
}

// get asks for one part and reads its stream to the end.
func (p *peer) get(ctx context.Context, c *call, a *coordinator.Attempt) (r coordinator.Result) {
	ch, err := p.acquire(ctx)
	if err != nil {
		p.Log.Info("no channel to data node", "node", p.node.ID(), "cause", err)
		return coordinator.Result{Outcome: unsent(err)}
	}
	p.mu.Lock()
	now := time.Now()
	turnedBack, sendable := a.Sendable(now)
	if c.ch = ch; sendable {
		c.begun = now
	}
	p.mu.Unlock()
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
		return coordinator.Result{Outcome: turnedBack}
	}
	ticket, _ := json.Marshal(PartTicket{ID: a.ID, Shard: a.Shard, Q: a.Text, Key: a.IdempotencyKey})
	stream, err := ch.client.DoGet(ctx, &flight.Ticket{Ticket: ticket})
	if err == nil {
		r, err = p.read(ch, stream, a.Shard)
	}
	if err != nil {
		if r = (coordinator.Result{Outcome: outcome(ctx, err)}); r.Outcome == coordinator.Reset && p.lives(ctx) {
			r.Outcome = coordinator.ConnectionLost
		}
		p.Log.Info("part ended without its value", "node", p.node.ID(), "part", a.ID, "cause", err)
	}
	return r
}

// unsent is the outcome of a part for which there is no channel.
func unsent(err error) coordinator.Outcome {
	if errors.Is(err, errLate) {
		return coordinator.ConnectTimeout
	}
	if errors.Is(err, errSlots) {
		return coordinator.NotSent
	}
	return coordinator.NotConnected
}

// lives tells whether a channel comes up at once: a data node that has died refuses it.
func (p *peer) lives(ctx context.Context) bool {
	ch, err := p.acquire(ctx)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(ch, 1)
	return true
}

// errStream marks a stream that ended well but can't be used.
var errStream = errors.New("stream not understood")

// read takes in the documents of one part; load reports ride on the batches' metadata.
func (p *peer) read(ch *channel, stream flight.FlightService_DoGetClient, shard int) (coordinator.Result, error) {
	in, err := flight.NewRecordReader(stream)
	if err != nil {
		if err == io.EOF {
			err = errStream
		}
		return coordinator.Result{}, err
	}
	defer in.Release()
	r := coordinator.Result{Outcome: coordinator.OK}
	size := 0
	for in.Next() {
		p.mu.Lock()
		ch.heard = time.Now()
		p.mu.Unlock()
		n, err := documents(in.RecordBatch(), shard, &r)
		if err != nil {
			return coordinator.Result{}, err
		}
		if size += n; size > maxPart {
			return coordinator.Result{}, fmt.Errorf("%w: over %d bytes", errStream, maxPart)
		}
		var meta struct{ Load map[string]float64 }
		if json.Unmarshal(in.LatestAppMetadata(), &meta) == nil && meta.Load != nil {
			r.LoadReport = meta.Load
		}
	}
	if err := in.Err(); err != nil && err != io.EOF {
		return coordinator.Result{}, err
	}
	if len(r.Docs) == 0 {
		return coordinator.Result{}, fmt.Errorf("%w: no document", errStream)
	}
	return r, nil
}

// columns finds the shard and doc columns of a batch.
func columns(rec arrow.RecordBatch) (shards *array.Int32, docs *array.Binary, err error) {
	if rec.NumCols() == 2 && rec.Schema().Equal(Schema) {
		shards, _ = rec.Column(0).(*array.Int32)
		docs, _ = rec.Column(1).(*array.Binary)
	}
	if shards == nil || docs == nil || shards.NullN()+docs.NullN() > 0 {
		return nil, nil, fmt.Errorf("%w: schema %v", errStream, rec.Schema())
	}
	return shards, docs, nil
}

// outcome is what a failed stream says of its attempt.
func outcome(ctx context.Context, err error) coordinator.Outcome {
	st, _ := status.FromError(err)
	switch {
	case ctx.Err() != nil:
		return coordinator.Cancelled
	case errors.Is(err, errStream):
		return coordinator.Errored
	case st.Code() == codes.ResourceExhausted:
		return coordinator.Overloaded
	case st.Code() == codes.Unavailable:
		for _, d := range st.Details() {
			if _, turnedAway := d.(*errdetails.RetryInfo); turnedAway {
				return coordinator.Overloaded
			}
		}
		return coordinator.Reset
	}
	return coordinator.Errored
}

// probe asks for the load report.
func (p *peer) probe() {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(p.Connect))
	defer cancel()
	ch, err := p.acquire(ctx)
	if err != nil {
		p.Core.ReportProbe(p.node, coordinator.Result{Outcome: coordinator.NotConnected})
		return
	}
	r := coordinator.Result{Outcome: coordinator.OK}
	stream, err := ch.client.DoAction(ctx, &flight.Action{Type: LoadAction})
	if err == nil {
		var res *flight.Result
		if res, err = stream.Recv(); err == nil {
			json.Unmarshal(res.GetBody(), &r.LoadReport)
		}
	}
	if err != nil {
		r = coordinator.Result{Outcome: outcome(ctx, err)}
	}
	p.mu.Lock()
	if err == nil {
		ch.heard = time.Now()
	}
	p.release(ch, 1)
	p.mu.Unlock()
	p.Core.ReportProbe(p.node, r)
}

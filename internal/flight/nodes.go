package flight

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"golang.org/x/sync/semaphore"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"gullfall/internal/coordinator"
)

// maxPartBytes bounds the documents of one part.
const maxPartBytes = 256 << 10

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
	Coordinator *coordinator.Coordinator
	Log         *slog.Logger
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Streams     int           // parts that are out at one data node at once
	Connect     time.Duration // within which a channel comes up and a probe is answered
	Idle        time.Duration // after which the peer closes an idle connection; 0 where not known
	Connections chan struct{} // one for each channel that may be open
}

// nodeConn is one data node.
type nodeConn struct {
	*Nodes
	node       *coordinator.Node
	streams    *semaphore.Weighted // one for each part that is out
	maxStreams int64               // of turns
	noExchange atomic.Bool         // it does not offer DoExchange

	mu      sync.Mutex
	channel *channel // the one in use; nil where there is none
	calls   map[*coordinator.Attempt]*attemptState
	backoff backoff
}

// channel is one connection; it is closed once it is out of use and nothing is out on it.
type channel struct {
	conn         *grpc.ClientConn
	client       flight.Client
	inFlight     int
	retired      bool
	failed       bool // it never came up, and that was noted
	lastReceived time.Time
}

type attemptState struct {
	cancel    context.CancelFunc
	call      *nodeCall // where it is part of a call on one stream
	channel   *channel
	begun     time.Time // zero until the data node may know of it
	cancelled bool
	rejected  bool
}

// Dispatch serves one data node until it has left the list.
func (ns *Nodes) Dispatch(n *coordinator.Node) {
	width := int64(max(1, ns.Streams))
	p := &nodeConn{Nodes: ns, node: n, streams: semaphore.NewWeighted(width), maxStreams: width, calls: map[*coordinator.Attempt]*attemptState{}}
	for {
		o := n.NextCommand(context.Background())
		switch {
		case o == nil:
			p.retire(nil)
			return
		case o.Call != nil && p.noExchange.Load():
			for _, a := range o.Call {
				p.startPart(a)
			}
		case o.Call != nil:
			p.startCall(o.Call)
		case o.Cancel != nil:
			p.cancelAttempt(o.Cancel)
		case o.RejectQueued:
			p.rejectQueued()
		case o.Probe:
			go p.probe()
		case o.CloseIdle:
			p.retire(func(ch *channel) bool { return ch.inFlight == 0 })
		}
	}
}

// cancelAttempt gives up an attempt; its end is reported by runPart, after the stream was cancelled, or by
// cancelPart. A channel on which
// nothing was heard since the attempt began may be dead, and is not used for the next.
func (p *nodeConn) cancelAttempt(a *coordinator.Attempt) {
	p.mu.Lock()
	c := p.calls[a]
	if c != nil {
		c.cancelled = true
		c.cancel()
	}
	p.mu.Unlock()
	if c != nil && c.call != nil {
		p.cancelPart(c.call, a, c.begun)
	}
	if c != nil {
		p.retire(func(ch *channel) bool { return ch == c.channel && !c.begun.IsZero() && ch.lastReceived.Before(c.begun) })
	}
}

// rejectQueued turns back what is not begun.
func (p *nodeConn) rejectQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.calls {
		if c.begun.IsZero() {
			c.rejected = true
			if c.cancel(); c.call != nil {
				p.finishLocked(c.call, a, coordinator.Result{Outcome: coordinator.Overloaded})
			}
		}
	}
}

// retire takes the channel in use out of use, where it meets the condition.
func (p *nodeConn) retire(condition func(*channel) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.channel != nil && (condition == nil || condition(p.channel)) {
		ch := p.channel
		p.channel, ch.retired = nil, true
		p.release(ch, 0)
	}
}

// release counts streams off a channel and closes it after the last if it is out of use. The caller holds the
// lock.
func (p *nodeConn) release(ch *channel, n int) {
	if ch.inFlight -= n; ch.inFlight == 0 && ch.retired {
		_ = ch.conn.Close() // nothing is in flight on it
		<-p.Connections
	}
}

var (
	errNoDescriptor   = errors.New("no descriptor left for a connection")
	errConnectTimeout = errors.New("the channel did not come up in time")
	errBackingOff     = errors.New("the last connections failed; none is opened for a moment")
)

// acquire returns the channel in use, opening one where there is none, and waits until it is up.
func (p *nodeConn) acquire(ctx context.Context) (*channel, error) {
	end := time.Now().Add(p.Connect)
	p.mu.Lock()
	if p.channel == nil {
		if !p.backoff.ready(time.Now()) {
			p.mu.Unlock()
			return nil, errBackingOff
		}
		select {
		case p.Connections <- struct{}{}:
		default:
			p.mu.Unlock()
			return nil, errNoDescriptor
		}
		cc, err := grpc.NewClient("passthrough:///"+p.node.Addr(), grpc.WithDisableRetry(),
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(p.Dial),
			grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPartBytes+64<<10)), grpc.WithIdleTimeout(p.Idle-p.Idle/8))
		if err != nil {
			<-p.Connections
			p.mu.Unlock()
			return nil, err
		}
		p.channel = &channel{conn: cc, client: flight.NewClientFromConn(cc, nil)}
	}
	ch := p.channel
	ch.inFlight++
	p.mu.Unlock()
	up, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for {
		state := ch.conn.GetState()
		switch state {
		case connectivity.Ready:
			p.mu.Lock()
			p.backoff.succeeded()
			p.mu.Unlock()
			return ch, nil
		case connectivity.Idle:
			ch.conn.Connect()
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown || !ch.conn.WaitForStateChange(up, state) {
			p.retire(func(o *channel) bool { return o == ch })
			p.mu.Lock()
			if !ch.failed && ctx.Err() == nil { // several may have waited for it; it failed once
				ch.failed = true
				p.backoff.failed(time.Now(), rand.Float64())
			}
			p.release(ch, 1)
			p.mu.Unlock()
			if state == connectivity.Connecting {
				return nil, errConnectTimeout
			}
			return nil, fmt.Errorf("channel is %v", state)
		}
	}
}

// probe asks for the load report.
func (p *nodeConn) probe() {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(p.Connect))
	defer cancel()
	ch, err := p.acquire(ctx)
	if err != nil {
		p.Coordinator.ReportProbe(p.node, coordinator.Result{Outcome: coordinator.NotConnected})
		return
	}
	r := coordinator.Result{Outcome: coordinator.OK}
	stream, err := ch.client.DoAction(ctx, &flight.Action{Type: LoadAction})
	if err == nil {
		var res *flight.Result
		if res, err = stream.Recv(); err == nil {
			_ = json.Unmarshal(res.GetBody(), &r.LoadReport) // a report of another form is none
		}
	}
	if err != nil {
		r = coordinator.Result{Outcome: outcomeOfStream(ctx, err)}
	}
	p.mu.Lock()
	if err == nil {
		ch.lastReceived = time.Now()
	}
	p.release(ch, 1)
	p.mu.Unlock()
	p.Coordinator.ReportProbe(p.node, r)
}

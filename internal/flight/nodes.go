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

// maxPartBytes bounds the total size of the documents of one part.
const maxPartBytes = 256 << 10

// PartTicket is the DoGet ticket by which a data node is asked for one part.
type PartTicket struct {
	ID    string `json:"id"`
	Shard int    `json:"shard"`
	Q     string `json:"q"`
	Key   string `json:"idempotency_key,omitempty"` // only in a keyed class
}

// LoadAction is the type of the action that probes a data node; its result is a load report.
const LoadAction = "load"

// Nodes carries out the coordinator's commands at Flight data nodes. Its fields are set before its first use.
type Nodes struct {
	Coordinator     *coordinator.Coordinator
	Log             *slog.Logger
	Dial            func(ctx context.Context, addr string) (net.Conn, error)
	MaxStreams      int           // maximum concurrent parts at one data node
	ConnectTimeout  time.Duration // timeout for opening a channel and for a probe
	IdleTimeout     time.Duration // time after which the data node closes an idle connection; 0 if unknown
	ConnectionSlots chan struct{} // holds one element for each open channel; its capacity bounds them
}

// nodeConn holds the channel to one data node and the attempts in flight at it.
type nodeConn struct {
	*Nodes
	node       *coordinator.Node
	streams    *semaphore.Weighted // one unit for each concurrent part
	maxStreams int64               // capacity of streams
	noExchange atomic.Bool         // the data node does not offer DoExchange

	mu       sync.Mutex
	channel  *channel // the current one, or nil
	attempts map[*coordinator.Attempt]*attemptState
	backoff  backoff
}

// channel is one connection. It is closed once it is retired and nothing is in flight on it.
type channel struct {
	conn         *grpc.ClientConn
	client       flight.Client
	inFlight     int // streams, and callers that wait for the channel to be ready
	retired      bool
	failed       bool // the channel never came up, and backoff has counted that failure
	lastReceived time.Time
}

// attemptState is the state of an attempt that has not ended.
type attemptState struct {
	cancel    context.CancelFunc
	call      *nodeCall // set if the part belongs to a call on a shared stream
	channel   *channel
	started   time.Time // zero until the data node may know of the part
	cancelled bool
	rejected  bool
}

// Dispatch serves one data node until it is removed from the list.
func (ns *Nodes) Dispatch(n *coordinator.Node) {
	maxStreams := int64(max(1, ns.MaxStreams))
	p := &nodeConn{Nodes: ns, node: n, streams: semaphore.NewWeighted(maxStreams), maxStreams: maxStreams, attempts: map[*coordinator.Attempt]*attemptState{}}
	for {
		command := n.NextCommand(context.Background())
		switch {
		case command == nil:
			p.retire(nil)
			return
		case command.Call != nil && p.noExchange.Load():
			for _, a := range command.Call {
				p.startPart(a)
			}
		case command.Call != nil:
			p.startCall(command.Call)
		case command.Cancel != nil:
			p.cancelAttempt(command.Cancel)
		case command.RejectQueued:
			p.rejectQueued()
		case command.Probe:
			go p.probe()
		case command.CloseIdle:
			p.retire(func(ch *channel) bool { return ch.inFlight == 0 })
		}
	}
}

// cancelAttempt cancels an attempt. Its end is reported by runPart, after the stream was cancelled, or by cancelPart. A channel on
// which nothing was received since the attempt started may be dead and is not used for further attempts.
func (p *nodeConn) cancelAttempt(a *coordinator.Attempt) {
	p.mu.Lock()
	c := p.attempts[a]
	if c != nil {
		c.cancelled = true
		c.cancel()
	}
	p.mu.Unlock()
	if c != nil && c.call != nil {
		p.cancelPart(c.call, a, c.started)
	}
	if c != nil {
		p.retire(func(ch *channel) bool {
			return ch == c.channel && !c.started.IsZero() && ch.lastReceived.Before(c.started)
		})
	}
}

// rejectQueued reports all attempts that have not started as overloaded.
func (p *nodeConn) rejectQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.attempts {
		if c.started.IsZero() {
			c.rejected = true
			if c.cancel(); c.call != nil {
				p.finishLocked(c.call, a, coordinator.Result{Outcome: coordinator.Overloaded})
			}
		}
	}
}

// retire takes the current channel out of use if it meets the condition; nil matches any channel.
func (p *nodeConn) retire(condition func(*channel) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.channel != nil && (condition == nil || condition(p.channel)) {
		ch := p.channel
		p.channel, ch.retired = nil, true
		p.release(ch, 0)
	}
}

// release subtracts n streams from a channel, and closes the channel if it is retired and has none left. The caller holds the lock.
func (p *nodeConn) release(ch *channel, n int) {
	if ch.inFlight -= n; ch.inFlight == 0 && ch.retired {
		_ = ch.conn.Close() // nothing is in flight on it
		<-p.ConnectionSlots
	}
}

var (
	errNoDescriptor   = errors.New("no descriptor left for a connection")
	errConnectTimeout = errors.New("connect timeout")
	errBackingOff     = errors.New("recent connections failed; waiting before the next one")
)

// acquire returns the current channel with one more stream in flight. It opens a channel if there is none, and waits until it is
// ready.
func (p *nodeConn) acquire(ctx context.Context) (*channel, error) {
	deadline := time.Now().Add(p.ConnectTimeout)
	p.mu.Lock()
	if p.channel == nil {
		if !p.backoff.ready(time.Now()) {
			p.mu.Unlock()
			return nil, errBackingOff
		}
		select {
		case p.ConnectionSlots <- struct{}{}:
		default:
			p.mu.Unlock()
			return nil, errNoDescriptor
		}
		cc, err := grpc.NewClient("passthrough:///"+p.node.Addr(), grpc.WithDisableRetry(),
			grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(p.Dial),
			grpc.WithNoProxy(), grpc.WithDisableServiceConfig(), grpc.WithStatsHandler(responseRecorder{}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPartBytes+64<<10)), grpc.WithIdleTimeout(p.IdleTimeout-p.IdleTimeout/8))
		if err != nil {
			<-p.ConnectionSlots
			p.mu.Unlock()
			return nil, err
		}
		p.channel = &channel{conn: cc, client: flight.NewClientFromConn(cc, nil)}
	}
	ch := p.channel
	ch.inFlight++
	p.mu.Unlock()
	readyCtx, cancel := context.WithDeadline(ctx, deadline)
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
		if state == connectivity.TransientFailure || state == connectivity.Shutdown || !ch.conn.WaitForStateChange(readyCtx, state) {
			p.retire(func(o *channel) bool { return o == ch })
			p.mu.Lock()
			if !ch.failed && ctx.Err() == nil { // several callers may have waited for it; count one failure
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

// probe requests the load report of the data node and reports the result.
func (p *nodeConn) probe() {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(p.ConnectTimeout))
	defer cancel()
	ch, err := p.acquire(ctx)
	if err != nil {
		p.Coordinator.ReportProbe(p.node, coordinator.Result{Outcome: coordinator.NotConnected})
		return
	}
	r := coordinator.Result{Outcome: coordinator.OK}
	ctx, received := recordResponse(ctx)
	stream, err := ch.client.DoAction(ctx, &flight.Action{Type: LoadAction})
	if err == nil {
		var res *flight.Result
		if res, err = stream.Recv(); err == nil {
			_ = json.Unmarshal(res.GetBody(), &r.LoadReport) // a malformed report is ignored
		}
	}
	if err != nil {
		r = coordinator.Result{Outcome: outcomeOfStream(ctx, received, err)}
	}
	p.mu.Lock()
	if err == nil {
		ch.lastReceived = time.Now()
	}
	p.release(ch, 1)
	p.mu.Unlock()
	p.Coordinator.ReportProbe(p.node, r)
}

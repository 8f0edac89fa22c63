package faults

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

// protocol combines a protocol to data nodes with a protocol to clients, with stand-ins for both.
type protocol struct {
	name        string
	startNode   func(ln net.Listener, b *nodeScript, name string) (stop func())
	dispatcher  func(c *coordinator.Coordinator) coordinator.Dispatcher
	startServer func(c *coordinator.Coordinator, ln net.Listener) (query queryFunc, drain func())
	readSlowly  func(t *testing.T, addr string, end time.Time) // queries shards 0 to 3 without reading the answer
	fillBytes   int                                            // document size that exceeds the socket and stream buffers
}

var protocols = []protocol{
	{"platform", startFrameNode, dispatchFrames, serveHTTP, readHTTPSlowly, 15_000},
	{"flight", startFlightNode, dispatchFlight, serveFlight, readFlightSlowly, 200_000},
	// The coordinator connects clients of either protocol to data nodes of either.
	{"platform to flight", startFlightNode, dispatchFlight, serveHTTP, readHTTPSlowly, 15_000},
	{"flight to platform", startFrameNode, dispatchFrames, serveFlight, readFlightSlowly, 60_000},
	// DoExchange, to data nodes and from clients.
	{"flight calls", startExchangeNode, dispatchFlight, serveFlight, readFlightSlowly, 200_000},
	{"exchange", startExchangeNode, dispatchFlight, serveExchange, readFlightSlowly, 200_000},
	{"exchange to platform", startFrameNode, dispatchFrames, serveExchange, readFlightSlowly, 60_000},
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// queryFunc sends a query of a class, given as "class#key" for a query with an idempotency key. It returns the outcome: a
// result with its documents, "rejected", "failed", "bad input", "gone" (the client disconnected), "lost" (the connection was lost)
// or "overtime" (the deadline was exceeded).
type queryFunc func(ctx context.Context, class, owner string, shards ...int) string

// result is the answer to a query.
type result struct {
	complete bool
	docs     []string
}

// String returns "complete" or "partial" followed by the sorted documents.
func (r result) String() string {
	slices.Sort(r.docs)
	if !r.complete {
		return "partial " + strings.Join(r.docs, " ")
	}
	return "complete " + strings.Join(r.docs, " ")
}

// nodeScript defines what the stand-in data nodes do, and records the attempts that they receive.
type nodeScript struct {
	actions []string // by attempt of a part; the last applies to all further attempts
	fill    string   // appended to documents to make them longer

	// mu guards the fields below, except release.
	mu           sync.Mutex
	attempts     map[string]int  // by part id
	inFlight     map[int]attempt // by attempt number
	begun        int
	overlaps     int // attempts that began while another one of the same part was in flight
	cancelled    int
	startsByNode map[string]int // by data node
	keys         []string       // idempotency keys of attempts, in order of their start
	release      chan struct{}  // closed to answer held attempts
}

// attempt is an attempt in flight at a data node.
type attempt struct{ node, id string }

// start records an attempt and returns its number and the action for it.
func (b *nodeScript) start(node, id, key string) (number int, action string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.attempts[id]
	b.attempts[id]++
	b.startsByNode[node]++
	b.keys = append(b.keys, key)
	for _, a := range b.inFlight {
		if a.id == id {
			b.overlaps++
		}
	}
	b.begun++
	b.inFlight[b.begun] = attempt{node, id}
	action = b.actions[min(n, len(b.actions)-1)]
	if shard, rest, ok := strings.Cut(action, ":"); ok { // the action applies to one shard only
		if action = "ok"; strings.HasSuffix(id, "."+shard) {
			action = rest
		}
	}
	return b.begun, action
}

// end records the end of an attempt. It must be called before the coordinator can learn of it.
func (b *nodeScript) end(number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, number)
}

// cancel records that the coordinator cancelled an attempt.
func (b *nodeScript) cancel(number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.inFlight, number)
	b.cancelled++
}

// connsCut records that the connections of a data node are closed, which ends its attempts.
func (b *nodeScript) connsCut(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.inFlight, func(_ int, a attempt) bool { return a.node == node })
}

// startsAt returns the number of attempts sent to a data node.
func (b *nodeScript) startsAt(node string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startsByNode[node]
}

// doc returns the value of a part. It names the shard and the attempt that produced it.
func (b *nodeScript) doc(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, shard, _ := strings.Cut(id, ".")
	return fmt.Sprintf("%s/%d", shard, b.attempts[id]) + b.fill
}

// rig is a coordinator with stand-in clients and data nodes, on loopback sockets.
type rig struct {
	t           *testing.T
	script      *nodeScript
	list        *coordinator.Source
	query       queryFunc
	drain       func()
	nodes       []coordinator.Member
	coordinator *coordinator.Coordinator
	addr        string
}

// settings returns the default settings of a rig.
func settings() aggregator.Settings {
	class := func(name string, floor float64) aggregator.Class {
		return aggregator.Class{Name: name, LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1, LateShare: 0.1,
			CompleteShare: 1, MinShare: floor, PartialShare: 0.9}
	}
	entry := class("entry", 1)
	entry.Effect, entry.DedupWindow = aggregator.Keyed, 2*time.Second
	return aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 1, Shards: 4, Reach: 1,
		Classes: []aggregator.Class{class("report", 1), class("board", 0.5), entry},
		Tenants: []aggregator.Tenant{{Name: "club", Rate: 1000}}, OverQuotaFactor: 0.05,
		CallCost: time.Millisecond,
		Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second,
			ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second},
		Rules: aggregator.Rules{DrainGrace: 2 * time.Second},
	}
}

// newRig starts a rig with the default settings; down data nodes have no listener.
func newRig(t *testing.T, p protocol, down int, acts ...string) *rig {
	t.Helper()
	return newRigWith(t, settings(), p, down, acts...)
}

// newRigWith is like newRig with other settings.
func newRigWith(t *testing.T, set aggregator.Settings, p protocol, down int, acts ...string) *rig {
	t.Helper()
	b := &nodeScript{actions: acts, attempts: map[string]int{}, inFlight: map[int]attempt{}, startsByNode: map[string]int{},
		release: make(chan struct{})}
	c, err := coordinator.New(set, 7, slog.New(slog.NewTextHandler(io.Discard, nil)), membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	c.RegisterDispatcher("", p.dispatcher(c))
	r := &rig{t: t, script: b, coordinator: c, list: c.AddSource(membership.Spec{Name: "list"})}
	for i := range 2 {
		name := fmt.Sprintf("n%d", i+1)
		ln := listen(t)
		if i < down {
			ln.Close() // dials are refused
		} else {
			t.Cleanup(p.startNode(ln, b, name))
		}
		r.nodes = append(r.nodes, coordinator.Member{ID: name, Addr: ln.Addr().String(), Weight: 1})
	}
	r.list.ReplaceList(r.nodes, false)
	ln := listen(t)
	r.addr = ln.Addr().String()
	r.query, r.drain = p.startServer(c, ln)
	return r
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// queryWithin3s sends a query with a deadline of 3 s.
func (r *rig) queryWithin3s(class, owner string, shards ...int) string {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(3*time.Second))
	defer cancel()
	return r.query(ctx, class, owner, shards...)
}

// waitUntil waits until a condition is met, and fails the test after 10 s.
func (r *rig) waitUntil(condition string, met func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Errorf("condition not met within 10 s: %s", condition)
			return
		}
	}
}

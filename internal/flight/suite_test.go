package flight_test

// The conformance suite against a server in this process, and the hard cases that need a hand on the data nodes or on
// the server: limits, slow readers, drains, keys, schemas, batches that lie.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gullfall/aggregator"
	"gullfall/internal/admission"
	"gullfall/internal/coordinator"
	"gullfall/internal/flight"
	"gullfall/internal/lab/datanode"
	"gullfall/internal/lab/flightsuite"
	"gullfall/internal/membership"
)

const shards = 8

// stand is a server in front of stand-in data nodes of Flight.
type stand struct {
	t      *testing.T
	core   *coordinator.Coordinator
	list   *coordinator.Source
	server *flight.Server
	addr   string
	ledger *datanode.Ledger
	nodes  []*datanode.Node
}

// start starts a stand. Data nodes are the lab's unless carry is given.
func start(t *testing.T, o flight.Options, takes time.Duration, carry func(*coordinator.Coordinator) coordinator.Dispatcher) *stand {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	c, err := coordinator.New(aggregator.Settings{Aggregators: 1, Tick: time.Millisecond, ShardSets: 2, Shards: shards, Reach: 2,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1},
			{Name: "rating", LatencyObjective: 2 * time.Second, Deadline: 5 * time.Second, Priority: 1, CompleteShare: 1, MinShare: 1}},
		Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, SendRetryAfter: true, MaxRetryAfter: time.Second,
			ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second}}, 7, log, membership.Config{})
	if err != nil {
		t.Fatal(err)
	}
	go c.Run(t.Context())
	s := &stand{t: t, core: c, ledger: datanode.NewLedger()}
	var serve coordinator.Dispatcher
	if carry != nil {
		serve = carry(c)
	} else {
		serve = (&flight.Nodes{Coordinator: c, Log: log, Streams: 64, Connect: 250 * time.Millisecond, Connections: make(chan struct{}, 64),
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			}}).Dispatch
		for i := range 4 {
			n := &datanode.Node{ID: fmt.Sprint("n", i), Cell: i % 2, Proto: "flight", Ledger: s.ledger, Takes: takes}
			if err := n.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(n.Kill)
			s.nodes = append(s.nodes, n)
		}
	}
	c.RegisterDispatcher("", serve)
	var list []coordinator.Member
	for i := range 4 {
		m := coordinator.Member{ID: fmt.Sprint("n", i), ShardSet: i % 2, Weight: 1}
		if len(s.nodes) > 0 {
			m.Addr = s.nodes[i].Addr()
		}
		list = append(list, m)
	}
	s.list = c.AddSource(membership.Spec{Name: "list"})
	s.list.ReplaceList(list, false)
	o.Coordinator, o.Log, o.Shards, o.Covered = c, log, shards, c.CoveredShards
	if o.Classes == nil {
		o.Classes = []flight.Class{{Name: "report", Limit: 5 * time.Second}, {Name: "rating", Limit: 5 * time.Second}}
	}
	if s.server, err = flight.New(o); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = ln.Addr().String()
	go s.server.Serve(ln, 300)
	t.Cleanup(s.server.Stop)
	return s
}

func (s *stand) client(users ...flightsuite.User) *flightsuite.Client {
	s.t.Helper()
	return s.dial(flightsuite.Env{Users: users})
}

// smallestWindow is the smallest flow-control window that gRPC sets, in bytes.
const smallestWindow = 64 << 10

// slowClient is a client whose flow-control window does not grow: what it does not read stays at the server. A window that
// adapts can take a whole answer in where the machine is busy, and a client that reads nothing is no slow reader then.
func (s *stand) slowClient() *flightsuite.Client {
	s.t.Helper()
	return s.dial(flightsuite.Env{Window: smallestWindow})
}

func (s *stand) dial(env flightsuite.Env) *flightsuite.Client {
	s.t.Helper()
	env.Addr, env.Class, env.Shards, env.Doc = s.addr, "report", shards, datanode.Doc
	c, err := flightsuite.Dial(env)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

var people = flight.People{Owners: []flight.Owner{{Name: "sertao", User: "s", Password: "p", Token: "token-of-sertao-0"},
	{Name: "natal", User: "n", Password: "q", Token: "token-of-natal-00"}}}

var users = []flightsuite.User{{Owner: "sertao", Name: "s", Password: "p", Token: "token-of-sertao-0"}, {Owner: "natal", Name: "n", Password: "q", Token: "token-of-natal-00"}}

// TestSuite runs every case, with and without users.
func TestSuite(t *testing.T) {
	for name, who := range map[string][]flightsuite.User{"open": nil, "users": users} {
		t.Run(name, func(t *testing.T) {
			o := flight.Options{}
			if who != nil {
				o.People = people
			}
			s := start(t, o, 3*time.Millisecond, nil)
			ran := 0
			for _, r := range flightsuite.Run(t.Context(), flightsuite.Env{Addr: s.addr, Class: "report", Shards: shards, Doc: datanode.Doc, Users: who}) {
				if r.Skipped {
					continue
				}
				if ran++; !r.Passed {
					t.Errorf("%s: %s", r.Name, r.Fault)
				}
			}
			if a := s.ledger.Account(); ran < 25 || a.Twins > 0 || a.MostAttempts > 3 {
				t.Errorf("%d cases ran; %d twins, %d attempts of a part", ran, a.Twins, a.MostAttempts)
			}
		})
	}
}

// retry is when a refusal says to come back; 0 where it is none.
func retry(err error) time.Duration {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok && status.Code(err) == codes.Unavailable {
			return r.GetRetryDelay().AsDuration()
		}
	}
	return 0
}

// TestLimits: what is over a limit is refused with a time to come back, and at that time is let in.
func TestLimits(t *testing.T) {
	s := start(t, flight.Options{People: people, Admission: admission.Config{Owner: admission.Limits{Rate: 20, Burst: 3}}}, time.Millisecond, nil)
	c := s.client(users...)
	as := func(i int) *flightsuite.Client { return c.As("authorization", "Bearer "+users[i].Token) }
	var refused time.Duration
	for range 10 {
		if _, err := as(0).Get(t.Context(), c.Question("", 0)); err != nil {
			if refused = retry(err); refused == 0 {
				t.Fatal(err)
			}
			break
		}
	}
	if refused == 0 {
		t.Fatal("ten at once were let in where three may be")
	}
	if _, err := as(1).Get(t.Context(), c.Question("", 0)); err != nil {
		t.Errorf("the other owner: %v", err)
	}
	time.Sleep(refused)
	if _, err := as(0).Get(t.Context(), c.Question("", 0)); err != nil {
		t.Errorf("at the time that it was told: %v", err)
	}
	// A reload sets other figures; what is faulty changes nothing.
	if err := s.server.Reload(people, nil, admission.Config{Owner: admission.Limits{Rate: -1}}); err == nil {
		t.Error("a negative rate was taken")
	}
	if err := s.server.Reload(people, nil, admission.Config{}); err != nil {
		t.Error(err)
	}
	for range 20 {
		if _, err := as(0).Get(t.Context(), c.Question("", 0)); err != nil {
			t.Fatalf("without a limit: %v", err)
		}
	}
}

// TestKeys: tickets hold over a change of keys for as long as their key is known.
func TestKeys(t *testing.T) {
	first, second := flight.Key{ID: 1, Secret: []byte("the first secret")}, flight.Key{ID: 2, Secret: []byte("the second secret")}
	s := start(t, flight.Options{Keys: []flight.Key{first}}, time.Millisecond, nil)
	c := s.client()
	ticket := func() []byte {
		t.Helper()
		info, err := c.GetFlightInfo(t.Context(), &arrowflight.FlightDescriptor{Type: arrowflight.DescriptorCMD, Cmd: c.Question("", 0)})
		if err != nil {
			t.Fatal(err)
		}
		return info.Endpoint[0].Ticket.Ticket
	}
	old := ticket()
	for _, c2 := range []struct {
		keys []flight.Key
		ok   bool
	}{{[]flight.Key{second, first}, true}, {[]flight.Key{second}, false}} {
		if err := s.server.Reload(flight.People{}, c2.keys, admission.Config{}); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Get(t.Context(), old); (err == nil) != c2.ok {
			t.Errorf("%d keys: the old ticket: %v", len(c2.keys), err)
		}
		if _, err := c.Get(t.Context(), ticket()); err != nil {
			t.Errorf("%d keys: a new ticket: %v", len(c2.keys), err)
		}
	}
}

// answers is a carrier that answers each part with what doc says.
func answers(t *testing.T, doc func(shard int) []byte) func(*coordinator.Coordinator) coordinator.Dispatcher {
	return func(c *coordinator.Coordinator) coordinator.Dispatcher {
		return func(n *coordinator.Node) {
			for o := n.NextCommand(t.Context()); o != nil; o = n.NextCommand(t.Context()) {
				for _, a := range o.Call {
					c.Report(a, coordinator.Result{Outcome: coordinator.OK, Docs: [][]byte{doc(a.Shard)}})
				}
				if o.Cancel != nil {
					c.Report(o.Cancel, coordinator.Result{Outcome: coordinator.Cancelled})
				}
			}
		}
	}
}

// TestSlowReaders: two hundred that read nothing are held within the memory that there is, and are cut for one that
// reads; each that was refused or cut is told when to come back.
func TestSlowReaders(t *testing.T) {
	s := start(t, flight.Options{Memory: 8 << 20, Admission: admission.Config{SlowReaderGrace: 200 * time.Millisecond, StallTimeout: 2 * time.Second}}, 0,
		answers(t, func(int) []byte { return make([]byte, 200<<10) }))
	var mu sync.Mutex
	var wg sync.WaitGroup
	refused, begun, cut, other := 0, 0, 0, []error{}
	for range 20 {
		c := s.slowClient()
		for range 10 {
			wg.Go(func() {
				ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(5*time.Second))
				defer cancel()
				stream, err := c.DoGet(ctx, &arrowflight.Ticket{Ticket: c.Question("", 0, 1, 2, 3)})
				if err == nil {
					_, err = stream.Recv() // the schema, and no more
				}
				mu.Lock()
				if err == nil {
					begun++
				} else if retry(err) > 0 {
					refused++
				} else {
					other = append(other, err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
				<-time.After(3 * time.Second)
				for err == nil {
					_, err = stream.Recv()
				}
				mu.Lock()
				defer mu.Unlock()
				if retry(err) > 0 {
					cut++
				}
			})
		}
	}
	time.Sleep(time.Second)
	good := s.client()
	g, err := good.Get(t.Context(), good.Question("", 0, 1, 2, 3))
	if err != nil || !g.Complete {
		t.Errorf("one that reads, among them: %v", err)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(other) > 0 || refused == 0 || begun == 0 || cut == 0 || refused+begun != 200 {
		t.Errorf("%d refused, %d begun, %d of them cut, others %v", refused, begun, cut, other)
	}
}

// TestDeadlineBetweenBatches: an answer whose time passes while it is being read ends as overtime, never as whole.
func TestDeadlineBetweenBatches(t *testing.T) {
	s := start(t, flight.Options{}, 0, answers(t, func(int) []byte { return make([]byte, 250<<10) }))
	c := s.client()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(500*time.Millisecond))
	defer cancel()
	stream, err := c.DoGet(ctx, &arrowflight.Ticket{Ticket: c.Question("", 0, 1, 2, 3, 4, 5, 6, 7)})
	if err != nil {
		t.Fatal(err)
	}
	batches, last := 0, false
	for {
		m, err := stream.Recv()
		if err != nil {
			if status.Code(err) != codes.DeadlineExceeded {
				t.Errorf("ended by %v", err)
			}
			break
		}
		if len(m.GetAppMetadata()) > 0 {
			last = last || bytes.Contains(m.GetAppMetadata(), []byte(`"last":true`))
			if batches++; batches == 1 {
				time.Sleep(time.Second)
			}
		}
	}
	if batches == 0 || last {
		t.Errorf("%d batches, the last among them: %v", batches, last)
	}
	if g, err := c.Get(t.Context(), c.Question("", 0)); err != nil || !g.Complete {
		t.Errorf("the next one: %v", err)
	}
}

// TestDrain: who comes during a drain is refused with a time to come back, a poll too; what is open has its answer.
func TestDrain(t *testing.T) {
	s := start(t, flight.Options{}, 400*time.Millisecond, nil)
	c := s.client()
	p, err := c.PollFlightInfo(t.Context(), &arrowflight.FlightDescriptor{Type: arrowflight.DescriptorCMD, Cmd: c.Question("", 0, 1)})
	if err != nil || p.FlightDescriptor == nil {
		t.Fatalf("poll: %v, %v", p, err)
	}
	polled, got := make(chan error, 1), make(chan error, 1)
	go func() {
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(5*time.Second))
		defer cancel()
		_, err := c.PollFlightInfo(ctx, p.FlightDescriptor)
		polled <- err
	}()
	go func() {
		g, err := c.Get(t.Context(), c.Question("", 2))
		if err == nil && !g.Complete {
			err = errors.New("not whole")
		}
		got <- err
	}()
	time.Sleep(100 * time.Millisecond)
	drained := make(chan struct{})
	go func() { s.server.Drain(); close(drained) }()
	if err := <-polled; retry(err) == 0 {
		t.Errorf("a poll under way: %v", err)
	}
	if err := <-got; err != nil {
		t.Errorf("a query under way: %v", err)
	}
	select {
	case <-drained:
	case <-time.After(5 * time.Second):
		t.Fatal("the drain does not end")
	}
}

// TestCancelRunning: a flight that is given up while its parts are out has them given up at their data nodes.
func TestCancelRunning(t *testing.T) {
	s := start(t, flight.Options{}, 10*time.Second, nil)
	c := s.client()
	p, err := c.PollFlightInfo(t.Context(), &arrowflight.FlightDescriptor{Type: arrowflight.DescriptorCMD, Cmd: c.Question("", 0, 1, 2, 3)})
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); s.ledger.Out() < 4 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	if err := c.Cancel(t.Context(), &arrowflight.FlightInfo{FlightDescriptor: p.FlightDescriptor}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); s.ledger.Out()+s.core.OpenCount() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d parts are still out, %d open", s.ledger.Out(), s.core.OpenCount())
		}
	}
	if _, err := c.PollFlightInfo(t.Context(), p.FlightDescriptor); status.Code(err) != codes.Canceled {
		t.Errorf("asked after: %v", err)
	}
}

// TestLeave: a client that leaves an exchange has its parts given up at their data nodes.
func TestLeave(t *testing.T) {
	s := start(t, flight.Options{}, 10*time.Second, nil)
	c := s.client()
	e, err := c.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		e.Ask(c.Question(fmt.Sprintf(`"id":"q%d","deadline_ms":5000,`, i), i%shards))
	}
	for end := time.Now().Add(5 * time.Second); s.ledger.Out() < 20; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d parts are out", s.ledger.Out())
		}
	}
	e.Leave()
	for end := time.Now().Add(5 * time.Second); s.ledger.Out()+s.core.OpenCount() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d parts are still out, %d open", s.ledger.Out(), s.core.OpenCount())
		}
	}
	if a := s.ledger.Account(); a.Twins > 0 {
		t.Errorf("%d twins", a.Twins)
	}
}

// ratings is a class's schema of its own, with a dictionary.
func ratings(t *testing.T) *arrow.Schema {
	t.Helper()
	schema, err := flight.NewSchema([]flight.Field{{Name: "player", Type: "string"}, {Name: "rating", Type: "int32"}, {Name: "club", Type: "dictionary"}})
	if err != nil {
		t.Fatal(err)
	}
	return schema
}

// batch is a document of a class with a schema.
func batch(t *testing.T, schema *arrow.Schema, rows int) []byte {
	t.Helper()
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	for i := range rows {
		b.Field(0).(*array.StringBuilder).Append(fmt.Sprint("player ", i))
		b.Field(1).(*array.Int32Builder).Append(int32(1500 + i))
		if err := b.Field(2).(*array.BinaryDictionaryBuilder).AppendString([]string{"Olinda", "Natal"}[i%2]); err != nil {
			t.Fatal(err)
		}
	}
	rec := b.NewRecordBatch()
	defer rec.Release()
	doc, err := flight.EncodeBatch(rec)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// TestSchemas: batches of a class with a schema of its own are passed on as they are; those of another schema, cut
// short, or that lie about their lengths fail their answer and nothing else.
func TestSchemas(t *testing.T) {
	schema := ratings(t)
	doc := batch(t, schema, 100)
	other, err := flight.NewSchema([]flight.Field{{Name: "x", Type: "int32"}})
	if err != nil {
		t.Fatal(err)
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, other)
	b.Field(0).(*array.Int32Builder).Append(1)
	wrong, err := flight.EncodeBatch(b.NewRecordBatch())
	if err != nil {
		t.Fatal(err)
	}
	docs := map[int][]byte{0: doc, 1: doc, 2: wrong, 3: doc[:len(doc)/2], 4: []byte("noise"), 5: nil}
	lies := bytes.Clone(doc)
	for i := len(lies) / 4; i < len(lies)/2; i++ {
		lies[i] ^= 0xff
	}
	docs[6] = lies
	s := start(t, flight.Options{Classes: []flight.Class{{Name: "rating", Schema: schema}, {Name: "report"}}}, 0,
		answers(t, func(shard int) []byte { return docs[shard] }))
	c := s.client()
	get := func(shards ...int) (rows int64, batches int, err error) {
		ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(5*time.Second))
		defer cancel()
		stream, err := c.DoGet(ctx, &arrowflight.Ticket{Ticket: bytes.Replace(c.Question("", shards...), []byte("report"), []byte("rating"), 1)})
		if err != nil {
			return 0, 0, err
		}
		in, err := arrowflight.NewRecordReader(stream)
		if err != nil {
			return 0, 0, err
		}
		defer in.Release()
		for in.Next() {
			if !in.RecordBatch().Schema().Equal(schema) {
				t.Errorf("schema %v", in.RecordBatch().Schema())
			}
			clubs := in.RecordBatch().Column(2).(*array.Dictionary)
			for i := range clubs.Len() {
				if got := clubs.Dictionary().(*array.String).Value(clubs.GetValueIndex(i)); got != []string{"Olinda", "Natal"}[i%2] {
					t.Fatalf("row %d is of club %s", i, got)
				}
			}
			rows += in.RecordBatch().NumRows()
			batches++
		}
		return rows, batches, in.Err()
	}
	if rows, batches, err := get(0, 1); rows != 200 || batches != 2 || err != nil {
		t.Errorf("%d rows in %d batches: %v", rows, batches, err)
	}
	for shard := 2; shard < 7; shard++ {
		_, _, err := get(shard)
		if code := status.Code(err); code != codes.DataLoss {
			t.Errorf("shard %d: %v", shard, err)
		}
	}
	if rows, _, err := get(0, 1); rows != 200 || err != nil {
		t.Errorf("after all of that: %d rows, %v", rows, err)
	}
}

// TestNetworks: addresses that are denied may not ask; those of a network are its owner's.
func TestNetworks(t *testing.T) {
	s := start(t, flight.Options{}, time.Millisecond, nil)
	c := s.client()
	for _, p := range []struct {
		people func(*flight.People)
		want   codes.Code
	}{
		{func(*flight.People) {}, codes.OK},
		{func(p *flight.People) { p.Denied = set("127.0.0.0/8") }, codes.PermissionDenied},
		{func(p *flight.People) { p.Allowed = set("127.0.0.0/8") }, codes.OK},
		{func(p *flight.People) { p.Allowed = set("10.0.0.0/8") }, codes.PermissionDenied},
		{func(p *flight.People) { p.Networks = table("127.0.0.0/8", "club") }, codes.OK},
		{func(p *flight.People) { p.Networks = table("127.0.0.0/8", "natal") }, codes.PermissionDenied}, // the ticket is of club
		{func(p *flight.People) { p.Networks = table("10.0.0.0/8", "club") }, codes.Unauthenticated},
	} {
		var people flight.People
		p.people(&people)
		if err := s.server.Reload(people, nil, admission.Config{}); err != nil {
			t.Fatal(err)
		}
		_, err := c.Get(t.Context(), c.Question("", 0))
		if got := status.Code(err); got != p.want {
			t.Errorf("%+v: %v, want %v", people, err, p.want)
		}
	}
}

// TestSecretsStay: no error tells a secret.
func TestSecretsStay(t *testing.T) {
	s := start(t, flight.Options{People: people, Keys: []flight.Key{{ID: 1, Secret: []byte("a secret of sixteen")}}}, time.Millisecond, nil)
	c := s.client(users...)
	for _, header := range []string{"Bearer token-of-sertao-1", "Basic cDpw"} {
		_, err := c.As("authorization", header).Get(t.Context(), []byte("gf?"))
		for _, secret := range []string{"token-of", "secret of"} {
			if err == nil || strings.Contains(err.Error(), secret) {
				t.Errorf("%s: %v", header, err)
			}
		}
	}
}

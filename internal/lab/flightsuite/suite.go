// Package flightsuite is a conformance suite for the Arrow Flight front: a list of named cases, each a few calls with
// their expected results. It runs against any address, from tests and from gullfall-lab. Cases check only what holds for
// every answer and do not depend on which data nodes answer.
package flightsuite

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	gen "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Env describes the server under test.
type Env struct {
	Addr   string
	Class  string                 // a class whose answers are documents
	Shards int                    // number of shards of the class; 4 or more
	Doc    func(shard int) string // expected document of a shard; nil if unknown
	Users  []User                 // two users of different owners if the server requires credentials; otherwise empty
	// Window is the flow-control window: how many bytes the server may send ahead of the reader, 64 KiB or more; 0 lets the gRPC
	// library adapt it.
	Window int32
}

// User holds the credentials of a user that the server accepts.
type User struct{ Owner, Name, Password, Token string }

// Case is one conformance check.
type Case struct {
	Name  string
	Users bool // runs only if the server requires credentials
	Open  bool // runs only if the server requires no credentials
	Run   func(ctx context.Context, c *Client) error
}

// Client is the Flight client with which the cases call the server.
type Client struct {
	Env
	flight.Client
	cc     *grpc.ClientConn
	header []string
}

// Dial opens a connection, with the gRPC library's retries turned off.
func Dial(e Env) (*Client, error) {
	options := []grpc.DialOption{grpc.WithDisableRetry(), grpc.WithNoProxy(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16 << 20))}
	if e.Window > 0 {
		options = append(options, grpc.WithInitialWindowSize(e.Window), grpc.WithInitialConnWindowSize(e.Window))
	}
	cc, err := grpc.NewClient("passthrough:///"+e.Addr, options...)
	if err != nil {
		return nil, err
	}
	return &Client{Env: e, Client: flight.NewClientFromConn(cc, nil), cc: cc}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.cc.Close() }

// As returns a client on the same connection whose calls carry additional headers, given as key and value pairs.
func (c *Client) As(header ...string) *Client { return c.withHeader(header...) }

// Cancel cancels a flight.
func (c *Client) Cancel(ctx context.Context, info *flight.FlightInfo) error {
	_, err := c.doAction(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &gen.CancelFlightInfoResult{})
	return err
}

// withHeader implements As.
func (c *Client) withHeader(header ...string) *Client {
	d := *c
	d.header = append(slices.Clone(c.header), header...)
	return &d
}

// Context returns the context of one call, with the client's headers and a deadline of 5 s.
func (c *Client) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	if len(c.header) > 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, c.header...)
	}
	return context.WithDeadline(ctx, time.Now().Add(5*time.Second))
}

// Question returns a query ticket for shards, with equal weights. extraFields is JSON text of more fields, each with a
// trailing comma.
func (c *Client) Question(extraFields string, shards ...int) []byte {
	var list []string
	for _, s := range shards {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%.9f}`, s, 1/float64(len(shards))))
	}
	owner := ""
	if len(c.Users) == 0 {
		owner = `"owner":"club",`
	}
	return fmt.Appendf(nil, `{"class":%q,%s%s"shards":[%s],"q":"c41e77d0"}`, c.Class, owner, extraFields, strings.Join(list, ","))
}

// Got is the content of a stream, or of one answer on an exchange.
type Got struct {
	Docs        map[int][]string // by shard
	Batches     int
	Complete    bool
	LastBatches int // batches marked as the last one
	Missing     []int
	Schema      *arrow.Schema
	Retry       time.Duration // retry delay of a query rejected on an exchange
}

type batchMetadata struct {
	ID       string
	Shard    *int
	Complete bool
	Last     bool
	Missing  []int
	Status   string
	Message  string
	RetryMS  int64 `json:"retry_ms"`
}

// Read reads a stream of record batches to its end.
func Read(in *flight.Reader) (g Got, err error) {
	g.Docs = map[int][]string{}
	g.Schema = in.Schema()
	for in.Next() {
		var m batchMetadata
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return g, fmt.Errorf("metadata %q: %w", in.LatestAppMetadata(), err)
		}
		g.Batches++
		g.Complete = m.Complete
		if m.Last {
			g.LastBatches++
			g.Missing = m.Missing
		}
		if err := appendDocs(g.Docs, in.RecordBatch(), m); err != nil {
			return g, err
		}
	}
	return g, in.Err()
}

func appendDocs(docs map[int][]string, rec arrow.RecordBatch, m batchMetadata) error {
	shards, ok := rec.Column(0).(*array.Int32)
	values, ok2 := rec.Column(1).(*array.Binary)
	if !ok || !ok2 {
		return fmt.Errorf("unexpected schema %v", rec.Schema())
	}
	for i := range values.Len() {
		s := int(shards.Value(i))
		if m.Shard != nil && *m.Shard != s {
			return fmt.Errorf("metadata names shard %d, the row has shard %d", *m.Shard, s)
		}
		docs[s] = append(docs[s], string(values.Value(i)))
	}
	return nil
}

// Get fetches the answer to a ticket.
func (c *Client) Get(ctx context.Context, ticket []byte) (Got, error) {
	ctx, cancel := c.Context(ctx)
	defer cancel()
	stream, err := c.DoGet(ctx, &flight.Ticket{Ticket: ticket})
	if err != nil {
		return Got{}, err
	}
	in, err := flight.NewRecordReader(stream)
	if err != nil {
		return Got{}, err
	}
	defer in.Release()
	return Read(in)
}

// checkComplete checks that err is nil and that an answer is complete, with documents of exactly the given shards.
func (c *Client) checkComplete(g Got, err error, shards ...int) error {
	if err != nil {
		return err
	}
	if !g.Complete || g.LastBatches != 1 || len(g.Missing) > 0 {
		return fmt.Errorf("complete %v, %d last batches, missing %v", g.Complete, g.LastBatches, g.Missing)
	}
	slices.Sort(shards)
	if got := slices.Sorted(maps.Keys(g.Docs)); !slices.Equal(got, shards) {
		return fmt.Errorf("documents of shards %v, want %v", got, shards)
	}
	for s, docs := range g.Docs {
		if len(docs) == 0 || c.Doc != nil && (len(docs) != 1 || docs[0] != c.Doc(s)) {
			return fmt.Errorf("shard %d has %q", s, docs)
		}
	}
	return nil
}

// checkStatus checks the code of an error, that its message is not empty and that it contains the words. An Unavailable error
// must carry a retry delay.
func checkStatus(err error, code codes.Code, words ...string) error {
	st := status.Convert(err)
	if st.Code() != code {
		return fmt.Errorf("status %v (%s), want %v", st.Code(), st.Message(), code)
	}
	if code != codes.OK && st.Message() == "" {
		return fmt.Errorf("status %v without a message", code)
	}
	for _, w := range words {
		if !strings.Contains(st.Message(), w) {
			return fmt.Errorf("status %v: message %q does not contain %q", code, st.Message(), w)
		}
	}
	if code == codes.Unavailable {
		for _, d := range st.Details() {
			if r, ok := d.(*errdetails.RetryInfo); ok && r.GetRetryDelay().AsDuration() > 0 {
				return nil
			}
		}
		return fmt.Errorf("status Unavailable without a retry delay: %q", st.Message())
	}
	return nil
}

func commandDescriptor(raw []byte) *flight.FlightDescriptor {
	return &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: raw}
}

func pathDescriptor(words ...string) *flight.FlightDescriptor {
	return &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: words}
}

// getFlightInfo calls GetFlightInfo with the client's headers and deadline.
func (c *Client) getFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	ctx, cancel := c.Context(ctx)
	defer cancel()
	return c.GetFlightInfo(ctx, d)
}

// doAction calls DoAction, reads one result and returns the session cookie from the response header, if any.
func (c *Client) doAction(ctx context.Context, kind string, body, result proto.Message) (cookie string, err error) {
	raw, err := proto.Marshal(body)
	if err != nil {
		return "", err
	}
	ctx, cancel := c.Context(ctx)
	defer cancel()
	stream, err := c.DoAction(ctx, &flight.Action{Type: kind, Body: raw})
	if err != nil {
		return "", err
	}
	r, err := stream.Recv()
	if err != nil {
		return "", err
	}
	if md, err := stream.Header(); err == nil && len(md.Get("set-cookie")) > 0 {
		cookie, _, _ = strings.Cut(md.Get("set-cookie")[0], ";")
	}
	return cookie, proto.Unmarshal(r.GetBody(), result)
}

// Exchange is a DoExchange stream for many queries.
type Exchange struct {
	c       *Client
	stream  flight.FlightService_DoExchangeClient
	cancel  context.CancelFunc
	mu      sync.Mutex // guards sends on the stream, and started
	started bool
}

// Begin opens an exchange.
func (c *Client) Begin(ctx context.Context) (*Exchange, error) {
	if len(c.header) > 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, c.header...)
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := c.DoExchange(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &Exchange{c: c, stream: stream, cancel: cancel}, nil
}

// Ask sends a query. The first one also names the class.
func (e *Exchange) Ask(raw []byte) error {
	m := &flight.FlightData{AppMetadata: raw}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.started {
		m.FlightDescriptor, e.started = pathDescriptor(e.c.Class), true
	}
	return e.stream.Send(m)
}

// AskAll sends queries in order and then closes the sending side.
func (e *Exchange) AskAll(queries ...[]byte) error {
	for _, query := range queries {
		if err := e.Ask(query); err != nil {
			return err
		}
	}
	return e.Done()
}

// Done closes the sending side: no more queries follow.
func (e *Exchange) Done() error { return e.stream.CloseSend() }

// Leave cancels the exchange at once.
func (e *Exchange) Leave() { e.cancel() }

// Answers reads until the exchange ends and calls each at the end of every query. Answers with batches have code OK.
func (e *Exchange) Answers(each func(id string, code string, g Got)) error {
	in, err := flight.NewRecordReader(e.stream)
	if errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return err
	}
	defer in.Release()
	open := map[string]*Got{}
	for in.Next() {
		var m batchMetadata
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return fmt.Errorf("metadata %q: %w", in.LatestAppMetadata(), err)
		}
		if m.Status != "" {
			each(m.ID, m.Status, Got{Retry: time.Duration(m.RetryMS) * time.Millisecond})
			continue
		}
		g := open[m.ID]
		if g == nil {
			g = &Got{Docs: map[int][]string{}}
			open[m.ID] = g
		}
		if err := appendDocs(g.Docs, in.RecordBatch(), m); err != nil {
			return err
		}
		if g.Complete = m.Complete; m.Last {
			g.LastBatches, g.Missing = 1, m.Missing
			delete(open, m.ID)
			each(m.ID, "OK", *g)
		}
	}
	if len(open) > 0 && in.Err() == nil {
		return fmt.Errorf("%d answers without their last batch", len(open))
	}
	return in.Err()
}

// Result is the outcome of a case.
type Result struct {
	Name    string `json:"name"`
	Passed  bool   `json:"passed"`
	Skipped bool   `json:"skipped,omitempty"`
	Fault   string `json:"fault,omitempty"`
}

// Run runs all cases, each on a connection of its own.
func Run(ctx context.Context, e Env) (list []Result) {
	for _, c := range Cases {
		r := Result{Name: c.Name, Skipped: c.Users && len(e.Users) < 2 || c.Open && len(e.Users) > 0}
		if !r.Skipped {
			err := runCase(ctx, e, c)
			if r.Passed = err == nil; err != nil {
				r.Fault = err.Error()
			}
		}
		list = append(list, r)
	}
	return list
}

// runCase runs one case on a connection of its own; a panic is returned as an error.
func runCase(ctx context.Context, e Env, c Case) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panic: %v", cause)
		}
	}()
	client, err := Dial(e)
	if err != nil {
		return err
	}
	defer client.Close()
	if len(e.Users) > 0 {
		client.header = []string{"authorization", "Bearer " + e.Users[0].Token}
	}
	return c.Run(ctx, client)
}

// basicAuth returns the Basic authorization header for a user's name and password.
func basicAuth(u User) string {
	return "Basic " + base64.StdEncoding.EncodeToString([]byte(u.Name+":"+u.Password))
}

// Session opens a session with options and returns a client whose calls belong to it.
func (c *Client) Session(ctx context.Context, set map[string]*gen.SessionOptionValue) (*Client, error) {
	cookie, err := c.doAction(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: set}, &gen.SetSessionOptionsResult{})
	if err != nil {
		return nil, err
	}
	return c.withHeader("cookie", cookie), nil
}

// Package flightsuite is a conformance suite of the second front: a list of cases with names, each of them a few calls
// and what must come of them. It runs against any address, from a test as from gullfall-lab. It must never depend on
// which data nodes answer, only on what every answer must be.
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

// Env is what the cases run against.
type Env struct {
	Addr   string
	Class  string                 // one whose answers are documents
	Shards int                    // that it has; 4 or more
	Doc    func(shard int) string // what every answer must hold; nil where it is not known
	Users  []User                 // two of two owners, where credentials are needed; else none
	// Window is how many bytes the server may send ahead of a reader, 64 KiB at least; 0 lets the library adapt it.
	Window int32
}

// User is one that is let in.
type User struct{ Owner, Name, Password, Token string }

// Case is one thing that must hold.
type Case struct {
	Name  string
	Users bool // needs users
	Open  bool // needs that there are none
	Run   func(ctx context.Context, c *Client) error
}

// Client is a caller of the cases.
type Client struct {
	Env
	flight.Client
	cc     *grpc.ClientConn
	header []string
}

// Dial opens a connection. Nothing is tried again by the library.
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

// Close ends the connection.
func (c *Client) Close() { c.cc.Close() }

// As is a client whose calls carry a header.
func (c *Client) As(header ...string) *Client { return c.as(header...) }

// Cancel gives a flight up.
func (c *Client) Cancel(ctx context.Context, info *flight.FlightInfo) error {
	_, err := c.act(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &gen.CancelFlightInfoResult{})
	return err
}

// as is As within the package.
func (c *Client) as(header ...string) *Client {
	d := *c
	d.header = append(slices.Clone(c.header), header...)
	return &d
}

// Context is a call's, with its headers and its time.
func (c *Client) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	if len(c.header) > 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, c.header...)
	}
	return context.WithDeadline(ctx, time.Now().Add(5*time.Second))
}

// Question is a plain ticket for shards.
func (c *Client) Question(more string, shards ...int) []byte {
	var list []string
	for _, s := range shards {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%.9f}`, s, 1/float64(len(shards))))
	}
	owner := ""
	if len(c.Users) == 0 {
		owner = `"owner":"club",`
	}
	return fmt.Appendf(nil, `{"class":%q,%s%s"shards":[%s],"q":"c41e77d0"}`, c.Class, owner, more, strings.Join(list, ","))
}

// Got is what a stream has brought.
type Got struct {
	Docs     map[int][]string
	Batches  int
	Complete bool
	Lasts    int
	Missing  []int
	Schema   *arrow.Schema
	Retry    time.Duration // of a refusal on an exchange: when to come back
}

type meta struct {
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
		var m meta
		if err := json.Unmarshal(in.LatestAppMetadata(), &m); err != nil {
			return g, fmt.Errorf("metadata %q: %w", in.LatestAppMetadata(), err)
		}
		g.Batches++
		g.Complete = m.Complete
		if m.Last {
			g.Lasts++
			g.Missing = m.Missing
		}
		if err := take(g.Docs, in.RecordBatch(), m); err != nil {
			return g, err
		}
	}
	return g, in.Err()
}

func take(docs map[int][]string, rec arrow.RecordBatch, m meta) error {
	shards, ok := rec.Column(0).(*array.Int32)
	values, ok2 := rec.Column(1).(*array.Binary)
	if !ok || !ok2 {
		return fmt.Errorf("schema %v", rec.Schema())
	}
	for i := range values.Len() {
		s := int(shards.Value(i))
		if m.Shard != nil && *m.Shard != s {
			return fmt.Errorf("metadata names shard %d, the row is of %d", *m.Shard, s)
		}
		docs[s] = append(docs[s], string(values.Value(i)))
	}
	return nil
}

// Get fetches a ticket.
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

// whole checks that an answer is the whole one of the shards.
func (c *Client) whole(g Got, err error, shards ...int) error {
	if err != nil {
		return err
	}
	if !g.Complete || g.Lasts != 1 || len(g.Missing) > 0 {
		return fmt.Errorf("complete %v, %d last batches, missing %v", g.Complete, g.Lasts, g.Missing)
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

// want checks an error's code, and that it says something. A refusal must tell when to come back.
func want(err error, code codes.Code, words ...string) error {
	st := status.Convert(err)
	if st.Code() != code {
		return fmt.Errorf("status %v (%s), want %v", st.Code(), st.Message(), code)
	}
	if code != codes.OK && st.Message() == "" {
		return fmt.Errorf("status %v without words", code)
	}
	for _, w := range words {
		if !strings.Contains(st.Message(), w) {
			return fmt.Errorf("status %v says %q, nothing of %q", code, st.Message(), w)
		}
	}
	if code == codes.Unavailable {
		for _, d := range st.Details() {
			if r, ok := d.(*errdetails.RetryInfo); ok && r.GetRetryDelay().AsDuration() > 0 {
				return nil
			}
		}
		return fmt.Errorf("a refusal that does not say when to come back: %q", st.Message())
	}
	return nil
}

func command(raw []byte) *flight.FlightDescriptor {
	return &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: raw}
}

func path(words ...string) *flight.FlightDescriptor {
	return &flight.FlightDescriptor{Type: flight.DescriptorPATH, Path: words}
}

// info is GetFlightInfo.
func (c *Client) info(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	ctx, cancel := c.Context(ctx)
	defer cancel()
	return c.GetFlightInfo(ctx, d)
}

// act is DoAction with one result, whose trailing header is returned too.
func (c *Client) act(ctx context.Context, kind string, body, result proto.Message) (cookie string, err error) {
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

// Exchange is one stream of many questions.
type Exchange struct {
	c      *Client
	stream flight.FlightService_DoExchangeClient
	cancel context.CancelFunc
	mu     sync.Mutex // guards sending
	begun  bool
}

// Begin opens an exchange for the class.
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

// Ask sends a question.
func (e *Exchange) Ask(raw []byte) error {
	m := &flight.FlightData{AppMetadata: raw}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.begun {
		m.FlightDescriptor, e.begun = path(e.c.Class), true
	}
	return e.stream.Send(m)
}

// AskAll sends questions one after the other, and that there are no more.
func (e *Exchange) AskAll(questions ...[]byte) error {
	for _, question := range questions {
		if err := e.Ask(question); err != nil {
			return err
		}
	}
	return e.Done()
}

// Done says that no more questions come.
func (e *Exchange) Done() error { return e.stream.CloseSend() }

// Leave ends the exchange at once.
func (e *Exchange) Leave() { e.cancel() }

// Answers reads until the exchange ends; each tells of one query's end. Answers with batches have code OK.
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
		var m meta
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
		if err := take(g.Docs, in.RecordBatch(), m); err != nil {
			return err
		}
		if g.Complete = m.Complete; m.Last {
			g.Lasts, g.Missing = 1, m.Missing
			delete(open, m.ID)
			each(m.ID, "OK", *g)
		}
	}
	if len(open) > 0 && in.Err() == nil {
		return fmt.Errorf("%d answers without their last batch", len(open))
	}
	return in.Err()
}

// Result is what became of a case.
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

// runCase runs one case on a connection of its own; a panic of the case is its fault.
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

// basic is the authorization header of a user's name and password.
func basic(u User) string {
	return "Basic " + base64.StdEncoding.EncodeToString([]byte(u.Name+":"+u.Password))
}

// Session opens a session with options and returns a client whose calls are of it.
func (c *Client) Session(ctx context.Context, set map[string]*gen.SessionOptionValue) (*Client, error) {
	cookie, err := c.act(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: set}, &gen.SetSessionOptionsResult{})
	if err != nil {
		return nil, err
	}
	return c.as("cookie", cookie), nil
}

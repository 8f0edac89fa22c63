package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/status"

	"gullfall/internal/lab/fleet"
	"gullfall/internal/lab/flightsuite"
)

// refusal is the error of a query that the server rejected, with the delay after which it may be sent again.
type refusal struct{ after time.Duration }

func (r refusal) Error() string { return "refused" }

// asRefusal returns a refusal if err is a gRPC status with a RetryInfo detail, and err otherwise.
func asRefusal(err error) error {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			return refusal{r.GetRetryDelay().AsDuration()}
		}
	}
	return err
}

// queryClient sends queries of four parts by one protocol. Its methods may be called by many clients at once.
type queryClient interface {
	// query sends query n and waits for its answer. If the server asks for a later retry, the error is a refusal.
	query(ctx context.Context, n int) error
	close()
}

// maxFlightConnections is the maximum number of Arrow Flight connections; clients beyond it share them.
const maxFlightConnections = 16

// newQueryClient connects to a fleet's coordinator for a number of clients. The way is the protocol: platform, DoGet or DoExchange.
func newQueryClient(ctx context.Context, f *fleet.Fleet, way string, clients int) (queryClient, error) {
	switch way {
	case "platform":
		return newPlatformClient(f, clients), nil
	case "DoGet":
		return newGetClient(f, clients)
	default:
		return newExchangeClient(ctx, f, clients)
	}
}

// fourShards returns the four of 16 shards that query n reads.
func fourShards(n int) []int { return []int{n % 16, (n + 4) % 16, (n + 8) % 16, (n + 12) % 16} }

// platformClient sends queries by the platform's HTTP protocol.
type platformClient struct {
	url       string
	clients   int
	transport *http.Transport
	requests  flightsuite.Client
	lastID    atomic.Int64
}

func newPlatformClient(f *fleet.Fleet, clients int) *platformClient {
	return &platformClient{url: "http://" + f.Front + "/report", clients: clients, transport: &http.Transport{MaxIdleConnsPerHost: clients},
		requests: flightsuite.Client{Env: suiteEnv(f, nil)}}
}

func (a *platformClient) query(ctx context.Context, n int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(a.requests.Question("", fourShards(n)...)))
	if err != nil {
		return err
	}
	req.Header.Set("Req-Id", "m"+strconv.FormatInt(a.lastID.Add(1), 10)+"-"+strconv.Itoa(a.clients))
	req.Header.Set("Req-Owner", "club")
	req.Header.Set("Req-Deadline-Ms", "2000")
	res, err := (&http.Client{Transport: a.transport}).Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	var answer struct{ Complete bool }
	if err == nil {
		err = json.Unmarshal(raw, &answer)
	}
	if seconds, perr := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); res.StatusCode == http.StatusServiceUnavailable && perr == nil {
		return refusal{time.Duration(seconds * float64(time.Second))}
	}
	if err == nil && (res.StatusCode != http.StatusOK || !answer.Complete) {
		err = fmt.Errorf("query over HTTP: status %d, complete %v", res.StatusCode, answer.Complete)
	}
	return err
}

func (a *platformClient) close() { a.transport.CloseIdleConnections() }

// getClient sends each query as a separate DoGet call.
type getClient struct{ conns []*flightsuite.Client }

func newGetClient(f *fleet.Fleet, clients int) (*getClient, error) {
	a := &getClient{}
	for range min(clients, maxFlightConnections) {
		c, err := flightsuite.Dial(suiteEnv(f, nil))
		if err != nil {
			a.close()
			return nil, err
		}
		a.conns = append(a.conns, c)
	}
	return a, nil
}

func (a *getClient) query(ctx context.Context, n int) error {
	g, err := a.conns[n%len(a.conns)].Get(ctx, a.conns[0].Question("", fourShards(n)...))
	if err == nil && !g.Complete {
		err = errors.New("DoGet: incomplete answer")
	}
	return asRefusal(err)
}

func (a *getClient) close() {
	for _, c := range a.conns {
		c.Close()
	}
}

// exchangeClient multiplexes queries over a few DoExchange streams.
type exchangeClient struct {
	streams []*exchangeStream
	lastID  atomic.Int64
}

// exchangeStream is one DoExchange stream with the queries that wait for an answer on it.
type exchangeStream struct {
	client   *flightsuite.Client
	exchange *flightsuite.Exchange

	// mu guards pending.
	mu      sync.Mutex
	pending map[string]chan error // by query id; buffered, so that delivery does not block
}

func newExchangeClient(ctx context.Context, f *fleet.Fleet, clients int) (*exchangeClient, error) {
	a := &exchangeClient{}
	for range min(clients, maxFlightConnections) {
		c, err := flightsuite.Dial(suiteEnv(f, nil))
		if err != nil {
			a.close()
			return nil, err
		}
		e, err := c.Begin(ctx)
		if err != nil {
			c.Close()
			a.close()
			return nil, err
		}
		s := &exchangeStream{client: c, exchange: e, pending: map[string]chan error{}}
		go func() { _ = e.Answers(s.deliver) }() // if the stream fails, its queries end at their deadlines
		a.streams = append(a.streams, s)
	}
	return a, nil
}

// deliver passes a query's result to the caller that waits for it.
func (s *exchangeStream) deliver(id, code string, g flightsuite.Got) {
	var err error
	switch {
	case g.Retry > 0:
		err = refusal{g.Retry}
	case code != "OK" || !g.Complete:
		err = fmt.Errorf("query over DoExchange: status %s, complete %v", code, g.Complete)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch := s.pending[id]; ch != nil {
		ch <- err
		delete(s.pending, id)
	}
}

func (a *exchangeClient) query(ctx context.Context, n int) error {
	s := a.streams[n%len(a.streams)]
	id, ch := strconv.FormatInt(a.lastID.Add(1), 10), make(chan error, 1)
	s.mu.Lock()
	s.pending[id] = ch
	s.mu.Unlock()
	if err := s.exchange.Ask(s.client.Question(fmt.Sprintf(`"id":%q,"deadline_ms":2000,`, id), fourShards(n)...)); err != nil {
		return err
	}
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *exchangeClient) close() {
	for _, s := range a.streams {
		s.exchange.Leave()
		s.client.Close()
	}
}

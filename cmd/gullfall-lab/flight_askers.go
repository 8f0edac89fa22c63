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

// refusal is the error of a query that was rejected with a delay before the next attempt.
type refusal struct{ after time.Duration }

func (r refusal) Error() string { return "refused" }

// retryAfter returns a refusal if err is a gRPC status with a RetryInfo detail, and err otherwise.
func retryAfter(err error) error {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok {
			return refusal{r.GetRetryDelay().AsDuration()}
		}
	}
	return err
}

// asker sends queries of four parts by one protocol. Its methods may be called by many clients at once.
type asker interface {
	// ask sends query n and waits for its answer. If the server asks for a later retry, the error is a refusal.
	ask(ctx context.Context, n int) error
	close()
}

// mostConnections is the maximum number of Arrow Flight connections; clients beyond it share them.
const mostConnections = 16

// newAsker connects to a fleet's coordinator for a number of clients. The ways are platform, DoGet and DoExchange.
func newAsker(ctx context.Context, f *fleet.Fleet, way string, clients int) (asker, error) {
	switch way {
	case "platform":
		return newPlatformAsker(f, clients), nil
	case "DoGet":
		return newGetAsker(f, clients)
	default:
		return newExchangeAsker(ctx, f, clients)
	}
}

// fourShards returns the four of 16 shards that query n reads.
func fourShards(n int) []int { return []int{n % 16, (n + 4) % 16, (n + 8) % 16, (n + 12) % 16} }

// platformAsker sends queries by the platform's HTTP protocol.
type platformAsker struct {
	url       string
	clients   int
	transport *http.Transport
	questions flightsuite.Client
	number    atomic.Int64
}

func newPlatformAsker(f *fleet.Fleet, clients int) *platformAsker {
	return &platformAsker{url: "http://" + f.Front + "/report", clients: clients, transport: &http.Transport{MaxIdleConnsPerHost: clients},
		questions: flightsuite.Client{Env: env(f, nil)}}
}

func (a *platformAsker) ask(ctx context.Context, n int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(a.questions.Question("", fourShards(n)...)))
	if err != nil {
		return err
	}
	req.Header.Set("Req-Id", "m"+strconv.FormatInt(a.number.Add(1), 10)+"-"+strconv.Itoa(a.clients))
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

func (a *platformAsker) close() { a.transport.CloseIdleConnections() }

// getAsker sends each query as a separate DoGet call.
type getAsker struct{ list []*flightsuite.Client }

func newGetAsker(f *fleet.Fleet, clients int) (*getAsker, error) {
	a := &getAsker{}
	for range min(clients, mostConnections) {
		c, err := flightsuite.Dial(env(f, nil))
		if err != nil {
			a.close()
			return nil, err
		}
		a.list = append(a.list, c)
	}
	return a, nil
}

func (a *getAsker) ask(ctx context.Context, n int) error {
	g, err := a.list[n%len(a.list)].Get(ctx, a.list[0].Question("", fourShards(n)...))
	if err == nil && !g.Complete {
		err = errors.New("DoGet: incomplete answer")
	}
	return retryAfter(err)
}

func (a *getAsker) close() {
	for _, c := range a.list {
		c.Close()
	}
}

// exchangeAsker multiplexes queries over a few DoExchange streams.
type exchangeAsker struct {
	list   []*exchangeStream
	number atomic.Int64
}

// exchangeStream is one DoExchange stream with the queries that wait for an answer on it.
type exchangeStream struct {
	client   *flightsuite.Client
	exchange *flightsuite.Exchange

	// mu guards waiting.
	mu      sync.Mutex
	waiting map[string]chan error // by query id; buffered, so that delivery does not block
}

func newExchangeAsker(ctx context.Context, f *fleet.Fleet, clients int) (*exchangeAsker, error) {
	a := &exchangeAsker{}
	for range min(clients, mostConnections) {
		c, err := flightsuite.Dial(env(f, nil))
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
		s := &exchangeStream{client: c, exchange: e, waiting: map[string]chan error{}}
		go func() { _ = e.Answers(s.answered) }() // if the stream fails, its queries end at their deadlines
		a.list = append(a.list, s)
	}
	return a, nil
}

// answered passes a query's result to the caller that waits for it.
func (s *exchangeStream) answered(id, code string, g flightsuite.Got) {
	var err error
	switch {
	case g.Retry > 0:
		err = refusal{g.Retry}
	case code != "OK" || !g.Complete:
		err = fmt.Errorf("query over DoExchange: status %s, complete %v", code, g.Complete)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch := s.waiting[id]; ch != nil {
		ch <- err
		delete(s.waiting, id)
	}
}

func (a *exchangeAsker) ask(ctx context.Context, n int) error {
	s := a.list[n%len(a.list)]
	id, ch := strconv.FormatInt(a.number.Add(1), 10), make(chan error, 1)
	s.mu.Lock()
	s.waiting[id] = ch
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

func (a *exchangeAsker) close() {
	for _, s := range a.list {
		s.exchange.Leave()
		s.client.Close()
	}
}

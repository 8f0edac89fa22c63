package flightsuite

// The cases, grouped by call. Each name states the expected behaviour.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	gen "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// Cases lists all cases, in the order in which Run runs them.
var Cases = []Case{
	{Name: "DoGet: a query ticket returns the complete answer", Run: func(ctx context.Context, c *Client) error {
		g, err := c.Get(ctx, c.Question("", 0, 1, 2, 3))
		return c.checkComplete(g, err, 0, 1, 2, 3)
	}},
	{Name: "DoGet: a call without a deadline is rejected as invalid", Run: func(ctx context.Context, c *Client) error {
		stream, err := c.DoGet(c.withoutDeadline(ctx), &flight.Ticket{Ticket: c.Question("", 0)})
		if err == nil {
			_, err = stream.Recv()
		}
		return checkStatus(err, codes.InvalidArgument, "deadline")
	}},
	{Name: "DoGet: invalid tickets are rejected, each with its cause", Run: func(ctx context.Context, c *Client) error {
		for _, t := range []struct {
			ticket []byte
			word   string
		}{{nil, "ticket"}, {[]byte("{"), "ticket"}, {bytes.Replace(c.Question("", 0), []byte(c.Class), []byte("none"), 1), "class"},
			{c.Question("", c.Shards), "shard"}, {c.Question("", 0, 0), "shard"}, {bytes.Replace(c.Question("", 0), []byte("1.0"), []byte("0.5"), 1), "weights"},
			{c.Question(""), "shards"}} {
			_, err := c.Get(ctx, t.ticket)
			if err := checkStatus(err, codes.InvalidArgument, t.word); err != nil {
				return fmt.Errorf("ticket %q: %w", t.ticket, err)
			}
		}
		return nil
	}},
	{Name: "DoGet: an expired deadline is reported as exceeded", Run: func(ctx context.Context, c *Client) error {
		ctx, cancel := context.WithDeadline(c.withoutDeadline(ctx), time.Now().Add(-time.Second))
		defer cancel()
		stream, err := c.DoGet(ctx, &flight.Ticket{Ticket: c.Question("", 0)})
		if err == nil {
			_, err = stream.Recv()
		}
		return checkStatus(err, codes.DeadlineExceeded)
	}},
	{Name: "GetFlightInfo: a command descriptor leads to the answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0, 1)))
		if err != nil {
			return err
		}
		if len(info.Endpoint) != 1 || info.Endpoint[0].ExpirationTime.AsTime().Before(time.Now()) {
			return fmt.Errorf("endpoints %v", info.Endpoint)
		}
		g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		if err := c.checkComplete(g, err, 0, 1); err != nil {
			return err
		}
		schema, err := flight.DeserializeSchema(info.Schema, memory.DefaultAllocator)
		if err != nil || !schema.Equal(g.Schema) {
			return fmt.Errorf("schema %v in the flight info, %v in the stream: %v", schema, g.Schema, err)
		}
		return nil
	}},
	{Name: "GetFlightInfo: a path descriptor leads to the answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, pathDescriptor(c.Class, "1", "3"))
		if err != nil {
			return err
		}
		g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		return c.checkComplete(g, err, 1, 3)
	}},
	{Name: "GetFlightInfo: several endpoints return disjoint ranges of one answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question(`"endpoints":4,`, 0, 1, 2, 3)))
		if err != nil {
			return err
		}
		if len(info.Endpoint) != 4 {
			return fmt.Errorf("%d endpoints", len(info.Endpoint))
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		received, fault := map[int]int{}, error(nil)
		for _, e := range info.Endpoint {
			wg.Go(func() {
				g, err := c.Get(ctx, e.Ticket.Ticket)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || !g.Complete || g.LastBatches != 1 {
					fault = fmt.Errorf("%v, complete %v, %d last batches", err, g.Complete, g.LastBatches)
				}
				for s := range g.Docs {
					received[s]++
				}
			})
		}
		wg.Wait()
		if fault != nil || len(received) != 4 || received[0]+received[1]+received[2]+received[3] != 4 {
			return fmt.Errorf("%v; times each shard was received: %v", fault, received)
		}
		return nil
	}},
	{Name: "GetFlightInfo: more endpoints than parts are rejected as invalid", Run: func(ctx context.Context, c *Client) error {
		_, err := c.getFlightInfo(ctx, commandDescriptor(c.Question(`"endpoints":5,`, 0, 1)))
		return checkStatus(err, codes.InvalidArgument, "endpoints")
	}},
	{Name: "GetFlightInfo: empty or unknown descriptors are rejected as invalid", Run: func(ctx context.Context, c *Client) error {
		for _, d := range []*flight.FlightDescriptor{{}, commandDescriptor(nil), pathDescriptor(c.Class), pathDescriptor(c.Class, "x"), pathDescriptor("none", "0"), commandDescriptor([]byte("{}"))} {
			_, err := c.getFlightInfo(ctx, d)
			if err := checkStatus(err, codes.InvalidArgument); err != nil {
				return fmt.Errorf("%v: %w", d, err)
			}
		}
		return nil
	}},
	{Name: "tickets: fetching a ticket twice returns the complete answer both times", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0, 2)))
		if err != nil {
			return err
		}
		for range 2 {
			g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
			if err := c.checkComplete(g, err, 0, 2); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "tickets: a ticket changed at any byte is rejected as invalid", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0)))
		if err != nil {
			return err
		}
		good := info.Endpoint[0].Ticket.Ticket
		for i := range good {
			bad := slices.Clone(good)
			bad[i] ^= 1
			_, err := c.Get(ctx, bad)
			if err := checkStatus(err, codes.InvalidArgument, "ticket"); err != nil {
				return fmt.Errorf("byte %d: %w", i, err)
			}
		}
		for _, n := range []int{2, 10, len(good) - 1} {
			_, err := c.Get(ctx, good[:n])
			if err := checkStatus(err, codes.InvalidArgument, "ticket"); err != nil {
				return fmt.Errorf("%d bytes: %w", n, err)
			}
		}
		_, err = c.pollFlightInfo(ctx, commandDescriptor(good)) // a ticket that was issued for DoGet
		return checkStatus(err, codes.InvalidArgument, "another call")
	}},
	{Name: "GetSchema: the schema equals that of the batches", Run: func(ctx context.Context, c *Client) error {
		cctx, cancel := c.Context(ctx)
		defer cancel()
		r, err := c.GetSchema(cctx, commandDescriptor(c.Question("", 0)))
		if err != nil {
			return err
		}
		schema, err := flight.DeserializeSchema(r.Schema, memory.DefaultAllocator)
		if err != nil {
			return err
		}
		g, err := c.Get(ctx, c.Question("", 0))
		if err != nil || !schema.Equal(g.Schema) {
			return fmt.Errorf("schema %v from GetSchema, %v in the stream: %v", schema, g.Schema, err)
		}
		return nil
	}},
	{Name: "ListFlights: lists each class once, with its shards, and filters by criteria", Run: func(ctx context.Context, c *Client) error {
		count := func(criteria string) (n int, found bool, err error) {
			cctx, cancel := c.Context(ctx)
			defer cancel()
			stream, err := c.ListFlights(cctx, &flight.Criteria{Expression: []byte(criteria)})
			if err != nil {
				return 0, false, err
			}
			for {
				info, err := stream.Recv()
				if errors.Is(err, io.EOF) {
					return n, found, nil
				} else if err != nil {
					return n, found, err
				}
				var l struct {
					Class           string
					Shards, Covered int
				}
				if err := json.Unmarshal(info.AppMetadata, &l); err != nil {
					return n, found, err
				}
				n++
				found = found || l.Class == c.Class && l.Shards == c.Shards && l.Covered == c.Shards
			}
		}
		if n, found, err := count(""); err != nil || n < 1 || !found {
			return fmt.Errorf("without criteria: %d flights, own class listed correctly %v: %v", n, found, err)
		}
		if n, found, err := count(`{"class":"` + c.Class + `"}`); err != nil || n != 1 || !found {
			return fmt.Errorf("criteria for the own class: %d flights, own class listed correctly %v: %v", n, found, err)
		}
		if n, _, err := count(`{"class":"none"}`); err != nil || n != 0 {
			return fmt.Errorf("criteria for an unknown class: %d flights: %v", n, err)
		}
		_, _, err := count("x")
		return checkStatus(err, codes.InvalidArgument, "criteria")
	}},
	{Name: "PollFlightInfo: polling continues until the query is done, then leads to the answer", Run: func(ctx context.Context, c *Client) error {
		d := commandDescriptor(c.Question(`"endpoints":2,`, 0, 1, 2, 3))
		for range 100 {
			p, err := c.pollFlightInfo(ctx, d)
			if err != nil {
				return err
			}
			if p.GetProgress() < 0 || p.GetProgress() > 1 || p.ExpirationTime.AsTime().Before(time.Now()) {
				return fmt.Errorf("progress %g, expires %v", p.GetProgress(), p.ExpirationTime.AsTime())
			}
			if p.FlightDescriptor != nil {
				d = p.FlightDescriptor
				continue
			}
			received := map[int]bool{}
			for _, e := range p.Info.Endpoint {
				g, err := c.Get(ctx, e.Ticket.Ticket)
				if err != nil || !g.Complete {
					return fmt.Errorf("%v, complete %v", err, g.Complete)
				}
				for s := range g.Docs {
					received[s] = true
				}
			}
			if len(p.Info.Endpoint) != 2 || len(received) != 4 {
				return fmt.Errorf("%d endpoints, shards %v", len(p.Info.Endpoint), received)
			}
			return nil
		}
		return errors.New("query not done after 100 polls")
	}},
	{Name: "CancelFlightInfo: a cancelled flight returns no answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0)))
		if err != nil {
			return err
		}
		var r gen.CancelFlightInfoResult
		if _, err := c.doAction(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &r); err != nil || r.Status != gen.CancelStatus_CANCEL_STATUS_CANCELLED {
			return fmt.Errorf("%v: %v", r.Status, err)
		}
		_, err = c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		return checkStatus(err, codes.Canceled)
	}},
	{Name: "CancelFlightInfo: a finished flight is not cancellable", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0)))
		if err != nil {
			return err
		}
		if _, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket); err != nil {
			return err
		}
		var r gen.CancelFlightInfoResult
		if _, err := c.doAction(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &r); err != nil || r.Status != gen.CancelStatus_CANCEL_STATUS_NOT_CANCELLABLE {
			return fmt.Errorf("%v: %v", r.Status, err)
		}
		return nil
	}},
	{Name: "CancelFlightInfo: a request without a flight is rejected as invalid", Run: func(ctx context.Context, c *Client) error {
		_, err := c.doAction(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{}, &gen.CancelFlightInfoResult{})
		return checkStatus(err, codes.InvalidArgument)
	}},
	{Name: "RenewFlightEndpoint: the renewed endpoint returns the answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0, 1)))
		if err != nil {
			return err
		}
		var e gen.FlightEndpoint
		if _, err := c.doAction(ctx, flight.RenewFlightEndpointActionType, &gen.RenewFlightEndpointRequest{Endpoint: info.Endpoint[0]}, &e); err != nil {
			return err
		}
		if !e.ExpirationTime.AsTime().After(time.Now()) {
			return fmt.Errorf("expires %v", e.ExpirationTime.AsTime())
		}
		g, err := c.Get(ctx, e.Ticket.Ticket)
		return c.checkComplete(g, err, 0, 1)
	}},
	{Name: "sessions: options are set, rejected if invalid, returned, and gone after the session is closed", Run: func(ctx context.Context, c *Client) error {
		text := func(v string) *gen.SessionOptionValue {
			return &gen.SessionOptionValue{OptionValue: &gen.SessionOptionValue_StringValue{StringValue: v}}
		}
		var set gen.SetSessionOptionsResult
		cookie, err := c.doAction(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: map[string]*gen.SessionOptionValue{
			"compression": text("zstd"), "batch_rows": {OptionValue: &gen.SessionOptionValue_Int64Value{Int64Value: 7}}, "other": text("x")}}, &set)
		if err != nil || cookie == "" || len(set.Errors) != 1 || set.Errors["other"].GetValue() != gen.SetSessionOptionsResult_INVALID_NAME {
			return fmt.Errorf("cookie %q, errors %v: %v", cookie, set.Errors, err)
		}
		session := c.withHeader("cookie", cookie)
		set.Reset()
		if _, err := session.doAction(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: map[string]*gen.SessionOptionValue{
			"compression": text("gzip"), "batch_rows": text("0")}}, &set); err != nil || len(set.Errors) != 2 || set.Errors["compression"].GetValue() != gen.SetSessionOptionsResult_INVALID_VALUE {
			return fmt.Errorf("errors %v: %v", set.Errors, err)
		}
		var got gen.GetSessionOptionsResult
		if _, err := session.doAction(ctx, flight.GetSessionOptionsActionType, &gen.GetSessionOptionsRequest{}, &got); err != nil || len(got.SessionOptions) != 2 || got.SessionOptions["batch_rows"].GetStringValue() != "7" {
			return fmt.Errorf("options %v: %v", got.SessionOptions, err)
		}
		var closed gen.CloseSessionResult
		if _, err := session.doAction(ctx, flight.CloseSessionActionType, &gen.CloseSessionRequest{}, &closed); err != nil || closed.Status != gen.CloseSessionResult_CLOSED {
			return fmt.Errorf("%v: %v", closed.Status, err)
		}
		_, err = session.doAction(ctx, flight.GetSessionOptionsActionType, &gen.GetSessionOptionsRequest{}, &got)
		return checkStatus(err, codes.NotFound)
	}},
	{Name: "sessions: compression and batch_rows change the encoding, not the answer", Run: func(ctx context.Context, c *Client) error {
		for _, codec := range []string{"none", "zstd", "lz4"} {
			cookie, err := c.doAction(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: map[string]*gen.SessionOptionValue{
				"compression": {OptionValue: &gen.SessionOptionValue_StringValue{StringValue: codec}},
				"batch_rows":  {OptionValue: &gen.SessionOptionValue_Int64Value{Int64Value: 1}}}}, &gen.SetSessionOptionsResult{})
			if err != nil {
				return err
			}
			g, err := c.withHeader("cookie", cookie).Get(ctx, c.Question("", 0, 1, 2))
			if err := c.checkComplete(g, err, 0, 1, 2); err != nil || g.Batches < 3 {
				return fmt.Errorf("%s: %d batches: %v", codec, g.Batches, err)
			}
		}
		_, err := c.withHeader("cookie", "arrow_flight_session_id=nobody").Get(ctx, c.Question("", 0))
		return checkStatus(err, codes.NotFound)
	}},
	{Name: "ListActions: all actions are listed and described, and an unlisted one is rejected", Run: func(ctx context.Context, c *Client) error {
		cctx, cancel := c.Context(ctx)
		defer cancel()
		stream, err := c.ListActions(cctx, &flight.Empty{})
		if err != nil {
			return err
		}
		var names []string
		for {
			a, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				return err
			}
			if a.Description == "" {
				return fmt.Errorf("action %s has no description", a.Type)
			}
			names = append(names, a.Type)
		}
		for _, name := range []string{flight.CancelFlightInfoActionType, flight.RenewFlightEndpointActionType, flight.SetSessionOptionsActionType, flight.GetSessionOptionsActionType, flight.CloseSessionActionType, "load"} {
			if !slices.Contains(names, name) {
				return fmt.Errorf("action %s is not listed in %v", name, names)
			}
		}
		_, err = c.doAction(ctx, "no-such-action", &gen.Empty{}, &gen.Empty{})
		return checkStatus(err, codes.Unimplemented, "ListActions")
	}},
	{Name: "DoAction load: reports the number of open queries", Run: func(ctx context.Context, c *Client) error {
		cctx, cancel := c.Context(ctx)
		defer cancel()
		stream, err := c.DoAction(cctx, &flight.Action{Type: "load"})
		if err != nil {
			return err
		}
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		var report map[string]float64
		if err := json.Unmarshal(r.Body, &report); err != nil {
			return err
		}
		if _, ok := report["open"]; !ok {
			return fmt.Errorf("load report without open: %v", report)
		}
		return nil
	}},
	{Name: "DoPut: rejected with a reason", Run: func(ctx context.Context, c *Client) error {
		cctx, cancel := c.Context(ctx)
		defer cancel()
		stream, err := c.DoPut(cctx)
		if err == nil {
			_, err = stream.Recv()
		}
		return checkStatus(err, codes.Unimplemented, "DoGet")
	}},
	{Name: "Handshake: rejected with a reason if no users are configured", Open: true, Run: func(ctx context.Context, c *Client) error {
		_, err := c.handshake(ctx, nil)
		return checkStatus(err, codes.Unimplemented, "owner")
	}},
	{Name: "Handshake: a name and password return a token that is accepted", Users: true, Run: func(ctx context.Context, c *Client) error {
		raw, err := proto.Marshal(&gen.BasicAuth{Username: c.Users[0].Name, Password: c.Users[0].Password})
		if err != nil {
			return err
		}
		token, err := c.anonymous().handshake(ctx, raw)
		if err != nil {
			return err
		}
		g, err := c.anonymous().withHeader("authorization", "Bearer "+token).Get(ctx, c.Question("", 0))
		return c.checkComplete(g, err, 0)
	}},
	{Name: "credentials: Basic credentials are accepted, wrong and missing ones rejected", Users: true, Run: func(ctx context.Context, c *Client) error {
		g, err := c.anonymous().withHeader("authorization", basicAuth(c.Users[0])).Get(ctx, c.Question("", 0))
		if err := c.checkComplete(g, err, 0); err != nil {
			return err
		}
		for _, header := range [][]string{nil, {"authorization", "Bearer nonsense"}, {"authorization", basicAuth(User{Name: c.Users[0].Name, Password: "x"})},
			{"authorization", "Basic %%%"}, {"authorization", "Digest x"}} {
			_, err := c.anonymous().withHeader(header...).Get(ctx, c.Question("", 0))
			if err := checkStatus(err, codes.Unauthenticated, "credentials"); err != nil {
				return fmt.Errorf("%v: %w", header, err)
			}
		}
		return nil
	}},
	{Name: "credentials: another owner's tickets, flights and sessions are rejected", Users: true, Run: func(ctx context.Context, c *Client) error {
		info, err := c.getFlightInfo(ctx, commandDescriptor(c.Question("", 0)))
		if err != nil {
			return err
		}
		other := c.anonymous().withHeader("authorization", "Bearer "+c.Users[1].Token)
		_, err = other.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		if err := checkStatus(err, codes.PermissionDenied); err != nil {
			return err
		}
		_, err = other.doAction(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &gen.CancelFlightInfoResult{})
		if err := checkStatus(err, codes.PermissionDenied); err != nil {
			return err
		}
		cookie, err := c.doAction(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{}, &gen.SetSessionOptionsResult{})
		if err != nil {
			return err
		}
		_, err = other.withHeader("cookie", cookie).doAction(ctx, flight.GetSessionOptionsActionType, &gen.GetSessionOptionsRequest{}, &gen.GetSessionOptionsResult{})
		if err := checkStatus(err, codes.PermissionDenied); err != nil {
			return err
		}
		_, err = other.Get(ctx, bytes.Replace(c.Question("", 0), []byte(`{"class"`), []byte(`{"owner":"`+c.Users[0].Owner+`","class"`), 1))
		if err := checkStatus(err, codes.PermissionDenied, "owner"); err != nil {
			return err
		}
		g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket) // the rejected calls did not affect the owner's flight
		return c.checkComplete(g, err, 0)
	}},
	{Name: "DoExchange: 200 queries are all answered once, in any order, rejected ones after their retry delay", Run: func(ctx context.Context, c *Client) error {
		e, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		defer e.Leave()
		const n = 200
		ask := func(i int) error {
			return e.Ask(c.Question(fmt.Sprintf(`"id":"q%d","deadline_ms":5000,`, i), i%c.Shards, (i+1)%c.Shards))
		}
		go func() {
			for i := range n {
				_ = ask(i) // an unsent query is missing from the count checked below
			}
		}()
		seen, retries := map[string]int{}, 0
		var fault error
		err = e.Answers(func(id, code string, g Got) {
			i, err := strconv.Atoi(strings.TrimPrefix(id, "q"))
			if err != nil {
				fault = fmt.Errorf("answer to unknown query %q", id)
				return
			}
			if code == "Unavailable" && g.Retry > 0 && retries < 5*n {
				retries++
				time.AfterFunc(g.Retry, func() { _ = ask(i) })
				return
			}
			if seen[id]++; seen[id] > 1 {
				fault = fmt.Errorf("%s was answered %d times", id, seen[id])
			} else if code != "OK" {
				fault = fmt.Errorf("%s: %s, retry delay %v", id, code, g.Retry)
			} else if err := c.checkComplete(g, nil, i%c.Shards, (i+1)%c.Shards); err != nil {
				fault = fmt.Errorf("%s: %w", id, err)
			}
			if len(seen) == n {
				_ = e.Done() // a failure ends the stream as well
			}
		})
		if err != nil || fault != nil || len(seen) != n {
			return fmt.Errorf("%d answered: %v, %v", len(seen), err, fault)
		}
		return nil
	}},
	{Name: "DoExchange: an invalid query does not affect the others", Run: func(ctx context.Context, c *Client) error {
		e, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		defer e.Leave()
		err = e.AskAll(
			c.Question(`"id":"good","deadline_ms":5000,`, 0),
			c.Question(`"id":"timeless",`, 0),
			c.Question(`"id":"shard","deadline_ms":5000,`, c.Shards),
			bytes.Replace(c.Question(`"id":"class","deadline_ms":5000,`, 0), []byte(c.Class), []byte("none"), 1),
			[]byte(`{"cancel":"nobody"}`))
		if err != nil {
			return err
		}
		got := map[string]string{}
		err = e.Answers(func(id, code string, _ Got) { got[id] = code })
		if err != nil || got["good"] != "OK" || got["timeless"] != "InvalidArgument" || got["shard"] != "InvalidArgument" || got["class"] != "InvalidArgument" || len(got) != 4 {
			return fmt.Errorf("%v: %v", got, err)
		}
		return nil
	}},
	{Name: "DoExchange: a cancelled query ends and the others are answered", Run: func(ctx context.Context, c *Client) error {
		e, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		defer e.Leave()
		err = e.AskAll(
			c.Question(`"id":"a","deadline_ms":5000,`, 0),
			[]byte(`{"cancel":"a"}`),
			c.Question(`"id":"b","deadline_ms":5000,`, 1))
		if err != nil {
			return err
		}
		got := map[string]string{}
		err = e.Answers(func(id, code string, _ Got) { got[id] = code })
		if err != nil || got["a"] != "Canceled" && got["a"] != "OK" || got["b"] != "OK" {
			return fmt.Errorf("%v: %v", got, err)
		}
		return nil
	}},
	{Name: "DoExchange: a stream without a class, or with a body, is rejected as invalid", Run: func(ctx context.Context, c *Client) error {
		for _, m := range []*flight.FlightData{{}, {FlightDescriptor: pathDescriptor("a", "b")}, {FlightDescriptor: pathDescriptor(c.Class), DataBody: []byte("x")},
			{FlightDescriptor: pathDescriptor(c.Class), AppMetadata: []byte("{")}, {FlightDescriptor: pathDescriptor(c.Class), AppMetadata: []byte("{}")}} {
			cctx, cancel := c.Context(ctx)
			stream, err := c.DoExchange(cctx)
			if err == nil {
				if err = stream.Send(m); err == nil {
					_, err = stream.Recv()
				}
			}
			cancel()
			if err := checkStatus(err, codes.InvalidArgument); err != nil {
				return fmt.Errorf("%v: %w", m, err)
			}
		}
		return nil
	}},
	{Name: "DoExchange: a client that disconnects with 1,000 open queries does not affect others", Run: func(ctx context.Context, c *Client) error {
		e, err := c.Begin(ctx)
		if err != nil {
			return err
		}
		for i := range 1000 {
			if err := e.Ask(c.Question(fmt.Sprintf(`"id":"q%d","deadline_ms":5000,`, i), i%c.Shards)); err != nil {
				return err
			}
		}
		e.Leave()
		g, err := c.getWithRetry(ctx, c.Question("", 0, 1)) // the backlog may make the server reject it at first
		if err := c.checkComplete(g, err, 0, 1); err != nil {
			return err
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			cctx, cancel := c.Context(ctx)
			stream, err := c.DoAction(cctx, &flight.Action{Type: "load"})
			if err != nil {
				cancel()
				return err
			}
			r, err := stream.Recv()
			cancel()
			if err != nil {
				return err
			}
			if strings.Contains(string(r.Body), `"open":0`) {
				return nil
			}
		}
		return errors.New("queries of the disconnected client are still open after 5 s")
	}},
}

// withoutDeadline returns a context with the client's headers and without a deadline.
func (c *Client) withoutDeadline(ctx context.Context) context.Context {
	cctx, cancel := c.Context(ctx)
	context.AfterFunc(ctx, cancel)
	return context.WithoutCancel(cctx)
}

// anonymous returns a client on the same connection without credentials.
func (c *Client) anonymous() *Client {
	d := *c
	d.header = nil
	return &d
}

// getWithRetry is Get with retries after the delays that the server asks for, for up to 5 s.
func (c *Client) getWithRetry(ctx context.Context, ticket []byte) (g Got, err error) {
	for end := time.Now().Add(5 * time.Second); ; {
		g, err = c.Get(ctx, ticket)
		after := time.Duration(0)
		for _, d := range status.Convert(err).Details() {
			if r, ok := d.(*errdetails.RetryInfo); ok {
				after = r.GetRetryDelay().AsDuration()
			}
		}
		if after == 0 || time.Now().Add(after).After(end) {
			return g, err
		}
		time.Sleep(after)
	}
}

func (c *Client) pollFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.PollInfo, error) {
	ctx, cancel := c.Context(ctx)
	defer cancel()
	return c.PollFlightInfo(ctx, d)
}

// handshake performs a handshake and returns its token.
func (c *Client) handshake(ctx context.Context, payload []byte) (string, error) {
	ctx, cancel := c.Context(ctx)
	defer cancel()
	stream, err := c.Handshake(ctx)
	if err != nil {
		return "", err
	}
	if err := stream.Send(&flight.HandshakeRequest{Payload: payload}); err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	r, err := stream.Recv()
	if err != nil {
		return "", err
	}
	return string(r.Payload), nil
}

package flightsuite

// The cases, by call. Each says in its name what must hold.

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

// Cases are all of them.
var Cases = []Case{
	{Name: "DoGet: a plain ticket brings the whole answer", Run: func(ctx context.Context, c *Client) error {
		g, err := c.Get(ctx, c.Question("", 0, 1, 2, 3))
		return c.whole(g, err, 0, 1, 2, 3)
	}},
	{Name: "DoGet: without a deadline it is refused as input", Run: func(ctx context.Context, c *Client) error {
		stream, err := c.DoGet(c.bare(ctx), &flight.Ticket{Ticket: c.Question("", 0)})
		if err == nil {
			_, err = stream.Recv()
		}
		return want(err, codes.InvalidArgument, "deadline")
	}},
	{Name: "DoGet: bad tickets are refused as input, each with its cause", Run: func(ctx context.Context, c *Client) error {
		for _, t := range []struct {
			ticket []byte
			word   string
		}{{nil, "ticket"}, {[]byte("{"), "ticket"}, {bytes.Replace(c.Question("", 0), []byte(c.Class), []byte("none"), 1), "class"},
			{c.Question("", c.Shards), "shard"}, {c.Question("", 0, 0), "shard"}, {bytes.Replace(c.Question("", 0), []byte("1.0"), []byte("0.5"), 1), "weights"},
			{c.Question(""), "shards"}} {
			_, err := c.Get(ctx, t.ticket)
			if err := want(err, codes.InvalidArgument, t.word); err != nil {
				return fmt.Errorf("ticket %q: %w", t.ticket, err)
			}
		}
		return nil
	}},
	{Name: "DoGet: a deadline that has passed is told as one", Run: func(ctx context.Context, c *Client) error {
		ctx, cancel := context.WithDeadline(c.bare(ctx), time.Now().Add(-time.Second))
		defer cancel()
		stream, err := c.DoGet(ctx, &flight.Ticket{Ticket: c.Question("", 0)})
		if err == nil {
			_, err = stream.Recv()
		}
		return want(err, codes.DeadlineExceeded)
	}},
	{Name: "GetFlightInfo: a command leads to its answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0, 1)))
		if err != nil {
			return err
		}
		if len(info.Endpoint) != 1 || info.Endpoint[0].ExpirationTime.AsTime().Before(time.Now()) {
			return fmt.Errorf("endpoints %v", info.Endpoint)
		}
		g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		if err := c.whole(g, err, 0, 1); err != nil {
			return err
		}
		schema, err := flight.DeserializeSchema(info.Schema, memory.DefaultAllocator)
		if err != nil || !schema.Equal(g.Schema) {
			return fmt.Errorf("schema %v announced, %v sent: %v", schema, g.Schema, err)
		}
		return nil
	}},
	{Name: "GetFlightInfo: a path leads to its answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, path(c.Class, "1", "3"))
		if err != nil {
			return err
		}
		g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		return c.whole(g, err, 1, 3)
	}},
	{Name: "GetFlightInfo: several endpoints are ranges of one answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question(`"endpoints":4,`, 0, 1, 2, 3)))
		if err != nil {
			return err
		}
		if len(info.Endpoint) != 4 {
			return fmt.Errorf("%d endpoints", len(info.Endpoint))
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		all, fault := map[int]int{}, error(nil)
		for _, e := range info.Endpoint {
			wg.Go(func() {
				g, err := c.Get(ctx, e.Ticket.Ticket)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || !g.Complete || g.Lasts != 1 {
					fault = fmt.Errorf("%v, complete %v, %d last batches", err, g.Complete, g.Lasts)
				}
				for s := range g.Docs {
					all[s]++
				}
			})
		}
		wg.Wait()
		if fault != nil || len(all) != 4 || all[0]+all[1]+all[2]+all[3] != 4 {
			return fmt.Errorf("%v; each shard came %v times", fault, all)
		}
		return nil
	}},
	{Name: "GetFlightInfo: more endpoints than parts are refused as input", Run: func(ctx context.Context, c *Client) error {
		_, err := c.info(ctx, command(c.Question(`"endpoints":5,`, 0, 1)))
		return want(err, codes.InvalidArgument, "endpoints")
	}},
	{Name: "GetFlightInfo: descriptors that say nothing are refused as input", Run: func(ctx context.Context, c *Client) error {
		for _, d := range []*flight.FlightDescriptor{{}, command(nil), path(c.Class), path(c.Class, "x"), path("none", "0"), command([]byte("{}"))} {
			_, err := c.info(ctx, d)
			if err := want(err, codes.InvalidArgument); err != nil {
				return fmt.Errorf("%v: %w", d, err)
			}
		}
		return nil
	}},
	{Name: "tickets: the same one fetched twice brings the same", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0, 2)))
		if err != nil {
			return err
		}
		for range 2 {
			g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
			if err := c.whole(g, err, 0, 2); err != nil {
				return err
			}
		}
		return nil
	}},
	{Name: "tickets: one that was changed at any byte is refused as input", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0)))
		if err != nil {
			return err
		}
		good := info.Endpoint[0].Ticket.Ticket
		for i := range good {
			bad := slices.Clone(good)
			bad[i] ^= 1
			_, err := c.Get(ctx, bad)
			if err := want(err, codes.InvalidArgument, "ticket"); err != nil {
				return fmt.Errorf("byte %d: %w", i, err)
			}
		}
		for _, n := range []int{2, 10, len(good) - 1} {
			_, err := c.Get(ctx, good[:n])
			if err := want(err, codes.InvalidArgument, "ticket"); err != nil {
				return fmt.Errorf("%d bytes: %w", n, err)
			}
		}
		_, err = c.poll(ctx, command(good)) // another call's
		return want(err, codes.InvalidArgument, "another call")
	}},
	{Name: "GetSchema: as the batches have it", Run: func(ctx context.Context, c *Client) error {
		cctx, cancel := c.Context(ctx)
		defer cancel()
		r, err := c.GetSchema(cctx, command(c.Question("", 0)))
		if err != nil {
			return err
		}
		schema, err := flight.DeserializeSchema(r.Schema, memory.DefaultAllocator)
		if err != nil {
			return err
		}
		g, err := c.Get(ctx, c.Question("", 0))
		if err != nil || !schema.Equal(g.Schema) {
			return fmt.Errorf("%v told, %v sent: %v", schema, g.Schema, err)
		}
		return nil
	}},
	{Name: "ListFlights: each class once, with its shards, and by criteria", Run: func(ctx context.Context, c *Client) error {
		count := func(criteria string) (n int, mine bool, err error) {
			cctx, cancel := c.Context(ctx)
			defer cancel()
			stream, err := c.ListFlights(cctx, &flight.Criteria{Expression: []byte(criteria)})
			if err != nil {
				return 0, false, err
			}
			for {
				info, err := stream.Recv()
				if errors.Is(err, io.EOF) {
					return n, mine, nil
				} else if err != nil {
					return n, mine, err
				}
				var l struct {
					Class           string
					Shards, Covered int
				}
				if err := json.Unmarshal(info.AppMetadata, &l); err != nil {
					return n, mine, err
				}
				n++
				mine = mine || l.Class == c.Class && l.Shards == c.Shards && l.Covered == c.Shards
			}
		}
		if n, mine, err := count(""); err != nil || n < 1 || !mine {
			return fmt.Errorf("all: %d flights, ours %v: %v", n, mine, err)
		}
		if n, mine, err := count(`{"class":"` + c.Class + `"}`); err != nil || n != 1 || !mine {
			return fmt.Errorf("ours: %d flights, ours %v: %v", n, mine, err)
		}
		if n, _, err := count(`{"class":"none"}`); err != nil || n != 0 {
			return fmt.Errorf("none: %d flights: %v", n, err)
		}
		_, _, err := count("x")
		return want(err, codes.InvalidArgument, "criteria")
	}},
	{Name: "PollFlightInfo: goes on until all is in, and then leads to the answer", Run: func(ctx context.Context, c *Client) error {
		d := command(c.Question(`"endpoints":2,`, 0, 1, 2, 3))
		for range 100 {
			p, err := c.poll(ctx, d)
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
			all := map[int]bool{}
			for _, e := range p.Info.Endpoint {
				g, err := c.Get(ctx, e.Ticket.Ticket)
				if err != nil || !g.Complete {
					return fmt.Errorf("%v, complete %v", err, g.Complete)
				}
				for s := range g.Docs {
					all[s] = true
				}
			}
			if len(p.Info.Endpoint) != 2 || len(all) != 4 {
				return fmt.Errorf("%d endpoints, shards %v", len(p.Info.Endpoint), all)
			}
			return nil
		}
		return errors.New("never done")
	}},
	{Name: "CancelFlightInfo: a flight that is given up brings nothing", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0)))
		if err != nil {
			return err
		}
		var r gen.CancelFlightInfoResult
		if _, err := c.act(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &r); err != nil || r.Status != gen.CancelStatus_CANCEL_STATUS_CANCELLED {
			return fmt.Errorf("%v: %v", r.Status, err)
		}
		_, err = c.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		return want(err, codes.Canceled)
	}},
	{Name: "CancelFlightInfo: one that is over can't be given up", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0)))
		if err != nil {
			return err
		}
		if _, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket); err != nil {
			return err
		}
		var r gen.CancelFlightInfoResult
		if _, err := c.act(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &r); err != nil || r.Status != gen.CancelStatus_CANCEL_STATUS_NOT_CANCELLABLE {
			return fmt.Errorf("%v: %v", r.Status, err)
		}
		return nil
	}},
	{Name: "CancelFlightInfo: without a flight it is refused as input", Run: func(ctx context.Context, c *Client) error {
		_, err := c.act(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{}, &gen.CancelFlightInfoResult{})
		return want(err, codes.InvalidArgument)
	}},
	{Name: "RenewFlightEndpoint: the new endpoint brings the answer", Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0, 1)))
		if err != nil {
			return err
		}
		var e gen.FlightEndpoint
		if _, err := c.act(ctx, flight.RenewFlightEndpointActionType, &gen.RenewFlightEndpointRequest{Endpoint: info.Endpoint[0]}, &e); err != nil {
			return err
		}
		if !e.ExpirationTime.AsTime().After(time.Now()) {
			return fmt.Errorf("expires %v", e.ExpirationTime.AsTime())
		}
		g, err := c.Get(ctx, e.Ticket.Ticket)
		return c.whole(g, err, 0, 1)
	}},
	{Name: "sessions: options are set, told, taken back, and end with the session", Run: func(ctx context.Context, c *Client) error {
		text := func(v string) *gen.SessionOptionValue {
			return &gen.SessionOptionValue{OptionValue: &gen.SessionOptionValue_StringValue{StringValue: v}}
		}
		var set gen.SetSessionOptionsResult
		cookie, err := c.act(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: map[string]*gen.SessionOptionValue{
			"compression": text("zstd"), "batch_rows": {OptionValue: &gen.SessionOptionValue_Int64Value{Int64Value: 7}}, "other": text("x")}}, &set)
		if err != nil || cookie == "" || len(set.Errors) != 1 || set.Errors["other"].GetValue() != gen.SetSessionOptionsResult_INVALID_NAME {
			return fmt.Errorf("cookie %q, errors %v: %v", cookie, set.Errors, err)
		}
		mine := c.as("cookie", cookie)
		set.Reset()
		if _, err := mine.act(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: map[string]*gen.SessionOptionValue{
			"compression": text("gzip"), "batch_rows": text("0")}}, &set); err != nil || len(set.Errors) != 2 || set.Errors["compression"].GetValue() != gen.SetSessionOptionsResult_INVALID_VALUE {
			return fmt.Errorf("errors %v: %v", set.Errors, err)
		}
		var got gen.GetSessionOptionsResult
		if _, err := mine.act(ctx, flight.GetSessionOptionsActionType, &gen.GetSessionOptionsRequest{}, &got); err != nil || len(got.SessionOptions) != 2 || got.SessionOptions["batch_rows"].GetStringValue() != "7" {
			return fmt.Errorf("options %v: %v", got.SessionOptions, err)
		}
		var closed gen.CloseSessionResult
		if _, err := mine.act(ctx, flight.CloseSessionActionType, &gen.CloseSessionRequest{}, &closed); err != nil || closed.Status != gen.CloseSessionResult_CLOSED {
			return fmt.Errorf("%v: %v", closed.Status, err)
		}
		_, err = mine.act(ctx, flight.GetSessionOptionsActionType, &gen.GetSessionOptionsRequest{}, &got)
		return want(err, codes.NotFound)
	}},
	{Name: "sessions: compression and batch_rows change the form, not the answer", Run: func(ctx context.Context, c *Client) error {
		for _, codec := range []string{"none", "zstd", "lz4"} {
			cookie, err := c.act(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{SessionOptions: map[string]*gen.SessionOptionValue{
				"compression": {OptionValue: &gen.SessionOptionValue_StringValue{StringValue: codec}},
				"batch_rows":  {OptionValue: &gen.SessionOptionValue_Int64Value{Int64Value: 1}}}}, &gen.SetSessionOptionsResult{})
			if err != nil {
				return err
			}
			g, err := c.as("cookie", cookie).Get(ctx, c.Question("", 0, 1, 2))
			if err := c.whole(g, err, 0, 1, 2); err != nil || g.Batches < 3 {
				return fmt.Errorf("%s: %d batches: %v", codec, g.Batches, err)
			}
		}
		_, err := c.as("cookie", "arrow_flight_session_id=nobody").Get(ctx, c.Question("", 0))
		return want(err, codes.NotFound)
	}},
	{Name: "ListActions: what it tells is offered, what it does not is not", Run: func(ctx context.Context, c *Client) error {
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
				return fmt.Errorf("%s is not described", a.Type)
			}
			names = append(names, a.Type)
		}
		for _, name := range []string{flight.CancelFlightInfoActionType, flight.RenewFlightEndpointActionType, flight.SetSessionOptionsActionType, flight.GetSessionOptionsActionType, flight.CloseSessionActionType, "load"} {
			if !slices.Contains(names, name) {
				return fmt.Errorf("no %s in %v", name, names)
			}
		}
		_, err = c.act(ctx, "no-such-action", &gen.Empty{}, &gen.Empty{})
		return want(err, codes.Unimplemented, "ListActions")
	}},
	{Name: "DoAction load: tells what is open", Run: func(ctx context.Context, c *Client) error {
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
		if _, told := report["open"]; !told {
			return fmt.Errorf("report %v", report)
		}
		return nil
	}},
	{Name: "DoPut: refused with a reason", Run: func(ctx context.Context, c *Client) error {
		cctx, cancel := c.Context(ctx)
		defer cancel()
		stream, err := c.DoPut(cctx)
		if err == nil {
			_, err = stream.Recv()
		}
		return want(err, codes.Unimplemented, "DoGet")
	}},
	{Name: "Handshake: without users it says that none is needed", Open: true, Run: func(ctx context.Context, c *Client) error {
		_, err := c.shake(ctx, nil)
		return want(err, codes.Unimplemented, "owner")
	}},
	{Name: "Handshake: a name and a password bring a token that lets in", Users: true, Run: func(ctx context.Context, c *Client) error {
		raw, err := proto.Marshal(&gen.BasicAuth{Username: c.Users[0].Name, Password: c.Users[0].Password})
		if err != nil {
			return err
		}
		token, err := c.nobody().shake(ctx, raw)
		if err != nil {
			return err
		}
		g, err := c.nobody().as("authorization", "Bearer "+token).Get(ctx, c.Question("", 0))
		return c.whole(g, err, 0)
	}},
	{Name: "credentials: basic ones let in, wrong and missing ones do not", Users: true, Run: func(ctx context.Context, c *Client) error {
		g, err := c.nobody().as("authorization", basic(c.Users[0])).Get(ctx, c.Question("", 0))
		if err := c.whole(g, err, 0); err != nil {
			return err
		}
		for _, header := range [][]string{nil, {"authorization", "Bearer nonsense"}, {"authorization", basic(User{Name: c.Users[0].Name, Password: "x"})},
			{"authorization", "Basic %%%"}, {"authorization", "Digest x"}} {
			_, err := c.nobody().as(header...).Get(ctx, c.Question("", 0))
			if err := want(err, codes.Unauthenticated, "credentials"); err != nil {
				return fmt.Errorf("%v: %w", header, err)
			}
		}
		return nil
	}},
	{Name: "credentials: another owner's tickets, flights and sessions are refused", Users: true, Run: func(ctx context.Context, c *Client) error {
		info, err := c.info(ctx, command(c.Question("", 0)))
		if err != nil {
			return err
		}
		other := c.nobody().as("authorization", "Bearer "+c.Users[1].Token)
		_, err = other.Get(ctx, info.Endpoint[0].Ticket.Ticket)
		if err := want(err, codes.PermissionDenied); err != nil {
			return err
		}
		_, err = other.act(ctx, flight.CancelFlightInfoActionType, &gen.CancelFlightInfoRequest{Info: info}, &gen.CancelFlightInfoResult{})
		if err := want(err, codes.PermissionDenied); err != nil {
			return err
		}
		cookie, err := c.act(ctx, flight.SetSessionOptionsActionType, &gen.SetSessionOptionsRequest{}, &gen.SetSessionOptionsResult{})
		if err != nil {
			return err
		}
		_, err = other.as("cookie", cookie).act(ctx, flight.GetSessionOptionsActionType, &gen.GetSessionOptionsRequest{}, &gen.GetSessionOptionsResult{})
		if err := want(err, codes.PermissionDenied); err != nil {
			return err
		}
		_, err = other.Get(ctx, bytes.Replace(c.Question("", 0), []byte(`{"class"`), []byte(`{"owner":"`+c.Users[0].Owner+`","class"`), 1))
		if err := want(err, codes.PermissionDenied, "owner"); err != nil {
			return err
		}
		g, err := c.Get(ctx, info.Endpoint[0].Ticket.Ticket) // nothing of that has harmed it
		return c.whole(g, err, 0)
	}},
	{Name: "DoExchange: 200 questions are all answered, in any order, refused ones once they come back when told", Run: func(ctx context.Context, c *Client) error {
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
				_ = ask(i) // a question that was not sent is missed below
			}
		}()
		seen, tries := map[string]int{}, 0
		var fault error
		err = e.Answers(func(id, code string, g Got) {
			i, err := strconv.Atoi(strings.TrimPrefix(id, "q"))
			if err != nil {
				fault = fmt.Errorf("answer to %q, which was not asked", id)
				return
			}
			if code == "Unavailable" && g.Retry > 0 && tries < 5*n {
				tries++
				time.AfterFunc(g.Retry, func() { _ = ask(i) })
				return
			}
			if seen[id]++; seen[id] > 1 {
				fault = fmt.Errorf("%s was answered %d times", id, seen[id])
			} else if code != "OK" {
				fault = fmt.Errorf("%s: %s, to come back in %v", id, code, g.Retry)
			} else if err := c.whole(g, nil, i%c.Shards, (i+1)%c.Shards); err != nil {
				fault = fmt.Errorf("%s: %w", id, err)
			}
			if len(seen) == n {
				_ = e.Done() // the stream ends in any case
			}
		})
		if err != nil || fault != nil || len(seen) != n {
			return fmt.Errorf("%d answered: %v, %v", len(seen), err, fault)
		}
		return nil
	}},
	{Name: "DoExchange: bad questions cost only themselves", Run: func(ctx context.Context, c *Client) error {
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
	{Name: "DoExchange: one that is given up ends at once", Run: func(ctx context.Context, c *Client) error {
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
	{Name: "DoExchange: without a class, or with a body, it is refused as input", Run: func(ctx context.Context, c *Client) error {
		for _, m := range []*flight.FlightData{{}, {FlightDescriptor: path("a", "b")}, {FlightDescriptor: path(c.Class), DataBody: []byte("x")},
			{FlightDescriptor: path(c.Class), AppMetadata: []byte("{")}, {FlightDescriptor: path(c.Class), AppMetadata: []byte("{}")}} {
			cctx, cancel := c.Context(ctx)
			stream, err := c.DoExchange(cctx)
			if err == nil {
				if err = stream.Send(m); err == nil {
					_, err = stream.Recv()
				}
			}
			cancel()
			if err := want(err, codes.InvalidArgument); err != nil {
				return fmt.Errorf("%v: %w", m, err)
			}
		}
		return nil
	}},
	{Name: "DoExchange: a client that leaves with 1,000 questions open harms nobody", Run: func(ctx context.Context, c *Client) error {
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
		g, err := c.again(ctx, c.Question("", 0, 1)) // which may be refused at first, for there was much to do
		if err := c.whole(g, err, 0, 1); err != nil {
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
		return errors.New("its questions are still open after 5 s")
	}},
}

// bare is a context without a deadline.
func (c *Client) bare(ctx context.Context) context.Context {
	cctx, cancel := c.Context(ctx)
	context.AfterFunc(ctx, cancel)
	return context.WithoutCancel(cctx)
}

// nobody is a client without credentials.
func (c *Client) nobody() *Client {
	d := *c
	d.header = nil
	return &d
}

// again is Get that comes back when it is told to, for 5 s.
func (c *Client) again(ctx context.Context, ticket []byte) (g Got, err error) {
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

func (c *Client) poll(ctx context.Context, d *flight.FlightDescriptor) (*flight.PollInfo, error) {
	ctx, cancel := c.Context(ctx)
	defer cancel()
	return c.PollFlightInfo(ctx, d)
}

// shake does a handshake and returns its token.
func (c *Client) shake(ctx context.Context, payload []byte) (string, error) {
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

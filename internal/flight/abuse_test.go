package flight_test

// Abuse of the server by clients that speak HTTP/2 by hand, and of the coordinator by data nodes that cut, lie or turn a
// stream back. What is at fault may cost itself; everybody else is served as before.

import (
	"bytes"
	"context"
	"encoding/json"
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
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"

	"gullfall/internal/coordinator"
	"gullfall/internal/flight"
)

// raw is a connection that speaks HTTP/2 by hand, after its greeting.
func raw(t *testing.T, addr string) (net.Conn, *http2.Framer) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := nc.Write([]byte(http2.ClientPreface)); err != nil {
		t.Fatal(err)
	}
	f := http2.NewFramer(nc, nc)
	f.WriteSettings()
	f.WriteSettingsAck()
	return nc, f
}

// headers is the header block of a call.
func headers(method string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/arrow.flight.protocol.FlightService/" + method},
		{":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"}, {"grpc-timeout", "5S"}} {
		e.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
	}
	return b.Bytes()
}

// ends waits for the server to close a connection or send GOAWAY, and returns how long that took.
func ends(f *http2.Framer) (time.Duration, string) {
	start := time.Now()
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return time.Since(start), "closed"
		}
		if g, ok := frame.(*http2.GoAwayFrame); ok {
			return time.Since(start), g.ErrCode.String() + " " + string(g.DebugData())
		}
	}
}

// TestAbuse: each abuse ends its own connection at most, and an honest client is served throughout.
func TestAbuse(t *testing.T) {
	s := start(t, flight.Options{}, time.Millisecond, nil)
	good := s.client()
	serves := func(what string) {
		t.Helper()
		if g, err := good.Get(t.Context(), good.Question("", 0, 1, 2, 3)); err != nil || !g.Complete {
			t.Errorf("%s: an honest client: %v", what, err)
		}
	}
	t.Run("pings", func(t *testing.T) {
		_, f := raw(t, s.addr)
		go func() {
			for range 200 {
				if f.WritePing(false, [8]byte{1}) != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		if took, how := ends(f); took > 5*time.Second || !strings.Contains(how, "too_many_pings") {
			t.Errorf("a flood of pings ended by %q after %v", how, took)
		}
		serves("pings")
	})
	t.Run("resets", func(t *testing.T) {
		nc, f := raw(t, s.addr)
		go func() { // what comes back is not of interest
			for {
				if _, err := f.ReadFrame(); err != nil {
					return
				}
			}
		}()
		for i := range 5000 {
			id := uint32(2*i + 1)
			if f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headers("DoGet"), EndHeaders: true}) != nil || f.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				break // it may be told to go
			}
		}
		nc.Close()
		serves("resets")
		for end := time.Now().Add(5 * time.Second); s.core.OpenCount() > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d are open after a flood of resets", s.core.OpenCount())
			}
		}
	})
	t.Run("headers without end", func(t *testing.T) {
		nc, f := raw(t, s.addr)
		block := headers("DoGet")
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:10]})
		go func() {
			for range 1000 { // 16 KiB of them are read at most
				if f.WriteContinuation(1, false, bytes.Repeat([]byte{0x40, 0x01, 'a', 0x01, 'b'}, 200)) != nil {
					return
				}
			}
		}()
		if took, how := ends(f); took > 5*time.Second {
			t.Errorf("ended by %q after %v", how, took)
		}
		nc.Close()
		serves("headers")
	})
	t.Run("silence", func(t *testing.T) {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(6 * time.Second))
		start := time.Now()
		buf := make([]byte, 1000)
		for err == nil {
			_, err = nc.Read(buf)
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("one that never greets is closed after %v", took)
		}
		serves("silence")
	})
	t.Run("lies about lengths", func(t *testing.T) {
		_, f := raw(t, s.addr)
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headers("DoGet"), EndHeaders: true})
		f.WriteData(1, true, []byte{0, 0xff, 0xff, 0xff, 0xff, 1, 2, 3}) // a message of 4 GiB
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				t.Fatal(err)
			}
			if h, ok := frame.(*http2.HeadersFrame); ok && h.StreamEnded() {
				break
			}
		}
		serves("lengths")
	})
}

// faulty is a data node that does one thing wrong.
type faulty struct {
	arrowflight.BaseFlightServer
	do func(parts []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error

	mu    sync.Mutex
	calls int
	parts map[string]int
}

func (f *faulty) DoExchange(stream arrowflight.FlightService_DoExchangeServer) error {
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	var ask flight.CallRequest
	if err := json.Unmarshal(m.GetAppMetadata(), &ask); err != nil {
		return err
	}
	f.mu.Lock()
	f.calls++
	for _, p := range ask.Parts {
		f.parts[p.ID]++
	}
	f.mu.Unlock()
	w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
	if err := f.do(ask.Parts, w, stream); err != nil {
		return err
	}
	return w.Close()
}

// row is a batch of one document.
func row(w *arrowflight.Writer, shard int, doc string, m flight.PartResponse) error {
	b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
	defer b.Release()
	b.Field(0).(*array.Int32Builder).Append(int32(shard))
	b.Field(1).(*array.BinaryBuilder).Append([]byte(doc))
	rec := b.NewRecordBatch()
	defer rec.Release()
	raw, _ := json.Marshal(m)
	return w.WriteWithAppMetadata(rec, raw)
}

// behind puts a faulty data node behind a server; the others of the stand are sound.
func behind(t *testing.T, f *faulty) (*stand, *grpc.Server) {
	t.Helper()
	f.parts = map[string]int{}
	s := start(t, flight.Options{}, time.Millisecond, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	arrowflight.RegisterFlightServiceServer(g, f)
	go g.Serve(ln)
	t.Cleanup(g.Stop)
	list := []coordinator.Member{{ID: "faulty", Addr: ln.Addr().String(), Weight: 1}}
	for i, n := range s.nodes {
		list = append(list, coordinator.Member{ID: n.ID, Addr: n.Addr(), ShardSet: i % 2, Weight: 1})
	}
	s.list.ReplaceList(list, false)
	return s, g
}

// recorder keeps what a writer sends.
type recorder struct{ list []*arrowflight.FlightData }

func (r *recorder) Send(m *arrowflight.FlightData) error {
	r.list = append(r.list, &arrowflight.FlightData{DataHeader: bytes.Clone(m.DataHeader), DataBody: bytes.Clone(m.DataBody), AppMetadata: bytes.Clone(m.AppMetadata)})
	return nil
}

// recorded are the messages of a stream of one batch: its schema, its dictionaries, and the batch.
func recorded(schema *arrow.Schema, fill func(b *array.RecordBuilder), meta []byte) []*arrowflight.FlightData {
	var r recorder
	w := arrowflight.NewRecordWriter(&r, ipc.WithSchema(schema))
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer b.Release()
	fill(b)
	rec := b.NewRecordBatch()
	defer rec.Release()
	w.WriteWithAppMetadata(rec, meta)
	return r.list
}

// TestFaultyCalls: whatever goes wrong on a call's stream, and at whichever of its messages, each query has its whole
// answer from other data nodes, and what came before a fault is not mixed with what comes after.
func TestFaultyCalls(t *testing.T) {
	for name, do := range map[string]func(parts []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error{
		"no answer at all": func([]flight.PartRequest, *arrowflight.Writer, arrowflight.FlightService_DoExchangeServer) error {
			return fmt.Errorf("broken")
		},
		"cut after half of a part": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			row(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
			return fmt.Errorf("broken")
		},
		"ends well without an end of the part": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			return row(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
		},
		"another shard's document": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			for _, p := range p {
				row(w, p.Shard+1, "x", flight.PartResponse{ID: p.ID, Last: true})
			}
			return nil
		},
		"metadata that is none": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
			defer b.Release()
			return w.WriteWithAppMetadata(b.NewRecordBatch(), []byte("{"))
		},
		"parts that nobody asked for": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			return row(w, 0, "x", flight.PartResponse{ID: "nobody", Last: true})
		},
		"too large": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			for range 4 {
				row(w, p[0].Shard, strings.Repeat("x", 100<<10), flight.PartResponse{ID: p[0].ID})
			}
			return nil
		},
		"a body that lies about its lengths": func(p []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
			row(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
			return stream.Send(&arrowflight.FlightData{DataHeader: bytes.Repeat([]byte{0xff}, 64), DataBody: []byte("x")})
		},
		"a dictionary is missing": func(p []flight.PartRequest, _ *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
			schema, err := flight.NewSchema([]flight.Field{{Name: "club", Type: "dictionary"}})
			if err != nil {
				return err
			}
			meta, _ := json.Marshal(flight.PartResponse{ID: p[0].ID, Last: true})
			list := recorded(schema, func(b *array.RecordBuilder) { b.Field(0).(*array.BinaryDictionaryBuilder).AppendString("Olinda") }, meta)
			stream.Send(list[0])
			stream.Send(list[len(list)-1])
			return fmt.Errorf("broken")
		},
		"a schema that changes half-way": func(p []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
			row(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
			schema, err := flight.NewSchema([]flight.Field{{Name: "x", Type: "int32"}})
			if err != nil {
				return err
			}
			meta, _ := json.Marshal(flight.PartResponse{ID: p[0].ID, Last: true})
			for _, m := range recorded(schema, func(b *array.RecordBuilder) { b.Field(0).(*array.Int32Builder).Append(1) }, meta) {
				stream.Send(m)
			}
			return fmt.Errorf("broken")
		},
		"turned away": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			for _, p := range p {
				row(w, p.Shard, "x", flight.PartResponse{ID: p.ID, Status: "ResourceExhausted"})
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &faulty{do: do}
			s, _ := behind(t, f)
			c := s.client()
			for range 20 {
				g, err := c.Get(t.Context(), c.Question("", 0, 2, 4, 6))
				if err != nil || !g.Complete {
					t.Fatalf("%v, complete %v", err, g.Complete)
				}
				for shard, docs := range g.Docs {
					if len(docs) != 1 || docs[0] != c.Doc(shard) {
						t.Fatalf("shard %d has %q", shard, docs)
					}
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.calls == 0 {
				t.Error("the faulty data node was never asked")
			}
			for id, n := range f.parts {
				if n > 1 {
					t.Errorf("%s came to it %d times", id, n)
				}
			}
		})
	}
}

// TestCutAtEachMessage: the connection of a data node is cut after each of the messages of a call of four parts.
func TestCutAtEachMessage(t *testing.T) {
	for after := range 5 {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			var g *grpc.Server
			f := &faulty{do: func(p []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
				for i, p := range p {
					if i == after {
						break
					}
					row(w, p.Shard, fmt.Sprintf("%016x", uint64(p.Shard+1)*0x9e3779b97f4a7c15), flight.PartResponse{ID: p.ID, Last: true})
				}
				time.Sleep(20 * time.Millisecond) // what was sent is to arrive
				go g.Stop()
				<-stream.Context().Done()
				return stream.Context().Err()
			}}
			s, server := behind(t, f)
			g = server
			c := s.client()
			for range 5 {
				a, err := c.Get(t.Context(), c.Question("", 0, 2, 4, 6))
				if err != nil || !a.Complete || len(a.Docs) != 4 {
					t.Fatalf("%v, complete %v, %d shards", err, a.Complete, len(a.Docs))
				}
			}
		})
	}
}

// TestTransparentRetry: a stream that a data node turns back unprocessed (GOAWAY with a lower last stream) may be moved to
// a new connection by the library. Only that second copy reaches a handler: no part is at a data node twice.
func TestTransparentRetry(t *testing.T) {
	f := &faulty{parts: map[string]int{}, do: func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
		for _, p := range p {
			row(w, p.Shard, fmt.Sprintf("%016x", uint64(p.Shard+1)*0x9e3779b97f4a7c15), flight.PartResponse{ID: p.ID, Last: true})
		}
		return nil
	}}
	g := grpc.NewServer()
	arrowflight.RegisterFlightServiceServer(g, f)
	back, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go g.Serve(back)
	t.Cleanup(g.Stop)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Close() })
	turned := make(chan struct{}, 99)
	go func() {
		for n := 0; ; n++ {
			nc, err := front.Accept()
			if err != nil {
				return
			}
			if n > 0 {
				up, err := net.Dial("tcp", back.Addr().String())
				if err != nil {
					return
				}
				go func() { defer up.Close(); copyAll(up, nc) }()
				go func() { defer nc.Close(); copyAll(nc, up) }()
				continue
			}
			go func() { // the first connection turns its first stream back
				defer nc.Close()
				preface := make([]byte, len(http2.ClientPreface))
				if _, err := nc.Read(preface); err != nil {
					return
				}
				fr := http2.NewFramer(nc, nc)
				fr.WriteSettings()
				for {
					frame, err := fr.ReadFrame()
					if err != nil {
						return
					}
					switch frame := frame.(type) {
					case *http2.SettingsFrame:
						if !frame.IsAck() {
							fr.WriteSettingsAck()
						}
					case *http2.HeadersFrame:
						fr.WriteGoAway(0, http2.ErrCodeNo, nil)
						turned <- struct{}{}
					}
				}
			}()
		}
	}()
	s := start(t, flight.Options{}, 0, func(c *coordinator.Coordinator) coordinator.Dispatcher {
		return (&flight.Nodes{Coordinator: c, Log: slog.New(slog.DiscardHandler), Streams: 64, Connect: time.Second, Connections: make(chan struct{}, 64),
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			}}).Dispatch
	})
	s.list.ReplaceList([]coordinator.Member{{ID: "turns", Addr: front.Addr().String(), Weight: 1}}, false)
	c := s.client()
	if a, err := c.Get(t.Context(), c.Question("", 0, 1, 2, 3)); err != nil || !a.Complete {
		t.Errorf("%v, complete %v", err, a.Complete)
	}
	if len(turned) == 0 {
		t.Error("no stream was turned back")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.parts {
		if n != 1 {
			t.Errorf("%s came to a handler %d times", id, n)
		}
	}
}

func copyAll(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

package flight_test

// Abuse of the server by clients that send raw HTTP/2 frames, and of the coordinator by data nodes that close, corrupt or refuse
// streams. Only the faulty party may be affected; everyone else is served as before.

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

// dialHTTP2 opens a connection, sends the HTTP/2 preface and settings, and returns a framer for raw frames.
func dialHTTP2(t *testing.T, addr string) (net.Conn, *http2.Framer) {
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

// headers returns the header block of a call.
func headers(method string) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":path", "/arrow.flight.protocol.FlightService/" + method},
		{":authority", "x"}, {"content-type", "application/grpc"}, {"te", "trailers"}, {"grpc-timeout", "5S"}} {
		e.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
	}
	return b.Bytes()
}

// waitForClose waits until the server closes a connection or sends GOAWAY. It returns how long that took and how it ended.
func waitForClose(f *http2.Framer) (time.Duration, string) {
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

// TestHTTP2Abuse: each kind of abuse ends at most its own connection, and a well-behaved client is served throughout.
func TestHTTP2Abuse(t *testing.T) {
	s := startServer(t, flight.Options{}, time.Millisecond, nil)
	good := s.client()
	checkServed := func(what string) {
		t.Helper()
		if g, err := good.Get(t.Context(), good.Question("", 0, 1, 2, 3)); err != nil || !g.Complete {
			t.Errorf("%s: a well-behaved client: %v", what, err)
		}
	}
	t.Run("pings", func(t *testing.T) {
		_, f := dialHTTP2(t, s.addr)
		go func() {
			for range 200 {
				if f.WritePing(false, [8]byte{1}) != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		if took, how := waitForClose(f); took > 5*time.Second || !strings.Contains(how, "too_many_pings") {
			t.Errorf("a flood of pings ended by %q after %v", how, took)
		}
		checkServed("pings")
	})
	t.Run("resets", func(t *testing.T) {
		nc, f := dialHTTP2(t, s.addr)
		go func() { // discards the answers
			for {
				if _, err := f.ReadFrame(); err != nil {
					return
				}
			}
		}()
		for i := range 5000 {
			id := uint32(2*i + 1)
			if f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headers("DoGet"), EndHeaders: true}) != nil || f.WriteRSTStream(id, http2.ErrCodeCancel) != nil {
				break // the server may close the connection
			}
		}
		nc.Close()
		checkServed("resets")
		for end := time.Now().Add(5 * time.Second); s.coordinator.OpenCount() > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d queries are open after a flood of resets", s.coordinator.OpenCount())
			}
		}
	})
	t.Run("endless headers", func(t *testing.T) {
		nc, f := dialHTTP2(t, s.addr)
		block := headers("DoGet")
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:10]})
		go func() {
			for range 1000 { // the server reads at most 16 KiB of them
				if f.WriteContinuation(1, false, bytes.Repeat([]byte{0x40, 0x01, 'a', 0x01, 'b'}, 200)) != nil {
					return
				}
			}
		}()
		if took, how := waitForClose(f); took > 5*time.Second {
			t.Errorf("ended by %q after %v", how, took)
		}
		nc.Close()
		checkServed("headers")
	})
	t.Run("no handshake", func(t *testing.T) {
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
			t.Errorf("a connection without a handshake was closed after %v", took)
		}
		checkServed("no handshake")
	})
	t.Run("wrong length prefix", func(t *testing.T) {
		_, f := dialHTTP2(t, s.addr)
		f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headers("DoGet"), EndHeaders: true})
		f.WriteData(1, true, []byte{0, 0xff, 0xff, 0xff, 0xff, 1, 2, 3}) // announces a message of 4 GiB
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				t.Fatal(err)
			}
			if h, ok := frame.(*http2.HeadersFrame); ok && h.StreamEnded() {
				break
			}
		}
		checkServed("lengths")
	})
}

// faultyNode is a data node with one fault, which handle implements.
type faultyNode struct {
	arrowflight.BaseFlightServer
	handle func(parts []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error

	mu    sync.Mutex
	calls int
	parts map[string]int
}

func (f *faultyNode) DoExchange(stream arrowflight.FlightService_DoExchangeServer) error {
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	var request flight.CallRequest
	if err := json.Unmarshal(m.GetAppMetadata(), &request); err != nil {
		return err
	}
	f.mu.Lock()
	f.calls++
	for _, p := range request.Parts {
		f.parts[p.ID]++
	}
	f.mu.Unlock()
	w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
	if err := f.handle(request.Parts, w, stream); err != nil {
		return err
	}
	return w.Close()
}

// writeRow writes a batch of one document.
func writeRow(w *arrowflight.Writer, shard int, doc string, m flight.PartResponse) error {
	b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
	defer b.Release()
	b.Field(0).(*array.Int32Builder).Append(int32(shard))
	b.Field(1).(*array.BinaryBuilder).Append([]byte(doc))
	rec := b.NewRecordBatch()
	defer rec.Release()
	raw, _ := json.Marshal(m)
	return w.WriteWithAppMetadata(rec, raw)
}

// startWithFaultyNode starts a server with a faulty data node besides the working ones.
func startWithFaultyNode(t *testing.T, f *faultyNode) (*testServer, *grpc.Server) {
	t.Helper()
	f.parts = map[string]int{}
	s := startServer(t, flight.Options{}, time.Millisecond, nil)
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
	s.source.ReplaceList(list, false)
	return s, g
}

// recorder records the messages that a writer sends.
type recorder struct{ list []*arrowflight.FlightData }

func (r *recorder) Send(m *arrowflight.FlightData) error {
	r.list = append(r.list, &arrowflight.FlightData{DataHeader: bytes.Clone(m.DataHeader), DataBody: bytes.Clone(m.DataBody), AppMetadata: bytes.Clone(m.AppMetadata)})
	return nil
}

// recordBatch returns the messages of a stream of one batch: its schema, its dictionaries, and the batch.
func recordBatch(schema *arrow.Schema, fill func(b *array.RecordBuilder), meta []byte) []*arrowflight.FlightData {
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

// TestFaultyNodeStreams: when the stream of a call fails at any message, each query still gets its complete answer from other data
// nodes, and documents received before the fault are not mixed with those received after it.
func TestFaultyNodeStreams(t *testing.T) {
	for name, handle := range map[string]func(parts []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error{
		"no answer": func([]flight.PartRequest, *arrowflight.Writer, arrowflight.FlightService_DoExchangeServer) error {
			return fmt.Errorf("broken")
		},
		"stream fails within a part": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			writeRow(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
			return fmt.Errorf("broken")
		},
		"stream ends without the part's last batch": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			return writeRow(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
		},
		"document of another shard": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			for _, p := range p {
				writeRow(w, p.Shard+1, "x", flight.PartResponse{ID: p.ID, Last: true})
			}
			return nil
		},
		"malformed metadata": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
			defer b.Release()
			return w.WriteWithAppMetadata(b.NewRecordBatch(), []byte("{"))
		},
		"part that was not requested": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			return writeRow(w, 0, "x", flight.PartResponse{ID: "nobody", Last: true})
		},
		"part over the size limit": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			for range 4 {
				writeRow(w, p[0].Shard, strings.Repeat("x", 100<<10), flight.PartResponse{ID: p[0].ID})
			}
			return nil
		},
		"malformed batch header": func(p []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
			writeRow(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
			return stream.Send(&arrowflight.FlightData{DataHeader: bytes.Repeat([]byte{0xff}, 64), DataBody: []byte("x")})
		},
		"missing dictionary": func(p []flight.PartRequest, _ *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
			schema, err := flight.NewSchema([]flight.Field{{Name: "club", Type: "dictionary"}})
			if err != nil {
				return err
			}
			meta, _ := json.Marshal(flight.PartResponse{ID: p[0].ID, Last: true})
			list := recordBatch(schema, func(b *array.RecordBuilder) { b.Field(0).(*array.BinaryDictionaryBuilder).AppendString("Olinda") }, meta)
			stream.Send(list[0])
			stream.Send(list[len(list)-1])
			return fmt.Errorf("broken")
		},
		"schema changes within the stream": func(p []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
			writeRow(w, p[0].Shard, "half", flight.PartResponse{ID: p[0].ID})
			schema, err := flight.NewSchema([]flight.Field{{Name: "x", Type: "int32"}})
			if err != nil {
				return err
			}
			meta, _ := json.Marshal(flight.PartResponse{ID: p[0].ID, Last: true})
			for _, m := range recordBatch(schema, func(b *array.RecordBuilder) { b.Field(0).(*array.Int32Builder).Append(1) }, meta) {
				stream.Send(m)
			}
			return fmt.Errorf("broken")
		},
		"part rejected": func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
			for _, p := range p {
				writeRow(w, p.Shard, "x", flight.PartResponse{ID: p.ID, Status: "ResourceExhausted"})
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &faultyNode{handle: handle}
			s, _ := startWithFaultyNode(t, f)
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
				t.Error("the faulty data node was never called")
			}
			for id, n := range f.parts {
				if n > 1 {
					t.Errorf("part %s was sent to the faulty data node %d times", id, n)
				}
			}
		})
	}
}

// TestConnectionLostAtEachMessage: the connection to a data node is lost after each of the messages of a call of four parts.
func TestConnectionLostAtEachMessage(t *testing.T) {
	for after := range 5 {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			var g *grpc.Server
			f := &faultyNode{handle: func(p []flight.PartRequest, w *arrowflight.Writer, stream arrowflight.FlightService_DoExchangeServer) error {
				for i, p := range p {
					if i == after {
						break
					}
					writeRow(w, p.Shard, fmt.Sprintf("%016x", uint64(p.Shard+1)*0x9e3779b97f4a7c15), flight.PartResponse{ID: p.ID, Last: true})
				}
				time.Sleep(20 * time.Millisecond) // lets the messages arrive
				go g.Stop()
				<-stream.Context().Done()
				return stream.Context().Err()
			}}
			s, server := startWithFaultyNode(t, f)
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

// TestTransparentRetry: gRPC may retry a stream that a data node refuses unprocessed (GOAWAY with a lower last stream ID) on a new
// connection. Only that retry reaches a handler: no data node runs a part twice.
func TestTransparentRetry(t *testing.T) {
	f := &faultyNode{parts: map[string]int{}, handle: func(p []flight.PartRequest, w *arrowflight.Writer, _ arrowflight.FlightService_DoExchangeServer) error {
		for _, p := range p {
			writeRow(w, p.Shard, fmt.Sprintf("%016x", uint64(p.Shard+1)*0x9e3779b97f4a7c15), flight.PartResponse{ID: p.ID, Last: true})
		}
		return nil
	}}
	g := grpc.NewServer()
	arrowflight.RegisterFlightServiceServer(g, f)
	nodeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go g.Serve(nodeListener)
	t.Cleanup(g.Stop)
	proxyListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { proxyListener.Close() })
	refused := make(chan struct{}, 99)
	go func() {
		for n := 0; ; n++ {
			nc, err := proxyListener.Accept()
			if err != nil {
				return
			}
			if n > 0 {
				up, err := net.Dial("tcp", nodeListener.Addr().String())
				if err != nil {
					return
				}
				go func() { defer up.Close(); copyAll(up, nc) }()
				go func() { defer nc.Close(); copyAll(nc, up) }()
				continue
			}
			go func() { // the first connection refuses its first stream
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
						refused <- struct{}{}
					}
				}
			}()
		}
	}()
	s := startServer(t, flight.Options{}, 0, func(c *coordinator.Coordinator) coordinator.Dispatcher {
		return (&flight.Nodes{Coordinator: c, Log: slog.New(slog.DiscardHandler), MaxStreams: 64, ConnectTimeout: time.Second, ConnectionSlots: make(chan struct{}, 64),
			Dial: func(ctx context.Context, addr string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			}}).Dispatch
	})
	s.source.ReplaceList([]coordinator.Member{{ID: "turns", Addr: proxyListener.Addr().String(), Weight: 1}}, false)
	c := s.client()
	if a, err := c.Get(t.Context(), c.Question("", 0, 1, 2, 3)); err != nil || !a.Complete {
		t.Errorf("%v, complete %v", err, a.Complete)
	}
	if len(refused) == 0 {
		t.Error("no stream was refused")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.parts {
		if n != 1 {
			t.Errorf("part %s reached a handler %d times", id, n)
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

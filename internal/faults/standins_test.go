package faults

// Stand-in clients and data nodes, written from the public forms of both protocols.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	arrowflight "github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"gullfall/internal/coordinator"
	"gullfall/internal/flight"
	"gullfall/internal/platform"
)

var protocols = []protocol{
	{"platform", standFrames, carryFrames, frontHTTP, slowHTTP, 15_000},
	{"flight", standFlight, carryFlight, frontFlight, slowFlight, 200_000},
	// The core joins either front with either kind of data node.
	{"platform to flight", standFlight, carryFlight, frontHTTP, slowHTTP, 15_000},
	{"flight to platform", standFrames, carryFrames, frontFlight, slowFlight, 60_000},
	// Calls as one stream, to data nodes and from clients.
	{"flight calls", standCalls, carryFlight, frontFlight, slowFlight, 200_000},
	{"exchange", standCalls, carryFlight, frontExchange, slowFlight, 200_000},
	{"exchange to platform", standFrames, carryFrames, frontExchange, slowFlight, 60_000},
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func carryFrames(c *coordinator.Coordinator) coordinator.Dispatcher {
	return (&platform.ConnPool{Coordinator: c, Log: quiet, Dial: dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout: 30 * time.Second, Slots: make(chan struct{}, 64)}).Dispatch
}

func carryFlight(c *coordinator.Coordinator) coordinator.Dispatcher {
	return (&flight.Nodes{Core: c, Log: quiet, Dial: dial, Streams: 32, Connect: 250 * time.Millisecond,
		Slots: make(chan struct{}, 64)}).Dispatch
}

// conns is a listener whose connections can be cut.
type conns struct {
	net.Listener
	narrow bool // a reader's slowness is soon felt; a Flight stream's own window does as much
	mu     sync.Mutex
	open   []net.Conn
}

func (l *conns) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		if l.narrow {
			nc.(*net.TCPConn).SetWriteBuffer(1)
		}
		l.mu.Lock()
		l.open = append(l.open, nc)
		l.mu.Unlock()
	}
	return nc, err
}

func (l *conns) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, nc := range l.open {
		nc.Close()
	}
	l.open = nil
}

// cutAfter leaves the other parts of a call time to be answered before the connection goes.
const cutAfter = 50 * time.Millisecond

// standFrames is a data node of the platform's protocol.
func standFrames(ln net.Listener, b *book, name string) (stop func()) {
	l := &conns{Listener: ln}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serveFrames(nc, l, b, name)
		}
	}()
	return func() { ln.Close(); l.cut() }
}

func serveFrames(nc net.Conn, l *conns, b *book, name string) {
	var mu sync.Mutex
	out := map[string]int{}
	settle := func(id string, givenUp bool) bool {
		mu.Lock()
		defer mu.Unlock()
		number, was := out[id]
		if delete(out, id); was {
			b.end(number, givenUp)
		}
		return was
	}
	defer func() {
		nc.Close()
		mu.Lock()
		ids := []string{}
		for id := range out {
			ids = append(ids, id)
		}
		mu.Unlock()
		for _, id := range ids {
			settle(id, false)
		}
	}()
	write := func(id, end, value string) {
		frame := binary.LittleEndian.AppendUint32(nil, 0)
		frame = fmt.Appendf(frame, "A%s %s 1 util=0.5\n%s", id, end, value)
		binary.LittleEndian.PutUint32(frame, uint32(len(frame)-4))
		nc.Write(frame)
	}
	in := bufio.NewReader(nc)
	for {
		var size uint32
		if binary.Read(in, binary.LittleEndian, &size) != nil {
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		if body[0] == 'X' {
			settle(string(body[1:]), true)
			continue
		}
		for rest := body[1:]; len(rest) > 0; {
			line, after, _ := bytes.Cut(rest, []byte("\n"))
			words := strings.Fields(string(line))
			n, _ := strconv.Atoi(words[3])
			id := words[0]
			_, key, _ := strings.Cut(words[2], ",k=")
			rest = after[n:]
			number, act := b.start(name, id, key)
			mu.Lock()
			out[id] = number
			mu.Unlock()
			answer := func(end, value string) {
				if settle(id, false) {
					write(id, end, value)
				}
			}
			switch act {
			case "ok":
				answer("ok", b.doc(id))
			case "busy", "err":
				answer(act, "")
			case "hold":
				go func() { <-b.release; answer("ok", b.doc(id)) }()
			case "spoilt":
				time.AfterFunc(cutAfter, func() {
					settle(id, false)
					nc.Write([]byte("\x10\x00\x00\x00Anoise\nnoise----"))
				})
			case "cut":
				time.AfterFunc(cutAfter, func() {
					frame := binary.LittleEndian.AppendUint32(nil, 1000)
					nc.Write(fmt.Appendf(frame, "A%s ok 1 -\nhalf", id))
					b.cut(name)
					l.cut()
				})
			}
		}
	}
}

// standNode is a Flight data node.
type standNode struct {
	arrowflight.BaseFlightServer
	l    *conns
	b    *book
	name string
}

func standFlight(ln net.Listener, b *book, name string) (stop func()) {
	s := grpc.NewServer()
	l := &conns{Listener: ln}
	arrowflight.RegisterFlightServiceServer(s, &standNode{l: l, b: b, name: name})
	go s.Serve(l)
	return s.Stop
}

func (s *standNode) DoGet(t *arrowflight.Ticket, stream arrowflight.FlightService_DoGetServer) error {
	var ticket flight.PartTicket
	if err := json.Unmarshal(t.Ticket, &ticket); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	number, act := s.b.start(s.name, ticket.ID, ticket.Key)
	givenUp := false
	defer func() { s.b.end(number, givenUp) }()
	b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
	send := func(doc string) error {
		b.Field(0).(*array.Int32Builder).Append(int32(ticket.Shard))
		b.Field(1).(*array.BinaryBuilder).Append([]byte(doc))
		w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
		defer w.Close()
		return w.WriteWithAppMetadata(b.NewRecordBatch(), []byte(`{"load":{"util":0.5}}`))
	}
	switch act {
	case "busy":
		return status.Error(codes.ResourceExhausted, "busy")
	case "err":
		return status.Error(codes.Internal, "err")
	case "hold":
		<-s.b.release
	case "cut":
		send("half")
		time.Sleep(cutAfter)
		s.b.cut(s.name)
		s.l.cut()
		<-stream.Context().Done()
		return stream.Context().Err()
	case "spoilt":
		ticket.Shard += 100
	case "silent":
		<-stream.Context().Done()
		givenUp = true
		return stream.Context().Err()
	}
	return send(s.b.doc(ticket.ID))
}

// callNode is a Flight data node that takes the parts of a call on one stream.
type callNode struct{ standNode }

func standCalls(ln net.Listener, b *book, name string) (stop func()) {
	s := grpc.NewServer()
	l := &conns{Listener: ln}
	arrowflight.RegisterFlightServiceServer(s, &callNode{standNode{l: l, b: b, name: name}})
	go s.Serve(l)
	return s.Stop
}

func (s *callNode) DoExchange(stream arrowflight.FlightService_DoExchangeServer) error {
	var mu sync.Mutex
	out := map[string]int{}
	settle := func(id string, givenUp bool) bool {
		mu.Lock()
		defer mu.Unlock()
		number, was := out[id]
		if delete(out, id); was {
			s.b.end(number, givenUp)
		}
		return was
	}
	defer func() {
		mu.Lock()
		ids := []string{}
		for id := range out {
			ids = append(ids, id)
		}
		mu.Unlock()
		for _, id := range ids {
			settle(id, true)
		}
	}()
	var writing sync.Mutex
	w := arrowflight.NewRecordWriter(stream, ipc.WithSchema(flight.Schema))
	tell := func(shard int, doc string, m flight.PartTold) {
		writing.Lock()
		defer writing.Unlock()
		b := array.NewRecordBuilder(memory.DefaultAllocator, flight.Schema)
		defer b.Release()
		if doc != "" {
			b.Field(0).(*array.Int32Builder).Append(int32(shard))
			b.Field(1).(*array.BinaryBuilder).Append([]byte(doc))
		}
		raw, _ := json.Marshal(m)
		w.WriteWithAppMetadata(b.NewRecordBatch(), raw)
	}
	for {
		m, err := stream.Recv()
		if err == io.EOF {
			writing.Lock()
			defer writing.Unlock()
			return w.Close()
		} else if err != nil {
			return err
		}
		var ask flight.PartsAsk
		if err := json.Unmarshal(m.GetAppMetadata(), &ask); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if ask.Cancel != "" {
			settle(ask.Cancel, true)
		}
		for _, p := range ask.Parts {
			number, act := s.b.start(s.name, p.ID, p.Key)
			mu.Lock()
			out[p.ID] = number
			mu.Unlock()
			answer := func(m flight.PartTold, doc string) {
				if settle(p.ID, false) {
					m.ID = p.ID
					tell(p.Shard, doc, m)
				}
			}
			switch act {
			case "ok":
				answer(flight.PartTold{Last: true, Load: map[string]float64{"util": 0.5}}, s.b.doc(p.ID))
			case "busy":
				answer(flight.PartTold{Status: codes.ResourceExhausted.String()}, "")
			case "err":
				answer(flight.PartTold{Status: codes.Internal.String()}, "")
			case "hold":
				go func() {
					<-s.b.release
					answer(flight.PartTold{Last: true}, s.b.doc(p.ID))
				}()
			case "spoilt":
				settle(p.ID, false)
				tell(p.Shard+100, s.b.doc(p.ID), flight.PartTold{ID: p.ID, Last: true})
			case "cut":
				go func() {
					tell(p.Shard, "half", flight.PartTold{ID: p.ID})
					time.Sleep(cutAfter)
					s.b.cut(s.name)
					s.l.cut()
				}()
			}
		}
	}
}

// answerMeta is the metadata of an answer's batches.
type answerMeta struct {
	Complete bool
	Status   string
	RetryMS  int64 `json:"retry_ms"`
}

// readAll reads a stream to its end, unless there was an error before.
func readAll(in *arrowflight.Reader, err error) (docs []string, meta answerMeta, _ error) {
	for err == nil && in.Next() {
		values := in.RecordBatch().Column(1).(*array.Binary)
		for i := range values.Len() {
			docs = append(docs, string(values.Value(i)))
		}
		json.Unmarshal(in.LatestAppMetadata(), &meta)
	}
	if err == nil {
		err = in.Err()
	}
	return docs, meta, err
}

// frontExchange is the Flight front and a client that asks by DoExchange, a stream for each query.
func frontExchange(c *coordinator.Coordinator, ln net.Listener) (asker, func()) {
	server := flight.NewServer(c, quiet, 16<<20)
	go server.Serve(ln, 64)
	cc := channel(ln.Addr().String())
	client := arrowflight.NewClientFromConn(cc, nil)
	ask := func(ctx context.Context, class, owner string, shards ...int) string {
		end, _ := ctx.Deadline()
		asking, cancel := context.WithCancel(context.WithoutCancel(ctx)) // its time is in the question
		defer cancel()
		defer context.AfterFunc(ctx, func() {
			if ctx.Err() == context.Canceled {
				cancel()
			}
		})()
		stream, err := client.DoExchange(asking)
		if err != nil {
			return "lost"
		}
		question := append(fmt.Appendf(nil, `{"id":"q","deadline_ms":%d,`, max(1, time.Until(end).Milliseconds())), ticket(class, owner, shards...)[1:]...)
		stream.Send(&arrowflight.FlightData{AppMetadata: question, FlightDescriptor: &arrowflight.FlightDescriptor{
			Type: arrowflight.DescriptorPATH, Path: []string{strings.Split(class, "#")[0]}}})
		stream.CloseSend()
		in, err := arrowflight.NewRecordReader(stream)
		docs, meta, err := readAll(in, err)
		switch {
		case err != nil && status.Code(err) == codes.InvalidArgument || meta.Status == codes.InvalidArgument.String():
			return "bad input"
		case err != nil && status.Code(err) == codes.Unavailable:
			return "lost"
		case meta.Status == codes.Unavailable.String() && meta.RetryMS > 0:
			return "refused"
		case err != nil && status.Code(err) == codes.Canceled || meta.Status == codes.Canceled.String():
			return "gone"
		case meta.Status == codes.DeadlineExceeded.String():
			return "overtime"
		case err != nil || meta.Status != "":
			return "failed"
		}
		return words(meta.Complete, docs)
	}
	return ask, func() { server.Drain(); cc.Close() }
}

// frontHTTP is the platform's front and its client.
func frontHTTP(c *coordinator.Coordinator, ln net.Listener) (asker, func()) {
	clients := &platform.Server{Coordinator: c, Log: quiet, MaxConns: 64, BodyMemory: 1 << 20}
	go clients.Serve(&conns{Listener: ln, narrow: true})
	ids := ids()
	ask := func(ctx context.Context, class, owner string, shards ...int) string {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			return err.Error()
		}
		defer nc.Close()
		defer context.AfterFunc(ctx, func() { nc.Close() })()
		end, _ := ctx.Deadline()
		post(nc, <-ids, class, owner, end, shards)
		in := textproto.NewReader(bufio.NewReader(nc))
		line, err := in.ReadLine()
		if err != nil {
			return map[bool]string{true: "gone", false: "lost"}[ctx.Err() == context.Canceled]
		}
		header, _ := in.ReadMIMEHeader()
		n, _ := strconv.Atoi(header.Get("Content-Length"))
		raw := make([]byte, n)
		if _, err := io.ReadFull(in.R, raw); err != nil {
			return "lost"
		}
		var answer struct {
			Complete bool
			Hits     []struct{ Doc string }
		}
		switch code := strings.Fields(line)[1]; {
		case code == "503" && header.Get("Retry-After") != "":
			return "refused"
		case code[0] == '4':
			return "bad input"
		case code != "200" || json.Unmarshal(raw, &answer) != nil:
			return "failed"
		}
		var docs []string
		for _, h := range answer.Hits {
			docs = append(docs, h.Doc)
		}
		return words(answer.Complete, docs)
	}
	return ask, func() { clients.Drain(time.Now().Add(time.Minute)); clients.CloseIdle(); ln.Close(); clients.Wait() }
}

// post writes a request.
func post(nc net.Conn, id, class, owner string, end time.Time, shards []int) {
	body := form(shards)
	class, key, keyed := strings.Cut(class, "#")
	if keyed {
		key = "Idempotency-Key: " + key + "\r\n"
	}
	fmt.Fprintf(nc, "POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, id, owner, time.Until(end).Milliseconds(), key, len(body), body)
}

func slowHTTP(t *testing.T, addr string, end time.Time) {
	d := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error { // before the window is told
		return rc.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	post(nc, "slow", "report", "club", end, []int{0, 1, 2, 3})
}

func slowFlight(t *testing.T, addr string, end time.Time) {
	cc := channel(addr)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	t.Cleanup(func() { cancel(); cc.Close() })
	_, err := arrowflight.NewClientFromConn(cc, nil).DoGet(ctx, &arrowflight.Ticket{Ticket: ticket("report", "club", 0, 1, 2, 3)})
	if err != nil {
		t.Fatal(err)
	}
}

// channel is a client's; it never tries anything again by itself.
func channel(addr string) *grpc.ClientConn {
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithDisableRetry(),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		panic(err)
	}
	return cc
}

// ticket is a Flight client's query.
func ticket(class, owner string, shards ...int) []byte {
	class, key, keyed := strings.Cut(class, "#")
	if keyed {
		return fmt.Appendf(nil, `{"class":%q,"owner":%q,"idempotency_key":%q,%s`, class, owner, key, form(shards)[1:])
	}
	return fmt.Appendf(nil, `{"class":%q,"owner":%q,%s`, class, owner, form(shards)[1:])
}

// frontFlight is the Flight front and its client.
func frontFlight(c *coordinator.Coordinator, ln net.Listener) (asker, func()) {
	server := flight.NewServer(c, quiet, 16<<20)
	go server.Serve(ln, 64)
	cc := channel(ln.Addr().String())
	client := arrowflight.NewClientFromConn(cc, nil)
	ask := func(ctx context.Context, class, owner string, shards ...int) string {
		stream, err := client.DoGet(ctx, &arrowflight.Ticket{Ticket: ticket(class, owner, shards...)})
		var in *arrowflight.Reader
		if err == nil {
			in, err = arrowflight.NewRecordReader(stream)
		}
		docs, meta, err := readAll(in, err)
		st, _ := status.FromError(err)
		switch st.Code() {
		case codes.OK:
			return words(meta.Complete, docs)
		case codes.Unavailable:
			if len(st.Details()) == 1 && st.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration() > 0 {
				return "refused"
			}
			return "lost"
		case codes.InvalidArgument:
			return "bad input"
		case codes.Canceled:
			return "gone"
		case codes.DeadlineExceeded:
			return "overtime"
		}
		return "failed"
	}
	return ask, func() { server.Drain(); cc.Close() }
}

// form is a query's parts in JSON.
func form(shards []int) string {
	var list []string
	for _, s := range shards {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%g}`, s, 1/float64(len(shards))))
	}
	return `{"shards":[` + strings.Join(list, ",") + `],"q":"c41e77d0"}`
}

// ids are new for each request.
func ids() <-chan string {
	out := make(chan string)
	go func() {
		for i := 0; ; i++ {
			out <- fmt.Sprintf("q%d", i)
		}
	}()
	return out
}

package faults

// Stand-in clients and data nodes for the platform's protocol, written from its public specification.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gullfall/internal/coordinator"
	"gullfall/internal/platform"
)

// dispatchFrames returns a dispatcher for data nodes of the platform's protocol.
func dispatchFrames(c *coordinator.Coordinator) coordinator.Dispatcher {
	return (&platform.ConnPool{Coordinator: c, Log: discardLog, Dial: dial, Streams: 32, ConnectTimeout: 250 * time.Millisecond,
		IdleTimeout: 30 * time.Second, Descriptors: make(chan struct{}, 64)}).Dispatch
}

// startFrameNode starts a data node of the platform's protocol.
func startFrameNode(ln net.Listener, b *nodeScript, name string) (stop func()) {
	l := &cuttableListener{Listener: ln}
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

// serveFrames handles the frames received on one connection.
func serveFrames(nc net.Conn, l *cuttableListener, b *nodeScript, name string) {
	running := runningParts{numbers: map[string]int{}}
	defer func() {
		nc.Close()
		running.settleAll(b.end)
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
			running.settle(string(body[1:]), b.cancel)
			continue
		}
		for rest := body[1:]; len(rest) > 0; {
			line, after, _ := bytes.Cut(rest, []byte("\n"))
			words := strings.Fields(string(line))
			n, _ := strconv.Atoi(words[3])
			id := words[0]
			_, key, _ := strings.Cut(words[2], ",k=")
			rest = after[n:]
			number, action := b.start(name, id, key)
			running.add(id, number)
			answer := func(end, value string) {
				if running.settle(id, b.end) {
					write(id, end, value)
				}
			}
			switch action {
			case "ok":
				answer("ok", b.doc(id))
			case "busy", "err":
				answer(action, "")
			case "hold":
				go func() { <-b.release; answer("ok", b.doc(id)) }()
			case "corrupt":
				time.AfterFunc(cutAfter, func() {
					running.settle(id, b.end)
					nc.Write([]byte("\x10\x00\x00\x00Anoise\nnoise----"))
				})
			case "cut":
				time.AfterFunc(cutAfter, func() {
					frame := binary.LittleEndian.AppendUint32(nil, 1000)
					nc.Write(fmt.Appendf(frame, "A%s ok 1 -\nhalf", id))
					b.connsCut(name)
					l.cut()
				})
			}
		}
	}
}

// serveHTTP starts a server of the platform's protocol and returns a client that queries it.
func serveHTTP(c *coordinator.Coordinator, ln net.Listener) (queryFunc, func()) {
	clients := &platform.Server{Coordinator: c, Log: discardLog, MaxConns: 64, BodyMemory: 1 << 20}
	go clients.Serve(&cuttableListener{Listener: ln, smallSendBuffer: true})
	ids := newQueryIDs()
	query := func(ctx context.Context, class, owner string, shards ...int) string {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			return err.Error()
		}
		defer nc.Close()
		defer context.AfterFunc(ctx, func() { nc.Close() })()
		end, _ := ctx.Deadline()
		writePost(nc, <-ids, class, owner, end, shards)
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
			return "rejected"
		case code[0] == '4':
			return "bad input"
		case code != "200" || json.Unmarshal(raw, &answer) != nil:
			return "failed"
		}
		var docs []string
		for _, h := range answer.Hits {
			docs = append(docs, h.Doc)
		}
		return result{answer.Complete, docs}.String()
	}
	return query, func() { clients.Drain(time.Now().Add(time.Minute)); clients.CloseIdle(); ln.Close(); clients.Wait() }
}

// writePost writes the request of a query.
func writePost(nc net.Conn, id, class, owner string, end time.Time, shards []int) {
	body := queryParts(shards)
	class, key, keyed := strings.Cut(class, "#")
	if keyed {
		key = "Idempotency-Key: " + key + "\r\n"
	}
	fmt.Fprintf(nc, "POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, id, owner, time.Until(end).Milliseconds(), key, len(body), body)
}

// readHTTPSlowly sends a query and does not read the answer.
func readHTTPSlowly(t *testing.T, addr string, end time.Time) {
	d := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error { // set before the window is advertised
		return rc.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
	}}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	writePost(nc, "slow", "report", "club", end, []int{0, 1, 2, 3})
}

// queryParts returns the JSON form of a query with these shards.
func queryParts(shards []int) string {
	var list []string
	for _, s := range shards {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%g}`, s, 1/float64(len(shards))))
	}
	return `{"shards":[` + strings.Join(list, ",") + `],"q":"c41e77d0"}`
}

// newQueryIDs returns a channel of unique query ids.
func newQueryIDs() <-chan string {
	out := make(chan string)
	go func() {
		for i := 0; ; i++ {
			out <- fmt.Sprintf("q%d", i)
		}
	}()
	return out
}

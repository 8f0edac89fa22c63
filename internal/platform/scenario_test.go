package platform

// Scenarios in virtual time. A line is an actor, a verb (send, expect, close, wait) and a text. The actors: c1,
// c2 ... clients; n1, n2 ... data nodes, n1 for the even shards and n2 for the odd; m1 a data node for the even
// shards that takes connections and never reads; h1 one whose connections never come up; d1 discovery; s1 the
// signals. A data node's connection carries 32 parts, or as many as streams= says; busy=
// is what clients may have. "expect -" tells that nothing has come, find expects what has come already, "expect end" that the connection was closed.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
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
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"gullfall/aggregator"
	"gullfall/internal/coordinator"
	"gullfall/internal/membership"
)

var scenarios = []struct {
	name, nodes, script string
}{
	// Guards the form of a part: a data node that is sent a keyed part without its key turns the whole run away. The key
	// is the query's, whatever its id; a query of another class has none.
	{"a keyed part carries its query's key", "n1", `
		c1 send entry q1 2000 0 5c0f6e1a2b3d4c59a8b7c6d5e4f30211
		n1 expect Q q1.0(k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211)
		n1 send A q1.0 err
		n1 expect Q q1.0(k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211)
		n1 send A q1.0 ok v0
		c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"v0"}]}
		c1 send entry q2 2000 0 5c0f6e1a2b3d4c59a8b7c6d5e4f30211
		n1 expect Q q2.0(k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211)
		n1 send A q2.0 ok v0
		c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"v0"}]}
		c1 send raw "POST /entry HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 900\r\nContent-Length: 24\r\n\r\n{\"shards\":[{\"shard\":0}]}"
		c1 expect 400
		n1 expect -`},
	{"parts of one query for one data node are one frame", "n1 n2", `
		c1 send query q1 2000 0,1,2
		n1 expect Q q1.0,q1.2
		n2 expect Q q1.1
		n1 send A q1.0 ok v0
		n1 send A q1.2 ok v2
		c1 expect -
		n2 send A q1.1 ok v1
		c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"v0"},{"shard":1,"doc":"v1"},{"shard":2,"doc":"v2"}]}
		c1 send query q2 2000 0
		n1 expect Q q2.0
		n1 send A q2.0 ok w
		c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"w"}]}`},
	// Guards rule 1: what is given up gets its answer at once, and clients are told when to come back.
	{"a query without a data node is refused at once", "n1", `
		c1 send query q1 2000 1
		wait 20ms
		c1 expect 503 after {"error":"refused"}`},
	// Guards against work that nobody waits for.
	{"a client that leaves has its parts given up", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		c1 close
		n1 expect X q1.0`},
	// Guards the rule against twin attempts: a data node reads no further while a connection carries all it may, so a
	// frame that gives a part up would lie unread while the part is sent elsewhere.
	{"one stream of a connection stays free", "n1 streams=2", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		c2 send query q2 2000 2
		wait 20ms
		n1 expect -
		c1 close
		n1 expect X q1.0`},
	{"a part is given up by closing a connection that is full", "n1 streams=1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		c1 close
		n1 expect end`},
	// Guards the rule against twin attempts: the time-out is told before the query ends.
	{"an attempt that times out is given up at the data node", "n1", `
		c1 send query q1 3000 0
		n1 expect Q q1.0
		wait 1s
		n1 expect X q1.0
		c1 expect 503 after {"error":"refused"}
		n1 send A q1.0 ok late
		c1 expect -`},
	{"bad input never reaches the core", "n1", `
		c1 send query q1 2000 9
		c1 expect 400
		c1 send query q1 0 0
		c1 expect 400
		c1 send query q1 2000 0,0
		c1 expect 400
		c1 send raw "POST /report HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 9\r\nContent-Length: 1\r\n\r\n{"
		c1 expect 400
		c1 send raw "POST /unknown HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 900\r\nContent-Length: 24\r\n\r\n{\"shards\":[{\"shard\":0}]}"
		c1 expect 400
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200
		c1 send raw "GET /report HTTP/1.1\r\n\r\n"
		c1 expect 404
		c1 send raw "PUT /report HTTP/1.1\r\n\r\n"
		c1 expect 405
		c1 send raw "POST /report HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"
		c1 expect 413 close
		c1 expect end
		c2 send raw "nonsense\r\n\r\n"
		c2 expect 400 close
		c3 send raw "POST /report HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		c3 expect 400 close
		c4 send long
		c4 expect 431 close
		n1 expect -`},
	// Guards the rules on duplicates and lost requests: what could be read in two ways is not passed on.
	{"ambiguous framing and names", "n1", `
		c1 send raw "POST /report HTTP/1.1\r\nContent-Length: \r\nTransfer-Encoding: chunked\r\n\r\n"
		c1 expect 400 close
		c2 send raw "POST /report HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}"
		c2 expect 400 close
		c3 send raw "POST /report HTTP/1.1\r\nContent-Length: 2\r\nReq-Id: a\r\nReq-Id: b\r\n\r\n{}"
		c3 expect 400 close
		c4 send raw "POST /report HTTP/1.9\r\nContent-Length: 2\r\n\r\n{}"
		c4 expect 400 close
		c5 send raw "POST /report HTTP/1.1\r\nContent-Length: -1\r\n\r\n"
		c5 expect 400 close
		c6 send query q1 +900 0
		c6 expect 400
		c7 send raw "POST /entry HTTP/1.1\r\nContent-Length: 2\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n{}"
		c7 expect 400 close
		n1 expect -`},
	// Guards the 3 s that a bad client is owed: silence and half a request are ended within 2 s of connecting, however
	// slowly more comes; on a connection in use each request has 2 s of its own.
	{"clients that say nothing, or half", "n1", `
		c1 send raw ""
		c2 send raw "POST /report HT"
		c3 send raw "GET /up HTTP/1.1\r\n\r\n"
		c3 expect 200
		wait 1500ms
		c2 send raw "TP/1.1\r\n"
		c3 send raw "GET /up HTTP/1.1\r\n"
		c1 expect -
		wait 490ms
		c2 expect -
		wait 20ms
		c1 expect end
		c2 expect 408 close
		c2 expect end
		wait 1400ms
		c3 expect -
		wait 100ms
		c3 expect 408 close`},
	// Guards clients that open a connection for each request and keep it: half of what they may have stays open. Beyond
	// it one that rested for 2 s goes, or else the one answered.
	{"kept connections leave room for others", "n1 busy=4", `
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200 {}
		c2 send raw "GET /up HTTP/1.1\r\n\r\n"
		c2 expect 200 {}
		c3 send raw "GET /up HTTP/1.1\r\n\r\n"
		c3 expect 200 close {}
		c3 expect end
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200 {}
		wait 2s
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200 {}
		c4 send raw "GET /up HTTP/1.1\r\n\r\n"
		c4 expect 200 {}
		c2 expect end
		c1 expect -`},
	// Guards memory and usual clients: two long bodies that don't come on leave no room for a third, but a short one
	// needs none.
	{"long bodies that stop coming", "n1", `
		c1 send part 60000 5000
		c2 send part 60000 5000
		c3 send part 60000 5000
		c3 expect 503 after close
		c3 expect end
		c4 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c4 expect 200
		wait 2s
		c1 expect 408 close
		c5 send part 60000 60000
		c5 expect 400`},
	// Guards usual clients: nine connections may be open; the silent go first, then those that rest.
	{"idle connections make room for others", "n1", `
		c1 send raw "GET /up HTTP/1.1\r\n\r\n"
		c1 expect 200
		wait 10ms
		c2 send raw "GET /up HTTP/1.1\r\n\r\n"
		c2 expect 200
		wait 1900ms
		c3 send query q1 2000 0
		n1 expect Q q1.0
		c4 send raw ""
		wait 1ms
		c5 send raw ""
		c6 send raw ""
		c7 send raw ""
		c8 send raw ""
		c9 send raw ""
		c10 send query q2 2000 0
		wait 100ms
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c10 expect 200
		c1 expect end
		c2 expect -
		c11 send query q3 2000 0
		wait 30ms
		n1 expect Q q3.0
		n1 send A q3.0 ok v
		c11 expect 200
		c2 expect end
		n1 send A q1.0 ok v
		c3 expect 200
		c4 expect -
		c12 send query q4 2000 0
		wait 300ms
		n1 expect Q q4.0
		n1 send A q4.0 ok v
		c12 expect 200
		c4 expect end
		c5 expect -`},
	{"a body in chunks", "n1", `
		c1 send raw "POST /report HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: club\r\nReq-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n"
		c1 send raw "e;x=1\r\n{\"shards\":[{\"s\r\n20\r\nhard\":0,\"weight\":1}],\"q\":\"text\"}\r\n0\r\nTrailer: 1\r\n\r\n"
		n1 expect Q a.0
		n1 send A a.0 ok v
		c1 expect 200
		c1 send raw "POST /report HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
		c1 expect 400 close`},
	// Guards the process: a bad frame costs its connection, and what was out on it is tried again.
	{"a frame that can't be read ends its connection only", "n1 n2", `
		c1 send query q1 2000 0,1
		n1 expect Q q1.0
		n2 expect Q q1.1
		n2 send A q1.1 ok v1
		n1 send raw "\x00\x00\x00\x00"
		n1 expect end
		n1 expect Q q1.0
		n1 send A q1.0 ok v0
		c1 expect 200`},
	// Guards values: what comes is the answer to a part that is out, or it ends the connection. An unreadable report
	// costs the report only.
	{"what a data node may send", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v0 util=oops
		c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"v0 util=oops"}]}
		n1 send A q1.0 ok again
		n1 expect end
		c1 send query q2 2000 0
		n1 expect Q q2.0
		n1 send A q1.0 ok late
		n1 expect end
		n1 expect Q q2.0
		n1 send A q2.0 odd v
		n1 expect end
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"v"}]}`},
	{"frames that are none", "n1", spoilt()},
	// Guards against resets: the data node's machine closes idle connections after 30 s.
	{"an idle connection is closed before the peer does so", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c1 expect 200
		wait 26s
		n1 expect -
		wait 1s
		n1 expect end`},
	// Guards against taking a lost connection for a dead data node: with the second one the query was given up, and all
	// later ones sent their parts one by one.
	{"connections that are cut", "n1", `
		c1 send query q1 2000 0,2
		n1 expect Q q1.0,q1.2
		n1 close
		n1 expect Q q1.0,q1.2
		n1 close
		n1 expect Q q1.0,q1.2
		n1 send A q1.0 ok v
		n1 send A q1.2 ok v
		c1 expect 200
		c1 send query q2 2000 0,2
		n1 expect Q q2.0,q2.2`},
	{"a data node that ended a connection is reached by a new one", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c1 expect 200
		n1 close
		c1 send query q2 2000 0
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c1 expect 200`},
	// Guards the loop: a peer that does not read holds up neither it nor other data nodes.
	{"a data node that never reads", "m1 n2", `
		c1 send query q1 3000 0
		c2 send query q2 3000 1
		n2 expect Q q2.1
		n2 send A q2.1 ok v
		c2 expect 200
		wait 1200ms
		c1 expect 503 after {"error":"refused"}`},
	{"a connection that never comes up", "h1 n2", `
		c1 send query q1 3000 0
		c2 send query q2 3000 1
		n2 expect Q q2.1
		n2 send A q2.1 ok v
		c2 expect 200
		wait 1200ms
		c1 expect 503 after {"error":"refused"}`},
	{"an ejected data node is probed and comes back", "n1", `
		c1 send query q1 3000 0
		n1 expect Q q1.0
		n1 send A q1.0 err
		n1 expect Q q1.0
		n1 send A q1.0 err
		n1 expect Q q1.0
		n1 send A q1.0 err
		c1 expect 503 after {"error":"refused"}
		wait 3s
		c1 send query q2 2000 0
		n1 expect L
		n1 send L util=0.5
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c1 expect 200`},
	{"the watch is opened anew after the last version, and when it falls silent", "n1 n2", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		d1 send page {"version":42,"full":false,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"SERVING","weight":1}]}
		d1 close
		wait 300ms
		d1 expect GET /discovery/hosts?watch=1&after=42
		d1 send line
		wait 3500ms
		d1 send line
		wait 3500ms
		d1 expect -
		wait 1s
		d1 expect end
		wait 300ms
		d1 expect GET /discovery/hosts?watch=1&after=42`},
	// Guards the rule on drains: changes hold from when they are told, complete lists too.
	{"a drain, a bad entry and a complete list are applied at once", "n1 n2", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		d1 send page {"version":42,"servers":[7,{"id":"n1","addr":"n1","cell":0,"state":"DRAINING"}]}
		wait 10ms
		c1 send query q1 2000 0
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		d1 send page {"version":43,"full":true,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"SERVING"}]}
		wait 10ms
		c1 send query q2 2000 1
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		c1 send query q3 2000 0
		n1 expect Q q3.0
		n1 send A q3.0 ok v
		c1 expect 200
		n2 expect -`},
	// Guards a reload: the old discovery is heard until the new one has told its whole list, even when the new one comes
	// up late, and the old one no more from then on.
	{"the watch moves to another address", "n1 n2", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		s1 send move d2
		d2 expect GET /discovery/hosts?watch=1
		d2 close
		d1 send page {"version":42,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"DRAINING"}]}
		wait 10ms
		c1 send query q1 2000 0
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		wait 200ms
		d2 expect GET /discovery/hosts?watch=1
		d1 expect -
		d2 send page {"version":7,"full":true,"servers":[{"id":"n1","addr":"n1","cell":0,"state":"SERVING"}]}
		d1 expect end
		c1 send query q2 2000 0
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c1 expect 200
		c1 send query q3 2000 1
		wait 20ms
		c1 expect 503 after {"error":"refused"}
		d2 close
		wait 300ms
		d2 expect GET /discovery/hosts?watch=1&after=7
		d1 expect -`},
	{"a second move before the first is through, and an old address that goes first", "n1", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		s1 send move d2
		d2 expect GET /discovery/hosts?watch=1
		s1 send move d3
		d2 expect end
		d3 expect GET /discovery/hosts?watch=1
		d1 close
		d3 close
		wait 300ms
		d3 expect GET /discovery/hosts?watch=1
		d1 expect -
		d2 expect -
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c1 expect 200`},
	{"a list that can't be read costs the watch only", "n1", `
		d1 expect GET /discovery/hosts?watch=1&after=41
		d1 send page {"version":
		d1 expect end
		wait 300ms
		d1 expect GET /discovery/hosts?watch=1&after=41
		c1 send query q1 2000 0
		n1 expect Q q1.0`},
	// Guards what was taken before and after SIGTERM: answers go out, connections end between requests.
	{"SIGTERM", "n1", `
		c1 send query q1 2000 0
		c2 send raw "GET /up HTTP/1.1\r\n\r\n"
		c2 expect 200
		n1 expect Q q1.0
		s1 send drain
		c3 send query q3 2000 0
		n1 expect Q q3.0
		n1 send A q3.0 ok v
		c3 expect 200 close
		c3 expect end
		c2 expect -
		s1 send rest
		c2 expect end
		c1 expect -
		n1 send A q1.0 ok v
		c1 expect 200 close
		c1 expect end
		c4 send raw "GET /up"
		wait 100ms
		c4 send raw " HTTP/1.1\r\n\r\n"
		c4 expect 200 close
		c5 send raw ""
		c5 expect -
		wait 1s
		c5 expect end`},
}

// spoilt is a scenario in which each query's first answer is one of those that can't be used. It ends the
// connection, costs little time, and the next attempt's value is the one that the client gets.
func spoilt() (script string) {
	for i, frame := range []string{
		`\x00\x00\x00\x00`,                                        // no letter
		`\x00\x00\x00\xc0Aq.0 ok 1 -\nvvvv`,                       // 3 GB
		`\x10\x00\x00\x00Zq.0 ok 1 -\nvvvv`,                       // another letter
		`noise noise noise`,                                       // no frame
		`\x00\x40\x00\x00Aq.0 ok 1 -` + strings.Repeat("x", 2000), // a line that is too long
		`\x10\x00\x00\x00Aq.0 ok 1 - vvvv`,                        // a line that does not end in its frame
		`\x10\x00\x00\x00Aq.0 ok\nvvvvvvvv`,                       // a line with words missing
		`\x0e\x00\x00\x00Aq.0 ok 1 -\nvvvvvv`,                     // a length that is too short
		`\x20\x00\x00\x00Aq.0 ok 1 -\nvvvv`,                       // too long, with nothing behind
		`\x15\x00\x00\x00Aq.0 ok 1 -\nvvvv\x10\x00\x00\x00A`,      // and with the next frame in it
		`\x10\x00\x00\x00Aq.0 ok 1 -\nvv\xff\xfe`,                 // no text
		`\x0f\x00\x00\x00Lutil=0.5`,                               // no probe is out
		`\x05\x00\x00\x00Ewhat`,
	} {
		id := fmt.Sprintf("%c", 'a'+i)
		script += fmt.Sprintf(`
			c1 send query %[1]s 2000 0
			n1 expect Q %[1]s.0
			n1 send raw "%[2]s"
			wait 110ms
			n1 expect end
			n1 expect Q %[1]s.0
			n1 send A %[1]s.0 ok w%[1]s
			c1 expect 200 {"complete":true,"hits":[{"shard":0,"doc":"w%[1]s"}]}`, id, strings.ReplaceAll(frame, "q.0", id+".0"))
	}
	return script
}

// actor is one party of a scenario.
type actor struct {
	name   string
	dials  chan net.Conn // from the program
	nc     net.Conn
	msgs   chan string
	headed net.Conn

	complain func(format string, args ...any)

	mu    sync.Mutex
	hooks map[string]func() // by instant, each once
	gate  chan struct{}     // connections come up once it is closed; nil where they do at once
}

type world struct {
	t       *testing.T
	real    bool       // over loopback connections in real time, not pipes in virtual time
	mu      sync.Mutex // guards actors and ends
	actors  map[string]*actor
	ends    map[string]time.Time // by the query's id, when its client's time is over
	set     aggregator.Settings
	clients *Server
	watch   *Watch
	ended   context.Context
	crowd   []net.Conn     // of clients that only take a place; guarded by mu
	serving sync.WaitGroup // of those
}

// settle lets all that can happen now happen.
func (w *world) settle() {
	if w.real {
		time.Sleep(3 * time.Millisecond)
		return
	}
	synctest.Wait()
}

// pair is one connection, as its two ends see it.
func (w *world) pair() (ours, theirs net.Conn) {
	if !w.real {
		return net.Pipe()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer ln.Close()
	if ours, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		w.t.Fatal(err)
	}
	if theirs, err = ln.Accept(); err != nil {
		w.t.Fatal(err)
	}
	return ours, theirs
}

// hookedConn is the program's end of a client's connection.
type hookedConn struct {
	net.Conn
	client *actor
}

func (h *hookedConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if n > 0 {
		h.client.fire("at-read")
	}
	return n, err
}

func (h *hookedConn) Write(p []byte) (int, error) {
	n, err := h.Conn.Write(p)
	h.client.fire("at-write")
	return n, err
}

func (h *hookedConn) CloseWrite() error {
	half, ok := h.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	h.client.fire("at-shut")
	return half.CloseWrite()
}

// Close tells of a close over bytes that were not read: it resets the connection, and what was written may go with it.
func (h *hookedConn) Close() error {
	if unread := unread(h.Conn); unread > 0 {
		h.client.complain("%s: its connection was closed over %d unread bytes", h.client.name, unread)
	}
	return h.Conn.Close()
}

// unread is how many bytes have come in on a connection that nobody has read; 0 where it can't be told.
func unread(nc net.Conn) (n int) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ); err != nil {
			n = 0
		}
	})
	return n
}

// fire runs what is to happen at an instant.
func (a *actor) fire(instant string) {
	a.mu.Lock()
	f := a.hooks[instant]
	delete(a.hooks, instant)
	a.mu.Unlock()
	if f != nil {
		f()
	}
}

// at notes what is to happen at an instant.
func (a *actor) at(instant string, f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hooks == nil {
		a.hooks = map[string]func(){}
	}
	a.hooks[instant] = f
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, false, s.nodes, s.script) })
		})
	}
}

func play(t *testing.T, real bool, nodes, script string) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	set := aggregator.Settings{Aggregators: 1, Tick: 5 * time.Millisecond, ShardSets: 2, Shards: 4, Reach: 1,
		Classes: []aggregator.Class{{Name: "report", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1,
			LateShare: 0.1, CompleteShare: 1, MinShare: 1}, {Name: "entry", LatencyObjective: time.Second, Deadline: 3 * time.Second, Priority: 1,
			Effect: aggregator.Keyed, DedupWindow: 2 * time.Second, CompleteShare: 1, MinShare: 1}},
		Tenants: []aggregator.Tenant{{Name: "club", Rate: 100}}, CallCost: time.Millisecond,
		Limits: aggregator.Limits{MaxAttempts: 3, MaxBatch: 8, CanCancel: true, Probes: true, SendRetryAfter: true,
			MaxRetryAfter: time.Second, ConnectTimeout: 250 * time.Millisecond, ConnIdle: 30 * time.Second},
		Rules: aggregator.Rules{DrainGrace: 2 * time.Second},
	}
	if strings.Contains(nodes, "nocancel=1") {
		set.Limits.CanCancel = false
	}
	if strings.Contains(nodes, "slowstart=1") { // a data node that has just started may be sent next to nothing
		set.Rules.OverloadMultiple, set.Rules.OverloadWindow, set.Rules.InitialCapacity, set.Rules.WarmupTime = 2, time.Second, 0.001, time.Minute
	}
	c, err := coordinator.New(set, 7, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	w := &world{t: t, real: real, actors: map[string]*actor{}, ends: map[string]time.Time{}, set: set, ended: ctx,
		clients: &Server{Coordinator: c, Log: log, MaxConns: 9, BodyMemory: 2 * maxBody, RetryAfter: time.Second}}
	go c.Run(ctx)
	carrier := &ConnPool{Coordinator: c, Log: log, Dial: w.dial, Streams: 32, ConnectTimeout: set.Limits.ConnectTimeout,
		IdleTimeout: set.Limits.ConnIdle, Slots: make(chan struct{}, 9)}
	c.RegisterDispatcher("", carrier.Dispatch)
	watch := NewWatch("d1")
	watch.Source, watch.Log, watch.Dial, w.watch = c.Source(membership.Spec{Name: "discovery"}), log, w.dial, watch
	var list []string
	confirm := 0
	for _, id := range strings.Fields(nodes) {
		if key, n, ok := strings.Cut(id, "="); ok {
			if to := (map[string]*int{"streams": &carrier.Streams, "busy": &w.clients.BusyConns, "most": &w.clients.MaxConns, "confirm": &confirm})[key]; to != nil {
				*to, _ = strconv.Atoi(n)
			}
			continue
		}
		w.actor(id)
		list = append(list, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":%d,"state":"SERVING"}`, id, id, (id[1]+1)%2))
	}
	w.actor("d1")
	watch.ConfirmTimeout = time.Duration(confirm) * time.Millisecond
	watch.Restore(fmt.Appendf(nil, `{"version":41,"servers":[%s]}`, strings.Join(list, ",")))
	watching := make(chan bool)
	watched, unwatch := context.WithCancel(ctx)
	go func() { watch.Run(watched); close(watching) }()

	for i, line := range strings.Split(strings.TrimSpace(script), "\n") {
		words := strings.SplitN(strings.TrimSpace(line), " ", 3)
		w.settle()
		if words[0] == "wait" {
			d, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(d)
			continue
		}
		a := w.actor(words[0])
		switch words[1] {
		case "send":
			w.send(a, words[2])
		case "expect", "find":
			got := w.next(a, words[1] == "find" || words[2] == "-")
			want := words[2]
			if n := len(want); a.name[0] == 'c' && len(got) > n && !strings.Contains(want, "{") {
				got = strings.TrimSpace(got[:n]) // the status only
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("line %d, %s: (-want +got)\n%s", i+1, strings.TrimSpace(line), diff)
			}
		case "close":
			a.nc.Close()
			a.nc = nil
			for <-a.msgs != "end" { // what its own reader saw of it
			}
		case "half-close":
			if err := a.nc.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
		case "hold":
			a.mu.Lock()
			a.gate = make(chan struct{})
			a.mu.Unlock()
		case "release":
			close(a.gate)
		case "at-read", "at-write", "at-shut":
			a.at(words[1], func() { w.instant(a, words[2]) })
		default:
			t.Fatalf("line %d: verb %q", i+1, words[1])
		}
	}
	// Everything is given back, what is kept for connections, clients and data nodes included: with no data node listed and no client left, nothing may go on running.
	unwatch()
	for _, a := range w.actors {
		if a.nc != nil && a.name[0] != 'n' {
			a.nc.Close()
		}
	}
	w.mu.Lock()
	for _, nc := range w.crowd {
		nc.Close()
	}
	w.mu.Unlock()
	w.serving.Wait()
	<-watching
	watch.Source.Replace(nil, false)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !(real && w.givenBack(c, carrier)); {
		time.Sleep(20 * time.Millisecond)
	}
	for _, a := range w.actors {
		for w.accept(a); a.nc != nil; w.accept(a) {
			a.nc.Close()
			a.nc = nil
		}
	}
	w.settle()
	if len(carrier.Slots) > 0 {
		t.Errorf("%d connections were not given back", len(carrier.Slots))
	}
	if f := w.clients; len(f.conns)+f.active > 0 || f.bodyBytes > 0 {
		t.Errorf("%d client connections, %d of them used, and %d bytes are still held", len(f.conns), f.active, f.bodyBytes)
	}
	if c.Open() > 0 {
		t.Errorf("%d queries and parts are still held", c.Open())
	}
	stop()
}

// givenBack tells whether nothing is held any more.
func (w *world) givenBack(c *coordinator.Coordinator, carrier *ConnPool) bool {
	w.clients.mu.Lock()
	defer w.clients.mu.Unlock()
	return len(carrier.Slots)+len(w.clients.conns)+c.Open() == 0
}

// instant does what happens at a held instant.
func (w *world) instant(a *actor, what string) {
	switch what {
	case "rest":
		w.clients.CloseIdle()
	case "crowd": // a new connection needs the place
		ours, theirs := w.pair()
		w.mu.Lock()
		w.crowd = append(w.crowd, ours)
		w.mu.Unlock()
		w.serving.Go(func() { w.clients.ServeConn(theirs) })
		time.Sleep(50 * time.Millisecond)
	default:
		w.send(a, strings.TrimPrefix(what, "send "))
		time.Sleep(20 * time.Millisecond) // it has come in
	}
}

func (w *world) actor(name string) *actor {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.actors[name] == nil {
		w.actors[name] = &actor{name: name, complain: w.t.Errorf, dials: make(chan net.Conn, 9), msgs: make(chan string, 99)}
	}
	return w.actors[name]
}

// dial is the network as the program sees it.
func (w *world) dial(ctx context.Context, addr string) (net.Conn, error) {
	if addr[0] == 'h' {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := w.actor(addr)
	a.mu.Lock()
	gate := a.gate
	a.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ours, theirs := w.pair()
	a.dials <- theirs
	return ours, nil
}

// accept takes the next connection that the program opened, if there is one and none is in hand.
func (w *world) accept(a *actor) {
	if a.nc == nil {
		select {
		case a.nc = <-a.dials:
			if a.name[0] != 'm' {
				go w.read(a, a.nc)
			}
		default:
		}
	}
}

// next is the next message of an actor, "-" for none.
func (w *world) next(a *actor, none bool) string {
	if none && w.real {
		time.Sleep(50 * time.Millisecond)
	}
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		w.settle()
		w.accept(a)
		w.settle()
		select {
		case msg := <-a.msgs:
			if msg == "end" && a.nc != nil {
				a.nc.Close()
				a.nc = nil
			}
			return msg
		default:
		}
		if none || time.Now().After(end) {
			return "-"
		}
	}
}

// read turns what comes into messages.
func (w *world) read(a *actor, nc net.Conn) {
	in := textproto.NewReader(bufio.NewReader(nc))
	for {
		var msg string
		var err error
		switch a.name[0] {
		case 'c':
			msg, err = readResponse(in)
		case 'n':
			var left map[string]time.Duration
			msg, left, err = frameTimes(in.R)
			w.checkTimes(left)
		case 'd':
			if msg, err = in.ReadLine(); err == nil {
				msg = strings.TrimSuffix(msg, " HTTP/1.1")
				_, err = in.ReadMIMEHeader()
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			a.msgs <- "reset"
			return
		}
		if err != nil {
			a.msgs <- "end"
			return
		}
		a.msgs <- msg
	}
}

// checkTimes compares what parts tell of the time that is left with what their clients have left.
func (w *world) checkTimes(left map[string]time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, told := range left {
		query, _, _ := strings.Cut(id, ".")
		end, known := w.ends[query]
		if !known {
			continue
		}
		if most := time.Until(end) + 20*time.Millisecond; told > most {
			w.t.Errorf("part %s tells of %v that are left; its client waits for %v", id, told, most)
		}
	}
}

func readResponse(in *textproto.Reader) (string, error) {
	line, err := in.ReadLine()
	if err != nil {
		return "", err
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return "", err
	}
	n, _ := strconv.Atoi(header.Get("Content-Length"))
	body := make([]byte, n)
	_, err = io.ReadFull(in.R, body)
	text := strings.Fields(line)[1]
	if header.Get("Retry-After") != "" {
		text += " after"
	}
	if header.Get("Connection") == "close" {
		text += " close"
	}
	return text + " " + string(body), err
}

func frameText(in *bufio.Reader) (string, error) {
	text, _, err := frameTimes(in)
	return text, err
}

// frameTimes reads a frame, and the time that each part of it tells.
func frameTimes(in *bufio.Reader) (string, map[string]time.Duration, error) {
	var size uint32
	if err := binary.Read(in, binary.LittleEndian, &size); err != nil {
		return "", nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return "", nil, err
	}
	left := map[string]time.Duration{}
	text, rest := string(body[0]), string(body[1:])
	if text == "Q" {
		var ids []string
		for rest != "" {
			line, after, _ := strings.Cut(rest, "\n")
			words := strings.Fields(line)
			n, _ := strconv.Atoi(words[3])
			if after[:n] != "text" {
				return "", nil, fmt.Errorf("text %q", after[:n])
			}
			told, _, _ := strings.Cut(strings.TrimPrefix(words[2], "d="), ",")
			ms, err := strconv.Atoi(told)
			if err != nil {
				return "", nil, fmt.Errorf("time %q", words[2])
			}
			left[words[0]] = time.Duration(ms) * time.Millisecond
			if _, key, keyed := strings.Cut(words[2], ",k="); keyed {
				words[0] += "(k=" + key + ")"
			}
			ids, rest = append(ids, words[0]), after[n:]
		}
		rest = strings.Join(ids, ",")
	}
	return strings.TrimSpace(text + " " + rest), left, nil
}

func (w *world) send(a *actor, text string) {
	if a.name[0] == 'c' && a.nc == nil {
		ours, theirs := w.pair()
		a.nc = ours
		go w.clients.ServeConn(&hookedConn{theirs, a})
		go w.read(a, a.nc)
	}
	words := strings.SplitN(text, " ", 4)
	var data string
	switch {
	case text == "drain":
		w.clients.Drain(time.Now().Add(time.Minute))
		return
	case words[0] == "move":
		w.watch.Move(w.ended, words[1])
		return
	case text == "rest":
		w.clients.CloseIdle()
		return
	case words[0] == "raw":
		var err error
		if data, err = strconv.Unquote(strings.TrimPrefix(text, "raw ")); err != nil {
			w.t.Fatal(err)
		}
	case words[0] == "part":
		n, _ := strconv.Atoi(words[2])
		data = "POST /report HTTP/1.1\r\nContent-Length: " + words[1] + "\r\n\r\n" + strings.Repeat("x", n)
	case text == "long":
		data = "GET /up HTTP/1.1\r\nX: " + strings.Repeat("x", 200_000) + "\r\n\r\n"
	case words[0] == "both": // two queries in one write
		data = w.queryText(strings.SplitN(words[1]+" "+words[2]+" 0", " ", 3), "report") + w.queryText(strings.SplitN(words[3], " ", 3), "report")
	case words[0] == "query", words[0] == "entry":
		data = w.queryText(words[1:], words[0])
	case words[0] == "A":
		value := ""
		if len(words) > 3 {
			value = words[3]
		}
		data = frameOf(fmt.Sprintf("A%s %s 1 util=0.5,odd=x\n%s", words[1], words[2], value))
	case words[0] == "L":
		data = frameOf("L" + strings.TrimPrefix(text, "L "))
	case words[0] == "page", words[0] == "line", words[0] == "indented", words[0] == "restarted":
		line := strings.TrimSpace(strings.TrimPrefix(text, words[0])) + "\n"
		switch words[0] {
		case "line":
			line = "\n"
		case "indented":
			var out bytes.Buffer
			if err := json.Indent(&out, []byte(line), "", "  "); err != nil {
				w.t.Fatal(err)
			}
			line = out.String()
		case "restarted":
			line = fmt.Sprintf(`{"version":42,"servers":[{"id":%q,"addr":%[1]q,"cell":0,"state":"SERVING","started_ms":%d}]}`+"\n",
				words[1], time.Now().UnixMilli())
		}
		if a.headed != a.nc { // the head of the watch's answer, once a connection
			a.headed = a.nc
			data = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		}
		data += fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	}
	nc := a.nc
	if nc == nil {
		w.t.Errorf("%s has no connection to send %q on", a.name, text)
		return
	}
	go func() { io.WriteString(nc, data) }() // a pipe takes what is read only
	w.settle()
}

// queryText is a query: its id, its time in ms, its shards and maybe its key.
func (w *world) queryText(words []string, kind string) string {
	class, key, shards := "report", "", words[2]
	if kind == "entry" {
		class = "entry"
		shards, key, _ = strings.Cut(shards, " ")
		key = "Idempotency-Key: " + key + "\r\n"
	}
	var parts []string
	for _, shard := range strings.Split(shards, ",") {
		parts = append(parts, fmt.Sprintf(`{"shard":%s,"weight":%g}`, shard, 1/float64(1+strings.Count(shards, ","))))
	}
	body := `{"shards":[` + strings.Join(parts, ",") + `],"q":"text"}`
	if ms, err := strconv.Atoi(words[1]); err == nil {
		w.mu.Lock()
		w.ends[words[0]] = time.Now().Add(time.Duration(ms) * time.Millisecond)
		w.mu.Unlock()
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nReq-Id: %s\r\nReq-Owner: club\r\nReq-Deadline-Ms: %s\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, words[0], words[1], key, len(body), body)
}

func frameOf(body string) string {
	return string(binary.LittleEndian.AppendUint32(nil, uint32(len(body)))) + body
}

// TestCloseIdleSparesProbes: closing idle connections must not cut a probe that is still waited for, which would
// look like a reset; one that has timed out holds nothing.
func TestCloseIdleSparesProbes(t *testing.T) {
	for _, done := range []bool{false, true} {
		l := &nodePool{}
		c := &nodeConn{pool: l, wake: make(chan struct{}, 1), probes: []*probe{{done: true}, {done: done}}}
		l.conns = []*nodeConn{c}
		l.closeIdle()
		if closed := c.state == connClosed; closed != done {
			t.Errorf("probe done: %v; connection closed: %v", done, closed)
		}
	}
}

// TestSpareConnections: a second connection to a data node is closed soon after its use, unless the first can't be
// used; with churn and give-ups they took all descriptors.
func TestSpareConnections(t *testing.T) {
	l := &nodePool{ConnPool: &ConnPool{IdleTimeout: 8 * time.Second}}
	first, second := &nodeConn{pool: l}, &nodeConn{pool: l}
	l.conns = []*nodeConn{first, second}
	for _, silent := range []bool{false, true} {
		first.unresponsive = silent
		want := map[bool]time.Duration{false: 2 * time.Second, true: 7 * time.Second}[silent]
		if got := second.idleDeadline().Sub(second.lastUsed); got != want {
			t.Errorf("first silent: %v; the second is kept for %v", silent, got)
		}
		if got := first.idleDeadline().Sub(first.lastUsed); got != 7*time.Second {
			t.Errorf("the first is kept for %v", got)
		}
	}
}

// TestErrorReachesSender: a client that is still sending its 60 MB reads its error, not a reset, and little of what
// it sends is taken in.
func TestErrorReachesSender(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	clients := &Server{Log: slog.New(slog.DiscardHandler), MaxConns: 9, BodyMemory: 1 << 20}
	go clients.Serve(ln)
	for range 20 {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		sent := make(chan int64)
		go func() {
			n, _ := io.Copy(nc, io.MultiReader(strings.NewReader("POST /report HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"),
				io.LimitReader(zeros{}, 60_000_000)))
			sent <- n
		}()
		nc.SetReadDeadline(time.Now().Add(3 * time.Second))
		if answer, err := io.ReadAll(nc); err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 413 ") {
			t.Errorf("got %q, %v", answer, err)
		}
		nc.Close()
		if n := <-sent; n >= 60_000_000 {
			t.Errorf("%d bytes were taken in", n)
		}
	}
	clients.Wait()
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestAnswerBody: documents go to clients as they came or not at all; JSON would change what is no text.
func TestAnswerBody(t *testing.T) {
	for doc, fit := range map[string]bool{"d\u00e9j\u00e0 \"vu\"\n": true, "\xff\xfe": false} {
		body, err := answerBody(coordinator.Answer{Complete: true, Values: []coordinator.PartValue{{Shard: 1, Docs: [][]byte{[]byte(doc)}}}})
		var got struct{ Hits []struct{ Doc string } }
		if (err == nil) != fit || fit && (json.Unmarshal(body, &got) != nil || got.Hits[0].Doc != doc) {
			t.Errorf("%q: %s, %v", doc, body, err)
		}
	}
}

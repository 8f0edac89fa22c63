package platform

import (
	"fmt"
	"strings"
)

// nodeScenarios test the protocol to data nodes: what is written to them, what they may send, and broken connections.
var nodeScenarios = []scenario{
	// The platform fails the whole test run if a data node is sent a keyed part without its key. Each part carries the key of its
	// query, also when retried, and regardless of the query's id. A query of a keyed class without a key is rejected with 400.
	{"a keyed part carries the key of its query", "n1", `
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
	// A part must not have two attempts in flight: a data node stops reading while all streams of a connection are in use, so a
	// cancel frame would stay unread while the part is sent elsewhere.
	{"one stream of a connection stays free", "n1 streams=2", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		c2 send query q2 2000 2
		wait 20ms
		n1 expect -
		c1 close
		n1 expect X q1.0`},
	{"a part is cancelled by closing a connection whose streams are all in use", "n1 streams=1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		c1 close
		n1 expect end`},
	// A part must not have two attempts in flight: the data node is told of the timeout before the query ends.
	{"an attempt that times out is cancelled at the data node", "n1", `
		c1 send query q1 3000 0
		n1 expect Q q1.0
		wait 1s
		n1 expect X q1.0
		c1 expect 503 after {"error":"refused"}
		n1 send A q1.0 ok late
		c1 expect -`},
	// An invalid frame ends only its connection, and the attempts in flight on it are retried.
	{"an invalid frame ends only its connection", "n1 n2", `
		c1 send query q1 2000 0,1
		n1 expect Q q1.0
		n2 expect Q q1.1
		n2 send A q1.1 ok v1
		n1 send raw "\x00\x00\x00\x00"
		n1 expect end
		n1 expect Q q1.0
		n1 send A q1.0 ok v0
		c1 expect 200`},
	// A frame must be the answer to a part in flight; anything else ends the connection. An invalid load report is only ignored.
	{"only answers to parts in flight are accepted", "n1", `
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
	{"corrupt frames", "n1", corruptFrames()},
	// The data node's machine closes idle connections after 30 s; a part sent at that moment would meet a reset.
	{"an idle connection is closed before the peer does so", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c1 expect 200
		wait 26s
		n1 expect -
		wait 1s
		n1 expect end`},
	// A lost connection must not count as a dead data node: it once did, so that after a second loss the query failed, and all
	// later queries sent their parts one by one.
	{"lost connections are reopened and their parts retried", "n1", `
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
	{"a data node that closed an idle connection is sent parts on a new one", "n1", `
		c1 send query q1 2000 0
		n1 expect Q q1.0
		n1 send A q1.0 ok v
		c1 expect 200
		n1 close
		c1 send query q2 2000 0
		n1 expect Q q2.0
		n1 send A q2.0 ok v
		c1 expect 200`},
	// A peer that does not read must block neither the event loop nor other data nodes.
	{"a data node that never reads does not block others", "m1 n2", `
		c1 send query q1 3000 0
		c2 send query q2 3000 1
		n2 expect Q q2.1
		n2 send A q2.1 ok v
		c2 expect 200
		wait 1200ms
		c1 expect 503 after {"error":"refused"}`},
	{"a connection that is never established does not block others", "h1 n2", `
		c1 send query q1 3000 0
		c2 send query q2 3000 1
		n2 expect Q q2.1
		n2 send A q2.1 ok v
		c2 expect 200
		wait 1200ms
		c1 expect 503 after {"error":"refused"}`},
	{"an ejected data node is probed and readmitted", "n1", `
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
}

// corruptFrames returns a script in which the first answer to each query is a corrupt frame. It must end the connection soon, and
// the client must receive the value of the next attempt.
func corruptFrames() (script string) {
	for i, frame := range []string{
		`\x00\x00\x00\x00`,                                          // no type
		`\x00\x00\x00\xc0Aq.0 ok 1 -\nvvvv`,                         // length of 3 GB
		`\x10\x00\x00\x00Zq.0 ok 1 -\nvvvv`,                         // unknown type
		`noise noise noise`,                                         // not a frame
		`\x00\x40\x00\x00Aq.0 ok 1 -` + strings.Repeat("x", 2000),   // line too long
		`\x10\x00\x00\x00Aq.0 ok 1 - vvvv`,                          // line not terminated within its frame
		`\x10\x00\x00\x00Aq.0 ok\nvvvvvvvv`,                         // line with words missing
		`\x0e\x00\x00\x00Aq.0 ok 1 -\nvvvvvv`,                       // length too short
		`\xa0\x11\x00\x00Aq.0 ok 1 -\n` + strings.Repeat("v", 6000), // length 1,500 too short, of a long value
		`\x20\x00\x00\x00Aq.0 ok 1 -\nvvvv`,                         // length too long, with nothing after it
		`\x15\x00\x00\x00Aq.0 ok 1 -\nvvvv\x10\x00\x00\x00A`,        // length too long, with the next frame in the value
		`\x10\x00\x00\x00Aq.0 ok 1 -\nvv\xff\xfe`,                   // invalid UTF-8
		`\x0f\x00\x00\x00Lutil=0.5`,                                 // no probe is pending
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

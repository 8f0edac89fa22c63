package platform

import (
	"fmt"
	"strings"
)

// nodeScenarios are about data nodes: what is written to them, what they may send, and how connections break.
var nodeScenarios = []scenario{
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
	{"frames that are none", "n1", corruptFrames()},
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
}

// corruptFrames is a scenario in which each query's first answer is one of those that can't be used. It ends the
// connection, costs little time, and the next attempt's value is the one that the client gets.
func corruptFrames() (script string) {
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

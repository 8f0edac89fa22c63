package datanode

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// frameConn is a connection of a data node that uses the frame protocol.
type frameConn struct {
	node *Node
	conn net.Conn

	mu     sync.Mutex // guards active, and serializes writes
	active activeParts
}

// serve reads and handles frames on a connection until it ends.
func (n *Node) serve(nc net.Conn) {
	c := &frameConn{node: n, conn: nc, active: activeParts{}}
	defer c.close()
	in := bufio.NewReader(nc)
	for {
		var size uint32
		if binary.Read(in, binary.LittleEndian, &size) != nil || size == 0 || size > maxFrame {
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		if !c.handle(body) {
			return
		}
	}
}

// maxFrame is the largest frame accepted from a coordinator, in bytes.
const maxFrame = 1 << 20

func (c *frameConn) close() {
	c.conn.Close()
	c.node.mu.Lock()
	delete(c.node.conns, c.conn)
	c.node.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active.endAll(c.node)
}

// write sends a frame. The caller holds the lock. A write error is ignored: the next read returns it.
func (c *frameConn) write(letter byte, text string) {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
	_, _ = c.conn.Write(append(append(frame, letter), text...))
}

// handle processes one frame; it returns false to end the connection.
func (c *frameConn) handle(body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch body[0] {
	case 'X':
		c.active.end(c.node, string(body[1:]))
	case 'P':
		c.write('P', "ok")
	case 'L':
		c.write('L', fmt.Sprintf("inflight=%d", len(c.active)))
	case 'Q':
		return c.startCall(body[1:])
	}
	return true
}

// startCall starts the parts of a call; it returns false if the call is malformed. The caller holds the lock.
func (c *frameConn) startCall(rest []byte) bool {
	for len(rest) > 0 {
		line, after, _ := bytes.Cut(rest, []byte("\n"))
		words := strings.Fields(string(line))
		if len(words) != 4 {
			c.write('E', "line of a call")
			return false
		}
		shard, _ := strconv.Atoi(words[1])
		length, err := strconv.Atoi(words[3])
		if err != nil || length < 0 || length > len(after) {
			c.write('E', "length in a call")
			return false
		}
		rest = after[length:]
		c.startPart(words[0], shard)
	}
	return true
}

// startPart starts work on a part, or rejects it while the data node is draining. The caller holds the lock.
func (c *frameConn) startPart(id string, shard int) {
	n := c.node
	n.Ledger.Begin(n.ID, id)
	if n.draining.Load() {
		n.Ledger.End(n.ID, id)
		c.write('A', id+" busy 0 -\n")
		return
	}
	c.active[id] = time.AfterFunc(n.serviceTime(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.active.end(n, id) {
			c.write('A', id+" ok 1 -\n"+n.doc(shard))
		}
	})
}

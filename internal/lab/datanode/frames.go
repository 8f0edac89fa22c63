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

// frameConn is a connection of a data node that speaks frames.
type frameConn struct {
	node *Node
	conn net.Conn

	mu  sync.Mutex // guards out, and orders what is written
	out outs
}

// serve speaks frames on a connection until it ends.
func (n *Node) serve(nc net.Conn) {
	c := &frameConn{node: n, conn: nc, out: outs{}}
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

// maxFrame bounds a frame of a coordinator, in bytes.
const maxFrame = 1 << 20

func (c *frameConn) close() {
	c.conn.Close()
	c.node.mu.Lock()
	delete(c.node.conns, c.conn)
	c.node.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.endAll(c.node)
}

// write sends a frame. The caller holds the lock. An error shows in the next read.
func (c *frameConn) write(letter byte, text string) {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
	_, _ = c.conn.Write(append(append(frame, letter), text...))
}

// handle takes one frame; false ends the connection.
func (c *frameConn) handle(body []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch body[0] {
	case 'X':
		c.out.end(c.node, string(body[1:]))
	case 'P':
		c.write('P', "ok")
	case 'L':
		c.write('L', fmt.Sprintf("inflight=%d", len(c.out)))
	case 'Q':
		return c.call(body[1:])
	}
	return true
}

// call begins the parts of a call. The caller holds the lock.
func (c *frameConn) call(rest []byte) bool {
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
		c.begin(words[0], shard)
	}
	return true
}

// begin works on a part, or turns it away while the data node drains. The caller holds the lock.
func (c *frameConn) begin(id string, shard int) {
	n := c.node
	n.Ledger.Begin(n.ID, id)
	if n.draining.Load() {
		n.Ledger.End(n.ID, id)
		c.write('A', id+" busy 0 -\n")
		return
	}
	c.out[id] = time.AfterFunc(n.pause(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.out.end(n, id) {
			c.write('A', id+" ok 1 -\n"+n.doc(shard))
		}
	})
}

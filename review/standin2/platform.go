//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is an HTTP answer as a client sees it.
type answer struct {
	status int
	body   []byte
	close  bool // the coordinator said that it closes the connection
}

// readAnswer reads one answer.
func readAnswer(in *bufio.Reader) (a answer, err error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return a, err
	}
	defer res.Body.Close()
	a.status, a.close = res.StatusCode, res.Close
	a.body, err = io.ReadAll(res.Body)
	return a, err
}

// httpCall sends a request on a new connection and reads its answer.
func httpCall(addr, request string, timeout time.Duration) (a answer, err error) {
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return a, err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(nc, request); err != nil {
		return a, err
	}
	return readAnswer(bufio.NewReader(nc))
}

// query returns a request as the protocol page has it, with equal weights.
func query(class, id string, deadline time.Duration, q string, shards ...int) string {
	return queryRaw(class, id, deadline, partsJSON(q, shards...))
}

// partsJSON returns the JSON form of a query's parts.
func partsJSON(q string, shards ...int) string {
	var list []string
	for _, s := range shards {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%.9f}`, s, 1/float64(len(shards))))
	}
	return fmt.Sprintf(`{"shards":[%s],"q":"%s"}`, strings.Join(list, ","), q)
}

// queryRaw returns a request with the given body.
func queryRaw(class, id string, deadline time.Duration, body string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: club\r\nReq-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		class, id, deadline.Milliseconds(), len(body), body)
}

// entry is a data node in discovery's list.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// agent is discovery's agent on the coordinator's machine: the whole list first, then the changes, and an empty line every 2 s.
type agent struct {
	addr string

	mu      sync.Mutex
	version int64
	entries map[string]entry
	changes []entry // by version: changes[i] made version i+2
	changed chan struct{}
}

// startAgent starts an agent with a list.
func startAgent(list ...entry) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	a := &agent{addr: ln.Addr().String(), version: 1, entries: map[string]entry{}, changed: make(chan struct{})}
	for _, e := range list {
		a.entries[e.ID] = e
	}
	go (&http.Server{Handler: a}).Serve(ln)
	return a
}

// page is one message of the watch.
type page struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// ServeHTTP answers a watch.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	a.mu.Lock()
	p := page{Version: a.version, Full: true, Servers: []entry{}}
	for _, e := range a.entries {
		p.Servers = append(p.Servers, e)
	}
	a.mu.Unlock()
	for sent := int64(0); ; {
		if len(p.Servers) > 0 || sent == 0 {
			if json.NewEncoder(w).Encode(p) != nil {
				return
			}
		} else if _, err := fmt.Fprintln(w); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		sent = p.Version
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		a.mu.Lock()
		p = page{Version: a.version, Servers: append([]entry{}, a.changes[sent-1:]...)}
		a.mu.Unlock()
	}
}

// set tells a change of one data node.
func (a *agent) set(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries[e.ID] = e
	if e.State == "DELETED" {
		delete(a.entries, e.ID)
	}
	a.version++
	a.changes = append(a.changes, e)
	close(a.changed)
	a.changed = make(chan struct{})
}

// part is one part as a data node received it.
type part struct {
	id, list, text string
	shard          int
}

// reply is what a data node does with a part.
type reply struct {
	after time.Duration
	end   string // ok, err or busy; empty for no answer
	value string
}

// node is a data node that speaks frames.
type node struct {
	r    *run
	id   string
	addr string
	do   func(n *node, p part) reply // what it does with a part
}

// startNode starts a data node.
func (r *run) startNode(id string, do func(n *node, p part) reply) *node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &node{r: r, id: id, addr: ln.Addr().String(), do: do}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(nc)
		}
	}()
	return n
}

// doc returns the value of a shard.
func doc(shard int) string { return fmt.Sprintf("%016x", uint64(shard+1)*0x9e3779b97f4a7c15) }

// conn is one connection of a coordinator.
type conn struct {
	n  *node
	nc net.Conn

	mu   sync.Mutex
	open map[string]*time.Timer
}

// serve reads frames until the connection ends.
func (n *node) serve(nc net.Conn) {
	c := &conn{n: n, nc: nc, open: map[string]*time.Timer{}}
	defer func() {
		_ = nc.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, t := range c.open {
			t.Stop()
		}
	}()
	in := bufio.NewReader(nc)
	for {
		var size uint32
		if binary.Read(in, binary.LittleEndian, &size) != nil || size == 0 || size > 1<<20 {
			return
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		switch body[0] {
		case 'Q':
			if !c.call(body[1:]) {
				return
			}
		case 'X':
			c.cancel(string(body[1:]))
		case 'P':
			c.write('P', "ok")
		case 'L':
			c.write('L', "util=0.50")
		}
	}
}

// write writes a frame.
func (c *conn) write(letter byte, text string) {
	frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(text)))
	_, _ = c.nc.Write(append(append(frame, letter), text...))
}

// cancel stops the work on a part.
func (c *conn) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.open[id]; t != nil {
		t.Stop()
		delete(c.open, id)
		c.n.r.note("%s part %s given up", c.n.id, id)
	}
}

// call takes the parts of a call.
func (c *conn) call(rest []byte) bool {
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
		p := part{id: words[0], shard: shard, list: words[2], text: string(after[:length])}
		rest = after[length:]
		c.n.r.note("%s part %s shard %d %s text %q", c.n.id, p.id, shard, p.list, p.text)
		c.take(p)
	}
	return true
}

// take starts the work on a part.
func (c *conn) take(p part) {
	do := c.n.do(c.n, p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[p.id] = time.AfterFunc(do.after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.open[p.id] == nil || do.end == "" {
			return
		}
		delete(c.open, p.id)
		c.n.r.note("%s part %s answered %s", c.n.id, p.id, do.end)
		c.write('A', p.id+" "+do.end+" 1 util=0.50\n"+do.value)
	})
}

package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// send runs the verb send: it sends a message on the connection of an actor, or a command to the program.
func (h *harness) send(a *actor, text string) {
	if a.name[0] == 'c' && a.nc == nil {
		ours, theirs := h.connPair()
		a.nc = ours
		go h.serveConn(&hookedConn{theirs, a})
		go h.readMessages(a, a.nc)
	}
	words := strings.SplitN(text, " ", 4)
	var data string
	switch {
	case text == "drain":
		h.clients.Drain(time.Now().Add(time.Minute))
		return
	case words[0] == "move":
		h.watch.SetAddr(h.ctx, words[1])
		return
	case text == "close-idle":
		h.clients.CloseIdle()
		return
	case words[0] == "raw":
		var err error
		if data, err = strconv.Unquote(strings.TrimPrefix(text, "raw ")); err != nil {
			h.t.Fatal(err)
		}
	case words[0] == "partial-body":
		n, _ := strconv.Atoi(words[2])
		data = "POST /report HTTP/1.1\r\nContent-Length: " + words[1] + "\r\n\r\n" + strings.Repeat("x", n)
	case text == "long":
		data = "GET /up HTTP/1.1\r\nX: " + strings.Repeat("x", 200_000) + "\r\n\r\n"
	case words[0] == "pipelined": // two queries in one write
		data = h.queryText(strings.SplitN(words[1]+" "+words[2]+" 0", " ", 3), "report") + h.queryText(strings.SplitN(words[3], " ", 3), "report")
	case words[0] == "query", words[0] == "entry":
		data = h.queryText(words[1:], words[0])
	case words[0] == "A":
		value := ""
		if len(words) > 3 {
			value = words[3]
		}
		data = encodeFrame(fmt.Sprintf("A%s %s 1 util=0.5,odd=x\n%s", words[1], words[2], value))
	case words[0] == "L":
		data = encodeFrame("L" + strings.TrimPrefix(text, "L "))
	case words[0] == "page", words[0] == "blank-line", words[0] == "indented", words[0] == "restarted":
		line := strings.TrimSpace(strings.TrimPrefix(text, words[0])) + "\n"
		switch words[0] {
		case "blank-line":
			line = "\n"
		case "indented":
			var out bytes.Buffer
			if err := json.Indent(&out, []byte(line), "", "  "); err != nil {
				h.t.Fatal(err)
			}
			line = out.String()
		case "restarted":
			line = fmt.Sprintf(`{"version":42,"servers":[{"id":%q,"addr":%[1]q,"cell":0,"state":"SERVING","started_ms":%d}]}`+"\n",
				words[1], time.Now().UnixMilli())
		}
		if a.headerSentOn != a.nc { // the response header, once per connection
			a.headerSentOn = a.nc
			data = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		}
		data += fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	}
	nc := a.nc
	if nc == nil {
		h.t.Errorf("%s has no connection to send %q on", a.name, text)
		return
	}
	isPage := words[0] == "page" || words[0] == "indented" || words[0] == "restarted"
	applied, written := h.pages.Load(), make(chan struct{})
	go func() { // a write to a pipe blocks until it is read
		defer close(written)
		io.WriteString(nc, data)
	}()
	h.waitSettled()
	h.waitNoticed(func() bool { return isClosed(written) && (!isPage || h.pages.Load() > applied) })
}

// isClosed reports whether a channel is closed.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// serveConn serves a client's connection, if there is a place for it.
func (h *harness) serveConn(nc net.Conn) {
	if c := (&acceptor{server: h.clients}).place(nc); c != nil {
		c.run()
	}
}

// queryText returns the request for a query. words are its id, its deadline in ms, its shards and, for kind "entry", its key.
func (h *harness) queryText(words []string, kind string) string {
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
		h.mu.Lock()
		h.deadlines[words[0]] = time.Now().Add(time.Duration(ms) * time.Millisecond)
		h.mu.Unlock()
	}
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nReq-Id: %s\r\nReq-Owner: club\r\nReq-Deadline-Ms: %s\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, words[0], words[1], key, len(body), body)
}

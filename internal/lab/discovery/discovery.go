// Package discovery is a simulated discovery service: it sends the list of data nodes over a watch, in the platform's
// format, and a blank line as heartbeat after every two seconds without a change. Each change gets a new version. It
// listens on loopback only.
package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry describes one data node in the list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Directory is the discovery server and its list of data nodes.
type Directory struct {
	mu      sync.Mutex
	version int64
	entries map[string]Entry
	changed chan struct{} // closed at each change
	server  *http.Server
	addr    string
}

// Start serves an empty list on a free loopback port.
func Start() (*Directory, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Directory{version: 1, entries: map[string]Entry{}, changed: make(chan struct{}), addr: ln.Addr().String()}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(ln)
	return d, nil
}

// Addr returns the listen address.
func (d *Directory) Addr() string { return d.addr }

// Close stops the server and closes its connections.
func (d *Directory) Close() { d.server.Close() }

// Set adds or replaces entries, all under one new version; State DELETED removes one.
func (d *Directory) Set(list ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list {
		if d.entries[e.ID] = e; e.State == "DELETED" {
			delete(d.entries, e.ID)
		}
	}
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a watch: the full list at once and after each change.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	for {
		d.mu.Lock()
		page := struct {
			Version int64   `json:"version"`
			Full    bool    `json:"full"`
			Servers []Entry `json:"servers"`
		}{d.version, true, []Entry{}}
		for _, e := range d.entries {
			page.Servers = append(page.Servers, e)
		}
		changed := d.changed
		d.mu.Unlock()
		if json.NewEncoder(w).Encode(page) != nil || controller.Flush() != nil {
			return
		}
		for quiet := true; quiet; {
			select {
			case <-changed:
				quiet = false
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				if _, err := fmt.Fprintln(w); err != nil || controller.Flush() != nil {
					return
				}
			}
		}
	}
}

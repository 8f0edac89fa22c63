package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"gullfall/internal/coordinator"
)

// page is one message of discovery.
type page struct {
	Version int64             `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`
}

// endpointEntry is an entry of a page: one data node.
type endpointEntry struct {
	ID, Addr, Zone, State string
	Cell                  int // its shard set
	Weight                float64
	Started               float64 `json:"started_ms"`
}

// endpointStates are the states of data nodes by discovery's words.
var endpointStates = map[string]coordinator.State{
	"SERVING":  coordinator.Serving,
	"DRAINING": coordinator.Draining,
	"DELETED":  coordinator.Gone,
}

// errNoID reports an entry of the list that names no data node.
var errNoID = errors.New("no id")

// decodePage reads a page.
func decodePage(data []byte) (p page, err error) {
	err = json.Unmarshal(data, &p)
	return p, err
}

// decodeEntry reads an entry of a page. A state that is not known reads as draining, so that nothing new is sent.
func decodeEntry(raw json.RawMessage, log *slog.Logger) (coordinator.Member, error) {
	e := endpointEntry{Weight: 1}
	if err := json.Unmarshal(raw, &e); err != nil {
		return coordinator.Member{}, err
	}
	if e.ID == "" {
		return coordinator.Member{}, errNoID
	}
	state, known := endpointStates[e.State]
	if !known {
		state = coordinator.Draining
		log.Warn("unknown state; treated as draining", "node", e.ID, "state", e.State)
	}
	m := coordinator.Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, ShardSet: e.Cell, Weight: e.Weight, State: state}
	if e.Started > 0 {
		m.Started = time.UnixMilli(int64(e.Started))
	}
	return m, nil
}

// endpointList is the list of data nodes as discovery's pages have made it. The entries stay in discovery's form, so that
// they can be stored with fields that this version does not know.
type endpointList struct {
	version int64
	entries map[string]json.RawMessage // by id
}

// merge takes a page into the list and returns the members that it names. An entry that can't be read is left out.
func (l *endpointList) merge(p page, log *slog.Logger) (members []coordinator.Member) {
	if p.Full || l.entries == nil {
		l.entries = map[string]json.RawMessage{}
	}
	for _, raw := range p.Servers {
		m, err := decodeEntry(raw, log)
		if err != nil {
			log.Warn("entry of the list not understood", "entry", string(raw), "cause", err)
			continue
		}
		if m.State == coordinator.Gone {
			delete(l.entries, m.ID)
		} else {
			l.entries[m.ID] = raw
		}
		members = append(members, m)
	}
	l.version = p.Version
	return members
}

// members is the complete list, by id.
func (l *endpointList) members(log *slog.Logger) (members []coordinator.Member) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if m, err := decodeEntry(l.entries[id], log); err == nil {
			members = append(members, m)
		}
	}
	return members
}

// encode returns the complete list as a page.
func (l *endpointList) encode() ([]byte, error) {
	p := page{Version: l.version, Full: true, Servers: []json.RawMessage{}}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		p.Servers = append(p.Servers, l.entries[id])
	}
	return json.Marshal(p)
}

// errCutPage reports a message of discovery whose rest never came.
var errCutPage = errors.New("message cut")

// pageReader reads discovery's messages: JSON objects, each on a line or indented over several, and blank lines between
// them. A blank line within an object is an error: the rest of the message is lost, and blank lines alone would keep such a
// watch open forever.
type pageReader struct {
	in       *bufio.Reader
	onIdle   func() // called at each blank line between messages: nothing has changed
	message  []byte
	depth    int // of braces and brackets that are open
	inString bool
	escaped  bool
}

func newPageReader(in io.Reader, onIdle func()) *pageReader {
	return &pageReader{in: bufio.NewReader(in), onIdle: onIdle}
}

// next reads one message.
func (r *pageReader) next() (*page, error) {
	r.message, r.depth, r.inString, r.escaped = r.message[:0], 0, false, false
	for {
		line, err := r.in.ReadBytes('\n')
		line = bytes.TrimSpace(line)
		if err != nil && (err != io.EOF || len(line) == 0) { // a body of a length may lack its last line's end
			return nil, err
		}
		switch {
		case len(line) == 0 && len(r.message) == 0:
			r.onIdle()
			continue
		case len(line) == 0:
			return nil, errCutPage
		}
		begins := len(r.message) == 0
		r.message = append(append(r.message, line...), '\n')
		r.trackDepth(line)
		if r.depth > 0 {
			if begins && !continues(line) {
				return nil, errCutPage
			}
			continue
		}
		p := new(page)
		if err := json.Unmarshal(r.message, p); err != nil {
			return nil, fmt.Errorf("list not understood: %w", err)
		}
		return p, nil
	}
}

// continues tells whether a line that begins an object may have its rest on further lines.
func continues(line []byte) bool { return bytes.IndexByte([]byte("{[,"), line[len(line)-1]) >= 0 }

// trackDepth follows how many braces and brackets are open at the end of a line.
func (r *pageReader) trackDepth(line []byte) {
	for _, b := range line {
		switch {
		case r.escaped:
			r.escaped = false
		case r.inString:
			r.escaped, r.inString = b == '\\', b != '"'
		case b == '"':
			r.inString = true
		case b == '{', b == '[':
			r.depth++
		case b == '}', b == ']':
			r.depth--
		}
	}
}

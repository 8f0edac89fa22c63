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

// page is one message from discovery: a complete list of data nodes, or changes to it.
type page struct {
	Version int64             `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`
}

// endpointEntry is an entry of a page, describing one data node.
type endpointEntry struct {
	ID, Addr, Zone, State string
	Cell                  int // shard set
	Weight                float64
	Started               float64 `json:"started_ms"`
}

// endpointStates maps the state names of discovery to states of data nodes.
var endpointStates = map[string]coordinator.State{
	"SERVING":  coordinator.Serving,
	"DRAINING": coordinator.Draining,
	"DELETED":  coordinator.Gone,
}

// errNoID reports an entry of the list without the id of a data node.
var errNoID = errors.New("entry without an id")

// decodePage decodes the JSON form of a page.
func decodePage(data []byte) (p page, err error) {
	err = json.Unmarshal(data, &p)
	return p, err
}

// decodeEntry decodes an entry of a page. An unknown state is treated as draining, so that nothing new is sent.
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

// endpointList is the list of data nodes that results from the pages received so far. Entries are kept in their encoded form,
// so that storing them preserves fields unknown to this version.
type endpointList struct {
	version int64
	entries map[string]json.RawMessage // by id
}

// merge applies a page to the list and returns the members that the page names. An entry that can't be decoded is skipped.
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

// members returns the complete list, sorted by id.
func (l *endpointList) members(log *slog.Logger) (members []coordinator.Member) {
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if m, err := decodeEntry(l.entries[id], log); err == nil {
			members = append(members, m)
		}
	}
	return members
}

// encode returns the complete list encoded as a page.
func (l *endpointList) encode() ([]byte, error) {
	p := page{Version: l.version, Full: true, Servers: []json.RawMessage{}}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		p.Servers = append(p.Servers, l.entries[id])
	}
	return json.Marshal(p)
}

// errTruncatedMessage reports a truncated message from discovery.
var errTruncatedMessage = errors.New("message truncated")

// pageReader reads messages from discovery: JSON objects, each on one line or indented over several, separated by blank lines.
// A blank line within an object is an error: the rest of the message is lost, and the blank lines that follow as keep-alives
// would keep the watch open forever.
type pageReader struct {
	in       *bufio.Reader
	onIdle   func() // called at each blank line between messages, which means that nothing has changed
	message  []byte
	depth    int // number of open braces and brackets
	inString bool
	escaped  bool
}

func newPageReader(in io.Reader, onIdle func()) *pageReader {
	return &pageReader{in: bufio.NewReader(in), onIdle: onIdle}
}

// next reads the next message.
func (r *pageReader) next() (*page, error) {
	r.message, r.depth, r.inString, r.escaped = r.message[:0], 0, false, false
	for {
		line, err := r.in.ReadBytes('\n')
		line = bytes.TrimSpace(line)
		if err != nil && (err != io.EOF || len(line) == 0) { // a body with a length may lack the final line end
			return nil, err
		}
		switch {
		case len(line) == 0 && len(r.message) == 0:
			r.onIdle()
			continue
		case len(line) == 0:
			return nil, errTruncatedMessage
		}
		begins := len(r.message) == 0
		r.message = append(append(r.message, line...), '\n')
		r.trackDepth(line)
		if r.depth > 0 {
			if begins && !mayContinue(line) {
				return nil, errTruncatedMessage
			}
			continue
		}
		p := new(page)
		if err := json.Unmarshal(r.message, p); err != nil {
			return nil, fmt.Errorf("decode list: %w", err)
		}
		return p, nil
	}
}

// mayContinue reports whether an object that begins with this line may continue on further lines.
func mayContinue(line []byte) bool { return bytes.IndexByte([]byte("{[,"), line[len(line)-1]) >= 0 }

// trackDepth updates the number of open braces and brackets after a line.
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

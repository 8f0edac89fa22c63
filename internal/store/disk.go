package store

// This file owns what one member keeps on its disk: its log, its votes, what it has applied, and its snapshots, all in one
// internal/kv of its folder (docs/formats/store.md). It must never go back: what a snapshot or a replayed log holds that is older
// than what was applied before is not written over it. Nor may what is longer than one value of internal/kv be seen in part.

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/kv"
)

// The first byte of each key tells what it is of.
const (
	keyLog       = 'l' // index: an entry
	keyLogPart   = 'L' // index, part
	keyFigure    = 's' // name: what the log library keeps
	keyApplied   = 'a' // up to where values go, and their generation
	keyValue     = 'v' // generation, name
	keyValuePart = 'V' // generation, index and place of the change, part
	keySnapshot  = 'm' // id: what a snapshot is of
	keySnapPart  = 'M' // id, part
	keyForm      = 'f' // the form of all this; it is written once all that was there before is taken over
)

const (
	form     = 1
	partSize = 256 << 10 // bytes of a value that is kept in parts, and of a part
	atOnce   = 8         // parts in one batch of internal/kv, about
)

// disk keeps all that lasts of one member. Its methods may be called from any goroutine.
type disk struct {
	db   *kv.DB
	part int // bytes: partSize, or less to try it
	ctx  context.Context
	stop context.CancelFunc                       // ends who waits for room or for the pace
	pace func(*raft.SnapshotMeta) (bytes float64) // a second, at which a snapshot is read now; 0 for no bound
	runs atomic.Bool                              // under the library, which can't go on where a figure is not kept

	mu          sync.Mutex
	first, last uint64 // ends of the log; 0 for an empty one
	applied     uint64
	generation  uint64
	sizes       sizes
}

// openDisk opens a member's folder. What an earlier release kept there is taken over first.
func openDisk(dir string, log *slog.Logger) (*disk, error) {
	folder := filepath.Join(dir, "kv")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	cfg := kv.Config{
		Report: func(c kv.Cut) {
			log.Warn("store ended in the middle of a write; what was not acknowledged is cut off", "file", c.File, "offset", c.Offset, "bytes", c.Bytes)
		},
		OnFailure: func(err error) { log.Error("store can't be written", "cause", err) },
	}
	var db *kv.DB
	err := error(kv.ErrLocked)
	for end := time.Now().Add(time.Second); errors.Is(err, kv.ErrLocked) && time.Now().Before(end); { // the process before may be about to end
		if db, err = kv.Open(kv.Dir(folder), cfg); errors.Is(err, kv.ErrLocked) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if err != nil {
		return nil, err
	}
	d, err := newDisk(db, func(d *disk) error { return takeOver(d, dir) })
	if err == nil {
		if err = putAside(dir); err != nil {
			err = errors.Join(err, d.Close())
		}
	}
	return d, err
}

// newDisk begins with what a store holds. takeOver fills one that is new.
func newDisk(db *kv.DB, takeOver func(*disk) error) (*disk, error) {
	d := &disk{db: db, part: partSize, generation: 1}
	d.ctx, d.stop = context.WithCancel(context.Background())
	if err := d.begin(takeOver); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *disk) begin(takeOver func(*disk) error) error {
	raw, err := d.db.Get([]byte{keyForm})
	switch {
	case errors.Is(err, kv.ErrNotFound):
		// New, or its taking over was cut short: from the beginning.
		if err := d.db.Write(kv.Batch{{Kind: kv.DeleteRange, Key: []byte{0}, Value: []byte{255}}}); err != nil {
			return err
		}
		if err := takeOver(d); err != nil {
			return err
		}
		if err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: []byte{keyForm}, Value: []byte{form}}}); err != nil {
			return err
		}
	case err != nil:
		return err
	case len(raw) != 1 || raw[0] != form:
		return fmt.Errorf("it is of form %v; this program knows %d: start the newer one", raw, form)
	}
	if raw, err = d.db.Get([]byte{keyApplied}); err == nil && len(raw) == 16 {
		d.applied, d.generation = binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])
	} else if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if err := d.sweep(); err != nil {
		return err
	}
	return d.measure()
}

// sweep removes the snapshots that were not finished, and values of other generations.
func (d *disk) sweep() error {
	list, err := d.List()
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, m := range list {
		known[m.ID] = true
	}
	var b kv.Batch
	lost, last := map[string]bool{}, ""
	view := d.db.Snapshot()
	defer view.Close()
	err = view.Each([]byte{keySnapPart}, func(key, _ []byte) bool {
		if id := string(key[1 : len(key)-4]); id != last {
			if last = id; !known[id] && !lost[id] {
				lost[id] = true
				b = append(b, within(keySnapPart, []byte(id))...)
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	for _, kind := range []byte{keyValue, keyValuePart} {
		other := false
		err := view.Each([]byte{kind}, func(key, _ []byte) bool {
			other = binary.BigEndian.Uint64(key[1:]) != d.generation
			return !other
		})
		if err != nil {
			return err
		}
		if other {
			b = append(b, kv.Op{Kind: kv.DeleteRange, Key: key(kind, place(0)), Value: key(kind, place(d.generation))},
				kv.Op{Kind: kv.DeleteRange, Key: key(kind, place(d.generation+1)), Value: []byte{kind + 1}})
		}
	}
	if len(b) == 0 {
		return nil
	}
	return d.db.Write(b)
}

// measure reads the log's ends and the sizes of its entries.
func (d *disk) measure() error {
	view := d.db.Snapshot()
	defer view.Close()
	d.first, d.last, d.sizes = 0, 0, sizes{}
	return view.Each([]byte{keyLog}, func(key, value []byte) bool {
		index := binary.BigEndian.Uint64(key[1:])
		if d.first == 0 {
			d.first = index
		}
		d.last = index
		d.sizes.add(index, length(value))
		return true
	})
}

// Close ends it.
func (d *disk) Close() error {
	d.stop()
	return d.db.Close()
}

func place(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func key(kind byte, parts ...[]byte) []byte {
	return append([]byte{kind}, bytes.Join(parts, nil)...)
}

func part(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// within removes all keys of a kind that go on from a prefix, which must not be the beginning of another's.
func within(kind byte, prefix []byte) kv.Batch {
	return kv.Batch{{Kind: kv.DeleteRange, Key: key(kind, prefix), Value: key(kind, prefix, []byte{255, 255, 255, 255, 255})}}
}

// A value as it is kept: byte 0 and itself, or byte 1, its length, checksum and the prefix of its parts.
const (
	inline  = 0
	inParts = 1
)

// keep writes the parts of what is longer than so many bytes, and returns what its key is to hold: a part without that is seen by nobody.
func (d *disk) keep(data []byte, kind byte, prefix []byte, most int) ([]byte, error) {
	if len(data) <= most {
		return append([]byte{inline}, data...), nil
	}
	if err := d.db.Write(within(kind, prefix)); err != nil { // of an earlier try
		return nil, err
	}
	for at := 0; at < len(data); at += d.part {
		err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(kind, prefix, part(at/d.part)), Value: data[at:min(at+d.part, len(data))]}})
		if err != nil {
			return nil, err
		}
	}
	head := binary.BigEndian.AppendUint64([]byte{inParts}, uint64(len(data)))
	head = binary.BigEndian.AppendUint32(head, crc32.Checksum(data, castagnoli))
	return append(head, prefix...), nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// length is that of what a key's value stands for.
func length(held []byte) int {
	if len(held) >= 13 && held[0] == inParts {
		return int(binary.BigEndian.Uint64(held[1:]))
	}
	return len(held)
}

// whole reads what a key's value stands for.
func whole(view *kv.View, held []byte, kind byte) ([]byte, error) {
	switch {
	case len(held) > 0 && held[0] == inline:
		return bytes.Clone(held[1:]), nil
	case len(held) < 13 || held[0] != inParts:
		return nil, fmt.Errorf("a value of %d bytes is neither itself nor in parts", len(held))
	}
	data := make([]byte, 0, length(held))
	for n := 0; len(data) < length(held); n++ {
		p, err := view.Get(key(kind, held[13:], part(n)))
		if err != nil {
			return nil, fmt.Errorf("part %d of a value of %d bytes: %w", n, length(held), err)
		}
		data = append(data, p...)
	}
	if crc32.Checksum(data, castagnoli) != binary.BigEndian.Uint32(held[9:]) {
		return nil, fmt.Errorf("a value of %d bytes in parts does not have its checksum", len(data))
	}
	return data, nil
}

// read returns the values as they were applied last, and up to which index.
func (d *disk) read() (values map[string][]byte, index uint64, err error) {
	values = map[string][]byte{}
	view := d.db.Snapshot()
	defer view.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	prefix := key(keyValue, place(d.generation))
	var bad error
	err = view.Each(prefix, func(k, held []byte) bool {
		values[string(k[len(prefix):])], bad = whole(view, held, keyValuePart)
		return bad == nil
	})
	return values, d.applied, errors.Join(err, bad)
}

// write keeps values that changed, nil for those that went, up to an index; what it holds already up to there stays. Where
// whole is set they are all that there is.
func (d *disk) write(values map[string][]byte, index uint64, whole bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index <= d.applied {
		return nil
	}
	generation := d.generation
	if whole { // they are written beside the others, and then take their place at once
		generation++
		for _, kind := range []byte{keyValue, keyValuePart} {
			if err := d.db.Write(within(kind, place(generation))); err != nil {
				return err
			}
		}
	}
	var b kv.Batch
	size, n := 0, 0
	for name, v := range values {
		k := key(keyValue, place(generation), []byte(name))
		if old, err := d.db.Get(k); err == nil && len(old) > 13 && old[0] == inParts {
			b = append(b, within(keyValuePart, old[13:])...)
		} else if err != nil && !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		if v == nil {
			b = append(b, kv.Op{Kind: kv.Delete, Key: k})
			continue
		}
		// What would not fit into the batch any more goes ahead of it, in parts.
		most := min(d.part, max(0, atOnce*d.part-size))
		held, err := d.keep(v, keyValuePart, bytes.Join([][]byte{place(generation), place(index), part(n)}, nil), most)
		if err != nil {
			return err
		}
		n++
		b = append(b, kv.Op{Kind: kv.Put, Key: k, Value: held})
		if size += len(k) + len(held); whole && size > atOnce*d.part { // nobody reads this generation yet
			if err := d.db.Write(b); err != nil {
				return err
			}
			b, size = nil, 0
		}
	}
	b = append(b, kv.Op{Kind: kv.Put, Key: []byte{keyApplied}, Value: append(place(index), place(generation)...)})
	if whole {
		b = append(b, within(keyValue, place(d.generation))...)
		b = append(b, within(keyValuePart, place(d.generation))...)
	}
	if err := d.db.Write(b); err != nil {
		return err
	}
	d.applied, d.generation = index, generation
	return nil
}

// FirstIndex and the methods below are the library's LogStore and StableStore.
func (d *disk) FirstIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first, nil
}

// LastIndex is the index of the latest entry.
func (d *disk) LastIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last, nil
}

// GetLog reads an entry.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	view := d.db.Snapshot()
	defer view.Close()
	held, err := view.Get(key(keyLog, place(index)))
	if errors.Is(err, kv.ErrNotFound) {
		return raft.ErrLogNotFound
	} else if err != nil {
		return err
	}
	data, err := whole(view, held, keyLogPart)
	if err == nil {
		*l, err = readEntry(index, data)
	}
	if err != nil {
		return fmt.Errorf("entry %d of the store's log: %w", index, err)
	}
	return nil
}

// StoreLog writes an entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries, in their order: where it fails, some of the first may be there.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b kv.Batch
	size, from := 0, 0
	flush := func(to int) error {
		if len(b) == 0 {
			return nil
		}
		if err := d.db.Write(b); err != nil {
			return err
		}
		for i := range b {
			index := logs[from+i].Index
			if d.first == 0 || index < d.first {
				d.first = index
			}
			d.last = max(d.last, index)
			d.sizes.add(index, length(b[i].Value))
		}
		b, size, from = nil, 0, to
		return nil
	}
	for i, l := range logs {
		held, err := d.keep(appendEntry(nil, l), keyLogPart, place(l.Index), d.part)
		if err != nil {
			return err
		}
		b = append(b, kv.Op{Kind: kv.Put, Key: key(keyLog, place(l.Index)), Value: held})
		if size += len(held); size > atOnce*d.part {
			if err := flush(i + 1); err != nil {
				return err
			}
		}
	}
	return flush(len(logs))
}

// DeleteRange removes entries, both ends included.
func (d *disk) DeleteRange(first, last uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.db.Write(kv.Batch{
		{Kind: kv.DeleteRange, Key: key(keyLog, place(first)), Value: key(keyLog, place(last+1))},
		{Kind: kv.DeleteRange, Key: key(keyLogPart, place(first)), Value: key(keyLogPart, place(last+1))}})
	if err != nil {
		return err
	}
	// Behind the first whose size is known there is no gap.
	switch {
	case first <= d.first && last >= d.last:
		d.first, d.last, d.sizes = 0, 0, sizes{}
	case first <= d.first && last+1 >= d.sizes.from:
		d.first = max(d.first, last+1)
	case last >= d.last && first > max(d.sizes.from, d.first):
		d.last = min(d.last, first-1)
		d.sizes.cut(d.last)
	default:
		return d.measure()
	}
	return nil
}

// Set keeps a figure of the member. The library ends the process where that fails; so while the disk is full it waits for room, and
// once the store ends, its goroutine does. A member that neither votes nor leads meanwhile does no harm.
func (d *disk) Set(name, value []byte) error {
	for {
		err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(keyFigure, name), Value: value}})
		if !errors.Is(err, kv.ErrFull) || !d.runs.Load() {
			return err
		}
		select {
		case <-d.ctx.Done():
			runtime.Goexit()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Get reads a figure of the member, none for one that is not kept.
func (d *disk) Get(name []byte) ([]byte, error) {
	value, err := d.db.Get(key(keyFigure, name))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	return value, err
}

// SetUint64 keeps a number.
func (d *disk) SetUint64(name []byte, value uint64) error { return d.Set(name, place(value)) }

// GetUint64 reads a number, 0 for one that is not kept.
func (d *disk) GetUint64(name []byte) (uint64, error) {
	value, err := d.Get(name)
	if err != nil || len(value) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(value), nil
}

// An entry as it is kept: its type, term, when its leader took it in (ns since 1970; 0 for not said), the length of its extensions,
// these, and its data.
const entryHead = 1 + 8 + 8 + 4

func appendEntry(to []byte, l *raft.Log) []byte {
	at := int64(0)
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	to = append(to, byte(l.Type))
	to = binary.BigEndian.AppendUint64(to, l.Term)
	to = binary.BigEndian.AppendUint64(to, uint64(at))
	to = binary.BigEndian.AppendUint32(to, uint32(len(l.Extensions)))
	return append(append(to, l.Extensions...), l.Data...)
}

func readEntry(index uint64, data []byte) (raft.Log, error) {
	if len(data) < entryHead {
		return raft.Log{}, fmt.Errorf("%d bytes are no entry", len(data))
	}
	l := raft.Log{Index: index, Type: raft.LogType(data[0]), Term: binary.BigEndian.Uint64(data[1:])}
	if at := int64(binary.BigEndian.Uint64(data[9:])); at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	n := uint64(binary.BigEndian.Uint32(data[17:]))
	if data = data[entryHead:]; n > uint64(len(data)) {
		return raft.Log{}, fmt.Errorf("extensions of %d bytes in %d", n, len(data))
	}
	if n > 0 {
		l.Extensions = data[:n:n]
	}
	if len(data[n:]) > 0 {
		l.Data = data[n:]
	}
	return l, nil
}

// snapshotHead is what a snapshot's key holds.
type snapshotHead struct {
	Meta raft.SnapshotMeta
	Sum  uint32 // CRC-32C of its content
}

func readHead(raw []byte) (h snapshotHead, err error) {
	if err = json.Unmarshal(raw, &h); err != nil {
		err = fmt.Errorf("head of a snapshot: %w", err)
	}
	return h, err
}

package kv

// This file owns the store: the memory table over the log, the runs, what is read as of a snapshot, and the one goroutine
// that writes tables and merges them. A batch is in the log first, then in the memory table, then visible. It must never
// remove a file that the manifest names, nor a segment whose batches are not all in the runs.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"
)

// Config holds the figures of a DB. The zero value of a field stands for its default.
type Config struct {
	MemoryBytes  int64   // of the memory table before it is written; 2 MiB. Two may be there at once
	SegmentBytes int64   // of the log; 4 MiB
	MergeRate    float64 // bytes a second that merges may write; 32 MiB
	Report       func(Cut)
	OnFailure    func(error) // of the background; may be nil
}

// ErrNotFound tells that a key has no value.
var ErrNotFound = errors.New("not found")

// memory is a memory table.
type memory struct {
	tree  *btree.BTreeG[entry]
	spans []span
	bytes int64
	upTo  uint64
}

func newMemory() *memory {
	return &memory{tree: btree.NewG(32, func(a, b entry) bool { return order(a, b) < 0 })}
}

// apply takes in a batch.
func (m *memory) apply(seq uint64, b Batch) {
	for _, op := range b {
		m.bytes += int64(len(op.Key) + len(op.Value) + 64)
		switch op.Kind {
		case Put:
			m.tree.ReplaceOrInsert(entry{key: op.Key, seq: seq, value: op.Value})
		case Delete:
			m.tree.ReplaceOrInsert(entry{key: op.Key, seq: seq, deleted: true})
		case DeleteRange:
			var same []entry // what the batch itself put there before
			m.tree.AscendRange(entry{key: op.Key, seq: ^uint64(0)}, entry{key: op.Value, seq: ^uint64(0)}, func(e entry) bool {
				if e.seq == seq {
					same = append(same, e)
				}
				return true
			})
			for _, e := range same {
				m.tree.Delete(e)
			}
			m.spans = append(m.spans, span{op.Key, op.Value, seq})
		}
	}
	m.upTo = seq
}

// get is the newest version of a key up to a number.
func (m *memory) get(key []byte, upTo uint64) (found entry, ok bool) {
	m.tree.AscendGreaterOrEqual(entry{key: key, seq: upTo}, func(e entry) bool {
		if bytes.Equal(e.key, key) {
			found, ok = e, true
		}
		return false
	})
	return found, ok
}

// iterate returns a pull over a copy of the entries from a key on; the copy costs nothing until something changes.
func (m *memory) iterate(from []byte) func() (entry, bool, error) {
	tree := m.tree.Clone()
	at := entry{key: from, seq: ^uint64(0)}
	var list []entry
	done := false
	return func() (entry, bool, error) {
		if len(list) == 0 && !done {
			tree.AscendGreaterOrEqual(at, func(e entry) bool {
				list = append(list, e)
				return len(list) < 65
			})
			if done = len(list) < 65; !done { // the last one is where the next pull begins
				at, list = list[64], list[:64]
			}
		}
		if len(list) == 0 {
			return entry{}, false, nil
		}
		e := list[0]
		list = list[1:]
		return e, true, nil
	}
}

// run is a sorted table in use.
type run struct {
	*table
	number uint64
	file   Reader
	users  int // views that read it, and the store itself while it is in use; guarded by the DB's lock
	gone   bool
}

// DB is an open store. Its methods may be called from any goroutine.
type DB struct {
	fs     FS
	cfg    Config
	log    *Log
	budget *rate.Limiter
	ctx    context.Context
	stop   context.CancelFunc
	wake   chan struct{}
	ended  chan struct{}

	mu      sync.Mutex // guards what follows
	room    *sync.Cond // a memory table was written
	mem     *memory
	full    *memory // being written; nil for none
	runs    []*run  // newest first
	visible uint64
	snaps   map[uint64]int
	man     manifest
	failed  error
	short   error // the background found the disk full, and tries again
	merged  int64 // bytes written by merges
	flushes int64 // bytes written from memory tables
}

// Open recovers the store of a folder.
func Open(fsys FS, cfg Config) (*DB, error) {
	if cfg.MemoryBytes <= 0 {
		cfg.MemoryBytes = 2 << 20
	}
	if cfg.MergeRate <= 0 {
		cfg.MergeRate = 32 << 20
	}
	db := &DB{fs: fsys, cfg: cfg, budget: rate.NewLimiter(rate.Limit(cfg.MergeRate), 1<<20), wake: make(chan struct{}, 1),
		ended: make(chan struct{}), mem: newMemory(), snaps: map[uint64]int{}, man: manifest{next: 1}}
	db.room = sync.NewCond(&db.mu)
	db.ctx, db.stop = context.WithCancel(context.Background())
	var entries []Entry
	var err error
	if db.log, entries, err = OpenLog(fsys, Options{SegmentBytes: cfg.SegmentBytes, Report: cfg.Report, Apply: db.apply}); err != nil {
		return nil, err
	}
	if err := db.load(); err != nil {
		db.closeRuns()
		return nil, errors.Join(err, db.log.Close())
	}
	db.visible = db.man.flushed
	for _, e := range entries {
		if e.Seq > db.man.flushed {
			db.mem.apply(e.Seq, e.Batch)
			db.visible = e.Seq
		}
	}
	if next := db.log.Next(); next <= db.man.flushed {
		db.closeRuns()
		return nil, errors.Join(&Damage{manifestName, 8, fmt.Sprintf("the runs hold all up to number %d, the log would go on with %d: its segments are missing", db.man.flushed, next)}, db.log.Close())
	}
	if len(entries) > 0 && entries[0].Seq > db.man.flushed+1 {
		db.closeRuns()
		return nil, errors.Join(&Damage{manifestName, 8, fmt.Sprintf("the runs hold all up to number %d, the log begins at %d", db.man.flushed, entries[0].Seq)}, db.log.Close())
	}
	go db.background()
	return db, nil
}

// load reads the manifest and opens its runs; what belongs to no manifest is removed.
func (db *DB) load() error {
	raw, err := db.fs.Read(manifestName)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return fmt.Errorf("%s: %w", manifestName, err)
	default:
		if db.man, err = readManifest(raw); err != nil {
			return &Damage{manifestName, 0, err.Error()}
		}
	}
	for _, number := range db.man.runs {
		r, err := db.openRun(number)
		if err != nil {
			return err
		}
		r.users = 1
		db.runs = append(db.runs, r)
	}
	names, err := db.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		var number uint64
		n, _ := fmt.Sscanf(name, tablePattern, &number)
		orphan := n == 1 && strings.HasSuffix(name, ".table") && !slices.Contains(db.man.runs, number)
		if orphan || name == manifestNew {
			if err := db.fs.Remove(name); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

func (db *DB) openRun(number uint64) (*run, error) {
	name := fmt.Sprintf(tablePattern, number)
	file, err := db.fs.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	t, err := openTable(name, file, file.Size())
	if err != nil {
		file.Close()
		return nil, err
	}
	return &run{table: t, number: number, file: file}, nil
}

func (db *DB) closeRuns() {
	for _, r := range db.runs {
		r.file.Close()
	}
}

// Write makes a batch last, and visible to who reads after it. While two memory tables are full it waits for the first
// to be written.
func (db *DB) Write(b Batch) error {
	db.mu.Lock()
	for db.full != nil && db.mem.bytes >= db.cfg.MemoryBytes && db.failed == nil && db.short == nil {
		db.room.Wait()
	}
	err := db.failed
	if db.full != nil && db.mem.bytes >= db.cfg.MemoryBytes && err == nil {
		err = db.short // nobody waits for room that may never come
	}
	db.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = db.log.Append(b)
	return err
}

// apply takes in batches that the log has just synced, in their order.
func (db *DB) apply(first uint64, list []Batch) {
	db.mu.Lock()
	defer db.mu.Unlock()
	for i, b := range list {
		db.mem.apply(first+uint64(i), b)
	}
	db.visible = first + uint64(len(list)) - 1
	db.turn()
}

// turn puts a memory table that is full aside to be written. The caller holds the lock.
func (db *DB) turn() {
	if db.full == nil && db.mem.bytes >= db.cfg.MemoryBytes {
		db.full, db.mem = db.mem, newMemory()
		db.nudge()
	}
}

func (db *DB) nudge() {
	select {
	case db.wake <- struct{}{}:
	default:
	}
}

// View reads the store as of one number, while writing goes on. It must be closed.
type View struct {
	db     *DB
	seq    uint64
	tables []*memory
	runs   []*run
	closed bool
}

// Snapshot opens a view of all that is visible now.
func (db *DB) Snapshot() *View {
	db.mu.Lock()
	defer db.mu.Unlock()
	v := &View{db: db, seq: db.visible, runs: slices.Clone(db.runs)}
	db.snaps[v.seq]++
	for _, r := range v.runs {
		r.users++
	}
	for _, m := range []*memory{db.mem, db.full} {
		if m != nil {
			v.tables = append(v.tables, &memory{tree: m.tree.Clone(), spans: slices.Clone(m.spans)})
		}
	}
	return v
}

// Close gives the view back.
func (v *View) Close() {
	v.db.mu.Lock()
	defer v.db.mu.Unlock()
	if v.closed {
		return
	}
	v.closed = true
	if v.db.snaps[v.seq]--; v.db.snaps[v.seq] == 0 {
		delete(v.db.snaps, v.seq)
	}
	v.db.release(v.runs)
}

// release gives runs back; those that are merged away are removed once nobody reads them. The caller holds the lock.
func (db *DB) release(list []*run) {
	for _, r := range list {
		if r.users--; r.users == 0 && r.gone {
			r.file.Close()
			db.fs.Remove(r.name) // one that stays is removed at the next start
		}
	}
}

// Seq is the number that the view is of.
func (v *View) Seq() uint64 { return v.seq }

// deletedBelow is the highest number up to which a key's versions are deleted by a range.
func (v *View) deletedBelow(key []byte) (seq uint64) {
	look := func(list []span) {
		for _, s := range list {
			if s.seq <= v.seq && s.seq > seq && s.holds(key) {
				seq = s.seq
			}
		}
	}
	for _, m := range v.tables {
		look(m.spans)
	}
	for _, r := range v.runs {
		look(r.spans)
	}
	return seq
}

// spansFrom lists the ranges that are deleted as of the view and reach beyond a key, by where they end.
func (v *View) spansFrom(key []byte) (list []span) {
	look := func(of []span) {
		for _, s := range of {
			if s.seq <= v.seq && bytes.Compare(s.to, key) > 0 {
				list = append(list, s)
			}
		}
	}
	for _, m := range v.tables {
		look(m.spans)
	}
	for _, r := range v.runs {
		look(r.spans)
	}
	slices.SortFunc(list, func(a, b span) int { return bytes.Compare(a.to, b.to) })
	return list
}

// Get is a key's value, or ErrNotFound.
func (v *View) Get(key []byte) ([]byte, error) {
	found, ok := entry{}, false
	for _, m := range v.tables {
		if found, ok = m.get(key, v.seq); ok {
			break
		}
	}
	for i := 0; i < len(v.runs) && !ok; i++ {
		var err error
		if found, ok, err = v.runs[i].get(key, v.seq); err != nil {
			return nil, err
		}
	}
	if !ok || found.deleted || found.seq < v.deletedBelow(key) {
		return nil, ErrNotFound
	}
	return bytes.Clone(found.value), nil
}

// Each calls for each key of a prefix, in order, until it returns false.
func (v *View) Each(prefix []byte, each func(key, value []byte) bool) error {
	var pulls []func() (entry, bool, error)
	for _, m := range v.tables {
		pulls = append(pulls, m.iterate(prefix))
	}
	for _, r := range v.runs {
		pulls = append(pulls, r.iterate(prefix))
	}
	next, err := mergePulls(pulls)
	if err != nil {
		return err
	}
	var last []byte
	spans := v.spansFrom(prefix)
	for begun := false; ; {
		e, ok, err := next()
		if err != nil {
			return err
		}
		if !ok || !bytes.HasPrefix(e.key, prefix) {
			return nil
		}
		if e.seq > v.seq || begun && bytes.Equal(e.key, last) {
			continue
		}
		last, begun = append(last[:0], e.key...), true
		for len(spans) > 0 && bytes.Compare(spans[0].to, e.key) <= 0 { // keys come in order: it holds none of those to come
			spans = spans[1:]
		}
		if e.deleted || slices.ContainsFunc(spans, func(s span) bool { return e.seq < s.seq && s.holds(e.key) }) {
			continue
		}
		if !each(e.key, e.value) {
			return nil
		}
	}
}

// mergePulls joins ordered pulls into one.
func mergePulls(pulls []func() (entry, bool, error)) (func() (entry, bool, error), error) {
	type head struct {
		e    entry
		pull func() (entry, bool, error)
	}
	var heads []head
	for _, pull := range pulls {
		e, ok, err := pull()
		if err != nil {
			return nil, err
		}
		if ok {
			heads = append(heads, head{e, pull})
		}
	}
	return func() (entry, bool, error) { // there are about a dozen, so they are looked through
		best := -1
		for i := range heads {
			if best < 0 || order(heads[i].e, heads[best].e) < 0 {
				best = i
			}
		}
		if best < 0 {
			return entry{}, false, nil
		}
		out := heads[best].e
		e, ok, err := heads[best].pull()
		if err != nil {
			return entry{}, false, err
		}
		if heads[best].e = e; !ok {
			heads = slices.Delete(heads, best, best+1)
		}
		return out, true, nil
	}, nil
}

// Get is a key's value as of now, or ErrNotFound.
func (db *DB) Get(key []byte) ([]byte, error) {
	v := db.Snapshot()
	defer v.Close()
	return v.Get(key)
}

// background writes memory tables and merges runs until the store is closed.
func (db *DB) background() {
	defer close(db.ended)
	for {
		worked, err := db.work()
		if db.ctx.Err() != nil {
			return
		}
		if err != nil {
			if db.cfg.OnFailure != nil {
				db.cfg.OnFailure(err)
			}
			if !isFull(err) && !errors.Is(err, ErrFull) {
				db.mu.Lock()
				db.failed = fmt.Errorf("%w: %w", ErrReadOnly, err)
				db.room.Broadcast()
				db.mu.Unlock()
				return
			}
			db.mu.Lock()
			if db.short = err; !errors.Is(err, ErrFull) {
				db.short = fmt.Errorf("%w (%w)", ErrFull, err)
			}
			db.room.Broadcast()
			db.mu.Unlock()
			select { // there may be room later
			case <-db.ctx.Done():
				return
			case <-time.After(fullPause):
			}
			continue
		}
		if worked {
			db.mu.Lock()
			db.short = nil
			db.mu.Unlock()
			continue
		}
		select {
		case <-db.ctx.Done():
			return
		case <-db.wake:
		}
	}
}

// fullPause is how long the background waits before it tries again on a full disk.
const fullPause = 100 * time.Millisecond

// work does one thing that is due.
func (db *DB) work() (worked bool, err error) {
	db.mu.Lock()
	full := db.full
	var sizes []int64
	for _, r := range db.runs {
		sizes = append(sizes, r.size)
	}
	db.mu.Unlock()
	if full != nil {
		return true, db.flush(full)
	}
	if from, to := pickMerge(sizes); to > 0 {
		return true, db.merge(from, to)
	}
	return false, nil
}

// fresh creates a file that no manifest names; one of an earlier try goes.
func (db *DB) fresh(name string) (File, error) {
	file, err := db.fs.Create(name)
	if errors.Is(err, fs.ErrExist) {
		if err := db.fs.Remove(name); err != nil {
			return nil, err
		}
		file, err = db.fs.Create(name)
	}
	return file, err
}

// create writes a table.
func (db *DB) create(number uint64, upTo uint64, fill func(w *tableWriter) error) (*run, error) {
	name := fmt.Sprintf(tablePattern, number)
	file, err := db.fresh(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	w := &tableWriter{out: file}
	if err = fill(w); err == nil {
		err = w.finish(upTo)
	}
	if err == nil {
		err = file.Sync()
	}
	if cerr := file.Close(); err == nil {
		err = cerr
	}
	if err == nil { // its name must last before a manifest has it
		err = db.fs.SyncDir()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", name, err), db.fs.Remove(name))
	}
	return db.openRun(number)
}

// install makes a manifest last, and only then lets it hold.
func (db *DB) install(m manifest) error {
	file, err := db.fresh(manifestNew)
	if err == nil {
		if _, err = file.Write(m.encode()); err == nil {
			err = file.Sync()
		}
		if cerr := file.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			err = errors.Join(err, db.fs.Remove(manifestNew))
		}
	}
	if err == nil {
		err = db.fs.Rename(manifestNew, manifestName)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", manifestName, err)
	}
	if err := db.fs.SyncDir(); err != nil { // which of the two lasts is not known: final, whatever the cause
		return fmt.Errorf("folder: %v", err)
	}
	return nil
}

// flush writes a memory table as the newest run.
func (db *DB) flush(m *memory) error {
	number := db.man.next
	r, err := db.create(number, m.upTo, func(w *tableWriter) error {
		w.spans = m.spans
		m.tree.Ascend(func(e entry) bool { w.add(e); return w.err == nil })
		return w.err
	})
	if err != nil {
		return err
	}
	next := manifest{flushed: m.upTo, next: number + 1, runs: append([]uint64{number}, db.man.runs...)}
	if err := db.install(next); err != nil {
		r.file.Close()
		return err
	}
	db.mu.Lock()
	r.users = 1
	db.man, db.runs, db.full = next, append([]*run{r}, db.runs...), nil
	db.flushes += r.size
	db.turn()
	db.room.Broadcast()
	db.mu.Unlock()
	return db.log.Trim(m.upTo)
}

// merge makes one run of several that lie next to each other.
func (db *DB) merge(from, to int) error {
	db.mu.Lock()
	old := slices.Clone(db.runs[from:to])
	floor := db.visible
	for seq := range db.snaps {
		floor = min(floor, seq)
	}
	oldest := to == len(db.runs)
	db.mu.Unlock()
	k := &keeper{floor: floor, oldest: oldest}
	var pulls []func() (entry, bool, error)
	upTo := uint64(0)
	for _, r := range old {
		k.spans = append(k.spans, r.spans...)
		pulls = append(pulls, r.iterate(nil))
		upTo = max(upTo, r.upTo)
	}
	next, err := mergePulls(pulls)
	if err != nil {
		return err
	}
	number := db.man.next
	r, err := db.create(number, upTo, func(w *tableWriter) error {
		w.spans = k.keepSpans()
		paid := int64(0)
		for {
			e, ok, err := next()
			if err != nil || !ok {
				return err
			}
			if k.keep(e) {
				w.add(e)
			}
			if w.err != nil {
				return w.err
			}
			if due := w.at - paid; due >= 64<<10 {
				if err := db.budget.WaitN(db.ctx, int(min(due, 1<<20))); err != nil {
					return err
				}
				paid = w.at
			}
		}
	})
	if err != nil {
		return err
	}
	m := manifest{flushed: db.man.flushed, next: number + 1}
	m.runs = append(append(append(m.runs, db.man.runs[:from]...), number), db.man.runs[to:]...)
	if err := db.install(m); err != nil {
		r.file.Close()
		return err
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	r.users = 1
	db.man = m
	db.runs = append(append(append([]*run(nil), db.runs[:from]...), r), db.runs[to:]...)
	db.merged += r.size
	for _, o := range old {
		o.gone = true
	}
	db.release(old)
	return nil
}

// Stats are the figures of a store.
type Stats struct {
	Runs                  int
	RunBytes, MemoryBytes int64
	Flushed, Merged       int64 // bytes written so far
	Visible, InRuns       uint64
	Snapshots             int
}

// Stats tells how the store stands.
func (db *DB) Stats() Stats {
	db.mu.Lock()
	defer db.mu.Unlock()
	s := Stats{Runs: len(db.runs), MemoryBytes: db.mem.bytes, Flushed: db.flushes, Merged: db.merged, Visible: db.visible,
		InRuns: db.man.flushed, Snapshots: len(db.snaps)}
	for _, r := range db.runs {
		s.RunBytes += r.size
	}
	return s
}

// Quiet waits until nothing is due in the background, or it has failed or finds no room; that it tries again.
func (db *DB) Quiet() error {
	for {
		db.mu.Lock()
		var sizes []int64
		for _, r := range db.runs {
			sizes = append(sizes, r.size)
		}
		_, to := pickMerge(sizes)
		due, err := db.full != nil || to > 0, db.failed
		if err == nil && due {
			err = db.short
		}
		db.mu.Unlock()
		if err != nil || !due {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Close ends the store. What is in memory is in the log.
func (db *DB) Close() error {
	db.stop()
	<-db.ended
	err := db.log.Close()
	db.mu.Lock()
	defer db.mu.Unlock()
	db.failed = ErrClosed
	db.room.Broadcast()
	db.closeRuns()
	return err
}

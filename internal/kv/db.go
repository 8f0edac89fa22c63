package kv

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"sync"
)

// Config configures a DB. The zero value of a field stands for its default.
type Config struct {
	MemoryBytes  int64       // size of the memory table at which it is written to a run; default 2 MiB. Two may exist at once
	SegmentBytes int64       // size of a log segment; default 4 MiB
	MergeRate    float64     // bytes a second that merges may write; default 32 MiB
	Report       func(Cut)   // called when a torn tail of the log is cut off; may be nil
	OnFailure    func(error) // called for errors of the background; may be nil
}

// ErrNotFound is returned for a key without a value.
var ErrNotFound = errors.New("not found")

// run is a sorted table in use.
type run struct {
	*table
	number     uint64
	file       Reader
	references int  // views that read it, and the store while it is in use; guarded by DB.mu
	obsolete   bool // merged into another; its file is removed with the last reference
}

// writtenBytes counts the bytes that the background wrote.
type writtenBytes struct {
	flushed int64 // from memory tables
	merged  int64
}

// DB is an open store. Its methods may be called from any goroutine.
type DB struct {
	fs         FS
	cfg        Config
	log        *Log
	background background

	// mu guards the fields below. It is not held over reads and writes of files.
	mu        sync.Mutex
	writable  *sync.Cond // signalled when a memory table was written, and when writing fails
	active    *memtable
	immutable *memtable      // full, and being written to a table; nil for none
	runs      []*run         // newest first
	visible   uint64         // the highest sequence number that new views read
	snapshots map[uint64]int // number of open views by their sequence number
	manifest  manifest
	failed    error // final: nothing is written any more
	diskFull  error // the background found the disk full, and tries again
	written   writtenBytes
}

// Open recovers the store of a folder and starts its background.
func Open(fsys FS, cfg Config) (*DB, error) {
	if cfg.MemoryBytes <= 0 {
		cfg.MemoryBytes = 2 << 20
	}
	if cfg.MergeRate <= 0 {
		cfg.MergeRate = 32 << 20
	}
	db := &DB{fs: fsys, cfg: cfg, background: newBackground(cfg.MergeRate), active: newMemtable(), snapshots: map[uint64]int{},
		manifest: manifest{next: 1}}
	db.writable = sync.NewCond(&db.mu)
	var entries []Entry
	var err error
	if db.log, entries, err = OpenLog(fsys, Options{SegmentBytes: cfg.SegmentBytes, Report: cfg.Report, Apply: db.apply}); err != nil {
		return nil, err
	}
	if err = db.loadManifest(); err == nil {
		err = db.checkLogFollows(entries)
	}
	if err != nil {
		db.closeRuns()
		return nil, errors.Join(err, db.log.Close())
	}
	db.replay(entries)
	go db.runBackground()
	return db, nil
}

// checkLogFollows returns a *CorruptionError where batches are missing between the runs and the log.
func (db *DB) checkLogFollows(entries []Entry) error {
	flushed := db.manifest.flushed
	if next := db.log.Next(); next <= flushed {
		return &CorruptionError{manifestName, 8, fmt.Sprintf("the runs hold all up to number %d, the log would go on with %d: its segments are missing", flushed, next)}
	}
	if len(entries) > 0 && entries[0].Seq > flushed+1 {
		return &CorruptionError{manifestName, 8, fmt.Sprintf("the runs hold all up to number %d, the log begins at %d", flushed, entries[0].Seq)}
	}
	return nil
}

// replay applies the batches of the log that are not in the runs.
func (db *DB) replay(entries []Entry) {
	db.visible = db.manifest.flushed
	for _, e := range entries {
		if e.Seq > db.manifest.flushed {
			db.active.apply(e.Seq, e.Batch)
			db.visible = e.Seq
		}
	}
}

// loadManifest reads the manifest and opens its runs; files that it does not name are removed.
func (db *DB) loadManifest() error {
	raw, err := db.fs.Read(manifestName)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return fmt.Errorf("%s: %w", manifestName, err)
	default:
		if db.manifest, err = decodeManifest(raw); err != nil {
			return &CorruptionError{manifestName, 0, err.Error()}
		}
	}
	for _, number := range db.manifest.runs {
		r, err := db.openRun(number)
		if err != nil {
			return err
		}
		r.references = 1
		db.runs = append(db.runs, r)
	}
	names, err := db.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		var number uint64
		n, _ := fmt.Sscanf(name, tablePattern, &number)
		orphan := n == 1 && strings.HasSuffix(name, ".table") && !slices.Contains(db.manifest.runs, number)
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
		_ = file.Close()
		return nil, err
	}
	return &run{table: t, number: number, file: file}, nil
}

func (db *DB) closeRuns() {
	for _, r := range db.runs {
		_ = r.file.Close()
	}
}

// releaseRuns drops a reference to each run; the file of an obsolete one is removed with its last reference. The caller holds the lock.
func (db *DB) releaseRuns(list []*run) {
	for _, r := range list {
		if r.references--; r.references == 0 && r.obsolete {
			_ = r.file.Close()
			_ = db.fs.Remove(r.name) // one that stays is removed at the next start
		}
	}
}

// Stats are the figures of a store.
type Stats struct {
	Runs                  int
	RunBytes, MemoryBytes int64
	Flushed, Merged       int64  // bytes written so far
	Visible, InRuns       uint64 // the highest sequence numbers that are visible, and that the runs hold
	Snapshots             int    // sequence numbers that open views read as of
}

// Stats returns the current figures.
func (db *DB) Stats() Stats {
	db.mu.Lock()
	defer db.mu.Unlock()
	s := Stats{Runs: len(db.runs), MemoryBytes: db.active.bytes, Flushed: db.written.flushed, Merged: db.written.merged, Visible: db.visible,
		InRuns: db.manifest.flushed, Snapshots: len(db.snapshots)}
	for _, r := range db.runs {
		s.RunBytes += r.size
	}
	return s
}

// Close stops the background and closes the files. The memory tables need no flush: their batches are in the log.
func (db *DB) Close() error {
	db.background.stop()
	<-db.background.done
	err := db.log.Close()
	db.mu.Lock()
	defer db.mu.Unlock()
	db.failed = ErrClosed
	db.writable.Broadcast()
	db.closeRuns()
	return err
}

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
	MemoryBytes  int64          // size at which the memory table is written to a run; default 2 MiB. Two such tables may exist at once
	SegmentBytes int64          // size of a log segment; default 4 MiB
	MergeRate    float64        // limit on the bytes a second that merges write; default 32 MiB
	OnTornTail   func(TornTail) // called when a torn tail of the log is cut off; may be nil
	OnFailure    func(error)    // called with errors of flushes and merges; may be nil
}

// ErrNotFound is returned for a key without a value.
var ErrNotFound = errors.New("not found")

// run is a sorted table in use.
type run struct {
	*table
	number     uint64
	file       Reader
	references int  // held by views that read it, and by the store while it is in use; guarded by DB.mu
	obsolete   bool // merged into another run; its file is removed with the last reference
}

// writtenBytes counts the bytes that flushes and merges wrote.
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

	// mu guards the fields below. It is not held during reads and writes of files.
	mu        sync.Mutex
	writable  *sync.Cond // signalled when a memory table was flushed, and when writing fails
	active    *memtable
	immutable *memtable      // full, and being written to a table; nil for none
	runs      []*run         // newest first
	visible   uint64         // the highest sequence number that new views read
	snapshots map[uint64]int // number of open views by their sequence number
	manifest  manifest
	failed    error // final error: nothing is written any more
	diskFull  error // set while a flush or merge that found the disk full is retried
	written   writtenBytes
}

// Open recovers the store of a directory and starts its background goroutine.
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
	if db.log, entries, err = OpenLog(fsys, Options{SegmentBytes: cfg.SegmentBytes, OnTornTail: cfg.OnTornTail, Apply: db.apply}); err != nil {
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

// checkLogFollows returns a *CorruptionError if batches are missing between the runs and the log.
func (db *DB) checkLogFollows(entries []Entry) error {
	flushed := db.manifest.flushed
	if next := db.log.Next(); next <= flushed {
		return &CorruptionError{manifestName, 8, fmt.Sprintf("the tables hold all batches up to number %d, the log continues with %d: log segments are missing", flushed, next)}
	}
	if len(entries) > 0 && entries[0].Seq > flushed+1 {
		return &CorruptionError{manifestName, 8, fmt.Sprintf("the tables hold all batches up to number %d, the log begins with %d", flushed, entries[0].Seq)}
	}
	return nil
}

// replay applies those batches of the log that are not in the runs.
func (db *DB) replay(entries []Entry) {
	db.visible = db.manifest.flushed
	for _, e := range entries {
		if e.Seq > db.manifest.flushed {
			db.active.apply(e.Seq, e.Batch)
			db.visible = e.Seq
		}
	}
}

// loadManifest reads the manifest, opens its runs, and removes table files that it does not name.
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
			_ = db.fs.Remove(r.name) // a file that could not be removed is removed at the next start
		}
	}
}

// Stats holds the statistics of a store.
type Stats struct {
	Runs                  int
	RunBytes, MemoryBytes int64
	Flushed, Merged       int64  // bytes written since the start, by flushes and by merges
	Visible, InRuns       uint64 // highest sequence number that is visible, and that is in the runs
	Snapshots             int    // number of sequence numbers as of which open views read
}

// Stats returns the current statistics.
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

// Close stops the background goroutine and closes the files. The memory tables need no flush: their batches are in the log.
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

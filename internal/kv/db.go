package kv

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"sync"

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

// release gives runs back; those that are merged away are removed once nobody reads them. The caller holds the lock.
func (db *DB) release(list []*run) {
	for _, r := range list {
		if r.users--; r.users == 0 && r.gone {
			r.file.Close()
			db.fs.Remove(r.name) // one that stays is removed at the next start
		}
	}
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

package kv

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// diskFullRetryInterval is the pause before a flush or merge is retried on a full disk.
	diskFullRetryInterval = 100 * time.Millisecond
	// mergeBurst is the number of bytes that a merge may write ahead of the rate limit.
	mergeBurst = 1 << 20
	// mergePaceStep is the number of bytes that a merge writes between two waits for the rate limit.
	mergePaceStep = 64 << 10
)

// background controls the goroutine that flushes memory tables and merges runs.
type background struct {
	ctx     context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	done    chan struct{} // closed once the goroutine has ended
	limiter *rate.Limiter // limits the bytes that merges write
}

func newBackground(mergeRate float64) background {
	b := background{wake: make(chan struct{}, 1), done: make(chan struct{}), limiter: rate.NewLimiter(rate.Limit(mergeRate), mergeBurst)}
	b.ctx, b.stop = context.WithCancel(context.Background())
	return b
}

// notify wakes the goroutine to look for work.
func (b *background) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// pace waits until the rate limit permits the bytes that a merge has written since the previous call.
func (b *background) pace(bytes int64) error {
	return b.limiter.WaitN(b.ctx, int(min(bytes, mergeBurst)))
}

// runBackground flushes memory tables and merges runs until the store is closed or an error other than a full disk occurs.
func (db *DB) runBackground() {
	defer close(db.background.done)
	for {
		didWork, err := db.runNextTask()
		switch {
		case db.background.ctx.Err() != nil:
			return
		case err != nil:
			if !db.handleTaskError(err) {
				return
			}
		case didWork:
			db.mu.Lock()
			db.diskFull = nil
			db.mu.Unlock()
		default:
			select {
			case <-db.background.ctx.Done():
				return
			case <-db.background.wake:
			}
		}
	}
}

// handleTaskError reports an error to the waiting writers. On a full disk it waits before the next attempt; retry is false if the
// store is closed or the error is final.
func (db *DB) handleTaskError(err error) (retry bool) {
	if db.cfg.OnFailure != nil {
		db.cfg.OnFailure(err)
	}
	if !isFull(err) && !errors.Is(err, ErrFull) {
		db.mu.Lock()
		db.failed = fmt.Errorf("%w: %w", ErrReadOnly, err)
		db.writable.Broadcast()
		db.mu.Unlock()
		return false
	}
	db.mu.Lock()
	if db.diskFull = err; !errors.Is(err, ErrFull) {
		db.diskFull = fmt.Errorf("%w (%w)", ErrFull, err)
	}
	db.writable.Broadcast()
	db.mu.Unlock()
	select {
	case <-db.background.ctx.Done():
		return false
	case <-time.After(diskFullRetryInterval):
		return true
	}
}

// runNextTask flushes the full memory table or, if there is none, merges the runs that are due; didWork is false if none are.
func (db *DB) runNextTask() (didWork bool, err error) {
	db.mu.Lock()
	immutable, sizes := db.immutable, db.runSizes()
	db.mu.Unlock()
	if immutable != nil {
		return true, db.flush(immutable)
	}
	if from, to := pickMerge(sizes); to > 0 {
		return true, db.merge(from, to)
	}
	return false, nil
}

// runSizes returns the sizes of the runs in bytes, newest first. The caller holds the lock.
func (db *DB) runSizes() (sizes []int64) {
	for _, r := range db.runs {
		sizes = append(sizes, r.size)
	}
	return sizes
}

// createReplacing creates a file that the manifest does not name yet. It first removes one of that name that an earlier attempt left
// behind.
func (db *DB) createReplacing(name string) (File, error) {
	file, err := db.fs.Create(name)
	if errors.Is(err, fs.ErrExist) {
		if err := db.fs.Remove(name); err != nil {
			return nil, err
		}
		file, err = db.fs.Create(name)
	}
	return file, err
}

// writeTable writes a table, whose entries fill adds, and opens it.
func (db *DB) writeTable(number uint64, maxSeq uint64, fill func(w *tableWriter) error) (*run, error) {
	name := fmt.Sprintf(tablePattern, number)
	file, err := db.createReplacing(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	w := &tableWriter{file: file}
	if err = fill(w); err == nil {
		err = w.finish(maxSeq)
	}
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil { // the file must be durable in the directory before a manifest names it
		err = db.fs.SyncDir()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", name, err), db.fs.Remove(name))
	}
	return db.openRun(number)
}

// flush writes a memory table as the newest run and trims the log.
func (db *DB) flush(m *memtable) error {
	number := db.manifest.next
	r, err := db.writeTable(number, m.maxSeq, func(w *tableWriter) error {
		w.tombstones = m.tombstones
		m.tree.Ascend(func(e entry) bool { w.add(e); return w.err == nil })
		return w.err
	})
	if err != nil {
		return err
	}
	next := manifest{flushed: m.maxSeq, next: number + 1, runs: append([]uint64{number}, db.manifest.runs...)}
	if err := db.installManifest(next); err != nil {
		_ = r.file.Close()
		return err
	}
	db.mu.Lock()
	r.references = 1
	db.manifest, db.runs, db.immutable = next, append([]*run{r}, db.runs...), nil
	db.written.flushed += r.size
	db.rotateMemtable()
	db.writable.Broadcast()
	db.mu.Unlock()
	return db.log.Trim(m.maxSeq)
}

// merge merges the adjacent runs from..to-1 into one.
func (db *DB) merge(from, to int) error {
	db.mu.Lock()
	old := slices.Clone(db.runs[from:to])
	filter := &compactionFilter{floor: db.oldestReadable(), oldest: to == len(db.runs)}
	db.mu.Unlock()
	number := db.manifest.next
	r, err := db.writeMerged(number, old, filter)
	if err != nil {
		return err
	}
	m := manifest{flushed: db.manifest.flushed, next: number + 1}
	m.runs = append(append(append(m.runs, db.manifest.runs[:from]...), number), db.manifest.runs[to:]...)
	if err := db.installManifest(m); err != nil {
		_ = r.file.Close()
		return err
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	r.references = 1
	db.manifest = m
	db.runs = append(append(append([]*run(nil), db.runs[:from]...), r), db.runs[to:]...)
	db.written.merged += r.size
	for _, o := range old {
		o.obsolete = true
	}
	db.releaseRuns(old)
	return nil
}

// oldestReadable returns the lowest sequence number as of which a view may read. The caller holds the lock.
func (db *DB) oldestReadable() uint64 {
	seq := db.visible
	for s := range db.snapshots {
		seq = min(seq, s)
	}
	return seq
}

// writeMerged writes the entries of several runs that the filter retains as one table.
func (db *DB) writeMerged(number uint64, old []*run, filter *compactionFilter) (*run, error) {
	var sources []iterator
	maxSeq := uint64(0)
	for _, r := range old {
		filter.tombstones = append(filter.tombstones, r.tombstones...)
		sources = append(sources, r.iterator(nil))
		maxSeq = max(maxSeq, r.maxSeq)
	}
	next, err := mergeIterators(sources)
	if err != nil {
		return nil, err
	}
	return db.writeTable(number, maxSeq, func(w *tableWriter) error {
		w.tombstones = filter.retainedTombstones()
		return db.copyPaced(w, next, filter)
	})
}

// copyPaced writes the entries that the filter retains, within the rate limit of merges.
func (db *DB) copyPaced(w *tableWriter, next iterator, filter *compactionFilter) error {
	paced := int64(0)
	for {
		e, ok, err := next()
		if err != nil || !ok {
			return err
		}
		if filter.retain(e) {
			w.add(e)
		}
		if w.err != nil {
			return w.err
		}
		if due := w.offset - paced; due >= mergePaceStep {
			if err := db.background.pace(due); err != nil {
				return err
			}
			paced = w.offset
		}
	}
}

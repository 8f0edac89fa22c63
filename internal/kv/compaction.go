package kv

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"time"
)

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

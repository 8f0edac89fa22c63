package kv

// This file owns the log: its open segment, the writers that wait for one sync together, and what is done once a write
// or a sync has failed. It must never acknowledge what may not be on disk, nor write on behind what may be torn.

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// Options are the figures of a Log. The zero value of a field stands for its default.
type Options struct {
	SegmentBytes int64 // after which a new segment is begun; 4 MiB
	Report       func(Cut)
	Apply        func(first uint64, list []Batch) // is told what was synced, in order, before it is acknowledged; may be nil
}

// The errors of a Log.
var (
	ErrFull     = errors.New("the disk is full; nothing was written, and writing goes on once there is room")
	ErrReadOnly = errors.New("the log takes nothing more, since a write or a sync has failed; open it anew")
	ErrClosed   = errors.New("the log is closed")
)

// lockName is the file that keeps two processes apart.
const lockName = "LOCK"

// Log is an open log. Its methods may be called from any goroutine.
type Log struct {
	fs   FS
	opts Options
	lock io.Closer

	mu        sync.Mutex // guards what follows; not held over a write or a sync
	committed *sync.Cond
	pending   []*pendingCommit
	writing   bool // some writer writes for all
	next      uint64
	failed    error
	closed    bool

	// The leader's own.
	name string
	file File
	size int64 // up to which all is synced
}

// commit is one that waits for its batch to last.
type pendingCommit struct {
	payload  []byte
	seq      uint64
	finished bool
	err      error
}

// OpenLog recovers the log of a folder and returns what is committed in it. Damage is refused and changes nothing; a
// torn tail is cut off.
func OpenLog(fs FS, o Options) (l *Log, entries []Entry, err error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = 4 << 20
	}
	lock, err := fs.Lock(lockName)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			lock.Close()
		}
	}()
	segments, err := readSegments(fs)
	if err != nil {
		return nil, nil, err
	}
	p, err := Recover(segments)
	if err != nil {
		return nil, nil, err
	}
	l = &Log{fs: fs, opts: o, lock: lock, next: p.Next, name: p.TailSegment, size: p.TailSize}
	l.committed = sync.NewCond(&l.mu)
	if err := l.prepareTail(p); err != nil {
		return nil, nil, err
	}
	return l, p.Entries, nil
}

// readSegments reads the segments of a folder, in order.
func readSegments(fs FS) (list []Segment, err error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names { // the names sort as their first numbers do
		var first uint64
		if n, err := fmt.Sscanf(name, segmentPattern, &first); n != 1 || err != nil || !strings.HasSuffix(name, ".log") {
			continue
		}
		raw, err := fs.Read(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		list = append(list, Segment{name, raw})
	}
	return list, nil
}

// settle carries out a recovery's plan, so that what is written next follows what is committed. It may be cut itself,
// and be carried out again.
func (l *Log) prepareTail(p RecoveryPlan) error {
	if p.Cut != nil && p.Cut.Complete {
		if err := l.fs.Remove(p.Cut.File); err != nil {
			return fmt.Errorf("%s: %w", p.Cut.File, err)
		}
		if err := l.fs.SyncDir(); err != nil {
			return fmt.Errorf("folder: %w", err)
		}
	}
	if l.name != "" {
		file, err := l.fs.Append(l.name)
		if err != nil {
			return fmt.Errorf("%s: %w", l.name, err)
		}
		l.file = file
		if p.Cut != nil && !p.Cut.Complete {
			if err := file.Truncate(l.size); err != nil {
				file.Close()
				return fmt.Errorf("%s: %w", l.name, err)
			}
		}
		// What was read may be in the kernel's memory only: it is acknowledged anew by being shown.
		if err := file.Sync(); err != nil {
			file.Close()
			return fmt.Errorf("%s: %w", l.name, err)
		}
		if err := l.fs.SyncDir(); err != nil {
			file.Close()
			return fmt.Errorf("folder: %w", err)
		}
	}
	if p.Cut != nil && l.opts.Report != nil {
		l.opts.Report(*p.Cut)
	}
	return nil
}

// Append writes a batch and returns its sequence number once it is on disk, with all that came before it. Writers that
// come while another writes share the next sync.
func (l *Log) Append(b Batch) (seq uint64, err error) {
	payload, err := b.encode()
	if err != nil {
		return 0, err
	}
	c := &pendingCommit{payload: payload}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, c)
	for !c.finished && l.writing {
		l.committed.Wait()
	}
	if !c.finished {
		l.commitGroup()
	}
	return c.seq, c.err
}

// lead writes for all that wait. The caller holds the lock, and gets it back.
func (l *Log) commitGroup() {
	l.writing = true
	list := l.pending
	l.pending = nil
	total := 0
	for i, c := range list { // as much as fits into a few records' room; the rest waits for the next
		if total += len(c.payload); total > 2*MaxBatch && i > 0 {
			l.pending, list = list[i:], list[:i]
			break
		}
	}
	err := l.failed
	if err == nil && l.closed {
		err = ErrClosed
	}
	first := l.next
	if err == nil {
		l.mu.Unlock()
		if err = l.write(first, list); err == nil && l.opts.Apply != nil {
			var batches []Batch
			for _, c := range list { // of the payload: the caller may go on using its own
				b, derr := decodeBatch(c.payload)
				if derr != nil {
					panic(derr) // encode has made it
				}
				batches = append(batches, b)
			}
			l.opts.Apply(first, batches)
		}
		l.mu.Lock()
		if err != nil && !errors.Is(err, ErrFull) {
			l.failed = fmt.Errorf("%w: %w", ErrReadOnly, err)
			err = l.failed
		}
	}
	for i, c := range list {
		c.finished = true
		if c.err = err; err == nil {
			c.seq = first + uint64(i)
			l.next = c.seq + 1
		}
	}
	l.writing = false
	l.committed.Broadcast()
}

// write puts records behind what is synced, and syncs them. An error that is not ErrFull is final.
func (l *Log) write(first uint64, list []*pendingCommit) error {
	if l.file == nil || l.size >= l.opts.SegmentBytes {
		if err := l.startSegment(first); err != nil {
			return err
		}
	}
	var group []byte
	for _, c := range list {
		group = appendToGroup(group, c.payload)
	}
	out := appendRecord(nil, kindGroup, first, group)
	if _, err := l.file.Write(out); err != nil {
		if !isFull(err) {
			return fmt.Errorf("%s: %w", l.name, err)
		}
		// What part of it was written is taken back: nothing may be written behind it.
		if terr := l.file.Truncate(l.size); terr != nil {
			return fmt.Errorf("%s: %w, and then %w", l.name, err, terr)
		}
		return fmt.Errorf("%s: %w (%w)", l.name, ErrFull, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	l.size += int64(len(out))
	return nil
}

// begin starts a new segment. All of the one before is synced.
func (l *Log) startSegment(first uint64) error {
	name := fmt.Sprintf(segmentPattern, first)
	file, err := l.fs.Create(name)
	if err != nil {
		if isFull(err) {
			return fmt.Errorf("%s: %w (%w)", name, ErrFull, err)
		}
		return fmt.Errorf("%s: %w", name, err)
	}
	undo := func(err error) error {
		file.Close()
		if !isFull(err) {
			return fmt.Errorf("%s: %w", name, err)
		}
		if rerr := l.fs.Remove(name); rerr != nil {
			return fmt.Errorf("%s: %w, and then %w", name, err, rerr)
		}
		return fmt.Errorf("%s: %w (%w)", name, ErrFull, err)
	}
	if _, err := file.Write(appendSegmentHeader(nil, first)); err != nil {
		return undo(err)
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := l.fs.SyncDir(); err != nil {
		file.Close()
		return fmt.Errorf("folder: %w", err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.name, l.file, l.size = name, file, segmentHeaderSize
	return nil
}

// Trim removes the segments all of whose batches have numbers up to one that are kept elsewhere. The last one stays.
func (l *Log) Trim(upTo uint64) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	var list []string
	var firsts []uint64
	for _, name := range names {
		var first uint64
		if n, _ := fmt.Sscanf(name, segmentPattern, &first); n == 1 && strings.HasSuffix(name, ".log") {
			list, firsts = append(list, name), append(firsts, first)
		}
	}
	for i := 0; i+1 < len(list) && firsts[i+1] <= upTo+1; i++ {
		if err := l.fs.Remove(list[i]); err != nil {
			return fmt.Errorf("%s: %w", list[i], err)
		}
		// One that stays though a later one is gone would be a gap: each removal lasts before the next.
		if err := l.fs.SyncDir(); err != nil {
			return fmt.Errorf("folder: %w", err)
		}
	}
	return nil
}

// Next is the sequence number that the next batch gets.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// Err is why the log takes nothing more; nil while it does.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Close waits for those that write, and gives the folder back.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	for l.writing || len(l.pending) > 0 {
		l.committed.Wait()
	}
	l.closed = true
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return errors.Join(err, l.lock.Close())
}

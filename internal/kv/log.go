package kv

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
)

// Options configures a Log. The zero value of a field stands for its default.
type Options struct {
	SegmentBytes int64                            // size in bytes at which a new segment is started; default 4 MiB
	OnTornTail   func(TornTail)                   // called when a torn tail is cut off; may be nil
	Apply        func(first uint64, list []Batch) // called with batches once they are synced, in order, before Append returns; may be nil
}

// The errors of a Log. With ErrFull nothing was written, and writes succeed again once there is space. ErrReadOnly is final until
// the store is reopened: after a failed write or sync it is unknown what is on disk, and a record behind a torn one could not be
// recovered.
var (
	ErrFull     = errors.New("the disk is full; nothing was written, and writing goes on once there is room")
	ErrReadOnly = errors.New("the log takes nothing more, since a write or a sync has failed; open it anew")
	ErrClosed   = errors.New("the log is closed")
)

// lockName is the file whose lock keeps a second process from opening the store.
const lockName = "LOCK"

// Log is an open write-ahead log. Its methods may be called from any goroutine.
type Log struct {
	fs   FS
	opts Options
	lock io.Closer

	// mu guards the fields from committed to closed. It is not held during a write or a sync.
	mu        sync.Mutex
	committed *sync.Cond       // signalled when a group is finished
	pending   []*pendingCommit // batches of the next group
	writing   bool             // a writer is committing a group
	next      uint64           // the next sequence number
	failed    error            // final error, after which nothing is written; nil for none
	closed    bool

	// The open segment. Only the writer that commits a group uses it.
	name string
	file File
	size int64 // synced bytes
}

// pendingCommit is a batch whose writer waits until it is durable.
type pendingCommit struct {
	payload  []byte
	seq      uint64
	finished bool
	err      error
}

// OpenLog recovers the log of a directory and returns the committed batches. A torn tail is cut off. For a corrupt log it returns
// a *CorruptionError and changes nothing; for a directory that another process has open it returns ErrLocked.
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
			_ = lock.Close()
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

// readSegments reads the segments of a directory, in order.
func readSegments(fs FS) (list []Segment, err error) {
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names { // names sort like the first sequence numbers in them
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

// prepareTail executes a recovery plan, so that the next record follows the committed ones. If it is interrupted by a crash, the
// next recovery executes it again.
func (l *Log) prepareTail(p RecoveryPlan) error {
	if p.TornTail != nil && p.TornTail.Headerless {
		if err := l.fs.Remove(p.TornTail.File); err != nil {
			return fmt.Errorf("%s: %w", p.TornTail.File, err)
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
		if err := l.syncTail(p.TornTail); err != nil {
			_ = file.Close()
			return err
		}
	}
	if p.TornTail != nil && l.opts.OnTornTail != nil {
		l.opts.OnTornTail(*p.TornTail)
	}
	return nil
}

// syncTail cuts a torn tail off the open segment and syncs it. What recovery read may be only in the kernel's page cache; showing
// it to readers acknowledges it, so it has to be durable first.
func (l *Log) syncTail(cut *TornTail) error {
	if cut != nil && !cut.Headerless {
		if err := l.file.Truncate(l.size); err != nil {
			return fmt.Errorf("%s: %w", l.name, err)
		}
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	if err := l.fs.SyncDir(); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	return nil
}

// Append writes a batch and returns its sequence number once it and all earlier batches are on disk. Writers that arrive while
// another one writes share the next sync.
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

// commitGroup writes the pending batches. The caller holds the lock; it is released during the write.
func (l *Log) commitGroup() {
	l.writing = true
	group, first := l.takeGroup(), l.next
	err := l.failed
	if err == nil && l.closed {
		err = ErrClosed
	}
	if err == nil {
		l.mu.Unlock()
		if err = l.write(first, group); err == nil && l.opts.Apply != nil {
			l.opts.Apply(first, decodePayloads(group))
		}
		l.mu.Lock()
		if err != nil && !errors.Is(err, ErrFull) {
			l.failed = fmt.Errorf("%w: %w", ErrReadOnly, err)
			err = l.failed
		}
	}
	for i, c := range group {
		c.finished = true
		if c.err = err; err == nil {
			c.seq = first + uint64(i)
			l.next = c.seq + 1
		}
	}
	l.writing = false
	l.committed.Broadcast()
}

// takeGroup removes and returns as many pending commits as fit into a record, at least one.
func (l *Log) takeGroup() (group []*pendingCommit) {
	group, l.pending = l.pending, nil
	total := 0
	for i, c := range group {
		if total += len(c.payload); total > 2*MaxBatch && i > 0 {
			l.pending, group = group[i:], group[:i]
			break
		}
	}
	return group
}

// decodePayloads returns copies of the batches: a caller of Append may reuse the slices of its batch.
func decodePayloads(group []*pendingCommit) (batches []Batch) {
	for _, c := range group {
		b, err := decodeBatch(c.payload)
		if err != nil {
			panic(err) // unreachable: encode made the payload
		}
		batches = append(batches, b)
	}
	return batches
}

// write appends the group as one record and syncs it. Any error other than ErrFull is final.
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
		// The part that was written is cut off: a record behind it could not be recovered.
		if truncateErr := l.file.Truncate(l.size); truncateErr != nil {
			return fmt.Errorf("%s: %w, and then %w", l.name, err, truncateErr)
		}
		return fmt.Errorf("%s: %w (%w)", l.name, ErrFull, err)
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	l.size += int64(len(out))
	return nil
}

// startSegment creates a new segment. The previous one is synced to its end.
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
		_ = file.Close()
		if !isFull(err) {
			return fmt.Errorf("%s: %w", name, err)
		}
		if removeErr := l.fs.Remove(name); removeErr != nil {
			return fmt.Errorf("%s: %w, and then %w", name, err, removeErr)
		}
		return fmt.Errorf("%s: %w (%w)", name, ErrFull, err)
	}
	if _, err := file.Write(appendSegmentHeader(nil, first)); err != nil {
		return undo(err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := l.fs.SyncDir(); err != nil {
		_ = file.Close()
		return fmt.Errorf("folder: %w", err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.name, l.file, l.size = name, file, segmentHeaderSize
	return nil
}

// Trim removes the segments that hold only batches up to a sequence number. The last segment is kept.
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
		// Each removal is durable before the next: a segment that came back without its successor would be a gap.
		if err := l.fs.SyncDir(); err != nil {
			return fmt.Errorf("folder: %w", err)
		}
	}
	return nil
}

// Next returns the sequence number that the next batch gets.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// Err returns the error after which nothing can be written any more; nil for none.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Close waits for the writers, closes the open segment and releases the lock of the directory.
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

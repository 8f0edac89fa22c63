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
	SegmentBytes int64                            // size at which a new segment is started; default 4 MiB
	Report       func(Cut)                        // called when a torn tail is cut off; may be nil
	Apply        func(first uint64, list []Batch) // called with batches once they are synced, in order, before Append returns; may be nil
}

// The errors of a Log. ErrFull wrote nothing, and writing goes on once there is space. ErrReadOnly is final until the store is
// opened anew: after a failed write or sync it is unknown what is on disk, and a record behind a torn one could not be recovered.
var (
	ErrFull     = errors.New("the disk is full; nothing was written, and writing goes on once there is room")
	ErrReadOnly = errors.New("the log takes nothing more, since a write or a sync has failed; open it anew")
	ErrClosed   = errors.New("the log is closed")
)

// lockName is the file whose lock keeps a second process from opening the store.
const lockName = "LOCK"

// Log is an open log. Its methods may be called from any goroutine.
type Log struct {
	fs   FS
	opts Options
	lock io.Closer

	// mu guards the fields up to closed. It is not held over a write or a sync.
	mu        sync.Mutex
	committed *sync.Cond       // signalled when a group is finished
	pending   []*pendingCommit // the next group
	writing   bool             // one writer commits a group for all that wait
	next      uint64           // the next sequence number
	failed    error
	closed    bool

	// The open segment; of the writer that commits a group.
	name string
	file File
	size int64 // bytes that are synced
}

// pendingCommit is a writer that waits for its batch to be durable.
type pendingCommit struct {
	payload  []byte
	seq      uint64
	finished bool
	err      error
}

// OpenLog recovers the log of a folder and returns the committed batches. A torn tail is cut off. A corrupt log gives a
// *CorruptionError, and nothing is changed; a folder that another process has open gives ErrLocked.
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

// prepareTail carries out a recovery's plan, so that the next record follows what is committed. After a crash in between it is
// carried out again.
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
		if err := l.syncTail(p.Cut); err != nil {
			_ = file.Close()
			return err
		}
	}
	if p.Cut != nil && l.opts.Report != nil {
		l.opts.Report(*p.Cut)
	}
	return nil
}

// syncTail cuts a torn tail off the open segment and syncs it. What recovery read may be in the kernel's memory only, and is
// acknowledged by being shown to readers.
func (l *Log) syncTail(cut *Cut) error {
	if cut != nil && !cut.Complete {
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

// commitGroup writes for all that wait. The caller holds the lock; it is released over the write.
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

// takeGroup takes as many of the pending commits as fit into a record, the first one in any case.
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

// decodePayloads returns batches of the log's own: a caller of Append may go on using the slices of its batch.
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

// write appends the group as one record and syncs it. An error that is not ErrFull is final.
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

// startSegment creates a new segment. All of the one before is synced.
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

// Trim removes the segments that hold only batches up to a sequence number. The last segment stays.
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

// Next is the sequence number that the next batch gets.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// Err returns why nothing can be written any more; nil while it can.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Close waits for the writers, closes the open segment and releases the lock of the folder.
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

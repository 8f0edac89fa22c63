package store

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"hash/crc32"
	"io"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"

	"gullfall/internal/kv"
)

// retainedSnapshots is the number of snapshots that are kept: a member may still be receiving the previous one.
const retainedSnapshots = 2

// List returns the finished snapshots, the newest first. With Open and Create it implements raft.SnapshotStore.
func (d *disk) List() (list []*raft.SnapshotMeta, err error) {
	view := d.db.Snapshot()
	defer view.Close()
	var decodeErr error
	err = view.Each([]byte{keySnapshot}, func(_, raw []byte) bool {
		var h snapshotHeader
		if h, decodeErr = decodeSnapshotHeader(raw); decodeErr == nil {
			list = append(list, &h.Meta)
		}
		return decodeErr == nil
	})
	slices.SortFunc(list, func(a, b *raft.SnapshotMeta) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), cmp.Compare(b.Index, a.Index), cmp.Compare(b.ID, a.ID))
	})
	return list, errors.Join(err, decodeErr)
}

// Open opens a snapshot for reading. The reader verifies the checksum at the end of the content.
func (d *disk) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	view := d.db.Snapshot()
	raw, err := view.Get(key(keySnapshot, []byte(id)))
	var h snapshotHeader
	if err == nil {
		h, err = decodeSnapshotHeader(raw)
	}
	if err != nil {
		view.Close()
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	r := &snapshotReader{ctx: d.ctx, view: view, header: h, checksum: crc32.New(castagnoli)}
	if d.snapshotRate != nil {
		if bytesPerSecond := d.snapshotRate(&h.Meta); bytesPerSecond > 0 {
			r.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), defaultPartSize)
		}
	}
	return &h.Meta, r, nil
}

// Create starts a snapshot. It is listed only once its writer is closed.
func (d *disk) Create(version raft.SnapshotVersion, index, term uint64, members raft.Configuration, membersIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	if version != 1 {
		return nil, fmt.Errorf("unsupported snapshot version %d; this program writes version 1", version)
	}
	id := fmt.Sprintf("%016x-%016x-%016x", term, index, time.Now().UnixNano())
	w := &snapshotWriter{disk: d, checksum: crc32.New(castagnoli)}
	w.header.Meta = raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: members, ConfigurationIndex: membersIndex}
	return w, nil
}

// snapshotWriter writes a snapshot in parts, so that it is never in memory as a whole.
type snapshotWriter struct {
	disk     *disk
	header   snapshotHeader
	checksum hash.Hash32
	buf      []byte
	parts    int
	finished bool
}

// ID returns the name of the snapshot.
func (w *snapshotWriter) ID() string { return w.header.Meta.ID }

// Write appends to the content.
func (w *snapshotWriter) Write(p []byte) (n int, err error) {
	w.checksum.Write(p)
	w.header.Meta.Size += int64(len(p))
	for n = len(p); len(p) > 0; {
		take := min(w.disk.partSize-len(w.buf), len(p))
		w.buf, p = append(w.buf, p[:take]...), p[take:]
		if len(w.buf) == w.disk.partSize {
			if err := w.flush(); err != nil {
				return 0, err
			}
		}
	}
	return n, nil
}

func (w *snapshotWriter) flush() error {
	if len(w.buf) == 0 {
		return nil
	}
	err := w.disk.db.Write(kv.Batch{{Kind: kv.Put, Key: key(keySnapshotPart, []byte(w.ID()), encodePart(w.parts)), Value: w.buf}})
	w.buf, w.parts = nil, w.parts+1
	return err
}

// Close makes the snapshot visible, and removes those beyond retainedSnapshots.
func (w *snapshotWriter) Close() error {
	if w.finished {
		return nil
	}
	w.finished = true
	w.header.Sum = w.checksum.Sum32()
	raw, err := json.Marshal(w.header)
	if err == nil {
		err = w.flush()
	}
	var list []*raft.SnapshotMeta
	if err == nil {
		list, err = w.disk.List()
	}
	if err != nil {
		return err
	}
	b := kv.Batch{{Kind: kv.Put, Key: key(keySnapshot, []byte(w.ID())), Value: raw}}
	for i, m := range list {
		if i >= retainedSnapshots-1 {
			b = append(b, kv.Op{Kind: kv.Delete, Key: key(keySnapshot, []byte(m.ID))})
			b = append(b, deletePrefix(keySnapshotPart, []byte(m.ID))...)
		}
	}
	return w.disk.db.Write(b)
}

// Cancel removes the parts that were written.
func (w *snapshotWriter) Cancel() error {
	if w.finished {
		return nil
	}
	w.finished = true
	return w.disk.db.Write(deletePrefix(keySnapshotPart, []byte(w.ID())))
}

// snapshotReader reads a snapshot as of the view under which it was opened.
type snapshotReader struct {
	ctx      context.Context
	view     *kv.View
	header   snapshotHeader
	checksum hash.Hash32
	limiter  *rate.Limiter // nil for no limit
	current  bytes.Reader  // the unread rest of the last part that was loaded
	part     int
	offset   int64
}

// Read returns the content, and an error instead of io.EOF if the checksum does not match.
func (r *snapshotReader) Read(p []byte) (n int, err error) {
	if r.offset == r.header.Meta.Size {
		if r.checksum.Sum32() != r.header.Sum {
			return 0, fmt.Errorf("snapshot %s: checksum mismatch", r.header.Meta.ID)
		}
		return 0, io.EOF
	}
	if r.current.Len() == 0 {
		data, err := r.view.Get(key(keySnapshotPart, []byte(r.header.Meta.ID), encodePart(r.part)))
		if err != nil {
			return 0, fmt.Errorf("snapshot %s, part %d: %w", r.header.Meta.ID, r.part, err)
		}
		if r.limiter != nil {
			if err := r.limiter.WaitN(r.ctx, len(data)); err != nil { // a part is never larger than the limiter's burst
				return 0, err
			}
		}
		r.current.Reset(data)
		r.part++
	}
	n, err = r.current.Read(p)
	r.checksum.Write(p[:n])
	r.offset += int64(n)
	return n, err
}

// Close releases the view.
func (r *snapshotReader) Close() error {
	r.view.Close()
	return nil
}

// snapshotHeader is the stored value of a snapshot's key.
type snapshotHeader struct {
	Meta raft.SnapshotMeta
	Sum  uint32 // CRC-32C of its content
}

func decodeSnapshotHeader(raw []byte) (h snapshotHeader, err error) {
	if err = json.Unmarshal(raw, &h); err != nil {
		err = fmt.Errorf("snapshot header: %w", err)
	}
	return h, err
}

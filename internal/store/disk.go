package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/kv"
)

const (
	diskFormat      = 1
	defaultPartSize = 256 << 10 // bytes of a value that is kept in parts, and of a part
	batchParts      = 8         // parts in one batch of internal/kv, about
)

// disk keeps all that lasts of one member. Its methods may be called from any goroutine.
type disk struct {
	db           *kv.DB
	partSize     int // bytes: partSize, or less to try it
	ctx          context.Context
	stop         context.CancelFunc                       // ends who waits for room or for the pace
	snapshotRate func(*raft.SnapshotMeta) (bytes float64) // a second, at which a snapshot is read now; 0 for no bound
	raftRunning  atomic.Bool                              // under the library, which can't go on where a figure is not kept

	mu          sync.Mutex
	first, last uint64 // ends of the log; 0 for an empty one
	applied     uint64
	generation  uint64
	entrySizes  entrySizes
}

// openDisk opens a member's folder. What an earlier release kept there is taken over first.
func openDisk(dir string, log *slog.Logger) (*disk, error) {
	folder := filepath.Join(dir, "kv")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	cfg := kv.Config{
		Report: func(c kv.Cut) {
			log.Warn("store ended in the middle of a write; what was not acknowledged is cut off", "file", c.File, "offset", c.Offset, "bytes", c.Bytes)
		},
		OnFailure: func(err error) { log.Error("store can't be written", "cause", err) },
	}
	var db *kv.DB
	err := error(kv.ErrLocked)
	for end := time.Now().Add(time.Second); errors.Is(err, kv.ErrLocked) && time.Now().Before(end); { // the process before may be about to end
		if db, err = kv.Open(kv.Dir(folder), cfg); errors.Is(err, kv.ErrLocked) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	if err != nil {
		return nil, err
	}
	d, err := newDisk(db, func(d *disk) error { return migrateBolt(d, dir) })
	if err == nil {
		if err = renameMigrated(dir); err != nil {
			err = errors.Join(err, d.Close())
		}
	}
	return d, err
}

// newDisk begins with what a store holds. takeOver fills one that is new.
func newDisk(db *kv.DB, takeOver func(*disk) error) (*disk, error) {
	d := &disk{db: db, partSize: defaultPartSize, generation: 1}
	d.ctx, d.stop = context.WithCancel(context.Background())
	if err := d.load(takeOver); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

func (d *disk) load(takeOver func(*disk) error) error {
	raw, err := d.db.Get([]byte{keyFormat})
	switch {
	case errors.Is(err, kv.ErrNotFound):
		// New, or its taking over was cut short: from the beginning.
		if err := d.db.Write(kv.Batch{{Kind: kv.DeleteRange, Key: []byte{0}, Value: []byte{255}}}); err != nil {
			return err
		}
		if err := takeOver(d); err != nil {
			return err
		}
		if err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: []byte{keyFormat}, Value: []byte{diskFormat}}}); err != nil {
			return err
		}
	case err != nil:
		return err
	case len(raw) != 1 || raw[0] != diskFormat:
		return fmt.Errorf("it is of form %v; this program knows %d: start the newer one", raw, diskFormat)
	}
	if raw, err = d.db.Get([]byte{keyApplied}); err == nil && len(raw) == 16 {
		d.applied, d.generation = binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])
	} else if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if err := d.removeLeftovers(); err != nil {
		return err
	}
	return d.measureLog()
}

// Close ends it.
func (d *disk) Close() error {
	d.stop()
	return d.db.Close()
}

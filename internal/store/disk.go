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
	defaultPartSize = 256 << 10 // bytes up to which a value is stored inline, and of a part of a larger one
	batchParts      = 8         // parts in one batch of internal/kv, about

	lockTimeout      = time.Second           // how long openDisk waits for an earlier process to end
	lockPollInterval = 20 * time.Millisecond // between its attempts
)

// disk keeps what one member has on its disk, in one internal/kv store: its log, raft's stable values, the values that it has
// applied, and its snapshots. docs/formats/store.md describes it. Its methods may be called from any goroutine.
type disk struct {
	db           *kv.DB
	partSize     int // bytes; defaultPartSize except in tests
	ctx          context.Context
	stop         context.CancelFunc                                // ends waits for space and for the rate of a snapshot
	snapshotRate func(*raft.SnapshotMeta) (bytesPerSecond float64) // the bound on reading a snapshot now; 0 for none
	raftRunning  atomic.Bool                                       // raft runs on this disk, and would end the process where Set fails

	// mu guards the fields below.
	mu          sync.Mutex
	first, last uint64 // ends of the log; 0 for an empty one
	applied     uint64 // the index up to which values are applied
	generation  uint64 // of the applied values
	entrySizes  entrySizes
}

// openDisk opens a member's folder. What an earlier release stored there is migrated first.
func openDisk(dir string, log *slog.Logger) (*disk, error) {
	folder := filepath.Join(dir, "kv")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	db, err := openLocked(kv.Dir(folder), kv.Config{
		Report: func(c kv.Cut) {
			log.Warn("store recovered from an interrupted write; unacknowledged bytes are cut off", "file", c.File, "offset", c.Offset, "bytes", c.Bytes)
		},
		OnFailure: func(err error) { log.Error("store can't be written", "cause", err) },
	})
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

// openLocked opens a store; while another process has it open, which may be about to end, it tries again for lockTimeout.
func openLocked(folder kv.Dir, cfg kv.Config) (db *kv.DB, err error) {
	err = kv.ErrLocked
	for end := time.Now().Add(lockTimeout); errors.Is(err, kv.ErrLocked) && time.Now().Before(end); {
		if db, err = kv.Open(folder, cfg); errors.Is(err, kv.ErrLocked) {
			time.Sleep(lockPollInterval)
		}
	}
	return db, err
}

// newDisk reads the state of a store. migrate fills a new one.
func newDisk(db *kv.DB, migrate func(*disk) error) (*disk, error) {
	d := &disk{db: db, partSize: defaultPartSize, generation: 1}
	d.ctx, d.stop = context.WithCancel(context.Background())
	if err := d.load(migrate); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// load reads the applied index and the ends of the log, after a migration and the removal of leftovers.
func (d *disk) load(migrate func(*disk) error) error {
	if err := d.checkFormat(migrate); err != nil {
		return err
	}
	raw, err := d.db.Get([]byte{keyApplied})
	if err == nil && len(raw) == 16 {
		d.applied, d.generation = binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])
	} else if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	if err := d.removeLeftovers(); err != nil {
		return err
	}
	return d.measureLog()
}

// checkFormat returns an error for a newer format. A store without one is new, or its migration was interrupted: it is cleared
// and migrated from the beginning.
func (d *disk) checkFormat(migrate func(*disk) error) error {
	raw, err := d.db.Get([]byte{keyFormat})
	switch {
	case errors.Is(err, kv.ErrNotFound):
		if err := d.db.Write(kv.Batch{{Kind: kv.DeleteRange, Key: []byte{0}, Value: []byte{255}}}); err != nil {
			return err
		}
		if err := migrate(d); err != nil {
			return err
		}
		return d.db.Write(kv.Batch{{Kind: kv.Put, Key: []byte{keyFormat}, Value: []byte{diskFormat}}})
	case err != nil:
		return err
	case len(raw) != 1 || raw[0] != diskFormat:
		return fmt.Errorf("it is of form %v; this program knows %d: start the newer one", raw, diskFormat)
	}
	return nil
}

// Close ends the waits and closes the store.
func (d *disk) Close() error {
	d.stop()
	return d.db.Close()
}

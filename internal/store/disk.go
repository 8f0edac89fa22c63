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
	defaultPartSize = 256 << 10 // bytes up to which a value is stored inline, and size of the parts of a larger one
	batchParts      = 8         // approximate number of parts in one batch of internal/kv

	lockTimeout      = time.Second           // how long openDisk waits for an earlier process to release the lock
	lockPollInterval = 20 * time.Millisecond // between its attempts
)

// disk holds the durable state of one member in an internal/kv store: its log, raft's stable values, the values that it has
// applied, and its snapshots. docs/formats/store.md describes the format. Its methods may be called from any goroutine.
type disk struct {
	db           *kv.DB
	partSize     int // bytes; defaultPartSize except in tests
	ctx          context.Context
	stop         context.CancelFunc                                // ends waits for disk space and for the rate limit of a snapshot
	snapshotRate func(*raft.SnapshotMeta) (bytesPerSecond float64) // the current limit on reading a snapshot; 0 for none
	raftRunning  atomic.Bool                                       // raft runs on this disk, and would end the process if Set failed

	// mu guards the fields below.
	mu          sync.Mutex
	first, last uint64 // ends of the log; 0 for an empty one
	applied     uint64 // the index up to which values are applied
	generation  uint64 // generation of the applied values
	entrySizes  entrySizes
}

// openDisk opens a member's directory, and migrates the format of an earlier release.
func openDisk(dir string, log *slog.Logger) (*disk, error) {
	kvDir := filepath.Join(dir, "kv")
	if err := os.MkdirAll(kvDir, 0o700); err != nil {
		return nil, err
	}
	db, err := openRetryingLock(kv.Dir(kvDir), kv.Config{
		OnTornTail: func(c kv.TornTail) {
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

// openRetryingLock opens a store. It retries for lockTimeout while another process, which may be about to end, has the store open.
func openRetryingLock(dir kv.Dir, cfg kv.Config) (db *kv.DB, err error) {
	err = kv.ErrLocked
	for end := time.Now().Add(lockTimeout); errors.Is(err, kv.ErrLocked) && time.Now().Before(end); {
		if db, err = kv.Open(dir, cfg); errors.Is(err, kv.ErrLocked) {
			time.Sleep(lockPollInterval)
		}
	}
	return db, err
}

// newDisk loads the state of a store. migrate fills a new one.
func newDisk(db *kv.DB, migrate func(*disk) error) (*disk, error) {
	d := &disk{db: db, partSize: defaultPartSize, generation: 1}
	d.ctx, d.stop = context.WithCancel(context.Background())
	if err := d.load(migrate); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// load migrates an older format, removes leftovers, and reads the applied index and the ends of the log.
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

// checkFormat returns an error for a newer format. A store without a format is new, or its migration was interrupted: it is
// cleared and migrated from the beginning.
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
		return fmt.Errorf("unsupported format %v; this program reads format %d: start the newer release", raw, diskFormat)
	}
	return nil
}

// Close ends the waits and closes the store.
func (d *disk) Close() error {
	d.stop()
	return d.db.Close()
}

package store

import (
	"encoding/binary"
	"errors"
	"runtime"
	"time"

	"gullfall/internal/kv"
)

// stableRetryInterval is the pause before a write is tried again on a full disk.
const stableRetryInterval = 100 * time.Millisecond

// Set stores a value of raft, such as its term or vote. Raft ends the process if that fails, so Set waits for space while the disk
// is full, and ends raft's goroutine once the store is closed. Meanwhile the member neither votes nor leads, which is safe. With
// Get, SetUint64 and GetUint64 it implements raft.StableStore.
func (d *disk) Set(name, value []byte) error {
	for {
		err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(keyStable, name), Value: value}})
		if !errors.Is(err, kv.ErrFull) || !d.raftRunning.Load() {
			return err
		}
		select {
		case <-d.ctx.Done():
			runtime.Goexit()
		case <-time.After(stableRetryInterval):
		}
	}
}

// Get returns a value of raft, nil for none.
func (d *disk) Get(name []byte) ([]byte, error) {
	value, err := d.db.Get(key(keyStable, name))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	return value, err
}

// SetUint64 stores a number.
func (d *disk) SetUint64(name []byte, value uint64) error { return d.Set(name, encodeIndex(value)) }

// GetUint64 returns a number, 0 for none.
func (d *disk) GetUint64(name []byte) (uint64, error) {
	value, err := d.Get(name)
	if err != nil || len(value) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(value), nil
}

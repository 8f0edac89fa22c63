package store

import (
	"encoding/binary"
	"errors"
	"runtime"
	"time"

	"gullfall/internal/kv"
)

// Set keeps a figure of the member. The library ends the process where that fails; so while the disk is full it waits for room, and
// once the store ends, its goroutine does. A member that neither votes nor leads meanwhile does no harm.
func (d *disk) Set(name, value []byte) error {
	for {
		err := d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(keyStable, name), Value: value}})
		if !errors.Is(err, kv.ErrFull) || !d.raftRunning.Load() {
			return err
		}
		select {
		case <-d.ctx.Done():
			runtime.Goexit()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// Get reads a figure of the member, none for one that is not kept.
func (d *disk) Get(name []byte) ([]byte, error) {
	value, err := d.db.Get(key(keyStable, name))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	return value, err
}

// SetUint64 keeps a number.
func (d *disk) SetUint64(name []byte, value uint64) error { return d.Set(name, encodeIndex(value)) }

// GetUint64 reads a number, 0 for one that is not kept.
func (d *disk) GetUint64(name []byte) (uint64, error) {
	value, err := d.Get(name)
	if err != nil || len(value) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(value), nil
}

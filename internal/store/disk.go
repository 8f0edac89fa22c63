package store

// This file owns the file in which one member keeps its log, its votes and what it has applied. It must never go back: what a
// snapshot or a replayed log holds that is older than what was applied before is not written over it.

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
)

// disk keeps the log, the member's votes and the applied values in one file.
type disk struct{ db *bbolt.DB }

var (
	bucketLog    = []byte("log")
	bucketStable = []byte("stable")
	bucketValues = []byte("values")
)

func openDisk(dir string) (*disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, "store.db"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, err
	}
	return &disk{db}, db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketLog, bucketStable, bucketValues} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
}

// applied is the key in the bucket of figures under which the index of the values stands.
var applied = []byte("applied")

// read returns the values as they were applied last, and up to which index.
func (d *disk) read() (values map[string][]byte, index uint64, err error) {
	values = map[string][]byte{}
	return values, index, d.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketStable).Get(applied); len(raw) == 8 {
			index = binary.BigEndian.Uint64(raw)
		}
		return tx.Bucket(bucketValues).ForEach(func(k, v []byte) error {
			values[string(k)] = bytes.Clone(v)
			return nil
		})
	})
}

// write keeps values that changed, nil for those that went, up to an index; what it holds already up to there stays. Where
// whole is set they are all that there is.
func (d *disk) write(values map[string][]byte, index uint64, whole bool) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketStable).Get(applied); len(raw) == 8 && binary.BigEndian.Uint64(raw) >= index {
			return nil
		}
		bucket := tx.Bucket(bucketValues)
		if whole {
			if err := tx.DeleteBucket(bucketValues); err != nil {
				return err
			}
			var err error
			if bucket, err = tx.CreateBucket(bucketValues); err != nil {
				return err
			}
		}
		for k, v := range values {
			var err error
			if v == nil {
				err = bucket.Delete([]byte(k))
			} else {
				err = bucket.Put([]byte(k), v)
			}
			if err != nil {
				return err
			}
		}
		return tx.Bucket(bucketStable).Put(applied, place(index))
	})
}

func place(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// end reads the index at one end of the log, 0 for an empty one.
func (d *disk) end(seek func(*bbolt.Cursor) ([]byte, []byte)) (index uint64, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		if k, _ := seek(tx.Bucket(bucketLog).Cursor()); k != nil {
			index = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return index, err
}

// FirstIndex and the methods below are the library's LogStore and StableStore.
func (d *disk) FirstIndex() (uint64, error) { return d.end((*bbolt.Cursor).First) }

// LastIndex is the index of the latest entry.
func (d *disk) LastIndex() (uint64, error) { return d.end((*bbolt.Cursor).Last) }

// GetLog reads an entry.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	return d.db.View(func(tx *bbolt.Tx) error {
		data := tx.Bucket(bucketLog).Get(place(index))
		if data == nil {
			return raft.ErrLogNotFound
		}
		return json.Unmarshal(data, l)
	})
}

// StoreLog writes an entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		for _, l := range logs {
			data, err := json.Marshal(l)
			if err == nil {
				err = tx.Bucket(bucketLog).Put(place(l.Index), data)
			}
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// DeleteRange removes entries, both ends included.
func (d *disk) DeleteRange(first, last uint64) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		for i := first; i <= last; i++ {
			if err := tx.Bucket(bucketLog).Delete(place(i)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Set keeps a figure of the member.
func (d *disk) Set(key, value []byte) error {
	return d.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketStable).Put(key, value) })
}

// Get reads a figure of the member, none for one that is not kept.
func (d *disk) Get(key []byte) (value []byte, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		value = bytes.Clone(tx.Bucket(bucketStable).Get(key))
		return nil
	})
	return value, err
}

// SetUint64 keeps a number.
func (d *disk) SetUint64(key []byte, value uint64) error { return d.Set(key, place(value)) }

// GetUint64 reads a number, 0 for one that is not kept.
func (d *disk) GetUint64(key []byte) (uint64, error) {
	value, err := d.Get(key)
	if err != nil || len(value) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(value), nil
}

package store

// This file owns the taking over of what releases before internal/kv kept: one bbolt file and a folder of snapshots. It must never
// change them before all is taken over, and leaves them beside it under another name: started anew, the earlier release would vote
// with what it knew then.

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"gullfall/internal/kv"
)

// takenOver is added to the names of what was taken over.
const migratedSuffix = ".taken-over"

// takeOver fills a new disk with what an earlier release kept in a folder, if there is anything.
func migrateBolt(d *disk, dir string) error {
	name := filepath.Join(dir, "store.db")
	if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	db, err := bbolt.Open(name, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return fmt.Errorf("%s is to be taken over: %w; end the earlier release first", name, err)
	}
	defer db.Close()
	if err := migrateBoltFile(d, db); err != nil {
		return fmt.Errorf("%s is to be taken over: %w", name, err)
	}
	files, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	list, err := files.List()
	if err == nil && len(list) > 0 {
		err = migrateSnapshot(d, files, list[0])
	}
	if err != nil {
		return fmt.Errorf("snapshots of %s are to be taken over: %w", dir, err)
	}
	return nil
}

// putAside renames what was taken over.
func renameMigrated(dir string) error {
	for _, name := range []string{"store.db", "snapshots"} {
		from := filepath.Join(dir, name)
		if err := os.Rename(from, from+migratedSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// takeFile takes the log, the figures and the values.
func migrateBoltFile(d *disk, db *bbolt.DB) error {
	return db.View(func(tx *bbolt.Tx) error {
		each := func(name string, f func(k, v []byte) error) error {
			if b := tx.Bucket([]byte(name)); b != nil {
				return b.ForEach(f)
			}
			return nil
		}
		index, values := uint64(0), map[string][]byte{}
		return errors.Join(each("stable", func(k, v []byte) error {
			if string(k) == "applied" && len(v) == 8 {
				index = binary.BigEndian.Uint64(v)
				return nil
			}
			return d.db.Write(kv.Batch{{Kind: kv.Put, Key: key(keyStable, k), Value: v}})
		}), each("log", func(k, v []byte) error {
			var l raft.Log
			if err := json.Unmarshal(v, &l); err != nil {
				return fmt.Errorf("entry %x of its log: %w", k, err)
			}
			return d.StoreLog(&l)
		}), each("values", func(k, v []byte) error {
			values[string(k)] = v
			return nil
		}), d.writeApplied(values, index, true))
	})
}

// takeSnapshot takes one snapshot.
func migrateSnapshot(d *disk, files raft.SnapshotStore, m *raft.SnapshotMeta) error {
	_, in, err := files.Open(m.ID)
	if err != nil {
		return err
	}
	defer in.Close()
	out, err := d.Create(m.Version, m.Index, m.Term, m.Configuration, m.ConfigurationIndex, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(out, in); err != nil {
		return err
	}
	return out.Close()
}

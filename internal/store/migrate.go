package store

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

// migratedSuffix is added to the names of the older format's files once they are migrated. They are kept, but an earlier release
// must not open them again: it would vote with an outdated state.
const migratedSuffix = ".taken-over"

// migrateBolt fills a new disk from the format of earlier releases, a bbolt file and a directory of snapshots, if dir has them. It
// does not change them.
func migrateBolt(d *disk, dir string) error {
	name := filepath.Join(dir, "store.db")
	if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	db, err := bbolt.Open(name, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return fmt.Errorf("migrate %s: %w; stop the earlier release first", name, err)
	}
	defer func() { _ = db.Close() }() // it was only read
	if err := migrateBoltFile(d, db); err != nil {
		return fmt.Errorf("migrate %s: %w", name, err)
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
		return fmt.Errorf("migrate the snapshots in %s: %w", dir, err)
	}
	return nil
}

// renameMigrated renames the files that were migrated.
func renameMigrated(dir string) error {
	for _, name := range []string{"store.db", "snapshots"} {
		from := filepath.Join(dir, name)
		if err := os.Rename(from, from+migratedSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}

// migrateBoltFile copies the log, raft's stable values and the applied values.
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
		}), d.replaceAll(values, index))
	})
}

// migrateSnapshot copies one snapshot.
func migrateSnapshot(d *disk, files raft.SnapshotStore, m *raft.SnapshotMeta) error {
	_, in, err := files.Open(m.ID)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	out, err := d.Create(m.Version, m.Index, m.Term, m.Configuration, m.ConfigurationIndex, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(out, in); err != nil {
		return err
	}
	return out.Close()
}

package kv

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// TestOpensEarlierStore opens a directory that an earlier version wrote, with tables, a manifest and a log, and checks every entry of
// it, including deleted ones and a deleted range.
func TestOpensEarlierStore(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "folder"))); err != nil {
		t.Fatal(err)
	}
	db, err := Open(Dir(dir), Config{MemoryBytes: 16 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { db.Close() })
	if runs := db.Stats().Runs; runs == 0 {
		t.Error("no table was read")
	}
	view := db.Snapshot()
	t.Cleanup(view.Close)
	found := map[string]string{}
	err = view.Each(nil, func(key, value []byte) bool {
		found[string(key)] = string(value)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	want := folderContent()
	if len(found) != len(want) {
		t.Errorf("%d keys, want %d", len(found), len(want))
	}
	for key, value := range want {
		if found[key] != value {
			t.Errorf("%s is %q, want %q", key, found[key], value)
		}
	}
}

// folderContent returns the expected content of the directory: of 500 keys that were written twice, every seventh was deleted, and so
// was the range from 200 to 249.
func folderContent() map[string]string {
	content := map[string]string{}
	for i := range 500 {
		if i%7 != 0 && (i < 200 || i >= 250) {
			content[folderKey(i)] = fmt.Sprint("second ", i)
		}
	}
	return content
}

func folderKey(i int) string { return fmt.Sprintf("key/%04d", i) }

package store

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gullfall/internal/config"
	"gullfall/internal/lab/golden"
	"gullfall/internal/statemachine"
)

// TestCallAndSnapshotFormats checks that the calls between members, their replies and the header of a snapshot keep their JSON keys.
func TestCallAndSnapshotFormats(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"call":          golden.Filled[call](),
		"reply":         golden.Filled[reply](),
		"snapshot head": golden.Filled[snapshotHeader](),
	})
}

// TestOpensEarlierStore opens a member's directory that an earlier version wrote, with a log, a snapshot and tables, and checks
// every value in it.
func TestOpensEarlierStore(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "member"))); err != nil {
		t.Fatal(err)
	}
	s := open(t, config.Store{Directory: dir}, "n0")
	defer s.Close()
	waitForValue(t, s, "last", "written last")
	if got := s.Get("large"); !bytes.Equal(got, bytes.Repeat([]byte("large value "), 2_000)) {
		t.Errorf("the large value has %d bytes", len(got))
	}
	for i := range 300 {
		key, want := memberKey(i), memberValue(i)
		if got := string(s.Get(key)); got != want {
			t.Errorf("%s is %q, want %q", key, got, want)
		}
	}
	for end := time.Now().Add(30 * time.Second); !holdsDuty(s); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the state lacks the duty that n0 held")
		}
	}
}

// holdsDuty reports whether the state has the lease that was granted before the directory was saved.
func holdsDuty(s *Store) (held bool) {
	s.View(func(state *statemachine.State) {
		for _, grant := range state.Duties() {
			held = held || grant.Duty == "maintenance" && grant.Holder == "n0" && grant.Token == 1
		}
	})
	return held
}

func memberKey(i int) string { return fmt.Sprint("key/", i%100) }

// memberValue returns the value of memberKey(i) in the saved directory: each key was written three times.
func memberValue(i int) string { return strings.Repeat(fmt.Sprint("value ", i%100+200, " "), 50) }

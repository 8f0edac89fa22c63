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

// TestTalkForms shows that what members ask each other, and the head of a snapshot, keep their keys.
func TestTalkForms(t *testing.T) {
	golden.JSON(t, "forms.json", map[string]any{
		"call":          golden.Filled[call](),
		"reply":         golden.Filled[reply](),
		"snapshot head": golden.Filled[snapshotHead](),
	})
}

// TestOpensEarlierStore opens a member's folder as an earlier version left it, with a log, a snapshot and tables, and finds
// every value in it.
func TestOpensEarlierStore(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "member"))); err != nil {
		t.Fatal(err)
	}
	s := open(t, config.Store{Directory: dir}, "n0")
	defer s.Close()
	until(t, s, "last", "written last")
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
			t.Fatal("the duty that n0 held is not known")
		}
	}
}

// holdsDuty tells whether the state knows the lease that was granted before the folder was left.
func holdsDuty(s *Store) (held bool) {
	s.View(func(state *statemachine.State) {
		for _, grant := range state.Duties() {
			held = held || grant.Duty == "maintenance" && grant.Holder == "n0" && grant.Token == 1
		}
	})
	return held
}

func memberKey(i int) string { return fmt.Sprint("key/", i%100) }

// memberValue is what the folder's key of i holds: each key was written three times.
func memberValue(i int) string { return strings.Repeat(fmt.Sprint("value ", i%100+200, " "), 50) }

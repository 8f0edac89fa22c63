package kv_test

// The store against a map: whatever is written, deleted, snapshotted, flushed, merged and opened again, reads agree; and
// against a disk whose power goes, which fills, or on which an operation fails.

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"gullfall/internal/kv"
	"gullfall/internal/lab/disk"
)

var tiny = kv.Config{MemoryBytes: 2000, SegmentBytes: 1500, MergeRate: 1 << 30}

// model is a map, and what a batch does to it.
type model map[string]string

func (m model) apply(b kv.Batch) model {
	n := model{}
	for k, v := range m {
		n[k] = v
	}
	for _, op := range b {
		switch op.Kind {
		case kv.Put:
			n[string(op.Key)] = string(op.Value)
		case kv.Delete:
			delete(n, string(op.Key))
		case kv.DeleteRange:
			for k := range n {
				if k >= string(op.Key) && k < string(op.Value) {
					delete(n, k)
				}
			}
		}
	}
	return n
}

// read is all that a view holds below a prefix.
func read(v *kv.View, prefix string) (model, []string, error) {
	got, order := model{}, []string{}
	err := v.Each([]byte(prefix), func(k, value []byte) bool {
		got[string(k)] = string(value)
		order = append(order, string(k))
		return true
	})
	return got, order, err
}

func agrees(t interface{ Fatalf(string, ...any) }, v *kv.View, want model) {
	got, order, err := read(v, "")
	if err != nil || !slices.IsSorted(order) || len(order) != len(got) {
		t.Fatalf("%v, keys in order %v", err, order)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("as of %d (-want +got)\n%s", v.Seq(), diff)
	}
}

func key(n int) []byte { return fmt.Appendf(nil, "%c/%02d", 'a'+n%3, n) }

// TestAgainstMap: a random history.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk.New()
		db, err := kv.Open(d, tiny)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { db.Close() }()
		want := model{}
		type snap struct {
			v *kv.View
			m model
		}
		var snaps []snap
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "write", "write", "big", "snapshot", "check", "drop", "reopen", "quiet"}).Draw(t, "what") {
			case "write", "big":
				var b kv.Batch
				for range rapid.IntRange(1, 4).Draw(t, "ops") {
					k := key(rapid.IntRange(0, 40).Draw(t, "key"))
					switch rapid.IntRange(0, 5).Draw(t, "op") {
					case 0:
						b = append(b, kv.Op{Kind: kv.Delete, Key: k})
					case 1:
						to := key(rapid.IntRange(0, 40).Draw(t, "to"))
						b = append(b, kv.Op{Kind: kv.DeleteRange, Key: k, Value: to})
					default:
						b = append(b, kv.Op{Kind: kv.Put, Key: k, Value: []byte(strings.Repeat("v", rapid.IntRange(0, 300).Draw(t, "length")))})
					}
				}
				if err := db.Write(b); err != nil {
					t.Fatal(err)
				}
				want = want.apply(b)
			case "snapshot":
				snaps = append(snaps, snap{db.Snapshot(), want})
			case "check":
				for _, s := range snaps {
					agrees(t, s.v, s.m)
				}
				k := key(rapid.IntRange(0, 40).Draw(t, "key"))
				got, err := db.Get(k)
				value, there := want[string(k)]
				if there != (err == nil) || string(got) != value {
					t.Fatalf("%s is %q, %v, want %q, %v", k, got, err, value, there)
				}
				v := db.Snapshot()
				got2, _, _ := read(v, "b/")
				v.Close()
				for k := range want {
					if _, in := got2[k]; in != strings.HasPrefix(k, "b/") {
						t.Fatalf("prefix b/: %v", got2)
					}
				}
			case "drop":
				if len(snaps) > 0 {
					snaps[0].v.Close()
					snaps = snaps[1:]
				}
			case "reopen":
				for _, s := range snaps {
					s.v.Close()
				}
				snaps = nil
				if err := db.Close(); err != nil {
					t.Fatal(err)
				}
				if db, err = kv.Open(d, tiny); err != nil {
					t.Fatal(err)
				}
			case "quiet":
				if err := db.WaitIdle(); err != nil {
					t.Fatal(err)
				}
			}
			v := db.Snapshot()
			agrees(t, v, want)
			v.Close()
		}
		for _, s := range snaps {
			agrees(t, s.v, s.m)
			s.v.Close()
		}
	})
}

// change is the n-th batch of a history that flushes and merges.
func change(n int) kv.Batch {
	b := kv.Batch{{Kind: kv.Put, Key: key(n % 37), Value: []byte(strings.Repeat(fmt.Sprint(n), 30))}}
	if n%11 == 0 {
		b = append(b, kv.Op{Kind: kv.DeleteRange, Key: key(n % 7), Value: key(n%7 + 9)})
	}
	if n%5 == 0 {
		b = append(b, kv.Op{Kind: kv.Delete, Key: key(n % 13)})
	}
	return b
}

// history is what the store must hold after each of n batches.
func history(n int) []model {
	list := []model{{}}
	for i := 1; i <= n; i++ {
		list = append(list, list[i-1].apply(change(i)))
	}
	return list
}

// written is a disk with a store of n batches, all that was due done and closed, and how it stood then.
func written(t *testing.T, n int) (*disk.Disk, kv.Stats) {
	t.Helper()
	d := disk.New()
	db, err := kv.Open(d, tiny)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= n; i++ {
		if err := db.Write(change(i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := db.WaitIdle(); err != nil {
		t.Fatal(err)
	}
	s := db.Stats()
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	return d, s
}

// TestCrashOfStore: the power goes at every operation of writing, flushing, merging and trimming. What is found is the
// state after some number of batches, none that was acknowledged missing; and it can be written on.
func TestCrashOfStore(t *testing.T) {
	const batches = 120
	states := history(batches + 5)
	d, s := written(t, batches)
	if s.Merged == 0 || s.Runs > 8 {
		t.Fatalf("no merge in this history: %+v", s)
	}
	total, _ := d.Ops()
	found := 0
	for at := 1; at <= total; at += 1 + at/150 {
		chance := rand.New(rand.NewPCG(uint64(at), 3))
		d := disk.New()
		d.FailAt(at, errors.New("power goes"))
		acked := 0
		if db, err := kv.Open(d, tiny); err == nil {
			for n := 1; n <= batches; n++ {
				if db.Write(change(n)) != nil {
					break
				}
				acked = n
			}
			c := d.Crash(chance)
			db.Close()
			d = c
		} else {
			d = d.Crash(chance)
		}
		db, err := kv.Open(d, tiny)
		if err != nil {
			t.Fatalf("operation %d of %d, %d acknowledged: %v\n%s", at, total, acked, err, strings.Join(d.Log(), "\n"))
		}
		v := db.Snapshot()
		n := int(v.Seq())
		if n < acked || n > acked+1 {
			t.Fatalf("operation %d: %d batches, %d were acknowledged", at, n, acked)
		}
		agrees(t, v, states[n])
		v.Close()
		for i := n + 1; i <= n+3; i++ {
			if err := db.Write(change(i)); err != nil {
				t.Fatalf("operation %d: written on: %v", at, err)
			}
		}
		v = db.Snapshot()
		agrees(t, v, states[n+3])
		v.Close()
		db.Close()
		found++
	}
	t.Logf("%d states of %d operations", found, total)
}

// TestBitFlipInStore: a bit flipped in any file is told, or costs a torn tail; a value that was spoilt is never read.
func TestBitFlipInStore(t *testing.T) {
	const batches = 100
	states := history(batches)
	d, _ := written(t, batches)
	chance := rand.New(rand.NewPCG(9, 9))
	names, _ := d.List()
	told := 0
	for _, name := range names {
		whole := d.Get(name)
		for at := 0; at < len(whole); at += 1 + chance.IntN(5) {
			bad := slices.Clone(whole)
			bad[at] ^= 1 << chance.IntN(8)
			c := d.Clone()
			c.Put(name, bad)
			db, err := kv.Open(c, tiny)
			if err != nil {
				told++
				continue
			}
			v := db.Snapshot()
			got, _, err := read(v, "")
			if n := int(v.Seq()); err != nil {
				told++
			} else if diff := cmp.Diff(states[n], got); diff != "" {
				t.Fatalf("%s, byte %d (-want +got)\n%s", name, at, diff)
			}
			v.Close()
			db.Close()
		}
	}
	if told == 0 {
		t.Error("no flip was told")
	}
}

// TestStoreOnFullDisk: reads go on while the disk is full, writes say why they do not, and both go on once there is room.
func TestStoreOnFullDisk(t *testing.T) {
	for room := int64(3000); room < 30_000; room += 911 {
		d := disk.New()
		d.SetFreeSpace(room)
		db, err := kv.Open(d, tiny)
		if err != nil {
			t.Fatal(err)
		}
		want, refused := model{}, 0
		for n := 1; n <= 200; n++ {
			err := db.Write(change(n))
			for errors.Is(err, kv.ErrFull) {
				refused++
				v := db.Snapshot()
				agrees(t, v, want)
				v.Close()
				d.SetFreeSpace(1 << 20)
				err = db.Write(change(n))
			}
			if err != nil {
				t.Fatalf("room %d, batch %d: %v", room, n, err)
			}
			want = want.apply(change(n))
		}
		d.SetFreeSpace(1 << 20)
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if err := db.WaitIdle(); err == nil {
				break
			} else if !errors.Is(err, kv.ErrFull) || time.Now().After(end) {
				t.Fatal(err)
			}
		}
		v := db.Snapshot()
		agrees(t, v, want)
		v.Close()
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestManyWriters: writers, readers and the background at once (run it with -race).
func TestManyWriters(t *testing.T) {
	db, err := kv.Open(kv.Dir(t.TempDir()), kv.Config{MemoryBytes: 20_000, SegmentBytes: 20_000})
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for n := range 200 {
				k := fmt.Appendf(nil, "%d/%03d", w, n)
				if err := db.Write(kv.Batch{{Kind: kv.Put, Key: k, Value: []byte(strings.Repeat("x", 100))}}); err != nil {
					t.Error(err)
				}
				if got, err := db.Get(k); err != nil || len(got) != 100 {
					t.Errorf("%s: %d bytes, %v", k, len(got), err)
				}
				if n%50 == 0 {
					v := db.Snapshot()
					if got, _, err := read(v, fmt.Sprint(w)); err != nil || len(got) != n+1 {
						t.Errorf("writer %d reads %d of %d: %v", w, len(got), n+1, err)
					}
					v.Close()
				}
			}
		})
	}
	wg.Wait()
	if err := db.WaitIdle(); err != nil {
		t.Fatal(err)
	}
	if s := db.Stats(); s.Runs == 0 || s.Runs > 10 {
		t.Errorf("%+v", s)
	}
	if err := db.Close(); err != nil {
		t.Error(err)
	}
}

// TestRunsOfEarlierProcessMerged: runs that were there when the store was opened are merged away later. A view reads them on until it is closed, and
// then, or at once where none is open, their files go. On files of the operating system: the stand-in reads on after a close.
func TestRunsOfEarlierProcessMerged(t *testing.T) {
	for _, viewed := range []bool{false, true} {
		dir := kv.Dir(t.TempDir())
		open := func() *kv.DB {
			t.Helper()
			db, err := kv.Open(dir, kv.Config{MemoryBytes: 4 << 10, MergeRate: 1 << 30})
			if err != nil {
				t.Fatal(err)
			}
			return db
		}
		write := func(db *kv.DB, from, to int) {
			t.Helper()
			for i := from; i < to; i++ {
				if err := db.Write(kv.Batch{{Kind: kv.Put, Key: fmt.Appendf(nil, "k%04d", i), Value: bytes.Repeat([]byte("v"), 100)}}); err != nil {
					t.Fatal(err)
				}
			}
		}
		db := open()
		write(db, 0, 400)
		if err := errors.Join(db.WaitIdle(), db.Close()); err != nil {
			t.Fatal(err)
		}
		db = open()
		view := db.Snapshot()
		if !viewed {
			view.Close()
		}
		write(db, 400, 2000)
		if err := db.WaitIdle(); err != nil {
			t.Fatal(err)
		}
		if viewed {
			n := 0
			if err := view.Each([]byte("k"), func(_, value []byte) bool { n++; return len(value) == 100 }); err != nil || n != 400 {
				t.Errorf("the view reads %d of 400 keys: %v", n, err)
			}
			view.Close()
		}
		names, err := dir.List()
		if err != nil {
			t.Fatal(err)
		}
		names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, ".table") })
		if runs := db.Stats().Runs; len(names) != runs {
			t.Errorf("viewed %v: tables %v are there, %d of them in use", viewed, names, runs)
		}
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}
}

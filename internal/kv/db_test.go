package kv_test

// Tests of the store against a map, with writes, deletions, snapshots, flushes, merges and reopening, and on a simulated disk that
// loses power, fills up, or flips bits.

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

// model is the expected content of a store.
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

// read returns all values that a view has under a prefix, and the keys in the order in which they were visited.
func read(v *kv.View, prefix string) (model, []string, error) {
	got, order := model{}, []string{}
	err := v.Each([]byte(prefix), func(k, value []byte) bool {
		got[string(k)] = string(value)
		order = append(order, string(k))
		return true
	})
	return got, order, err
}

// checkContent checks that a view holds exactly the content of a model, in the order of the keys.
func checkContent(t interface{ Fatalf(string, ...any) }, v *kv.View, want model) {
	got, order, err := read(v, "")
	if err != nil || !slices.IsSorted(order) || len(order) != len(got) {
		t.Fatalf("%v, keys in order %v", err, order)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("as of %d (-want +got)\n%s", v.Seq(), diff)
	}
}

func key(n int) []byte { return fmt.Appendf(nil, "%c/%02d", 'a'+n%3, n) }

// TestAgainstMap compares the store and its open views with maps over a random history.
func TestAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk.New()
		db, err := kv.Open(d, tiny)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { db.Close() }()
		want := model{}
		type snapshot struct {
			v *kv.View
			m model
		}
		var snapshots []snapshot
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "write", "write", "big", "snapshot", "check", "close snapshot", "reopen", "wait idle"}).Draw(t, "what") {
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
				snapshots = append(snapshots, snapshot{db.Snapshot(), want})
			case "check":
				for _, s := range snapshots {
					checkContent(t, s.v, s.m)
				}
				k := key(rapid.IntRange(0, 40).Draw(t, "key"))
				got, err := db.Get(k)
				value, exists := want[string(k)]
				if exists != (err == nil) || string(got) != value {
					t.Fatalf("%s is %q, %v, want %q, %v", k, got, err, value, exists)
				}
				v := db.Snapshot()
				got2, _, _ := read(v, "b/")
				v.Close()
				for k := range want {
					if _, in := got2[k]; in != strings.HasPrefix(k, "b/") {
						t.Fatalf("prefix b/: %v", got2)
					}
				}
			case "close snapshot":
				if len(snapshots) > 0 {
					snapshots[0].v.Close()
					snapshots = snapshots[1:]
				}
			case "reopen":
				for _, s := range snapshots {
					s.v.Close()
				}
				snapshots = nil
				if err := db.Close(); err != nil {
					t.Fatal(err)
				}
				if db, err = kv.Open(d, tiny); err != nil {
					t.Fatal(err)
				}
			case "wait idle":
				if err := db.WaitIdle(); err != nil {
					t.Fatal(err)
				}
			}
			v := db.Snapshot()
			checkContent(t, v, want)
			v.Close()
		}
		for _, s := range snapshots {
			checkContent(t, s.v, s.m)
			s.v.Close()
		}
	})
}

// change returns the n-th batch of a history that causes flushes and merges.
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

// history returns what the store must hold after each of the first n batches, beginning with none.
func history(n int) []model {
	list := []model{{}}
	for i := 1; i <= n; i++ {
		list = append(list, list[i-1].apply(change(i)))
	}
	return list
}

// writeBatches returns a disk with a closed store of n batches, whose flushes and merges are done, and the statistics of the store.
func writeBatches(t *testing.T, n int) (*disk.Disk, kv.Stats) {
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

// TestCrashOfStore loses power at the operations of writing, flushing, merging and trimming. The recovered state must be that after
// some number of batches, include all that were acknowledged, and accept further writes.
func TestCrashOfStore(t *testing.T) {
	const batches = 120
	states := history(batches + 5)
	d, s := writeBatches(t, batches)
	if s.Merged == 0 || s.Runs > 8 {
		t.Fatalf("no merge in this history: %+v", s)
	}
	total, _ := d.Ops()
	crashes := 0
	for at := 1; at <= total; at += 1 + at/150 {
		chance := rand.New(rand.NewPCG(uint64(at), 3))
		d := disk.New()
		d.FailAt(at, errors.New("power loss"))
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
			t.Fatalf("operation %d: %d batches recovered, %d were acknowledged", at, n, acked)
		}
		checkContent(t, v, states[n])
		v.Close()
		for i := n + 1; i <= n+3; i++ {
			if err := db.Write(change(i)); err != nil {
				t.Fatalf("operation %d: write after recovery: %v", at, err)
			}
		}
		v = db.Snapshot()
		checkContent(t, v, states[n+3])
		v.Close()
		db.Close()
		crashes++
	}
	t.Logf("power lost at %d of %d operations", crashes, total)
}

// TestBitFlipInStore flips bits in every file: each flip must be reported as an error or cost only a torn tail. A corrupt value
// must never be returned.
func TestBitFlipInStore(t *testing.T) {
	const batches = 100
	states := history(batches)
	d, _ := writeBatches(t, batches)
	chance := rand.New(rand.NewPCG(9, 9))
	names, _ := d.List()
	reported := 0
	for _, name := range names {
		whole := d.Get(name)
		for at := 0; at < len(whole); at += 1 + chance.IntN(5) {
			bad := slices.Clone(whole)
			bad[at] ^= 1 << chance.IntN(8)
			c := d.Clone()
			c.Put(name, bad)
			db, err := kv.Open(c, tiny)
			if err != nil {
				reported++
				continue
			}
			v := db.Snapshot()
			got, _, err := read(v, "")
			if n := int(v.Seq()); err != nil {
				reported++
			} else if diff := cmp.Diff(states[n], got); diff != "" {
				t.Fatalf("%s, byte %d (-want +got)\n%s", name, at, diff)
			}
			v.Close()
			db.Close()
		}
	}
	if reported == 0 {
		t.Error("no bit flip was reported")
	}
}

// TestStoreOnFullDisk checks that reads work while the disk is full, that writes return ErrFull, and that they succeed again once
// there is space.
func TestStoreOnFullDisk(t *testing.T) {
	for space := int64(3000); space < 30_000; space += 911 {
		d := disk.New()
		d.SetFreeSpace(space)
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
				checkContent(t, v, want)
				v.Close()
				d.SetFreeSpace(1 << 20)
				err = db.Write(change(n))
			}
			if err != nil {
				t.Fatalf("free space %d, batch %d: %v", space, n, err)
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
		checkContent(t, v, want)
		v.Close()
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestConcurrentWriters runs writers, readers, flushes and merges concurrently; the race detector makes it stricter.
func TestConcurrentWriters(t *testing.T) {
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

// TestRunsOfEarlierProcessMerged merges runs that existed when the store was opened. A view must be able to read them until it is
// closed; then, or at once without a view, their files must be removed. It uses files of the operating system, since the simulated
// disk allows reads after a close.
func TestRunsOfEarlierProcessMerged(t *testing.T) {
	for _, openView := range []bool{false, true} {
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
		if !openView {
			view.Close()
		}
		write(db, 400, 2000)
		if err := db.WaitIdle(); err != nil {
			t.Fatal(err)
		}
		if openView {
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
			t.Errorf("open view %v: the tables %v exist, %d are in use", openView, names, runs)
		}
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}
}

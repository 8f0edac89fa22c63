package kv_test

// Tests of the log on a simulated disk that truncates files, fails, fills up and flips bits. Acknowledged batches must be recovered,
// recovered batches must be complete, and corruption must be reported with the file and offset.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gullfall/internal/kv"
	"gullfall/internal/lab/disk"
)

// batch returns the n-th batch of a test; its content depends on n.
func batch(n int) kv.Batch {
	b := kv.Batch{{Kind: kv.Put, Key: fmt.Appendf(nil, "key %d", n%7), Value: []byte(strings.Repeat(fmt.Sprint(n, " "), 1+n%9))}}
	if n%3 == 0 {
		b = append(b, kv.Op{Kind: kv.Delete, Key: fmt.Appendf(nil, "key %d", n%5)})
	}
	if n%5 == 0 {
		b = append(b, kv.Op{Kind: kv.DeleteRange, Key: []byte("a"), Value: []byte("b")})
	}
	return b
}

var small = kv.Options{SegmentBytes: 300}

// fill opens a log, appends the batches from..to-1 and closes it.
func fill(t testing.TB, d *disk.Disk, from, to int) {
	t.Helper()
	l, _, err := kv.OpenLog(d, small)
	if err != nil {
		t.Fatal(err)
	}
	for n := from; n < to; n++ {
		if seq, err := l.Append(batch(n)); err != nil || seq != uint64(n) {
			t.Fatalf("batch %d: number %d, %v", n, seq, err)
		}
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// check opens a log and checks that it holds the batches 1..n, with n between least and most; it returns n.
func check(t testing.TB, d *disk.Disk, least, most int) int {
	t.Helper()
	l, entries, err := kv.OpenLog(d, small)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	defer l.Close()
	for i, e := range entries {
		if e.Seq != uint64(i+1) {
			t.Fatalf("entry %d has number %d", i, e.Seq)
		}
		if diff := cmp.Diff(batch(i+1), e.Batch); diff != "" {
			t.Fatalf("batch %d (-want +got)\n%s", i+1, diff)
		}
	}
	if len(entries) < least || len(entries) > most {
		t.Fatalf("%d batches, want %d to %d", len(entries), least, most)
	}
	return len(entries)
}

// segments returns the names of the log's files, in order.
func segments(d *disk.Disk) (names []string) {
	all, _ := d.List()
	for _, n := range all {
		if strings.HasSuffix(n, ".log") {
			names = append(names, n)
		}
	}
	return names
}

// TestLogTruncatedAnywhere truncates the log at every byte, without the later segments: a prefix of the batches must be recovered,
// and the log must accept further writes.
func TestLogTruncatedAnywhere(t *testing.T) {
	d := disk.New()
	fill(t, d, 1, 40)
	names := segments(d)
	if len(names) < 4 {
		t.Fatalf("only segments %v", names)
	}
	offsets, before := 0, 0
	for i, name := range names {
		whole := d.Get(name)
		for at := range whole {
			c := d.Clone()
			c.Put(name, whole[:at])
			for _, later := range names[i+1:] {
				c.Remove(later)
			}
			n := check(t, c, 0, 39)
			if n < before {
				t.Fatalf("%s cut at %d: %d batches, a shorter file had %d", name, at, n, before)
			}
			before = n
			fill(t, c, n+1, n+3)
			check(t, c, n+2, n+2)
			offsets++
		}
	}
	t.Logf("%d offsets", offsets)
}

// TestEarlierSegmentTruncated truncates a segment that has successors: that is corruption, to be reported with file and offset.
func TestEarlierSegmentTruncated(t *testing.T) {
	d := disk.New()
	fill(t, d, 1, 40)
	names := segments(d)
	whole := d.Get(names[1])
	for at := range whole {
		c := d.Clone()
		c.Put(names[1], whole[:at])
		var damage *kv.CorruptionError
		_, _, err := kv.OpenLog(c, small)
		if !errors.As(err, &damage) || damage.File != names[1] && damage.File != names[2] || damage.Offset > int64(at) {
			t.Fatalf("cut at %d: %v", at, err)
		}
		if diff := cmp.Diff(whole[:at], c.Get(names[1])); diff != "" {
			t.Fatal("an open that failed has changed the file")
		}
	}
	c := d.Clone()
	c.Remove(names[1])
	if _, _, err := kv.OpenLog(c, small); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("with a missing segment: %v", err)
	}
}

// TestBitFlipInLog flips each bit: the flip must be reported as corruption or cost only the end of the log as a torn tail. A corrupt
// batch must never be returned.
func TestBitFlipInLog(t *testing.T) {
	d := disk.New()
	fill(t, d, 1, 25)
	for _, name := range segments(d) {
		whole := d.Get(name)
		for at := range whole {
			for bit := range 8 {
				bad := append([]byte(nil), whole...)
				bad[at] ^= 1 << bit
				c := d.Clone()
				c.Put(name, bad)
				l, entries, err := kv.OpenLog(c, small)
				if err != nil {
					continue // reported
				}
				l.Close()
				if len(entries) < 23 {
					t.Fatalf("%s, byte %d, bit %d: only %d batches, and no error", name, at, bit, len(entries))
				}
				for i, e := range entries {
					if diff := cmp.Diff(batch(i+1), e.Batch); diff != "" {
						t.Fatalf("%s, byte %d, bit %d: batch %d (-want +got)\n%s", name, at, bit, i+1, diff)
					}
				}
			}
		}
	}
}

// TestCrashOfLog loses power at every operation, with unsynced data kept or lost at random, and again during recovery. All
// acknowledged batches must be recovered.
func TestCrashOfLog(t *testing.T) {
	d := disk.New()
	fill(t, d, 1, 30)
	total, _ := d.Ops()
	states := 0
	for at := 1; at <= total+1; at++ {
		for seed := range uint64(4) {
			chance := rand.New(rand.NewPCG(seed, uint64(at)))
			d := disk.New()
			d.FailAt(at, errors.New("power loss"))
			acked := 0
			if l, _, err := kv.OpenLog(d, small); err == nil {
				for n := 1; n < 30; n++ {
					if _, err := l.Append(batch(n)); err != nil {
						break
					}
					acked = n
				}
			}
			c := d.Crash(chance)
			for again := 1; ; again++ { // recovery is interrupted at each of its operations in turn
				e := c.Crash(rand.New(rand.NewPCG(seed, uint64(again))))
				e.FailAt(again, errors.New("power loss"))
				l, _, err := kv.OpenLog(e, small)
				if c = e.Crash(chance); err == nil {
					_ = l
					break
				}
			}
			n := check(t, c, acked, 30)
			fill(t, c, n+1, n+3)
			check(t, c, n+2, n+2)
			states++
		}
	}
	t.Logf("%d states", states)
}

// TestFailedOperationIsFinal lets each operation fail: the error must be returned and be final, and all batches acknowledged
// before it must be recovered.
func TestFailedOperationIsFinal(t *testing.T) {
	d := disk.New()
	fill(t, d, 1, 20)
	total, _ := d.Ops()
	for at := 1; at <= total; at++ {
		d := disk.New()
		d.FailAt(at, nil)
		l, _, err := kv.OpenLog(d, small)
		if err != nil {
			if !errors.Is(err, disk.ErrFailed) {
				t.Fatalf("operation %d: %v", at, err)
			}
			continue
		}
		acked := 0
		for n := 1; n < 20; n++ {
			if _, err := l.Append(batch(n)); err != nil {
				if !errors.Is(err, kv.ErrReadOnly) || !errors.Is(err, disk.ErrFailed) {
					t.Fatalf("operation %d: %v", at, err)
				}
				if _, err := l.Append(batch(n)); !errors.Is(err, kv.ErrReadOnly) || l.Err() == nil {
					t.Fatalf("operation %d: a write after a failure: %v", at, err)
				}
				break
			}
			acked = n
		}
		l.Close()
		check(t, d.Crash(rand.New(rand.NewPCG(1, uint64(at)))), acked, 20)
	}
}

// TestLogOnFullDisk fills the disk at various bytes: Append must return ErrFull, and succeed again once there is space.
func TestLogOnFullDisk(t *testing.T) {
	for space := int64(0); space < 1500; space += 7 {
		d := disk.New()
		d.SetFreeSpace(space)
		l, _, err := kv.OpenLog(d, small)
		if err != nil {
			t.Fatal(err)
		}
		n, refused := 1, 0
		for n < 25 {
			_, err := l.Append(batch(n))
			switch {
			case err == nil:
				n++
			case !errors.Is(err, kv.ErrFull) || !errors.Is(err, syscall.ENOSPC) || refused > 0:
				t.Fatalf("free space %d, batch %d: %v", space, n, err)
			default:
				refused++
				d.SetFreeSpace(1 << 20)
			}
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		check(t, d.Crash(rand.New(rand.NewPCG(uint64(space), 1))), 24, 24)
	}
}

// TestConcurrentWritersShareSyncs checks that concurrent writers share syncs, and that each gets its own sequence number. It runs
// in virtual time, in which all writers are waiting during a sync: in real time, on a loaded machine, they sometimes arrived one
// after the other.
func TestConcurrentWritersShareSyncs(t *testing.T) { synctest.Test(t, testConcurrentWritersShareSyncs) }

func testConcurrentWritersShareSyncs(t *testing.T) {
	d := disk.New()
	d.SetSyncTime(time.Millisecond)
	l, _, err := kv.OpenLog(d, kv.Options{})
	if err != nil {
		t.Fatal(err)
	}
	const writers, each = 64, 50
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := map[uint64]bool{}
	for w := range writers {
		wg.Go(func() {
			for n := range each {
				seq, err := l.Append(kv.Batch{{Kind: kv.Put, Key: fmt.Appendf(nil, "%d/%d", w, n), Value: []byte("v")}})
				mu.Lock()
				if err != nil || seen[seq] {
					t.Errorf("number %d: %v", seq, err)
				}
				seen[seq] = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if _, syncs := d.Ops(); syncs > 2*each+2 || len(seen) != writers*each {
		t.Errorf("%d syncs for %d batches", syncs, len(seen))
	}
	if _, _, err := kv.OpenLog(d, kv.Options{}); !errors.Is(err, kv.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if _, err := l.Append(batch(1)); !errors.Is(err, kv.ErrClosed) {
		t.Errorf("write after Close: %v", err)
	}
}

// TestSalvage checks that all complete batches of a corrupt log are returned, and the lost sequence numbers are listed.
func TestSalvage(t *testing.T) {
	d := disk.New()
	fill(t, d, 1, 40)
	names := segments(d)
	var list []kv.Segment
	for i, name := range names {
		raw := d.Get(name)
		if i == 1 {
			raw[len(raw)/2] ^= 1
		}
		list = append(list, kv.Segment{Name: name, Bytes: raw})
	}
	saved, lost := kv.Salvage(list)
	if len(saved) != 38 || len(lost) != 1 || lost[0][0] != lost[0][1] {
		t.Fatalf("%d saved, lost %v", len(saved), lost)
	}
	for _, e := range saved {
		if diff := cmp.Diff(batch(int(e.Seq)), e.Batch); diff != "" {
			t.Errorf("batch %d (-want +got)\n%s", e.Seq, diff)
		}
	}
}

// TestLogOnOperatingSystem writes and reopens the log on files of the operating system.
func TestLogOnOperatingSystem(t *testing.T) {
	dir := kv.Dir(t.TempDir())
	for round := range 3 {
		l, entries, err := kv.OpenLog(dir, small)
		if err != nil || len(entries) != 20*round {
			t.Fatalf("round %d: %d entries, %v", round, len(entries), err)
		}
		if _, _, err := kv.OpenLog(dir, small); !errors.Is(err, kv.ErrLocked) {
			t.Errorf("opened twice: %v", err)
		}
		for n := 20*round + 1; n <= 20*round+20; n++ {
			if _, err := l.Append(batch(n)); err != nil {
				t.Fatal(err)
			}
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if files, _ := filepath.Glob(filepath.Join(string(dir), "*.log")); len(files) < 5 {
		t.Errorf("segments %v", files)
	}
}

// TestInvalidBatches checks that invalid batches are rejected, and use no sequence number.
func TestInvalidBatches(t *testing.T) {
	l, _, err := kv.OpenLog(disk.New(), kv.Options{})
	if err != nil {
		t.Fatal(err)
	}
	big := make([]byte, kv.MaxValue)
	for _, c := range []struct {
		b    kv.Batch
		want error
	}{{nil, kv.ErrBatch}, {kv.Batch{{Kind: kv.Put}}, kv.ErrKey}, {kv.Batch{{Kind: kv.Put, Key: make([]byte, kv.MaxKey+1)}}, kv.ErrKey},
		{kv.Batch{{Kind: kv.Put, Key: []byte("k"), Value: make([]byte, kv.MaxValue+1)}}, kv.ErrValue},
		{kv.Batch{{Kind: kv.Put, Key: []byte("k"), Value: big}, {Kind: kv.Put, Key: []byte("k"), Value: big}, {Kind: kv.Put, Key: []byte("k"), Value: big}, {Kind: kv.Put, Key: []byte("k"), Value: big}}, kv.ErrBatch},
		{kv.Batch{{Kind: kv.Put, Key: make([]byte, kv.MaxKey), Value: big}}, nil}} {
		if _, err := l.Append(c.b); !errors.Is(err, c.want) {
			t.Errorf("%v, want %v", err, c.want)
		}
	}
	if l.Next() != 2 {
		t.Errorf("next is %d", l.Next())
	}
}

// FuzzRecover checks that for any content of segments, recovery returns complete batches in order or an error.
func FuzzRecover(f *testing.F) {
	d := disk.New()
	fill(f, d, 1, 20)
	names := segments(d)
	f.Add(d.Get(names[0]), d.Get(names[1]))
	f.Add([]byte("GFKL"), []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		p, err := kv.Recover([]kv.Segment{{Name: "1", Bytes: first}, {Name: "2", Bytes: second}})
		for i, e := range p.Entries {
			if i > 0 && e.Seq != p.Entries[i-1].Seq+1 || len(e.Batch) == 0 {
				t.Errorf("entry %d is %+v", i, e)
			}
		}
		if err == nil && p.TornTail != nil && p.TornTail.File != "2" {
			t.Errorf("torn tail %+v", p.TornTail)
		}
		kv.Salvage([]kv.Segment{{Name: "1", Bytes: first}})
	})
}

package store

// Tests of a member's disk: against a model with power losses, with entries and values too long for one value of internal/kv, and
// migrated from the previous release.

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"gullfall/internal/config"
	"gullfall/internal/kv"
	labdisk "gullfall/internal/lab/disk"
	"gullfall/internal/statemachine"
)

func noMigration(*disk) error { return nil }

// openOn opens a member's disk on a simulated one.
func openOn(t interface{ Fatal(...any) }, d *labdisk.Disk) *disk {
	db, err := kv.Open(d, kv.Config{MemoryBytes: 16 << 10, SegmentBytes: 16 << 10})
	if err != nil {
		t.Fatal(err)
	}
	opened, err := newDisk(db, noMigration)
	if err != nil {
		t.Fatal(err)
	}
	opened.partSize = 1 << 10
	return opened
}

// model is the expected content of a disk.
type model struct {
	log       map[uint64]raft.Log
	stable    map[string]string
	values    map[string]string
	applied   uint64
	snapshots []string // contents of the snapshots, newest first
}

// check compares a disk with the model.
func check(t *rapid.T, d *disk, m *model) {
	first, last := uint64(0), uint64(0)
	for i := range m.log {
		if first == 0 || i < first {
			first = i
		}
		last = max(last, i)
	}
	f, _ := d.FirstIndex()
	l, _ := d.LastIndex()
	if f != first || l != last {
		t.Fatalf("the log goes from %d to %d, want %d to %d", f, l, first, last)
	}
	for i := first; i > 0 && i <= last+1; i++ {
		var got raft.Log
		err := d.GetLog(i, &got)
		want, there := m.log[i]
		if !there {
			if !errors.Is(err, raft.ErrLogNotFound) {
				t.Fatalf("entry %d: %v, want none", i, err)
			}
			continue
		}
		same := bytes.Equal(got.Data, want.Data) && bytes.Equal(got.Extensions, want.Extensions) && got.AppendedAt.Equal(want.AppendedAt)
		if err != nil || !same || got.Index != i || got.Term != want.Term || got.Type != want.Type {
			t.Fatalf("entry %d: %v, %d bytes in term %d; want %d in %d", i, err, len(got.Data), got.Term, len(want.Data), want.Term)
		}
	}
	for k, v := range m.stable {
		if got, err := d.Get([]byte(k)); err != nil || string(got) != v {
			t.Fatalf("stable value %s: %q, %v, want %q", k, got, err, v)
		}
	}
	applied, err := d.readApplied()
	if err != nil || applied.index != m.applied || len(applied.values) != len(m.values) {
		t.Fatalf("%d values up to %d, %v; want %d up to %d", len(applied.values), applied.index, err, len(m.values), m.applied)
	}
	for k, v := range m.values {
		if string(applied.values[k]) != v {
			t.Fatalf("%s has %d bytes, want %d", k, len(applied.values[k]), len(v))
		}
	}
	list, err := d.List()
	if err != nil || len(list) != len(m.snapshots) {
		t.Fatalf("%d snapshots, %v; want %d", len(list), err, len(m.snapshots))
	}
	for i, s := range list {
		_, in, err := d.Open(s.ID)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(in)
		in.Close()
		if err != nil || string(got) != m.snapshots[i] {
			t.Fatalf("snapshot %d: %d bytes, %v; want %d", i, len(got), err, len(m.snapshots[i]))
		}
	}
}

// TestDiskAgainstModel compares a disk with a model under random operations: log entries, stable values, applied values and
// snapshots of any length, truncations of the log at both ends, and power losses. The disk must hold what was acknowledged and
// nothing else.
func TestDiskAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		power := labdisk.New()
		d := openOn(t, power)
		defer func() { d.Close() }()
		m := &model{log: map[uint64]raft.Log{}, stable: map[string]string{}, values: map[string]string{}}
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "power"), 1))
		bytesOf := func(name string) []byte {
			n := rapid.SampledFrom([]int{0, 1, 100, d.partSize, d.partSize + 1, 3*d.partSize - 7}).Draw(t, name)
			data := make([]byte, n)
			for i := range data {
				data[i] = byte(chance.Uint32())
			}
			return data
		}
		must := func(err error) {
			t.Helper()
			if err != nil {
				t.Fatal(err)
			}
		}
		ends := func() (first, last uint64) {
			first, _ = d.FirstIndex()
			last, _ = d.LastIndex()
			return first, last
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				_, last := ends()
				if last == 0 {
					last = m.applied
				}
				var logs []*raft.Log
				for i := range rapid.IntRange(1, 6).Draw(t, "entries") {
					l := raft.Log{Index: last + 1 + uint64(i), Term: 3, Type: raft.LogCommand, Data: bytesOf("data"), Extensions: []byte("e"), AppendedAt: time.Unix(5, 7)}
					logs = append(logs, &l)
					m.log[l.Index] = l
				}
				must(d.StoreLogs(logs))
			},
			"cut the end": func(t *rapid.T) {
				first, last := ends()
				if first == 0 {
					t.Skip("empty")
				}
				from := rapid.Uint64Range(first, last).Draw(t, "from")
				for i := from; i <= last; i++ {
					delete(m.log, i)
				}
				must(d.DeleteRange(from, last))
			},
			"cut the beginning": func(t *rapid.T) {
				first, last := ends()
				if first == 0 {
					t.Skip("empty")
				}
				to := rapid.Uint64Range(first, last).Draw(t, "to")
				for i := first; i <= to; i++ {
					delete(m.log, i)
				}
				must(d.DeleteRange(first, to))
			},
			"a gap": func(t *rapid.T) { // as after a snapshot received from the leader
				_, last := ends()
				l := raft.Log{Index: last + 10, Term: 4, Type: raft.LogNoop, Data: []byte("x")}
				m.log[l.Index] = l
				must(d.StoreLog(&l))
			},
			"hard state": func(t *rapid.T) {
				k, v := rapid.SampledFrom([]string{"CurrentTerm", "LastVoteCand"}).Draw(t, "name"), rapid.StringN(1, 8, 8).Draw(t, "value")
				m.stable[k] = v
				must(d.Set([]byte(k), []byte(v)))
			},
			"values": func(t *rapid.T) {
				changed := map[string][]byte{}
				for range rapid.IntRange(1, 20).Draw(t, "values") {
					k := rapid.SampledFrom([]string{"a", "ab", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}).Draw(t, "key")
					v := bytesOf("value")
					if rapid.IntRange(0, 3).Draw(t, "deleted") == 0 {
						v = nil
					}
					if changed[k] = v; v == nil {
						delete(m.values, k)
					} else {
						m.values[k] = string(v)
					}
				}
				m.applied += uint64(rapid.IntRange(1, 3).Draw(t, "steps"))
				must(d.writeChanged(changed, m.applied))
				must(d.replaceAll(map[string][]byte{"a": []byte("older")}, m.applied-1)) // an older index must be ignored
			},
			"all values": func(t *rapid.T) {
				m.values, m.applied = map[string]string{"ab": string(bytesOf("value")), "c": "2"}, m.applied+5
				all := map[string][]byte{}
				for k, v := range m.values {
					all[k] = []byte(v)
				}
				must(d.replaceAll(all, m.applied))
			},
			"snapshot": func(t *rapid.T) {
				_, last := ends()
				sink, err := d.Create(1, last, uint64(len(m.snapshots))+uint64(chance.IntN(3))+100, raft.Configuration{}, 1, nil)
				must(err)
				content := bytesOf("snapshot")
				for at := 0; at < len(content); at += 1500 {
					_, err := sink.Write(content[at:min(at+1500, len(content))])
					must(err)
				}
				if rapid.Bool().Draw(t, "cancelled") {
					must(sink.Cancel())
					return
				}
				must(sink.Close())
				list, err := d.List()
				must(err)
				at := slices.IndexFunc(list, func(s *raft.SnapshotMeta) bool { return s.ID == sink.ID() })
				m.snapshots = slices.Insert(m.snapshots, max(at, 0), string(content))
				m.snapshots = m.snapshots[:min(len(m.snapshots), retainedSnapshots)]
			},
			"power loss": func(t *rapid.T) {
				// Writes that were started and not acknowledged must not be visible.
				sink, err := d.Create(1, 1, 1, raft.Configuration{}, 1, nil)
				must(err)
				_, err = sink.Write(make([]byte, 2*d.partSize))
				must(err)
				_, err = d.writeChunked(make([]byte, 2*d.partSize), keyValuePart, append(encodeIndex(d.generation), bytes.Repeat([]byte{9}, 12)...), d.partSize)
				must(err)
				after := power.Crash(chance)
				d.Close()
				power = after
				d = openOn(t, power)
			},
			"": func(t *rapid.T) { check(t, d, m) },
		})
	})
}

// TestMigratesEarlierFormat migrates the format of the previous release: the log, votes, values and newest snapshot must be there,
// also after an interrupted migration, and the previous release must no longer find its files.
func TestMigratesEarlierFormat(t *testing.T) {
	dir := t.TempDir()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	db, err := bbolt.Open(filepath.Join(dir, "store.db"), 0o600, nil)
	must(err)
	var term uint64 = 2
	command := func(index uint64) raft.Log {
		data, err := json.Marshal(statemachine.Command{LeaderTerm: term, Put: []statemachine.Pair{{Key: fmt.Sprint("k", index), Value: []byte("v")}}})
		must(err)
		return raft.Log{Index: index, Term: term, Type: raft.LogCommand, Data: data}
	}
	must(db.Update(func(tx *bbolt.Tx) error {
		for _, name := range []string{"log", "stable", "values"} {
			if _, err := tx.CreateBucket([]byte(name)); err != nil {
				return err
			}
		}
		for index := uint64(4); index <= 9; index++ {
			data, err := json.Marshal(command(index))
			if err := errors.Join(err, tx.Bucket([]byte("log")).Put(encodeIndex(index), data)); err != nil {
				return err
			}
		}
		stable := tx.Bucket([]byte("stable"))
		return errors.Join(stable.Put([]byte("CurrentTerm"), encodeIndex(term)), stable.Put([]byte("applied"), encodeIndex(9)),
			tx.Bucket([]byte("values")).Put([]byte("k9"), []byte("v")), tx.Bucket([]byte("values")).Put([]byte("old"), []byte("list")))
	}))
	must(db.Close())
	files, err := raft.NewFileSnapshotStoreWithLogger(dir, 2, hclog.NewNullLogger())
	must(err)
	_, transport := raft.NewInmemTransport("n0")
	before := statemachine.New()
	for index := uint64(1); index <= 6; index++ {
		l := command(index)
		var c statemachine.Command
		must(json.Unmarshal(l.Data, &c))
		before.Apply(index, term, &c)
	}
	data, err := before.Snapshot()
	must(err)
	sink, err := files.Create(1, 6, term, raft.Configuration{Servers: []raft.Server{{ID: "n0", Address: "n0"}}}, 1, transport)
	must(err)
	_, err = sink.Write(data)
	must(err)
	must(sink.Close())

	// An interrupted migration must leave the old files unchanged, and its own writes must not count.
	kvDir := filepath.Join(dir, "kv")
	must(os.MkdirAll(kvDir, 0o700))
	partial, err := kv.Open(kv.Dir(kvDir), kv.Config{})
	must(err)
	if _, err := newDisk(partial, func(d *disk) error {
		return errors.Join(migrateBolt(d, dir), d.StoreLog(&raft.Log{Index: 99}), errors.New("power loss"))
	}); err == nil {
		t.Fatal("the migration was not interrupted")
	}

	s := open(t, config.Store{Directory: dir}, "n0")
	if got := string(s.Get("old")); got != "list" {
		t.Errorf("before the log is replayed: old is %q", got)
	}
	waitForValue(t, s, "k3", "v")
	waitForValue(t, s, "k9", "v")
	s.Put("after", []byte("1"))
	waitForValue(t, s, "after", "1")
	if term := s.Status().Term; term < 3 {
		t.Errorf("term %d", term)
	}
	must(s.Close())
	for name, there := range map[string]bool{"store.db": false, "store.db" + migratedSuffix: true, "snapshots": false, "snapshots" + migratedSuffix: true} {
		if _, err := os.Stat(filepath.Join(dir, name)); (err == nil) != there {
			t.Errorf("%s: %v", name, err)
		}
	}
	s = open(t, config.Store{Directory: dir}, "n0")
	waitForValue(t, s, "k3", "v")
	must(s.Close())
}

// TestRetentionByEntrySizes checks how much of the log is retained for entries of various sizes.
func TestRetentionByEntrySizes(t *testing.T) {
	for _, c := range []struct {
		name               string
		entries, bytes     int
		trailing, snapshot uint64
	}{
		{"empty", 0, 0, minTrailing, minSnapshotThreshold},
		{"leases", 1000, 300, 11522, 5761},
		{"entries of one byte", 1000, 1, 64527, maxSnapshotThreshold},
		{"lists of all data nodes", 40, 600_000, minTrailing, minSnapshotThreshold},
	} {
		var s entrySizes
		for i := range c.entries {
			s.add(uint64(i+1), c.bytes)
		}
		if trailing, snapshot := s.retention(); trailing != c.trailing || snapshot != c.snapshot {
			t.Errorf("%s: %d and %d, want %d and %d", c.name, trailing, snapshot, c.trailing, c.snapshot)
		}
	}
	var s entrySizes
	for i := range 5 * maxTrailing {
		s.add(uint64(i+1), 10)
	}
	s.add(5*maxTrailing-9, 1<<20) // replaces the end of the log from there on
	if len(s.list) > 2*maxTrailing || s.first+uint64(len(s.list)) != 5*maxTrailing-8 {
		t.Errorf("%d sizes from %d on", len(s.list), s.first)
	}
	// Entries that were kept by a truncation and precede a gap must not count as the beginning of what follows the gap.
	var gap entrySizes
	for i := range 10 {
		gap.add(uint64(i+1), 10)
	}
	gap.truncate(1)
	if gap.add(11, 10); gap.first != 11 || len(gap.list) != 1 {
		t.Errorf("behind a gap: %d sizes from %d on", len(gap.list), gap.first)
	}
}

// TestStableStoreWaitsOnFullDisk checks a full disk: a stable value, without which raft ends the process, waits for space, while
// the log returns an error and accepts entries again once there is space. Values larger than one batch must be stored then, too.
func TestStableStoreWaitsOnFullDisk(t *testing.T) {
	full := labdisk.New()
	d := openOn(t, full)
	defer d.Close()
	d.raftRunning.Store(true)
	full.SetFreeSpace(2000)
	var err error
	last := uint64(0)
	for err == nil {
		last++
		err = d.StoreLog(&raft.Log{Index: last, Data: make([]byte, 200)})
	}
	if !errors.Is(err, kv.ErrFull) {
		t.Fatal(err)
	}
	full.SetFreeSpace(10) // too little for a stable value, too
	set := make(chan error, 1)
	go func() { set <- d.SetUint64([]byte("CurrentTerm"), 7) }()
	select {
	case err := <-set:
		t.Fatalf("on a full disk it returned %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	full.SetFreeSpace(1 << 20)
	if err := <-set; err != nil {
		t.Fatal(err)
	}
	full.SetFreeSpace(-1)
	d.partSize = defaultPartSize
	values := map[string][]byte{} // changed by one batch of entries, and larger than one batch of internal/kv
	for i := range 40 {
		values[fmt.Sprint(i)] = bytes.Repeat([]byte{byte(i)}, defaultPartSize-1)
	}
	if err := d.writeChanged(values, 1); err != nil {
		t.Error(err)
	}
	if got, err := d.readApplied(); err != nil || len(got.values) != 40 || !bytes.Equal(got.values["39"], values["39"]) {
		t.Errorf("%d values, %v", len(got.values), err)
	}
	if term, err := d.GetUint64([]byte("CurrentTerm")); term != 7 || err != nil {
		t.Errorf("term %d, %v", term, err)
	}
	if err := d.StoreLog(&raft.Log{Index: last}); err != nil {
		t.Error(err)
	}
}

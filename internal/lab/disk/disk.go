// Package disk is a stand-in disk for tests of what is kept: a folder in memory that remembers what was synced and what
// was not, fails or fills up at a given operation, and can be cut off at any moment. It must never keep what nobody has
// synced for certain, nor lose what was.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"gullfall/internal/kv"
)

// ErrFailed is what an operation that was told to fail returns.
var ErrFailed = errors.New("input/output error")

// inode is a file's contents.
type inode struct {
	data   []byte // as it is read
	synced []byte // as it was at the last sync
}

// Disk is a folder. It may be used by several goroutines.
type Disk struct {
	mu     sync.Mutex
	names  map[string]*inode
	synced map[string]*inode // the names at the last sync of the folder
	ops    int
	syncs  int
	log    []string
	fail   map[int]error
	room   int64 // bytes that are free; below 0 for no limit
	locked bool
	slow   time.Duration // what each sync of a file takes
	off    bool          // it was cut off: nothing reaches it any more
}

// New returns an empty disk without a limit.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, synced: map[string]*inode{}, fail: map[int]error{}, room: -1}
}

// FailAt lets the n-th operation from now on fail, with ErrFailed unless another error is given.
func (d *Disk) FailAt(n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		err = ErrFailed
	}
	d.fail[d.ops+n] = err
}

// Slow sets how long each sync of a file takes.
func (d *Disk) Slow(each time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = each
}

// Room sets how many bytes are free; below 0 for no limit.
func (d *Disk) Room(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// Ops counts the operations so far, and the syncs of files among them.
func (d *Disk) Ops() (ops, syncs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops, d.syncs
}

// Log lists the operations so far.
func (d *Disk) Log() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.log)
}

// op counts an operation; the caller holds the lock.
func (d *Disk) op(format string, args ...any) error {
	if d.off {
		return errors.New("the disk is cut off")
	}
	d.ops++
	d.log = append(d.log, fmt.Sprintf(format, args...))
	return d.fail[d.ops]
}

// Crash cuts the disk off and returns what is found after it: what was synced, and of what was not, what chance says.
// Of bytes that were appended and not synced any length may be there, or noise of that length.
func (d *Disk) Crash(chance *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.off = true
	c := New()
	for _, name := range slices.Sorted(maps.Keys(d.synced)) {
		c.names[name] = d.synced[name]
	}
	all := slices.Sorted(maps.Keys(d.names))
	for _, name := range all { // names that were made or moved may be there
		if d.names[name] != d.synced[name] && chance.IntN(2) == 0 {
			c.names[name] = d.names[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.names)) { // and names that were removed may be gone
		if d.names[name] == nil && chance.IntN(2) == 0 {
			delete(c.names, name)
		}
	}
	for name, old := range c.names {
		n := &inode{data: survives(old, chance)}
		n.synced = slices.Clone(n.data)
		c.names[name] = n
	}
	c.synced = maps.Clone(c.names)
	return c
}

// survives is what is found of a file.
func survives(n *inode, chance *rand.Rand) []byte {
	if len(n.data) < len(n.synced) { // it was made shorter, and that was not synced
		if chance.IntN(2) == 0 {
			return slices.Clone(n.data)
		}
		return slices.Clone(n.synced)
	}
	out := slices.Clone(n.data[:len(n.synced)])
	rest := n.data[len(n.synced):]
	if len(rest) == 0 {
		return out
	}
	switch k := chance.IntN(len(rest) + 1); chance.IntN(3) {
	case 0: // blocks that were given out and not written
		out = append(out, make([]byte, k)...)
	case 1: // written in another order: the end is there, the start is not
		noise := slices.Clone(rest)
		for i := range k {
			noise[i] = 0
		}
		out = append(out, noise...)
	default:
		out = append(out, rest[:k]...)
	}
	return out
}

// Get is a file's contents, for a test to spoil; nil where there is none.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Put sets a file's contents, as if they had always been there.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.names[name], d.synced[name] = n, n
}

// Clone is a copy of what is there now, synced.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := New()
	for name, n := range d.names {
		m := &inode{data: slices.Clone(n.data), synced: slices.Clone(n.data)}
		c.names[name], c.synced[name] = m, m
	}
	return c
}

// List is kv.FS's.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("list"); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Read is kv.FS's.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("read %s", name); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// reader reads a file as it is at the time.
type reader struct {
	d    *Disk
	name string
	n    *inode
	size int64
}

func (r *reader) Size() int64  { return r.size }
func (r *reader) Close() error { return nil }
func (r *reader) ReadAt(p []byte, at int64) (int, error) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if err := r.d.op("read %s at %d", r.name, at); err != nil {
		return 0, err
	}
	if at >= int64(len(r.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, r.n.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Open is kv.FS's.
func (d *Disk) Open(name string) (kv.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("open %s", name); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &reader{d, name, n, int64(len(n.data))}, nil
}

// Create is kv.FS's.
func (d *Disk) Create(name string) (kv.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("create %s", name); err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.names[name] = n
	return &file{d, name, n}, nil
}

// Append is kv.FS's.
func (d *Disk) Append(name string) (kv.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("append %s", name); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, name, n}, nil
}

// Remove is kv.FS's.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("remove %s", name); err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	if d.room >= 0 {
		d.room += int64(len(d.names[name].data))
	}
	delete(d.names, name)
	return nil
}

// Rename is kv.FS's.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("rename %s %s", from, to); err != nil {
		return err
	}
	if d.names[from] == nil {
		return fs.ErrNotExist
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

// SyncDir is kv.FS's.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.op("sync folder"); err != nil {
		return err
	}
	d.synced = maps.Clone(d.names)
	return nil
}

type unlock struct{ d *Disk }

func (u unlock) Close() error {
	u.d.mu.Lock()
	defer u.d.mu.Unlock()
	u.d.locked = false
	return nil
}

// Lock is kv.FS's.
func (d *Disk) Lock(string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, kv.ErrLocked
	}
	d.locked = true
	return unlock{d}, nil
}

// file is an open file.
type file struct {
	d    *Disk
	name string
	n    *inode
}

// Write writes what there is room for. An operation that is told to fail writes half of it.
func (f *file) Write(p []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.op("write %s %d", f.name, len(p)); err != nil {
		if !f.d.off {
			f.n.data = append(f.n.data, p[:len(p)/2]...)
		}
		return len(p) / 2, err
	}
	if f.d.room >= 0 && int64(len(p)) > f.d.room {
		k := int(f.d.room)
		f.n.data = append(f.n.data, p[:k]...)
		f.d.room = 0
		return k, syscall.ENOSPC
	}
	if f.d.room >= 0 {
		f.d.room -= int64(len(p))
	}
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

// Sync keeps what is there. One that fails may have kept it or not; it is not kept here, as the worst case.
func (f *file) Sync() error {
	f.d.mu.Lock()
	slow := f.d.slow
	f.d.mu.Unlock()
	time.Sleep(slow)
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	f.d.syncs++
	if err := f.d.op("sync %s", f.name); err != nil {
		return err
	}
	f.n.synced = slices.Clone(f.n.data)
	return nil
}

func (f *file) Truncate(size int64) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.d.op("truncate %s %d", f.name, size); err != nil {
		return err
	}
	if f.d.room >= 0 {
		f.d.room += int64(len(f.n.data)) - size
	}
	f.n.data = f.n.data[:size:size]
	return nil
}

func (f *file) Close() error { return nil }

// Package disk is a fake disk for crash tests of storage: a kv.FS in memory that tracks which data was synced, fails at a given operation,
// has limited space and can lose power at any moment. Synced data survives a crash; other data may be lost.
package disk

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// ErrFailed is the default error of an operation that FailAt makes fail.
var ErrFailed = errors.New("input/output error")

// inode holds a file's contents.
type inode struct {
	data   []byte // contents that readers see
	synced []byte // contents at the last sync of the file
}

// Disk is a directory in memory. It is safe for concurrent use.
type Disk struct {
	// mu guards the fields below, and the inodes.
	mu           sync.Mutex
	files        map[string]*inode // by name
	syncedFiles  map[string]*inode // files at the last sync of the directory
	operations   int
	syncs        int // syncs of files
	log          []string
	failures     map[int]error // by operation number
	free         int64         // free space in bytes; negative for no limit
	locked       bool
	syncTime     time.Duration // duration of each sync of a file
	disconnected bool          // set by Crash; all operations fail
}

// New returns an empty disk with unlimited space.
func New() *Disk {
	return &Disk{files: map[string]*inode{}, syncedFiles: map[string]*inode{}, failures: map[int]error{}, free: -1}
}

// FailAt makes the n-th operation from now fail with err, or with ErrFailed if err is nil.
func (d *Disk) FailAt(n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		err = ErrFailed
	}
	d.failures[d.operations+n] = err
}

// SetSyncTime sets the duration of each sync of a file.
func (d *Disk) SetSyncTime(each time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncTime = each
}

// SetFreeSpace sets the number of bytes that can still be written; negative for no limit.
func (d *Disk) SetFreeSpace(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = bytes
}

// Ops returns the number of operations so far and the number of attempted syncs of files.
func (d *Disk) Ops() (ops, syncs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations, d.syncs
}

// Log returns the operations so far, one text for each.
func (d *Disk) Log() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.log)
}

// beginOperation counts and logs an operation, and returns the error with which it must fail, if any. The caller holds mu.
func (d *Disk) beginOperation(format string, args ...any) error {
	if d.disconnected {
		return errors.New("disk is disconnected after a crash")
	}
	d.operations++
	d.log = append(d.log, fmt.Sprintf(format, args...))
	return d.failures[d.operations]
}

// Get returns a file's contents, or nil if there is no such file.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.files[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Put sets and syncs a file's contents without counting an operation.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.files[name], d.syncedFiles[name] = n, n
}

// Clone returns a copy of the disk's current files, all of them synced.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := New()
	for name, n := range d.files {
		m := &inode{data: slices.Clone(n.data), synced: slices.Clone(n.data)}
		c.files[name], c.syncedFiles[name] = m, m
	}
	return c
}

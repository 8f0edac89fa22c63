// Package disk is a fake disk for crash tests of storage: a kv.FS in memory that knows what was synced and what was not, fails or fills up
// at a given operation, and can lose power at any moment. What was synced survives a crash; what was not may be lost.
package disk

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// ErrFailed is the error of an operation that FailAt lets fail.
var ErrFailed = errors.New("input/output error")

// inode is a file's contents.
type inode struct {
	data   []byte // as a reader sees it
	synced []byte // as of the last sync of the file
}

// Disk is a folder in memory. It may be used by several goroutines.
type Disk struct {
	// mu guards the fields below, and the inodes.
	mu           sync.Mutex
	files        map[string]*inode
	syncedFiles  map[string]*inode // as of the last sync of the folder
	operations   int
	syncs        int
	log          []string
	failures     map[int]error
	free         int64 // bytes; below 0 for no limit
	locked       bool
	syncTime     time.Duration // of each sync of a file
	disconnected bool          // after a crash no operation reaches it
}

// New returns an empty disk without a limit.
func New() *Disk {
	return &Disk{files: map[string]*inode{}, syncedFiles: map[string]*inode{}, failures: map[int]error{}, free: -1}
}

// FailAt lets the n-th operation from now on fail, with ErrFailed unless another error is given.
func (d *Disk) FailAt(n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		err = ErrFailed
	}
	d.failures[d.operations+n] = err
}

// SetSyncTime sets how long each sync of a file takes.
func (d *Disk) SetSyncTime(each time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncTime = each
}

// SetFreeSpace sets how many bytes can be written; below 0 for no limit.
func (d *Disk) SetFreeSpace(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = bytes
}

// Ops counts the operations so far, and the syncs of files among them.
func (d *Disk) Ops() (ops, syncs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations, d.syncs
}

// Log lists the operations so far.
func (d *Disk) Log() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.log)
}

// begin counts and logs an operation, and returns the error that it is to fail with. The caller holds mu.
func (d *Disk) begin(format string, args ...any) error {
	if d.disconnected {
		return errors.New("the disk is cut off")
	}
	d.operations++
	d.log = append(d.log, fmt.Sprintf(format, args...))
	return d.failures[d.operations]
}

// Get returns a file's contents; nil where there is none.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.files[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Put sets a file's contents and syncs them, without an operation that is counted.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{data: slices.Clone(data), synced: slices.Clone(data)}
	d.files[name], d.syncedFiles[name] = n, n
}

// Clone returns a copy of the disk as it is now, with all of it synced.
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

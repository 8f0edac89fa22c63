package disk

import (
	"io"
	"slices"
	"syscall"
	"time"
)

// reader is a file that is open for reading. Its size is the size at the time of Open.
type reader struct {
	disk  *Disk
	name  string
	inode *inode
	size  int64
}

func (r *reader) Size() int64  { return r.size }
func (r *reader) Close() error { return nil }
func (r *reader) ReadAt(p []byte, at int64) (int, error) {
	r.disk.mu.Lock()
	defer r.disk.mu.Unlock()
	if err := r.disk.beginOperation("read %s at %d", r.name, at); err != nil {
		return 0, err
	}
	if at >= int64(len(r.inode.data)) {
		return 0, io.EOF
	}
	n := copy(p, r.inode.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// file is a file that is open for writing.
type file struct {
	disk  *Disk
	name  string
	inode *inode
}

// Write writes as much of p as there is free space for. A write that FailAt makes fail writes half of p.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.beginOperation("write %s %d", f.name, len(p)); err != nil {
		if !f.disk.disconnected {
			f.inode.data = append(f.inode.data, p[:len(p)/2]...)
		}
		return len(p) / 2, err
	}
	if f.disk.free >= 0 && int64(len(p)) > f.disk.free {
		k := int(f.disk.free)
		f.inode.data = append(f.inode.data, p[:k]...)
		f.disk.free = 0
		return k, syscall.ENOSPC
	}
	if f.disk.free >= 0 {
		f.disk.free -= int64(len(p))
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

// Sync makes the contents survive a crash. A failed sync on a real disk may or may not have synced them; here it has not.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	slow := f.disk.syncTime
	f.disk.mu.Unlock()
	time.Sleep(slow)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.syncs++
	if err := f.disk.beginOperation("sync %s", f.name); err != nil {
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.beginOperation("truncate %s %d", f.name, size); err != nil {
		return err
	}
	if f.disk.free >= 0 {
		f.disk.free += int64(len(f.inode.data)) - size
	}
	f.inode.data = f.inode.data[:size:size]
	return nil
}

func (f *file) Close() error { return nil }

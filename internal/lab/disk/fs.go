package disk

import (
	"io"
	"io/fs"
	"maps"
	"slices"

	"gullfall/internal/kv"
)

// Disk implements kv.FS.
var _ kv.FS = (*Disk)(nil)

// List implements kv.FS.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("list"); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read implements kv.FS.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("read %s", name); err != nil {
		return nil, err
	}
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Open implements kv.FS.
func (d *Disk) Open(name string) (kv.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("open %s", name); err != nil {
		return nil, err
	}
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &reader{d, name, n, int64(len(n.data))}, nil
}

// Create implements kv.FS.
func (d *Disk) Create(name string) (kv.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("create %s", name); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	n := &inode{}
	d.files[name] = n
	return &file{d, name, n}, nil
}

// Append implements kv.FS.
func (d *Disk) Append(name string) (kv.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("append %s", name); err != nil {
		return nil, err
	}
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, name, n}, nil
}

// Remove implements kv.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("remove %s", name); err != nil {
		return err
	}
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	if d.free >= 0 {
		d.free += int64(len(d.files[name].data))
	}
	delete(d.files, name)
	return nil
}

// Rename implements kv.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("rename %s %s", from, to); err != nil {
		return err
	}
	if d.files[from] == nil {
		return fs.ErrNotExist
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// SyncDir implements kv.FS.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation("sync folder"); err != nil {
		return err
	}
	d.syncedFiles = maps.Clone(d.files)
	return nil
}

// unlocker releases the lock of a disk when it is closed.
type unlocker struct{ disk *Disk }

func (u unlocker) Close() error {
	u.disk.mu.Lock()
	defer u.disk.mu.Unlock()
	u.disk.locked = false
	return nil
}

// Lock implements kv.FS.
func (d *Disk) Lock(string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, kv.ErrLocked
	}
	d.locked = true
	return unlocker{d}, nil
}

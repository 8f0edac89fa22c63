package kv

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// FS is a directory of files. Tests implement it with a simulated disk that fails.
type FS interface {
	List() ([]string, error) // names, sorted
	Read(name string) ([]byte, error)
	Open(name string) (Reader, error)
	Create(name string) (File, error) // fails if it exists
	Append(name string) (File, error) // opens an existing file for writing at its end
	Remove(name string) error
	Rename(from, to string) error
	SyncDir() error                      // makes earlier creations, renames and removals durable
	Lock(name string) (io.Closer, error) // fails with ErrLocked while another process holds the lock
}

// File is a file that is written at its end.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Reader is a file that is read at any offset.
type Reader interface {
	io.ReaderAt
	Size() int64
	Close() error
}

// ErrLocked is returned by Lock and by the functions that open a store.
var ErrLocked = errors.New("another process has the store open")

// Dir is a directory of the operating system.
type Dir string

// List returns the names of the regular files, sorted.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Read returns the whole file.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.path(name)) }

// sizedFile is an open file with the size that it had when it was opened.
type sizedFile struct {
	*os.File
	size int64
}

func (s sizedFile) Size() int64 { return s.size }

// Open opens a file for reading.
func (d Dir) Open(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return sizedFile{f, info.Size()}, nil
}

// Create creates a file; it fails if the name exists.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Append opens an existing file for writing at its end.
func (d Dir) Append(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename renames a file; an existing file called to is replaced.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// SyncDir makes earlier creations, renames and removals durable.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Lock takes an exclusive lock on a file, or returns an error that wraps ErrLocked.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", d.path(name), ErrLocked)
	}
	return f, nil
}

// isFull reports whether an error means that the disk or quota is full.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// Package kv is an embedded key-value store that survives a crash at any point: a write-ahead log with checksums and group
// commit, a memory table, and sorted tables that are merged as they age. encoder.go, decoder.go, recover.go and
// compactionpolicy.go decide without I/O; the other files read and write. docs/formats/kv.md describes every byte.
package kv

import (
	"errors"
	"hash/crc32"
)

// Limits of sizes in bytes.
const (
	MaxKey   = 1 << 10
	MaxValue = 1 << 20
	MaxBatch = 4 << 20 // encoded

	maxGroup = 2*MaxBatch + MaxBatch + 64 // payload of a record, the batches that share a sync
)

const (
	segmentMagic      = "GFKL"
	formatVersion     = 1
	segmentHeaderSize = 20 // magic 4, version 2, zero 2, first sequence number 8, checksum 4
	recordHeaderSize  = 17 // checksum 4, length 4, kind 1, sequence number 8
	kindGroup         = 1
	opPut             = 1
	opDelete          = 2
	opDeleteRange     = 3
	segmentPattern    = "%016x.log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Op is one change of a batch.
type Op struct {
	Kind  OpKind
	Key   []byte // for DeleteRange the first key that is deleted
	Value []byte // for Put the value; for DeleteRange the first key behind the range
}

// OpKind is the kind of an Op.
type OpKind uint8

// The kinds of changes.
const (
	Put         OpKind = opPut
	Delete      OpKind = opDelete
	DeleteRange OpKind = opDeleteRange
)

// Batch is a list of changes that are applied atomically.
type Batch []Op

// The errors of batches.
var (
	ErrKey   = errors.New("key is empty or over 1 KiB")
	ErrValue = errors.New("value is over 1 MiB")
	ErrBatch = errors.New("batch is empty or over 4 MiB")
)

package kv

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	manifestName  = "MANIFEST"
	manifestNew   = "MANIFEST.new"
	manifestMagic = "GFKM"
	tablePattern  = "%08d.table"
)

// manifest lists the runs, in order, and the sequence number up to which they hold all batches.
type manifest struct {
	flushed uint64   // all batches up to this number are in the runs
	next    uint64   // the number of the next table's file
	runs    []uint64 // numbers of the tables' files, newest first
}

var errManifestCorrupt = errors.New("manifest is corrupt")

func (m manifest) encode() []byte {
	out := append([]byte(manifestMagic), formatVersion, 0, 0, 0)
	out = binary.LittleEndian.AppendUint64(out, m.flushed)
	out = binary.LittleEndian.AppendUint64(out, m.next)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(m.runs)))
	for _, r := range m.runs {
		out = binary.LittleEndian.AppendUint64(out, r)
	}
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

func decodeManifest(raw []byte) (m manifest, err error) {
	const headerSize = 28
	if len(raw) < headerSize+4 || string(raw[:4]) != manifestMagic || raw[4] != formatVersion {
		return m, errManifestCorrupt
	}
	n := int(binary.LittleEndian.Uint32(raw[24:]))
	if n > 1<<20 || len(raw) != headerSize+8*n+4 || crc32.Checksum(raw[:len(raw)-4], castagnoli) != binary.LittleEndian.Uint32(raw[len(raw)-4:]) {
		return m, errManifestCorrupt
	}
	m.flushed, m.next = binary.LittleEndian.Uint64(raw[8:]), binary.LittleEndian.Uint64(raw[16:])
	for i := range n {
		m.runs = append(m.runs, binary.LittleEndian.Uint64(raw[headerSize+8*i:]))
	}
	return m, nil
}

// installManifest writes the manifest to a new file, syncs it, and renames it to replace the current one: a crash leaves one of
// the two, never a part of either.
func (db *DB) installManifest(m manifest) error {
	file, err := db.createReplacing(manifestNew)
	if err == nil {
		if _, err = file.Write(m.encode()); err == nil {
			err = file.Sync()
		}
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			err = errors.Join(err, db.fs.Remove(manifestNew))
		}
	}
	if err == nil {
		err = db.fs.Rename(manifestNew, manifestName)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", manifestName, err)
	}
	if err := db.fs.SyncDir(); err != nil { // it is now unknown which of the two manifests is on disk
		return fmt.Errorf("folder: %v", err) //nolint:errorlint // unwrapped on purpose: a full disk here must count as final
	}
	return nil
}

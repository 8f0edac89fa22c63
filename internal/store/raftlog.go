package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"gullfall/internal/kv"
)

// FirstIndex returns the index of the oldest entry, 0 for an empty log. With the methods below it implements raft.LogStore.
func (d *disk) FirstIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first, nil
}

// LastIndex returns the index of the latest entry, 0 for an empty log.
func (d *disk) LastIndex() (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last, nil
}

// GetLog reads an entry, or returns raft.ErrLogNotFound.
func (d *disk) GetLog(index uint64, l *raft.Log) error {
	view := d.db.Snapshot()
	defer view.Close()
	stored, err := view.Get(key(keyLog, encodeIndex(index)))
	if errors.Is(err, kv.ErrNotFound) {
		return raft.ErrLogNotFound
	} else if err != nil {
		return err
	}
	data, err := readChunked(view, stored, keyLogPart)
	if err == nil {
		*l, err = decodeEntry(index, data)
	}
	if err != nil {
		return fmt.Errorf("entry %d of the store's log: %w", index, err)
	}
	return nil
}

// StoreLog stores an entry.
func (d *disk) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs stores entries in order. After an error, the first of them may be stored.
func (d *disk) StoreLogs(logs []*raft.Log) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b kv.Batch
	size, from := 0, 0
	flush := func(to int) error {
		if len(b) == 0 {
			return nil
		}
		if err := d.db.Write(b); err != nil {
			return err
		}
		for i := range b {
			index := logs[from+i].Index
			if d.first == 0 || index < d.first {
				d.first = index
			}
			d.last = max(d.last, index)
			d.entrySizes.add(index, valueLength(b[i].Value))
		}
		b, size, from = nil, 0, to
		return nil
	}
	for i, l := range logs {
		stored, err := d.writeChunked(appendEntry(nil, l), keyLogPart, encodeIndex(l.Index), d.partSize)
		if err != nil {
			return err
		}
		b = append(b, kv.Op{Kind: kv.Put, Key: key(keyLog, encodeIndex(l.Index)), Value: stored})
		if size += len(stored); size > batchParts*d.partSize {
			if err := flush(i + 1); err != nil {
				return err
			}
		}
	}
	return flush(len(logs))
}

// DeleteRange deletes the entries from first to last, both included.
func (d *disk) DeleteRange(first, last uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.db.Write(kv.Batch{
		{Kind: kv.DeleteRange, Key: key(keyLog, encodeIndex(first)), Value: key(keyLog, encodeIndex(last+1))},
		{Kind: kv.DeleteRange, Key: key(keyLogPart, encodeIndex(first)), Value: key(keyLogPart, encodeIndex(last+1))}})
	if err != nil {
		return err
	}
	// The log has no gap from the first entry in entrySizes on, so its new ends are known without reading it.
	switch {
	case first <= d.first && last >= d.last:
		d.first, d.last, d.entrySizes = 0, 0, entrySizes{}
	case first <= d.first && last+1 >= d.entrySizes.first:
		d.first = max(d.first, last+1)
	case last >= d.last && first > max(d.entrySizes.first, d.first):
		d.last = min(d.last, first-1)
		d.entrySizes.truncate(d.last)
	default:
		return d.measureLog()
	}
	return nil
}

// measureLog reads the ends of the log and the sizes of its entries.
func (d *disk) measureLog() error {
	view := d.db.Snapshot()
	defer view.Close()
	d.first, d.last, d.entrySizes = 0, 0, entrySizes{}
	return view.Each([]byte{keyLog}, func(key, value []byte) bool {
		index := binary.BigEndian.Uint64(key[1:])
		if d.first == 0 {
			d.first = index
		}
		d.last = index
		d.entrySizes.add(index, valueLength(value))
		return true
	})
}

// entryHeaderSize is the size in bytes of a stored entry's header: type, term, the time at which the leader appended it (ns since
// 1970; 0 for unknown) and the length of the extensions. The extensions and the data follow.
const entryHeaderSize = 1 + 8 + 8 + 4

func appendEntry(to []byte, l *raft.Log) []byte {
	at := int64(0)
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	to = append(to, byte(l.Type))
	to = binary.BigEndian.AppendUint64(to, l.Term)
	to = binary.BigEndian.AppendUint64(to, uint64(at))
	to = binary.BigEndian.AppendUint32(to, uint32(len(l.Extensions)))
	return append(append(to, l.Extensions...), l.Data...)
}

func decodeEntry(index uint64, data []byte) (raft.Log, error) {
	if len(data) < entryHeaderSize {
		return raft.Log{}, fmt.Errorf("%d bytes are too short for an entry", len(data))
	}
	l := raft.Log{Index: index, Type: raft.LogType(data[0]), Term: binary.BigEndian.Uint64(data[1:])}
	if at := int64(binary.BigEndian.Uint64(data[9:])); at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	n := uint64(binary.BigEndian.Uint32(data[17:]))
	if data = data[entryHeaderSize:]; n > uint64(len(data)) {
		return raft.Log{}, fmt.Errorf("extensions of %d bytes in the remaining %d", n, len(data))
	}
	if n > 0 {
		l.Extensions = data[:n:n]
	}
	if len(data[n:]) > 0 {
		l.Data = data[n:]
	}
	return l, nil
}

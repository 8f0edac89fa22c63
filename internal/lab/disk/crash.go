package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Crash disconnects the disk and returns a disk with the contents found after a restart: everything that was synced and a random part of
// the rest. Of appended bytes that were not synced, any number may survive, and some may read as zeros.
func (d *Disk) Crash(rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected = true
	c := New()
	for _, name := range slices.Sorted(maps.Keys(d.syncedFiles)) {
		c.files[name] = d.syncedFiles[name]
	}
	all := slices.Sorted(maps.Keys(d.files))
	for _, name := range all { // names that were created or renamed may have survived
		if d.files[name] != d.syncedFiles[name] && rng.IntN(2) == 0 {
			c.files[name] = d.files[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.files)) { // names that were removed may be gone
		if d.files[name] == nil && rng.IntN(2) == 0 {
			delete(c.files, name)
		}
	}
	for name, old := range c.files {
		n := &inode{data: contentsAfterCrash(old, rng)}
		n.synced = slices.Clone(n.data)
		c.files[name] = n
	}
	c.syncedFiles = maps.Clone(c.files)
	return c
}

// contentsAfterCrash returns the contents of a file after a crash, with a random part of the bytes that were not synced.
func contentsAfterCrash(n *inode, rng *rand.Rand) []byte {
	if len(n.data) < len(n.synced) { // truncated, and the truncation was not synced
		if rng.IntN(2) == 0 {
			return slices.Clone(n.data)
		}
		return slices.Clone(n.synced)
	}
	out := slices.Clone(n.data[:len(n.synced)])
	rest := n.data[len(n.synced):]
	if len(rest) == 0 {
		return out
	}
	switch k := rng.IntN(len(rest) + 1); rng.IntN(3) {
	case 0: // blocks were allocated but not written
		out = append(out, make([]byte, k)...)
	case 1: // written out of order: the end survives, the start does not
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

package disk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Crash disconnects the disk and returns the one that is found after a restart: with what was synced, and a random part of what was not.
// Of bytes that were appended and not synced any length may be there, or zeros in part.
func (d *Disk) Crash(chance *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnected = true
	c := New()
	for _, name := range slices.Sorted(maps.Keys(d.syncedFiles)) {
		c.files[name] = d.syncedFiles[name]
	}
	all := slices.Sorted(maps.Keys(d.files))
	for _, name := range all { // names that were made or moved may be there
		if d.files[name] != d.syncedFiles[name] && chance.IntN(2) == 0 {
			c.files[name] = d.files[name]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.files)) { // and names that were removed may be gone
		if d.files[name] == nil && chance.IntN(2) == 0 {
			delete(c.files, name)
		}
	}
	for name, old := range c.files {
		n := &inode{data: survives(old, chance)}
		n.synced = slices.Clone(n.data)
		c.files[name] = n
	}
	c.syncedFiles = maps.Clone(c.files)
	return c
}

// survives returns the contents of a file after a crash.
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

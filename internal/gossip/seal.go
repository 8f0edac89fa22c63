package gossip

// This file owns the seal: who may talk to the fleet, and that nothing is taken twice. It must never put a key into an
// error or a log.

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// Key seals what is sent. Of several the first seals, and all open.
type Key struct {
	ID     byte
	Secret []byte // 16 bytes or more; AES-256 takes its SHA-256
}

// The layout: version, key id, nonce, and sealed by AES-256-GCM (with the two first bytes and the fleet's name as
// additional data) the sender's process, its counter, and the message.
const (
	nonceSize = 12
	headSize  = 2 + nonceSize
	tagSize   = 16
	sealOverhead  = headSize + 16 + tagSize
)

// Why something that came in is not used.
var (
	errSeal   = errors.New("sealed by no key of ours, or for another fleet")
	errVersion  = errors.New("of another version")
	errReplay = errors.New("came before, or far too late")
)

type sealKey struct {
	id   byte
	aead cipher.AEAD
}

// ring holds the keys; they can be replaced while others use it.
type keyring struct {
	fleet   string
	process uint64
	keys    atomic.Pointer[[]sealKey]
	counter atomic.Uint64
	nonces  atomic.Uint64
	salt    [4]byte

	mu      sync.Mutex
	windows map[uint64]*replayWindow // by the sender's process
	oldest  []uint64
}

// window tells which of a process's counters have come: the highest, and the 64 below it.
type replayWindow struct{ highest, seen uint64 }

const maxWindows = 20_000

func newKeyring(fleet string, process uint64, keys []Key) (*keyring, error) {
	r := &keyring{fleet: fleet, process: process, windows: map[uint64]*replayWindow{}}
	if _, err := rand.Read(r.salt[:]); err != nil {
		return nil, err
	}
	return r, r.set(keys)
}

func (r *keyring) set(keys []Key) error {
	var list []sealKey
	for _, k := range keys {
		if len(k.Secret) < 16 {
			return fmt.Errorf("key %d: 16 bytes or more are needed", k.ID)
		}
		secret := sha256.Sum256(append([]byte("gullfall gossip "), k.Secret...))
		block, err := aes.NewCipher(secret[:])
		if err != nil {
			return err
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return err
		}
		list = append(list, sealKey{k.ID, aead})
	}
	if len(list) == 0 {
		return errors.New("no key: packets can't be sealed")
	}
	r.keys.Store(&list)
	return nil
}

func (r *keyring) aad(head []byte) []byte { return append(append([]byte{}, head[:2]...), r.fleet...) }

// seal makes a packet of a message. A nonce is never used twice under a key: four random bytes of this process, and a count.
func (r *keyring) seal(plain []byte) []byte {
	key := (*r.keys.Load())[0]
	out := make([]byte, headSize, sealOverhead+len(plain))
	out[0], out[1] = Version, key.id
	copy(out[2:6], r.salt[:])
	binary.BigEndian.PutUint64(out[6:], r.nonces.Add(1)^r.process<<40)
	body := binary.BigEndian.AppendUint64(nil, r.process)
	body = binary.BigEndian.AppendUint64(body, r.counter.Add(1))
	return key.aead.Seal(out, out[2:headSize], append(body, plain...), r.aad(out))
}

// open reads a packet that has not come before.
func (r *keyring) open(raw []byte) ([]byte, error) {
	switch {
	case len(raw) < sealOverhead:
		return nil, errSeal
	case raw[0] != Version:
		return nil, errVersion
	}
	for _, k := range *r.keys.Load() {
		if k.id != raw[1] {
			continue
		}
		plain, err := k.aead.Open(nil, raw[2:headSize], raw[headSize:], r.aad(raw))
		if err != nil || len(plain) < 16 {
			continue
		}
		if !r.fresh(binary.BigEndian.Uint64(plain), binary.BigEndian.Uint64(plain[8:])) {
			return nil, errReplay
		}
		return plain[16:], nil
	}
	return nil, errSeal
}

// fresh notes a counter, and tells whether it is new.
func (r *keyring) fresh(process, n uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windows[process]
	if w == nil {
		if len(r.oldest) >= maxWindows {
			delete(r.windows, r.oldest[0])
			r.oldest = r.oldest[1:]
		}
		w = &replayWindow{}
		r.windows[process] = w
		r.oldest = append(r.oldest, process)
	}
	switch {
	case n > w.highest:
		if by := n - w.highest; by < 64 {
			w.seen = w.seen<<by | 1
		} else {
			w.seen = 1
		}
		w.highest = n
		return true
	case w.highest-n >= 64 || w.seen&(1<<(w.highest-n)) != 0:
		return false
	}
	w.seen |= 1 << (w.highest - n)
	return true
}

package gossip

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
)

// Key seals what is sent. Of several the first seals, and all open.
type Key struct {
	ID     byte
	Secret []byte // 16 bytes or more; AES-256 takes its SHA-256
}

// A sealed packet is version, key id and nonce, then sealed by AES-256-GCM the sender's process, its counter, and the
// message. The first two bytes and the fleet's name are additional data, so that a packet of another fleet is not opened.
const (
	nonceSize    = 12
	headSize     = 2 + nonceSize
	counterSize  = 16 // process and counter
	tagSize      = 16
	sealOverhead = headSize + counterSize + tagSize
)

// minSecret is the least length of a key's secret in bytes.
const minSecret = 16

// Why something that came in is not used.
var (
	errSeal    = errors.New("sealed by no key of this fleet")
	errVersion = errors.New("of another version")
	errReplay  = errors.New("came before, or far too late")
)

// sealKey is one key, ready for use.
type sealKey struct {
	id   byte
	aead cipher.AEAD
}

// keyring seals and opens packets. It is safe for concurrent use, also while its keys are replaced. Errors never contain a
// secret.
type keyring struct {
	fleet   string
	process uint64
	keys    atomic.Pointer[[]sealKey] // the first seals
	counter atomic.Uint64             // of this process's packets, for replayFilter
	nonces  atomic.Uint64
	salt    [4]byte // of this process's nonces
	replays replayFilter
}

func newKeyring(fleet string, process uint64, keys []Key) (*keyring, error) {
	k := &keyring{fleet: fleet, process: process, replays: replayFilter{windows: map[uint64]*replayWindow{}}}
	if _, err := rand.Read(k.salt[:]); err != nil {
		return nil, err
	}
	return k, k.set(keys)
}

// set replaces the keys.
func (k *keyring) set(keys []Key) error {
	var list []sealKey
	for _, key := range keys {
		if len(key.Secret) < minSecret {
			return fmt.Errorf("key %d: %d bytes or more are needed", key.ID, minSecret)
		}
		secret := sha256.Sum256(append([]byte("gullfall gossip "), key.Secret...))
		block, err := aes.NewCipher(secret[:])
		if err != nil {
			return err
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return err
		}
		list = append(list, sealKey{key.ID, aead})
	}
	if len(list) == 0 {
		return errors.New("no key: packets can't be sealed")
	}
	k.keys.Store(&list)
	return nil
}

// additionalData is what is authenticated beside the sealed bytes.
func (k *keyring) additionalData(head []byte) []byte {
	return append(append([]byte{}, head[:2]...), k.fleet...)
}

// seal makes a packet of a message. A nonce must not be used twice under a key: it is four random bytes of this process,
// and a count that begins at a place of its own for each process.
func (k *keyring) seal(plain []byte) []byte {
	key := (*k.keys.Load())[0]
	out := make([]byte, headSize, sealOverhead+len(plain))
	out[0], out[1] = Version, key.id
	copy(out[2:6], k.salt[:])
	binary.BigEndian.PutUint64(out[6:], k.nonces.Add(1)^k.process<<40)
	body := binary.BigEndian.AppendUint64(nil, k.process)
	body = binary.BigEndian.AppendUint64(body, k.counter.Add(1))
	return key.aead.Seal(out, out[2:headSize], append(body, plain...), k.additionalData(out))
}

// open returns the message of a packet that has not come before. The error is errSeal, errVersion or errReplay.
func (k *keyring) open(raw []byte) ([]byte, error) {
	switch {
	case len(raw) < sealOverhead:
		return nil, errSeal
	case raw[0] != Version:
		return nil, errVersion
	}
	for _, key := range *k.keys.Load() {
		if key.id != raw[1] {
			continue
		}
		plain, err := key.aead.Open(nil, raw[2:headSize], raw[headSize:], k.additionalData(raw))
		if err != nil || len(plain) < counterSize {
			continue
		}
		if !k.replays.accept(binary.BigEndian.Uint64(plain), binary.BigEndian.Uint64(plain[8:])) {
			return nil, errReplay
		}
		return plain[counterSize:], nil
	}
	return nil, errSeal
}

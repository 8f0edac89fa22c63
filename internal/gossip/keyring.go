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

// Key is a shared key for packets and exchanges. Of several keys, the first one seals and all of them open.
type Key struct {
	ID     byte
	Secret []byte // 16 bytes or more; the AES-256 key is derived from it by SHA-256
}

// A sealed packet consists of version, key id and nonce, followed by the sender's process, its counter and the message, which
// AES-256-GCM seals. The first two bytes and the fleet's name are additional data, so that packets of another fleet can't be opened.
const (
	nonceSize    = 12
	headerSize   = 2 + nonceSize
	counterSize  = 16 // process and counter
	tagSize      = 16
	sealOverhead = headerSize + counterSize + tagSize
)

// minSecretBytes is the minimum length of a key's secret in bytes.
const minSecretBytes = 16

// Reasons why a packet or exchange is discarded.
var (
	errSeal    = errors.New("packet not sealed with a key of this fleet")
	errVersion = errors.New("packet of another version")
	errReplay  = errors.New("packet replayed or too late")
)

// sealKey is a key with its initialized cipher.
type sealKey struct {
	id   byte
	aead cipher.AEAD
}

// keyring seals and opens packets. It is safe for concurrent use, including the replacement of its keys. Its errors never contain a
// secret.
type keyring struct {
	fleet   string
	process uint64
	keys    atomic.Pointer[[]sealKey] // the first one seals
	counter atomic.Uint64             // of the packets that this process seals, for the peers' replayFilter
	nonces  atomic.Uint64             // number of nonces used
	salt    [4]byte                   // random part of this process's nonces
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
		if len(key.Secret) < minSecretBytes {
			return fmt.Errorf("key %d: the secret must have at least %d bytes", key.ID, minSecretBytes)
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

// additionalData returns the data that is authenticated in addition to the sealed bytes.
func (k *keyring) additionalData(header []byte) []byte {
	return append(append([]byte{}, header[:2]...), k.fleet...)
}

// seal returns a packet that contains a message. A nonce must not be used twice with a key, so it consists of four random bytes of
// this process and a count whose start depends on the process.
func (k *keyring) seal(plain []byte) []byte {
	key := (*k.keys.Load())[0]
	out := make([]byte, headerSize, sealOverhead+len(plain))
	out[0], out[1] = Version, key.id
	copy(out[2:6], k.salt[:])
	binary.BigEndian.PutUint64(out[6:], k.nonces.Add(1)^k.process<<40)
	body := binary.BigEndian.AppendUint64(nil, k.process)
	body = binary.BigEndian.AppendUint64(body, k.counter.Add(1))
	return key.aead.Seal(out, out[2:headerSize], append(body, plain...), k.additionalData(out))
}

// open returns the message of a packet, and accepts each packet only once. The error is errSeal, errVersion or errReplay.
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
		plain, err := key.aead.Open(nil, raw[2:headerSize], raw[headerSize:], k.additionalData(raw))
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

package flight

// Sealed tokens: tickets of flights and bearer tokens. A client can't read more than it put in, can't forge one, and can't use one
// that has expired or is of another purpose. Keys stay out of errors and logs.

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Key seals tokens. Of several the first seals, and all open what they have sealed.
type Key struct {
	ID     byte
	Secret []byte
}

// purpose is what a token is for; one for another purpose is none.
type purpose byte

const (
	forFetch  purpose = 'F' // a range of a flight
	forPoll   purpose = 'P' // to ask after a flight
	forBearer purpose = 'B' // who somebody is
)

// The layout: magic, version, purpose, key id, expiry (Unix milliseconds, big endian), length of the owner, the owner,
// the payload, and over all of that HMAC-SHA256, cut to 16 bytes (RFC 2104, 5).
const (
	magic   = "gf"
	version = 1
	macSize = 16
	head    = len(magic) + 1 + 1 + 1 + 8 + 1
)

// The errors of tokens.
var (
	errToken   = errors.New("ticket is not one of this service's, or was sealed by a key that is no longer known; ask for a new one")
	errExpired = errors.New("ticket has expired; ask for a new one")
)

// keyring holds the keys; they can be replaced while others use it.
type keyring struct{ keys atomic.Pointer[[]Key] }

// set replaces the keys. Without any, one is made that ends with the process.
func (k *keyring) set(keys []Key) {
	if len(keys) == 0 {
		secret := make([]byte, 32)
		rand.Read(secret)
		keys = []Key{{ID: 0, Secret: secret}}
	}
	k.keys.Store(&keys)
}

func sum(key Key, text []byte) []byte {
	h := hmac.New(sha256.New, key.Secret)
	h.Write(text)
	return h.Sum(nil)[:macSize]
}

// seal makes a token. The owner has 255 bytes at most.
func (k *keyring) seal(p purpose, owner string, until time.Time, payload []byte) []byte {
	key := (*k.keys.Load())[0]
	out := append([]byte(magic), version, byte(p), key.ID)
	out = binary.BigEndian.AppendUint64(out, uint64(until.UnixMilli()))
	out = append(out, byte(len(owner)))
	out = append(append(out, owner...), payload...)
	return append(out, sum(key, out)...)
}

// sealed tells whether bytes claim to be a token.
func sealed(raw []byte) bool { return len(raw) >= len(magic) && string(raw[:len(magic)]) == magic }

// open reads a token.
func (k *keyring) open(now time.Time, p purpose, raw []byte) (owner string, payload []byte, err error) {
	if len(raw) < head+macSize || !sealed(raw) {
		return "", nil, errToken
	}
	text, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	good := false
	for _, key := range *k.keys.Load() {
		good = good || key.ID == raw[4] && hmac.Equal(mac, sum(key, text))
	}
	n := int(raw[head-1])
	switch {
	case !good || raw[2] != version || len(text) < head+n:
		return "", nil, errToken
	case purpose(raw[3]) != p:
		return "", nil, fmt.Errorf("%w (it is for another call)", errToken)
	case now.UnixMilli() >= int64(binary.BigEndian.Uint64(raw[5:13])):
		return "", nil, errExpired
	}
	return string(text[head : head+n]), text[head+n:], nil
}

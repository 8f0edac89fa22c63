package flight

// Signed tokens: tickets of flights, descriptors of polls, and bearer tokens. A client learns nothing from a token beyond what it
// supplied, can't forge one, and can't use one that has expired or was issued for another purpose. Keys never appear in errors or logs.

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

// Key signs tokens. The first of several keys signs new tokens; each of them verifies the tokens it has signed.
type Key struct {
	ID     byte
	Secret []byte
}

// purpose says what a token may be used for. A token is invalid for any other purpose.
type purpose byte

const (
	purposeFetch  purpose = 'F' // fetches a range of a flight
	purposePoll   purpose = 'P' // polls a flight
	purposeBearer purpose = 'B' // authenticates a caller
)

// Layout of a token: magic, version, purpose, key ID, expiry (Unix milliseconds, big endian), length of the owner, owner, payload,
// and the HMAC-SHA256 of all of these, truncated to 16 bytes (RFC 2104, section 5).
const (
	tokenMagic   = "gf"
	tokenVersion = 1
	macSize      = 16
	headerSize   = len(tokenMagic) + 1 + 1 + 1 + 8 + 1
)

// Errors of token verification. Clients receive their texts.
var (
	errInvalidToken = errors.New("ticket is not one of this service's, or was sealed by a key that is no longer known; ask for a new one")
	errTokenExpired = errors.New("ticket has expired; ask for a new one")
)

// keyring holds the keys. They can be replaced while it is in use.
type keyring struct{ keys atomic.Pointer[[]Key] }

// set replaces the keys. Given none, it generates a key that lasts until the process ends.
func (k *keyring) set(keys []Key) {
	if len(keys) == 0 {
		secret := make([]byte, 32)
		rand.Read(secret)
		keys = []Key{{ID: 0, Secret: secret}}
	}
	k.keys.Store(&keys)
}

func tokenMAC(key Key, signed []byte) []byte {
	h := hmac.New(sha256.New, key.Secret)
	h.Write(signed)
	return h.Sum(nil)[:macSize]
}

// sign returns a token. The owner may have at most 255 bytes.
func (k *keyring) sign(p purpose, owner string, until time.Time, payload []byte) []byte {
	key := (*k.keys.Load())[0]
	out := append([]byte(tokenMagic), tokenVersion, byte(p), key.ID)
	out = binary.BigEndian.AppendUint64(out, uint64(until.UnixMilli()))
	out = append(out, byte(len(owner)))
	out = append(append(out, owner...), payload...)
	return append(out, tokenMAC(key, out)...)
}

// isToken reports whether raw starts like a token.
func isToken(raw []byte) bool {
	return len(raw) >= len(tokenMagic) && string(raw[:len(tokenMagic)]) == tokenMagic
}

// verify checks that a token is authentic, was issued for purpose p and has not expired, and returns its owner and payload.
func (k *keyring) verify(now time.Time, p purpose, raw []byte) (owner string, payload []byte, err error) {
	if len(raw) < headerSize+macSize || !isToken(raw) {
		return "", nil, errInvalidToken
	}
	signed, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	authentic := false
	for _, key := range *k.keys.Load() {
		authentic = authentic || key.ID == raw[4] && hmac.Equal(mac, tokenMAC(key, signed))
	}
	n := int(raw[headerSize-1])
	switch {
	case !authentic || raw[2] != tokenVersion || len(signed) < headerSize+n:
		return "", nil, errInvalidToken
	case purpose(raw[3]) != p:
		return "", nil, fmt.Errorf("%w (it is for another call)", errInvalidToken)
	case now.UnixMilli() >= int64(binary.BigEndian.Uint64(raw[5:13])):
		return "", nil, errTokenExpired
	}
	return string(signed[headerSize : headerSize+n]), signed[headerSize+n:], nil
}

package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
)

// minSecretBytes is the shortest secret that seals anything.
const minSecretBytes = 16

// faults are the errors of a check. Each begins with the key that it is about.
type faults []error

func (f *faults) add(format string, args ...any) { *f = append(*f, fmt.Errorf(format, args...)) }

// checkLoopback adds a fault unless addr is an address of this machine, with a port.
func (f *faults) checkLoopback(key, addr string) {
	if ap, err := netip.ParseAddrPort(addr); err != nil {
		f.add("%s: %w", key, err)
	} else if !ap.Addr().IsLoopback() {
		f.add("%s: %s is not a loopback address", key, addr)
	}
}

// checkOptionalLoopback is checkLoopback for an address that may be empty.
func (f *faults) checkOptionalLoopback(key, addr string) {
	if addr != "" {
		f.checkLoopback(key, addr)
	}
}

// checkLoopbackPort is checkLoopback for a port that must not be 0.
func (f *faults) checkLoopbackPort(key, addr string) {
	if ap, err := netip.ParseAddrPort(addr); err != nil {
		f.add("%s: %w", key, err)
	} else if !ap.Addr().IsLoopback() || ap.Port() == 0 {
		f.add("%s: %s is not a loopback address with a port", key, addr)
	}
}

// checkNetworks adds a fault unless each of a list is a network or an address.
func (f *faults) checkNetworks(key string, list []string) {
	if _, err := networks(list); err != nil {
		f.add("%s: %w", key, err)
	}
}

// checkSecret checks a key that seals: its id is that of no key before it, and its secret is long enough. An error never holds the
// secret.
func (f *faults) checkSecret(key string, id int, secret string, seen map[int]bool) {
	if id < 1 || id > 255 || seen[id] {
		f.add("%s.id: %d is not within 1 and 255, or another's", key, id)
	}
	seen[id] = true
	if raw, err := base64.StdEncoding.DecodeString(secret); err != nil || len(raw) < minSecretBytes {
		f.add("%s.secret: 16 bytes or more in base64 are needed", key)
	}
}

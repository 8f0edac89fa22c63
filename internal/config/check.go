package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
)

// minSecretBytes is the minimum length of a secret key.
const minSecretBytes = 16

// faults collects the errors of a check. Each begins with the faulty key.
type faults []error

func (f *faults) add(format string, args ...any) { *f = append(*f, fmt.Errorf(format, args...)) }

// checkLoopback adds a fault unless addr is a loopback address and port.
func (f *faults) checkLoopback(key, addr string) {
	if ap, err := netip.ParseAddrPort(addr); err != nil {
		f.add("%s: %w", key, err)
	} else if !ap.Addr().IsLoopback() {
		f.add("%s: %s is not a loopback address", key, addr)
	}
}

// checkOptionalLoopback works like checkLoopback but allows an empty addr.
func (f *faults) checkOptionalLoopback(key, addr string) {
	if addr != "" {
		f.checkLoopback(key, addr)
	}
}

// checkLoopbackPort works like checkLoopback and also rejects port 0.
func (f *faults) checkLoopbackPort(key, addr string) {
	if ap, err := netip.ParseAddrPort(addr); err != nil {
		f.add("%s: %w", key, err)
	} else if !ap.Addr().IsLoopback() || ap.Port() == 0 {
		f.add("%s: %s is not a loopback address with a port", key, addr)
	}
}

// checkNetworks adds a fault unless each entry of list is a network or an address.
func (f *faults) checkNetworks(key string, list []string) {
	if _, err := parseNetworks(list); err != nil {
		f.add("%s: %w", key, err)
	}
}

// checkSecret checks a secret key: its id is within 1 and 255 and not in seen, to which it is added, and its secret is long enough.
// The fault never contains the secret.
func (f *faults) checkSecret(key string, id int, secret string, seen map[int]bool) {
	if id < 1 || id > 255 || seen[id] {
		f.add("%s.id: %d is not within 1 and 255, or is a duplicate", key, id)
	}
	seen[id] = true
	if raw, err := base64.StdEncoding.DecodeString(secret); err != nil || len(raw) < minSecretBytes {
		f.add("%s.secret: must be at least 16 bytes in base64", key)
	}
}

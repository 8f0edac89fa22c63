package flight_test

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// prefixSet returns an address set of one network.
func prefixSet(network string) *bart.Lite {
	s := new(bart.Lite)
	s.Insert(netip.MustParsePrefix(network))
	return s
}

// prefixTable returns a table that maps one network to its owner.
func prefixTable(network, owner string) *bart.Table[string] {
	s := new(bart.Table[string])
	s.Insert(netip.MustParsePrefix(network), owner)
	return s
}

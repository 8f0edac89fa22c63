package flight_test

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// set and table are address sets of one network.
func set(network string) *bart.Lite {
	s := new(bart.Lite)
	s.Insert(netip.MustParsePrefix(network))
	return s
}

func table(network, owner string) *bart.Table[string] {
	s := new(bart.Table[string])
	s.Insert(netip.MustParsePrefix(network), owner)
	return s
}

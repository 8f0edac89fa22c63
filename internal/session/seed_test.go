package session

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

// A fixed seed makes the property tests deterministic; -rapid.seed on the command line overrides it.
func init() { flag.Set("rapid.seed", "20261201") }

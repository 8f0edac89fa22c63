package platform

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// A fixed seed makes the result of the random tests reproducible; -rapid.seed on the command line overrides it.
func init() { flag.Set("rapid.seed", "20261201") }

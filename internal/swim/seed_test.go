package swim_test

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

// A fixed seed makes test results reproducible; -rapid.seed on the command line overrides it.
func init() { flag.Set("rapid.seed", "20261201") }

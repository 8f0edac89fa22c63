package store

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// A fixed seed makes the random histories, and so the test results, reproducible; -rapid.seed on the command line selects others.
func init() { flag.Set("rapid.seed", "20261202") }

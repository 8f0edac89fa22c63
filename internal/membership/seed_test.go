package membership

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// A fixed seed makes the random histories, and so the results, reproducible; -rapid.seed on the command line sets another.
func init() { flag.Set("rapid.seed", "20261201") }

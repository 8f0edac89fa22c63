// Command simhost runs the decision module behind the simulator's protocol on standard input and output. If a line of input can't be
// decoded, it prints one line to standard error and exits with status 1.
package main

import (
	"fmt"
	"os"

	"gullfall/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

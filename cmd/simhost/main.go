// Command simhost runs the decision module behind the simulator's protocol on standard input and output. It exits with status 1 and one
// line on standard error where a line of input can't be read.
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

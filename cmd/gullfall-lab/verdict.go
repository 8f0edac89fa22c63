package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"gullfall/internal/lab/knownred"
)

// verdictCmd reports whether a test run passed, ignoring failures of the tests that a file lists.
type verdictCmd struct {
	Known string `default:"KNOWN-RED.txt" help:"File that lists known failing tests: one a line, with cause and issue, three at most."`
}

// Run reads the output of go test -json from standard input and prints the result.
func (v verdictCmd) Run() error {
	var list []knownred.Entry
	file, err := os.Open(v.Known)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err == nil {
		defer file.Close()
		if list, err = knownred.Parse(file); err != nil {
			return fmt.Errorf("parse %s: %w", v.Known, err)
		}
	}
	verdict, err := knownred.Judge(os.Stdin, list, os.Stdout)
	if err != nil {
		return err
	}
	for _, entry := range verdict.Known {
		fmt.Printf("known red: %s: %s (issue %s)\n", entry.Test, entry.Cause, entry.Issue)
	}
	for _, name := range verdict.Unknown {
		fmt.Printf("failed: %s\n", name)
	}
	fmt.Printf("%d passed, %d failed\n", verdict.Passed, verdict.Failed)
	if !verdict.OK() {
		return errors.New("tests failed")
	}
	return nil
}

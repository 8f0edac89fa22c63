package main

import (
	"debug/elf"
	"os"
	"slices"
	"testing"
)

// TestLinked: some of the platform's test runs preload a library into the daemon, which requires a dynamically linked program, one that
// names an interpreter. .ci/run sets BUILT to the program that the deploy file builds.
func TestLinked(t *testing.T) {
	path := os.Getenv("BUILT")
	if path == "" {
		t.Skip("BUILT names no program; .ci/run sets it")
	}
	f, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Errorf("%s is linked statically: build with cgo and -ldflags=-linkmode=external", path)
	}
}

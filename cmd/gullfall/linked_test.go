package main

import (
	"debug/elf"
	"os"
	"slices"
	"testing"
)

// TestLinked: the vast days load a library into the daemon as it starts, which needs a program that names an
// interpreter. .ci/run says where the deploy file's build has left it.
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

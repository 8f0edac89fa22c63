package fleet_test

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// program builds the real program for a test, and tells where it lies.
func program(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "gullfall")
	if out, err := exec.Command("go", "build", "-o", binary, "gullfall/cmd/gullfall").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// must ends a test by an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

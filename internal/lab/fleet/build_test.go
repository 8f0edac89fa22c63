package fleet_test

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// buildProgram builds gullfall in a temporary folder and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "gullfall")
	if out, err := exec.Command("go", "build", "-o", binary, "gullfall/cmd/gullfall").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestKilledLabLeavesNoCoordinators checks that the lab ignores SIGHUP, and that the coordinators it started end when it is killed. The
// first child of a Go program may be a short-lived probe of package os, so the coordinator is identified by its process name.
func TestKilledLabLeavesNoCoordinators(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "gullfall/cmd/gullfall", "gullfall/cmd/gullfall-lab").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	lab := exec.Command(filepath.Join(dir, "gullfall-lab"), "demo", "--for", "60s")
	lab.Env = append(os.Environ(), "TMPDIR="+dir)
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	defer lab.Process.Kill()
	wait := func(what string, met func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !met(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timeout after 20 s: %s", what)
			}
		}
	}
	var child int
	wait("waiting for the lab to start a coordinator", func() bool {
		lists, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(lab.Process.Pid), "task", "*", "children"))
		for _, f := range lists {
			raw, _ := os.ReadFile(f)
			for _, pid := range strings.Fields(string(raw)) {
				if name, _ := os.ReadFile(filepath.Join("/proc", pid, "comm")); strings.TrimSpace(string(name)) == "gullfall" {
					child, _ = strconv.Atoi(pid)
				}
			}
		}
		return child > 0
	})
	runs := func() bool {
		raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(child), "stat"))
		return err == nil && !bytes.Contains(raw, []byte(") Z "))
	}
	lab.Process.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if !runs() || lab.Process.Signal(syscall.Signal(0)) != nil {
		t.Error("the lab or its coordinator ended on SIGHUP")
	}
	lab.Process.Kill()
	lab.Wait()
	wait("waiting for the coordinator to end after the lab was killed", func() bool { return !runs() })
}

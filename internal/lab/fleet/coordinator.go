package fleet

// Here is one process of the real program in a folder of its own: its files, its start, its signals and its
// end. It must never signal a process that it did not start, and gives the folder back in Stop.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// logFile is where the program's log goes, in its folder.
const logFile = "gullfall.log"

// Coordinator is one running bin/gullfall.
type Coordinator struct {
	Front string // where it listens

	dir     string
	cmd     *exec.Cmd
	stopped bool
	ended   chan struct{} // closed once exit is set
	exit    error         // of the process; nil for status 0
}

// Spawn writes config.json, deploy/gullfall.toml and whatever else files names into a new folder, starts the binary
// there and returns once its front accepts. The caller stops it, also after an error if it is not nil.
func Spawn(ctx context.Context, binary, front string, files map[string]string) (*Coordinator, error) {
	c := &Coordinator{Front: front, ended: make(chan struct{})}
	var err error
	if c.dir, err = os.MkdirTemp("", "gullfall-lab-"); err != nil {
		return c, err
	}
	if err := os.MkdirAll(filepath.Join(c.dir, "deploy"), 0o755); err != nil {
		return c, err
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o644); err != nil {
			return c, err
		}
	}
	log, err := os.Create(filepath.Join(c.dir, logFile))
	if err != nil {
		return c, err
	}
	defer log.Close()
	if binary, err = filepath.Abs(binary); err != nil {
		return c, err
	}
	c.cmd = exec.Command(binary)
	c.cmd.Dir, c.cmd.Stderr, c.cmd.Stdout = c.dir, log, log
	c.cmd.Env = append(os.Environ(), "NODE_CONFIG="+filepath.Join(c.dir, "config.json"), "NODE_NAME=", "NODE_LISTEN=",
		"NODE_DISCOVERY=")
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should the lab be killed itself
	if err := c.cmd.Start(); err != nil {
		c.cmd = nil
		return c, fmt.Errorf("starting %s: %w; build it by go build -o bin/ ./cmd/... first", binary, err)
	}
	go func() {
		defer close(c.ended)
		c.exit = c.cmd.Wait()
	}()
	for ctx.Err() == nil {
		if nc, err := net.Dial("tcp", front); err == nil {
			nc.Close()
			break
		}
		select {
		case <-c.ended:
			return c, fmt.Errorf("gullfall ended at its start: %w\n%s", c.startError(), c.Log(1000))
		case <-time.After(10 * time.Millisecond):
		}
	}
	return c, ctx.Err()
}

// startError says how a process ended that was to serve.
func (c *Coordinator) startError() error {
	if c.exit == nil {
		return errors.New("exit status 0")
	}
	return c.exit
}

// Pid is the process's id, for figures read from /proc.
func (c *Coordinator) Pid() int { return c.cmd.Process.Pid }

// Log is the end of what the program has logged.
func (c *Coordinator) Log(bytes int) string {
	raw, _ := os.ReadFile(filepath.Join(c.dir, logFile))
	return string(raw[max(0, len(raw)-bytes):])
}

// Logged counts the lines of the log that hold a text.
func (c *Coordinator) Logged(text string) int { return len(c.Lines(text)) }

// Lines are the lines of the log that hold a text.
func (c *Coordinator) Lines(text string) (lines []string) {
	raw, _ := os.ReadFile(filepath.Join(c.dir, logFile))
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Kill ends the program by SIGKILL and waits for its end; its folder stays until Discard.
func (c *Coordinator) Kill() error {
	if c.stopped || c.cmd == nil {
		return nil
	}
	c.stopped = true
	_ = c.cmd.Process.Signal(syscall.SIGCONT) // it may have ended, or not be stalled
	err := c.cmd.Process.Kill()
	<-c.ended
	return err
}

// Discard removes the folder of a program that was killed.
func (c *Coordinator) Discard() error { return os.RemoveAll(c.dir) }

// Stop ends the program by SIGTERM (after SIGCONT, should it be stalled), by SIGKILL after 30 s, and removes its
// folder; once is enough. It tells of a program that did not end well.
func (c *Coordinator) Stop() (err error) {
	if c.stopped {
		return nil
	}
	c.stopped = true
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(syscall.SIGCONT) // where it has ended already, ended has its status
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-c.ended:
			err = c.exit
		case <-time.After(30 * time.Second):
			_ = c.cmd.Process.Kill()
			<-c.ended
			err = errors.New("gullfall did not end within 30 s of SIGTERM")
		}
	}
	return errors.Join(err, os.RemoveAll(c.dir))
}

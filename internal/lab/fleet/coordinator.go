package fleet

// This file runs one gullfall process in a temporary folder: its files, start, signals and end. It signals only the process that
// it has started, and Stop removes the folder.

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

// logFile is the name of the program's log in its folder.
const logFile = "gullfall.log"

// Coordinator is one gullfall process.
type Coordinator struct {
	Front string // address on which it accepts queries

	dir     string
	cmd     *exec.Cmd
	stopped bool
	ended   chan struct{} // closed once exit is set
	exit    error         // result of cmd.Wait; nil for status 0
}

// Spawn writes files (config.json, deploy/gullfall.toml and others, by name) into a new folder, starts the binary there and returns
// once it accepts connections at front. The caller stops the coordinator if it is not nil, also after an error.
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
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if the lab is killed, the process ends with it
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
			return c, fmt.Errorf("gullfall exited during startup: %w\n%s", c.exitError(), c.Log(1000))
		case <-time.After(10 * time.Millisecond):
		}
	}
	return c, ctx.Err()
}

// exitError returns the exit status of a process that should have kept running, as an error.
func (c *Coordinator) exitError() error {
	if c.exit == nil {
		return errors.New("exit status 0")
	}
	return c.exit
}

// Pid returns the process id, with which resource use is read from /proc.
func (c *Coordinator) Pid() int { return c.cmd.Process.Pid }

// Log returns the last bytes of the program's log.
func (c *Coordinator) Log(bytes int) string {
	raw, _ := os.ReadFile(filepath.Join(c.dir, logFile))
	return string(raw[max(0, len(raw)-bytes):])
}

// Logged returns the number of log lines that contain a text.
func (c *Coordinator) Logged(text string) int { return len(c.Lines(text)) }

// Lines returns the log lines that contain a text.
func (c *Coordinator) Lines(text string) (lines []string) {
	raw, _ := os.ReadFile(filepath.Join(c.dir, logFile))
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Kill ends the program with SIGKILL and waits for its exit; its folder stays until Discard.
func (c *Coordinator) Kill() error {
	if c.stopped || c.cmd == nil {
		return nil
	}
	c.stopped = true
	_ = c.cmd.Process.Signal(syscall.SIGCONT) // fails if the process has already exited; it need not be stopped
	err := c.cmd.Process.Kill()
	<-c.ended
	return err
}

// Discard removes the folder of a killed program.
func (c *Coordinator) Discard() error { return os.RemoveAll(c.dir) }

// Stop ends the program with SIGTERM, or with SIGKILL after 30 s, and removes its folder. It sends SIGCONT first, since a process
// stopped by SIGSTOP doesn't handle SIGTERM. Further calls do nothing. The error is a nonzero exit status or the timeout.
func (c *Coordinator) Stop() (err error) {
	if c.stopped {
		return nil
	}
	c.stopped = true
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(syscall.SIGCONT) // fails if the process has already exited; then c.exit has its status
		_ = c.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-c.ended:
			err = c.exit
		case <-time.After(30 * time.Second):
			_ = c.cmd.Process.Kill()
			<-c.ended
			err = errors.New("gullfall did not exit within 30 s of SIGTERM")
		}
	}
	return errors.Join(err, os.RemoveAll(c.dir))
}

package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// testCommands holds a command that succeeds and one that fails.
var testCommands = map[string]Command{
	"echo": func(_ context.Context, args json.RawMessage) (any, error) { return args, nil },
	"fail": func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("it can't") },
}

// startServer serves testCommands on a socket in a temporary directory.
func startServer(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "admin")
	s, err := Serve(path, testCommands)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return path
}

func TestCommands(t *testing.T) {
	path := startServer(t)
	var got string
	if err := Call(t.Context(), path, "echo", "x", &got); err != nil || got != "x" {
		t.Errorf("got %q, error %v", got, err)
	}
	for command, want := range map[string]string{"fail": "it can't", "other": "not served here"} {
		err := Call(t.Context(), path, command, nil, &got)
		var failed *CommandError
		if !errors.As(err, &failed) || failed.Command != command || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", command, err)
		}
	}
}

func TestInvalidRequestLines(t *testing.T) {
	path := startServer(t)
	for line, want := range map[string]string{"nonsense\n": "not a request", strings.Repeat("x", maxRequestBytes+1) + "\n": "a line of over"} {
		nc, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		go nc.Write([]byte(line))
		var resp response
		if err := json.NewDecoder(nc).Decode(&resp); err != nil || !strings.Contains(resp.Failed, want) {
			t.Errorf("%.20q: %+v, error %v", line, resp, err)
		}
		nc.Close()
	}
}

// TestSocketModeAndReplacement: the socket has mode 0600; a stale socket of a killed process is replaced, one in use is not; after
// Close, calls fail with ErrUnreachable.
func TestSocketModeAndReplacement(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	s, err := Serve(path, testCommands)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, error %v", info.Mode(), err)
	}
	if _, err := Serve(path, testCommands); !errors.Is(err, ErrInUse) || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a second server: %v", err)
	}
	s.Close()
	var got string
	if err := Call(t.Context(), path, "echo", "x", &got); !errors.Is(err, ErrUnreachable) || !strings.Contains(err.Error(), "no coordinator answers") {
		t.Errorf("after its end: %v", err)
	}
}

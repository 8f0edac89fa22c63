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

// TestCommands: an answer, a failure, a command that is not served, what is no request, a line that is too long; the socket
// is the owner's alone, a dead one is replaced and a living one is not.
func TestCommands(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	commands := map[string]Command{
		"echo": func(_ context.Context, args json.RawMessage) (any, error) { return args, nil },
		"fail": func(context.Context, json.RawMessage) (any, error) { return nil, errors.New("it can't") },
	}
	if ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path}); err == nil { // left behind by a process that was killed
		ln.SetUnlinkOnClose(false)
		ln.Close()
	}
	s, err := Serve(path, commands)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, error %v", info.Mode(), err)
	}
	if _, err := Serve(path, commands); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a second server: %v", err)
	}
	var got string
	if err := Call(t.Context(), path, "echo", "x", &got); err != nil || got != "x" {
		t.Errorf("got %q, error %v", got, err)
	}
	for command, want := range map[string]string{"fail": "it can't", "other": "not served here"} {
		if err := Call(t.Context(), path, command, nil, &got); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", command, err)
		}
	}
	for line, want := range map[string]string{"nonsense\n": "not a request", strings.Repeat("x", maxRequestBytes+1) + "\n": "a line of over"} {
		nc, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		go nc.Write([]byte(line))
		var a response
		if err := json.NewDecoder(nc).Decode(&a); err != nil || !strings.Contains(a.Failed, want) {
			t.Errorf("%.20q: %+v, error %v", line, a, err)
		}
		nc.Close()
	}
	s.Close()
	if err := Call(t.Context(), path, "echo", "x", &got); err == nil || !strings.Contains(err.Error(), "no coordinator answers") {
		t.Errorf("after its end: %v", err)
	}
}

package main

// The dnssd commands against the lab's name server, and the check command.

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gullfall/internal/lab/nameserver"
)

// captureStdout runs a command and returns its standard output.
func captureStdout(t *testing.T, run func() error) (string, error) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	old := os.Stdout
	os.Stdout = w
	done := make(chan string)
	go func() { text, _ := io.ReadAll(r); done <- string(text) }()
	err = run()
	os.Stdout = old
	w.Close()
	return <-done, err
}

// TestDnssdCommands: browse shows data nodes and why a record is not used; watch shows changes.
func TestDnssdCommands(t *testing.T) {
	zone := nameserver.NewZone("club.example", 4500)
	s, err := nameserver.Start(zone, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, line := range []string{"add Sala_1 127.0.0.1:7001 cell=2 id=s1", "add b 127.0.0.1:7002 state=draining", "add c 192.0.2.1:7003"} {
		if err := s.Do(line); err != nil {
			t.Fatal(err)
		}
	}
	flags := zoneFlags{Deploy: filepath.Join(t.TempDir(), "none"), Domain: "club.example", Server: []string{s.Addr()}, Service: []string{"_dn._tcp"}}
	text, err := captureStdout(t, browseCmd{flags, 300 * time.Millisecond}.Run)
	for _, want := range []string{"s1", "127.0.0.1:7001", "draining", "outside dnssd.networks"} {
		if err != nil || !strings.Contains(text, want) {
			t.Errorf("browse, %v: no %q in %s", err, want, text)
		}
	}
	flags.JSON = true
	time.AfterFunc(600*time.Millisecond, func() { zone.Remove("Sala 1") })
	text, err = captureStdout(t, watchCmd{flags, 2 * time.Second}.Run)
	if err != nil {
		t.Error(err)
	}
	states := map[string]string{}
	for raw := range strings.Lines(text) {
		var l outputLine
		if err := json.Unmarshal([]byte(raw), &l); err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		states[l.Node] += " " + l.State
	}
	if states["s1"] != " serving gone" || states["b"] != " draining" {
		t.Errorf("watch: %q", states)
	}
	s.Do("refuse on")
	if _, err := captureStdout(t, browseCmd{flags, 300 * time.Millisecond}.Run); err == nil || !strings.Contains(err.Error(), "REFUSED") {
		t.Errorf("browse where the server refuses: %v", err)
	}
	flags.Server = nil
	if _, err := captureStdout(t, browseCmd{flags, time.Second}.Run); err == nil || !strings.Contains(err.Error(), "servers") {
		t.Errorf("browse without a server: %v", err)
	}
}

// TestCheckNamesEveryFaultyKey: the check command prints every faulty key and counts the faults.
func TestCheckNamesEveryFaultyKey(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return path
	}
	t.Setenv("NODE_CONFIG", write("c.json", `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":`+settings+`}`))
	if text, err := captureStdout(t, checkCmd{Deploy: write("d.toml", "[log]\nlevel = \"warn\"\n")}.Run); err != nil || !strings.Contains(text, "sound") {
		t.Errorf("sound files: %v, %s", err, text)
	}
	text, err := captureStdout(t, checkCmd{Deploy: write("d.toml", "[log]\nlevel = \"loud\"\n[dnssd]\npoll = \"9s\"\n[flight]\nlisten = \"x\"\n")}.Run)
	if err == nil || fmt.Sprint(err) != "3 faults" {
		t.Errorf("three faults: %v", err)
	}
	for _, key := range []string{"log.level", "dnssd.poll", "flight.listen"} {
		if !strings.Contains(text, key) {
			t.Errorf("%s is not named in %s", key, text)
		}
	}
}

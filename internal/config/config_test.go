package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:5000","discovery":"127.0.2.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":41,"full":true,"servers":[]},
 "settings":{"TickS":0.005,"Classes":[{"Name":"a","AimS":1,"HardLimitS":2,"Effect":"safe"}],
  "FamilyInfo":{"Sets":4,"Slabs":16,"Width":1,"ClassNeed":[1.0]},"Limits":{"ConnectTimeoutS":0.25,"StreamsPerConn":32}}}`

func load(text string, env map[string]string) (Config, error) {
	c, err := Parse([]byte(text), func(k string) string { return env[k] })
	if err == nil {
		err = c.ApplySettings(c.Raw)
	}
	return c, err
}

func TestValidConfiguration(t *testing.T) {
	c, err := load(validConfig, map[string]string{"NODE_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n4" || c.Seed != 0x8c1f30d27a5be964 || c.Streams != 32 || c.Settings.ShardSets != 4 || len(c.Known) == 0 {
		t.Errorf("got %+v", c)
	}
	small, err := load(strings.Replace(validConfig, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1), nil)
	if err != nil || small.Limits != (Limits{1, 192, 1024}) {
		t.Errorf("defaults: %+v, %v", small.Limits, err)
	}
}

// TestErrorsNameTheKey: the error of a faulty configuration names the faulty key.
func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{`"name":"n3"`, `"name":""`, "name"},
		{`127.0.0.4:5000`, `nowhere`, "listen"},
		{`127.0.2.1:8500`, `127.0.2.1`, "discovery"},
		{`8c1f30d27a5be964`, `seed`, "seed"},
		{`"sockets":1024`, `"sockets":7`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits"},
		{`"memory_mb":192`, `"memory_mb":"x"`, "memory_mb"},
		{`"TickS":0.005`, `"TickS":0`, "TickS"},
		{`"ConnectTimeoutS":0.25`, `"ConnectTimeoutS":0`, "ConnectTimeoutS"},
		{`"ClassNeed":[1.0]`, `"ClassNeed":[1.0,1.0]`, "FamilyInfo"},
		{`"AimS":1`, `"AimS":"x"`, "AimS"},
		{`"TickS":0.005`, `"TickS":0.005,"Balancers":0`, "Balancers"},
		{`"TickS":0.005`, `"TickS":0.005,"Balancers":80,"Me":80`, "Me"},
		{`"TickS":0.005`, `"TickS":0.005,"Balancers":80,"Me":-1`, "Me"},
		{`"settings"`, `"other"`, "settings"},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if text == validConfig {
			t.Fatalf("%s is not in the configuration", c.from)
		}
		if _, err := load(text, nil); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: error %v does not name %s", c.to, err, c.key)
		}
	}
}

// TestCommentsAreAccepted: comments are accepted, and a syntax error after them is still reported.
func TestCommentsAreAccepted(t *testing.T) {
	text := strings.Replace(validConfig, "{", "{ // the coordinator of Recife\n/* its */", 1)
	if _, err := load(text, nil); err != nil {
		t.Error(err)
	}
	if _, err := load(text+"}", nil); err == nil {
		t.Error("a superfluous closing brace was accepted")
	}
}

func TestDeployFileErrorsNameTheKey(t *testing.T) {
	dir := t.TempDir()
	for i, c := range []struct{ text, key string }{
		{"", ""},
		{"[flight]\nlisten = \"127.0.0.1:8815\"", ""},
		{"[flight]\nlisten = \"192.0.2.1:8815\"", "flight.listen"},
		{"[flight]\nlisten = \"here\"", "flight.listen"},
		{"[flight]\nconnections = -1", "flight.connections"},
		{"[flight]\nlissten = \"\"", "flight.lissten"},
		{"[dnssd]\nserve = \"127.0.0.1:5353\"", "dnssd.serve"},
		{"[dnssd]\nnodes = \"node\"", "dnssd.nodes: unknown"},
		{"[dnssd]\npoll = \"2s\"", "dnssd.poll"},
		{"[dnssd]\npoll = \"soon\"", "soon"},
		{"[dnssd]\nquestions_per_s = 1", "dnssd.questions_per_s"},
		{"[dnssd]\nnetworks = [\"10\"]", "dnssd.networks"},
		{"[dnssd]\nnotify = \"127.0.0.1:53\"", "dnssd.allow"},
		{"[dnssd]\nnotify = \"127.0.0.1:53\"\nallow = [\"127.0.0.0/8\"]", ""},
		{"[[dnssd.zone]]\ndomain = \"example.org\"", "dnssd.zone[0].servers"},
		{"[[dnssd.zone]]\ndomain = \"example.org\"\nservers = [\"192.0.2.1:53\"]", "dnssd.zone[0].servers[0]"},
		{"[[dnssd.zone]]\ndomain = \"example.org\"\nservers = [\"127.0.0.1:53\"]\nservices = [\"dn\"]", "dnssd.zone[0].services"},
		{"[[dnssd.zone]]\ndomain = \"example.org\"\nservers = [\"127.0.0.1:53\"]\nkey = \"k\"", "dnssd.zone[0].key"},
		{"[[dnssd.zone]]\ndomain = \"example.org\"\nservers = [\"127.0.0.1:53\"]\nkey = \"k\"\n[[dnssd.key]]\nname = \"k\"\nsecret = \"c2VjcmV0\"", ""},
		{"[[dnssd.key]]\nname = \"k\"\nsecret = \"?\"", "dnssd.key[0]"},
		{"[membership]\nreuse = 9000", "membership.reuse"},
		{"[log]\nlevel = \"loud\"", "log.level"},
		{"[log]\nformat = \"xml\"", "log.format"},
		{"[[node]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\n[[node]]\nid = \"a\"\naddr = \"127.0.0.1:2\"", "node[1].id"},
		{"[[node]]\nid = \"a\"\naddr = \"127.0.0.1:1\"\nproto = \"smoke\"", "node[0].proto"},
		{"[log]\nlevel = \"loud\"\n[flight]\nlisten = \"here\"", "flight.listen"}, // the error names every faulty key
		{"[store]\nlisten = \"127.0.0.1:8300\"", "store.listen"},
		{"[store]\nskew = 0.5", "store.skew"},
		{"[work]\nbudget = 100", "work.budget"},
		{"[work]\nduties = [\"a\", \"b\"]", ""},
		{"[work]\nduties = [\"a\", \"a\"]", "work.duties[1]"},
		{"[work]\nduties = [\"maintenance\"]", "work.duties[0]"},
		{"[store]\nlisten = \"127.0.0.1:8300\"\n[[store.peer]]\nname = \"n1\"\naddr = \"127.0.0.1:8300\"", "store.peer"},
		{"[store]\nlisten = \"127.0.0.1:8300\"\n[[store.peer]]\nname = \"n0\"\naddr = \"x\"", "store.peer[0].addr"},
		{"[store]\nlisten = \"127.0.0.1:8300\"\n[[store.peer]]\nname = \"n0\"\naddr = \"127.0.0.1:8300\"", ""},
		{"[zones]\nenabled = true\ndrained = [\"a\"]", ""},
		{"[zones]\ndrained = [\"a\"]", "zones.drained"},
		{"[zones]\nenabled = true\nclear = 0.5", "Clear (0.5) must be under Doubt"},
		{"[zones]\nenabled = true\nwait = \"1m\"", "max_wait"},
		{"[zones]\nenabled = true\nkeep = 3", "zones: Keep"},
	} {
		path := filepath.Join(dir, "deploy.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadDeploy(path, "n0")
		if (err == nil) != (c.key == "") || err != nil && !strings.Contains(err.Error(), c.key) {
			t.Errorf("case %d: error %v, want one that names %q", i, err, c.key)
		}
	}
	if d, err := LoadDeploy(filepath.Join(dir, "none"), "n0"); err != nil || d.Flight.Listen != "" {
		t.Errorf("no file: %+v, %v", d, err)
	}
}

// TestShippedDeployFile: the deploy file in the repository is valid and leaves all features disabled, as the platform requires.
func TestShippedDeployFile(t *testing.T) {
	d, err := LoadDeploy("../../"+DeployFile, "n0")
	if err != nil || d.Flight.Listen != "" || len(d.DNSSD.Zone) != 0 || d.DNSSD.Notify != "" || d.DNSSD.Serve != "" || d.Store.Directory != "" ||
		d.Store.Listen != "" {
		t.Errorf("%+v, %v", d, err)
	}
}

// TestReload: a faulty file changes nothing and the error names the key; a discovery address that changes in the file overrides
// NODE_DISCOVERY; keys that need a restart are reported and keep their old values.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string {
		return map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": "127.0.2.1:8500"}[k]
	}
	write := func(from, to string) {
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("", "")
	cfg, err := Load(env)
	if err == nil {
		err = cfg.ApplySettings(cfg.Raw)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, discovery, restart, err string }{
		{"", "", "127.0.2.1:8500", "[]", ""},
		{"127.0.2.1:8500", "127.0.2.2:8500", "127.0.2.2:8500", "[]", ""},
		{"127.0.2.1:8500", "nowhere", "127.0.2.2:8500", "[]", "discovery"},
		{`"AimS":1`, `"AimS":0`, "127.0.2.2:8500", "[]", "settings"},
		{validConfig, "{", "127.0.2.2:8500", "[]", "configuration"},
		{`"AimS":1`, `"AimS":1.5`, "127.0.2.1:8500", "[settings]", ""},
		{"127.0.0.4:5000", "127.0.0.5:5000", "127.0.2.1:8500", "[listen]", ""},
		{`"memory_mb":192`, `"memory_mb":64`, "127.0.2.1:8500", "[]", ""},
	} {
		write(c.from, c.to)
		next, restart, err := cfg.Reload(env)
		if (err != nil) != (c.err != "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: error %v, want one that names %q", c.to, err, c.err)
		}
		if next.Discovery != c.discovery || fmt.Sprint(restart) != c.restart || next.Listen != cfg.Listen ||
			next.Settings.Classes[0].LatencyObjective != time.Second {
			t.Errorf("%s: got %+v, restart %v", c.to, next, restart)
		}
		cfg = next
	}
	if cfg.Limits.MemoryMB != 64 {
		t.Errorf("memory_mb is %d after the reload", cfg.Limits.MemoryMB)
	}
}

// TestPeersErrorsNameTheKey: the error names each faulty key of the peers section, and a valid section has no error.
func TestPeersErrorsNameTheKey(t *testing.T) {
	const validPeers = "[peers]\nlisten = \"127.0.0.1:7946\"\nfleet = \"f\"\nseeds = [\"127.0.0.2:7946\"]\n[[peers.key]]\nid = 1\nsecret = \"MDEyMzQ1Njc4OWFiY2RlZg==\"\n"
	for _, c := range []struct{ name, text, want string }{
		{"valid", validPeers, ""},
		{"disabled", "", ""},
		{"seeds without a listener", "[peers]\nseeds = [\"127.0.0.1:1\"]\n", "peers.listen"},
		{"not loopback", strings.Replace(validPeers, "127.0.0.1:7946", "10.0.0.1:7946", 1), "peers.listen"},
		{"a seed without a port", strings.Replace(validPeers, "127.0.0.2:7946", "127.0.0.2", 1), "peers.seeds[0]"},
		{"no fleet", strings.Replace(validPeers, "\"f\"", "\"\"", 1), "peers.fleet"},
		{"no key", strings.Split(validPeers, "[[")[0], "peers.key"},
		{"a short key", strings.Replace(validPeers, "MDEyMzQ1Njc4OWFiY2RlZg==", "MDEy", 1), "peers.key[0].secret"},
		{"key id 0", strings.Replace(validPeers, "id = 1", "id = 0", 1), "peers.key[0].id"},
		{"a timeout over half of the period", strings.Replace(validPeers, "fleet", "period = \"1s\"\ntimeout = \"900ms\"\nfleet", 1), "peers.timeout"},
		{"an unknown key", strings.Replace(validPeers, "fleet", "flet = 1\nfleet", 1), "peers.flet"},
	} {
		path := filepath.Join(t.TempDir(), "gullfall.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadDeploy(path, "n0")
		if (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.want)
		}
	}
}

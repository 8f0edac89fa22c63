// Package config is the one place where configuration is read, checked and given defaults: the file that
// NODE_CONFIG names, the NODE_ variables, and the files of ours under deploy/. An error names the faulty key.
// It must never open a socket. On a reload the file is read again and checked as at the start; what may change
// while serving is settled here.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"

	"gullfall/aggregator"
)

// Limits is what one copy of the program may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is all that the program is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // in discovery's form; may be empty
	Raw       json.RawMessage // the settings as they came; empty where they are to come from the store
	Settings  aggregator.Settings
	Streams   int // parts that one connection to a data node carries at once

	inFile string // discovery as the file says it
}

// Load reads the file that NODE_CONFIG names; the other variables, where set, come before it.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("NODE_CONFIG: not set; it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	return Parse(raw, getenv)
}

// Reload reads the file again and returns the configuration to go on with; where there is an error, the old one
// stays whole. NODE_DISCOVERY was set for the start: a discovery that has changed in the file comes before it.
// Keys that have changed and need a restart are returned, and their old values stay.
func (c Config) Reload(getenv func(string) string) (next Config, restart []string, err error) {
	if next, err = Load(getenv); err != nil {
		return c, nil, err
	}
	if len(next.Raw) == 0 {
		next.Raw = c.Raw
	}
	if err := next.Adopt(next.Raw); err != nil {
		return c, nil, err
	}
	if next.inFile == c.inFile {
		next.Discovery = c.Discovery
	} else {
		next.Discovery = next.inFile
	}
	for _, k := range []struct {
		key     string
		changed bool
	}{{"name", next.Name != c.Name}, {"listen", next.Listen != c.Listen}, {"limits.sockets", next.Limits.Sockets != c.Limits.Sockets},
		{"settings", next.Streams != c.Streams || !reflect.DeepEqual(next.Settings, c.Settings)}} {
		if k.changed {
			restart = append(restart, k.key)
		}
	}
	next.Name, next.Listen, next.Limits.Sockets = c.Name, c.Listen, c.Limits.Sockets
	next.Raw, next.Settings, next.Streams = c.Raw, c.Settings, c.Streams
	return next, restart, nil
}

// Parse reads a configuration.
func Parse(raw []byte, getenv func(string) string) (Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        Limits
		Known, Settings               json.RawMessage
	}
	if !json.Valid(raw) { // comments and trailing commas are allowed
		plain, err := hujson.Standardize(raw)
		if err != nil {
			return Config{}, fmt.Errorf("configuration: %w", err)
		}
		raw = plain
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits, Known: f.Known,
		Raw: f.Settings, inFile: f.Discovery}
	for _, v := range []struct {
		key string
		to  *string
	}{{"NODE_NAME", &c.Name}, {"NODE_LISTEN", &c.Listen}, {"NODE_DISCOVERY", &c.Discovery}} {
		if s := getenv(v.key); s != "" {
			*v.to = s
		}
	}
	if c.Name == "" {
		return c, fmt.Errorf("name: missing")
	}
	if c.inFile == "" {
		c.inFile = c.Discovery
	}
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"discovery", c.inFile}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return c, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: %q is not up to 16 hex digits", f.Seed)
	}
	c.Seed = seed
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return c, fmt.Errorf("limits: a figure is negative")
	}
	if c.Limits.Cores == 0 {
		c.Limits.Cores = 1
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = 192
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.Sockets < 64 {
		return c, fmt.Errorf("limits.sockets: %d is under 64", c.Limits.Sockets)
	}
	return c, nil
}

// Adopt reads the settings, from the file or from the store.
func (c *Config) Adopt(settings json.RawMessage) (err error) {
	if len(settings) == 0 {
		return fmt.Errorf("settings: missing, in the file and in the store")
	}
	if c.Settings, err = Settings(settings); err != nil {
		return err
	}
	var own struct{ Limits struct{ StreamsPerConn int } }
	if err := json.Unmarshal(settings, &own); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Streams = own.Limits.StreamsPerConn; c.Streams < 1 {
		c.Streams = 1
	}
	if c.Settings.Limits.ConnectTimeout <= 0 {
		return fmt.Errorf("settings: Limits.ConnectTimeoutS: missing or not above 0")
	}
	if c.Settings.Tick <= 0 {
		return fmt.Errorf("settings: TickS: missing or not above 0")
	}
	if _, err := aggregator.New(c.Settings, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

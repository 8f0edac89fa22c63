// Package config is the one place where configuration is read, checked and given defaults: the file that
// NODE_CONFIG names, the NODE_ variables, and the files of ours under deploy/. An error names the faulty key.
// It must never open a socket, and nothing here is read again after the start.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

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

// Parse reads a configuration.
func Parse(raw []byte, getenv func(string) string) (Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        Limits
		Known, Settings               json.RawMessage
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits, Known: f.Known,
		Raw: f.Settings}
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
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
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
	return nil
}

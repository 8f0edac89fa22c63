// Package config reads and checks all configuration and gives it defaults: the file that NODE_CONFIG names, the NODE_ variables, and the
// deploy file. An error names the faulty key. On a reload the file is read again and checked as at the start; this package says which
// keys may change while serving.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"

	"gullfall/aggregator"
)

// Defaults and bounds of limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 64
)

// Limits is what one process may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what the configuration file and the variables say.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // in discovery's form; may be empty
	Raw       json.RawMessage // the settings object; empty where it is to come from the store
	Settings  aggregator.Settings
	Streams   int // parts that one connection to a data node carries at once

	discoveryInFile string // what the file says, where a variable says something else
}

// Load reads the file that NODE_CONFIG names; the other variables, where set, come before it.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG: not set; it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	return Parse(raw, getenv)
}

// Reload reads the file again and returns the configuration to go on with; on an error that is c. NODE_DISCOVERY holds for the start
// only: a discovery that has changed in the file comes before it. restart names the keys that have changed and need a restart; their old
// values stay.
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
	if next.discoveryInFile == c.discoveryInFile {
		next.Discovery = c.Discovery
	} else {
		next.Discovery = next.discoveryInFile
	}
	restart = c.changedForRestart(next)
	next.Name, next.Listen, next.Limits.Sockets = c.Name, c.Listen, c.Limits.Sockets
	next.Raw, next.Settings, next.Streams = c.Raw, c.Settings, c.Streams
	return next, restart, nil
}

// changedForRestart are the keys in which next differs and that hold for as long as the process runs.
func (c Config) changedForRestart(next Config) (keys []string) {
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{"name", next.Name != c.Name},
		{"listen", next.Listen != c.Listen},
		{"limits.sockets", next.Limits.Sockets != c.Limits.Sockets},
		{"settings", next.Streams != c.Streams || !reflect.DeepEqual(next.Settings, c.Settings)},
	} {
		if k.changed {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Parse reads a configuration, in JSON with comments and trailing commas.
func Parse(raw []byte, getenv func(string) string) (Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        Limits
		Known, Settings               json.RawMessage
	}
	if !json.Valid(raw) {
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
		Raw: f.Settings, discoveryInFile: f.Discovery}
	c.applyEnvironment(getenv)
	if c.Name == "" {
		return c, errors.New("name: missing")
	}
	if err := c.checkAddresses(); err != nil {
		return c, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: %q is not up to 16 hex digits", f.Seed)
	}
	c.Seed = seed
	err = c.Limits.complete()
	return c, err
}

// applyEnvironment puts the variables that are set in place of what the file says.
func (c *Config) applyEnvironment(getenv func(string) string) {
	for _, v := range []struct {
		variable string
		value    *string
	}{{"NODE_NAME", &c.Name}, {"NODE_LISTEN", &c.Listen}, {"NODE_DISCOVERY", &c.Discovery}} {
		if s := getenv(v.variable); s != "" {
			*v.value = s
		}
	}
	if c.discoveryInFile == "" {
		c.discoveryInFile = c.Discovery
	}
}

func (c *Config) checkAddresses() error {
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"discovery", c.discoveryInFile}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	return nil
}

// complete checks the limits and gives those that are missing their defaults.
func (l *Limits) complete() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return errors.New("limits: a figure is negative")
	}
	setDefault(&l.Cores, defaultCores)
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Sockets, defaultSockets)
	if l.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return nil
}

// Adopt takes the settings object, of the file or of the store.
func (c *Config) Adopt(settings json.RawMessage) (err error) {
	if len(settings) == 0 {
		return errors.New("settings: missing, in the file and in the store")
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
		return errors.New("settings: Limits.ConnectTimeoutS: missing or not above 0")
	}
	if c.Settings.Tick <= 0 {
		return errors.New("settings: TickS: missing or not above 0")
	}
	if _, err := aggregator.New(c.Settings, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

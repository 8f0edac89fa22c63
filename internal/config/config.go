// Package config loads all configuration, checks it and applies defaults: the file that NODE_CONFIG names, the NODE_ environment
// variables, and the deploy file. Errors name the faulty key. A reload reads and checks the file as at startup and reports the changed
// keys that need a restart.
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

// Limits are the resources that one process may use. Sockets is the maximum number of open descriptors.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration from the file and the environment variables.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // list of data nodes in discovery's format; may be empty
	Raw       json.RawMessage // settings object; empty if it is to be read from the store
	Settings  aggregator.Settings
	Streams   int // maximum concurrent parts on one connection to a data node

	discoveryInFile string // value in the file, which NODE_DISCOVERY may override in Discovery
}

// Load reads the file that NODE_CONFIG names. The other NODE_ variables, if set, override it.
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

// Reload reads the file again and returns the configuration to continue with, which is c if there is an error. NODE_DISCOVERY applies
// until discovery changes in the file, whose new value then replaces it. restart lists the changed keys that need a restart; next keeps
// their old values.
func (c Config) Reload(getenv func(string) string) (next Config, restart []string, err error) {
	if next, err = Load(getenv); err != nil {
		return c, nil, err
	}
	if len(next.Raw) == 0 {
		next.Raw = c.Raw
	}
	if err := next.ApplySettings(next.Raw); err != nil {
		return c, nil, err
	}
	if next.discoveryInFile == c.discoveryInFile {
		next.Discovery = c.Discovery
	} else {
		next.Discovery = next.discoveryInFile
	}
	restart = c.keysNeedingRestart(next)
	next.Name, next.Listen, next.Limits.Sockets = c.Name, c.Listen, c.Limits.Sockets
	next.Raw, next.Settings, next.Streams = c.Raw, c.Settings, c.Streams
	return next, restart, nil
}

// keysNeedingRestart returns the keys that differ in next and can't change while the process runs.
func (c Config) keysNeedingRestart(next Config) (keys []string) {
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

// Parse decodes and checks a configuration in JSON, in which comments and trailing commas are allowed. NODE_ variables override it.
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
	err = c.Limits.checkAndSetDefaults()
	return c, err
}

// applyEnvironment overrides values of the file by the NODE_ variables that are set.
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

// checkAndSetDefaults checks the limits and sets missing ones to their defaults.
func (l *Limits) checkAndSetDefaults() error {
	if l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return errors.New("limits: a value is negative")
	}
	setDefault(&l.Cores, defaultCores)
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Sockets, defaultSockets)
	if l.Sockets < minSockets {
		return fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return nil
}

// ApplySettings decodes and checks a settings object, from the file or the store, and applies it to c.
func (c *Config) ApplySettings(settings json.RawMessage) (err error) {
	if len(settings) == 0 {
		return errors.New("settings: missing in both the file and the store")
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

package config

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"time"

	"github.com/BurntSushi/toml"
)

// DeployFile is the path of the deploy file, relative to the repository's root.
const DeployFile = "deploy/gullfall.toml"

// Deploy is the content of the deploy file. A section or key that is missing is disabled or has its default.
type Deploy struct {
	Log        Log
	Flight     FlightFront
	DNSSD      DNSSD
	Membership Membership
	Node       []Node
	Store      Store
	Work       Work
	Zones      Zones
	Peers      Peers
	Admin      Admin
}

// Log configures the log's level and format.
type Log struct {
	Level  string // debug, info, warn or error
	Format string // text or json
}

// Span is a duration, written as "1m30s".
type Span time.Duration

// UnmarshalText parses a Span and rejects a negative one.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("%v is negative", d)
	}
	*s = Span(d)
	return err
}

// LoadDeploy reads and checks the deploy file. If there is none, all its features are disabled. name is this coordinator's name. The
// error joins one error for each faulty key.
func LoadDeploy(path, name string) (Deploy, error) {
	var d Deploy
	md, err := toml.DecodeFile(path, &d)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return d, fmt.Errorf("%s: %w", path, err)
	}
	var f faults
	for _, key := range md.Undecoded() {
		f.add("%s: unknown key", key)
	}
	d.defaults()
	f = append(f, d.check(name)...)
	for i, err := range f {
		f[i] = fmt.Errorf("%s: %w", path, err)
	}
	return d, errors.Join(f...)
}

// Check applies defaults to a Deploy that was changed after loading or not loaded from a file. Its error names every faulty key.
func (d *Deploy) Check(name string) error {
	d.defaults()
	return errors.Join(d.check(name)...)
}

func (d *Deploy) defaults() {
	d.Work.defaults()
	d.Log.defaults()
	d.Flight.defaults()
	d.DNSSD.defaults()
	for i := range d.Node {
		setDefault(&d.Node[i].Weight, 1)
	}
}

// setDefault sets *key to value if it has its zero value.
func setDefault[T comparable](key *T, value T) {
	var zero T
	if *key == zero {
		*key = value
	}
}

// check returns an error for each faulty key.
func (d *Deploy) check(name string) []error {
	var f faults
	d.Log.check(&f)
	d.Flight.check(&f)
	d.DNSSD.check(&f)
	if d.DNSSD.Serve != "" && d.Flight.Listen == "" {
		f.add("dnssd.serve: there is no service to describe while flight.listen is empty")
	}
	if err := d.Damping().Check(); err != nil {
		f.add("membership.suppress, membership.reuse: %w", err)
	}
	d.checkZones(&f)
	d.checkNodes(&f)
	d.Peers.check(&f)
	d.Work.check(&f, d.Store)
	d.Store.check(&f, name)
	return f
}

func (l *Log) defaults() {
	setDefault(&l.Level, "info")
	setDefault(&l.Format, "text")
}

func (l *Log) check(f *faults) {
	if _, known := levels[l.Level]; !known {
		f.add("log.level: %q is none of debug, info, warn, error", l.Level)
	}
	if l.Format != "text" && l.Format != "json" {
		f.add("log.format: %q is neither text nor json", l.Format)
	}
}

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
	"error": slog.LevelError}

// SlogLevel returns the level as a slog.Level.
func (l Log) SlogLevel() slog.Level { return levels[l.Level] }

package session

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ErrInvalidOption marks an unknown option or an invalid value of one.
var ErrInvalidOption = errors.New("option")

// Option describes an option that a session may have.
type Option struct {
	Name   string
	Values []string                 // valid values; empty if any value that passes Check is valid
	Check  func(value string) error // validates a value; may be nil
}

// Config holds the options and limits of Sessions. A limit of zero or less stands for its default, given in its comment.
type Config struct {
	Options     []Option      // options that a session may have
	MaxSessions int           // sessions of all owners; 4096
	MaxPerOwner int           // sessions of one owner; 256
	IdleTimeout time.Duration // how long an unused session is kept; 10 min
}

// session holds the options that a client has set for its later calls.
type session struct {
	id, owner string
	options   map[string]string
	lastUsed  time.Time
}

// Sessions is the set of open sessions. It is not safe for concurrent use.
type Sessions struct {
	cfg      Config
	options  map[string]Option
	sessions map[string]*session
	perOwner map[string]int
}

// NewSessions returns an empty set of sessions.
func NewSessions(cfg Config) *Sessions {
	if cfg.MaxSessions <= 0 {
		cfg.MaxSessions = 4096
	}
	if cfg.MaxPerOwner <= 0 {
		cfg.MaxPerOwner = 256
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = 10 * time.Minute
	}
	s := &Sessions{cfg: cfg, options: map[string]Option{}, sessions: map[string]*session{}, perOwner: map[string]int{}}
	for _, o := range cfg.Options {
		s.options[o.Name] = o
	}
	return s
}

// Open opens a session. At a limit, the owner's least recently used session is closed for it, never a session of another owner. The
// error wraps ErrFull if the owner has none to close.
func (s *Sessions) Open(now time.Time, id, owner string) error {
	s.Tick(now)
	if s.sessions[id] != nil {
		return fmt.Errorf("session %s: there is one", id)
	}
	if s.perOwner[owner] >= s.cfg.MaxPerOwner || len(s.sessions) >= s.cfg.MaxSessions {
		var oldest *session
		for _, x := range s.sessions {
			if x.owner == owner && (oldest == nil || cmp.Or(x.lastUsed.Compare(oldest.lastUsed), cmp.Compare(x.id, oldest.id)) < 0) {
				oldest = x
			}
		}
		if oldest == nil {
			return fmt.Errorf("sessions: %w", ErrFull)
		}
		s.remove(oldest)
	}
	s.sessions[id] = &session{id: id, owner: owner, options: map[string]string{}, lastUsed: now}
	s.perOwner[owner]++
	return nil
}

// remove removes a session, also from the count of its owner.
func (s *Sessions) remove(x *session) {
	delete(s.sessions, x.id)
	if s.perOwner[x.owner]--; s.perOwner[x.owner] == 0 {
		delete(s.perOwner, x.owner)
	}
}

// find returns the session of an id, if it belongs to the owner and has not expired, and marks it as used.
func (s *Sessions) find(now time.Time, id, owner string) (*session, error) {
	x := s.sessions[id]
	switch {
	case x == nil || now.Sub(x.lastUsed) >= s.cfg.IdleTimeout:
		return nil, fmt.Errorf("session: %w", ErrUnknown)
	case x.owner != owner:
		return nil, fmt.Errorf("session: %w", ErrOtherOwner)
	}
	x.lastUsed = now
	return x, nil
}

// Set sets the valid ones among the options and returns the errors of the others by name. An empty value removes an option.
func (s *Sessions) Set(now time.Time, id, owner string, options map[string]string) (invalid map[string]error, err error) {
	x, err := s.find(now, id, owner)
	if err != nil {
		return nil, err
	}
	invalid = map[string]error{}
	for _, name := range slices.Sorted(maps.Keys(options)) {
		value := options[name]
		o, known := s.options[name]
		switch {
		case !known:
			invalid[name] = fmt.Errorf("%w %s: not known", ErrInvalidOption, name)
		case value == "":
			delete(x.options, name)
		case len(o.Values) > 0 && !slices.Contains(o.Values, value):
			invalid[name] = fmt.Errorf("%w %s: %q is none of %q", ErrInvalidOption, name, value, o.Values)
		case o.Check != nil && o.Check(value) != nil:
			invalid[name] = fmt.Errorf("%w %s: %w", ErrInvalidOption, name, o.Check(value))
		default:
			x.options[name] = value
		}
	}
	return invalid, nil
}

// Options returns a copy of the options of a session.
func (s *Sessions) Options(now time.Time, id, owner string) (map[string]string, error) {
	x, err := s.find(now, id, owner)
	if err != nil {
		return nil, err
	}
	return maps.Clone(x.options), nil
}

// Close closes a session.
func (s *Sessions) Close(now time.Time, id, owner string) error {
	x, err := s.find(now, id, owner)
	if err != nil {
		return err
	}
	s.remove(x)
	return nil
}

// Tick removes the sessions that have been unused for IdleTimeout.
func (s *Sessions) Tick(now time.Time) {
	for _, x := range s.sessions {
		if now.Sub(x.lastUsed) >= s.cfg.IdleTimeout {
			s.remove(x)
		}
	}
}

// Len returns the number of open sessions.
func (s *Sessions) Len() int { return len(s.sessions) }

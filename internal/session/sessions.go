package session

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ErrInvalidOption marks an option that is not known, or a value that it can't have.
var ErrInvalidOption = errors.New("option")

// Option describes one that a session may have.
type Option struct {
	Name   string
	Values []string // those that it may have; empty where Check says
	Check  func(value string) error
}

// Config bounds what Sessions keeps. The zero value of a field stands for its default.
type Config struct {
	Options     []Option      // those that a session may have
	MaxSessions int           // sessions kept in all; 4096
	MaxPerOwner int           // sessions kept of one owner; 256
	IdleTimeout time.Duration // after which a session that nobody uses ends; 10 min
}

// session is the options that a client has set once for its further calls.
type session struct {
	id, owner string
	options   map[string]string
	lastUsed  time.Time
}

// Sessions are those that are open. They are not safe for use by several goroutines.
type Sessions struct {
	cfg      Config
	options  map[string]Option
	sessions map[string]*session
	perOwner map[string]int
}

// NewSessions returns an empty account.
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

// Open begins a session. Where there are too many, the one of the same owner that was used longest ago ends for it; of
// other owners none does.
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

// remove forgets a session.
func (s *Sessions) remove(x *session) {
	delete(s.sessions, x.id)
	if s.perOwner[x.owner]--; s.perOwner[x.owner] == 0 {
		delete(s.perOwner, x.owner)
	}
}

// find is the session of an id, if it is the owner's; it counts as used.
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

// Set sets options, each by itself: those that can't be set are returned with their errors, by name. An empty value
// takes one back.
func (s *Sessions) Set(now time.Time, id, owner string, options map[string]string) (faults map[string]error, err error) {
	x, err := s.find(now, id, owner)
	if err != nil {
		return nil, err
	}
	faults = map[string]error{}
	for _, name := range slices.Sorted(maps.Keys(options)) {
		value := options[name]
		o, known := s.options[name]
		switch {
		case !known:
			faults[name] = fmt.Errorf("%w %s: not known", ErrInvalidOption, name)
		case value == "":
			delete(x.options, name)
		case len(o.Values) > 0 && !slices.Contains(o.Values, value):
			faults[name] = fmt.Errorf("%w %s: %q is none of %q", ErrInvalidOption, name, value, o.Values)
		case o.Check != nil && o.Check(value) != nil:
			faults[name] = fmt.Errorf("%w %s: %w", ErrInvalidOption, name, o.Check(value))
		default:
			x.options[name] = value
		}
	}
	return faults, nil
}

// Options are those that a session has.
func (s *Sessions) Options(now time.Time, id, owner string) (map[string]string, error) {
	x, err := s.find(now, id, owner)
	if err != nil {
		return nil, err
	}
	return maps.Clone(x.options), nil
}

// Close ends a session.
func (s *Sessions) Close(now time.Time, id, owner string) error {
	x, err := s.find(now, id, owner)
	if err != nil {
		return err
	}
	s.remove(x)
	return nil
}

// Tick ends those that nobody has used for long.
func (s *Sessions) Tick(now time.Time) {
	for _, x := range s.sessions {
		if now.Sub(x.lastUsed) >= s.cfg.IdleTimeout {
			s.remove(x)
		}
	}
}

// Len is how many are open.
func (s *Sessions) Len() int { return len(s.sessions) }

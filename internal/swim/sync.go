package swim

import (
	"slices"
	"time"
)

// syncSchedule holds when the full state is next exchanged with another member.
type syncSchedule struct {
	nextAt      time.Duration
	seedBackoff time.Duration // last delay between exchanges with unknown seeds
}

// startSync begins an exchange of the full state. Unknown seeds come first, with exponential backoff, since they may belong to
// an unknown part of the fleet. Otherwise it exchanges about once per SyncInterval with any member, dead ones included.
func (s *Swim) startSync() {
	if s.now < s.sync.nextAt || s.leaving {
		return
	}
	s.sync.nextAt = s.now + s.cfg.SyncInterval/2 + s.randomUpTo(s.cfg.SyncInterval)
	to := ""
	if seeds := s.unknownSeeds(); len(seeds) > 0 {
		to = seeds[s.rng.IntN(len(seeds))]
		backoff := min(max(2*s.sync.seedBackoff, s.cfg.Period/2), s.cfg.SyncInterval)
		s.sync.seedBackoff = backoff
		s.sync.nextAt = s.now + backoff/2 + s.randomUpTo(backoff/2)
	} else if m := s.members.pick(s.rng, s.syncPartner); m != nil {
		to, s.sync.seedBackoff = m.Addr, 0
	}
	if to == "" {
		return
	}
	f := s.fullState()
	s.actions = append(s.actions, Action{To: to, Full: &f})
}

// syncPartner reports whether to exchange the full state with a member: alive and suspect ones always, dead ones one time in four.
func (s *Swim) syncPartner(m *member) bool {
	return aliveOrSuspect(m) || dead(m) && s.rng.IntN(4) == 0
}

// unknownSeeds returns the seeds at whose address there is no alive or suspect member.
func (s *Swim) unknownSeeds() (addrs []string) {
	for _, addr := range s.cfg.Seeds {
		if addr == s.cfg.Addr {
			continue
		}
		known := false
		for _, m := range s.members.byName {
			known = known || m.Addr == addr && aliveOrSuspect(m)
		}
		if !known {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// fullState returns all updates and link reports that this member holds.
func (s *Swim) fullState() FullState {
	f := FullState{From: s.self.Update, Links: s.links.sorted()}
	names := make([]string, 0, len(s.members.byName))
	for name := range s.members.byName {
		if name != s.cfg.Self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		f.Members = append(f.Members, s.members.byName[name].Update)
	}
	return f
}

// receiveFull applies the full state of another member, and replies with this member's own, unless f is itself a reply.
func (s *Swim) receiveFull(f *FullState) {
	if f.RejectReason != "" {
		s.rejection = f.RejectReason
		return
	}
	from := s.resolveSender(&f.From)
	if from == nil {
		if reason := s.nameConflict(&f.From); reason != "" && !f.Reply {
			s.reply(f, FullState{From: s.self.Update, RejectReason: reason})
		}
		return
	}
	s.rejection = ""
	s.applyAll(f.Members, f.Links)
	if !f.Reply {
		s.reply(f, s.fullState())
	}
}

// reply answers the full state of another member.
func (s *Swim) reply(to *FullState, answer FullState) {
	answer.Reply = true
	s.actions = append(s.actions, Action{To: to.From.Addr, Full: &answer})
}

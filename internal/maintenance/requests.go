package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// Say notes who asked what.
func (s *State) RecordAudit(wall time.Time, who, what string) {
	s.Audit = append(s.Audit, Audit{wall.Unix(), who, what})
	s.Audit = s.Audit[max(0, len(s.Audit)-maxAuditEntries):]
}

// Impossible is what can't be done, with the limit that forbids it.
type Impossible struct{ Refused []Refusal }

func (i Impossible) Error() string {
	text := "can't be done"
	for n, r := range i.Refused {
		if n == 10 {
			return fmt.Sprintf("%s; and %d machines more", text, len(i.Refused)-n)
		}
		text += fmt.Sprintf("; %s: %s", r.Machine, r.Why)
	}
	return text
}

// Start takes in a request for machines, in an order that holds the limits. The error is an Impossible where machines can't
// go; without them the others may be asked for.
func (s *State) Start(wall time.Time, r Request, machines []string, f *Fleet, l Limits, warm time.Duration) (*Request, Plan, error) {
	if len(machines) == 0 || len(machines) > maxSteps {
		return nil, Plan{}, fmt.Errorf("%d machines; a request names 1 to %d", len(machines), maxSteps)
	}
	if r.Takes <= 0 || r.Back <= 0 || r.AtOnce < 0 {
		return nil, Plan{}, fmt.Errorf("takes %v, back %v, at once %d: the times are above 0, the number is not below it", r.Takes, r.Back, r.AtOnce)
	}
	open := 0
	for _, o := range s.Requests {
		if !o.ended() {
			open++
		}
	}
	if open >= maxOpenRequests {
		return nil, Plan{}, fmt.Errorf("%d requests are open, as many as there may be; wait for one, or abandon it", open)
	}
	for _, m := range machines {
		if o, _ := s.openStep(m); o != nil {
			return nil, Plan{}, fmt.Errorf("machine %s is in request %d by %s already", m, o.ID, o.By)
		}
	}
	if r.AtOnce > 0 && (l.AtOnce == 0 || r.AtOnce < l.AtOnce) {
		l.AtOnce = r.AtOnce
	}
	p := f.Plan(machines, l, s.Next+1)
	if len(p.Refused) > 0 {
		return nil, p, Impossible{p.Refused}
	}
	if r.DoneBy > 0 {
		begin := max(wall.Unix(), r.NotBefore)
		if end := begin + int64(time.Duration(len(p.Waves))*(r.Takes+warm)/time.Second); end > r.DoneBy {
			return nil, p, fmt.Errorf("it would be done by %s, %d waves of %v and %v to warm up; later than %s", time.Unix(end, 0).UTC().Format(time.RFC3339),
				len(p.Waves), r.Takes, warm, time.Unix(r.DoneBy, 0).UTC().Format(time.RFC3339))
		}
	}
	s.Next++
	r.ID, r.State, r.Bound, r.Waves, r.Steps = s.Next, Open, p.Bound, len(p.Waves), nil
	for i, w := range p.Waves {
		for _, m := range w {
			r.Steps = append(r.Steps, &Step{Machine: m, Wave: i})
		}
	}
	s.Requests = append(s.Requests, &r)
	s.trimRequests()
	return &r, p, nil
}

// trim lets go of the oldest requests that are over.
func (s *State) trimRequests() {
	over := 0
	for _, r := range s.Requests {
		if r.ended() {
			over++
		}
	}
	s.Requests = slices.DeleteFunc(s.Requests, func(r *Request) bool {
		if over > maxEndedRequests && r.ended() && !slices.ContainsFunc(r.Steps, func(st *Step) bool { return st.State.inWork() }) {
			over--
			return true
		}
		return false
	})
}

// The operators' words on a request.
const (
	Pause   = "pause"
	Resume  = "resume"
	Abandon = "abandon"
)

// Order is an operator's word on a whole request.
func (s *State) Order(word string, id uint64) error {
	r := s.Request(id)
	switch {
	case r == nil:
		return fmt.Errorf("there is no request %d", id)
	case r.ended():
		return fmt.Errorf("request %d is %s", id, r.State)
	case word == Pause && r.State == Open:
		r.State, r.Why = Paused, "by an operator's word"
	case word == Resume && r.State != Open:
		r.State, r.Why = Open, ""
	case word == Abandon:
		r.State, r.Why = GivenUp, "by an operator's word"
		for _, st := range r.Steps {
			if st.State <= Drained {
				s.setState(r, st, Abandoned, r.Why)
			}
		}
	default:
		return fmt.Errorf("request %d is %s; %s changes nothing", id, r.State, word)
	}
	return nil
}

// WorkDone is an operator's or the hook's word that the work on a machine is done, and under which id it comes back if not its own.
func (s *State) WorkDone(machine, as string) error {
	r, st := s.openStep(machine)
	switch {
	case st == nil:
		return fmt.Errorf("machine %s is not in work", machine)
	case st.State != Out && st.State != Failed:
		return fmt.Errorf("machine %s is %s in request %d; only one that is out or failed is done", machine, st.State, r.ID)
	}
	s.setState(r, st, Returning, "it was said that the work is done")
	if as != machine {
		st.As = as
	}
	if r.State == Stopped {
		r.State, r.Why = Open, ""
	}
	return nil
}

package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// RecordAudit appends an entry to the audit trail and drops the oldest ones beyond maxAuditEntries.
func (s *State) RecordAudit(wall time.Time, who, what string) {
	s.Audit = append(s.Audit, Audit{wall.Unix(), who, what})
	s.Audit = s.Audit[max(0, len(s.Audit)-maxAuditEntries):]
}

// RefusedError is returned for a request with machines that cannot be taken out; each refusal names the limit that prevents it.
type RefusedError struct{ Refused []Refusal }

func (e RefusedError) Error() string {
	text := "can't be done"
	for n, r := range e.Refused {
		if n == 10 {
			return fmt.Sprintf("%s; and %d machines more", text, len(e.Refused)-n)
		}
		text += fmt.Sprintf("; %s: %s", r.Machine, r.Why)
	}
	return text
}

// Start plans the machines of a request within the limits and adds the request. warmup is the time that a machine needs to warm up
// after its return. The error is a RefusedError if some machines cannot be taken out; the others can be requested without them.
func (s *State) Start(wall time.Time, r Request, machines []string, f *Fleet, l Limits, warmup time.Duration) (*Request, Plan, error) {
	if err := s.checkRequest(&r, machines); err != nil {
		return nil, Plan{}, err
	}
	if r.AtOnce > 0 && (l.AtOnce == 0 || r.AtOnce < l.AtOnce) {
		l.AtOnce = r.AtOnce
	}
	p := f.Plan(machines, l, s.Next+1)
	if len(p.Refused) > 0 {
		return nil, p, RefusedError{p.Refused}
	}
	if err := r.checkDoneBy(wall, len(p.Waves), warmup); err != nil {
		return nil, p, err
	}
	s.Next++
	r.ID, r.State, r.Bound, r.Waves, r.Steps = s.Next, Open, p.Bound, len(p.Waves), nil
	for i, wave := range p.Waves {
		for _, m := range wave {
			r.Steps = append(r.Steps, &Step{Machine: m, Wave: i})
		}
	}
	s.Requests = append(s.Requests, &r)
	s.trimRequests()
	return &r, p, nil
}

// checkRequest returns an error if a value is out of range, too many requests are open, or a machine is in another request.
func (s *State) checkRequest(r *Request, machines []string) error {
	if len(machines) == 0 || len(machines) > maxSteps {
		return fmt.Errorf("%d machines; a request names 1 to %d", len(machines), maxSteps)
	}
	if r.Takes <= 0 || r.Back <= 0 || r.AtOnce < 0 {
		return fmt.Errorf("takes %v, back %v, at once %d: the times are above 0, the number is not below it", r.Takes, r.Back, r.AtOnce)
	}
	open := 0
	for _, other := range s.Requests {
		if !other.ended() {
			open++
		}
	}
	if open >= maxOpenRequests {
		return fmt.Errorf("%d requests are open, as many as there may be; wait for one, or abandon it", open)
	}
	for _, m := range machines {
		if other, _ := s.openStep(m); other != nil {
			return fmt.Errorf("machine %s is in request %d by %s already", m, other.ID, other.By)
		}
	}
	return nil
}

// checkDoneBy returns an error if the request would end later than its DoneBy when executed wave by wave.
func (r *Request) checkDoneBy(wall time.Time, waves int, warmup time.Duration) error {
	if r.DoneBy <= 0 {
		return nil
	}
	begin := max(wall.Unix(), r.NotBefore)
	end := begin + int64(time.Duration(waves)*(r.Takes+warmup)/time.Second)
	if end <= r.DoneBy {
		return nil
	}
	return fmt.Errorf("it would be done by %s, %d waves of %v and %v to warm up; later than %s", time.Unix(end, 0).UTC().Format(time.RFC3339),
		waves, r.Takes, warmup, time.Unix(r.DoneBy, 0).UTC().Format(time.RFC3339))
}

// trimRequests removes the oldest requests that have ended and have no machine in work, beyond maxEndedRequests.
func (s *State) trimRequests() {
	ended := 0
	for _, r := range s.Requests {
		if r.ended() {
			ended++
		}
	}
	s.Requests = slices.DeleteFunc(s.Requests, func(r *Request) bool {
		if ended > maxEndedRequests && r.ended() && !slices.ContainsFunc(r.Steps, func(st *Step) bool { return st.State.inWork() }) {
			ended--
			return true
		}
		return false
	})
}

// The actions that Order accepts.
const (
	Pause   = "pause"
	Resume  = "resume"
	Abandon = "abandon"
)

// Order carries out an operator's action on a request: Pause, Resume or Abandon.
func (s *State) Order(action string, id uint64) error {
	r := s.Request(id)
	switch {
	case r == nil:
		return fmt.Errorf("there is no request %d", id)
	case r.ended():
		return fmt.Errorf("request %d is %s", id, r.State)
	case action == Pause && r.State == Open:
		r.State, r.Why = Paused, "by an operator's word"
	case action == Resume && r.State != Open:
		r.State, r.Why = Open, ""
	case action == Abandon:
		r.State, r.Why = RequestAbandoned, "by an operator's word"
		for _, st := range r.Steps {
			if st.State <= Drained {
				s.setState(r, st, Abandoned, r.Why)
			}
		}
	default:
		return fmt.Errorf("request %d is %s; %s changes nothing", id, r.State, action)
	}
	return nil
}

// WorkDone records that an operator or the hook reported the work on a machine as done. as is the id under which the machine comes
// back; empty if unchanged.
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

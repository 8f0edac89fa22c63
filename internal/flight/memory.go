package flight

import (
	"time"

	"gullfall/internal/admission"
)

// reservation is what a query has asked for before its answer came.
type reservation struct {
	server *Server
	caller *caller
	class  string
	parts  int
	bytes  int64
}

// reserve asks for room for an answer that is still to come, by what its class has needed. It is given back by come or
// by drop.
func (s *Server) reserve(g *caller, class string, parts int) (*reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reservation{s, g, class, parts, min(s.sizeEstimates.Expect(class, parts), s.Memory)}
	cut, refusal := s.admission.Reserve(time.Now(), g.pass, r.bytes)
	return r, s.rejectMemory(cut, refusal, r.bytes)
}

// rejectMemory ends the streams that were cut for another, and turns a refusal into an error. The caller holds the lock.
func (s *Server) rejectMemory(cut []*admission.Pass, refusal *admission.Rejection, bytes int64) error {
	for _, p := range cut {
		s.cancelStream(p, errMemoryPressure)
	}
	if refusal == nil {
		return nil
	}
	s.Log.Warn("answers that are being read hold all they may; refused", "bytes", bytes, "cause", refusal)
	return unavailable(refusal.Error(), refusal.RetryAfter)
}

// release gives the room back: no answer came.
func (r *reservation) release() {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.server.admission.Read(time.Now(), r.caller.pass, r.bytes)
}

// commit turns the room into that of the answer; read tells what of it has been read.
func (r *reservation) commit(bytes int64) (read func(int64), err error) {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeEstimates.Learn(r.class, r.parts, bytes)
	if bytes < r.bytes {
		s.admission.Read(time.Now(), r.caller.pass, r.bytes-bytes)
	}
	cut, refusal := s.admission.Hold(time.Now(), r.caller.pass, bytes-r.bytes)
	if err := s.rejectMemory(cut, refusal, bytes); err != nil {
		s.admission.Read(time.Now(), r.caller.pass, min(bytes, r.bytes))
		return nil, err
	}
	return func(n int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Read(time.Now(), r.caller.pass, n)
	}, nil
}

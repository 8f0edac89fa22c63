package flight

import (
	"time"

	"gullfall/internal/admission"
)

// reservation is the memory that a query holds before its answer has come.
type reservation struct {
	server *Server
	caller *caller
	class  string
	parts  int
	bytes  int64
}

// reserve asks for memory for an answer that is still to come, by what its class has needed. It is given back by commit or
// by release.
func (s *Server) reserve(g *caller, class string, parts int) (*reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reservation{s, g, class, parts, min(s.sizeEstimates.Estimate(class, parts), s.Memory)}
	evicted, rejection := s.admission.Reserve(time.Now(), g.pass, r.bytes)
	return r, s.rejectMemory(evicted, rejection, r.bytes)
}

// rejectMemory ends the streams that were evicted for another, and turns a rejection into an error. The caller holds the lock.
func (s *Server) rejectMemory(evicted []*admission.Pass, rejection *admission.Rejection, bytes int64) error {
	for _, p := range evicted {
		s.cancelStream(p, errMemoryPressure)
	}
	if rejection == nil {
		return nil
	}
	s.Log.Warn("memory for answers exhausted; query rejected", "bytes", bytes, "cause", rejection)
	return unavailable(rejection.Error(), rejection.RetryAfter)
}

// release gives the memory back: no answer came.
func (r *reservation) release() {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.server.admission.Read(time.Now(), r.caller.pass, r.bytes)
}

// commit turns the reservation into the memory of the answer; read tells what of it has been read.
func (r *reservation) commit(bytes int64) (read func(int64), err error) {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeEstimates.Record(r.class, r.parts, bytes)
	if bytes < r.bytes {
		s.admission.Read(time.Now(), r.caller.pass, r.bytes-bytes)
	}
	evicted, rejection := s.admission.Hold(time.Now(), r.caller.pass, bytes-r.bytes)
	if err := s.rejectMemory(evicted, rejection, bytes); err != nil {
		s.admission.Read(time.Now(), r.caller.pass, min(bytes, r.bytes))
		return nil, err
	}
	return func(n int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Read(time.Now(), r.caller.pass, n)
	}, nil
}

package flight

import (
	"time"

	"gullfall/internal/admission"
)

// reservation is the memory held for a query whose answer has not arrived yet.
type reservation struct {
	server *Server
	caller *caller
	class  string
	parts  int
	bytes  int64
}

// reserve reserves memory for an expected answer, estimated from earlier answers of its class. The caller ends the reservation with
// commit or release.
func (s *Server) reserve(c *caller, class string, parts int) (*reservation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &reservation{s, c, class, parts, min(s.sizeEstimates.Estimate(class, parts), s.MaxAnswerBytes)}
	evicted, rejection := s.admission.Reserve(time.Now(), c.pass, r.bytes)
	return r, s.rejectMemory(evicted, rejection, r.bytes)
}

// rejectMemory ends the streams that were evicted to free memory and turns a rejection into an error. The caller holds the lock.
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

// release returns the memory of a query that ended without an answer.
func (r *reservation) release() {
	r.server.mu.Lock()
	defer r.server.mu.Unlock()
	r.server.admission.Read(time.Now(), r.caller.pass, r.bytes)
}

// commit changes the reservation to the size of the answer. The caller reports to read how many bytes the client has read.
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

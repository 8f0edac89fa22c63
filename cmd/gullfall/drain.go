package main

import (
	"sync"
	"time"
)

// Delays of a shutdown, counted from SIGTERM. New clients still connect for a while, so the process keeps serving at first.
const (
	// idleGrace is the delay before idle client connections are closed, and exchanges of the Flight front are ended.
	idleGrace = 500 * time.Millisecond
	// listenGrace is the delay before the listener is closed.
	listenGrace = 900 * time.Millisecond
	// readGrace is the time after the longest deadline of any class that clients have to read their answers.
	readGrace = 15 * time.Second
	// killAfter caps the longest deadline of a class for queries that arrive during the drain. SIGKILL may come 0.7 s after the
	// capped deadline.
	killAfter = 3 * time.Second
	// killSlack is added to killAfter for the latest time at which a query that arrives during the drain is answered, so that no
	// such query is open at SIGKILL.
	killSlack = 600 * time.Millisecond
)

// drain keeps serving until listenGrace has passed, then waits until all open queries are answered and read, until end, or until a
// second signal. It reports whether all were answered and read.
func (d *daemon) drain(end time.Time) (answered bool) {
	time.Sleep(idleGrace)
	d.fronts.clients.CloseIdle()
	if d.fronts.flight != nil {
		d.fronts.flight.EndExchanges()
	}
	time.Sleep(listenGrace - idleGrace)
	_ = d.fronts.listener.Close()
	var open sync.WaitGroup
	open.Go(d.fronts.clients.Wait)
	if d.fronts.flight != nil {
		open.Go(d.fronts.flight.GracefulStop)
	}
	done := make(chan struct{})
	go func() {
		open.Wait()
		close(done)
	}()
	select {
	case <-done:
		d.log.Info("drained")
		return true
	case <-time.After(time.Until(end)):
		d.log.Warn("ended while clients still read their answers", "open", d.coordinator.OpenCount())
	case <-d.signals:
		d.log.Warn("ended by a second signal", "open", d.coordinator.OpenCount())
	}
	return false
}

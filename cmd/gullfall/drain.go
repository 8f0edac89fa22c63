package main

import (
	"sync"
	"time"
)

// The course of a shutdown, counted from SIGTERM. Clients go on connecting for a while, so the process keeps serving.
const (
	// idleGrace passes before idle client connections are closed.
	idleGrace = 500 * time.Millisecond
	// listenGrace passes before the listener is closed.
	listenGrace = 900 * time.Millisecond
	// readGrace is how long beyond the longest deadline of a class a client may take to read its answer.
	readGrace = 15 * time.Second
	// killAfter bounds the time after which SIGKILL may come, 0.7 s more, where the longest deadline of a class is longer.
	killAfter = 3 * time.Second
	// killSlack is how much later than killAfter a query that comes in during the drain is answered at the latest, so that
	// SIGKILL finds none of them open.
	killSlack = 600 * time.Millisecond
)

// drain serves on while clients still come, then waits until all open queries are answered and read, until end, or until a
// second signal. It tells whether all was answered and read.
func (d *daemon) drain(end time.Time) (answered bool) {
	time.Sleep(idleGrace)
	d.fronts.clients.CloseIdle()
	time.Sleep(listenGrace - idleGrace)
	_ = d.fronts.listener.Close()
	var open sync.WaitGroup
	open.Go(d.fronts.clients.Wait)
	if d.fronts.flight != nil {
		open.Go(d.fronts.flight.Drain)
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

package platform

import (
	"net"
	"time"
)

const (
	// pollInterval is the retry interval after a failed accept, while waiting for a place, and while lingering.
	pollInterval = 10 * time.Millisecond
	// maxPlaceWait is the longest time for which connections that were accepted, or that wait in the listener's queue, are kept
	// waiting for a place. For usualAgesWait of it the usual eviction ages hold, then the short ones.
	maxPlaceWait  = 250 * time.Millisecond
	usualAgesWait = 100 * time.Millisecond
	// placeWaitPause is the time after such a wait in which none is kept waiting, so that the listener's queue is emptied.
	placeWaitPause = 250 * time.Millisecond
	// emptyQueueWait is how long an accept must have blocked to show that the listener's queue was empty.
	emptyQueueWait = time.Millisecond
	// limitLogInterval is the shortest time between two log lines about the limit on connections.
	limitLogInterval = time.Second
)

// acceptor accepts connections for a server, and finds a place for each. Whatever the connections that hold the places do, it
// keeps accepting: while it waits, requests lie unread in the listener's queue and their clients' deadlines pass. A connection
// that finds no place in time is closed unread. Only the goroutine of Server.Serve uses it.
type acceptor struct {
	server      *Server
	waitBegan   time.Time // when the current or last wait for places began
	queuedSince time.Time // connections may have waited in the listener's queue since then; zero if it was empty
	closed      int       // connections closed unread since the last log line
	loggedAt    time.Time
}

// accept accepts a connection.
func (a *acceptor) accept(ln net.Listener) (net.Conn, error) {
	begun := time.Now()
	nc, err := ln.Accept()
	if time.Since(begun) >= emptyQueueWait {
		a.queuedSince = time.Time{}
	}
	return nc, err
}

// place registers a connection. It returns nil if it had to close the connection for lack of a place.
func (a *acceptor) place(nc net.Conn) *clientConn {
	c := newClientConn(a.server, nc)
	for {
		a.discardFreed()
		result := a.server.register(c, a.evictionAges())
		if result == placed {
			c.in.acceptedAt, c.in.queuedSince = time.Now(), a.queuedSince
			return c
		}
		if !a.waitForPlace(result) {
			_ = nc.Close()
			a.closed++
			a.logLimit()
			return nil
		}
	}
}

// discardFreed discards the token of a connection that has ended earlier: the next register takes its place without waiting.
func (a *acceptor) discardFreed() {
	select {
	case <-a.server.placeFreed():
	default:
	}
}

// evictionAges returns the eviction ages that hold now.
func (a *acceptor) evictionAges() evictionAges {
	if waited := time.Since(a.waitBegan); waited >= usualAgesWait && waited < maxPlaceWait+placeWaitPause {
		return shortEvictionAges
	}
	return usualEvictionAges
}

// waitForPlace waits until a connection has ended, or for pollInterval. It returns false without waiting if no connection is
// about to end and others have been kept waiting for maxPlaceWait already.
func (a *acceptor) waitForPlace(result placement) bool {
	wait := pollInterval
	if result == placeOccupied {
		wait = min(wait, a.remainingWait(time.Now()))
	}
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-a.server.placeFreed():
	case <-timer.C:
	}
	return true
}

// remainingWait returns how long connections may still be kept waiting, and records that they wait.
func (a *acceptor) remainingWait(now time.Time) time.Duration {
	if now.Sub(a.waitBegan) >= maxPlaceWait+placeWaitPause {
		a.waitBegan = now
	}
	if a.queuedSince.IsZero() {
		a.queuedSince = now
	}
	return maxPlaceWait - now.Sub(a.waitBegan)
}

// logLimit logs that connections were closed unread, at most once in limitLogInterval.
func (a *acceptor) logLimit() {
	now := time.Now()
	if now.Sub(a.loggedAt) < limitLogInterval {
		return
	}
	a.server.Log.Warn("connections closed unread at the limit", "closed", a.closed, a.server.connCounts())
	a.loggedAt, a.closed = now, 0
}

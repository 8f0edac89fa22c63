package aggregator

import (
	"math"
	"time"
)

const (
	// deadConnLifetime is the time for which a dead idle connection is remembered, in longest latency objectives.
	deadConnLifetime = 8.0
	// deadConnThreshold is the evidence of dead idle connections from which they are closed before use.
	deadConnThreshold = 2.0
	// deadConnThresholdUnsafe is the same before a part that must not run twice.
	deadConnThresholdUnsafe = 1.0
	// minIdleShare is the idle time, as a share of the longest latency objective, above which a connection counts as idle.
	minIdleShare = 0.1
	// idleAnswerEvidence is the evidence against dead connections that an answer on a long idle connection adds.
	idleAnswerEvidence = 0.25
)

// replicaConns tracks the use of this aggregator's connections to one replica.
type replicaConns struct {
	lastUse      time.Duration // time of the last send or answer; 0 for none
	lostCallIdle time.Duration // idle time before the last call, if that call was lost; otherwise 0
}

// idleConnEstimate is the estimated idle time after which connections are dead.
//
// It handles connections that a firewall or load balancer on the path drops silently. The symptoms are resets
// and timeouts of the first part after a quiet period, on replicas that are healthy. The part after a loss goes on a new
// connection; if that is answered, the idle connection was the cause, and after enough such evidence idle connections are
// closed before use.
type idleConnEstimate struct {
	deadAfter time.Duration // shortest idle time after which a connection was found dead; 0 for none
	foundAt   time.Duration // when a connection was last found dead
	evidence  float64       // evidence of dead idle connections, minus evidence against it
}

// idleTimeout returns the idle time after which connections were recently found dead, or 0 for none.
func (a *Aggregator) idleTimeout() time.Duration {
	if (a.now - a.idleConns.foundAt).Seconds() > deadConnLifetime*a.maxObjective().Seconds() {
		a.idleConns.deadAfter, a.idleConns.evidence = 0, 0
	}
	return a.idleConns.deadAfter
}

// connExpired reports whether there is no open connection to r: none was used yet, or they have been idle for longer than
// the deployment keeps them.
func (a *Aggregator) connExpired(r *replica) bool {
	idleLimit := a.settings.Limits.ConnIdle
	return r.conns.lastUse == 0 || idleLimit > 0 && a.now-r.conns.lastUse >= idleLimit
}

// onIdleConn reports whether an attempt was sent on a connection that had been idle.
func (a *Aggregator) onIdleConn(t *attempt) bool {
	return !t.newConn && t.callPosition == 1 && t.connIdle > scale(minIdleShare, a.maxObjective())
}

// isIdleConnReset reports whether a reset after the given seconds is due to an idle connection: it came at once, and the
// query has had no other.
func (a *Aggregator) isIdleConnReset(t *attempt, took float64) bool {
	q := t.part.query
	return q.canary.resets == 0 && a.onIdleConn(t) && took < a.baseLatency(q)/2
}

// recordIdleConnReset records the reset of an idle connection, which neither the replica nor the query has caused.
func (a *Aggregator) recordIdleConnReset(t *attempt) {
	a.recordDeadConn(t.connIdle)
	t.replica.conns.lostCallIdle, t.part.query.canary.idleReset = t.connIdle, true
}

// recordConnAnswer records what an answer shows about the connections to its replica.
func (a *Aggregator) recordConnAnswer(t *attempt) {
	conns := &t.replica.conns
	if timeout := a.idleTimeout(); !t.newConn && timeout > 0 && t.connIdle >= timeout {
		a.addIdleEvidence(-idleAnswerEvidence) // the connection survived the idle time
	} else if t.newConn && conns.lostCallIdle > 0 {
		a.recordDeadConn(conns.lostCallIdle) // the previous call was lost on an idle connection
	}
	conns.lostCallIdle, conns.lastUse = 0, a.now
}

// recordConnUnanswered records a call without an answer. It is evidence against dead idle connections if the idle time does
// not explain it.
func (a *Aggregator) recordConnUnanswered(t *attempt) {
	t.replica.conns.lostCallIdle = t.connIdle
	if t.newConn || t.connIdle < a.idleTimeout() {
		t.replica.conns.lostCallIdle = 0
		a.addIdleEvidence(-1)
	}
}

// recordDeadConn records a connection that was dead after the given idle time.
func (a *Aggregator) recordDeadConn(idle time.Duration) {
	a.addIdleEvidence(1)
	a.idleConns.foundAt = a.now
	if a.idleConns.deadAfter == 0 || idle < a.idleConns.deadAfter {
		a.idleConns.deadAfter = idle
	}
}

// addIdleEvidence adds evidence that idle connections are dead, or against it if negative. Enough evidence against it
// clears the estimate.
func (a *Aggregator) addIdleEvidence(evidence float64) {
	a.idleConns.evidence = math.Min(a.idleConns.evidence+evidence, 2*deadConnThreshold)
	if a.idleConns.evidence <= -deadConnThreshold {
		a.idleConns.deadAfter, a.idleConns.evidence = 0, 0
	}
}

// closeIdleConns closes the idle connections to r before a part is sent, if they may be dead, and reports whether it did.
// It costs a handshake.
func (a *Aggregator) closeIdleConns(p *part, r *replica) bool {
	timeout, threshold := a.idleTimeout(), deadConnThreshold
	if a.settings.Classes[p.query.class].Effect == Unsafe {
		threshold = deadConnThresholdUnsafe
	}
	likelyDead := timeout > 0 && a.idleConns.evidence >= threshold && a.now-r.conns.lastUse >= timeout
	failedBefore := r.conns.lostCallIdle > 0 || p.query.canary.idleReset
	if len(r.calls.inFlight) > 0 || !failedBefore && !likelyDead {
		return false
	}
	a.emit(Action{Kind: CloseIdle, Replica: r.member.Replica})
	return true
}

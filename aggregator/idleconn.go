package aggregator

import (
	"math"
	"time"
)

const (
	// deadConnLifetime is for how many longest latency objectives a dead idle connection is remembered.
	deadConnLifetime = 8.0
	// deadConnEvidence is how many signs of dead idle connections, less those against, have them closed before use.
	deadConnEvidence = 2.0
	// deadConnEvidenceUnsafe is the same before a part that must not run twice.
	deadConnEvidenceUnsafe = 1.0
	// minIdleShare is the share of the longest latency objective above which an unused connection counts as idle.
	minIdleShare = 0.1
	// idleAnswerEvidence is how much an answer on a long idle connection counts against dead ones.
	idleAnswerEvidence = 0.25
)

// replicaConns is the use of this aggregator's connections to one replica.
type replicaConns struct {
	lastUse    time.Duration // last send or answer; 0 for none
	silentIdle time.Duration // how long they had idled before a call that got no answer; 0 for none
}

// idleConnEstimate is after how long idle connections are found dead.
//
// It guards against connections that a firewall or load balancer on the way drops without notice. The engineer on call sees
// resets and time-outs of the first part after a quiet spell, on replicas that are healthy. The part after a loss goes on a
// new connection; if that is answered, the idle one was to blame, and after enough such signs idle connections are closed
// before use.
type idleConnEstimate struct {
	deadAfter time.Duration // shortest idle time after which a connection was found dead; 0 for none
	foundAt   time.Duration // when one was last found dead
	evidence  float64       // signs of dead idle connections, less those against
}

// idleTimeout is the idle time after which connections were lately found dead, 0 for none.
func (a *Aggregator) idleTimeout() time.Duration {
	if (a.now - a.idleConns.foundAt).Seconds() > deadConnLifetime*a.maxObjective().Seconds() {
		a.idleConns.deadAfter, a.idleConns.evidence = 0, 0
	}
	return a.idleConns.deadAfter
}

// connExpired tells whether the connections to r are closed by now, as idle for longer than the deployment keeps them.
func (a *Aggregator) connExpired(r *replica) bool {
	idleLimit := a.settings.Limits.ConnIdle
	return r.conns.lastUse == 0 || idleLimit > 0 && a.now-r.conns.lastUse >= idleLimit
}

// onIdleConn tells whether an attempt was sent on a connection that had been idle.
func (a *Aggregator) onIdleConn(t *attempt) bool {
	return !t.newConn && t.callPosition == 1 && t.connIdle > scale(minIdleShare, a.maxObjective())
}

// resetOfIdleConn tells whether a reset after the given seconds is the fault of an idle connection: it came at once, and the
// query has had no other.
func (a *Aggregator) resetOfIdleConn(t *attempt, took float64) bool {
	q := t.part.query
	return q.canary.resets == 0 && a.onIdleConn(t) && took < a.baseLatency(q)/2
}

// idleConnReset takes in the reset of an idle connection, for which neither the replica nor the query is to blame.
func (a *Aggregator) idleConnReset(t *attempt) {
	a.recordDeadConn(t.connIdle)
	t.replica.conns.silentIdle, t.part.query.canary.idleReset = t.connIdle, true
}

// recordConnAnswer takes in what an answer says of the connections to its replica.
func (a *Aggregator) recordConnAnswer(t *attempt) {
	conns := &t.replica.conns
	if timeout := a.idleTimeout(); !t.newConn && timeout > 0 && t.connIdle >= timeout {
		a.addIdleEvidence(-idleAnswerEvidence) // idling did no harm
	} else if t.newConn && conns.silentIdle > 0 {
		a.recordDeadConn(conns.silentIdle) // the call before was lost on an idle connection
	}
	conns.silentIdle, conns.lastUse = 0, a.now
}

// recordConnSilence takes in a call without an answer, which counts against dead idle connections where no idling explains
// it.
func (a *Aggregator) recordConnSilence(t *attempt) {
	t.replica.conns.silentIdle = t.connIdle
	if t.newConn || t.connIdle < a.idleTimeout() {
		t.replica.conns.silentIdle = 0
		a.addIdleEvidence(-1)
	}
}

// recordDeadConn takes in a connection that was dead after the given idle time.
func (a *Aggregator) recordDeadConn(idle time.Duration) {
	a.addIdleEvidence(1)
	a.idleConns.foundAt = a.now
	if a.idleConns.deadAfter == 0 || idle < a.idleConns.deadAfter {
		a.idleConns.deadAfter = idle
	}
}

// addIdleEvidence adds a sign that idle connections are dead, or against it where it is below 0. Enough signs against it
// clear the estimate.
func (a *Aggregator) addIdleEvidence(sign float64) {
	a.idleConns.evidence = math.Min(a.idleConns.evidence+sign, 2*deadConnEvidence)
	if a.idleConns.evidence <= -deadConnEvidence {
		a.idleConns.deadAfter, a.idleConns.evidence = 0, 0
	}
}

// closeIdleConns closes the idle connections to r before a part is sent, where they may be dead, and tells whether it did.
// It costs a handshake.
func (a *Aggregator) closeIdleConns(p *part, r *replica) bool {
	timeout, evidence := a.idleTimeout(), deadConnEvidence
	if a.settings.Classes[p.query.class].Effect == Unsafe {
		evidence = deadConnEvidenceUnsafe
	}
	likelyDead := timeout > 0 && a.idleConns.evidence >= evidence && a.now-r.conns.lastUse >= timeout
	failedBefore := r.conns.silentIdle > 0 || p.query.canary.idleReset
	if len(r.calls.inFlight) > 0 || !failedBefore && !likelyDead {
		return false
	}
	a.act(Action{Kind: CloseIdle, Replica: r.member.Replica})
	return true
}

package aggregator

import (
	"math"
	"time"
)

const (
	deadConnLifetime   = 8.0  // longest aims for which idle connections found dead are closed before use
	deadConnEvidence   = 2.0  // signs of dead idle connections, less those against, from which they are closed
	minIdleShare       = 0.1  // share of the longest aim above which a connection counts as idle
	idleAnswerEvidence = 0.25 // what an answer on a long idle connection counts against
)

// idleLimit is the time without use after which connections were lately found dead, 0 for none.
func (a *Aggregator) idleTimeout() time.Duration {
	if (a.now - a.idleConns.foundAt).Seconds() > deadConnLifetime*a.maxObjective().Seconds() {
		a.idleConns.deadAfter, a.idleConns.evidence = 0, 0
	}
	return a.idleConns.deadAfter
}

// idled tells whether an attempt was sent on a connection that had been out of use for a while.
func (a *Aggregator) onIdleConn(t *attempt) bool {
	return !t.newConn && t.callPosition == 1 && t.connIdle > scale(minIdleShare, a.maxObjective())
}

// deadIdle counts a sign that connections out of use for gap are dead.
func (a *Aggregator) recordDeadConn(gap time.Duration) {
	a.addIdleEvidence(1)
	if a.idleConns.foundAt = a.now; a.idleConns.deadAfter == 0 || gap < a.idleConns.deadAfter {
		a.idleConns.deadAfter = gap
	}
}

// blameIdle counts signs that idle connections are dead, or against it; enough of the latter clear them.
func (a *Aggregator) addIdleEvidence(sign float64) {
	if a.idleConns.evidence = math.Min(a.idleConns.evidence+sign, 2*deadConnEvidence); a.idleConns.evidence <= -deadConnEvidence {
		a.idleConns.deadAfter, a.idleConns.evidence = 0, 0
	}
}

// refresh closes the idle connections to r before a part is sent where they may be dead: a call on one
// was lost, or they have idled as long as others that were; at the first sign already for a part that may
// not run twice. It costs a handshake.
func (a *Aggregator) closeIdleConns(p *part, r *replica) bool {
	limit, enough := a.idleTimeout(), deadConnEvidence
	if a.settings.Classes[p.query.class].Effect == Unsafe {
		enough = 1
	}
	suspect := r.conns.silentIdle > 0 || p.query.canary.idleReset || limit > 0 && a.idleConns.evidence >= enough && a.now-r.conns.lastUse >= limit
	if len(r.calls.inFlight) > 0 || !suspect {
		return false
	}
	a.out = append(a.out, Action{Kind: CloseIdle, Replica: r.member.Replica})
	return true
}

// replicaConns is the use of this aggregator's connections to one replica.
type replicaConns struct {
	lastUse    time.Duration // last send or answer
	silentIdle time.Duration // how long they had idled before a call that got no answer; 0 for none
}

// idleConnEstimate is after how long idle connections are found dead, as a firewall or a proxy on the way drops them.
type idleConnEstimate struct {
	deadAfter time.Duration // shortest idle time after which a connection was found dead; 0 for none
	foundAt   time.Duration // when one was last found
	evidence  float64       // signs that idle connections are dead, less those against it
}

// Package datanode provides simulated data nodes for both protocols, and the ledger in which a fleet of them records what
// the retry and removal rules limit: concurrent attempts of one part, attempts per part, and work started at a data node
// after it was taken off the list. It does not import coordinator code, and it listens on loopback only.
package datanode

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ledger records all attempts at the data nodes of a fleet.
type Ledger struct {
	mu           sync.Mutex
	open         map[string]string // data node with the open attempt, by part
	attempts     map[string]int    // attempts, by part
	begun        int
	concurrent   int                     // attempts begun while another one of the same part was open
	mostAttempts int                     // highest number of attempts of one part
	startsByNode map[string]int          // attempts begun, by data node
	removedAt    map[string]time.Time    // removal time, by data node that must get no new work
	lastStart    map[string]time.Time    // last attempt begun since the removal, by data node
	startDelay   *hdrhistogram.Histogram // time from a removal to the last attempt begun, in microseconds
	removals     int
	restartedAt  map[string]time.Time // restart time, by data node whose last return was a restart
	warmupStarts int                  // attempts begun in the first second after a restart
	restarts     int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{open: map[string]string{}, attempts: map[string]int{}, startsByNode: map[string]int{}, removedAt: map[string]time.Time{},
		lastStart: map[string]time.Time{}, startDelay: hdrhistogram.New(1, 600_000_000, 3), restartedAt: map[string]time.Time{}}
}

// Begin records that an attempt of a part has reached a data node.
func (l *Ledger) Begin(node, part string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.open[part]; open {
		l.concurrent++
	}
	l.open[part] = node
	l.begun++
	l.startsByNode[node]++
	l.attempts[part]++
	l.mostAttempts = max(l.mostAttempts, l.attempts[part])
	if since, removed := l.removedAt[node]; removed && now.After(since) {
		l.lastStart[node] = now
	}
	if at, restarted := l.restartedAt[node]; restarted && now.Sub(at) < time.Second {
		l.warmupStarts++
	}
}

// End records the end of an attempt. It must be called before the coordinator can see the end.
func (l *Ledger) End(node, part string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[part] == node {
		delete(l.open, part)
	}
}

// Cut ends all open attempts at a data node, whose connections are broken.
func (l *Ledger) Cut(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for part, at := range l.open {
		if at == node {
			delete(l.open, part)
		}
	}
}

// Out returns the number of open attempts.
func (l *Ledger) Out() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Done forgets the attempts of the parts of a query that has ended at its client; part ids are not reused.
func (l *Ledger) Done(parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		delete(l.attempts, p)
	}
}

// Off records that a data node must get no new work from now on.
func (l *Ledger) Off(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, removed := l.removedAt[node]; !removed {
		l.removedAt[node] = time.Now()
		l.removals++
	}
}

// On records that a data node may get work again without a restart.
func (l *Ledger) On(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeRemoval(node)
	delete(l.restartedAt, node)
}

// Restarted records that a data node may get work again because its process was restarted; it is warming up.
func (l *Ledger) Restarted(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeRemoval(node)
	l.restartedAt[node] = time.Now()
	l.restarts++
}

// closeRemoval records the time from the removal of a data node to the last attempt begun there, if the removal is open.
func (l *Ledger) closeRemoval(node string) {
	since, removed := l.removedAt[node]
	if !removed {
		return
	}
	delay := time.Duration(0)
	if last, started := l.lastStart[node]; started {
		delay = last.Sub(since)
	}
	_ = l.startDelay.RecordValue(max(1, delay.Microseconds()))
	delete(l.removedAt, node)
	delete(l.lastStart, node)
}

// Account is the summary of a ledger.
type Account struct {
	Begun, Twins, MostAttempts int
	Removals                   int
	Worst, P99, Median         time.Duration // time from a removal to the last attempt begun
	WarmupReturns, WarmupParts int           // restarts, and attempts begun in the first second after any of them
	Starts                     map[string]int
}

// Account closes the open removals and returns the summary.
func (l *Ledger) Account() Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	for node := range l.removedAt {
		l.closeRemoval(node)
	}
	us := func(q float64) time.Duration {
		return time.Duration(l.startDelay.ValueAtQuantile(q)) * time.Microsecond
	}
	starts := map[string]int{}
	for k, n := range l.startsByNode {
		starts[k] = n
	}
	return Account{Begun: l.begun, Twins: l.concurrent, MostAttempts: l.mostAttempts, Removals: l.removals,
		Worst: time.Duration(l.startDelay.Max()) * time.Microsecond, P99: us(99), Median: us(50),
		WarmupReturns: l.restarts, WarmupParts: l.warmupStarts, Starts: starts}
}

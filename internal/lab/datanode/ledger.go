// Package datanode holds stand-in data nodes of both protocols, and the ledger in which a whole fleet of them keeps what
// the rules ask for: twin attempts, attempts of a part, and work that came after a data node was taken off the list.
// It must never know a coordinator's code; it serves loopback only.
package datanode

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ledger is the account of all attempts at a fleet.
type Ledger struct {
	mu      sync.Mutex
	out     map[string]string // the data node at which a part is out, by part
	tries   map[string]int
	begun   int
	twins   int
	most    int
	starts  map[string]int
	off     map[string]time.Time // since when a data node is to get nothing new
	last    map[string]time.Time // its last new work since then
	after   *hdrhistogram.Histogram
	offs    int
	cold    map[string]time.Time
	coldly  int // parts begun in the first second after a cold return
	returns int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{out: map[string]string{}, tries: map[string]int{}, starts: map[string]int{}, off: map[string]time.Time{},
		last: map[string]time.Time{}, after: hdrhistogram.New(1, 600_000_000, 3), cold: map[string]time.Time{}}
}

// Begin notes that an attempt of a part has come to a data node.
func (l *Ledger) Begin(node, part string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, twin := l.out[part]; twin {
		l.twins++
	}
	l.out[part] = node
	l.begun++
	l.starts[node]++
	l.tries[part]++
	l.most = max(l.most, l.tries[part])
	if since, is := l.off[node]; is && now.After(since) {
		l.last[node] = now
	}
	if at, is := l.cold[node]; is && now.Sub(at) < time.Second {
		l.coldly++
	}
}

// End notes that an attempt is over, before the coordinator can know.
func (l *Ledger) End(node, part string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out[part] == node {
		delete(l.out, part)
	}
}

// Cut notes that all that is out at a data node ends with its connections.
func (l *Ledger) Cut(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for part, at := range l.out {
		if at == node {
			delete(l.out, part)
		}
	}
}

// Out is how many attempts are out.
func (l *Ledger) Out() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.out)
}

// Done forgets a query's parts once its answer is in; ids are not used twice.
func (l *Ledger) Done(parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range parts {
		delete(l.tries, p)
	}
}

// Off notes that from now on a data node is to get nothing new.
func (l *Ledger) Off(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, is := l.off[node]; !is {
		l.off[node] = time.Now()
		l.offs++
	}
}

// On notes that a data node may get work again.
func (l *Ledger) On(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(node)
	delete(l.cold, node)
}

// Restarted is On for a data node whose process runs anew, so that it is warming up.
func (l *Ledger) Restarted(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(node)
	l.cold[node] = time.Now()
	l.returns++
}

// settle notes how long after its removal a data node had its last new work.
func (l *Ledger) settle(node string) {
	since, is := l.off[node]
	if !is {
		return
	}
	late := time.Duration(0)
	if last, any := l.last[node]; any {
		late = last.Sub(since)
	}
	_ = l.after.RecordValue(max(1, late.Microseconds()))
	delete(l.off, node)
	delete(l.last, node)
}

// Account is what a ledger comes to.
type Account struct {
	Begun, Twins, MostAttempts int
	Removals                   int
	Worst, P99, Median         time.Duration // from a removal to the last new work
	ColdReturns, ColdParts     int           // parts begun in the first second after each cold return, together
	Starts                     map[string]int
}

// Account closes the removals that are open and returns what the ledger has.
func (l *Ledger) Account() Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	for node := range l.off {
		l.settle(node)
	}
	us := func(q float64) time.Duration { return time.Duration(l.after.ValueAtQuantile(q)) * time.Microsecond }
	starts := map[string]int{}
	for k, n := range l.starts {
		starts[k] = n
	}
	return Account{Begun: l.begun, Twins: l.twins, MostAttempts: l.most, Removals: l.offs,
		Worst: time.Duration(l.after.Max()) * time.Microsecond, P99: us(99), Median: us(50),
		ColdReturns: l.returns, ColdParts: l.coldly, Starts: starts}
}

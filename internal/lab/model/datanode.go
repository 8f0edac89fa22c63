package model

import (
	"slices"
	"time"

	"gullfall/aggregator"
)

// dataNode processes up to Config.Cores parts at a time; further parts wait in its queue.
type dataNode struct {
	id             string
	zone           string
	shardSet       int
	started        time.Duration // 0 if it started long before the day
	state          aggregator.State
	down           bool
	silent         bool
	overloaded     bool
	busy           int
	queue          []*job
	recentArrivals []arrival // parts that arrived within the last second; kept during warm-up only
	attempts       []*attempt
	incarnation    int // number of failures; jobs of an earlier incarnation are dropped
}

// arrival records a part that arrived and its work in seconds.
type arrival struct {
	at   time.Duration
	work float64
}

// job is an attempt as a data node processes it.
type job struct {
	attempt   *attempt
	work      time.Duration
	cancelled bool
}

// capacity returns the data node's speed as a share of its full speed. It grows linearly during warm-up.
func (n *dataNode) capacity(now time.Duration) float64 {
	if n.started == 0 {
		return 1
	}
	return min(1, initialCapacity+(1-initialCapacity)*float64(now-n.started)/float64(warmupTime))
}

// receive queues a part. A data node that receives too much work during warm-up fails.
func (n *dataNode) receive(m *Model, j *job) {
	k := j.attempt.coordinator
	switch {
	case n.down && n.silent:
		return
	case n.down || n.overloaded:
		m.after(m.config.NetworkDelay, func() { k.endAttempt(j.attempt, aggregator.ConnectFailed) })
		return
	}
	if n.started > 0 && m.now < n.started+warmupTime {
		n.recentArrivals = slices.DeleteFunc(n.recentArrivals, func(a arrival) bool { return a.at < m.now-time.Second })
		n.recentArrivals = append(n.recentArrivals, arrival{m.now, j.work.Seconds()})
		sum := 0.0
		for _, a := range n.recentArrivals {
			sum += a.work
		}
		if sum > overloadMultiple*n.capacity(m.now)*float64(m.config.Cores) {
			m.figures.Overloaded++
			m.stopProcess(n)
			n.overloaded = true
			return
		}
	}
	n.queue = append(n.queue, j)
	n.startJobs(m)
}

// startJobs starts queued jobs while cores are free.
func (n *dataNode) startJobs(m *Model) {
	for n.busy < m.config.Cores && len(n.queue) > 0 {
		j := n.queue[0]
		if n.queue = n.queue[1:]; j.cancelled {
			continue
		}
		n.busy++
		incarnation := n.incarnation
		m.after(time.Duration(float64(j.work)/n.capacity(m.now)), func() {
			if n.incarnation != incarnation {
				return
			}
			n.busy--
			if !j.cancelled {
				m.after(m.config.NetworkDelay, func() { j.attempt.coordinator.endAttempt(j.attempt, aggregator.OK) })
			}
			n.startJobs(m)
		})
	}
}

// goSilent drops all work of a data node without notifying the coordinators: running jobs and later requests get no answer.
func (n *dataNode) goSilent() {
	n.down, n.silent = true, true
	for _, j := range n.queue {
		j.cancelled = true
	}
	n.attempts = nil
	n.incarnation++
	n.queue, n.busy = nil, 0
}

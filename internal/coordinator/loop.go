package coordinator

import (
	"context"
	"slices"
	"time"

	"gullfall/aggregator"
)

// eventLoop is the state of the loop; only the goroutine of Run touches it.
type eventLoop struct {
	module      *aggregator.Aggregator
	actions     []aggregator.Action // of the last step; its memory is used again
	queries     queryTable
	delayed     []input   // not due yet
	wakeAt      time.Time // when the module wants to be called; zero for never
	lastTick    time.Time
	listVersion uint64 // of the endpoints that the module knows
}

// Run is the loop: it steps about once a tick while there is something to take in, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.notify:
		case <-timer.C:
		}
		// What comes within a tick is gathered, so that parts of several queries can share a call.
		if wait := time.Until(c.loop.lastTick.Add(c.settings.Tick)); wait > 0 {
			time.Sleep(wait)
		}
		timer.Reset(time.Until(c.Tick(time.Now())))
	}
}

// Tick takes in what has happened, steps the module, carries out what it says, and returns when it must be
// called again if nothing happens before. Only one goroutine may call it.
func (c *Coordinator) Tick(now time.Time) (next time.Time) {
	c.loop.lastTick = now
	c.mu.Lock()
	due := c.endpoints.table.Next()
	c.mu.Unlock()
	if !due.IsZero() && !now.Before(due) {
		c.updateTable(false, false, c.endpoints.table.Tick)
	}
	c.mu.Lock()
	inbox := append(c.loop.delayed, c.inbox...)
	c.loop.delayed, c.inbox = nil, nil
	c.mu.Unlock()
	var events []aggregator.Event
	for i := range inbox {
		if inbox[i].due.After(now) {
			c.loop.delayed = append(c.loop.delayed, inbox[i])
		} else if c.accept(&inbox[i], now) {
			events = append(events, inbox[i].event)
		}
	}
	lists, rest := []aggregator.Event{}, []aggregator.Event{}
	for _, e := range events {
		if isList(e.Kind) {
			lists = append(lists, e)
		} else {
			rest = append(rest, e)
		}
	}
	lists = append(lists, c.takeListEvents()...)
	// After the lists, which were told before and by what held then: the latest word on a data node counts.
	zoned, changed, zoneNext := c.stepZones(now)
	if changed {
		lists = append(lists, zoned)
	}
	lapsed, changed, workNext := c.stepMaintenance(now)
	if changed {
		lists = append(lists, lapsed)
	}
	events = append(lists, rest...)
	for _, q := range c.loop.queries.open {
		if !now.Before(q.Deadline) {
			// The module ends queries earlier; this is the backstop that no query outlives its client.
			c.log.Error("query outlived by its deadline", "query", q.ID)
			c.finish(q, Answer{Status: Failed})
			events = append(events, aggregator.Event{Kind: aggregator.ClientGone, Query: q.ID})
		}
	}
	for a := range c.loop.queries.attempts {
		if a.cancelReason == aggregator.Unknown && !now.Before(a.Deadline) {
			c.cancel(a, aggregator.TimedOut)
		}
	}
	if len(events) == 0 && !c.loop.wakeAt.IsZero() && !now.Before(c.loop.wakeAt) {
		events = append(events, aggregator.Event{Kind: aggregator.Wakeup})
	}
	if !c.loop.wakeAt.IsZero() && !now.Before(c.loop.wakeAt) {
		c.loop.wakeAt = time.Time{}
	}
	if len(events) > 0 {
		c.stepModule(now, events)
	}
	next = now.Add(time.Minute)
	if !c.loop.wakeAt.IsZero() && c.loop.wakeAt.Before(next) {
		next = c.loop.wakeAt
	}
	for _, t := range []time.Time{zoneNext, workNext} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	c.mu.Lock()
	if due = c.endpoints.table.Next(); !due.IsZero() && due.Before(next) {
		next = due
	}
	c.mu.Unlock()
	for i := range c.loop.delayed {
		if c.loop.delayed[i].due.Before(next) {
			next = c.loop.delayed[i].due
		}
	}
	for _, q := range c.loop.queries.open {
		if q.Deadline.Before(next) {
			next = q.Deadline
		}
	}
	for a := range c.loop.queries.attempts {
		if a.cancelReason == aggregator.Unknown && a.Deadline.Before(next) {
			next = a.Deadline
		}
	}
	return next
}

// lists takes out of the inbox what has just changed in the list, by what was seen in this very round: an attempt that
// follows one that failed is to go by it.
func (c *Coordinator) takeListEvents() (events []aggregator.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loop.listVersion = c.endpoints.version
	c.inbox = slices.DeleteFunc(c.inbox, func(in input) bool {
		if isList(in.event.Kind) {
			events = append(events, in.event)
			return true
		}
		return false
	})
	return events
}

func isList(k aggregator.EventKind) bool {
	return k == aggregator.ListChanged || k == aggregator.ListReplaced || k == aggregator.ListCached
}

// accept applies an input to the core's own accounts and tells whether the module is to hear of it.
func (c *Coordinator) accept(in *input, now time.Time) bool {
	switch in.event.Kind {
	case aggregator.QueryArrived:
		if c.loop.queries.open[in.query.ID] != nil || slices.ContainsFunc(in.query.parts, func(p *part) bool { return c.loop.queries.parts[p.id] != nil }) {
			// Ids are new for each request; a second of the same, while the first is open or a part of it still out,
			// would mix up the parts of both.
			in.query.finished = true
			c.release(in.query)
			in.query.reply <- Answer{Status: Failed}
			return false
		}
		c.loop.queries.open[in.query.ID] = in.query
		in.event.TimeLeft = in.query.Deadline.Sub(now)
	case aggregator.PartArrived:
		if in.query.finished {
			return false
		}
		for _, p := range in.query.parts {
			if p.id == in.event.Part {
				c.loop.queries.parts[p.id] = p
			}
		}
	case aggregator.ClientGone:
		if in.query.finished {
			return false
		}
		c.finish(in.query, Answer{Status: Failed})
	case aggregator.AttemptEnded:
		a := in.attempt
		if a.ended {
			return false
		}
		a.ended, a.outcome = true, in.outcome
		c.log.Debug("attempt ended", "node", a.node.id, "part", a.ID, "end", words[in.outcome], "load", in.event.LoadReport["util"], "took", now.Sub(a.sentAt))
		delete(c.loop.queries.attempts, a)
		a.node.addInFlight(-1)
		c.observeForMembership(a.node, in.outcome)
		c.observeForZones(a.node, a, in.outcome, now)
		c.observeForMaintenance(a.node, in.outcome, in.event.LoadReport, now)
		c.notifyObserver(a.node, a, in.outcome, in.event.LoadReport, now)
		if in.event.Outcome == aggregator.TimedOut && a.cancelReason != aggregator.Unknown {
			in.event.Outcome = a.cancelReason
		}
		if in.event.Outcome == aggregator.OK && !a.part.query.finished && !a.part.received {
			a.part.received, a.part.docs = true, in.docs
			if a.part.query.Received != nil {
				a.part.query.Received.Add(1)
			}
		}
		c.forget(a.part)
	}
	return true
}

// step calls the module and carries out its actions. A module that panics is started anew, with the list as
// it stands; the queries that it held fail.
func (c *Coordinator) stepModule(now time.Time, events []aggregator.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Error("decision module panicked; started anew", "cause", r)
			c.loop.module, _ = aggregator.New(c.settings, c.seed)
			for _, q := range c.loop.queries.open {
				c.finish(q, Answer{Status: Failed})
			}
			for a := range c.loop.queries.attempts {
				c.cancel(a, aggregator.Cancelled)
			}
			c.loop.wakeAt = time.Time{}
			c.mu.Lock()
			c.inbox = append(c.inbox, input{event: c.completeList(aggregator.ListReplaced)})
			c.mu.Unlock()
			c.wakeUp()
		}
	}()
	c.loop.actions = c.loop.module.Step(c.moduleClock(now), events, c.loop.actions[:0])
	round := map[*Node]*Command{}
	orders := map[*Node][]*Command{}
	for _, a := range c.loop.actions {
		switch a.Kind {
		case aggregator.Send:
			c.send(now, a, round, orders)
		case aggregator.Cancel:
			if p := c.loop.queries.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
				c.cancel(p.attempts[a.Attempt], aggregator.Cancelled)
			}
		case aggregator.Answer:
			if q := c.loop.queries.open[a.Query]; q != nil {
				answer := Answer{Status: Answered, Complete: a.Complete}
				for _, p := range q.parts {
					if p.received {
						answer.Values = append(answer.Values, PartValue{Shard: p.shard, Docs: p.docs})
					}
				}
				c.finish(q, answer)
			}
		case aggregator.Reject:
			if q := c.loop.queries.open[a.Query]; q != nil {
				c.logUnanswered("query refused", q, a.Reason, now)
				c.finish(q, Answer{Status: Rejected, RetryAfter: a.After})
			}
		case aggregator.Fail:
			if q := c.loop.queries.open[a.Query]; q != nil {
				c.logUnanswered("query failed", q, a.Reason, now)
				c.finish(q, Answer{Status: Failed})
			}
		case aggregator.Probe, aggregator.CloseIdle:
			if n := c.node(a.Replica); n != nil {
				if a.Kind == aggregator.Probe {
					c.log.Debug("probe sent", "node", n.id)
				}
				orders[n] = append(orders[n], &Command{Probe: a.Kind == aggregator.Probe,
					CloseIdle: a.Kind == aggregator.CloseIdle})
			} else if a.Kind == aggregator.Probe {
				c.enqueue(input{event: aggregator.Event{Kind: aggregator.ProbeEnded, Replica: a.Replica,
					Outcome: aggregator.ConnectFailed}})
			}
		case aggregator.Wake:
			c.loop.wakeAt = now.Add(a.After)
		}
	}
	for n, list := range orders {
		n.post(list...)
	}
}

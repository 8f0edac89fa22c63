package coordinator

import (
	"context"
	"slices"
	"time"

	"gullfall/aggregator"
)

// idleInterval is the longest time between two ticks.
const idleInterval = time.Minute

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

// Run is the event loop: it ticks about once per settings.Tick while there is something to take in, until ctx ends.
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
		// What arrives within a tick is gathered, so that parts of several queries can share a call.
		if wait := time.Until(c.loop.lastTick.Add(c.settings.Tick)); wait > 0 {
			time.Sleep(wait)
		}
		timer.Reset(time.Until(c.Tick(time.Now())))
	}
}

// Tick takes in what has happened, steps the module and carries out its actions. It returns when it must be called again if nothing
// happens before. Only one goroutine may call it.
func (c *Coordinator) Tick(now time.Time) (next time.Time) {
	c.loop.lastTick = now
	c.expireRecords(now)
	listEvents, events := splitListEvents(c.acceptInputs(now))
	listEvents = append(listEvents, c.takeListEvents()...)
	// Zones and maintenance follow the lists, which were made before: the latest state of a data node counts.
	zoneEvents, zoneNext := c.stepZones(now)
	listEvents = append(listEvents, zoneEvents...)
	maintenanceEvents, maintenanceNext := c.stepMaintenance(now)
	listEvents = append(listEvents, maintenanceEvents...)
	events = append(listEvents, events...)
	events = append(events, c.failOverdueQueries(now)...)
	c.cancelOverdueAttempts(now)
	if c.takeWakeup(now) && len(events) == 0 {
		events = append(events, aggregator.Event{Kind: aggregator.Wakeup})
	}
	if len(events) > 0 {
		c.stepModule(now, events)
	}
	return c.nextTick(now, zoneNext, maintenanceNext)
}

// expireRecords lets the membership table expire what is due.
func (c *Coordinator) expireRecords(now time.Time) {
	c.mu.Lock()
	due := c.endpoints.table.Next()
	c.mu.Unlock()
	if !due.IsZero() && !now.Before(due) {
		c.updateTable(partialUpdate, c.endpoints.table.Tick)
	}
}

// acceptInputs takes in the inputs that are due, and returns the events that the module is to see, in the order of their arrival.
func (c *Coordinator) acceptInputs(now time.Time) (events []aggregator.Event) {
	c.mu.Lock()
	inbox := append(c.loop.delayed, c.inbox...)
	c.loop.delayed, c.inbox = nil, nil
	c.mu.Unlock()
	for i := range inbox {
		if inbox[i].due.After(now) {
			c.loop.delayed = append(c.loop.delayed, inbox[i])
		} else if c.accept(&inbox[i], now) {
			events = append(events, inbox[i].event)
		}
	}
	return events
}

// splitListEvents separates changes of the endpoint list from all other events; both keep their order.
func splitListEvents(events []aggregator.Event) (lists, others []aggregator.Event) {
	for _, e := range events {
		if isListEvent(e.Kind) {
			lists = append(lists, e)
		} else {
			others = append(others, e)
		}
	}
	return lists, others
}

// takeListEvents takes out of the inbox the changes that the inputs of this very tick have caused: a retry of an attempt that failed
// just now is to go by them.
func (c *Coordinator) takeListEvents() (events []aggregator.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loop.listVersion = c.endpoints.version
	c.inbox = slices.DeleteFunc(c.inbox, func(in input) bool {
		if isListEvent(in.event.Kind) {
			events = append(events, in.event)
			return true
		}
		return false
	})
	return events
}

func isListEvent(k aggregator.EventKind) bool {
	return k == aggregator.ListChanged || k == aggregator.ListReplaced || k == aggregator.ListCached
}

// failOverdueQueries fails the queries whose deadline has passed. The module ends them earlier; this guards against a loop that runs
// so late that a client would get no answer at all, and shows as an error in the log.
func (c *Coordinator) failOverdueQueries(now time.Time) (events []aggregator.Event) {
	for _, q := range c.loop.queries.open {
		if !now.Before(q.Deadline) {
			c.log.Error("query not ended by its deadline", "query", q.ID)
			c.finish(q, Answer{Status: Failed})
			events = append(events, aggregator.Event{Kind: aggregator.ClientGone, Query: q.ID})
		}
	}
	return events
}

// cancelOverdueAttempts cancels the attempts whose deadline has passed.
func (c *Coordinator) cancelOverdueAttempts(now time.Time) {
	for a := range c.loop.queries.attempts {
		if a.cancelReason == aggregator.Unknown && !now.Before(a.Deadline) {
			c.cancel(a, aggregator.TimedOut)
		}
	}
}

// takeWakeup reports whether the module's own wakeup is due, and clears it.
func (c *Coordinator) takeWakeup(now time.Time) bool {
	if c.loop.wakeAt.IsZero() || now.Before(c.loop.wakeAt) {
		return false
	}
	c.loop.wakeAt = time.Time{}
	return true
}

// nextTick is the earliest time at which something falls due: of the two given, where not zero, and of all that the loop waits for.
func (c *Coordinator) nextTick(now, zoneNext, maintenanceNext time.Time) time.Time {
	next := now.Add(idleInterval)
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	c.mu.Lock()
	recordsNext := c.endpoints.table.Next()
	c.mu.Unlock()
	for _, t := range [...]time.Time{zoneNext, maintenanceNext, recordsNext, c.loop.wakeAt} {
		if !t.IsZero() {
			earlier(t)
		}
	}
	for i := range c.loop.delayed {
		earlier(c.loop.delayed[i].due)
	}
	for _, q := range c.loop.queries.open {
		earlier(q.Deadline)
	}
	for a := range c.loop.queries.attempts {
		if a.cancelReason == aggregator.Unknown {
			earlier(a.Deadline)
		}
	}
	return next
}

// accept applies an input to the loop's tables and reports whether the module is to see its event.
func (c *Coordinator) accept(in *input, now time.Time) bool {
	switch in.event.Kind {
	case aggregator.QueryArrived:
		return c.acceptQuery(in, now)
	case aggregator.PartArrived:
		return c.acceptPart(in)
	case aggregator.ClientGone:
		return c.acceptClientGone(in)
	case aggregator.AttemptEnded:
		return c.acceptAttemptEnd(in, now)
	}
	return true
}

// acceptQuery opens a query. One whose id is that of an open query, or whose parts have the id of one still in flight, fails: answers
// of data nodes are matched by id, and those of the two could not be told apart.
func (c *Coordinator) acceptQuery(in *input, now time.Time) bool {
	q, table := in.query, &c.loop.queries
	if table.open[q.ID] != nil || slices.ContainsFunc(q.parts, func(p *part) bool { return table.parts[p.id] != nil }) {
		q.finished = true
		c.release(q)
		q.reply <- Answer{Status: Failed}
		return false
	}
	table.open[q.ID] = q
	in.event.TimeLeft = q.Deadline.Sub(now)
	return true
}

func (c *Coordinator) acceptPart(in *input) bool {
	if in.query.finished {
		return false
	}
	for _, p := range in.query.parts {
		if p.id == in.event.Part {
			c.loop.queries.parts[p.id] = p
		}
	}
	return true
}

func (c *Coordinator) acceptClientGone(in *input) bool {
	if in.query.finished {
		return false
	}
	c.finish(in.query, Answer{Status: Failed})
	return true
}

// acceptAttemptEnd records how an attempt ended; only its first end counts.
func (c *Coordinator) acceptAttemptEnd(in *input, now time.Time) bool {
	a := in.attempt
	if a.ended {
		return false
	}
	a.ended, a.outcome = true, in.outcome
	c.log.Debug(LogAttemptEnded, "node", a.node.id, "part", a.ID, "end", in.outcome.String(), "load", in.event.LoadReport["util"], "took", now.Sub(a.sentAt))
	delete(c.loop.queries.attempts, a)
	a.node.addInFlight(-1)
	c.observeOutcome(a.node, a, in.outcome, in.event.LoadReport, now)
	if in.event.Outcome == aggregator.TimedOut && a.cancelReason != aggregator.Unknown {
		in.event.Outcome = a.cancelReason
	}
	if in.event.Outcome == aggregator.OK {
		a.part.receive(in.docs)
	}
	c.forget(a.part)
	return true
}

// stepModule calls the module and carries out its actions. A module that panics is replaced by a new one with the current list, so that
// a fault in a decision costs the open queries and not the process.
func (c *Coordinator) stepModule(now time.Time, events []aggregator.Event) {
	defer func() {
		if r := recover(); r != nil {
			c.restartModule(r)
		}
	}()
	c.loop.actions = c.loop.module.Step(c.moduleClock(now), events, c.loop.actions[:0])
	batch := newCommandBatch(c.settings.Limits.MaxBatch)
	for _, action := range c.loop.actions {
		c.apply(now, action, batch)
	}
	batch.post()
}

// restartModule fails all open queries, cancels their attempts and starts a new module.
func (c *Coordinator) restartModule(cause any) {
	c.log.Error("decision module panicked; restarted", "cause", cause)
	c.loop.module, _ = aggregator.New(c.settings, c.seed) // New took the same settings before
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

// apply does what one action of the module says; commands to data nodes are added to the batch.
func (c *Coordinator) apply(now time.Time, action aggregator.Action, batch *commandBatch) {
	switch action.Kind {
	case aggregator.Send:
		c.send(now, action, batch)
	case aggregator.Cancel:
		if p := c.loop.queries.parts[action.Part]; p != nil && action.Attempt < len(p.attempts) {
			c.cancel(p.attempts[action.Attempt], aggregator.Cancelled)
		}
	case aggregator.Answer, aggregator.Reject, aggregator.Fail:
		if q := c.loop.queries.open[action.Query]; q != nil {
			c.conclude(now, q, action)
		}
	case aggregator.Probe:
		c.probe(action.Replica, batch)
	case aggregator.CloseIdle:
		if n := c.node(action.Replica); n != nil {
			batch.add(n, &Command{CloseIdle: true})
		}
	case aggregator.Wake:
		c.loop.wakeAt = now.Add(action.After)
	}
}

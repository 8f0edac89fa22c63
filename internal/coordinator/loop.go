package coordinator

import (
	"context"
	"slices"
	"time"

	"gullfall/aggregator"
)

// idleInterval is the maximum time between two ticks.
const idleInterval = time.Minute

// eventLoop is the state of the event loop. Only the goroutine that runs the loop accesses it.
type eventLoop struct {
	module      *aggregator.Aggregator
	actions     []aggregator.Action // result of the last step; its memory is reused by the next
	queries     queryTable
	delayed     []input   // inputs that are not due yet
	wakeAt      time.Time // time at which the decision module asked to be called; zero for none
	lastTick    time.Time
	listVersion uint64 // version of the endpoint list that the module knows
}

// Run runs the event loop until ctx is done. It calls Tick at most once per settings.Tick, when inputs have arrived or a timer is due.
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
		// Inputs that arrive within a tick are processed together, so that parts of several queries can share a call.
		if wait := time.Until(c.loop.lastTick.Add(c.settings.Tick)); wait > 0 {
			time.Sleep(wait)
		}
		timer.Reset(time.Until(c.Tick(time.Now())))
	}
}

// Tick processes the inputs that are due, steps the module and executes its actions. It returns the time by which it must be called
// again if nothing arrives before. Only one goroutine may call it.
func (c *Coordinator) Tick(now time.Time) (next time.Time) {
	c.loop.lastTick = now
	c.expireRecords(now)
	listEvents, events := splitListEvents(c.acceptInputs(now))
	listEvents = append(listEvents, c.takeListEvents()...)
	// The events of zones and maintenance come after the list events, which were created earlier: the module uses the latest state of a
	// data node that it is given.
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

// expireRecords runs the timers of the membership table that are due.
func (c *Coordinator) expireRecords(now time.Time) {
	c.mu.Lock()
	due := c.endpoints.table.Next()
	c.mu.Unlock()
	if !due.IsZero() && !now.Before(due) {
		c.updateTable(partialUpdate, c.endpoints.table.Tick)
	}
}

// acceptInputs processes the inputs that are due, and returns the events to pass to the module, in order of arrival.
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

// splitListEvents separates changes of the endpoint list from all other events; both results keep the order of events.
func splitListEvents(events []aggregator.Event) (listEvents, others []aggregator.Event) {
	for _, e := range events {
		if isListEvent(e.Kind) {
			listEvents = append(listEvents, e)
		} else {
			others = append(others, e)
		}
	}
	return listEvents, others
}

// takeListEvents removes the list events from the inbox and returns them. Inputs of the current tick may have caused them, and a retry of
// an attempt that just failed must already take them into account.
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

// failOverdueQueries fails the queries whose deadline has passed. The module normally ends them earlier; this guards against a loop that
// runs so late that a client would get no answer at all. It is logged as an error.
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

// takeWakeup reports whether the wakeup that the module requested is due, and if so clears it.
func (c *Coordinator) takeWakeup(now time.Time) bool {
	if c.loop.wakeAt.IsZero() || now.Before(c.loop.wakeAt) {
		return false
	}
	c.loop.wakeAt = time.Time{}
	return true
}

// nextTick returns the time by which the next tick must run: the earliest of the given times, if not zero, and of all times that the loop
// itself waits for, at most idleInterval from now.
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

// accept applies an input to the loop's tables and reports whether its event must be passed to the module.
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

// acceptQuery opens a query. A query fails if its ID is that of an open query, or if one of its parts has the ID of a part that is still
// in flight: answers of data nodes are matched by ID, so the answers of the two would be indistinguishable.
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

// acceptAttemptEnd records the outcome of an attempt; only the first report counts.
func (c *Coordinator) acceptAttemptEnd(in *input, now time.Time) bool {
	a := in.attempt
	if a.ended {
		return false
	}
	a.ended, a.outcome = true, in.outcome
	c.log.Debug(LogAttemptEnded, "node", a.node.id, "part", a.ID, "end", in.outcome.String(), "load", in.event.LoadReport["util"], "took", now.Sub(a.sentAt))
	delete(c.loop.queries.attempts, a)
	c.mu.Lock()
	a.node.addInFlight(-1)
	c.mu.Unlock()
	c.observeOutcome(a.node, a, in.outcome, in.event.LoadReport, now)
	if in.event.Outcome == aggregator.TimedOut && a.cancelReason != aggregator.Unknown {
		in.event.Outcome = a.cancelReason
	}
	if in.event.Outcome == aggregator.OK {
		a.part.receive(in.docs)
	}
	c.removeIfDone(a.part)
	return true
}

// stepModule steps the module and executes its actions. If the module panics, it is replaced by a new one with the current list, so that
// a bug in the module fails the open queries but does not crash the process.
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
	c.loop.module, _ = aggregator.New(c.settings, c.seed) // no error: New has validated the same settings
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

// apply executes one action of the module; commands to data nodes are added to the batch.
func (c *Coordinator) apply(now time.Time, action aggregator.Action, batch *commandBatch) {
	switch action.Kind {
	case aggregator.Send:
		c.send(now, action, batch)
	case aggregator.Cancel:
		if p := c.loop.queries.parts[action.Part]; p != nil && action.Attempt < len(p.attempts) {
			if a := p.attempts[action.Attempt]; a.beginCancel(aggregator.Cancelled) {
				batch.cancel(a)
			}
		}
	case aggregator.Answer, aggregator.Reject, aggregator.Fail:
		if q := c.loop.queries.open[action.Query]; q != nil {
			c.applyResult(now, q, action)
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

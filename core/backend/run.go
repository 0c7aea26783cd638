package backend

import (
	"maps"
	"slices"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/orders"
	"arbutusdeck/core/scheduling"
)

// OpenStream queues an offered attempt. The outcome goes with a refusal.
func (c *Core) OpenStream(now time.Time, id execution.AttemptID, target execution.Incarnation) (execution.Outcome, *execution.Refusal, []Effect) {
	outcome, refusal := c.ledger.OpenStream(now, id, target)
	if refusal != nil {
		return outcome, refusal, nil
	}
	w := c.work[id]
	if w.offer.Group != "" {
		return 0, nil, c.queueGroup(now, w)
	}
	c.scheduler.Enqueue(now, w.job)
	return 0, nil, c.schedule(now)
}

// schedule turns the scheduler's commands into effects.
func (c *Core) schedule(now time.Time) []Effect {
	var effects []Effect
	for _, command := range c.scheduler.Schedule(now) {
		switch s := command.(type) {
		case scheduling.Dispatch:
			effects = append(effects, c.start(now, s)...)
		case scheduling.Pause:
			effects = append(effects, Pause(s))
		case scheduling.Resume:
			effects = append(effects, Resume(s))
		case scheduling.SetPriority:
			effects = append(effects, SetPriority(s))
		}
	}
	return effects
}

// start passes the point of no return, unless the attempt was cancelled or its
// memory can't be had.
func (c *Core) start(now time.Time, dispatch scheduling.Dispatch) []Effect {
	w := c.work[dispatch.Attempt]
	if w == nil {
		c.scheduler.Remove(now, dispatch.Attempt)
		return nil
	}
	if w.offer.Service == "" {
		lease := memory.Lease{Owner: string(dispatch.Attempt), Engine: dispatch.Engine, Tokens: w.job.Memory()}
		if err := c.leases.Grant(now, lease); err != nil {
			c.cancelOwn(now, w)
			return c.end(now, dispatch.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeQueueFull,
				Detail: "the engine's memory is held by others", RetryAfter: time.Second})
		}
	}
	if !c.ledger.Start(dispatch.Attempt) {
		c.leases.Release(now, string(dispatch.Attempt))
		c.scheduler.Remove(now, dispatch.Attempt)
		return nil
	}
	return []Effect{StartRun{Attempt: dispatch.Attempt, Engine: dispatch.Engine, Priority: dispatch.Priority}}
}

// FirstToken tells that an attempt's answer has begun.
func (c *Core) FirstToken(now time.Time, id execution.AttemptID) []Effect {
	c.scheduler.FirstToken(now, id)
	return c.schedule(now)
}

// Finish ends a run with what the engine's call showed.
func (c *Core) Finish(now time.Time, id execution.AttemptID, outcome execution.Outcome, refusal execution.Refusal, answer execution.Answer) []Effect {
	c.ledger.Finish(now, id, outcome, answer)
	effects := c.end(now, id, outcome, refusal)
	return append(effects, c.schedule(now)...)
}

// end frees what an attempt held and closes its answer.
func (c *Core) end(now time.Time, id execution.AttemptID, outcome execution.Outcome, refusal execution.Refusal) []Effect {
	w := c.work[id]
	if w == nil {
		return nil
	}
	delete(c.work, id)
	c.scheduler.Remove(now, id)
	c.leases.Release(now, string(id))
	c.limits.Closed(w.offer.Workspace)
	return append(c.endGroup(now, w), CloseStream{Attempt: id, Outcome: outcome, Refusal: refusal})
}

// Cancel ends an attempt at the entry's wish.
func (c *Core) Cancel(now time.Time, request execution.CancelRequest) (execution.Outcome, []Effect) {
	result := c.ledger.Cancel(now, request)
	var effects []Effect
	if result.Outcome == execution.NotRun {
		effects = c.end(now, request.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeCancelled})
	}
	if result.StopRun {
		effects = append(effects, c.stopRun(request.Attempt)...)
	}
	return result.Outcome, append(effects, c.schedule(now)...)
}

// Shutdown ends all attempts because the daemon ends. What has not started is refused as not run, so that its
// entry can try another server at once; runs under way are stopped.
func (c *Core) Shutdown(now time.Time) []Effect {
	var effects, stops []Effect
	for _, id := range slices.Sorted(maps.Keys(c.work)) {
		if c.Running(id) {
			stops = append(stops, c.stopRun(id)...)
			continue
		}
		c.cancelOwn(now, c.work[id])
		effects = append(effects, c.end(now, id, execution.NotRun, execution.Refusal{Code: execution.CodeDraining,
			Detail: "the server's daemon ends", RetryAfter: time.Second})...)
	}
	return append(effects, stops...)
}

// cancelOwn cancels an attempt that has not started on the core's own account.
func (c *Core) cancelOwn(now time.Time, w *work) {
	c.ledger.Cancel(now, execution.CancelRequest{Attempt: w.offer.Attempt, Target: c.options.Incarnation, OfferExpires: now,
		Workspace: w.offer.Workspace, Service: w.offer.Service, Key: w.offer.Key})
}

// stopRun ends a run under way. A plain service's call is let run to its end: it
// can't be taken back, and its record answers resends.
func (c *Core) stopRun(id execution.AttemptID) []Effect {
	w := c.work[id]
	if w == nil || w.offer.Service != "" {
		return nil
	}
	return []Effect{StopRun{id}}
}

// BodyLost tells that the prompt's connection broke. An attempt that has not
// started can't run any more.
func (c *Core) BodyLost(now time.Time, id execution.AttemptID) []Effect {
	w := c.work[id]
	if w == nil || c.ledger.Phase(id) != execution.Queued {
		return nil
	}
	c.cancelOwn(now, w)
	return append(c.end(now, id, execution.NotRun, execution.Refusal{Code: execution.CodeConnectionLost,
		Detail: "the prompt's connection was lost"}), c.schedule(now)...)
}

// Running says whether this daemon runs the attempt.
func (c *Core) Running(id execution.AttemptID) bool { return c.ledger.Phase(id) == execution.Running }

// Attach and Detach tell that an attempt's stream is connected, or lost.
func (c *Core) Attach(id execution.AttemptID) bool { return c.ledger.Attach(id) }

// Detach starts the lease of an attempt without a stream.
func (c *Core) Detach(now time.Time, id execution.AttemptID) { c.ledger.Detach(now, id) }

// Load returns the present load of a pool; "" means all engines.
func (c *Core) Load(now time.Time, pool string) scheduling.Load {
	if hall, ok := config.HallOfGroupPool(pool); ok {
		return c.groupLoad(hall)
	}
	return c.scheduler.Load(now, pool)
}

// Tick ends what has outlived its lease and does what is due.
func (c *Core) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, lapsed := range c.ledger.Tick(now) {
		if lapsed.StopRun {
			effects = append(effects, c.stopRun(lapsed.Attempt)...)
			continue
		}
		effects = append(effects, c.end(now, lapsed.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeLeaseExpired})...)
	}
	for _, lease := range c.leases.Tick(now) {
		c.scheduler.Unhold(now, lease.Owner)
		effects = append(effects, LeaseExpired{lease})
	}
	effects = append(effects, c.tickGroups(now)...)
	return append(effects, c.schedule(now)...)
}

// ObserveEngine takes in what an engine reports of itself and returns the
// streams to cancel that no living daemon owns.
func (c *Core) ObserveEngine(asked time.Time, engine string, observed orders.Observed, streams []memory.EngineStream) []Effect {
	c.orders.Observe(asked, engine, observed)
	var effects []Effect
	owned := func(stream string) bool { return c.owns(engine, stream) }
	for _, orphan := range c.recovery.Observe(asked, engine, streams, owned) {
		effects = append(effects, CancelOrphan{orphan})
	}
	return effects
}

// owns says whether a stream has a living owner: an attempt that runs here, or a
// group reservation of another daemon that holds a part of this engine.
func (c *Core) owns(engine, stream string) bool {
	return c.ledger.Phase(execution.AttemptID(stream)) == execution.Running || c.reserved(engine, stream)
}

// OrdersDue returns the orders to send now; none once the daemon is leaving.
func (c *Core) OrdersDue(now time.Time) []orders.Order {
	if c.ledger.Draining() || !c.serving {
		return nil
	}
	return c.orders.Due(now)
}

// OrderSettled takes in the end of an order.
func (c *Core) OrderSettled(now time.Time, engine string, result orders.Result, retryAfter time.Duration) {
	c.orders.Settled(now, engine, result, retryAfter)
}

// ExpireAfterPause drops what was believed before the process was paused.
func (c *Core) ExpireAfterPause(now time.Time) { c.orders.Expire(now) }

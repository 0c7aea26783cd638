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

// OpenStream queues an offered attempt. The outcome is set only with a refusal.
func (c *Core) OpenStream(now time.Time, id execution.AttemptID, target execution.Incarnation) (execution.Outcome, *execution.Refusal, []Effect) {
	outcome, refusal := c.ledger.OpenStream(now, id, target)
	if refusal != nil {
		return outcome, refusal, nil
	}
	a := c.attempts[id]
	if a.offer.Group != "" {
		return 0, nil, c.enqueueGroup(now, a)
	}
	c.scheduler.Enqueue(now, a.job)
	return 0, nil, c.schedule(now)
}

// schedule runs the scheduler and converts its commands into effects.
func (c *Core) schedule(now time.Time) []Effect {
	var effects []Effect
	for _, command := range c.scheduler.Schedule(now) {
		switch s := command.(type) {
		case scheduling.Dispatch:
			effects = append(effects, c.startRun(now, s)...)
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

// startRun marks an attempt as possibly executed and starts it, unless it was
// cancelled or its memory can't be reserved.
func (c *Core) startRun(now time.Time, dispatch scheduling.Dispatch) []Effect {
	a := c.attempts[dispatch.Attempt]
	if a == nil {
		c.scheduler.Remove(now, dispatch.Attempt)
		return nil
	}
	if a.offer.Service == "" {
		lease := memory.Lease{Owner: string(dispatch.Attempt), Engine: dispatch.Engine, Tokens: a.job.MemoryTokens()}
		if err := c.leases.Grant(now, lease); err != nil {
			c.cancelUnstarted(now, a)
			return c.closeAttempt(now, dispatch.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeQueueFull,
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

// FirstToken records the first token of an attempt's response.
func (c *Core) FirstToken(now time.Time, id execution.AttemptID) []Effect {
	c.scheduler.RecordFirstToken(now, id)
	return c.schedule(now)
}

// Finish ends a run with the outcome of the engine's call.
func (c *Core) Finish(now time.Time, id execution.AttemptID, outcome execution.Outcome, refusal execution.Refusal, answer execution.Answer) []Effect {
	c.ledger.Finish(now, id, outcome, answer)
	effects := c.closeAttempt(now, id, outcome, refusal)
	return append(effects, c.schedule(now)...)
}

// closeAttempt releases the resources of an attempt and closes its response
// stream.
func (c *Core) closeAttempt(now time.Time, id execution.AttemptID, outcome execution.Outcome, refusal execution.Refusal) []Effect {
	a := c.attempts[id]
	if a == nil {
		return nil
	}
	delete(c.attempts, id)
	c.scheduler.Remove(now, id)
	c.leases.Release(now, string(id))
	c.limits.Closed(a.offer.Workspace)
	return append(c.leaveGroup(now, a), CloseStream{Attempt: id, Outcome: outcome, Refusal: refusal})
}

// Cancel ends an attempt on request of its entry.
func (c *Core) Cancel(now time.Time, request execution.CancelRequest) (execution.Outcome, []Effect) {
	result := c.ledger.Cancel(now, request)
	var effects []Effect
	if result.Outcome == execution.NotRun {
		effects = c.closeAttempt(now, request.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeCancelled})
	}
	if result.StopRun {
		effects = append(effects, c.stopRun(request.Attempt)...)
	}
	return result.Outcome, append(effects, c.schedule(now)...)
}

// Shutdown ends all attempts when the daemon shuts down. Attempts that have not started are refused as not run,
// so that their entries can choose another server at once; running attempts are stopped.
func (c *Core) Shutdown(now time.Time) []Effect {
	var effects, stops []Effect
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		if c.Running(id) {
			stops = append(stops, c.stopRun(id)...)
			continue
		}
		c.cancelUnstarted(now, c.attempts[id])
		effects = append(effects, c.closeAttempt(now, id, execution.NotRun, execution.Refusal{Code: execution.CodeDraining,
			Detail: "the server's daemon ends", RetryAfter: time.Second})...)
	}
	return append(effects, stops...)
}

// cancelUnstarted cancels an attempt that has not started, without a request of
// its entry.
func (c *Core) cancelUnstarted(now time.Time, a *attempt) {
	c.ledger.Cancel(now, execution.CancelRequest{Attempt: a.offer.Attempt, Target: c.options.Incarnation, OfferExpires: now,
		Workspace: a.offer.Workspace, Service: a.offer.Service, Key: a.offer.Key})
}

// stopRun stops a running attempt. A call to a plain service runs to completion:
// it can't be undone, and its record answers retries with the same key.
func (c *Core) stopRun(id execution.AttemptID) []Effect {
	a := c.attempts[id]
	if a == nil || a.offer.Service != "" {
		return nil
	}
	return []Effect{StopRun{id}}
}

// BodyLost handles the loss of the connection that carries the prompt. An attempt
// that has not started is refused as not run.
func (c *Core) BodyLost(now time.Time, id execution.AttemptID) []Effect {
	a := c.attempts[id]
	if a == nil || c.ledger.Phase(id) != execution.Queued {
		return nil
	}
	c.cancelUnstarted(now, a)
	return append(c.closeAttempt(now, id, execution.NotRun, execution.Refusal{Code: execution.CodeConnectionLost,
		Detail: "the prompt's connection was lost"}), c.schedule(now)...)
}

// Running reports whether this daemon runs the attempt.
func (c *Core) Running(id execution.AttemptID) bool { return c.ledger.Phase(id) == execution.Running }

// Attach records that an attempt's stream is connected. It reports whether the
// ledger accepts the stream.
func (c *Core) Attach(id execution.AttemptID) bool { return c.ledger.Attach(id) }

// Detach records that an attempt's stream was lost and starts the lease after
// which the attempt expires.
func (c *Core) Detach(now time.Time, id execution.AttemptID) { c.ledger.Detach(now, id) }

// Load returns the current load of a pool; "" stands for all engines.
func (c *Core) Load(now time.Time, pool string) scheduling.Load {
	if hall, ok := config.HallOfGroupPool(pool); ok {
		return c.groupLoad(hall)
	}
	return c.scheduler.Load(now, pool)
}

// Tick ends attempts and reservations whose leases have expired and runs the due
// scheduling.
func (c *Core) Tick(now time.Time) []Effect {
	var effects []Effect
	for _, expired := range c.ledger.Tick(now) {
		if expired.StopRun {
			effects = append(effects, c.stopRun(expired.Attempt)...)
			continue
		}
		effects = append(effects, c.closeAttempt(now, expired.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeLeaseExpired})...)
	}
	for _, lease := range c.leases.Tick(now) {
		c.scheduler.Release(now, lease.Owner)
		effects = append(effects, LeaseExpired{lease})
	}
	effects = append(effects, c.tickGroups(now)...)
	return append(effects, c.schedule(now)...)
}

// ObserveEngine records the state that an engine reports and returns effects that
// cancel streams without a running owner. asked is the time of the query.
func (c *Core) ObserveEngine(asked time.Time, engine string, observed orders.Observation, streams []memory.EngineStream) []Effect {
	c.orders.Observe(asked, engine, observed)
	var effects []Effect
	owned := func(stream string) bool { return c.ownsStream(engine, stream) }
	for _, orphan := range c.recovery.Observe(asked, engine, streams, owned) {
		effects = append(effects, CancelOrphan{orphan})
	}
	return effects
}

// ownsStream reports whether a stream has a running owner: an attempt of this
// daemon, or a group reservation of another daemon that includes this engine.
func (c *Core) ownsStream(engine, stream string) bool {
	return c.ledger.Phase(execution.AttemptID(stream)) == execution.Running || c.holdsPart(engine, stream)
}

// OrdersDue returns the orders to send now. It returns none before StartServing
// and while draining.
func (c *Core) OrdersDue(now time.Time) []orders.Order {
	if c.ledger.Draining() || !c.serving {
		return nil
	}
	return c.orders.Due(now)
}

// OrderEnded records the result of an order.
func (c *Core) OrderEnded(now time.Time, engine string, result orders.Result, retryAfter time.Duration) {
	c.orders.OrderEnded(now, engine, result, retryAfter)
}

// ExpireAfterPause discards observations made before a pause of the process.
func (c *Core) ExpireAfterPause(now time.Time) { c.orders.DiscardObservations(now) }

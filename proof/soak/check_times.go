package soak

import (
	"time"
)

// checkTiming checks the guarantees that bound times, for entries that no fault affected.
func (c *checker) checkTiming() {
	for i := range c.Calls {
		call := &c.Calls[i]
		c.checkAnswerTime(call)
		c.checkAborted(call)
		c.checkCancelled(call)
		c.checkConfigDelay(call)
	}
	for _, a := range c.Arrivals {
		c.checkDraining(a)
		c.checkEvacuated(a)
	}
	c.checkColdRate()
	for _, e := range c.Exits {
		if e.Unrequested || c.hadUnplannedFault(e.Entry, e.StopRequestedAt, e.StopRequestedAt.Add(e.Took)) {
			continue
		}
		if e.Took > stopLimit+schedulingSlack {
			c.report("a planned stop ends in time", "entry %d exited after %s", e.Entry, e.Took.Round(time.Millisecond))
		}
	}
}

// affects returns whether a fault affects an entry; faults of the store affect all entries.
func (f *Interval) affects(entry int) bool {
	if f.Kind.onEntry() {
		return f.Target == entry
	}
	return !f.Kind.onServer()
}

// overlaps returns whether a fault overlaps a time span; a fault without an end still lasts.
func (f *Interval) overlaps(from, to time.Time) bool {
	return f.From.Before(to) && (f.To.IsZero() || f.To.After(from))
}

// isStable returns whether no fault and no planned operation that ends or changes processes
// affected an entry from stableWindow before a time span to its end.
func (c *checker) isStable(entry int, from, to time.Time) bool {
	return !c.hadFault(entry, from.Add(-stableWindow), to, func(k FaultKind) bool { return k != ConfigChanges && k != ServerDrains && k != ZoneEvacuated })
}

// hadUnplannedFault returns whether an unplanned fault or a restart affected an entry from
// stableWindow before a time span to its end.
func (c *checker) hadUnplannedFault(entry int, from, to time.Time) bool {
	return c.hadFault(entry, from.Add(-stableWindow), to, func(k FaultKind) bool { return !k.isPlanned() })
}

func (c *checker) hadFault(entry int, from, to time.Time, matches func(FaultKind) bool) bool {
	for i := range c.Faults {
		f := &c.Faults[i]
		if matches(f.Kind) && f.affects(entry) && f.overlaps(from, to) {
			return true
		}
	}
	return c.startedBetween(entry, from, to)
}

// isServerStable returns whether no fault affected the slot of a backend server from
// stableWindow before a time span to its end.
func (c *checker) isServerStable(slot int, from, to time.Time) bool {
	for i := range c.Faults {
		f := &c.Faults[i]
		if f.Kind.onServer() && f.Target == slot && f.overlaps(from.Add(-stableWindow), to) {
			return false
		}
	}
	return true
}

func (c *checker) checkAnswerTime(call *Call) {
	took := call.EndedAt.Sub(call.StartedAt)
	// A connection that was idle while its link dropped traffic no longer reaches the entry.
	connFreshSince := call.StartedAt.Add(-call.ConnIdleTime)
	if took > call.Timeout+schedulingSlack && c.isStable(call.Entry, connFreshSince, call.EndedAt) {
		c.report("an answer or a failure in time", "%s took %s of %s (status %d, %v)", call.ID, took.Round(time.Millisecond), call.Timeout, call.Status, call.Err)
	}
}

// checkAborted finds requests that stable servers ran without misbehaving, but whose callers got no
// complete response. Graceful shutdowns and changes of settings or configuration are no
// excuse.
func (c *checker) checkAborted(call *Call) {
	if call.Complete || call.Disconnected || call.EndedAt.Sub(call.StartedAt) > call.Timeout {
		return
	}
	runs := c.runs[call.ID]
	if len(runs) == 0 || c.hadUnplannedFault(call.Entry, call.StartedAt, call.EndedAt) || c.outlastsStop(call) {
		return
	}
	for _, run := range runs {
		if run.Faulty || !c.isServerStable(run.Slot, call.StartedAt, call.EndedAt) {
			return
		}
	}
	c.report("nothing is cut", "%s ran at %s and got no complete response: %v", call.ID, runs[0].Server, call.Err)
}

// checkCancelled finds work that continues after its caller has disconnected, and requests
// that are sent to a server after that.
func (c *checker) checkCancelled(call *Call) {
	deadline := call.EndedAt.Add(maxCancelDelay + schedulingSlack)
	if !call.Disconnected || !c.isStable(call.Entry, call.StartedAt, deadline) {
		return
	}
	for _, run := range c.runs[call.ID] {
		if !c.isServerStable(run.Slot, call.StartedAt, deadline) {
			continue
		}
		if run.StartedAt.After(deadline) || run.EndedAt.IsZero() || run.EndedAt.After(deadline) {
			c.report("a caller that leaves ends the work", "the caller of %s disconnected and its run at %s went on", call.ID, run.Server)
		}
	}
}

// checkConfigDelay finds entries that use an older configuration after the propagation delay.
func (c *checker) checkConfigDelay(call *Call) {
	stale := call.Kind == ConfigProbe && call.Status == 404 && !c.versionRemoved(call.ConfigVersion, call.EndedAt) || call.Kind == RevokedKeyProbe && call.Status == 200
	if !stale || !c.isStable(call.Entry, call.StartedAt, call.EndedAt) {
		return
	}
	for _, change := range c.Configs {
		if change.Version == call.ConfigVersion && call.StartedAt.Sub(change.At) > c.MaxPropagationDelay+schedulingSlack {
			c.report("a configuration is in force in time", "entry %d: %s got status %d %s after version %d", call.Entry, call.ID, call.Status,
				call.StartedAt.Sub(change.At).Round(time.Millisecond), call.ConfigVersion)
		}
	}
}

// checkDraining finds requests that reach a draining server after the propagation delay.
func (c *checker) checkDraining(a Arrival) {
	drainingSince, ok := c.DrainingSince[a.Server]
	call := c.calls[a.ID]
	if !ok || call == nil || a.At.Sub(drainingSince) <= c.MaxPropagationDelay+schedulingSlack {
		return
	}
	if c.isStable(call.Entry, call.StartedAt, a.At) {
		c.report("a leaving server gets nothing new", "%s reached %s %s after it started to drain", a.ID, a.Server, a.At.Sub(drainingSince).Round(time.Millisecond))
	}
}

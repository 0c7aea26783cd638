package soak

import (
	"time"
)

// checkTimes checks the promises that bound times, for entries that no fault touched.
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

// touches says whether a fault strikes an entry: the store's faults strike all.
func (f *Interval) affects(entry int) bool {
	if f.Kind.onEntry() {
		return f.Target == entry
	}
	return !f.Kind.onServer()
}

// overlaps counts a fault without an end as lasting.
func (f *Interval) overlaps(from, to time.Time) bool {
	return f.From.Before(to) && (f.To.IsZero() || f.To.After(from))
}

// inTouch says that no fault touched an entry from the stable window before a time
// on, and none of the planned kinds that end or change processes.
func (c *checker) isStable(entry int, from, to time.Time) bool {
	return !c.hadFault(entry, from.Add(-stableWindow), to, func(k FaultKind) bool { return k != ConfigChanges && k != ServerDrains && k != ZoneEvacuated })
}

// disturbed says that something other than planned work touched an entry.
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

// sound says that no fault struck a backend server's slot.
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
	// A connection that lay idle while its link was silenced brings the entry nothing any more.
	connFreshSince := call.StartedAt.Add(-call.ConnIdleTime)
	if took > call.Timeout+schedulingSlack && c.isStable(call.Entry, connFreshSince, call.EndedAt) {
		c.report("an answer or a failure in time", "%s took %s of %s (status %d, %v)", call.ID, took.Round(time.Millisecond), call.Timeout, call.Status, call.Err)
	}
}

// checkCut finds requests that a sound server ran and whose connection ended without
// an answer. Planned stops, changed settings and configurations are no reason.
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
	c.report("nothing is cut", "%s ran at %s and got no whole answer: %v", call.ID, runs[0].Server, call.Err)
}

// checkGone finds work that goes on after its caller has left, and requests that are
// sent on then.
func (c *checker) checkCancelled(call *Call) {
	late := call.EndedAt.Add(maxCancelDelay + schedulingSlack)
	if !call.Disconnected || !c.isStable(call.Entry, call.StartedAt, late) {
		return
	}
	for _, run := range c.runs[call.ID] {
		if !c.isServerStable(run.Slot, call.StartedAt, late) {
			continue
		}
		if run.StartedAt.After(late) || run.EndedAt.IsZero() || run.EndedAt.After(late) {
			c.report("a caller that leaves ends the work", "%s was left and its run at %s went on", call.ID, run.Server)
		}
	}
}

// checkConfiguration finds entries that handle a request by an older configuration.
func (c *checker) checkConfigDelay(call *Call) {
	stale := call.Kind == ConfigProbe && call.Status == 404 && !c.versionRemoved(call.ConfigVersion, call.EndedAt) || call.Kind == RevokedKeyProbe && call.Status == 200
	if !stale || !c.isStable(call.Entry, call.StartedAt, call.EndedAt) {
		return
	}
	for _, change := range c.Configs {
		if change.Version == call.ConfigVersion && call.StartedAt.Sub(change.At) > c.MaxPropagationDelay+schedulingSlack {
			c.report("a configuration is in force in time", "entry %d: %s was answered %d %s after version %d", call.Entry, call.ID, call.Status,
				call.StartedAt.Sub(change.At).Round(time.Millisecond), call.ConfigVersion)
		}
	}
}

// checkLeaving finds requests that reach a server long after it has left.
func (c *checker) checkDraining(a Arrival) {
	drainingSince, ok := c.DrainingSince[a.Server]
	call := c.calls[a.ID]
	if !ok || call == nil || a.At.Sub(drainingSince) <= c.MaxPropagationDelay+schedulingSlack {
		return
	}
	if c.isStable(call.Entry, call.StartedAt, a.At) {
		c.report("a leaving server gets nothing new", "%s reached %s %s after it left", a.ID, a.Server, a.At.Sub(drainingSince).Round(time.Millisecond))
	}
}

package soak

import (
	"time"
)

// checkTimes checks the promises that bound times, for entries that no fault touched.
func (c *checker) checkTimes() {
	for i := range c.Calls {
		call := &c.Calls[i]
		c.checkAnswered(call)
		c.checkCut(call)
		c.checkGone(call)
		c.checkConfiguration(call)
	}
	for _, a := range c.Arrivals {
		c.checkLeaving(a)
		c.checkEvacuated(a)
	}
	c.checkCold()
	for _, e := range c.Exits {
		if e.Unrequested || c.disturbed(e.Entry, e.StopRequestedAt, e.StopRequestedAt.Add(e.Took)) {
			continue
		}
		if e.Took > stopLimit+slack {
			c.found("a planned stop ends in time", "entry %d exited after %s", e.Entry, e.Took.Round(time.Millisecond))
		}
	}
}

// touches says whether a fault strikes an entry: the store's faults strike all.
func (f *Interval) touches(entry int) bool {
	if f.Kind.onEntry() {
		return f.Target == entry
	}
	return !f.Kind.onWorker()
}

// overlaps counts a fault without an end as lasting.
func (f *Interval) overlaps(from, to time.Time) bool {
	return f.From.Before(to) && (f.To.IsZero() || f.To.After(from))
}

// inTouch says that no fault touched an entry from the stable window before a time
// on, and none of the planned kinds that end or change processes.
func (c *checker) inTouch(entry int, from, to time.Time) bool {
	return !c.struck(entry, from.Add(-stableWindow), to, func(k FaultKind) bool { return k != ConfigChanges && k != ServerDrains && k != ZoneEvacuated })
}

// disturbed says that something other than planned work touched an entry.
func (c *checker) disturbed(entry int, from, to time.Time) bool {
	return c.struck(entry, from.Add(-stableWindow), to, func(k FaultKind) bool { return !k.planned() })
}

func (c *checker) struck(entry int, from, to time.Time, counts func(FaultKind) bool) bool {
	for i := range c.Faults {
		f := &c.Faults[i]
		if counts(f.Kind) && f.touches(entry) && f.overlaps(from, to) {
			return true
		}
	}
	return c.startedBetween(entry, from, to)
}

// sound says that no fault struck a backend server's slot.
func (c *checker) sound(slot int, from, to time.Time) bool {
	for i := range c.Faults {
		f := &c.Faults[i]
		if f.Kind.onWorker() && f.Target == slot && f.overlaps(from.Add(-stableWindow), to) {
			return false
		}
	}
	return true
}

func (c *checker) checkAnswered(call *Call) {
	took := call.EndedAt.Sub(call.StartedAt)
	// A connection that lay idle while its link was silenced brings the entry nothing any more.
	sound := call.StartedAt.Add(-call.ConnIdleTime)
	if took > call.Timeout+slack && c.inTouch(call.Entry, sound, call.EndedAt) {
		c.found("an answer or a failure in time", "%s took %s of %s (status %d, %v)", call.ID, took.Round(time.Millisecond), call.Timeout, call.Status, call.Err)
	}
}

// checkCut finds requests that a sound server ran and whose connection ended without
// an answer. Planned stops, changed settings and configurations are no reason.
func (c *checker) checkCut(call *Call) {
	if call.Complete || call.Disconnected || call.EndedAt.Sub(call.StartedAt) > call.Timeout {
		return
	}
	runs := c.runs[call.ID]
	if len(runs) == 0 || c.disturbed(call.Entry, call.StartedAt, call.EndedAt) || c.outlastsStop(call) {
		return
	}
	for _, run := range runs {
		if run.Faulty || !c.sound(run.Slot, call.StartedAt, call.EndedAt) {
			return
		}
	}
	c.found("nothing is cut", "%s ran at %s and got no whole answer: %v", call.ID, runs[0].Server, call.Err)
}

// checkGone finds work that goes on after its caller has left, and requests that are
// sent on then.
func (c *checker) checkGone(call *Call) {
	late := call.EndedAt.Add(goneBound + slack)
	if !call.Disconnected || !c.inTouch(call.Entry, call.StartedAt, late) {
		return
	}
	for _, run := range c.runs[call.ID] {
		if !c.sound(run.Slot, call.StartedAt, late) {
			continue
		}
		if run.StartedAt.After(late) || run.EndedAt.IsZero() || run.EndedAt.After(late) {
			c.found("a caller that leaves ends the work", "%s was left and its run at %s went on", call.ID, run.Server)
		}
	}
}

// checkConfiguration finds entries that handle a request by an older configuration.
func (c *checker) checkConfiguration(call *Call) {
	stale := call.Kind == ConfigProbe && call.Status == 404 && !c.dropped(call.ConfigVersion, call.EndedAt) || call.Kind == RevokedKeyProbe && call.Status == 200
	if !stale || !c.inTouch(call.Entry, call.StartedAt, call.EndedAt) {
		return
	}
	for _, change := range c.Configs {
		if change.Version == call.ConfigVersion && call.StartedAt.Sub(change.At) > c.MaxPropagationDelay+slack {
			c.found("a configuration is in force in time", "entry %d: %s was answered %d %s after version %d", call.Entry, call.ID, call.Status,
				call.StartedAt.Sub(change.At).Round(time.Millisecond), call.ConfigVersion)
		}
	}
}

// checkLeaving finds requests that reach a server long after it has left.
func (c *checker) checkLeaving(a Arrival) {
	left, ok := c.DrainingSince[a.Server]
	call := c.calls[a.ID]
	if !ok || call == nil || a.At.Sub(left) <= c.MaxPropagationDelay+slack {
		return
	}
	if c.inTouch(call.Entry, call.StartedAt, a.At) {
		c.found("a leaving server gets nothing new", "%s reached %s %s after it left", a.ID, a.Server, a.At.Sub(left).Round(time.Millisecond))
	}
}

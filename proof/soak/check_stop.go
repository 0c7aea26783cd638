package soak

import "time"

const (
	// lossSlack is how soon after a request was sent its connection may be closed without an answer, and
	// afterStop how late after SIGTERM a request may come that a stop need not bring to its end; both are
	// the users' figures.
	minReadTime      = 200 * time.Millisecond
	stopAcceptWindow = 3 * time.Second
	// lateStop is when a stop nears its limit, counted from SIGTERM. What servers still write then may be
	// cut off; the users' figure is five sixths.
	stopLimitNear = stopLimit * 5 / 6
)

// answeredRead is the promise that a planned stop answers each request that the entry has read.
const answeredRead = "a stop answers what it has read"

// checkRead finds requests whose connection ends without a status line around a planned stop, though the
// entry had time to read them.
func (c *checker) checkAnsweredOnStop(call *Call) {
	if call.Status != 0 || call.Disconnected || call.EndedAt.Sub(call.StartedAt) < minReadTime+schedulingSlack {
		return
	}
	// A connection that lay idle while its link was silenced brings the entry nothing any more.
	connFreshSince := call.StartedAt.Add(-call.ConnIdleTime)
	if c.wasUnreachable(call.Entry, connFreshSince, call.EndedAt) || len(c.stopsDuring(call.Entry, call.StartedAt, call.EndedAt)) == 0 {
		return
	}
	c.report(answeredRead, "%s got no answer of entry %d after %s: %v", call.ID, call.Entry,
		call.EndedAt.Sub(call.StartedAt).Round(time.Millisecond), call.Err)
}

// harmed says whether an entry's process or its link from callers was struck, so that it could not answer.
func (c *checker) wasUnreachable(entry int, from, to time.Time) bool {
	for _, f := range c.Faults {
		disrupts := f.Kind == EntryKilled || f.Kind == EntryPaused || f.Kind == CallerLink
		if disrupts && f.Target == entry && f.overlaps(from.Add(-stableWindow), to) {
			return true
		}
	}
	return false
}

// stops are the planned stops of an entry that overlap a span.
func (c *checker) stopsDuring(entry int, from, to time.Time) []Interval {
	var found []Interval
	for _, f := range c.Faults {
		if f.Kind == EntryStopped && f.Target == entry && f.overlaps(from, to) {
			found = append(found, f)
		}
	}
	return found
}

// outlastsStop says whether a call's answer was still being written when a stop of its entry neared its limit.
func (c *checker) outlastsStop(call *Call) bool {
	for _, stop := range c.stopsDuring(call.Entry, call.StartedAt, call.EndedAt) {
		late := stop.From.Add(stopLimitNear)
		if call.Status == 0 || call.StartedAt.After(stop.From.Add(stopAcceptWindow)) || call.EndedAt.Before(late) {
			continue
		}
		for _, run := range c.runs[call.ID] {
			if run.EndedAt.IsZero() || run.EndedAt.After(late) {
				return true
			}
		}
	}
	return false
}

// mayCut says whether the stop that ended in an exit came to its limit with a call open.
func (c *checker) mayAbort(e Exit) bool {
	late := e.StopRequestedAt.Add(stopLimitNear)
	for i := range c.Calls {
		if call := &c.Calls[i]; call.Entry == e.Entry && call.StartedAt.Before(late) && call.EndedAt.After(late) {
			return true
		}
	}
	return false
}

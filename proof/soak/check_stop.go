package soak

import "time"

const (
	// A connection may be closed without a response within minReadTime after a request was
	// sent. A graceful shutdown must complete the requests that come within stopAcceptWindow
	// after SIGTERM. Both figures are requirements.
	minReadTime      = 200 * time.Millisecond
	stopAcceptWindow = 3 * time.Second
	// stopLimitNear is the time after SIGTERM from which a graceful shutdown may abort the
	// responses that servers are still writing: five sixths of the limit, a requirement.
	stopLimitNear = stopLimit * 5 / 6
)

// answeredRead is the guarantee that a graceful shutdown answers each request that the entry has read.
const answeredRead = "a stop answers what it has read"

// checkAnsweredOnStop finds requests whose connection ended without a status line during a
// graceful shutdown, although the entry had time to read them.
func (c *checker) checkAnsweredOnStop(call *Call) {
	if call.Status != 0 || call.Disconnected || call.EndedAt.Sub(call.StartedAt) < minReadTime+schedulingSlack {
		return
	}
	// A connection that was idle while its link dropped traffic no longer reaches the entry.
	connFreshSince := call.StartedAt.Add(-call.ConnIdleTime)
	if c.wasUnreachable(call.Entry, connFreshSince, call.EndedAt) || len(c.stopsDuring(call.Entry, call.StartedAt, call.EndedAt)) == 0 {
		return
	}
	c.report(answeredRead, "%s got no response from entry %d after %s: %v", call.ID, call.Entry,
		call.EndedAt.Sub(call.StartedAt).Round(time.Millisecond), call.Err)
}

// wasUnreachable returns whether a fault of an entry's process or caller link kept it from responding.
func (c *checker) wasUnreachable(entry int, from, to time.Time) bool {
	for _, f := range c.Faults {
		disrupts := f.Kind == EntryKilled || f.Kind == EntryPaused || f.Kind == CallerLink
		if disrupts && f.Target == entry && f.overlaps(from.Add(-stableWindow), to) {
			return true
		}
	}
	return false
}

// stopsDuring returns the graceful shutdowns of an entry that overlap a time span.
func (c *checker) stopsDuring(entry int, from, to time.Time) []Interval {
	var found []Interval
	for _, f := range c.Faults {
		if f.Kind == EntryStopped && f.Target == entry && f.overlaps(from, to) {
			found = append(found, f)
		}
	}
	return found
}

// outlastsStop returns whether the response of a call was still being written when a graceful
// shutdown of its entry neared its limit.
func (c *checker) outlastsStop(call *Call) bool {
	for _, stop := range c.stopsDuring(call.Entry, call.StartedAt, call.EndedAt) {
		nearLimit := stop.From.Add(stopLimitNear)
		if call.Status == 0 || call.StartedAt.After(stop.From.Add(stopAcceptWindow)) || call.EndedAt.Before(nearLimit) {
			continue
		}
		for _, run := range c.runs[call.ID] {
			if run.EndedAt.IsZero() || run.EndedAt.After(nearLimit) {
				return true
			}
		}
	}
	return false
}

// mayAbort returns whether a call was open when the graceful shutdown of an exit neared its limit.
func (c *checker) mayAbort(e Exit) bool {
	nearLimit := e.StopRequestedAt.Add(stopLimitNear)
	for i := range c.Calls {
		if call := &c.Calls[i]; call.Entry == e.Entry && call.StartedAt.Before(nearLimit) && call.EndedAt.After(nearLimit) {
			return true
		}
	}
	return false
}

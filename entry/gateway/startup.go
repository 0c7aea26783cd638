package gateway

import (
	"time"

	"arbutusdeck/core/lifecycle"
)

const (
	// maxStartWait bounds how long a request waits for an entry that is starting: the time of a few
	// starts. After that the store is probably unavailable for an unknown time. Callers give up on
	// an entry that has not read an idempotent request within a second.
	maxStartWait = 800 * time.Millisecond
	// startWaitShare is the maximum share of its remaining time that a request waits.
	startWaitShare = 0.25
)

// awaitStart delays a request that arrives before the entry serves, while no configuration or no
// servers are known. Both are available within a few tenths of a second. A caller whose entries
// have just failed retries at once, and has no retry left if it is refused then.
func (e *exchange) awaitStart() {
	if e.s.manager.State() != lifecycle.Starting {
		return
	}
	wait := maxStartWait
	if e.info.Remaining > 0 {
		wait = min(wait, time.Duration(startWaitShare*float64(e.info.Remaining)))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-e.s.started:
	case <-timer.C:
	case <-e.r.Context().Done():
	case <-e.s.manager.Aborting().Done():
	}
}

package gateway

import (
	"time"

	"arbutusdeck/core/lifecycle"
)

const (
	// maxStartWait bounds how long a request waits for an entry that has just started: some starts'
	// time. After that the store is probably away, and nobody knows for how long. Callers give up on an
	// entry that has not read an idempotent request after a second.
	maxStartWait = 800 * time.Millisecond
	// startWaitShare is the part of its time that a request waits at the most.
	startWaitShare = 0.25
)

// awaitStart holds a request that comes before the entry serves, since it knows no configuration or no servers
// yet. Both are there within some tenths of a second; a caller whose entries have just failed comes back at once,
// and one that is refused then has no try left.
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
	case <-e.s.manager.Ending().Done():
	}
}

package storeread

import (
	"time"

	"arbutusdeck/core/peering"
	"arbutusdeck/entry/boottime"
)

// UpdateReading decides whether this entry has to read the store itself, and records the decision.
func (r *Reader) UpdateReading(now time.Time) bool {
	reads := r.options.Peers.ShouldRead(now, r.State(now))
	r.mu.Lock()
	changed := r.reading != reads
	r.reading = reads
	r.mu.Unlock()
	if changed {
		r.options.Log.WithField("reads", reads).Info("reading the metadata store changed hands")
	}
	return reads
}

// State returns the state of this entry's reading, as sent to its peers.
func (r *Reader) State(now time.Time) peering.StoreState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return peering.StoreState{Reads: r.reading && !r.lastSuccess.IsZero(), Age: boottime.At(now).Sub(r.lastSuccess),
		Lost: !r.lostSince.IsZero() && now.Sub(r.lastFailure) < storeFailureMemory}
}

// Age returns the time since the last answer of the store to this entry, whether or not it still
// reads the store; it exceeds any limit if there was none.
func (r *Reader) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.At(now).Sub(r.lastSuccess)
}

// isLost reports whether the last call to the store failed. Rows of running servers may have
// expired meanwhile, which a watch would report like removed servers.
func (r *Reader) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lostSince.IsZero()
}

// recordSuccess records a response of the store that arrived at answeredAt, by the clock of boottime,
// and has been applied. It must not be recorded earlier: others take this entry's version for the
// store's as of that time.
func (r *Reader) recordSuccess(answeredAt time.Time) {
	r.mu.Lock()
	regained := r.lastSuccess.IsZero() || !r.lostSince.IsZero()
	r.lastSuccess, r.lostSince = answeredAt, time.Time{}
	r.mu.Unlock()
	if regained {
		r.options.Log.Info("reached the metadata store")
	}
}

// recordFailure records a failed call and returns whether it is the first in a row.
func (r *Reader) recordFailure(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailure = now
	if !r.lostSince.IsZero() {
		return false
	}
	r.lostSince = now
	return true
}

// Unavailable reports whether this entry could not read the store for a while and no other entry
// of its zone is up to date.
func (r *Reader) Unavailable(now time.Time) bool {
	if r.options.Peers.HasFreshPeer(now) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastSuccess.IsZero() || !r.lostSince.IsZero() && now.Sub(r.lostSince) > storeOutageTolerance
}

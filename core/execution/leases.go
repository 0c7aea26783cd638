package execution

import (
	"cmp"
	"slices"
	"time"
)

// Detach records that the attempt's stream was lost; the attempt continues for StreamLease.
func (l *Ledger) Detach(now time.Time, id AttemptID) {
	if a, ok := l.attempts[id]; ok && (a.phase == Queued || a.phase == Running) {
		a.lease = now.Add(l.options.StreamLease)
	}
}

// Attach records that the attempt's stream is connected again. It reports false
// if there is no answer of the attempt to resume.
func (l *Ledger) Attach(id AttemptID) bool {
	a, ok := l.attempts[id]
	if !ok || a.phase == Reserved || a.phase == Tombstoned {
		return false
	}
	a.lease = time.Time{}
	return true
}

// ExpiredLease names an attempt whose lease has expired.
type ExpiredLease struct {
	Attempt AttemptID
	// StopRun is set if the attempt was running: the caller has to stop the run
	// and report it to Finish. Otherwise the attempt did not run and its
	// reservation is released.
	StopRun bool
}

// Tick ends attempts whose leases have expired and drops what is past its
// retention. Without the lease a run whose caller has disconnected would hold an
// engine's memory until it completes.
func (l *Ledger) Tick(now time.Time) []ExpiredLease {
	var expired []ExpiredLease
	for id, a := range l.open {
		switch {
		case a.lease.IsZero() || !now.After(a.lease):
		case a.phase == Running:
			if !a.stopping {
				a.stopping = true
				expired = append(expired, ExpiredLease{Attempt: id, StopRun: true})
			}
		default:
			l.cancelUnstarted(now, id, a)
			expired = append(expired, ExpiredLease{Attempt: id})
		}
	}
	if !now.Before(l.sweepAt) {
		l.sweepAt = now.Add(sweepInterval)
		l.expire(now)
	}
	slices.SortFunc(expired, func(a, b ExpiredLease) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return expired
}

// sweepInterval is the interval between sweeps for expired entries; a sweep visits
// every entry.
const sweepInterval = 5 * time.Second

func (l *Ledger) expire(now time.Time) {
	for id, a := range l.attempts {
		if a.phase >= Done && now.After(a.expiresAt) {
			delete(l.attempts, id)
		}
	}
	l.expireKeys(now)
}

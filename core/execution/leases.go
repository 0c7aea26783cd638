package execution

import (
	"cmp"
	"slices"
	"time"
)

// Detach says that the attempt's stream was lost: it goes on for StreamLease.
func (l *Ledger) Detach(now time.Time, id AttemptID) {
	if a, ok := l.attempts[id]; ok && (a.phase == Queued || a.phase == Running) {
		a.lease = now.Add(l.options.StreamLease)
	}
}

// Attach says that the attempt's stream is connected again. It reports false
// if the attempt has no answer to give here.
func (l *Ledger) Attach(id AttemptID) bool {
	a, ok := l.attempts[id]
	if !ok || a.phase == Reserved || a.phase == Tombstoned {
		return false
	}
	a.lease = time.Time{}
	return true
}

// ExpiredLease is an attempt whose lease has run out.
type ExpiredLease struct {
	Attempt AttemptID
	// StopRun is set when the attempt was running: its run is to be stopped
	// and reported by Finish. Otherwise it did not run; its place is free.
	StopRun bool
}

// Tick ends what has outlived its lease and forgets what is past its retention.
// A run that lost its caller would otherwise hold an engine's memory until its
// natural end.
func (l *Ledger) Tick(now time.Time) []ExpiredLease {
	var lapsed []ExpiredLease
	for id, a := range l.open {
		switch {
		case a.lease.IsZero() || !now.After(a.lease):
		case a.phase == Running:
			if !a.stopping {
				a.stopping = true
				lapsed = append(lapsed, ExpiredLease{Attempt: id, StopRun: true})
			}
		default:
			l.bury(now, id, a)
			lapsed = append(lapsed, ExpiredLease{Attempt: id})
		}
	}
	if !now.Before(l.sweepAt) {
		l.sweepAt = now.Add(sweepInterval)
		l.forget(now)
	}
	slices.SortFunc(lapsed, func(a, b ExpiredLease) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return lapsed
}

// sweepInterval is the time between two looks for what may be forgotten: a look
// goes over everything that is kept.
const sweepInterval = 5 * time.Second

func (l *Ledger) forget(now time.Time) {
	for id, a := range l.attempts {
		if a.phase >= Done && now.After(a.forgetAt) {
			delete(l.attempts, id)
		}
	}
	l.forgetKeys(now)
}

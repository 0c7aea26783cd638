package quarantine

import "time"

const (
	// ExonerationTime is for how long at least a whole answer speaks for a request. A request that
	// many callers of a workspace repeat, as a check of a status, runs at all servers of its
	// service at any moment: where a rack fails, as many servers end under it as under one at
	// fault. It was answered a moment before, many times. Ten seconds are some repeats of such a
	// caller, and short enough that a request which servers no longer bear after a release is
	// soon recognised.
	ExonerationTime = 10 * time.Second
	// maxAnswered bounds the answers that are remembered, twice: an entry answers some 50
	// requests a second.
	maxAnswered = 1024
)

// answered remembers which requests have had a whole answer lately, in two generations: the
// newer one becomes the older one when it is AnsweredTime old, or full.
type answered struct {
	newer, older map[Fingerprint]bool
	since        time.Time
}

func (a *answered) add(now time.Time, f Fingerprint) {
	a.turn(now)
	if len(a.newer) >= maxAnswered {
		a.older, a.newer, a.since = a.newer, nil, now
	}
	if a.newer == nil {
		a.newer = map[Fingerprint]bool{}
	}
	a.newer[f] = true
}

func (a *answered) has(now time.Time, f Fingerprint) bool {
	a.turn(now)
	return a.newer[f] || a.older[f]
}

// turn forgets what is too old.
func (a *answered) turn(now time.Time) {
	switch age := now.Sub(a.since); {
	case age >= 2*ExonerationTime:
		a.older, a.newer, a.since = nil, nil, now
	case age >= ExonerationTime:
		a.older, a.newer, a.since = a.newer, nil, now
	}
}

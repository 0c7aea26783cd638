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
	// maxExonerated bounds the answers that are remembered, twice: an entry answers some 50
	// requests a second.
	maxExonerated = 1024
)

// exonerated remembers which requests have had a whole answer lately, in two generations: the
// newer one becomes the older one when it is AnsweredTime old, or full.
type exonerated struct {
	current, previous map[Fingerprint]bool
	since             time.Time
}

func (e *exonerated) add(now time.Time, f Fingerprint) {
	e.rotate(now)
	if len(e.current) >= maxExonerated {
		e.previous, e.current, e.since = e.current, nil, now
	}
	if e.current == nil {
		e.current = map[Fingerprint]bool{}
	}
	e.current[f] = true
}

func (e *exonerated) has(now time.Time, f Fingerprint) bool {
	e.rotate(now)
	return e.current[f] || e.previous[f]
}

// rotate forgets what is too old.
func (e *exonerated) rotate(now time.Time) {
	switch age := now.Sub(e.since); {
	case age >= 2*ExonerationTime:
		e.previous, e.current, e.since = nil, nil, now
	case age >= ExonerationTime:
		e.previous, e.current, e.since = e.current, nil, now
	}
}

package quarantine

import "time"

const (
	// ExonerationTime is the shortest time for which a complete answer exonerates a request. A request that many
	// callers of a workspace repeat, such as a status check, runs at all servers of its service at any moment:
	// when a rack fails, as many servers crash under it as under a culprit, but it was answered many times a
	// moment before. Ten seconds cover some repeats of such a caller, and are short enough that a request which
	// servers no longer survive after a release is detected soon.
	ExonerationTime = 10 * time.Second
	// maxExonerated bounds each of the two generations: an entry answers some 50 requests a second.
	maxExonerated = 1024
)

// exonerated is the set of requests, or parts of prompts, with a recent complete answer. It keeps two generations:
// the current one becomes the previous one when it is as old as a generation lasts, or full.
type exonerated struct {
	generation        time.Duration
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

// rotate drops the generations that are too old.
func (e *exonerated) rotate(now time.Time) {
	switch age := now.Sub(e.since); {
	case age >= 2*e.generation:
		e.previous, e.current, e.since = nil, nil, now
	case age >= e.generation:
		e.previous, e.current, e.since = e.current, nil, now
	}
}

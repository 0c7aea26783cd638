// Package retryafter keeps the pauses that backend servers have asked this entry for, with Retry-After in responses
// that refuse a request. A pause concerns this entry alone: others may send to the server. The package is pure.
package retryafter

import (
	"maps"
	"slices"
	"time"
)

// maxPause bounds the harm of a mistaken value; a server can ask again.
const maxPause = time.Hour

// Pauses holds the end of the pause of each server's incarnation that asked for one. It is not safe for concurrent use.
type Pauses struct{ until map[string]time.Time }

// NewPauses returns no pauses.
func NewPauses() *Pauses { return &Pauses{until: map[string]time.Time{}} }

// Record records that a server's incarnation has asked for a pause. One that ends later holds on.
func (p *Pauses) Record(now time.Time, incarnation string, after time.Duration) {
	if until := now.Add(min(after, maxPause)); until.After(p.until[incarnation]) {
		p.until[incarnation] = until
	}
}

// Until returns the end of a server's pause, which may be past; zero without any.
func (p *Pauses) Until(incarnation string) time.Time { return p.until[incarnation] }

// Active returns the servers that are paused, sorted.
func (p *Pauses) Active(now time.Time) []string {
	var active []string
	for _, incarnation := range slices.Sorted(maps.Keys(p.until)) {
		if now.Before(p.until[incarnation]) {
			active = append(active, incarnation)
		}
	}
	return active
}

// Empty reports whether no pause is kept.
func (p *Pauses) Empty() bool { return len(p.until) == 0 }

// Expire drops the pauses that are over.
func (p *Pauses) Expire(now time.Time) {
	maps.DeleteFunc(p.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// Package ratelimit keeps the request rates that backend servers state in their responses. A stated rate holds for
// all entries together, for as long as the server's responses state it. The package is pure.
package ratelimit

import "time"

// Limiter tracks the servers that state a limit. It is not safe for concurrent use.
type Limiter struct{ servers map[string]*server }

// server is what is known of one incarnation of a server.
type server struct {
	// limited is set while the server states a limit, which is perSecond.
	limited   bool
	perSecond float64
	// statedAt is the arrival time of the response that limited and perSecond are from.
	statedAt time.Time
}

// NewLimiter returns a Limiter without servers.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*server{}} }

// RecordLimit records that a response of a server's incarnation states a limit in requests per second. It returns
// false if the same limit was known.
func (l *Limiter) RecordLimit(now time.Time, incarnation string, perSecond float64) bool {
	known := l.servers[incarnation]
	if known == nil {
		known = &server{}
		l.servers[incarnation] = known
	}
	changed := !known.limited || known.perSecond != perSecond
	known.limited, known.perSecond, known.statedAt = true, perSecond, now
	return changed
}

// RecordNoLimit records that a response of a server's incarnation to a request that was sent at a time states no
// limit. It returns false if there was none. The response to a request that was sent before the limit was last
// stated may be older than the limit.
func (l *Limiter) RecordNoLimit(now time.Time, incarnation string, sentAt time.Time) bool {
	known := l.servers[incarnation]
	if known == nil || !known.limited || !sentAt.After(known.statedAt) {
		return false
	}
	known.limited, known.statedAt = false, now
	return true
}

// Count returns the number of servers that state a limit.
func (l *Limiter) Count() int {
	count := 0
	for _, known := range l.servers {
		if known.limited {
			count++
		}
	}
	return count
}

// retention is the time for which a server that is not listed any more is kept, as its row may return after an
// outage of the platform, and for which the end of a limit is kept.
const retention = time.Minute

// Expire drops the servers that state no limit any more, and those that are not listed any more, after a while.
func (l *Limiter) Expire(now time.Time, isListed func(incarnation string) bool) {
	for incarnation, known := range l.servers {
		if now.Sub(known.statedAt) > retention && !(known.limited && isListed(incarnation)) {
			delete(l.servers, incarnation)
		}
	}
}

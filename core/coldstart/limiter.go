// Package coldstart limits the requests to cold backend servers, which crash under a rate of requests well above
// one that the configuration names, summed over all entries. The package is pure.
//
// Entries share no state, and some may not hear the others, so that no rate is divided between them. An entry
// sends a cold server at most one request in any second, and only if it ranks among the first of the known
// entries by a hash of both. Entries that know each other select the same ones, half as many as the server
// sustains requests per second. The other half is reserved for entries that have just started or are cut off, and
// know too few of the others.
package coldstart

import "time"

// sendInterval is the time in which an entry sends a cold server at most one request.
const sendInterval = time.Second

// mutuallyKnownShare is the share of a server's rate for entries that know each other.
const mutuallyKnownShare = 0.5

// RankFunc returns the rank of this entry among all known entries, itself included, for a server's incarnation;
// the first is 0.
type RankFunc func(incarnation string) int

// MaxSenders returns the number of entries that may send to a cold server that sustains perSecond requests per
// second. It is at least one: a service whose servers are all cold would otherwise never warm up.
func MaxSenders(perSecond float64) int { return max(int(mutuallyKnownShare*perSecond), 1) }

// Limiter tracks the cold servers and this entry's requests to them. It is not safe for concurrent use.
type Limiter struct{ servers map[string]*server }

type server struct {
	coldUntil time.Time
	lastSent  time.Time
	// rank is this entry's rank for the server, valid once ranked is set.
	rank   int
	ranked bool
}

// NewLimiter returns a Limiter without cold servers.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*server{}} }

// MarkCold records that a server's incarnation is cold until a time. The latest reported time counts.
func (l *Limiter) MarkCold(incarnation string, until time.Time) {
	known := l.servers[incarnation]
	if known == nil {
		known = &server{}
		l.servers[incarnation] = known
	}
	if until.After(known.coldUntil) {
		known.coldUntil = until
	}
}

// IsCold reports whether a server's incarnation is cold.
func (l *Limiter) IsCold(now time.Time, incarnation string) bool {
	known := l.servers[incarnation]
	return known != nil && now.Before(known.coldUntil)
}

// Allows reports whether a request may be sent to a server that sustains perSecond requests per second while
// cold.
func (l *Limiter) Allows(now time.Time, incarnation string, perSecond float64, rankOf RankFunc) bool {
	if !l.IsCold(now, incarnation) {
		return true
	}
	known := l.servers[incarnation]
	if !known.lastSent.IsZero() && now.Sub(known.lastSent) < sendInterval {
		return false
	}
	if !known.ranked {
		known.rank, known.ranked = rankOf(incarnation), true
	}
	return known.rank < MaxSenders(perSecond)
}

// RecordSend records that a request is sent to a server.
func (l *Limiter) RecordSend(now time.Time, incarnation string) {
	if l.IsCold(now, incarnation) {
		l.servers[incarnation].lastSent = now
	}
}

// ResetRanks drops the cached ranks, after this process was suspended.
func (l *Limiter) ResetRanks() {
	for _, known := range l.servers {
		known.ranked = false
	}
}

// Empty reports whether no server is cold.
func (l *Limiter) Empty() bool { return len(l.servers) == 0 }

// Expire drops the servers that are no longer cold.
func (l *Limiter) Expire(now time.Time) {
	for incarnation, known := range l.servers {
		if !now.Before(known.coldUntil) {
			delete(l.servers, incarnation)
		}
	}
}

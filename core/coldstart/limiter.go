// Package coldstart bounds what backend servers get while they are cold: they end under a rate of requests well above
// one that the configuration names, counted over all entries. It is pure.
//
// Entries share no state, and some of them may not hear the others. So no rate is divided between them: an entry sends a
// cold server at most one request in any second, and only if it is among the first of the known entries by a hash of
// both. Entries that know each other choose the same ones, half as many as the server bears requests a second; the other
// half is left for entries that have just started or are cut off, and know too few of the others.
package coldstart

import "time"

// sendInterval is the time in which an entry sends a cold server one request at the most.
const sendInterval = time.Second

// mutuallyKnownShare is the part of what a server bears that entries use which know each other.
const mutuallyKnownShare = 0.5

// RankFunc says which place an entry takes among those that it knows, itself included, for a server; the first is 0.
type RankFunc func(start string) int

// MaxSenders is how many entries may send to a server that bears a number of requests a second. One always may: a service
// whose servers are all cold would otherwise never warm up.
func MaxSenders(perSecond float64) int { return max(int(mutuallyKnownShare*perSecond), 1) }

// Limiter knows which servers are cold, and when this entry has sent them requests. It is not safe for concurrent use.
type Limiter struct{ servers map[string]*server }

type server struct {
	coldUntil time.Time
	lastSent  time.Time
	// rank is this entry's among all, once placed.
	rank   int
	ranked bool
}

// NewLimiter returns a limiter that takes no server for cold.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*server{}} }

// MarkCold takes in that a start of a server is cold until a time, as told at one of several moments: the latest counts.
func (l *Limiter) MarkCold(start string, until time.Time) {
	known := l.servers[start]
	if known == nil {
		known = &server{}
		l.servers[start] = known
	}
	if until.After(known.coldUntil) {
		known.coldUntil = until
	}
}

// IsCold says whether a start of a server is cold.
func (l *Limiter) IsCold(now time.Time, start string) bool {
	known := l.servers[start]
	return known != nil && now.Before(known.coldUntil)
}

// Allows says whether a request may be sent to a server that bears a number of them a second while it is cold.
func (l *Limiter) Allows(now time.Time, start string, perSecond float64, rank RankFunc) bool {
	if !l.IsCold(now, start) {
		return true
	}
	known := l.servers[start]
	if !known.lastSent.IsZero() && now.Sub(known.lastSent) < sendInterval {
		return false
	}
	if !known.ranked {
		known.rank, known.ranked = rank(start), true
	}
	return known.rank < MaxSenders(perSecond)
}

// RecordSend notes that a request is sent to a server.
func (l *Limiter) RecordSend(now time.Time, start string) {
	if l.IsCold(now, start) {
		l.servers[start].lastSent = now
	}
}

// ResetRanks forgets the places among other entries, after this process was suspended.
func (l *Limiter) ResetRanks() {
	for _, known := range l.servers {
		known.ranked = false
	}
}

// Empty says whether no server is known to be cold.
func (l *Limiter) Empty() bool { return len(l.servers) == 0 }

// Expire forgets the servers that are no longer cold.
func (l *Limiter) Expire(now time.Time) {
	for start, known := range l.servers {
		if !now.Before(known.coldUntil) {
			delete(l.servers, start)
		}
	}
}

// Package ratelimit divides the request rates that backend servers state in their responses. A stated rate holds for
// all entries together, for as long as the server's responses state it. The package is pure.
//
// Entries share no state, and some may not hear the others. Entries that know each other choose the same ones by a
// hash of both, which send to a limited server at equal rates and never two requests at once. So the server's total
// does not depend on messages, and exceeds its rate by at most one request for each of these entries. Entries tell
// each other what servers state, so that one that has not had such a response yet keeps to the limit, too.
package ratelimit

import "time"

// baseSenders is the number of entries that send to a server with a limit below one request per second. With fewer,
// the callers of most entries could not reach a service whose servers are all limited.
const baseSenders = 4

// minPerSecond replaces lower limits, and zero: only responses tell that a limit has ended.
const minPerSecond = 0.1

// maxSenders returns the number of entries that send to a server with a limit.
func maxSenders(perSecond float64) int { return baseSenders + int(min(perSecond, maxPerSecond)) }

// maxPerSecond bounds the rate from which the number of senders is computed, which would overflow.
const maxPerSecond = 1e6

// Share is the part of this entry in the limit of a server: its rank, from 0, among the entries that may send to the
// server, and their number. Entries is 0 if this one is not among them.
type Share struct{ Rank, Entries int }

// ShareFunc returns the share in the limit of a server's incarnation.
type ShareFunc func(incarnation string) Share

// Limiter tracks the servers that state a limit. It is not safe for concurrent use.
type Limiter struct{ servers map[string]*server }

// server is what is known of one incarnation of a server.
type server struct {
	// limited is set while the server states a limit, which is perSecond.
	limited   bool
	perSecond float64
	// statedAt is the arrival time of the response that limited and perSecond are from. own is set if it arrived
	// here, not at another entry.
	statedAt time.Time
	own      bool
	// lastSent is the time of the last request, or the one at which the limit became known, limitedSince.
	lastSent, limitedSince time.Time
	// share is this entry's share as of sharedAt.
	share    Share
	sharedAt time.Time
}

// NewLimiter returns a Limiter without servers.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*server{}} }

// RecordLimit records that a response of a server's incarnation states a limit in requests per second. It returns
// false if the same limit was known.
func (l *Limiter) RecordLimit(now time.Time, incarnation string, perSecond float64) bool {
	return l.server(incarnation).state(now, Statement{Limited: true, PerSecond: perSecond}, true, now)
}

// RecordNoLimit records that a response of a server's incarnation to a request that was sent at a time states no
// limit. It returns false if there was none. The response to a request that was sent before the limit was last
// stated may be older than the limit.
func (l *Limiter) RecordNoLimit(now time.Time, incarnation string, sentAt time.Time) bool {
	known := l.servers[incarnation]
	if known == nil || !known.limited || !sentAt.After(known.statedAt) {
		return false
	}
	return known.state(now, Statement{}, true, now)
}

func (l *Limiter) server(incarnation string) *server {
	known := l.servers[incarnation]
	if known == nil {
		known = &server{}
		l.servers[incarnation] = known
	}
	return known
}

// state applies a statement whose response arrived at a time. It returns false if the same was known.
func (s *server) state(now time.Time, statement Statement, own bool, statedAt time.Time) bool {
	changed := s.limited != statement.Limited || s.perSecond != statement.PerSecond
	if statement.Limited && !s.limited {
		// What was sent before counts at the server as well.
		s.lastSent, s.limitedSince = now, now
	}
	s.limited, s.perSecond, s.own, s.statedAt = statement.Limited, statement.PerSecond, own, statedAt
	return changed
}

const (
	// shareTTL is the time for which a share is kept: entries come and go.
	shareTTL = time.Second
	// settleTime is the time after a limit became known for which the highest number of senders is assumed: an entry
	// that has just started knows too few of the others.
	settleTime = 2 * time.Second
)

// Next returns the time from which this entry may send a request to a server, which is past if it may now. It returns
// false if others send to the server.
func (l *Limiter) Next(now time.Time, incarnation string, shareOf ShareFunc) (time.Time, bool) {
	known := l.servers[incarnation]
	if known == nil || !known.limited {
		return time.Time{}, true
	}
	if known.sharedAt.IsZero() || now.Sub(known.sharedAt) >= shareTTL {
		known.share, known.sharedAt = shareOf(incarnation), now
	}
	most := maxSenders(known.perSecond)
	senders := min(known.share.Entries, most)
	if known.share.Rank >= senders {
		return time.Time{}, false
	}
	next := known.lastSent.Add(known.interval(senders))
	if settled := known.limitedSince.Add(settleTime); next.Before(settled) {
		next = settled
	}
	if unsettled := known.lastSent.Add(known.interval(most)); unsettled.Before(next) {
		return unsettled, true
	}
	return next, true
}

// interval returns the time between two requests of one of a number of senders.
func (s *server) interval(senders int) time.Duration {
	return time.Duration(float64(time.Second) * float64(senders) / max(s.perSecond, minPerSecond))
}

// RecordSend records that a request is sent to a server.
func (l *Limiter) RecordSend(now time.Time, incarnation string) {
	if known := l.servers[incarnation]; known != nil {
		known.lastSent = now
	}
}

// Empty reports whether no server has stated a limit lately.
func (l *Limiter) Empty() bool { return len(l.servers) == 0 }

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

const (
	// retention is the time for which a server that is not listed any more is kept, as its row may return after an
	// outage of the platform, and for which the end of a limit is kept and told to others.
	retention = time.Minute
	// staleAfter is the time without any response after which a limit is dropped.
	staleAfter = 5 * time.Minute
)

// Expire drops the servers that state no limit any more, and those that are not listed any more, after a while.
func (l *Limiter) Expire(now time.Time, isListed func(incarnation string) bool) {
	for incarnation, known := range l.servers {
		age := now.Sub(known.statedAt)
		if age > staleAfter || age > retention && !(known.limited && isListed(incarnation)) {
			delete(l.servers, incarnation)
		}
	}
}

package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/platform"
)

// recordLimit records the request limit that a server states in its response to a request that was
// sent at a time, or that it states none.
func (s *Server) recordLimit(now time.Time, server directory.Server, sentAt time.Time, response platform.Response) {
	incarnation, limit := server.IncarnationID(), response.RequestLimit
	s.mu.Lock()
	changed := false
	switch {
	case limit.Stated:
		changed = s.limiter.RecordLimit(now, incarnation, limit.PerSecond)
	case response.Signed:
		changed = s.limiter.RecordNoLimit(now, incarnation, sentAt)
	}
	s.mu.Unlock()
	if changed {
		s.peers.AnnounceLimits(now, true)
		s.log.WithFields(logrus.Fields{"server": incarnation, "service": server.Service, "limited": limit.Stated, "perSecond": limit.PerSecond}).Info("server's request limit changed")
	}
}

// pauseLimited pauses or excludes the servers in a query that may get no request from this entry now
// because of their limit; the caller holds the lock.
func (s *Server) pauseLimited(now time.Time, q *placement.Query) {
	if s.limiter.Empty() {
		return
	}
	for _, server := range q.Servers {
		incarnation := server.IncarnationID()
		next, sends := s.limiter.Next(now, incarnation, s.shareOf(now, server))
		switch {
		case !sends:
			q.Exclude = append(q.Exclude, incarnation)
		case now.Before(next):
			q.Pause(incarnation, next)
		}
	}
}

// shareOf returns the function that computes this entry's share in the limit of a server.
func (s *Server) shareOf(now time.Time, server directory.Server) ratelimit.ShareFunc {
	return func(incarnation string) ratelimit.Share {
		rank, entries := s.peers.ShareOf(now, incarnation, server.Zone)
		return ratelimit.Share{Rank: rank, Entries: entries}
	}
}

// learnLimits records what servers have stated in responses to another entry. The caller holds the
// lock.
func (s *Server) learnLimits(now time.Time, statements []ratelimit.Statement) {
	for _, statement := range statements {
		if _, known := s.directory.Lookup(statement.Server); known {
			s.limiter.Learn(now, statement)
		}
	}
}

package gateway

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
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
		s.peers.announceLimits(now, true)
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
		s.peers.mu.Lock()
		defer s.peers.mu.Unlock()
		rank, entries := s.peers.group.ShareOf(now, incarnation, server.Zone)
		return ratelimit.Share{Rank: rank, Entries: entries}
	}
}

// maxLimits bounds the statements of a message so that it fits into one packet of a usual link (1,500
// bytes); one takes some 50 bytes.
const maxLimits = 20

// remoteLimitInterval is the number of heartbeats after which entries of other zones are told again
// what servers state. They send requests there only if their own zone has no server.
const remoteLimitInterval = 10

// announceLimits tells the other entries what servers state in responses to this one; those of other
// zones only if remote is set.
func (p *peerTransport) announceLimits(now time.Time, remote bool) {
	p.s.mu.Lock()
	statements := p.s.limiter.Statements(now)
	p.s.mu.Unlock()
	if len(statements) == 0 {
		return
	}
	ref := dispatchRef{}
	if remote {
		p.mu.Lock()
		ref.remoteZones = p.group.RemoteZones()
		p.mu.Unlock()
	}
	p.enqueue(ref, func(m *peering.Message) { m.Limits = append(m.Limits, statements...) })
	p.scheduleFlush()
}

// sendLimits sends statements of limits to the targets.
func (p *peerTransport) sendLimits(targets []string, statements []ratelimit.Statement, relay bool) {
	for part := range slices.Chunk(statements, maxLimits) {
		p.send(targets, peering.Message{Limits: part, Relay: relay})
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

package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform"
)

// recordStatements records what a server states of itself in a response to something that was sent
// to a server at a time.
func (s *Server) recordStatements(now time.Time, sentTo directory.Server, sentAt time.Time, response platform.Response) {
	server, known := s.responder(sentTo, response)
	if !known {
		return
	}
	s.recordLimit(now, server, sentAt, response)
	if response.Leaving {
		s.recordLeaving(server)
	}
	if response.Unavailable && response.RetryAfter > 0 {
		s.recordPause(now, server, response.RetryAfter)
	}
	if response.Leaving || response.RetryAfter > 0 {
		s.log.WithFields(logrus.Fields{"server": server.IncarnationID(), "service": server.Service, "leaving": response.Leaving,
			"retryAfterMs": response.RetryAfter.Milliseconds()}).Info("server's statement")
	}
}

// responder returns the server that a response is from: the one to which the request was sent, or
// the one that has taken over its address and says so. It returns false if that one is not known.
func (s *Server) responder(server directory.Server, response platform.Response) (directory.Server, bool) {
	if !response.Misdirected {
		return server, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Get(response.Instance)
}

// recordLeaving stops new requests to a server that states that it leaves. Its row may say so much
// later, if the store is down.
func (s *Server) recordLeaving(server directory.Server) {
	s.mu.Lock()
	change, changed := s.directory.RecordLeaving(server.IncarnationID())
	s.mu.Unlock()
	if changed {
		s.reportServerChanges([]directory.Change{change}, "server")
	}
}

// recordPause stops requests of this entry to a server for the time that it asks for.
func (s *Server) recordPause(now time.Time, server directory.Server, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses.Record(now, server.IncarnationID(), after)
}

// pauseRequested pauses the servers in a query that have asked this entry for a pause; the caller
// holds the lock.
func (s *Server) pauseRequested(now time.Time, q *placement.Query) {
	if s.pauses.Empty() {
		return
	}
	for _, server := range q.Servers {
		incarnation := server.IncarnationID()
		if until := s.pauses.Until(incarnation); now.Before(until) {
			q.Pause(incarnation, until)
		}
	}
}

// takesRequests reports whether a server may get requests from this entry now, as far as it has
// stated; the caller holds the lock.
func (s *Server) takesRequests(now time.Time, server directory.Server) bool {
	return s.directory.TakesWork(server) && !now.Before(s.pauses.Until(server.IncarnationID()))
}

// refusingServer returns a server of a choice that takes no requests any more; false if all do. A
// response to another request, or to the reservation of this one, may have stated so since the
// choice.
func (s *Server) refusingServer(now time.Time, choice placement.Choice) (directory.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range len(choice.Helpers) + 1 {
		server := choice.ServerAt(i)
		if known, ok := s.directory.Get(server.ID); ok && known.IncarnationID() == server.IncarnationID() && !s.takesRequests(now, known) {
			return server, true
		}
	}
	return directory.Server{}, false
}

// unavailableHere returns servers that take no request from this entry for a reason that entries of
// other zones may not know: those of a service that have stated that they leave, and paused ones.
func (s *Server) unavailableHere(now time.Time, service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.directory.StatedLeaving(service), s.pauses.Active(now)...)
}

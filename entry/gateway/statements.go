package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
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

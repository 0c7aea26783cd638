package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
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
		s.log.WithFields(logrus.Fields{"server": incarnation, "service": server.Service, "limited": limit.Stated, "perSecond": limit.PerSecond}).Info("server's request limit changed")
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

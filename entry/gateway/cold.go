package gateway

import (
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
)

// recordCold records which servers are cold according to their rows; the caller holds the lock.
func (s *Server) recordCold(now time.Time, servers []directory.Server) {
	for _, server := range servers {
		if server.WarmupRemaining > 0 {
			s.cold.MarkCold(server.IncarnationID(), now.Add(server.WarmupRemaining))
		}
	}
}

// excludeCold excludes the cold servers that may get no request from this entry now from a query;
// the caller holds the lock.
func (s *Server) excludeCold(now time.Time, service *routes.Service, q *placement.Query) {
	if service.ColdRate == 0 || s.cold.Empty() {
		return
	}
	for _, server := range q.Servers {
		if !s.cold.Allows(now, server.IncarnationID(), service.ColdRate, s.peers.Rank) {
			q.Exclude = append(q.Exclude, server.IncarnationID())
		}
	}
}

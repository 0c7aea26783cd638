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

// coldExcluded returns the incarnations of the cold servers that may get no request from this entry
// now; the caller holds the lock.
func (s *Server) coldExcluded(now time.Time, service *routes.Service, servers []directory.Server) []string {
	if service.ColdRate == 0 || s.cold.Empty() {
		return nil
	}
	var excluded []string
	for _, server := range servers {
		if !s.cold.Allows(now, server.IncarnationID(), service.ColdRate, s.peers.rank) {
			excluded = append(excluded, server.IncarnationID())
		}
	}
	return excluded
}

// recordChoice counts a request that is about to be sent to a cold server; the caller holds the
// lock.
func (s *Server) recordChoice(now time.Time, choice placement.Choice, refusal placement.Refusal) {
	if refusal == "" && choice.Wait == 0 {
		s.cold.RecordSend(now, choice.Server.IncarnationID())
	}
}

// rank returns this entry's rank among all known entries, for a server.
func (p *peerTransport) rank(incarnation string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Rank(incarnation)
}

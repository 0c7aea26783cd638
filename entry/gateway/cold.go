package gateway

import (
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
)

// noteCold takes in which servers are cold, as their rows tell; the caller holds the lock.
func (s *Server) noteCold(now time.Time, servers []directory.Server) {
	for _, server := range servers {
		if server.WarmupRemaining > 0 {
			s.cold.MarkCold(server.IncarnationID(), now.Add(server.WarmupRemaining))
		}
	}
}

// tooCold returns the starts of the servers that may get no request from this entry now, since they are cold; the caller
// holds the lock.
func (s *Server) tooCold(now time.Time, service *routes.Service, servers []directory.Server) []string {
	if service.ColdRate == 0 || s.cold.Empty() {
		return nil
	}
	var excluded []string
	for _, server := range servers {
		if !s.cold.Allows(now, server.IncarnationID(), service.ColdRate, s.peers.place) {
			excluded = append(excluded, server.IncarnationID())
		}
	}
	return excluded
}

// noteChosen notes that a choice is about to be sent; the caller holds the lock.
func (s *Server) noteChosen(now time.Time, choice placement.Choice, refusal placement.Refusal) {
	if refusal == "" && choice.Wait == 0 {
		s.cold.RecordSend(now, choice.Server.IncarnationID())
	}
}

// place returns this entry's place among all that it knows, for a server.
func (p *peerExchange) place(start string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Rank(start)
}

package gateway

import (
	"maps"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/parts"
	"arbutusdeck/core/routes"
)

// isDivided says whether entries keep to their zone's servers of a service; the caller
// holds the lock.
func (s *Server) isDivided(service string) bool { return s.divided[service] }

// divide looks anew whether the servers of each engine service are divided by zone, after
// the configuration, the servers or the entries have changed. Entries tell each other of requests within
// their zone only if that holds for every such service.
func (s *Server) divide() {
	table := s.table.Load()
	if table == nil {
		return
	}
	entries := s.peers.size()
	s.mu.Lock()
	before := maps.Clone(s.divided)
	engines, divided := 0, 0
	for _, service := range table.Definition().Services {
		if service.Engine == nil {
			continue
		}
		engines++
		s.divided[service.Name] = s.division(service).Update(s.directory.Zones(service.Name), entries)
		if s.divided[service.Name] {
			divided++
		}
	}
	after := maps.Clone(s.divided)
	s.mu.Unlock()
	if maps.Equal(before, after) {
		return
	}
	s.peers.divide(engines > 0 && divided == engines)
	s.log.WithFields(logrus.Fields{"from": before, "to": after}).Info("the division of the servers by zone has changed")
}

func (s *Server) division(service routes.Service) *parts.Division {
	if s.divisions[service.Name] == nil {
		s.divisions[service.Name] = &parts.Division{}
	}
	return s.divisions[service.Name]
}

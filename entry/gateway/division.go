package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/zonerouting"
)

// growTime is for how long no server must have been added until the list counts as whole: at the first start of a platform
// its servers come one by one.
const growTime = 500 * time.Millisecond

// isDivided says whether entries keep to their zone's servers of a service; the caller
// holds the lock.
func (s *Server) isDivided(service string) bool { return s.divisions[service].Enabled() }

// dividedServices returns the names of the services that are divided, in a fixed order; the
// caller holds the lock.
func (s *Server) dividedServices() []string {
	names := slices.Sorted(maps.Keys(s.divisions))
	return slices.DeleteFunc(names, func(name string) bool { return !s.isDivided(name) })
}

// divide looks anew whether the servers of each engine service are divided by zone, after
// the configuration, the servers or the entries have changed.
func (s *Server) divide() {
	s.mu.Lock()
	before := s.dividedServices()
	known := s.updateDivisions()
	after := s.dividedServices()
	if known {
		// Entries tell each other of requests within their zone only if all services are divided.
		s.peers.divide(len(after) > 0 && len(after) == len(s.divisions), time.Since(s.grewAt) < growTime)
	}
	s.mu.Unlock()
	if !slices.Equal(before, after) {
		s.log.WithFields(logrus.Fields{"from": before, "to": after}).Info("the division of the servers by zone has changed")
	}
}

// updateDivisions takes in the servers and entries that there are now, and drops services
// that have left the configuration; the caller holds the lock. It returns false if no configuration
// or no servers are known.
func (s *Server) updateDivisions() bool {
	table := s.table.Load()
	if table == nil || s.directory.Empty() {
		return false
	}
	entries := s.peers.size()
	divisions := map[string]zonerouting.LocalRouting{}
	for _, service := range table.Definition().Services {
		if service.Engine == nil {
			continue
		}
		division := s.divisions[service.Name]
		division.Update(s.directory.CountByZone(service.Name), entries)
		divisions[service.Name] = division
	}
	s.divisions = divisions
	return true
}

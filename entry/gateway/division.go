package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/parts"
)

// listSettleTime is for how long no server must have been added until the list counts as whole: at the first start of a platform
// its servers come one by one.
const listSettleTime = 500 * time.Millisecond

// routesLocally says whether entries keep to their zone's servers of a service; the caller
// holds the lock.
func (s *Server) routesLocally(service string) bool { return s.localRouting[service].Divided() }

// locallyRouted returns the names of the services that are divided, in a fixed order; the
// caller holds the lock.
func (s *Server) locallyRouted() []string {
	names := slices.Sorted(maps.Keys(s.localRouting))
	return slices.DeleteFunc(names, func(name string) bool { return !s.routesLocally(name) })
}

// updateRouting looks anew whether the servers of each engine service are divided by zone, after
// the configuration, the servers or the entries have changed.
func (s *Server) updateRouting() {
	s.mu.Lock()
	before := s.locallyRouted()
	updated := s.updateLocalRouting()
	after := s.locallyRouted()
	if updated {
		// Entries tell each other of requests within their zone only if all services are divided.
		s.peers.setLocalRouting(len(after) > 0 && len(after) == len(s.localRouting), time.Since(s.lastServerAddedAt) < listSettleTime)
	}
	s.mu.Unlock()
	if !slices.Equal(before, after) {
		s.log.WithFields(logrus.Fields{"from": before, "to": after}).Info("the division of the servers by zone has changed")
	}
}

// updateLocalRouting takes in the servers and entries that there are now, and drops services
// that have left the configuration; the caller holds the lock. It returns false if no configuration
// or no servers are known.
func (s *Server) updateLocalRouting() bool {
	table := s.table.Load()
	if table == nil || s.directory.Empty() {
		return false
	}
	entries := s.peers.memberCount()
	divisions := map[string]parts.Division{}
	for _, service := range table.Definition().Services {
		if service.Engine == nil {
			continue
		}
		division := s.localRouting[service.Name]
		division.Update(s.directory.Zones(service.Name), entries)
		divisions[service.Name] = division
	}
	s.localRouting = divisions
	return true
}

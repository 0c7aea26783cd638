package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/zonerouting"
)

// listSettleTime is the time without a new server after which the list counts as complete: when a
// platform starts, its servers register one by one.
const listSettleTime = 500 * time.Millisecond

// routesLocally reports whether entries use only their zone's servers of a service; the caller
// holds the lock.
func (s *Server) routesLocally(service string) bool { return s.localRouting[service].Enabled() }

// locallyRouted returns the sorted names of the services with zone-local routing; the caller holds
// the lock.
func (s *Server) locallyRouted() []string {
	names := slices.Sorted(maps.Keys(s.localRouting))
	return slices.DeleteFunc(names, func(name string) bool { return !s.routesLocally(name) })
}

// updateRouting decides anew which engine services use zone-local routing, after the configuration,
// the servers or the entries have changed.
func (s *Server) updateRouting() {
	s.mu.Lock()
	before := s.locallyRouted()
	updated := s.updateLocalRouting()
	after := s.locallyRouted()
	if updated {
		// Load updates stay within the zone only if all services are routed locally.
		s.peers.SetLocalRouting(len(after) > 0 && len(after) == len(s.localRouting), time.Since(s.lastServerAddedAt) < listSettleTime)
	}
	s.mu.Unlock()
	if !slices.Equal(before, after) {
		s.log.WithFields(logrus.Fields{"from": before, "to": after}).Info("the division of the servers by zone has changed")
	}
}

// updateLocalRouting takes the current servers and entries into account, and drops services that
// are no longer configured; the caller holds the lock. It returns false if no configuration or no
// servers are known.
func (s *Server) updateLocalRouting() bool {
	table := s.table.Load()
	if table == nil || s.directory.Empty() {
		return false
	}
	entries := s.peers.MemberCount()
	localRouting := map[string]zonerouting.LocalRouting{}
	for _, service := range table.Definition().Services {
		if service.Engine == nil {
			continue
		}
		routing := s.localRouting[service.Name]
		routing.Update(s.directory.CountByZone(service.Name), entries)
		localRouting[service.Name] = routing
	}
	s.localRouting = localRouting
	return true
}

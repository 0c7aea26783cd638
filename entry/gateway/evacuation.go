package gateway

import (
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/platform"
)

// applyEvacuations applies the states of single zones and returns those that have changed; the
// caller holds the lock.
func (s *Server) applyEvacuations(states []evacuation.State) []evacuation.State {
	var changed []evacuation.State
	for _, state := range states {
		if s.evacuation.Apply(state) {
			changed = append(changed, state)
		}
	}
	s.applyEvacuatedZones(changed)
	return changed
}

// applyViewEvacuations applies the evacuations of a peer's view. A view that is later than the
// state here covers all zones. The caller holds the lock.
func (s *Server) applyViewEvacuations(v peerlink.View) []evacuation.State {
	if v.Evacuations == nil || v.Revision <= s.revision {
		return s.applyEvacuations(v.Evacuations)
	}
	changed := s.evacuation.Replace(v.Evacuations, v.Revision)
	s.applyEvacuatedZones(changed)
	return changed
}

// replaceEvacuations applies the complete list of the store.
func (s *Server) replaceEvacuations(listed platform.Changes) {
	s.mu.Lock()
	var changed []evacuation.State
	if !s.directory.Empty() && platform.EraOf(listed.Revision) > s.era {
		changed = s.evacuation.Restore(listed.Evacuations)
	} else {
		changed = s.evacuation.Replace(listed.Evacuations, listed.Revision)
	}
	s.applyEvacuatedZones(changed)
	s.mu.Unlock()
	s.reportEvacuations(changed, "platform")
}

// applyEvacuatedZones passes changes to the directory, which then excludes the servers of evacuated
// zones from every choice; the caller holds the lock.
func (s *Server) applyEvacuatedZones(changed []evacuation.State) {
	if len(changed) > 0 {
		s.directory.Evacuate(s.evacuation.Evacuated())
	}
}

// reportEvacuations logs and audits changes that have been applied.
func (s *Server) reportEvacuations(changed []evacuation.State, source string) {
	for _, state := range changed {
		from, to := "evacuated", "serving"
		if state.Evacuated {
			from, to = to, from
		}
		s.log.WithFields(logrus.Fields{"zone": state.Zone, "from": from, "to": to, "revision": state.Revision, "source": source}).Warn("availability zone changed")
		s.audit(audit.Event{Area: audit.Membership, Subject: "zone " + state.Zone, From: from, To: to, Reason: "asked for by the operators", Source: source, Revision: state.Revision})
	}
	if len(changed) > 0 {
		s.updateRouting()
	}
}

// openInEvacuated returns the number of this entry's open requests at the servers of each evacuated
// zone; the caller holds the lock.
func (s *Server) openInEvacuated() map[string]int {
	open := map[string]int{}
	for _, zone := range s.evacuation.Evacuated() {
		open[zone] = s.loadTable.CountOwnAt(func(incarnation string) bool {
			server, known := s.directory.Lookup(incarnation)
			return known && server.Zone == zone
		})
	}
	return open
}

// logEmptiedZones logs evacuated zones at which the last request of this entry has ended. Only the
// tick loop calls it.
func (s *Server) logEmptiedZones() {
	s.mu.Lock()
	open := s.openInEvacuated()
	s.mu.Unlock()
	emptied := map[string]bool{}
	for zone, requests := range open {
		emptied[zone] = requests == 0
		if emptied[zone] && !s.emptiedZones[zone] {
			s.log.WithField("zone", zone).Info("no request of this entry is under way in the evacuated zone")
		}
	}
	s.emptiedZones = emptied
}

// registerEvacuationGauges registers the number of evacuated zones and of this entry's open
// requests there.
func (s *Server) registerEvacuationGauges() {
	s.gauge("evacuation.zones", func() int { return len(s.evacuation.Evacuated()) })
	s.gauge("evacuation.open", func() int {
		sum := 0
		for _, requests := range s.openInEvacuated() {
			sum += requests
		}
		return sum
	})
}

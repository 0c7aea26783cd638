package gateway

import (
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/entry/peerlink"
)

// trackBegin adds a dispatch to the load tables of this entry and of its peers.
func (s *Server) trackBegin(d placement.Dispatch, choice placement.Choice, engine *enginemodel.Engine) peerlink.DispatchRef {
	s.mu.Lock()
	s.loadTable.Begin(time.Now(), d, engine, choice.Predicted)
	s.mu.Unlock()
	ref := peerlink.DispatchRef{ID: d.ID, RemoteZones: s.peers.RemoteZones(choice)}
	s.peers.SendBegin(ref, d)
	return ref
}

func (s *Server) trackFirstEvent(ref peerlink.DispatchRef) {
	s.mu.Lock()
	s.loadTable.FirstEvent(time.Now(), ref.ID)
	s.mu.Unlock()
	s.peers.SendFirstEvent(ref)
}

func (s *Server) trackEnd(ref peerlink.DispatchRef) {
	s.mu.Lock()
	s.loadTable.End(time.Now(), ref.ID)
	s.wakeClaims()
	s.mu.Unlock()
	s.peers.SendEnd(ref)
}

// applyLoadUpdates records the dispatches that another entry reports. A restarted entry has lost
// all its open requests.
func (s *Server) applyLoadUpdates(now time.Time, m peering.Message, restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted {
		s.loadTable.EndPeerDispatches(now, m.From)
	}
	for _, d := range m.Dispatches {
		if engine, ok := s.engineOfIncarnation(d.Server); ok {
			s.loadTable.BeginPeerDispatch(now, m.From, d, engine)
			s.observeDispatch(now, m, d)
		}
	}
	for _, server := range m.Unreachable {
		if _, ok := s.engineOfIncarnation(server); ok {
			s.loadTable.MarkUnreachableByPeer(now, server, s.random.Float64())
		}
	}
	s.learnLimits(now, m.Limits)
	for _, id := range m.FirstEvents {
		s.loadTable.FirstEvent(now, id)
	}
	for _, id := range m.Ended {
		s.loadTable.End(now, id)
	}
	s.observeQueues(now, m, restarted)
	s.learnClaims(now, m, restarted)
}

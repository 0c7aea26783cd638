package gateway

import (
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/core/waiting"
	"arbutusdeck/core/zonestate"
	"arbutusdeck/entry/peerlink"
)

// peerServices implements the interfaces of peerlink with the state of a Server.
type peerServices struct{ s *Server }

func (p peerServices) Versions() (version, revision uint64) { return p.s.versions() }

func (p peerServices) StoreState(now time.Time) peering.StoreState { return p.s.reader.State(now) }

func (p peerServices) StoreUnavailable(now time.Time) bool { return p.s.reader.Unavailable(now) }

func (p peerServices) Starting() bool { return p.s.manager.State() == lifecycle.Starting }

func (p peerServices) Stopping() bool { return p.s.stopping.Load() != nil }

func (p peerServices) View(above uint64) peerlink.View { return p.s.view(above) }

func (p peerServices) ApplyView(v peerlink.View, peer string, withServers bool) {
	p.s.applyView(v, peer, withServers)
}

func (p peerServices) ApplyUpdate(update peering.Update, from string) { p.s.applyUpdate(update, from) }

func (p peerServices) ApplyLoadUpdates(now time.Time, m peering.Message, restarted bool) {
	p.s.applyLoadUpdates(now, m, restarted)
}

func (p peerServices) OpenDispatches(now time.Time) (dispatches []placement.Dispatch, firstEvents []string) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.loadTable.OpenDispatches(now)
}

func (p peerServices) QueueReports(now time.Time) []waiting.Report { return p.s.queueReports(now) }

func (p peerServices) LimitStatements(now time.Time) []ratelimit.Statement {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.limiter.Statements(now)
}

func (p peerServices) Claims(now time.Time) []claims.Report { return p.s.claimReports(now) }

func (p peerServices) SpareCapacity(now time.Time) float64 { return p.s.advertisedSpareCapacity(now) }

func (p peerServices) ZoneSummary(now time.Time) *zonestate.Summary { return p.s.zoneSummary(now) }

func (p peerServices) RecordsDigest() uint32 {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.recordsDigest()
}

func (p peerServices) MergeRecords(now time.Time, records []quarantine.Record, parts []quarantine.PartRecord) (digest uint32) {
	p.s.mu.Lock()
	p.s.tracker.Merge(now, records)
	cleared := p.s.parts.Merge(now, parts)
	digest = p.s.recordsDigest()
	p.s.mu.Unlock()
	p.s.peers.BroadcastPartRecords(cleared)
	return digest
}

func (p peerServices) Records(now time.Time) ([]quarantine.Record, []quarantine.PartRecord) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.tracker.Records(now), p.s.parts.Records(now)
}

func (p peerServices) Place(now time.Time, from string, request peering.PlacementRequest) peering.PlacementReply {
	return p.s.placeForPeer(now, from, request)
}

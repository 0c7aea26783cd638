package gateway

import (
	"context"
	"slices"
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/zonerouting"
)

// While routing is zone-local, entries do not know the load of other zones' servers. If the own
// zone has no spare capacity (its servers are down, or far too few for its callers), an entry of a
// zone with more capacity is asked to place the request, since it knows its servers exactly.
// Otherwise callers would be refused while most servers are idle.

// crossZoneInterval is the minimum time between two placement requests for one request, without spillover.
const crossZoneInterval = 500 * time.Millisecond

// place chooses a server for the request, in this zone or in one with more capacity.
func (e *exchange) place(ctx context.Context, now time.Time) (placement.Choice, placement.Refusal) {
	choice, refusal := e.choose(now)
	if remote, ok := e.placeElsewhere(ctx, now, choice, refusal); ok {
		e.endClaim("placed in another zone")
		return remote, ""
	}
	switch refusal {
	case awaitsSlot:
		return e.awaitSlot(ctx, choice)
	case placement.NoServer, placement.Paused:
		// No other zone can be asked, and a server of unknown load is better than none.
		choice, refusal = e.chooseAnywhere(now)
	}
	return e.orClaim(now, choice, refusal)
}

// placeElsewhere places the request in another zone if its own has no good placement for it.
func (e *exchange) placeElsewhere(ctx context.Context, now time.Time, choice placement.Choice, refusal placement.Refusal) (placement.Choice, bool) {
	switch {
	case !e.needsCrossZone(now, choice, refusal):
		return placement.Choice{}, false
	case e.s.spills(e.service.Name):
		return e.spill(ctx, now, choice, refusal)
	case now.Sub(e.crossZoneAskedAt) < crossZoneInterval:
		return placement.Choice{}, false
	}
	e.crossZoneAskedAt = now
	return e.placeCrossZone(ctx, now)
}

// placeCrossZone requests a placement from the zone with the most spare capacity, if that is
// clearly more than here.
func (e *exchange) placeCrossZone(ctx context.Context, now time.Time) (placement.Choice, bool) {
	address, ok := e.s.zoneWithCapacity(now, e.service.Name)
	if !ok {
		return placement.Choice{}, false
	}
	return e.requestPlacement(ctx, address)
}

// needsCrossZone reports whether the own zone has no good placement for the request.
func (e *exchange) needsCrossZone(now time.Time, choice placement.Choice, refusal placement.Refusal) bool {
	if e.service.Engine == nil || refusal == placement.Outlasts || e.turn.granted && refusal == "" {
		return false
	}
	return refusal != "" && refusal != awaitsSlot || choice.Server.ID == "" || choice.Unreachable || choice.Predicted > e.route.Target-now.Sub(e.arrived)
}

// zoneWithCapacity returns the address of an entry whose zone has clearly more spare capacity than
// this one.
func (s *Server) zoneWithCapacity(now time.Time, service string) (string, bool) {
	own, local := s.ownCapacity(now, service)
	if !local {
		return "", false
	}
	address, other, ok := s.peers.MostSpareCapacity(now)
	return address, ok && zonerouting.PrefersCrossZone(own, other)
}

// ownCapacity returns the spare capacity of this zone; false if the service is not routed locally.
func (s *Server) ownCapacity(now time.Time, service string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.routesLocally(service) {
		return 0, false
	}
	return s.spareCapacity(now, service), true
}

// spareCapacity returns the share of this zone's servers of a locally routed service that could
// begin a short prompt; the caller holds the lock.
func (s *Server) spareCapacity(now time.Time, name string) float64 {
	service := s.service(name)
	if service == nil {
		return 0
	}
	return s.loadTable.SpareCapacity(now, s.candidateServers(service), service.Engine)
}

// service returns a service of the current configuration, or nil.
func (s *Server) service(name string) *routes.Service {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	return table.Service(name)
}

// advertisedSpareCapacity returns the spare capacity in heartbeats to other zones: that of the engine
// service with the least of it.
func (s *Server) advertisedSpareCapacity(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 1.0
	for _, service := range s.locallyRouted() {
		least = min(least, s.spareCapacity(now, service))
	}
	return least
}

// requestPlacement asks an entry of another zone to place the request.
func (e *exchange) requestPlacement(ctx context.Context, address string) (placement.Choice, bool) {
	request := e.placementRequest()
	reply, err := e.s.peers.RequestPlacement(ctx, address, request)
	if err != nil {
		return placement.Choice{}, false
	}
	return e.takePlacement(address, request.Dispatch.ID, reply)
}

// placementRequest returns the request to an entry of another zone to place this one.
func (e *exchange) placementRequest() peering.PlacementRequest {
	now := time.Now()
	return peering.PlacementRequest{Service: e.service.Name, Dispatch: e.dispatch(placement.Choice{}), Remaining: e.deadline.Sub(now) - responseMargin,
		Exclude: slices.Concat(e.forward.Excluded(), e.s.unavailableHere(now, e.service.Name))}
}

// takePlacement converts the reply of an entry of another zone into the choice for the next attempt;
// false if it has refused, or if its choice can't be used here and is cancelled.
func (e *exchange) takePlacement(address, dispatchID string, reply peering.PlacementReply) (placement.Choice, bool) {
	if reply.Server == "" {
		return placement.Choice{}, false
	}
	choice, ok := e.s.choiceFrom(time.Now(), reply)
	if !ok {
		e.s.peers.CancelPlacement(address, dispatchID)
		return placement.Choice{}, false
	}
	e.s.counters.crossZone.Inc(1)
	e.crossZoneDispatchID = dispatchID
	return choice, true
}

// choiceFrom converts a placement reply into a choice; false if one of its servers is unknown here,
// or accepts no new requests.
func (s *Server) choiceFrom(now time.Time, reply peering.PlacementReply) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := placement.Choice{Reserved: reply.Reserved, Predicted: reply.Predicted}
	var servers []directory.Server
	for _, incarnation := range append([]string{reply.Server}, reply.Helpers...) {
		server, ok := s.directory.Lookup(incarnation)
		if !ok || server.IncarnationID() != incarnation || !s.takesRequests(now, server) {
			return placement.Choice{}, false
		}
		servers = append(servers, server)
	}
	choice.Server, choice.Helpers = servers[0], servers[1:]
	return choice, true
}

// placeForPeer places another zone's request at the servers of this zone. It records the dispatch,
// so that the next placement takes it into account.
func (s *Server) placeForPeer(now time.Time, from string, request peering.PlacementRequest) peering.PlacementReply {
	reply := peering.PlacementReply{ID: request.Dispatch.ID}
	d := request.Dispatch
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.service(request.Service)
	if service != nil && service.Engine != nil && s.routesLocally(request.Service) {
		servers := s.candidateServers(service)
		query := placement.Query{Engine: service.Engine, Exclude: slices.Clone(request.Exclude), PromptTokens: d.PromptTokens, AnswerTokens: d.AnswerTokens, Gap: d.Gap,
			TieBreak: s.random.Float64(), Target: d.Target, Remaining: request.Remaining, ReservationTimeout: unusedTimeout(s.settings.ReservationIdle.D()),
			Servers: servers}
		query.NeedsSlot = s.queueFor(service, d.PromptTokens) != nil
		if s.othersWait(now, service) {
			return reply // they would be overtaken
		}
		choice, refusal := s.loadTable.Choose(now, s.withholdClaims(now, service.Name, claims.Claim{}, s.restrict(now, service, query)))
		if !s.admitsForPeer(now, service, choice, refusal) {
			return reply
		}
		s.recordChoice(now, choice, refusal)
		if refusal == "" && choice.Wait == 0 {
			reply.Server, reply.Helpers, reply.Reserved, reply.Predicted = choice.Server.IncarnationID(), directory.IncarnationIDs(choice.Helpers), choice.Reserved, choice.Predicted
			d.Server, d.Helpers, d.Reserved = reply.Server, reply.Helpers, reply.Reserved
			s.loadTable.BeginPeerDispatch(now, from, d, service.Engine)
			s.spiller.observeReceived(now, s.peers.ZoneOf(from))
		}
	}
	return reply
}

// takeDispatchID returns the dispatch ID of the placement by another zone, once, or a new one.
func (e *exchange) takeDispatchID(choice placement.Choice) string {
	id := e.crossZoneDispatchID
	if choice.Server.ID == "" || id == "" {
		return e.s.newDispatchID()
	}
	e.crossZoneDispatchID = ""
	return id
}

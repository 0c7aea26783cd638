package gateway

import (
	"context"
	"slices"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/parts"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
)

// Entries that keep to their zone's servers know nothing of what other zones' servers do.
// Where the own zone has no room (its servers are down, or far fewer than its callers
// need), an entry of a zone with more room is asked to place the request: it knows its
// servers exactly. Otherwise callers would be refused while most servers are idle.

const (
	// crossZoneTimeout bounds the wait for an answer: some ten ways there and back between zones.
	crossZoneTimeout = 40 * time.Millisecond
	// crossZoneInterval lies between two questions for one request.
	crossZoneInterval = 500 * time.Millisecond
)

// placementReply brings the answer to a question for a place.
type placementReply chan peering.Place

// place finds a server for the request, in this zone or in one with more room.
func (e *exchange) place(ctx context.Context, now time.Time) (placement.Choice, placement.Refusal) {
	choice, refusal := e.choose(now)
	if e.needsCrossZone(now, choice, refusal) {
		e.crossZoneAskedAt = now
		if remote, ok := e.placeCrossZone(ctx, now); ok {
			return remote, ""
		}
	}
	if refusal == placement.NoServer {
		// Nobody can be asked, and a server whose work is not known is better than none.
		return e.chooseAnywhere(now)
	}
	return choice, refusal
}

// placeCrossZone asks for a place in the zone with the most room, if that is clearly more than
// here.
func (e *exchange) placeCrossZone(ctx context.Context, now time.Time) (placement.Choice, bool) {
	address, ok := e.s.zoneWithCapacity(now, e.service.Name)
	if !ok {
		return placement.Choice{}, false
	}
	return e.requestPlacement(ctx, address)
}

// needsCrossZone says whether the own zone has no good place for the request.
func (e *exchange) needsCrossZone(now time.Time, choice placement.Choice, refusal placement.Refusal) bool {
	if e.service.Engine == nil || now.Sub(e.crossZoneAskedAt) < crossZoneInterval || refusal == placement.Outlasts {
		return false
	}
	return refusal != "" || choice.Unreachable || choice.Predicted > e.route.Target-now.Sub(e.arrived)
}

// zoneWithCapacity returns an entry of another zone that has clearly more room than this one.
func (s *Server) zoneWithCapacity(now time.Time, service string) (string, bool) {
	own, divided := s.ownCapacity(now, service)
	if !divided {
		return "", false
	}
	s.peers.mu.Lock()
	address, other, ok := s.peers.group.Roomiest(now)
	s.peers.mu.Unlock()
	return address, ok && parts.Crosses(own, other)
}

// ownCapacity is the room in this zone; false if the service is not divided.
func (s *Server) ownCapacity(now time.Time, service string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.routesLocally(service) {
		return 0, false
	}
	return s.spareCapacity(now, service), true
}

// spareCapacity is the share of the servers of a divided service that could begin a short prompt, of
// those in this zone; the caller holds the lock.
func (s *Server) spareCapacity(now time.Time, name string) float64 {
	service := s.service(name)
	if service == nil {
		return 0
	}
	return s.book.Room(now, s.candidateServers(service), service.Engine)
}

// service returns a service of the configuration in force, or nil.
func (s *Server) service(name string) *routes.Service {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	return table.Service(name)
}

// advertisedHeadroom is the room that heartbeats to other zones tell: that of the engine service with
// the least.
func (s *Server) advertisedHeadroom(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 1.0
	for _, service := range s.locallyRouted() {
		least = min(least, s.spareCapacity(now, service))
	}
	return least
}

// requestPlacement asks an entry of another zone for a place.
func (e *exchange) requestPlacement(ctx context.Context, address string) (placement.Choice, bool) {
	now := time.Now()
	dispatch := e.dispatch(placement.Choice{})
	reply := e.s.peers.requestPlacement(ctx, address, peering.Ask{Service: e.service.Name, Dispatch: dispatch, Remaining: e.deadline.Sub(now) - responseMargin,
		Exclude: e.forward.Excluded()})
	if reply.Server == "" {
		return placement.Choice{}, false
	}
	choice, ok := e.s.choiceFrom(reply)
	if !ok {
		e.s.peers.send([]string{address}, peering.Message{Ended: []string{dispatch.ID}})
		return placement.Choice{}, false
	}
	e.s.counters.crossZone.Inc(1)
	e.crossZoneDispatchID = dispatch.ID
	return choice, true
}

// requestPlacement sends a question and waits for its answer. A place that is not heard of in time is
// given back: the one asked has it in its book.
func (p *peerTransport) requestPlacement(ctx context.Context, address string, request peering.Ask) peering.Place {
	replies := make(placementReply, 1)
	id := request.Dispatch.ID
	p.mu.Lock()
	p.placementReplies[id] = replies
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.placementReplies, id)
		p.mu.Unlock()
	}()
	p.send([]string{address}, peering.Message{Ask: &request})
	timer := time.NewTimer(crossZoneTimeout)
	defer timer.Stop()
	select {
	case place := <-replies:
		return place
	case <-timer.C:
	case <-ctx.Done():
	}
	p.send([]string{address}, peering.Message{Ended: []string{id}})
	return peering.Place{}
}

// deliverPlacement hands an answer to the request that waits for it.
func (p *peerTransport) deliverPlacement(place peering.Place) {
	p.mu.Lock()
	replies := p.placementReplies[place.ID]
	delete(p.placementReplies, place.ID)
	p.mu.Unlock()
	if replies != nil {
		replies <- place
	}
}

// choiceFrom turns an answer into a choice; false if one of its servers is not known here, or takes no new work.
func (s *Server) choiceFrom(place peering.Place) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := placement.Choice{Held: place.Held, Predicted: place.Predicted}
	var found []directory.Server
	for _, start := range append([]string{place.Server}, place.Helpers...) {
		server, ok := s.directory.Lookup(start)
		if !ok || server.Start() != start || !s.directory.TakesWork(server) {
			return placement.Choice{}, false
		}
		found = append(found, server)
	}
	choice.Server, choice.Helpers = found[0], found[1:]
	return choice, true
}

// handlePlacementRequest places another zone's request among this zone's servers, and books it, so that
// the next question doesn't get the same place.
func (s *Server) handlePlacementRequest(now time.Time, from string, ask peering.Ask) {
	place := peering.Place{ID: ask.Dispatch.ID}
	d := ask.Dispatch
	s.mu.Lock()
	service := s.service(ask.Service)
	if service != nil && service.Engine != nil && s.routesLocally(ask.Service) {
		servers := s.candidateServers(service)
		query := placement.Query{Engine: service.Engine, Exclude: slices.Concat(ask.Exclude, s.coldExcluded(now, service, servers)), PromptTokens: d.PromptTokens, AnswerTokens: d.AnswerTokens, Gap: d.Gap,
			Tie: s.random.Float64(), Target: d.Target, Remaining: ask.Remaining, HoldLimit: unusedTimeout(s.settings.ReservationIdle.D()),
			Servers: servers}
		choice, refusal := s.book.Choose(now, query)
		s.recordChoice(now, choice, refusal)
		if refusal == "" && choice.Wait == 0 {
			place.Server, place.Helpers, place.Held, place.Predicted = choice.Server.Start(), directory.Starts(choice.Helpers), choice.Held, choice.Predicted
			d.Server, d.Helpers, d.Held = place.Server, place.Helpers, place.Held
			s.book.BeginFrom(now, from, d, service.Engine)
		}
	}
	s.mu.Unlock()
	s.peers.send([]string{from}, peering.Message{Place: &place})
}

// takeDispatchID returns the identifier of the try that another zone has placed, once.
func (e *exchange) takeDispatchID(choice placement.Choice) string {
	id := e.crossZoneDispatchID
	if choice.Server.ID == "" || id == "" {
		return e.s.newDispatchID()
	}
	e.crossZoneDispatchID = ""
	return id
}

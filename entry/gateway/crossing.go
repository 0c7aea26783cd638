package gateway

import (
	"context"
	"slices"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/zonerouting"
)

// Entries that keep to their zone's servers know nothing of what other zones' servers do.
// Where the own zone has no room (its servers are down, or far fewer than its callers
// need), an entry of a zone with more room is asked to place the request: it knows its
// servers exactly. Otherwise callers would be refused while most servers are idle.

const (
	// askTimeout bounds the wait for an answer: some ten ways there and back between zones.
	askTimeout = 40 * time.Millisecond
	// askPause lies between two questions for one request.
	askPause = 500 * time.Millisecond
)

// placeAnswer brings the answer to a question for a place.
type placeAnswer chan peering.PlacementReply

// place finds a server for the request, in this zone or in one with more room.
func (e *exchange) place(ctx context.Context, now time.Time) (placement.Choice, placement.Refusal) {
	choice, refusal := e.choose(now)
	if e.mayCross(now, choice, refusal) {
		e.askedAt = now
		if far, ok := e.askElsewhere(ctx, now); ok {
			return far, ""
		}
	}
	if refusal == placement.NoServer {
		// Nobody can be asked, and a server whose work is not known is better than none.
		return e.chooseAnywhere(now)
	}
	return choice, refusal
}

// askElsewhere asks for a place in the zone with the most room, if that is clearly more than
// here.
func (e *exchange) askElsewhere(ctx context.Context, now time.Time) (placement.Choice, bool) {
	address, ok := e.s.roomElsewhere(now, e.service.Name)
	if !ok {
		return placement.Choice{}, false
	}
	return e.ask(ctx, address)
}

// mayCross says whether the own zone has no good place for the request.
func (e *exchange) mayCross(now time.Time, choice placement.Choice, refusal placement.Refusal) bool {
	if e.service.Engine == nil || now.Sub(e.askedAt) < askPause || refusal == placement.Outlasts {
		return false
	}
	return refusal != "" || choice.Unreachable || choice.Predicted > e.route.Target-now.Sub(e.arrived)
}

// roomElsewhere returns an entry of another zone that has clearly more room than this one.
func (s *Server) roomElsewhere(now time.Time, service string) (string, bool) {
	own, divided := s.ownRoom(now, service)
	if !divided {
		return "", false
	}
	s.peers.mu.Lock()
	address, other, ok := s.peers.group.MostSpareCapacity(now)
	s.peers.mu.Unlock()
	return address, ok && zonerouting.PrefersCrossZone(own, other)
}

// ownRoom is the room in this zone; false if the service is not divided.
func (s *Server) ownRoom(now time.Time, service string) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isDivided(service) {
		return 0, false
	}
	return s.room(now, service), true
}

// room is the share of the servers of a divided service that could begin a short prompt, of
// those in this zone; the caller holds the lock.
func (s *Server) room(now time.Time, name string) float64 {
	service := s.service(name)
	if service == nil {
		return 0
	}
	return s.book.SpareCapacity(now, s.serversFor(service), service.Engine)
}

// service returns a service of the configuration in force, or nil.
func (s *Server) service(name string) *routes.Service {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	return table.Service(name)
}

// tellRoom is the room that heartbeats to other zones tell: that of the engine service with
// the least.
func (s *Server) tellRoom(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 1.0
	for _, service := range s.dividedServices() {
		least = min(least, s.room(now, service))
	}
	return least
}

// ask asks an entry of another zone for a place.
func (e *exchange) ask(ctx context.Context, address string) (placement.Choice, bool) {
	now := time.Now()
	dispatch := e.dispatch(placement.Choice{})
	answer := e.s.peers.askFor(ctx, address, peering.PlacementRequest{Service: e.service.Name, Dispatch: dispatch, Remaining: e.deadline.Sub(now) - answerMargin,
		Exclude: e.core.Excluded()})
	if answer.Server == "" {
		return placement.Choice{}, false
	}
	choice, ok := e.s.choiceOf(answer)
	if !ok {
		e.s.peers.send([]string{address}, peering.Message{Ended: []string{dispatch.ID}})
		return placement.Choice{}, false
	}
	e.s.counters.crossed.Inc(1)
	e.placed = dispatch.ID
	return choice, true
}

// askFor sends a question and waits for its answer. A place that is not heard of in time is
// given back: the one asked has it in its book.
func (p *peerExchange) askFor(ctx context.Context, address string, question peering.PlacementRequest) peering.PlacementReply {
	answer := make(placeAnswer, 1)
	id := question.Dispatch.ID
	p.mu.Lock()
	p.asked[id] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.asked, id)
		p.mu.Unlock()
	}()
	p.send([]string{address}, peering.Message{PlacementRequest: &question})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case place := <-answer:
		return place
	case <-timer.C:
	case <-ctx.Done():
	}
	p.send([]string{address}, peering.Message{Ended: []string{id}})
	return peering.PlacementReply{}
}

// takePlace hands an answer to the request that waits for it.
func (p *peerExchange) takePlace(place peering.PlacementReply) {
	p.mu.Lock()
	answer := p.asked[place.ID]
	delete(p.asked, place.ID)
	p.mu.Unlock()
	if answer != nil {
		answer <- place
	}
}

// choiceOf turns an answer into a choice; false if one of its servers is not known here, or takes no new work.
func (s *Server) choiceOf(place peering.PlacementReply) (placement.Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice := placement.Choice{Reserved: place.Reserved, Predicted: place.Predicted}
	var found []directory.Server
	for _, start := range append([]string{place.Server}, place.Helpers...) {
		server, ok := s.directory.Lookup(start)
		if !ok || server.IncarnationID() != start || !s.directory.TakesWork(server) {
			return placement.Choice{}, false
		}
		found = append(found, server)
	}
	choice.Server, choice.Helpers = found[0], found[1:]
	return choice, true
}

// answerAsk places another zone's request among this zone's servers, and books it, so that
// the next question doesn't get the same place.
func (s *Server) answerAsk(now time.Time, from string, ask peering.PlacementRequest) {
	place := peering.PlacementReply{ID: ask.Dispatch.ID}
	d := ask.Dispatch
	s.mu.Lock()
	service := s.service(ask.Service)
	if service != nil && service.Engine != nil && s.isDivided(ask.Service) {
		servers := s.serversFor(service)
		query := placement.Query{Engine: service.Engine, Exclude: slices.Concat(ask.Exclude, s.tooCold(now, service, servers)), PromptTokens: d.PromptTokens, AnswerTokens: d.AnswerTokens, Gap: d.Gap,
			TieBreak: s.random.Float64(), Target: d.Target, Remaining: ask.Remaining, ReservationTimeout: unusedLimit(s.settings.ReservationIdle.D()),
			Servers: servers}
		choice, refusal := s.book.Choose(now, query)
		s.noteChosen(now, choice, refusal)
		if refusal == "" && choice.Wait == 0 {
			place.Server, place.Helpers, place.Reserved, place.Predicted = choice.Server.IncarnationID(), directory.IncarnationIDs(choice.Helpers), choice.Reserved, choice.Predicted
			d.Server, d.Helpers, d.Reserved = place.Server, place.Helpers, place.Reserved
			s.book.BeginPeerDispatch(now, from, d, service.Engine)
		}
	}
	s.mu.Unlock()
	s.peers.send([]string{from}, peering.Message{PlacementReply: &place})
}

// takePlaced returns the identifier of the try that another zone has placed, once.
func (e *exchange) takePlaced(choice placement.Choice) string {
	id := e.placed
	if choice.Server.ID == "" || id == "" {
		return e.s.dispatchID()
	}
	e.placed = ""
	return id
}

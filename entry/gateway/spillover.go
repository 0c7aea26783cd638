package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/spillover"
	"arbutusdeck/core/zonestate"
	"arbutusdeck/entry/peerlink"
)

// spiller holds the state of core/spillover under a lock. It takes no other lock meanwhile. Its observe methods have
// no effect on nil, that is, without overload.spillover.
type spiller struct {
	zone     string
	limits   placement.Options
	registry metrics.Registry

	mu     sync.Mutex
	zones  *spillover.Spillover
	demand map[string]*zonestate.Rate // by service
}

func newSpiller(zone string, registry metrics.Registry) *spiller {
	return &spiller{zone: zone, limits: placement.DefaultOptions(zone), registry: registry, demand: map[string]*zonestate.Rate{},
		zones: spillover.New(spillover.Options{StateTTL: peering.StateTTL, HeartbeatInterval: peering.HeartbeatInterval, ReplyTimeout: peerlink.CrossZoneTimeout})}
}

// count increments a counter. The names end in a zone or a reason, which are few.
func (p *spiller) count(name string) {
	metrics.GetOrRegisterCounter("spillover."+name, p.registry).Inc(1)
}

func (p *spiller) isShort(tokens int64) bool { return tokens > 0 && tokens <= p.limits.ShortTokens }

// observeArrival counts a request of the own zone's callers towards the demand, if its prompt is short.
func (p *spiller) observeArrival(now time.Time, service string, tokens int64) {
	if p == nil || !p.isShort(tokens) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand[service] == nil {
		p.demand[service] = &zonestate.Rate{}
	}
	p.demand[service].Observe(now)
}

// demandOf returns the arrivals of short prompts for a service, per second.
func (p *spiller) demandOf(now time.Time, service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rate := p.demand[service]; rate != nil {
		return rate.PerSecond(now)
	}
	return 0
}

// observeReceived records that the own zone took a request of another one.
func (p *spiller) observeReceived(now time.Time, from string) {
	if p == nil || from == "" || from == p.zone {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones.ObserveReceived(now, from)
}

// observeDispatch records what a dispatch of another entry tells about the demand: one of another zone was received
// there, and a short one of a local entry is an arrival. The caller holds the lock.
func (s *Server) observeDispatch(now time.Time, m peering.Message, d placement.Dispatch) {
	if s.spiller == nil {
		return
	}
	if d.Zone != "" && d.Zone != s.settings.Zone {
		s.spiller.observeReceived(now, d.Zone)
		return
	}
	if server, known := s.directory.Lookup(d.Server); known && m.Zone == s.settings.Zone {
		s.spiller.observeArrival(now, server.Service, d.PromptTokens)
	}
}

// spills reports whether spillover decides on the requests of a service that need another zone.
func (s *Server) spills(service string) bool {
	if s.spiller == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routesLocally(service)
}

// zoneSummary returns the state of this zone for other zones; nil without spillover.
func (s *Server) zoneSummary(now time.Time) *zonestate.Summary {
	if s.spiller == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []zonestate.ServiceState
	for _, name := range s.locallyRouted() {
		if service := s.service(name); service != nil {
			parts = append(parts, s.serviceState(now, service))
		}
	}
	if len(parts) == 0 {
		return nil
	}
	summary := zonestate.New(s.evacuation.IsEvacuated(s.settings.Zone), parts, nil)
	return &summary
}

// serviceState returns the state of this zone's servers of a service; the caller holds the lock.
func (s *Server) serviceState(now time.Time, service *routes.Service) zonestate.ServiceState {
	state := s.loadTable.ZoneState(now, s.restrict(now, service, placement.Query{Engine: service.Engine, Servers: s.candidateServers(service)}))
	if queue := s.queues[service.Name]; queue != nil {
		state.Waiting = queue.queue.Demand(now)
	}
	state.Service, state.DemandPerS = service.Name, s.spiller.demandOf(now, service.Name)
	return state
}

// admitsForPeer reports whether a choice for a request of another zone leaves the reserve of this one; always without
// spillover. The caller holds the lock.
func (s *Server) admitsForPeer(now time.Time, service *routes.Service, choice placement.Choice, refusal placement.Refusal) bool {
	p := s.spiller
	if p == nil {
		return true
	}
	state, offered := s.serviceState(now, service), offer(choice, refusal)
	offered.Refused = offered.Refused || choice.Wait > 0
	p.mu.Lock()
	admits := p.zones.Admits(state, offered)
	p.mu.Unlock()
	if admits {
		p.count("admitted")
	} else {
		p.count("declined")
	}
	return admits
}

// offer converts a choice into what a zone offers for a request.
func offer(choice placement.Choice, refusal placement.Refusal) spillover.Placement {
	return spillover.Placement{Refused: refusal != "" && refusal != awaitsSlot || choice.Server.ID == "" || choice.Unreachable, Predicted: choice.Predicted}
}

// spill places the request in a zone with room for it; false if no zone is asked, or the asked one doesn't take it.
func (e *exchange) spill(ctx context.Context, now time.Time, choice placement.Choice, refusal placement.Refusal) (placement.Choice, bool) {
	p := e.s.spiller
	own, need := offer(choice, refusal), e.spilloverNeed(now)
	decision, address := e.chooseZone(now, own, need)
	if address == "" {
		p.count("stayed." + string(stayReason(decision)))
		return placement.Choice{}, false
	}
	p.count("asked." + decision.Zone)
	request := e.placementRequest()
	p.mu.Lock()
	p.zones.Sent(now, request.Dispatch.ID, decision.Zone, address, need)
	p.mu.Unlock()
	reply, err := e.s.peers.RequestPlacement(ctx, address, request)
	remote, outcome := e.concludeAsk(own, decision.Zone, address, request.Dispatch.ID, reply, err)
	p.count(string(outcome) + "." + decision.Zone)
	e.s.log.WithFields(logrus.Fields{"request": e.info.ID, "zone": decision.Zone, "accepted": outcome == askPlaced, "outcome": outcome,
		"tookMs": time.Since(now).Milliseconds()}).Info("placement in another zone ended")
	return remote, outcome == askPlaced
}

// noEntry is the reason where a zone has room and none of its entries is known to run.
const noEntry spillover.Reason = "noEntry"

func stayReason(decision spillover.Decision) spillover.Reason {
	if decision.Zone != "" {
		return noEntry
	}
	return decision.Reason
}

// spilloverNeed returns what the request needs of a zone.
func (e *exchange) spilloverNeed(now time.Time) spillover.Need {
	limits, tokens := e.s.spiller.limits, e.info.PromptTokens+e.outputTokens()
	return spillover.Need{Service: e.service.Name, Long: e.info.PromptTokens > limits.ShortTokens, Tokens: tokens,
		Spread: float64(tokens) > limits.MemoryShare*float64(e.service.Engine.MemoryTokens), TargetLeft: e.route.Target - now.Sub(e.arrived)}
}

// chooseZone returns the decision which zone to ask, and the address of its entry; empty to ask none.
func (e *exchange) chooseZone(now time.Time, own spillover.Placement, need spillover.Need) (spillover.Decision, string) {
	p := e.s.spiller
	states, ownEntries := e.s.peers.Zones(now)
	query := spillover.Query{Need: need, Own: own, OwnEntries: ownEntries, Draw: e.s.randomFloat()}
	for _, state := range states {
		query.Zones = append(query.Zones, spillover.Zone{Name: state.Zone, Entries: state.EntryCount, Summary: state.Summary, AsOf: state.AsOf})
	}
	p.mu.Lock()
	decision := p.zones.Choose(now, query)
	p.mu.Unlock()
	address := ""
	if decision.Zone != "" {
		running := e.s.peers.EntriesToAsk(now, decision.Zone)
		p.mu.Lock()
		address = p.zones.Entry(now, running)
		p.mu.Unlock()
	}
	line := e.s.log.WithFields(logrus.Fields{"request": e.info.ID, "zone": decision.Zone, "entry": address, "reason": decision.Reason,
		"stateAgeMs": decision.Age.Milliseconds(), "room": decision.Room, "share": decision.Share, "underWay": decision.UnderWay,
		"ownPredictedMs": own.Predicted.Milliseconds(), "targetLeftMs": need.TargetLeft.Milliseconds()})
	if address == "" {
		line.Debug("no other zone is asked for a placement")
	} else {
		line.Info("placement asked of another zone")
	}
	return decision, address
}

// askOutcome is how a placement request to another zone ended. The values are used in log lines and metric names.
type askOutcome string

const (
	askPlaced    askOutcome = "placed"
	askRefused   askOutcome = "refused"
	askUnused    askOutcome = "unused"    // accepted, but the own zone is predicted to serve the request sooner
	askLost      askOutcome = "lost"      // without a reply in time
	askWithdrawn askOutcome = "withdrawn" // the request has ended meanwhile
)

// concludeAsk records the end of a placement request, and returns the choice if it is placed.
func (e *exchange) concludeAsk(own spillover.Placement, zone, address, id string, reply peering.PlacementReply, err error) (placement.Choice, askOutcome) {
	p, now := e.s.spiller, time.Now()
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if errors.Is(err, peerlink.ErrNoReply) {
			p.zones.Lost(now, id)
			return placement.Choice{}, askLost
		}
		p.zones.Withdrawn(id)
		return placement.Choice{}, askWithdrawn
	}
	p.mu.Lock()
	preferred := p.zones.Prefers(own, zone, reply.Predicted)
	p.mu.Unlock()
	if reply.Server != "" && !preferred {
		e.s.peers.CancelPlacement(address, id)
		p.replied(now, id, true)
		return placement.Choice{}, askUnused
	}
	choice, placed := e.takePlacement(address, id, reply)
	p.replied(now, id, placed)
	if !placed {
		return placement.Choice{}, askRefused
	}
	return choice, askPlaced
}

func (p *spiller) replied(now time.Time, id string, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones.Replied(now, id, accepted)
}

// updateZones removes what is no longer needed of the other zones, and updates their gauges. Only the tick loop calls
// it.
func (s *Server) updateZones(now time.Time) {
	if s.spiller == nil {
		return
	}
	states, _ := s.peers.Zones(now)
	s.spiller.mu.Lock()
	s.spiller.zones.Expire(now, func(zone string) bool {
		return slices.ContainsFunc(states, func(state peering.ZoneState) bool { return state.Zone == zone })
	})
	s.spiller.mu.Unlock()
	for _, state := range states {
		free, age := int64(0), int64(-1) // not heard
		if state.Summary != nil {
			age = now.Sub(state.AsOf).Milliseconds()
			for _, service := range state.Summary.Services {
				free += int64(service.FreeSlots)
			}
		}
		metrics.GetOrRegisterGauge("zone."+state.Zone+".freeSlots", s.registry).Update(free)
		metrics.GetOrRegisterGauge("zone."+state.Zone+".stateAgeMs", s.registry).Update(age)
	}
}

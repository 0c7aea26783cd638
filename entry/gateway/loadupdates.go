package gateway

import (
	"slices"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

const (
	// flushDelay batches first events and ends into one datagram. A begin is sent at once, with
	// what has been batched: until another entry learns of it, that entry may choose the same
	// server.
	flushDelay = 4 * time.Millisecond
	// maxDispatches bounds the dispatches of a message so that it fits into one packet of a usual
	// link (1,500 bytes); one with sixteen helpers takes some 400 bytes.
	maxDispatches = 3
)

// outbox holds the load updates that wait to be sent: under the empty name those for the local
// entries, and under a zone's name those for the entries of another zone whose servers a request
// uses.
type outbox struct {
	pending  map[string]*peering.Message
	flushing bool
}

// to returns the pending message for a zone.
func (o *outbox) to(zone string) *peering.Message {
	if o.pending == nil {
		o.pending = map[string]*peering.Message{}
	}
	if o.pending[zone] == nil {
		o.pending[zone] = &peering.Message{}
	}
	return o.pending[zone]
}

// dispatchRef identifies a dispatch that is tracked in the load tables.
type dispatchRef struct {
	id string
	// remoteZones are the other zones whose servers it uses while routing is zone-local.
	remoteZones []string
}

// trackBegin adds a dispatch to the load tables of this entry and of its peers.
func (s *Server) trackBegin(d placement.Dispatch, choice placement.Choice, engine *enginemodel.Engine) dispatchRef {
	s.mu.Lock()
	s.loadTable.Begin(time.Now(), d, engine, choice.Predicted)
	s.mu.Unlock()
	ref := dispatchRef{id: d.ID, remoteZones: s.peers.remoteZones(choice)}
	s.peers.enqueue(ref, func(m *peering.Message) { m.Dispatches = append(m.Dispatches, d) })
	// Sent at once, but in its own goroutine: on a small host the messages to some thirty entries
	// take milliseconds.
	go s.peers.flush()
	return ref
}

func (s *Server) trackFirstEvent(ref dispatchRef) {
	s.mu.Lock()
	s.loadTable.FirstEvent(time.Now(), ref.id)
	s.mu.Unlock()
	s.peers.enqueue(ref, func(m *peering.Message) { m.FirstEvents = append(m.FirstEvents, ref.id) })
	s.peers.scheduleFlush()
}

func (s *Server) trackEnd(ref dispatchRef) {
	s.mu.Lock()
	s.loadTable.End(time.Now(), ref.id)
	s.mu.Unlock()
	s.peers.enqueue(ref, func(m *peering.Message) { m.Ended = append(m.Ended, ref.id) })
	s.peers.scheduleFlush()
}

// remoteZones returns the other zones of a choice's servers; none while routing is not zone-local,
// since all entries are then notified anyway.
func (p *peerTransport) remoteZones(choice placement.Choice) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.group.LocalRouting() {
		return nil
	}
	var zones []string
	for i := range len(choice.Helpers) + 1 {
		zone := choice.ServerAt(i).Zone
		if zone != p.s.settings.Zone && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// enqueue adds to the load updates for all entries that are concerned by a dispatch.
func (p *peerTransport) enqueue(ref dispatchRef, add func(*peering.Message)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(p.outbox.to(""))
	for _, zone := range ref.remoteZones {
		add(p.outbox.to(zone))
	}
}

// scheduleFlush sends the pending load updates after flushDelay.
func (p *peerTransport) scheduleFlush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outbox.flushing {
		return
	}
	p.outbox.flushing = true
	time.AfterFunc(flushDelay, p.flush)
}

// flush sends the pending load updates.
func (p *peerTransport) flush() {
	now := time.Now()
	p.mu.Lock()
	pending := p.outbox.pending
	p.outbox = outbox{}
	targets := map[string][]string{}
	for zone := range pending {
		targets[zone] = p.updateTargets(now, zone)
	}
	p.mu.Unlock()
	for zone, updates := range pending {
		updates.Relay = zone != ""
		p.sendLoadUpdates(targets[zone], *updates)
	}
}

// updateTargets returns the entries that get the updates for a zone: the local ones for the empty
// name, else the relays of that zone. The caller holds the lock.
func (p *peerTransport) updateTargets(now time.Time, zone string) []string {
	if zone == "" {
		return p.group.Local(now)
	}
	return p.group.Relays(now, zone)
}

// relay forwards load updates from another zone to the local entries.
func (p *peerTransport) relay(m peering.Message) {
	p.enqueue(dispatchRef{}, func(updates *peering.Message) {
		updates.Dispatches = append(updates.Dispatches, m.Dispatches...)
		updates.FirstEvents = append(updates.FirstEvents, m.FirstEvents...)
		updates.Ended = append(updates.Ended, m.Ended...)
		updates.Records = append(updates.Records, m.Records...)
		updates.Limits = append(updates.Limits, m.Limits...)
	})
	go p.flush()
}

func (p *peerTransport) sendLoadUpdates(targets []string, updates peering.Message) {
	p.sendRecords(targets, updates.Records, updates.Relay)
	p.sendLimits(targets, updates.Limits, updates.Relay)
	updates.Records, updates.Limits = nil, nil
	for len(updates.Dispatches) > maxDispatches {
		p.send(targets, peering.Message{Dispatches: updates.Dispatches[:maxDispatches], Relay: updates.Relay})
		updates.Dispatches = updates.Dispatches[maxDispatches:]
	}
	if updates.HasEvents() {
		p.send(targets, updates)
	}
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
}

// sendOpenDispatches sends all open dispatches to an entry that has started or was cut off. Until
// those end, it would otherwise send prompts to servers that are full.
func (p *peerTransport) sendOpenDispatches(now time.Time, target string) {
	p.s.mu.Lock()
	dispatches, firstEvents := p.s.loadTable.OpenDispatches(now)
	p.s.mu.Unlock()
	targets := []string{target}
	for part := range slices.Chunk(dispatches, maxDispatches) {
		p.send(targets, peering.Message{Dispatches: part})
	}
	if len(firstEvents) > 0 {
		p.send(targets, peering.Message{FirstEvents: firstEvents})
	}
}

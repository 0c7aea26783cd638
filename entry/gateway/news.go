package gateway

import (
	"slices"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

const (
	// flushDelay gathers first events and ends into one datagram. A begin goes out
	// at once, with what was gathered: a choice that another entry makes before it
	// hears of it may take the same server.
	flushDelay = 4 * time.Millisecond
	// maxDispatches bounds the dispatches of a message so that it stays within
	// one packet of a usual link (1,500 bytes); one with sixteen helpers takes
	// some 400 bytes.
	maxDispatches = 3
)

// outbox is the news that wait to be sent: for the near entries under the empty name,
// and for the entries of other zones whose servers a request uses under their zones'.
type outbox struct {
	pending  map[string]*peering.Message
	flushing bool
}

// to returns the message that gathers the news for a zone.
func (o *outbox) to(zone string) *peering.Message {
	if o.pending == nil {
		o.pending = map[string]*peering.Message{}
	}
	if o.pending[zone] == nil {
		o.pending[zone] = &peering.Message{}
	}
	return o.pending[zone]
}

// dispatchRef is a try that is in the books.
type dispatchRef struct {
	id string
	// remoteZones are the other zones whose servers it uses while entries keep to their own.
	remoteZones []string
}

// trackBegin books a try here and with the other entries.
func (s *Server) trackBegin(d placement.Dispatch, choice placement.Choice, engine *enginemodel.Engine) dispatchRef {
	s.mu.Lock()
	s.book.Begin(time.Now(), d, engine, choice.Predicted)
	s.mu.Unlock()
	b := dispatchRef{id: d.ID, remoteZones: s.peers.remoteZones(choice)}
	s.peers.enqueue(b, func(m *peering.Message) { m.Begun = append(m.Begun, d) })
	// At once, but not in the request's own way: on a small host the messages to some
	// thirty entries take milliseconds.
	go s.peers.flush()
	return b
}

func (s *Server) trackFirstEvent(b dispatchRef) {
	s.mu.Lock()
	s.book.FirstEvent(time.Now(), b.id)
	s.mu.Unlock()
	s.peers.enqueue(b, func(m *peering.Message) { m.First = append(m.First, b.id) })
	s.peers.scheduleFlush()
}

func (s *Server) trackEnd(b dispatchRef) {
	s.mu.Lock()
	s.book.End(time.Now(), b.id)
	s.mu.Unlock()
	s.peers.enqueue(b, func(m *peering.Message) { m.Ended = append(m.Ended, b.id) })
	s.peers.scheduleFlush()
}

// remoteZones returns the other zones of a choice's servers; none while entries share all
// servers, since all are told then.
func (p *peerTransport) remoteZones(choice placement.Choice) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.group.Divided() {
		return nil
	}
	var zones []string
	for i := range len(choice.Helpers) + 1 {
		zone := choice.At(i).Zone
		if zone != p.s.settings.Zone && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// enqueue adds to the news for all entries that a try concerns.
func (p *peerTransport) enqueue(b dispatchRef, add func(*peering.Message)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(p.outbox.to(""))
	for _, zone := range b.remoteZones {
		add(p.outbox.to(zone))
	}
}

// scheduleFlush sends the news after flushDelay.
func (p *peerTransport) scheduleFlush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outbox.flushing {
		return
	}
	p.outbox.flushing = true
	time.AfterFunc(flushDelay, p.flush)
}

// flush sends the news that wait.
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

// updateTargets returns the entries that are told of the servers of a zone, and pass it on if it is
// another one; empty is for this entry's own. The lock is held.
func (p *peerTransport) updateTargets(now time.Time, zone string) []string {
	if zone == "" {
		return p.group.Near(now)
	}
	return p.group.Relays(now, zone)
}

// relay passes on to near entries what one of another zone has told.
func (p *peerTransport) relay(m peering.Message) {
	p.enqueue(dispatchRef{}, func(updates *peering.Message) {
		updates.Begun = append(updates.Begun, m.Begun...)
		updates.First = append(updates.First, m.First...)
		updates.Ended = append(updates.Ended, m.Ended...)
		updates.Records = append(updates.Records, m.Records...)
	})
	go p.flush()
}

func (p *peerTransport) sendLoadUpdates(targets []string, updates peering.Message) {
	p.sendRecords(targets, updates.Records, updates.Relay)
	updates.Records = nil
	for len(updates.Begun) > maxDispatches {
		p.send(targets, peering.Message{Begun: updates.Begun[:maxDispatches], Relay: updates.Relay})
		updates.Begun = updates.Begun[maxDispatches:]
	}
	if updates.HasNews() {
		p.send(targets, updates)
	}
}

// applyLoadUpdates books what another entry tells of. A restarted entry has lost all that it
// had begun.
func (s *Server) applyLoadUpdates(now time.Time, m peering.Message, restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted {
		s.book.EndFrom(now, m.From)
	}
	for _, d := range m.Begun {
		if engine, ok := s.engineOfIncarnation(d.Server); ok {
			s.book.BeginFrom(now, m.From, d, engine)
		}
	}
	for _, server := range m.Unreachable {
		if _, ok := s.engineOfIncarnation(server); ok {
			s.book.UnreachableFrom(now, server, s.random.Float64())
		}
	}
	for _, id := range m.First {
		s.book.FirstEvent(now, id)
	}
	for _, id := range m.Ended {
		s.book.End(now, id)
	}
}

// sendOpenDispatches tells an entry that has started or was cut off of all that is under way
// here. It would send prompts to servers that are full until those have ended.
func (p *peerTransport) sendOpenDispatches(now time.Time, target string) {
	p.s.mu.Lock()
	begun, first := p.s.book.Open(now)
	p.s.mu.Unlock()
	targets := []string{target}
	for part := range slices.Chunk(begun, maxDispatches) {
		p.send(targets, peering.Message{Begun: part})
	}
	if len(first) > 0 {
		p.send(targets, peering.Message{First: first})
	}
}

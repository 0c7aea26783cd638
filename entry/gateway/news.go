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

// outgoing is the news that wait to be sent: for the near entries under the empty name,
// and for the entries of other zones whose servers a request uses under their zones'.
type outgoing struct {
	pending  map[string]*peering.Message
	flushing bool
}

// to returns the message that gathers the news for a zone.
func (o *outgoing) to(zone string) *peering.Message {
	if o.pending == nil {
		o.pending = map[string]*peering.Message{}
	}
	if o.pending[zone] == nil {
		o.pending[zone] = &peering.Message{}
	}
	return o.pending[zone]
}

// booking is a try that is in the books.
type booking struct {
	id string
	// far are the other zones whose servers it uses while entries keep to their own.
	far []string
}

// bookBegin books a try here and with the other entries.
func (s *Server) bookBegin(d placement.Dispatch, choice placement.Choice, engine *enginemodel.Engine) booking {
	s.mu.Lock()
	s.book.Begin(time.Now(), d, engine, choice.Predicted)
	s.mu.Unlock()
	b := booking{id: d.ID, far: s.peers.farZones(choice)}
	s.peers.tell(b, func(m *peering.Message) { m.Dispatches = append(m.Dispatches, d) })
	// At once, but not in the request's own way: on a small host the messages to some
	// thirty entries take milliseconds.
	go s.peers.flush()
	return b
}

func (s *Server) bookFirst(b booking) {
	s.mu.Lock()
	s.book.FirstEvent(time.Now(), b.id)
	s.mu.Unlock()
	s.peers.tell(b, func(m *peering.Message) { m.FirstEvents = append(m.FirstEvents, b.id) })
	s.peers.flushSoon()
}

func (s *Server) bookEnd(b booking) {
	s.mu.Lock()
	s.book.End(time.Now(), b.id)
	s.mu.Unlock()
	s.peers.tell(b, func(m *peering.Message) { m.Ended = append(m.Ended, b.id) })
	s.peers.flushSoon()
}

// farZones returns the other zones of a choice's servers; none while entries share all
// servers, since all are told then.
func (p *peerExchange) farZones(choice placement.Choice) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.group.LocalRouting() {
		return nil
	}
	var far []string
	for i := range len(choice.Helpers) + 1 {
		zone := choice.ServerAt(i).Zone
		if zone != p.s.settings.Zone && !slices.Contains(far, zone) {
			far = append(far, zone)
		}
	}
	return far
}

// tell adds to the news for all entries that a try concerns.
func (p *peerExchange) tell(b booking, add func(*peering.Message)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(p.outgoing.to(""))
	for _, zone := range b.far {
		add(p.outgoing.to(zone))
	}
}

// flushSoon sends the news after flushDelay.
func (p *peerExchange) flushSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outgoing.flushing {
		return
	}
	p.outgoing.flushing = true
	time.AfterFunc(flushDelay, p.flush)
}

// flush sends the news that wait.
func (p *peerExchange) flush() {
	now := time.Now()
	p.mu.Lock()
	pending := p.outgoing.pending
	p.outgoing = outgoing{}
	targets := map[string][]string{}
	for zone := range pending {
		targets[zone] = p.listeners(now, zone)
	}
	p.mu.Unlock()
	for zone, news := range pending {
		news.Relay = zone != ""
		p.sendNews(targets[zone], *news)
	}
}

// listeners returns the entries that are told of the servers of a zone, and pass it on if it is
// another one; empty is for this entry's own. The lock is held.
func (p *peerExchange) listeners(now time.Time, zone string) []string {
	if zone == "" {
		return p.group.Local(now)
	}
	return p.group.Relays(now, zone)
}

// pass passes on to near entries what one of another zone has told.
func (p *peerExchange) pass(m peering.Message) {
	p.tell(booking{}, func(news *peering.Message) {
		news.Dispatches = append(news.Dispatches, m.Dispatches...)
		news.FirstEvents = append(news.FirstEvents, m.FirstEvents...)
		news.Ended = append(news.Ended, m.Ended...)
		news.Records = append(news.Records, m.Records...)
	})
	go p.flush()
}

func (p *peerExchange) sendNews(targets []string, news peering.Message) {
	p.sendRecords(targets, news.Records, news.Relay)
	news.Records = nil
	for len(news.Dispatches) > maxDispatches {
		p.send(targets, peering.Message{Dispatches: news.Dispatches[:maxDispatches], Relay: news.Relay})
		news.Dispatches = news.Dispatches[maxDispatches:]
	}
	if news.HasEvents() {
		p.send(targets, news)
	}
}

// takeNews books what another entry tells of. A restarted entry has lost all that it
// had begun.
func (s *Server) takeNews(now time.Time, m peering.Message, restarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if restarted {
		s.book.EndPeerDispatches(now, m.From)
	}
	for _, d := range m.Dispatches {
		if engine, ok := s.engineOf(d.Server); ok {
			s.book.BeginPeerDispatch(now, m.From, d, engine)
		}
	}
	for _, server := range m.Unreachable {
		if _, ok := s.engineOf(server); ok {
			s.book.MarkUnreachableByPeer(now, server, s.random.Float64())
		}
	}
	for _, id := range m.FirstEvents {
		s.book.FirstEvent(now, id)
	}
	for _, id := range m.Ended {
		s.book.End(now, id)
	}
}

// tellOpen tells an entry that has started or was cut off of all that is under way
// here. It would send prompts to servers that are full until those have ended.
func (p *peerExchange) tellOpen(now time.Time, target string) {
	p.s.mu.Lock()
	begun, first := p.s.book.OpenDispatches(now)
	p.s.mu.Unlock()
	targets := []string{target}
	for part := range slices.Chunk(begun, maxDispatches) {
		p.send(targets, peering.Message{Dispatches: part})
	}
	if len(first) > 0 {
		p.send(targets, peering.Message{FirstEvents: first})
	}
}

package peerlink

import (
	"slices"
	"time"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/waiting"
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
	// granted holds the slots that are passed on to peers, sent after the ends that made them free.
	granted []grant
}

type grant struct {
	peer   string
	report waiting.Report
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

// DispatchRef identifies a dispatch that is tracked in the load tables.
type DispatchRef struct {
	ID string
	// RemoteZones are the other zones whose servers it uses while routing is zone-local.
	RemoteZones []string
}

// SendBegin reports a dispatch to all entries that it concerns.
func (l *Link) SendBegin(ref DispatchRef, d placement.Dispatch) {
	l.enqueue(ref, func(m *peering.Message) { m.Dispatches = append(m.Dispatches, d) })
	// Sent at once, but in its own goroutine: on a small host the messages to some thirty entries
	// take milliseconds.
	go l.flush()
}

// SendFirstEvent reports the first event of a dispatch.
func (l *Link) SendFirstEvent(ref DispatchRef) {
	l.enqueue(ref, func(m *peering.Message) { m.FirstEvents = append(m.FirstEvents, ref.ID) })
	l.scheduleFlush()
}

// SendEnd reports the end of a dispatch.
func (l *Link) SendEnd(ref DispatchRef) {
	l.enqueue(ref, func(m *peering.Message) { m.Ended = append(m.Ended, ref.ID) })
	l.scheduleFlush()
}

// SendUnreachable reports a server that accepts no requests to the local entries.
func (l *Link) SendUnreachable(server string) {
	l.enqueue(DispatchRef{}, func(m *peering.Message) { m.Unreachable = append(m.Unreachable, server) })
	l.scheduleFlush()
}

// FlushDelay is the time for which first events, ends and reports of queues are batched.
const FlushDelay = flushDelay

// SendQueue reports the state of a queue of requests that wait for a slot to the local entries. A newer report replaces
// one that isn't sent yet.
func (l *Link) SendQueue(r waiting.Report) {
	l.enqueue(DispatchRef{}, func(m *peering.Message) {
		m.Queue = append(slices.DeleteFunc(m.Queue, func(other waiting.Report) bool { return other.Service == r.Service }), r)
	})
	l.scheduleFlush()
}

// PassSlot tells a peer that it may use the slots of Report.Granted, after the ends that are reported so far.
func (l *Link) PassSlot(peer string, r waiting.Report) {
	l.mu.Lock()
	l.outbox.granted = append(l.outbox.granted, grant{peer, r})
	l.mu.Unlock()
	l.scheduleFlush()
}

// RemoteZones returns the other zones of a choice's servers; none while routing is not zone-local,
// since all entries are then notified anyway.
func (l *Link) RemoteZones(choice placement.Choice) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.group.LocalRouting() {
		return nil
	}
	var zones []string
	for i := range len(choice.Helpers) + 1 {
		zone := choice.ServerAt(i).Zone
		if zone != l.options.Zone && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// enqueue adds to the load updates for all entries that are concerned by a dispatch.
func (l *Link) enqueue(ref DispatchRef, add func(*peering.Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(l.outbox.to(""))
	for _, zone := range ref.RemoteZones {
		add(l.outbox.to(zone))
	}
}

// scheduleFlush sends the pending load updates after flushDelay.
func (l *Link) scheduleFlush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outbox.flushing {
		return
	}
	l.outbox.flushing = true
	time.AfterFunc(flushDelay, l.flush)
}

// flush sends the pending load updates.
func (l *Link) flush() {
	now := time.Now()
	l.mu.Lock()
	pending, granted := l.outbox.pending, l.outbox.granted
	l.outbox = outbox{}
	targets := map[string][]string{}
	for zone := range pending {
		targets[zone] = l.updateTargets(now, zone)
	}
	l.mu.Unlock()
	for zone, updates := range pending {
		updates.Relay = zone != ""
		l.sendLoadUpdates(targets[zone], *updates)
	}
	for _, g := range granted {
		l.send([]string{g.peer}, peering.Message{Queue: []waiting.Report{g.report}})
	}
}

// updateTargets returns the entries that get the updates for a zone: the local ones for the empty
// name, else the relays of that zone. The caller holds the lock.
func (l *Link) updateTargets(now time.Time, zone string) []string {
	if zone == "" {
		return l.group.Local(now)
	}
	return l.group.Relays(now, zone)
}

// relay forwards load updates from another zone to the local entries.
func (l *Link) relay(m peering.Message) {
	l.enqueue(DispatchRef{}, func(updates *peering.Message) {
		updates.Dispatches = append(updates.Dispatches, m.Dispatches...)
		updates.FirstEvents = append(updates.FirstEvents, m.FirstEvents...)
		updates.Ended = append(updates.Ended, m.Ended...)
		updates.Records = append(updates.Records, m.Records...)
		updates.PartRecords = append(updates.PartRecords, m.PartRecords...)
		updates.Limits = append(updates.Limits, m.Limits...)
	})
	go l.flush()
}

func (l *Link) sendLoadUpdates(targets []string, updates peering.Message) {
	l.sendRecords(targets, updates.Records, updates.Relay)
	l.sendPartRecords(targets, updates.PartRecords, updates.Relay)
	l.sendLimits(targets, updates.Limits, updates.Relay)
	l.sendClaims(targets, updates.Claims)
	updates.Records, updates.PartRecords, updates.Limits, updates.Claims = nil, nil, nil, nil
	for len(updates.Dispatches) > maxDispatches {
		l.send(targets, peering.Message{Dispatches: updates.Dispatches[:maxDispatches], Relay: updates.Relay})
		updates.Dispatches = updates.Dispatches[maxDispatches:]
	}
	if updates.HasEvents() || len(updates.Queue) > 0 {
		l.send(targets, updates)
	}
}

// sendOpenDispatches sends all open dispatches to an entry that has started or was cut off. Until
// those end, it would otherwise send prompts to servers that are full.
func (l *Link) sendOpenDispatches(now time.Time, target string) {
	dispatches, firstEvents := l.options.Loads.OpenDispatches(now)
	targets := []string{target}
	for part := range slices.Chunk(dispatches, maxDispatches) {
		l.send(targets, peering.Message{Dispatches: part})
	}
	if len(firstEvents) > 0 {
		l.send(targets, peering.Message{FirstEvents: firstEvents})
	}
}

package peerlink

import (
	"context"
	"time"

	"arbutusdeck/core/peering"
)

// crossZoneTimeout bounds the wait for a placement reply: some ten round trips between zones.
const crossZoneTimeout = 40 * time.Millisecond

// placementReply delivers the reply to a placement request.
type placementReply chan peering.PlacementReply

// RequestPlacement sends a placement request and waits for its reply. Without a reply in time the
// placement is cancelled, since the remote entry may have it in its load table.
func (l *Link) RequestPlacement(ctx context.Context, address string, request peering.PlacementRequest) peering.PlacementReply {
	replies := make(placementReply, 1)
	id := request.Dispatch.ID
	l.mu.Lock()
	l.placementReplies[id] = replies
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.placementReplies, id)
		l.mu.Unlock()
	}()
	l.send([]string{address}, peering.Message{PlacementRequest: &request})
	timer := time.NewTimer(crossZoneTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	l.CancelPlacement(address, id)
	return peering.PlacementReply{}
}

// CancelPlacement tells the entry that has placed a request that the dispatch is not sent.
func (l *Link) CancelPlacement(address, id string) {
	l.send([]string{address}, peering.Message{Ended: []string{id}})
}

// deliverPlacement passes a placement reply to the request that waits for it.
func (l *Link) deliverPlacement(reply peering.PlacementReply) {
	l.mu.Lock()
	replies := l.placementReplies[reply.ID]
	delete(l.placementReplies, reply.ID)
	l.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}

package peerlink

import (
	"context"
	"errors"
	"time"

	"arbutusdeck/core/peering"
)

// CrossZoneTimeout bounds the wait for a placement reply: some ten round trips between zones.
const CrossZoneTimeout = 40 * time.Millisecond

// ErrNoReply is returned for a placement request without a reply within CrossZoneTimeout.
var ErrNoReply = errors.New("no reply to the placement request")

// placementReply delivers the reply to a placement request.
type placementReply chan peering.PlacementReply

// RequestPlacement sends a placement request and waits for its reply. Without a reply in time the
// placement is cancelled, since the remote entry may have it in its load table, and the error is
// ErrNoReply, or that of the context.
func (l *Link) RequestPlacement(ctx context.Context, address string, request peering.PlacementRequest) (peering.PlacementReply, error) {
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
	timer := time.NewTimer(CrossZoneTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, nil
	case <-timer.C:
		l.CancelPlacement(address, id)
		return peering.PlacementReply{}, ErrNoReply
	case <-ctx.Done():
		l.CancelPlacement(address, id)
		return peering.PlacementReply{}, ctx.Err()
	}
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

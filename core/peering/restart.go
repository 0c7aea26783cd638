package peering

import "time"

// TimeToNextServing returns an upper bound on the time until callers reach another entry that accepts requests; 0
// if they do now. limit bounds the duration of a graceful shutdown. It returns false if no other entry is expected
// to accept requests.
func (g *Group) TimeToNextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, m := range g.members {
		wait, ok := m.nextServing(now, limit)
		if ok && (!found || wait < soonest) {
			soonest, found = wait, true
		}
	}
	return soonest, found
}

func (m *member) nextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	unheardFor := now.Sub(m.lastHeard)
	switch {
	case m.lastHeard.IsZero():
		return 0, false
	case m.stopping:
		return max(m.stoppedAt.Add(limit).Sub(now), 0) + RestartTime + BalancerDelay, unheardFor < limit+RestartTime
	case m.servingSince.IsZero():
		return RestartTime + BalancerDelay, unheardFor < AliveFor
	}
	return max(m.servingSince.Add(BalancerDelay).Sub(now), 0), unheardFor < AliveFor
}

const (
	// RestartTime is the time from an entry's exit until it serves again: the platform's delay before a start,
	// and the first read of the store.
	RestartTime = 600 * time.Millisecond
	// BalancerDelay is the time until the platform's load balancer, which polls once a second, sends callers to
	// an entry that has begun to serve. A caller that retries earlier reaches a stopping entry and is refused
	// again.
	BalancerDelay = 1200 * time.Millisecond
)

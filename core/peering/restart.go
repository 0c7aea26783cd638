package peering

import "time"

// TimeToNextServing is how long it takes at most until callers reach another entry that takes
// requests; 0 if they do now. limit is how long a planned stop takes at most. It returns
// false if no other entry is known to come back.
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
	// RestartTime is how long an entry takes from its end to serving again: the platform's
	// delay before a start, and the first read of the store.
	RestartTime = 600 * time.Millisecond
	// BalancerDelay is how long the platform's balancer takes to send callers to an entry
	// that has begun to serve: it asks once a second. A caller that comes back sooner is
	// sent to one that stops, and refused again.
	BalancerDelay = 1200 * time.Millisecond
)

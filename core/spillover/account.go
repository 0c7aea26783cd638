package spillover

import (
	"math"
	"time"
)

// zone is what this entry has learned of another zone by asking it.
type zone struct {
	// accounts are those of short and of long prompts: a zone may have slots and no memory.
	short, long account
	// response and deviation are the smoothed response time of placement replies and its mean deviation.
	response, deviation time.Duration
	// receivedAt is the last time at which the own zone took a request of this one.
	receivedAt time.Time
}

// account is what this entry may send to a zone for one kind of need.
type account struct {
	// asOf is the time of the summary that share was computed from.
	asOf time.Time
	// share is the number of requests that this entry may have under way.
	share int
	// trust is the part of the stated room that counts, from minTrust to 1; 0 before the first summary.
	trust float64
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
}

// trustStep is the factor by which a refusal lowers the trust, and by which an acceptance, or a summary that follows
// no refusal, restores it. minTrust bounds it, so that a zone that refused for long is believed again within six
// summaries.
const (
	trustStep = 2
	minTrust  = 1.0 / 64
)

// renew computes the share from a newer summary: this entry's part of the room, rounded up or down at random, and at
// least one request, with the probability of the trust. A part far below one would leave most of the room unused: an
// entry of a large fleet seldom has a request for the part that it got, and an ask that is refused costs one round trip.
func (a *account) renew(asOf time.Time, part, draw float64) {
	if !asOf.After(a.asOf) {
		return
	}
	if a.trust == 0 {
		a.trust = 1
	} else if a.refusedAt.Before(a.asOf) {
		a.restoreTrust()
	}
	a.asOf, a.share = asOf, int(math.Floor(max(part, 0)*a.trust+draw))
	if part > 0 && draw < a.trust {
		a.share = max(a.share, 1)
	}
}

func (a *account) restoreTrust() { a.trust = min(a.trust*trustStep, 1) }

func (a *account) refused(now time.Time) {
	a.refusedAt = now
	a.trust = max(a.trust/trustStep, minTrust)
}

func (s *Spillover) zone(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{}
		s.zones[name] = z
	}
	return z
}

func (z *zone) account(need Need) *account {
	if need.Long {
		return &z.long
	}
	return &z.short
}

// responseTime returns a response time that few replies exceed: the mean and four deviations, as for retransmission
// timeouts of TCP (RFC 6298); unmeasured until there was a reply.
func (z *zone) responseTime(unmeasured time.Duration) time.Duration {
	if z.response == 0 {
		return unmeasured
	}
	return min(z.response+4*z.deviation, unmeasured)
}

// observeResponse updates the response time with the weights of RFC 6298.
func (z *zone) observeResponse(took time.Duration) {
	if z.response == 0 {
		z.response, z.deviation = max(took, 1), took/2
		return
	}
	z.deviation += ((took - z.response).Abs() - z.deviation) / 4
	z.response += (took - z.response) / 8
}

// ask is a placement request of this entry that a zone has not answered, or whose answer was lost.
type ask struct {
	zone, entry string
	need        Need
	at          time.Time
	lost        bool
}

// Sent records that an entry of a zone was asked for a placement; id names the request.
func (s *Spillover) Sent(now time.Time, id, zone, entry string, need Need) {
	s.asks[id] = &ask{zone: zone, entry: entry, need: need, at: now}
}

// Replied records the reply to a request. Replies to unknown requests, and those that come after Lost, are ignored.
func (s *Spillover) Replied(now time.Time, id string, accepted bool) {
	asked := s.asks[id]
	if asked == nil || asked.lost {
		return
	}
	delete(s.asks, id)
	delete(s.silent, asked.entry)
	z := s.zone(asked.zone)
	z.observeResponse(now.Sub(asked.at))
	a := z.account(asked.need)
	if !accepted {
		a.refused(now)
		return
	}
	a.restoreTrust()
}

// Lost records that no reply came in time. The request may have been placed before it is cancelled, so it counts as
// under way until a summary is newer than it. The entry that didn't reply is asked last for StateTTL.
func (s *Spillover) Lost(now time.Time, id string) {
	if asked := s.asks[id]; asked != nil {
		asked.lost = true
		s.silent[asked.entry] = now
	}
}

// Withdrawn records that the caller of a request has gone, or that the request was not sent. Like one without a
// reply it may have been placed.
func (s *Spillover) Withdrawn(id string) {
	if asked := s.asks[id]; asked != nil {
		asked.lost = true
	}
}

// underWay counts the requests to a zone without a reply, and removes those that were lost before a time.
func (s *Spillover) underWay(zone string, long bool, lostSince time.Time) int {
	count := 0
	for id, asked := range s.asks {
		if asked.zone != zone || asked.need.Long != long {
			continue
		}
		if asked.lost && asked.at.Before(lostSince) {
			delete(s.asks, id)
			continue
		}
		count++
	}
	return count
}

// Entry returns the entry to ask of those of a zone that run, in the order of preference: the first one that has not
// left a request without a reply within StateTTL, or else the first. It is empty if there is none.
func (s *Spillover) Entry(now time.Time, running []string) string {
	for _, address := range running {
		if !s.lately(now, s.silent[address]) {
			return address
		}
	}
	if len(running) == 0 {
		return ""
	}
	return running[0]
}

// Expire removes what has no effect any more: asks that were lost and zones that are no longer known.
func (s *Spillover) Expire(now time.Time, known func(zone string) bool) {
	for id, asked := range s.asks {
		if asked.lost && !s.lately(now, asked.at) {
			delete(s.asks, id)
		}
	}
	for address, at := range s.silent {
		if !s.lately(now, at) {
			delete(s.silent, address)
		}
	}
	for name := range s.zones {
		if !known(name) {
			delete(s.zones, name)
		}
	}
}

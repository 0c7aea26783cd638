package placement

import (
	"time"

	"arbutusdeck/core/waiting"
)

// Supply returns the slots of the servers of a query that accept requests, how many of them are free, and the mean time
// for which requests have held one. The query is restricted as for a choice. The number of entries is left to the
// caller. The supply is zero for a plain service.
func (t *LoadTable) Supply(now time.Time, q Query) waiting.Supply {
	var supply waiting.Supply
	if q.Engine == nil {
		return supply
	}
	held, measured := time.Duration(0), 0
	for s := range t.accepting(now, q) {
		supply.Slots += q.Engine.Slots
		supply.Free += max(q.Engine.Slots-s.requests(), 0)
		if s.holdTime > 0 {
			held, measured = held+s.holdTime, measured+1
		}
	}
	if measured > 0 {
		supply.HoldTime = held / time.Duration(measured)
	}
	return supply
}

// holdWeight is the weight of the latest request in a server's smoothed hold time: with 16 slots the mean covers about
// the last two requests of each.
const holdWeight = 1.0 / 32

// observeHold learns from a dispatch that has ended how long a request holds a slot. One without a first event shows
// nothing: it was refused or broken off. Dispatches whose ends weren't heard are not passed to this method.
func (t *LoadTable) observeHold(now time.Time, a *activeDispatch) {
	if a == nil || !a.answering {
		return
	}
	s := t.servers[a.dispatch.Server]
	if s == nil {
		return
	}
	held := now.Sub(a.began)
	if s.holdTime == 0 {
		s.holdTime = held
		return
	}
	s.holdTime += time.Duration(holdWeight * float64(held-s.holdTime))
}

// Worth returns the value of an answer to a prompt in time and that of a late one, in short requests.
func (t *LoadTable) Worth(promptTokens int64) (inTime, late float64) {
	value := t.value(promptTokens)
	return value, (1 - t.options.LateLoss) * value
}

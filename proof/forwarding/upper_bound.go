package forwarding

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"arbutusdeck/core/enginemodel"
)

// The upper bound is a worth that no scheduler can exceed, even with full knowledge of arrivals and of
// the state of the engines. It solves a relaxed problem:
//
//   - Every response is worth at least what a late one is worth.
//   - A response can be in time only if some entry runs to deliver its first event within the target,
//     and if no outage of all entries cuts it off however fast it is written.
//   - Responses in time need their prefill before their target. The prefills of the requests that
//     arrive in a segment lie between its start and its end plus the longest target, and are limited by
//     the time of all engines in that span. Requests fill it in the order of their gain per millisecond of
//     prefill, the last one in part.
//
// Each step only drops constraints (dividing a prompt costs nothing, writing takes no time from
// prefills, slots, memory and gaps don't count, requests of other segments take nothing), so no
// schedule can earn more.

// segmentMs is the length of a segment in milliseconds. Shorter segments count the time after their
// end more often, longer ones average over changes of the mix. For Sanad at 1.2 times the load with a
// restart, 2, 4, 8 and 16 s give the same bound, 0.976: prefill time is not the binding constraint
// there.
const segmentMs = 8000

// candidate is the part of a request that the upper bound depends on.
type candidate struct {
	at, target, workMs float64
	gain               float64
}

// upperBound returns a worth that can't be exceeded, as a share of the demand.
func (s *simulation) upperBound() float64 {
	segments := map[int][]candidate{}
	longestTargetMs, demand, worth := 0.0, 0.0, 0.0
	for _, r := range s.requests {
		full, late := r.class.worth(float64(r.promptTokens))
		demand += full
		worth += late
		a := candidate{at: r.arrived, target: ms(r.class.Target), workMs: s.deployment.Engine.PrefillMs(r.promptTokens, 1), gain: full - late}
		if !s.canBeInTime(r, a) {
			continue
		}
		longestTargetMs = max(longestTargetMs, a.target)
		index := int(a.at / segmentMs)
		segments[index] = append(segments[index], a)
	}
	for _, index := range slices.Sorted(maps.Keys(segments)) {
		worth += fillSegment(segments[index], float64(s.deployment.Engines)*(segmentMs+longestTargetMs))
	}
	return worth / demand
}

// fillSegment takes requests in the order of their gain per millisecond of prefill until the capacity
// is used up, and returns their gain.
func fillSegment(segment []candidate, capacityMs float64) float64 {
	slices.SortFunc(segment, func(x, y candidate) int { return cmp.Compare(y.gain/y.workMs, x.gain/x.workMs) })
	gained := 0.0
	for _, a := range segment {
		share := math.Min(1, capacityMs/a.workMs)
		gained += share * a.gain
		capacityMs -= share * a.workMs
	}
	return gained
}

// canBeInTime tells whether a response could be in time despite the outages of all entries.
func (s *simulation) canBeInTime(r *request, a candidate) bool {
	alone := s.deployment.Engine.PassMs(enginemodel.Batch{Answers: 1, ContextTokens: r.promptTokens}) / float64(s.deployment.Engine.Stride)
	writing := float64(r.outputTokens) * alone
	for _, outage := range s.deployment.Outages {
		if outage.Entries != 0 && outage.Entries != s.deployment.Entries {
			continue
		}
		from, back := ms(outage.From), ms(outage.From+outage.For)
		if a.at >= from && a.at+a.target < back || a.at < from && a.at+writing > from {
			return false
		}
	}
	return true
}

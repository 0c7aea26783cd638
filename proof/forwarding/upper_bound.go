package forwarding

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"arbutusdeck/core/enginemodel"
)

// The limit of a day is a worth that no scheduler can exceed, one with full knowledge of
// arrivals and of the engines' state included. It is the answer to an easier problem:
//
//   - Every answer is worth at least what a late one is worth.
//   - An answer can be in time only if some entry runs to give it its first event within its
//     target, and if it is not cut by the end of all entries however fast it is written.
//   - Those in time need their reading before their targets. Of the requests that arrive in a
//     segment of the day, the reading lies between its begin and its end plus the longest
//     target; all engines together can't read more in that time. The segment's requests fill
//     it by their gain for each millisecond of reading, the last one in part.
//
// Each step only leaves conditions out (division costs nothing, writing takes no time from
// reading, slots, memory and pauses don't count, requests of other segments take nothing), so
// no schedule can earn more.

// segmentMs is the length of a segment in milliseconds. Shorter ones count the time after
// their end more often, longer ones see less of a turn. On the shops' day at 1.2 times the load
// with a restart, 2, 4, 8 and 16 s give the same limit, 0.976: reading alone does not bind
// there.
const segmentMs = 8000

// asked is what the limit needs to know of a request.
type candidate struct {
	at, target, workMs float64
	gain               float64
}

// limit returns a worth that can't be exceeded, as a share of what is owed.
func (s *simulation) upperBound() float64 {
	segments := map[int][]candidate{}
	longestTargetMs, owed, worth := 0.0, 0.0, 0.0
	for _, r := range s.requests {
		full, late := r.class.worth(float64(r.promptTokens))
		owed += full
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
	return worth / owed
}

// fill takes requests by their gain for each millisecond of reading until the room is full.
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

// reachable says whether a request could be in time though all entries are away for a time.
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

package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arbutusdeck/core/enginemodel"
)

// chooseParts selects the best servers for a prompt that is divided into a number of parts.
func (t *LoadTable) chooseParts(now time.Time, candidates []*candidate, q Query, parts int) (Choice, bool) {
	q.parts = parts
	prefillMs := q.Engine.PrefillMs(q.PromptTokens, parts)
	ranked := t.rank(now, candidates, q, prefillMs, parts > 1)
	first := t.pickFirst(ranked, q, parts)
	if first < 0 {
		return Choice{}, false
	}
	group := newGroup(&ranked[first])
	for len(group.members) < parts {
		group.add(group.cheapest(ranked))
	}
	chosen := group.members
	reserved, ok := t.reserveMemory(chosen, q)
	if !ok {
		return Choice{}, false
	}
	choice := Choice{Server: chosen[0].Server, Load: chosen[0].load(now), Unreachable: chosen[0].state.health.inBackoff(now), Reserved: reserved,
		othersLoss: group.others, SlotsTaken: chosen[0].requests >= q.Engine.Slots}
	slowest, p90 := 0.0, 0.0
	for _, c := range chosen {
		slowest = max(slowest, t.firstEventMs(c, q, prefillMs))
		p90 = max(p90, t.p90Ms(c, q, prefillMs))
	}
	if t.learned != nil && parts > 1 {
		p90 = max(slowest, slowest*t.dividedP90(now, chosen[0].Service))
	}
	for _, c := range chosen[1:] {
		choice.Helpers = append(choice.Helpers, c.Server)
	}
	choice.Predicted = enginemodel.MillisToDuration(slowest) + t.options.NetworkTime
	choice.FirstEvent = choice.Predicted - enginemodel.MillisToDuration(slotWaitMs(chosen[0], q, chosen[0].passMs))
	if t.learned != nil {
		choice.P90 = enginemodel.MillisToDuration(p90) + t.options.NetworkTime
	}
	choice.AnswerTime = chosen[0].answering(q, parts)
	if reserved != nil && q.ReservationTimeout > 0 && choice.Predicted > q.ReservationTimeout {
		return Choice{}, false
	}
	choice.Loss = group.loss + t.lateLoss(q, choice.Predicted) + float64(parts)*t.options.PartLoss
	return choice, true
}

type ranked struct {
	*candidate
	// loss applies to the server that writes the answer, helperLoss to one that only prefills.
	loss, helperLoss float64
	// delays are the parts of helperLoss that prompts waiting here bear.
	delays []delayLoss
	// order is the sort key of the servers. It includes the queueing there, which the whole choice counts
	// only once.
	order float64
	taken bool
}

// delayLoss is the loss of a waiting prompt by a prefill.
type delayLoss struct {
	waiting *Dispatch
	loss    float64
}

// group is the set of servers that prefill the parts of a prompt.
type group struct {
	members []*candidate
	// loss is the total loss by the prefill, others the part of it that other requests bear.
	loss, others float64
	// delayed holds the losses of waiting prompts by the parts chosen so far. The first event of a divided
	// prompt follows its last part, wherever that is, so parts at several of its servers delay it once.
	delayed map[*Dispatch]float64
}

func newGroup(first *ranked) *group {
	g := &group{members: []*candidate{first.candidate}, loss: first.loss, others: first.helperLoss, delayed: map[*Dispatch]float64{}}
	g.recordDelays(first)
	return g
}

// cheapest returns the server at which one more part costs least.
func (g *group) cheapest(all []ranked) *ranked {
	var best *ranked
	lowest := math.Inf(1)
	for i := range all {
		if r := &all[i]; !r.taken && r.order-g.alreadyCounted(r) < lowest {
			best, lowest = r, r.order-g.alreadyCounted(r)
		}
	}
	return best
}

// alreadyCounted returns the loss of prompts waiting at a server that other parts of the group already cause.
func (g *group) alreadyCounted(r *ranked) float64 {
	sum := 0.0
	for _, d := range r.delays {
		sum += math.Min(g.delayed[d.waiting], d.loss)
	}
	return sum
}

func (g *group) add(r *ranked) {
	cost := r.helperLoss - g.alreadyCounted(r)
	g.members = append(g.members, r.candidate)
	g.loss += cost
	g.others += cost
	g.recordDelays(r)
}

func (g *group) recordDelays(r *ranked) {
	r.taken = true
	for _, d := range r.delays {
		g.delayed[d.waiting] = math.Max(g.delayed[d.waiting], d.loss)
	}
}

// rank sorts the servers by the loss of a prefill there.
func (t *LoadTable) rank(now time.Time, candidates []*candidate, q Query, prefillMs float64, split bool) []ranked {
	all := make([]ranked, 0, len(candidates))
	for i, c := range candidates {
		slowed := prefillMs * c.slowdown
		helper := c.loss + t.gapLoss(c, slowed, split)
		var delays []delayLoss
		if split {
			delays = t.delayLosses(now, c, slowed)
		}
		for _, d := range delays {
			helper += d.loss
		}
		// The tie-break rotates the order of equal servers by a random offset.
		tie := math.Mod(float64(i)/float64(len(candidates))+q.TieBreak, 1) * tieLoss
		order := helper + t.queueLoss(q, c, prefillMs) + tie
		all = append(all, ranked{candidate: c, loss: helper + t.answerLoss(c, q), helperLoss: helper, delays: delays, order: order})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.order, b.order) })
	return all
}

const tieLoss = 0.002

// pickFirst returns the index of the server that writes the answer: the best one that has the memory for all
// of it. For a prompt that is larger than any server's memory, which is spread over reservations at several
// servers, it is the best one. It returns -1 if a prompt that would fit an empty server fits none now:
// spreading it as well would take memory from prompts that can be prefilled at less cost.
func (t *LoadTable) pickFirst(all []ranked, q Query, parts int) int {
	need := q.PromptTokens + q.AnswerTokens
	if need <= int64(t.options.MemoryShare*float64(q.Engine.MemoryTokens)) {
		return bestFirst(all, need)
	}
	if parts == 1 {
		return -1
	}
	return bestFirst(all, 0)
}

// bestFirst returns the index of the best server with the needed free memory, or -1.
func bestFirst(all []ranked, need int64) int {
	best := -1
	for i, r := range all {
		if r.free < need {
			continue
		}
		if best < 0 || r.firstOrder() < all[best].firstOrder() {
			best = i
		}
	}
	return best
}

// firstOrder is the sort key of a server for writing the answer.
func (r *ranked) firstOrder() float64 { return r.order + r.loss - r.helperLoss }

// reserveMemory divides the memory of a prompt that exceeds the first server's free memory into reservations
// at all chosen servers. It returns nil if the first server holds it all, and false if the servers together
// lack the memory.
func (t *LoadTable) reserveMemory(chosen []*candidate, q Query) ([]int64, bool) {
	need := q.PromptTokens + q.AnswerTokens
	if chosen[0].free >= need {
		return nil, true
	}
	reserved := make([]int64, len(chosen))
	for i := range chosen {
		reserved[i] = min(max(chosen[i].free, 0), need)
		need -= reserved[i]
	}
	return reserved, need == 0
}

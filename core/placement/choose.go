package placement

import (
	"math"
	"slices"
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/servertimes"
)

// Query describes a request that needs a server.
type Query struct {
	Servers []directory.Server
	Engine  *enginemodel.Engine
	// Exclude lists the incarnations of servers that must not be chosen, such as those already tried.
	Exclude []string
	// Paused holds the incarnations of servers that must not be chosen before a time.
	Paused map[string]time.Time
	// Avoid holds the servers that suspect peers may use without this entry hearing of it.
	Avoid map[string]bool
	// PromptTokens is 0 for a plain service.
	PromptTokens int64
	AnswerTokens int64
	// Target is the time from now within which the first event is expected.
	Target time.Duration
	Gap    time.Duration
	// ReservationTimeout bounds how long reserved memory may wait for the first event; 0 means no bound.
	ReservationTimeout time.Duration
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// EntryLifetime is the time until the entry that asks shuts down; 0 if no shutdown is known.
	EntryLifetime time.Duration
	// Queueing is set if short prompts wait at the entry while all slots are taken; they aren't refused here then.
	Queueing bool
	// NeedsSlot excludes servers whose slots are all taken. The refusal is NoSlot if there are no others.
	NeedsSlot bool
	// TieBreak is a random number from 0 to 1 that breaks ties between equal servers, so that entries that
	// don't know of each other's choices don't all choose the same server.
	TieBreak float64
	// Withheld is the memory that is kept for the claims of others, by the servers' incarnations.
	Withheld map[string]claims.Withheld
	// parts is the number of servers that prefill the prompt in the choice that is evaluated.
	parts int
}

// Pause excludes a server until a time, or a later one that is known.
func (q *Query) Pause(incarnation string, until time.Time) {
	if q.Paused == nil {
		q.Paused = map[string]time.Time{}
	}
	if until.After(q.Paused[incarnation]) {
		q.Paused[incarnation] = until
	}
}

// Choice is the placement of a request.
type Choice struct {
	Server  directory.Server
	Helpers []directory.Server
	// Reserved lists the reservations at Server and each of Helpers in tokens; empty where none are needed.
	Reserved []int64
	// Predicted is the predicted time to the first event.
	Predicted time.Duration
	// FirstEvent is Predicted without the wait for a slot at Server.
	FirstEvent time.Duration
	// P90 is the predicted 90th percentile of it; 0 where Options.LearnedTimes is off.
	P90 time.Duration
	// AnswerTime is the predicted time from the first event to the last one.
	AnswerTime time.Duration
	// Loss is the expected loss of the request and of others, for the log.
	Loss float64
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Load is the load of Server at the choice, for the log.
	Load ServerLoad
	// Wait, if positive, is the time after which to choose again instead of sending now.
	Wait time.Duration
	// Unreachable is set if Server is in backoff because it took no requests lately.
	Unreachable bool
	// SlotsTaken is set if all slots of Server are in use.
	SlotsTaken bool
	// othersLoss is the part of Loss that other requests bear.
	othersLoss float64
	// crowding is the expected loss of the next requests by this prefill.
	crowding float64
}

// ServerLoad is the known load of a server at a choice.
type ServerLoad struct {
	// BacklogMs is the waiting prefill, in milliseconds.
	BacklogMs float64
	// Requests counts the requests that run or wait there.
	Requests int
	// Age is the time since the latest update on the server; 0 if there was none yet.
	Age time.Duration
}

// Refusal is the reason why no server was chosen.
type Refusal string

// Refusal reasons.
const (
	// NoServer means that no server of the service is available.
	NoServer Refusal = "no_server"
	// NoSlot means that all slots of the servers that accept requests are taken, for a query that needs one.
	NoSlot Refusal = "no_slot"
	// NoMemory means that no group of servers has the memory for the prompt.
	NoMemory Refusal = "no_memory"
	// TooLate means that the first event would come after the request's deadline.
	TooLate Refusal = "too_late"
	// Paused means that every server that is available takes no request for longer than the request can wait.
	Paused Refusal = "paused"
	// Overloaded means that admitting the request would make others late: a short prompt while all slots are
	// taken, or a late long prompt that would cost others more than it is worth.
	Overloaded Refusal = "overloaded"
	// Outlasts means that the answer would not be complete when the entry that asks shuts down.
	Outlasts Refusal = "outlasts"
)

// candidate is a server under consideration for one choice.
type candidate struct {
	directory.Server
	state *server
	// backlogMs is the waiting prefill, batch the answers that are being written.
	backlogMs float64
	batch     enginemodel.Batch
	passMs    float64
	requests  int
	free      int64
	// slowdown is the factor by which the server is slower than its model.
	slowdown float64
	// times is the learned ratio of the real to the modelled time, stallMs the part of backlogMs that no
	// request accounts for; unused where Options.LearnedTimes is off.
	times   servertimes.Estimate
	stallMs float64
	loss    float64 // expected failures, other zone, stale load
}

// minTarget replaces the target of a request whose first event is already due: losses are relative to the
// target.
const minTarget = time.Millisecond

// Choose selects the servers for a request. The refusal is empty if there is a choice.
func (t *LoadTable) Choose(now time.Time, q Query) (Choice, Refusal) {
	q.Target = max(q.Target, minTarget)
	choice, refusal := t.choose(now, q)
	if refusal != "" {
		choice.RetryAfter = retryAfter(refusal, choice)
	}
	return choice, refusal
}

func (t *LoadTable) choose(now time.Time, q Query) (Choice, Refusal) {
	candidates := t.candidates(now, q)
	if len(candidates) == 0 {
		if wait, found := q.EarliestFree(now); q.NeedsSlot && found && wait == 0 {
			return Choice{}, NoSlot
		}
		return waitForPaused(now, q)
	}
	if q.Engine == nil {
		return t.choosePlain(now, candidates, q), ""
	}
	best, refusal := Choice{}, NoMemory
	for _, parts := range partCounts(q.PromptTokens, t.maxParts(candidates, q)) {
		choice, ok := t.chooseParts(now, candidates, q, parts)
		if ok && (refusal != "" || choice.Loss < best.Loss) {
			best, refusal = choice, ""
		}
	}
	if refusal == "" && best.Predicted > q.Remaining {
		return best, TooLate
	}
	if refusal == "" && outlasts(best, q) {
		return best, Outlasts
	}
	if refusal == "" && t.overloaded(best, q) {
		return best, Overloaded
	}
	if refusal == "" {
		best.crowding = t.crowding(candidates, q)
		best.Wait = t.waitFor(best, q)
	}
	if refusal == "" && best.Wait == 0 && t.tooCostly(best, q) {
		return best, Overloaded
	}
	return best, refusal
}

// maxParts bounds the number of servers that prefill a prompt, because every part is prefilled before the
// prompts that wait at its server. More than UsualParts take part only where these would need more than half
// of the time left, or would exceed the target while other servers are idle.
func (t *LoadTable) maxParts(candidates []*candidate, q Query) int {
	usual := t.options.UsualParts
	prefill := enginemodel.MillisToDuration(q.Engine.PrefillMs(q.PromptTokens, usual))
	most := usual
	switch {
	case prefill > q.Remaining/2:
		most = t.options.MaxParts
	case prefill > q.Target:
		most = max(usual, min(countIdle(candidates), t.options.MaxParts))
	}
	return min(most, len(candidates))
}

// countIdle returns the number of servers without a prefill backlog.
func countIdle(candidates []*candidate) int {
	count := 0
	for _, c := range candidates {
		if c.backlogMs == 0 {
			count++
		}
	}
	return count
}

// minPartTokens is the smallest part that a prompt is divided into. Below it, the steps of its chunks and the
// transfer between servers cost more than the prefill.
const minPartTokens = 4000

// partCounts returns the numbers of parts to evaluate.
func partCounts(promptTokens int64, most int) []int {
	counts := []int{1}
	for _, parts := range []int{2, 3, 4, 6, 8, 10, 12, 14, 16} {
		if parts <= most && promptTokens/int64(parts) >= minPartTokens {
			counts = append(counts, parts)
		}
	}
	return counts
}

func (t *LoadTable) candidates(now time.Time, q Query) []*candidate {
	// One allocation for all candidates: with one for each, a choice among 135 servers took 146 allocations.
	all := make([]candidate, len(q.Servers))
	found, available := make([]*candidate, 0, len(all)), make([]*candidate, 0, len(all))
	for i, listed := range q.Servers {
		incarnation := listed.IncarnationID()
		if slices.Contains(q.Exclude, incarnation) || now.Before(q.Paused[incarnation]) {
			continue
		}
		c := &all[i]
		t.assess(now, q, listed, c)
		if q.NeedsSlot && c.requests >= q.Engine.Slots {
			continue
		}
		found = append(found, c)
		if !c.state.health.inBackoff(now) {
			available = append(available, c)
		}
	}
	// Servers in backoff are candidates only if there are no others: they may be back, and refusing would be
	// worse than trying.
	if len(available) > 0 {
		return available
	}
	return found
}

// failureLoss is the share of a request's value that is lost when its server fails it; a retry elsewhere
// recovers part of the failures.
const failureLoss = 0.6

// assess fills in a candidate's load and its loss for a request.
func (t *LoadTable) assess(now time.Time, q Query, listed directory.Server, c *candidate) {
	s := t.server(listed.IncarnationID(), q.Engine)
	s.advance(now)
	t.identify(s, listed)
	*c = candidate{Server: listed, state: s, requests: s.requests(), slowdown: s.slowdown(now)}
	c.loss = s.health.currentFailureRate(now) * failureLoss * t.value(q.PromptTokens)
	if listed.Zone != t.options.Zone {
		c.loss += t.options.ZoneLoss
	}
	if q.Avoid[listed.IncarnationID()] {
		c.loss += t.options.UnheardLoss * t.value(q.PromptTokens)
	}
	if q.Engine == nil {
		return
	}
	c.backlogMs, c.batch = s.waitingMs(now), s.batch()
	c.free = int64(t.options.MemoryShare*float64(q.Engine.MemoryTokens)) - s.memoryUsed()
	if c.batch.Answers > 0 {
		c.passMs = q.Engine.PassMs(c.batch) * c.slowdown
	}
	t.withhold(c, q)
	t.learn(now, c, q.PromptTokens)
}

// answering returns the predicted time in which the server writes the answer, along with the answers that it
// already writes.
func (c *candidate) answering(q Query, parts int) time.Duration {
	batch := c.batch
	batch.Answers++
	batch.ContextTokens += q.PromptTokens / int64(parts)
	return enginemodel.MillisToDuration(q.Engine.AnswerMs(q.AnswerTokens, batch) * c.slowdown)
}

func (c *candidate) load(now time.Time) ServerLoad {
	load := ServerLoad{BacklogMs: c.backlogMs, Requests: c.requests}
	if !c.state.updatedAt.IsZero() {
		load.Age = now.Sub(c.state.updatedAt)
	}
	return load
}

// choosePlain selects a server of a plain service: healthy, in the own zone, and with the fewest requests per
// slot.
func (t *LoadTable) choosePlain(now time.Time, candidates []*candidate, q Query) Choice {
	best, lowest := candidates[0], math.Inf(1)
	for i, c := range candidates {
		slots := float64(max(c.Slots, 1))
		tie := math.Mod(float64(i)/float64(len(candidates))+q.TieBreak, 1) * tieLoss
		busy := float64(c.requests) / slots
		loss := c.loss + busy*busy + tie
		if loss < lowest {
			best, lowest = c, loss
		}
	}
	return Choice{Server: best.Server, Load: best.load(now), Unreachable: best.state.health.inBackoff(now), Loss: lowest}
}

// ServerAt returns the server of a part: 0 is Server, then the helpers.
func (c *Choice) ServerAt(index int) directory.Server {
	if index == 0 {
		return c.Server
	}
	return c.Helpers[index-1]
}

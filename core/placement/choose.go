package placement

import (
	"math"
	"slices"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
)

// Query is a request that needs a server.
type Query struct {
	Servers []directory.Server
	Engine  *enginemodel.Engine
	// Exclude are servers that were tried in vain.
	Exclude []string
	// Avoid are servers that other entries may use unheard.
	Avoid map[string]bool
	// PromptTokens is 0 for a plain service.
	PromptTokens int64
	AnswerTokens int64
	// Target is when the first event is expected, counted from now.
	Target time.Duration
	Gap    time.Duration
	// ReservationTimeout is how long reserved memory may wait for the first event; 0 for any time.
	ReservationTimeout time.Duration
	// Remaining is the time that the request has left.
	Remaining time.Duration
	// EntryLifetime is how long the entry that asks still runs; 0 if its end is not known.
	EntryLifetime time.Duration
	// TieBreak is a random number from 0 to 1 that breaks ties between equal servers,
	// so that entries without news of each other don't all choose the same.
	TieBreak float64
}

// Choice is where a request goes.
type Choice struct {
	Server  directory.Server
	Helpers []directory.Server
	// Reserved is the reservations at Server and each of Helpers in tokens; empty
	// where none are needed.
	Reserved []int64
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// AnswerTime is the expected time from the first event to the last one.
	AnswerTime time.Duration
	// Loss is the expected loss of the request and of others, for the log.
	Loss float64
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Load is what was believed of Server, for the log.
	Load ServerLoad
	// Wait asks to choose again after this time in place of sending now.
	Wait time.Duration
	// Unreachable says that no connection to Server could be made lately.
	Unreachable bool
	// othersLoss is the part of Loss that other requests bear.
	othersLoss float64
	// crowding is what the read is expected to cost the requests that come next.
	crowding float64
	// slotsTaken says that all slots of the server are taken.
	slotsTaken bool
}

// ServerLoad is what is believed of a server when it is chosen.
type ServerLoad struct {
	// BacklogMs is the reading that waits there, in milliseconds.
	BacklogMs float64
	// Requests run or wait there.
	Requests int
	// Age is how old the newest news of it is; 0 if there was none yet.
	Age time.Duration
}

// Refusal is why there is no choice.
type Refusal string

// Reasons of a Refusal.
const (
	// NoServer: no server of the service is known and trusted.
	NoServer Refusal = "no_server"
	// NoMemory: no group of servers has the memory for the prompt.
	NoMemory Refusal = "no_memory"
	// TooLate: the first event would come after the request's time.
	TooLate Refusal = "too_late"
	// Overloaded: all slots are taken and a short answer would be late; it would
	// make the next ones late as well.
	Overloaded Refusal = "overloaded"
	// Outlasts: the answer would not be over when the entry that asks ends.
	Outlasts Refusal = "outlasts"
)

// candidate is a server during one choice.
type candidate struct {
	directory.Server
	state *server
	// backlogMs is what waits to be read, batch what is being written.
	backlogMs float64
	batch     enginemodel.Batch
	passMs    float64
	requests  int
	free      int64
	loss      float64 // distrust and distance
}

// minTarget stands for the target of a request whose first event is due: losses are counted in targets.
const minTarget = time.Millisecond

// Choose picks servers for a request. The refusal is empty if there is a choice.
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
		return Choice{}, NoServer
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

// maxParts bounds the servers that read a prompt: every part goes before the reads
// that wait at its server. More than the usual ones take part where these would read
// for more than half of the time left, or for longer than the target while others
// have nothing to read.
func (t *LoadTable) maxParts(candidates []*candidate, q Query) int {
	usual := t.options.UsualParts
	reading := enginemodel.Millis(q.Engine.ReadMs(q.PromptTokens, usual))
	most := usual
	switch {
	case reading > q.Remaining/2:
		most = t.options.MaxParts
	case reading > q.Target:
		most = max(usual, min(countIdle(candidates), t.options.MaxParts))
	}
	return min(most, len(candidates))
}

// countIdle counts the servers at which no read waits.
func countIdle(candidates []*candidate) int {
	count := 0
	for _, c := range candidates {
		if c.backlogMs == 0 {
			count++
		}
	}
	return count
}

// minPartTokens is the smallest part that a prompt is divided into: below it the
// steps of its chunks and the hand-over cost more than the reading.
const minPartTokens = 4000

// partCounts returns the numbers of parts worth trying.
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
	// One allocation for all: a choice among 135 servers took 146.
	all := make([]candidate, len(q.Servers))
	found, available := make([]*candidate, 0, len(all)), make([]*candidate, 0, len(all))
	for i, listed := range q.Servers {
		if slices.Contains(q.Exclude, listed.Start()) {
			continue
		}
		c := &all[i]
		t.assess(now, q, listed, c)
		found = append(found, c)
		if !c.state.health.inBackoff(now) {
			available = append(available, c)
		}
	}
	// Servers that could not be reached lately come in only if nothing else is
	// left: they may be back, and refusing would be worse than trying.
	if len(available) > 0 {
		return available
	}
	return found
}

// failureLoss is the share of a request's value that a failing server loses:
// part of the failures is mended by another try.
const failureLoss = 0.6

// assess fills in what a server is worth for a request.
func (t *LoadTable) assess(now time.Time, q Query, listed directory.Server, c *candidate) {
	s := t.server(listed.Start(), q.Engine)
	s.advance(now)
	*c = candidate{Server: listed, state: s, requests: s.requests()}
	c.loss = s.health.currentFailureRate(now) * failureLoss * t.value(q.PromptTokens)
	if listed.Zone != t.options.Zone {
		c.loss += t.options.ZoneLoss
	}
	if q.Avoid[listed.Start()] {
		c.loss += t.options.UnheardLoss * t.value(q.PromptTokens)
	}
	if q.Engine == nil {
		return
	}
	c.backlogMs, c.batch = s.waitingMs(now), s.batch()
	c.free = int64(t.options.MemoryShare*float64(q.Engine.MemoryTokens)) - s.memoryUsed()
	if c.batch.Answers > 0 {
		c.passMs = q.Engine.PassMs(c.batch) * s.health.slowdown()
	}
}

// answering is the expected time in which the server writes the answer, beside those that it writes.
func (c *candidate) answering(q Query, parts int) time.Duration {
	batch := c.batch
	batch.Answers++
	batch.ContextTokens += q.PromptTokens / int64(parts)
	return enginemodel.Millis(q.Engine.AnswerMs(q.AnswerTokens, batch) * c.state.health.slowdown())
}

func (c *candidate) load(now time.Time) ServerLoad {
	known := ServerLoad{BacklogMs: c.backlogMs, Requests: c.requests}
	if !c.state.updatedAt.IsZero() {
		known.Age = now.Sub(c.state.updatedAt)
	}
	return known
}

// choosePlain picks a plain service's server: trusted, near, and with the least
// requests for its slots.
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

// ServerAt returns the server that reads a part: 0 is Server, then the helpers.
func (c *Choice) ServerAt(index int) directory.Server {
	if index == 0 {
		return c.Server
	}
	return c.Helpers[index-1]
}

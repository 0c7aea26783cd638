package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
)

// Options are the weights of a choice. Losses are in units of the value of a
// short request: an answer of ordinary length to a short prompt.
type Options struct {
	// Zone is the entry's availability zone.
	Zone string
	// TokensPerValue is how many prompt tokens double a short request's value.
	// What a caller loses with a request grows with the work put into it.
	TokensPerValue float64
	// LateLoss is the share of a request's value that is lost when it is late.
	LateLoss float64
	// ZoneLoss is the cost of leaving the zone.
	ZoneLoss float64
	// PackGain is the gain from an answer that is already being written on a
	// server, up to PackShare of its slots, for a short prompt. Packed short
	// answers leave whole servers to the reading of long prompts, beside which
	// they would pause for too long.
	PackGain  float64
	PackShare float64
	// ShortTokens is the longest prompt that is packed.
	ShortTokens int64
	// GapMargin is kept free of the expected pause between events, for the
	// network and for what this entry has not heard of yet.
	GapMargin time.Duration
	// TargetShare is the share of the target for the first event at which a
	// prediction counts as half late.
	TargetShare float64
	// ReserveAbove is the share of an engine's memory above which a prompt is
	// spread over reservations.
	MemoryShare float64
	// PartLoss is the cost of one more part: each is a server that can fail the
	// whole, and a read that goes before those that wait there.
	PartLoss float64
	// UsualParts bounds the servers that read one prompt, MaxParts those of a
	// prompt that would not be read in time by so few. Eight in place of sixteen
	// raised the worth served from 0.653 to 0.663 at 1.2 times the usual load
	// (virtual time, 100 days).
	UsualParts, MaxParts int
	// ShedShare is the share of the target beyond which the predicted first
	// event of a short prompt that has to wait for a slot gets it refused.
	ShedShare float64
	// WaitLateShare is how much others may lose by a prompt that is late anyway,
	// as a share of its value; while they would lose more it waits.
	WaitLateShare float64
	// NetworkTime is a connection's opening and the way there and back.
	NetworkTime time.Duration
}

// DefaultOptions returns the options of an entry in a zone.
func DefaultOptions(zone string) Options {
	return Options{Zone: zone, TokensPerValue: 8000, LateLoss: 0.75, ZoneLoss: 0.01, PackGain: 0.02, PackShare: 0.9,
		ShortTokens: 24000, GapMargin: 10 * time.Millisecond, TargetShare: 1, MemoryShare: 0.85, UsualParts: 8, MaxParts: 16, PartLoss: 0.01,
		NetworkTime: 6 * time.Millisecond, WaitLateShare: 0.02, ShedShare: 1.5}
}

// Query is a request that needs a server.
type Query struct {
	Servers []directory.Server
	Engine  *enginemodel.Engine
	// Exclude are servers that were tried in vain.
	Exclude []string
	// PromptTokens is 0 for a plain service.
	PromptTokens int64
	AnswerTokens int64
	// Target is when the first event is expected, counted from now.
	Target time.Duration
	Gap    time.Duration
	// Remaining is the time that the request has left.
	Remaining time.Duration
	// Tie is a random number from 0 to 1 that breaks ties between equal servers,
	// so that entries without news of each other don't all choose the same.
	Tie float64
}

// Choice is where a request goes.
type Choice struct {
	Server  directory.Server
	Helpers []directory.Server
	// Held is the reservations at Server and each of Helpers in tokens; empty
	// where none are needed.
	Held []int64
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// Loss is the expected loss of the request and of others, for the log.
	Loss float64
	// Wait asks to choose again after this time in place of sending now.
	Wait time.Duration
	// others is the part of Loss that other requests bear.
	others float64
	// slotsTaken says that all slots of the server are taken.
	slotsTaken bool
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

// Choose picks servers for a request. The third value is empty if there is a
// choice.
func (b *Book) Choose(now time.Time, q Query) (Choice, Refusal) {
	candidates := b.candidates(now, q)
	if len(candidates) == 0 {
		return Choice{}, NoServer
	}
	if q.Engine == nil {
		return b.choosePlain(candidates, q), ""
	}
	best, refusal := Choice{}, NoMemory
	for _, parts := range partCounts(q.PromptTokens, b.mostParts(candidates, q)) {
		choice, ok := b.chooseParts(now, candidates, q, parts)
		if ok && (refusal != "" || choice.Loss < best.Loss) {
			best, refusal = choice, ""
		}
	}
	if refusal == "" && best.Predicted > q.Remaining {
		return best, TooLate
	}
	if refusal == "" && b.overloaded(best, q) {
		return best, Overloaded
	}
	if refusal == "" {
		best.Wait = b.waitFor(best, q)
	}
	return best, refusal
}

// overloaded says whether a short prompt is refused because it would be late by the
// wait for a slot. A burst beyond the slots is then served in time as far as they
// go; queued at the engines, each late answer would take its slot from a fresh one
// and all of them would be late, for as long as callers come back.
func (b *Book) overloaded(best Choice, q Query) bool {
	limit := time.Duration(b.options.ShedShare * float64(q.Target))
	return q.PromptTokens <= b.options.ShortTokens && best.slotsTaken && best.Predicted > limit && q.Target > time.Millisecond
}

// waitFor holds a prompt back at the entry while others would lose too much by its
// read. A prompt that can still be in time goes unless others lose more than it
// does by being late; one that is late anyway waits for a moment at which it costs
// hardly anything, as long as enough of its time is left.
func (b *Book) waitFor(best Choice, q Query) time.Duration {
	next := best.Predicted + waitInterval
	if q.PromptTokens <= b.options.ShortTokens || next > q.Remaining*3/4 {
		return 0
	}
	share := b.options.LateLoss
	if next > q.Target {
		share = b.options.WaitLateShare
	}
	if best.others > share*b.value(q.PromptTokens) {
		return waitInterval
	}
	return 0
}

// waitInterval is how long a request that waits at the entry lets pass before it
// chooses again.
const waitInterval = 50 * time.Millisecond

// mostParts bounds the servers that read a prompt: every part goes before the reads
// that wait at its server. More than the usual ones take part where these would read
// for more than half of the time left, or for longer than the target while others
// have nothing to read.
func (b *Book) mostParts(candidates []*candidate, q Query) int {
	usual := b.options.UsualParts
	reading := enginemodel.Millis(q.Engine.ReadMs(q.PromptTokens, usual))
	most := usual
	switch {
	case reading > q.Remaining/2:
		most = b.options.MaxParts
	case reading > q.Target:
		most = max(usual, min(countIdle(candidates), b.options.MaxParts))
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

func (b *Book) candidates(now time.Time, q Query) []*candidate {
	var found []*candidate
	for _, listed := range q.Servers {
		if slices.Contains(q.Exclude, listed.ID) {
			continue
		}
		found = append(found, b.candidate(now, q, listed))
	}
	// Servers that could not be reached lately come in only if nothing else is
	// left: they may be back, and refusing would be worse than trying.
	reachable := slices.DeleteFunc(slices.Clone(found), func(c *candidate) bool { return now.Before(c.state.trust.until) })
	if len(reachable) > 0 {
		return reachable
	}
	return found
}

// distrustLoss is the share of a request's value that a failing server loses:
// part of the failures is mended by another try.
const distrustLoss = 0.6

func (b *Book) candidate(now time.Time, q Query, listed directory.Server) *candidate {
	s := b.server(listed.ID, q.Engine)
	s.advance(now)
	c := &candidate{Server: listed, state: s, requests: s.requests()}
	c.loss = s.trust.failShare(now) * distrustLoss * b.value(q.PromptTokens)
	if listed.Zone != b.options.Zone {
		c.loss += b.options.ZoneLoss
	}
	if q.Engine == nil {
		return c
	}
	c.backlogMs, c.batch = s.backlogMs(), s.batch()
	if c.batch.Answers > 0 {
		c.passMs = q.Engine.PassMs(c.batch) * s.trust.slowness()
	}
	c.free = int64(b.options.MemoryShare*float64(q.Engine.MemoryTokens)) - s.memoryUsed()
	return c
}

// value is a request's value in units of a short one.
func (b *Book) value(promptTokens int64) float64 {
	return 1 + float64(promptTokens)/b.options.TokensPerValue
}

// chooseParts finds the best servers for a prompt read in a number of parts.
func (b *Book) chooseParts(now time.Time, candidates []*candidate, q Query, parts int) (Choice, bool) {
	readMs := q.Engine.ReadMs(q.PromptTokens, parts)
	ranked := b.rank(now, candidates, q, readMs, parts > 1)
	first := b.pickFirst(ranked, q, parts)
	if first < 0 {
		return Choice{}, false
	}
	chosen := []*candidate{ranked[first].candidate}
	loss, others := ranked[first].loss, ranked[first].helperLoss
	for i, r := range ranked {
		if len(chosen) == parts {
			break
		}
		if i != first {
			chosen = append(chosen, r.candidate)
			loss += r.helperLoss
			others += r.helperLoss
		}
	}
	held, ok := b.hold(chosen, q)
	if !ok {
		return Choice{}, false
	}
	choice := Choice{Server: chosen[0].Server, Held: held, others: others, slotsTaken: chosen[0].requests >= q.Engine.Slots}
	slowest := 0.0
	for _, c := range chosen {
		slowest = max(slowest, b.firstEventMs(c, q, readMs))
	}
	for _, c := range chosen[1:] {
		choice.Helpers = append(choice.Helpers, c.Server)
	}
	choice.Predicted = enginemodel.Millis(slowest) + b.options.NetworkTime
	choice.Loss = loss + b.lateLoss(q, choice.Predicted) + float64(parts)*b.options.PartLoss
	return choice, true
}

type ranked struct {
	*candidate
	// loss counts for the server that writes the answer, helperLoss for one
	// that only reads.
	loss, helperLoss float64
	// order ranks the servers: it also counts the wait there, which the whole
	// choice counts once.
	order float64
}

// rank orders servers by what a read there would cost.
func (b *Book) rank(now time.Time, candidates []*candidate, q Query, readMs float64, split bool) []ranked {
	all := make([]ranked, 0, len(candidates))
	for i, c := range candidates {
		slowed := readMs * c.state.trust.slowness()
		helper := c.loss + b.harm(c, slowed)
		if split {
			helper += b.delayLoss(now, c, slowed)
		}
		// The tie-break turns the order of equal servers round by a random
		// place.
		tie := math.Mod(float64(i)/float64(len(candidates))+q.Tie, 1) * tieLoss
		order := helper + b.waitLoss(q, c, readMs) + tie
		all = append(all, ranked{c, helper + b.joinLoss(c, q), helper, order})
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.order, b.order) })
	return all
}

const tieLoss = 0.002

// pickFirst returns the place of the server that writes the answer: the best one
// that has the memory for all of it. A prompt that is larger than any server's
// memory is spread over reservations by the best one. It returns -1 if a prompt that
// would fit an empty server fits none now: spread as well, it would keep memory from
// prompts that are read at less cost.
func (b *Book) pickFirst(all []ranked, q Query, parts int) int {
	need := q.PromptTokens + q.AnswerTokens
	if need <= int64(b.options.MemoryShare*float64(q.Engine.MemoryTokens)) {
		return bestFirst(all, need)
	}
	if parts == 1 {
		return -1
	}
	return bestFirst(all, 0)
}

// bestFirst returns the place of the best server with some free memory, or -1.
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

// firstOrder ranks a server for writing the answer.
func (r *ranked) firstOrder() float64 { return r.order + r.loss - r.helperLoss }

// harm is what a read does to the answers being written: the chance that it makes
// their pause too long, by their value. Pauses that are too long already count no
// more.
func (b *Book) harm(c *candidate, readMs float64) float64 {
	if c.batch.Answers == 0 {
		return 0
	}
	before := enginemodel.Millis(c.passMs+c.backlogMs) + b.options.GapMargin
	after := before + enginemodel.Millis(readMs)
	sum := 0.0
	for _, w := range c.state.works {
		gap := w.dispatch.Gap
		if w.writing && gap > 0 {
			sum += b.value(w.dispatch.PromptTokens) * b.options.LateLoss * (lateShare(after, gap) - lateShare(before, gap))
		}
	}
	return sum
}

// joinLoss is the cost of writing the answer here: full slots, and the gain of
// packing it beside answers that bear pauses alike. Packed answers leave whole
// servers to the reading of long prompts.
func (b *Book) joinLoss(c *candidate, q Query) float64 {
	slots := float64(q.Engine.Slots)
	share := float64(c.requests) / slots
	if share >= 1 {
		return b.value(q.PromptTokens) * share
	}
	alike, others := 0, 0
	for _, w := range c.state.works {
		switch {
		case w.index != 0:
		case bearsAlike(w.dispatch.Gap, q.Gap):
			alike++
		default:
			others++
		}
	}
	gain := b.options.PackGain * b.value(q.PromptTokens)
	if share >= b.options.PackShare {
		return gain * float64(c.requests)
	}
	return gain * float64(others-alike)
}

// alikeFactor is how far the pauses that two answers bear may lie apart for them
// to be packed together.
const alikeFactor = 2

func bearsAlike(a, b time.Duration) bool {
	return a <= alikeFactor*b && b <= alikeFactor*a
}

// waitLoss spreads equal choices by what waits there.
func (b *Book) waitLoss(q Query, c *candidate, readMs float64) float64 {
	return b.value(q.PromptTokens) * b.options.LateLoss * 0.2 * (b.firstEventMs(c, q, readMs) / (q.Target.Seconds() * msPerSecond))
}

// delayLoss is what a part does to the reads that wait at a server: an engine
// reads the newest part first, so all of them come later by as much. Without it,
// each new long prompt pushes the earlier ones back until none is in time.
func (b *Book) delayLoss(now time.Time, c *candidate, readMs float64) float64 {
	sum, ahead := 0.0, c.passMs
	for _, w := range c.state.readOrder() {
		ahead += w.readMs
		target := w.dispatch.Target
		if target <= 0 {
			continue
		}
		end := now.Sub(w.began) + enginemodel.Millis(ahead)
		value := b.value(w.dispatch.PromptTokens) * b.options.LateLoss
		sum += value * (lateShare(end+enginemodel.Millis(readMs), target) - lateShare(end, target))
	}
	return sum
}

// firstEventMs predicts when a part read here is done and the next event comes.
// The backlog counts also for a divided prompt, which engines read before it: the
// parts that come after it do the same to it.
func (b *Book) firstEventMs(c *candidate, q Query, readMs float64) float64 {
	readMs *= c.state.trust.slowness()
	wait := c.backlogMs
	if over := c.requests - q.Engine.Slots + 1; over > 0 {
		// A slot is free when the shortest of the running answers is done; half
		// of a usual answer's passes is what that takes on the mean.
		passes := float64(q.Engine.UsualAnswer) / float64(q.Engine.Stride) / 2
		wait += float64(over) / float64(q.Engine.Slots) * passes * c.passMs
	}
	if c.batch.Answers > 0 {
		return wait + c.passMs/2 + c.passMs + readMs
	}
	return wait + readMs + q.Engine.StepOverheadMs(q.PromptTokens, 1)
}

// lateLoss is the expected loss of a request whose first event is predicted, with
// a slope around the target because predictions err.
func (b *Book) lateLoss(q Query, predicted time.Duration) float64 {
	value := b.value(q.PromptTokens)
	if q.Target <= 0 {
		return 0
	}
	loss := value * b.options.LateLoss * lateShare(predicted, time.Duration(b.options.TargetShare*float64(q.Target)))
	if predicted > q.Remaining {
		loss += value
	}
	return loss + value*0.05*predicted.Seconds()/q.Target.Seconds()
}

// lateShare is the believed chance that what is predicted for a time comes after a
// limit: a slope, because predictions err.
func lateShare(predicted, limit time.Duration) float64 {
	return 1 / (1 + math.Exp(-(predicted.Seconds()-limit.Seconds())/(lateSlope*limit.Seconds())))
}

// lateSlope is the width of the slope as a share of the limit. Predicted and actual
// first events of lone prompts lie within a sixteenth of each other.
const lateSlope = 0.06

// hold divides the memory of a prompt that is larger than the first server's free
// memory over reservations at all chosen servers. It returns none if the first
// server holds it all.
func (b *Book) hold(chosen []*candidate, q Query) ([]int64, bool) {
	need := q.PromptTokens + q.AnswerTokens
	if chosen[0].free >= need {
		return nil, true
	}
	held := make([]int64, len(chosen))
	for i := range chosen {
		held[i] = min(max(chosen[i].free, 0), need)
		need -= held[i]
	}
	return held, need == 0
}

// choosePlain picks a plain service's server: trusted, near, and with the least
// requests for its slots.
func (b *Book) choosePlain(candidates []*candidate, q Query) Choice {
	best, lowest := candidates[0], math.Inf(1)
	for i, c := range candidates {
		slots := float64(max(c.Slots, 1))
		tie := math.Mod(float64(i)/float64(len(candidates))+q.Tie, 1) * tieLoss
		busy := float64(c.requests) / slots
		loss := c.loss + busy*busy + tie
		if loss < lowest {
			best, lowest = c, loss
		}
	}
	return Choice{Server: best.Server, Loss: lowest}
}

// At returns the server that reads a part: 0 is Server, then the helpers.
func (c *Choice) At(index int) directory.Server {
	if index == 0 {
		return c.Server
	}
	return c.Helpers[index-1]
}

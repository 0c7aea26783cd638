package placement

import "time"

// overloaded says whether a short prompt is refused because it would be late by the
// wait for a slot. A burst beyond the slots is then served in time as far as they
// go; queued at the engines, each late answer would take its slot from a fresh one
// and all of them would be late, for as long as callers come back.
func (t *LoadTable) overloaded(best Choice, q Query) bool {
	limit := time.Duration(t.options.ShedShare * float64(q.Target))
	return q.PromptTokens <= t.options.ShortTokens && best.slotsTaken && best.Predicted > limit && q.Target > minTarget
}

// answerTimeFactor is how much longer than expected an answer may take: callers' estimates of its length are
// often off by as much, and reads beside it make passes longer.
const answerTimeFactor = 2

// outlasts says whether an answer may not be over when the entry that asks ends. Another entry can write
// it to its end; here it would be cut off.
func outlasts(best Choice, q Query) bool {
	return q.EntryLifetime > 0 && best.Predicted+answerTimeFactor*best.AnswerTime > q.EntryLifetime
}

// tooCostly says whether a late long prompt that can wait no longer would cost others more
// than its late answer is worth. At the end of its time it would otherwise be read on up to
// all servers at once, and every answer that is written there pauses until it is read.
func (t *LoadTable) tooCostly(best Choice, q Query) bool {
	if q.PromptTokens <= t.options.ShortTokens || best.Predicted <= q.Target {
		return false
	}
	return best.othersLoss > t.options.CrowdShare*(1-t.options.LateLoss)*t.value(q.PromptTokens)
}

// waitFor holds a prompt back at the entry while others, those that come next among
// them, would lose too much by its read. A prompt that can still be in time goes unless
// others lose more than it does by being late; one that is late anyway waits for a
// moment at which it costs hardly anything, as long as enough of its time is left.
func (t *LoadTable) waitFor(best Choice, q Query) time.Duration {
	next := best.Predicted + waitInterval
	if q.PromptTokens <= t.options.ShortTokens || next > q.Remaining*3/4 {
		return 0
	}
	share := t.options.LateLoss
	if next > q.Target {
		share = t.options.WaitLateShare
	}
	if best.othersLoss+best.crowding > share*t.value(q.PromptTokens) {
		return waitInterval
	}
	return 0
}

// waitInterval is how long a request that waits at the entry lets pass before it
// chooses again.
const waitInterval = 50 * time.Millisecond

// Times after which refused callers come back.
const (
	// serverRetryAfter is the time in which a list of servers that is empty or lost is read
	// anew.
	serverRetryAfter = 500 * time.Millisecond
	// memoryRetryAfter is some answers' time: memory is freed when they end.
	memoryRetryAfter = time.Second
	// slotRetryAfter is the same for slots; a longer prediction goes before it.
	slotRetryAfter = time.Second
)

// retryAfter is when the backlog that a refused request met will have been worked off.
func retryAfter(refusal Refusal, met Choice) time.Duration {
	switch refusal {
	case TooLate:
		return met.Predicted / 2
	case Overloaded:
		return max(met.Predicted, slotRetryAfter)
	case NoMemory:
		return memoryRetryAfter
	}
	return serverRetryAfter
}

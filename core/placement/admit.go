package placement

import (
	"slices"
	"time"
)

// overloaded reports whether a short prompt is refused because waiting for a slot would make it late. In a
// burst that exceeds the slots, the requests that fit are then served in time. Queued at the engines, each
// late answer would take its slot from a new request, and all of them would be late for as long as callers
// retry. Where the 90th percentile is learned, it counts: a request that is likely to be late is refused at once.
func (t *LoadTable) overloaded(best Choice, q Query) bool {
	limit := time.Duration(t.options.ShedShare * float64(q.Target))
	return q.PromptTokens <= t.options.ShortTokens && best.SlotsTaken && !q.Queueing && max(best.Predicted, best.P90) > limit && q.Target > minTarget
}

// answerTimeFactor is the factor by which an answer may take longer than predicted: callers' estimates of its
// length are often off by as much, and concurrent prefills lengthen passes.
const answerTimeFactor = 2

// outlasts reports whether the answer may still be in progress when the entry that asks shuts down. Another
// entry can stream it to its end; here it would be cut off.
func outlasts(best Choice, q Query) bool {
	return q.EntryLifetime > 0 && best.Predicted+answerTimeFactor*best.AnswerTime > q.EntryLifetime
}

// tooCostly reports whether a late long prompt that can wait no longer would cost other requests more than
// its late answer is worth. Near its deadline it would otherwise be prefilled on up to all servers at once,
// and every answer that is being written there pauses until the prefill is done.
func (t *LoadTable) tooCostly(best Choice, q Query) bool {
	if q.PromptTokens <= t.options.ShortTokens || best.Predicted <= q.Target {
		return false
	}
	return best.othersLoss > t.options.CrowdShare*(1-t.options.LateLoss)*t.value(q.PromptTokens)
}

// waitFor returns how long a prompt waits at the entry because its prefill would cost other requests too
// much, including the expected next ones. A prompt that can still be in time is sent unless others lose more
// than it loses by being late. A prompt that is late anyway waits until its prefill costs little, as long as
// it has enough time left.
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

// waitInterval is the time after which a request that waits at the entry chooses again.
const waitInterval = 50 * time.Millisecond

// EarliestFree returns the time until the first server of a query is neither excluded nor paused, which is 0 if one is
// neither now; false if all are excluded.
func (q *Query) EarliestFree(now time.Time) (time.Duration, bool) {
	earliest, found := time.Duration(0), false
	for _, listed := range q.Servers {
		incarnation := listed.IncarnationID()
		if slices.Contains(q.Exclude, incarnation) {
			continue
		}
		if left := max(q.Paused[incarnation].Sub(now), 0); !found || left < earliest {
			earliest, found = left, true
		}
	}
	return earliest, found
}

// waitForPaused returns the choice where every available server is paused: the request waits for the first one if it
// can still be in time, and is refused at once if not.
func waitForPaused(now time.Time, q Query) (Choice, Refusal) {
	wait, found := q.EarliestFree(now)
	switch {
	case !found:
		return Choice{}, NoServer
	case wait > min(q.Target, q.Remaining) || q.EntryLifetime > 0 && wait > q.EntryLifetime:
		return Choice{RetryAfter: wait}, Paused
	}
	return Choice{Wait: wait}, ""
}

// Retry delays of refused requests.
const (
	// serverRetryAfter is the time in which an empty or lost server list is read again.
	serverRetryAfter = 500 * time.Millisecond
	// memoryRetryAfter is the time of a few answers: memory is freed when they end.
	memoryRetryAfter = time.Second
	// slotRetryAfter is the time of a few answers, which free their slots; a longer prediction takes
	// precedence.
	slotRetryAfter = time.Second
)

// retryAfter returns the time in which the backlog that caused the refusal should be worked off.
func retryAfter(refusal Refusal, choice Choice) time.Duration {
	switch refusal {
	case TooLate:
		return choice.Predicted / 2
	case Overloaded:
		return max(choice.Predicted, slotRetryAfter)
	case NoMemory:
		return memoryRetryAfter
	case Paused:
		return choice.RetryAfter
	}
	return serverRetryAfter
}

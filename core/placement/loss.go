package placement

import (
	"math"
	"time"

	"arbutusdeck/core/enginemodel"
)

// value returns the value of a request in units of a short one.
func (t *LoadTable) value(promptTokens int64) float64 {
	return 1 + float64(promptTokens)/t.options.TokensPerValue
}

// gapLoss returns the expected loss of the answers at a server by a prefill: for each answer, its value times
// the increase in the probability that the prefill makes its gap too long. Gaps that are already too long add
// nothing. An answer that is about to begin counts like one that is being written: its first event comes
// while the new prefill waits, and that prefill causes its first gap.
func (t *LoadTable) gapLoss(c *candidate, prefillMs float64, split bool) float64 {
	sum := 0.0
	for _, w := range c.state.workItems {
		gap := w.dispatch.Gap
		if w.index != 0 || gap <= 0 || c.prefillsBefore(w, split) {
			continue
		}
		before := enginemodel.MillisToDuration(c.passMs+c.backlogMs-w.prefillMs) + t.options.GapMargin
		after := before + enginemodel.MillisToDuration(prefillMs)
		sum += t.value(w.dispatch.PromptTokens) * t.options.LateLoss * (lateProbability(after, gap) - lateProbability(before, gap))
	}
	return sum
}

// prefillsBefore reports whether a new part is prefilled before a waiting prompt: an engine that writes no
// answer takes the newest part at once. That delays the answer's first event but lengthens no gap.
func (c *candidate) prefillsBefore(w *workItem, split bool) bool {
	return split && w.prefillMs > 0 && c.batch.Answers == 0
}

// answerLoss returns the loss of writing the answer at a server: full slots, the first answer on a server
// that could prefill long prompts, less the gain of packing it with answers that accept similar gaps. Packing
// leaves whole servers to the prefill of long prompts.
//
// Only answers that are being written attract others: they show that the server works, while one that was
// just dispatched may be at a server that is full of work missing from the load table. The gain shrinks with
// the share of the target that the choice would use up: when many callers retry at once, packing would queue
// their prefills on one server while others are idle.
func (t *LoadTable) answerLoss(c *candidate, q Query) float64 {
	slots := float64(q.Engine.Slots)
	share := float64(c.requests) / slots
	if share >= 1 {
		return t.value(q.PromptTokens) * share
	}
	similar, others := 0, 0
	for _, w := range c.state.workItems {
		switch {
		case w.index != 0:
		case similarGaps(w.dispatch.Gap, q.Gap):
			if w.writing {
				similar++
			}
		default:
			others++
		}
	}
	firstAnswer := 0.0
	if similar == 0 {
		firstAnswer = t.options.OpenLoss * t.value(q.PromptTokens)
	}
	gain := t.options.PackGain * t.value(q.PromptTokens)
	used := t.firstEventMs(c, q, q.Engine.PrefillMs(q.PromptTokens, 1)) / (q.Target.Seconds() * msPerSecond)
	gain *= math.Max(1-used, 0)
	if share >= t.packing.share {
		return firstAnswer + gain*float64(c.requests)
	}
	return firstAnswer + gain*float64(others-similar)
}

// similarGapFactor bounds the ratio of the accepted gaps of two answers that are packed together.
const similarGapFactor = 2

func similarGaps(a, b time.Duration) bool {
	return a <= similarGapFactor*b && b <= similarGapFactor*a
}

// queueLoss spreads otherwise equal choices by the predicted time to the first event.
func (t *LoadTable) queueLoss(q Query, c *candidate, prefillMs float64) float64 {
	return t.value(q.PromptTokens) * t.options.LateLoss * 0.2 * (t.firstEventMs(c, q, prefillMs) / (q.Target.Seconds() * msPerSecond))
}

// delayLosses returns the losses of the prompts that wait at a server by a new part: an engine prefills the
// newest part first, which delays all of them by its length. Without this loss, each new long prompt pushes
// the earlier ones back until none is in time.
func (t *LoadTable) delayLosses(now time.Time, c *candidate, prefillMs float64) []delayLoss {
	var found []delayLoss
	ahead := c.passMs
	for _, w := range c.state.prefillOrder() {
		ahead += w.prefillMs
		target := w.dispatch.Target
		if target <= 0 {
			continue
		}
		end := now.Sub(w.began) + enginemodel.MillisToDuration(ahead)
		share := lateProbability(end+enginemodel.MillisToDuration(prefillMs), target) - lateProbability(end, target)
		if loss := t.value(w.dispatch.PromptTokens) * t.options.LateLoss * share; loss > 0 {
			found = append(found, delayLoss{w.dispatch, loss})
		}
	}
	return found
}

// firstEventMs predicts the time, in milliseconds, until a part prefilled here is done and the next event
// comes. The backlog counts for a divided prompt too, although engines prefill its part first: parts that
// arrive later delay it in the same way.
func (t *LoadTable) firstEventMs(c *candidate, q Query, prefillMs float64) float64 {
	if t.learned != nil {
		ratio := c.times.Median
		if q.parts > 1 {
			ratio = c.slowdown
		}
		return c.learnedMs(c.modelMs(q, prefillMs), ratio)
	}
	wait := c.backlogMs
	return c.eventMs(q, wait, c.passMs, prefillMs*c.slowdown)
}

// eventMs returns the time until the next event after a wait and a prefill.
func (c *candidate) eventMs(q Query, wait, passMs, prefillMs float64) float64 {
	wait += slotWaitMs(c, q, passMs)
	if c.batch.Answers > 0 {
		return wait + passMs/2 + passMs + prefillMs
	}
	return wait + prefillMs + q.Engine.StepOverheadMs(q.PromptTokens, 1)
}

// slotWaitMs predicts the time, in milliseconds, until a server whose passes take passMs has a slot for one more
// request.
func slotWaitMs(c *candidate, q Query, passMs float64) float64 {
	over := c.requests - q.Engine.Slots + 1
	if over <= 0 {
		return 0
	}
	// A slot is free when the shortest of the running answers is complete, on average after half of the
	// passes of an answer of usual length.
	passes := float64(q.Engine.UsualAnswer) / float64(q.Engine.Stride) / 2
	return float64(over) / float64(q.Engine.Slots) * passes * passMs
}

// lateLoss returns the expected loss of a request by the predicted time to its first event, with a slope
// around the target because predictions are inexact.
func (t *LoadTable) lateLoss(q Query, predicted time.Duration) float64 {
	value := t.value(q.PromptTokens)
	loss := value * t.options.LateLoss * lateProbability(predicted, time.Duration(t.options.TargetShare*float64(q.Target)))
	if predicted > q.Remaining {
		loss += value
	}
	return loss + value*0.05*predicted.Seconds()/q.Target.Seconds()
}

// lateProbability returns the probability that an event comes after a limit, given its predicted time: a
// logistic slope, because predictions are inexact.
func lateProbability(predicted, limit time.Duration) float64 {
	return 1 / (1 + math.Exp(-(predicted.Seconds()-limit.Seconds())/(lateSlope*limit.Seconds())))
}

// lateSlope is the width of the slope relative to the limit.
const lateSlope = 0.06

// crowding returns the expected loss of the next requests by a prefill. They go to servers with little
// backlog as long as there are any; the fewer there are, the more of the next requests are late.
func (t *LoadTable) crowding(candidates []*candidate, q Query) float64 {
	busy := 0.0
	for _, c := range candidates {
		busy += math.Min(c.backlogMs/busyBacklogMs, 1)
	}
	work := q.Engine.PrefillMs(q.PromptTokens, 1) / msPerSecond
	return t.options.WorkPrice * work * busy / float64(len(candidates))
}

// busyBacklogMs is the backlog, in milliseconds, from which the next requests avoid a server.
const busyBacklogMs = 200

package placement

import (
	"math"
	"time"

	"arbutusdeck/core/enginemodel"
)

// value is a request's value in units of a short one.
func (t *LoadTable) value(promptTokens int64) float64 {
	return 1 + float64(promptTokens)/t.options.TokensPerValue
}

// gapLoss is what a read does to the answers of a server: the chance that it makes their pause too
// long, by their value. Pauses that are too long already count no more. An answer that is about to
// begin counts like one that is being written: its first event comes while the new read waits, and the
// read makes its first pause.
func (t *LoadTable) gapLoss(c *candidate, readMs float64, split bool) float64 {
	sum := 0.0
	for _, w := range c.state.workItems {
		gap := w.dispatch.Gap
		if w.index != 0 || gap <= 0 || c.prefillsBefore(w, split) {
			continue
		}
		before := enginemodel.Millis(c.passMs+c.backlogMs-w.prefillMs) + t.options.GapMargin
		after := before + enginemodel.Millis(readMs)
		sum += t.value(w.dispatch.PromptTokens) * t.options.LateLoss * (lateProbability(after, gap) - lateProbability(before, gap))
	}
	return sum
}

// prefillsBefore says whether a new read is done before a prompt that waits to be read: an engine that
// writes nothing takes up the newest part at once. The answer's first event is late by it then, and no
// pause is longer.
func (c *candidate) prefillsBefore(w *workItem, split bool) bool {
	return split && w.prefillMs > 0 && c.batch.Answers == 0
}

// answerLoss is the cost of writing the answer here: full slots, the first answer at a server that
// long prompts could be read on, and the gain of packing it beside answers that bear pauses alike.
// Only answers that are being written draw others: they show that the server works, while one that
// has just been chosen may be full of work that is not in the book. Packed answers leave whole servers
// to the reading of long prompts. The gain shrinks with the part of the target that the choice would
// use up: when many callers come back at once, packing would put their reads one behind the other on
// one server while others are idle.
func (t *LoadTable) answerLoss(c *candidate, q Query) float64 {
	slots := float64(q.Engine.Slots)
	share := float64(c.requests) / slots
	if share >= 1 {
		return t.value(q.PromptTokens) * share
	}
	alike, others := 0, 0
	for _, w := range c.state.workItems {
		switch {
		case w.index != 0:
		case similarGaps(w.dispatch.Gap, q.Gap):
			if w.writing {
				alike++
			}
		default:
			others++
		}
	}
	open := 0.0
	if alike == 0 {
		open = t.options.OpenLoss * t.value(q.PromptTokens)
	}
	gain := t.options.PackGain * t.value(q.PromptTokens)
	used := t.firstEventMs(c, q, q.Engine.ReadMs(q.PromptTokens, 1)) / (q.Target.Seconds() * msPerSecond)
	gain *= math.Max(1-used, 0)
	if share >= t.packing.share {
		return open + gain*float64(c.requests)
	}
	return open + gain*float64(others-alike)
}

// similarGapFactor is how far the pauses that two answers bear may lie apart for them
// to be packed together.
const similarGapFactor = 2

func similarGaps(a, b time.Duration) bool {
	return a <= similarGapFactor*b && b <= similarGapFactor*a
}

// queueLoss spreads equal choices by what waits there.
func (t *LoadTable) queueLoss(q Query, c *candidate, readMs float64) float64 {
	return t.value(q.PromptTokens) * t.options.LateLoss * 0.2 * (t.firstEventMs(c, q, readMs) / (q.Target.Seconds() * msPerSecond))
}

// delayLosses are what a part costs the reads that wait at a server: an engine reads the newest part
// first, so all of them come later by as much. Without it, each new long prompt pushes the earlier
// ones back until none is in time.
func (t *LoadTable) delayLosses(now time.Time, c *candidate, readMs float64) []delayLoss {
	var found []delayLoss
	ahead := c.passMs
	for _, w := range c.state.prefillOrder() {
		ahead += w.prefillMs
		target := w.dispatch.Target
		if target <= 0 {
			continue
		}
		end := now.Sub(w.began) + enginemodel.Millis(ahead)
		share := lateProbability(end+enginemodel.Millis(readMs), target) - lateProbability(end, target)
		if loss := t.value(w.dispatch.PromptTokens) * t.options.LateLoss * share; loss > 0 {
			found = append(found, delayLoss{w.dispatch, loss})
		}
	}
	return found
}

// firstEventMs predicts when a part read here is done and the next event comes.
// The backlog counts also for a divided prompt, which engines read before it: the
// parts that come after it do the same to it.
func (t *LoadTable) firstEventMs(c *candidate, q Query, readMs float64) float64 {
	readMs *= c.state.health.slowdown()
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
func (t *LoadTable) lateLoss(q Query, predicted time.Duration) float64 {
	value := t.value(q.PromptTokens)
	loss := value * t.options.LateLoss * lateProbability(predicted, time.Duration(t.options.TargetShare*float64(q.Target)))
	if predicted > q.Remaining {
		loss += value
	}
	return loss + value*0.05*predicted.Seconds()/q.Target.Seconds()
}

// lateProbability is the believed chance that what is predicted for a time comes after a
// limit: a slope, because predictions err.
func lateProbability(predicted, limit time.Duration) float64 {
	return 1 / (1 + math.Exp(-(predicted.Seconds()-limit.Seconds())/(lateSlope*limit.Seconds())))
}

// lateSlope is the width of the slope as a share of the limit.
const lateSlope = 0.06

// crowding is what a read is expected to cost the requests that come next: as long as
// some servers have little to read they go there, and the fewer of those there are, the
// more of the next ones are late.
func (t *LoadTable) crowding(candidates []*candidate, q Query) float64 {
	busy := 0.0
	for _, c := range candidates {
		busy += math.Min(c.backlogMs/busyBacklogMs, 1)
	}
	work := q.Engine.ReadMs(q.PromptTokens, 1) / msPerSecond
	return t.options.WorkPrice * work * busy / float64(len(candidates))
}

// busyBacklogMs is the reading, in milliseconds, that makes a server one that next requests
// avoid.
const busyBacklogMs = 200

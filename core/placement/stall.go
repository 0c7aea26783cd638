package placement

import (
	"time"

	"arbutusdeck/core/enginemodel"
)

// A server can be busy with what no entry knows of: prompts that a killed entry left
// behind, a hang, a slow start. Nothing fails there, so its trust stays, and by its book it
// soon looks idle: it would get ever more requests, none of which begins. What gives it away
// is time: by the book the oldest read is long done and its first event has not come.

// stallGrace is what a first event may be late, beyond two passes and the network, before
// the server counts as stalled.
const stallGrace = 60 * time.Millisecond

// stallFactor is how much longer than it has lasted a stall is expected to last in all: of
// what has lasted for an unknown time, the best guess is that it will last as long again.
const stallFactor = 2

// overdue is for how long the oldest first event has been expected here in vain. Requests
// that began before one that has its first event don't count: they were lost for a reason
// of their own. Where more requests are known than there are slots, some of them wait for a
// slot, which the book expects.
func (s *server) overdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	if s.requests() > s.engine.Slots {
		return longest
	}
	for _, w := range s.workItems {
		if w.index != 0 || w.split() || w.writing || w.prefillDone.IsZero() || w.began.Before(s.lastAnswered) {
			continue
		}
		longest = max(longest, now.Sub(w.prefillDone))
	}
	return longest
}

// stall is how much longer the server is believed to work on what is not in the book.
func (s *server) stall(now time.Time) time.Duration {
	if s.engine == nil {
		return 0
	}
	overdue := s.overdue(now)
	if overdue <= stallGrace {
		return 0
	}
	expected := stallGrace
	if batch := s.batch(); batch.Answers > 0 {
		expected += enginemodel.Millis(2 * s.engine.PassMs(batch) * s.health.slowdown())
	}
	return max(overdue-expected, 0) * (stallFactor - 1)
}

// waitingMs is what a new read waits for: the backlog by the book, and the stall.
func (s *server) waitingMs(now time.Time) float64 {
	return s.backlogMs() + s.stall(now).Seconds()*msPerSecond
}

// RedispatchCheckInterval is how often a request without a first event is looked at again after
// MoveCheck. A look costs one choice, and a stall shows within tens of milliseconds.
const RedispatchCheckInterval = 50 * time.Millisecond

// RedispatchCheckDelay is when a request that has no first event yet is looked at again: when the
// event would be overdue. It is zero for a request that stays in any case: a divided
// prompt, whose reads elsewhere would be lost, and a plain service's.
func RedispatchCheckDelay(choice Choice, engine *enginemodel.Engine) time.Duration {
	if engine == nil || len(choice.Helpers) > 0 {
		return 0
	}
	return choice.Predicted + stallGrace
}

// ShouldRedispatch says whether a request without a first event is better sent to another server: its
// own is stalled, and another one would begin before the stall is believed to be over.
func (t *LoadTable) ShouldRedispatch(now time.Time, server string, q Query) bool {
	s := t.servers[server]
	if s == nil {
		return false
	}
	s.advance(now)
	stall := s.stall(now)
	if stall == 0 {
		return false
	}
	q.Exclude = append([]string{server}, q.Exclude...)
	choice, refusal := t.Choose(now, q)
	return refusal == "" && choice.Wait == 0 && choice.Predicted < stall
}

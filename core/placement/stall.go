package placement

import (
	"time"

	"arbutusdeck/core/enginemodel"
)

// A server can be busy with work that no entry knows of: prompts that a killed entry left behind, a hang, a
// slow start. Nothing fails there, so it stays healthy, and by the load table it soon looks idle: it would
// get ever more requests, none of which begins. Such a stall is detected by time: the oldest prefill should
// be long done, and its first event has not come.

// stallGrace is the delay of a first event, beyond two passes and the network, after which the server counts
// as stalled.
const stallGrace = 60 * time.Millisecond

// stallFactor is the expected total length of a stall relative to its length so far: for a stall that has
// lasted for some time, the best estimate is that it lasts as long again.
const stallFactor = 2

// overdue returns how long the oldest first event has been overdue. Requests that began before one that has
// its first event don't count: they were lost for a reason of their own. If there are more requests than
// slots, some of them wait for a slot, as the load table predicts.
func (s *server) overdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	if s.requests() > s.engine.Slots {
		return longest
	}
	for _, w := range s.workItems {
		if w.index != 0 || w.split() || w.writing || w.prefillDone.IsZero() || w.began.Before(s.lastAnsweredStart) {
			continue
		}
		longest = max(longest, now.Sub(w.prefillDone))
	}
	return longest
}

// stall returns how much longer the server is expected to work on load that is missing from the load table.
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
		expected += enginemodel.MillisToDuration(2 * s.engine.PassMs(batch) * s.slowdown(now))
	}
	return max(overdue-expected, 0) * (stallFactor - 1)
}

// waitingMs returns the wait of a new prefill, in milliseconds: the known backlog and the stall.
func (s *server) waitingMs(now time.Time) float64 {
	return s.backlogMs() + s.stall(now).Seconds()*msPerSecond
}

// RedispatchCheckInterval is the interval at which a request without a first event is checked again after
// RedispatchCheckDelay. A check costs one choice, and a stall shows within tens of milliseconds.
const RedispatchCheckInterval = 50 * time.Millisecond

// RedispatchCheckDelay returns the delay after which a request without a first event is checked: when the
// event would be overdue. It returns 0 for a request that is never redispatched: a divided prompt, whose
// prefill at the helpers would be lost, and a request of a plain service.
func RedispatchCheckDelay(choice Choice, engine *enginemodel.Engine) time.Duration {
	if engine == nil || len(choice.Helpers) > 0 {
		return 0
	}
	return choice.Predicted + stallGrace
}

// ShouldRedispatch reports whether a request without a first event is better sent to another server: its own
// is stalled, and another one would begin before the stall is expected to end.
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

package scheduling

import (
	"time"
)

// claimFor keeps isolated jobs off the roomiest engine for a job of another class
// that waits for memory: the long ones would take what becomes free, and keep it
// for minutes.
func (s *Scheduler) claimFor(now time.Time, job *Job) {
	if job.Isolated || s.options.Policy == FirstComeFirstServed {
		return
	}
	var roomiest *engine
	for _, name := range s.names {
		e := s.engines[name]
		if e.spec.Hall == job.Hall && (roomiest == nil || e.free() > roomiest.free()) {
			roomiest = e
		}
	}
	if roomiest != nil && roomiest.free() < job.MemoryTokens() {
		roomiest.claimed, roomiest.claimedUntil = job.MemoryTokens(), now.Add(claimTime)
	}
}

// roomForIsolated leaves a part of the engine to shorter work. While none is
// waiting the share widens to all slots but one, and Pause takes it back.
func (s *Scheduler) roomForIsolated(e *engine, job *Job, isolated int) bool {
	if e.claimed > 0 || e.oldestPaused() != nil || !s.longMemoryFree(e, job.MemoryTokens()) {
		return false
	}
	limit := e.isolatedSlots()
	if waiting, _ := s.halls[job.Hall].waiting(); waiting == 0 {
		limit = max(limit, e.spec.Slots-1)
	}
	return isolated < limit
}

// makeRoom pauses isolated jobs that hold more than their share while a shorter
// job waits for a slot.
func (s *Scheduler) makeRoom(commands []Command, now time.Time, b *band) []Command {
	if s.options.Policy != Isolating {
		return commands
	}
	q := b.next(now, s.options.Policy, s.options.AgeBound)
	if q == nil {
		return commands
	}
	for _, name := range s.names {
		e := s.engines[name]
		active, isolated := e.active()
		if e.spec.Hall != q.job.Hall || active < e.spec.Slots || isolated <= e.isolatedSlots() {
			continue
		}
		victim := e.youngestIsolated()
		victim.paused = true
		commands = append(commands, Pause{Attempt: victim.job.Attempt, Engine: name})
		return s.drainBand(commands, now, b)
	}
	return commands
}

// resume lets the longest paused job go on once a slot is free.
func (s *Scheduler) resume(commands []Command, e *engine) []Command {
	for {
		active, isolated := e.active()
		limit := e.isolatedSlots()
		if hall := s.halls[e.spec.Hall]; hall != nil {
			if waiting, _ := hall.waiting(); waiting == 0 {
				limit = max(limit, e.spec.Slots-1)
			}
		}
		oldest := e.oldestPaused()
		if oldest == nil || active >= e.spec.Slots || isolated >= limit {
			return commands
		}
		oldest.paused = false
		commands = append(commands, Resume{Attempt: oldest.job.Attempt, Engine: e.spec.Name})
	}
}

// settleCredit counts the time since the last look during which isolated
// prefills stood behind shorter ones.
func (s *Scheduler) settleCredit(now time.Time, e *engine) {
	elapsed := now.Sub(e.creditAt)
	e.creditAt = now
	short, long := e.prefillsByIsolation()
	if long == nil {
		e.credit = 0
		return
	}
	if short && long.boosted.IsZero() {
		e.credit += time.Duration(s.options.MinPrefillShare * float64(elapsed))
	}
}

// slice raises the oldest long prefill for one slice each time the floor share
// owes it that much. Strict priority alone would starve it under a steady
// stream of short prompts; a short one waits for one slice at most.
func (s *Scheduler) slice(commands []Command, now time.Time, e *engine) []Command {
	if s.options.Policy != Isolating {
		return commands
	}
	s.settleCredit(now, e)
	short, long := e.prefillsByIsolation()
	if long == nil {
		return commands
	}
	if !long.boosted.IsZero() {
		if now.Before(long.boosted) && short {
			return commands
		}
		long.boosted = time.Time{}
		return append(commands, SetPriority{Attempt: long.job.Attempt, Engine: e.spec.Name, Priority: long.priority})
	}
	if short && e.credit >= s.options.BoostDuration {
		e.credit -= s.options.BoostDuration
		long.boosted = now.Add(s.options.BoostDuration)
		return append(commands, SetPriority{Attempt: long.job.Attempt, Engine: e.spec.Name, Priority: boostedPriority})
	}
	return commands
}

// boostedPriority goes before every rank.
const boostedPriority = -1

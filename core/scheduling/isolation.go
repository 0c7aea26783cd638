package scheduling

import (
	"time"
)

// claimMemory keeps isolated jobs off the engine with the most free memory while a
// job of another class waits for memory: long jobs would take the memory that
// becomes free and hold it for minutes.
func (s *Scheduler) claimMemory(now time.Time, job *Job) {
	if job.Isolated || s.options.Policy == FirstComeFirstServed {
		return
	}
	var freest *engine
	for _, name := range s.names {
		e := s.engines[name]
		if e.spec.Hall == job.Hall && (freest == nil || e.freeMemory() > freest.freeMemory()) {
			freest = e
		}
	}
	if freest != nil && freest.freeMemory() < job.MemoryTokens() {
		freest.claimed, freest.claimedUntil = job.MemoryTokens(), now.Add(claimDuration)
	}
}

// hasIsolatedCapacity reports whether the engine can take an isolated job. A part of
// the engine is kept for shorter jobs. While none of them waits, isolated jobs may
// take all slots but one; preempt takes them back.
func (s *Scheduler) hasIsolatedCapacity(e *engine, job *Job, isolated int) bool {
	if e.claimed > 0 || e.oldestPaused() != nil || !s.longMemoryFree(e, job.MemoryTokens()) {
		return false
	}
	limit := e.isolatedSlots()
	if waiting, _ := s.queues[job.Hall].waiting(); waiting == 0 {
		limit = max(limit, e.spec.Slots-1)
	}
	return isolated < limit
}

// preempt pauses an isolated job on an engine where these hold more than their share
// while a shorter job waits for a slot.
func (s *Scheduler) preempt(commands []Command, now time.Time, queue *fairQueue) []Command {
	if s.options.Policy != Isolating {
		return commands
	}
	q := queue.next(now, s.options.Policy, s.options.AgeBound)
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
		return s.dispatchQueue(commands, now, queue)
	}
	return commands
}

// resume continues paused jobs, the oldest first, while slots are free.
func (s *Scheduler) resume(commands []Command, e *engine) []Command {
	for {
		active, isolated := e.active()
		limit := e.isolatedSlots()
		if queues := s.queues[e.spec.Hall]; queues != nil {
			if waiting, _ := queues.waiting(); waiting == 0 {
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

// accrueCredit adds to the engine's credit the share of the time since the last call
// during which isolated prefills waited behind shorter ones.
func (s *Scheduler) accrueCredit(now time.Time, e *engine) {
	elapsed := now.Sub(e.creditedAt)
	e.creditedAt = now
	short, long := e.prefillsByIsolation()
	if long == nil {
		e.credit = 0
		return
	}
	if short && long.boostedUntil.IsZero() {
		e.credit += time.Duration(s.options.MinPrefillShare * float64(elapsed))
	}
}

// boostPrefill raises the priority of the oldest long prefill for one BoostDuration
// each time its credit has reached that much. Strict priority alone would starve it
// under a steady stream of short prompts; a short one is delayed by at most one
// BoostDuration.
func (s *Scheduler) boostPrefill(commands []Command, now time.Time, e *engine) []Command {
	if s.options.Policy != Isolating {
		return commands
	}
	s.accrueCredit(now, e)
	short, long := e.prefillsByIsolation()
	if long == nil {
		return commands
	}
	if !long.boostedUntil.IsZero() {
		if now.Before(long.boostedUntil) && short {
			return commands
		}
		long.boostedUntil = time.Time{}
		return append(commands, SetPriority{Attempt: long.job.Attempt, Engine: e.spec.Name, Priority: long.priority})
	}
	if short && e.credit >= s.options.BoostDuration {
		e.credit -= s.options.BoostDuration
		long.boostedUntil = now.Add(s.options.BoostDuration)
		return append(commands, SetPriority{Attempt: long.job.Attempt, Engine: e.spec.Name, Priority: boostedPriority})
	}
	return commands
}

// boostedPriority precedes every rank.
const boostedPriority = -1

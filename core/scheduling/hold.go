package scheduling

import (
	"errors"
	"fmt"
	"time"
)

// claimTime is how long a refused hold keeps isolated jobs off the memory that it
// asked for. Its owner asks again well within that time.
const claimTime = 3 * time.Second

// Errors of Hold; they are wrapped with the engine.
var (
	ErrUnknownEngine      = errors.New("no such engine")
	ErrInsufficientMemory = errors.New("not enough free memory")
)

// Reserve takes an engine's memory for a part of a group reservation. A second hold
// of the same name on the same engine does nothing. A refused one leaves a claim:
// no isolated job takes the memory that becomes free while it lasts. Without it a
// prompt that needs several engines would be overtaken for ever by prompts that
// need one; and since a claim holds nothing, two of them can't block each other.
func (s *Scheduler) Reserve(now time.Time, engineName, reservation string, tokens int64) error {
	e := s.engines[engineName]
	if e == nil {
		return fmt.Errorf("%w: %s", ErrUnknownEngine, engineName)
	}
	if _, held := e.holds[reservation]; held {
		return nil
	}
	if !s.longMemoryFree(e, tokens) {
		e.claimed, e.claimedUntil = tokens, now.Add(claimTime)
		return fmt.Errorf("%w: %s", ErrInsufficientMemory, engineName)
	}
	e.claimed = 0
	e.holds[reservation] = hold{tokens, now}
	e.memory += tokens
	return nil
}

// hold is the memory of one part of a group reservation.
type hold struct {
	tokens int64
	since  time.Time
}

// Release gives a reservation's memory back. It is idempotent. One that is given
// back at once had been refused elsewhere and will be asked for again: it leaves
// a claim, or the parts that were free would be taken meanwhile, in turn.
func (s *Scheduler) Release(now time.Time, reservation string) {
	for _, e := range s.engines {
		held, ok := e.holds[reservation]
		if !ok {
			continue
		}
		e.memory -= held.tokens
		delete(e.holds, reservation)
		if now.Sub(held.since) < claimTime {
			e.claimed, e.claimedUntil = held.tokens, now.Add(claimTime)
		}
	}
}

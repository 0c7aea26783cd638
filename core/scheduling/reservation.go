package scheduling

import (
	"errors"
	"fmt"
	"time"
)

// claimDuration is the time for which a refused reservation keeps isolated jobs off
// the memory that it asked for. Its owner retries well within that time.
const claimDuration = 3 * time.Second

// Errors of Reserve; they are wrapped with the engine's name.
var (
	ErrUnknownEngine      = errors.New("no such engine")
	ErrInsufficientMemory = errors.New("not enough free memory")
)

// Reserve reserves memory of an engine for a part of a group reservation. It is
// idempotent for the same reservation and engine. If the memory is not free, it
// leaves a claim: until the claim expires, no isolated job takes memory that
// becomes free. Without claims, prompts that need one engine would starve a prompt
// that needs several; since a claim holds no memory, claims can't deadlock.
func (s *Scheduler) Reserve(now time.Time, engineName, reservation string, tokens int64) error {
	e := s.engines[engineName]
	if e == nil {
		return fmt.Errorf("%w: %s", ErrUnknownEngine, engineName)
	}
	if _, held := e.reservations[reservation]; held {
		return nil
	}
	if !s.longMemoryFree(e, tokens) {
		e.claimed, e.claimedUntil = tokens, now.Add(claimDuration)
		return fmt.Errorf("%w: %s", ErrInsufficientMemory, engineName)
	}
	e.claimed = 0
	e.reservations[reservation] = partReservation{tokens, now}
	e.usedMemory += tokens
	return nil
}

// partReservation is the memory reserved for one part of a group reservation.
type partReservation struct {
	tokens int64
	since  time.Time
}

// Release releases a reservation's memory. It is idempotent. A reservation that is
// released shortly after it was made was refused by another engine and will be
// retried: it leaves a claim, or other jobs would take its free parts meanwhile.
func (s *Scheduler) Release(now time.Time, reservation string) {
	for _, e := range s.engines {
		held, ok := e.reservations[reservation]
		if !ok {
			continue
		}
		e.usedMemory -= held.tokens
		delete(e.reservations, reservation)
		if now.Sub(held.since) < claimDuration {
			e.claimed, e.claimedUntil = held.tokens, now.Add(claimDuration)
		}
	}
}

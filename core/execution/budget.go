package execution

import (
	"sync"
	"time"
)

// Defaults of the retry budget.
const (
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 20
)

// RetryBudget bounds retries to a part of first attempts. Without it, a fleet
// that fails is asked several times as much as one that works, and stays down
// after the cause is gone. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
	// refill is in tokens a second.
	refill   float64
	refilled time.Time
	// shared is what the budget is a part of; nil if it is none.
	shared *sharedExtra
}

// sharedExtra is how many retries all sharers together may make in any window, beyond a ratio of the requests.
type sharedExtra struct {
	extra  float64
	window time.Duration
}

// leastBurst is what a part of a shared budget may save: a retry takes a whole token.
const leastBurst = 1

// NewSharedRetryBudget returns a part of a budget that sharers spend without a word to each other. In any window all
// parts together let extra + ratio*requests retries through, as long as there are no more sharers than extra: a part is
// then at least one retry in a window. Where there are more, each of them may still save one.
func NewSharedRetryBudget(ratio, extra float64, window time.Duration, sharers int) *RetryBudget {
	b := &RetryBudget{ratio: ratio, shared: &sharedExtra{extra, window}}
	b.divide(sharers)
	b.tokens = min(b.burst, extra/float64(sharers))
	return b
}

// SetSharers sets how many sharers a shared budget is divided among.
func (b *RetryBudget) SetSharers(sharers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.divide(sharers)
	b.tokens = min(b.tokens, b.burst)
}

// divide lets half of the part be saved, and at least one retry; the rest comes back over a window. The lock is held.
func (b *RetryBudget) divide(sharers int) {
	part := b.shared.extra / float64(max(sharers, 1))
	b.burst = max(part/2, leastBurst)
	b.refill = max(part-b.burst, 0) / b.shared.window.Seconds()
}

// NewRetryBudget returns a full budget. Each first attempt adds ratio tokens,
// up to burst; each retry takes one.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	return &RetryBudget{tokens: float64(burst), ratio: ratio, burst: float64(burst)}
}

// FirstAttempt adds to the budget.
func (b *RetryBudget) FirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take takes one token and reports whether there was one.
func (b *RetryBudget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.refill > 0 {
		if !b.refilled.IsZero() {
			b.tokens = min(b.burst, b.tokens+b.refill*now.Sub(b.refilled).Seconds())
		}
		b.refilled = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

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

// RetryBudget limits retries to a fraction of first attempts. Without it, retries
// multiply the load on a failing fleet and keep it down after the cause is removed.
// It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
	// refill is in tokens per second.
	refill   float64
	refilled time.Time
	// shared is the budget of which this one is a share; nil if it is not shared.
	shared *sharedBudget
}

// sharedBudget bounds the retries that all sharers together may make in any window, beyond a ratio of the requests.
type sharedBudget struct {
	extra  float64
	window time.Duration
}

// minBurst is the least capacity of a share of a budget: a retry takes a whole token.
const minBurst = 1

// NewSharedRetryBudget returns one share of a budget that its sharers spend without communicating. In any window all
// shares together allow extra + ratio*requests retries, as long as there are no more sharers than extra: a share is then
// at least one retry per window. With more sharers each may still accumulate one retry.
func NewSharedRetryBudget(ratio, extra float64, window time.Duration, sharers int) *RetryBudget {
	b := &RetryBudget{ratio: ratio, shared: &sharedBudget{extra, window}}
	b.divide(sharers)
	b.tokens = min(b.burst, extra/float64(sharers))
	return b
}

// SetSharers sets the number of sharers among which a shared budget is divided.
func (b *RetryBudget) SetSharers(sharers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.divide(sharers)
	b.tokens = min(b.tokens, b.burst)
}

// divide sets the burst to half of the share, but at least one retry, and refills the rest over a window. The caller
// holds the lock.
func (b *RetryBudget) divide(sharers int) {
	part := b.shared.extra / float64(max(sharers, 1))
	b.burst = max(part/2, minBurst)
	b.refill = max(part-b.burst, 0) / b.shared.window.Seconds()
}

// NewRetryBudget returns a full budget. Each first attempt adds ratio tokens, up
// to burst; each retry takes one token.
func NewRetryBudget(ratio float64, burst int) *RetryBudget {
	return &RetryBudget{tokens: float64(burst), ratio: ratio, burst: float64(burst)}
}

// FirstAttempt adds ratio tokens to the budget.
func (b *RetryBudget) FirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take takes one token and reports whether one was available.
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

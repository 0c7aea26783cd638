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
}

// NewRefilledRetryBudget returns a budget that also gains refill tokens a second.
// In a window of w seconds it lets burst + w*refill + ratio*requests retries
// through at the most.
func NewRefilledRetryBudget(ratio, burst, refill float64) *RetryBudget {
	return &RetryBudget{tokens: burst, ratio: ratio, burst: burst, refill: refill}
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

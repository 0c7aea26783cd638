package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
)

var start = time.Unix(4_000, 0)

// A request that can't be served in time is refused at once, with a retry delay after
// which the queue has drained far enough.
func TestLimitsRefuseEarly(t *testing.T) {
	ask := func(change func(*Offer)) Offer {
		a := Offer{Workspace: "w", Deadline: start.Add(10 * time.Second), Target: time.Second, Predicted: 300 * time.Millisecond, OwnPrefill: 200 * time.Millisecond}
		change(&a)
		return a
	}
	cases := []struct {
		name  string
		ask   Offer
		code  execution.Code
		after time.Duration
	}{
		{"room", ask(func(*Offer) {}), "", 0},
		{"long own work is no wait", ask(func(a *Offer) { a.Predicted, a.OwnPrefill = 5*time.Second, 5*time.Second }), "", 0},
		{"past the target", ask(func(a *Offer) { a.Predicted = 3200 * time.Millisecond }), execution.CodeQueueFull, 2 * time.Second},
		{"past the deadline", ask(func(a *Offer) { a.Predicted, a.OwnPrefill = 14*time.Second, 14*time.Second }), execution.CodeInfeasible, 4 * time.Second},
		{"queue full", ask(func(a *Offer) { a.Waiting = 512 }), execution.CodeQueueFull, minRetryAfter},
		{"too many open", ask(func(a *Offer) { a.Concurrency = 1 }), execution.CodeQueueFull, minRetryAfter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLimits(DefaultLimitOptions())
			l.Opened("w")
			refusal := l.Check(start, c.ask)
			if c.code == "" {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, c.code, refusal.Code)
			require.Equal(t, c.after, refusal.RetryAfter)
		})
	}
}

// A quota has a burst of two seconds, refuses with the delay until the request fits,
// and admits one prompt larger than the burst when the bucket is full.
func TestSharesSpendTheQuota(t *testing.T) {
	s := NewShares(DefaultShareOptions())
	quota := Quota{RequestsPerSecond: 5, TokensPerSecond: 1000}
	for range 10 {
		require.Nil(t, s.Admit(start, "w", quota, 10))
	}
	refusal := s.Admit(start, "w", quota, 10)
	require.NotNil(t, refusal)
	require.Equal(t, 200*time.Millisecond, refusal.RetryAfter)
	later := start.Add(10 * time.Second)
	require.Nil(t, s.Admit(later, "w", quota, 50_000))
	refusal = s.Admit(later.Add(time.Second), "w", quota, 10)
	require.NotNil(t, refusal)
	require.Greater(t, refusal.RetryAfter, 40*time.Second, "tokens taken in advance delay later requests")
	require.Nil(t, s.Admit(later, "free", Quota{}, 1_000_000))
}

// An entry without recent hints falls back to an equal part.
func TestSharesFallBack(t *testing.T) {
	s := NewShares(DefaultShareOptions())
	s.Configure(4, func(string) bool { return true })
	for range 200 {
		s.Hint(start, "w", 1)
	}
	require.InDelta(t, 1, s.Fraction(start, "w"), 0.01)
	require.InDelta(t, 0.25, s.Fraction(start.Add(11*time.Second), "w"), 0.01)
}

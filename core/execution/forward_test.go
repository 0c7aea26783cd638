package execution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var forwardStart = time.Unix(1000, 0)

func forward(repeat RetryPolicy, attempts int, retries *int) *Forward {
	return NewForward(ForwardOptions{RetryPolicy: repeat, MaxAttempts: attempts, Deadline: forwardStart.Add(10 * time.Second),
		TakeRetry: func(time.Time) bool {
			*retries--
			return *retries >= 0
		}})
}

func broken(server string) ForwardResult {
	return ForwardResult{Server: server, Kind: ForwardBroken, Refusal: Refusal{Code: CodeConnectionLost}}
}

// The caller of an order gets an error that promises nothing, at once. Its one try
// was sent and the connection broke before an answer; a second one could charge a
// pensioner twice, and "not run" could be false.
func TestAnOrderThatMayHaveRunIsNeitherRepeatedNorCalledNotRun(t *testing.T) {
	retries := 5
	f := forward(RetryNever, 3, &retries)
	f.RecordSend()
	step := f.AttemptEnded(forwardStart, broken("a"))
	require.False(t, step.Retry)
	require.Equal(t, Unknown, step.Conclusion.Outcome)
	require.Equal(t, 5, retries, "no retry was taken from the budget")
}

func TestWhatAServerSaysItDidNotRunMayGoElsewhere(t *testing.T) {
	retries := 5
	f := forward(RetryNever, 2, &retries)
	f.RecordSend()
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardNotExecuted, Refusal: Refusal{Code: CodeQueueFull}}).Retry)
	require.Equal(t, []string{"a"}, f.Excluded())
	f.RecordSend()
	step := f.AttemptEnded(forwardStart, ForwardResult{Server: "b", Kind: ForwardNotExecuted, Refusal: Refusal{Code: CodeQueueFull}})
	require.False(t, step.Retry, "it was sent to as many servers as its route allows")
	require.Equal(t, NotRun, step.Conclusion.Outcome)
}

// Two workers refuse, one after the other, and the budget of retries is empty: the
// caller is told at once that nothing ran.
func TestAnEmptyBudgetEndsTheRequest(t *testing.T) {
	retries := 0
	f := forward(RetryAlways, 5, &retries)
	f.RecordSend()
	step := f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardNotExecuted})
	require.Equal(t, NotRun, step.Conclusion.Outcome)
}

func TestAServerThatCanNotBeReachedCostsNoAttempt(t *testing.T) {
	retries := 0
	f := forward(RetryNever, 1, &retries)
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardUnsent}).Retry)
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "b", Kind: ForwardUnsent}).Retry)
	step := f.AttemptEnded(forwardStart, ForwardResult{Server: "c", Kind: ForwardUnsent, Refusal: Refusal{Code: CodeConnectionLost}})
	require.Equal(t, NotRun, step.Conclusion.Outcome)
}

func TestAnIdempotentFailureIsRepeatedAndThenHandedOn(t *testing.T) {
	retries := 5
	f := forward(RetryAlways, 2, &retries)
	f.RecordSend()
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardFailed, HasAnswer: true}).Retry)
	f.RecordSend()
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "b", Kind: ForwardFailed, HasAnswer: true}).UseAnswer)
}

// A stream breaks after its third event. A resumable one goes on elsewhere; one
// that is only idempotent must not be begun anew, because its caller would get the
// pieces of two runs.
func TestADeliveredPartForbidsAFreshRunButNotAResumedOne(t *testing.T) {
	for repeat, again := range map[RetryPolicy]bool{RetryResumable: true, RetryAlways: false, RetryNever: false} {
		retries := 5
		f := forward(repeat, 2, &retries)
		f.RecordSend()
		result := broken("a")
		result.Delivered = true
		require.Equal(t, again, f.AttemptEnded(forwardStart, result).Retry, repeat)
	}
}

func TestNothingIsTriedPastTheDeadline(t *testing.T) {
	retries := 5
	f := forward(RetryAlways, 5, &retries)
	require.NotNil(t, f.AttemptEnded(forwardStart.Add(time.Minute), ForwardResult{Server: "a", Kind: ForwardUnsent}).Conclusion)
}

// Whatever the order of results: "not run" is said only if no try that was sent
// ended without the server's word that it did not run it.
func TestNotRunIsAlwaysTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries := rapid.IntRange(0, 5).Draw(t, "retries")
		repeat := rapid.SampledFrom([]RetryPolicy{RetryNever, RetryAlways, RetryResumable}).Draw(t, "repeat")
		f := forward(repeat, rapid.IntRange(1, 4).Draw(t, "attempts"), &retries)
		mayHaveRun := 0
		for {
			kind := rapid.SampledFrom([]ForwardKind{ForwardUnsent, ForwardNotExecuted, ForwardFailed, ForwardBroken}).Draw(t, "kind")
			if kind != ForwardUnsent {
				f.RecordSend()
			}
			if kind == ForwardFailed || kind == ForwardBroken {
				mayHaveRun++
			}
			step := f.AttemptEnded(forwardStart, ForwardResult{Server: "s", Kind: kind})
			if step.Retry {
				continue
			}
			if step.Conclusion != nil && step.Conclusion.Outcome == NotRun && mayHaveRun > 0 {
				t.Fatal("called not run although a try may have run")
			}
			if repeat == RetryNever && mayHaveRun > 1 {
				t.Fatal("ran twice")
			}
			return
		}
	})
}

func TestTheRefilledBudgetBoundsAWindow(t *testing.T) {
	b := NewSharedRetryBudget(0, 10, 10*time.Second, 1)
	taken := 0
	for ms := range 10_000 {
		if b.Take(forwardStart.Add(time.Duration(ms) * time.Millisecond)) {
			taken++
		}
	}
	require.GreaterOrEqual(t, taken, 9)
	require.LessOrEqual(t, taken, 10, "the burst and ten seconds of refill")
}

// Hundreds of entries share a budget, and each one's part of what may be spent at once was less than one retry: none of
// them ever made any. Callers got servers' own failures, and waited for servers that had gone dark, with the budget unspent.
func TestASmallPartOfABudgetSufficesForARetry(t *testing.T) {
	const extra, window = 728, 10 * time.Second
	for _, sharers := range []int{1, 100, 424, 700} {
		spent, parts := 0, make([]*RetryBudget, sharers)
		for i := range parts {
			parts[i] = NewSharedRetryBudget(0.14, extra, window, sharers)
			require.True(t, parts[i].Take(forwardStart), "%d sharers", sharers)
			spent++
		}
		for ms := 1; ms < int(window.Milliseconds()); ms += 10 {
			for _, part := range parts {
				if part.Take(forwardStart.Add(time.Duration(ms) * time.Millisecond)) {
					spent++
				}
			}
		}
		require.LessOrEqual(t, spent, extra, "%d sharers", sharers)
		require.GreaterOrEqual(t, spent, extra/2, "%d sharers", sharers)
	}
}

// An entry that has just started knows few others, and takes more of the shared budget than is its part. It gives it up
// when it hears of them.
func TestAPartShrinksWithTheSharersThatBecomeKnown(t *testing.T) {
	b := NewSharedRetryBudget(0, 100, 10*time.Second, 1)
	b.SetSharers(50)
	taken := 0
	for b.Take(forwardStart) {
		taken++
	}
	require.Equal(t, 1, taken)
	for ms := range 11_000 {
		if b.Take(forwardStart.Add(time.Duration(ms) * time.Millisecond)) {
			taken++
		}
	}
	require.Equal(t, 2, taken)
}

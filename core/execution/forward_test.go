package execution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var forwardStart = time.Unix(1000, 0)

func forward(policy RetryPolicy, attempts int, retries *int) *Forward {
	return NewForward(ForwardOptions{RetryPolicy: policy, MaxAttempts: attempts, Deadline: forwardStart.Add(10 * time.Second),
		TakeRetry: func(time.Time) bool {
			*retries--
			return *retries >= 0
		}})
}

func broken(server string) ForwardResult {
	return ForwardResult{Server: server, Kind: ForwardBroken, Refusal: Refusal{Code: CodeConnectionLost}}
}

// The only attempt of a non-idempotent request was sent and the connection broke
// before an answer. A retry could run it twice and NotRun could be false, so the
// outcome is Unknown at once.
func TestANonIdempotentRequestThatMayHaveRunIsNotRetried(t *testing.T) {
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

// A server refuses the request and the retry budget is empty: the outcome is NotRun
// without a further attempt.
func TestAnEmptyRetryBudgetEndsTheRequest(t *testing.T) {
	retries := 0
	f := forward(RetryAlways, 5, &retries)
	f.RecordSend()
	step := f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardNotExecuted})
	require.Equal(t, NotRun, step.Conclusion.Outcome)
}

func TestAnUnreachableServerCostsNoAttempt(t *testing.T) {
	retries := 0
	f := forward(RetryNever, 1, &retries)
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardUnsent}).Retry)
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "b", Kind: ForwardUnsent}).Retry)
	step := f.AttemptEnded(forwardStart, ForwardResult{Server: "c", Kind: ForwardUnsent, Refusal: Refusal{Code: CodeConnectionLost}})
	require.Equal(t, NotRun, step.Conclusion.Outcome)
}

func TestAnIdempotentFailureIsRetriedAndThenRelayed(t *testing.T) {
	retries := 5
	f := forward(RetryAlways, 2, &retries)
	f.RecordSend()
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "a", Kind: ForwardFailed, HasAnswer: true}).Retry)
	f.RecordSend()
	require.True(t, f.AttemptEnded(forwardStart, ForwardResult{Server: "b", Kind: ForwardFailed, HasAnswer: true}).UseAnswer)
}

// A stream breaks after a part of its answer was delivered. A resumable request
// continues on another server. One that is only idempotent must not be retried,
// because its caller would get parts of two runs.
func TestADeliveredPartForbidsAFreshRunButNotAResumedOne(t *testing.T) {
	for policy, retry := range map[RetryPolicy]bool{RetryResumable: true, RetryAlways: false, RetryNever: false} {
		retries := 5
		f := forward(policy, 2, &retries)
		f.RecordSend()
		result := broken("a")
		result.Delivered = true
		require.Equal(t, retry, f.AttemptEnded(forwardStart, result).Retry, policy)
	}
}

func TestNoAttemptAfterTheDeadline(t *testing.T) {
	retries := 5
	f := forward(RetryAlways, 5, &retries)
	require.NotNil(t, f.AttemptEnded(forwardStart.Add(time.Minute), ForwardResult{Server: "a", Kind: ForwardUnsent}).Conclusion)
}

// For any sequence of results the outcome is NotRun only if the servers state of
// every attempt that was sent that they did not run it.
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

// With hundreds of sharers the burst of a share would be less than one retry, so that no entry could ever retry:
// callers got the servers' errors, or waited for unreachable servers, with the budget unspent.
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

// An entry that has just started knows few others and takes more than its share of the budget. The share has to shrink
// once the others are discovered.
func TestABudgetShareShrinksWhenSharersAreDiscovered(t *testing.T) {
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

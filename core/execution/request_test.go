package execution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry stops while a request waits in a host's queue. It asks the host for the outcome and does not
// retry; without a reply in time the outcome is Unknown.
func TestAnEntryThatEndsAsksWhetherARequestHasRun(t *testing.T) {
	now := time.Unix(1000, 0)
	ends := EntryStopping{Refusal{Code: CodeDraining}}
	waiting := func() *Request {
		r := NewRequest(RequestOptions{ID: "r", Retryable: true, Deadline: now.Add(time.Minute), NewAttempt: func() AttemptID { return "a" },
			TakeRetry: func(time.Time) bool { return true }})
		r.Step(now, RequestStarted{})
		r.Step(now, Picked{Target{Server: "s"}})
		require.IsType(t, OpenStream{}, r.Step(now, OfferAnswered{Attempt: "a", Result: OfferResult{Verdict: Accepted}})[0])
		require.IsType(t, SendCancel{}, r.Step(now, ends)[0])
		return r
	}
	for outcome, answer := range map[Outcome]Event{NotRun: CancelAnswered{"a", NotRun}, Failed: CancelAnswered{"a", Failed}, Unknown: ends} {
		actions := waiting().Step(now, answer)
		require.Equal(t, []Action{Conclude{Conclusion{Outcome: outcome, Refusal: &ends.Refusal, Attempts: 1}}}, actions, outcome.String())
	}
}

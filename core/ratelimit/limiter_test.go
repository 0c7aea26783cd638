package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

func TestALimitHoldsUntilALaterResponseStatesNone(t *testing.T) {
	l := NewLimiter()
	require.True(t, l.RecordLimit(start, "a", 2))
	require.False(t, l.RecordLimit(start.Add(time.Second), "a", 2), "known")
	require.True(t, l.RecordLimit(start.Add(2*time.Second), "a", 1), "another one")
	require.False(t, l.RecordNoLimit(start.Add(4*time.Second), "a", start.Add(time.Second)), "sent before the limit was stated")
	require.Equal(t, 1, l.Count())
	require.True(t, l.RecordNoLimit(start.Add(4*time.Second), "a", start.Add(3*time.Second)))
	require.False(t, l.RecordNoLimit(start.Add(4*time.Second), "b", start.Add(3*time.Second)), "never limited")
	require.Zero(t, l.Count())
}

func TestServersThatAreNotListedAreDroppedAfterAWhile(t *testing.T) {
	l := NewLimiter()
	l.RecordLimit(start, "a@1", 2)
	l.RecordLimit(start, "b@1", 2)
	listed := func(incarnation string) bool { return incarnation == "b@1" }
	l.Expire(start.Add(retention), listed)
	require.Equal(t, 2, l.Count(), "a row that has expired during an outage may return")
	l.Expire(start.Add(retention+1), listed)
	require.Equal(t, 1, l.Count())
}

// shares returns the share function of an entry that knows the others, ordered by their numbers.
func shares(rank, entries int) ShareFunc {
	return func(string) Share { return Share{rank, entries} }
}

func TestAnEntrySendsAtItsShareOfTheLimit(t *testing.T) {
	l := NewLimiter()
	_, sends := l.Next(start, "a", nil)
	require.True(t, sends, "no limit is known")
	l.RecordLimit(start, "a", 2)
	next, sends := l.Next(start, "a", shares(1, 3))
	require.True(t, sends)
	require.Equal(t, start.Add(settleTime), next, "what was sent before counts, and the entry may know too few others")
	l.RecordSend(start.Add(3*time.Second), "a")
	next, _ = l.Next(start.Add(3*time.Second), "a", shares(1, 2))
	require.Equal(t, start.Add(4*time.Second), next, "entries come and go")
	_, sends = l.Next(start.Add(5*time.Second), "a", shares(6, 9))
	require.False(t, sends, "six entries send to it")
	_, sends = l.Next(start.Add(7*time.Second), "a", shares(0, 0))
	require.False(t, sends, "this entry does not share the limit")
}

func TestALimitOfZeroStillLetsRequestsFindItsEnd(t *testing.T) {
	l := NewLimiter()
	l.RecordLimit(start, "a", 0)
	next, sends := l.Next(start.Add(settleTime), "a", shares(0, 1))
	require.True(t, sends)
	require.Equal(t, start.Add(10*time.Second), next)
}

func TestStatementsOfOtherEntriesHoldUntilLaterOnes(t *testing.T) {
	here, there := NewLimiter(), NewLimiter()
	there.RecordLimit(start, "a", 2)
	tell := func(now time.Time) bool {
		changed := false
		for _, statement := range there.Statements(now) {
			changed = here.Learn(now, statement) || changed
		}
		return changed
	}
	require.True(t, tell(start.Add(time.Second)))
	require.Equal(t, 1, here.Count())
	require.False(t, tell(start.Add(2*time.Second)), "known")
	require.Empty(t, here.Statements(start.Add(2*time.Second)), "only what arrived here is told")
	require.True(t, here.RecordNoLimit(start.Add(3*time.Second), "a", start.Add(2*time.Second)))
	require.False(t, tell(start.Add(4*time.Second)), "older than its end")
	for _, statement := range here.Statements(start.Add(4 * time.Second)) {
		require.True(t, there.Learn(start.Add(4*time.Second), statement))
	}
	require.Zero(t, there.Count())
	require.False(t, here.Learn(start, Statement{Server: "b", Limited: true, PerSecond: 1, Age: retention.Milliseconds() + 1}), "its end may be forgotten")
	require.False(t, here.Learn(start, Statement{Server: "b"}), "no limit to end")
}

func TestInvalidStatementsAreRejected(t *testing.T) {
	require.NoError(t, Statement{Server: "a", Limited: true, PerSecond: 1}.Check())
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		require.ErrorIs(t, Statement{PerSecond: perSecond}.Check(), ErrInvalidRate)
	}
	require.ErrorIs(t, Statement{Age: -1}.Check(), ErrInvalidAge)
}

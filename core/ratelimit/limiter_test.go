package ratelimit

import (
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

package peering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two entries keep different requests and can't converge. They send each other all records at most once a second.
func TestRecordsAreResentOnceASecond(t *testing.T) {
	g := New("a", "here", "1", nil)
	now := time.Unix(1000, 0)
	require.False(t, g.ShouldSendRecords(now, "b"), "an entry that is not known")
	g.Observe(now, Message{From: "b", Incarnation: "1"})
	require.True(t, g.ShouldSendRecords(now, "b"))
	require.False(t, g.ShouldSendRecords(now.Add(recordsResendInterval-1), "b"))
	require.True(t, g.ShouldSendRecords(now.Add(recordsResendInterval), "b"))
}

// An entry that has received quarantine records restarts within a second. It has lost them and may get such a
// request from a caller at once, so that it must not wait for the next transmission.
func TestARestartedEntryIsSentRecordsAtOnce(t *testing.T) {
	g := New("a", "here", "1", nil)
	now := time.Unix(1000, 0)
	g.Observe(now, Message{From: "b", Incarnation: "1"})
	require.True(t, g.ShouldSendRecords(now, "b"))
	now = now.Add(300 * time.Millisecond)
	require.False(t, g.ShouldSendRecords(now, "b"))
	g.Observe(now, Message{From: "b", Incarnation: "2"})
	require.True(t, g.ShouldSendRecords(now, "b"))
}

package peering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two entries remember different requests and can't agree. They tell each other all records once
// a second at the most.
func TestRecordsAreToldOnceASecond(t *testing.T) {
	g := New("a", "here", "1", nil)
	now := time.Unix(1000, 0)
	require.False(t, g.ShouldSendRecords(now, "b"), "an entry that is not known")
	g.Observe(now, Message{From: "b", Incarnation: "1"})
	require.True(t, g.ShouldSendRecords(now, "b"))
	require.False(t, g.ShouldSendRecords(now.Add(recordsResendInterval-1), "b"))
	require.True(t, g.ShouldSendRecords(now.Add(recordsResendInterval), "b"))
}

// An entry is told of requests under which servers end, stops, and is started again within a
// second. It knows nothing any more, and takes such a request from a caller at once: it must not
// wait for its turn to be told.
func TestARestartedEntryIsToldRecordsAtOnce(t *testing.T) {
	g := New("a", "here", "1", nil)
	now := time.Unix(1000, 0)
	g.Observe(now, Message{From: "b", Incarnation: "1"})
	require.True(t, g.ShouldSendRecords(now, "b"))
	now = now.Add(300 * time.Millisecond)
	require.False(t, g.ShouldSendRecords(now, "b"))
	g.Observe(now, Message{From: "b", Incarnation: "2"})
	require.True(t, g.ShouldSendRecords(now, "b"))
}

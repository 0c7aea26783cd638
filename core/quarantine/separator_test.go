package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two suspects come one after the other. The second avoids the server of the first for as long as that may crash
// it; the first may go there again.
func TestSuspectsAreKeptApartForAWhile(t *testing.T) {
	separator := NewSeparator()
	separator.RecordSend(start, request("one"), "a")
	separator.RecordSend(start, request("two"), "b")
	require.Equal(t, []string{"a"}, separator.ServersOfOthers(start, request("two")))
	require.Equal(t, []string{"b"}, separator.ServersOfOthers(start, request("one")))
	require.Equal(t, []string{"a", "b"}, separator.ServersOfOthers(start.Add(separationTime-1), request("three")))
	require.Empty(t, separator.ServersOfOthers(start.Add(separationTime), request("three")))
	require.Empty(t, separator.sent)
}

// A request is a suspect from its second crash until a complete answer clears it. Most requests beside a crash
// are there once: keeping them apart would spread answers over too many servers while servers are few.
func TestARequestIsASuspectFromItsSecondCrash(t *testing.T) {
	tracker := NewTracker()
	f := request("sound")
	for i, server := range []string{"a", "b", "c"} {
		require.Equal(t, i >= 2, tracker.IsSuspect(f))
		tracker.ServerCrashed(start, f, server)
	}
	tracker.Completed(start, f)
	require.False(t, tracker.IsSuspect(f))
}

package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two suspects come one after the other. The second one keeps away from the server of the first for as
// long as that may end it, and no longer; the first one may go there again.
func TestSuspectsAreKeptApartForAWhile(t *testing.T) {
	a := NewSeparator()
	a.RecordSend(start, request("one"), "a")
	a.RecordSend(start, request("two"), "b")
	require.Equal(t, []string{"a"}, a.ServersOfOthers(start, request("two")))
	require.Equal(t, []string{"b"}, a.ServersOfOthers(start, request("one")))
	require.Equal(t, []string{"a", "b"}, a.ServersOfOthers(start.Add(separationTime-1), request("three")))
	require.Empty(t, a.ServersOfOthers(start.Add(separationTime), request("three")))
	require.Empty(t, a.sent)
}

// A request is a suspect from its second end on, until a whole answer clears it. Most requests beside an
// end are there once: were they kept apart, answers would not be packed while servers are few.
func TestOnlyWhatWasAtTwoEndsIsASuspect(t *testing.T) {
	w := NewTracker()
	f := request("sound")
	for i, server := range []string{"a", "b", "c"} {
		require.Equal(t, i >= 2, w.IsSuspect(f))
		w.ServerCrashed(start, f, server)
	}
	w.Completed(start, f)
	require.False(t, w.IsSuspect(f))
}

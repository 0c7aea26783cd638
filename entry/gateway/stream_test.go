package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/callers"
)

// Guards against an event that takes memory which nothing accounts for, and against reservations that don't cover it.
func TestTheMemoryOfEventsIsReserved(t *testing.T) {
	reserved := int64(0)
	reserve := func(bytes int64) bool {
		reserved += bytes
		return reserved < 100_000
	}
	usual := "id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n"
	reader := newEventReader(strings.NewReader(usual+usual+"data: "+strings.Repeat("x\ndata: ", maxEventBytes)), reserve)
	for range 2 {
		ev, err := reader.next()
		require.NoError(t, err)
		require.Equal(t, usual, string(ev.raw))
	}
	require.Zero(t, reserved, "usual events")
	_, err := reader.next()
	require.ErrorIs(t, err, callers.ErrMemoryFull)
	all := func(int64) bool { return true }
	_, err = newEventReader(strings.NewReader("data: "+strings.Repeat("x", 2*maxEventBytes)), all).next()
	require.ErrorIs(t, err, errEventTooLarge)
}

package fairshare

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: a workspace that was idle while others were served uses the time it missed and starves them.
func TestIdleWorkspacesGainNoVirtualTime(t *testing.T) {
	v := NewVirtualTime()
	v.Activate("idle")
	v.Activate("steady")
	for range 100 {
		v.Charge("steady", 1000, 1)
	}
	v.Activate("idle")
	served := 0
	for range 10 {
		next := "steady"
		if v.Less("idle", next) {
			next = "idle"
			served++
		}
		v.Charge(next, 1000, 1)
	}
	require.LessOrEqual(t, served, 6)
	require.GreaterOrEqual(t, served, 5)
}

// Failure: of two workspaces that were idle, the one that was served less long ago goes first.
func TestIdleWorkspacesRestartAtTheSameVirtualTime(t *testing.T) {
	v := NewVirtualTime()
	v.Charge("a", 2000, 1)
	v.Charge("z", 1000, 1)
	for range 100 {
		v.Charge("steady", 1000, 1)
	}
	v.Activate("z")
	v.Activate("a")
	require.True(t, v.Less("a", "z"), "equal virtual times are ordered by name")
}

// Failure: virtual times of workspaces that are gone are kept for ever.
func TestIdleVirtualTimesAreDropped(t *testing.T) {
	v := NewVirtualTime()
	v.Activate("a")
	v.Charge("a", 1000, 1)
	v.Activate("b")
	v.DropIdle()
	require.NotContains(t, v.served, "b")
	require.Contains(t, v.served, "a", "it is ahead of the clock and owes its work")
}

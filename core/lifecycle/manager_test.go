package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request is open at the shutdown timeout. The shutdown waits until its caller has the final reply.
func TestTheShutdownTimeoutLeavesTimeForFinalReplies(t *testing.T) {
	m := NewManager(nil)
	m.Serve()
	require.NoError(t, m.Begin())
	answered := false
	go func() {
		<-m.Aborting().Done()
		time.Sleep(FinalReplyTime / 4)
		answered = true
		m.End()
	}()
	m.Drain()
	err := m.Wait(t.Context(), time.Millisecond)
	require.ErrorIs(t, err, ErrAborted)
	require.ErrorContains(t, err, "1 open")
	require.True(t, answered)
}

// A request never ends, not even after the shutdown timeout. The shutdown still completes.
func TestAShutdownCompletesWithRequestsOpen(t *testing.T) {
	m := NewManager(nil)
	m.Join()
	m.Drain()
	startedAt := time.Now()
	require.ErrorIs(t, m.Wait(t.Context(), time.Millisecond), ErrAborted)
	require.GreaterOrEqual(t, time.Since(startedAt), FinalReplyTime)
	require.Equal(t, Stopped, m.State())
}

// The last open request ends after the change to draining and before onChange has called Join for the time
// that the load balancer needs to notice. If nothing counted as open at that moment, the process would exit
// at once, and connections of callers would be refused or closed for two seconds after SIGTERM.
func TestAStopThatBeginsIsNotOverAtOnce(t *testing.T) {
	var m *Manager
	m = NewManager(func(_, to State) {
		if to == Draining {
			m.End() // the last open request
			m.Join()
		}
	})
	m.Serve()
	require.NoError(t, m.Begin())
	m.Drain()
	require.ErrorIs(t, m.Wait(t.Context(), time.Millisecond), ErrAborted, "the shutdown waits for what onChange has joined")
	m.End()
}

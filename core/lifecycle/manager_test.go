package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request is open at the limit of a stop. The stop waits until its caller has the final answer.
func TestTheLimitOfAStopLeavesTimeForAnswers(t *testing.T) {
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

// A request never ends, not even after the limit of a stop. The stop does.
func TestAStopEndsWhateverIsOpen(t *testing.T) {
	m := NewManager(nil)
	m.Join()
	m.Drain()
	began := time.Now()
	require.ErrorIs(t, m.Wait(t.Context(), time.Millisecond), ErrAborted)
	require.GreaterOrEqual(t, time.Since(began), FinalReplyTime)
	require.Equal(t, Stopped, m.State())
}

// Callers' connections were refused or closed right after SIGTERM, for the two seconds until the balancer
// noticed. The last open request ended after the change to draining and before the daemon had counted its
// own wait; nothing was open, and the process exited at once. Evidence: with that order of events the stop
// is over each time.
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
	require.ErrorIs(t, m.Wait(t.Context(), time.Millisecond), ErrAborted, "what Draining has begun is waited for")
	m.End()
}

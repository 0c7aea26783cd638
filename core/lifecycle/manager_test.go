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
		<-m.Ending().Done()
		time.Sleep(AnswerTime / 4)
		answered = true
		m.End()
	}()
	m.Drain()
	err := m.Wait(t.Context(), time.Millisecond)
	require.ErrorIs(t, err, ErrCut)
	require.ErrorContains(t, err, "1 open")
	require.True(t, answered)
}

// A request never ends, not even after the limit of a stop. The stop does.
func TestAStopEndsWhateverIsOpen(t *testing.T) {
	m := NewManager(nil)
	m.Join()
	m.Drain()
	began := time.Now()
	require.ErrorIs(t, m.Wait(t.Context(), time.Millisecond), ErrCut)
	require.GreaterOrEqual(t, time.Since(began), AnswerTime)
	require.Equal(t, Stopped, m.State())
}

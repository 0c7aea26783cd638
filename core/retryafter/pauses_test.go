package retryafter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000, 0)

// A shorter pause in a later response ended the one that was asked for first.
func TestTheLongestPauseHolds(t *testing.T) {
	p := NewPauses()
	p.Record(start, "a", 3*time.Second)
	p.Record(start.Add(time.Second), "a", time.Second)
	require.Equal(t, start.Add(3*time.Second), p.Until("a"))
	p.Record(start.Add(time.Second), "a", 4*time.Second)
	require.Equal(t, start.Add(5*time.Second), p.Until("a"))
	require.Zero(t, p.Until("b"))
}

func TestPausesEnd(t *testing.T) {
	p := NewPauses()
	p.Record(start, "b", 2*time.Second)
	p.Record(start, "a", time.Second)
	require.Equal(t, []string{"a", "b"}, p.Active(start))
	require.Equal(t, []string{"b"}, p.Active(start.Add(time.Second)))
	p.Expire(start.Add(time.Second))
	require.Zero(t, p.Until("a"))
	p.Expire(start.Add(2 * time.Second))
	require.True(t, p.Empty())
}

func TestAMistakenPauseIsBounded(t *testing.T) {
	p := NewPauses()
	p.Record(start, "a", 1000*time.Hour)
	require.Equal(t, start.Add(maxPause), p.Until("a"))
}

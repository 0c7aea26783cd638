package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(9_000, 0)

func liveView(names ...string) *View {
	v := NewView(DefaultOptions())
	v.Configure(start, names)
	for _, name := range names {
		v.Observe(start, name, "1", false)
	}
	return v
}

// A server announces that it drains; then an earlier message arrives late, and the lagging list still shows the
// server. It gets no new work until it has restarted.
func TestViewDrainingIsSticky(t *testing.T) {
	v := liveView("a")
	v.Observe(start, "a", "1", true)
	require.False(t, v.Eligible("a"))
	v.Observe(start.Add(time.Second), "a", "1", false)
	require.False(t, v.Eligible("a"))
	v.ApplyHostList(start.Add(time.Minute), []ListedServer{{Server: "a"}})
	require.False(t, v.Eligible("a"))
	v.Observe(start.Add(time.Minute), "a", "2", false)
	require.True(t, v.Eligible("a"))
}

// The list announces that a server drains. That is applied at once, except to a daemon so young that the list may
// still mean the one before it.
func TestViewListedAsDraining(t *testing.T) {
	v := liveView("a")
	v.ApplyHostList(start.Add(5*time.Second), []ListedServer{{Server: "a", Draining: true}})
	require.True(t, v.Eligible("a"))
	v.ApplyHostList(start.Add(HostListLag+time.Second), []ListedServer{{Server: "a", Draining: true}})
	require.False(t, v.Eligible("a"))
}

// The list empties or halves at once: the platform has failed rather than the fleet. A single missing host is
// suspect until it answers.
func TestViewShrinkingList(t *testing.T) {
	var names []string
	var rows []ListedServer
	for i := range 20 {
		names = append(names, fmt.Sprintf("s%02d", i))
		rows = append(rows, ListedServer{Server: names[i]})
	}
	later := start.Add(time.Minute)
	for _, left := range []int{0, 10, 13} {
		v := liveView(names...)
		v.ApplyHostList(start, rows)
		_, accepted := v.ApplyHostList(later, rows[:left])
		require.False(t, accepted)
		for _, name := range names {
			require.True(t, v.Eligible(name))
		}
	}
	v := liveView(names...)
	v.ApplyHostList(start, rows)
	_, accepted := v.ApplyHostList(later, rows[:19])
	require.True(t, accepted)
	require.False(t, v.Eligible("s19"))
	v.Observe(later, "s19", "1", false)
	require.True(t, v.Eligible("s19"))
}

// A process resumes after a long pause. No server that was live gets work before it has answered again.
func TestViewAfterAPause(t *testing.T) {
	v := liveView("a", "b")
	v.Observe(start, "b", "1", true)
	detector := NewPauseDetector(2 * time.Second)
	require.Zero(t, detector.Tick(start))
	require.Zero(t, detector.Tick(start.Add(time.Second)))
	require.Equal(t, time.Minute, detector.Tick(start.Add(61*time.Second)))
	require.Equal(t, time.Hour, detector.Tick(start.Add(61*time.Second-time.Hour)), "a clock set back is a pause too")
	v.ResetAfterPause(start.Add(time.Minute))
	require.False(t, v.Eligible("a"))
	require.Contains(t, v.DueForProbe(start.Add(time.Minute)), "a")
	v.Observe(start.Add(time.Minute), "a", "1", false)
	require.True(t, v.Eligible("a"))
	require.False(t, v.Eligible("b"), "draining outlasts a pause")
}

// A server that can't be reached is probed with growing delays, and serves again with its first answer.
func TestViewSuspects(t *testing.T) {
	v := liveView("a")
	v.RecordFailure(start, "a")
	require.True(t, v.Eligible("a"), "one failure is no evidence")
	now := start
	var waits []time.Duration
	for range 8 {
		v.RecordFailure(now, "a")
		require.False(t, v.Eligible("a"))
		started := now
		for len(v.DueForProbe(now)) == 0 {
			now = now.Add(100 * time.Millisecond)
		}
		waits = append(waits, now.Sub(started))
	}
	require.Less(t, waits[0], time.Second)
	require.Equal(t, 15*time.Second, waits[7])
	v.Observe(now, "a", "1", false)
	require.True(t, v.Eligible("a"))
}

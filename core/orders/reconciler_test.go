package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(3_000, 0)

func state(version string) EngineState {
	return EngineState{Model: "m", Version: version, Role: "both"}
}

func reconciler(checks bool) *Reconciler {
	options := DefaultOptions()
	options.Server = "a"
	r := New(start, options)
	r.Configure(start, 7, map[string]Spec{"e0": {Desired: state("2"), ChecksFencing: checks}}, []string{"a/e0"})
	return r
}

// later is after all initial waits of a new daemon.
var later = start.Add(time.Minute)

func TestReconcilerOrdersOnce(t *testing.T) {
	r := reconciler(true)
	require.Empty(t, r.Due(later), "an engine that was not observed gets no order")
	r.Observe(later, "e0", Observation{State: state("1"), Fence: 40})
	due := r.Due(later)
	require.Len(t, due, 1)
	require.Equal(t, uint64(41), due[0].Fence, "above the last number seen by the engine")
	r.Observe(later.Add(time.Second), "e0", Observation{State: state("1"), Fence: 40})
	require.Empty(t, r.Due(later.Add(time.Second)), "one order at a time")
	r.OrderEnded(later.Add(2*time.Second), "e0", Done, 0)
	require.Empty(t, r.Due(later.Add(2*time.Second)), "after an order a new observation is needed")
	r.Observe(later.Add(3*time.Second), "e0", Observation{State: state("2"), Fence: 41})
	require.Empty(t, r.Due(later.Add(3*time.Second)), "the engine is in its desired state")
	require.True(t, r.Matches("e0"))
}

// Two operators change the version in turn while the first order is in flight. The
// later change wins, and its fencing number exceeds the first.
func TestReconcilerTwoOperatorsRace(t *testing.T) {
	r := reconciler(true)
	r.Observe(later, "e0", Observation{State: state("1")})
	first := r.Due(later)
	r.Configure(later, 8, map[string]Spec{"e0": {Desired: state("3"), ChecksFencing: true}}, []string{"a/e0"})
	r.Configure(later, 7, map[string]Spec{"e0": {Desired: state("2"), ChecksFencing: true}}, []string{"a/e0"})
	r.OrderEnded(later.Add(time.Second), "e0", Done, 0)
	r.Observe(later.Add(time.Second), "e0", Observation{State: state("2"), Fence: first[0].Fence})
	second := r.Due(later.Add(time.Second))
	require.Len(t, second, 1)
	require.Equal(t, state("3"), second[0].Desired)
	require.Greater(t, second[0].Fence, first[0].Fence)
}

// A daemon is killed while its order to an engine that ignores fencing numbers is in
// flight. The next incarnation waits until that order must have arrived; otherwise
// it would undo the new one.
func TestReconcilerWaitsOutThePredecessor(t *testing.T) {
	r := reconciler(false)
	early := start.Add(29 * time.Second)
	r.Observe(early, "e0", Observation{State: state("1")})
	require.Empty(t, r.Due(early))
	r.Observe(start.Add(31*time.Second), "e0", Observation{State: state("1")})
	require.Len(t, r.Due(start.Add(31*time.Second)), 1)
	checking := reconciler(true)
	checking.Observe(early, "e0", Observation{State: state("1")})
	require.Len(t, checking.Due(early), 1, "fencing numbers make the wait unnecessary")
}

// A daemon resumes after a pause. Its earlier observations must not lead to an order:
// another incarnation may have changed the engines meanwhile.
func TestReconcilerAfterAPause(t *testing.T) {
	r := reconciler(true)
	r.Observe(later, "e0", Observation{State: state("1")})
	r.DiscardObservations(later)
	require.Empty(t, r.Due(later))
	r.Observe(later, "e0", Observation{State: state("1")})
	require.Empty(t, r.Due(later.Add(10*time.Second)), "an old observation does not count")
}

// Throttled orders are retried with exponential backoff.
func TestReconcilerBacksOff(t *testing.T) {
	r := reconciler(true)
	now := later
	var waits []time.Duration
	for range 8 {
		r.Observe(now, "e0", Observation{State: state("1")})
		require.Len(t, r.Due(now), 1)
		r.OrderEnded(now, "e0", Throttled, 0)
		endedAt := now
		for {
			now = now.Add(500 * time.Millisecond)
			r.Observe(now, "e0", Observation{State: state("1"), Busy: false})
			if r.ready(now, r.engines["e0"]) {
				break
			}
		}
		waits = append(waits, now.Sub(endedAt))
	}
	require.Equal(t, time.Second, waits[0])
	require.Equal(t, time.Minute, waits[7])
}

// A new version is published for the whole fleet at once. The loads from the weight
// store are spread over time without communication between the hosts.
func TestWeightStoreIsPaced(t *testing.T) {
	const servers = 200
	var fleet []string
	for i := range servers {
		fleet = append(fleet, fmt.Sprintf("s%d/e0", i))
	}
	loads := map[int64]int{}
	for i := range servers {
		options := DefaultOptions()
		options.Server = fmt.Sprintf("s%d", i)
		r := New(start.Add(-time.Hour), options)
		r.Configure(start, 9, map[string]Spec{"e0": {Desired: state("2"), ChecksFencing: true}}, fleet)
		for now := start; ; now = now.Add(50 * time.Millisecond) {
			r.Observe(now, "e0", Observation{State: state("1")})
			if due := r.Due(now); len(due) > 0 {
				require.True(t, due[0].LoadsWeights)
				loads[now.Unix()]++
				break
			}
		}
	}
	for second, count := range loads {
		require.LessOrEqual(t, count, 6, "second %d", second)
	}
}

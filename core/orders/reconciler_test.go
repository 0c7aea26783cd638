package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(3_000, 0)

func wanted(version string) EngineState {
	return EngineState{Model: "m", Version: version, Role: "both"}
}

func reconciler(checks bool) *Reconciler {
	options := DefaultOptions()
	options.Server = "a"
	r := New(start, options)
	r.Configure(start, 7, map[string]Spec{"e0": {Desired: wanted("2"), ChecksFencing: checks}}, []string{"a/e0"})
	return r
}

// later is past every wait of a fresh daemon.
var later = start.Add(time.Minute)

func TestReconcilerOrdersOnce(t *testing.T) {
	r := reconciler(true)
	require.Empty(t, r.Due(later), "an engine that was not looked at gets no order")
	r.Observe(later, "e0", Observation{State: wanted("1"), Fence: 40})
	due := r.Due(later)
	require.Len(t, due, 1)
	require.Equal(t, uint64(41), due[0].Fence, "above what the engine last saw")
	r.Observe(later.Add(time.Second), "e0", Observation{State: wanted("1"), Fence: 40})
	require.Empty(t, r.Due(later.Add(time.Second)), "one at a time")
	r.OrderEnded(later.Add(2*time.Second), "e0", Done, 0)
	require.Empty(t, r.Due(later.Add(2*time.Second)), "after an order the engine is looked at afresh")
	r.Observe(later.Add(3*time.Second), "e0", Observation{State: wanted("2"), Fence: 41})
	require.Empty(t, r.Due(later.Add(3*time.Second)), "it is as wanted")
	require.True(t, r.Matches("e0"))
}

// Two operators change the version one after the other while the first order is
// under way. The later one wins; its number is above the first's.
func TestReconcilerTwoOperatorsRace(t *testing.T) {
	r := reconciler(true)
	r.Observe(later, "e0", Observation{State: wanted("1")})
	first := r.Due(later)
	r.Configure(later, 8, map[string]Spec{"e0": {Desired: wanted("3"), ChecksFencing: true}}, []string{"a/e0"})
	r.Configure(later, 7, map[string]Spec{"e0": {Desired: wanted("2"), ChecksFencing: true}}, []string{"a/e0"})
	r.OrderEnded(later.Add(time.Second), "e0", Done, 0)
	r.Observe(later.Add(time.Second), "e0", Observation{State: wanted("2"), Fence: first[0].Fence})
	second := r.Due(later.Add(time.Second))
	require.Len(t, second, 1)
	require.Equal(t, wanted("3"), second[0].Desired)
	require.Greater(t, second[0].Fence, first[0].Fence)
}

// A daemon is killed while its order is on its way to an engine that ignores
// numbers. Its successor waits until that order must have arrived; otherwise the
// old order would undo the new one.
func TestReconcilerWaitsOutThePredecessor(t *testing.T) {
	r := reconciler(false)
	early := start.Add(29 * time.Second)
	r.Observe(early, "e0", Observation{State: wanted("1")})
	require.Empty(t, r.Due(early))
	r.Observe(start.Add(31*time.Second), "e0", Observation{State: wanted("1")})
	require.Len(t, r.Due(start.Add(31*time.Second)), 1)
	checking := reconciler(true)
	checking.Observe(early, "e0", Observation{State: wanted("1")})
	require.Len(t, checking.Due(early), 1, "numbers make the wait needless")
}

// A daemon wakes after a pause. What it saw of its engines before is no ground
// for an order: a successor may have changed them.
func TestReconcilerAfterAPause(t *testing.T) {
	r := reconciler(true)
	r.Observe(later, "e0", Observation{State: wanted("1")})
	r.DiscardObservations(later)
	require.Empty(t, r.Due(later))
	r.Observe(later, "e0", Observation{State: wanted("1")})
	require.Empty(t, r.Due(later.Add(10*time.Second)), "an old look is none")
}

// Fenced off or throttled orders are tried again, ever more slowly.
func TestReconcilerBacksOff(t *testing.T) {
	r := reconciler(true)
	now := later
	var waits []time.Duration
	for range 8 {
		r.Observe(now, "e0", Observation{State: wanted("1")})
		require.Len(t, r.Due(now), 1)
		r.OrderEnded(now, "e0", Throttled, 0)
		begun := now
		for {
			now = now.Add(500 * time.Millisecond)
			r.Observe(now, "e0", Observation{State: wanted("1"), Busy: false})
			if r.ready(now, r.engines["e0"]) {
				break
			}
		}
		waits = append(waits, now.Sub(begun))
	}
	require.Equal(t, time.Second, waits[0])
	require.Equal(t, time.Minute, waits[7])
}

// A new version is published for the whole fleet at once. Without a word between
// the hosts, the weight store sees one load after the other.
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
		r.Configure(start, 9, map[string]Spec{"e0": {Desired: wanted("2"), ChecksFencing: true}}, fleet)
		for now := start; ; now = now.Add(50 * time.Millisecond) {
			r.Observe(now, "e0", Observation{State: wanted("1")})
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

package spillover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type demand = map[string]func(time.Duration) float64

// entryCounts are the entries of a zone in the tests: those of a fleet of 26 and of one of 1,000 entries.
var entryCounts = []int{9, 333}

const (
	zoneSlots = 312
	seeds     = 3
	runLength = 15 * time.Second
)

// totals are the sums over several seeds.
type totals struct{ arrivals, inTime, late, lateBelow, asks, refusals, placed, returned int }

func (t totals) lateShare() float64 { return float64(t.late) / float64(t.inTime+t.late) }

// play runs worlds of several seeds.
func play(t *testing.T, name string, make func(seed uint64) *world) totals {
	t.Helper()
	var sum totals
	for seed := range uint64(seeds) {
		w := make(seed).runFor(runLength)
		sum.arrivals, sum.inTime, sum.late, sum.lateBelow = sum.arrivals+w.arrivals, sum.inTime+w.inTime, sum.late+w.late, sum.lateBelow+w.lateBelow
		sum.asks, sum.refusals, sum.placed, sum.returned = sum.asks+w.asks, sum.refusals+w.refusals, sum.placed+len(w.placements), sum.returned+w.returned()
	}
	t.Logf("%s: late %.4f, of them while there was room %.4f, asks/s %.0f, of them refused %.2f, placed elsewhere/s %.0f", name, sum.lateShare(),
		float64(sum.lateBelow)/float64(sum.inTime+sum.late), float64(sum.asks)/seeds/runLength.Seconds(), float64(sum.refusals)/max(float64(sum.asks), 1),
		float64(sum.placed)/seeds/runLength.Seconds())
	return sum
}

func alone(w *world) *world {
	w.spills = false
	return w
}

// Guards against callers of two zones that are late while the third, whose demand is lower by a third, has free slots.
func TestUnevenDemandIsLateOnlyAboveTheTotalCapacity(t *testing.T) {
	for name, shares := range map[string]demand{
		"0.95":                     {"a": always(0.78), "b": always(1.035), "c": always(1.035)},
		"0.98":                     {"a": always(0.80), "b": always(1.07), "c": always(1.07)},
		"above 1 from 8 s to 10 s": {"a": above(0.75), "b": above(1), "c": above(1)},
	} {
		for _, entries := range entryCounts {
			sum := play(t, name, func(seed uint64) *world { return newWorld(seed, zoneSlots, entries, shares) })
			require.Less(t, float64(sum.lateBelow), 0.003*float64(sum.arrivals), name)
		}
		sum := play(t, name+" without spillover", func(seed uint64) *world { return alone(newWorld(seed, zoneSlots, 9, shares)) })
		require.Greater(t, float64(sum.lateBelow), 0.01*float64(sum.arrivals), "the case is harmless")
	}
}

// above returns a share that is higher by three tenths from 8 to 10 s.
func above(share float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 8*time.Second && at < 10*time.Second {
			return 1.3 * share
		}
		return share
	}
}

// Guards against zones that, at their capacity, serve much less than their servers would as a single pool.
func TestAtCapacityTheZonesServeNearlyWhatOnePoolServes(t *testing.T) {
	for name, shares := range map[string]demand{
		"uneven": {"a": always(0.8), "b": always(1.1), "c": always(1.1)},
		"even":   {"a": always(1), "b": always(1), "c": always(1)},
	} {
		one := play(t, name+", one pool", func(seed uint64) *world { return pool(seed, zoneSlots, 27, shares) })
		for _, entries := range entryCounts {
			sum := play(t, name, func(seed uint64) *world { return newWorld(seed, zoneSlots, entries, shares) })
			require.Less(t, sum.lateShare(), one.lateShare()+0.03, name)
		}
	}
	uneven := demand{"a": always(0.8), "b": always(1.1), "c": always(1.1)}
	sum := play(t, "uneven without spillover", func(seed uint64) *world { return alone(newWorld(seed, zoneSlots, 9, uneven)) })
	require.Greater(t, sum.lateShare(), 0.05, "the case is harmless")
}

// Guards against two overloaded zones that fill the third at once, up to its last slot, so that its own callers are
// late like theirs.
func TestTwoZonesThatFillTheThirdLeaveItsOwnCallersInTime(t *testing.T) {
	shares := demand{"a": always(0.85), "b": always(1.5), "c": always(1.5)}
	for _, entries := range entryCounts {
		late, arrivals, leastLeft := 0, 0, zoneSlots
		sum := play(t, "third", func(seed uint64) *world {
			w := newWorld(seed, zoneSlots, entries, shares)
			w.after(runLength-time.Millisecond, func() {
				third := w.zones[0]
				late, arrivals, leastLeft = late+third.late, arrivals+third.arrivals, min(leastLeft, third.leastLeft)
			})
			return w
		})
		t.Logf("own callers of the third zone: late %.4f, least slots left free %d", float64(late)/float64(arrivals), leastLeft)
		require.Positive(t, sum.placed)
		require.Greater(t, sum.lateShare(), 0.2)
		require.Less(t, float64(late), 0.02*float64(arrivals))
		require.GreaterOrEqual(t, leastLeft, 6, "a standard deviation of the arrivals in half a second, less that of the measured rate")
	}
}

// Guards against requests that go back and forth between zones that are both at their capacity, and against zones
// that go on sending after the demand has moved.
func TestRequestsDoNotGoBackAndForth(t *testing.T) {
	wave := func(phase int) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			return 0.95 + []float64{0.3, 0, -0.3}[(int(at/(2*time.Second))+phase)%3]
		}
	}
	for name, shares := range map[string]demand{
		"even":          {"a": always(1), "b": always(1), "c": always(1)},
		"moving demand": {"a": wave(0), "b": wave(1), "c": wave(2)},
	} {
		without := play(t, name+" without spillover", func(seed uint64) *world { return alone(newWorld(seed, zoneSlots, 9, shares)) })
		for _, entries := range entryCounts {
			sum := play(t, name, func(seed uint64) *world { return newWorld(seed, zoneSlots, entries, shares) })
			require.Zero(t, sum.returned, name)
			require.Less(t, sum.lateShare(), without.lateShare()+0.005, name)
			require.Less(t, float64(sum.placed), 0.1*float64(sum.arrivals), "cross-zone traffic is expensive")
		}
	}
}

// Guards against requests to a zone that is evacuated, after its entries have said so.
func TestNothingGoesToAClosedZone(t *testing.T) {
	w := newWorld(1, zoneSlots, 9, demand{"a": always(0.3), "b": always(1.1), "c": always(0.8)})
	w.runFor(5 * time.Second)
	require.NotEmpty(t, w.placements)
	w.zones[0].closed = true
	w.runFor(1200 * time.Millisecond)
	before := len(w.askedAt)
	w.runFor(3 * time.Second)
	toOthers := 0
	for _, p := range w.askedAt[before:] {
		require.NotEqual(t, "a", p.to)
		toOthers++
	}
	require.Positive(t, toOthers)
}

// Guards against requests to a zone that is cut off: each would cost its caller the reply timeout. In the case the
// last summary states half of the slots as free.
func TestNothingGoesToAZoneWithAStaleSummary(t *testing.T) {
	w := newWorld(1, zoneSlots, 9, demand{"a": always(0.5), "b": always(1.2), "c": always(0.8)})
	w.runFor(5 * time.Second)
	require.Zero(t, w.lost)
	w.zones[0].cutOff = true
	w.runFor(options.StateTTL)
	before := len(w.askedAt)
	w.runFor(3 * time.Second)
	toOthers := 0
	for _, p := range w.askedAt[before:] {
		require.NotEqual(t, "a", p.to)
		toOthers++
	}
	require.Positive(t, toOthers)
}

// Guards against entries that go on asking while replies are lost, and against requests that count as under way for
// ever: nothing would be asked any more.
func TestLostRepliesLeaveTheZonesUsable(t *testing.T) {
	shares := demand{"a": always(0.6), "b": always(1.1), "c": always(1.1)}
	lossy := func(seed uint64) *world {
		w := newWorld(seed, zoneSlots, 9, shares)
		w.lossRate = 0.2
		return w
	}
	with := play(t, "36 % of the exchanges are lost", lossy)
	without := play(t, "without spillover", func(seed uint64) *world { return alone(newWorld(seed, zoneSlots, 9, shares)) })
	require.Less(t, float64(with.lateShare()), 0.25*without.lateShare())
	w := lossy(1).runFor(runLength)
	for _, z := range w.zones {
		for _, entry := range z.entries {
			entry.Expire(w.now.Add(options.StateTTL), func(string) bool { return true })
			require.Less(t, len(entry.asks), 10)
		}
	}
}

// Guards against a zone that states room which it doesn't have: each entry would ask it for every request.
func TestAZoneThatStatesRoomInVainIsAskedSeldom(t *testing.T) {
	shares := demand{"a": always(1.1), "b": always(1.2), "c": always(1.1)}
	sum := play(t, "100 slots overstated", func(seed uint64) *world {
		w := newWorld(seed, zoneSlots, 9, shares)
		w.zones[0].overstated = 100
		return w
	})
	late := float64(sum.late) / seeds / runLength.Seconds()
	asks := float64(sum.asks) / seeds / runLength.Seconds()
	require.Less(t, asks, 2*18.0, "18 entries of two zones, two summaries a second")
	require.Less(t, asks, late/2, "most requests that find no room ask nobody")
}

package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sizes are played by the tests of growth.
var sizes = []int{40, 80, 160}

// playSizes plays fleets of all sizes.
func playSizes(change func(*Options)) []*Result {
	var results []*Result
	for _, entries := range sizes {
		options := DefaultOptions(entries)
		options.Duration = 8 * time.Second
		if change != nil {
			change(&options)
		}
		results = append(results, Simulate(options))
	}
	return results
}

// requireGrowth holds that something of an entry grows with the entries to a power at the most, between any two sizes.
func requireGrowth(t *testing.T, results []*Result, most float64, of func(*Result) float64) {
	t.Helper()
	for i := 1; i < len(results); i++ {
		require.LessOrEqual(t, GrowthExponent(results[i-1], results[i], of), most, "%d to %d entries", sizes[i-1], sizes[i])
	}
}

func requireWhole(t *testing.T, r *Result) {
	t.Helper()
	require.Zero(t, r.NotServing, "entries that don't serve")
	require.Zero(t, r.Unheard, "pairs of a zone that don't know each other")
	require.Zero(t, r.Outdated, "entries that don't know the last change")
}

func farBytes(r *Result) float64 { return float64(r.RemoteBytes()) / float64(r.Options.Entries) }
func calls(r *Result) float64    { return float64(r.StoreCalls) / float64(r.Options.Entries) }

// Whole lists told to each entry of another zone at first sight, and heartbeats of all entries to all zones, were 0.96 GB a
// day on a fleet of 424 entries: what an entry sent grew with the fleet, what the fleet sent with its cube.
func TestWhatAnEntrySendsToOtherZonesDoesNotGrow(t *testing.T) {
	results := playSizes(nil)
	requireGrowth(t, results, 0.3, farBytes)
	for _, r := range results {
		requireWhole(t, r)
		require.GreaterOrEqual(t, r.MinSize, r.Options.Entries, "shared budgets are divided among all")
		require.LessOrEqual(t, r.MaxKnown, r.Options.Entries/r.Options.Zones+r.Options.Zones*40)
	}
}

// All entries start at once and each read the list from the store.
func TestCallsOfTheStoreDoNotGrowWithTheEntries(t *testing.T) {
	results := playSizes(nil)
	requireGrowth(t, results, -0.7, calls)
	for _, r := range results {
		require.LessOrEqual(t, r.InitialReads, 3*r.Options.Zones)
		require.Less(t, Longest(r.ServingDelays), time.Second)
	}
}

// All entries start before the store holds a configuration. Its readers don't serve then and did not count as such: ever more
// entries read, 80 of a fleet of 424, until it held one.
func TestFewReadAStoreThatHoldsNothingYet(t *testing.T) {
	usual := playSizes(nil)
	for i, r := range playSizes(func(o *Options) { o.EmptyFor = 1500 * time.Millisecond }) {
		requireWhole(t, r)
		require.LessOrEqual(t, r.InitialReads, 3*r.Options.Zones)
		require.LessOrEqual(t, r.StoreCalls, usual[i].StoreCalls*13/10)
	}
}

// Lists that all know already were most of the bytes within a zone. What is left is that each entry of a zone is told by
// each other one that it lives.
func TestWithinAZoneOnlyHeartbeatsGrow(t *testing.T) {
	results := playSizes(func(o *Options) { o.Duration = 16 * time.Second })
	requireGrowth(t, results, 1, func(r *Result) float64 {
		return float64(r.LocalBytes()-r.Local[View].Bytes) / float64(r.Options.Entries)
	})
	for _, r := range results {
		require.Less(t, r.Local[List].Bytes, r.Local[Heartbeat].Bytes/4)
	}
}

// The store turns a third of the entries away while all of them start, among them some that would read it for the others.
func TestAStartWhileTheStoreTurnsAThirdAway(t *testing.T) {
	for _, r := range playSizes(func(o *Options) {
		o.Events = []Event{{Kind: RefuseStoreCalls, Share: 0.35, Zone: -1, Duration: 5 * time.Second}}
	}) {
		requireWhole(t, r)
		require.Less(t, Longest(r.ServingDelays), 2*time.Second)
	}
}

// All entries are killed in the midst of the day, and callers wait until the first ones serve again. It must not take
// longer the more entries there are.
func TestAfterTheEndOfAllEntriesALargeFleetServesAsSoonAsASmallOne(t *testing.T) {
	results := playSizes(func(o *Options) { o.Events = []Event{{At: 4 * time.Second, Kind: KillEntries, Share: 1, Zone: -1}} })
	for _, r := range results {
		requireWhole(t, r)
		require.Less(t, Longest(r.ServingDelays), 1200*time.Millisecond)
	}
}

// Changes of the store are known to all entries well within the limit, also while messages are lost and readers are killed.
func TestChangesSpreadInTime(t *testing.T) {
	for _, r := range playSizes(func(o *Options) {
		o.LossRate = 0.02
		for second := 2; second < 7; second++ {
			o.Events = append(o.Events, Event{At: time.Duration(second) * time.Second, Kind: ChangeStore})
		}
		o.Events = append(o.Events, Event{At: 3500 * time.Millisecond, Kind: KillEntries, Share: 0.1, Zone: -1})
	}) {
		requireWhole(t, r)
		require.Less(t, Longest(r.PropagationDelays), r.Options.MaxPropagationDelay/2)
	}
}

// A zone without a seed is cut off from the others as it starts, and another one in the midst of the day. When the cuts end
// their entries know each other and what has changed, and budgets are divided among all again.
func TestZonesThatWereCutOffFindTheOthers(t *testing.T) {
	for _, r := range playSizes(func(o *Options) {
		o.Duration = 16 * time.Second
		o.Events = []Event{{Kind: Partition, Zone: 4, Duration: 3 * time.Second}, {At: 6 * time.Second, Kind: Partition, Zone: 1, Duration: 5 * time.Second}, {At: 8 * time.Second, Kind: ChangeStore}}
	}) {
		requireWhole(t, r)
		require.GreaterOrEqual(t, r.MinSize, r.Options.Entries)
	}
}

// Two of three seeds have long gone when the fleet starts.
func TestAFleetStartsWithOneSeed(t *testing.T) {
	for _, r := range playSizes(func(o *Options) { o.DeadSeeds = 2 }) {
		requireWhole(t, r)
	}
}

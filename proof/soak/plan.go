package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind identifies a fault or a planned operation.
type FaultKind string

// Kinds of faults. The target is an entry for the first group and a backend server for
// the second; the last group, of the store and the operators, has none.
const (
	EntryKilled     FaultKind = "entry killed"
	EntryPaused     FaultKind = "entry paused"
	EntryStopped    FaultKind = "entry stopped"
	SettingsChanged FaultKind = "settings changed"
	CallerLink      FaultKind = "link from callers"
	StoreLink       FaultKind = "link to the store"

	ServerCrashed    FaultKind = "worker crashed"
	ServerDrains     FaultKind = "worker leaves"
	AddressReused    FaultKind = "address reused"
	ServerMisbehaves FaultKind = "worker misbehaves"
	ServerLink       FaultKind = "link to a worker"

	StoreRefuses     FaultKind = "store refuses"
	StoreHistoryLost FaultKind = "store forgets its history"
	RowsExpire       FaultKind = "rows lapse"
	ConfigChanges    FaultKind = "configuration changes"
	// StoreRestored restores the store from a copy whose age is the duration of the fault.
	StoreRestored FaultKind = "store restored"
	// ZoneEvacuated keeps new requests from the second zone for the duration of the fault.
	ZoneEvacuated FaultKind = "zone evacuated"
)

// isPlanned returns whether a kind is a planned operation, which must not abort requests.
func (k FaultKind) isPlanned() bool {
	return k == EntryStopped || k == SettingsChanged || k == ConfigChanges || k == ServerDrains || k == ZoneEvacuated
}

// onEntry returns whether the target of a kind is an entry.
func (k FaultKind) onEntry() bool {
	return slices.Contains([]FaultKind{EntryKilled, EntryPaused, EntryStopped, SettingsChanged, CallerLink, StoreLink}, k)
}

// onServer returns whether the target of a kind is a backend server.
func (k FaultKind) onServer() bool {
	return slices.Contains([]FaultKind{ServerCrashed, ServerDrains, AddressReused, ServerMisbehaves, ServerLink}, k)
}

// ScheduledFault is one fault of a plan; At counts from the start of the run.
type ScheduledFault struct {
	At       time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   int
	// LinkFault applies to the kinds that target a link.
	LinkFault LinkFault
}

// faultWeights are the relative frequencies of the kinds.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{
	{EntryKilled, 5}, {EntryPaused, 5}, {EntryStopped, 6}, {SettingsChanged, 4}, {CallerLink, 4}, {StoreLink, 6},
	{ServerCrashed, 5}, {ServerDrains, 6}, {AddressReused, 3}, {ServerMisbehaves, 8}, {ServerLink, 6},
	{StoreRefuses, 3}, {StoreHistoryLost, 2}, {RowsExpire, 2}, {ConfigChanges, 9},
}

const (
	// meanFaultGap is the mean time between two draws in a run of baselineTargets
	// entries and servers. Larger runs get more faults, so that the rate per target
	// stays the same.
	meanFaultGap    = 500 * time.Millisecond
	baselineTargets = 12
	// seriesShare is the share of draws that yield a series of up to maxSeries faults,
	// seriesGap apart. In a share of repeatShare they all hit the same target, else one
	// target after the other.
	seriesShare = 0.3
	repeatShare = 0.4
	maxSeries   = 4
	seriesGap   = 400 * time.Millisecond
	// maxFaultDuration bounds a fault; the shortest lasts a tenth of it.
	maxFaultDuration = 5 * time.Second
	// firstFaultAt leaves the daemons time to become ready.
	firstFaultAt = time.Second
)

// Plan draws the faults of a run from its seed, ordered by time.
func Plan(o Options) []ScheduledFault {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	scale := max(float64(o.Entries+o.Servers)/baselineTargets, 1)
	var faults []ScheduledFault
	for at := firstFaultAt; at < o.FaultDuration; {
		faults = append(faults, drawSeries(random, o, at)...)
		at += time.Duration(random.ExpFloat64() * float64(meanFaultGap) / scale)
	}
	faults = append(faults, planLongStreamFaults(random, o)...)
	faults = append(faults, planEvacuations(o)...)
	slices.SortStableFunc(faults, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// planLongStreamFaults draws one restore of the store from an older copy, and graceful
// shutdowns of the entries that only planned operations target. The shutdowns of an entry
// don't overlap.
func planLongStreamFaults(random *rand.Rand, o Options) []ScheduledFault {
	if o.LongStreamCallers == 0 {
		return nil
	}
	age := min(time.Duration(random.Int64N(int64(maxFaultDuration))), o.FaultDuration-firstFaultAt)
	faults := []ScheduledFault{{At: firstFaultAt + time.Duration(random.Int64N(int64(o.FaultDuration-firstFaultAt-age)+1)), Duration: age, Kind: StoreRestored}}
	for entry := o.targetCount(EntryKilled); entry < o.Entries; entry++ {
		at := firstFaultAt + time.Duration(random.Int64N(int64(maxFaultDuration)))
		for ; at < o.FaultDuration; at += stopLimit + time.Duration(random.Int64N(int64(maxFaultDuration))) {
			faults = append(faults, ScheduledFault{At: at, Kind: EntryStopped, Target: entry})
		}
	}
	return faults
}

const (
	// meanEvacuationGap is the mean time between two evacuations, minEvacuationExcess the
	// least time by which one outlasts the propagation delay of changes.
	meanEvacuationGap   = 3 * time.Second
	minEvacuationExcess = 2 * time.Second
)

// planEvacuations draws consecutive evacuations of the second zone. They use a random
// source of their own, so that they don't alter the other faults of a seed.
func planEvacuations(o Options) []ScheduledFault {
	if !o.MultiZone {
		return nil
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	var faults []ScheduledFault
	for at := firstFaultAt; at < o.FaultDuration; {
		length := o.MaxPropagationDelay + schedulingSlack + minEvacuationExcess + time.Duration(random.Int64N(int64(maxFaultDuration)))
		faults = append(faults, ScheduledFault{At: at, Duration: length, Kind: ZoneEvacuated})
		at += length + time.Duration(random.ExpFloat64()*float64(meanEvacuationGap))
	}
	return faults
}

// drawSeries draws a fault and, in a share of cases, repetitions on the same or the next targets.
func drawSeries(random *rand.Rand, o Options, at time.Duration) []ScheduledFault {
	count := 1
	if random.Float64() < seriesShare {
		count = 2 + random.IntN(maxSeries-1)
	}
	first := drawFault(random, o)
	repeat := random.Float64() < repeatShare
	var faults []ScheduledFault
	for i := range count {
		fault := first
		fault.At = at + time.Duration(i)*seriesGap
		if !repeat {
			fault.Target = (first.Target + i) % o.targetCount(first.Kind)
		}
		if fault.At < o.FaultDuration {
			fault.Duration = min(fault.Duration, o.FaultDuration-fault.At)
			faults = append(faults, fault)
		}
	}
	return faults
}

// targetCount returns the number of targets that a kind may hit.
func (o Options) targetCount(kind FaultKind) int {
	switch {
	case o.LongStreamCallers > 0 && kind.onEntry() && !kind.isPlanned():
		// Unplanned faults spare the other half, so that their shutdowns can complete: a
		// shutdown lasts longer than the gap between faults.
		return (o.Entries + 1) / 2
	case kind.onEntry():
		return o.Entries
	case kind.onServer():
		return o.Servers
	}
	return 1
}

func drawFault(random *rand.Rand, o Options) ScheduledFault {
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	kind, rest := faultWeights[0].kind, random.IntN(total)
	for _, w := range faultWeights {
		if rest < w.weight {
			kind = w.kind
			break
		}
		rest -= w.weight
	}
	return ScheduledFault{Kind: kind, Target: random.IntN(o.targetCount(kind)), Duration: time.Duration((0.1 + 0.9*random.Float64()) * float64(maxFaultDuration)),
		LinkFault: linkFaults[random.IntN(len(linkFaults))]}
}

package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type FaultKind string

// Kinds of faults. A target is an entry for the first group, a backend server for
// the second, and nothing for the store's.
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
	// StoreRestored: it comes back from a copy as old as the fault is long.
	StoreRestored FaultKind = "store restored"
	// ZoneEvacuated: the second zone is to get nothing new for as long.
	ZoneEvacuated FaultKind = "zone evacuated"
)

// planned says that a kind is planned work, beside which nothing may be cut.
func (k FaultKind) isPlanned() bool {
	return k == EntryStopped || k == SettingsChanged || k == ConfigChanges || k == ServerDrains || k == ZoneEvacuated
}

// onEntry and onWorker say what a kind strikes.
func (k FaultKind) onEntry() bool {
	return slices.Contains([]FaultKind{EntryKilled, EntryPaused, EntryStopped, SettingsChanged, CallerLink, StoreLink}, k)
}

func (k FaultKind) onWorker() bool {
	return slices.Contains([]FaultKind{ServerCrashed, ServerDrains, AddressReused, ServerMisbehaves, ServerLink}, k)
}

// Step is one fault.
type ScheduledFault struct {
	At       time.Duration
	Duration time.Duration
	Kind     FaultKind
	Target   int
	// Link is what happens on a link.
	LinkFault LinkFault
}

// weights are how often each kind is drawn.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{
	{EntryKilled, 5}, {EntryPaused, 5}, {EntryStopped, 6}, {SettingsChanged, 4}, {CallerLink, 4}, {StoreLink, 6},
	{ServerCrashed, 5}, {ServerDrains, 6}, {AddressReused, 3}, {ServerMisbehaves, 8}, {ServerLink, 6},
	{StoreRefuses, 3}, {StoreHistoryLost, 2}, {RowsExpire, 2}, {ConfigChanges, 9},
}

const (
	// meanGap is the mean time between two draws in a run of usualTargets entries
	// and servers; larger runs are struck more often, so that each target is as
	// often.
	meanFaultGap    = 500 * time.Millisecond
	baselineTargets = 12
	// seriesShare is how many draws come as a series, of up to seriesMost
	// strikes on one target after the other, or againShare of them on the same one
	// again and again.
	seriesShare = 0.3
	repeatShare = 0.4
	maxSeries   = 4
	seriesGap   = 400 * time.Millisecond
	// longestFault bounds a fault; the shortest lasts a tenth of it.
	maxFaultDuration = 5 * time.Second
	// firstFault leaves the daemons time to become ready.
	firstFaultAt = time.Second
)

// Plan draws the faults of a run, in the order of time.
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

// longSteps draws stops of the entries that nothing else than planned work strikes, each after the one before
// has come to its end, and one return of the store from an older copy.
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
	// evacuationGap is the mean time between two evacuations, evacuationBeyond how much longer than changes take to be in
	// force one lasts at the least.
	meanEvacuationGap   = 3 * time.Second
	minEvacuationExcess = 2 * time.Second
)

// evacuations draws evacuations of the second zone, one after the other. They have random numbers of their own: the faults
// of a seed stay what they were.
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

// targets is how many things a kind may strike.
func (o Options) targetCount(kind FaultKind) int {
	switch {
	case o.LongStreamCallers > 0 && kind.onEntry() && !kind.isPlanned():
		// The others' stops come to their ends undisturbed: a stop lasts for longer than faults lie apart.
		return (o.Entries + 1) / 2
	case kind.onEntry():
		return o.Entries
	case kind.onWorker():
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

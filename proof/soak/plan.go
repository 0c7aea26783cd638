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
func (k FaultKind) planned() bool {
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
var weights = []struct {
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
	meanGap      = 500 * time.Millisecond
	usualTargets = 12
	// seriesShare is how many draws come as a series, of up to seriesMost
	// strikes on one target after the other, or againShare of them on the same one
	// again and again.
	seriesShare = 0.3
	againShare  = 0.4
	seriesMost  = 4
	seriesGap   = 400 * time.Millisecond
	// longestFault bounds a fault; the shortest lasts a tenth of it.
	longestFault = 5 * time.Second
	// firstFault leaves the daemons time to become ready.
	firstFault = time.Second
)

// Plan draws the faults of a run, in the order of time.
func Plan(o Options) []ScheduledFault {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	perGap := max(float64(o.Entries+o.Servers)/usualTargets, 1)
	var steps []ScheduledFault
	for at := firstFault; at < o.FaultDuration; {
		steps = append(steps, series(random, o, at)...)
		at += time.Duration(random.ExpFloat64() * float64(meanGap) / perGap)
	}
	steps = append(steps, longSteps(random, o)...)
	steps = append(steps, evacuations(o)...)
	slices.SortStableFunc(steps, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// longSteps draws stops of the entries that nothing else than planned work strikes, each after the one before
// has come to its end, and one return of the store from an older copy.
func longSteps(random *rand.Rand, o Options) []ScheduledFault {
	if o.LongStreamCallers == 0 {
		return nil
	}
	age := min(time.Duration(random.Int64N(int64(longestFault))), o.FaultDuration-firstFault)
	steps := []ScheduledFault{{At: firstFault + time.Duration(random.Int64N(int64(o.FaultDuration-firstFault-age)+1)), Duration: age, Kind: StoreRestored}}
	for entry := o.targets(EntryKilled); entry < o.Entries; entry++ {
		at := firstFault + time.Duration(random.Int64N(int64(longestFault)))
		for ; at < o.FaultDuration; at += stopLimit + time.Duration(random.Int64N(int64(longestFault))) {
			steps = append(steps, ScheduledFault{At: at, Kind: EntryStopped, Target: entry})
		}
	}
	return steps
}

const (
	// evacuationGap is the mean time between two evacuations, evacuationBeyond how much longer than changes take to be in
	// force one lasts at the least.
	evacuationGap    = 3 * time.Second
	evacuationBeyond = 2 * time.Second
)

// evacuations draws evacuations of the second zone, one after the other. They have random numbers of their own: the faults
// of a seed stay what they were.
func evacuations(o Options) []ScheduledFault {
	if !o.MultiZone {
		return nil
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	var steps []ScheduledFault
	for at := firstFault; at < o.FaultDuration; {
		length := o.MaxPropagationDelay + slack + evacuationBeyond + time.Duration(random.Int64N(int64(longestFault)))
		steps = append(steps, ScheduledFault{At: at, Duration: length, Kind: ZoneEvacuated})
		at += length + time.Duration(random.ExpFloat64()*float64(evacuationGap))
	}
	return steps
}

func series(random *rand.Rand, o Options, at time.Duration) []ScheduledFault {
	count := 1
	if random.Float64() < seriesShare {
		count = 2 + random.IntN(seriesMost-1)
	}
	first := draw(random, o)
	again := random.Float64() < againShare
	var steps []ScheduledFault
	for i := range count {
		step := first
		step.At = at + time.Duration(i)*seriesGap
		if !again {
			step.Target = (first.Target + i) % o.targets(first.Kind)
		}
		if step.At < o.FaultDuration {
			step.Duration = min(step.Duration, o.FaultDuration-step.At)
			steps = append(steps, step)
		}
	}
	return steps
}

// targets is how many things a kind may strike.
func (o Options) targets(kind FaultKind) int {
	switch {
	case o.LongStreamCallers > 0 && kind.onEntry() && !kind.planned():
		// The others' stops come to their ends undisturbed: a stop lasts for longer than faults lie apart.
		return (o.Entries + 1) / 2
	case kind.onEntry():
		return o.Entries
	case kind.onWorker():
		return o.Servers
	}
	return 1
}

func draw(random *rand.Rand, o Options) ScheduledFault {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	kind, left := weights[0].kind, random.IntN(sum)
	for _, w := range weights {
		if left < w.weight {
			kind = w.kind
			break
		}
		left -= w.weight
	}
	return ScheduledFault{Kind: kind, Target: random.IntN(o.targets(kind)), Duration: time.Duration((0.1 + 0.9*random.Float64()) * float64(longestFault)),
		LinkFault: linkFaults[random.IntN(len(linkFaults))]}
}

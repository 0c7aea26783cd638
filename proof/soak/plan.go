package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// Kinds of faults. A target is an entry for the first group, a backend server for
// the second, and nothing for the store's.
const (
	EntryKilled     Kind = "entry killed"
	EntryPaused     Kind = "entry paused"
	EntryStopped    Kind = "entry stopped"
	SettingsChanged Kind = "settings changed"
	FrontLink       Kind = "link from callers"
	StoreLink       Kind = "link to the store"

	WorkerCrashed    Kind = "worker crashed"
	WorkerLeaves     Kind = "worker leaves"
	AddressReused    Kind = "address reused"
	WorkerMisbehaves Kind = "worker misbehaves"
	WorkerLink       Kind = "link to a worker"

	StoreRefuses  Kind = "store refuses"
	StoreForgets  Kind = "store forgets its history"
	RowsLapse     Kind = "rows lapse"
	ConfigChanges Kind = "configuration changes"
	// StoreRestored: it comes back from a copy as old as the fault is long.
	StoreRestored Kind = "store restored"
	// ZoneEvacuated: the second zone is to get nothing new for as long.
	ZoneEvacuated Kind = "zone evacuated"
)

// planned says that a kind is planned work, beside which nothing may be cut.
func (k Kind) planned() bool {
	return k == EntryStopped || k == SettingsChanged || k == ConfigChanges || k == WorkerLeaves || k == ZoneEvacuated
}

// onEntry and onWorker say what a kind strikes.
func (k Kind) onEntry() bool {
	return slices.Contains([]Kind{EntryKilled, EntryPaused, EntryStopped, SettingsChanged, FrontLink, StoreLink}, k)
}

func (k Kind) onWorker() bool {
	return slices.Contains([]Kind{WorkerCrashed, WorkerLeaves, AddressReused, WorkerMisbehaves, WorkerLink}, k)
}

// Step is one fault.
type Step struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target int
	// Link is what happens on a link.
	Link LinkFault
}

// weights are how often each kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
}{
	{EntryKilled, 5}, {EntryPaused, 5}, {EntryStopped, 6}, {SettingsChanged, 4}, {FrontLink, 4}, {StoreLink, 6},
	{WorkerCrashed, 5}, {WorkerLeaves, 6}, {AddressReused, 3}, {WorkerMisbehaves, 8}, {WorkerLink, 6},
	{StoreRefuses, 3}, {StoreForgets, 2}, {RowsLapse, 2}, {ConfigChanges, 9},
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
func Plan(o Options) []Step {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	perGap := max(float64(o.Entries+o.Servers)/usualTargets, 1)
	var steps []Step
	for at := firstFault; at < o.FaultDuration; {
		steps = append(steps, series(random, o, at)...)
		at += time.Duration(random.ExpFloat64() * float64(meanGap) / perGap)
	}
	steps = append(steps, longSteps(random, o)...)
	steps = append(steps, evacuations(o)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// longSteps draws stops of the entries that nothing else than planned work strikes, each after the one before
// has come to its end, and one return of the store from an older copy.
func longSteps(random *rand.Rand, o Options) []Step {
	if o.LongStreamCallers == 0 {
		return nil
	}
	age := min(time.Duration(random.Int64N(int64(longestFault))), o.FaultDuration-firstFault)
	steps := []Step{{At: firstFault + time.Duration(random.Int64N(int64(o.FaultDuration-firstFault-age)+1)), For: age, Kind: StoreRestored}}
	for entry := o.targets(EntryKilled); entry < o.Entries; entry++ {
		at := firstFault + time.Duration(random.Int64N(int64(longestFault)))
		for ; at < o.FaultDuration; at += stopLimit + time.Duration(random.Int64N(int64(longestFault))) {
			steps = append(steps, Step{At: at, Kind: EntryStopped, Target: entry})
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
func evacuations(o Options) []Step {
	if !o.MultiZone {
		return nil
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	var steps []Step
	for at := firstFault; at < o.FaultDuration; {
		length := o.MaxPropagationDelay + slack + evacuationBeyond + time.Duration(random.Int64N(int64(longestFault)))
		steps = append(steps, Step{At: at, For: length, Kind: ZoneEvacuated})
		at += length + time.Duration(random.ExpFloat64()*float64(evacuationGap))
	}
	return steps
}

func series(random *rand.Rand, o Options, at time.Duration) []Step {
	count := 1
	if random.Float64() < seriesShare {
		count = 2 + random.IntN(seriesMost-1)
	}
	first := draw(random, o)
	again := random.Float64() < againShare
	var steps []Step
	for i := range count {
		step := first
		step.At = at + time.Duration(i)*seriesGap
		if !again {
			step.Target = (first.Target + i) % o.targets(first.Kind)
		}
		if step.At < o.FaultDuration {
			step.For = min(step.For, o.FaultDuration-step.At)
			steps = append(steps, step)
		}
	}
	return steps
}

// targets is how many things a kind may strike.
func (o Options) targets(kind Kind) int {
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

func draw(random *rand.Rand, o Options) Step {
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
	return Step{Kind: kind, Target: random.IntN(o.targets(kind)), For: time.Duration((0.1 + 0.9*random.Float64()) * float64(longestFault)),
		Link: linkFaults[random.IntN(len(linkFaults))]}
}

// Package forwarding simulates a deployment that forwards short and long prompts to model engines, in
// virtual time. Every entry runs the real placement code of core/placement, the passes of the engines
// come from core/enginemodel, and callers give up after waiting too long. Simulating half a minute
// takes some hundredths of a second, so that policies can be compared over thousands of runs.
package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/enginemodel"
)

// Class describes one kind of request. Lengths are in tokens.
type Class struct {
	Name string
	// PerSecond is the arrival rate over all entries at load 1.
	PerSecond float64
	// Prompt is the mean length, PromptSpread the standard deviation of its logarithm, PromptMax the
	// largest length.
	Prompt, PromptSpread, PromptMax float64
	// Events, EventSpread and EventMax describe the number of events of a response likewise.
	Events, EventSpread, EventMax float64
	Target, Gap, Deadline         time.Duration
	// Worth is the value of a response in time, LateWorth that of a late one.
	Worth, LateWorth float64
}

// patience returns how long a caller waits for the next event before it gives up.
func (c *Class) patience() time.Duration {
	return max(2*time.Second, 4*c.Target, 8*c.Gap)
}

// Phase changes the mix of classes from a time on.
type Phase struct {
	From time.Duration
	// Load multiplies the arrival rates of the classes, in their order.
	Load []float64
}

// Deployment describes a simulated deployment with its traffic and its faults.
type Deployment struct {
	Engine  enginemodel.Engine
	Engines int
	Entries int
	Zones   int
	Classes []Class
	Phases  []Phase
	Length  time.Duration
	// UpdateDelay is the time until the other entries know of a dispatch.
	UpdateDelay time.Duration
	// Partitioned tells whether an entry can't exchange load updates with the others at a time; nil
	// for never.
	Partitioned func(entry int, at time.Duration) bool
	// Terminated tells which entries get no requests; nil for none. The others can't tell them from
	// entries that are partitioned.
	Terminated func(entry int) bool
	// Outages and EngineFaults are the faults of the run.
	Outages      []Outage
	EngineFaults []EngineFault
	// Shards divides entries and engines into so many shards, 0 for none. Entries choose among the
	// engines of their shard and send load updates within it.
	Shards int
	// ShareWhenPartitioned lets entries use the same servers although they can't hear each other.
	// Without it an entry keeps off the servers owned by entries it doesn't hear.
	ShareWhenPartitioned bool
	// HintSpread is the standard deviation of the logarithm of the callers' estimates of the output
	// length.
	HintSpread float64
	// Claims lets prompts that find no memory wait with a claim. WithholdNothing lets them wait without an order among
	// entries, ClaimsInTime only as long as they can be in time; these are for comparison.
	Claims, WithholdNothing, ClaimsInTime bool
}

// phaseAt returns a phase that starts at a second and multiplies the usual rates of the three classes.
func phaseAt(load, from, short, middle, long float64) Phase {
	return Phase{From: time.Duration(from * float64(time.Second)), Load: []float64{load * short, load * middle, load * long}}
}

// defaultPhases returns the phases of the press's deployment: mostly long prompts, mostly short ones,
// mostly long ones, and the usual mix.
func defaultPhases(load float64) []Phase {
	return []Phase{phaseAt(load, 0, 0.35, 1.3, 2.7), phaseAt(load, 10, 2.4, 0.5, 0.05), phaseAt(load, 20, 0.35, 1.3, 2.7), phaseAt(load, 30, 1, 1, 1)}
}

// defaultUpdateDelay covers gathering load updates and sending them.
const defaultUpdateDelay = 6 * time.Millisecond

// Zagara returns the press's deployment with its default phases, at a load.
func Zagara(load float64) Deployment {
	return Deployment{
		Engine: enginemodel.Engine{Slots: 16, MemoryTokens: 315_000, StepMs: 0.85, StepPerAnswerMs: 0.00425, StepPerContextMs: 0.00285,
			ReadPerMs: 177, PairsMs: 0.184, Chunk: 2048, Stride: 51, UsualAnswer: 1622, HopMs: 0.05},
		Engines: 16, Entries: 5, Zones: 3, Length: 40 * time.Second, UpdateDelay: defaultUpdateDelay, HintSpread: 0.5,
		Classes: []Class{
			{Name: "gloss", PerSecond: 32.8, Prompt: 4960, PromptSpread: 0.9, PromptMax: 23_800, Events: 32.9, EventSpread: 0.7, EventMax: 82,
				Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.3, LateWorth: 0.33},
			{Name: "raccolta", PerSecond: 1.66, Prompt: 45_000, PromptSpread: 0.5, PromptMax: 110_000, Events: 19.7, EventSpread: 0.6, EventMax: 49,
				Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 10 * time.Second, Worth: 4.2, LateWorth: 1},
			{Name: "antologia", PerSecond: 1, Prompt: 154_000, PromptSpread: 0.55, PromptMax: 700_000, Events: 16.5, EventSpread: 0.5, EventMax: 41,
				Target: 3 * time.Second, Gap: time.Second, Deadline: 15 * time.Second, Worth: 21, LateWorth: 5.2},
		},
		Phases: defaultPhases(load),
	}
}

// ZagaraGrown returns the press's deployment after growth: more and smaller servers, and longer
// prompts.
func ZagaraGrown(load float64) Deployment {
	deployment := Zagara(load)
	deployment.Engine.Slots, deployment.Engine.MemoryTokens, deployment.Engine.Stride, deployment.Engine.UsualAnswer = 12, 267_750, 57, 1750
	deployment.Engines, deployment.Entries = 54, 28
	short, middle, long := &deployment.Classes[0], &deployment.Classes[1], &deployment.Classes[2]
	short.PerSecond, middle.PerSecond, long.PerSecond = 87, 5.52, 2.37
	short.Events, short.EventMax, middle.Events, middle.EventMax, long.Events, long.EventMax = 31.7, 79, 19, 47.6, 15.9, 39.6
	middle.Worth, middle.LateWorth = 3.5, 0.88
	long.Prompt, long.Target, long.Worth, long.LateWorth = 220_000, 4*time.Second, 29, 7.4
	return deployment
}

// ZagaraShifted returns the press's deployment after its traffic has shifted: more servers than in
// ZagaraGrown, middle prompts twice as often, and a change of the mix every ten seconds.
func ZagaraShifted(load float64) Deployment {
	deployment := ZagaraGrown(load)
	deployment.Engines, deployment.Entries = 69, 23
	short, middle, long := &deployment.Classes[0], &deployment.Classes[1], &deployment.Classes[2]
	short.PerSecond, middle.PerSecond, long.PerSecond = 83.2, 9.17, 2.26
	deployment.Phases = []Phase{phaseAt(load, 0, 1, 1, 1), phaseAt(load, 2, 0.38, 1.3, 2.8), phaseAt(load, 12, 1, 1, 1), phaseAt(load, 13, 2.4, 0.5, 0.05),
		phaseAt(load, 23, 0.35, 1.3, 2.8), phaseAt(load, 33, 1, 1, 1)}
	return deployment
}

// ZagaraLarge returns a shard of the press's large deployment: the given number of engines with the
// matching share of entries and traffic, from one zone (27 of 135 engines) to the whole. Entries
// choose among the engines of the shard only.
func ZagaraLarge(load float64, engines int) Deployment {
	deployment := Zagara(load)
	part := float64(engines) / largeEngines
	deployment.Engine.Slots, deployment.Engine.Stride = 10, 80
	deployment.Engines, deployment.Entries, deployment.Zones = engines, int(math.Round(largeEntries*part)), 1
	short, middle, long := &deployment.Classes[0], &deployment.Classes[1], &deployment.Classes[2]
	short.PerSecond, middle.PerSecond, long.PerSecond = 186*part, 13.7*part, 4.53*part
	short.Events, short.EventMax, middle.Events, middle.EventMax, long.Events, long.EventMax = 23.5, 58.8, 14.1, 35.3, 11.8, 29.4
	short.Target, short.Gap, middle.Gap = 400*time.Millisecond, 300*time.Millisecond, 800*time.Millisecond
	middle.Worth, middle.LateWorth = 3.1, 0.78
	long.Prompt, long.Target, long.Gap, long.Worth, long.LateWorth = 220_000, 4*time.Second, 1200*time.Millisecond, 26, 6.5
	return deployment
}

// Size of the press's large deployment.
const (
	largeEngines = 135
	largeEntries = 68
)

// Sanad returns the shops' deployment, at a load: more of the press's engines, few entries, and more
// traffic.
func Sanad(load float64) Deployment {
	deployment := Zagara(load)
	deployment.Engines, deployment.Entries = 23, 3
	deployment.Classes[0].PerSecond, deployment.Classes[1].PerSecond, deployment.Classes[2].PerSecond = 47, 2.39, 1.44
	return deployment
}

// SanadGrown returns the shops' deployment after growth.
func SanadGrown(load float64) Deployment {
	deployment := ZagaraGrown(load)
	deployment.Engines = 78
	deployment.Classes[0].PerSecond, deployment.Classes[1].PerSecond, deployment.Classes[2].PerSecond = 126, 7.97, 3.41
	return deployment
}

// WithEntryRestart adds a restart of all entries at a time.
func WithEntryRestart(deployment Deployment, from time.Duration, powerLoss bool) Deployment {
	deployment.Outages = append(deployment.Outages, Outage{From: from, For: 800 * time.Millisecond, PowerLoss: powerLoss})
	return deployment
}

// isPartitioned tells whether an entry is partitioned at a time.
func (s *Deployment) isPartitioned(entry int, at time.Duration) bool {
	return s.Partitioned != nil && s.Partitioned(entry, at)
}

// loads returns the multipliers that apply at a time.
func (s *Deployment) loads(at time.Duration) []float64 {
	current := s.Phases[0].Load
	for _, phase := range s.Phases {
		if phase.From <= at {
			current = phase.Load
		}
	}
	return current
}

// lognormal draws from a lognormal distribution with a mean and the standard deviation of the
// logarithm, limited to the range from 1 to most.
func lognormal(random *rand.Rand, mean, sigma, most float64) float64 {
	value := mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return math.Min(math.Max(value, 1), most)
}

// worth returns the value of a response in time and of a late one; both grow with the length of the
// prompt within its class.
func (c *Class) worth(promptTokens float64) (full, late float64) {
	weight := math.Min(0.3+0.7*promptTokens/c.Prompt, 4)
	return c.Worth * weight, c.LateWorth * weight
}

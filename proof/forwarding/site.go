// Package forwarding plays days of a deployment that forwards long and short
// prompts to model engines, in virtual time: the real placement core at every
// entry, the engines' passes by core/enginemodel, and callers that leave when they
// have waited too long. A day of half a minute takes some hundredths of a second,
// so that policies can be compared over thousands of days.
package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/enginemodel"
)

// Class is a kind of request. Lengths are in tokens.
type Class struct {
	Name string
	// PerSecond is the arrivals over all entries at load 1.
	PerSecond float64
	// Prompt is the mean length, PromptSpread the sigma of its logarithm,
	// PromptMax the longest.
	Prompt, PromptSpread, PromptMax float64
	// Events is the mean number of events of an answer, with its spread and
	// maximum.
	Events, EventSpread, EventMax float64
	Target, Gap, Deadline         time.Duration
	// Worth of an answer in time and of a late one.
	Worth, LateWorth float64
}

// patience is how long a caller waits for the next event.
func (c *Class) patience() time.Duration {
	return max(2*time.Second, 4*c.Target, 8*c.Gap)
}

// Phase changes the mix of classes from a moment on.
type Phase struct {
	From time.Duration
	// Load multiplies the arrivals of the classes, in their order.
	Load []float64
}

// Site is a deployment and its day.
type Site struct {
	Engine  enginemodel.Engine
	Engines int
	Entries int
	Zones   int
	Classes []Class
	Phases  []Phase
	Length  time.Duration
	// HintSpread is the sigma of the logarithm of the callers' estimates of the
	// answers' lengths.
	HintSpread float64
}

// Zagara returns the press's deployment with its usual turns of the mix, at a load.
func Zagara(load float64) Site {
	turn := func(from float64, short, middle, long float64) Phase {
		return Phase{From: time.Duration(from * float64(time.Second)), Load: []float64{load * short, load * middle, load * long}}
	}
	return Site{
		Engine: enginemodel.Engine{Slots: 16, MemoryTokens: 315_000, StepMs: 0.85, StepPerAnswerMs: 0.00425, StepPerContextMs: 0.00285,
			ReadPerMs: 177, PairsMs: 0.184, Chunk: 2048, Stride: 51, UsualAnswer: 1622, HopMs: 0.05},
		Engines: 16, Entries: 5, Zones: 3, Length: 40 * time.Second, HintSpread: 0.5,
		Classes: []Class{
			{Name: "gloss", PerSecond: 32.8, Prompt: 4960, PromptSpread: 0.9, PromptMax: 23_800, Events: 32.9, EventSpread: 0.7, EventMax: 82,
				Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.3, LateWorth: 0.33},
			{Name: "raccolta", PerSecond: 1.66, Prompt: 45_000, PromptSpread: 0.5, PromptMax: 110_000, Events: 19.7, EventSpread: 0.6, EventMax: 49,
				Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 10 * time.Second, Worth: 4.2, LateWorth: 1},
			{Name: "antologia", PerSecond: 1, Prompt: 154_000, PromptSpread: 0.55, PromptMax: 700_000, Events: 16.5, EventSpread: 0.5, EventMax: 41,
				Target: 3 * time.Second, Gap: time.Second, Deadline: 15 * time.Second, Worth: 21, LateWorth: 5.2},
		},
		Phases: []Phase{turn(0, 0.35, 1.3, 2.7), turn(10, 2.4, 0.5, 0.05), turn(20, 0.35, 1.3, 2.7), turn(30, 1, 1, 1)},
	}
}

// loads returns the multipliers in force at a time.
func (s *Site) loads(at time.Duration) []float64 {
	current := s.Phases[0].Load
	for _, phase := range s.Phases {
		if phase.From <= at {
			current = phase.Load
		}
	}
	return current
}

// lognormal draws a positive number with a mean, a sigma of its logarithm and a
// maximum.
func lognormal(random *rand.Rand, mean, sigma, most float64) float64 {
	value := mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
	return math.Min(math.Max(value, 1), most)
}

// worth returns what an answer in time and a late one are worth: more for longer
// prompts of a class.
func (c *Class) worth(prompt float64) (full, late float64) {
	size := math.Min(0.3+0.7*prompt/c.Prompt, 4)
	return c.Worth * size, c.LateWorth * size
}

package forwarding

import (
	"math"
	"slices"
)

// Outcome is what a class's callers got.
type ClassResult struct {
	Requests, InTime, Late, Failed int
	// LateFirst and LateGap divide the late ones by what was late first.
	LateFirstEvent, LateGap int
	Demand, Earned          float64
	// Sizes divides what was owed and earned by the lengths of prompts.
	BySize [sizeClasses]Window
	// FirstMs is the times to the first event, Longest the longest pauses.
	FirstEventMs, LongestGapMs []float64
}

// size is the place of a prompt's length within its class.
type sizeClass int

const (
	usualSize   sizeClass = iota
	largeSize             // the fifth below the largest tenth
	largestSize           // the largest tenth
	sizeClasses
)

// Quantiles of the normal distribution above which a tenth and three tenths lie.
const (
	largestQuantile = 1.2816
	largeQuantile   = 0.5244
)

// sizeOf returns the place of a prompt's length within its class.
func (c *Class) sizeClassOf(promptTokens float64) sizeClass {
	above := (math.Log(promptTokens/c.Prompt) + c.PromptSpread*c.PromptSpread/2) / c.PromptSpread
	switch {
	case above > largestQuantile:
		return largestSize
	case above > largeQuantile:
		return largeSize
	}
	return usualSize
}

// Window is what the requests of a short span of a day owed and earned.
type Window struct{ Demand, Earned float64 }

// Result is a day's outcome by class and by the moment of asking.
type Result struct {
	Classes []ClassResult
	Windows []Window
	// Limit is a worth that no scheduler can exceed on the day.
	UpperBound float64
	// Connections counts the new connections to servers.
	Connections int
}

// windowMs is the length of a Window in milliseconds.
const windowMs = 2000

// Worth is the earned part of the worth of all requests.
func (r *Result) Worth() float64 {
	owed, earned := 0.0, 0.0
	for _, c := range r.Classes {
		owed += c.Demand
		earned += c.Earned
	}
	return earned / owed
}

// Weights of a Score: the whole day, its worst moments and its worst class.
const (
	weightWhole  = 0.7
	weightWorst  = 0.15
	worstWindows = 2
)

// Score weighs the worth of the whole day with that of its two worst windows and of its
// worst class, about as the users do. The largest prompts of a class and the large ones
// count as classes by themselves.
func (r *Result) Score() float64 {
	var windows []float64
	for _, w := range r.Windows {
		if w.Demand > 0 {
			windows = append(windows, w.Earned/w.Demand)
		}
	}
	slices.Sort(windows)
	sum, count := 0.0, min(worstWindows, len(windows))
	for _, worth := range windows[:count] {
		sum += worth / float64(count)
	}
	class := 1.0
	for _, c := range r.Classes {
		class = min(class, c.Earned/max(c.Demand, 1e-9))
		for _, s := range c.BySize[largeSize:] {
			class = min(class, s.Earned/max(s.Demand, 1e-9))
		}
	}
	return weightWhole*r.Worth() + weightWorst*sum + weightWorst*class
}

// earn books what a request earned.
func (r *Result) addEarned(q *request, worth float64) {
	q.stats.Earned += worth
	q.stats.BySize[q.sizeClass].Earned += worth
	r.window(q.arrived).Earned += worth
}

func (r *Result) addDemand(q *request, worth float64) {
	q.stats.Demand += worth
	q.stats.BySize[q.sizeClass].Demand += worth
	r.window(q.arrived).Demand += worth
}

func (r *Result) window(at float64) *Window {
	index := int(at / windowMs)
	for len(r.Windows) <= index {
		r.Windows = append(r.Windows, Window{})
	}
	return &r.Windows[index]
}

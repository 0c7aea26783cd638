package forwarding

import (
	"math"
	"slices"
)

// ClassResult counts the results of the requests of a class.
type ClassResult struct {
	Requests, InTime, Late, Failed int
	// LateFirstEvent and LateGap divide the late requests by what was late first: the first event or a
	// gap.
	LateFirstEvent, LateGap int
	Demand, Earned          float64
	// BySize divides demand and earned worth by the length of the prompt.
	BySize [sizeClasses]Window
	// FirstEventMs are the times to the first event and LongestGapMs the longest gaps between events,
	// both of the requests that finished.
	FirstEventMs, LongestGapMs []float64
}

// sizeClass ranks the length of a prompt within its class.
type sizeClass int

const (
	usualSize   sizeClass = iota
	largeSize             // the two tenths below the largest tenth
	largestSize           // the largest tenth
	sizeClasses
)

// Quantiles of the normal distribution above which 10 % and 30 % of the values lie.
const (
	largestQuantile = 1.2816
	largeQuantile   = 0.5244
)

// sizeClassOf ranks the length of a prompt within its class.
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

// Window holds the demand and the earned worth of the requests that arrive in a short span.
type Window struct{ Demand, Earned float64 }

// Result holds the results by class and by time of arrival.
type Result struct {
	Classes []ClassResult
	Windows []Window
	// UpperBound is a worth that no scheduler can exceed, as a share of the demand.
	UpperBound float64
	Memory     MemoryResult
	// Connections counts the new connections to servers.
	Connections int
}

// windowMs is the length of a Window in milliseconds.
const windowMs = 2000

// Worth returns the earned share of the worth of all requests.
func (r *Result) Worth() float64 {
	demand, earned := 0.0, 0.0
	for _, c := range r.Classes {
		demand += c.Demand
		earned += c.Earned
	}
	return earned / demand
}

// Weights of Score: the whole run, its worst windows and its worst class.
const (
	weightWhole  = 0.7
	weightWorst  = 0.15
	worstWindows = 2
)

// Score weights the worth of the whole run with that of its two worst windows and of its worst class,
// similar to the users' own score. The largest and the large prompts of a class count as classes of
// their own.
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

// addEarned adds the earned worth of a request.
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

package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusdeck/core/execution"
	"arbutusdeck/proof/lab"
)

// Classes lists the length classes of every run, shortest first.
var Classes = []string{"short", "medium", "long"}

// ClassResult holds what the callers of one length class observed.
type ClassResult struct {
	Sent, Finished, Refused, Broken int
	// InTarget counts the finished answers whose first token came within the class's target.
	InTarget int
	// FirstToken is the time to first token, in microseconds of virtual time.
	FirstToken *hdrhistogram.Histogram
	// MaxWait is the longest time to first token.
	MaxWait time.Duration
}

// Result holds the measurements of one run, or the sums of several.
type Result struct {
	Scenario Scenario
	Classes  map[string]*ClassResult
	// Refusal is the time to the refusal of refused requests, in microseconds of
	// virtual time.
	Refusal *hdrhistogram.Histogram
	// Attempts counts the attempts of all requests.
	Attempts, Requests int
	// Served is the number of prompt tokens of finished requests, by workspace.
	Served map[string]float64
	// Demand is the number of prompt tokens sent, by workspace.
	Demand map[string]float64
	// Codes counts unfinished requests by class, outcome and refusal code.
	Codes map[string]int
	// Seconds is the measured duration, without warm-up.
	Seconds float64
	// Timeline counts, by second of arrival, the short requests and those in target.
	Timeline map[int]*Point
}

// Point counts the requests of the short class that arrived in one second.
type Point struct{ Sent, InTarget int }

// maxRecorded is the largest value of a histogram, in microseconds.
const maxRecorded = int64(3600 * 1e6)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }

func newResult(s Scenario) *Result {
	r := &Result{Scenario: s, Classes: map[string]*ClassResult{}, Refusal: newHistogram(), Served: map[string]float64{},
		Demand: map[string]float64{}, Timeline: map[int]*Point{}, Codes: map[string]int{}, Seconds: s.Duration.Seconds()}
	for _, class := range Classes {
		r.Classes[class] = &ClassResult{FirstToken: newHistogram()}
	}
	return r
}

// runner runs a scenario's callers against one simulation.
type runner struct {
	lab       *lab.Lab
	scenario  Scenario
	gen       *generator
	result    *Result
	rate      float64
	startedAt time.Time
}

// drain is the time that a run goes on after its last arrival.
const drain = 3 * time.Minute

// Run runs a scenario. The same scenario gives the same result.
func Run(s Scenario) *Result {
	if !s.NoPrefixes {
		s.prefixShare = prefixShare
	}
	deployment := lab.Deployment{Servers: s.Servers, Entries: max(s.Entries, 3), Zones: 3, Slots: 16, Engine: engineSpec(), Workspaces: workspaces(), Groups: s.Servers / 3}
	r := &runner{
		lab: lab.New(lab.Options{Seed: s.Seed, Snapshot: lab.BuildSnapshot(deployment), Engine: engineSpec(), Routing: s.Routing, Scheduling: s.Scheduling,
			Delay: 1100 * time.Microsecond, Patience: s.Patience,
			NoRetries: s.NoRetries, TuneHost: s.TuneHost, TuneEntry: s.TuneEntry}),
		scenario: s,
		gen:      &generator{random: rand.New(rand.NewPCG(s.Seed, 3)), scenario: s},
		result:   newResult(s),
		rate:     s.rate(),
	}
	r.lab.Run(2 * time.Second)
	r.startedAt = r.lab.Now
	if s.Faults != nil {
		s.Faults(r.lab)
	}
	r.next()
	r.lab.Run(warmUp + s.Duration + drain)
	return r.result
}

// next schedules the next arrival; the gaps are exponentially distributed.
func (r *runner) next() {
	elapsed := r.lab.Now.Sub(r.startedAt)
	if elapsed > warmUp+r.scenario.Duration {
		return
	}
	gap := r.gen.random.ExpFloat64() / (r.rate * r.scenario.burst(elapsed))
	r.lab.After(time.Duration(gap*float64(time.Second)), func() {
		r.caller(r.gen.request(r.lab.Snapshot), 0, r.lab.Now)
		r.next()
	})
}

// caller sends one request, and sends it again up to MaxResends times after the
// delays given in refusals.
func (r *runner) caller(request lab.Request, resends int, first time.Time) {
	measured := r.isMeasured(first)
	entry := r.lab.Entries[r.gen.random.IntN(len(r.lab.Entries))]
	request.Done = func(s *lab.Submission) {
		refusal := s.Conclusion.Refusal
		if s.Conclusion.Outcome != execution.Finished && resends < r.scenario.MaxResends && refusal != nil && refusal.RetryAfter > 0 {
			r.lab.After(refusal.RetryAfter, func() { r.caller(request, resends+1, first) })
			return
		}
		if measured {
			r.recordEnd(s, first)
		}
	}
	if measured && resends == 0 {
		r.recordSent(request)
	}
	entry.Submit(request)
}

func (r *runner) isMeasured(at time.Time) bool {
	elapsed := at.Sub(r.startedAt)
	return elapsed >= warmUp && elapsed < warmUp+r.scenario.Duration
}

func (r *runner) recordSent(request lab.Request) {
	class, _ := r.lab.Snapshot.ClassOf(request.PromptTokens)
	r.result.Classes[class].Sent++
	r.result.Requests++
	r.result.Demand[request.Workspace] += float64(request.PromptTokens)
}

func (r *runner) recordEnd(s *lab.Submission, first time.Time) {
	class := r.result.Classes[s.Class]
	r.result.Attempts += len(s.Attempts)
	point := r.point(first)
	if s.Class == Classes[0] {
		point.Sent++
	}
	if refusal := s.Conclusion.Refusal; refusal != nil {
		r.result.Codes[fmt.Sprintf("%s %s %s", s.Class, s.Conclusion.Outcome, refusal.Code)]++
	}
	switch s.Conclusion.Outcome {
	case execution.NotRun:
		class.Refused++
		_ = r.result.Refusal.RecordValue(max(1, s.Ended.Sub(s.Sent).Microseconds()))
		return
	case execution.Finished:
		class.Finished++
		r.result.Served[s.Request().Workspace] += float64(s.Request().PromptTokens)
	default:
		class.Broken++
	}
	if s.FirstToken.IsZero() {
		return
	}
	took := s.FirstToken.Sub(first)
	_ = class.FirstToken.RecordValue(min(maxRecorded, max(1, took.Microseconds())))
	class.MaxWait = max(class.MaxWait, took)
	if took <= r.lab.Snapshot.LengthClasses[s.Class].FirstToken.D() && s.Conclusion.Outcome == execution.Finished {
		class.InTarget++
		if s.Class == Classes[0] {
			point.InTarget++
		}
	}
}

func (r *runner) point(at time.Time) *Point {
	second := int(at.Sub(r.startedAt).Seconds())
	if r.result.Timeline[second] == nil {
		r.result.Timeline[second] = &Point{}
	}
	return r.result.Timeline[second]
}

// RunSeeds runs a scenario with several successive seeds in parallel and merges the
// results, so that a figure does not depend on one random workload.
func RunSeeds(s Scenario, seeds int) *Result {
	merged := newResult(s)
	merged.Seconds *= float64(seeds)
	results := make(chan *Result)
	for i := range seeds {
		go func() {
			one := s
			one.Seed += uint64(i)
			results <- Run(one)
		}()
	}
	for range seeds {
		merged.add(<-results)
	}
	return merged
}

func (r *Result) add(other *Result) {
	for name, class := range other.Classes {
		sum := r.Classes[name]
		sum.Sent += class.Sent
		sum.Finished += class.Finished
		sum.Refused += class.Refused
		sum.Broken += class.Broken
		sum.InTarget += class.InTarget
		sum.MaxWait = max(sum.MaxWait, class.MaxWait)
		sum.FirstToken.Merge(class.FirstToken)
	}
	r.Refusal.Merge(other.Refusal)
	r.Attempts += other.Attempts
	r.Requests += other.Requests
	addAll(r.Served, other.Served)
	addAll(r.Demand, other.Demand)
	for code, count := range other.Codes {
		r.Codes[code] += count
	}
	for second, point := range other.Timeline {
		sum := r.Timeline[second]
		if sum == nil {
			sum = &Point{}
			r.Timeline[second] = sum
		}
		sum.Sent += point.Sent
		sum.InTarget += point.InTarget
	}
}

func addAll(into, from map[string]float64) {
	for key, value := range from {
		into[key] += value
	}
}

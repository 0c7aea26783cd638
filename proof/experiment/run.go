package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusdeck/core/execution"
	"arbutusdeck/proof/lab"
)

// Classes are the length classes of every run, shortest first.
var Classes = []string{"short", "medium", "long"}

// ClassResult is what the callers of one length class saw.
type ClassResult struct {
	Sent, Finished, Refused, Broken int
	// InTarget counts the answers that began within the class's target.
	InTarget int
	// FirstToken is in microseconds of virtual time.
	FirstToken *hdrhistogram.Histogram
	// MaxWait is the longest time to a first token.
	MaxWait time.Duration
}

// Result is one run's outcome.
type Result struct {
	Scenario Scenario
	Classes  map[string]*ClassResult
	// Refusal is the time to the final answer of refused requests, in
	// microseconds.
	Refusal *hdrhistogram.Histogram
	// Attempts is the number of attempts of all requests together.
	Attempts, Requests int
	// Served is prompt tokens by workspace.
	Served map[string]float64
	// Demand is the same of what was sent.
	Demand map[string]float64
	// Codes counts why requests did not finish, by class, outcome and code.
	Codes map[string]int
	// Seconds is the measured time.
	Seconds float64
	// Timeline counts, by second, short requests sent and begun in target.
	Timeline map[int]*Point
}

// Point is one second of the short class.
type Point struct{ Sent, InTarget int }

// maxRecorded is the largest time a histogram holds, in microseconds.
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

// runner feeds one lab with callers.
type runner struct {
	lab      *lab.Lab
	scenario Scenario
	gen      *generator
	result   *Result
	rate     float64
	begun    time.Time
}

// drain is how long a run goes on after its last caller.
const drain = 3 * time.Minute

// Run carries a scenario out. The same scenario gives the same result.
func Run(s Scenario) *Result {
	if !s.NoPrefixes {
		s.prefixShare = prefixShare
	}
	site := lab.Deployment{Servers: s.Servers, Entries: max(s.Entries, 3), Zones: 3, Slots: 16, Engine: engineSpec(), Workspaces: workspaces(), Groups: s.Servers / 3}
	r := &runner{
		lab: lab.New(lab.Options{Seed: s.Seed, Snapshot: lab.BuildSnapshot(site), Engine: engineSpec(), Routing: s.Routing, Scheduling: s.Scheduling,
			Delay: 1100 * time.Microsecond, Patience: s.Patience,
			NoRetries: s.NoRetries, TuneHost: s.TuneHost, TuneEntry: s.TuneEntry}),
		scenario: s,
		gen:      &generator{random: rand.New(rand.NewPCG(s.Seed, 3)), scenario: s},
		result:   newResult(s),
		rate:     s.rate(),
	}
	r.lab.Run(2 * time.Second)
	r.begun = r.lab.Now
	if s.Faults != nil {
		s.Faults(r.lab)
	}
	r.next()
	r.lab.Run(warmUp + s.Duration + drain)
	return r.result
}

// next schedules the next caller; the gaps are exponential.
func (r *runner) next() {
	elapsed := r.lab.Now.Sub(r.begun)
	if elapsed > warmUp+r.scenario.Duration {
		return
	}
	gap := r.gen.random.ExpFloat64() / (r.rate * r.scenario.burst(elapsed))
	r.lab.After(time.Duration(gap*float64(time.Second)), func() {
		r.caller(r.gen.request(r.lab.Snapshot), 0, r.lab.Now)
		r.next()
	})
}

// caller sends one request, and again when it is told to come back.
func (r *runner) caller(request lab.Request, resent int, first time.Time) {
	counted := r.counted(first)
	entry := r.lab.Entries[r.gen.random.IntN(len(r.lab.Entries))]
	request.Done = func(s *lab.Submission) {
		refusal := s.Conclusion.Refusal
		if s.Conclusion.Outcome != execution.Finished && resent < r.scenario.MaxResends && refusal != nil && refusal.RetryAfter > 0 {
			r.lab.After(refusal.RetryAfter, func() { r.caller(request, resent+1, first) })
			return
		}
		if counted {
			r.ended(s, first)
		}
	}
	if counted && resent == 0 {
		r.sent(request)
	}
	entry.Submit(request)
}

func (r *runner) counted(at time.Time) bool {
	elapsed := at.Sub(r.begun)
	return elapsed >= warmUp && elapsed < warmUp+r.scenario.Duration
}

func (r *runner) sent(request lab.Request) {
	class, _ := r.lab.Snapshot.ClassOf(request.PromptTokens)
	r.result.Classes[class].Sent++
	r.result.Requests++
	r.result.Demand[request.Workspace] += float64(request.PromptTokens)
}

func (r *runner) ended(s *lab.Submission, first time.Time) {
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
	second := int(at.Sub(r.begun).Seconds())
	if r.result.Timeline[second] == nil {
		r.result.Timeline[second] = &Point{}
	}
	return r.result.Timeline[second]
}

// RunSeeds runs a scenario under several seeds and joins their results, so that
// a figure does not hang on one draw of callers.
func RunSeeds(s Scenario, seeds int) *Result {
	joined := newResult(s)
	joined.Seconds *= float64(seeds)
	results := make(chan *Result)
	for i := range seeds {
		go func() {
			one := s
			one.Seed += uint64(i)
			results <- Run(one)
		}()
	}
	for range seeds {
		joined.add(<-results)
	}
	return joined
}

func (r *Result) add(other *Result) {
	for name, class := range other.Classes {
		mine := r.Classes[name]
		mine.Sent += class.Sent
		mine.Finished += class.Finished
		mine.Refused += class.Refused
		mine.Broken += class.Broken
		mine.InTarget += class.InTarget
		mine.MaxWait = max(mine.MaxWait, class.MaxWait)
		mine.FirstToken.Merge(class.FirstToken)
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
		mine := r.Timeline[second]
		if mine == nil {
			mine = &Point{}
			r.Timeline[second] = mine
		}
		mine.Sent += point.Sent
		mine.InTarget += point.InTarget
	}
}

func addAll(into, from map[string]float64) {
	for key, value := range from {
		into[key] += value
	}
}

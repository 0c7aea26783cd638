// Package experiment compares routing and scheduling policies: it runs seeded
// callers against the real cores in virtual time and prints one table for all
// scenarios.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/config"
	"arbutusdeck/core/frontend"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/scheduling"
	"arbutusdeck/proof/lab"
	"arbutusdeck/standin/engine"
)

// Scenario configures one run.
type Scenario struct {
	Name    string
	Servers int
	Entries int
	Seed    uint64
	// Load is the offered prefill work as a fraction of the fleet's prefill rate.
	Load float64
	// LongShare is the fraction of requests above 100,000 tokens.
	LongShare float64
	// NoPrefixes generates prompts without shared prefixes.
	NoPrefixes bool
	// Bursts triples the rate for two seconds of every twenty.
	Bursts     bool
	Duration   time.Duration
	Routing    routing.Policy
	Scheduling scheduling.Policy
	// Patience is the patience of admission, see lab.Options; 0 means the default.
	Patience float64
	// MaxResends is the number of times that a refused caller sends its request
	// again, after the delay given in the refusal.
	MaxResends int
	// NoRetries sets the entries' retry budget to 0.
	NoRetries bool
	// TuneHost and TuneEntry adjust the cores' options, if set.
	TuneHost  func(*backend.Options)
	TuneEntry func(*frontend.Options)
	// Faults schedules faults of the run, if set.
	Faults func(l *lab.Lab)

	prefixShare float64
}

// Numbers of servers of the users' deployments: Zagara has the small one,
// Pantallas the large one.
const (
	SmallDeploymentServers = 15
	LargeDeploymentServers = 20
)

// warmUp is the start of a run that the results leave out.
const warmUp = 30 * time.Second

// Parameters of the workload. Lengths are in tokens; prefixes is the number of
// shared prefixes.
const (
	shortest    = 1_000
	longFrom    = 100_000
	longest     = 1_000_000
	shortMedian = 3_000
	shortSigma  = 1.0
	answerMean  = 120
	// longestAnswer bounds answers, so that one can be decoded within the shortest deadline.
	longestAnswer = 500
	prefixes      = 400
	// prefixShare is the fraction of prompts that have a shared prefix.
	prefixShare = 0.5
)

// engineSpec returns the spec of the engines of every run.
func engineSpec() engine.Spec {
	spec := engine.DefaultSpec()
	spec.MemoryTokens = 480_000
	return spec
}

// demandParts are the fractions of the demand that ten workspaces of equal weight
// send. Two workspaces are large.
var demandParts = []float64{0.3, 0.25, 0.1, 0.1, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03}

func workspaces() map[string]config.Workspace {
	all := map[string]config.Workspace{}
	for i := range demandParts {
		all[fmt.Sprintf("w%d", i)] = config.Workspace{Weight: 1}
	}
	return all
}

// generator generates random requests.
type generator struct {
	random   *rand.Rand
	scenario Scenario
}

// tokens returns a random prompt length.
func (g *generator) tokens() int64 {
	if g.random.Float64() < g.scenario.LongShare {
		return int64(longFrom * math.Pow(longest/longFrom, g.random.Float64()))
	}
	for {
		tokens := shortMedian * math.Exp(shortSigma*g.random.NormFloat64())
		if tokens >= shortest && tokens < longFrom {
			return int64(tokens)
		}
	}
}

func (g *generator) workspace() string {
	at := g.random.Float64()
	for i, part := range demandParts {
		if at < part {
			return fmt.Sprintf("w%d", i)
		}
		at -= part
	}
	return "w0"
}

// request returns a random request.
func (g *generator) request(snapshot *config.Snapshot) lab.Request {
	tokens := g.tokens()
	class, _ := snapshot.ClassOf(tokens)
	request := lab.Request{Workspace: g.workspace(), Kind: class, Hall: lab.Hall, PromptTokens: tokens,
		AnswerTokens: 1 + int64(g.random.ExpFloat64()*answerMean), Repeatable: true, Deadline: snapshot.Kinds[class].Deadline.D()}
	request.AnswerTokens = min(request.AnswerTokens, longestAnswer)
	if g.random.Float64() < g.scenario.prefixShare {
		request.Prefix = 1 + g.random.Uint64N(prefixes)
	}
	return request
}

// meanTokens estimates the mean length of the scenario's prompts.
func (g *generator) meanTokens() float64 {
	const samples = 200_000
	sum := 0.0
	for range samples {
		sum += float64(g.tokens())
	}
	return sum / samples
}

// rate returns the mean number of arrivals per second for the scenario's load.
func (s Scenario) rate() float64 {
	g := &generator{random: rand.New(rand.NewPCG(99, 99)), scenario: s}
	return s.Load * float64(s.Servers) * engineSpec().PrefillRate / g.meanTokens()
}

// burst returns the factor on the arrival rate at a time of the run.
func (s Scenario) burst(elapsed time.Duration) float64 {
	if !s.Bursts {
		return 1
	}
	if elapsed%(20*time.Second) < 2*time.Second {
		return 3
	}
	return 14.0 / 18 // keeps the mean rate: 2 s at 3 and 18 s at this factor
}

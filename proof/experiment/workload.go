// Package experiment measures policies: seeded callers against the real cores in
// virtual time, one table for all.
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

// Scenario is one run.
type Scenario struct {
	Name    string
	Servers int
	Entries int
	Seed    uint64
	// Load is the offered prefill work over the fleet's speed.
	Load float64
	// LongShare is the part of requests above 100,000 tokens.
	LongShare float64
	// NoPrefixes draws prompts without common beginnings.
	NoPrefixes bool
	// Bursts triples the rate for two seconds of every twenty.
	Bursts     bool
	Duration   time.Duration
	Routing    routing.Policy
	Scheduling scheduling.Policy
	// Patience is the admission's; 0 takes the default.
	Patience float64
	// MaxResends makes refused callers come back when they were told to, so many
	// times.
	MaxResends int
	// NoRetries empties the entries' retry budget.
	NoRetries bool
	// TuneHost and TuneEntry may change the cores' options.
	TuneHost  func(*backend.Options)
	TuneEntry func(*frontend.Options)
	// Faults strike during the run.
	Faults func(l *lab.Lab)

	prefixShare float64
}

// Deployment sizes of today.
const (
	SmallDeploymentServers = 15
	LargeDeploymentServers = 20
)

// warmUp is left out of every figure.
const warmUp = 30 * time.Second

// Lengths, in tokens.
const (
	shortest    = 1_000
	longFrom    = 100_000
	longest     = 1_000_000
	shortMedian = 3_000
	shortSigma  = 1.0
	answerMean  = 120
	// longestAnswer is decoded within the shortest deadline.
	longestAnswer = 500
	prefixes      = 400
	// prefixShare is the part of prompts that begin like others.
	prefixShare = 0.5
)

// engineSpec is the engine of every run.
func engineSpec() engine.Spec {
	spec := engine.DefaultSpec()
	spec.MemoryTokens = 480_000
	return spec
}

// workspaces are ten, two of them large: weights and parts of the demand.
var demandParts = []float64{0.3, 0.25, 0.1, 0.1, 0.05, 0.05, 0.05, 0.04, 0.03, 0.03}

func workspaces() map[string]config.Workspace {
	all := map[string]config.Workspace{}
	for i := range demandParts {
		all[fmt.Sprintf("w%d", i)] = config.Workspace{Weight: 1}
	}
	return all
}

// generator draws requests.
type generator struct {
	random   *rand.Rand
	scenario Scenario
}

// tokens draws a prompt's length.
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

// request draws a whole request.
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

// rate returns the mean arrivals a second for the scenario's load.
func (s Scenario) rate() float64 {
	g := &generator{random: rand.New(rand.NewPCG(99, 99)), scenario: s}
	return s.Load * float64(s.Servers) * engineSpec().PrefillRate / g.meanTokens()
}

// burst returns the factor on the rate at a time.
func (s Scenario) burst(elapsed time.Duration) float64 {
	if !s.Bursts {
		return 1
	}
	if elapsed%(20*time.Second) < 2*time.Second {
		return 3
	}
	return 14.0 / 18 // so that the mean stays
}

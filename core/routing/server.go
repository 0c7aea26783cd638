package routing

import (
	"time"
)

// ServerSpec is what the configuration says of a server of one pool.
type ServerSpec struct {
	Name string
	Zone string
	// Rate is the expected prefill speed of its engines together, tokens/s.
	Rate float64
	// Engines is how many engines share that speed.
	Engines int
	// MaxTokens is the longest prompt with answer that one engine holds; zero
	// means no limit.
	MaxTokens int64
}

// ClassTokens is reported prefill work of one class rank.
type ClassTokens struct {
	Rank   int
	Tokens int64
}

// Report is a server's word on its load.
type Report struct {
	Classes  []ClassTokens
	Rate     float64
	Waiting  int
	Running  int
	Observed time.Time
	// StartDelay is the wait for a slot and memory.
	StartDelay time.Duration
}

type server struct {
	spec        ServerSpec
	report      Report
	pending     []dispatch // sent since the last report
	outstanding int
	distrust    float64 // failures of late, decaying
	distrustAt  time.Time
	paceUntil   time.Time // overload: no new work before
	paceStep    time.Duration
}

type dispatch struct {
	at     time.Time
	rank   int
	tokens int64
}

type pool struct {
	servers []*server
	byName  map[string]*server
	next    int
	// mean is the smoothed work of all reports, by rank.
	mean []float64
}

// maxRanks bounds the ranks of length classes that are told apart.
const maxRanks = 8

// meanSmoothing is the weight of a new report in the mean.
const meanSmoothing = 0.02

// observe takes a report into the mean.
func (p *pool) observe(report Report) {
	if p.mean == nil {
		p.mean = make([]float64, maxRanks)
	}
	var tokens [maxRanks]float64
	for _, c := range report.Classes {
		if c.Rank >= 0 && c.Rank < maxRanks {
			tokens[c.Rank] += float64(c.Tokens)
		}
	}
	for rank := range p.mean {
		p.mean[rank] += meanSmoothing * (tokens[rank] - p.mean[rank])
	}
}

// meanUpTo is the mean work at the rank or before it, in tokens.
func (p *pool) meanUpTo(rank int) float64 {
	sum := 0.0
	for i := 0; i <= rank && i < len(p.mean); i++ {
		sum += p.mean[i]
	}
	return sum
}

// maxPending bounds the own dispatches remembered for one server.
const maxPending = 256

const (
	minPace = 20 * time.Millisecond
	maxPace = 500 * time.Millisecond
	// distrustHalfLife is how fast a failure is forgotten.
	distrustHalfLife = 2 * time.Second
	// distrustCost is what one recent failure adds to a prediction.
	distrustCost = 400 * time.Millisecond
	// warmUpCost is what a server that has just come up adds to a prediction.
	warmUpCost = 100 * time.Millisecond
)

func (s *server) distrustNow(now time.Time) float64 {
	if s.distrust == 0 {
		return 0
	}
	halves := int(now.Sub(s.distrustAt) / distrustHalfLife)
	if halves > 30 {
		return 0
	}
	return s.distrust / float64(uint64(1)<<halves)
}

// ServerLoad is one row for operators.
type ServerLoad struct {
	Pool         string    `json:"pool"`
	Server       string    `json:"server"`
	Outstanding  int       `json:"outstanding"`
	Rate         float64   `json:"prefillTokensPerSecond"`
	Waiting      int       `json:"waiting"`
	Running      int       `json:"running"`
	Observed     time.Time `json:"observed"`
	FailureScore float64   `json:"distrust"`
}

// Loads lists what is believed of every server.
func (p *Picker) Loads(now time.Time) []ServerLoad {
	var rows []ServerLoad
	for name, pool := range p.pools {
		for _, s := range pool.servers {
			rows = append(rows, ServerLoad{Pool: name, Server: s.spec.Name, Outstanding: s.outstanding,
				Rate: s.report.Rate, Waiting: s.report.Waiting, Running: s.report.Running,
				Observed: s.report.Observed, FailureScore: s.distrustNow(now)})
		}
	}
	return rows
}

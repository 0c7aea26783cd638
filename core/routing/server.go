package routing

import (
	"time"
)

// ServerSpec is the configuration of one server of a pool.
type ServerSpec struct {
	Name string
	Zone string
	// Rate is the expected total prefill rate of its engines, in tokens per second.
	Rate float64
	// Engines is the number of engines that share Rate.
	Engines int
	// MaxTokens bounds prompt and answer together on one engine; 0 means no limit.
	MaxTokens int64
}

// ClassTokens is the reported prefill work of one class rank.
type ClassTokens struct {
	Rank   int
	Tokens int64
}

// Report is a load report of a server.
type Report struct {
	Classes  []ClassTokens
	Rate     float64
	Waiting  int
	Running  int
	Observed time.Time
	// StartDelay is the predicted wait for a slot and memory.
	StartDelay time.Duration
}

type server struct {
	spec           ServerSpec
	report         Report
	pending        []dispatch // not included in the last report
	outstanding    int
	failureScore   float64 // recent failures, decaying exponentially
	failureScoreAt time.Time
	backoffUntil   time.Time // after an overload, no dispatch before this time
	backoff        time.Duration
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
	// mean is the smoothed prefill work of all reports, by rank.
	mean []float64
}

// maxRanks bounds the number of class ranks in the mean of reports.
const maxRanks = 8

// meanSmoothing is the weight of a new report in the mean.
const meanSmoothing = 0.02

// observe updates the mean with a report.
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

// meanUpTo returns the mean prefill work up to the rank, in tokens.
func (p *pool) meanUpTo(rank int) float64 {
	sum := 0.0
	for i := 0; i <= rank && i < len(p.mean); i++ {
		sum += p.mean[i]
	}
	return sum
}

// maxPending bounds the dispatches remembered for one server.
const maxPending = 256

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// failureHalfLife is the half-life of a failure in the failure score.
	failureHalfLife = 2 * time.Second
	// failurePenalty is added to a prediction for each unit of the failure score.
	failurePenalty = 400 * time.Millisecond
	// warmUpPenalty is added to the prediction for a server during its warm-up.
	warmUpPenalty = 100 * time.Millisecond
)

func (s *server) decayedFailureScore(now time.Time) float64 {
	if s.failureScore == 0 {
		return 0
	}
	halves := int(now.Sub(s.failureScoreAt) / failureHalfLife)
	if halves > 30 {
		return 0
	}
	return s.failureScore / float64(uint64(1)<<halves)
}

// ServerLoad is the known load of one server of a pool, for operators.
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

// Loads lists the known load of every server.
func (p *Picker) Loads(now time.Time) []ServerLoad {
	var rows []ServerLoad
	for name, pool := range p.pools {
		for _, s := range pool.servers {
			rows = append(rows, ServerLoad{Pool: name, Server: s.spec.Name, Outstanding: s.outstanding,
				Rate: s.report.Rate, Waiting: s.report.Waiting, Running: s.report.Running,
				Observed: s.report.Observed, FailureScore: s.decayedFailureScore(now)})
		}
	}
	return rows
}

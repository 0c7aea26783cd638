package scheduling

import (
	"math"
	"time"
)

// rankQueues holds the queues of one hall, one for each rank, shortest first. A job
// that does not fit delays its own rank only.
type rankQueues struct {
	byRank   []*fairQueue
	arrivals []rateMeter // prompt tokens by rank
}

// meterWindow is the time constant of a rateMeter.
const meterWindow = 30 * time.Second

// rateMeter measures a rate in tokens per second, exponentially smoothed.
type rateMeter struct {
	rate float64
	at   time.Time
}

// add counts tokens at a time; with 0 tokens it only decays the rate.
func (m *rateMeter) add(now time.Time, tokens int64) {
	if !m.at.IsZero() {
		m.rate *= math.Exp(-now.Sub(m.at).Seconds() / meterWindow.Seconds())
	}
	m.at = now
	m.rate += float64(tokens) / meterWindow.Seconds()
}

// recordArrival counts a job's prompt tokens at its rank.
func (r *rankQueues) recordArrival(now time.Time, job *Job) {
	for len(r.arrivals) <= job.Rank {
		r.arrivals = append(r.arrivals, rateMeter{})
	}
	r.arrivals[job.Rank].add(now, job.PromptTokens)
}

// arrivalRateBefore returns the arrival rate of prompt tokens of the ranks below the
// given one.
func (r *rankQueues) arrivalRateBefore(now time.Time, rank int) float64 {
	sum := 0.0
	for i := 0; i < rank && i < len(r.arrivals); i++ {
		r.arrivals[i].add(now, 0)
		sum += r.arrivals[i].rate
	}
	return sum
}

// forRank returns the queue of a rank.
func (r *rankQueues) forRank(rank int) *fairQueue {
	for len(r.byRank) <= rank {
		r.byRank = append(r.byRank, newFairQueue())
	}
	return r.byRank[rank]
}

// waiting returns the number of queued jobs that are not isolated, and their memory
// in tokens.
func (r *rankQueues) waiting() (count int, memory int64) {
	for _, queue := range r.byRank {
		if !queue.isolated {
			count += queue.count
			memory += queue.memory
		}
	}
	return count, memory
}

package scheduling

import (
	"time"

	"arbutusdeck/core/execution"
)

// rateSmoothing is the weight of a new sample in the measured prefill rate.
const rateSmoothing = 0.3

// serviceSmoothing is the weight of a new sample in an engine's mean service time.
const serviceSmoothing = 0.1

// minRateSample is the least number of tokens in a sample of the prefill rate.
const minRateSample = 2000

type running struct {
	job          *Job
	engine       *engine
	started      time.Time
	priority     int
	prefilling   bool // no first token yet
	paused       bool
	boostedUntil time.Time // end of the raised priority; zero if it is not raised
}

type engine struct {
	spec         EngineSpec
	running      map[execution.AttemptID]*running
	usedMemory   int64
	rate         float64
	reservations map[string]partReservation // by group reservation
	// claimed is the memory for which a group reservation or a job waits.
	claimed      int64
	claimedUntil time.Time

	serviceTime time.Duration // smoothed time of a job on the engine

	busySince  time.Time // start of the current rate sample; zero if no prefill runs
	busyTokens int64
	credit     time.Duration // prefill time owed to isolated jobs
	creditedAt time.Time
}

func (e *engine) freeMemory() int64 { return e.spec.MemoryTokens - e.usedMemory }

// longMemoryFree reports whether a long job may take memory on the engine. A job
// that exceeds the whole share of long jobs may take an empty engine; otherwise it
// could never run.
func (s *Scheduler) longMemoryFree(e *engine, tokens int64) bool {
	share := int64(s.options.LongMemoryShare * float64(e.spec.MemoryTokens))
	return e.usedMemory+tokens <= share || (e.usedMemory == 0 && tokens <= e.spec.MemoryTokens)
}

func (e *engine) isolatedSlots() int {
	return max(1, int(e.spec.LongShare*float64(e.spec.Slots)))
}

// active counts the jobs that hold a slot, and the isolated ones among them.
func (e *engine) active() (all, isolated int) {
	for _, r := range e.running {
		if r.paused {
			continue
		}
		all++
		if r.job.Isolated {
			isolated++
		}
	}
	return all, isolated
}

// prefillTokens returns the prefill work on the engine that runs before a job of
// the rank, in tokens.
func (e *engine) prefillTokens(rank int) int64 {
	var tokens int64
	for _, r := range e.running {
		if r.prefilling && !r.paused && r.job.Rank <= rank {
			tokens += r.job.PromptTokens
		}
	}
	return tokens
}

func (e *engine) youngestIsolated() *running {
	var youngest *running
	for _, r := range e.running {
		if !r.job.Isolated || r.paused {
			continue
		}
		if youngest == nil || r.job.sequence > youngest.job.sequence {
			youngest = r
		}
	}
	return youngest
}

func (e *engine) oldestPaused() *running {
	var oldest *running
	for _, r := range e.running {
		if r.paused && (oldest == nil || r.job.sequence < oldest.job.sequence) {
			oldest = r
		}
	}
	return oldest
}

func (e *engine) prefillsByIsolation() (short bool, long *running) {
	for _, r := range e.running {
		switch {
		case !r.prefilling || r.paused:
		case !r.job.Isolated:
			short = true
		case long == nil || r.job.sequence < long.job.sequence:
			long = r
		}
	}
	return short, long
}

// endPrefill ends a job's prefill. When the engine has no further prefill and has
// processed minRateSample tokens, it updates the measured prefill rate.
func (e *engine) endPrefill(now time.Time, r *running, completed bool) {
	if !r.prefilling {
		return
	}
	r.prefilling = false
	r.boostedUntil = time.Time{}
	if completed {
		e.busyTokens += r.job.PromptTokens
	}
	elapsed := now.Sub(e.busySince).Seconds()
	idle := true
	for _, other := range e.running {
		idle = idle && !other.prefilling
	}
	if idle && e.busyTokens >= minRateSample && elapsed > 0 {
		sample := float64(e.busyTokens) / elapsed
		e.rate += rateSmoothing * (sample - e.rate)
	}
	if idle {
		e.busySince, e.busyTokens = time.Time{}, 0
	}
}

// recordServiceTime updates the mean service time.
func (e *engine) recordServiceTime(took time.Duration) {
	if e.serviceTime == 0 {
		e.serviceTime = took
		return
	}
	e.serviceTime += time.Duration(serviceSmoothing * float64(took-e.serviceTime))
}

// remaining estimates a running job's remaining prefill work in tokens from its
// run time. The estimate is at least a tenth of the prompt, since other jobs share
// the engine.
func (e *engine) remaining(now time.Time, r *running) int64 {
	done := now.Sub(r.started).Seconds() * e.rate
	left := float64(r.job.PromptTokens) - done/max(1, float64(len(e.running)))
	return int64(max(left, float64(r.job.PromptTokens)/10))
}

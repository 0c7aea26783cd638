package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// ClassLoad is the load of one length class.
type ClassLoad struct {
	Class string
	// QueuedTokens is the remaining prefill work of waiting and running jobs.
	QueuedTokens int64
	Running      int
}

// Load reports this server's load for one hall.
type Load struct {
	Classes []ClassLoad
	// PrefillRate is the total prefill rate of the hall's engines on this server,
	// in tokens per second.
	PrefillRate float64 `json:"Rate"`
	Running     int
	Waiting     int
	FreeMemory  int64
	// StartDelay is the predicted wait of a short job for a slot and memory.
	StartDelay time.Duration
}

// startDelay predicts the wait of a job for a slot and memory, in addition to the
// prefill work ahead of it.
func (s *Scheduler) startDelay(hall string, memory int64) time.Duration {
	var slots, active int
	var size, used int64
	var service time.Duration
	for _, e := range s.engines {
		if e.spec.Hall != hall || e.spec.Slots == 0 {
			continue
		}
		busy, _ := e.active()
		slots, active = slots+e.spec.Slots, active+busy
		size, used = size+e.spec.MemoryTokens, used+e.usedMemory
		service = max(service, e.serviceTime)
	}
	if slots == 0 {
		return 0
	}
	waiting, queued := 0, int64(0)
	if queues := s.queues[hall]; queues != nil {
		waiting, queued = queues.waiting()
	}
	missingSlots := max(0, active+waiting+1-slots)
	missingMemory := max(0, used+queued+memory-size)
	delay := time.Duration(float64(missingSlots) / float64(slots) * float64(service))
	if missingMemory > 0 {
		// Memory is released in the portions that running jobs hold.
		delay = max(delay, service)
	}
	return delay
}

// Load returns the current load of a hall, or of all halls if hall is empty.
func (s *Scheduler) Load(now time.Time, hall string) Load {
	classes := map[string]*ClassLoad{}
	at := func(job *Job) *ClassLoad {
		if classes[job.Class] == nil {
			classes[job.Class] = &ClassLoad{Class: job.Class}
		}
		return classes[job.Class]
	}
	var load Load
	for _, p := range s.positions {
		if hall == "" || p.q.job.Hall == hall {
			at(p.q.job).QueuedTokens += p.q.job.PromptTokens
			load.Waiting++
		}
	}
	for _, e := range s.engines {
		if hall != "" && e.spec.Hall != hall {
			continue
		}
		load.PrefillRate += e.rate
		load.FreeMemory += e.spec.MemoryTokens - e.usedMemory
		for _, r := range e.running {
			load.Running++
			c := at(r.job)
			c.Running++
			if r.prefilling {
				c.QueuedTokens += e.remaining(now, r)
			}
		}
	}
	if hall != "" {
		load.StartDelay = s.startDelay(hall, typicalMemory)
	}
	for _, c := range classes {
		load.Classes = append(load.Classes, *c)
	}
	slices.SortFunc(load.Classes, func(a, b ClassLoad) int { return cmp.Compare(a.Class, b.Class) })
	return load
}

// typicalMemory is the memory, in tokens, of the job for which StartDelay is predicted.
const typicalMemory = 4000

// PredictFirstToken predicts the time to first token of a job that arrives now: the
// prefill work ahead of it at the same or a higher priority and its own, divided by
// the rate that is available to its class, plus the wait for a slot and memory. It
// reports false if the hall has no prefill rate.
func (s *Scheduler) PredictFirstToken(now time.Time, job Job) (time.Duration, bool) {
	load := s.Load(now, job.Hall)
	if load.PrefillRate <= 0 {
		return 0, false
	}
	share := s.availableShare(now, job, load.PrefillRate)
	seconds := (float64(s.prefillAhead(now, job))/load.PrefillRate + float64(job.PromptTokens)/max(s.MeanPrefillRate(job.Hall), 1)) / share
	delay := s.startDelay(job.Hall, job.MemoryTokens())
	return time.Duration(seconds*float64(time.Second)) + delay, true
}

// availableShare returns the fraction of the prefill rate that shorter classes are
// expected to leave to the job's class.
func (s *Scheduler) availableShare(now time.Time, job Job, rate float64) float64 {
	queues := s.queues[job.Hall]
	if queues == nil || s.options.Policy == FirstComeFirstServed {
		return 1
	}
	return max(s.options.MinPrefillShare, 1-queues.arrivalRateBefore(now, job.Rank)/rate)
}

func (s *Scheduler) prefillAhead(now time.Time, job Job) int64 {
	var tokens int64
	for _, p := range s.positions {
		if p.q.job.Hall == job.Hall && s.runsBefore(p.q.job, &job) {
			tokens += p.q.job.PromptTokens
		}
	}
	for _, e := range s.engines {
		if e.spec.Hall != job.Hall {
			continue
		}
		for _, r := range e.running {
			if r.prefilling && s.runsBefore(r.job, &job) {
				tokens += e.remaining(now, r)
			}
		}
	}
	return tokens
}

func (s *Scheduler) runsBefore(other, job *Job) bool {
	return s.options.Policy == FirstComeFirstServed || other.Rank <= job.Rank
}

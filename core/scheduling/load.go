package scheduling

import (
	"cmp"
	"slices"
	"time"
)

// ClassLoad is the work of one length class.
type ClassLoad struct {
	Class string
	// QueuedTokens is the prefill work not yet done, in tokens.
	QueuedTokens int64
	Running      int
}

// Load is a report of this server's work for one hall.
type Load struct {
	Classes []ClassLoad
	// PrefillRate is the prefill speed of all the hall's engines here together, in
	// tokens a second.
	PrefillRate float64
	Running     int
	Waiting     int
	FreeMemory  int64
	// StartDelay is the wait of a short job for a slot and memory.
	StartDelay time.Duration
}

// startDelay predicts how long a job waits for a slot and for memory, beyond the
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
		size, used = size+e.spec.MemoryTokens, used+e.memory
		service = max(service, e.serviceTime)
	}
	if slots == 0 {
		return 0
	}
	waiting, queued := 0, int64(0)
	if b := s.halls[hall]; b != nil {
		waiting, queued = b.waiting()
	}
	missingSlots := max(0, active+waiting+1-slots)
	missingMemory := max(0, used+queued+memory-size)
	delay := time.Duration(float64(missingSlots) / float64(slots) * float64(service))
	if missingMemory > 0 {
		// Memory comes back in the pieces that the running jobs hold.
		delay = max(delay, service)
	}
	return delay
}

// Load returns the present load; an empty hall means all of them.
func (s *Scheduler) Load(now time.Time, hall string) Load {
	classes := map[string]*ClassLoad{}
	at := func(job *Job) *ClassLoad {
		if classes[job.Class] == nil {
			classes[job.Class] = &ClassLoad{Class: job.Class}
		}
		return classes[job.Class]
	}
	var load Load
	for _, p := range s.where {
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
		load.FreeMemory += e.spec.MemoryTokens - e.memory
		for _, r := range e.running {
			load.Running++
			c := at(r.job)
			c.Running++
			if r.prefill {
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

// typicalMemory is the memory of the job that StartDelay is given for, in tokens.
const typicalMemory = 4000

// PredictFirstToken predicts the time to first token of a job that arrived now: the prefill
// work ahead of it at the same or a higher priority and its own, over the speed
// that is left to its class.
func (s *Scheduler) PredictFirstToken(now time.Time, job Job) (time.Duration, bool) {
	load := s.Load(now, job.Hall)
	if load.PrefillRate <= 0 {
		return 0, false
	}
	left := s.rateLeft(now, job, load.PrefillRate)
	seconds := (float64(s.ahead(now, job))/load.PrefillRate + float64(job.PromptTokens)/max(s.MeanPrefillRate(job.Hall), 1)) / left
	delay := s.startDelay(job.Hall, job.MemoryTokens())
	return time.Duration(seconds*float64(time.Second)) + delay, true
}

// rateLeft is the part of the speed that shorter classes are expected to leave to
// a job's class.
func (s *Scheduler) rateLeft(now time.Time, job Job, rate float64) float64 {
	hall := s.halls[job.Hall]
	if hall == nil || s.options.Policy == FirstComeFirstServed {
		return 1
	}
	return max(s.options.MinPrefillShare, 1-hall.arrivingBefore(now, job.Rank)/rate)
}

func (s *Scheduler) ahead(now time.Time, job Job) int64 {
	var tokens int64
	for _, p := range s.where {
		if p.q.job.Hall == job.Hall && s.goesBefore(p.q.job, &job) {
			tokens += p.q.job.PromptTokens
		}
	}
	for _, e := range s.engines {
		if e.spec.Hall != job.Hall {
			continue
		}
		for _, r := range e.running {
			if r.prefill && s.goesBefore(r.job, &job) {
				tokens += e.remaining(now, r)
			}
		}
	}
	return tokens
}

func (s *Scheduler) goesBefore(other, job *Job) bool {
	return s.options.Policy == FirstComeFirstServed || other.Rank <= job.Rank
}

package scheduling

import (
	"maps"
	"slices"
	"time"

	"arbutusdeck/core/execution"
)

// Scheduler queues the jobs of one backend server and dispatches them to its engines.
type Scheduler struct {
	options   Options
	engines   map[string]*engine
	names     []string
	queues    map[string]*rankQueues
	positions positions
	running   map[execution.AttemptID]*running
	sequence  uint64
}

// New returns a scheduler without engines.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, engines: map[string]*engine{}, queues: map[string]*rankQueues{},
		positions: positions{}, running: map[execution.AttemptID]*running{}}
}

// Configure applies the engines of a new snapshot. An engine that is no longer in
// it finishes its jobs and takes no further ones.
func (s *Scheduler) Configure(specs []EngineSpec) {
	wanted := map[string]EngineSpec{}
	for _, spec := range specs {
		wanted[spec.Name] = spec
		e := s.engines[spec.Name]
		if e == nil {
			e = &engine{running: map[execution.AttemptID]*running{}, reservations: map[string]partReservation{}, rate: spec.PrefillRate}
			s.engines[spec.Name] = e
		}
		if e.spec.PrefillRate != spec.PrefillRate {
			e.rate = spec.PrefillRate
		}
		e.spec = spec
	}
	for name, e := range s.engines {
		if _, ok := wanted[name]; ok {
			continue
		}
		e.spec.Slots = 0
		if len(e.running) == 0 {
			delete(s.engines, name)
		}
	}
	s.names = slices.Sorted(maps.Keys(s.engines))
}

// Enqueue adds a job.
func (s *Scheduler) Enqueue(now time.Time, job Job) {
	job.enqueued = now
	s.sequence++
	job.sequence = s.sequence
	queue := s.queueOf(&job)
	s.queues[job.Hall].recordArrival(now, &job)
	q := &queuedJob{job: &job, startBy: job.FirstTokenBy.Add(-s.prefillTime(&job))}
	queue.push(q)
	s.positions[job.Attempt] = position{queue, q}
}

func (s *Scheduler) queueOf(job *Job) *fairQueue {
	queues := s.queues[job.Hall]
	if queues == nil {
		queues = &rankQueues{}
		s.queues[job.Hall] = queues
	}
	if s.options.Policy == FirstComeFirstServed {
		return queues.forRank(0)
	}
	queue := queues.forRank(job.Rank)
	queue.isolated = job.Isolated
	return queue
}

func (s *Scheduler) prefillTime(job *Job) time.Duration {
	rate := s.MeanPrefillRate(job.Hall)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(job.PromptTokens) / rate * float64(time.Second))
}

// MeanPrefillRate returns the mean measured prefill rate of the hall's engines on
// this server, in tokens per second.
func (s *Scheduler) MeanPrefillRate(hall string) float64 {
	sum, count := 0.0, 0
	for _, e := range s.engines {
		if e.spec.Hall == hall && e.spec.Slots > 0 {
			sum += e.rate
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// Remove removes a waiting or running attempt and releases its slot and memory.
func (s *Scheduler) Remove(now time.Time, id execution.AttemptID) {
	if p, ok := s.positions[id]; ok {
		p.queue.remove(p.q)
		delete(s.positions, id)
	}
	r, ok := s.running[id]
	if !ok {
		return
	}
	s.accrueCredit(now, r.engine)
	r.engine.endPrefill(now, r, false)
	r.engine.recordServiceTime(now.Sub(r.started))
	r.engine.usedMemory -= r.job.MemoryTokens()
	delete(r.engine.running, id)
	delete(s.running, id)
}

// RecordFirstToken records the arrival of the attempt's first token, which ends its
// prefill.
func (s *Scheduler) RecordFirstToken(now time.Time, id execution.AttemptID) {
	r, ok := s.running[id]
	if !ok || !r.prefilling {
		return
	}
	s.accrueCredit(now, r.engine)
	r.engine.endPrefill(now, r, true)
}

// Schedule returns the commands that are due now. Shorter classes are dispatched
// first; then paused jobs are resumed, isolated classes dispatched and starved
// prefills boosted.
func (s *Scheduler) Schedule(now time.Time) []Command {
	var commands []Command
	for _, e := range s.engines {
		if e.claimed > 0 && now.After(e.claimedUntil) {
			e.claimed = 0
		}
	}
	halls := slices.Sorted(maps.Keys(s.queues))
	for _, hall := range halls {
		commands = s.dispatchHall(commands, now, hall, false)
	}
	for _, name := range s.names {
		commands = s.resume(commands, s.engines[name])
	}
	for _, hall := range halls {
		commands = s.dispatchHall(commands, now, hall, true)
	}
	for _, name := range s.names {
		commands = s.boostPrefill(commands, now, s.engines[name])
	}
	return commands
}

// dispatchHall dispatches the jobs that fit, of a hall's isolated classes or of its
// other classes.
func (s *Scheduler) dispatchHall(commands []Command, now time.Time, hall string, isolated bool) []Command {
	for _, queue := range s.queues[hall].byRank {
		if queue.isolated != isolated {
			continue
		}
		commands = s.dispatchQueue(commands, now, queue)
		if !isolated {
			commands = s.preempt(commands, now, queue)
		}
	}
	return commands
}

func (s *Scheduler) dispatchQueue(commands []Command, now time.Time, queue *fairQueue) []Command {
	for {
		q := queue.next(now, s.options.Policy, s.ageBound(queue))
		if q == nil {
			return commands
		}
		e := s.findEngine(q.job)
		if e == nil {
			s.claimMemory(now, q.job)
			return commands
		}
		commands = append(commands, s.dispatch(now, queue, q, e))
	}
}

func (s *Scheduler) ageBound(queue *fairQueue) time.Duration {
	if queue.isolated {
		return s.options.IsolatedAgeBound
	}
	return s.options.AgeBound
}

func (s *Scheduler) dispatch(now time.Time, queue *fairQueue, q *queuedJob, e *engine) Command {
	job := q.job
	queue.remove(q)
	queue.charge(job)
	delete(s.positions, job.Attempt)
	r := &running{job: job, engine: e, started: now, prefilling: true, priority: s.priority(job)}
	s.accrueCredit(now, e)
	if e.busySince.IsZero() {
		e.busySince = now
	}
	e.usedMemory += job.MemoryTokens()
	e.running[job.Attempt] = r
	s.running[job.Attempt] = r
	return Dispatch{Attempt: job.Attempt, Engine: e.spec.Name, Priority: r.priority}
}

func (s *Scheduler) priority(job *Job) int {
	if s.options.Policy == FirstComeFirstServed {
		return 0
	}
	return job.Rank
}

// findEngine returns the engine that can take the job now with the least prefill
// work ahead of the job, or nil.
func (s *Scheduler) findEngine(job *Job) *engine {
	var best *engine
	var bestWork float64
	for _, name := range s.names {
		e := s.engines[name]
		if e.spec.Hall != job.Hall || (job.Engine != "" && job.Engine != name) || !s.hasCapacity(e, job) {
			continue
		}
		work := float64(e.prefillTokens(job.Rank)) / e.rate
		if best == nil || work < bestWork {
			best, bestWork = e, work
		}
	}
	return best
}

func (s *Scheduler) hasCapacity(e *engine, job *Job) bool {
	active, isolated := e.active()
	if active >= e.spec.Slots || e.usedMemory+job.MemoryTokens() > e.spec.MemoryTokens {
		return false
	}
	if s.options.Policy == FirstComeFirstServed {
		return true
	}
	if job.Isolated {
		return s.hasIsolatedCapacity(e, job, isolated)
	}
	backlog := float64(e.prefillTokens(job.Rank)) / e.rate
	return backlog == 0 || backlog < s.options.MaxPrefillBacklog.Seconds()
}

// Waiting returns the number of queued jobs.
func (s *Scheduler) Waiting() int { return len(s.positions) }

// Running returns the number of jobs on engines.
func (s *Scheduler) Running() int { return len(s.running) }

// EngineOf returns the name of the engine that runs an attempt.
func (s *Scheduler) EngineOf(id execution.AttemptID) (string, bool) {
	r, ok := s.running[id]
	if !ok {
		return "", false
	}
	return r.engine.spec.Name, true
}

// Fits reports whether some engine of the job's hall on this server has enough total
// memory for the job.
func (s *Scheduler) Fits(job Job) bool {
	for _, e := range s.engines {
		if e.spec.Hall == job.Hall && e.spec.Slots > 0 && job.MemoryTokens() <= e.spec.MemoryTokens {
			return true
		}
	}
	return false
}

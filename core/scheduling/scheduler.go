package scheduling

import (
	"maps"
	"slices"
	"time"

	"arbutusdeck/core/execution"
)

// Scheduler holds the queues and engines of one backend server.
type Scheduler struct {
	options  Options
	engines  map[string]*engine
	names    []string
	halls    map[string]*bands
	where    positions
	running  map[execution.AttemptID]*running
	sequence uint64
}

// New returns a scheduler without engines.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, engines: map[string]*engine{}, halls: map[string]*bands{},
		where: positions{}, running: map[execution.AttemptID]*running{}}
}

// Configure takes over the engines of a new snapshot. Jobs on an engine that is
// gone from it run on; the engine takes no further ones.
func (s *Scheduler) Configure(specs []EngineSpec) {
	wanted := map[string]EngineSpec{}
	for _, spec := range specs {
		wanted[spec.Name] = spec
		e := s.engines[spec.Name]
		if e == nil {
			e = &engine{running: map[execution.AttemptID]*running{}, holds: map[string]hold{}, rate: spec.PrefillRate}
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
	b := s.bandOf(&job)
	s.halls[job.Hall].arrive(now, &job)
	q := &queued{job: &job, startBy: job.FirstTokenBy.Add(-s.prefillTime(&job))}
	b.push(q)
	s.where[job.Attempt] = position{b, q}
}

func (s *Scheduler) bandOf(job *Job) *band {
	hall := s.halls[job.Hall]
	if hall == nil {
		hall = &bands{}
		s.halls[job.Hall] = hall
	}
	if s.options.Policy == FirstComeFirstServed {
		return hall.of(0)
	}
	b := hall.of(job.Rank)
	b.isolated = job.Isolated
	return b
}

func (s *Scheduler) prefillTime(job *Job) time.Duration {
	rate := s.MeanPrefillRate(job.Hall)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(job.PromptTokens) / rate * float64(time.Second))
}

// MeanPrefillRate returns the mean measured prefill speed of the hall's engines here, in
// tokens a second.
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

// Remove takes a waiting or running attempt out. Its slot and memory are free.
func (s *Scheduler) Remove(now time.Time, id execution.AttemptID) {
	if p, ok := s.where[id]; ok {
		p.band.remove(p.q)
		delete(s.where, id)
	}
	r, ok := s.running[id]
	if !ok {
		return
	}
	s.settleCredit(now, r.engine)
	r.engine.endPrefill(now, r, false)
	r.engine.observeService(now.Sub(r.started))
	r.engine.memory -= r.job.MemoryTokens()
	delete(r.engine.running, id)
	delete(s.running, id)
}

// RecordFirstToken says that the attempt's first token has arrived.
func (s *Scheduler) RecordFirstToken(now time.Time, id execution.AttemptID) {
	r, ok := s.running[id]
	if !ok || !r.prefill {
		return
	}
	s.settleCredit(now, r.engine)
	r.engine.endPrefill(now, r, true)
}

// Schedule returns the commands that are due now.
func (s *Scheduler) Schedule(now time.Time) []Command {
	var commands []Command
	for _, e := range s.engines {
		if e.claimed > 0 && now.After(e.claimedUntil) {
			e.claimed = 0
		}
	}
	halls := slices.Sorted(maps.Keys(s.halls))
	for _, hall := range halls {
		commands = s.drainBands(commands, now, hall, false)
	}
	for _, name := range s.names {
		commands = s.resume(commands, s.engines[name])
	}
	for _, hall := range halls {
		commands = s.drainBands(commands, now, hall, true)
	}
	for _, name := range s.names {
		commands = s.slice(commands, now, s.engines[name])
	}
	return commands
}

// drainBands dispatches what fits of a hall's isolated classes, or of the others.
func (s *Scheduler) drainBands(commands []Command, now time.Time, hall string, isolated bool) []Command {
	for _, b := range s.halls[hall].ranks {
		if b.isolated != isolated {
			continue
		}
		commands = s.drainBand(commands, now, b)
		if !isolated {
			commands = s.makeRoom(commands, now, b)
		}
	}
	return commands
}

func (s *Scheduler) drainBand(commands []Command, now time.Time, b *band) []Command {
	for {
		q := b.next(now, s.options.Policy, s.ageBound(b))
		if q == nil {
			return commands
		}
		e := s.fit(q.job)
		if e == nil {
			s.claimFor(now, q.job)
			return commands
		}
		commands = append(commands, s.dispatch(now, b, q, e))
	}
}

func (s *Scheduler) ageBound(b *band) time.Duration {
	if b.isolated {
		return s.options.IsolatedAgeBound
	}
	return s.options.AgeBound
}

func (s *Scheduler) dispatch(now time.Time, b *band, q *queued, e *engine) Command {
	job := q.job
	b.remove(q)
	b.charge(job)
	delete(s.where, job.Attempt)
	r := &running{job: job, engine: e, started: now, prefill: true, priority: s.priority(job)}
	s.settleCredit(now, e)
	if e.busySince.IsZero() {
		e.busySince = now
	}
	e.memory += job.MemoryTokens()
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

// fit returns the engine that can take the job now and has the least prefill
// work ahead of it, or nil.
func (s *Scheduler) fit(job *Job) *engine {
	var best *engine
	var bestWork float64
	for _, name := range s.names {
		e := s.engines[name]
		if e.spec.Hall != job.Hall || (job.Engine != "" && job.Engine != name) || !s.roomFor(e, job) {
			continue
		}
		work := float64(e.prefillTokens(job.Rank)) / e.rate
		if best == nil || work < bestWork {
			best, bestWork = e, work
		}
	}
	return best
}

func (s *Scheduler) roomFor(e *engine, job *Job) bool {
	active, isolated := e.active()
	if active >= e.spec.Slots || e.memory+job.MemoryTokens() > e.spec.MemoryTokens {
		return false
	}
	if s.options.Policy == FirstComeFirstServed {
		return true
	}
	if job.Isolated {
		return s.roomForIsolated(e, job, isolated)
	}
	backlog := float64(e.prefillTokens(job.Rank)) / e.rate
	return backlog == 0 || backlog < s.options.MaxPrefillBacklog.Seconds()
}

// Waiting returns the number of queued jobs.
func (s *Scheduler) Waiting() int { return len(s.where) }

// Running returns the number of jobs on engines.
func (s *Scheduler) Running() int { return len(s.running) }

// EngineOf returns the engine that runs an attempt.
func (s *Scheduler) EngineOf(id execution.AttemptID) (string, bool) {
	r, ok := s.running[id]
	if !ok {
		return "", false
	}
	return r.engine.spec.Name, true
}

// Fits says whether the job could ever run on one engine of its hall here.
func (s *Scheduler) Fits(job Job) bool {
	for _, e := range s.engines {
		if e.spec.Hall == job.Hall && e.spec.Slots > 0 && job.MemoryTokens() <= e.spec.MemoryTokens {
			return true
		}
	}
	return false
}

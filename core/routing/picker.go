// Package routing decides at the entry which backend server an attempt is
// offered to. Picker is a pure core: time and random numbers are passed in.
package routing

import (
	"math/rand/v2"
	"time"
)

// Policy selects how a server is chosen.
type Policy string

const (
	// Predicted compares predicted times to first token among a few candidates.
	Predicted Policy = "predicted"
	// Random, RoundRobin and LeastOutstanding are baselines.
	Random           Policy = "random"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
)

// Options are the bounds of a Picker.
type Options struct {
	Policy Policy
	// Candidates is how many servers are compared for one pick.
	Candidates int
	// Zone is the availability zone of this entry.
	Zone string
	// LocalRoundTrip and RemoteRoundTrip are added to a prediction.
	LocalRoundTrip  time.Duration
	RemoteRoundTrip time.Duration
	// PendingMaxAge is the age from which an own dispatch that no report shows
	// counts for nothing.
	PendingMaxAge time.Duration
	// ReportDecayTime is how fast a report loses its weight against the mean of all
	// reports: with each such time it falls to a third.
	ReportDecayTime time.Duration
	// WarmUp is how long a server that was just heard of for the first time is
	// spared from more than its share.
	WarmUp time.Duration
	// AffinitySize bounds the number of prefixes remembered.
	AffinitySize int
	// PrefixSaving is the part of the own prefill that a remembered prefix is
	// expected to save.
	PrefixSaving float64
}

// DefaultOptions returns the options used when the settings name none.
func DefaultOptions() Options {
	return Options{
		Policy:          Predicted,
		Candidates:      4,
		LocalRoundTrip:  500 * time.Microsecond,
		RemoteRoundTrip: 2500 * time.Microsecond,
		PendingMaxAge:   10 * time.Second,
		ReportDecayTime: 500 * time.Millisecond,
		WarmUp:          3 * time.Second,
		AffinitySize:    50_000,
		PrefixSaving:    0.5,
	}
}

// Query describes the attempt to place.
type Query struct {
	// Pool is the hall, or the plain service.
	Pool         string
	Rank         int
	PromptTokens int64
	AnswerTokens int64
	// Prefix is the hash of the prompt's beginning; zero for none.
	Prefix uint64
	// Exclude are servers that were tried already.
	Exclude []string
	// Eligible is membership's word on a server.
	Eligible func(server string) bool
	// FirstSeen is when a server's present incarnation was first heard.
	FirstSeen func(server string) time.Time
}

// Decision says why a server was picked, for operators.
type Decision struct {
	Server     string        `json:"server"`
	Predicted  time.Duration `json:"predicted"`
	Candidates []Candidate   `json:"candidates"`
	Affinity   bool          `json:"affinity"`
}

// Candidate is one server that was compared.
type Candidate struct {
	Server    string        `json:"server"`
	Predicted time.Duration `json:"predicted"`
}

// Picker holds what the entry knows of the servers' load.
type Picker struct {
	options  Options
	pools    map[string]*pool
	affinity *affinity
}

// New returns a picker without servers.
func New(options Options) *Picker {
	return &Picker{options: options, pools: map[string]*pool{}, affinity: newAffinity(options.AffinitySize)}
}

// Configure takes over the servers of a pool. What is known of servers that
// stay is kept.
func (p *Picker) Configure(name string, specs []ServerSpec) {
	old := p.pools[name]
	fresh := &pool{byName: map[string]*server{}}
	for _, spec := range specs {
		s := &server{spec: spec}
		if old != nil && old.byName[spec.Name] != nil {
			s = old.byName[spec.Name]
			s.spec = spec
		}
		fresh.servers = append(fresh.servers, s)
		fresh.byName[spec.Name] = s
	}
	p.pools[name] = fresh
}

// Retain drops the pools that are not wanted any more.
func (p *Picker) Retain(wanted func(pool string) bool) {
	for name := range p.pools {
		if !wanted(name) {
			delete(p.pools, name)
		}
	}
}

// Observe takes in a load report. The own dispatches that the report already
// counts are dropped; reports that arrive out of order are ignored.
func (p *Picker) Observe(poolName, name string, report Report) {
	s := p.find(poolName, name)
	if s == nil || !report.Observed.After(s.report.Observed) {
		return
	}
	s.report = report
	p.pools[poolName].observe(report)
	kept := s.pending[:0]
	for _, d := range s.pending {
		if d.at.After(report.Observed) {
			kept = append(kept, d)
		}
	}
	s.pending = kept
}

// RecordSent counts an own dispatch that no report shows yet.
func (p *Picker) RecordSent(now time.Time, poolName, name string, q Query) {
	s := p.find(poolName, name)
	if s == nil {
		return
	}
	s.outstanding++
	s.pending = append(s.pending, dispatch{at: now, rank: q.Rank, tokens: q.PromptTokens})
	if len(s.pending) > maxPending {
		s.pending = s.pending[len(s.pending)-maxPending:]
	}
	if q.Prefix != 0 {
		p.affinity.put(q.Prefix, name)
	}
}

// RecordEnded counts an own dispatch as over.
func (p *Picker) RecordEnded(poolName, name string) {
	if s := p.find(poolName, name); s != nil && s.outstanding > 0 {
		s.outstanding--
	}
}

// RecordFailure lowers the trust in a server: a reset, a 5xx, a corrupt answer.
func (p *Picker) RecordFailure(now time.Time, poolName, name string) {
	if s := p.find(poolName, name); s != nil {
		s.distrust = s.distrustNow(now) + 1
		s.distrustAt = now
	}
}

// RecordOverload lowers the pace for a server that said it is full. It says nothing
// against its health, so trust stays as it is.
func (p *Picker) RecordOverload(now time.Time, poolName, name string, retryAfter time.Duration) {
	s := p.find(poolName, name)
	if s == nil {
		return
	}
	s.paceStep = min(max(s.paceStep*2, minPace), maxPace)
	s.paceUntil = now.Add(min(max(s.paceStep, min(retryAfter, maxPace)), maxPace))
}

// RecordAccepted ends the slower pace.
func (p *Picker) RecordAccepted(poolName, name string) {
	if s := p.find(poolName, name); s != nil {
		s.paceStep = 0
	}
}

func (p *Picker) find(poolName, name string) *server {
	if pool := p.pools[poolName]; pool != nil {
		return pool.byName[name]
	}
	return nil
}

// DiscardReports drops all load reports, after the process was paused.
func (p *Picker) DiscardReports() {
	for _, pool := range p.pools {
		for _, s := range pool.servers {
			s.report, s.pending = Report{}, nil
		}
	}
}

// Pick chooses a server. It reports false if none may take the attempt.
func (p *Picker) Pick(now time.Time, q Query, random *rand.Rand) (Decision, bool) {
	pool := p.pools[q.Pool]
	if pool == nil || len(pool.servers) == 0 {
		return Decision{}, false
	}
	switch p.options.Policy {
	case Random:
		return pickFirst(now, pool, q, random.IntN(len(pool.servers)))
	case RoundRobin:
		pool.next++
		return pickFirst(now, pool, q, pool.next)
	case LeastOutstanding:
		return pickLeast(now, pool, q, random.IntN(len(pool.servers)))
	}
	return p.pickPredicted(now, pool, q, random)
}

func usable(now time.Time, s *server, q Query) bool {
	if q.Eligible != nil && !q.Eligible(s.spec.Name) {
		return false
	}
	for _, name := range q.Exclude {
		if name == s.spec.Name {
			return false
		}
	}
	return s.spec.MaxTokens == 0 || q.PromptTokens+q.AnswerTokens <= s.spec.MaxTokens
}

func pickFirst(now time.Time, pool *pool, q Query, from int) (Decision, bool) {
	for i := range pool.servers {
		s := pool.servers[(from+i)%len(pool.servers)]
		if usable(now, s, q) {
			return Decision{Server: s.spec.Name}, true
		}
	}
	return Decision{}, false
}

func pickLeast(now time.Time, pool *pool, q Query, from int) (Decision, bool) {
	var best *server
	for i := range pool.servers {
		s := pool.servers[(from+i)%len(pool.servers)]
		if usable(now, s, q) && (best == nil || s.outstanding < best.outstanding) {
			best = s
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return Decision{Server: best.spec.Name}, true
}

// Package routing selects, at the entry, the backend server to which an attempt is
// offered. Picker does no I/O: time and random numbers are passed in.
package routing

import (
	"math/rand/v2"
	"time"
)

// Policy selects the algorithm that picks a server.
type Policy string

const (
	// Predicted compares predicted times to first token among a few candidates.
	Predicted Policy = "predicted"
	// Random, RoundRobin and LeastOutstanding are baselines.
	Random           Policy = "random"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
)

// Options configures a Picker.
type Options struct {
	Policy Policy
	// Candidates is the number of servers that are compared for one pick.
	Candidates int
	// Zone is the availability zone of this entry.
	Zone string
	// LocalRoundTrip and RemoteRoundTrip are added to a prediction.
	LocalRoundTrip  time.Duration
	RemoteRoundTrip time.Duration
	// PendingMaxAge is the age beyond which a dispatch of this entry that no
	// report includes is ignored. It is extended by the dispatch's prefill time.
	PendingMaxAge time.Duration
	// ReportDecayTime is the time constant by which a report loses weight against
	// the mean of all reports: it falls to about a third in that time.
	ReportDecayTime time.Duration
	// WarmUp is the time for which a newly seen server is penalised, so that it
	// is not sent more than its share.
	WarmUp time.Duration
	// AffinitySize bounds the number of prefixes remembered.
	AffinitySize int
	// PrefixSaving is the fraction of the prompt's prefill that a remembered prefix
	// is expected to save.
	PrefixSaving float64
}

// DefaultOptions returns the options used where the settings give none.
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
	// Pool names the hall or the plain service.
	Pool         string
	Rank         int
	PromptTokens int64
	AnswerTokens int64
	// Prefix is the hash of the prompt's beginning; zero for none.
	Prefix uint64
	// Exclude lists servers that were attempted already.
	Exclude []string
	// Eligible reports whether membership considers a server usable; nil accepts all.
	Eligible func(server string) bool
	// FirstSeen returns the time at which the server's current incarnation was
	// first seen; nil disables the warm-up.
	FirstSeen func(server string) time.Time
}

// Decision is the picked server with the predictions behind the pick, for operators.
type Decision struct {
	Server     string        `json:"server"`
	Predicted  time.Duration `json:"predicted"`
	Candidates []Candidate   `json:"candidates"`
	Affinity   bool          `json:"affinity"`
}

// Candidate is one server that was compared, with its predicted time to first token.
type Candidate struct {
	Server    string        `json:"server"`
	Predicted time.Duration `json:"predicted"`
}

// Picker picks servers by the load that the entry knows of them.
type Picker struct {
	options  Options
	pools    map[string]*pool
	affinity *affinity
}

// New returns a picker without servers.
func New(options Options) *Picker {
	return &Picker{options: options, pools: map[string]*pool{}, affinity: newAffinity(options.AffinitySize)}
}

// Configure sets the servers of a pool. The state of servers that remain is kept.
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

// Retain drops the pools for which wanted returns false.
func (p *Picker) Retain(wanted func(pool string) bool) {
	for name := range p.pools {
		if !wanted(name) {
			delete(p.pools, name)
		}
	}
}

// Observe records a load report. It drops the dispatches of this entry that the
// report already includes; reports that arrive out of order are ignored.
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

// RecordSent records a dispatch of this entry that no report includes yet.
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

// RecordEnded records the end of a dispatch of this entry.
func (p *Picker) RecordEnded(poolName, name string) {
	if s := p.find(poolName, name); s != nil && s.outstanding > 0 {
		s.outstanding--
	}
}

// RecordFailure raises a server's failure score after a reset, a 5xx status or a
// corrupt answer.
func (p *Picker) RecordFailure(now time.Time, poolName, name string) {
	if s := p.find(poolName, name); s != nil {
		s.failureScore = s.decayedFailureScore(now) + 1
		s.failureScoreAt = now
	}
}

// RecordOverload backs off from a server that refused an attempt because it is full.
// Overload is no failure, so the failure score is unchanged.
func (p *Picker) RecordOverload(now time.Time, poolName, name string, retryAfter time.Duration) {
	s := p.find(poolName, name)
	if s == nil {
		return
	}
	s.backoff = min(max(s.backoff*2, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(min(max(s.backoff, min(retryAfter, maxBackoff)), maxBackoff))
}

// RecordAccepted resets the length of a server's backoff. A backoff in progress still
// runs out.
func (p *Picker) RecordAccepted(poolName, name string) {
	if s := p.find(poolName, name); s != nil {
		s.backoff = 0
	}
}

func (p *Picker) find(poolName, name string) *server {
	if pool := p.pools[poolName]; pool != nil {
		return pool.byName[name]
	}
	return nil
}

// DiscardReports drops all load reports and pending dispatches. It is called after
// the process was paused.
func (p *Picker) DiscardReports() {
	for _, pool := range p.pools {
		for _, s := range pool.servers {
			s.report, s.pending = Report{}, nil
		}
	}
}

// Pick picks a server for an attempt. It reports false if none is usable.
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
		return pickLeastOutstanding(now, pool, q, random.IntN(len(pool.servers)))
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

func pickLeastOutstanding(now time.Time, pool *pool, q Query, from int) (Decision, bool) {
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

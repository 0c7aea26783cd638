package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// pickPredicted compares a few random candidates and the server that is expected to
// hold the prefix. Comparing only a few keeps the cost constant as the fleet grows,
// and prevents entries with the same outdated reports from all picking one server.
func (p *Picker) pickPredicted(now time.Time, pool *pool, q Query, random *rand.Rand) (Decision, bool) {
	holder, _ := p.affinity.get(q.Prefix)
	var decision Decision
	best := time.Duration(-1)
	consider := func(s *server) {
		predicted := p.predict(now, pool, s, q, s.spec.Name == holder)
		decision.Candidates = append(decision.Candidates, Candidate{Server: s.spec.Name, Predicted: predicted})
		if best < 0 || predicted < best {
			best = predicted
			decision.Server, decision.Predicted = s.spec.Name, predicted
			decision.Affinity = s.spec.Name == holder
		}
	}
	if s := pool.byName[holder]; s != nil && usable(now, s, q) {
		consider(s)
	}
	p.candidates(now, pool, q, random, consider)
	return decision, best >= 0
}

// candidates visits up to Options.Candidates usable servers in a random cyclic
// order, so that the usable ones are found even if most are not.
func (p *Picker) candidates(now time.Time, pool *pool, q Query, random *rand.Rand, visit func(*server)) {
	count := len(pool.servers)
	start, step := random.IntN(count), stride(count, random)
	visited := 0
	for i := 0; i < count && visited < p.options.Candidates; i++ {
		s := pool.servers[(start+i*step)%count]
		if !usable(now, s, q) || now.Before(s.backoffUntil) {
			continue
		}
		visit(s)
		visited++
	}
	if visited > 0 {
		return
	}
	p.anyUsable(now, pool, q, start, visit)
}

// anyUsable visits one usable server regardless of backoff: if every server backs
// off, a host's own refusal carries the right retry delay.
func (p *Picker) anyUsable(now time.Time, pool *pool, q Query, start int, visit func(*server)) {
	for i := range pool.servers {
		s := pool.servers[(start+i)%len(pool.servers)]
		if usable(now, s, q) {
			visit(s)
			return
		}
	}
}

// stride returns a random step that visits every index of a ring exactly once.
func stride(count int, random *rand.Rand) int {
	if count < 3 {
		return 1
	}
	for {
		step := 1 + random.IntN(count-1)
		if coprime(step, count) {
			return step
		}
	}
}

func coprime(a, b int) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a == 1
}

// predict returns the expected time to first token on the server: the round trip,
// the prefill work ahead at the same or a higher priority, the attempt's own prefill,
// the start delay and the penalties for failures and warm-up.
func (p *Picker) predict(now time.Time, pool *pool, s *server, q Query, holdsPrefix bool) time.Duration {
	rate := s.spec.Rate
	if s.report.Rate > 0 {
		rate = s.report.Rate
	}
	if rate <= 0 {
		rate = 1
	}
	own := float64(q.PromptTokens)
	if holdsPrefix {
		own *= 1 - p.options.PrefixSaving
	}
	ahead := p.prefillAhead(now, pool, s, q.Rank, rate)
	seconds := ahead/rate + own*float64(max(s.spec.Engines, 1))/rate
	predicted := time.Duration(seconds*float64(time.Second)) + p.roundTrip(s) + s.report.StartDelay
	predicted += time.Duration(s.decayedFailureScore(now) * float64(failurePenalty))
	if q.FirstSeen != nil && now.Sub(q.FirstSeen(s.spec.Name)) < p.options.WarmUp {
		predicted += warmUpPenalty
	}
	return predicted
}

func (p *Picker) roundTrip(s *server) time.Duration {
	if s.spec.Zone == p.options.Zone {
		return p.options.LocalRoundTrip
	}
	return p.options.RemoteRoundTrip
}

// prefillAhead estimates the prefill work up to the rank, in tokens: the last report,
// decayed towards the mean of all reports with its age, plus this entry's dispatches
// since. Dispatches of other entries since are unknown here; if the old report of an
// idle server kept its full weight, every entry would send its next attempts there.
func (p *Picker) prefillAhead(now time.Time, pool *pool, s *server, rank int, rate float64) float64 {
	reported := 0.0
	for _, c := range s.report.Classes {
		if c.Rank <= rank {
			reported += float64(c.Tokens)
		}
	}
	weight := 0.0
	if !s.report.Observed.IsZero() {
		// A large backlog changes slowly, so its report stays valid for longer.
		decay := p.options.ReportDecayTime.Seconds() + reported/rate
		weight = math.Exp(-now.Sub(s.report.Observed).Seconds() / decay)
	}
	mean := pool.meanUpTo(rank)
	tokens := mean + weight*(reported-mean)
	for _, d := range s.pending {
		maxAge := p.options.PendingMaxAge + time.Duration(float64(d.tokens)/rate*float64(time.Second))
		if d.rank <= rank && now.Sub(d.at) < maxAge {
			tokens += float64(d.tokens)
		}
	}
	return tokens
}

package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// pickPredicted compares a few random candidates and the one that is expected to
// hold the prefix. Comparing a few keeps the cost flat as the fleet grows, and
// keeps entries with the same lagging reports from all choosing the same server.
func (p *Picker) pickPredicted(now time.Time, pool *pool, q Query, random *rand.Rand) (Decision, bool) {
	holder, _ := p.affinity.get(q.Prefix)
	var reason Decision
	best := time.Duration(-1)
	consider := func(s *server) {
		predicted := p.predict(now, pool, s, q, s.spec.Name == holder)
		reason.Candidates = append(reason.Candidates, Candidate{Server: s.spec.Name, Predicted: predicted})
		if best < 0 || predicted < best {
			best = predicted
			reason.Server, reason.Predicted = s.spec.Name, predicted
			reason.Affinity = s.spec.Name == holder
		}
	}
	if s := pool.byName[holder]; s != nil && usable(now, s, q) {
		consider(s)
	}
	p.candidates(now, pool, q, random, consider)
	return reason, best >= 0
}

// candidates visits up to Candidates usable servers, from a random place on, so
// that a mostly unusable fleet is still searched to its end.
func (p *Picker) candidates(now time.Time, pool *pool, q Query, random *rand.Rand, visit func(*server)) {
	count := len(pool.servers)
	start, step := random.IntN(count), stride(count, random)
	visited := 0
	for i := 0; i < count && visited < p.options.Candidates; i++ {
		s := pool.servers[(start+i*step)%count]
		if !usable(now, s, q) || now.Before(s.paceUntil) {
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

// anyUsable ignores the pace: with every server slowed down, the host's own
// refusal carries the true time to come back.
func (p *Picker) anyUsable(now time.Time, pool *pool, q Query, start int, visit func(*server)) {
	for i := range pool.servers {
		s := pool.servers[(start+i)%len(pool.servers)]
		if usable(now, s, q) {
			visit(s)
			return
		}
	}
}

// stride returns a step that visits all places of a ring once.
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

// predict returns the expected time to first token on the server: round trip,
// prefill work ahead at the same or a higher priority, own prefill.
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
	ahead := p.ahead(now, pool, s, q.Rank, rate)
	seconds := ahead/rate + own*float64(max(s.spec.Engines, 1))/rate
	predicted := time.Duration(seconds*float64(time.Second)) + p.roundTrip(s) + s.report.StartDelay
	predicted += time.Duration(s.distrustNow(now) * float64(distrustCost))
	if q.FirstSeen != nil && now.Sub(q.FirstSeen(s.spec.Name)) < p.options.WarmUp {
		predicted += warmUpCost
	}
	return predicted
}

func (p *Picker) roundTrip(s *server) time.Duration {
	if s.spec.Zone == p.options.Zone {
		return p.options.LocalRoundTrip
	}
	return p.options.RemoteRoundTrip
}

// ahead is the prefill work at the rank or before it, in tokens: what was last
// reported, relaxed towards the mean of all reports as it grows old, plus own
// dispatches since. Other entries' dispatches since are not seen here; a report
// of an idle server that is taken at its word when old makes every entry send its
// next attempts there.
func (p *Picker) ahead(now time.Time, pool *pool, s *server, rank int, rate float64) float64 {
	reported := 0.0
	for _, c := range s.report.Classes {
		if c.Rank <= rank {
			reported += float64(c.Tokens)
		}
	}
	weight := 0.0
	if !s.report.Observed.IsZero() {
		// Much work takes long to change: the report of it stays true longer.
		lasting := p.options.ReportDecayTime.Seconds() + reported/rate
		weight = math.Exp(-now.Sub(s.report.Observed).Seconds() / lasting)
	}
	mean := pool.meanUpTo(rank)
	tokens := mean + weight*(reported-mean)
	for _, d := range s.pending {
		lasting := p.options.PendingMaxAge + time.Duration(float64(d.tokens)/rate*float64(time.Second))
		if d.rank <= rank && now.Sub(d.at) < lasting {
			tokens += float64(d.tokens)
		}
	}
	return tokens
}

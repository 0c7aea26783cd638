// Package servertimes learns how the real time to the first event relates to the modelled one. The published
// speeds of an engine describe an engine that keeps them; a real one is slower or faster, slow after its
// start, and less predictable the fuller it is.
//
// The logarithm of the ratio is the sum of three effects: of the occupancy, pooled over the servers of a
// service; of the age, pooled likewise; and of the server itself. Each is the median of the latest samples,
// whose weights halve with time. An effect counts in proportion to the weight of its samples, so that a server
// that has shown little is predicted like the others of its service. Medians bound the influence of single
// requests that were stalled or cut off.
//
// The package is pure: times are passed in, and the state is bounded by the number of services and servers.
// It is not safe for concurrent use.
package servertimes

import (
	"math"
	"time"
)

// Level is how full a server is when a request is sent to it.
type Level uint8

// Levels, by the requests that are at the server before the new one.
const (
	// Idle is a server without requests.
	Idle Level = iota
	// BelowQuarter is a server with fewer requests than a quarter of its slots.
	BelowQuarter
	// BelowHalf is a server with fewer requests than half of its slots.
	BelowHalf
	// BelowThreeQuarters is a server with fewer requests than three quarters of its slots.
	BelowThreeQuarters
	// NearlyFull is a server that has a free slot.
	NearlyFull
	// Full is a server whose slots are all taken; nobody waits for one yet.
	Full
	// Beyond is a server at which one request in sixteen slots, or a single one, waits for a slot.
	Beyond
	// TwiceBeyond is a server at which twice as many wait.
	TwiceBeyond
	// FarBeyond is a server at which more requests wait for a slot.
	FarBeyond
	// Long stands for long prompts that one server prefills, at any occupancy: their time is that of their own
	// prefill, while that of short ones is mostly the wait for the passes of others.
	Long
	// Divided stands for prompts that several servers prefill, at any occupancy. They are prefilled before
	// the others, and their first event follows the last part.
	Divided
	levels
)

var levelNames = [levels]string{"idle", "below.quarter", "below.half", "below.three.quarters", "nearly.full", "full", "beyond", "twice.beyond", "far.beyond", "long", "divided"}

// String returns the name of the level in metrics.
func (l Level) String() string { return levelNames[min(l, levels-1)] }

// Levels returns all levels.
func Levels() []Level {
	all := make([]Level, levels)
	for i := range all {
		all[i] = Level(i)
	}
	return all
}

// LevelOf returns the level of a server with some requests and slots.
func LevelOf(requests, slots int) Level {
	switch {
	case requests <= 0:
		return Idle
	case 4*requests < slots:
		return BelowQuarter
	case 2*requests < slots:
		return BelowHalf
	case 4*requests < 3*slots:
		return BelowThreeQuarters
	case requests < slots:
		return NearlyFull
	case requests == slots:
		return Full
	case requests <= slots+max(slots/16, 1):
		return Beyond
	case requests <= slots+2*max(slots/16, 1):
		return TwiceBeyond
	}
	return FarBeyond
}

// Situation describes a server when a request is sent to it.
type Situation struct {
	Level Level
	// Age is the time since the server's start; if it is negative, the start is unknown and the server counts as
	// warm.
	Age time.Duration
}

// ageBounds are the upper bounds of the ages that are told apart. A slow start lasts for seconds, and the
// server gets faster within it. Its first prompts are prefilled alone, the next wait for them. A server older
// than the last bound is warm.
var ageBounds = [...]time.Duration{300 * time.Millisecond, 1 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second,
	6 * time.Second, 8 * time.Second, 11 * time.Second, 16 * time.Second}

// warm is the index of the servers beyond all bounds.
const warm = len(ageBounds)

func ageIndex(age time.Duration) int {
	if age < 0 {
		return warm
	}
	for i, bound := range ageBounds {
		if age < bound {
			return i
		}
	}
	return warm
}

const (
	// MaxRatio bounds the ratio of a single observation either way.
	MaxRatio = 8
	// pooledHalfLife is the time after which a pooled sample counts half. The effects of occupancy and age are
	// properties of the engine; they change with the mix of prompts, within minutes.
	// Levels and ages that occur rarely would have too few samples with less; those that occur often hold the
	// last maxPooled ones.
	pooledHalfLife = time.Minute
	// serverHalfLife is the same for a sample of one server, whose speed may change within seconds.
	serverHalfLife = 15 * time.Second
	// maxPooled and maxServer bound the samples of a pooled effect and of a server. The 90th percentile of 64
	// samples is off by a fifth of the spread; the median of 16 follows a change of speed after eight requests.
	maxPooled, maxServer = 64, 16
	// priorPooled, priorServer and priorSpread are the weights, in samples, of the priors of a pooled median, of
	// a server's median and of a spread: the 90th percentile takes more samples than the median. Servers differ
	// by about as much as the requests of one of them.
	priorPooled, priorServer, priorSpread = 0.5, 1.5, 5
	// minSpreadFactor and maxSpreadFactor bound the spread of a server or an age relative to that of the
	// others. Few samples, as of a server, hardly show a smaller one.
	minSpreadFactor, maxSpreadFactor = 0.7, 6
	// defaultSpread is the logarithm of p90 over median where nothing is learned yet.
	defaultSpread = 0.3
	// minSpread is the least spread that distances are divided by.
	minSpread = 0.02
)

// Estimate is the ratio of the real to the modelled time.
type Estimate struct {
	Median, P90 float64
	// Offset is the part of the logarithm of Median that is due to the age and to the server itself.
	Offset float64
}

// pool holds the samples by level of the requests of one source.
type pool [levels]samples

// Service holds the effects that the servers of one service share.
type Service struct {
	// own holds the samples of this entry's requests, peers those of other entries'. An entry hears of a
	// peer's request milliseconds later and knows more of the load by then, so that the ratios of the two
	// differ: a choice is predicted from the own ones as far as there are any.
	own, peers pool
	ages       [warm]samples
	// scaledAges holds the distances from the predicted median relative to the spread of the level: within a
	// slow start the times vary more.
	scaledAges [warm]samples
}

// Server holds the effect of one incarnation of a server.
type Server struct {
	residuals samples
	// scaled holds the distances from the predicted median relative to the spread of the level.
	scaled samples
	// age is the index of the greatest age that was observed.
	age int
}

// Observation is a request that has its first event.
type Observation struct {
	Situation
	// Own is set for a request of this entry.
	Own bool
	// Offset is that of the estimate at the time of the request. The effect of the level is learned beside it,
	// so that it makes up for the bias of a choice for servers whose prediction happens to be too low.
	Offset float64
	// Ratio is the real over the modelled time.
	Ratio float64
}

// Observe records a request at a server.
func (c *Service) Observe(now time.Time, s *Server, o Observation) {
	if !(o.Ratio > 0) { // NaN as well
		return
	}
	ratio := math.Log(math.Min(math.Max(o.Ratio, 1.0/MaxRatio), MaxRatio))
	source, other := &c.peers, &c.own
	if o.Own {
		source, other = other, source
	}
	level, spread := effect(now, &source[o.Level], &other[o.Level])
	if o.Level == Divided {
		source[Divided].add(now, ratio, pooledHalfLife, maxPooled)
		return
	}
	age := ageIndex(o.Age)
	if age > s.age {
		s.residuals.fade(ageFade)
		s.age = age
	}
	ofAge := c.ageEffect(now, age)
	source[o.Level].add(now, ratio-o.Offset, pooledHalfLife, maxPooled)
	s.residuals.add(now, ratio-level-ofAge, serverHalfLife, maxServer)
	distance := (ratio - level - o.Offset) / math.Max(spread, minSpread)
	s.scaled.add(now, distance/c.ageSpread(now, age), serverHalfLife, maxServer)
	if age < warm {
		c.ages[age].add(now, ratio-level, pooledHalfLife, maxPooled)
		c.scaledAges[age].add(now, distance, pooledHalfLife, maxPooled)
	}
}

// ageFade is the factor by which the weight of a server's samples falls when it reaches another age: what its
// start had in excess of other servers' hardly tells its speed afterwards.
const ageFade = 0.25

// Estimate returns the ratio at a server.
func (c *Service) Estimate(now time.Time, s *Server, at Situation) Estimate {
	median, spread := effect(now, &c.own[at.Level], &c.peers[at.Level])
	offset := 0.0
	if at.Level != Divided {
		age := ageIndex(at.Age)
		offset = c.ageEffect(now, age) + s.effectAt(now, age)
		median += offset
		spread *= c.ageSpread(now, age) * s.scaled.spreadFactor(now, serverHalfLife)
	}
	return Estimate{Median: bounded(median), P90: bounded(median + spread), Offset: offset}
}

// Pooled returns the ratio at a level over all warm servers of the service; false if nothing is learned.
func (c *Service) Pooled(now time.Time, level Level) (Estimate, bool) {
	if c.own[level].count == 0 && c.peers[level].count == 0 {
		return Estimate{}, false
	}
	median, spread := effect(now, &c.own[level], &c.peers[level])
	return Estimate{Median: bounded(median), P90: bounded(median + spread)}, true
}

// Slowdown returns the factor by which a server of an age is slower than the warm ones of its service.
func (c *Service) Slowdown(now time.Time, s *Server, age time.Duration) float64 {
	return bounded(c.ageEffect(now, ageIndex(age)) + s.effectAt(now, ageIndex(age)))
}

// ageSpread returns the spread at an age relative to that of warm servers.
func (c *Service) ageSpread(now time.Time, age int) float64 {
	if age == warm {
		return 1
	}
	return c.scaledAges[age].spreadFactor(now, pooledHalfLife)
}

// spreadFactor returns the 90th percentile of scaled distances, which is 1 where nothing is learned.
func (s *samples) spreadFactor(now time.Time, halfLife time.Duration) float64 {
	factor := blend(s.median+s.spread, s.weightAt(now, halfLife), 1, priorSpread)
	return math.Min(math.Max(factor, minSpreadFactor), maxSpreadFactor)
}

// effectAt returns the effect of the server at an age that it may have reached since its latest sample.
func (s *Server) effectAt(now time.Time, age int) float64 {
	if age > s.age {
		return s.effect(now) * ageFade
	}
	return s.effect(now)
}

func (s *Server) effect(now time.Time) float64 {
	return blend(s.residuals.median, s.residuals.weightAt(now, serverHalfLife), 0, priorServer)
}

func (c *Service) ageEffect(now time.Time, age int) float64 {
	if age == warm {
		return 0
	}
	cell := &c.ages[age]
	return blend(cell.median, cell.weightAt(now, pooledHalfLife), 0, priorPooled)
}

// effect returns the median and the spread at a level, from the first cell as far as it has samples, else from
// the second one.
func effect(now time.Time, first, second *samples) (median, spread float64) {
	weight := second.weightAt(now, pooledHalfLife)
	median, spread = blend(second.median, weight, 0, priorPooled), blend(second.spread, weight, defaultSpread, priorSpread)
	weight = first.weightAt(now, pooledHalfLife)
	return blend(first.median, weight, median, priorPooled), blend(first.spread, weight, spread, priorSpread)
}

// blend returns the mean of a value and its prior by their weights.
func blend(value, weight, prior, priorWeight float64) float64 {
	return (value*weight + prior*priorWeight) / (weight + priorWeight)
}

func bounded(logarithm float64) float64 {
	return math.Min(math.Max(math.Exp(logarithm), 1.0/MaxRatio), MaxRatio)
}

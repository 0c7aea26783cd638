package placement

import (
	"math"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/servertimes"
)

// learnedTimes holds what the servers of each service have shown. It is nil where Options.LearnedTimes is off.
type learnedTimes struct {
	services map[string]*servertimes.Service
}

func newLearnedTimes(options Options) *learnedTimes {
	if !options.LearnedTimes {
		return nil
	}
	return &learnedTimes{services: map[string]*servertimes.Service{}}
}

// service returns what the servers of a service share.
func (l *learnedTimes) service(name string) *servertimes.Service {
	known := l.services[name]
	if known == nil {
		known = &servertimes.Service{}
		l.services[name] = known
	}
	return known
}

// modelled is a prediction by the published speeds, which an observation is compared with.
type modelled struct {
	at     servertimes.Situation
	ms     float64
	offset float64
	// stallMs is the part of the prediction that is no model.
	stallMs float64
}

// slowdown returns the factor by which a server is slower than its model: the moving average of its ratio, or what
// it has shown where Options.LearnedTimes is on.
func (s *server) slowdown(now time.Time) float64 {
	if s.pooled != nil {
		return s.pooled.Slowdown(now, &s.times, s.age(now))
	}
	return s.health.slowdown()
}

// identify records the service and the start time of a listed server.
func (t *LoadTable) identify(s *server, listed directory.Server) {
	if t.learned == nil {
		return
	}
	s.service, s.pooled = listed.Service, t.learned.service(listed.Service)
	if listed.StartedAtMs > 0 {
		s.startedAt = time.UnixMilli(listed.StartedAtMs)
	}
}

// age returns the time since the server's start, -1 if that is unknown. The start time is of the server's own clock;
// an age that this makes negative is a young one.
func (s *server) age(now time.Time) time.Duration {
	if s.startedAt.IsZero() {
		return -1
	}
	return max(now.Sub(s.startedAt), 0)
}

// situation returns the state of a server before an undivided prompt.
func (t *LoadTable) situation(now time.Time, s *server, promptTokens int64) servertimes.Situation {
	at := servertimes.Situation{Level: servertimes.LevelOf(s.requests(), s.engine.Slots), Age: s.age(now)}
	if promptTokens > t.options.ShortTokens {
		at.Level = servertimes.Long
	}
	return at
}

// learn fills in what the server of a candidate has shown.
func (t *LoadTable) learn(now time.Time, c *candidate, promptTokens int64) {
	if t.learned == nil {
		return
	}
	c.stallMs = c.backlogMs - c.state.backlogMs()
	c.times = c.state.pooled.Estimate(now, &c.state.times, t.situation(now, c.state, promptTokens))
}

// modelMs predicts the time to the next event by the published speeds and the known backlog, which the load table
// holds at the server's own speed.
func (c *candidate) modelMs(q Query, prefillMs float64) float64 {
	wait, passMs := (c.backlogMs-c.stallMs)/c.slowdown, c.passMs/c.slowdown
	if c.batch.Answers == 0 && c.requests > 0 {
		// An answer begins before this prompt is prefilled: the engine then makes a whole pass.
		wait += q.Engine.PassMs(enginemodel.Batch{Answers: 1})
	}
	return c.eventMs(q, wait, passMs, prefillMs)
}

// learnedMs corrects a prediction by the published speeds. A stall is a time that was measured.
func (c *candidate) learnedMs(modelMs, ratio float64) float64 { return modelMs*ratio + c.stallMs }

// p90Ms predicts the 90th percentile; 0 where nothing is learned.
func (t *LoadTable) p90Ms(c *candidate, q Query, prefillMs float64) float64 {
	if t.learned == nil {
		return 0
	}
	ratio := c.times.P90
	if q.parts > 1 {
		ratio = c.slowdown
	}
	return c.learnedMs(c.modelMs(q, prefillMs), ratio)
}

// dividedP90 returns the 90th percentile of the ratio for prompts of several parts. Their median stays that of the
// model at the servers' own speeds: corrected, long prompts counted as late more often and fewer were served.
func (t *LoadTable) dividedP90(now time.Time, service string) float64 {
	return t.learned.service(service).Estimate(now, &servertimes.Server{}, servertimes.Situation{Level: servertimes.Divided}).P90
}

// model returns the prediction by the published speeds for a dispatch that begins. It is made here for peers'
// dispatches too, which are reported without one. It is zero if there is nothing to compare with: a plain
// service, or a server that no choice has considered yet, whose service is unknown.
func (t *LoadTable) model(now time.Time, d *Dispatch, engine *enginemodel.Engine) modelled {
	if t.learned == nil || engine == nil || d.PromptTokens <= 0 {
		return modelled{}
	}
	q := Query{Engine: engine, PromptTokens: d.PromptTokens}
	prefillMs := engine.PrefillMs(d.PromptTokens, d.parts())
	slowest, offset, stall := 0.0, 0.0, 0.0
	var first *server
	for index := range d.parts() {
		s := t.server(d.serverAt(index), engine)
		if s.pooled == nil {
			return modelled{}
		}
		if first == nil {
			first = s
		}
		c := t.loaded(now, s, q)
		ms := c.modelMs(q, prefillMs)
		if d.parts() > 1 {
			ms *= c.slowdown
		}
		slowest, offset, stall = math.Max(slowest, ms), c.times.Offset, math.Max(stall, c.stallMs)
	}
	at := t.situation(now, first, d.PromptTokens)
	if d.parts() > 1 {
		at.Level = servertimes.Divided
	}
	return modelled{at: at, ms: slowest, offset: offset, stallMs: stall}
}

// loaded returns a server as a candidate with its load and what it has shown.
func (t *LoadTable) loaded(now time.Time, s *server, q Query) candidate {
	s.advance(now)
	c := candidate{state: s, backlogMs: s.waitingMs(now), requests: s.requests(), batch: s.batch(), slowdown: s.slowdown(now)}
	if c.batch.Answers > 0 {
		c.passMs = q.Engine.PassMs(c.batch) * c.slowdown
	}
	t.learn(now, &c, q.PromptTokens)
	return c
}

// observeTimes learns from a first event.
func (t *LoadTable) observeTimes(now time.Time, s *server, a *activeDispatch) {
	if a.modelled.ms <= 0 || s.pooled == nil {
		return
	}
	// An event that seems to come before the model's start counts as one of a millisecond.
	actual := (now.Sub(a.began)-t.options.NetworkTime).Seconds()*msPerSecond - a.modelled.stallMs
	s.pooled.Observe(now, &s.times, servertimes.Observation{Situation: a.modelled.at, Own: a.peer == "", Offset: a.modelled.offset, Ratio: math.Max(actual, 1) / a.modelled.ms})
}

// LearnedRatio is the ratio of the real to the modelled time to the first event of a service's servers.
type LearnedRatio struct {
	Service string
	Level   servertimes.Level
	servertimes.Estimate
}

// LearnedRatios returns the ratios that have been learned, for metrics.
func (t *LoadTable) LearnedRatios(now time.Time) []LearnedRatio {
	if t.learned == nil {
		return nil
	}
	var all []LearnedRatio
	for name, service := range t.learned.services {
		for _, level := range servertimes.Levels() {
			if estimate, ok := service.Pooled(now, level); ok {
				all = append(all, LearnedRatio{Service: name, Level: level, Estimate: estimate})
			}
		}
	}
	return all
}

// retainServices removes the services without any server.
func (t *LoadTable) retainServices() {
	if t.learned == nil {
		return
	}
	used := map[string]bool{}
	for _, s := range t.servers {
		used[s.service] = true
	}
	for name := range t.learned.services {
		if !used[name] {
			delete(t.learned.services, name)
		}
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/process"
)

// Guards against the setting having no effect, or one where it is off, and against gauges of services that are gone.
func TestLearnedRatiosAreMeteredWhereSwitchedOn(t *testing.T) {
	const median, p90 = "learned.engines.idle.median", "learned.engines.idle.p90"
	engine := &enginemodel.Engine{Slots: 4, MemoryTokens: 100_000, StepMs: 1, ReadPerMs: 100, Chunk: 2000, Stride: 50, UsualAnswer: 500}
	for _, on := range []bool{false, true} {
		settings := newTestbed(t).newSettings()
		settings.Overload.LearnedTimes = on
		s := New(Options{Settings: settings, Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
		now := time.Now()
		choice, refusal := s.loadTable.Choose(now, placement.Query{Servers: []directory.Server{{ID: "i-1", Service: "engines", Slots: 4}}, Engine: engine, PromptTokens: 5000,
			AnswerTokens: 10, Target: time.Second, Gap: time.Second, Remaining: time.Minute})
		require.Empty(t, refusal)
		require.Equal(t, on, choice.P90 > choice.Predicted)
		s.trackBegin(placement.Dispatch{ID: "a", Server: "i-1", PromptTokens: 5000, Lifetime: time.Minute}, choice, engine)
		s.loadTable.FirstEvent(now.Add(300*time.Millisecond), "a")
		s.updateLearnedRatios(now)
		if !on {
			require.Nil(t, s.registry.Get(median))
			continue
		}
		require.Greater(t, s.registry.Get(median).(metrics.Gauge).Value(), int64(1000))
		require.Greater(t, s.registry.Get(p90).(metrics.Gauge).Value(), s.registry.Get(median).(metrics.Gauge).Value())
		s.loadTable.Retain(func(string) bool { return false })
		s.updateLearnedRatios(now)
		require.Nil(t, s.registry.Get(median))
	}
}

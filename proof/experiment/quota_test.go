package experiment

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/proof/lab"
)

// quotaRun returns the requests per second that a quota of 10 per second admits, at a
// demand of 30 per second, in three phases of 60 s: before, during and after a
// partition. parts are the fractions of the demand that arrive at each entry.
func quotaRun(parts []float64, partition func(l *lab.Lab)) (before, during, after float64) {
	const quota, demand = 10.0, 30.0
	const phase = 60 * time.Second
	deployment := lab.Deployment{Servers: 6, Entries: 3, Zones: 3, Slots: 64, Engine: engineSpec(),
		Workspaces: map[string]config.Workspace{"w0": {Weight: 1, RequestsPerSecond: quota}}}
	l := lab.New(lab.Options{Seed: 1, Snapshot: lab.BuildSnapshot(deployment), Engine: engineSpec(), Delay: time.Millisecond})
	random := rand.New(rand.NewPCG(1, 1))
	l.Run(2 * time.Second)
	admitted := map[int]int{}
	startedAt := l.Now
	var next func()
	next = func() {
		l.After(time.Duration(random.ExpFloat64()/demand*float64(time.Second)), func() {
			at, entry := random.Float64(), 0
			for entry < len(parts)-1 && at >= parts[entry] {
				at -= parts[entry]
				entry++
			}
			s := l.Entries[entry].Submit(lab.Request{Workspace: "w0", Kind: "short", Hall: lab.Hall, PromptTokens: 1000, AnswerTokens: 5,
				Repeatable: true, Deadline: 20 * time.Second})
			refused := s.Conclusion != nil && s.Conclusion.Refusal != nil && s.Conclusion.Refusal.Code == execution.CodeOverQuota
			if !refused {
				admitted[int(l.Now.Sub(startedAt)/phase)]++
			}
			next()
		})
	}
	next()
	l.After(phase, func() { partition(l) })
	l.After(2*phase, l.HealPartitions)
	l.Run(3 * phase)
	rate := func(n int) float64 { return float64(admitted[n]) / phase.Seconds() }
	return rate(0), rate(1), rate(2)
}

// split partitions the fleet in two: the first entry with the first half of the
// servers, and all others.
func split(l *lab.Lab) {
	for i, e := range l.Entries {
		for j, h := range l.Hosts {
			if (i == 0) != (j < len(l.Hosts)/2) {
				l.Partition(e.Name, h.Name)
				l.Partition(h.Name, e.Name)
			}
		}
	}
}

// BenchmarkQuota prints how closely a workspace's quota holds across three entries:
// with even and uneven demand, and while the fleet is partitioned in two.
func BenchmarkQuota(b *testing.B) {
	for name, parts := range map[string][]float64{"even": {0.34, 0.33, 0.33}, "uneven": {0.9, 0.05, 0.05}, "one entry": {1, 0, 0}} {
		before, during, after := quotaRun(parts, split)
		fmt.Printf("quota 10/s, demand 30/s %s: admitted %.1f/s, cut in two %.1f/s, healed %.1f/s\n", name, before, during, after)
	}
}

// Three entries share one quota without communicating. Together they admit about the
// quota, and at most twice the quota while the fleet is partitioned in two, since
// each side then observes only its own demand.
func TestQuotaHoldsOverEntries(t *testing.T) {
	t.Parallel()
	for _, parts := range [][]float64{{0.34, 0.33, 0.33}, {0.9, 0.05, 0.05}, {1, 0, 0}} {
		before, during, after := quotaRun(parts, split)
		require.InDelta(t, 10, before, 2)
		require.InDelta(t, 10, after, 2)
		require.LessOrEqual(t, during, 20.0)
	}
}

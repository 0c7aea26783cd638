package experiment

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/frontend"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/scheduling"
	"arbutusdeck/proof/lab"
)

var csvPath = flag.String("csv", "", "also write the table of a benchmark to this file")

// base returns the scenario of a user's deployment at its usual load, 80 %.
func base(name string) Scenario {
	return Scenario{Name: name, Servers: SmallDeploymentServers, Seed: 1, Load: 0.8, LongShare: 0.02, Bursts: true, Duration: 4 * time.Minute}
}

func with(s Scenario, changes ...func(*Scenario)) Scenario {
	for _, change := range changes {
		change(&s)
	}
	return s
}

func load(load float64) func(*Scenario)      { return func(s *Scenario) { s.Load = load } }
func noLong(s *Scenario)                     { s.LongShare = 0 }
func route(p routing.Policy) func(*Scenario) { return func(s *Scenario) { s.Routing = p } }

// fcfs selects a plain host: one queue, one priority, refusals by deadline alone.
func fcfs(s *Scenario) { s.Scheduling, s.Patience = scheduling.FirstComeFirstServed, 1e4 }

// seeds is the number of runs behind a row of a table.
const seeds = 6

// print runs scenarios and writes their table.
func print(b *testing.B, scenarios ...Scenario) []*Result {
	results := make([]*Result, len(scenarios))
	for i := range scenarios {
		results[i] = RunSeeds(scenarios[i], seeds)
	}
	require.NoError(b, WriteTable(os.Stdout, results))
	for _, r := range results {
		fmt.Printf("%s, not finished: %v\n", r.Scenario.Name, r.Codes)
	}
	if *csvPath != "" {
		file, err := os.Create(*csvPath)
		require.NoError(b, err)
		defer file.Close()
		require.NoError(b, WriteCSV(file, results))
	}
	return results
}

// BenchmarkPolicies prints the table of policies at 80 % load.
func BenchmarkPolicies(b *testing.B) {
	print(b,
		base("own"),
		with(base("own, no long"), load(0.8*0.38), noLong),
		with(base("predicted+fcfs"), fcfs),
		with(base("random+fcfs"), route(routing.Random), fcfs),
		with(base("round-robin+fcfs"), route(routing.RoundRobin), fcfs),
		with(base("least-outstanding+fcfs"), route(routing.LeastOutstanding), fcfs),
		with(base("random+isolating"), route(routing.Random)),
		with(base("least-outst.+isolating"), route(routing.LeastOutstanding)),
	)
}

// BenchmarkLoad prints the table of loads up to 150 %, also with callers that send
// again after a refusal. Prompts share no prefixes, as cached prefixes would lower
// the real load below the nominal one.
func BenchmarkLoad(b *testing.B) {
	base := func(name string) Scenario { return with(base(name), func(s *Scenario) { s.NoPrefixes = true }) }
	resend := func(s *Scenario) { s.MaxResends = 3 }
	var scenarios []Scenario
	for _, l := range []float64{0.5, 0.8, 1, 1.25, 1.5} {
		scenarios = append(scenarios, with(base(fmt.Sprintf("own %.0f %%", 100*l)), load(l)))
	}
	scenarios = append(scenarios,
		with(base("own 150 %, resending"), load(1.5), resend),
		with(base("least-outst.+fcfs 100 %"), load(1), route(routing.LeastOutstanding), fcfs),
		with(base("least-outst.+fcfs 150 %"), load(1.5), route(routing.LeastOutstanding), fcfs),
		with(base("own 80 %, Lima's size"), func(s *Scenario) { s.Servers = LargeDeploymentServers }),
	)
	print(b, scenarios...)
}

// faultAt is the time at which faults are injected, faultFor their duration.
const (
	faultAt  = warmUp + 60*time.Second
	faultFor = 30 * time.Second
)

// during injects a fault at faultAt and reverts it after faultFor.
func during(inject, revert func(l *lab.Lab)) func(*Scenario) {
	return func(s *Scenario) {
		s.Faults = func(l *lab.Lab) {
			l.After(faultAt, func() { inject(l) })
			l.After(faultAt+faultFor, func() { revert(l) })
		}
	}
}

// BenchmarkFaults prints the table under faults, and the time from the end of a
// fault until the short class stayed at 95 % in target.
func BenchmarkFaults(b *testing.B) {
	none := func(*lab.Lab) {}
	zone := func(l *lab.Lab, act func(h *lab.Host)) {
		for i, h := range l.Hosts {
			if i%3 == 0 {
				act(h)
			}
		}
	}
	partitionAll := func(l *lab.Lab) {
		for _, e := range l.Entries {
			for _, h := range l.Hosts {
				l.Partition(e.Name, h.Name)
				l.Partition(h.Name, e.Name)
			}
		}
	}
	resend := func(s *Scenario) { s.MaxResends = 5 }
	results := print(b,
		base("no fault"),
		with(base("a daemon killed"), during(func(l *lab.Lab) { l.Hosts[4].Kill() }, func(l *lab.Lab) { l.Hosts[4].Start() })),
		with(base("a server ten times slower"), during(func(l *lab.Lab) { l.Hosts[4].SetSlowdown(10) }, func(l *lab.Lab) { l.Hosts[4].SetSlowdown(1) })),
		with(base("a zone lost, 50 % load"), load(0.5), during(func(l *lab.Lab) { zone(l, (*lab.Host).Kill) }, func(l *lab.Lab) { zone(l, (*lab.Host).Start) })),
		with(base("load reports frozen"), during(func(l *lab.Lab) { l.IgnoreLoadReports = true }, func(l *lab.Lab) { l.IgnoreLoadReports = false })),
		with(base("all cut off, all resend"), resend, during(partitionAll, (*lab.Lab).HealPartitions)),
		with(base("an entry killed"), during(func(l *lab.Lab) { l.Entries[0].Kill() }, func(l *lab.Lab) { l.Entries[0].Start() })),
		with(base("no retry budget, zone lost"), load(0.5), func(s *Scenario) { s.NoRetries = true },
			during(func(l *lab.Lab) { zone(l, (*lab.Host).Kill) }, none)),
	)
	for _, r := range results {
		took, back := r.Recovery(int((faultAt + faultFor).Seconds()), 0.95)
		fmt.Printf("%s: back in target %d s after the fault's end: %t\n", r.Scenario.Name, took, back)
	}
}

// BenchmarkTuning prints the table of options that differ from the defaults one at
// a time.
func BenchmarkTuning(b *testing.B) {
	scenarios := []Scenario{base("default")}
	host := func(name string, tune func(*backend.Options)) {
		scenarios = append(scenarios, with(base(name), func(s *Scenario) { s.TuneHost = tune }))
	}
	entry := func(name string, tune func(*frontend.Options)) {
		scenarios = append(scenarios, with(base(name), func(s *Scenario) { s.TuneEntry = tune }))
	}
	for _, v := range []float64{0.65, 0.85, 0.95} {
		host(fmt.Sprintf("long memory %.2f", v), func(o *backend.Options) { o.Schedule.LongMemoryShare = v })
	}
	for _, v := range []float64{0.02, 0.05, 0.2} {
		host(fmt.Sprintf("floor share %.2f", v), func(o *backend.Options) { o.Schedule.MinPrefillShare = v })
	}
	for _, v := range []time.Duration{25, 100, 200} {
		host(fmt.Sprintf("slice %d ms", v), func(o *backend.Options) { o.Schedule.BoostDuration = v * time.Millisecond })
	}
	for _, v := range []time.Duration{50, 300, 1000} {
		host(fmt.Sprintf("backlog %d ms", v), func(o *backend.Options) { o.Schedule.MaxPrefillBacklog = v * time.Millisecond })
	}
	for _, v := range []int{2, 8, 15} {
		entry(fmt.Sprintf("candidates %d", v), func(o *frontend.Options) { o.Routing.Candidates = v })
	}
	for _, v := range []float64{0, 0.25, 0.75} {
		entry(fmt.Sprintf("prefix saving %.2f", v), func(o *frontend.Options) { o.Routing.PrefixSaving = v })
	}
	for _, v := range []time.Duration{100, 2000, 1e6} {
		entry(fmt.Sprintf("relaxation %d ms", v), func(o *frontend.Options) { o.Routing.ReportDecayTime = v * time.Millisecond })
	}
	print(b, scenarios...)
}

// Two runs of a scenario give the same result, and the default policy keeps the time
// to first token of short requests low beside long ones, where the plain policy does not.
func TestIsolationHelpsShortRequests(t *testing.T) {
	t.Parallel()
	short := with(base("own"), func(s *Scenario) { s.Duration = 30 * time.Second })
	own, again := Run(short), Run(short)
	require.Equal(t, own.P95("short"), again.P95("short"))
	require.Equal(t, own.Attempts, again.Attempts)
	plain := Run(with(short, fcfs))
	require.Less(t, own.P95("short"), plain.P95("short")/2)
}

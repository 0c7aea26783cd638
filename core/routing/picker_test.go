package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

// twoServers returns a picker with a busy server and an idle one.
func twoServers() *Picker {
	p := New(DefaultOptions())
	p.Configure("hall", []ServerSpec{{Name: "busy", Rate: 1000, Engines: 1}, {Name: "idle", Rate: 1000, Engines: 1}})
	p.Observe("hall", "busy", Report{Classes: []ClassTokens{{0, 5000}}, Rate: 1000, Observed: now})
	p.Observe("hall", "idle", Report{Rate: 1000, Observed: now})
	return p
}

func pick(t *testing.T, p *Picker, at time.Time, q Query) Decision {
	t.Helper()
	q.Pool = "hall"
	if q.PromptTokens == 0 {
		q.PromptTokens = 100
	}
	reason, ok := p.Pick(at, q, rand.New(rand.NewPCG(1, 1)))
	require.True(t, ok)
	return reason
}

func TestPickFollowsPredictions(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(p *Picker)
		query   Query
		want    string
	}{
		{"the shorter queue", func(*Picker) {}, Query{}, "idle"},
		{"a queue of longer classes does not count", func(p *Picker) {
			p.Observe("hall", "idle", Report{Classes: []ClassTokens{{2, 900_000}}, Rate: 1000, Observed: now.Add(1)})
		}, Query{}, "idle"},
		{"own dispatches since the report count", func(p *Picker) {
			p.RecordSent(now.Add(1), "hall", "idle", Query{PromptTokens: 9000})
		}, Query{}, "busy"},
		{"a prefix never overrides a queue", func(p *Picker) { p.affinity.put(7, "busy") }, Query{Prefix: 7}, "idle"},
		{"a failure costs trust", func(p *Picker) {
			for range 20 {
				p.RecordFailure(now, "hall", "idle")
			}
		}, Query{}, "busy"},
		{"overload costs pace, not trust", func(p *Picker) { p.RecordOverload(now, "hall", "idle", time.Second) }, Query{}, "busy"},
		{"an excluded server is not asked", func(*Picker) {}, Query{Exclude: []string{"idle"}}, "busy"},
		{"an ineligible server is not asked", func(*Picker) {}, Query{Eligible: func(s string) bool { return s == "busy" }}, "busy"},
		{"a wait for memory counts", func(p *Picker) {
			p.Observe("hall", "idle", Report{Rate: 1000, StartDelay: time.Minute, Observed: now.Add(1)})
		}, Query{}, "busy"},
		{"a slow server's rate counts", func(p *Picker) {
			p.Observe("hall", "idle", Report{Rate: 1, Observed: now.Add(1)})
		}, Query{PromptTokens: 1000}, "busy"},
		{"a server that has just come up is spared", func(p *Picker) {
			p.Observe("hall", "busy", Report{Classes: []ClassTokens{{0, 50}}, Rate: 1000, Observed: now.Add(1)})
		}, Query{FirstSeen: func(s string) time.Time {
			if s == "idle" {
				return now
			}
			return now.Add(-time.Hour)
		}}, "busy"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := twoServers()
			c.prepare(p)
			require.Equal(t, c.want, pick(t, p, now.Add(2), c.query).Server)
		})
	}
}

// All servers are in backoff after an overload. One is picked all the same, because
// its refusal carries the right retry delay.
func TestPickWhenAllAreFull(t *testing.T) {
	p := twoServers()
	p.RecordOverload(now, "hall", "idle", time.Second)
	p.RecordOverload(now, "hall", "busy", time.Second)
	pick(t, p, now, Query{})
	_, ok := p.Pick(now, Query{Pool: "hall", Exclude: []string{"idle", "busy"}}, rand.New(rand.NewPCG(1, 1)))
	require.False(t, ok)
}

// The only usable server of many is found from any random start.
func TestPickFindsTheLastServer(t *testing.T) {
	p := New(DefaultOptions())
	var specs []ServerSpec
	for i := range 60 {
		specs = append(specs, ServerSpec{Name: fmt.Sprintf("s%02d", i), Rate: 1000, Engines: 1})
	}
	p.Configure("hall", specs)
	for i := range 60 {
		only := fmt.Sprintf("s%02d", i)
		require.Equal(t, only, pick(t, p, now, Query{Eligible: func(s string) bool { return s == only }}).Server)
	}
}

// The old report of an idle server decays towards the mean of all reports. If that
// mean is far higher, a server with a fresh report of less work is preferred.
func TestPickDecaysOldReports(t *testing.T) {
	p := twoServers()
	for i := range 400 {
		p.Observe("hall", "busy", Report{Classes: []ClassTokens{{0, 5000}}, Rate: 1000, Observed: now.Add(time.Duration(i+1) * time.Millisecond)})
	}
	later := now.Add(5 * time.Second)
	p.Observe("hall", "busy", Report{Classes: []ClassTokens{{0, 1000}}, Rate: 1000, Observed: later})
	require.Equal(t, "busy", pick(t, p, later, Query{}).Server)
}

func TestAffinityIsBounded(t *testing.T) {
	a := newAffinity(100)
	for i := range uint64(1000) {
		a.put(i+1, "s")
	}
	require.LessOrEqual(t, len(a.current)+len(a.previous), 100)
	_, ok := a.get(1000)
	require.True(t, ok)
	_, ok = a.get(1)
	require.False(t, ok)
}

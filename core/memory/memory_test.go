package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(7_000, 0)

// For any order of grants, duplicates, renewals, releases and late messages, the
// leases on an engine never exceed its capacity, and none is left once all have
// expired.
func TestLeasesNeverLeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLeases()
		l.Configure(map[string]int64{"e0": 100, "e1": 50})
		now := start
		owner := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		engine := rapid.SampledFrom([]string{"e0", "e1"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			who := owner.Draw(t, "owner")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				_ = l.Grant(now, Lease{Owner: who, Engine: engine.Draw(t, "engine"), Tokens: rapid.Int64Range(1, 60).Draw(t, "tokens"), Expires: now.Add(3 * time.Second)})
			case 1:
				l.Renew(who, now.Add(3*time.Second))
			case 2:
				l.Release(now, who)
			case 3:
				l.Tick(now)
			}
			require.LessOrEqual(t, l.Used("e0"), int64(100))
			require.LessOrEqual(t, l.Used("e1"), int64(50))
		}
		l.Tick(now.Add(time.Minute))
		require.Empty(t, l.List())
	})
}

// A reservation message is overtaken by its release. It must not take memory that
// nobody would release.
func TestReleaseOvertakesTheGrant(t *testing.T) {
	l := NewLeases()
	l.Configure(map[string]int64{"e0": 100})
	l.Release(start, "r")
	require.ErrorIs(t, l.Grant(start, Lease{Owner: "r", Engine: "e0", Tokens: 10}), ErrInsufficientMemory)
	require.ErrorIs(t, l.Grant(start, Lease{Owner: "x", Engine: "e9", Tokens: 10}), ErrUnknownEngine)
	l.Tick(start.Add(2 * time.Minute))
	require.NoError(t, l.Grant(start.Add(2*time.Minute), Lease{Owner: "r", Engine: "e0", Tokens: 10}))
}

// A daemon starts and finds a stream of the previous incarnation. It leases the
// stream's memory at once, cancels the stream after the grace period, and releases
// the lease when the stream is gone. It does not touch a stream of its own.
func TestRecoveryCancelsOrphanedStreams(t *testing.T) {
	l := NewLeases()
	l.Configure(map[string]int64{"e0": 100})
	r := NewRecovery(2*time.Second, l)
	found := []EngineStream{{"e0", "old", 70}, {"e0", "mine", 20}}
	owned := func(id string) bool { return id == "mine" }
	require.Empty(t, r.Observe(start, "e0", found, owned))
	require.Equal(t, int64(70), l.Used("e0"))
	require.Empty(t, r.Observe(start.Add(time.Second), "e0", found, owned))
	require.Equal(t, found[:1], r.Observe(start.Add(2*time.Second), "e0", found, owned))
	require.Empty(t, r.Observe(start.Add(3*time.Second), "e0", found[1:], owned))
	require.Zero(t, l.Used("e0"))
	require.Zero(t, r.Orphans())
}

func TestSplit(t *testing.T) {
	members := []Part{{"a", "e0", 100}, {"b", "e0", 100}, {"c", "e0", 50}}
	parts, ok := Split(200, members)
	require.True(t, ok)
	sum := int64(0)
	for i, part := range parts {
		sum += part.Tokens
		require.LessOrEqual(t, part.Tokens, members[i].Tokens)
	}
	require.Equal(t, int64(200), sum)
	_, ok = Split(251, members)
	require.False(t, ok)
}

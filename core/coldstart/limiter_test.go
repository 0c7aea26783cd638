package coldstart

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func first(string) int { return 0 }

// A cold server crashed under the requests of one entry alone, which had a burst of callers.
func TestAnEntrySendsAColdServerOneRequestASecond(t *testing.T) {
	l := NewLimiter()
	l.MarkCold("a", start.Add(3*time.Second))
	require.True(t, l.Allows(start, "a", 40, first))
	l.RecordSend(start, "a")
	require.False(t, l.Allows(start.Add(sendInterval-time.Millisecond), "a", 40, first))
	require.True(t, l.Allows(start.Add(sendInterval), "a", 40, first))
	l.RecordSend(start, "b")
	require.True(t, l.Allows(start, "b", 40, first), "a warm server")
	require.True(t, l.Allows(start.Add(3*time.Second), "a", 40, first), "it is warm by now")
	l.Expire(start.Add(3 * time.Second))
	require.Empty(t, l.servers)
}

// Of many entries only some send to a cold server.
func TestOfManyEntriesFewSendToAColdServer(t *testing.T) {
	l := NewLimiter()
	l.MarkCold("a", start.Add(time.Second))
	l.MarkCold("b", start.Add(time.Second))
	rankOf := func(start string) int { return map[string]int{"a": 19, "b": 20}[start] }
	require.True(t, l.Allows(start, "a", 40, rankOf))
	require.False(t, l.Allows(start, "b", 40, rankOf))
	require.Equal(t, 1, MaxSenders(0.5))
}

// entry is one of the entries in TestNoColdServerGetsMoreThanItBears.
type entry struct {
	name    string
	limiter *Limiter
	// known are the names of the entries that it knows, itself included.
	known []string
}

func (e *entry) rank(start string) int {
	rank := 0
	own := xxhash.Sum64String(e.name + start)
	for _, name := range e.known {
		if xxhash.Sum64String(name+start) > own {
			rank++
		}
	}
	return rank
}

// Entries come and go, know all others or only themselves, and send to a cold server whenever they may. As long
// as those that know only themselves are no more than half of the server's rate, it gets no more than that rate
// in any second.
func TestNoColdServerGetsMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		perSecond := float64(rapid.IntRange(4, 60).Draw(r, "bears"))
		count := rapid.IntRange(1, 120).Draw(r, "entries")
		var all []string
		for i := range count {
			all = append(all, fmt.Sprint("entry-", i))
		}
		isolated := rapid.IntRange(0, min(count, int(math.Floor(mutuallyKnownShare*perSecond)))).Draw(r, "know only themselves")
		entries := make([]*entry, count)
		for i := range entries {
			e := &entry{name: all[i], limiter: NewLimiter(), known: all}
			if i < isolated {
				e.known = all[i : i+1]
			}
			e.limiter.MarkCold("s", start.Add(time.Minute))
			entries[i] = e
		}
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "pause")) * time.Millisecond)
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, count-1), 0, count).Draw(r, "who") {
				if e := entries[i]; e.limiter.Allows(now, "s", perSecond, e.rank) {
					e.limiter.RecordSend(now, "s")
					sent = append(sent, now)
				}
			}
		}
		for i, from := range sent {
			end, _ := slices.BinarySearchFunc(sent, from.Add(sendInterval), func(a, b time.Time) int { return a.Compare(b) })
			require.LessOrEqual(r, float64(end-i), max(perSecond, 1))
		}
	})
}

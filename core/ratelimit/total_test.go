package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulatedEntry is one of several entries that have as many requests as a limited server lets them send.
type simulatedEntry struct {
	limiter *Limiter
	// hash orders the entries.
	hash uint64
	// running is not set while the entry has ended. It and the others know each other from knownAt on.
	running bool
	knownAt time.Time
}

// heartbeatInterval is the time after which a started entry and the others know each other.
const heartbeatInterval = 500 * time.Millisecond

// totals drives entries for a minute with one server that states a limit, and returns the times of the requests.
// With churn, entries end at random times, and others start, which know at first only that the server is limited.
func totals(random *rand.Rand, count int, perSecond float64, churn bool) []time.Time {
	entries := make([]*simulatedEntry, count)
	for i := range entries {
		entries[i] = &simulatedEntry{limiter: NewLimiter(), hash: random.Uint64(), running: true}
		entries[i].limiter.RecordLimit(start, "a", perSecond)
	}
	now := start
	shareOf := func(e *simulatedEntry) ShareFunc {
		return func(string) Share {
			share := Share{Entries: 1}
			for _, other := range entries {
				if other == e || !other.running || now.Before(e.knownAt) || now.Before(other.knownAt) {
					continue
				}
				share.Entries++
				if other.hash > e.hash {
					share.Rank++
				}
			}
			return share
		}
	}
	var sent []time.Time
	const step = 5 * time.Millisecond
	for ; now.Before(start.Add(time.Minute)); now = now.Add(step) {
		if churn && random.IntN(400) == 0 {
			endOrStart(now, entries[random.IntN(count)], perSecond)
		}
		for _, i := range random.Perm(count) {
			e := entries[i]
			if next, sends := e.limiter.Next(now, "a", shareOf(e)); e.running && sends && !now.Before(next) {
				e.limiter.RecordSend(now, "a")
				e.limiter.RecordLimit(now, "a", perSecond)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// endOrStart ends an entry, or starts it anew.
func endOrStart(now time.Time, e *simulatedEntry, perSecond float64) {
	e.running = !e.running
	e.knownAt = now.Add(heartbeatInterval)
	e.limiter = NewLimiter()
	e.limiter.Learn(now, Statement{Server: "a", Limited: true, PerSecond: perSecond})
}

// Entries that each kept to a server's limit exceeded it together: with as many senders as entries, their single
// requests alone are too many.
func TestEntriesTogetherKeepToALimit(t *testing.T) {
	const window = 4 * time.Second
	for _, entries := range []int{1, 2, 5, 23, 140} {
		for _, perSecond := range []float64{0, 0.2, 1, 2.7, 10, 40} {
			for _, churn := range []bool{false, true} {
				t.Run(fmt.Sprint(entries, " entries, ", perSecond, " a second, churn ", churn), func(t *testing.T) {
					sent := totals(rand.New(rand.NewPCG(uint64(entries), 7)), entries, perSecond, churn)
					allowed := 1.5*perSecond*window.Seconds() + 5
					for i := range sent {
						count := 0
						for j := i; j < len(sent) && sent[j].Sub(sent[i]) < window; j++ {
							count++
						}
						require.LessOrEqual(t, float64(count), allowed)
					}
					if !churn {
						require.GreaterOrEqual(t, float64(len(sent)), 0.9*perSecond*60-float64(maxSenders(perSecond)), "the server gets what it takes, but for the first requests")
					}
				})
			}
		}
	}
}

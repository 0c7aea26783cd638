package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausedQuery returns a query for a short prompt among servers that are all paused, each a second longer than the one
// before.
func pausedQuery(target time.Duration) Query {
	q := shortQuery(fleet(2))
	q.Target = target
	for i, server := range q.Servers {
		q.Pause(server.IncarnationID(), start.Add(time.Duration(i+1)*time.Second))
	}
	return q
}

func TestAPausedServerIsNotChosen(t *testing.T) {
	q := shortQuery(fleet(2))
	q.Pause("s00", start.Add(time.Second))
	require.Equal(t, "s01", choose(t, newTable(), q).Server.ID)
	q.Pause("s01", start)
	require.Equal(t, "s01", choose(t, newTable(), q).Server.ID, "its pause is over")
}

func TestARequestWaitsForAPausedServerOnlyIfItCanBeInTime(t *testing.T) {
	choice := choose(t, newTable(), pausedQuery(2*time.Second))
	require.Equal(t, time.Second, choice.Wait, "for the first one")
	choice, refusal := newTable().Choose(start, pausedQuery(500*time.Millisecond))
	require.Equal(t, Paused, refusal)
	require.Equal(t, time.Second, choice.RetryAfter)
	q := pausedQuery(2 * time.Second)
	q.EntryLifetime = 900 * time.Millisecond
	_, refusal = newTable().Choose(start, q)
	require.Equal(t, Paused, refusal, "the entry stops before")
	q = pausedQuery(2 * time.Second)
	q.Exclude = []string{"s00", "s01"}
	_, refusal = newTable().Choose(start, q)
	require.Equal(t, NoServer, refusal, "both were tried")
}

func TestTheLongerOfTwoPausesHolds(t *testing.T) {
	q := shortQuery(fleet(1))
	q.Pause("s00", start.Add(2*time.Second))
	q.Pause("s00", start.Add(time.Second))
	require.Equal(t, start.Add(2*time.Second), q.Paused["s00"])
}

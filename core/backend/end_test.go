package backend_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/execution"
)

// The daemon shuts down while attempts are running, queued or only offered. Attempts that have not started are
// refused as not run and can't start later; none of them is scheduled when a running attempt stops.
func TestShutdownRefusesUnstartedAttempts(t *testing.T) {
	const opened = 12
	now := time.Unix(1000, 0)
	core := newCore(t, now)
	started := map[execution.AttemptID]bool{}
	for i := range opened {
		id := execution.AttemptID(fmt.Sprint("a", i))
		require.Equal(t, execution.Accepted, core.Offer(now, offer(now, string(id))).Verdict)
		_, _, effects := core.OpenStream(now, id, "a#1")
		for _, effect := range effects {
			if start, ok := effect.(backend.StartRun); ok {
				started[start.Attempt] = true
			}
		}
	}
	require.Equal(t, execution.Accepted, core.Offer(now, offer(now, "offered")).Verdict)
	require.Less(t, len(started), opened, "some are queued")
	core.Drain()
	refused, stopped := map[execution.AttemptID]bool{}, map[execution.AttemptID]bool{}
	for _, effect := range core.Shutdown(now) {
		switch e := effect.(type) {
		case backend.CloseStream:
			require.Equal(t, execution.NotRun, e.Outcome)
			require.Equal(t, execution.CodeDraining, e.Refusal.Code)
			refused[e.Attempt] = true
		case backend.StopRun:
			stopped[e.Attempt] = true
		}
	}
	require.Equal(t, started, stopped)
	require.Len(t, refused, opened+1-len(started))
	require.True(t, refused["offered"])
	for id := range started {
		require.Len(t, core.Finish(now, id, execution.Failed, execution.Refusal{}, execution.Answer{}), 1, "no queued attempt is started instead")
	}
	_, refusal, _ := core.OpenStream(now, "offered", "a#1")
	require.NotNil(t, refusal)
}

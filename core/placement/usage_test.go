package placement

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/fairshare"
)

// observed returns a load table and the sums of the usage that it reports, by workspace.
func observed() (*LoadTable, map[uint32]fairshare.Cost) {
	table, sums := newTable(), map[uint32]fairshare.Cost{}
	table.ObserveUsage(func(_ time.Time, u Usage) { sums[u.Workspace] = sums[u.Workspace].Add(u.Cost) })
	return table, sums
}

func workspaceDispatch(id string, workspace uint32) Dispatch {
	return Dispatch{ID: id, Server: "s00", PromptTokens: 8000, AnswerTokens: 1000, Gap: time.Second, Target: time.Second, Lifetime: 10 * time.Second, Workspace: workspace}
}

// Failure: a workspace is charged for a retry or a peer's dispatch not at all, or twice when an end is repeated.
func TestEachDispatchIsChargedOnce(t *testing.T) {
	table, sums := observed()
	table.Begin(start, workspaceDispatch("first", 7), engine, 0)
	table.Begin(start, workspaceDispatch("retry", 7), engine, 0)
	table.BeginPeerDispatch(start, "peer", workspaceDispatch("other", 9), engine)
	for i := range 20 {
		table.ReportUsage(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	for _, id := range []string{"first", "retry", "other", "first"} {
		table.FirstEvent(start.Add(2*time.Second), id)
		table.End(start.Add(3*time.Second), id)
	}
	table.ReportUsage(start.Add(4 * time.Second))
	require.Equal(t, int64(16_000), sums[7].PrefillTokens)
	require.Equal(t, 6*time.Second, sums[7].SlotTime)
	require.InEpsilon(t, 6*9000.0, sums[7].MemoryTime, 1e-9)
	require.Equal(t, int64(8000), sums[9].PrefillTokens)
	require.Equal(t, 3*time.Second, sums[9].SlotTime)
}

// Failure: a request that is still running is free, so that a flood is charged only after its first requests ended.
func TestRunningDispatchesAreCharged(t *testing.T) {
	table, sums := observed()
	table.Begin(start, workspaceDispatch("a", 7), engine, 0)
	table.ReportUsage(start.Add(time.Second))
	require.Equal(t, time.Second, sums[7].SlotTime)
}

// Failure: an attempt that its server refuses at once is charged for the whole prompt.
func TestAnAttemptIsChargedForThePrefillThatWasDone(t *testing.T) {
	table, sums := observed()
	table.Begin(start, workspaceDispatch("refused", 7), engine, 0)
	table.End(start, "refused")
	require.Zero(t, sums[7])
	table.Begin(start, workspaceDispatch("half", 9), engine, 0)
	prefill := time.Duration(engine.PrefillMs(8000, 1) * float64(time.Millisecond))
	table.End(start.Add(prefill/2), "half")
	require.InDelta(t, 4000, sums[9].PrefillTokens, 10)
}

// Failure: memory that a divided prompt reserves at its helpers is free.
func TestReservationsAtHelpersAreCharged(t *testing.T) {
	table, sums := observed()
	d := workspaceDispatch("spread", 7)
	d.Helpers, d.Reserved = []string{"s01"}, []int64{5000, 4000}
	table.Begin(start, d, engine, 0)
	table.End(start.Add(2*time.Second), "spread")
	require.InEpsilon(t, 18_000.0, sums[7].MemoryTime, 1e-9)
	require.Equal(t, 2*time.Second, sums[7].SlotTime, "helpers give no slot")
}

// Failure: a dispatch of an entry that was killed is charged until somebody notices, not only for its lifetime.
func TestALostDispatchIsChargedForItsLifetime(t *testing.T) {
	table, sums := observed()
	table.BeginPeerDispatch(start, "peer", workspaceDispatch("lost", 7), engine)
	table.ReportUsage(start.Add(time.Hour))
	table.Expire(start.Add(time.Hour))
	require.Equal(t, 10*time.Second, sums[7].SlotTime)
}

// Failure: an older entry can't read a dispatch with a workspace, or one of its dispatches can't be read.
func TestWorkspaceOfADispatchIsOptional(t *testing.T) {
	type olderDispatch struct {
		ID     string `cbor:"1,keyasint,omitempty"`
		Server string `cbor:"2,keyasint,omitempty"`
	}
	encoded, err := cbor.Marshal(workspaceDispatch("a", math.MaxUint32))
	require.NoError(t, err)
	var older olderDispatch
	require.NoError(t, cbor.Unmarshal(encoded, &older))
	require.Equal(t, olderDispatch{"a", "s00"}, older)
	encoded, err = cbor.Marshal(older)
	require.NoError(t, err)
	var d Dispatch
	require.NoError(t, cbor.Unmarshal(encoded, &d))
	require.Zero(t, d.Workspace)
}

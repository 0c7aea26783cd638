package callers

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func unlimited() Limits {
	return Limits{Connections: math.MaxInt32, Memory: math.MaxInt64, LargeBodies: math.MaxInt64}
}

func open(t *testing.T, table *Table[string], now time.Time, key string, phase Phase) {
	_, ok := table.Open(now, key)
	require.True(t, ok)
	require.True(t, table.Enter(now, key, phase))
}

// Guards against a crowd of open connections that leaves no descriptor to a new caller, and against ending a request
// that is being answered: the idle go first, then unfinished headers, slow bodies and callers that don't read.
func TestConnectionsAreClosedInOrderForNewOnes(t *testing.T) {
	limits := unlimited()
	limits.Connections = 7
	table := NewTable[string](limits)
	for key, phase := range map[string]Phase{"answering": Answering, "blocked": Blocked, "fast body": Body, "headers": Headers, "idle": Idle} {
		open(t, table, at(0), key, phase)
	}
	open(t, table, at(time.Millisecond), "slow body", Body)
	open(t, table, at(time.Millisecond), "new", New)
	table.Receive(at(time.Second), "slow body", 100)
	table.Receive(at(time.Second), "fast body", 1000)
	for _, expected := range []string{"idle", "new", "headers", "slow body", "fast body", "blocked"} {
		shed, ok := table.Open(at(2*time.Second), "for "+expected)
		require.True(t, ok)
		require.Equal(t, []string{expected}, shed)
		require.True(t, table.Enter(at(2*time.Second), "for "+expected, Answering))
		require.False(t, table.Enter(at(2*time.Second), expected, Answering), "a request on it must not run")
		require.False(t, table.Receive(at(2*time.Second), expected, 1))
		require.Equal(t, Closed, table.Phase(expected))
	}
	shed, ok := table.Open(at(time.Hour), "one too many")
	require.False(t, ok, "requests that are answered are not ended")
	require.Empty(t, shed)
	table.Remove("answering")
	_, ok = table.Open(at(time.Hour), "one too many")
	require.True(t, ok)
	require.Equal(t, 7, table.Len())
}

// Guards against ending bodies and responses that have just begun.
func TestNothingIsSlowInItsFirstSecond(t *testing.T) {
	limits := unlimited()
	limits.Connections = 2
	table := NewTable[string](limits)
	open(t, table, at(0), "body", Body)
	open(t, table, at(0), "blocked", Blocked)
	_, ok := table.Open(at(time.Second-1), "new")
	require.False(t, ok)
	_, ok = table.Open(at(time.Second), "new")
	require.True(t, ok)
}

// Guards against memory that is held without an account: whatever connections reserve counts until they become idle or
// are closed.
func TestMemoryIsReservedAndGivenBack(t *testing.T) {
	limits := Limits{Connections: 10, Memory: 3*ConnectionBytes + 1000, LargeBodies: 1}
	table := NewTable[string](limits)
	open(t, table, at(0), "a", Answering)
	open(t, table, at(0), "b", Answering)
	shed, ok := table.Reserve(at(0), "a", ConnectionBytes+1000)
	require.True(t, ok)
	require.Empty(t, shed)
	_, ok = table.Reserve(at(0), "b", 1)
	require.False(t, ok)
	_, ok = table.Open(at(0), "c")
	require.False(t, ok)
	require.True(t, table.Enter(at(0), "a", Idle))
	_, ok = table.Reserve(at(0), "b", 1)
	require.True(t, ok)
	require.EqualValues(t, 2*ConnectionBytes+1, table.Memory())
	table.Remove("a")
	table.Remove("b")
	require.Zero(t, table.Memory())
	_, ok = table.Reserve(at(0), "b", 1)
	require.False(t, ok, "it is closed")
}

// Guards against closing connections for a request that has no room even then.
func TestNothingIsClosedInVain(t *testing.T) {
	table := NewTable[string](Limits{Connections: 10, Memory: 2 * ConnectionBytes, LargeBodies: math.MaxInt64})
	open(t, table, at(0), "idle", Idle)
	open(t, table, at(0), "a", Answering)
	shed, ok := table.Reserve(at(0), "a", 2*ConnectionBytes)
	require.False(t, ok)
	require.Empty(t, shed)
	shed, ok = table.Reserve(at(0), "a", ConnectionBytes)
	require.True(t, ok)
	require.Equal(t, []string{"idle"}, shed)
}

// Guards against large bodies that leave no memory to other requests, and against idle connections that are closed for
// a body although that gives it nothing.
func TestLargeBodiesHaveALimitOfTheirOwn(t *testing.T) {
	limits := unlimited()
	limits.LargeBodies = 10 * SmallBodyBytes
	table := NewTable[string](limits)
	open(t, table, at(0), "idle", Idle)
	for _, key := range []string{"large", "other", "small"} {
		open(t, table, at(0), key, Body)
	}
	_, ok := table.ReserveBody(at(0), "large", 0, 8*SmallBodyBytes)
	require.True(t, ok)
	_, ok = table.ReserveBody(at(0), "other", 0, 3*SmallBodyBytes)
	require.False(t, ok)
	_, ok = table.ReserveBody(at(0), "small", 0, SmallBodyBytes)
	require.True(t, ok)
	require.EqualValues(t, 8*SmallBodyBytes, table.LargeBodies())
	_, ok = table.ReserveBody(at(0), "small", SmallBodyBytes, 2*SmallBodyBytes)
	require.True(t, ok, "all of a grown body counts")
	require.EqualValues(t, 10*SmallBodyBytes, table.LargeBodies())
	shed, ok := table.ReserveBody(at(time.Minute), "other", 0, 3*SmallBodyBytes)
	require.True(t, ok)
	require.Subset(t, []string{"large", "small"}, shed, "the idle one has no body")
}

// A caller starts a request and never completes its headers: its connection is not kept open forever. One that is
// idle, or was never used, is closed by the idle timeout, and one that is answered by neither.
func TestTimeoutsCloseConnections(t *testing.T) {
	table := NewTable[string](unlimited())
	timeouts := Timeouts{Headers: time.Second, Idle: time.Minute}
	for key, phase := range map[string]Phase{"new": New, "idle": Idle, "headers": Idle, "answering": Answering} {
		open(t, table, at(0), key, phase)
	}
	require.True(t, table.Receive(at(time.Second), "headers", 1))
	require.True(t, table.Receive(at(2*time.Second-1), "headers", 1))
	require.Empty(t, table.Expire(at(2*time.Second-1), timeouts))
	require.Equal(t, []string{"headers"}, table.Expire(at(2*time.Second), timeouts))
	require.ElementsMatch(t, []string{"new", "idle"}, table.Expire(at(time.Minute), timeouts))
	require.Empty(t, table.Expire(at(time.Hour), timeouts))
	require.Equal(t, 1, table.Active())
}

// At its shutdown an entry closes connections that wait for nothing, and no others.
func TestIdleConnectionsAreClosedAtShutdown(t *testing.T) {
	table := NewTable[string](unlimited())
	for key, phase := range map[string]Phase{"new": New, "idle": Idle, "headers": Headers, "body": Body} {
		open(t, table, at(0), key, phase)
	}
	require.Equal(t, []string{"idle"}, table.CloseIdle())
	require.Equal(t, 3, table.Len())
}

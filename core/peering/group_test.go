package peering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func message(from, incarnation string, version, revision uint64, known ...string) Message {
	return Message{From: from, Incarnation: incarnation, Version: version, Revision: revision, KnownPeers: known}
}

func TestEntriesFindEachOtherThroughSeeds(t *testing.T) {
	g := New("c:1", "here", "i", []string{"a:1", "c:1"})
	require.Equal(t, []string{"a:1"}, g.Addresses())
	require.Empty(t, g.Alive(start), "a seed may be stale")
	g.Observe(start, message("a:1", "x", 1, 1, "b:1", "c:1"))
	require.Equal(t, []string{"a:1", "b:1"}, g.Addresses())
	require.Equal(t, []string{"a:1"}, g.Alive(start))
	require.Empty(t, g.Alive(start.Add(AliveFor)))
}

// The dispatches of a killed entry would stay recorded and keep others off idle servers.
func TestARestartOfAnEntryIsNoticed(t *testing.T) {
	g := New("c:1", "here", "i", nil)
	heard := func(incarnation string) bool {
		return g.Observe(start, message("a:1", incarnation, 1, 1)).Restarted
	}
	require.False(t, heard("x"))
	require.False(t, heard("x"))
	require.True(t, heard("y"))
}

// An entry that was cut off or has just started lacks the current state.
func TestAnEntryThatMissedEventsIsNoticed(t *testing.T) {
	g := New("c:1", "here", "i", nil)
	missed := func(after time.Duration, incarnation string) bool {
		return g.Observe(start.Add(after), message("a:1", incarnation, 1, 1)).NeedsSync
	}
	require.True(t, missed(0, "x"), "it was never heard of")
	require.False(t, missed(HeartbeatInterval, "x"))
	require.True(t, missed(HeartbeatInterval+SuspectAfter, "x"))
	require.True(t, missed(HeartbeatInterval+SuspectAfter, "y"), "it has restarted")
}

// A starting entry knows no servers and could not record requests. The state is sent to it once it can.
func TestAStartingEntryIsSyncedOnceItServes(t *testing.T) {
	g := New("c:1", "here", "i", nil)
	starting := message("a:1", "x", 1, 1)
	starting.Starting = true
	require.Equal(t, Sender{Joined: true, Local: true}, g.Observe(start, starting))
	require.Equal(t, Sender{Local: true}, g.Observe(start, starting), "it joins once")
	require.Equal(t, Sender{NeedsSync: true, Local: true}, g.Observe(start, message("a:1", "x", 1, 1)))
	require.Equal(t, Sender{Local: true}, g.Observe(start, message("a:1", "x", 1, 1)))
}

// An entry that is cut off goes on serving its callers. The others suspect it after two missed heartbeats and
// take it for terminated later. An entry that announced its stop is not suspected.
func TestSuspectsAreEntriesThatMayStillServe(t *testing.T) {
	g := New("c:1", "here", "i", []string{"never:1"})
	g.Observe(start, message("a:1", "x", 1, 1))
	stopping := message("b:1", "x", 1, 1)
	stopping.Stopping = true
	g.Observe(start, stopping)
	suspects, all := g.Suspects(start.Add(SuspectAfter - time.Millisecond))
	require.Empty(t, suspects)
	require.ElementsMatch(t, []string{"a:1", "c:1"}, all)
	suspects, all = g.Suspects(start.Add(SuspectAfter))
	require.Equal(t, []string{"a:1"}, suspects)
	require.ElementsMatch(t, []string{"a:1", "c:1"}, all)
	suspects, all = g.Suspects(start.Add(FailedAfter))
	require.Empty(t, suspects)
	require.Equal(t, []string{"c:1"}, all)
}

// An entry that can't be heard still spends its share of the common retry budget; forgetting it must not raise
// the others' shares.
func TestTheSizeNeverShrinks(t *testing.T) {
	g := New("c:1", "here", "i", []string{"a:1"})
	g.Observe(start, message("b:1", "x", 1, 1))
	require.Equal(t, 3, g.Size())
	g.Forget(start.Add(ForgetAfter + time.Second))
	require.Equal(t, []string{"a:1"}, g.Addresses(), "seeds are kept")
	require.Equal(t, 3, g.Size())
}

func TestTheNewestViewIsFetched(t *testing.T) {
	g := New("c:1", "here", "i", nil)
	g.Observe(start, message("a:1", "x", 4, 9))
	g.Observe(start, message("b:1", "x", 5, 7))
	peer, ok := g.NewerPeer(start, 4, 8, false)
	require.True(t, ok)
	require.Equal(t, "b:1", peer)
	_, ok = g.NewerPeer(start, 5, 8, false)
	require.False(t, ok)
	peer, ok = g.NewerPeer(start, 5, 8, true)
	require.True(t, ok, "the list of servers is newer there")
	require.Equal(t, "a:1", peer)
	_, ok = g.NewerPeer(start.Add(AliveFor), 0, 0, true)
	require.False(t, ok, "nobody is heard")
}

// The full member list goes to a few entries at a time; within some heartbeats each has had it. Entries with an
// equal digest get no list: lists that all know already were most of the bytes within a zone of hundreds.
func TestMemberListsReachAllInTurns(t *testing.T) {
	g := New("self:1", "here", "i", nil)
	for _, address := range numberedNames("e", 28) {
		g.Observe(start, heartbeatFrom(address, "here"))
	}
	sent := map[string]bool{}
	for turn := range 14 {
		targets := g.HeartbeatTargets(start, turn)
		require.Len(t, targets.WithMembers, memberListsPerHeartbeat)
		require.Len(t, targets.Local, 28)
		for _, address := range targets.WithMembers {
			sent[address] = true
		}
	}
	require.Len(t, sent, 28)
	for _, address := range numberedNames("e", 27) {
		agrees := heartbeatFrom(address, "here")
		agrees.Digest = g.Digest(start)
		g.Observe(start, agrees)
	}
	for turn := range 14 {
		require.Equal(t, numberedNames("e", 28)[27:], g.HeartbeatTargets(start, turn).WithMembers)
	}
	targets := New("self:1", "here", "i", []string{"a:1"}).HeartbeatTargets(start, 7)
	require.Equal(t, []string{"a:1"}, targets.WithMembers)
}

// Two entries that hear the same others, and each other, must compute the same digest.
func TestEntriesThatHearTheSameHaveEqualDigests(t *testing.T) {
	a, b := New("a:1", "here", "i", nil), New("b:1", "here", "i", nil)
	for _, address := range numberedNames("e", 5) {
		a.Observe(start, heartbeatFrom(address, "here"))
		b.Observe(start, heartbeatFrom(address, "here"))
	}
	require.NotEqual(t, a.Digest(start), b.Digest(start), "they have not heard each other")
	a.Observe(start, heartbeatFrom("b:1", "here"))
	b.Observe(start, heartbeatFrom("a:1", "here"))
	require.Equal(t, a.Digest(start), b.Digest(start))
	b.Observe(start, heartbeatFrom("more:1", "here"))
	require.NotEqual(t, a.Digest(start), b.Digest(start))
}

// Entries are restarted in turn faster than they drain, so that all are stopping at once. A caller that one
// refuses would be refused by the next as well; it has to come back when the first of them serves again.
func TestWhenTheNextEntryServes(t *testing.T) {
	const limit = 8 * time.Second
	stopping := func(from string) Message {
		m := message(from, "x", 1, 1)
		m.Stopping = true
		return m
	}
	g := New("c:1", "here", "i", []string{"never:1"})
	_, ok := g.TimeToNextServing(start, limit)
	require.False(t, ok, "nobody else is known")
	g.Observe(start, stopping("a:1"))
	g.Observe(start.Add(2*time.Second), stopping("b:1"))
	g.Observe(start.Add(2*time.Second), stopping("a:1"))
	wait, ok := g.TimeToNextServing(start.Add(3*time.Second), limit)
	require.True(t, ok)
	require.Equal(t, 5*time.Second+RestartTime+BalancerDelay, wait, "the first stop ends first")

	starting := message("a:1", "y", 1, 1)
	starting.Starting = true
	g.Observe(start.Add(4*time.Second), starting)
	wait, _ = g.TimeToNextServing(start.Add(4*time.Second), limit)
	require.Equal(t, RestartTime+BalancerDelay, wait)
	serving := start.Add(4500 * time.Millisecond)
	g.Observe(serving, message("a:1", "y", 1, 1))
	wait, _ = g.TimeToNextServing(serving, limit)
	require.Equal(t, BalancerDelay, wait, "the balancer has not noticed yet")
	g.Observe(serving.Add(BalancerDelay), message("a:1", "y", 1, 1))
	wait, _ = g.TimeToNextServing(serving.Add(BalancerDelay), limit)
	require.Zero(t, wait)
	g.Observe(start.Add(6*time.Second), stopping("a:1"))
	wait, _ = g.TimeToNextServing(start.Add(6*time.Second), limit)
	require.Equal(t, 4*time.Second+RestartTime+BalancerDelay, wait, "the other one's stop ends first")
}

package peering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func message(from, incarnation string, version, revision uint64, known ...string) Message {
	return Message{From: from, Incarnation: incarnation, Version: version, Revision: revision, Known: known}
}

func TestEntriesFindEachOtherThroughSeeds(t *testing.T) {
	g := New("c:1", "i", []string{"a:1", "c:1"})
	require.Equal(t, []string{"a:1"}, g.Addresses())
	require.Empty(t, g.Alive(start), "a seed may be stale")
	g.Heard(start, message("a:1", "x", 1, 1, "b:1", "c:1"))
	require.Equal(t, []string{"a:1", "b:1"}, g.Addresses())
	require.Equal(t, []string{"a:1"}, g.Alive(start))
	require.Empty(t, g.Alive(start.Add(AliveAfter)))
}

// The dispatches of an entry that was killed would stay booked and keep others off
// servers that are free.
func TestANewStartOfAnEntryIsNoticed(t *testing.T) {
	g := New("c:1", "i", nil)
	require.False(t, g.Heard(start, message("a:1", "x", 1, 1)))
	require.False(t, g.Heard(start, message("a:1", "x", 1, 1)))
	require.True(t, g.Heard(start, message("a:1", "y", 1, 1)))
}

// An entry that can't be heard still spends its part of the shared budget of
// retries; forgetting it must not raise the parts of the others.
func TestTheSizeNeverShrinks(t *testing.T) {
	g := New("c:1", "i", []string{"a:1"})
	g.Heard(start, message("b:1", "x", 1, 1))
	require.Equal(t, 3, g.Size())
	g.Forget(start.Add(ForgetAfter + time.Second))
	require.Equal(t, []string{"a:1"}, g.Addresses(), "seeds are kept")
	require.Equal(t, 3, g.Size())
}

func TestTheNewestViewIsFetched(t *testing.T) {
	g := New("c:1", "i", nil)
	g.Heard(start, message("a:1", "x", 4, 9))
	g.Heard(start, message("b:1", "x", 5, 7))
	peer, ok := g.Newer(start, 4, 8, false)
	require.True(t, ok)
	require.Equal(t, "b:1", peer)
	_, ok = g.Newer(start, 5, 8, false)
	require.False(t, ok)
	peer, ok = g.Newer(start, 5, 8, true)
	require.True(t, ok, "the list of servers is newer there")
	require.Equal(t, "a:1", peer)
	_, ok = g.Newer(start.Add(AliveAfter), 0, 0, true)
	require.False(t, ok, "nobody is heard")
}

package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func row(id string, revision uint64, leaving bool) Server {
	return Server{ID: id, Service: "engines", Address: "10.0.0.1:1", Revision: revision, Leaving: leaving}
}

func names(servers []Server) []string {
	var ids []string
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}

// A caller would be sent to a server that has left. A peer whose view is old, or a
// watch that repeats what was listed, brings the row from before the removal.
func TestAnOldRowDoesNotBringBackAServerThatLeft(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 5, false))
	d.Remove("a", 9)
	_, changed := d.Upsert(row("a", 8, false))
	require.False(t, changed)
	require.Empty(t, d.Available("engines"))
	_, changed = d.Upsert(row("a", 12, false))
	require.True(t, changed, "a row written after the removal is news")
	require.Equal(t, []string{"a"}, names(d.Available("engines")))
}

func TestAnOldRemovalDoesNotTakeAwayANewerRow(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 12, false))
	_, changed := d.Remove("a", 9)
	require.False(t, changed)
	require.Len(t, d.Available("engines"), 1)
}

// A server that announced its leaving gets no new work, whatever order its rows
// arrive in.
func TestLeavingSticks(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 5, false))
	d.Upsert(row("a", 7, true))
	d.Upsert(row("a", 6, false))
	require.Empty(t, d.Available("engines"))
	d.Upsert(row("a", 8, false))
	require.Empty(t, d.Available("engines"), "leaving holds for one start of a server")
	server, known := d.Get("a")
	require.True(t, known)
	require.True(t, server.Leaving)
}

// While the platform is away the rows of living servers lapse. The first list after
// its return misses them; they come back within two seconds. Without the grace the
// whole fleet would be dropped at once and every caller refused.
func TestMissingRowsGetAGraceAfterAnOutageOnly(t *testing.T) {
	d := New(Options{})
	d.Replace(start, []Server{row("a", 1, false), row("b", 2, false)}, 2, false)
	d.Replace(start, nil, 10, true)
	require.Len(t, d.Available("engines"), 2)
	d.Upsert(row("b", 11, false))
	require.Empty(t, d.Expire(start.Add(DefaultReturnGrace-time.Millisecond), 11))
	changes := d.Expire(start.Add(DefaultReturnGrace), 11)
	require.Len(t, changes, 1)
	require.Equal(t, "a", changes[0].Server)
	require.Equal(t, []string{"b"}, names(d.Available("engines")))

	d.Replace(start, nil, 20, false)
	require.Empty(t, d.Available("engines"), "without an outage a missing row is gone")
}

// One entry alone was cut off while a server left. The list that it reads afterwards
// misses that server only; the grace would keep work going to it for two seconds more.
func TestASingleMissingRowIsGoneAlsoAfterAnOutage(t *testing.T) {
	d := New(Options{})
	rows := []Server{row("a", 1, false), row("b", 2, false), row("c", 3, false), row("d", 4, false)}
	d.Replace(start, rows, 4, false)
	changes := d.Replace(start, rows[1:], 9, true)
	require.Len(t, changes, 1)
	require.Equal(t, []string{"b", "c", "d"}, names(d.Available("engines")))
}

func TestAListKeepsWhatIsNewerThanItself(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 30, false))
	d.Replace(start, nil, 20, false)
	require.Len(t, d.Available("engines"), 1)
}

package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func row(id string, revision uint64, leaving bool) Server {
	return Server{ID: id, Service: "engines", Address: "10.0.0.1:1", Revision: revision, Draining: leaving}
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
	require.True(t, server.Draining)
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

func born(id string, at int64, revision uint64, leaving bool) Server {
	server := row(id, revision, leaving)
	server.StartedAtMs = at
	return server
}

func starts(servers []Server) []string { return IncarnationIDs(servers) }

// A server announces that it leaves, crashes, and starts again under its identifier. The
// new start has announced nothing; kept as leaving it would stay empty for ever.
func TestANewStartUnderTheSameIdentifierIsNotLeaving(t *testing.T) {
	d := New(Options{})
	d.Upsert(born("a", 100, 5, true))
	require.Empty(t, d.Available("engines"))
	change, changed := d.Upsert(born("a", 200, 6, false))
	require.True(t, changed)
	require.Equal(t, "started anew", change.Why)
	require.Equal(t, []string{"a@5k"}, starts(d.Available("engines")))
	require.True(t, d.Superseded("a@2s"))
	require.False(t, d.Superseded("a@5k"))
	require.False(t, d.Superseded("b@2s"), "a server that is not listed may live")
}

// A row that the dead start wrote arrives after the new one's, and a notice that the dead
// one leaves after it: neither may end the new start, nor send it the dead one's callers.
func TestALateRowOfADeadStartChangesNothing(t *testing.T) {
	d := New(Options{})
	d.Upsert(born("a", 200, 5, false))
	_, changed := d.Upsert(born("a", 100, 6, true))
	require.False(t, changed)
	require.Equal(t, []string{"a@5k"}, starts(d.Available("engines")))
	d.Remove("a", 7)
	_, changed = d.Upsert(born("a", 100, 8, false))
	require.False(t, changed, "also after the new one has gone")
	_, changed = d.Upsert(born("a", 200, 9, false))
	require.True(t, changed)
}

// A start announces that it leaves and its row goes. A row that it wrote before lands late
// and brings it back: callers would be sent to a server that is about to end.
func TestAStartThatLeavesStaysLeavingWhenALateRowBringsItBack(t *testing.T) {
	d := New(Options{})
	d.Upsert(born("a", 100, 5, true))
	d.Remove("a", 6)
	d.Upsert(born("a", 100, 7, false))
	require.Empty(t, d.Available("engines"))
	d.Upsert(born("a", 300, 8, false))
	require.Len(t, d.Available("engines"), 1)
}

// Somebody else writes over a good row: the address there may be another's by now. The
// server's own next row brings it back, and is not held for one that leaves.
func TestARowThatCanNotBeReadNamesNoServer(t *testing.T) {
	d := New(Options{})
	d.Upsert(born("a", 100, 5, false))
	d.Upsert(born("b", 100, 5, false))
	_, changed := d.Reject("a", 4)
	require.False(t, changed, "the good row is newer")
	change, changed := d.Reject("a", 6)
	require.True(t, changed)
	require.Equal(t, "its row can't be used", change.Why)
	require.Equal(t, []string{"b"}, names(d.Available("engines")))
	d.Upsert(born("a", 100, 7, false))
	require.Equal(t, []string{"a", "b"}, names(d.Available("engines")))
	d.Upsert(row("a", 8, false))
	require.Equal(t, []string{"b"}, names(d.Available("engines")), "a row without the birth is not the server's own")
}

// Another entry tells of a request at a start of which no row has arrived here, or at one
// that is dead by now.
func TestNamesOfStartsAreLookedUp(t *testing.T) {
	d := New(Options{})
	d.Upsert(born("a", 200, 5, false))
	d.Upsert(row("b", 5, false))
	for start, known := range map[string]bool{"a@5k": true, "a@8c": true, "a": true, "a@2s": false, "b": true, "c": false} {
		_, ok := d.Lookup(start)
		require.Equal(t, known, ok, start)
	}
	require.True(t, d.IsCurrent("a@5k"))
	require.False(t, d.IsCurrent("a@8c"))
}

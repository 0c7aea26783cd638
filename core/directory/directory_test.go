package directory

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func row(id string, revision uint64, draining bool) Server {
	return Server{ID: id, Service: "engines", Address: "10.0.0.1:1", Revision: revision, Draining: draining}
}

func names(servers []Server) []string {
	var ids []string
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}

// A lagging peer, or a watch event that repeats what was listed, delivers a row from before the removal.
// Callers would be sent to a server that is gone.
func TestAnOldRowDoesNotRestoreARemovedServer(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 5, false))
	d.Remove("a", 9)
	_, changed := d.Upsert(row("a", 8, false))
	require.False(t, changed)
	require.Empty(t, d.Available("engines"))
	_, changed = d.Upsert(row("a", 12, false))
	require.True(t, changed, "a row written after the removal counts")
	require.Equal(t, []string{"a"}, names(d.Available("engines")))
}

func TestAnOldRemovalDoesNotTakeAwayANewerRow(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 12, false))
	_, changed := d.Remove("a", 9)
	require.False(t, changed)
	require.Len(t, d.Available("engines"), 1)
}

// A server that announced that it drains gets no new work, in whatever order its rows arrive.
func TestDrainingPersistsForAnIncarnation(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 5, false))
	d.Upsert(row("a", 7, true))
	d.Upsert(row("a", 6, false))
	require.Empty(t, d.Available("engines"))
	d.Upsert(row("a", 8, false))
	require.Empty(t, d.Available("engines"), "draining persists for one incarnation of a server")
	server, known := d.Get("a")
	require.True(t, known)
	require.True(t, server.Draining)
}

// While the platform is down the rows of running servers expire. The first list after its return misses them;
// they come back within two seconds. Without the grace period the whole fleet would be dropped at once and
// every caller refused.
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
	require.Empty(t, d.Available("engines"), "without an outage a missing row means removal")
}

// One entry alone was cut off while a server was removed. The next list misses that server only; with the
// grace period it would get work for two more seconds.
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

func incarnation(id string, at int64, revision uint64, draining bool) Server {
	server := row(id, revision, draining)
	server.StartedAtMs = at
	return server
}

func incarnations(servers []Server) []string { return IncarnationIDs(servers) }

// A server announces that it drains, crashes, and restarts under its identifier. The new incarnation has
// announced nothing; if it counted as draining it would never get work.
func TestARestartUnderTheSameIdentifierIsNotDraining(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 100, 5, true))
	require.Empty(t, d.Available("engines"))
	change, changed := d.Upsert(incarnation("a", 200, 6, false))
	require.True(t, changed)
	require.Equal(t, "started anew", change.Why)
	require.Equal(t, []string{"a@5k"}, incarnations(d.Available("engines")))
	require.True(t, d.Superseded("a@2s"))
	require.False(t, d.Superseded("a@5k"))
	require.False(t, d.Superseded("b@2s"), "a server that is not listed may still run")
}

// A row that the ended incarnation wrote, and the announcement that it drains, arrive after the new
// incarnation's row. Neither may stop the new incarnation, nor send it the other one's callers.
func TestALateRowOfAnEndedIncarnationChangesNothing(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 200, 5, false))
	_, changed := d.Upsert(incarnation("a", 100, 6, true))
	require.False(t, changed)
	require.Equal(t, []string{"a@5k"}, incarnations(d.Available("engines")))
	d.Remove("a", 7)
	_, changed = d.Upsert(incarnation("a", 100, 8, false))
	require.False(t, changed, "also after the new one was removed")
	_, changed = d.Upsert(incarnation("a", 200, 9, false))
	require.True(t, changed)
}

// An incarnation announces that it drains, and its row is removed. A row that it wrote before arrives late
// and brings it back: callers would be sent to a server that is about to shut down.
func TestADrainingIncarnationStaysDrainingAfterALateRow(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 100, 5, true))
	d.Remove("a", 6)
	d.Upsert(incarnation("a", 100, 7, false))
	require.Empty(t, d.Available("engines"))
	d.Upsert(incarnation("a", 300, 8, false))
	require.Len(t, d.Available("engines"), 1)
}

// Another writer overwrites a valid row: the address there may belong to another server by now. The server's
// own next row brings it back, and does not count as draining.
func TestARowThatCanNotBeReadNamesNoServer(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 100, 5, false))
	d.Upsert(incarnation("b", 100, 5, false))
	_, changed := d.Reject("a", 4)
	require.False(t, changed, "the valid row is newer")
	change, changed := d.Reject("a", 6)
	require.True(t, changed)
	require.Equal(t, "its row can't be used", change.Why)
	require.Equal(t, []string{"b"}, names(d.Available("engines")))
	d.Upsert(incarnation("a", 100, 7, false))
	require.Equal(t, []string{"a", "b"}, names(d.Available("engines")))
	d.Upsert(row("a", 8, false))
	require.Equal(t, []string{"b"}, names(d.Available("engines")), "a row without the start time is not the server's own")
}

// A peer reports a request at an incarnation of which no row has arrived here, or at one that has ended.
func TestLookupOfIncarnationIDs(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 200, 5, false))
	d.Upsert(row("b", 5, false))
	for id, known := range map[string]bool{"a@5k": true, "a@8c": true, "a": true, "a@2s": false, "b": true, "c": false} {
		_, ok := d.Lookup(id)
		require.Equal(t, known, ok, id)
	}
	require.True(t, d.IsCurrent("a@5k"))
	require.False(t, d.IsCurrent("a@8c"))
}

func TestAServerThatStatesItIsLeavingStaysDraining(t *testing.T) {
	d := New(Options{})
	d.Upsert(row("a", 5, false))
	change, changed := d.RecordLeaving("a")
	require.True(t, changed)
	require.Equal(t, "leaving", change.To)
	_, changed = d.RecordLeaving("a")
	require.False(t, changed, "known")
	require.Empty(t, d.Available("engines"))
	require.Equal(t, []string{"a"}, d.StatedLeaving("engines"))
	d.Upsert(row("a", 7, false))
	require.Empty(t, d.Available("engines"), "a later row does not know it yet")
	d.Remove("a", 8)
	d.Upsert(row("a", 9, false))
	require.Empty(t, d.Available("engines"), "its row had expired while the platform was down")
	d.Replace(start, []Server{row("a", 10, false)}, 10, true)
	require.Empty(t, d.Available("engines"))
}

func TestAStatementOfARemovedServerHoldsIfItReturns(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 100, 5, false))
	d.Remove("a", 6)
	_, changed := d.RecordLeaving("a@" + strconv.FormatInt(100, startTimeBase))
	require.False(t, changed, "it is not listed")
	d.Upsert(incarnation("a", 100, 7, false))
	require.Empty(t, d.Available("engines"))
}

func TestAStatementOfLeavingHoldsForOneIncarnation(t *testing.T) {
	d := New(Options{})
	d.Upsert(incarnation("a", 100, 5, false))
	first := d.All()[0].IncarnationID()
	d.RecordLeaving(first)
	d.Upsert(incarnation("a", 300, 6, false))
	require.Len(t, d.Available("engines"), 1, "the next incarnation")
	_, changed := d.RecordLeaving(first)
	require.False(t, changed, "a late response of the earlier one")
	require.Len(t, d.Available("engines"), 1)
	require.Empty(t, d.StatedLeaving("engines"))
}

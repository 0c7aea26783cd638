package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/config"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/process"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/platform"
)

// startZone starts entries of one zone with limits that allow few store readers.
func (w *testbed) startZone(count int) []*Server {
	var entries []*Server
	for range count {
		var seeds []string
		if len(entries) > 0 {
			seeds = []string{entries[0].settings.PeerAddress}
		}
		settings := w.newSettings(seeds...)
		settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
		entry := w.start(settings)
		w.eventually("the entry is ready", func() bool { return entry.manager.State() == lifecycle.Serving && w.isCurrent(entry) })
		entries = append(entries, entry)
	}
	return entries
}

func countReaders(entries []*Server) int {
	count := 0
	for _, s := range entries {
		if s.reader.State(time.Now()).Reads {
			count++
		}
	}
	return count
}

func countViewsFetched(entries []*Server) int64 {
	count := int64(0)
	for _, s := range entries {
		count += s.traffic.ViewsFetched()
	}
	return count
}

// Of four entries in a zone one watches the store, and the others learn from it of a new server, a
// draining one and a configuration. Callers get the same responses at all of them.
func TestFewEntriesReadTheStoreAndAllAreCurrent(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	first := w.worker("i-1", "plain", nil)
	entries := w.startZone(4)
	w.eventually("one of them reads", func() bool { return countReaders(entries) == 1 })
	w.worker("i-2", "plain", nil)
	w.configure(nil)
	for _, s := range entries {
		w.eventually("the new server and configuration are known", func() bool { return w.isCurrent(s) })
	}
	fetched := countViewsFetched(entries)
	w.store.Put(first.Row("draining"))
	for _, s := range entries {
		w.eventually("the draining is known", func() bool { return len(w.availableServers(s, "plain")) == 1 })
	}
	require.Equal(t, fetched, countViewsFetched(entries), "the reader has sent the row itself")
	for _, s := range entries {
		require.Equal(t, "answer of i-2", w.call(s, http.MethodGet, "/read/", 0, "").body)
	}
	require.Equal(t, 1, countReaders(entries))
}

// Entries start before the store holds a configuration. The readers can't serve yet; they were not
// counted as readers, and ever more entries read the store until there was a configuration.
func TestFewEntriesReadAnEmptyStore(t *testing.T) {
	w := newTestbed(t)
	w.store.Put("op/other", struct{}{})
	var entries []*Server
	var seeds []string
	for range 8 {
		settings := w.newSettings(seeds...)
		settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
		entries = append(entries, w.start(settings))
		seeds = []string{entries[0].settings.PeerAddress}
	}
	w.eventually("an entry reads", func() bool { return countReaders(entries) > 0 })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		require.LessOrEqual(t, countReaders(entries), 2)
	}
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	for _, s := range entries {
		w.eventually("it serves", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	}
	w.eventually("one of them keeps reading", func() bool { return countReaders(entries) == 1 })
}

// A datagram with changes is lost. The entry must not consider its list complete up to the later
// revision: it fetches the reader's view when it learns of that revision.
func TestALostUpdateIsDetected(t *testing.T) {
	w := newTestbed(t)
	s := New(Options{Settings: w.newSettings(), Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)}) // not started
	row := func(id string, revision uint64) directory.Server {
		return directory.Server{ID: id, Service: "plain", Address: "127.0.0.1:1", Zone: "here", Slots: 1, Revision: revision}
	}
	s.replaceServers(platform.Changes{Revision: 10, Servers: []directory.Server{row("i-1", 9)}}, false)
	s.applyUpdate(peering.Update{BaseRevision: 12, UpToRevision: 13, Servers: []directory.Server{row("i-3", 13)}}, "peer")
	require.EqualValues(t, 10, s.position())
	require.Len(t, w.availableServers(s, "plain"), 2, "the row applies all the same")
	s.applyUpdate(peering.Update{BaseRevision: 10, UpToRevision: 12, Tombstones: []directory.Tombstone{{ID: "i-1", Revision: 11}}}, "peer")
	require.EqualValues(t, 12, s.position())
	require.Len(t, w.availableServers(s, "plain"), 1)
	s.applyUpdate(peering.Update{BaseRevision: 12, UpToRevision: 13}, "peer")
	require.EqualValues(t, 13, s.position())
	require.True(t, s.reader.UpdateReading(time.Now()), "with a limit of changes of two seconds all entries read")
	s.applyUpdate(peering.Update{BaseRevision: 13, UpToRevision: 14}, "peer")
	require.EqualValues(t, 13, s.position(), "a store reader relies on its own watch: the update holds no configuration")
}

// A server is removed while an entry is cut off from the zone, and the next entry that it hears has
// started since and never knew the server. Its view is complete all the same.
func TestALaterViewIsComplete(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	w.worker("i-2", "plain", nil)
	s := w.serve()
	kept := w.availableServers(s, "plain")[1:]
	s.applyView(peerlink.View{Servers: kept, Revision: s.position()}, "as old", true)
	require.Len(t, w.availableServers(s, "plain"), 2)
	s.applyView(peerlink.View{Servers: kept, Revision: s.position() + 1}, "later", true)
	require.Equal(t, kept, w.availableServers(s, "plain"))
}

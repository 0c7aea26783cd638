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
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// zone starts entries of one zone whose bounds leave room for few readers of the store.
func (w *world) zone(count int) []*Server {
	var entries []*Server
	for range count {
		var seeds []string
		if len(entries) > 0 {
			seeds = []string{entries[0].settings.PeerAddress}
		}
		settings := w.settings(seeds...)
		settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
		entry := w.start(settings)
		w.eventually("the entry is ready", func() bool { return entry.manager.State() == lifecycle.Serving && w.known(entry) })
		entries = append(entries, entry)
	}
	return entries
}

func readers(entries []*Server) int {
	count := 0
	for _, s := range entries {
		if s.storeState(time.Now()).Reads {
			count++
		}
	}
	return count
}

func viewsFetched(entries []*Server) int64 {
	count := int64(0)
	for _, s := range entries {
		count += s.counters.viewsFetched.Count()
	}
	return count
}

// Four entries of a zone: one of them watches the store, and the others learn from it of a
// server that comes, one that leaves and a configuration. Callers meet the same everywhere.
func TestFewEntriesReadTheStoreAndAllKnow(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	first := w.worker("i-1", "plain", nil)
	entries := w.zone(4)
	w.eventually("one of them reads", func() bool { return readers(entries) == 1 })
	w.worker("i-2", "plain", nil)
	w.configure(nil)
	for _, s := range entries {
		w.eventually("the new server and configuration are known", func() bool { return w.known(s) })
	}
	fetched := viewsFetched(entries)
	w.store.Put(first.Row("draining"))
	for _, s := range entries {
		w.eventually("the leaving is known", func() bool { return len(w.available(s, "plain")) == 1 })
	}
	require.Equal(t, fetched, viewsFetched(entries), "the reader has told of the row itself")
	for _, s := range entries {
		require.Equal(t, "answer of i-2", w.call(s, http.MethodGet, "/read/", 0, "").body)
	}
	require.Equal(t, 1, readers(entries))
}

// Entries start before the store holds a configuration. Those that read don't serve then; they did not count as readers, and
// ever more entries read until there was one.
func TestFewEntriesReadAStoreThatHoldsNothingYet(t *testing.T) {
	w := newWorld(t)
	w.store.Put("op/other", struct{}{})
	var entries []*Server
	var seeds []string
	for range 8 {
		settings := w.settings(seeds...)
		settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
		entries = append(entries, w.start(settings))
		seeds = []string{entries[0].settings.PeerAddress}
	}
	w.eventually("somebody reads", func() bool { return readers(entries) > 0 })
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		require.LessOrEqual(t, readers(entries), 2)
	}
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	for _, s := range entries {
		w.eventually("it serves", func() bool { return s.manager.State() == lifecycle.Serving && w.known(s) })
	}
	w.eventually("one of them goes on reading", func() bool { return readers(entries) == 1 })
}

// A datagram with changes is lost. The entry must not believe that its list is complete up
// to the later revision: it fetches the reader's view when it hears of that revision.
func TestALostUpdateIsNoticed(t *testing.T) {
	w := newWorld(t)
	s := New(Options{Settings: w.settings(), Log: process.Quiet(), Trail: audit.NewTrail(nil, 100)}) // not started
	row := func(id string, revision uint64) directory.Server {
		return directory.Server{ID: id, Service: "plain", Address: "127.0.0.1:1", Zone: "here", Slots: 1, Revision: revision}
	}
	s.replaceServers(platform.Changes{Revision: 10, Servers: []directory.Server{row("i-1", 9)}}, false)
	s.takeUpdate(peering.Update{Base: 12, Upto: 13, Servers: []directory.Server{row("i-3", 13)}}, "peer")
	require.EqualValues(t, 10, s.position())
	require.Len(t, w.available(s, "plain"), 2, "what was told is true all the same")
	s.takeUpdate(peering.Update{Base: 10, Upto: 12, Gone: []directory.Tombstone{{ID: "i-1", Revision: 11}}}, "peer")
	require.EqualValues(t, 12, s.position())
	require.Len(t, w.available(s, "plain"), 1)
	s.takeUpdate(peering.Update{Base: 12, Upto: 13}, "peer")
	require.EqualValues(t, 13, s.position())
	s.reading = true
	s.takeUpdate(peering.Update{Base: 13, Upto: 14}, "peer")
	require.EqualValues(t, 13, s.position(), "a reader of the store rests on its own watch: the update holds no configuration")
}

// Many rows change at once. They go out in parts that fit a packet, and each part begins
// where the one before it ends.
func TestUpdatesAreToldInPartsWithoutGaps(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	s := w.start(w.settings())
	var changes platform.Changes
	for i := range 20 {
		worker := standin.ServerRow("plain", "127.0.0.1:1", "ready")
		w.store.Put("servers/i-"+string(rune('a'+i)), worker)
	}
	w.eventually("all are known", func() bool { return len(w.available(s, "plain")) == 20 })
	for _, server := range w.available(s, "plain") {
		changes.Servers = append(changes.Servers, server)
		changes.Revision = max(changes.Revision, server.Revision)
	}
	changes.Revision += 5
	updates := s.updates(1, changes)
	require.Len(t, updates, 3)
	at, rows := uint64(1), 0
	for _, update := range updates {
		require.Equal(t, at, update.Base)
		for _, server := range update.Servers {
			require.Greater(t, server.Revision, update.Base)
			require.LessOrEqual(t, server.Revision, update.Upto)
		}
		at, rows = update.Upto, rows+len(update.Servers)
		message := peering.Message{From: "127.127.127.127:65535", Update: &update}
		data, err := peering.Encode(message)
		require.NoError(t, err)
		require.Less(t, len(data), 1400)
	}
	require.Equal(t, changes.Revision, at)
	require.Equal(t, 20, rows)
}

// A server leaves while an entry is cut off from the zone, and the one that it hears next
// has started since: it never knew the server. Its view is complete all the same.
func TestALaterViewIsComplete(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	w.worker("i-2", "plain", nil)
	s := w.serve()
	kept := w.available(s, "plain")[1:]
	s.adoptView(view{Servers: kept, Revision: s.position()}, "as old", true)
	require.Len(t, w.available(s, "plain"), 2)
	s.adoptView(view{Servers: kept, Revision: s.position() + 1}, "later", true)
	require.Equal(t, kept, w.available(s, "plain"))
}

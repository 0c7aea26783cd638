package gateway

import (
	"net"
	"net/http"
	"slices"
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

// Guards against entries that start gradually and all read the store, because they don't learn of the reads that are
// under way until the next heartbeat.
func TestAnEntryAnnouncesItsFirstRead(t *testing.T) {
	w := newTestbed(t)
	w.store.FailWith(http.StatusServiceUnavailable)
	conn, err := net.ListenPacket("udp", loopbackHost()+":0")
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	settings := w.newSettings(conn.LocalAddr().String())
	settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
	s := w.start(settings)
	s.peers.HandleMessage(time.Now(), peering.Message{From: conn.LocalAddr().String(), Zone: settings.Zone, Incarnation: "x", Starting: true})
	buffer := make([]byte, 64<<10)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	for {
		n, _, err := conn.ReadFrom(buffer)
		require.NoError(t, err, "no read was announced")
		m, err := peering.Decode(buffer[:n])
		require.NoError(t, err)
		require.Positive(t, m.StartAge)
		if m.FirstReadAge > 0 {
			require.Less(t, m.FirstReadAge, peering.HeartbeatInterval.Milliseconds()/2)
			require.Less(t, m.FirstReadAge, m.StartAge)
			return
		}
	}
}

// Guards against a zone that serves only once its last entry has started: each new member restarted the wait for a
// settled rank. Entries start 25 ms apart until one of them serves; counted in starts instead of time, the bound holds on
// a busy machine. The target of 100 ms until the first read, and the store's answer, take about five starts.
func TestAZoneServesBeforeItsLastEntryStarts(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	const maxStarts = 12 // within 300 ms
	first := w.newSettings()
	var entries []*Server
	serving := func() bool {
		return slices.ContainsFunc(entries, func(s *Server) bool { return s.manager.State() == lifecycle.Serving })
	}
	for !serving() {
		require.Less(t, len(entries), maxStarts, "no entry serves yet")
		settings := first
		if len(entries) > 0 {
			settings = w.newSettings()
		}
		settings.Seeds = []string{first.PeerAddress}
		settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
		entries = append(entries, w.start(settings))
		time.Sleep(25 * time.Millisecond)
	}
	startedAt := time.Now()
	for _, s := range entries {
		w.eventually("the others serve", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	}
	t.Logf("one of %d entries serves, the others %s later", len(entries), time.Since(startedAt))
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

package gateway

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// workerIn adds a backend server in a zone.
func (w *testbed) workerIn(zone, id, service string, script http.HandlerFunc) *standin.Worker {
	worker := standin.NewWorker(zone+"-"+id, service)
	worker.Script, worker.Zone = script, zone
	w.addRow(worker)
	return worker
}

// isEvacuated reports whether an entry sends no new requests to a zone.
func (s *Server) isEvacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuation.IsEvacuated(zone)
}

// Operators evacuate a zone. Requests of every kind still reached its servers, since no entry read
// the evacuation; the entries here include ones that do not read the store themselves, and one that
// starts meanwhile. Open requests finish in the zone, and it is used again once the evacuation is
// revoked.
func TestAnEvacuatedZoneGetsNoNewRequests(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	released, begun := make(chan struct{}), make(chan struct{}, 16)
	release := sync.OnceFunc(func() { close(released) })
	slow := func(out http.ResponseWriter, r *http.Request) {
		standin.WriteEvents(out, 1, 1)
		begun <- struct{}{}
		<-released
		standin.WriteEvents(out, 2, 2)
	}
	first := w.workerIn("there", "engine", "engines", slow)
	t.Cleanup(release)
	entries := w.startZone(4)
	open := make(chan reply, 1)
	go func() { open <- w.call(entries[2], http.MethodPost, "/stream/x", 2000, "under way") }()
	<-begun
	w.workerIn("there", "plain", "plain", nil)
	w.workerIn("here", "engine", "engines", events)
	w.workerIn("here", "helper", "engines", events)
	w.workerIn("here", "plain", "plain", nil)
	w.store.Evacuate("there", true)
	known := func() bool {
		return !slices.ContainsFunc(entries, func(s *Server) bool { return !s.isEvacuated("there") || !w.isCurrent(s) })
	}
	w.eventually("all entries know", known)
	started := w.start(w.newSettings(entries[3].settings.PeerAddress))
	w.eventually("an entry has started since", func() bool { return started.manager.State() == lifecycle.Serving && w.isCurrent(started) })
	for _, s := range append(entries, started) {
		for range 3 {
			require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/x", 200_000, "prompt").status)
			require.Equal(t, 200, w.call(s, http.MethodPost, "/order/x", 0, "order").status)
			require.Equal(t, 200, w.call(s, http.MethodGet, "/read/x", 0, "").status)
		}
	}
	require.Equal(t, 1, w.runsIn("there"))
	require.Empty(t, first.Orders())
	require.Equal(t, map[string]int{"there": 1}, entries[2].countOpenInEvacuated())
	release()
	require.Equal(t, 200, (<-open).status, "open requests finish")
	w.eventually("the zone is empty", func() bool { return entries[2].countOpenInEvacuated()["there"] == 0 })
	w.store.Evacuate("there", false)
	w.eventually("all know that the evacuation is revoked", func() bool {
		return !slices.ContainsFunc(entries, func(s *Server) bool { return s.isEvacuated("there") })
	})
	require.Len(t, w.availableServers(entries[0], "engines"), 3)
}

func (s *Server) countOpenInEvacuated() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openInEvacuated()
}

// All zones are evacuated. Callers learn at once that nothing has run, instead of waiting for
// servers that may not be used.
func TestWhereAllZonesAreEvacuatedCallersAreRefusedAtOnce(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.workerIn("there", "plain", "plain", nil)
	w.workerIn("here", "engine", "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) })
	s := w.serve()
	w.store.Evacuate("here", true)
	w.store.Evacuate("there", true)
	w.eventually("both are known", func() bool { return s.isEvacuated("here") && s.isEvacuated("there") })
	began := time.Now()
	for _, r := range []reply{w.call(s, http.MethodPost, "/stream/x", 2000, "x"), w.call(s, http.MethodGet, "/read/x", 0, "")} {
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, "notRun", problemOf(t, r).Run)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	require.Less(t, time.Since(began), 5*time.Second, "well before the callers' deadlines")
	require.Zero(t, w.runCount())
}

// The messages about an evacuation were lost. The entry fetches the state of a peer, and a peer
// that has fallen behind must not revoke the evacuation by its view.
func TestALostEvacuationIsFetched(t *testing.T) {
	s := newUnstartedEntry(t)
	s.replaceServers(platform.Changes{Revision: 10, Servers: []directory.Server{{ID: "i-1", Service: "plain", Address: "127.0.0.1:1", Zone: "there", Slots: 1, Revision: 9}}}, false)
	s.applyView(peerlink.View{Revision: 12, Servers: s.directory.All(), Evacuations: []evacuation.State{{Zone: "there", Revision: 11, Evacuated: true}}}, "later", true)
	require.True(t, s.isEvacuated("there"))
	s.applyView(peerlink.View{Revision: 9, Servers: s.directory.All(), Evacuations: []evacuation.State{}}, "behind", true)
	require.True(t, s.isEvacuated("there"))
	s.applyView(peerlink.View{Revision: 14, Servers: s.directory.All()}, "of an earlier version", true)
	require.True(t, s.isEvacuated("there"))
	s.applyView(peerlink.View{Revision: 15, Servers: s.directory.All(), Evacuations: []evacuation.State{}}, "one that has read the store since", true)
	require.False(t, s.isEvacuated("there"))
	s.applyUpdate(peering.Update{BaseRevision: 15, UpToRevision: 17, Evacuations: []evacuation.State{{Zone: "there", Revision: 16, Evacuated: true}}}, "reader")
	require.True(t, s.isEvacuated("there"))
}

// The store is restored from a backup made before a zone was evacuated. The operators do not know
// that the evacuation is lost.
func TestAnEvacuationOutlivesARestoredStore(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.workerIn("there", "plain", "plain", nil)
	s := w.serve()
	old := w.store.Backup()
	w.store.Evacuate("there", true)
	w.eventually("it is known", func() bool { return s.isEvacuated("there") })
	before := s.position()
	w.store.Restore(old, nil)
	w.eventually("the restore is known", func() bool { return s.position() > before })
	require.True(t, s.isEvacuated("there"))
	w.store.Evacuate("there", false)
	w.eventually("it is revoked", func() bool { return !s.isEvacuated("there") })
}

// An entry of another zone places a request before it has learned that the server's zone is
// evacuated.
func TestAPlacementInAnEvacuatedZoneIsNotUsed(t *testing.T) {
	s := newUnstartedEntry(t)
	s.directory.Upsert(directory.Server{ID: "i-1", Service: "engines", Address: "127.0.0.1:1", Zone: "there", Slots: 1, Revision: 2})
	_, ok := s.choiceFrom(time.Now(), peering.PlacementReply{Server: "i-1"})
	require.True(t, ok)
	s.applyUpdate(peering.Update{Evacuations: []evacuation.State{{Zone: "there", Revision: 3, Evacuated: true}}}, "reader")
	_, ok = s.choiceFrom(time.Now(), peering.PlacementReply{Server: "i-1"})
	require.False(t, ok)
}

// A zone is evacuated in a fleet with zone-local routing. Routing stays zone-local, and the
// requests of that zone's entries are placed in other zones: if all entries got the load updates of
// all others, hundreds of entries would be busy with nothing else.
func TestEntriesKeepToTheirZonesWhileOneIsEvacuated(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	w.store.Evacuate("here", true)
	w.eventually("both know", func() bool { return here.isEvacuated("here") && there.isEvacuated("here") })
	w.eventually("the other zone's spare capacity is known", func() bool {
		_, ok := here.zoneWithCapacity(time.Now(), "engines")
		return ok
	})
	for range 5 {
		require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	}
	require.Zero(t, w.runsIn("here"))
	require.EqualValues(t, 5, here.counters.crossZone.Count())
	for _, s := range []*Server{here, there} {
		require.True(t, s.peers.Membership(time.Now()).LocalRouting)
	}
}

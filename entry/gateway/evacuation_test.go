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
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// workerIn adds a backend server of a zone.
func (w *world) workerIn(zone, id, service string, script http.HandlerFunc) *standin.Worker {
	worker := standin.NewWorker(zone+"-"+id, service)
	worker.Script, worker.Zone = script, zone
	w.list(worker)
	return worker
}

// avoids says whether an entry sends nothing to a zone.
func (s *Server) avoids(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuation.Is(zone)
}

// Operators evacuate a zone. Requests of every kind went on reaching its servers, since no entry read that they should
// not, among them those of entries that don't read the store themselves, and of one that starts meanwhile. What is under
// way there ends by itself, and the zone is used again once it is taken back.
func TestAnEvacuatedZoneGetsNothingNew(t *testing.T) {
	w := newWorld(t)
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
	entries := w.zone(4)
	open := make(chan reply, 1)
	go func() { open <- w.call(entries[2], http.MethodPost, "/stream/x", 2000, "under way") }()
	<-begun
	w.workerIn("there", "plain", "plain", nil)
	w.workerIn("here", "engine", "engines", events)
	w.workerIn("here", "helper", "engines", events)
	w.workerIn("here", "plain", "plain", nil)
	w.store.Evacuate("there", true)
	known := func() bool {
		return !slices.ContainsFunc(entries, func(s *Server) bool { return !s.avoids("there") || !w.known(s) })
	}
	w.eventually("all entries know", known)
	started := w.start(w.settings(entries[3].settings.PeerAddress))
	w.eventually("an entry has started since", func() bool { return started.manager.State() == lifecycle.Serving && w.known(started) })
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
	require.Equal(t, 200, (<-open).status, "what is under way ends by itself")
	w.eventually("the zone is empty", func() bool { return entries[2].countOpenInEvacuated()["there"] == 0 })
	w.store.Evacuate("there", false)
	w.eventually("all know that it is back", func() bool { return !slices.ContainsFunc(entries, func(s *Server) bool { return s.avoids("there") }) })
	require.Len(t, w.available(entries[0], "engines"), 3)
}

func (s *Server) countOpenInEvacuated() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openInEvacuated()
}

// All zones are evacuated. Callers are told at once that nothing has run, in place of waiting for servers that may not
// be used.
func TestWhereAllZonesAreEvacuatedCallersAreRefusedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.workerIn("there", "plain", "plain", nil)
	w.workerIn("here", "engine", "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) })
	s := w.serve()
	w.store.Evacuate("here", true)
	w.store.Evacuate("there", true)
	w.eventually("both are known", func() bool { return s.avoids("here") && s.avoids("there") })
	began := time.Now()
	for _, r := range []reply{w.call(s, http.MethodPost, "/stream/x", 2000, "x"), w.call(s, http.MethodGet, "/read/x", 0, "")} {
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, "notRun", problemOf(t, r).Run)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	require.Less(t, time.Since(began), 5*time.Second, "well before the callers' time is over")
	require.Zero(t, w.runs())
}

// The messages that told of an evacuation were lost. The entry fetches what another one knows, and an entry that has
// fallen behind must not take the zone back with its view.
func TestALostEvacuationIsFetched(t *testing.T) {
	s := loneEntry(t)
	s.replaceServers(platform.Changes{Revision: 10, Servers: []directory.Server{{ID: "i-1", Service: "plain", Address: "127.0.0.1:1", Zone: "there", Slots: 1, Revision: 9}}}, false)
	s.adoptView(view{Revision: 12, Servers: s.directory.All(), Evacuations: []evacuation.State{{Zone: "there", Revision: 11, Evacuated: true}}}, "later", true)
	require.True(t, s.avoids("there"))
	s.adoptView(view{Revision: 9, Servers: s.directory.All(), Evacuations: []evacuation.State{}}, "behind", true)
	require.True(t, s.avoids("there"))
	s.adoptView(view{Revision: 14, Servers: s.directory.All()}, "of an earlier version", true)
	require.True(t, s.avoids("there"))
	s.adoptView(view{Revision: 15, Servers: s.directory.All(), Evacuations: []evacuation.State{}}, "one that has read the store since", true)
	require.False(t, s.avoids("there"))
	s.takeUpdate(peering.Update{Base: 15, Upto: 17, Evacuations: []evacuation.State{{Zone: "there", Revision: 16, Evacuated: true}}}, "reader")
	require.True(t, s.avoids("there"))
}

// The store comes back from a copy that was made before a zone was evacuated. The operators don't know that it is lost.
func TestAnEvacuationOutlivesTheStoresReturnFromAnOlderCopy(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.workerIn("there", "plain", "plain", nil)
	s := w.serve()
	old := w.store.Backup()
	w.store.Evacuate("there", true)
	w.eventually("it is known", func() bool { return s.avoids("there") })
	before := s.position()
	w.store.Restore(old, nil)
	w.eventually("the store's return is known", func() bool { return s.position() > before })
	require.True(t, s.avoids("there"))
	w.store.Evacuate("there", false)
	w.eventually("it is taken back", func() bool { return !s.avoids("there") })
}

// An entry of another zone names a server for a request before it has heard that the server's zone is evacuated.
func TestAPlaceInAnEvacuatedZoneIsNotUsed(t *testing.T) {
	s := loneEntry(t)
	s.directory.Upsert(directory.Server{ID: "i-1", Service: "engines", Address: "127.0.0.1:1", Zone: "there", Slots: 1, Revision: 2})
	_, ok := s.choiceOf(peering.Place{Server: "i-1"})
	require.True(t, ok)
	s.takeUpdate(peering.Update{Evacuations: []evacuation.State{{Zone: "there", Revision: 3, Evacuated: true}}}, "reader")
	_, ok = s.choiceOf(peering.Place{Server: "i-1"})
	require.False(t, ok)
}

// A zone is evacuated on a fleet whose entries keep to their zones. They go on doing so, and those of that zone have their
// requests placed elsewhere: told of all requests of all others, hundreds of entries would do nothing else.
func TestEntriesKeepToTheirZonesWhileOneIsEvacuated(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	w.store.Evacuate("here", true)
	w.eventually("both know", func() bool { return here.avoids("here") && there.avoids("here") })
	w.eventually("the other zone's room is heard", func() bool {
		_, ok := here.roomElsewhere(time.Now(), "engines")
		return ok
	})
	for range 5 {
		require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	}
	require.Zero(t, w.runsIn("here"))
	require.EqualValues(t, 5, here.counters.crossed.Count())
	for _, s := range []*Server{here, there} {
		s.peers.mu.Lock()
		require.True(t, s.peers.group.Divided())
		s.peers.mu.Unlock()
	}
}

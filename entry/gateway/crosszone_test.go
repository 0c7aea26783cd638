package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/platform/standin"
)

// serversPerZone is enough for zone-local routing.
const serversPerZone = 24

// addZones adds enough engine servers in each zone for zone-local routing.
func (w *testbed) addZones(zones ...string) {
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) }
	for _, zone := range zones {
		for i := range serversPerZone {
			w.workerIn(zone, fmt.Sprintf("%02d", i), "engines", events)
		}
	}
}

// startTwoZones starts an entry in each of two zones and waits until they know each other.
func (w *testbed) startTwoZones() (here, there *Server) { return w.startTwoZonesWith(Overload{}) }

func (w *testbed) startTwoZonesWith(overload Overload) (here, there *Server) {
	here = w.serveWith(overload)
	settings := w.newSettings(here.settings.PeerAddress)
	settings.Zone, settings.Overload = "there", overload
	there = w.start(settings)
	w.eventually("the other zone's entry serves", func() bool { return there.manager.State() == lifecycle.Serving && w.isCurrent(there) })
	w.eventually("routing is zone-local", func() bool {
		return there.peers.Membership(time.Now()).LocalRouting && len(there.peers.RunningIn(time.Now(), "here")) == 1
	})
	return here, there
}

// runsIn returns the number of requests that ran in a zone.
func (w *testbed) runsIn(zone string) int {
	count := 0
	for _, worker := range w.workers {
		if worker.ID[:len(zone)] == zone {
			count += len(worker.Runs())
		}
	}
	return count
}

// markServersUnreachable makes all servers of an entry's zone unreachable in its load table.
func markServersUnreachable(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.directory.AvailableIn("engines", s.settings.Zone) {
		for range 4 {
			s.loadTable.MarkUnreachable(time.Now(), server.IncarnationID(), 0.5)
		}
	}
}

// An entry does not know what other entries send to the servers of another zone. It uses only those
// of its own zone, even while these are busy.
func TestEntriesKeepToTheServersOfTheirZone(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	busy := peering.Message{From: "127.0.0.1:1", Incarnation: "x"}
	for _, server := range w.availableServers(here, "engines") {
		if server.Zone == "here" {
			busy.Dispatches = append(busy.Dispatches, placement.Dispatch{ID: server.ID, Server: server.IncarnationID(), PromptTokens: 8000, Lifetime: time.Minute})
		}
	}
	here.applyLoadUpdates(time.Now(), busy, false)
	for range 5 {
		require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	}
	require.Equal(t, 5, w.runsIn("here"))
	require.True(t, there.hasDispatches(0)(), "entries of other zones get no load updates")
}

// A service with too few servers for zone-local routing is added to the configuration and removed
// again. Otherwise entries whose routing is zone-local would keep sending load updates to all zones
// until the servers of another service change.
func TestARemovedServiceNoLongerPreventsLocalRouting(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, _ := w.startTwoZones()
	zoneLocal := func() bool {
		return here.peers.Membership(time.Now()).LocalRouting
	}
	w.configure(standin.AddEngineService("small"))
	w.eventually("the small service prevents zone-local routing", func() bool { return w.isCurrent(here) && !zoneLocal() })
	w.configure(nil)
	w.eventually("the small service is removed", func() bool { return w.isCurrent(here) })
	w.eventually("routing is zone-local again", zoneLocal)
}

// A service with zone-local routing is removed from the configuration while its servers are still
// there. Otherwise this zone would advertise no spare capacity forever, and other zones would send
// it no requests.
func TestARemovedServiceDoesNotCountForTheHeadroom(t *testing.T) {
	w := newTestbed(t)
	w.configure(standin.AddEngineService("second"))
	w.addZones("here", "there")
	for _, zone := range []string{"here", "there"} {
		for i := range serversPerZone {
			w.workerIn(zone, fmt.Sprintf("second-%02d", i), "second", nil)
		}
	}
	here, _ := w.startTwoZones()
	require.EqualValues(t, 1, here.advertisedSpareCapacity(time.Now()))
	w.configure(nil)
	w.eventually("the second service is removed", func() bool { return w.isCurrent(here) })
	w.eventually("the spare capacity is that of the other service", func() bool { return here.advertisedSpareCapacity(time.Now()) == 1 })
}

// All servers of a zone are down. Its callers would be refused while the other zone's servers are
// idle. An entry of that zone is asked, places the requests at servers whose load it knows, and
// tracks them until they end.
func TestAZoneWithoutServersUsesAnotherOne(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	release := make(chan struct{})
	for _, worker := range w.workers[serversPerZone:] {
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			<-release
			standin.ServeEvents(out, r, 1, 0)
		}
	}
	markServersUnreachable(here)
	w.eventually("the other zone's spare capacity is known", func() bool {
		_, ok := here.zoneWithCapacity(time.Now(), "engines")
		return ok
	})
	markServersUnreachable(here)
	const requests = 4
	done := make(chan reply, requests)
	for range requests {
		go func() { done <- w.call(here, http.MethodPost, "/stream/", 2000, "x") }()
	}
	w.eventually("the other zone's entry tracks them", there.hasDispatches(requests))
	close(release)
	for range requests {
		require.Equal(t, 200, (<-done).status)
	}
	require.Equal(t, requests, w.runsIn("there"))
	require.EqualValues(t, requests, here.counters.crossZone.Count())
	w.eventually("and knows that they are over", there.hasDispatches(0))
}

// A zone places a request of another zone. Two of its entries get the load update and relay it:
// otherwise its other entries would send their own prompts to the same servers.
func TestAPlacementIsRelayedToAllEntriesOfItsZone(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	entries := []*Server{there}
	for range 3 {
		settings := w.newSettings(there.settings.PeerAddress)
		settings.Zone = "there"
		entries = append(entries, w.start(settings))
	}
	for _, s := range entries {
		w.eventually("the entries of the zone hear each other", func() bool {
			if !w.isCurrent(s) {
				return false
			}
			known := s.peers.Membership(time.Now())
			return known.LocalRouting && len(known.Local) == len(entries)-1
		})
	}
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	for _, worker := range w.workers[serversPerZone:] {
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			<-released
			standin.ServeEvents(out, r, 1, 0)
		}
	}
	w.eventually("the other zone's spare capacity is known", func() bool {
		markServersUnreachable(here)
		_, ok := here.zoneWithCapacity(time.Now(), "engines")
		return ok
	})
	markServersUnreachable(here)
	done := make(chan reply, 1)
	go func() { done <- w.call(here, http.MethodPost, "/stream/", 2000, "x") }()
	for _, s := range entries {
		w.eventually("all of them track it", s.hasDispatches(1))
	}
	release()
	require.Equal(t, 200, (<-done).status)
	for _, s := range entries {
		w.eventually("and know that it is over", s.hasDispatches(0))
	}
}

// The entry that was asked for a placement replies too late, or its reply is lost. Its dispatch is
// cancelled, or it would keep a server from its own callers until the request's deadline.
func TestAPlacementWithoutAReplyIsCancelled(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	ask := peering.PlacementRequest{Service: "engines", Remaining: 10 * time.Second,
		Dispatch: placement.Dispatch{ID: "late", PromptTokens: 2000, AnswerTokens: 500, Gap: time.Second, Target: time.Second, Lifetime: time.Minute}}
	there.peers.HandleMessage(time.Now(), peering.Message{From: here.settings.PeerAddress, Zone: "here", Incarnation: here.incarnation, PlacementRequest: &ask})
	require.True(t, there.hasDispatches(1)())
	ask.Dispatch.ID = "lost"
	reply, err := here.peers.RequestPlacement(t.Context(), "127.0.0.1:1", ask)
	require.ErrorIs(t, err, peerlink.ErrNoReply, "no entry listens there")
	require.Empty(t, reply.Server)
	there.applyLoadUpdates(time.Now(), peering.Message{From: here.settings.PeerAddress, Ended: []string{"late"}}, false)
	require.True(t, there.hasDispatches(0)())
}

// The servers of another zone that were chosen for a prompt refuse its reservations. The entry that
// chose them still tracks the prompt, although it was never sent.
func TestAPlacementWhoseReservationFailsIsCancelled(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	for _, worker := range w.workers[serversPerZone:] {
		worker.MemoryTokens = 1000
	}
	markServersUnreachable(here)
	w.eventually("the other zone's spare capacity is known", func() bool {
		_, ok := here.zoneWithCapacity(time.Now(), "engines")
		return ok
	})
	markServersUnreachable(here)
	require.NotEqual(t, 200, w.call(here, http.MethodPost, "/stream/", 400_000, "x").status)
	require.Positive(t, here.counters.crossZone.Count())
	require.Eventually(t, there.hasDispatches(0), 5*time.Second, 5*time.Millisecond, "well before the prompt's deadline")
}

// The zone has no servers and no entry of another zone can be asked. A server of unknown load in
// another zone is better than a refusal, also for an immediate retry.
func TestWithoutLocalServersAnyServerServes(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there", "yonder")
	here := w.serve()
	var runs atomic.Int32
	for _, worker := range w.workers {
		script := worker.Script
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			script(out, r)
		}
	}
	for _, worker := range w.workers[:serversPerZone] {
		key, _ := worker.Row("")
		w.store.Remove(key)
	}
	w.eventually("the zone's servers are gone", func() bool { return len(w.availableServers(here, "engines")) == 2*serversPerZone })
	require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	require.EqualValues(t, 2, runs.Load())
	require.Zero(t, w.runsIn("here"))
}

// When a platform starts, its servers register one by one. The first few must not disable
// zone-local routing: hundreds of entries sent heartbeats to all zones twice a second until there
// were enough servers.
func TestAGrowingServerListDoesNotMakeAllZonesLocal(t *testing.T) {
	s := newEntryWithoutRouting(t)
	far := peering.Message{From: "127.0.0.1:2", Zone: "there"}
	s.peers.HandleMessage(time.Now(), far)
	s.mu.Lock()
	noted := s.applyRows([]directory.Server{{ID: "first", Service: "engines", Address: "127.0.0.1:1", Zone: "there", Slots: 1, Revision: 9}}, nil)
	s.mu.Unlock()
	s.reportServerChanges(noted, "platform")
	require.Empty(t, s.peers.Membership(time.Now()).KnownLocal)
	s.lastServerAddedAt = time.Now().Add(-listSettleTime)
	s.updateRouting()
	require.Equal(t, []string{"127.0.0.1:2"}, s.peers.Membership(time.Now()).KnownLocal, "the list is complete: all entries share all servers")
}

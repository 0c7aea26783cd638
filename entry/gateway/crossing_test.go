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
	"arbutusdeck/platform/standin"
)

// serversOfAZone is how many servers make a zone a part by itself.
const serversOfAZone = 24

// zonesOfServers adds enough engine servers in each zone that entries keep to their own.
func (w *world) zonesOfServers(zones ...string) {
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) }
	for _, zone := range zones {
		for i := range serversOfAZone {
			w.workerIn(zone, fmt.Sprintf("%02d", i), "engines", events)
		}
	}
}

// twoZones starts an entry in each of two zones that know each other.
func (w *world) twoZones() (here, there *Server) {
	here = w.serve()
	settings := w.settings(here.settings.PeerAddress)
	settings.Zone = "there"
	there = w.start(settings)
	w.eventually("the other zone's entry serves", func() bool { return there.manager.State() == lifecycle.Serving && w.known(there) })
	w.eventually("the servers are divided", func() bool {
		there.peers.mu.Lock()
		defer there.peers.mu.Unlock()
		return there.peers.group.Divided() && len(there.peers.group.In(time.Now(), "here")) == 1
	})
	return here, there
}

// runsIn counts the requests that ran in a zone.
func (w *world) runsIn(zone string) int {
	count := 0
	for _, worker := range w.workers {
		if worker.ID[:len(zone)] == zone {
			count += len(worker.Runs())
		}
	}
	return count
}

// losesServers makes an entry believe that no server of its zone can be reached.
func losesServers(s *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.directory.AvailableIn("engines", s.settings.Zone) {
		for range 4 {
			s.book.MarkUnreachable(time.Now(), server.IncarnationID(), 0.5)
		}
	}
}

// An entry would know nothing of what other entries send to the servers of another zone: it
// keeps to its own, also while these have something to do.
func TestEntriesKeepToTheServersOfTheirZone(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	busy := peering.Message{From: "127.0.0.1:1", Incarnation: "x"}
	for _, server := range w.available(here, "engines") {
		if server.Zone == "here" {
			busy.Begun = append(busy.Begun, placement.Dispatch{ID: server.ID, Server: server.IncarnationID(), PromptTokens: 8000, Lifetime: time.Minute})
		}
	}
	here.takeNews(time.Now(), busy, false)
	for range 5 {
		require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	}
	require.Equal(t, 5, w.runsIn("here"))
	require.True(t, there.booked(0)(), "entries of other zones are not told")
}

// A service with too few servers to be divided joins the configuration and leaves it again.
// Entries that all keep to their zone would otherwise go on telling all others of each of
// their requests, until the servers of another service change.
func TestAServiceThatLeavesEndsItsShareOfTheDivision(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, _ := w.twoZones()
	divided := func() bool {
		here.peers.mu.Lock()
		defer here.peers.mu.Unlock()
		return here.peers.group.Divided()
	}
	w.configure(standin.AddEngineService("small"))
	w.eventually("the small service keeps the entries from it", func() bool { return w.known(here) && !divided() })
	w.configure(nil)
	w.eventually("the small service has left", func() bool { return w.known(here) })
	w.eventually("all engine services are divided again", divided)
}

// A divided service leaves the configuration, its servers have not yet. Other zones would
// hear for good that this one has no room, and send it none of their requests.
func TestAServiceThatLeavesTakesNoRoom(t *testing.T) {
	w := newWorld(t)
	w.configure(standin.AddEngineService("second"))
	w.zonesOfServers("here", "there")
	for _, zone := range []string{"here", "there"} {
		for i := range serversOfAZone {
			w.workerIn(zone, fmt.Sprintf("second-%02d", i), "second", nil)
		}
	}
	here, _ := w.twoZones()
	require.EqualValues(t, 1, here.tellRoom(time.Now()))
	w.configure(nil)
	w.eventually("the second service has left", func() bool { return w.known(here) })
	w.eventually("the room is that of the other service", func() bool { return here.tellRoom(time.Now()) == 1 })
}

// All servers of a zone are down. Its callers would be refused while the other zone's servers
// are idle. An entry there is asked, places the requests among servers that it knows, and has
// them in its book as long as they last.
func TestAZoneWithoutServersUsesAnotherOne(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	release := make(chan struct{})
	for _, worker := range w.workers[serversOfAZone:] {
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			<-release
			standin.ServeEvents(out, r, 1, 0)
		}
	}
	losesServers(here)
	w.eventually("the other zone's room is heard", func() bool {
		_, ok := here.roomElsewhere(time.Now(), "engines")
		return ok
	})
	losesServers(here)
	const requests = 4
	done := make(chan reply, requests)
	for range requests {
		go func() { done <- w.call(here, http.MethodPost, "/stream/", 2000, "x") }()
	}
	w.eventually("the other zone's entry has them in its book", there.booked(requests))
	close(release)
	for range requests {
		require.Equal(t, 200, (<-done).status)
	}
	require.Equal(t, requests, w.runsIn("there"))
	require.EqualValues(t, requests, here.counters.crossed.Count())
	w.eventually("and knows that they are over", there.booked(0))
}

// A zone places a request for another one. Two of its entries are told of it, and pass it on: its other entries would send
// prompts of their own to the same servers.
func TestNewsOfAPlaceReachAllEntriesOfItsZone(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	entries := []*Server{there}
	for range 3 {
		settings := w.settings(there.settings.PeerAddress)
		settings.Zone = "there"
		entries = append(entries, w.start(settings))
	}
	for _, s := range entries {
		w.eventually("the entries of the zone hear each other", func() bool {
			if !w.known(s) {
				return false
			}
			s.peers.mu.Lock()
			defer s.peers.mu.Unlock()
			return s.peers.group.Divided() && len(s.peers.group.Near(time.Now())) == len(entries)-1
		})
	}
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	for _, worker := range w.workers[serversOfAZone:] {
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			<-released
			standin.ServeEvents(out, r, 1, 0)
		}
	}
	w.eventually("the other zone's room is heard", func() bool {
		losesServers(here)
		_, ok := here.roomElsewhere(time.Now(), "engines")
		return ok
	})
	losesServers(here)
	done := make(chan reply, 1)
	go func() { done <- w.call(here, http.MethodPost, "/stream/", 2000, "x") }()
	for _, s := range entries {
		w.eventually("all of them have it in their books", s.booked(1))
	}
	release()
	require.Equal(t, 200, (<-done).status)
	for _, s := range entries {
		w.eventually("and know that it is over", s.booked(0))
	}
}

// The entry that was asked answers too late, or its answer is lost. What it has booked is
// given back, or it would keep a server from its own callers until the request's time is over.
func TestAPlaceThatIsNotHeardOfIsGivenBack(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	ask := peering.Ask{Service: "engines", Remaining: 10 * time.Second,
		Dispatch: placement.Dispatch{ID: "late", PromptTokens: 2000, AnswerTokens: 500, Gap: time.Second, Target: time.Second, Lifetime: time.Minute}}
	there.answerAsk(time.Now(), here.settings.PeerAddress, ask)
	require.True(t, there.booked(1)())
	ask.Dispatch.ID = "lost"
	require.Empty(t, here.peers.askFor(t.Context(), "127.0.0.1:1", ask).Server, "nobody is there")
	there.takeNews(time.Now(), peering.Message{From: here.settings.PeerAddress, Ended: []string{"late"}}, false)
	require.True(t, there.booked(0)())
}

// The servers of another zone that were named for a prompt refuse its reservations. The entry
// that named them has the prompt in its book, though it was never sent.
func TestAPlaceWhoseMemoryIsRefusedIsGivenBack(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	for _, worker := range w.workers[serversOfAZone:] {
		worker.MemoryTokens = 1000
	}
	losesServers(here)
	w.eventually("the other zone's room is heard", func() bool {
		_, ok := here.roomElsewhere(time.Now(), "engines")
		return ok
	})
	losesServers(here)
	require.NotEqual(t, 200, w.call(here, http.MethodPost, "/stream/", 400_000, "x").status)
	require.Positive(t, here.counters.crossed.Count())
	require.Eventually(t, there.booked(0), 5*time.Second, 5*time.Millisecond, "well before the prompt's time is over")
}

// Nobody of another zone can be asked. A server there whose work is not known is better than
// a refusal, also for a second try at once.
func TestWithoutServersAndNeighboursAnyServerServes(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there", "yonder")
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
	for _, worker := range w.workers[:serversOfAZone] {
		key, _ := worker.Row("")
		w.store.Remove(key)
	}
	w.eventually("the zone's servers are gone", func() bool { return len(w.available(here, "engines")) == 2*serversOfAZone })
	require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	require.EqualValues(t, 2, runs.Load())
	require.Zero(t, w.runsIn("here"))
}

// A platform starts, and its servers come one by one. The first few of a zone don't make a part: hundreds of entries told
// each other of all zones twice a second that they live, until there were enough.
func TestAListThatGrowsDoesNotMakeAllZonesNear(t *testing.T) {
	s := loneEntry(t)
	s.peers.group = peering.New(s.settings.PeerAddress, "here", "i", nil)
	far := peering.Message{From: "127.0.0.1:2", Zone: "there"}
	s.peers.take(time.Now(), far)
	s.mu.Lock()
	noted := s.takeRows([]directory.Server{{ID: "first", Service: "engines", Address: "127.0.0.1:1", Zone: "there", Slots: 1, Revision: 9}}, nil)
	s.mu.Unlock()
	s.noteServers(noted, "platform")
	require.Empty(t, s.peers.group.NearKnown())
	s.grewAt = time.Now().Add(-growTime)
	s.divide()
	require.Equal(t, []string{"127.0.0.1:2"}, s.peers.group.NearKnown(), "there are no more: all share all servers")
}

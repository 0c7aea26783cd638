package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/zonestate"
)

// spilling switches spillover on.
var spilling = Overload{Spillover: true}

const (
	// engineSlots is the number of slots of a server of the service "engines".
	engineSlots = 16
	// queued is the number of requests in excess of the slots of a server at which a short prompt is refused: more
	// than one and a half times the target of its route, three seconds.
	queued = 96
)

// takeSlots makes an entry know of requests in all slots of its zone's servers but some of one server, and of a queue
// if none is left. It returns a function that ends these requests.
func takeSlots(s *Server, leave int) (end func()) {
	m := peering.Message{From: "127.0.0.1:1", Incarnation: "x"}
	s.mu.Lock()
	servers := s.directory.AvailableIn("engines", s.settings.Zone)
	s.mu.Unlock()
	requests := engineSlots
	if leave == 0 {
		requests += queued
	}
	for i, server := range servers {
		for slot := range requests {
			if i > 0 || slot >= leave {
				m.Dispatches = append(m.Dispatches, placement.Dispatch{ID: uuid.NewString(), Server: server.IncarnationID(), PromptTokens: 2000, AnswerTokens: 8000, Lifetime: time.Minute})
			}
		}
	}
	s.applyLoadUpdates(time.Now(), m, false)
	return func() {
		ended := peering.Message{From: m.From, Incarnation: m.Incarnation}
		for _, d := range m.Dispatches {
			ended.Ended = append(ended.Ended, d.ID)
		}
		s.applyLoadUpdates(time.Now(), ended, false)
	}
}

// knowsFreeSlots returns a condition: the entry knows a summary of another zone with at least as many free slots.
func (s *Server) knowsFreeSlots(zone string, atLeast int) func() bool {
	return func() bool {
		zones, _ := s.peers.Zones(time.Now())
		for _, state := range zones {
			if state.Zone == zone && state.Summary != nil {
				service, _ := state.Summary.Service("engines")
				return service.FreeSlots >= atLeast
			}
		}
		return false
	}
}

func (s *Server) spilloverCount(name string) int64 {
	return metrics.GetOrRegisterCounter("spillover."+name, s.registry).Count()
}

// All slots of a zone are taken while another one has room. Guards against callers that are refused or late
// meanwhile, and against traffic between zones once the own zone has slots again.
func TestAFullZonePlacesInTheOneWithRoom(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZonesWith(spilling)
	end := takeSlots(here, 0)
	w.eventually("the other zone's room is known", here.knowsFreeSlots("there", serversPerZone*engineSlots))
	require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	require.Equal(t, 1, w.runsIn("there"))
	require.EqualValues(t, 1, here.spilloverCount("asked.there"))
	require.EqualValues(t, 1, here.spilloverCount("placed.there"))
	require.EqualValues(t, 1, here.counters.crossZone.Count())
	require.EqualValues(t, 1, there.spilloverCount("admitted"))
	end()
	require.Equal(t, 200, w.call(here, http.MethodPost, "/stream/", 2000, "x").status)
	require.Equal(t, 1, w.runsIn("here"))
	require.EqualValues(t, 1, here.spilloverCount("asked.there"))
	w.eventually("the other zone knows that the request is over", there.hasDispatches(0))
}

// Guards against a zone that gives its last slots away: its own callers of the next moment would be late.
func TestTheAskedEntryKeepsItsReserve(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	_, there := w.startTwoZonesWith(spilling)
	id := 0
	placed := func() bool {
		id++
		d := placement.Dispatch{ID: fmt.Sprint(id), PromptTokens: 2000, AnswerTokens: 500, Gap: time.Second, Target: time.Second, Lifetime: time.Minute}
		reply := there.placeForPeer(time.Now(), "127.0.0.1:1", peering.PlacementRequest{Service: "engines", Remaining: 10 * time.Second, Dispatch: d})
		there.applyLoadUpdates(time.Now(), peering.Message{From: "127.0.0.1:1", Ended: []string{d.ID}}, false)
		return reply.Server != ""
	}
	end := takeSlots(there, 1)
	require.False(t, placed(), "one slot is kept without demand")
	end()
	end = takeSlots(there, 2)
	require.True(t, placed())
	end()
	takeSlots(there, 6)
	require.True(t, placed())
	for range 100 {
		there.spiller.observeArrival(time.Now(), "engines", 2000)
	}
	require.False(t, placed(), "seven are kept at a hundred short prompts a second")
	require.EqualValues(t, 2, there.spilloverCount("declined"))
}

// Guards against requests that go back and forth: entries behind a relay know from the dispatch that their zone took a
// request of another one, and send that zone nothing meanwhile; it doesn't count as demand of their own callers.
func TestAZoneThatReceivesSendsNothingBack(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZonesWith(spilling)
	w.eventually("the other zone's room is known", there.knowsFreeSlots("here", 100))
	takeSlots(there, 0)
	received := placement.Dispatch{ID: "received", Server: w.availableServers(there, "engines")[serversPerZone].IncarnationID(), PromptTokens: 2000, Lifetime: time.Minute, Zone: "here"}
	there.applyLoadUpdates(time.Now(), peering.Message{From: "127.0.0.1:2", Zone: "there", Dispatches: []placement.Dispatch{received}}, false)
	require.Zero(t, there.spiller.demandOf(time.Now(), "engines"))
	w.call(there, http.MethodPost, "/stream/", 2000, "x")
	require.Positive(t, there.spilloverCount("stayed.received"))
	require.Zero(t, there.spilloverCount("asked.here"))
	require.Positive(t, there.spiller.demandOf(time.Now(), "engines"), "its own callers are")
	require.Zero(t, here.spilloverCount("admitted"))
}

// fakePeer stands for an entry of another zone: it records the messages that it gets, and replies to placement
// requests if it has a reply.
type fakePeer struct {
	conn    net.PacketConn
	address string

	mu       sync.Mutex
	received []peering.Message
	server   string // the incarnation in replies; none are sent if empty
	// predicted is the time to the first event in replies.
	predicted time.Duration
}

func newFakePeer(t *testing.T) *fakePeer {
	conn, err := net.ListenPacket("udp", loopbackHost()+":7803")
	require.NoError(t, err)
	p := &fakePeer{conn: conn, address: conn.LocalAddr().String()}
	ended := make(chan struct{})
	t.Cleanup(func() {
		require.NoError(t, conn.Close())
		<-ended
	})
	go func() {
		defer close(ended)
		p.receive(t)
	}()
	return p
}

func (p *fakePeer) receive(t *testing.T) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		m, err := peering.Decode(buffer[:n])
		if err != nil {
			t.Error(err)
			continue
		}
		p.mu.Lock()
		p.received = append(p.received, m)
		server, predicted := p.server, p.predicted
		p.mu.Unlock()
		if m.PlacementRequest == nil || server == "" {
			continue
		}
		data, err := peering.Encode(peering.Message{From: p.address, Zone: "there", Incarnation: "x", PlacementReply: &peering.PlacementReply{ID: m.PlacementRequest.Dispatch.ID, Server: server, Predicted: predicted}})
		if err == nil {
			_, err = p.conn.WriteTo(data, from)
		}
		if err != nil {
			t.Error(err)
		}
	}
}

// count returns how many messages satisfy a condition.
func (p *fakePeer) count(holds func(peering.Message) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, m := range p.received {
		if holds(m) {
			count++
		}
	}
	return count
}

// placeAt has the peer place requests at one of the servers that is in its zone.
func (p *fakePeer) placeAt(servers []directory.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		if server.Zone == "there" {
			p.server = server.IncarnationID()
		}
	}
}

func isPlacementRequest(m peering.Message) bool { return m.PlacementRequest != nil }

// reportZone has the entry hear of the zone "there" with its entries and a summary.
func reportZone(s *Server, summary *zonestate.Summary, entries ...*fakePeer) {
	for _, p := range entries {
		m := peering.Message{From: p.address, Zone: "there", Incarnation: "x", EntryCount: len(entries), Delegates: []string{p.address}, Summary: summary}
		m.SetSpareCapacity(1)
		s.peers.HandleMessage(time.Now(), m)
	}
}

func summaryWith(freeSlots int) *zonestate.Summary {
	summary := zonestate.New(false, []zonestate.ServiceState{{Service: "engines", Slots: 384, FreeSlots: freeSlots}}, nil)
	return &summary
}

// startFullZone starts an entry whose zone has no free slots; the zone "there" has servers and no entries.
func (w *testbed) startFullZone(overload Overload) *Server {
	w.configure(nil)
	w.addZones("here", "there")
	s := w.serveWith(overload)
	w.eventually("routing is zone-local", func() bool { return s.peers.Membership(time.Now()).LocalRouting })
	takeSlots(s, 0)
	return s
}

// Guards against an entry that goes on asking a zone whose replies are lost: the request may be placed there, counts
// as such until the next summary, and is cancelled.
func TestADroppedReplyCountsAsPlaced(t *testing.T) {
	w := newTestbed(t)
	s := w.startFullZone(spilling)
	silent := newFakePeer(t)
	reportZone(s, summaryWith(2), silent)
	w.call(s, http.MethodPost, "/stream/", 2000, "x")
	asked := s.spilloverCount("asked.there")
	require.Positive(t, asked)
	require.LessOrEqual(t, asked, int64(2), "the share is one, rounded at random")
	require.Equal(t, asked, s.spilloverCount("lost.there"))
	require.Zero(t, w.runsIn("there"))
	w.eventually("the placements are cancelled", func() bool {
		return silent.count(func(m peering.Message) bool { return len(m.Ended) > 0 }) == int(asked)
	})
	for range 3 {
		w.call(s, http.MethodPost, "/stream/", 2000, "x")
	}
	require.LessOrEqual(t, s.spilloverCount("asked.there"), int64(2))
	require.Positive(t, s.spilloverCount("stayed.limited"))
}

// Guards against a zone that can't be used while the entry that is asked first has ended: the next request goes to
// another one.
func TestAfterTheAskedEntryHasEndedAnotherIsAsked(t *testing.T) {
	w := newTestbed(t)
	s := w.startFullZone(spilling)
	ended, running := newFakePeer(t), newFakePeer(t)
	reportZone(s, summaryWith(300), ended, running)
	if order := s.peers.EntriesToAsk(time.Now(), "there"); order[0] != ended.address {
		ended, running = running, ended
	}
	running.placeAt(w.availableServers(s, "engines"))
	for range 2 {
		w.call(s, http.MethodPost, "/stream/", 2000, "x")
	}
	require.Equal(t, 1, ended.count(isPlacementRequest))
	require.Positive(t, running.count(isPlacementRequest))
	require.EqualValues(t, 1, s.spilloverCount("lost.there"))
	require.Positive(t, w.runsIn("there"))
	require.Positive(t, s.spilloverCount("placed.there"))
}

// Guards against requests to a zone that its operators evacuate, and against one that doesn't say so.
func TestAClosedZoneIsNotAsked(t *testing.T) {
	w := newTestbed(t)
	s := w.startFullZone(spilling)
	other := newFakePeer(t)
	closed := summaryWith(300)
	closed.Closed = true
	reportZone(s, closed, other)
	w.call(s, http.MethodPost, "/stream/", 2000, "x")
	require.Zero(t, other.count(isPlacementRequest))
	require.Positive(t, s.spilloverCount("stayed.closed"))
	require.False(t, s.zoneSummary(time.Now()).Closed)
	s.mu.Lock()
	s.applyEvacuations([]evacuation.State{{Zone: "here", Evacuated: true, Revision: 1 << 40}})
	s.mu.Unlock()
	require.True(t, s.zoneSummary(time.Now()).Closed)
}

// A long prompt is late in its own zone; the other zone has slots and a long queue of prefill. Guards against a prompt
// that becomes later there, and against one that the other zone tracks although it isn't sent.
func TestAPlacementThatIsNoSoonerIsCancelled(t *testing.T) {
	w := newTestbed(t)
	w.configure(func(c map[string]any) { c["Routes"].([]map[string]any)[0]["TargetLatencyMs"] = 120 })
	w.addZones("here", "there")
	s := w.serveWith(spilling)
	w.eventually("routing is zone-local", func() bool { return s.peers.Membership(time.Now()).LocalRouting })
	other := newFakePeer(t)
	other.placeAt(w.availableServers(s, "engines"))
	other.mu.Lock()
	other.predicted = time.Hour
	other.mu.Unlock()
	roomy := zonestate.New(false, []zonestate.ServiceState{{Service: "engines", Slots: 384, FreeSlots: 300, FreeMemory: 5_000_000, LargestFree: 250_000}}, nil)
	reportZone(s, &roomy, other)
	require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/", 200_000, "x").status)
	require.Equal(t, 1, other.count(isPlacementRequest))
	require.EqualValues(t, 1, s.spilloverCount("unused.there"))
	require.Positive(t, w.runsIn("here"))
	require.Zero(t, w.runsIn("there"))
	w.eventually("the placement is cancelled", func() bool {
		return other.count(func(m peering.Message) bool { return len(m.Ended) > 0 }) > 0
	})
}

// Plays the same situation with the switch off and on. Guards against entries without spillover that send what other
// versions don't, or that choose otherwise than by the spare capacity.
func TestWithoutTheSwitchMessagesAndChoicesAreUnchanged(t *testing.T) {
	for name, overload := range map[string]Overload{"off": {}, "on": spilling} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t)
			s := w.startFullZone(overload)
			other, mate := newFakePeer(t), newFakePeer(t)
			other.placeAt(w.availableServers(s, "engines"))
			isOn := overload.Spillover
			hear := func(summary *zonestate.Summary) {
				s.peers.HandleMessage(time.Now(), peering.Message{From: mate.address, Zone: "here", Incarnation: "y"})
				reportZone(s, summary, other)
			}
			hear(nil)
			w.call(s, http.MethodPost, "/stream/", 2000, "x")
			if isOn {
				require.Zero(t, w.runsIn("there"), "the zone has sent no summary")
				hear(summaryWith(300))
				w.call(s, http.MethodPost, "/stream/", 2000, "x")
			}
			require.Positive(t, w.runsIn("there"))
			fromHere := func(m peering.Message) bool { return len(m.Dispatches) > 0 && m.Dispatches[0].Zone == "here" }
			begins := func(m peering.Message) bool { return len(m.Dispatches) > 0 }
			w.eventually("the dispatch is reported to both zones", func() bool { return mate.count(begins) > 0 && other.count(begins) > 0 })
			w.eventually("a heartbeat is sent to the other zone", func() bool {
				hear(nil)
				return other.count(func(m peering.Message) bool { return m.EntryCount > 0 }) > 0
			})
			require.Equal(t, isOn, other.count(func(m peering.Message) bool { return m.Summary != nil }) > 0)
			require.Equal(t, isOn, other.count(fromHere) > 0)
			require.Equal(t, isOn, mate.count(fromHere) > 0)
			spilled := 0
			s.registry.Each(func(metric string, _ any) {
				if len(metric) > 10 && metric[:10] == "spillover." {
					spilled++
				}
			})
			require.Equal(t, isOn, spilled > 0)
		})
	}
}

package gateway

import (
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/process"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/zonerouting"
)

// seedMessages returns messages of each kind.
func seedMessages() []peering.Message {
	d := placement.Dispatch{ID: "d", Server: "i-0", Helpers: []string{"i-1"}, PromptTokens: 200_000, AnswerTokens: 500, Gap: time.Second, Target: time.Second,
		Lifetime: time.Minute, Reserved: []int64{1, 2}}
	message := peering.Message{Incarnation: "x", Version: 2, Revision: 9, Zone: "here", Members: []peering.ZoneMembers{{Zone: "there", Addresses: []string{"a"}}}}
	message.SetSpareCapacity(0.5)
	message.SetRecordsDigest(7)
	message.SetStoreState(peering.StoreState{Reads: true, Age: time.Second})
	return []peering.Message{message, {Dispatches: []placement.Dispatch{d}, FirstEvents: []string{"d"}}, {Ended: []string{"d"}, Unreachable: []string{"i-0"}, Stopping: true},
		{PlacementRequest: &peering.PlacementRequest{Service: "engines", Dispatch: d, Remaining: time.Second}}, {PlacementReply: &peering.PlacementReply{ID: "d", Server: "i-0", Reserved: []int64{1}}},
		{Update: &peering.Update{BaseRevision: 1, UpToRevision: 3, Servers: []directory.Server{{ID: "i-9", Service: "engines", Address: "127.0.0.1:1", Revision: 3}},
			Tombstones: []directory.Tombstone{{ID: "i-1", Revision: 3}}}},
		{Records: []quarantine.Record{{Fingerprint: quarantine.Fingerprint{1}, Crashes: []uint64{1, 2, 3}, Age: time.Second}, {Cleared: 9}}},
		{PartRecords: []quarantine.PartRecord{{Part: quarantine.Fingerprint{1}, Crashes: []quarantine.PartCrash{{Server: 1, SentAge: 2, Age: 1}}, Age: 1}, {Cleared: 9}}}}
}

// FuzzPeerMessages passes any message to an entry. Each message goes to all entries: one that
// crashed its receiver would crash them all, and again after their restart.
func FuzzPeerMessages(f *testing.F) {
	for _, m := range seedMessages() {
		data, err := peering.Encode(m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := peering.Decode(data)
		if err != nil {
			return
		}
		s := newUnstartedEntry(t)
		keepToLoopback(&m)
		for range 2 {
			s.peers.HandleMessage(time.Now(), m)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.loadTable.Expire(time.Now())
		s.loadTable.Choose(time.Now(), placement.Query{Servers: s.directory.Available("engines"), Engine: s.table.Load().Service("engines").Engine,
			PromptTokens: 2000, AnswerTokens: 500, Target: time.Second, Gap: time.Second, Remaining: 10 * time.Second})
	})
}

// keepToLoopback restricts the addresses in a message to this host.
func keepToLoopback(m *peering.Message) {
	m.From, m.KnownPeers = "127.0.0.1:1", nil
	for i := range m.Members {
		for k := range m.Members[i].Addresses {
			m.Members[i].Addresses[k] = fmt.Sprintf("127.0.0.1:%d", 2+k%1000)
		}
	}
}

// newUnstartedEntry returns an entry that has a configuration and some servers, and runs no loops.
func newUnstartedEntry(t *testing.T) *Server {
	s := newEntryWithoutRouting(t)
	s.updateRouting()
	return s
}

// newEntryWithoutRouting returns an unstarted entry that has not decided yet whether routing is
// zone-local.
func newEntryWithoutRouting(t *testing.T) *Server {
	s := New(Options{Settings: Settings{Name: "entry", Zone: "here", PeerAddress: "127.0.0.1:1001"}, Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 10)})
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, conn.Close()) })
	s.peers.Attach(conn)
	engine := enginemodel.Engine{Slots: 16, MemoryTokens: 300_000, StepMs: 0.85, StepPerAnswerMs: 0.004, StepPerContextMs: 0.003, ReadPerMs: 177, PairsMs: 0.184,
		Chunk: 2048, Stride: 51, UsualAnswer: 1600, HopMs: 0.05}
	table, err := routes.NewTable(routes.Definition{Version: 1, Services: []routes.Service{{Name: "engines", Engine: &engine}}})
	require.NoError(t, err)
	s.table.Store(table)
	for i := range 3 {
		s.directory.Upsert(directory.Server{ID: fmt.Sprintf("i-%d", i), Service: "engines", Address: "127.0.0.1:1", Zone: "here", Slots: 16, Revision: 1})
	}
	return s
}

// extremes are numbers that a message may hold although no entry sends them.
var extremes = []int64{math.MinInt64, -1, 0, 1, 2000, 200_000, 1 << 40, math.MaxInt64}

func drawDispatch(t *rapid.T) placement.Dispatch {
	number := func(name string) int64 { return rapid.SampledFrom(extremes).Draw(t, name) }
	servers := rapid.SampledFrom([]string{"", "i-0", "i-1", "i-1@zz", "none"})
	return placement.Dispatch{ID: rapid.SampledFrom([]string{"", "d", "e"}).Draw(t, "id"), Server: servers.Draw(t, "server"),
		Helpers: rapid.SliceOfN(servers, 0, 3).Draw(t, "helpers"), Reserved: rapid.SliceOfN(rapid.SampledFrom(extremes), 0, 5).Draw(t, "held"),
		PromptTokens: number("prompt"), AnswerTokens: number("answer"), Gap: time.Duration(number("gap")), Target: time.Duration(number("target")),
		Lifetime: time.Duration(number("life"))}
}

// An entry of another version, or a faulty one, reports requests with nonsensical numbers,
// placements with more parts than servers, and placement requests for such requests. The process
// must survive: a message that crashes one entry would crash all, since all receive it.
func TestNoPeerMessageCrashesTheProcess(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newUnstartedEntry(t)
		s.forceLocalRouting()
		now := time.Now()
		for range rapid.IntRange(1, 4).Draw(r, "messages") {
			d := drawDispatch(r)
			reply := peering.PlacementReply{ID: d.ID, Server: "i-0", Helpers: d.Helpers, Reserved: d.Reserved, Predicted: d.Target}
			m := peering.Message{From: "127.0.0.1:1", Zone: rapid.SampledFrom([]string{"", "here", "there"}).Draw(r, "zone"), Dispatches: []placement.Dispatch{d},
				FirstEvents: []string{d.ID}, PlacementRequest: &peering.PlacementRequest{Service: "engines", Dispatch: d, Remaining: d.Lifetime, Exclude: d.Helpers}, PlacementReply: &reply}
			if rapid.Bool().Draw(r, "ended") {
				m.Ended = []string{d.ID}
			}
			data, err := peering.Encode(m)
			require.NoError(r, err)
			read, err := peering.Decode(data)
			if err != nil {
				continue
			}
			s.peers.HandleMessage(now, read)
			if choice, ok := s.choiceFrom(time.Now(), *read.PlacementReply); ok {
				held := &reservation{s: s, choice: choice, id: d.ID}
				held.helpers()
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(r, "pause")))
			s.mu.Lock()
			s.loadTable.Expire(now)
			s.mu.Unlock()
		}
	})
}

// forceLocalRouting enables zone-local routing, however few servers the zone has.
func (s *Server) forceLocalRouting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	division := zonerouting.LocalRouting{}
	division.Update(map[string]int{"here": 1000, "there": 1000}, 2)
	s.localRouting["engines"] = division
}

package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/platform/standin"
)

const (
	firstStartedAt  = int64(1_700_000_000_000)
	secondStartedAt = firstStartedAt + 800
)

// restart starts another process of a server on the same address, under the same identifier.
func (w *testbed) restart(worker *standin.Worker, birth int64) {
	worker.StartedAtMs = birth
	w.store.Put(worker.Row("ready"))
}

// startOf returns the current incarnation of a server.
func startOf(worker *standin.Worker) string {
	return directory.Server{ID: worker.ID, StartedAtMs: worker.StartedAtMs}.IncarnationID()
}

// A draining server crashes and restarts under its identifier. It would get no requests for the
// rest of its life if the new incarnation were taken for the draining one.
func TestARestartedServerGetsRequestsAfterDraining(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	w.restart(worker, firstStartedAt)
	s := w.serve()
	w.store.Put(worker.Row("draining"))
	w.eventually("the draining is known", func() bool { return len(w.availableServers(s, "plain")) == 0 })
	w.restart(worker, secondStartedAt)
	w.eventually("the new incarnation is known", func() bool { return len(w.availableServers(s, "plain")) == 1 })
	require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
}

func (w *testbed) availableServers(s *Server, service string) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Available(service)
}

// A server crashes while it writes a response, and has restarted under its identifier before the
// entry notices. The request has ended there; if it counted for the new incarnation, it would keep
// others off an idle server until its deadline.
func TestLoadOfAnOldIncarnationDoesNotCountForTheNext(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	release, started := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	worker := w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(end) // before the server closes, which waits for its requests
	w.restart(worker, firstStartedAt)
	s := w.serve()
	done := make(chan reply, 1)
	go func() { done <- w.call(s, http.MethodPost, "/stream/", 2000, "x") }()
	<-started
	s.recordFailure(startOf(worker))
	w.restart(worker, secondStartedAt)
	w.eventually("the new incarnation is known", func() bool { return w.availableServers(s, "engines")[0].StartedAtMs == secondStartedAt })
	choice := w.choose(s)
	require.Equal(t, startOf(worker), choice.Server.IncarnationID())
	require.Zero(t, choice.Load.Requests)
	require.Less(t, choice.Loss, 0.3, "the failures are those of the old incarnation")
	end()
	require.Equal(t, 200, (<-done).status)
}

// choose returns the entry's choice for a short prompt.
func (w *testbed) choose(s *Server) placement.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, refusal := s.loadTable.Choose(time.Now(), placement.Query{Servers: s.directory.Available("engines"), Engine: s.table.Load().Service("engines").Engine,
		PromptTokens: 2000, AnswerTokens: 500, Target: time.Second, Gap: time.Second, Remaining: 10 * time.Second})
	require.Empty(w.t, refusal)
	return choice
}

// A peer's update about an old incarnation arrives late, or one about a new incarnation before the
// row. The former counts for no server, the latter for the new incarnation.
func TestLoadUpdatesOfIncarnationsArriveInAnyOrder(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "engines", nil)
	w.restart(worker, secondStartedAt)
	s := w.serve()
	begun := func(id string, born int64) peering.Message {
		start := directory.Server{ID: "i-1", StartedAtMs: born}.IncarnationID()
		return peering.Message{From: "127.0.0.1:1", Incarnation: "x", Dispatches: []placement.Dispatch{{ID: id, Server: start, PromptTokens: 2000, Lifetime: time.Minute}}}
	}
	s.applyLoadUpdates(time.Now(), begun("late", firstStartedAt), false)
	require.True(t, s.hasDispatches(0)())
	third := secondStartedAt + 500
	s.applyLoadUpdates(time.Now(), begun("early", third), false)
	require.True(t, s.hasDispatches(1)())
	require.Zero(t, w.choose(s).Load.Requests, "the known incarnation is idle")
	w.restart(worker, third)
	w.eventually("the third incarnation is known", func() bool { return w.availableServers(s, "engines")[0].StartedAtMs == third })
	require.Equal(t, 1, w.choose(s).Load.Requests)
}

// A server with a reservation for a part of a prompt crashes and restarts. The reservation is gone
// there; a renewal would reserve memory that no request uses.
func TestAReservationIsNotRenewedAtANewIncarnation(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "engines", nil)
	other := w.worker("i-2", "engines", nil)
	w.restart(worker, firstStartedAt)
	w.restart(other, firstStartedAt)
	s := w.serve()
	servers := w.availableServers(s, "engines")
	r, err := s.reserve(t.Context(), "r1", placement.Choice{Server: servers[0], Helpers: servers[1:], Reserved: []int64{1000, 1000}})
	require.NoError(t, err)
	w.restart(worker, secondStartedAt)
	w.eventually("the new incarnation is known", func() bool { return s.superseded(servers[0]) })
	before := len(worker.Orders())
	renewed := len(other.Orders())
	w.eventually("the other part is renewed", func() bool { return len(other.Orders()) >= renewed+2 })
	require.Len(t, worker.Orders(), before)
	<-r.startRelease()
	require.Empty(t, worker.Reserved())
	require.Empty(t, other.Reserved())
}

// While the store is unavailable a server crashes and restarts, and a peer has learned of it. The
// view of an entry that does not know start times must not remove the server.
func TestAPeersViewContainsANewIncarnation(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	w.restart(worker, firstStartedAt)
	s := w.serve()
	known := w.availableServers(s, "plain")[0]
	next := known
	next.StartedAtMs, next.Revision = secondStartedAt, known.Revision+5
	s.applyView(peerlink.View{Servers: []directory.Server{{ID: known.ID, Service: known.Service, Address: known.Address, Slots: known.Slots, Revision: known.Revision + 9}}}, "old", true)
	require.Equal(t, firstStartedAt, w.availableServers(s, "plain")[0].StartedAtMs)
	s.applyView(peerlink.View{Servers: []directory.Server{next}}, "new", true)
	require.Equal(t, secondStartedAt, w.availableServers(s, "plain")[0].StartedAtMs)
}

// Another writer overwrites a server's row. The entry must not use what the row names, keeps the
// other servers, and uses the server again after its own next row.
func TestAnUnreadableRowRemovesTheServerUntilItsNextRow(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	w.worker("i-2", "plain", nil)
	s := w.serve()
	key, row := worker.Row("ready")
	w.store.PutRaw(key, []byte("{\"Service\":\"plain\",\"Addr"))
	w.eventually("the truncated row is known", func() bool { return len(w.availableServers(s, "plain")) == 1 })
	require.EqualValues(t, 1, s.counters.rowsRejected.Count())
	for range 5 {
		require.Equal(t, "answer of i-2", w.call(s, http.MethodGet, "/read/", 0, "").body)
	}
	w.store.Put(key, row)
	w.eventually("the server is back", func() bool { return len(w.availableServers(s, "plain")) == 2 })
}

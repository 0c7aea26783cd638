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
	"arbutusdeck/platform/standin"
)

const (
	firstBirth  = int64(1_700_000_000_000)
	secondBirth = firstBirth + 800
)

// reborn starts a worker anew under its identifier: another process on the same address.
func (w *world) reborn(worker *standin.Worker, birth int64) {
	worker.StartedAtMs = birth
	w.store.Put(worker.Row("ready"))
}

// start returns the name of a worker's present start.
func startOf(worker *standin.Worker) string {
	return directory.Server{ID: worker.ID, StartedAtMs: worker.StartedAtMs}.IncarnationID()
}

// A worker is leaving, crashes and is back under its identifier. Its callers would be
// refused for as long as it lives if the new start were taken for the leaving one.
func TestAWorkerThatIsBackAfterItsLeavingGetsRequests(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	w.reborn(worker, firstBirth)
	s := w.serve()
	w.store.Put(worker.Row("draining"))
	w.eventually("the leaving is known", func() bool { return len(w.available(s, "plain")) == 0 })
	w.reborn(worker, secondBirth)
	w.eventually("the new start is known", func() bool { return len(w.available(s, "plain")) == 1 })
	require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
}

func (w *world) available(s *Server, service string) []directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Available(service)
}

// A worker crashes while it writes an answer, and is back under its identifier before the
// entry notices. The request is over there; counted for the new start, it would keep others
// off a server that is idle, until its time has passed.
func TestWorkOfADeadStartDoesNotCountForTheNextOne(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	release, started := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	worker := w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(end) // before the worker closes, which waits for its requests
	w.reborn(worker, firstBirth)
	s := w.serve()
	done := make(chan reply, 1)
	go func() { done <- w.call(s, http.MethodPost, "/stream/", 2000, "x") }()
	<-started
	s.serverFailed(startOf(worker))
	w.reborn(worker, secondBirth)
	w.eventually("the new start is known", func() bool { return w.available(s, "engines")[0].StartedAtMs == secondBirth })
	choice := w.choose(s)
	require.Equal(t, startOf(worker), choice.Server.IncarnationID())
	require.Zero(t, choice.Load.Requests)
	require.Less(t, choice.Loss, 0.3, "its failures are the dead start's")
	end()
	require.Equal(t, 200, (<-done).status)
}

// choose asks the entry for a server for a short prompt.
func (w *world) choose(s *Server) placement.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, refusal := s.book.Choose(time.Now(), placement.Query{Servers: s.directory.Available("engines"), Engine: s.table.Load().Service("engines").Engine,
		PromptTokens: 2000, AnswerTokens: 500, Target: time.Second, Gap: time.Second, Remaining: 10 * time.Second})
	require.Empty(w.t, refusal)
	return choice
}

// Another entry's news of a dead start arrives late, or its news of a new start before the
// row: the one counts for nobody, the other for the new start.
func TestNewsOfStartsArriveInAnyOrder(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	worker := w.worker("i-1", "engines", nil)
	w.reborn(worker, secondBirth)
	s := w.serve()
	begun := func(id string, born int64) peering.Message {
		start := directory.Server{ID: "i-1", StartedAtMs: born}.IncarnationID()
		return peering.Message{From: "127.0.0.1:1", Incarnation: "x", Begun: []placement.Dispatch{{ID: id, Server: start, PromptTokens: 2000, Lifetime: time.Minute}}}
	}
	s.takeNews(time.Now(), begun("late", firstBirth), false)
	require.True(t, s.booked(0)())
	third := secondBirth + 500
	s.takeNews(time.Now(), begun("early", third), false)
	require.True(t, s.booked(1)())
	require.Zero(t, w.choose(s).Load.Requests, "the start that is known here has nothing to do")
	w.reborn(worker, third)
	w.eventually("the third start is known", func() bool { return w.available(s, "engines")[0].StartedAtMs == third })
	require.Equal(t, 1, w.choose(s).Load.Requests)
}

// A server that holds a part of a prompt in a reservation crashes and is back. The
// reservation is gone there; a renewal would set memory aside that no request uses.
func TestAReservationIsNotRenewedAtANewStart(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	worker := w.worker("i-1", "engines", nil)
	other := w.worker("i-2", "engines", nil)
	w.reborn(worker, firstBirth)
	w.reborn(other, firstBirth)
	s := w.serve()
	servers := w.available(s, "engines")
	r, err := s.reserve(t.Context(), "r1", placement.Choice{Server: servers[0], Helpers: servers[1:], Reserved: []int64{1000, 1000}})
	require.NoError(t, err)
	w.reborn(worker, secondBirth)
	w.eventually("the new start is known", func() bool { return s.superseded(servers[0]) })
	before := len(worker.Orders())
	renewed := len(other.Orders())
	w.eventually("the other part is renewed", func() bool { return len(other.Orders()) >= renewed+2 })
	require.Len(t, worker.Orders(), before)
	<-r.end()
	require.Empty(t, worker.Reserved())
	require.Empty(t, other.Reserved())
}

// While the store is away a worker crashes and is back; a peer has heard of it. A view of
// an entry that doesn't know births must not take the server away.
func TestAPeersViewTellsOfANewStart(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	w.reborn(worker, firstBirth)
	s := w.serve()
	known := w.available(s, "plain")[0]
	next := known
	next.StartedAtMs, next.Revision = secondBirth, known.Revision+5
	s.adoptView(view{Servers: []directory.Server{{ID: known.ID, Service: known.Service, Address: known.Address, Slots: known.Slots, Revision: known.Revision + 9}}}, "old", true)
	require.Equal(t, firstBirth, w.available(s, "plain")[0].StartedAtMs)
	s.adoptView(view{Servers: []directory.Server{next}}, "new", true)
	require.Equal(t, secondBirth, w.available(s, "plain")[0].StartedAtMs)
}

// A row is written over by somebody else. The entry must not use what it names, keeps the
// other servers, and uses the server again after its own next row.
func TestARowOfAnotherWriterTakesTheServerOutUntilItsNextRow(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	w.worker("i-2", "plain", nil)
	s := w.serve()
	key, row := worker.Row("ready")
	w.store.PutRaw(key, []byte("{\"Service\":\"plain\",\"Addr"))
	w.eventually("the torn row is known", func() bool { return len(w.available(s, "plain")) == 1 })
	require.EqualValues(t, 1, s.counters.rowsRejected.Count())
	for range 5 {
		require.Equal(t, "answer of i-2", w.call(s, http.MethodGet, "/read/", 0, "").body)
	}
	w.store.Put(key, row)
	w.eventually("the server is back", func() bool { return len(w.available(s, "plain")) == 2 })
}

package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform/standin"
)

// requestPath is a way on which a request comes to a server.
type requestPath struct {
	name, service, method, path string
	tokens                      int
	// script is that of the server in question, otherScript that of the others.
	script, otherScript http.HandlerFunc
	// inOrders is set if the server states something in its responses to orders only.
	inOrders bool
	// interval is the time between two callers.
	interval time.Duration
	// othersServe is set if the others serve all requests.
	othersServe bool
}

func requestPaths() []requestPath {
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	const quick, rare = 10 * time.Millisecond, 200 * time.Millisecond
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) }
	return []requestPath{
		{"plain", "plain", http.MethodPost, "/order/x", 0, nil, slow, false, quick, true},
		{"stream", "engines", http.MethodPost, "/stream/x", 2000, events, events, false, quick, true},
		{"retry", "plain", http.MethodGet, "/read/x", 0, nil, standin.NotExecuted, false, quick, false},
		{"resumed", "engines", http.MethodPost, "/stream/x", 2000, events, standin.BreakFirstStream(4, 1), false, quick, true},
		{"split", "engines", http.MethodPost, "/stream/x", 200_000, events, events, false, rare, true},
		{"reserved", "engines", http.MethodPost, "/stream/x", 300_000, events, events, true, rare, true},
	}
}

// statingServer is a server whose statements are tested, beside others of its service.
type statingServer struct {
	*standin.Worker
	arrivals *arrivalLog
}

// work returns the number of requests and reservations that have come to the server.
func (s *statingServer) work() int {
	count := len(s.arrivals.since(time.Time{}))
	for _, order := range s.Orders() {
		if order.Operation == "reserve" {
			count++
		}
	}
	return count
}

// addStating adds the server in question and two others.
func (w *testbed) addStating(p requestPath) *statingServer {
	server := &statingServer{standin.NewWorker("i-stating", p.service), &arrivalLog{}}
	server.OnRequest, server.Script = server.arrivals.add, p.script
	server.StatesInOrdersOnly.Store(p.inOrders)
	w.addRow(server.Worker)
	w.worker("i-other-1", p.service, p.otherScript)
	w.worker("i-other-2", p.service, p.otherScript)
	return server
}

// callUntilHeard sends requests until a server has got one.
func (w *testbed) callUntilHeard(s *Server, p requestPath, server *statingServer) {
	w.eventually("the server gets a request", func() bool {
		w.call(s, p.method, p.path, p.tokens, "x")
		return server.work() > 0
	})
}

// The store was down while a server left. It said so in each of its responses, and went on to get requests until the
// store was back.
func TestAServerThatStatesItIsLeavingGetsNoNewRequests(t *testing.T) {
	for _, p := range requestPaths() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			leaving := w.addStating(p)
			leaving.StateLeaving()
			s := w.serve()
			w.callUntilHeard(s, p, leaving)
			before := leaving.work()
			for range 10 {
				w.eventually("all memory is released", w.allReleased)
				r := w.call(s, p.method, p.path, p.tokens, "x")
				require.Equal(t, p.othersServe, r.status == http.StatusOK, r.body)
			}
			require.Equal(t, before, leaving.work())
		})
	}
}

// A request that waited at the entry was sent to the server that it had waited for, though that one was leaving by then.
func TestAQueuedRequestIsNotSentToALeavingServer(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	worker.StateLimit(0.5)
	s := w.serve()
	require.Equal(t, http.StatusOK, w.order(s).status)
	done := make(chan reply, 1)
	go func() { done <- w.order(s) }()
	w.eventually("it waits", func() bool { return s.manager.Open() == 1 })
	s.recordLeaving(w.availableServers(s, "plain")[0])
	refused := <-done
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "notRun", problemOf(t, refused).Run)
	require.Len(t, worker.Runs(), 1)
}

// A server began to leave between a choice and the end of the reservation for it.
func TestAChoiceIsNotUsedAfterItsServerStatedItIsLeaving(t *testing.T) {
	for _, role := range []string{"server", "helper"} {
		t.Run(role, func(t *testing.T) {
			w := newTestbed(t)
			w.configure(nil)
			events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
			first, second := w.worker("i-1", "engines", events), w.worker("i-2", "engines", events)
			s := w.serve()
			servers := w.availableServers(s, "engines")
			choice := placement.Choice{Server: servers[0], Helpers: servers[1:]}
			_, refuses := s.refusingServer(time.Now(), choice)
			require.False(t, refuses)
			leaving := map[string]*standin.Worker{"server": first, "helper": second}[role]
			s.recordLeaving(directory.Server{ID: leaving.ID})
			server, refuses := s.refusingServer(time.Now(), choice)
			require.True(t, refuses)
			require.Equal(t, leaving.ID, server.ID)
		})
	}
}

// pauseKnown reports whether a server has asked the entry for a pause.
func (s *Server) pauseKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pauses.Empty()
}

// A server that had turned an entry away and asked for a pause got its next request half a second later.
func TestAServerThatAsksForAPauseGetsNoRequestUntilItIsOver(t *testing.T) {
	const pause = 2 * time.Second
	for _, p := range requestPaths() {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			pausing := w.addStating(p)
			s := w.serve()
			w.eventually("the entry is told", func() bool {
				if !pausing.RefusalPending() {
					// The entry does not read the response to an attempt that it has moved to another server.
					pausing.RefuseFor(pause.Seconds())
				}
				w.call(s, p.method, p.path, p.tokens, "x")
				return s.pauseKnown()
			})
			before := pausing.work()
			var calls sync.WaitGroup
			for time.Since(pausing.RefusedAt()) < pause-100*time.Millisecond {
				calls.Go(func() { w.call(s, p.method, p.path, p.tokens, "x") })
				time.Sleep(p.interval)
			}
			require.Equal(t, before, pausing.work())
			calls.Wait()
			if p.inOrders {
				return // without the others there is no memory for the prompt
			}
			for _, other := range w.workers[1:] {
				other.Refuse.Store(true)
			}
			w.eventually("it gets requests afterwards", func() bool {
				// A longer prompt would wait until it costs others little, at a server that is left alone.
				w.call(s, p.method, p.path, min(p.tokens, 2000), "x")
				return pausing.work() > before
			})
		})
	}
}

// Callers of a service whose servers had all asked for a pause were sent to them all the same.
func TestCallersAreToldWhenTheFirstPauseEnds(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	workers := []*standin.Worker{w.worker("i-1", "plain", nil), w.worker("i-2", "plain", nil)}
	s := w.serve()
	for i, worker := range workers {
		worker.RefuseFor(6 + 4*float64(i))
	}
	refused := w.order(s)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.InDelta(t, 6, retryAfterSeconds(t, refused), 2, "both have refused it")
	began := time.Now()
	refused = w.order(s)
	require.Less(t, time.Since(began), time.Second, "it can't be served in time")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "notRun", problemOf(t, refused).Run)
	require.InDelta(t, 6, retryAfterSeconds(t, refused), 2, "the first pause, and callers are spread around its end")
	require.Zero(t, w.runCount())
}

// A caller was told to stay away for the pause that one server had asked this entry for, although others were free.
func TestOneServersPauseDoesNotKeepCallersAway(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	pausing, other := w.worker("i-1", "plain", nil), w.worker("i-2", "plain", nil)
	s := w.serve()
	pausing.RefuseFor(8)
	other.Refuse.Store(true)
	s.reportUnreachable(pausing.ID) // so that it is the last that refuses
	refused := w.order(s)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Less(t, retryAfterSeconds(t, refused), 1.0)
	require.True(t, s.pauseKnown())
	other.Refuse.Store(false)
	require.Equal(t, http.StatusOK, w.order(s).status)
}

// The pause of a server that has ended must not hold for the next one under its identifier.
func TestAPauseHoldsForAnIncarnation(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := standin.NewWorker("i-1", "plain")
	worker.StartedAtMs = 1_000
	w.addRow(worker)
	s := w.serve()
	worker.RefuseFor(60)
	require.Equal(t, http.StatusServiceUnavailable, w.order(s).status)
	require.Equal(t, http.StatusServiceUnavailable, w.order(s).status)
	worker.StartedAtMs = 2_000
	w.store.Put(worker.Row("ready"))
	w.eventually("its next incarnation gets requests", func() bool { return w.order(s).status == http.StatusOK })
}

// A pause concerns the entry that was asked for it, not the others.
func TestAPauseHoldsForOneEntry(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	first, second := w.serveTwo()
	worker.RefuseFor(60)
	require.Equal(t, http.StatusServiceUnavailable, w.order(first).status)
	require.Equal(t, http.StatusServiceUnavailable, w.order(first).status)
	require.Equal(t, http.StatusOK, w.order(second).status)
}

package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/platform/standin"
)

const (
	// limitWindow is the time in which a limited server may get 1.5 times what its limit allows, and limitExtra
	// requests more.
	limitWindow = 4 * time.Second
	limitExtra  = 5
	// limitNotice is the time after the first statement of a limit from which it has to be kept.
	limitNotice = 3 * time.Second
)

// requireWithinLimit checks the arrivals at a server that states a limit.
func requireWithinLimit(t *testing.T, arrivals []time.Time, perSecond float64) {
	allowed := 1.5*perSecond*limitWindow.Seconds() + limitExtra
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), allowed, "in %s from arrival %d of %d", limitWindow, i, len(arrivals))
	}
}

// arrivalLog records the arrivals at a server, including those that it does not run.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalLog) add(run standin.Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, run.At)
}

// since returns the arrivals from a time on.
func (a *arrivalLog) since(from time.Time) []time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var times []time.Time
	for _, at := range a.times {
		if at.After(from) {
			times = append(times, at)
		}
	}
	return times
}

// serveMany runs entries that know each other.
func (w *testbed) serveMany(count int) []*Server {
	entries := []*Server{w.serve()}
	for range count - 1 {
		s := w.start(w.newSettings(entries[0].settings.PeerAddress))
		w.eventually("the entry serves", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
		entries = append(entries, s)
	}
	w.eventually("all know each other", func() bool {
		for _, s := range entries {
			if len(s.peers.Membership(time.Now()).Alive) != count-1 {
				return false
			}
		}
		return true
	})
	return entries
}

// callAll sends a request to each entry in turn, every few milliseconds for a while, and counts the statuses.
func (w *testbed) callAll(entries []*Server, method, path string, tokens int, length time.Duration) map[int]int {
	var mu sync.Mutex
	var done sync.WaitGroup
	statuses := map[int]int{}
	for began := time.Now(); time.Since(began) < length; {
		for _, s := range entries {
			done.Go(func() {
				status := w.call(s, method, path, tokens, "x").status
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		time.Sleep(60 * time.Millisecond)
	}
	done.Wait()
	return statuses
}

// A server that stated a limit for all entries together went on to get its full share of the requests.
func TestEntriesTogetherKeepToAServersRequestLimit(t *testing.T) {
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	cases := []struct {
		name, service, method, path string
		tokens                      int
		// limitedScript and otherScript are those of the limited server and of the other one.
		limitedScript, otherScript http.HandlerFunc
	}{
		{"plain", "plain", http.MethodPost, "/order/x", 0, nil, nil},
		{"stream", "engines", http.MethodPost, "/stream/x", 2000, events, events},
		{"retry", "plain", http.MethodGet, "/read/x", 0, nil, standin.NotExecuted},
		{"resumed", "engines", http.MethodPost, "/stream/x", 2000, events, standin.BreakFirstStream(4, 1)},
		{"split", "engines", http.MethodPost, "/stream/x", 200_000, events, events},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			limited, arrivals := standin.NewWorker("i-limited", c.service), &arrivalLog{}
			limited.OnRequest, limited.Script = arrivals.add, c.limitedScript
			limited.StateLimit(1)
			w.addRow(limited)
			other := w.worker("i-other", c.service, c.otherScript)
			entries := w.serveMany(3)
			statuses := w.callAll(entries, c.method, c.path, c.tokens, limitNotice)
			require.NotZero(t, statuses[http.StatusOK], fmt.Sprint(statuses))
			all := arrivals.since(time.Time{})
			require.NotEmpty(t, all)
			// From here on the limited server is the only one that could take the requests.
			other.Refuse.Store(true)
			// A longer prompt would wait until it costs others little.
			w.callAll(entries, c.method, c.path, min(c.tokens, 100_000), limitWindow+2*time.Second)
			kept := arrivals.since(all[0].Add(limitNotice))
			require.NotEmpty(t, kept, "the server gets what it takes")
			requireWithinLimit(t, kept, 1)
		})
	}
}

// limitsKnown returns a condition: the entry knows count servers that state a limit.
func (s *Server) limitsKnown(count int) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.limiter.Count() == count
	}
}

// order calls the plain service and returns the status.
func (w *testbed) order(s *Server) reply { return w.call(s, http.MethodPost, "/order/x", 0, "x") }

// retryAfterSeconds returns the Retry-After of a reply.
func retryAfterSeconds(t *testing.T, r reply) float64 {
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return after
}

// Callers whose servers all keep to limits waited until their deadline, or came back at once.
func TestRequestsBeyondALimitAreRefusedWithTheTimeToReturn(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := standin.NewWorker("i-limited", "plain")
	worker.StateLimit(0.25)
	w.addRow(worker)
	s := w.serve()
	require.Equal(t, http.StatusOK, w.order(s).status)
	began := time.Now()
	refused := w.order(s)
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, "notRun", problemOf(t, refused).Run)
	require.InDelta(t, 4, retryAfterSeconds(t, refused), 1.5, "the next request is due after 4 s, and callers are spread around it")
	require.Len(t, worker.Runs(), 1)
}

// An entry that had not had such an answer itself sent a limited server as much as before.
func TestALimitAndItsEndReachEntriesThatHaveNotHeardThem(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := standin.NewWorker("i-limited", "plain")
	worker.StateLimit(100)
	w.addRow(worker)
	first, second := w.serveTwo()
	require.Equal(t, http.StatusOK, w.order(first).status)
	w.eventually("the second knows the limit", second.limitsKnown(1))
	third := w.start(w.newSettings(first.settings.PeerAddress))
	w.eventually("so does an entry that starts later", third.limitsKnown(1))
	worker.StateNoLimit()
	require.Equal(t, http.StatusOK, w.order(second).status)
	for _, s := range []*Server{first, second, third} {
		w.eventually("all know its end", s.limitsKnown(0))
	}
}

// A limit that is told within a zone only never ended at the entries of other zones, which also use plain servers.
func TestALimitAndItsEndReachOtherZones(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	limited := w.workerIn("here", "plain", "plain", nil)
	limited.StateLimit(100)
	here, there := w.startTwoZones()
	require.Equal(t, http.StatusOK, w.order(here).status)
	w.eventually("the other zone knows the limit", there.limitsKnown(1))
	require.Equal(t, http.StatusServiceUnavailable, w.order(there).status, "only entries of the server's zone share its limit")
	limited.StateNoLimit()
	require.Equal(t, http.StatusOK, w.order(here).status)
	w.eventually("the other zone knows its end", there.limitsKnown(0))
	require.Equal(t, http.StatusOK, w.order(there).status)
}

// The limit of a server that has ended must not hold for the next one at its address.
func TestALimitHoldsForAnIncarnationNotForAnAddress(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := standin.NewWorker("i-1", "plain")
	worker.StartedAtMs = 1_000
	worker.StateLimit(0.1)
	w.addRow(worker)
	s := w.serve()
	require.Equal(t, http.StatusOK, w.order(s).status)
	require.Equal(t, http.StatusServiceUnavailable, w.order(s).status)
	worker.StartedAtMs = 2_000
	worker.StateNoLimit()
	w.store.Put(worker.Row("ready"))
	w.eventually("its next incarnation gets requests", func() bool { return w.order(s).status == http.StatusOK })
	require.Equal(t, http.StatusOK, w.order(s).status)
}

// A server that has taken over the address of another one answers 421. Its limit counts for itself, not for the server
// that the request was meant for.
func TestALimitInAMisdirectedResponseCountsForItsSender(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker, arrivals := standin.NewWorker("i-new", "plain"), &arrivalLog{}
	worker.OnRequest = arrivals.add
	worker.StateLimit(0.1)
	w.addRow(worker)
	_, row := worker.Row("ready")
	w.store.Put(standin.RowKey("i-gone"), row)
	s := w.start(w.newSettings())
	w.eventually("both rows are known", func() bool { return len(w.availableServers(s, "plain")) == 2 })
	w.eventually("a request was meant for the other one", func() bool {
		w.order(s)
		return len(arrivals.since(time.Time{})) > len(worker.Runs())
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 1, s.limiter.Count())
	_, sends := s.limiter.Next(time.Now(), "i-gone", func(string) ratelimit.Share { return ratelimit.Share{} })
	require.True(t, sends, "no limit is known of it")
}

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
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/platform/standin"
)

// Two entries choose the same server. Each has to know what the other sent there, or both would
// consider it idle.
func TestEntriesExchangeTheirDispatches(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		<-release
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(end)
	first := w.serve()
	second := w.start(w.newSettings(first.settings.PeerAddress))
	w.eventually("the second knows the server", func() bool { return w.isCurrent(second) })
	w.eventually("they know each other", func() bool {
		return len(first.peers.Membership(time.Now()).Alive) == 1
	})
	// The second has received what was open before; from here on it knows only new updates.
	first.peers.HandleMessage(time.Now(), peering.Message{From: second.settings.PeerAddress, Incarnation: second.incarnation})
	done := make(chan reply, 1)
	go func() { done <- w.call(first, http.MethodPost, "/stream/", 2000, "x") }()
	w.eventually("the second tracks it", second.hasDispatches(1))
	end()
	require.Equal(t, 200, (<-done).status)
	w.eventually("the second knows that it is over", second.hasDispatches(0))
}

// hasDispatches returns a condition: the entry's load table holds count dispatches.
func (s *Server) hasDispatches(count int) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.loadTable.ActiveCount() == count
	}
}

// An entry starts while a request of another one is open. It missed the update of that request, and
// would consider the server free unless the dispatch is reported to it again.
func TestAStartedEntryLearnsOfOpenDispatches(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	worker := w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		<-release
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(end)
	first := w.serve()
	done := make(chan reply, 1)
	go func() { done <- w.call(first, http.MethodPost, "/stream/", 2000, "x") }()
	w.eventually("the request is open", func() bool { return len(worker.Runs()) == 1 })
	second := w.start(w.newSettings(first.settings.PeerAddress))
	w.eventually("the started entry tracks it", second.hasDispatches(1))
	end()
	require.Equal(t, 200, (<-done).status)
	w.eventually("and knows that it is over", second.hasDispatches(0))
}

// Two entries can't reach each other. Each sends short prompts only to the servers that it owns,
// although both consider all servers idle.
func TestPartitionedEntriesUseDifferentServers(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) }
	for i := range 4 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", events)
	}
	s := w.serve()
	const other = "127.0.0.1:1"
	s.peers.HandleMessage(time.Now().Add(-peering.SuspectAfter), peering.Message{From: other, Incarnation: "x"})
	own := 0
	owners := peering.Owners([]string{s.settings.PeerAddress, other}, []string{"i-0", "i-1", "i-2", "i-3"})
	for range 12 {
		require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/", 2000, "x").status)
	}
	for _, worker := range w.workers {
		if owners[worker.ID] == s.settings.PeerAddress {
			own += len(worker.Runs())
		}
	}
	require.Equal(t, 12, own)
}

// serveTwo runs two entries, the first of which knows that the second serves.
func (w *testbed) serveTwo() (first, second *Server) {
	first = w.serve()
	second = w.start(w.newSettings(first.settings.PeerAddress))
	w.eventually("the second serves", func() bool { return second.manager.State() == lifecycle.Serving })
	w.eventually("the first hears it", func() bool {
		wait, known := first.peers.TimeToNextServing(time.Now(), first.ShutdownTimeout())
		return known && wait == 0
	})
	return first, second
}

// A stopping entry gets a request whose response would outlast it. It refuses the request, since
// another entry serves. Once that entry stops as well, the request is accepted: a response that may
// be aborted is better than none.
func TestAStoppingEntryRefusesRequestsThatOutlastIt(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) })
	first, second := w.serveTwo()
	first.manager.Join()
	defer first.manager.End()
	first.manager.Drain()
	long := func() int {
		request := standin.NewRequest(first.settings.ListenAddress, http.MethodPost, "/stream/", "long", 0, "x")
		return call(standin.SetTokens(request, 2000, 8000)).status
	}
	require.Equal(t, http.StatusServiceUnavailable, long())
	require.Equal(t, 200, w.call(first, http.MethodPost, "/stream/", 2000, "x").status, "a short response ends before")
	second.manager.Join()
	defer second.manager.End()
	second.manager.Drain()
	w.eventually("the first hears of the second's stop", func() bool { return long() == 200 })
}

// In a rolling restart that is faster than the entries drain, both entries are stopping and refuse
// new requests. A caller whose Retry-After allowed an immediate retry was refused by the other
// entry too, and had no retry left. Retry-After names the start of the next entry; while another
// one serves, the caller retries at once.
func TestTheRetryAfterDuringShutdownIsTheNextEntrysStart(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "engines", nil)
	first, second := w.serveTwo()
	first.manager.Join() // an open request
	defer first.manager.End()
	first.manager.Drain()
	returnAfter := func() time.Duration {
		r := w.call(first, http.MethodPost, "/stream/", 2000, "x")
		if r.status != http.StatusServiceUnavailable {
			return 0
		}
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		return time.Duration(seconds * float64(time.Second))
	}
	w.eventually("the first refuses", func() bool { return returnAfter() > 0 })
	require.Equal(t, otherEntryDelay, returnAfter())
	second.manager.Join()
	defer second.manager.End()
	second.manager.Drain()
	w.eventually("the first hears of the second's stop", func() bool { return returnAfter() > time.Second })
	require.Less(t, returnAfter(), 2*first.ShutdownTimeout())
}

// A server that went down resets every connection. After one entry has found out, the others of the
// zone avoid the server, and no further request is lost.
func TestAnUnreachableServerIsAvoidedByAllEntries(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	down := w.worker("i-1", "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	w.worker("i-2", "plain", nil)
	first := w.serve()
	second := w.start(w.newSettings(first.settings.PeerAddress))
	w.eventually("the second is heard", func() bool {
		return w.isCurrent(second) && len(first.peers.Membership(time.Now()).Local) == 1
	})
	first.reportUnreachable("i-1")
	w.eventually("the second has heard of it", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		choice, _ := second.loadTable.Choose(time.Now(), placement.Query{Servers: second.directory.Available("plain")[:1], Remaining: time.Second})
		return choice.Unreachable
	})
	for range 4 {
		require.Equal(t, "answer of i-2", w.call(second, http.MethodGet, "/read/", 0, "").body)
	}
	require.Empty(t, down.Runs())
}

// An entry serves before it knows most others, and would spend many times its part of the
// shared retry budget.
func TestARetryBudgetIsDividedByTheKnownEntries(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	require.True(t, s.takeRetry(time.Now(), "plain"))
	var others []string
	for i := range 200 {
		others = append(others, fmt.Sprintf("127.0.0.1:%d", 20_000+i))
	}
	s.peers.HandleMessage(time.Now(), peering.Message{From: others[0], Zone: "here", Members: []peering.ZoneMembers{{Zone: "here", Addresses: others}}})
	time.Sleep(2 * tickInterval)
	require.True(t, s.takeRetry(time.Now(), "plain"))
	require.False(t, s.takeRetry(time.Now(), "plain"), "a part of 0.35 in ten seconds, and one saved token")
}

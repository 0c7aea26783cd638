package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/lifecycle"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

func TestARequestIsForwardedUnchanged(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "plain", nil)
	s := w.serve()
	r := w.call(s, http.MethodPost, "/order/a%2Fb/?x=1&y=%20", 0, "payload")
	require.NoError(t, r.err)
	require.Equal(t, 200, r.status)
	require.Equal(t, "answer of i-1", r.body)
	require.Equal(t, "signed-by-i-1", r.signature)
	run := worker.Runs()[0]
	require.Equal(t, []string{"POST", "/order/a%2Fb/?x=1&y=%20", "press.example", "payload", "press"},
		[]string{run.Method, run.URI, run.Host, run.Body, run.Workspace})
	require.NotContains(t, fmt.Sprint(run.Header), "key-1", "the API key is not forwarded")
	require.NotContains(t, fmt.Sprint(run.Header), "gzip", "the caller asked for no encoding")
}

func TestTheEntrysOwnRefusals(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	require.Equal(t, 404, w.call(s, http.MethodGet, "/none/", 0, "").status)
	require.Equal(t, 413, w.call(s, http.MethodPost, "/order/", 0, strings.Repeat("x", 5000)).status)
	unknown := call(standin.SetAPIKey(standin.NewRequest(s.settings.ListenAddress, http.MethodGet, "/read/", "1", 0, ""), "key-x"))
	require.Equal(t, 401, unknown.status)
	require.Zero(t, w.runCount())
	require.Equal(t, 503, w.call(s, http.MethodPost, "/stream/", 1000, "").status, "no server of the service is known")
}

// A starting entry that has no configuration must not respond that a route or key does not exist:
// callers would not retry.
func TestWithoutAConfigurationRequestsAreRefusedAsUnavailable(t *testing.T) {
	w := newTestbed(t)
	s := w.start(w.newSettings())
	r := w.call(s, http.MethodGet, "/read/", 0, "")
	require.Equal(t, 503, r.status)
	require.Equal(t, CodeNoConfiguration, problemOf(t, r).Code)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	ready, err := http.Get("http://" + s.settings.ReadyAddress + platform.ReadyPath)
	require.NoError(t, err)
	require.Equal(t, 503, ready.StatusCode)
	require.NoError(t, ready.Body.Close())
}

// Callers whose entries had all failed retried while these were starting, were refused for lack of
// a configuration, and had no retry left. The configuration arrived a tenth of a second later.
func TestARequestWaitsForAStartingEntry(t *testing.T) {
	w := newTestbed(t)
	s := w.start(w.newSettings())
	result := make(chan reply, 1)
	go func() { result <- w.call(s, http.MethodGet, "/read/", 0, "") }()
	w.eventually("it waits", func() bool { return s.manager.Open() == 1 })
	w.worker("i-1", "plain", nil)
	w.configure(nil)
	r := <-result
	require.NoError(t, r.err)
	require.Equal(t, 200, r.status, r.body)
}

// A server runs an order and its connection breaks before the response. The caller gets 502 at
// once; a second run could charge the order twice.
func TestAnOrderWhoseResponseIsLostRunsOnce(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for _, id := range []string{"i-1", "i-2"} {
		w.worker(id, "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	s := w.serve()
	r := w.call(s, http.MethodPost, "/order/", 0, "once")
	require.Equal(t, 502, r.status)
	require.Equal(t, "unknown", problemOf(t, r).Run)
	require.Empty(t, r.header.Get("Retry-After"))
	require.Equal(t, 1, w.runCount())
}

// One server reports that it did not run the order, and it is sent to the other one. If both report
// so, the caller learns that nothing ran and when to retry.
func TestAnOrderThatWasNotExecutedIsRetriedElsewhere(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	first, second := w.worker("i-1", "plain", nil), w.worker("i-2", "plain", nil)
	first.Refuse.Store(true)
	s := w.serve()
	for range 4 {
		require.Equal(t, "answer of i-2", w.call(s, http.MethodPost, "/order/", 0, "x").body)
	}
	second.Refuse.Store(true)
	r := w.call(s, http.MethodPost, "/order/", 0, "x")
	require.Equal(t, 503, r.status)
	require.Equal(t, "notRun", problemOf(t, r).Run)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, 4, w.runCount())
}

// A server responds to an idempotent request with an error, a truncated response, that of another
// request, or an unsigned or encoded success. The caller gets the complete response of a healthy
// server.
func TestAnIdempotentRequestGetsACompleteResponse(t *testing.T) {
	for name, script := range map[string]http.HandlerFunc{
		"fails": func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(500) },
		"shortens": func(out http.ResponseWriter, _ *http.Request) {
			out.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(out, "half")
		},
		"crosses":  standin.WrongRequest,
		"unsigned": standin.Unsigned,
		"encoded": func(out http.ResponseWriter, _ *http.Request) {
			out.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(out, "not a body")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t)
			w.configure(nil)
			bad := w.worker("i-bad", "plain", script)
			w.worker("i-good", "plain", nil)
			s := w.serve()
			// Equal servers are chosen at random: call until the faulty one was chosen.
			for calls := 0; len(bad.Runs()) == 0; calls++ {
				require.Less(t, calls, 1000)
				r := w.call(s, http.MethodGet, "/read/", 0, "")
				require.Equal(t, "answer of i-good", r.body)
				require.Equal(t, "signed-by-i-good", r.signature)
			}
		})
	}
}

// A server fails in the middle of the fourth event. The caller gets each of the eight events once,
// under the headers of the first server.
func TestABrokenStreamIsResumedAtAnotherServer(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	breaks := standin.BreakFirstStream(8, 3)
	w.worker("i-1", "engines", breaks)
	w.worker("i-2", "engines", breaks)
	s := w.serve()
	r := w.call(s, http.MethodPost, "/stream/", 2000, "prompt")
	require.NoError(t, r.err)
	want := ""
	for i := range 8 {
		want += fmt.Sprintf("id: %d\ndata: event %d\n\n", i+1, i+1)
	}
	require.Equal(t, want, r.body)
	require.Equal(t, 2, w.runCount())
	for _, worker := range w.workers {
		for _, run := range worker.Runs() {
			if run.LastEventID == "" {
				require.Equal(t, "signed-by-"+worker.ID, r.signature)
			} else {
				require.Equal(t, "3", run.LastEventID)
			}
		}
	}
}

// Both servers break the stream. The caller must see a broken response, not one that looks
// complete.
func TestAStreamThatCannotResumeDoesNotLookComplete(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for _, id := range []string{"i-1", "i-2"} {
		w.worker(id, "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 8, 3) })
	}
	s := w.serve()
	r := w.call(s, http.MethodPost, "/stream/", 2000, "prompt")
	require.Error(t, r.err)
	require.NotContains(t, r.body, "half")
	require.Equal(t, 2, w.runCount())
}

// The only server of a service responds to an idempotent request with an error. A retry is allowed,
// but no other server is left. The caller gets the server's signed response rather than an error of
// the entry.
func TestAServersErrorResponseIsDeliveredIfNoOtherServerIsLeft(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", func(out http.ResponseWriter, _ *http.Request) {
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(out, "failure of i-1")
	})
	s := w.serve()
	r := w.call(s, http.MethodGet, "/read/", 0, "")
	require.Equal(t, 500, r.status, r.body)
	require.Equal(t, "failure of i-1", r.body)
	require.Equal(t, "signed-by-i-1", r.signature)
	require.Equal(t, 1, w.runCount())
}

// A key is revoked while its caller keeps a connection open: the next request on it is refused. An
// older configuration that arrives late does not restore the key.
func TestARevokedKeyStaysRevoked(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
	w.configure(func(c map[string]any) {
		c["Tenants"] = []map[string]any{{"Name": "press", "ApiKeys": []string{"key-2"}}}
	})
	w.eventually("the key is refused", func() bool { return w.call(s, http.MethodGet, "/read/", 0, "").status == 401 })
	w.store.Put("op/config", standin.Configuration(1))
	w.worker("i-2", "plain", nil)
	w.eventually("the later row is known", func() bool { return w.isCurrent(s) })
	require.Equal(t, 401, w.call(s, http.MethodGet, "/read/", 0, "").status)
}

func TestARejectedConfigurationLeavesTheCurrentOne(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	bad := standin.Configuration(9)
	bad["Services"] = []map[string]any{}
	w.store.Put("op/config", bad)
	w.worker("i-2", "plain", nil)
	w.eventually("the later row is known", func() bool { return w.isCurrent(s) })
	require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
}

func TestADrainingServerGetsNoNewRequests(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	leaving := w.worker("i-1", "plain", nil)
	w.worker("i-2", "plain", nil)
	s := w.serve()
	key, row := leaving.Row("draining")
	w.store.Put(key, row)
	w.eventually("the draining is known", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.directory.Available("plain")) == 1
	})
	before := len(leaving.Runs())
	for range 10 {
		require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
	}
	require.Len(t, leaving.Runs(), before)
}

// The store goes down: the known state stays in use. An entry that starts meanwhile gets
// configuration and servers from a peer.
func TestAStartingEntryLearnsFromItsPeersWhileTheStoreIsDown(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	first := w.serve()
	w.store.FailWith(http.StatusServiceUnavailable)
	second := w.start(w.newSettings(first.settings.PeerAddress))
	w.eventually("the second is ready", func() bool { return second.manager.State() == lifecycle.Serving })
	require.Equal(t, 200, w.call(first, http.MethodGet, "/read/", 0, "").status)
	require.Equal(t, 200, w.call(second, http.MethodGet, "/read/", 0, "").status)
}

// The caller closes its connection: the server must not continue the request.
func TestACallerThatDisconnectsCancelsItsRequest(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	started, ended := make(chan struct{}), make(chan struct{})
	w.worker("i-1", "engines", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	s := w.serve()
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-started
		leave()
	}()
	r := call(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/", "1", 2000, "x").WithContext(ctx))
	require.Error(t, r.err)
	select {
	case <-ended:
	case <-time.After(testTimeout / 4): // well before the request's deadline
		t.Fatal("the worker still works")
	}
}

// On a graceful shutdown the load balancer is notified at once, open requests finish, and new ones
// on open connections are still served for a while.
func TestAGracefulShutdownAbortsNothing(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	release, started := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		standin.ServeEvents(out, r, 3, 0)
	})
	w.worker("i-2", "plain", nil)
	t.Cleanup(end) // before the servers close, which waits for their requests
	s := w.serve()
	done := make(chan reply, 1)
	go func() { done <- w.call(s, http.MethodPost, "/stream/", 2000, "x") }()
	<-started
	s.manager.Drain()
	ready, err := http.Get("http://" + s.settings.ReadyAddress + platform.ReadyPath)
	require.NoError(t, err)
	require.Equal(t, 503, ready.StatusCode)
	require.NoError(t, ready.Body.Close())
	require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
	require.Equal(t, 2, s.manager.Open(), "the open stream and the shutdown linger delay the exit")
	end()
	r := <-done
	require.NoError(t, r.err)
	require.Equal(t, 3, strings.Count(r.body, "data:"))
	require.NoError(t, s.manager.Wait(t.Context(), testTimeout))
}

func TestMetricsAreServedAsText(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	require.Equal(t, 200, w.call(s, http.MethodGet, "/read/", 0, "").status)
	response, err := http.Get("http://" + s.settings.MetricsAddress + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "arbutusdeck_requests_complete 1")
}

// A caller asks for so many output tokens that the sum with those of the prompt overflowed: the
// request fitted any server, and its server seemed to have all memory free while it ran.
func TestARequestWithAnOverflowingTokenCountIsRefused(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "engines", nil)
	s := w.serve()
	r := call(standin.SetTokens(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/", "a", 0, "prompt"), 2000, math.MaxInt64))
	require.Equal(t, 503, r.status, r.body)
	require.Zero(t, w.runCount())
}

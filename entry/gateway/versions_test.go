package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/platform/standin"
)

// applyLimit is the limit of changes in tests of entries that leave the store to another one.
const applyLimit = 3 * time.Second

// Guards against a version that only a peer has which doesn't deliver it.
func TestAVersionThatAPeerDoesNotDeliverIsReadFromTheStore(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	var version atomic.Uint64
	version.Store(uint64(w.version))
	settings := w.newSettings(newSilentPeer(t, 1000, version.Load))
	settings.ApplyLimit, settings.DrainLimit = config.Duration(applyLimit), config.Duration(applyLimit)
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	w.eventually("it leaves the store to the peer", func() bool { return !s.reader.Reading() })
	w.configure(nil)
	version.Store(uint64(w.version))
	require.Eventually(t, func() bool { return w.isCurrent(s) }, applyLimit, 10*time.Millisecond)
}

// Guards against a watch that was dropped without notice and hides a version for longer than the limit.
func TestASilentWatchIsReplacedInTime(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	begun := w.store.Watches()
	w.eventually("a watch begins", func() bool { return w.store.Watches() > begun })
	w.store.SilenceWatches()
	silentSince := time.Now()
	time.Sleep(time.Second)
	w.configure(nil)
	w.eventually("the version is in force", func() bool { return w.isCurrent(s) })
	require.Less(t, time.Since(silentSince), time.Second+DefaultChangeLimit)
}

// Guards against a refusal for good that rests on a version which the store may have replaced long ago.
func TestARefusalForGoodRestsOnAConfirmedVersion(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	unknownKey := func() reply {
		return call(standin.SetAPIKey(standin.NewRequest(s.settings.ListenAddress, http.MethodGet, "/read/", "unknown-key", 0, ""), "none"))
	}
	require.Equal(t, http.StatusNotFound, w.call(s, http.MethodGet, "/missing/", 0, "").status)
	require.Equal(t, http.StatusUnauthorized, unknownKey().status)
	w.store.FailWith(http.StatusServiceUnavailable)
	time.Sleep(DefaultChangeLimit + DefaultChangeLimit/2)
	for _, refused := range []reply{w.call(s, http.MethodGet, "/missing/", 0, ""), unknownKey()} {
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.NotEmpty(t, refused.header.Get("Retry-After"))
		require.Equal(t, problem{Code: CodeUnconfirmed, Detail: problemOf(t, refused).Detail, Run: "notRun"}, problemOf(t, refused))
	}
	require.Equal(t, http.StatusOK, w.call(s, http.MethodGet, "/read/", 0, "").status)
	w.store.FailWith(0)
	w.eventually("the version is confirmed again", func() bool { return w.call(s, http.MethodGet, "/missing/", 0, "").status == http.StatusNotFound })
	require.Equal(t, http.StatusUnauthorized, unknownKey().status)
	s.peers.HandleMessage(time.Now(), peering.Message{From: "127.0.0.1:1", Incarnation: "x", Zone: "here", Version: uint64(w.version) + 1})
	require.Equal(t, http.StatusServiceUnavailable, w.call(s, http.MethodGet, "/missing/", 0, "").status, "another entry has a later version")
}

// Guards against waiting on a connection to the store that was dropped without notice since its last use.
func TestAConnectionToTheStoreIsNotUsedAfterAWhile(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := storeClient()
	read := func() {
		response, err := client.Get(server.URL)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	read()
	time.Sleep(peering.ReadOptions{Limit: DefaultChangeLimit}.PollDelay())
	read()
	require.EqualValues(t, 1, opened.Load(), "calls of a reader")
	time.Sleep(1500 * time.Millisecond)
	read()
	require.EqualValues(t, 2, opened.Load())
}

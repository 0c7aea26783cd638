package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/config"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/process"
	"arbutusdeck/platform/standin"
)

// testTimeout bounds waits for something that has to happen.
const testTimeout = 20 * time.Second

var nextHost atomic.Int32

// loopbackHost returns a loopback host that no other test uses, so that fixed ports do not collide
// with those of the stand-ins.
func loopbackHost() string {
	n, pid := int(nextHost.Add(1)), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 80+pid%100, (pid/100+n/250)%250, 1+n%250)
}

// testbed is one or several entries with their servers and the platform's store, all on loopback.
type testbed struct {
	t       *testing.T
	store   *standin.Store
	workers []*standin.Worker
	version int
}

func newTestbed(t *testing.T) *testbed {
	w := &testbed{t: t, store: standin.NewStore(), version: 1}
	t.Cleanup(func() {
		w.store.FailWith(http.StatusServiceUnavailable)
		w.store.CloseClientConnections()
		w.store.Close()
	})
	return w
}

// worker adds a backend server. Its fields must be set before its row is written.
func (w *testbed) worker(id, service string, script http.HandlerFunc) *standin.Worker {
	worker := standin.NewWorker(id, service)
	worker.Script = script
	w.addRow(worker)
	return worker
}

// addRow writes a backend server's row, and closes the server at the end of the test.
func (w *testbed) addRow(worker *standin.Worker) {
	w.t.Cleanup(worker.Close)
	w.store.Put(worker.Row("ready"))
	w.workers = append(w.workers, worker)
}

func (w *testbed) configure(change func(map[string]any)) {
	w.version++
	configuration := standin.Configuration(w.version)
	if change != nil {
		change(configuration)
	}
	w.store.Put("op/config", configuration)
}

func (w *testbed) newSettings(seeds ...string) Settings {
	host := loopbackHost()
	return Settings{Name: "entry", Zone: "here", ListenAddress: host + ":7801", ReadyAddress: host + ":7802", PeerAddress: host + ":7803",
		MetricsAddress: host + ":7804", Store: w.store.Address(), Seeds: seeds, MemoryMB: 200, Processors: 2,
		StopLimit: config.Duration(5 * time.Second), RetryRatio: 0.2, RetryExtra: 100, RetryWindow: config.Duration(10 * time.Second),
		ReservationIdle: config.Duration(9 * time.Second)}
}

// start runs an entry until the end of the test.
func (w *testbed) start(settings Settings) *Server {
	s := New(Options{Settings: settings, Log: process.NewDiscardLogger(), Trail: audit.NewTrail(nil, 100)})
	w.startServer(s)
	return s
}

// startServer starts an entry and stops it at the end of the test.
func (w *testbed) startServer(s *Server) {
	t := &tomb.Tomb{}
	t.Go(func() error {
		<-t.Dying()
		return nil
	})
	require.NoError(w.t, s.Start(t))
	w.t.Cleanup(func() {
		t.Kill(nil)
		require.NoError(w.t, t.Wait())
	})
}

// serve runs an entry and waits until it is ready.
func (w *testbed) serve() *Server { return w.serveWith(Overload{}) }

func (w *testbed) serveWith(overload Overload) *Server {
	settings := w.newSettings()
	settings.Overload = overload
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	return s
}

// isCurrent reports whether the entry knows all servers and the latest configuration.
func (w *testbed) isCurrent(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.directory.All()) == len(w.workers) && s.table.Load() != nil && s.table.Load().Version() == uint64(w.version)
}

func (w *testbed) eventually(what string, holds func() bool) {
	w.t.Helper()
	require.Eventually(w.t, holds, testTimeout, 5*time.Millisecond, what)
}

type reply struct {
	status    int
	body      string
	signature string
	header    http.Header
	err       error
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}

func call(request *http.Request) reply {
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, string(body), standin.Signature(response), response.Header, err}
}

func (w *testbed) call(s *Server, method, path string, tokens int, body string) reply {
	return call(standin.NewRequest(s.settings.ListenAddress, method, path, fmt.Sprintf("%x", time.Now().UnixNano()), tokens, body))
}

func (w *testbed) runCount() int {
	count := 0
	for _, worker := range w.workers {
		count += len(worker.Runs())
	}
	return count
}

func problemOf(t *testing.T, r reply) problem {
	var p problem
	require.NoError(t, json.Unmarshal([]byte(r.body), &p), r.body)
	return p
}

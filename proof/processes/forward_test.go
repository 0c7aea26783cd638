package processes

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/entry/gateway"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// forwarding is some entries that forward requests, as processes, before a store and backend
// servers.
type forwarding struct {
	*site
	store   *standin.Store
	entries []gateway.Settings
}

// forwardingSpec describes the entries.
type forwardingSpec struct {
	entries, processors int
	stopLimit           time.Duration
	// memoryMB is what a process may have, in MB; 0 for the usual 200. bodyBytes bounds a request's body; 0 for the usual bound.
	memoryMB, bodyBytes int64
}

var forwardingHosts atomic.Int32

// forwardingHost returns a loopback host that no other entry of these tests has.
func forwardingHost() string {
	pid, n := os.Getpid(), int(forwardingHosts.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 200+pid%50, pid/50%200+n/200, 1+n%200)
}

// startForwarding starts entries that know the workers and waits until they are ready.
func startForwarding(t testing.TB, spec forwardingSpec, workers ...*standin.Worker) *forwarding {
	f := &forwarding{site: &site{t: t, folder: t.TempDir(), daemons: map[string]*daemon{}, client: &http.Client{}}, store: standin.NewStore()}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.store.CloseClientConnections)
	configuration := standin.Configuration(1)
	if spec.bodyBytes > 0 {
		configuration["Limits"].(map[string]any)["MaxBodyBytes"] = spec.bodyBytes
	}
	f.store.Put("op/config", configuration)
	for _, worker := range workers {
		f.store.Put(worker.Row("ready"))
	}
	for i := range spec.entries {
		f.startEntry(i, spec)
	}
	for _, settings := range f.entries {
		f.eventually(settings.Name+" is ready", func() bool { return f.isReady(settings) })
	}
	return f
}

func (f *forwarding) startEntry(index int, spec forwardingSpec) {
	host := forwardingHost()
	settings := gateway.Settings{Name: fmt.Sprintf("forward-%d", index), Zone: "here", ListenAddress: host + ":7801", ReadyAddress: host + ":7802",
		PeerAddress: host + ":7803", MetricsAddress: host + ":7804", Store: f.store.Address(), MemoryMB: cmp.Or(spec.memoryMB, 200), Processors: spec.processors,
		StopLimit: config.Duration(spec.stopLimit), RetryRatio: 0.2, RetryExtra: 100, RetryWindow: config.Duration(10 * time.Second),
		ReservationIdle: config.Duration(9 * time.Second)}
	if index > 0 {
		settings.Seeds = []string{f.entries[0].PeerAddress}
	}
	content, err := yaml.Marshal(settings)
	require.NoError(f.t, err)
	path := filepath.Join(f.folder, settings.Name+".yaml")
	require.NoError(f.t, os.WriteFile(path, content, 0o600))
	f.entries = append(f.entries, settings)
	f.launch(settings.Name, []string{filepath.Join(binaries, "arbutus-entry"), "forward", "--settings", path})
}

func (f *forwarding) isReady(settings gateway.Settings) bool {
	response, err := f.client.Get("http://" + settings.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop sends SIGTERM to an entry.
func (f *forwarding) stop(entry int) { f.signal(f.entries[entry].Name, syscall.SIGTERM) }

// stream asks an entry for a stream, on a connection of its own. begun is called with the first
// byte of the answer.
func (f *forwarding) stream(entry int, id string, prompt, length int64, begun func()) answer {
	request := standin.SetTokens(standin.NewRequest(f.entries[entry].ListenAddress, http.MethodPost, "/stream/x", id, 0, "x"), prompt, length)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(response, begun)
}

// runOf returns what an entry's error says of the request's run.
func runOf(t testing.TB, a answer) string {
	var problem struct{ Run string }
	require.NoError(t, json.Unmarshal([]byte(a.body), &problem), a.body)
	return problem.Run
}

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

// forwardTestbed runs entries that forward requests as processes, with a store and backend servers.
type forwardTestbed struct {
	*testbed
	store   *standin.Store
	entries []gateway.Settings
}

// forwardSpec describes the entries.
type forwardSpec struct {
	entries, processors int
	stopLimit           time.Duration
	// memoryMB is the memory limit of a process in MB; 0 for the usual 200. bodyBytes bounds the body
	// of a request; 0 for the usual bound.
	memoryMB, bodyBytes int64
	// routeTimeout bounds a request; 0 for the usual bound.
	routeTimeout time.Duration
	// descriptors is the number of descriptors that a process may open; 0 for that of this process.
	descriptors int
	// stalledLog leaves the standard output of the processes, which holds their log, unread.
	stalledLog bool
}

var usedForwardHosts atomic.Int32

// nextForwardHost returns a loopback address that no other entry of these tests uses.
func nextForwardHost() string {
	pid, n := os.Getpid(), int(usedForwardHosts.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 200+pid%50, pid/50%200+n/200, 1+n%200)
}

// startForwardTestbed starts entries that know the workers and waits until they are ready.
func startForwardTestbed(t testing.TB, spec forwardSpec, workers ...*standin.Worker) *forwardTestbed {
	f := &forwardTestbed{testbed: &testbed{t: t, folder: t.TempDir(), daemons: map[string]*daemon{}, client: &http.Client{}}, store: standin.NewStore()}
	t.Cleanup(f.store.Close)
	t.Cleanup(f.store.CloseClientConnections)
	configuration := standin.Configuration(1)
	if spec.bodyBytes > 0 {
		configuration["Limits"].(map[string]any)["MaxBodyBytes"] = spec.bodyBytes
	}
	if spec.routeTimeout > 0 {
		for _, route := range configuration["Routes"].([]map[string]any) {
			route["TimeoutMs"] = spec.routeTimeout.Milliseconds()
		}
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

func (f *forwardTestbed) startEntry(index int, spec forwardSpec) {
	host := nextForwardHost()
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
	command := []string{filepath.Join(binaries, "arbutus-entry"), "forward", "--settings", path}
	if spec.descriptors > 0 {
		command = limitDescriptors(command, spec.descriptors)
	}
	if !spec.stalledLog {
		f.launch(settings.Name, command)
		return
	}
	unread, log, err := os.Pipe()
	require.NoError(f.t, err)
	f.t.Cleanup(func() {
		_ = unread.Close()
		_ = log.Close()
	})
	f.launchWithLog(settings.Name, command, log)
}

// limitDescriptors returns a command that runs another one with a limit of its descriptors.
func limitDescriptors(command []string, limit int) []string {
	return append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, limit)}, command...)
}

func (f *forwardTestbed) isReady(settings gateway.Settings) bool {
	response, err := f.client.Get("http://" + settings.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop sends SIGTERM to an entry.
func (f *forwardTestbed) stop(entry int) { f.signal(f.entries[entry].Name, syscall.SIGTERM) }

// stream requests a stream from an entry on a connection of its own and calls onFirstByte at the first
// byte of the response.
func (f *forwardTestbed) stream(entry int, id string, prompt, length int64, onFirstByte func()) callResult {
	request := standin.SetTokens(standin.NewRequest(f.entries[entry].ListenAddress, http.MethodPost, "/stream/x", id, 0, "x"), prompt, length)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return callResult{err: err}
	}
	return readResponse(response, onFirstByte)
}

// runField returns the run state that an entry's error reports.
func runField(t testing.TB, a callResult) string {
	var errorBody struct{ Run string }
	require.NoError(t, json.Unmarshal([]byte(a.body), &errorBody), a.body)
	return errorBody.Run
}

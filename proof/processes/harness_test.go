// Package processes tests the two daemons as real processes on loopback, and kills, stops and suspends
// them.
package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	_ "arbutusdeck/entry/server" // imported so that cached test results depend on the daemons' code
	_ "arbutusdeck/host/server"
	"arbutusdeck/standin/fleet"
)

// binaries is the folder with the daemons, built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "arbutus")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder, "arbutusdeck/entry/cmd/arbutus-entry", "arbutusdeck/host/cmd/arbutus-host")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// waitTimeout bounds every wait of these tests. It is not an expected duration: a test reaches it only
// if the awaited condition never holds.
const waitTimeout = 30 * time.Second

// daemon is one running process.
type daemon struct {
	name    string
	cmd     *exec.Cmd
	out     *bytes.Buffer
	exited  chan struct{}
	command []string
}

type testbed struct {
	t       testing.TB
	fleet   *fleet.Fleet
	folder  string
	daemons map[string]*daemon
	client  *http.Client
}

// startTestbed starts the stand-ins and all daemons and waits until they are ready.
func startTestbed(t testing.TB, spec fleet.Spec) *testbed {
	f, err := fleet.Start(spec)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	s := &testbed{t: t, fleet: f, folder: t.TempDir(), daemons: map[string]*daemon{}, client: &http.Client{}}
	t.Cleanup(s.client.CloseIdleConnections)
	for i := range spec.Servers {
		settings, err := f.HostSettings(i)
		require.NoError(t, err)
		s.start("arbutus-host", fleet.ServerName(i), settings)
	}
	for i := range spec.Entries {
		settings, err := f.EntrySettings(i)
		require.NoError(t, err)
		s.start("arbutus-entry", fleet.EntryName(i), settings)
	}
	for name := range s.daemons {
		s.awaitReady(name)
	}
	return s
}

func (s *testbed) start(binary, name string, settings any) {
	content, err := yaml.Marshal(settings)
	require.NoError(s.t, err)
	path := filepath.Join(s.folder, name+".yaml")
	require.NoError(s.t, os.WriteFile(path, content, 0o600))
	s.launch(name, []string{filepath.Join(binaries, binary), "serve", "--settings", path})
}

func (s *testbed) launch(name string, command []string) { s.launchWithLog(name, command, nil) }

// launchWithLog starts a daemon whose standard output goes to log, or to the test's if log is nil.
func (s *testbed) launchWithLog(name string, command []string, log io.Writer) {
	d := &daemon{name: name, command: command, out: &bytes.Buffer{}, exited: make(chan struct{})}
	d.cmd = exec.Command(command[0], command[1:]...)
	d.cmd.Stderr = d.out
	d.cmd.Stdout = d.out
	if log != nil {
		d.cmd.Stdout = log
	}
	require.NoError(s.t, d.cmd.Start())
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	s.daemons[name] = d
	s.t.Cleanup(func() {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.exited
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", name, d.out)
		}
	})
}

// restart waits until a daemon has exited and starts it again.
func (s *testbed) restart(name string) {
	<-s.daemons[name].exited
	s.launch(name, s.daemons[name].command)
	s.awaitReady(name)
}

func (s *testbed) signal(name string, signal syscall.Signal) {
	require.NoError(s.t, s.daemons[name].cmd.Process.Signal(signal))
}

// awaitExit waits until a daemon has exited and returns its exit code.
func (s *testbed) awaitExit(name string) int {
	select {
	case <-s.daemons[name].exited:
	case <-time.After(waitTimeout):
		s.t.Fatalf("%s did not exit", name)
	}
	return s.daemons[name].cmd.ProcessState.ExitCode()
}

func (s *testbed) awaitReady(name string) {
	s.eventually(name+" is ready", func() bool {
		response, err := s.client.Get(s.fleet.AdminURL(name) + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (s *testbed) eventually(what string, check func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !check() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out before: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// status decodes one section of a daemon's status into target; false if it can't be read.
func (s *testbed) status(name, section string, target any) bool {
	request, err := http.NewRequest(http.MethodGet, s.fleet.AdminURL(name)+"/v1/status/"+section, nil)
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+fleet.AdminToken)
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target) == nil
}

// call describes the request of a caller.
type call struct {
	entry   int
	path    string
	body    string
	headers map[string]string
}

// callResult is the response that a caller received, or its error.
type callResult struct {
	status int
	body   string
	header http.Header
	err    error
}

func (s *testbed) do(c call) callResult { return s.doOnFirstByte(c, func() {}) }

// doOnFirstByte sends a request and calls onFirstByte between the first byte of the response and the
// rest.
func (s *testbed) doOnFirstByte(c call, onFirstByte func()) callResult {
	request, err := http.NewRequest(http.MethodPost, s.fleet.CallerURL(c.entry)+c.path, strings.NewReader(c.body))
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	request.Header.Set("X-Request-Kind", fleet.Kind)
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	return readResponse(response, onFirstByte)
}

// readResponse reads a response and calls onFirstByte after its first byte.
func readResponse(response *http.Response, onFirstByte func()) callResult {
	defer response.Body.Close()
	first := make([]byte, 1)
	n, _ := io.ReadFull(response.Body, first)
	onFirstByte()
	rest, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, body: string(first[:n]) + string(rest), header: response.Header, err: err}
}

// doAsync sends a request in the background.
func (s *testbed) doAsync(c call) <-chan callResult {
	result := make(chan callResult, 1)
	go func() { result <- s.do(c) }()
	return result
}

func prompt(words int) string { return strings.Repeat("verso ", words) }

func completionBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, fleet.Model, prompt, tokens, stream)
}

// Package processes runs the two daemons as real processes on loopback and lets
// them be killed, stopped and cut off.
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

	_ "arbutusdeck/entry/server" // the cache of test results must see the daemons' code
	_ "arbutusdeck/host/server"
	"arbutusdeck/standin/fleet"
)

// binaries are built once for all tests.
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

// patience bounds every wait of these tests. It is no expectation: a test fails
// on it only if what it waits for never comes.
const patience = 30 * time.Second

// daemon is one running process.
type daemon struct {
	name    string
	cmd     *exec.Cmd
	out     *bytes.Buffer
	waited  chan struct{}
	command []string
}

type site struct {
	t       testing.TB
	fleet   *fleet.Fleet
	folder  string
	daemons map[string]*daemon
	// wait starts the daemons only once this many are up.
	client *http.Client
}

// startSite starts the stand-ins and all daemons and waits until they are ready.
func startSite(t testing.TB, spec fleet.Spec) *site {
	f, err := fleet.Start(spec)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	s := &site{t: t, fleet: f, folder: t.TempDir(), daemons: map[string]*daemon{}, client: &http.Client{}}
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

func (s *site) start(binary, name string, settings any) {
	content, err := yaml.Marshal(settings)
	require.NoError(s.t, err)
	path := filepath.Join(s.folder, name+".yaml")
	require.NoError(s.t, os.WriteFile(path, content, 0o600))
	s.launch(name, []string{filepath.Join(binaries, binary), "serve", "--settings", path})
}

func (s *site) launch(name string, command []string) {
	d := &daemon{name: name, command: command, out: &bytes.Buffer{}, waited: make(chan struct{})}
	d.cmd = exec.Command(command[0], command[1:]...)
	d.cmd.Stderr = d.out
	d.cmd.Stdout = d.out
	require.NoError(s.t, d.cmd.Start())
	go func() {
		_ = d.cmd.Wait()
		close(d.waited)
	}()
	s.daemons[name] = d
	s.t.Cleanup(func() {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.waited
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", name, d.out)
		}
	})
}

// restart starts a daemon anew after it has ended.
func (s *site) restart(name string) {
	<-s.daemons[name].waited
	s.launch(name, s.daemons[name].command)
	s.awaitReady(name)
}

func (s *site) signal(name string, signal syscall.Signal) {
	require.NoError(s.t, s.daemons[name].cmd.Process.Signal(signal))
}

// awaitExit waits for a daemon's end and returns its exit code.
func (s *site) awaitExit(name string) int {
	select {
	case <-s.daemons[name].waited:
	case <-time.After(patience):
		s.t.Fatalf("%s did not end", name)
	}
	return s.daemons[name].cmd.ProcessState.ExitCode()
}

func (s *site) awaitReady(name string) {
	s.eventually(name+" is ready", func() bool {
		response, err := s.client.Get(s.fleet.AdminURL(name) + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (s *site) eventually(what string, check func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(patience)
	for !check() {
		if time.Now().After(deadline) {
			s.t.Fatalf("never came true: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// status reads one section of a daemon's status into target.
func (s *site) status(name, section string, target any) bool {
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

// call is one caller's request.
type call struct {
	entry   int
	path    string
	body    string
	headers map[string]string
}

// answer is what the caller saw.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

func (s *site) do(c call) answer { return s.doAfterFirst(c, func() {}) }

// doAfterFirst makes a call and, once the first byte of its answer is there, does
// something before it reads on.
func (s *site) doAfterFirst(c call, then func()) answer {
	request, err := http.NewRequest(http.MethodPost, s.fleet.CallerURL(c.entry)+c.path, strings.NewReader(c.body))
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	request.Header.Set("X-Request-Kind", fleet.Kind)
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(response, then)
}

// readAnswer reads an answer and does something once its first byte is there.
func readAnswer(response *http.Response, then func()) answer {
	defer response.Body.Close()
	first := make([]byte, 1)
	n, _ := io.ReadFull(response.Body, first)
	then()
	rest, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(first[:n]) + string(rest), header: response.Header, err: err}
}

// goDo makes a call in the background.
func (s *site) goDo(c call) <-chan answer {
	result := make(chan answer, 1)
	go func() { result <- s.do(c) }()
	return result
}

func prompt(words int) string { return strings.Repeat("verso ", words) }

func completionBody(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, fleet.Model, prompt, tokens, stream)
}

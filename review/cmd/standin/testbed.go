package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// testbed holds what a driver has started, and writes the record.
type testbed struct {
	folder string
	entry  string // the program of the deploy file
	store  *store
	began  time.Time

	mu        sync.Mutex
	record    io.WriteCloser
	processes []*exec.Cmd
}

func newTestbed(entry, record string) (*testbed, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &testbed{folder: folder, entry: entry, store: s, began: time.Now(), record: out}, nil
}

// note writes a line to the record.
func (t *testbed) note(format string, arguments ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// start starts a process that ends with this one at the latest.
func (t *testbed) start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	t.mu.Lock()
	t.processes = append(t.processes, command)
	t.mu.Unlock()
	return nil
}

// close ends all processes.
func (t *testbed) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, command := range t.processes {
		_ = command.Process.Kill()
	}
	for _, command := range t.processes {
		_ = command.Wait()
	}
	_ = t.record.Close()
	_ = os.RemoveAll(t.folder)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startEntries starts entries with the settings of the deploy file's template as a small deployment has
// them, and returns the addresses for callers. Their logs go to the folder.
func (t *testbed) startEntries(count int) ([]string, error) {
	var listen, ready, peer, metrics []string
	for range count {
		for _, list := range []*[]string{&listen, &ready, &peer, &metrics} {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*list = append(*list, address)
		}
	}
	seeds := `["` + strings.Join(peer[:min(count, 3)], `","`) + `"]`
	for i := range count {
		settings := fmt.Sprintf(`name: "front-%d"
zone: "here"
listenAddress: %q
readyAddress: %q
peerAddress: %q
metricsAddress: %q
store: %q
seeds: %s
memoryMB: 284
processors: 1
stopLimit: "8s"
retryRatio: 0.2
retryExtra: 104
retryWindow: "10s"
applyLimit: "2000ms"
drainLimit: "2000ms"

linkMbps: 1000.0
reservationIdle: "9000ms"
`, i, listen[i], ready[i], peer[i], metrics[i], t.store.address, seeds)
		path := filepath.Join(t.folder, fmt.Sprintf("front-%d.yaml", i))
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(t.folder, fmt.Sprintf("front-%d.log", i)))
		if err != nil {
			return nil, err
		}
		command := exec.Command(t.entry, "forward", "--settings", path)
		command.Stdout, command.Stderr = log, log
		if err := t.start(command); err != nil {
			return nil, err
		}
	}
	for _, address := range ready {
		if err := awaitReady(address); err != nil {
			return nil, err
		}
	}
	return listen, nil
}

// noteLogs copies the entries' log lines that hold a text to the record.
func (t *testbed) noteLogs(text string) {
	paths, _ := filepath.Glob(filepath.Join(t.folder, "*.log"))
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			if strings.Contains(line, text) {
				t.note("log of %s: %s", strings.TrimSuffix(filepath.Base(path), ".log"), strings.TrimSpace(line))
			}
		}
	}
}

// awaitReady waits until an entry reports that it is ready.
func awaitReady(address string) error {
	for range 100 {
		response, err := http.Get("http://" + address + "/v1/readiness")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entry at %s doesn't become ready", address)
}

// workerProcess is a worker that was started.
type workerProcess struct {
	id, address string
	command     *exec.Cmd
	exited      chan struct{}
	// open is the number of streams that it writes.
	open atomic.Int32
}

// startWorker starts a worker and writes its entry to the store.
func (t *testbed) startWorker(id string, options ...string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(self, append([]string{"worker", "-id", id}, options...)...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := t.start(command); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, fmt.Errorf("the worker %s doesn't start", id)
	}
	w := &workerProcess{id: id, command: command, exited: make(chan struct{})}
	if _, err := fmt.Sscanf(lines.Text(), "address %s", &w.address); err != nil {
		return nil, err
	}
	go func() {
		defer close(w.exited)
		for lines.Scan() {
			switch word, _, _ := strings.Cut(lines.Text(), " "); word {
			case "run":
				w.open.Add(1)
			case "end", "left":
				w.open.Add(-1)
			}
			t.note("worker %s: %s", id, lines.Text())
		}
	}()
	t.store.put("servers/"+id, map[string]any{"Service": "llm", "Address": w.address, "Zone": "here", "Version": "v1", "Slots": 16,
		"State": "ready", "ColdLeftMs": 0, "Seq": 1})
	return w, nil
}

// configure writes a configuration with one route of resumable streams, with the figures of the pages.
func (t *testbed) configure() {
	t.store.put("op/config", map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{"Name": "gloss", "Host": "press.example", "Prefix": "/gloss/", "Kind": "streaming", "TimeoutMs": 10000,
			"TargetLatencyMs": 300, "TargetGapMs": 250, "Priority": 1, "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "Service": "llm"}},
		"Services": []map[string]any{{"Name": "llm", "HealthPath": "/health", "MaxConns": 364, "Engine": map[string]any{"Slots": 16, "KvCapacity": 315000,
			"Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
			"usual": map[string]any{"prompt": 4960, "answer": 1622}, "HopMs": 0.05}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "school", "ApiKeys": []string{"key-1", schoolKey}, "Priority": 1}, {"Name": "press", "ApiKeys": []string{otherKey}, "Priority": 1}},
	})
}

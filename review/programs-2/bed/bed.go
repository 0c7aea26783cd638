// Package bed starts entries of the project as separate processes, with a store and backend servers
// as stand-ins, and records what they and the callers see.
package bed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bed is one small deployment.
type Bed struct {
	Store   *standin.Store
	started time.Time
	folder  string
	root    string
	record  *os.File
	mu      sync.Mutex
	procs   []*Process
}

// New returns a deployment with a store and no processes. The record is written to record.txt in the
// folder of the case; root is the folder of the repository.
func New(caseFolder, root string) (*Bed, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	return &Bed{Store: standin.NewStore(), started: time.Now(), folder: folder, root: root, record: record}, nil
}

// Note writes a line to the record, with the time since the start.
func (b *Bed) Note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(b.record, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// Process is a process that the case has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait returns when the process has ended, or false after d.
func (p *Process) Wait(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

func (b *Bed) start(name string, cmd *exec.Cmd) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	return p, nil
}

// Run runs a case and ends the program with its result. The folders of the case and of the
// repository are the arguments of the program. A case that takes longer than limit can't run.
func Run(limit time.Duration, play func(b *Bed, trouble bool) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER REPOSITORY")
		os.Exit(NotRun)
	}
	b, err := New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b.Note("disruption: %v", trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		broken, err := play(b, trouble)
		switch {
		case err != nil:
			b.Note("the case can't run: %v", err)
			result <- NotRun
		case broken:
			result <- Broken
		default:
			result <- Held
		}
	}()
	code := NotRun
	select {
	case code = <-result:
	case <-signals:
		b.Note("interrupted")
	case <-time.After(limit):
		b.Note("the case takes longer than %s", limit)
	}
	b.Note("result: %d (0 held, 1 broken, 2 could not run)", code)
	b.Close()
	os.Exit(code)
}

// Close ends all processes that were started and removes the temporary folder.
func (b *Bed) Close() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		if !p.Exited() {
			p.Signal(syscall.SIGCONT)
			p.Signal(syscall.SIGKILL)
			p.Wait(5 * time.Second)
		}
	}
	b.Store.CloseClientConnections()
	b.Store.Close()
	_ = os.RemoveAll(b.folder)
	_ = b.record.Close()
}

// freeAddresses returns addresses of one loopback host that is drawn anew, whose ports are free for both
// TCP and UDP. Outgoing connections have another host, so that none of them takes a port meanwhile.
func freeAddresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
	var addresses []string
	for range 20 * count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = packets.Close()
		if addresses = append(addresses, address); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("no ports are free for both TCP and UDP")
}

// Entry is a running entry.
type Entry struct {
	*Process
	Listen, Ready, Peer string
	settings            string
	log                 string
}

// StartEntry starts an entry with the command of the deploy file and settings as its template gives
// them for a small deployment.
func (b *Bed) StartEntry(name string, seeds ...string) (*Entry, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	e := &Entry{Listen: addresses[0], Ready: addresses[1], Peer: addresses[2], settings: filepath.Join(b.folder, name+".yaml"), log: filepath.Join(b.folder, name+".log")}
	if len(seeds) == 0 {
		seeds = []string{e.Peer}
	}
	encodedSeeds, _ := json.Marshal(seeds)
	content := fmt.Sprintf(`name: %q
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
linkMbps: 1000
reservationIdle: "9000ms"
`, name, e.Listen, e.Ready, e.Peer, addresses[3], b.Store.Address(), encodedSeeds)
	if err := os.WriteFile(e.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	return e, b.Launch(e)
}

// Launch starts the process of an entry, also again.
func (b *Bed) Launch(e *Entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/arbutus-entry", "forward", "--settings", e.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = b.root, log, log
	e.Process, err = b.start("entry", cmd)
	return err
}

// Log returns the lines of an entry's log that contain a text.
func (e *Entry) Log(text string) []string {
	content, _ := os.ReadFile(e.log)
	var found []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// AwaitReady waits until the entry answers the balancer's probe.
func (e *Entry) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + e.Ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %s is not ready", e.settings)
}

// Event is a line that a worker process reports. At is the time at which it was read.
type Event struct {
	Kind, ID, URI, Host, Method, Last, Detail string
	At                                        time.Time
}

// Worker is a running stand-in of a backend server in a process of its own.
type Worker struct {
	*Process
	ID, Service, Address string
	mu                   sync.Mutex
	events               []Event
}

// Events returns what the worker has reported.
func (w *Worker) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Event(nil), w.events...)
}

// Row returns the key and value of the worker's row in the store.
func (w *Worker) Row(state string) (string, map[string]any) {
	return standin.RowKey(w.ID), standin.ServerRow(w.Service, w.Address, state)
}

// StartWorker starts a worker process; arguments select how it answers.
func (b *Bed) StartWorker(id, service string, arguments ...string) (*Worker, error) {
	binary := filepath.Join(b.root, "review/programs-2/bin/worker")
	cmd := exec.Command(binary, append([]string{"-id", id, "-service", service}, arguments...)...)
	cmd.Stderr = os.Stderr
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = write
	w := &Worker{ID: id, Service: service}
	w.Process, err = b.start("worker "+id, cmd)
	_ = write.Close()
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(read)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker %s reports no address", id)
	}
	w.Address = lines.Text()
	go func() {
		for lines.Scan() {
			var e Event
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				continue
			}
			e.At = time.Now()
			b.Note("worker %s: %s request=%s method=%s uri=%s host=%s lastEvent=%s %s", id, e.Kind, e.ID, e.Method, e.URI, e.Host, e.Last, e.Detail)
			w.mu.Lock()
			w.events = append(w.events, e)
			w.mu.Unlock()
		}
		_ = read.Close()
	}()
	return w, nil
}

// Answer is what a caller gets.
type Answer struct {
	Status   int
	Header   http.Header
	Body     string
	Complete bool
	Err      error
}

// Do sends a request on a connection of its own, as a caller does, and reads its answer to the end.
// Complete is set if the framing of the answer says that all of it has arrived.
func Do(request *http.Request, progress func(sofar string)) Answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	a := Answer{Status: response.StatusCode, Header: response.Header}
	buffer := make([]byte, 64<<10)
	for {
		n, err := response.Body.Read(buffer)
		a.Body += string(buffer[:n])
		if n > 0 && progress != nil {
			progress(a.Body)
		}
		if err == io.EOF {
			a.Complete = true
			return a
		}
		if err != nil {
			a.Err = err
			return a
		}
	}
}

package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"arbutusdeck/core/config"
	"arbutusdeck/entry/gateway"
	"arbutusdeck/platform"
)

// restartDelay is how long the platform takes to start a process again.
const restartDelay = 300 * time.Millisecond

// daemon is one entry: a process that is started again whenever it ends.
type daemon struct {
	index    int
	binary   string
	folder   string
	settings gateway.Settings
	records  *Records
	log      *os.File

	mu      sync.Mutex
	process *process
	changes int
	closing bool
	over    sync.WaitGroup
}

// process is one start of a daemon.
type process struct {
	cmd   *exec.Cmd
	asked bool // it was told to end
	// stopping is when the first SIGTERM was sent; later ones don't prolong the stop.
	stopping time.Time
	gone     chan struct{}
}

func newDaemon(index int, binary, folder string, settings gateway.Settings, records *Records) (*daemon, error) {
	d := &daemon{index: index, binary: binary, folder: folder, settings: settings, records: records}
	log, err := os.Create(filepath.Join(folder, settings.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("the log of %s: %w", settings.Name, err)
	}
	d.log = log
	if err := d.writeSettings(); err != nil {
		return nil, err
	}
	return d, d.start()
}

func (d *daemon) path() string { return filepath.Join(d.folder, d.settings.Name+".yaml") }

func (d *daemon) writeSettings() error {
	content, err := yaml.Marshal(d.settings)
	if err != nil {
		return fmt.Errorf("the settings of %s: %w", d.settings.Name, err)
	}
	if err := os.WriteFile(d.path(), content, 0o600); err != nil {
		return fmt.Errorf("the settings of %s: %w", d.settings.Name, err)
	}
	return nil
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil
	}
	p := &process{cmd: exec.Command(d.binary, "forward", "--settings", d.path()), gone: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = d.log, d.log
	// A soak that is killed leaves no daemons behind: they would go on calling its
	// addresses, which the next run's stand-ins may have.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", d.settings.Name, err)
	}
	d.process = p
	d.records.started(d.index)
	d.over.Go(func() { d.watch(p) })
	return nil
}

// watch starts the daemon again when its process has ended.
func (d *daemon) watch(p *process) {
	// The exit code is read from the process's state.
	_ = p.cmd.Wait()
	close(p.gone)
	d.mu.Lock()
	asked, closing := p.asked, d.closing
	d.mu.Unlock()
	if !asked {
		d.records.exited(Exit{Entry: d.index, Code: p.cmd.ProcessState.ExitCode(), ByItself: true})
	}
	if closing {
		return
	}
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		_, _ = fmt.Fprintln(d.log, err)
	}
}

// signal sends a signal to the process that runs now. The process may have ended by
// itself meanwhile; that is noted elsewhere.
func (d *daemon) signal(s syscall.Signal, ends bool) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.process
	p.asked = p.asked || ends
	if s == syscall.SIGTERM && p.stopping.IsZero() {
		p.stopping = time.Now()
	}
	_ = p.cmd.Process.Signal(s)
	return p
}

func (d *daemon) kill() { <-d.signal(syscall.SIGKILL, true).gone }

// pause stands the process still for a while.
func (d *daemon) pause(length time.Duration) {
	p := d.signal(syscall.SIGSTOP, false)
	time.Sleep(length)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// stop asks for a planned end, and kills a process that doesn't come to it.
func (d *daemon) stop() {
	p := d.signal(syscall.SIGTERM, true)
	select {
	case <-p.gone:
	case <-time.After(exitBound):
		_ = p.cmd.Process.Kill()
		<-p.gone
	}
	d.records.exited(d.exit(p))
}

// exit describes the planned end of a process that is gone.
func (d *daemon) exit(p *process) Exit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Exit{Entry: d.index, Code: p.cmd.ProcessState.ExitCode(), Began: p.stopping, Took: time.Since(p.stopping)}
}

// reload changes the settings and tells the process by a signal every other time;
// else it has to find out by itself.
func (d *daemon) reload() error {
	d.mu.Lock()
	d.changes++
	d.settings.LogRate += 1
	err := d.writeSettings()
	signalled := d.changes%2 == 1
	d.mu.Unlock()
	if signalled {
		d.signal(syscall.SIGHUP, false)
	}
	return err
}

// ready asks as the balancer does.
func (d *daemon) ready(client *http.Client) bool {
	response, err := client.Get("http://" + d.settings.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops the daemon for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock()
	d.stop()
	d.over.Wait()
	_ = d.log.Close()
}

// Ports of the daemons; each has a host of its own.
const (
	portCallers = 7801 + iota
	portReady
	portPeers
	portMetrics
	portServer // of backend servers
)

func settingsOf(index int, host, store string, seeds []string, changeBound time.Duration) gateway.Settings {
	at := func(port int) string { return fmt.Sprintf("%s:%d", host, port) }
	return gateway.Settings{Name: fmt.Sprintf("entry-%03d", index), Zone: "here", ListenAddress: at(portCallers), ReadyAddress: at(portReady),
		PeerAddress: at(portPeers), MetricsAddress: at(portMetrics), Store: store, Seeds: seeds, MemoryMB: 200, Processors: 1,
		ShutdownTimeout: config.Duration(stopLimit), RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: config.Duration(retryWindow),
		ApplyLimit: config.Duration(changeBound), DrainLimit: config.Duration(changeBound), ReservationIdle: config.Duration(reservationIdle), LogRate: gateway.DefaultLogRate}
}

// hosts counts the loopback hosts that this process has given out.
var hosts atomic.Int32

// newHost returns a loopback host that no other daemon of this process has, nor one
// of another process that runs beside it.
func newHost() string {
	pid, n := os.Getpid(), int(hosts.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%100, pid/100%200+n/200, 1+n%200)
}

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

// restartDelay is the time that the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

// daemon is one entry, whose process is restarted whenever it exits.
type daemon struct {
	index    int
	binary   string
	folder   string
	settings gateway.Settings
	records  *Records
	log      *os.File

	mu              sync.Mutex
	process         *process
	settingsChanges int
	closing         bool
	watchers        sync.WaitGroup
}

// process is one process of a daemon.
type process struct {
	cmd           *exec.Cmd
	stopRequested bool // it got a signal that terminates it
	// stopRequestedAt is the time of the first SIGTERM; later ones don't extend the shutdown.
	stopRequestedAt time.Time
	exited          chan struct{}
}

func newDaemon(index int, binary, folder string, settings gateway.Settings, records *Records) (*daemon, error) {
	d := &daemon{index: index, binary: binary, folder: folder, settings: settings, records: records}
	log, err := os.Create(filepath.Join(folder, settings.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("creating the log file of %s: %w", settings.Name, err)
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
		return fmt.Errorf("encoding the settings of %s: %w", d.settings.Name, err)
	}
	if err := os.WriteFile(d.path(), content, 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", d.settings.Name, err)
	}
	return nil
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return nil
	}
	p := &process{cmd: exec.Command(d.binary, "forward", "--settings", d.path()), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = d.log, d.log
	// Daemons must not outlive a soak that is killed: they would keep calling its
	// addresses, which stand-ins of the next run may use.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", d.settings.Name, err)
	}
	d.process = p
	d.records.recordStart(d.index)
	d.watchers.Go(func() { d.supervise(p) })
	return nil
}

// supervise waits for a process to exit and restarts the daemon.
func (d *daemon) supervise(p *process) {
	// The exit code is read from the process's state.
	_ = p.cmd.Wait()
	close(p.exited)
	d.mu.Lock()
	stopRequested, closing := p.stopRequested, d.closing
	d.mu.Unlock()
	if !stopRequested {
		d.records.recordExit(Exit{Entry: d.index, Code: p.cmd.ProcessState.ExitCode(), Unrequested: true})
	}
	if closing {
		return
	}
	time.Sleep(restartDelay)
	if err := d.start(); err != nil {
		_, _ = fmt.Fprintln(d.log, err)
	}
}

// signal sends a signal to the current process; stops tells that the signal terminates
// it. The process may already have exited by itself, which supervise records.
func (d *daemon) signal(s syscall.Signal, stops bool) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.process
	p.stopRequested = p.stopRequested || stops
	if s == syscall.SIGTERM && p.stopRequestedAt.IsZero() {
		p.stopRequestedAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s)
	return p
}

func (d *daemon) kill() { <-d.signal(syscall.SIGKILL, true).exited }

// pause stops the process with SIGSTOP for the given time.
func (d *daemon) pause(length time.Duration) {
	p := d.signal(syscall.SIGSTOP, false)
	time.Sleep(length)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// stop shuts the process down gracefully, and kills it if it does not exit within maxExitTime.
func (d *daemon) stop() {
	p := d.signal(syscall.SIGTERM, true)
	select {
	case <-p.exited:
	case <-time.After(maxExitTime):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	d.records.recordExit(d.exitOf(p))
}

// exitOf describes the graceful shutdown of a process that has exited.
func (d *daemon) exitOf(p *process) Exit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Exit{Entry: d.index, Code: p.cmd.ProcessState.ExitCode(), StopRequestedAt: p.stopRequestedAt, Took: time.Since(p.stopRequestedAt)}
}

// reload changes the settings. It sends SIGHUP every other time only; otherwise the
// process has to detect the change of the file.
func (d *daemon) reload() error {
	d.mu.Lock()
	d.settingsChanges++
	d.settings.LogRate += 1
	err := d.writeSettings()
	signalled := d.settingsChanges%2 == 1
	d.mu.Unlock()
	if signalled {
		d.signal(syscall.SIGHUP, false)
	}
	return err
}

// isReady queries the readiness endpoint, as the load balancer does.
func (d *daemon) isReady(client *http.Client) bool {
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
	d.watchers.Wait()
	_ = d.log.Close()
}

// Ports of the daemons; each daemon has its own loopback address.
const (
	portCallers = 7801 + iota
	portReady
	portPeers
	portMetrics
	portServer // of backend servers
)

func entrySettings(index int, host, store string, seeds []string, changeBound time.Duration) gateway.Settings {
	at := func(port int) string { return fmt.Sprintf("%s:%d", host, port) }
	return gateway.Settings{Name: fmt.Sprintf("entry-%03d", index), Zone: "here", ListenAddress: at(portCallers), ReadyAddress: at(portReady),
		PeerAddress: at(portPeers), MetricsAddress: at(portMetrics), Store: store, Seeds: seeds, MemoryMB: 200, Processors: 1,
		StopLimit: config.Duration(stopLimit), RetryRatio: retryRatio, RetryExtra: retryExtra, RetryWindow: config.Duration(retryWindow),
		ApplyLimit: config.Duration(changeBound), DrainLimit: config.Duration(changeBound), ReservationIdle: config.Duration(reservationIdle), LogRate: gateway.DefaultLogRate}
}

// hostCount is the number of loopback addresses that this process has allocated.
var hostCount atomic.Int32

// newLoopbackHost returns a loopback address that is used neither by another daemon of
// this process nor by another soak that runs at the same time.
func newLoopbackHost() string {
	pid, n := os.Getpid(), int(hostCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%100, pid/100%200+n/200, 1+n%200)
}

package processes

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// Guards against an entry that runs out of memory: 500 callers don't read their responses while 200
// prompts of several megabytes arrive at once. Without bounds each held what it liked, more in total
// than the smallest host has, and the process was killed with all its requests.
func TestSlowReadersAndEnormousPromptsStayWithinTheMemory(t *testing.T) {
	const (
		memoryMB, callers, prompts = 184, 500, 200
		promptBytes                = 3 << 20
	)
	long := strings.Repeat("x", 4<<20)
	plain := standin.NewWorker("i-plain", "plain")
	plain.Script = func(out http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(out, long) }
	released := make(chan struct{})
	engine := standin.NewWorker("i-engine", "engines")
	engine.Script = func(out http.ResponseWriter, r *http.Request) {
		<-released
		standin.ServeEvents(out, r, 1, 0)
	}
	release := sync.OnceFunc(func() { close(released) })
	for _, worker := range []*standin.Worker{plain, engine} {
		t.Cleanup(worker.Close)
	}
	setReceiveBuffer(t, engine.Listener, promptBytes)
	t.Cleanup(release)
	f := startForwardTestbed(t, forwardSpec{entries: 1, processors: 4, stopLimit: usualStopLimit, memoryMB: memoryMB, bodyBytes: 4 << 20}, plain, engine)
	entry := f.entries[0]

	var opening sync.WaitGroup
	var started atomic.Int32
	for i := range callers {
		opening.Go(func() {
			for until := time.Now().Add(waitTimeout); time.Now().Before(until); {
				if f.readResponseStart(entry.ListenAddress, fmt.Sprint("reader-", i)) {
					started.Add(1)
					return
				}
			}
		})
	}
	opening.Wait()
	require.EqualValues(t, callers, started.Load(), "responses that have started")
	body := strings.Repeat("y", promptBytes)
	statuses := make(chan int, prompts)
	for i := range prompts {
		go func() {
			request := standin.NewRequest(entry.ListenAddress, http.MethodPost, "/once/x", fmt.Sprint("prompt-", i), 2000, body)
			statuses <- statusOf(request)
		}()
	}
	f.eventually("all prompts are buffered or refused", func() bool { return len(statuses)+len(engine.Runs()) >= prompts })
	release()
	counts := map[int]int{}
	for range prompts {
		counts[<-statuses]++
	}
	require.Equal(t, prompts, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], "%v", counts)
	require.NotZero(t, counts[http.StatusOK])
	peak := f.peakMemory(entry.Name)
	t.Logf("%d MB at the highest; prompts by status: %v", peak>>20, counts)
	require.Less(t, peak, int64(memoryMB)<<20)
}

// setReceiveBuffer lets the kernel accept that many bytes on each connection to a stand-in before it reads
// them. A stand-in shares its process with hundreds of callers and on a busy machine may read nothing for
// longer than the entry lets a server leave data unacknowledged.
func setReceiveBuffer(t testing.TB, listener net.Listener, bytes int) {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	size := 0
	require.NoError(t, raw.Control(func(fd uintptr) {
		// Half of the buffer is for the kernel's own data; the kernel doubles the value that is set.
		if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2*bytes); err == nil {
			size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		}
	}))
	require.NoError(t, err)
	if size < 2*bytes {
		t.Logf("net.core.rmem_max allows %d bytes of %d: a slow stand-in may be given up", size, 2*bytes)
	}
}

// readResponseStart sends a request and reads only the first bytes of the response; false unless they
// report success.
func (f *forwardTestbed) readResponseStart(address, id string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	f.t.Cleanup(func() { _ = connection.Close() })
	_ = connection.(*net.TCPConn).SetReadBuffer(4096)
	if err := standin.NewRequest(address, http.MethodGet, "/read/x", id, 0, "").Write(connection); err != nil {
		return false
	}
	begin := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(connection, begin)
	return err == nil && string(begin) == "HTTP/1.1 200"
}

// statusOf returns the status of a response, 0 if there is none.
func statusOf(request *http.Request) int {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, Timeout: time.Minute}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// peakMemory returns the peak resident memory of a daemon, in bytes.
func (s *testbed) peakMemory(name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.daemons[name].cmd.Process.Pid))
	require.NoError(s.t, err)
	kilobytes, err := strconv.ParseInt(strings.TrimSuffix(field(status, "VmHWM"), " kB"), 10, 64)
	require.NoError(s.t, err)
	return kilobytes << 10
}

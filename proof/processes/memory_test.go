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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// Five hundred callers don't take their answers, and two hundred prompts of megabytes come at the same moment. Each held
// what it liked, more in all than the smallest host has, and the process was killed with everything that it served.
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
	t.Cleanup(release)
	f := startForwarding(t, forwardingSpec{entries: 1, processors: 4, stopLimit: usualStop, memoryMB: memoryMB, bodyBytes: 4 << 20}, plain, engine)
	entry := f.entries[0]

	var opening sync.WaitGroup
	var begun atomic.Int32
	for i := range callers {
		opening.Go(func() {
			for until := time.Now().Add(patience); time.Now().Before(until); {
				if f.readBegin(entry.ListenAddress, fmt.Sprint("reader-", i)) {
					begun.Add(1)
					return
				}
			}
		})
	}
	opening.Wait()
	require.EqualValues(t, callers, begun.Load(), "answers that have begun")
	body := strings.Repeat("y", promptBytes)
	statuses := make(chan int, prompts)
	for i := range prompts {
		go func() {
			request := standin.NewRequest(entry.ListenAddress, http.MethodPost, "/once/x", fmt.Sprint("prompt-", i), 2000, body)
			statuses <- statusOf(request)
		}()
	}
	f.eventually("all prompts are held or refused", func() bool { return len(statuses)+len(engine.Runs()) >= prompts })
	release()
	counts := map[int]int{}
	for range prompts {
		counts[<-statuses]++
	}
	require.Equal(t, prompts, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], "%v", counts)
	require.NotZero(t, counts[http.StatusOK])
	highest := f.highestMemory(entry.Name)
	t.Logf("%d MB at the highest; prompts by status: %v", highest>>20, counts)
	require.Less(t, highest, int64(memoryMB)<<20)
}

// readBegin sends a request and takes the first bytes of its answer alone; false if that is no success.
func (f *forwarding) readBegin(address, id string) bool {
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

// statusOf returns the status of a request's answer, 0 if there is none.
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

// highestMemory is the most memory that a daemon has had resident, in bytes.
func (s *site) highestMemory(name string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.daemons[name].cmd.Process.Pid))
	require.NoError(s.t, err)
	kilobytes, err := strconv.ParseInt(strings.TrimSuffix(field(status, "VmHWM"), " kB"), 10, 64)
	require.NoError(s.t, err)
	return kilobytes << 10
}

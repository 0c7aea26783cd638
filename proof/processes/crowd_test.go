package processes

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

// throttle lets a daemon run for a part of each period only, like a host with a share of a processor, until the test
// ends.
func (s *testbed) throttle(name string, running, period time.Duration) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(running):
			}
			_ = s.daemons[name].cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(period - running)
			_ = s.daemons[name].cmd.Process.Signal(syscall.SIGCONT)
		}
	}()
	s.t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// crowdResult counts the requests of callers that open a connection each.
type crowdResult struct {
	mu                       sync.Mutex
	served, unread, unserved int
}

// sendCrowd sends short prompts at a rate for a time, each on a connection of its own, and waits for their ends. A
// caller leaves after two seconds without an event.
func (f *forwardTestbed) sendCrowd(perSecond int, length time.Duration) *crowdResult {
	result := &crowdResult{}
	var callers sync.WaitGroup
	for i := range int(length.Seconds() * float64(perSecond)) {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			f.callOnce(result, fmt.Sprintf("%d-%d", perSecond, i))
		})
	}
	callers.Wait()
	return result
}

func (f *forwardTestbed) callOnce(result *crowdResult, id string) {
	transport := &http.Transport{ResponseHeaderTimeout: 2 * time.Second}
	defer transport.CloseIdleConnections()
	request := standin.SetTokens(standin.NewRequest(f.entries[0].ListenAddress, http.MethodPost, "/stream/x", id, 0, "x"), 2000, 100)
	response, err := (&http.Client{Transport: transport}).Do(request)
	served := false
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		served = err == nil && response.StatusCode == http.StatusOK
	}
	result.mu.Lock()
	defer result.mu.Unlock()
	switch {
	case served:
		result.served++
	case isClosedUnread(err):
		result.unread++
	default:
		result.unserved++
	}
}

// isClosedUnread reports whether a connection was refused, or closed before any response.
func isClosedUnread(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// minServedShare is the least share of the requests that are read that must be served at the first attempt. It is a
// requirement.
const minServedShare = 0.75

// Guards against an entry that reads more requests than it has processor time for, so that it serves none in time: for
// a while most new connections come to it alone.
func TestAnEntryThatGetsMostConnectionsServesWhatItReads(t *testing.T) {
	var workers []*standin.Worker
	for i := range 20 {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), "engines")
		worker.Script = func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 3, 0) }
		t.Cleanup(worker.Close)
		workers = append(workers, worker)
	}
	f := startForwardTestbed(t, forwardSpec{entries: 1, processors: 1, stopLimit: 5 * time.Second}, workers...)
	f.throttle("forward-0", 5*time.Millisecond, 50*time.Millisecond)
	for _, perSecond := range []int{20, 160, 320, 640, 1280} {
		r := f.sendCrowd(perSecond, 4*time.Second)
		t.Logf("%d a second: %d served, %d closed unread, %d not served", perSecond, r.served, r.unread, r.unserved)
		require.GreaterOrEqual(t, float64(r.served), minServedShare*float64(r.served+r.unserved))
		if r.unread > 0 {
			return // beyond what the entry can serve
		}
	}
	require.Fail(t, "the entry was never overloaded")
}

package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/lifecycle"
	"arbutusdeck/platform/standin"
)

// hangOnFirstRequest returns a script by which the server that gets the first request never
// responds.
func hangOnFirstRequest(hung *atomic.Pointer[string], id string) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		hung.CompareAndSwap(nil, &id)
		if *hung.Load() == id {
			<-r.Context().Done()
			return
		}
		standin.ServeEvents(out, r, 2, 0)
	}
}

func (w *testbed) hangingWorkers(count int) {
	w.configure(nil)
	hung := &atomic.Pointer[string]{}
	for i := range count {
		id := fmt.Sprintf("i-%d", i)
		w.worker(id, "engines", hangOnFirstRequest(hung, id))
	}
}

// A server still processes the long prompts of a killed entry, while the load table of a started
// entry shows it idle. A short prompt sent there gets no first event, and its caller would
// disconnect after two seconds. The entry cancels the attempt when the event is overdue, and
// another server responds in time.
func TestAShortPromptIsRedispatchedFromAStalledServer(t *testing.T) {
	w := newTestbed(t)
	w.hangingWorkers(3)
	s := w.serve()
	began := time.Now()
	r := w.call(s, http.MethodPost, "/stream/", 5000, "prompt")
	require.Equal(t, 200, r.status, r.body)
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, 2, w.runCount())
	require.Equal(t, int64(1), s.counters.redispatched.Count())
}

// A request that may not run twice, or for which the shared budget has no retry left, stays at its
// server.
func TestARequestThatMayNotRetryStaysAtAStalledServer(t *testing.T) {
	for _, c := range []struct {
		name, path    string
		ratio, budget float64
	}{{"not repeatable", "/once/", 0.2, 100}, {"no budget", "/stream/", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed(t)
			w.hangingWorkers(3)
			settings := w.newSettings()
			settings.RetryRatio, settings.RetryExtra = c.ratio, c.budget
			s := w.start(settings)
			w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
			ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
			defer cancel()
			request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, c.path, "a1", 5000, "prompt").WithContext(ctx)
			require.Error(t, call(request).err)
			require.Equal(t, 1, w.runCount())
		})
	}
}

// Two requests wait at stalled servers, and the retry budget allows one more attempt. One is
// redispatched and completes; the other stays where it is. If it were cancelled as well, it would
// end without a response, although its server may still give one.
func TestNoRequestIsRedispatchedWithoutRetryBudget(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	var asked atomic.Int32
	hung := [2]string{}
	var mu sync.Mutex
	for i := range 3 {
		id := fmt.Sprintf("i-%d", i)
		w.worker(id, "engines", func(out http.ResponseWriter, r *http.Request) {
			mu.Lock()
			if n := asked.Add(1); int(n) <= len(hung) {
				hung[n-1] = id
			}
			hangs := id == hung[0] || id == hung[1]
			mu.Unlock()
			if hangs {
				<-r.Context().Done()
				return
			}
			standin.ServeEvents(out, r, 2, 0)
		})
	}
	settings := w.newSettings()
	settings.RetryRatio, settings.RetryExtra = 0, 4 // 1.4 retries at once, after the reserved shares
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
	defer cancel()
	replies := make(chan reply, 2)
	for i := range 2 {
		go func() {
			replies <- call(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/", fmt.Sprint("a", i), 5000, "prompt").WithContext(ctx))
		}()
	}
	answered, waiting := 0, 0
	for range 2 {
		r := <-replies
		if r.err != nil {
			waiting++
			continue
		}
		require.Equal(t, 200, r.status, r.body)
		answered++
	}
	require.Equal(t, []int{1, 1}, []int{answered, waiting})
}

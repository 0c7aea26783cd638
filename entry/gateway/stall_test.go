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

// hangsOnce returns a script by which the worker that is asked first never answers.
func hangsOnce(hung *atomic.Pointer[string], id string) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		hung.CompareAndSwap(nil, &id)
		if *hung.Load() == id {
			<-r.Context().Done()
			return
		}
		standin.ServeEvents(out, r, 2, 0)
	}
}

func (w *world) hangingWorkers(count int) {
	w.configure(nil)
	hung := &atomic.Pointer[string]{}
	for i := range count {
		id := fmt.Sprintf("i-%d", i)
		w.worker(id, "engines", hangsOnce(hung, id))
	}
}

// A server still works on the long prompts of an entry that was killed, and the book of the
// started one shows it idle. A short prompt goes there and gets no first event; its caller
// would leave after two seconds. The entry breaks the try off when the event is overdue, and
// another server answers within the caller's patience.
func TestAShortPromptLeavesAStalledServer(t *testing.T) {
	w := newWorld(t)
	w.hangingWorkers(3)
	s := w.serve()
	began := time.Now()
	r := w.call(s, http.MethodPost, "/stream/", 5000, "prompt")
	require.Equal(t, 200, r.status, r.body)
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, 2, w.runs())
	require.Equal(t, int64(1), s.counters.moved.Count())
}

// What may not run twice, and what the shared budget has no room for, stays where it is.
func TestWhatMayNotRunTwiceStaysAtAStalledServer(t *testing.T) {
	for _, c := range []struct {
		name, path    string
		ratio, budget float64
	}{{"not repeatable", "/once/", 0.2, 100}, {"no budget", "/stream/", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.hangingWorkers(3)
			settings := w.settings()
			settings.RetryRatio, settings.RetryExtra = c.ratio, c.budget
			s := w.start(settings)
			w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.known(s) })
			ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
			defer cancel()
			request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, c.path, "a1", 5000, "prompt").WithContext(ctx)
			require.Error(t, call(request).err)
			require.Equal(t, 1, w.runs())
		})
	}
}

// Two requests wait at stalled servers at the same time, and the budget has room for one more
// send. One moves and is answered; the other one stays where it is. Broken off as well, it
// would end without an answer though its server may still give one.
func TestNobodyIsBrokenOffWithoutABudgetForTheNextTry(t *testing.T) {
	w := newWorld(t)
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
	settings := w.settings()
	settings.RetryRatio, settings.RetryExtra = 0, 4 // 1.4 sends at once, by the parts kept free
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.known(s) })
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

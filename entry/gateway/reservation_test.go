package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/platform/standin"
)

// allReleased says that each reservation that was asked for was also released, and did
// not just lapse.
func (w *world) allReleased() bool {
	for _, worker := range w.workers {
		open := map[string]bool{}
		for _, order := range worker.Orders() {
			open[order.Id] = order.Operation == "reserve"
		}
		for _, reserved := range open {
			if reserved {
				return false
			}
		}
	}
	return true
}

// A prompt of 500,000 tokens is held in reservations at several workers, named to
// the first one with their tickets; all memory is given back afterwards.
func TestAHugePromptIsHeldInReservations(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	for i := range 8 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) })
	}
	s := w.serve()
	r := w.call(s, http.MethodPost, "/stream/", 500_000, "prompt")
	require.Equal(t, 200, r.status, r.body)
	reserved := int64(0)
	for _, worker := range w.workers {
		for _, run := range worker.Runs() {
			require.Contains(t, run.Helpers, "/")
			require.True(t, strings.HasPrefix(run.Helpers, worker.Address()+"/"), "its own reservation goes first")
		}
		for _, order := range worker.Orders() {
			if order.Operation == "reserve" {
				reserved += order.Tokens
			}
		}
	}
	require.Equal(t, int64(500_500), reserved)
	w.eventually("all memory is given back", w.allReleased)
}

// A long prompt is divided over four workers, one of which is dead. The first one
// refuses and names it; the next try keeps the first one and leaves out the dead.
func TestADeadHelperIsLeftOut(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	var dead atomic.Pointer[standin.Worker]
	script := standin.HelperUnreachable(func() string { return dead.Load().Address() })
	for i := range 4 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", script)
	}
	dead.Store(w.workers[3])
	s := w.serve()
	for range 6 {
		r := w.call(s, http.MethodPost, "/stream/", 200_000, "prompt")
		if r.signature == "signed-by-i-3" {
			continue // it was chosen as the first, where it answers
		}
		require.Equal(t, 200, r.status, r.body)
	}
}

// Three of four workers refuse their parts of the memory: what the other one granted
// is given back at once, and nothing is run.
func TestRefusedMemoryIsGivenBackByAll(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	for i := range 4 {
		worker := w.worker(fmt.Sprintf("i-%d", i), "engines", nil)
		if i > 0 {
			worker.MemoryTokens = 1
		}
	}
	s := w.serve()
	r := w.call(s, http.MethodPost, "/stream/", 500_000, "prompt")
	require.Equal(t, 503, r.status)
	require.Zero(t, w.runs())
	w.eventually("all memory is given back", w.allReleased)
}

// A prompt of 350,000 tokens is held at a group whose first worker hangs: it grants and
// renews the memory but never begins to write. Without a bound the memory of all holders
// would be kept from others until the caller leaves. The entry ends the try, gives the
// memory back, and another worker answers.
func TestMemoryThatIsNotUsedIsGivenBack(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	var hung atomic.Pointer[string]
	for i := range 8 {
		id := fmt.Sprintf("i-%d", i)
		w.worker(id, "engines", func(out http.ResponseWriter, r *http.Request) {
			if hung.CompareAndSwap(nil, &id) {
				<-r.Context().Done()
				return
			}
			standin.ServeEvents(out, r, 2, 0)
		})
	}
	settings := w.settings()
	settings.ReservationIdle = config.Duration(4 * time.Second)
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.known(s) })
	began := time.Now()
	r := w.call(s, http.MethodPost, "/stream/", 350_000, "prompt")
	require.Equal(t, 200, r.status, r.body)
	require.NotEqual(t, "signed-by-"+*hung.Load(), r.signature)
	require.Less(t, time.Since(began), settings.ReservationIdle.D())
	w.eventually("all memory is given back", w.allReleased)
}

// An entry stands still while its request's server hangs, and can't release what it has reserved. Its orders have said
// already when the memory lapses: it would else be kept from others beyond the time allowed without use.
func TestUnusedMemoryLapsesWithoutARelease(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	for i := range 8 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	settings := w.settings()
	settings.ReservationIdle = config.Duration(4 * time.Second)
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.known(s) })
	go w.call(s, http.MethodPost, "/stream/", 350_000, "prompt")
	w.eventually("the reservation is released", func() bool {
		return slices.ContainsFunc(w.orders(), func(o standin.Order) bool { return o.Operation == "release" })
	})
	reserved := 0
	for _, worker := range w.workers {
		holds := holdsOf(worker)
		if len(holds) < 3 {
			continue
		}
		reserved++
		sent := time.Duration(len(holds)-1) * reservationRenew
		require.LessOrEqual(t, sent+holds[len(holds)-1], settings.ReservationIdle.D()-orderTimeout)
	}
	require.NotZero(t, reserved)
}

// The first event comes shortly before unused memory lapses, and the answer takes long. The memory is renewed at once.
func TestMemoryInUseIsHeldOn(t *testing.T) {
	idle := 4 * time.Second
	r := &reservation{hold: 2 * time.Second, lapse: time.Now().Add(unusedLapse(idle)), begun: make(chan struct{})}
	late := time.Now().Add(unusedLimit(idle))
	require.Less(t, r.holdAt(late), reservationRenew)
	r.used()
	require.Equal(t, r.hold, r.holdAt(late))
	select {
	case <-r.begun:
	default:
		require.Fail(t, "nothing renews it")
	}
}

// holdsOf are the lengths that a server was asked to hold memory for, in order, by the first reservation that came.
func holdsOf(worker *standin.Worker) []time.Duration {
	var id string
	var holds []time.Duration
	for _, o := range worker.Orders() {
		if o.Operation == "reserve" && (id == "" || id == o.Id) {
			id = o.Id
			holds = append(holds, time.Duration(o.HoldMs)*time.Millisecond)
		}
	}
	return holds
}

// orders are those that all servers have got.
func (w *world) orders() []standin.Order {
	var orders []standin.Order
	for _, worker := range w.workers {
		orders = append(orders, worker.Orders()...)
	}
	return orders
}

// The last prompt of an entry that stops is answered. The entry stays until its memory is given back, which
// would else be kept from others for as long as it is held.
func TestAStopWaitsUntilMemoryIsGivenBack(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	for i := range 3 {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), "engines")
		worker.Script = func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
		worker.OrderDelay = 200 * time.Millisecond
		w.list(worker)
	}
	s := w.serve()
	require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/", 400_000, "prompt").status)
	require.Equal(t, 1, s.manager.Open())
	w.eventually("nothing is open", func() bool { return s.manager.Open() == 0 })
	require.True(t, w.allReleased())
}

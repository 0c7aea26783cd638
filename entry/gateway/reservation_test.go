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
	"arbutusdeck/core/placement"
	"arbutusdeck/platform/standin"
)

// allReleased reports whether each requested reservation was also released, rather than expired.
func (w *testbed) allReleased() bool {
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

// A prompt of 500,000 tokens reserves memory at several servers, which are named to the first one
// with their reservations; all memory is released afterwards.
func TestAHugePromptIsHeldInReservations(t *testing.T) {
	w := newTestbed(t)
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
			require.True(t, strings.HasPrefix(run.Helpers, worker.Address()+"/"), "its own reservation comes first")
		}
		reserved += requireOneReservation(t, worker)
	}
	require.Equal(t, int64(500_500), reserved)
	w.eventually("all memory is released", w.allReleased)
}

// requireOneReservation checks that all reserve orders of a server are for the same reservation, as renewals are, and
// returns its tokens; 0 without any.
func requireOneReservation(t *testing.T, worker *standin.Worker) int64 {
	var first *standin.Order
	for _, order := range worker.Orders() {
		if order.Operation != "reserve" {
			continue
		}
		if first == nil {
			first = &order
		}
		require.Equal(t, first.Id, order.Id)
		require.Equal(t, first.Tokens, order.Tokens)
	}
	if first == nil {
		return 0
	}
	return first.Tokens
}

// A long prompt is divided over four servers, one of which is down. The first one refuses the
// request and names it; the next attempt keeps the first one and excludes the other.
func TestACrashedHelperIsExcluded(t *testing.T) {
	w := newTestbed(t)
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
			continue // it was chosen as the first, where it responds
		}
		require.Equal(t, 200, r.status, r.body)
	}
}

// Three of four servers refuse their parts of the memory: what the other one granted is released at
// once, and nothing runs.
func TestAFailedReservationIsReleasedAtAllServers(t *testing.T) {
	w := newTestbed(t)
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
	require.Zero(t, w.runCount())
	w.eventually("all memory is released", w.allReleased)
}

// A prompt of 350,000 tokens has memory at a group whose first server hangs: it grants and renews
// the reservation but never starts to write. Without a bound the memory of the whole group would be
// kept from others until the caller disconnects. The entry cancels the attempt, releases the
// memory, and another server responds.
func TestUnusedMemoryIsReleased(t *testing.T) {
	w := newTestbed(t)
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
	settings := w.newSettings()
	settings.ReservationIdle = config.Duration(4 * time.Second)
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	began := time.Now()
	r := w.call(s, http.MethodPost, "/stream/", 350_000, "prompt")
	require.Equal(t, 200, r.status, r.body)
	require.NotEqual(t, "signed-by-"+*hung.Load(), r.signature)
	require.Less(t, time.Since(began), settings.ReservationIdle.D())
	w.eventually("all memory is released", w.allReleased)
}

// An entry is paused while the server of its request hangs, and can't release its reservation. The
// orders already say when the memory expires; otherwise it would be kept from others beyond the
// time allowed without use.
func TestUnusedMemoryExpiresWithoutARelease(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for i := range 8 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	}
	settings := w.newSettings()
	settings.ReservationIdle = config.Duration(4 * time.Second)
	s := w.start(settings)
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) })
	go w.call(s, http.MethodPost, "/stream/", 350_000, "prompt")
	w.eventually("the reservation is released", func() bool {
		return slices.ContainsFunc(w.orders(), func(o standin.Order) bool { return o.Operation == "release" })
	})
	reserved := 0
	for _, worker := range w.workers {
		holds := ttlsOf(worker)
		if len(holds) < 3 {
			continue
		}
		reserved++
		sent := time.Duration(len(holds)-1) * reservationRenewInterval
		require.LessOrEqual(t, sent+holds[len(holds)-1], settings.ReservationIdle.D()-orderTimeout)
	}
	require.NotZero(t, reserved)
}

// The first event arrives shortly before unused memory expires, and the response takes long. The
// reservation is renewed at once.
func TestReservedMemoryInUseIsRenewed(t *testing.T) {
	idle := 4 * time.Second
	r := &reservation{ttl: 2 * time.Second, unusedDeadline: time.Now().Add(unusedTTL(idle)), firstEvent: make(chan struct{})}
	late := time.Now().Add(unusedTimeout(idle))
	require.Less(t, r.ttlAt(late), reservationRenewInterval)
	r.markUsed()
	require.Equal(t, r.ttl, r.ttlAt(late))
	select {
	case <-r.firstEvent:
	default:
		require.Fail(t, "no renewal follows")
	}
}

// ttlsOf returns the TTLs that a server was asked for, in order, by the first reservation.
func ttlsOf(worker *standin.Worker) []time.Duration {
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

// orders returns the orders that all servers have received.
func (w *testbed) orders() []standin.Order {
	var orders []standin.Order
	for _, worker := range w.workers {
		orders = append(orders, worker.Orders()...)
	}
	return orders
}

// The last prompt of a stopping entry is completed. The entry stays until its memory is released,
// which would otherwise be kept from others until it expires.
func TestAShutdownWaitsForReleases(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for i := range 3 {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), "engines")
		worker.Script = func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
		worker.OrderDelay = 200 * time.Millisecond
		w.addRow(worker)
	}
	s := w.serve()
	require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/", 400_000, "prompt").status)
	require.Equal(t, 1, s.manager.Open())
	w.eventually("nothing is open", func() bool { return s.manager.Open() == 0 })
	require.True(t, w.allReleased())
}

// Memory for a prompt was reserved at a server that had taken over the address of the one that was chosen, and stayed
// reserved there although no request used it.
func TestMemoryIsNotReservedAtTheNextServerOfAnAddress(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := standin.NewWorker("i-new", "engines")
	t.Cleanup(worker.Close)
	_, row := worker.Row("ready")
	w.store.Put(standin.RowKey("i-gone"), row)
	s := w.start(w.newSettings())
	w.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving })
	server := w.availableServers(s, "engines")[0]
	_, err := s.reserve(t.Context(), "r-1", placement.Choice{Server: server, Reserved: []int64{1000}})
	require.Error(t, err)
	require.Empty(t, worker.Reserved())
}

// A server that states something in its responses to orders only was not heard.
func TestStatementsInResponsesToOrdersAreRecorded(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	worker := w.worker("i-1", "engines", nil)
	worker.StateLimit(2)
	s := w.serve()
	r, err := s.reserve(t.Context(), "r-1", placement.Choice{Server: w.availableServers(s, "engines")[0], Reserved: []int64{1000}})
	require.NoError(t, err)
	<-r.startRelease()
	require.True(t, s.limitsKnown(1)())
}

// A renewal that was under way when its request ended was cancelled here, carried out at the server after the release,
// and kept memory for nobody until it expired.
func TestARenewalUnderWayDoesNotOutliveItsRequest(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	renewing := make(chan struct{})
	worker := standin.NewWorker("i-1", "engines")
	var reserves atomic.Int32
	worker.DelayOrder = func(order standin.Order) time.Duration {
		if order.Operation != "reserve" || reserves.Add(1) != 2 {
			return 0
		}
		close(renewing)
		return 300 * time.Millisecond
	}
	w.addRow(worker)
	s := w.serve()
	r, err := s.reserve(t.Context(), "r-1", placement.Choice{Server: w.availableServers(s, "engines")[0], Reserved: []int64{1000}})
	require.NoError(t, err)
	<-renewing
	<-r.startRelease()
	// The server carries out the renewal even if this entry has cancelled it.
	w.eventually("the renewal was carried out", func() bool { return len(worker.Orders()) == 3 })
	require.Empty(t, worker.Reserved())
}

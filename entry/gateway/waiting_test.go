package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/waiting"
	"arbutusdeck/platform/standin"
)

// queueing switches the queue for slots on.
var queueing = Overload{Queueing: true}

// slotHold is the time for which a stand-in of the tests of the queue holds a slot.
const slotHold = 500 * time.Millisecond

// slotServer is a backend server that runs as many requests at a time as it has slots, in the order of their arrival.
type slotServer struct {
	slots chan struct{}
	mu    sync.Mutex
	// varied is set if the time for which a slot is held varies by up to a fifth, as answers differ in length.
	varied bool
	// held is the total time for which slots were held, served the number of requests that held one.
	held   time.Duration
	served int
}

func (b *slotServer) serve(out http.ResponseWriter, r *http.Request) {
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	since := time.Now()
	standin.ServeEvents(out, r, 1, 0)
	hold := slotHold
	if b.varied {
		hold = time.Duration((0.8 + 0.4*rand.Float64()) * float64(hold))
	}
	time.Sleep(hold)
	standin.WriteEvents(out, 2, 2)
	<-b.slots
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += time.Since(since)
	b.served++
}

// addSlotServers adds servers of the service "engines" with engineSlots slots each.
func (w *testbed) addSlotServers(count int) []*slotServer {
	var all []*slotServer
	for i := range count {
		b := &slotServer{slots: make(chan struct{}, engineSlots)}
		w.worker(fmt.Sprintf("i-%d", i), "engines", b.serve)
		all = append(all, b)
	}
	return all
}

// shortTarget sets the target and the timeout of the streaming route.
func shortTarget(configuration map[string]any) {
	route := configuration["Routes"].([]map[string]any)[0]
	route["TargetLatencyMs"], route["TimeoutMs"] = 300, 6000
}

// startEntries starts entries that know each other.
func (w *testbed) startEntries(count int, overload Overload) []*Server {
	entries := []*Server{w.serveWith(overload)}
	for range count - 1 {
		settings := w.newSettings(entries[0].settings.PeerAddress)
		settings.Overload = overload
		entries = append(entries, w.start(settings))
	}
	for _, s := range entries {
		w.eventually("all entries serve and know each other", func() bool {
			return s.manager.State() == lifecycle.Serving && w.isCurrent(s) && len(s.peers.Membership(time.Now()).Alive) == count-1
		})
	}
	return entries
}

// served is the result of a request of a play of load.
type served struct {
	at     time.Duration // since the start of the play
	status int
	first  time.Duration // to the first event
	key    string
}

func (r served) inTime() bool { return r.status == http.StatusOK && r.first <= 300*time.Millisecond }

// load sends requests of a workspace at a rate per second to the entries in turn, and returns when all have ended.
func (w *testbed) load(entries []*Server, rate float64, length time.Duration, key string) []served {
	var mu sync.Mutex
	var all []served
	var open sync.WaitGroup
	start := time.Now()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / rate * float64(time.Second))
		if at >= length {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		s := entries[i%len(entries)]
		open.Go(func() {
			sent := time.Now()
			r := served{at: sent.Sub(start), key: key}
			request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/", fmt.Sprintf("%x-%d", sent.UnixNano(), i), 2000, "x")
			if key != "" {
				request.Header.Set("Authorization", "Bearer "+key)
			}
			response, err := client.Do(request)
			if err == nil {
				r.status, r.first = response.StatusCode, time.Since(sent)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r)
		})
	}
	open.Wait()
	return all
}

func countInTime(all []served, from, to time.Duration) (count, inTime int) {
	for _, r := range all {
		if r.at < from || r.at >= to {
			continue
		}
		count++
		if r.inTime() {
			inTime++
		}
	}
	return count, inTime
}

// Guards against a standing queue: without the queue at the entries, all requests that are served wait slightly longer
// than the target for as long as the load lasts.
func TestUnderOverloadAsManyAreInTimeAsThereAreSlots(t *testing.T) {
	for _, rate := range []float64{70, 110} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			w := newTestbed(t)
			w.configure(shortTarget)
			servers := w.addSlotServers(2)
			entries := w.startEntries(3, queueing)
			const settle, length = time.Second, 4 * time.Second
			all := w.load(entries, rate, length, "")
			held, runs := time.Duration(0), 0
			for _, b := range servers {
				b.mu.Lock()
				held, runs = held+b.held, runs+b.served
				b.mu.Unlock()
			}
			count, inTime := countInTime(all, settle, length)
			perSecond := float64(len(servers)*engineSlots) / (held / time.Duration(runs)).Seconds()
			owed := min(float64(count), perSecond*(length-settle).Seconds())
			t.Logf("%d of %d in time, %.3f of what the slots allow (%.1f a second)", inTime, count, float64(inTime)/owed, perSecond)
			require.GreaterOrEqual(t, float64(inTime), 0.95*owed)
		})
	}
}

// Guards against requests that wait from the time of an overload on and delay those that come after it.
func TestTwoSecondsAfterAnOverloadAllAreInTime(t *testing.T) {
	for _, varied := range []bool{false, true} {
		t.Run(fmt.Sprintf("answers of varied length %v", varied), func(t *testing.T) {
			w := newTestbed(t)
			w.configure(shortTarget)
			for _, b := range w.addSlotServers(2) {
				b.varied = varied
			}
			entries := w.startEntries(3, queueing)
			const length = 3 * time.Second
			afterwards := make(chan []served)
			time.AfterFunc(length, func() { afterwards <- w.load(entries, 30, 4*time.Second, "") })
			w.load(entries, 110, length, "")
			count, inTime := countInTime(<-afterwards, 2*time.Second, 4*time.Second)
			t.Logf("%d of %d in time from two seconds after the overload on", inTime, count)
			require.GreaterOrEqual(t, float64(inTime), 0.95*float64(count), "a delay of the machine makes some late")
		})
	}
}

// takeAllSlots makes an entry know of requests in all slots of its servers, and returns a function that ends them.
func takeAllSlots(s *Server) (end func()) {
	s.mu.Lock()
	servers := s.directory.AvailableIn("engines", s.settings.Zone)
	s.mu.Unlock()
	m, ended := peering.Message{From: "127.0.0.1:1", Incarnation: "x"}, peering.Message{From: "127.0.0.1:1", Incarnation: "x"}
	for _, server := range servers {
		for range engineSlots {
			id := uuid.NewString()
			m.Dispatches = append(m.Dispatches, placement.Dispatch{ID: id, Server: server.IncarnationID(), PromptTokens: 2000, AnswerTokens: 500, Lifetime: time.Minute})
			ended.Ended = append(ended.Ended, id)
		}
	}
	s.applyLoadUpdates(time.Now(), m, false)
	return func() { s.applyLoadUpdates(time.Now(), ended, false) }
}

// waits returns a condition: so many requests wait for a slot at the entry.
func (s *Server) waits(count int) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		q := s.queues["engines"]
		return q != nil && q.queue.Len() == count && len(q.waiting) == count
	}
}

// waitingCall starts a request at an entry whose slots are all taken, and returns when it waits.
func (w *testbed) waitingCall(s *Server) <-chan reply {
	done := make(chan reply, 1)
	go func() { done <- w.call(s, http.MethodPost, "/stream/", 2000, "x") }()
	w.eventually("the request waits", s.waits(1))
	return done
}

// fullEntry starts an entry with one server, all of whose slots are taken as far as the entry knows.
func (w *testbed) fullEntry(overload Overload) (s *Server, end func()) {
	w.configure(shortTarget)
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) })
	s = w.serveWith(overload)
	return s, takeAllSlots(s)
}

// Guards against a request that is sent to a full server, or stays in the queue when there are slots.
func TestARequestWaitsUntilThereIsASlot(t *testing.T) {
	w := newTestbed(t)
	s, end := w.fullEntry(queueing)
	done := w.waitingCall(s)
	require.Zero(t, w.runCount())
	end()
	require.Equal(t, http.StatusOK, (<-done).status)
	w.eventually("nobody waits", s.waits(0))
}

// Guards against a caller that has given up and keeps its place before others.
func TestACallerThatGivesUpLeavesTheQueue(t *testing.T) {
	w := newTestbed(t)
	s, end := w.fullEntry(queueing)
	ctx, cancel := context.WithCancel(context.Background())
	request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/", "gone", 2000, "x").WithContext(ctx)
	done := make(chan reply, 1)
	go func() { done <- call(request) }()
	w.eventually("the request waits", s.waits(1))
	cancel()
	require.Error(t, (<-done).err)
	// Well before the end of its time after six seconds, at which the queue would refuse it.
	require.Eventually(t, s.waits(0), 2*time.Second, 5*time.Millisecond, "it has left")
	end()
	require.Equal(t, http.StatusOK, w.call(s, http.MethodPost, "/stream/", 2000, "x").status)
	require.Equal(t, 1, w.runCount())
}

// Guards against waiting callers that hold up the shutdown, or get no answer at its end.
func TestAnEntryThatStopsRefusesWhoeverWaits(t *testing.T) {
	w := newTestbed(t)
	s, _ := w.fullEntry(queueing)
	done := w.waitingCall(s)
	s.manager.Drain()
	r := <-done
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, problem{Code: CodeStopping, Detail: "this entry is about to stop", Run: "notRun"}, problemOf(t, r))
	r = w.call(s, http.MethodPost, "/stream/", 2000, "x")
	require.Equal(t, CodeStopping, problemOf(t, r).Code, "a request that comes while the entry stops doesn't wait")
	require.Zero(t, w.runCount())
}

// Guards against a request that is held beyond its time, and against a refusal that doesn't say that it was not run.
func TestAWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	w := newTestbed(t)
	s, _ := w.fullEntry(queueing)
	request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/", "late", 2000, "x")
	request = standin.SetRemaining(request, 700*time.Millisecond)
	since := time.Now()
	r := call(request)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "notRun", problemOf(t, r).Run)
	require.Greater(t, time.Since(since), 500*time.Millisecond, "it waits as long as it may be served")
	require.Zero(t, w.runCount())
}

// Guards against a change of choices where the switch is off: a short prompt whose wait at the full server is in time is
// sent there, and no message has a report of a queue. Played with the switch, both differ.
func TestWithoutTheSwitchARequestIsSentToAFullServer(t *testing.T) {
	w := newTestbed(t)
	s, _ := w.fullEntry(Overload{})
	require.Equal(t, http.StatusOK, w.call(s, http.MethodPost, "/stream/", 2000, "x").status)
	require.Equal(t, 1, w.runCount())
	require.Empty(t, s.queues)
	require.Empty(t, s.queueReports(time.Now()))

	w = newTestbed(t)
	s, end := w.fullEntry(queueing)
	done := w.waitingCall(s)
	require.Zero(t, w.runCount())
	require.Len(t, s.queueReports(time.Now()), 1)
	end()
	require.Equal(t, http.StatusOK, (<-done).status)
}

// Guards against requests of an entry that is killed or cut off, which hold back those of the others.
func TestTheQueueOfAnEntryThatIsNotHeardHoldsNobodyBack(t *testing.T) {
	w := newTestbed(t)
	s, end := w.fullEntry(queueing)
	lost := waiting.Report{Service: "engines", Promised: 50, Head: -10_000, Last: -5_000}
	s.applyLoadUpdates(time.Now(), peering.Message{From: "127.0.0.1:1", Incarnation: "x", Queue: []waiting.Report{lost}}, false)
	done := w.waitingCall(s)
	end()
	since := time.Now()
	require.Equal(t, http.StatusOK, (<-done).status)
	require.Less(t, time.Since(since), 2*time.Second)
}

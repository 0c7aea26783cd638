package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/platform/standin"
)

// poisonBody is the body of a request that crashes each server that starts to run it, if it comes
// from the workspace of the default key.
const poisonBody = "a prompt that no server bears"

// poisonFleet has some entries and servers that crash under the poison request, and a second
// workspace with its own key.
type poisonFleet struct {
	*testbed
	entries []*Server
}

// otherKey is the key of the second workspace.
const otherKey = "key-2"

func newPoisonFleet(t *testing.T, entries int, service string, servers int, script http.HandlerFunc) *poisonFleet {
	return newDelayedPoisonFleet(t, entries, service, servers, script, 0)
}

// newDelayedPoisonFleet has servers that crash some time after they have started the poison
// request, even if its caller has disconnected.
func newDelayedPoisonFleet(t *testing.T, entries int, service string, servers int, script http.HandlerFunc, after time.Duration) *poisonFleet {
	f := &poisonFleet{testbed: newTestbed(t)}
	f.configure(func(c map[string]any) {
		c["Tenants"] = append(c["Tenants"].([]map[string]any), map[string]any{"Name": "school", "ApiKeys": []string{otherKey}})
	})
	for i := range servers {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), service)
		worker.Script = script
		worker.CrashesOn = func(run standin.Run) bool {
			ends := run.Body == poisonBody && run.Workspace == "press"
			if ends {
				time.Sleep(after)
			}
			return ends
		}
		f.addRow(worker)
	}
	for range entries {
		f.addEntry()
	}
	return f
}

// addEntry starts an entry that knows the previous ones, and waits until they hear each other.
func (f *poisonFleet) addEntry() *Server {
	var seeds []string
	for _, s := range f.entries {
		seeds = append(seeds, s.settings.PeerAddress)
	}
	s := f.start(f.newSettings(seeds...))
	f.entries = append(f.entries, s)
	f.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && f.isCurrent(s) })
	f.eventually("entries hear each other", func() bool {
		for _, s := range f.entries {
			if len(s.peers.Membership(time.Now()).Local) != len(f.entries)-1 {
				return false
			}
		}
		return true
	})
	return s
}

func (f *poisonFleet) send(s *Server, method, path, key, body string) reply {
	tokens := 0
	if method == http.MethodPost && path != "/order/x" {
		tokens = 2000
	}
	return f.sendWithin(testTimeout, s, method, path, key, body, tokens)
}

// sendWithin sends a request whose caller disconnects after a while.
func (f *poisonFleet) sendWithin(leaves time.Duration, s *Server, method, path, key, body string, tokens int) reply {
	ctx, cancel := context.WithTimeout(f.t.Context(), leaves)
	defer cancel()
	id := fmt.Sprintf("%x", time.Now().UnixNano())
	request := standin.SetAPIKey(standin.NewRequest(s.settings.ListenAddress, method, path, id, tokens, body), key)
	return call(request.WithContext(ctx))
}

// crashedCount returns the number of crashed servers.
func (f *poisonFleet) crashedCount() int {
	count := 0
	for _, worker := range f.workers {
		if worker.Crashed() {
			count++
		}
	}
	return count
}

// propagationTime is enough for load updates to reach all entries, also on a busy machine.
const propagationTime = 100 * time.Millisecond

// maxCrashed bounds the servers that may crash under one request: three until it is quarantined,
// and three more that it had been sent to before all entries knew.
const maxCrashed = 6

// A request crashes each server that starts to run it. The caller gets an error and repeats the
// request at any entry, for which it is new. Without a quarantine it is sent on until all servers
// have crashed, and their other requests are aborted. After three crashes it has to be refused as
// not run, also by entries that have never seen it. All other requests are served, those of the
// same caller and the same request of another workspace.
func TestARequestThatCrashesServersIsQuarantined(t *testing.T) {
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	for _, c := range []struct {
		name, method, path, service string
		script                      http.HandlerFunc
	}{
		{"resumable stream", http.MethodPost, "/stream/x", "engines", events},
		{"stream that runs once", http.MethodPost, "/once/x", "engines", events},
		{"idempotent", http.MethodGet, "/read/x", "plain", nil},
		{"order", http.MethodPost, "/order/x", "plain", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newPoisonFleet(t, 3, c.service, 14, c.script)
			var last reply
			for i := range 14 {
				last = f.send(f.entries[i%len(f.entries)], c.method, c.path, "key-1", poisonBody)
				time.Sleep(propagationTime)
			}
			require.LessOrEqual(t, f.crashedCount(), maxCrashed, "servers that have crashed")
			require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
			require.Equal(t, execution.CodeQuarantined, problemOf(t, last).Code)
			require.Equal(t, "notRun", problemOf(t, last).Run)
			require.NotEmpty(t, last.header.Get("Retry-After"))
			for _, s := range f.entries {
				require.Equal(t, 200, f.send(s, c.method, c.path, "key-1", "another prompt").status, "another request of the caller")
				require.Equal(t, 200, f.send(s, c.method, c.path, otherKey, poisonBody).status, "the same request of another workspace")
			}
			ended := f.crashedCount()
			started := f.addEntry()
			time.Sleep(propagationTime)
			require.Equal(t, http.StatusServiceUnavailable, f.send(started, c.method, c.path, "key-1", poisonBody).status, "at an entry that has started since")
			require.Equal(t, ended, f.crashedCount())
		})
	}
}

// A request is repeated at the only entry, and its first attempt is the third crash. It must not be
// retried, although its route allows it, and its caller must not get a response that states that it
// did not run.
func TestARequestIsNotRetriedAfterTheThirdCrash(t *testing.T) {
	f := newPoisonFleet(t, 1, "plain", 8, nil)
	for range 3 {
		r := f.send(f.entries[0], http.MethodGet, "/read/x", "key-1", poisonBody)
		require.NotEqual(t, 200, r.status)
		if f.crashedCount() == 3 {
			require.Equal(t, http.StatusBadGateway, r.status)
			require.Equal(t, execution.CodeQuarantined, problemOf(t, r).Code)
			return
		}
	}
	require.Fail(t, "three servers have to end", "%d have", f.crashedCount())
}

// A server crashes some time after it has started a request whose response nobody waits for any
// more: the caller has disconnected, or the entry has redispatched the request because the first
// event was overdue. The entry has closed the connection itself, so that it sees no error. The
// request is repeated at any entry, and must be refused after three crashes; one more server may be
// running it then.
func TestACrashAfterCancellationIsDetected(t *testing.T) {
	const most = 4
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	for _, c := range []struct {
		name        string
		ends, leave time.Duration
	}{
		{"the caller has left", 150 * time.Millisecond, 50 * time.Millisecond},
		{"the entry has gone on", 500 * time.Millisecond, testTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newDelayedPoisonFleet(t, 2, "engines", 10, events, c.ends)
			var last reply
			for i := range 6 {
				last = f.sendWithin(c.leave, f.entries[i%2], http.MethodPost, "/stream/x", "key-1", poisonBody, 2000)
				time.Sleep(time.Second)
			}
			require.LessOrEqual(t, f.crashedCount(), most, "servers that have crashed")
			require.Equal(t, execution.CodeQuarantined, problemOf(t, last).Code)
		})
	}
}

// Guards against losing the crash of a server whose entry stops between its caller's leaving and the check of the server.
func TestAStoppingEntryRecordsACrashAfterCancellation(t *testing.T) {
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	f := newDelayedPoisonFleet(t, 2, "engines", 2, events, 150*time.Millisecond)
	stopping, other := f.entries[0], f.entries[1]
	stopping.manager.Drain()
	time.Sleep(shutdownLinger - 200*time.Millisecond)
	f.sendWithin(50*time.Millisecond, stopping, http.MethodPost, "/stream/x", "key-1", poisonBody, 2000)
	require.NoError(t, stopping.manager.Wait(t.Context(), testTimeout))
	stopping.tomb.Kill(nil)
	f.eventually("the other entry has the record", func() bool { return !other.tracksNoRequests() })
}

// makeSuspects records two crashes under each of the streams with these bodies.
func (s *Server) makeSuspects(bodies ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, body := range bodies {
		f := quarantine.FingerprintOf("press", http.MethodPost, "press.example", "/stream/x", []byte(body))
		s.tracker.ServerCrashed(time.Now(), f, "a")
		s.tracker.ServerCrashed(time.Now(), f, "b")
	}
}

// A harmless request was running beside a faulty one when two servers crashed, and both are
// repeated at the same moment. A server that is writing a response attracts short prompts, so that
// both would be sent to it, and the harmless request would be present at the next crash as well. It
// must be sent to another server, and still be served if there is only one.
func TestTwoSuspectsAreSentToDifferentServers(t *testing.T) {
	for _, servers := range []int{3, 1} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			for i := range servers {
				w.worker(fmt.Sprintf("i-%d", i), "engines", func(out http.ResponseWriter, r *http.Request) {
					standin.ServeEvents(out, r, 1, 0)
					time.Sleep(500 * time.Millisecond)
				})
			}
			s := w.serve()
			s.makeSuspects("one", "two")
			replies := map[string]reply{}
			var mu sync.Mutex
			var all sync.WaitGroup
			for sent, body := range []string{"drawing", "one", "two"} {
				all.Go(func() {
					r := w.call(s, http.MethodPost, "/stream/x", 2000, body)
					mu.Lock()
					defer mu.Unlock()
					replies[body] = r
				})
				w.eventually("it is sent", func() bool { return w.runCount() == sent+1 })
				time.Sleep(propagationTime) // its response is being written by then
			}
			all.Wait()
			for body, r := range replies {
				require.Equal(t, 200, r.status, body)
			}
			require.Equal(t, replies["drawing"].signature, replies["one"].signature, "the response being written attracts it")
			require.Equal(t, servers > 1, replies["one"].signature != replies["two"].signature, "different servers")
		})
	}
}

// Two suspects arrive at the same moment, and all other servers are loaded beyond the request's
// deadline. The second suspect is sent to the server of the first rather than refused.
func TestASuspectIsNotRefusedBecauseOfAnother(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for i := range 2 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) })
	}
	s := w.serve()
	s.makeSuspects("one", "two")
	s.mu.Lock()
	server := s.directory.Available("engines")[1]
	s.mu.Unlock()
	engine := s.table.Load().Service("engines").Engine
	for i := range 400 {
		s.trackBegin(placement.Dispatch{ID: fmt.Sprint(i), Server: server.IncarnationID(), PromptTokens: 20_000, AnswerTokens: 400, Target: time.Second, Lifetime: time.Minute},
			placement.Choice{Server: server}, engine)
	}
	for _, body := range []string{"one", "two"} {
		r := w.call(s, http.MethodPost, "/stream/x", 2000, body)
		require.Equal(t, 200, r.status, r.body)
		require.Equal(t, "signed-by-i-0", r.signature)
	}
}

// Servers break each response to a request but keep running: they fail, or their links do. The
// request must not be refused for that, however often it is repeated.
func TestARequestWhoseServersDoNotCrashIsNotRefused(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for i := range 6 {
		w.worker(fmt.Sprintf("i-%d", i), "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	s := w.serve()
	for range 8 {
		require.Equal(t, http.StatusBadGateway, w.call(s, http.MethodPost, "/order/x", 0, "order").status)
	}
	require.Equal(t, 8, w.runCount())
}

// Draining servers exit while they still run the same request. They exit by themselves: the request
// must not be refused.
func TestTheExitOfADrainingServerIsNotAttributedToItsRequests(t *testing.T) {
	f := newPoisonFleet(t, 1, "plain", 6, nil)
	s := f.entries[0]
	for _, worker := range f.workers[:4] {
		f.store.Put(worker.Row("draining"))
	}
	f.eventually("the draining is known", func() bool { return len(f.availableServers(s, "plain")) == 2 })
	for _, worker := range f.workers[:4] {
		s.recordCrash(time.Now(), startedRequest{id: "a"}, placement.Choice{Server: directory.Server{ID: worker.ID}})
	}
	require.True(t, s.tracksNoRequests())
	s.recordCrash(time.Now(), startedRequest{id: "a"}, placement.Choice{Server: directory.Server{ID: f.workers[5].ID}})
	require.False(t, s.tracksNoRequests())
}

// crashRecord returns the quarantine record of a request under which some servers have crashed.
func crashRecord(servers ...string) quarantine.Record {
	watch := quarantine.NewTracker()
	var record quarantine.Record
	for _, server := range servers {
		record, _ = watch.ServerCrashed(time.Now(), quarantine.FingerprintOf("press", http.MethodGet, "press.example", "/read/x", nil), server)
	}
	return record
}

// quarantines returns a condition: the entry refuses the request of crashRecord.
func (s *Server) quarantines(record quarantine.Record) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.tracker.RefusedFor(time.Now(), record.Fingerprint) > 0
	}
}

// The datagram with a quarantine record is lost. Heartbeats show that the records of two entries
// differ, and the other one gets the record and refuses the request as well.
func TestALostRecordIsSentAgain(t *testing.T) {
	f := newPoisonFleet(t, 2, "plain", 1, nil)
	record := crashRecord("a", "b", "c")
	f.entries[0].mu.Lock()
	f.entries[0].tracker.Merge(time.Now(), []quarantine.Record{record})
	f.entries[0].mu.Unlock()
	f.eventually("the second refuses it", f.entries[1].quarantines(record))
}

// Load updates of a large fleet stay within a zone. A request that crashes servers may be repeated
// at any entry: those of other zones have to refuse it as well, at once.
func TestEntriesOfOtherZonesGetQuarantineRecords(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	w.eventually("the first routes locally too", func() bool {
		return here.peers.Membership(time.Now()).LocalRouting && len(here.peers.RunningIn(time.Now(), "there")) == 1
	})
	record := crashRecord("a", "b", "c")
	here.peers.BroadcastRecord(record)
	require.Eventually(t, there.quarantines(record), peering.HeartbeatInterval/2, time.Millisecond)
}

// A request was running when two servers crashed, and then completes: it did not cause the crashes.
// All entries clear it, or a third crash by chance would quarantine it.
func TestACompletedRequestIsCleared(t *testing.T) {
	f := newPoisonFleet(t, 2, "plain", 1, nil)
	record := crashRecord("a", "b")
	for _, s := range f.entries {
		s.mu.Lock()
		s.tracker.Merge(time.Now(), []quarantine.Record{record})
		s.mu.Unlock()
	}
	require.Equal(t, 200, f.send(f.entries[0], http.MethodGet, "/read/x", "key-1", "").status)
	for _, s := range f.entries {
		f.eventually("it is cleared", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			known := s.tracker.Records(time.Now())
			return len(known) == 1 && len(known[0].Crashes) == 0
		})
	}
	s := f.entries[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isNew := s.tracker.ServerCrashed(time.Now(), record.Fingerprint, "c")
	require.False(t, isNew, "it completed a moment ago")
}

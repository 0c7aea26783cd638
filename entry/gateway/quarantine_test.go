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

// fatal is the body of a request that ends each server which begins to run it, if it comes
// from the workspace of the usual key.
const fatal = "a prompt that no server bears"

// fatalFleet is some entries before servers that end under the fatal request. A second
// workspace has a key of its own.
type fatalFleet struct {
	*world
	entries []*Server
}

// otherKey is the key of the second workspace.
const otherKey = "key-2"

func newFatalFleet(t *testing.T, entries int, service string, servers int, script http.HandlerFunc) *fatalFleet {
	return newSlowlyFatalFleet(t, entries, service, servers, script, 0)
}

// newSlowlyFatalFleet has servers that end a while after they have begun the fatal request,
// whether its caller is still there or not.
func newSlowlyFatalFleet(t *testing.T, entries int, service string, servers int, script http.HandlerFunc, after time.Duration) *fatalFleet {
	f := &fatalFleet{world: newWorld(t)}
	f.configure(func(c map[string]any) {
		c["Tenants"] = append(c["Tenants"].([]map[string]any), map[string]any{"Name": "school", "ApiKeys": []string{otherKey}})
	})
	for i := range servers {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), service)
		worker.Script = script
		worker.CrashesOn = func(run standin.Run) bool {
			ends := run.Body == fatal && run.Workspace == "press"
			if ends {
				time.Sleep(after)
			}
			return ends
		}
		f.list(worker)
	}
	for range entries {
		f.add()
	}
	return f
}

// add starts an entry that knows those before it, and waits until they hear each other.
func (f *fatalFleet) add() *Server {
	var seeds []string
	for _, s := range f.entries {
		seeds = append(seeds, s.settings.PeerAddress)
	}
	s := f.start(f.settings(seeds...))
	f.entries = append(f.entries, s)
	f.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && f.known(s) })
	f.eventually("entries hear each other", func() bool {
		for _, s := range f.entries {
			s.peers.mu.Lock()
			near := len(s.peers.group.Near(time.Now()))
			s.peers.mu.Unlock()
			if near != len(f.entries)-1 {
				return false
			}
		}
		return true
	})
	return s
}

// send sends a request to an entry.
func (f *fatalFleet) send(s *Server, method, path, key, body string) reply {
	tokens := 0
	if method == http.MethodPost && path != "/order/x" {
		tokens = 2000
	}
	return f.sendWithin(patience, s, method, path, key, body, tokens)
}

// sendWithin sends a request whose caller leaves after a while.
func (f *fatalFleet) sendWithin(leaves time.Duration, s *Server, method, path, key, body string, tokens int) reply {
	ctx, cancel := context.WithTimeout(f.t.Context(), leaves)
	defer cancel()
	id := fmt.Sprintf("%x", time.Now().UnixNano())
	request := standin.SetAPIKey(standin.NewRequest(s.settings.ListenAddress, method, path, id, tokens, body), key)
	return call(request.WithContext(ctx))
}

// ended is how many servers have ended.
func (f *fatalFleet) ended() int {
	count := 0
	for _, worker := range f.workers {
		if worker.Crashed() {
			count++
		}
	}
	return count
}

// newsTime is for how long news take to reach all entries, with room for a busy machine.
const newsTime = 100 * time.Millisecond

// mostEnded is how many servers may end under one request: three, after which it is known, and
// three more that it had been sent to or was sent to before all entries know.
const mostEnded = 6

// A caller's request ends each server that begins to run it. The caller gets an error and sends
// it again, to any entry. To each entry it is a new request: it is sent to servers, some of them
// twice, until all have ended, and whatever else they ran is cut. It has to be refused as not run
// once three servers have ended under it, also by entries that have never seen it. All other
// requests, those of its caller and the same one of another workspace, are served.
func TestARequestThatEndsServersIsNotSentOnWithoutEnd(t *testing.T) {
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
			f := newFatalFleet(t, 3, c.service, 14, c.script)
			var last reply
			for i := range 14 {
				last = f.send(f.entries[i%len(f.entries)], c.method, c.path, "key-1", fatal)
				time.Sleep(newsTime)
			}
			require.LessOrEqual(t, f.ended(), mostEnded, "servers that have ended")
			require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
			require.Equal(t, "notRun", problemOf(t, last).Run)
			require.NotEmpty(t, last.header.Get("Retry-After"))
			for _, s := range f.entries {
				require.Equal(t, 200, f.send(s, c.method, c.path, "key-1", "another prompt").status, "another request of the caller")
				require.Equal(t, 200, f.send(s, c.method, c.path, otherKey, fatal).status, "the same request of another workspace")
			}
			ended := f.ended()
			started := f.add()
			time.Sleep(newsTime)
			require.Equal(t, http.StatusServiceUnavailable, f.send(started, c.method, c.path, "key-1", fatal).status, "at an entry that has started since")
			require.Equal(t, ended, f.ended())
		})
	}
}

// One entry, and the request comes a second time: its first try is the third end. The attempt is
// over then, though its route allows a second try, and its caller is not told that it didn't run.
func TestAnAttemptIsNotSentOnAfterTheThirdEnd(t *testing.T) {
	f := newFatalFleet(t, 1, "plain", 8, nil)
	for range 3 {
		r := f.send(f.entries[0], http.MethodGet, "/read/x", "key-1", fatal)
		require.NotEqual(t, 200, r.status)
		if f.ended() == 3 {
			require.Equal(t, http.StatusBadGateway, r.status)
			require.Equal(t, execution.CodeQuarantined, problemOf(t, r).Code)
			return
		}
	}
	require.Fail(t, "three servers have to end", "%d have", f.ended())
}

// A server ends some time after it has begun a request, and nobody waits for its answer any more:
// the caller has left, or the entry has gone on to another server since the first event was overdue.
// The entry has closed the connection itself and hears of no end. The request comes again, to any
// entry, and must be refused once three servers have ended under it; one more may be running it then.
func TestAnEndThatNobodyWaitsForIsFoundOut(t *testing.T) {
	const most = 4
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
	for _, c := range []struct {
		name        string
		ends, leave time.Duration
	}{
		{"the caller has left", 150 * time.Millisecond, 50 * time.Millisecond},
		{"the entry has gone on", 500 * time.Millisecond, patience},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newSlowlyFatalFleet(t, 2, "engines", 10, events, c.ends)
			var last reply
			for i := range 6 {
				last = f.sendWithin(c.leave, f.entries[i%2], http.MethodPost, "/stream/x", "key-1", fatal, 2000)
				time.Sleep(time.Second)
			}
			require.LessOrEqual(t, f.ended(), most, "servers that have ended")
			require.Equal(t, execution.CodeQuarantined, problemOf(t, last).Code)
		})
	}
}

// makeSuspects lets two servers have ended under streams with these bodies.
func (s *Server) makeSuspects(bodies ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, body := range bodies {
		f := quarantine.FingerprintOf("press", http.MethodPost, "press.example", "/stream/x", []byte(body))
		s.watch.Ended(time.Now(), f, "a")
		s.watch.Ended(time.Now(), f, "b")
	}
}

// A sound request was beside one at fault when two servers ended, and both come again at the same
// moment. An answer that is being written draws short ones, so that both would go to its server, and the
// sound one would be at the next end as well; it must go to another server, and is served there if there
// is only one.
func TestTwoSuspectsAreSentToDifferentServers(t *testing.T) {
	for _, servers := range []int{3, 1} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
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
				w.eventually("it is sent", func() bool { return w.runs() == sent+1 })
				time.Sleep(newsTime) // its answer is being written by then
			}
			all.Wait()
			for body, r := range replies {
				require.Equal(t, 200, r.status, body)
			}
			require.Equal(t, replies["drawing"].signature, replies["one"].signature, "the answer draws it")
			require.Equal(t, servers > 1, replies["one"].signature != replies["two"].signature, "different servers")
		})
	}
}

// Two suspects come at the same moment, and all other servers have more work than they can do in the
// request's time. The second one is sent to the server of the first, rather than refused.
func TestASuspectIsNotRefusedForTheSakeOfAnother(t *testing.T) {
	w := newWorld(t)
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
		s.bookBegin(placement.Dispatch{ID: fmt.Sprint(i), Server: server.IncarnationID(), PromptTokens: 20_000, AnswerTokens: 400, Target: time.Second, Lifetime: time.Minute},
			placement.Choice{Server: server}, engine)
	}
	for _, body := range []string{"one", "two"} {
		r := w.call(s, http.MethodPost, "/stream/x", 2000, body)
		require.Equal(t, 200, r.status, r.body)
		require.Equal(t, "signed-by-i-0", r.signature)
	}
}

// Servers break off each answer to a request, and live: they fail, or the links do. A request that
// servers bear must not be refused for it, however often it comes.
func TestARequestWhoseServersLiveIsNotRefused(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	for i := range 6 {
		w.worker(fmt.Sprintf("i-%d", i), "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	s := w.serve()
	for range 8 {
		require.Equal(t, http.StatusBadGateway, w.call(s, http.MethodPost, "/order/x", 0, "order").status)
	}
	require.Equal(t, 8, w.runs())
}

// Servers leave as planned, and end while they still run the same request. They end by
// themselves: the request must not be refused.
func TestALeavingServersEndIsNotChargedToWhatItRuns(t *testing.T) {
	f := newFatalFleet(t, 1, "plain", 6, nil)
	s := f.entries[0]
	for _, worker := range f.workers[:4] {
		f.store.Put(worker.Row("draining"))
	}
	f.eventually("the leaving is known", func() bool { return len(f.available(s, "plain")) == 2 })
	for _, worker := range f.workers[:4] {
		s.noteEnd(time.Now(), begunRequest{id: "a"}, placement.Choice{Server: directory.Server{ID: worker.ID}})
	}
	require.True(t, s.remembersNone())
	s.noteEnd(time.Now(), begunRequest{id: "a"}, placement.Choice{Server: directory.Server{ID: f.workers[5].ID}})
	require.False(t, s.remembersNone())
}

// endedUnder is what an entry remembers of a request under which some servers have ended.
func endedUnder(servers ...string) quarantine.Record {
	watch := quarantine.NewWatch()
	var record quarantine.Record
	for _, server := range servers {
		record, _ = watch.Ended(time.Now(), quarantine.FingerprintOf("press", http.MethodGet, "press.example", "/read/x", nil), server)
	}
	return record
}

// refuses says whether an entry refuses the request of endedUnder.
func (s *Server) refuses(record quarantine.Record) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.watch.Refused(time.Now(), record.Fingerprint) > 0
	}
}

// The datagram in which one entry tells another one of a request is lost. Their heartbeats show
// that they know different things, and the other one refuses the request as well.
func TestARecordThatIsLostIsToldAgain(t *testing.T) {
	f := newFatalFleet(t, 2, "plain", 1, nil)
	record := endedUnder("a", "b", "c")
	f.entries[0].mu.Lock()
	f.entries[0].watch.Join(time.Now(), []quarantine.Record{record})
	f.entries[0].mu.Unlock()
	f.eventually("the second refuses it", f.entries[1].refuses(record))
}

// Entries of a large fleet tell each other of requests within their zone only. A request that
// ends servers comes at any entry: those of other zones have to refuse it as well, at once.
func TestEntriesOfOtherZonesAreToldOfRequestsThatEndServers(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.zonesOfServers("here", "there")
	here, there := w.twoZones()
	w.eventually("the first divides the servers too", func() bool {
		here.peers.mu.Lock()
		defer here.peers.mu.Unlock()
		return here.peers.group.Divided() && len(here.peers.group.In(time.Now(), "there")) == 1
	})
	record := endedUnder("a", "b", "c")
	here.peers.tellRecord(record)
	require.Eventually(t, there.refuses(record), peering.HeartbeatInterval/2, time.Millisecond)
}

// A request was there when two servers ended, and is then answered in whole: it didn't end them.
// All entries forget what they believed of it, or a third end by chance would have it refused.
func TestARequestThatIsAnsweredIsCleared(t *testing.T) {
	f := newFatalFleet(t, 2, "plain", 1, nil)
	record := endedUnder("a", "b")
	for _, s := range f.entries {
		s.mu.Lock()
		s.watch.Join(time.Now(), []quarantine.Record{record})
		s.mu.Unlock()
	}
	require.Equal(t, 200, f.send(f.entries[0], http.MethodGet, "/read/x", "key-1", "").status)
	for _, s := range f.entries {
		f.eventually("it is cleared", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			known := s.watch.Records(time.Now())
			return len(known) == 1 && len(known[0].Ended) == 0
		})
	}
	s := f.entries[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isNew := s.watch.Ended(time.Now(), record.Fingerprint, "c")
	require.False(t, isNew, "it was answered a moment ago")
}

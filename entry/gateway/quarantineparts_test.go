package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/platform/standin"
)

// poisonPart is the part of a prompt that crashes each server that begins to write an answer on it.
const poisonPart = "bad"

// newPoisonPartFleet has servers that crash under the poison part, after some events of an answer.
func newPoisonPartFleet(t *testing.T, entries, servers, events int) *poisonFleet {
	f := newPoisonFleet(t, 0, "engines", 0, nil)
	for i := range servers {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), "engines")
		worker.Script = func(out http.ResponseWriter, r *http.Request) {
			if !standin.RunFromRequest(r).HasPromptPart(poisonPart) {
				standin.ServeEvents(out, r, 3, 0)
				return
			}
			standin.ServeEvents(out, r, events, 0)
			worker.Crash()
			panic(http.ErrAbortHandler)
		}
		f.addRow(worker)
	}
	for range entries {
		f.addEntry()
	}
	return f
}

// sendParts sends a request with parts in its prompt, unlike all others.
func (f *poisonFleet) sendParts(s *Server, key string, tokens int, parts ...string) reply {
	id := fmt.Sprintf("%x", time.Now().UnixNano())
	request := standin.SetPromptParts(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/x", id, tokens, "prompt "+id), append(parts, id)...)
	return call(standin.SetAPIKey(request, key))
}

// requireServed sends a request until it is served; it may meet servers first that are gone, but no quarantine.
func (f *poisonFleet) requireServed(s *Server, tokens int, parts ...string) {
	for until := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		r := f.sendParts(s, "key-1", tokens, parts...)
		if r.status == 200 {
			return
		}
		require.True(f.t, time.Now().Before(until), "a sound request is not served: %s", r.body)
		require.NotEqual(f.t, execution.CodeQuarantined, problemOf(f.t, r).Code)
	}
}

// Guards against requests that share a part which crashes servers, while no two of them are alike.
func TestAPartThatCrashesServersIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		name           string
		tokens, events int
		other          string // a further part of the poison requests
	}{
		{"retried", 2000, 0, "shared"},
		{"resumed", 2000, 2, "shared"},
		{"divided", 120_000, 0, "shared"},
		{"with a part that only they have", 2000, 0, "rare"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newPoisonPartFleet(t, 3, 16, c.events)
			var last reply
			for i := range 14 {
				s := f.entries[i%len(f.entries)]
				f.requireServed(s, c.tokens, "shared")
				last = f.sendParts(s, []string{"key-1", otherKey}[i%2], c.tokens, c.other, poisonPart)
				time.Sleep(propagationTime)
			}
			require.LessOrEqual(t, f.crashedCount(), maxCrashed, "servers that have crashed")
			require.Equal(t, http.StatusServiceUnavailable, last.status, last.body)
			require.Equal(t, execution.CodeQuarantined, problemOf(t, last).Code)
			require.Equal(t, "notRun", problemOf(t, last).Run)
			ended := f.crashedCount()
			started := f.addEntry()
			time.Sleep(propagationTime)
			require.Equal(t, http.StatusServiceUnavailable, f.sendParts(started, "key-1", c.tokens, c.other, poisonPart).status, "at an entry that has started since")
			f.requireServed(started, c.tokens, c.other, "shared")
			time.Sleep(propagationTime)
			for _, s := range f.entries {
				require.Equal(t, http.StatusServiceUnavailable, f.sendParts(s, otherKey, c.tokens, "new", poisonPart).status, "with another part")
			}
			require.Equal(t, ended, f.crashedCount())
		})
	}
}

// accusePart makes an entry learn from a peer that servers have crashed under a part.
func accusePart(s *Server, id string) []quarantine.PartRecord {
	source, now := quarantine.NewPartTracker(), time.Now()
	for i, server := range []string{"a", "b", "c"} {
		at := now.Add(time.Duration(i-3) * time.Second)
		source.ServerCrashed(at, at, []quarantine.Fingerprint{quarantine.PartFingerprint(id)}, server)
	}
	records := source.Records(now)
	if s != nil {
		s.peers.HandleMessage(now, peering.Message{From: "127.0.0.1:1", Incarnation: "x", Zone: s.settings.Zone, PartRecords: records})
	}
	return records
}

// refusesPart returns a condition: the entry refuses requests with a part.
func (s *Server) refusesPart(id string) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.parts.RefusedFor(time.Now(), []quarantine.Fingerprint{quarantine.PartFingerprint(id)}) > 0
	}
}

// Guards against sending a request whose part was quarantined while the request waited for memory.
func TestARequestThatWaitsIsNotSentOnceItsPartIsQuarantined(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for i := range 4 {
		worker := standin.NewWorker(fmt.Sprintf("i-%d", i), "engines")
		worker.OrderDelay = 300 * time.Millisecond
		w.addRow(worker)
	}
	s := w.serve()
	replies := make(chan reply)
	go func() {
		replies <- call(standin.SetPromptParts(standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/x", "waiting", 500_000, "prompt"), poisonPart, "own"))
	}()
	w.eventually("it waits", func() bool { return s.manager.Open() == 1 })
	accusePart(s, poisonPart)
	r := <-replies
	require.Equal(t, http.StatusServiceUnavailable, r.status, r.body)
	require.Equal(t, execution.CodeQuarantined, problemOf(t, r).Code)
	require.Zero(t, w.runCount())
}

// Guards against refusing a request that is repeated beside different requests with a poison part.
func TestARequestBesideAQuarantinedPartIsServed(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) })
	s := w.serve()
	accusePart(s, poisonPart)
	s.mu.Lock()
	for _, server := range []string{"a", "b", "c"} {
		s.tracker.ServerCrashed(time.Now(), quarantine.FingerprintOf("press", http.MethodPost, "press.example", "/stream/x", []byte("sound")), server)
	}
	s.mu.Unlock()
	require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/x", 2000, "sound").status)
}

// Guards against an entry that never learns of a part because the datagrams with its records were lost.
func TestALostPartRecordIsSentAgain(t *testing.T) {
	f := newPoisonFleet(t, 2, "plain", 1, nil)
	f.entries[0].mu.Lock()
	f.entries[0].parts.Merge(time.Now(), accusePart(nil, poisonPart))
	f.entries[0].mu.Unlock()
	f.eventually("the second refuses it", f.entries[1].refusesPart(poisonPart))
}

// Guards against a part that crashes three more servers in each zone.
func TestEntriesOfOtherZonesGetPartRecords(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.addZones("here", "there")
	here, there := w.startTwoZones()
	w.eventually("the first routes locally too", func() bool {
		return here.peers.Membership(time.Now()).LocalRouting && len(here.peers.RunningIn(time.Now(), "there")) == 1
	})
	here.peers.BroadcastPartRecords(accusePart(nil, poisonPart))
	require.Eventually(t, there.refusesPart(poisonPart), peering.HeartbeatInterval/2, time.Millisecond)
}

// Guards against clearing a part by what is no answer to it: a stream that had nothing left to write, and one whose
// server has crashed after a whole event.
func TestOnlyAWrittenAnswerClearsAPart(t *testing.T) {
	for _, c := range []struct {
		name    string
		script  func(*standin.Worker) http.HandlerFunc
		cleared bool
	}{
		{"written", func(*standin.Worker) http.HandlerFunc {
			return func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 2, 0) }
		}, true},
		{"nothing written", func(*standin.Worker) http.HandlerFunc {
			return func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 0, 0) }
		}, false},
		{"ended with the connection", func(*standin.Worker) http.HandlerFunc {
			return func(out http.ResponseWriter, r *http.Request) {
				standin.OmitLength(out)
				standin.ServeEvents(out, r, 2, 0)
			}
		}, true},
		{"ended with the server", func(w *standin.Worker) http.HandlerFunc {
			return func(out http.ResponseWriter, r *http.Request) {
				standin.OmitLength(out)
				standin.ServeEvents(out, r, 2, 0)
				w.Crash()
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			worker := standin.NewWorker("i-1", "engines")
			worker.Script = c.script(worker)
			w.addRow(worker)
			s := w.serve()
			s.mu.Lock()
			s.parts.ServerCrashed(time.Now(), time.Now(), []quarantine.Fingerprint{quarantine.PartFingerprint("part")}, "earlier")
			s.mu.Unlock()
			request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/x", "id", 2000, "prompt")
			require.Equal(t, 200, call(standin.SetPromptParts(request, "part", "own")).status)
			crashes := func() int {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.parts.Records(time.Now())[0].Crashes)
			}
			if c.cleared {
				w.eventually("it is cleared", func() bool { return crashes() == 0 })
				return
			}
			time.Sleep(5 * propagationTime)
			require.Positive(t, crashes())
		})
	}
}

// Guards against sending a suspect to the server to which a request with a poison part has just been sent: both would be
// at its crash.
func TestARequestIsKeptApartFromOneWithASuspectPart(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	for i := range 3 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", func(out http.ResponseWriter, r *http.Request) {
			standin.ServeEvents(out, r, 1, 0)
			time.Sleep(500 * time.Millisecond)
		})
	}
	s := w.serve()
	s.makeSuspects("suspect")
	s.mu.Lock()
	s.parts.ServerCrashed(time.Now(), time.Now(), []quarantine.Fingerprint{quarantine.PartFingerprint(poisonPart)}, "earlier")
	s.mu.Unlock()
	replies := make(chan reply, 2)
	send := func(body string, parts ...string) {
		request := standin.NewRequest(s.settings.ListenAddress, http.MethodPost, "/stream/x", body, 2000, body)
		if len(parts) > 0 {
			standin.SetPromptParts(request, parts...)
		}
		go func() { replies <- call(request) }()
	}
	send("poison", poisonPart, "own")
	w.eventually("it is sent", func() bool { return w.runCount() == 1 })
	time.Sleep(propagationTime) // a response that is being written attracts the next request
	send("suspect")
	require.NotEqual(t, (<-replies).signature, (<-replies).signature)
}

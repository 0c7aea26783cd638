package processes

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"arbutusdeck/standin/fleet"
)

// slowSpec makes answers last long enough to be caught in the middle.
func slowSpec() fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Speed = 1
	return spec
}

// problem is the part of an error that callers act on.
type problem struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func problemOf(t *testing.T, a answer) problem {
	t.Helper()
	var p problem
	require.NoError(t, json.Unmarshal([]byte(a.body), &p), a.body)
	return p
}

// busyServer waits until one server runs an attempt and returns its number.
func (s *site) busyServer() int {
	found := -1
	s.eventually("a server runs an attempt", func() bool {
		for i := range s.fleet.Spec.Servers {
			if s.fleet.Engines[i].UsedTokens() > 0 {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (s *site) memoryIsFree() bool {
	for _, e := range s.fleet.Engines {
		if e.UsedTokens() > 0 {
			return false
		}
	}
	return true
}

// A caller waits for a whole, repeatable answer. Its host daemon is killed in
// mid-stream; the connection breaks, the resume and the cancel find nobody. What
// had been gathered is dropped and another server runs the request: the caller
// sees one whole answer of its own. The engine's memory is freed by the daemon
// that is started in the killed one's place.
func TestHostKilledInMidStream(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	text := prompt(300)
	result := s.goDo(call{path: "/v1/completions", body: completionBody(text, 100, false)})
	victim := s.busyServer()
	s.signal(fleet.ServerName(victim), syscall.SIGKILL)
	a := <-result
	require.NoError(t, a.err)
	require.Equal(t, 200, a.status, a.body)
	require.Equal(t, 100, strings.Count(a.body, fingerprint(text)))
	s.restart(fleet.ServerName(victim))
	s.eventually("the killed daemon's memory is freed", s.memoryIsFree)
}

// A caller reads a stream when the host daemon is killed. Tokens are out, so no
// other run may be mixed into them: the caller sees an error event that says
// unknown, and no end mark.
func TestHostKilledAfterTokensWereSent(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	text := prompt(300)
	a := s.doAfterFirst(call{path: "/v1/completions", body: completionBody(text, 200, true)}, func() {
		s.signal(fleet.ServerName(s.busyServer()), syscall.SIGKILL)
	})
	require.NotContains(t, a.body, "[DONE]")
	require.Contains(t, a.body, `"run":"unknown"`)
}

// An entry is killed while it streams an answer. The caller sees its connection
// break. At the host the stream's lease runs out, the run is cancelled and the
// engine's memory is free again.
func TestEntryKilledInMidStream(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	result := s.goDo(call{path: "/v1/completions", body: completionBody(prompt(300), 2000, true)})
	s.busyServer()
	s.signal(fleet.EntryName(0), syscall.SIGKILL)
	<-result
	s.eventually("the lease ends and memory is freed", s.memoryIsFree)
}

// A host daemon is stopped with SIGTERM while it serves a stream. It takes no
// new work, the open stream runs to its end, and the daemon exits with 0. The
// caller sees its whole answer, later callers are served elsewhere.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	text := prompt(300)
	result := s.goDo(call{path: "/v1/completions", body: completionBody(text, 120, true)})
	leaving := s.busyServer()
	s.signal(fleet.ServerName(leaving), syscall.SIGTERM)
	later := s.do(call{entry: 1, path: "/v1/completions", body: completionBody(prompt(10), 3, false)})
	require.Equal(t, 200, later.status, later.body)
	a := <-result
	require.Equal(t, 120, strings.Count(a.body, fingerprint(text)))
	require.Contains(t, a.body, "[DONE]")
	require.Equal(t, 0, s.awaitExit(fleet.ServerName(leaving)))
}

// An entry is stopped with SIGTERM while it streams. Its readiness goes at once,
// the stream ends whole, the exit code is 0.
func TestEntryPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	text := prompt(300)
	result := s.goDo(call{path: "/v1/completions", body: completionBody(text, 120, true)})
	s.busyServer()
	s.signal(fleet.EntryName(0), syscall.SIGTERM)
	a := <-result
	require.Equal(t, 120, strings.Count(a.body, fingerprint(text)))
	require.Equal(t, 0, s.awaitExit(fleet.EntryName(0)))
}

// Two rolling restarts overlap and SIGTERM comes twice. The second one changes
// nothing: the stream that was open goes to its end and the exit code is 0.
func TestRepeatedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	text := prompt(300)
	result := s.goDo(call{path: "/v1/completions", body: completionBody(text, 120, true)})
	s.busyServer()
	s.drain(fleet.EntryName(0))
	s.signal(fleet.EntryName(0), syscall.SIGTERM)
	a := <-result
	require.Equal(t, 120, strings.Count(a.body, fingerprint(text)))
	require.Equal(t, 0, s.awaitExit(fleet.EntryName(0)))
}

// SIGINT during a planned stop ends it at once; the exit code says that requests
// were cut off.
func TestInterruptedStopCutsAndSaysSo(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	result := s.goDo(call{path: "/v1/completions", body: completionBody(prompt(300), 2000, true)})
	s.busyServer()
	s.drain(fleet.EntryName(0))
	s.signal(fleet.EntryName(0), syscall.SIGINT)
	require.Equal(t, 4, s.awaitExit(fleet.EntryName(0)))
	<-result
}

// drain asks a daemon to stop and waits until it drains.
func (s *site) drain(name string) {
	s.signal(name, syscall.SIGTERM)
	s.eventually("the daemon drains", func() bool {
		var status struct{ State string }
		return s.status(name, "daemon", &status) && status.State == "draining"
	})
}

// A host daemon is frozen past every lease while it streams, and woken later.
// The caller's deadline passes meanwhile: it is told unknown in time. After the
// wake the run has lost its caller, is cancelled, and memory is free.
func TestHostFrozenPastItsLeases(t *testing.T) {
	t.Parallel()
	s := startSite(t, slowSpec())
	result := s.goDo(call{path: "/v1/completions", body: completionBody(prompt(300), 2000, false),
		headers: map[string]string{"X-Request-Deadline": "4s"}})
	victim := s.busyServer()
	s.signal(fleet.ServerName(victim), syscall.SIGSTOP)
	a := <-result
	require.Equal(t, 504, a.status, a.body)
	require.Equal(t, "unknown", problemOf(t, a).Error.Run)
	time.Sleep(6 * time.Second) // past the stream lease
	s.signal(fleet.ServerName(victim), syscall.SIGCONT)
	s.eventually("memory is freed after the wake", s.memoryIsFree)
}

// An order is sent under an issued key and sent again through the other entry.
// It runs once; the resend gets the first run's answer.
func TestIssuedKeyRunsOnceAcrossEntries(t *testing.T) {
	t.Parallel()
	s := startSite(t, fastSpec())
	key := s.issueKey()
	headers := map[string]string{"Idempotency-Key": key}
	first := s.do(call{path: "/v1/services/orders/subscribe", body: "order 7", headers: headers})
	second := s.do(call{entry: 1, path: "/v1/services/orders/subscribe", body: "order 7", headers: headers})
	require.Equal(t, 200, first.status, first.body)
	require.Equal(t, first.body, second.body)
	require.Equal(t, 1, s.runsOf("order 7"))
	other := s.do(call{path: "/v1/services/orders/subscribe", body: "order 8", headers: headers})
	require.Equal(t, 422, other.status, other.body)
	require.Equal(t, 0, s.runsOf("order 8"))
}

// The home of an issued key is killed after the run and restarted. Its ledger is
// gone, so nobody can know: the resend is told unknown and nothing runs again.
func TestIssuedKeyAfterItsHomeDied(t *testing.T) {
	t.Parallel()
	s := startSite(t, fastSpec())
	headers := map[string]string{"Idempotency-Key": s.issueKey()}
	first := s.do(call{path: "/v1/services/orders/subscribe", body: "order 9", headers: headers})
	require.Equal(t, 200, first.status, first.body)
	for i := range s.fleet.Spec.Servers {
		if s.fleet.Services[i].Runs("order 9") > 0 {
			s.signal(fleet.ServerName(i), syscall.SIGKILL)
			s.restart(fleet.ServerName(i))
		}
	}
	again := s.do(call{entry: 1, path: "/v1/services/orders/subscribe", body: "order 9", headers: headers})
	require.Equal(t, "unknown", problemOf(t, again).Error.Run)
	require.Equal(t, 1, s.runsOf("order 9"))
}

// A key made by the caller goes to its home slot through every entry.
func TestCallerMadeKeyRunsOnce(t *testing.T) {
	t.Parallel()
	spec := fastSpec()
	spec.HomeSlots = true
	s := startSite(t, spec)
	headers := map[string]string{}
	var first answer
	s.eventually("the ledgers are older than the clock allowance", func() bool {
		headers["Idempotency-Key"] = uuid.Must(uuid.NewV7()).String()
		first = s.do(call{path: "/v1/services/orders/subscribe", body: "order 11", headers: headers})
		return first.status == 200
	})
	second := s.do(call{entry: 1, path: "/v1/services/orders/subscribe", body: "order 11", headers: headers})
	require.Equal(t, first.body, second.body)
	require.Equal(t, 1, s.runsOf("order 11"))
}

// The platform goes down, a daemon is replaced meanwhile: it gets the snapshot
// from its peers and serves. The platform comes back stale: nothing goes back.
func TestPlatformDownThenStale(t *testing.T) {
	t.Parallel()
	s := startSite(t, fastSpec())
	s.fleet.Platform.ServeStale()
	s.fleet.Platform.SetDown(true)
	s.signal(fleet.ServerName(0), syscall.SIGKILL)
	s.restart(fleet.ServerName(0))
	s.fleet.Platform.SetDown(false)
	s.fleet.Platform.ServeCurrent()
	kind := s.fleet.Config.Kinds[fleet.Kind]
	kind.MaxAnswerTokens = 99
	s.fleet.Config.Kinds[fleet.Kind] = kind
	require.NoError(t, s.fleet.Publish())
	s.eventually("the new revision is in force everywhere", func() bool { return s.revisionEverywhere(2) })
	s.signal(fleet.ServerName(1), syscall.SIGKILL)
	s.fleet.Platform.ServeStale()
	s.restart(fleet.ServerName(1))
	require.True(t, s.revisionEverywhere(2))
}

func (s *site) revisionEverywhere(revision uint64) bool {
	for name := range s.daemons {
		var status struct{ Revision uint64 }
		if !s.status(name, "daemon", &status) || status.Revision != revision {
			return false
		}
	}
	return true
}

func (s *site) issueKey() string {
	a := s.do(call{path: "/v1/idempotency-keys", body: `{"service":"orders"}`})
	require.Equal(s.t, 200, a.status, a.body)
	var reply struct{ Key string }
	require.NoError(s.t, json.Unmarshal([]byte(a.body), &reply))
	return reply.Key
}

func (s *site) runsOf(body string) int {
	runs := 0
	for _, service := range s.fleet.Services {
		runs += service.Runs(body)
	}
	return runs
}

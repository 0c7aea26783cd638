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

// slowSpec makes responses last long enough for a fault in mid-stream.
func slowSpec() fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Speed = 1
	return spec
}

// errorBody is the part of an error response that callers act on.
type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func decodeError(t *testing.T, a callResult) errorBody {
	t.Helper()
	var p errorBody
	require.NoError(t, json.Unmarshal([]byte(a.body), &p), a.body)
	return p
}

// awaitBusyServer waits until a server runs an attempt and returns its number.
func (s *testbed) awaitBusyServer() int {
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

func (s *testbed) memoryIsFree() bool {
	for _, e := range s.fleet.Engines {
		if e.UsedTokens() > 0 {
			return false
		}
	}
	return true
}

// The host daemon of a caller that waits for a complete, retryable response is killed in mid-stream,
// and neither resume nor cancel reaches it. The buffered part is dropped and another server runs the
// request, so that the caller gets one complete response. The daemon that replaces the killed one
// frees the engine's memory.
func TestHostKilledInMidStream(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	text := prompt(300)
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(text, 100, false)})
	victim := s.awaitBusyServer()
	s.signal(fleet.ServerName(victim), syscall.SIGKILL)
	a := <-result
	require.NoError(t, a.err)
	require.Equal(t, 200, a.status, a.body)
	require.Equal(t, 100, strings.Count(a.body, fingerprint(text)))
	s.restart(fleet.ServerName(victim))
	s.eventually("the killed daemon's memory is freed", s.memoryIsFree)
}

// The host daemon is killed after the caller has read tokens of a stream. No other run may be mixed
// into them: the caller gets an error event with the run state unknown, and no end marker.
func TestHostKilledAfterTokensWereSent(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	text := prompt(300)
	a := s.doOnFirstByte(call{path: "/v1/completions", body: completionBody(text, 200, true)}, func() {
		s.signal(fleet.ServerName(s.awaitBusyServer()), syscall.SIGKILL)
	})
	require.NotContains(t, a.body, "[DONE]")
	require.Contains(t, a.body, `"run":"unknown"`)
}

// An entry is killed while it streams. The caller's connection breaks; at the host the lease of the
// stream expires, the run is cancelled and the engine's memory is freed.
func TestEntryKilledInMidStream(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(prompt(300), 2000, true)})
	s.awaitBusyServer()
	s.signal(fleet.EntryName(0), syscall.SIGKILL)
	<-result
	s.eventually("the lease expires and memory is freed", s.memoryIsFree)
}

// A host daemon gets SIGTERM while it serves a stream. It takes no new work, the stream completes, the
// exit code is 0, and later callers are served elsewhere.
func TestGracefulShutdownCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	text := prompt(300)
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(text, 120, true)})
	draining := s.awaitBusyServer()
	s.signal(fleet.ServerName(draining), syscall.SIGTERM)
	later := s.do(call{entry: 1, path: "/v1/completions", body: completionBody(prompt(10), 3, false)})
	require.Equal(t, 200, later.status, later.body)
	a := <-result
	require.Equal(t, 120, strings.Count(a.body, fingerprint(text)))
	require.Contains(t, a.body, "[DONE]")
	require.Equal(t, 0, s.awaitExit(fleet.ServerName(draining)))
}

// An entry gets SIGTERM while it streams: the stream completes and the exit code is 0.
func TestEntryGracefulShutdownCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	text := prompt(300)
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(text, 120, true)})
	s.awaitBusyServer()
	s.signal(fleet.EntryName(0), syscall.SIGTERM)
	a := <-result
	require.Equal(t, 120, strings.Count(a.body, fingerprint(text)))
	require.Equal(t, 0, s.awaitExit(fleet.EntryName(0)))
}

// SIGTERM comes twice, as with overlapping rolling restarts. The second one has no effect: the open
// stream completes and the exit code is 0.
func TestRepeatedSIGTERMCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	text := prompt(300)
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(text, 120, true)})
	s.awaitBusyServer()
	s.startDrain(fleet.EntryName(0))
	s.signal(fleet.EntryName(0), syscall.SIGTERM)
	a := <-result
	require.Equal(t, 120, strings.Count(a.body, fingerprint(text)))
	require.Equal(t, 0, s.awaitExit(fleet.EntryName(0)))
}

// SIGINT during a graceful shutdown ends it at once; the exit code reports aborted requests.
func TestInterruptedShutdownExitsAsAborted(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(prompt(300), 2000, true)})
	s.awaitBusyServer()
	s.startDrain(fleet.EntryName(0))
	s.signal(fleet.EntryName(0), syscall.SIGINT)
	require.Equal(t, 4, s.awaitExit(fleet.EntryName(0)))
	<-result
}

// startDrain sends SIGTERM to a daemon and waits until it drains.
func (s *testbed) startDrain(name string) {
	s.signal(name, syscall.SIGTERM)
	s.eventually("the daemon drains", func() bool {
		var status struct{ State string }
		return s.status(name, "daemon", &status) && status.State == "draining"
	})
}

// A host daemon is suspended in mid-stream for longer than every lease. The caller's deadline passes
// meanwhile and it is told in time that the run state is unknown. After the daemon resumes, the run
// has lost its caller and is cancelled, and memory is freed.
func TestHostSuspendedPastItsLeases(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, slowSpec())
	result := s.doAsync(call{path: "/v1/completions", body: completionBody(prompt(300), 2000, false),
		headers: map[string]string{"X-Request-Deadline": "4s"}})
	victim := s.awaitBusyServer()
	s.signal(fleet.ServerName(victim), syscall.SIGSTOP)
	a := <-result
	require.Equal(t, 504, a.status, a.body)
	require.Equal(t, "unknown", decodeError(t, a).Error.Run)
	time.Sleep(6 * time.Second) // longer than the lease of the stream
	s.signal(fleet.ServerName(victim), syscall.SIGCONT)
	s.eventually("memory is freed after the daemon resumes", s.memoryIsFree)
}

// A request with an issued key is sent again through the other entry. It runs once; the second call
// gets the response of the first run.
func TestIssuedKeyRunsOnceAcrossEntries(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
	key := s.issueKey()
	headers := map[string]string{"Idempotency-Key": key}
	first := s.do(call{path: "/v1/services/orders/subscribe", body: "order 7", headers: headers})
	second := s.do(call{entry: 1, path: "/v1/services/orders/subscribe", body: "order 7", headers: headers})
	require.Equal(t, 200, first.status, first.body)
	require.Equal(t, first.body, second.body)
	require.Equal(t, 1, s.countRuns("order 7"))
	other := s.do(call{path: "/v1/services/orders/subscribe", body: "order 8", headers: headers})
	require.Equal(t, 422, other.status, other.body)
	require.Equal(t, 0, s.countRuns("order 8"))
}

// The home of an issued key is killed after the run and restarted. Its ledger is lost, so the second
// call is told that the run state is unknown, and nothing runs again.
func TestIssuedKeyAfterItsHomeCrashed(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
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
	require.Equal(t, "unknown", decodeError(t, again).Error.Run)
	require.Equal(t, 1, s.countRuns("order 9"))
}

// A key made by the caller goes to its home slot through every entry.
func TestCallerMadeKeyRunsOnce(t *testing.T) {
	t.Parallel()
	spec := fastSpec()
	spec.HomeSlots = true
	s := startTestbed(t, spec)
	headers := map[string]string{}
	var first callResult
	s.eventually("the ledgers are older than the maximum clock skew", func() bool {
		headers["Idempotency-Key"] = uuid.Must(uuid.NewV7()).String()
		first = s.do(call{path: "/v1/services/orders/subscribe", body: "order 11", headers: headers})
		return first.status == 200
	})
	second := s.do(call{entry: 1, path: "/v1/services/orders/subscribe", body: "order 11", headers: headers})
	require.Equal(t, first.body, second.body)
	require.Equal(t, 1, s.countRuns("order 11"))
}

// A daemon that restarts while the platform is down gets the snapshot from its peers and serves. A
// platform that comes back with an old revision sets no daemon back.
func TestPlatformDownThenStale(t *testing.T) {
	t.Parallel()
	s := startTestbed(t, fastSpec())
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
	s.eventually("the new revision is current everywhere", func() bool { return s.revisionEverywhere(2) })
	s.signal(fleet.ServerName(1), syscall.SIGKILL)
	s.fleet.Platform.ServeStale()
	s.restart(fleet.ServerName(1))
	require.True(t, s.revisionEverywhere(2))
}

func (s *testbed) revisionEverywhere(revision uint64) bool {
	for name := range s.daemons {
		var status struct{ Revision uint64 }
		if !s.status(name, "daemon", &status) || status.Revision != revision {
			return false
		}
	}
	return true
}

func (s *testbed) issueKey() string {
	a := s.do(call{path: "/v1/idempotency-keys", body: `{"service":"orders"}`})
	require.Equal(s.t, 200, a.status, a.body)
	var reply struct{ Key string }
	require.NoError(s.t, json.Unmarshal([]byte(a.body), &reply))
	return reply.Key
}

func (s *testbed) countRuns(body string) int {
	runs := 0
	for _, service := range s.fleet.Services {
		runs += service.Runs(body)
	}
	return runs
}

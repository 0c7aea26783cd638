package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/platform/standin"
)

// claimsBed is a testbed with one server of 300,000 tokens, which holds each answer until end is called, and
// an entry with claims.
type claimsBed struct {
	*testbed
	worker *standin.Worker
	// end ends the answers that have begun and all later ones.
	end func()
	s   *Server
}

func newClaimsBed(t *testing.T, enabled bool) *claimsBed {
	w := newTestbed(t)
	w.configure(nil)
	release := make(chan struct{})
	c := &claimsBed{testbed: w, end: sync.OnceFunc(func() { close(release) })}
	c.worker = w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(c.end)
	c.s = c.startEntry(enabled)
	return c
}

func (c *claimsBed) startEntry(enabled bool, seeds ...string) *Server {
	settings := c.newSettings(seeds...)
	settings.Overload.Claims = enabled
	s := c.start(settings)
	c.eventually("the entry is ready", func() bool { return s.manager.State() == lifecycle.Serving && c.isCurrent(s) })
	return s
}

const largePrompt = 200_000 // two don't fit the server

func (c *claimsBed) send(s *Server) chan reply {
	done := make(chan reply, 1)
	go func() { done <- c.call(s, http.MethodPost, "/stream/", largePrompt, "prompt") }()
	return done
}

// fill sends a prompt that takes the memory of the server.
func (c *claimsBed) fill() chan reply {
	first := c.send(c.s)
	c.eventually("the server works", func() bool { return len(c.worker.Runs()) == 1 })
	return first
}

func (s *Server) ownClaims() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Own()
}

func (s *Server) openClaims() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, _ := s.claims.Open(time.Now())
	return count
}

// Guards against prompts that are refused although memory becomes free a moment later, and against waking them by
// polling alone.
func TestAPromptWaitsUntilMemoryIsFree(t *testing.T) {
	c := newClaimsBed(t, true)
	first := c.fill()
	second := c.send(c.s)
	c.eventually("it waits", func() bool { return c.s.ownClaims() == 1 })
	c.end()
	ended := time.Now()
	require.Equal(t, 200, (<-first).status)
	require.Equal(t, 200, (<-second).status)
	require.Less(t, time.Since(ended), claimRecheck-100*time.Millisecond)
	require.Zero(t, c.s.ownClaims())
	require.EqualValues(t, 1, c.s.counters.claimsGranted.Count())
}

// Guards against a change of choices or messages where claims are switched off: a prompt without memory is refused at
// once, and the claims of other entries withhold nothing.
func TestWithoutClaimsAPromptIsRefusedAtOnce(t *testing.T) {
	c := newClaimsBed(t, false)
	c.s.peers.HandleMessage(time.Now(), c.message(peerClaim()))
	first := c.fill()
	r := <-c.send(c.s)
	require.Equal(t, 503, r.status)
	require.Equal(t, execution.CodeQueueFull, problemOf(t, r).Code)
	require.Empty(t, c.s.claimReports(time.Now()))
	c.end()
	require.Equal(t, 200, (<-first).status)
}

// Guards against memory that is kept for a caller that has gone.
func TestACallerThatGoesEndsItsClaim(t *testing.T) {
	c := newClaimsBed(t, true)
	other := c.startEntry(true, c.s.settings.PeerAddress)
	c.fill()
	ctx, cancel := context.WithCancel(t.Context())
	go call(standin.NewRequest(c.s.settings.ListenAddress, http.MethodPost, "/stream/", "gone", largePrompt, "prompt").WithContext(ctx))
	c.eventually("the other entry knows that it waits", func() bool { return other.openClaims() == 1 })
	cancel()
	gone := time.Now()
	c.eventually("its claim has ended here", func() bool { return c.s.ownClaims() == 0 })
	c.eventually("and there", func() bool { return other.openClaims() == 0 })
	require.Less(t, time.Since(gone), claimReportTTL-peering.HeartbeatInterval, "by its withdrawal")
}

// Guards against a stop that lets prompts wait until it cuts them off, or that doesn't tell that they have not run.
func TestAStoppingEntryRefusesPromptsThatWait(t *testing.T) {
	c := newClaimsBed(t, true)
	first := c.fill()
	second := c.send(c.s)
	c.eventually("it waits", func() bool { return c.s.ownClaims() == 1 })
	c.s.manager.Drain()
	select {
	case r := <-second:
		require.Equal(t, 503, r.status)
		require.Equal(t, CodeStopping, problemOf(t, r).Code)
		require.Equal(t, execution.NotRun.String(), problemOf(t, r).Run)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	case <-time.After(time.Second):
		require.Fail(t, "it waits on")
	}
	c.end()
	require.Equal(t, 200, (<-first).status)
}

// Guards against two entries with prompts for the same server of which neither, or only one, is ever served.
func TestPromptsOfTwoEntriesAreServedInTurn(t *testing.T) {
	c := newClaimsBed(t, true)
	other := c.startEntry(true, c.s.settings.PeerAddress)
	first := c.fill()
	second := c.send(c.s)
	c.eventually("it waits", func() bool { return c.s.ownClaims() == 1 && other.openClaims() == 1 })
	third := c.send(other)
	c.eventually("both wait", func() bool { return other.ownClaims() == 1 && c.s.openClaims() == 2 })
	c.end()
	for _, done := range []chan reply{first, second, third} {
		require.Equal(t, 200, (<-done).status)
	}
}

// Guards against claims that a lost datagram hides from an entry for as long as they last.
func TestClaimsAreRepeated(t *testing.T) {
	c := newClaimsBed(t, true)
	other := c.startEntry(true, c.s.settings.PeerAddress)
	// No load update tells of this claim.
	c.s.mu.Lock()
	now := time.Now()
	stated := c.s.claims.State(now, claims.Claim{ID: "lost", Service: "engines", Tokens: 1000, Worth: 1, Since: now, Due: now, Until: now.Add(time.Minute)})
	c.s.mu.Unlock()
	require.True(t, stated)
	c.eventually("the other entry learns of it", func() bool { return other.openClaims() == 1 })
}

// peerClaim is a claim that comes before those of the tests and lasts longer than they do.
func peerClaim() claims.Report {
	return claims.Report{ID: "peer-1", Service: "engines", Tokens: 250_000, Worth: 32, LateWorth: 8, HoldMs: 2000, DueMs: 1500, UntilMs: 60_000,
		Parts: []claims.Part{{Server: "i-1", Tokens: 250_000}}}
}

func (c *claimsBed) message(report claims.Report) peering.Message {
	return peering.Message{From: "127.0.0.1:1", Incarnation: "x", Zone: c.s.settings.Zone, Claims: []claims.Report{report}}
}

// Guards against memory that stays withheld, or isn't withheld at all, for the prompt of an entry that was killed, is
// frozen or is cut off: it is kept while the entry is heard, and for three heartbeats after that.
func TestAnEntryThatIsNotHeardKeepsNoMemory(t *testing.T) {
	c := newClaimsBed(t, true)
	c.end()
	c.s.peers.HandleMessage(time.Now(), c.message(peerClaim()))
	began := time.Now()
	require.Equal(t, 200, c.call(c.s, http.MethodPost, "/stream/", 2000, "short").status)
	require.Less(t, time.Since(began), 500*time.Millisecond, "short prompts aren't held back")
	// Short enough to be in time on one server after the wait: a late prompt waits longer at a server that a suspect
	// entry may use, which is for another test.
	r := c.call(c.s, http.MethodPost, "/stream/", 40_000, "prompt")
	require.Equal(t, 200, r.status, r.body)
	waited := time.Since(began)
	require.Greater(t, waited, claimReportTTL-200*time.Millisecond)
	require.Less(t, waited, claimReportTTL+claimRecheck+500*time.Millisecond)
}

// Guards against memory that stays withheld for an entry that has restarted or stops.
func TestARestartedOrStoppingEntryKeepsNoMemory(t *testing.T) {
	for name, change := range map[string]func(m *peering.Message){
		"restarted": func(m *peering.Message) { m.Incarnation = "y" },
		"stopping":  func(m *peering.Message) { m.Stopping = true },
	} {
		t.Run(name, func(t *testing.T) {
			c := newClaimsBed(t, true)
			m := c.message(peerClaim())
			c.s.peers.HandleMessage(time.Now(), m)
			require.Equal(t, 1, c.s.openClaims())
			m.Claims = nil
			change(&m)
			c.s.peers.HandleMessage(time.Now(), m)
			require.Zero(t, c.s.openClaims())
		})
	}
}

// Guards against memory that claims of another zone, whose entries choose among other servers, keep in this one.
func TestClaimsOfOtherZonesAreIgnored(t *testing.T) {
	c := newClaimsBed(t, true)
	m := c.message(peerClaim())
	m.Zone = "elsewhere"
	c.s.peers.HandleMessage(time.Now(), m)
	require.Zero(t, c.s.openClaims())
}

// Guards against callers that wait in vain for memory that can't be free in their time, and against a Retry-After at
// which they would be refused again.
func TestAPromptWhoseTurnCannotComeIsRefusedAtOnce(t *testing.T) {
	c := newClaimsBed(t, true)
	c.fill()
	// Sixty seconds of work for the only server come first.
	for _, id := range []string{"peer-1", "peer-2", "peer-3", "peer-4", "peer-5", "peer-6"} {
		report := peerClaim()
		report.ID, report.HoldMs = id, 10_000
		c.s.peers.HandleMessage(time.Now(), c.message(report))
	}
	began := time.Now()
	r := <-c.send(c.s)
	require.Equal(t, 503, r.status)
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, execution.CodeQueueFull, problemOf(t, r).Code)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 40.0)
	require.EqualValues(t, 1, c.s.counters.claimsHopeless.Count())
	require.Zero(t, c.s.ownClaims())
}

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/process"
	"arbutusdeck/platform/standin"
)

// Two entries choose for the same worker. Each has to know what the other sent
// there, or both would take it for idle.
func TestEntriesTellEachOtherOfTheirDispatches(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		<-release
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(end)
	first := w.serve()
	second := w.start(w.settings(first.settings.PeerAddress))
	w.eventually("the second knows the worker", func() bool { return w.known(second) })
	w.eventually("they know each other", func() bool {
		first.peers.mu.Lock()
		defer first.peers.mu.Unlock()
		return len(first.peers.group.Alive(time.Now())) == 1
	})
	// The second has been told of what was open before; from here on it knows only
	// what it is told of anew.
	first.peers.take(time.Now(), peering.Message{From: second.settings.PeerAddress, Incarnation: second.incarnation})
	done := make(chan reply, 1)
	go func() { done <- w.call(first, http.MethodPost, "/stream/", 2000, "x") }()
	w.eventually("the second has it in its book", second.booked(1))
	end()
	require.Equal(t, 200, (<-done).status)
	w.eventually("the second knows that it is over", second.booked(0))
}

// booked says whether the entry has so many requests in its book.
func (s *Server) booked(count int) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.book.ActiveCount() == count
	}
}

// An entry starts while another one has a request under way. It was not there when the
// other told of it; without being told anew it would take the server for free.
func TestAStartedEntryIsToldOfWhatIsOpen(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	worker := w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) {
		<-release
		standin.ServeEvents(out, r, 1, 0)
	})
	t.Cleanup(end)
	first := w.serve()
	done := make(chan reply, 1)
	go func() { done <- w.call(first, http.MethodPost, "/stream/", 2000, "x") }()
	w.eventually("the request is under way", func() bool { return len(worker.Runs()) == 1 })
	second := w.start(w.settings(first.settings.PeerAddress))
	w.eventually("the started entry has it in its book", second.booked(1))
	end()
	require.Equal(t, 200, (<-done).status)
	w.eventually("and knows that it is over", second.booked(0))
}

// Two entries can't hear each other. Each sends short prompts to its own servers only,
// though both believe all servers to be idle.
func TestEntriesThatDoNotHearEachOtherUseDifferentServers(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	events := func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) }
	for i := range 4 {
		w.worker(fmt.Sprintf("i-%d", i), "engines", events)
	}
	s := w.serve()
	const other = "127.0.0.1:1"
	s.peers.mu.Lock()
	s.peers.group.Heard(time.Now().Add(-peering.SilentAfter), peering.Message{From: other, Incarnation: "x"})
	s.peers.mu.Unlock()
	own := 0
	owners := peering.Owners([]string{s.settings.PeerAddress, other}, []string{"i-0", "i-1", "i-2", "i-3"})
	for range 12 {
		require.Equal(t, 200, w.call(s, http.MethodPost, "/stream/", 2000, "x").status)
	}
	for _, worker := range w.workers {
		if owners[worker.ID] == s.settings.PeerAddress {
			own += len(worker.Runs())
		}
	}
	require.Equal(t, 12, own)
}

// serveTwo runs two entries, the first of which knows that callers reach the second.
func (w *world) serveTwo() (first, second *Server) {
	first = w.serve()
	second = w.start(w.settings(first.settings.PeerAddress))
	w.eventually("the second serves", func() bool { return second.manager.State() == lifecycle.Serving })
	w.eventually("the first hears it", func() bool {
		wait, known := first.peers.nextServing(time.Now(), first.StopLimit())
		return known && wait == 0
	})
	return first, second
}

// An entry stops, and a request comes whose answer would take longer than the entry still lives. It is
// refused, since another entry serves. Once that one stops as well it is taken: an answer that may be cut
// off is better than none.
func TestAnEntryThatStopsRefusesWhatOutlastsIt(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.worker("i-1", "engines", func(out http.ResponseWriter, r *http.Request) { standin.ServeEvents(out, r, 1, 0) })
	first, second := w.serveTwo()
	first.manager.Join()
	defer first.manager.End()
	first.manager.Drain()
	long := func() int {
		request := standin.NewRequest(first.settings.ListenAddress, http.MethodPost, "/stream/", "long", 0, "x")
		return call(standin.SetTokens(request, 2000, 8000)).status
	}
	require.Equal(t, http.StatusServiceUnavailable, long())
	require.Equal(t, 200, w.call(first, http.MethodPost, "/stream/", 2000, "x").status, "a short answer is over before")
	second.manager.Join()
	defer second.manager.End()
	second.manager.Drain()
	w.eventually("the first hears of the second's stop", func() bool { return long() == 200 })
}

// Entries are restarted in turn faster than they drain: both are stopping and refuse new
// requests. A caller that was told to come back at once met the other one's refusal, and had
// no try left. It is told when an entry will be there; while another one serves, at once.
func TestARefusalDuringAStopNamesTheReturnOfAnEntry(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.worker("i-1", "engines", nil)
	first, second := w.serveTwo()
	first.manager.Join() // a request that lasts
	defer first.manager.End()
	first.manager.Drain()
	returnAfter := func() time.Duration {
		r := w.call(first, http.MethodPost, "/stream/", 2000, "x")
		if r.status != http.StatusServiceUnavailable {
			return 0
		}
		seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		return time.Duration(seconds * float64(time.Second))
	}
	w.eventually("the first refuses", func() bool { return returnAfter() > 0 })
	require.Equal(t, elsewhereDelay, returnAfter())
	second.manager.Join()
	defer second.manager.End()
	second.manager.Drain()
	w.eventually("the first hears of the second's stop", func() bool { return returnAfter() > time.Second })
	require.Less(t, returnAfter(), 2*first.StopLimit())
}

// A server that went down resets every connection. One entry meets it; the others of the
// zone leave it alone from then on, and no caller's request finds out once more.
func TestAServerThatOneEntryFindsDownIsLeftAloneByAll(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	down := w.worker("i-1", "plain", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	w.worker("i-2", "plain", nil)
	first := w.serve()
	second := w.start(w.settings(first.settings.PeerAddress))
	w.eventually("the second is heard", func() bool {
		first.peers.mu.Lock()
		defer first.peers.mu.Unlock()
		return w.known(second) && len(first.peers.group.Near(time.Now())) == 1
	})
	first.unreachable("i-1")
	w.eventually("the second has heard of it", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		choice, _ := second.book.Choose(time.Now(), placement.Query{Servers: second.directory.Available("plain")[:1], Remaining: time.Second})
		return choice.Unreachable
	})
	for range 4 {
		require.Equal(t, "answer of i-2", w.call(second, http.MethodGet, "/read/", 0, "").body)
	}
	require.Empty(t, down.Runs())
}

// All entries start at once and know a seed of another zone only. It tells each of them of
// those that were there before; until the next heartbeat nobody else would hear of it, and
// all would send their callers' first requests to the same servers.
func TestAFoundNeighbourIsGreetedAtOnce(t *testing.T) {
	w := newWorld(t)
	s := New(Options{Settings: w.settings(), Log: process.Quiet(), Trail: audit.NewTrail(nil, 100)})
	listen := func() net.PacketConn {
		conn, err := net.ListenPacket("udp", loopbackHost()+":0")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, conn.Close()) })
		return conn
	}
	s.peers.conn = listen() // no heartbeats run
	neighbour, far := listen(), listen()
	s.peers.take(time.Now(), peering.Message{From: "127.0.0.1:1", Incarnation: "x", Zone: "there", Members: []peering.ZoneMembers{
		{Zone: "here", Addresses: []string{neighbour.LocalAddr().String()}}, {Zone: "there", Addresses: []string{far.LocalAddr().String()}}}})
	heard := func(conn net.PacketConn, wait time.Duration) bool {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
		_, _, err := conn.ReadFrom(make([]byte, 2000))
		return err == nil
	}
	require.True(t, heard(neighbour, patience))
	require.False(t, heard(far, 50*time.Millisecond), "entries of other zones hear by turns")
}

// An entry begins to serve before it has heard of most others, and would spend many times its part of the retries that
// all of them share.
func TestABudgetIsDividedAmongThoseThatBecomeKnown(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	require.True(t, s.takeRetry(time.Now(), "plain"))
	var others []string
	for i := range 200 {
		others = append(others, fmt.Sprintf("127.0.0.1:%d", 20_000+i))
	}
	s.peers.take(time.Now(), peering.Message{From: others[0], Zone: "here", Members: []peering.ZoneMembers{{Zone: "here", Addresses: others}}})
	time.Sleep(2 * tickInterval)
	require.True(t, s.takeRetry(time.Now(), "plain"))
	require.False(t, s.takeRetry(time.Now(), "plain"), "a part of 0.35 in ten seconds, and one that is saved")
}

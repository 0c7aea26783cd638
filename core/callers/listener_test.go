package callers

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serve serves a handler with limits on a loopback address.
func serve(t *testing.T, limits Limits, handler http.HandlerFunc) *Listener {
	from, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := NewListener(Options{Limits: limits, HeaderBytes: func() int { return 1000 },
		TooLarge: []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n"),
		Unavailable: func(*http.Request) []byte {
			return []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n")
		}}).Listen(from)
	server := l.Server(handler)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

func dial(t *testing.T, l *Listener, begin string) net.Conn {
	connection, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(connection, begin)
	require.NoError(t, err)
	return connection
}

func ok(http.ResponseWriter, *http.Request) {}

// statusLine returns the first line of a response without its line end; empty if the connection ended without one.
func statusLine(connection net.Conn) string {
	text, err := io.ReadAll(connection)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "the connection has not ended"
	}
	line, _, _ := strings.Cut(string(text), "\r\n")
	return line
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// The entry closes a connection as idle at the moment at which a request arrives on it. The request is not read, so
// that nothing runs for a caller that can get no response.
func TestARequestThatRacesWithTheIdleCloseIsNotRead(t *testing.T) {
	near, far := net.Pipe()
	l := NewListener(Options{Limits: unlimited(), HeaderBytes: func() int { return 1000 }})
	c := &Conn{Conn: near, listener: l}
	_, opened := l.table.Open(time.Now(), c)
	require.True(t, opened)
	l.stateChanged(c, http.StateIdle)
	require.Empty(t, l.table.Expire(time.Now(), Timeouts{Idle: time.Minute}))
	require.Equal(t, []*Conn{c}, l.table.Expire(time.Now().Add(time.Minute), Timeouts{Idle: time.Minute}))
	go func() { _, _ = io.WriteString(far, wholeRequest) }()
	_, err := c.Read(make([]byte, 100))
	require.ErrorIs(t, err, net.ErrClosed)
	require.False(t, c.begin(&http.Request{}), "nor does it run if it was read before")
}

// Guards against headers of any size: what is over the limit is refused as too large, and counted.
func TestLargeHeadersAreRefused(t *testing.T) {
	l := serve(t, unlimited(), ok)
	long := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1000)
	require.Equal(t, "HTTP/1.1 431 Request Header Fields Too Large", statusLine(dial(t, l, long)))
	require.Equal(t, "HTTP/1.1 200 OK", statusLine(dial(t, l, wholeRequest)))
	body := "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)
	require.Equal(t, "HTTP/1.1 200 OK", statusLine(dial(t, l, body)), "a body is no header")
	require.EqualValues(t, 1, l.Stats().TooLarge)
}

// Guards against the memory of parsed headers: many short fields take a hundred times the bytes that were sent.
func TestShortFieldsAreChargedForTheirMemory(t *testing.T) {
	limits := unlimited()
	const fields = 220
	limits.Memory = ConnectionBytes + RequestBytes + HeaderCost(1000, fields+5) // for one request, or the headers of two
	l := serve(t, limits, ok)
	var older []net.Conn
	for i := range 2 {
		older = append(older, dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", fields)))
		require.Eventually(t, func() bool { return l.Usage().Memory > int64(i+1)*(ConnectionBytes+HeaderCost(0, fields)) }, 20*time.Second, time.Millisecond)
	}
	second := dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", fields))
	require.Empty(t, statusLine(older[0]), "the oldest one is closed for the newest one")
	_, err := io.WriteString(second, "Connection: close\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK", statusLine(second))
	require.Empty(t, statusLine(older[1]), "the whole request takes the place of the other one")
	require.Eventually(t, func() bool { return l.Usage().Connections == 0 }, 20*time.Second, time.Millisecond)
	limits.Memory = ConnectionBytes + HeaderCost(100, 10)
	l.SetLimits(limits)
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", statusLine(dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", fields))))
	require.EqualValues(t, 1, l.Stats().Unavailable)
}

// Guards against fields that net/http reads ahead into its buffer and parses while the connection seems idle.
func TestFieldsThatAreReadAheadAreCharged(t *testing.T) {
	l := serve(t, unlimited(), ok)
	const fields = 150
	dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", fields))
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.table.entries {
			return l.table.Phase(c) == Idle && l.table.Memory() >= ConnectionBytes+HeaderCost(0, fields)
		}
		return false
	}, 20*time.Second, time.Millisecond)
}

// Guards against a connection that is closed as idle while its request, read ahead by net/http, is processed.
func TestARequestThatWasReadAheadIsNotIdle(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	l := serve(t, unlimited(), func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})
	dial(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	release <- struct{}{}
	<-entered
	l.Expire(time.Now().Add(time.Hour), Timeouts{Idle: time.Minute})
	require.Equal(t, 1, l.Active())
	close(release)
}

// Guards against a crowd that holds every descriptor: a new caller is served in place of a silent one.
func TestANewCallerIsServedBesideASilentCrowd(t *testing.T) {
	l := serve(t, Limits{Connections: 4, Memory: math.MaxInt64, LargeBodies: math.MaxInt64}, ok)
	for range 10 {
		dial(t, l, "")
	}
	require.Equal(t, "HTTP/1.1 200 OK", statusLine(dial(t, l, wholeRequest)))
	require.LessOrEqual(t, l.Usage().Connections, 4)
	require.EqualValues(t, 7, l.Stats().Shed)
}

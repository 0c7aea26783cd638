package callers

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortBounds are so short that a test meets them, longBounds so long that none does.
var (
	shortBounds = Bounds{BodyBytes: 1 << 20, Timeout: 100 * time.Millisecond}
	longBounds  = Bounds{BodyBytes: 1 << 20, Timeout: time.Minute}
)

func postHead(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against refused requests whose callers hold a connection forever: this one sends no body.
func TestARefusedBodyThatDoesNotComeHasABoundedTime(t *testing.T) {
	l := serve(t, unlimited(), Bound(http.NotFoundHandler(), shortBounds).ServeHTTP)
	kept := strings.Replace(postHead(100), "Connection: close\r\n", "", 1)
	require.Equal(t, "HTTP/1.1 404 Not Found", statusLine(dial(t, l, kept)))
}

// Guards against callers that hold a connection and its response forever because they don't read.
func TestAResponseThatIsNotReadHasABoundedTime(t *testing.T) {
	ended := make(chan error, 1)
	l := serve(t, unlimited(), Bound(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	}), shortBounds).ServeHTTP)
	dial(t, l, wholeRequest)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		require.Fail(t, "the response does not end")
	}
}

// readBodies returns a handler that reads a whole body and passes the result on.
func readBodies(results chan<- error) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		results <- err
	})
}

// Guards against bodies that a handler buffers without a limit, or beyond the memory of callers.
func TestABodyIsBoundedAndChargedWhileItIsRead(t *testing.T) {
	results := make(chan error, 1)
	limits := unlimited()
	l := serve(t, limits, Bound(readBodies(results), longBounds).ServeHTTP)
	dial(t, l, postHead(100)+strings.Repeat("x", 100))
	require.NoError(t, <-results)
	dial(t, l, postHead(1<<20+1)+strings.Repeat("x", 1<<20+1))
	var tooLarge *http.MaxBytesError
	require.True(t, errors.As(<-results, &tooLarge))
	limits.Memory = l.Usage().Memory + ConnectionBytes + RequestBytes + 100<<10
	l.SetLimits(limits)
	dial(t, l, postHead(100<<10)+strings.Repeat("x", 100<<10))
	require.ErrorIs(t, <-results, ErrMemoryFull)
}

// A handler that sets limits of its own meets none of the others.
func TestUnboundLiftsTheBounds(t *testing.T) {
	results := make(chan error, 1)
	read := readBodies(results)
	l := serve(t, unlimited(), Bound(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Unbound(w, r)
		read.ServeHTTP(w, r)
	}), shortBounds).ServeHTTP)
	size := int(shortBounds.BodyBytes) + 1
	connection := dial(t, l, postHead(size))
	time.Sleep(2 * shortBounds.Timeout)
	_, err := io.WriteString(connection, strings.Repeat("x", size))
	require.NoError(t, err)
	require.NoError(t, <-results)
	require.Equal(t, "HTTP/1.1 200 OK", statusLine(connection))
}

// Guards against responses that are closed for other connections, and refused at their end, while their callers still
// send: the lines of a body are no headers.
func TestADuplexResponseIsKept(t *testing.T) {
	const lines = 100_000
	limits := unlimited()
	limits.Connections, limits.Memory = 1, ConnectionBytes+RequestBytes+HeaderCost(1000, lines/20)
	l := serve(t, limits, func(w http.ResponseWriter, r *http.Request) {
		ConnOf(r).AnswerDuplex()
		_, _ = io.Copy(io.Discard, r.Body)
	})
	connection := dial(t, l, strings.Replace(postHead(2*lines), "Connection: close\r\n", "", 1))
	for range 10 {
		_, err := io.WriteString(connection, strings.Repeat("x\n", lines/20))
		require.NoError(t, err)
		time.Sleep(minBodyTime / 5)
	}
	require.Empty(t, statusLine(dial(t, l, wholeRequest)), "the newer connection is refused")
	_, err := io.WriteString(connection, strings.Repeat("x\n", lines/2)+wholeRequest)
	require.NoError(t, err)
	text, err := io.ReadAll(connection)
	require.NoError(t, err)
	require.Equal(t, 2, strings.Count(string(text), "HTTP/1.1 200 OK"))
}

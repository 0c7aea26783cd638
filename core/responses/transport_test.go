package responses

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/netopts"
)

// get reads the response to a GET request, and its body.
func get(client *http.Client, url string) (status int, body string, err error) {
	response, err := client.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// Guards against a request that net/http sends again by itself, beside the budget of retries: the response to the second
// request of a connection is malformed.
func TestAMalformedResponseIsNotAskedForAgain(t *testing.T) {
	requests := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(w, "first")
			return
		}
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 6\r\n\r\nsecond")
		_ = connection.Close()
	}))
	t.Cleanup(server.Close)
	client := NewClient()
	t.Cleanup(client.CloseIdleConnections)
	_, body, err := get(client, server.URL)
	require.NoError(t, err)
	require.Equal(t, "first", body)
	_, _, err = get(client, server.URL)
	require.ErrorIs(t, err, ErrMalformed)
	require.EqualValues(t, 2, requests.Load())
}

// Guards against heads of later responses of a connection that are not checked, and bodies that are taken for heads.
func TestEveryHeadOfAConnectionIsChecked(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, "line one\r\n\r\n: "+r.URL.Path)
	}))
	t.Cleanup(server.Close)
	client := NewClient()
	t.Cleanup(client.CloseIdleConnections)
	for range 5 {
		status, body, err := get(client, server.URL+"/x")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "line one\r\n\r\n: /x", body)
	}
}

// Guards against a response that belongs to no request: it has arrived before the request was written.
func TestBytesBeforeTheRequestAreNoResponse(t *testing.T) {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { require.NoError(t, errors.Join(ours.Close(), theirs.Close())) })
	c := &connection{Conn: ours}
	c.expectHead(reserveFor(t.Context()))
	go func() { _, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\n\r\n") }()
	_, err := c.Read(make([]byte, 100))
	require.ErrorIs(t, err, errUnsolicited)
}

// TLS connections are not checked, and still work.
func TestResponsesOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }))
	t.Cleanup(server.Close)
	transport := server.Client().Transport.(*http.Transport).Clone()
	transport.DialContext = (&netopts.Dialer{RunTimeout: dialTimeout}).DialContext
	client := &http.Client{Transport: NewTransport(transport)}
	t.Cleanup(client.CloseIdleConnections)
	_, body, err := get(client, server.URL)
	require.NoError(t, err)
	require.Equal(t, "body", body)
}

// Guards against heads that take memory which the account of their request doesn't hold. A usual head needs no reservation.
func TestTheMemoryOfHeadsIsReserved(t *testing.T) {
	fields := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range fields.Load() {
			w.Header().Set(fmt.Sprint("X-", i), strings.Repeat("x", 100))
		}
	}))
	t.Cleanup(server.Close)
	client := NewClient()
	t.Cleanup(client.CloseIdleConnections)
	for _, c := range []struct {
		fields         int64
		memory, needed bool
	}{{10, true, false}, {10, false, false}, {100, true, true}, {100, false, true}} {
		fields.Store(c.fields)
		reserved := int64(0)
		ctx := WithMemory(t.Context(), func(bytes int64) bool {
			reserved += bytes
			return c.memory
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		if c.needed && !c.memory {
			require.ErrorIs(t, err, callers.ErrMemoryFull)
			continue
		}
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, c.needed, reserved > 0)
		if c.needed {
			require.GreaterOrEqual(t, reserved+usualHeadMemory, callers.HeaderCost(100*int(c.fields), int(c.fields)))
		}
	}
}

package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/lifecycle"
)

// shutDownPastLimit shuts an entry down with a timeout that has already passed.
func (s *Server) shutDownPastLimit(t *testing.T) {
	s.manager.Drain()
	require.ErrorIs(t, s.manager.Wait(t.Context(), time.Nanosecond), lifecycle.ErrAborted)
}

// The shutdown timeout passes while a request waits for its server. The caller gets a final
// response, which does not claim that the request was not run.
func TestCallersGetAFinalResponseAtTheShutdownTimeout(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "engines", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	s := w.serve()
	result := make(chan reply, 1)
	go func() { result <- w.call(s, http.MethodPost, "/stream/x", 2000, "x") }()
	w.eventually("it is sent", func() bool { return w.runCount() == 1 })
	s.shutDownPastLimit(t)
	r := <-result
	require.NoError(t, r.err)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, problem{Code: CodeStopping, Detail: "this entry is about to stop", Run: "unknown"}, problemOf(t, r))
}

// The shutdown timeout passes while a request's body is still arriving. The request is refused as
// not run.
func TestTheShutdownTimeoutEndsTheWaitForABody(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	s := w.serve()
	connection, err := net.Dial("tcp", s.settings.ListenAddress)
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout/4)))
	_, err = fmt.Fprint(connection, "POST /order/x HTTP/1.1\r\nHost: press.example\r\nAuthorization: Bearer key-1\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	w.eventually("its body is read", func() bool { return s.manager.Open() == 1 })
	s.shutDownPastLimit(t)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close, "the connection ends")
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Zero(t, w.runCount())
}

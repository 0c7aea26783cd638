package server

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/callers"
)

// Guards against bodies that are held without an account: one that does not fit beside the others is refused, and the
// memory of a body is available again once it is released, before its request ends.
func TestBodiesAreChargedUntilTheyAreReleased(t *testing.T) {
	from, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	const bodyBytes = 800 << 10
	l := callers.NewListener(callers.Options{Limits: callers.Limits{Connections: 10, Memory: math.MaxInt64, LargeBodies: bodyBytes}, HeaderBytes: func() int { return 1000 }}).Listen(from)
	read, proceed, released := make(chan error), make(chan struct{}), make(chan struct{})
	server := l.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, release, err := readBody(w, r, bodyBytes)
		read <- err
		if err == nil {
			<-proceed
			release()
			released <- struct{}{}
			<-proceed
		}
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	post := func() {
		connection, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		go func() {
			_, _ = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			_, _ = io.WriteString(connection, strings.Repeat("x", bodyBytes))
		}()
	}
	post()
	require.NoError(t, <-read)
	require.EqualValues(t, bodyBytes, l.Usage().LargeBodies)
	post()
	require.ErrorIs(t, <-read, errBodyBudget)
	proceed <- struct{}{}
	<-released
	require.Zero(t, l.Usage().LargeBodies)
	post()
	require.NoError(t, <-read)
	close(proceed)
	<-released
}

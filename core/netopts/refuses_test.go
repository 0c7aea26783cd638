package netopts

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host refuses connections only after the listener is closed, not while the process accepts none.
func TestHostRefusesConnectionsAfterListenerCloses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.False(t, RefusesConnections(t.Context(), address, time.Second), "the process listens without accepting connections")
	require.NoError(t, listener.Close())
	require.True(t, RefusesConnections(t.Context(), address, time.Second))
	require.False(t, RefusesConnections(t.Context(), "not an address", time.Second))
}

// On a busy host this process was not scheduled for the whole dial timeout. The host's refusal had arrived, but only
// the timeout was reported, so the crash of a server was missed: the request under which it crashed was sent to one
// more server.
func TestRefusalIsCheckedAgainAfterATimeout(t *testing.T) {
	dials := 0
	dial := func(results ...error) func(context.Context, string, string) (net.Conn, error) {
		dials = 0
		return func(context.Context, string, string) (net.Conn, error) {
			dials++
			return nil, &net.OpError{Op: "dial", Err: results[dials-1]}
		}
	}
	require.True(t, refuses(t.Context(), "10.0.0.1:1", dial(os.ErrDeadlineExceeded, syscall.ECONNREFUSED)))
	require.False(t, refuses(t.Context(), "10.0.0.1:1", dial(os.ErrDeadlineExceeded, os.ErrDeadlineExceeded)), "an unreachable host")
	require.Equal(t, 2, dials)
	require.False(t, refuses(t.Context(), "10.0.0.1:1", dial(syscall.EHOSTUNREACH)))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, refuses(cancelled, "10.0.0.1:1", dial(os.ErrDeadlineExceeded)))
}

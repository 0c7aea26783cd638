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

// A process listens, takes no connection for a while, and ends. Only then its host refuses.
func TestAHostRefusesOnceNobodyListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.False(t, RefusesConnections(t.Context(), address, time.Second), "it listens, though it takes nothing")
	require.NoError(t, listener.Close())
	require.True(t, RefusesConnections(t.Context(), address, time.Second))
	require.False(t, RefusesConnections(t.Context(), "not an address", time.Second))
}

// A busy host did not run this process for the whole timeout. The refusal was there meanwhile, and the end of a server
// was missed: the request under which it ended was sent to one server more.
func TestATimeoutThatMayBeThisProcessItsOwnIsLookedAtAgain(t *testing.T) {
	dials := 0
	dial := func(results ...error) func(context.Context, string, string) (net.Conn, error) {
		dials = 0
		return func(context.Context, string, string) (net.Conn, error) {
			dials++
			return nil, &net.OpError{Op: "dial", Err: results[dials-1]}
		}
	}
	require.True(t, refuses(t.Context(), "10.0.0.1:1", dial(os.ErrDeadlineExceeded, syscall.ECONNREFUSED)))
	require.False(t, refuses(t.Context(), "10.0.0.1:1", dial(os.ErrDeadlineExceeded, os.ErrDeadlineExceeded)), "a host that is cut off")
	require.Equal(t, 2, dials)
	require.False(t, refuses(t.Context(), "10.0.0.1:1", dial(syscall.EHOSTUNREACH)))
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, refuses(gone, "10.0.0.1:1", dial(os.ErrDeadlineExceeded)))
}

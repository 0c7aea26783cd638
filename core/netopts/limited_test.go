package netopts

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that take the descriptors of others: those over the limit are not opened, and a closed or
// failed one makes room.
func TestOpenConnectionsAreLimited(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := NewLimitedDialer(&Dialer{RunTimeout: time.Second})
	d.SetLimit(1)
	dial := func() (net.Conn, error) {
		return d.DialContext(context.Background(), "tcp", listener.Addr().String())
	}
	first, err := dial()
	require.NoError(t, err)
	_, err = dial()
	require.ErrorIs(t, err, ErrConnectionsFull)
	require.NoError(t, first.Close())
	require.Error(t, first.Close(), "a second close")
	require.Zero(t, d.Open())
	require.NoError(t, listener.Close())
	_, err = dial()
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrConnectionsFull)
	require.Zero(t, d.Open())
}

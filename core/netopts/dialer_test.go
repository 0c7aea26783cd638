package netopts

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against taking an own stall for an unresponsive host. On a busy machine an entry was not scheduled for the
// whole dial timeout, marked its only server as unreachable and refused requests for which there was room. After a
// stall one timer is handled before the reply of the host; the dial must succeed then.
func TestAStallDoesNotEndADial(t *testing.T) {
	replied := make(chan struct{})
	stalled := false
	after := func(_ time.Duration, handle func()) {
		if stalled {
			close(replied)
			return
		}
		stalled = true
		go handle()
	}
	connection, err := dialInSteps(t.Context(), time.Second, after, func(ctx context.Context) (net.Conn, error) {
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		case <-replied:
			return &net.TCPConn{}, nil
		}
	})
	require.NoError(t, err)
	require.NotNil(t, connection)
}

// An unresponsive host costs its caller the timeout, and the error is a timeout of a dial.
func TestAnUnresponsiveHostEndsADialAtTheTimeout(t *testing.T) {
	elapsed := time.Duration(0)
	after := func(d time.Duration, handle func()) {
		elapsed += d
		go handle()
	}
	_, err := dialInSteps(t.Context(), time.Second, after, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	})
	var op *net.OpError
	require.ErrorAs(t, err, &op)
	require.Equal(t, "dial", op.Op)
	require.True(t, op.Timeout())
	require.Equal(t, time.Second, elapsed)
}

// A dial that the caller cancels is no timeout, and a dialer reports refusals as they are.
func TestDialerPassesOtherErrorsOn(t *testing.T) {
	dialer := &Dialer{RunTimeout: 10 * time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connection, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.NoError(t, listener.Close())
	_, err = dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = dialer.DialContext(cancelled, "tcp", listener.Addr().String())
	require.Error(t, err)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded))
}

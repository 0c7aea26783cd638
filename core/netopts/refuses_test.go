package netopts

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process listens, takes no connection for a while, and ends. Only then its host refuses.
func TestAHostRefusesOnceNobodyListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.False(t, Refuses(t.Context(), address, time.Second), "it listens, though it takes nothing")
	require.NoError(t, listener.Close())
	require.True(t, Refuses(t.Context(), address, time.Second))
	require.False(t, Refuses(t.Context(), "not an address", time.Second))
}

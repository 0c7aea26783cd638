package process

import (
	"io"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/callers"
)

// Guards against callers that begin their headers and hold their connections forever.
func TestUnfinishedHeadersAreClosed(t *testing.T) {
	t.Parallel()
	daemon := &tomb.Tomb{}
	server := LimitedServer{Address: "127.0.0.1:0", Handler: http.NotFoundHandler(), Bounds: callers.Bounds{Timeout: time.Minute},
		Limits: callers.Limits{Connections: 10, Memory: math.MaxInt64, LargeBodies: math.MaxInt64}}
	listener, err := server.Start(daemon)
	require.NoError(t, err)
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.SetDeadline(time.Now().Add(4*serverHeaderTimeout)))
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	_, err = io.ReadAll(connection)
	require.NoError(t, err, "the connection is closed")
	daemon.Kill(nil)
	require.NoError(t, daemon.Wait())
}

// The limits of an address follow from the resources, but serve a few connections at least.
func TestAddressLimitsFollowFromTheResources(t *testing.T) {
	limits := Resources{MemoryMB: 184, MaxDescriptors: 1100}.AddressLimits(0.1, 0.5)
	require.Equal(t, callers.Limits{Connections: 90, Memory: 92 << 20, LargeBodies: math.MaxInt64}, limits)
	smallest := Resources{MemoryMB: 1, MaxDescriptors: 40}.AddressLimits(0.01, 0.01)
	require.Equal(t, minConnections, smallest.Connections)
	require.EqualValues(t, minConnections*(callers.ConnectionBytes+callers.RequestBytes), smallest.Memory)
}

package peerlink

import (
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/process"
)

// testTimeout bounds waits for something that has to happen.
const testTimeout = 20 * time.Second

// idleStatus is an entry that knows no configuration and no servers, and reads nothing.
type idleStatus struct{}

func (idleStatus) Versions() (version, revision uint64)        { return 0, 0 }
func (idleStatus) StoreState(time.Time) (s peering.StoreState) { return s }
func (idleStatus) StoreUnavailable(time.Time) bool             { return false }
func (idleStatus) Starting() bool                              { return false }
func (idleStatus) Stopping() bool                              { return false }

// idleLoads ignores load updates; its other methods are not called.
type idleLoads struct{ Loads }

func (idleLoads) ApplyLoadUpdates(time.Time, peering.Message, bool) {}

// All entries start at once and know only a seed in another zone, which sends each of them the
// addresses of the earlier ones. Without a message from the new entry the earlier ones would not
// learn of it until the next heartbeat, and all would send their first requests to the same
// servers.
func TestADiscoveredPeerIsContactedAtOnce(t *testing.T) {
	listen := func() net.PacketConn {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, conn.Close()) })
		return conn
	}
	l := New(Options{Address: "127.0.0.1:2", Zone: "here", Incarnation: "i", Log: process.NewDiscardLogger(), Traffic: NewTraffic(metrics.NewRegistry()), Status: idleStatus{},
		Loads: idleLoads{}})
	l.Attach(listen()) // no heartbeats run
	localPeer, remotePeer := listen(), listen()
	l.HandleMessage(time.Now(), peering.Message{From: "127.0.0.1:1", Incarnation: "x", Zone: "there", Members: []peering.ZoneMembers{
		{Zone: "here", Addresses: []string{localPeer.LocalAddr().String()}}, {Zone: "there", Addresses: []string{remotePeer.LocalAddr().String()}}}})
	heard := func(conn net.PacketConn, wait time.Duration) bool {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(wait)))
		_, _, err := conn.ReadFrom(make([]byte, 2000))
		return err == nil
	}
	require.True(t, heard(localPeer, testTimeout))
	require.False(t, heard(remotePeer, 50*time.Millisecond), "heartbeats to other zones are sent in turn")
}

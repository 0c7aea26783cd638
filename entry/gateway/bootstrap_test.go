package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/config"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/entry/peerlink"
)

// The local peers that have the list do not deliver it in time, since many entries fetch it at once
// over their links. A starting entry asked them again and again, and did not serve for half a
// minute in a fleet of 300 entries and 3,000 servers.
func TestAStartingEntryIsNotDelayedByItsPeers(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	w.worker("i-1", "plain", nil)
	settings := w.newSettings(newSilentPeer(t, 0, func() uint64 { return 1 }))
	settings.ApplyLimit, settings.DrainLimit = config.Duration(4*time.Second), config.Duration(4*time.Second)
	began := time.Now()
	s := w.start(settings)
	require.Eventually(t, func() bool { return s.manager.State() == lifecycle.Serving && w.isCurrent(s) }, 2*peerlink.FetchTimeout, 10*time.Millisecond)
	require.Greater(t, time.Since(began), peerlink.FetchTimeout/2, "it has asked the peer first")
}

// newSilentPeer starts an entry of the zone that claims to read the store and to hold a version,
// accepts connections and never responds. It returns its address.
func newSilentPeer(t *testing.T, capacity int, version func() uint64) string {
	listener, err := net.Listen("tcp", loopbackHost()+":7803")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().String()
	conn, err := net.ListenPacket("udp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			_, from, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			m := peering.Message{From: address, Incarnation: "silent", Zone: "here", Capacity: capacity, Version: version(), Revision: 1}
			m.SetStoreState(peering.StoreState{Reads: true})
			data, err := peering.Encode(m)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(data, from)
		}
	}()
	return address
}

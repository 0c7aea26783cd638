package peerlink

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/ratelimit"
)

// A datagram beyond a packet is lost if one of its fragments is.
func TestAMessageOfLimitsFitsIntoAPacket(t *testing.T) {
	m := peering.Message{From: "10.200.100.100:7343", Incarnation: "5f1c07a2", Zone: "availability-zone-1", Version: 1 << 40, Revision: 1 << 50, Relay: true}
	for i := range maxLimits {
		m.Limits = append(m.Limits, ratelimit.Statement{Server: fmt.Sprintf("i-3888e856c%d@m1x2k3l4", i), Limited: true, PerSecond: 2.7, Age: 60_000})
	}
	data, err := peering.Encode(m)
	require.NoError(t, err)
	t.Logf("%d bytes with %d servers", len(data), maxLimits)
	require.LessOrEqual(t, len(data)+datagramHeaders, 1500)
}

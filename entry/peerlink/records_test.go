package peerlink

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/quarantine"
)

// Many parts are under suspicion, some at many crashes of long ago. Their records are all sent, in packets of a usual
// link.
func TestPartRecordsAreSplitIntoPackets(t *testing.T) {
	tracker, start := quarantine.NewPartTracker(), time.Unix(1000, 0)
	for i := range 40 {
		for crash := range 1 + i%20 {
			at := start.Add(time.Duration(crash) * time.Second)
			tracker.ServerCrashed(at, at, []quarantine.Fingerprint{quarantine.PartFingerprint(fmt.Sprint(i))}, fmt.Sprint(crash))
		}
	}
	records := tracker.Records(start.Add(time.Hour - time.Second))
	count := 0
	for _, part := range splitPartRecords(records) {
		count += len(part)
		m := peering.Message{From: "127.127.127.127:65535", Incarnation: "abcdef12", Zone: "a-long-zone-name", Version: 1 << 30, Revision: 1 << 50, PartRecords: part, Relay: true}
		data, err := peering.Encode(m)
		require.NoError(t, err)
		require.Less(t, len(data), 1400)
	}
	require.Equal(t, len(records), count)
}

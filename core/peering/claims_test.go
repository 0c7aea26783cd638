package peering

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/claims"
)

// Guards against datagrams that are fragmented, and lost with each of their fragments, while many prompts wait.
func TestClaimsAreSplitIntoPackets(t *testing.T) {
	var reports []claims.Report
	for i := range claims.MaxOwn {
		report := claims.Report{ID: fmt.Sprintf("2kq0x1v9m4c7z-%d", i), Service: "engines", Tokens: 600_500, Worth: 76, LateWorth: 19, HoldMs: 4000, AgeMs: 900, DueMs: 2000, UntilMs: 14_000}
		for p := range claims.MaxParts {
			report.Parts = append(report.Parts, claims.Part{Server: fmt.Sprintf("i-3888e856c%x@m1x2k3ab", p), Tokens: 37_500})
		}
		reports = append(reports, report)
	}
	var all []claims.Report
	for _, part := range SplitClaims(reports) {
		m := Message{From: "10.1.0.40:8229", Incarnation: "5f1c07a2", Zone: "zone-a", Version: 18, Revision: 1 << 41, Claims: part}
		require.True(t, m.HasEvents())
		require.Equal(t, KindEvents, m.Kind())
		data, err := Encode(m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 1472)
		read, err := Decode(data)
		require.NoError(t, err)
		all = append(all, read.Claims...)
	}
	require.Equal(t, reports, all)
	require.Less(t, len(SplitClaims(reports)), claims.MaxOwn, "several fit one packet")
}

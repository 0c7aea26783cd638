package peering

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"arbutusdeck/core/claims"
)

// maxClaimBytes bounds the claims in one message so that it fits into one packet of a usual link (1,500 bytes); the
// rest of a message takes some 100 bytes.
const maxClaimBytes = 1250

// SplitClaims divides claims among messages that fit into one packet each. A claim with sixteen servers of the longest
// names is a message of its own.
func SplitClaims(reports []claims.Report) [][]claims.Report {
	var parts [][]claims.Report
	for _, report := range reports {
		if last := len(parts) - 1; last >= 0 && claimBytes(append(slices.Clone(parts[last]), report)) <= maxClaimBytes {
			parts[last] = append(parts[last], report)
			continue
		}
		parts = append(parts, []claims.Report{report})
	}
	return parts
}

func claimBytes(reports []claims.Report) int {
	data, err := cbor.Marshal(reports)
	if err != nil {
		return maxClaimBytes + 1
	}
	return len(data)
}

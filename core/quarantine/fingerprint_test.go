package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A request is refused by its fingerprint alone. A request of another caller with the same path and body, or one
// that differs in a single field, must have another fingerprint.
func TestOnlyTheSameRequestOfTheSameCallerSharesAFingerprint(t *testing.T) {
	body := []byte("prompt")
	seen := map[Fingerprint]bool{FingerprintOf("press", "POST", "press.example", "/a?x=1", body): true}
	for _, other := range []Fingerprint{
		FingerprintOf("school", "POST", "press.example", "/a?x=1", body),
		FingerprintOf("", "POST", "press.example", "/a?x=1", body),
		FingerprintOf("press", "PUT", "press.example", "/a?x=1", body),
		FingerprintOf("press", "POST", "school.example", "/a?x=1", body),
		FingerprintOf("press", "POST", "press.example", "/a?x=2", body),
		FingerprintOf("press", "POST", "press.example", "/a?x=1", []byte("prompt.")),
		FingerprintOf("press", "POST", "press.example", "/a?x=1", nil),
		// The end of one field moves to the beginning of the next.
		FingerprintOf("pressP", "OST", "press.example", "/a?x=1", body),
		FingerprintOf("press", "POST", "press.example", "/a?x=1p", []byte("rompt")),
	} {
		require.False(t, seen[other])
		seen[other] = true
	}
	require.True(t, seen[FingerprintOf("press", "POST", "press.example", "/a?x=1", []byte("prompt"))])
}

package enginemodel

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A prompt of two thousand million tokens would be read for longer than durations last. It must
// not seem to be read at once.
func TestMillisToDurationSaturates(t *testing.T) {
	require.Equal(t, time.Duration(math.MaxInt64), MillisToDuration(1e18))
	require.Equal(t, 1500*time.Microsecond, MillisToDuration(1.5))
}

package enginemodel

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The prefill of a prompt of two billion tokens would exceed the longest duration. The result must not
// overflow and seem to be done at once.
func TestMillisToDurationSaturates(t *testing.T) {
	require.Equal(t, time.Duration(math.MaxInt64), MillisToDuration(1e18))
	require.Equal(t, 1500*time.Microsecond, MillisToDuration(1.5))
}

package boottime

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The boot time advances like the monotonic clock and does not follow the wall clock.
func TestBoottimeIsMonotonic(t *testing.T) {
	before := At(time.Now())
	after := At(time.Now().Add(-time.Hour))
	require.False(t, after.Before(before), fmt.Sprint(before, after))
}

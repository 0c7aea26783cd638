package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns a time that also counts while the machine is suspended, which
// the monotonic clock does not, and that never jumps, which the time of day does.
func boottime(now time.Time) time.Time {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		// The monotonic clock still shows a process that was stopped.
		return now
	}
	return time.Unix(reading.Unix())
}

package membership

import "time"

// PauseDetector detects that this process did not run for a while. A process that resumes late would otherwise
// act on leases, load figures and a host view that expired meanwhile. The gap between ticks suffices where the
// tick precedes the action in the same loop.
type PauseDetector struct {
	limit time.Duration
	last  time.Time
}

// NewPauseDetector returns a detector of gaps above limit.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit}
}

// Tick records the present time and returns the length of the pause before it, or zero. Callers strip the
// monotonic reading (Round(0)), so that a suspended machine is detected as well; a clock that is set back counts
// as a pause.
func (d *PauseDetector) Tick(now time.Time) time.Duration {
	last := d.last
	d.last = now
	if last.IsZero() {
		return 0
	}
	gap := now.Sub(last)
	if gap < 0 {
		gap = -gap
	}
	if gap <= d.limit {
		return 0
	}
	return gap
}

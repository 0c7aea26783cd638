package admission

import (
	"math"
	"time"

	"arbutusdeck/core/execution"
)

// LimitOptions configures Limits.
type LimitOptions struct {
	// MaxWaiting bounds the number of queued attempts on the host.
	MaxWaiting int
	// WaitTolerance bounds the predicted wait before a request's own prefill, as a
	// factor of its first-token target; beyond it the request is refused.
	WaitTolerance float64
	// MinWaitTolerance is the lower bound of the tolerated wait.
	MinWaitTolerance time.Duration
	// DemandHalfLife is the half-life of the demand counted for each entry.
	DemandHalfLife time.Duration
}

// DefaultLimitOptions returns the options used where the settings give none.
func DefaultLimitOptions() LimitOptions {
	return LimitOptions{MaxWaiting: 512, WaitTolerance: 1, MinWaitTolerance: 100 * time.Millisecond, DemandHalfLife: 10 * time.Second}
}

type demand struct {
	byEntry map[string]float64
	at      time.Time
}

// Limits decides at one host which offers are admitted to its queue.
type Limits struct {
	options LimitOptions
	open    map[string]int
	demands map[string]*demand
}

// NewLimits returns Limits without open requests.
func NewLimits(options LimitOptions) *Limits {
	return &Limits{options: options, open: map[string]int{}, demands: map[string]*demand{}}
}

// Offer describes one offer to admission control.
type Offer struct {
	Workspace string
	Entry     string
	// Concurrency is the workspace's limit on open requests here; 0 means none.
	Concurrency int
	Deadline    time.Time
	// Target is the target for the time to first token.
	Target time.Duration
	// Predicted is the predicted time to first token here.
	Predicted time.Duration
	// OwnPrefill is the part of Predicted taken by the request's own prefill.
	OwnPrefill time.Duration
	// Waiting is the number of queued attempts here.
	Waiting int
}

// Check refuses an offer that cannot be served in time, and returns nil otherwise.
// An early refusal costs the caller one round trip; queueing the request would use
// up its whole time and delay every request behind it.
func (l *Limits) Check(now time.Time, offer Offer) *execution.Refusal {
	wait := offer.Predicted - offer.OwnPrefill
	if offer.Concurrency > 0 && l.open[offer.Workspace] >= offer.Concurrency {
		return &execution.Refusal{Code: execution.CodeQueueFull, Detail: "the workspace has its largest number of open requests here", RetryAfter: retryAfter(wait)}
	}
	if offer.Waiting >= l.options.MaxWaiting {
		return &execution.Refusal{Code: execution.CodeQueueFull, Detail: "the queue is full", RetryAfter: retryAfter(wait)}
	}
	if now.Add(offer.Predicted).After(offer.Deadline) {
		return &execution.Refusal{Code: execution.CodeInfeasible, Detail: "the first token would come after the deadline", RetryAfter: retryAfter(now.Add(offer.Predicted).Sub(offer.Deadline))}
	}
	tolerance := max(time.Duration(l.options.WaitTolerance*float64(offer.Target)), l.options.MinWaitTolerance)
	if wait > tolerance {
		return &execution.Refusal{Code: execution.CodeQueueFull, Detail: "the wait would exceed the first-token target", RetryAfter: retryAfter(wait - tolerance)}
	}
	return nil
}

// minRetryAfter prevents refused callers from retrying at once.
const minRetryAfter = 100 * time.Millisecond

func retryAfter(drain time.Duration) time.Duration { return max(drain, minRetryAfter) }

// Opened counts an accepted offer.
func (l *Limits) Opened(workspace string) { l.open[workspace]++ }

// Closed counts the end of an accepted offer.
func (l *Limits) Closed(workspace string) {
	l.open[workspace]--
	if l.open[workspace] <= 0 {
		delete(l.open, workspace)
	}
}

// Open returns the number of open requests by workspace.
func (l *Limits) Open() map[string]int { return l.open }

// minDemand is the number of recent offers below which an entry's part is unknown.
const minDemand = 3

// Demand counts an offer, accepted or not, and returns the part of the workspace's
// recent demand here that came through the entry. It reports false if fewer than
// minDemand recent offers were counted. The part is above 0, since it includes the
// offer itself.
func (l *Limits) Demand(now time.Time, workspace, entry string) (part float64, known bool) {
	d := l.demands[workspace]
	if d == nil {
		d = &demand{byEntry: map[string]float64{}, at: now}
		l.demands[workspace] = d
	}
	d.decay(now, l.options.DemandHalfLife)
	d.byEntry[entry]++
	sum := 0.0
	for _, count := range d.byEntry {
		sum += count
	}
	return d.byEntry[entry] / sum, sum >= minDemand
}

// minTrackedDemand is the decayed demand below which an entry is dropped.
const minTrackedDemand = 0.01

func (d *demand) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(d.at)
	if elapsed < halfLife/8 {
		return
	}
	d.at = now
	factor := decayFactor(elapsed, halfLife)
	for entry, count := range d.byEntry {
		if count*factor < minTrackedDemand {
			delete(d.byEntry, entry)
			continue
		}
		d.byEntry[entry] = count * factor
	}
}

func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

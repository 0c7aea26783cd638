package admission

import (
	"math"
	"time"

	"arbutusdeck/core/execution"
)

// LimitOptions are the bounds of Limits.
type LimitOptions struct {
	// MaxWaiting bounds the number of queued attempts on the host.
	MaxWaiting int
	// WaitTolerance is how far beyond its first-token target a request may be
	// predicted to start, as a factor of the target, before it is refused.
	WaitTolerance float64
	// MinWaitTolerance is the least time allowed by Patience.
	MinWaitTolerance time.Duration
	// DemandHalfLife is how fast the demand of each entry is forgotten.
	DemandHalfLife time.Duration
}

// DefaultLimitOptions returns the options used when the settings name none.
func DefaultLimitOptions() LimitOptions {
	return LimitOptions{MaxWaiting: 512, WaitTolerance: 1, MinWaitTolerance: 100 * time.Millisecond, DemandHalfLife: 10 * time.Second}
}

type demand struct {
	byEntry map[string]float64
	at      time.Time
}

// Limits decides at one host which offers may wait for a place.
type Limits struct {
	options LimitOptions
	open    map[string]int
	demands map[string]*demand
}

// NewLimits returns limits with nothing open.
func NewLimits(options LimitOptions) *Limits {
	return &Limits{options: options, open: map[string]int{}, demands: map[string]*demand{}}
}

// Offer is one offer as admission sees it.
type Offer struct {
	Workspace string
	Entry     string
	// Concurrency is the workspace's bound on open requests here; 0: none.
	Concurrency int
	Deadline    time.Time
	// Target is the first-token target.
	Target time.Duration
	// Predicted is the predicted time to first token here.
	Predicted time.Duration
	// Own is the part of Predicted that the request's own prefill takes.
	Own time.Duration
	// Waiting is the number of queued attempts here.
	Waiting int
}

// Check refuses what cannot be served in time. Refusing early costs the caller
// one round trip; letting it wait would cost it its whole time and make every
// request behind it late as well.
func (l *Limits) Check(now time.Time, ask Offer) *execution.Refusal {
	ahead := ask.Predicted - ask.Own
	if ask.Concurrency > 0 && l.open[ask.Workspace] >= ask.Concurrency {
		return &execution.Refusal{Code: execution.CodeQueueFull, Detail: "the workspace has its largest number of open requests here", RetryAfter: retryAfter(ahead)}
	}
	if ask.Waiting >= l.options.MaxWaiting {
		return &execution.Refusal{Code: execution.CodeQueueFull, Detail: "the queue is full", RetryAfter: retryAfter(ahead)}
	}
	if now.Add(ask.Predicted).After(ask.Deadline) {
		return &execution.Refusal{Code: execution.CodeInfeasible, Detail: "the first token would come after the deadline", RetryAfter: retryAfter(now.Add(ask.Predicted).Sub(ask.Deadline))}
	}
	patience := max(time.Duration(l.options.WaitTolerance*float64(ask.Target)), l.options.MinWaitTolerance)
	if ahead > patience {
		return &execution.Refusal{Code: execution.CodeQueueFull, Detail: "the wait would exceed the first-token target", RetryAfter: retryAfter(ahead - patience)}
	}
	return nil
}

// minRetryAfter keeps refused callers from asking again at once.
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

// minDemand is the number of recent offers below which nothing is said of parts.
const minDemand = 3

// Demand counts an offer, accepted or not, and returns which part of the
// workspace's recent demand here came through the entry; false if too little was
// seen to say. The part is never 0, since the offer itself counts.
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

// forgotten is the demand below which an entry is dropped.
const forgotten = 0.01

func (d *demand) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(d.at)
	if elapsed < halfLife/8 {
		return
	}
	d.at = now
	factor := halve(elapsed, halfLife)
	for entry, count := range d.byEntry {
		if count*factor < forgotten {
			delete(d.byEntry, entry)
			continue
		}
		d.byEntry[entry] = count * factor
	}
}

func halve(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

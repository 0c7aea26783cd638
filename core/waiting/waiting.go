// Package waiting decides which requests wait at an entry for a free slot of a service, in which order they start, and
// which are refused. A server is given no more requests than it has slots; under a load of 1.06 to 2 times the slots
// the excess waits here, where it can still be reordered, refused or abandoned at no cost to others. Entries of a zone
// tell each other what waits at them, so that one of them takes a slot that becomes free, mostly. Without reports the
// order is right only locally. The package does no I/O; times and random numbers are passed in.
package waiting

import (
	"fmt"
	"time"
)

// Ticket describes a request that needs a slot.
type Ticket struct {
	ID        string
	Workspace string
	// Priority is 0 for the highest.
	Priority     int
	PromptTokens int64
	// Bytes is the memory that the request takes at the entry while it waits.
	Bytes int64
	// Arrived is the time of the caller's first attempt as far as it is known, else that of this one.
	Arrived time.Time
	// Due is Arrived plus the route's target, Deadline the end of the request's time.
	Due, Deadline time.Time
	// FirstEvent is the predicted time to the first event once the request has a slot.
	FirstEvent time.Duration
	// Worth is the value of an answer in time, LateWorth that of a late one, in short requests.
	Worth, LateWorth float64
	// Draw is a random number from 0 to 1 that spreads the retries of refused callers.
	Draw float64
}

// inTime reports whether the first event comes by the due time if the request starts now.
func (t *Ticket) inTime(now time.Time) bool { return !now.Add(t.FirstEvent).After(t.Due) }

// hopeless reports whether the first event would come after the request's time if it starts now.
func (t *Ticket) hopeless(now time.Time) bool { return now.Add(t.FirstEvent).After(t.Deadline) }

// Supply is the capacity of the own zone for the service, according to the load table.
type Supply struct {
	// Slots is the number of slots at servers that take requests, Free the number of those that no request holds. What
	// one server has in excess of its slots isn't subtracted from the others' free slots.
	Slots, Free int
	// HoldTime is the mean time for which a request holds a slot; 0 if it is not known, in which case no wait is
	// predicted.
	HoldTime time.Duration
	// Entries is the number of running entries of the zone, with this one; 0 counts as 1.
	Entries int
}

// interval returns the mean time between two slots that become free while all are taken.
func (s Supply) interval() time.Duration { return s.HoldTime / time.Duration(max(s.Slots, 1)) }

// reserve returns the number of slots that become free within a time while all are taken.
func (s Supply) reserve(within time.Duration) int {
	if s.HoldTime <= 0 {
		return 0
	}
	return int(time.Duration(s.Slots) * within / s.HoldTime)
}

// Reason is the cause of a refusal.
type Reason string

// Refusal reasons.
const (
	// TooLate means that the first event would come after the request's time.
	TooLate Reason = "too_late"
	// Overloaded means that the request would be late and that those kept already fill the time that is left to it.
	Overloaded Reason = "overloaded"
	// QueueFull means that the bound in number or bytes is reached.
	QueueFull Reason = "queue_full"
	// Stopping means that the entry shuts down; the request was not run.
	Stopping Reason = "stopping"
)

// Verdict is the result of an offer.
type Verdict struct {
	// Wait is set if the request waits. The next Plan may start it at once.
	Wait bool
	// RetryAfter and Reason are set if it is refused.
	RetryAfter time.Duration
	Reason     Reason
}

// Refused is a request that waited and is refused.
type Refused struct {
	ID         string
	RetryAfter time.Duration
	Reason     Reason
}

// Plan is what happens to waiting requests now.
type Plan struct {
	// Start lists the requests to start, in this order. Each is counted as holding a slot until Leave.
	Start  []string
	Refuse []Refused
	// Pass lists the peers that get a slot each which was given up here; each is sent a report with Granted.
	Pass []string
	// Wake is the time after which to call Next again unless something changes before; 0 if nothing waits.
	Wake time.Duration
}

// Options configures a Queue. All times are derived from measurements or from the protocol between entries.
type Options struct {
	// Service is the service whose slots the queue assigns, Entry the name of this entry. Reports on other services
	// are ignored; the lower name goes first where ranks are equal.
	Service, Entry string
	// MaxWaiting and MaxBytes bound the requests that wait and the memory that they take; 0 means no bound.
	MaxWaiting int
	MaxBytes   int64
	// PlanShare is the share of a request's slack that its predicted wait may take for it to count as promised. The
	// rest is for the error of the prediction.
	PlanShare float64
	// KeepShare is the share of a request's remaining time within which all that are kept beyond the promised ones
	// could be served; a request in excess of that is refused at once. With 0 none is kept.
	KeepShare float64
	// Stagger is the time after which a free slot counts as not taken by the entry whose turn it was: the delay of
	// messages between entries. With 0 entries don't await each other.
	Stagger time.Duration
	// ReportLifetime is the time for which a peer's report holds without a newer one.
	ReportLifetime time.Duration
	// Usage returns a workspace's recent usage divided by its weight, relative to the even share (1). nil means 1.
	Usage func(workspace string) float64
}

// Defaults of the shares. The comparison in docs/design/waiting.md shows how they were chosen.
const (
	DefaultPlanShare = 0.5
	DefaultKeepShare = 1
)

// Report is the state of an entry's queue for its peers. Times are relative to the sending, as clocks differ.
type Report struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Promised counts the requests that are predicted to be in time, Kept the others that wait.
	Promised int `cbor:"2,keyasint,omitempty"`
	Kept     int `cbor:"3,keyasint,omitempty"`
	// Head and Last are the rank keys of the first and the last promised request, in milliseconds from the sending.
	Head int64 `cbor:"4,keyasint,omitempty"`
	Last int64 `cbor:"5,keyasint,omitempty"`
	// Granted counts the slots that the sender passes on to the recipient; 0 in the reports to all.
	Granted int `cbor:"6,keyasint,omitempty"`
}

// Bounds of the values in a report.
const (
	maxReported   = 1 << 20
	maxRankMillis = int64(24 * time.Hour / time.Millisecond)
)

// Check returns an error that names the first invalid value.
func (r *Report) Check() error {
	for _, count := range []int{r.Promised, r.Kept, r.Granted} {
		if count < 0 || count > maxReported {
			return fmt.Errorf("%d waiting requests are outside 0 to %d", count, maxReported)
		}
	}
	for _, key := range []int64{r.Head, r.Last} {
		if key < -maxRankMillis || key > maxRankMillis {
			return fmt.Errorf("rank key of %d ms exceeds the limit of %d ms", key, maxRankMillis)
		}
	}
	if r.Last < r.Head {
		return fmt.Errorf("last rank key of %d ms precedes the first one of %d ms", r.Last, r.Head)
	}
	return nil
}

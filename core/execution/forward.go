package execution

import "time"

// RetryPolicy says what may be done with a request that may already have run.
type RetryPolicy string

// What may be repeated.
const (
	// RetryNever: at most one run.
	RetryNever RetryPolicy = "never"
	// RetryAlways: idempotent; any number of runs.
	RetryAlways RetryPolicy = "always"
	// RetryResumable: a run may be continued on another server after the last event
	// that was delivered.
	RetryResumable RetryPolicy = "resumable"
)

// ForwardOptions describe a request that goes straight to a backend server, in
// one step and without a host daemon that could vouch for anything.
type ForwardOptions struct {
	RetryPolicy RetryPolicy
	// MaxAttempts is how many servers the request may be sent to.
	MaxAttempts int
	// MaxUnsent is how many tries may fail before anything was sent.
	MaxUnsent int
	Deadline  time.Time
	// TakeRetry takes a token of the budget for sending to a further server.
	TakeRetry func(now time.Time) bool
}

// DefaultMaxUnsent lets a request pass over three servers that cannot be reached;
// more would spend its time on a fleet that is gone.
const DefaultMaxUnsent = 3

// ForwardResult is how one try ended.
type ForwardResult struct {
	Server string
	Kind   ForwardKind
	// Refusal is the cause, for logs and for the caller.
	Refusal Refusal
	// Delivered says that a part of the answer has gone out to the caller.
	Delivered bool
	// HasAnswer says that a whole answer of the server is at hand, though one that
	// tells of a failure; it may be given to the caller.
	HasAnswer bool
}

// ForwardKind is what is known of a try.
type ForwardKind uint8

const (
	// ForwardComplete: the whole answer was delivered.
	ForwardComplete ForwardKind = iota + 1
	// ForwardUnsent: no byte of the request left this process.
	ForwardUnsent
	// ForwardNotExecuted: the server states that it did not and will not run it.
	ForwardNotExecuted
	// ForwardFailed: the server ran it and answered with a failure.
	ForwardFailed
	// ForwardBroken: it was sent and no whole answer came; it may have run.
	ForwardBroken
)

var forwardNames = map[ForwardKind]string{ForwardComplete: "complete", ForwardUnsent: "unsent", ForwardNotExecuted: "notExecuted",
	ForwardFailed: "failed", ForwardBroken: "broken"}

func (k ForwardKind) String() string { return forwardNames[k] }

// ForwardDecision is what to do next.
type ForwardDecision struct {
	// Retry asks for a try on a server other than those excluded.
	Retry bool
	// UseAnswer asks to give the caller the server's own failure.
	UseAnswer bool
	// Conclusion is set where the request is over without an answer.
	Conclusion *Conclusion
}

// Forward decides what becomes of a forwarded request. It is pure. Its outcome is
// NotRun only while no try was sent that could have run.
type Forward struct {
	options  ForwardOptions
	sent     int
	unsent   int
	maybeRan bool
	excluded []string
	last     Refusal
}

// NewForward returns a request that has not been tried yet.
func NewForward(options ForwardOptions) *Forward {
	if options.MaxUnsent == 0 {
		options.MaxUnsent = DefaultMaxUnsent
	}
	return &Forward{options: options}
}

// Excluded returns the servers that were tried in vain.
func (f *Forward) Excluded() []string { return f.excluded }

// Sent returns how many servers the request was sent to.
func (f *Forward) Sent() int { return f.sent }

// MayFailOver says whether the try under way may be broken off for one on another server,
// though it may have run: the request has to bear another run and another server.
func (f *Forward) MayFailOver() bool {
	return f.options.RetryPolicy != RetryNever && f.sent+1 < f.options.MaxAttempts
}

// RecordSend notes that the request is about to be sent. From here on it may have
// run until the server states that it has not.
func (f *Forward) RecordSend() { f.sent++ }

// AttemptEnded takes in how a try ended. Sending must have been called before unless the
// try was unsent.
func (f *Forward) AttemptEnded(now time.Time, result ForwardResult) ForwardDecision {
	f.last = result.Refusal
	f.excluded = append(f.excluded, result.Server)
	switch result.Kind {
	case ForwardUnsent:
		f.unsent++
		return f.again(now, f.unsent < f.options.MaxUnsent, false)
	case ForwardNotExecuted:
		return f.again(now, f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), false)
	case ForwardFailed:
		f.maybeRan = true
		may := f.options.RetryPolicy == RetryAlways
		return f.again(now, may && f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), result.HasAnswer)
	}
	f.maybeRan = true
	return f.again(now, f.mayRepeat(result) && f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), false)
}

// mayRepeat says whether a try that may have run may be followed by another one.
// An idempotent answer that has begun to go out can't be begun anew, because two
// runs would be joined; a resumable one goes on after its last event.
func (f *Forward) mayRepeat(result ForwardResult) bool {
	switch f.options.RetryPolicy {
	case RetryAlways:
		return !result.Delivered
	case RetryResumable:
		return true
	}
	return false
}

func (f *Forward) again(now time.Time, may, answer bool) ForwardDecision {
	if may && now.Before(f.options.Deadline) {
		return ForwardDecision{Retry: true}
	}
	if answer {
		return ForwardDecision{UseAnswer: true}
	}
	return ForwardDecision{Conclusion: f.Conclude(f.last)}
}

// NoServer ends the request because no server is left to try.
func (f *Forward) NoServer(refusal Refusal) *Conclusion {
	if f.last.Code != "" && f.maybeRan {
		refusal = f.last
	}
	return f.Conclude(refusal)
}

// Abort ends the request in the midst of a try; sent says that the try under way
// has been sent, so that it may have run.
func (f *Forward) Abort(refusal Refusal, sent bool) *Conclusion {
	f.maybeRan = f.maybeRan || sent
	return f.Conclude(refusal)
}

// Conclude gives the final outcome.
func (f *Forward) Conclude(refusal Refusal) *Conclusion {
	outcome := NotRun
	if f.maybeRan {
		outcome = Unknown
	}
	return &Conclusion{Outcome: outcome, Refusal: &refusal, Attempts: f.sent}
}

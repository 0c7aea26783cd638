package execution

import "time"

// RetryPolicy selects how a request that may already have run can be retried.
type RetryPolicy string

// Retry policies.
const (
	// RetryNever: the request may run at most once.
	RetryNever RetryPolicy = "never"
	// RetryAlways: the request is idempotent and may run any number of times.
	RetryAlways RetryPolicy = "always"
	// RetryResumable: another server may continue the run after the last event
	// that was delivered.
	RetryResumable RetryPolicy = "resumable"
)

// ForwardOptions describes a request that is sent to a backend server directly, in
// one step and without a host daemon that keeps evidence of its runs.
type ForwardOptions struct {
	RetryPolicy RetryPolicy
	// MaxAttempts bounds the number of servers to which the request is sent.
	MaxAttempts int
	// MaxUnsent bounds the attempts that fail before anything was sent.
	MaxUnsent int
	Deadline  time.Time
	// TakeRetry takes a token of the retry budget and reports whether there was one.
	TakeRetry func(now time.Time) bool
}

// DefaultMaxUnsent allows three attempts at servers that cannot be reached; more
// would spend the request's time on a fleet that is down.
const DefaultMaxUnsent = 3

// ForwardResult describes how one attempt ended.
type ForwardResult struct {
	Server string
	Kind   ForwardKind
	// Refusal is the cause, for logs and for the caller.
	Refusal Refusal
	// Delivered reports that a part of the answer was sent to the caller.
	Delivered bool
	// HasAnswer reports that the server's complete answer is available, though it
	// is an error response; it may be relayed to the caller.
	HasAnswer bool
}

// ForwardKind classifies the end of an attempt.
type ForwardKind uint8

const (
	// ForwardComplete: the whole answer was delivered.
	ForwardComplete ForwardKind = iota + 1
	// ForwardUnsent: no byte of the request left this process.
	ForwardUnsent
	// ForwardNotExecuted: the server states that it did not and will not run it.
	ForwardNotExecuted
	// ForwardFailed: the server ran it and answered with an error.
	ForwardFailed
	// ForwardBroken: it was sent and no complete answer was received; it may have run.
	ForwardBroken
)

var forwardNames = map[ForwardKind]string{ForwardComplete: "complete", ForwardUnsent: "unsent", ForwardNotExecuted: "notExecuted",
	ForwardFailed: "failed", ForwardBroken: "broken"}

func (k ForwardKind) String() string { return forwardNames[k] }

// ForwardDecision is the next step after an attempt.
type ForwardDecision struct {
	// Retry asks for an attempt on a server other than those excluded.
	Retry bool
	// UseAnswer asks to relay the server's error response to the caller.
	UseAnswer bool
	// Conclusion is set if the request ends without an answer.
	Conclusion *Conclusion
}

// Forward is the state machine of a forwarded request; it does no I/O. Its outcome
// is NotRun only while no attempt was sent that may have run.
type Forward struct {
	options    ForwardOptions
	sent       int
	unsent     int
	mayHaveRun bool
	excluded   []string
	last       Refusal
}

// NewForward returns a request without attempts. A MaxUnsent of 0 means DefaultMaxUnsent.
func NewForward(options ForwardOptions) *Forward {
	if options.MaxUnsent == 0 {
		options.MaxUnsent = DefaultMaxUnsent
	}
	return &Forward{options: options}
}

// Excluded returns the servers on which an attempt has failed.
func (f *Forward) Excluded() []string { return f.excluded }

// Sent returns the number of servers to which the request was sent.
func (f *Forward) Sent() int { return f.sent }

// MayRedispatch reports whether the attempt in progress, which may have run, can be abandoned
// for one on another server: the policy has to allow another run, and MaxAttempts another server.
func (f *Forward) MayRedispatch() bool {
	return f.options.RetryPolicy != RetryNever && f.sent+1 < f.options.MaxAttempts
}

// RecordSend records that the request is about to be sent. From then on it may have
// run, unless the server states that it has not.
func (f *Forward) RecordSend() { f.sent++ }

// AttemptEnded records the end of an attempt and returns the next step. RecordSend
// must have been called before, unless nothing was sent.
func (f *Forward) AttemptEnded(now time.Time, result ForwardResult) ForwardDecision {
	f.last = result.Refusal
	f.excluded = append(f.excluded, result.Server)
	switch result.Kind {
	case ForwardUnsent:
		f.unsent++
		return f.decide(now, f.unsent < f.options.MaxUnsent, false)
	case ForwardNotExecuted:
		return f.decide(now, f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), false)
	case ForwardFailed:
		f.mayHaveRun = true
		retry := f.options.RetryPolicy == RetryAlways
		return f.decide(now, retry && f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), result.HasAnswer)
	}
	f.mayHaveRun = true
	return f.decide(now, f.mayRetry(result) && f.sent < f.options.MaxAttempts && f.options.TakeRetry(now), false)
}

// mayRetry reports whether an attempt that may have run may be followed by another.
// An idempotent request can't be retried once a part of its answer was delivered,
// because the answers of two runs would be joined; a resumable one continues after
// its last event.
func (f *Forward) mayRetry(result ForwardResult) bool {
	switch f.options.RetryPolicy {
	case RetryAlways:
		return !result.Delivered
	case RetryResumable:
		return true
	}
	return false
}

func (f *Forward) decide(now time.Time, retry, hasAnswer bool) ForwardDecision {
	if retry && now.Before(f.options.Deadline) {
		return ForwardDecision{Retry: true}
	}
	if hasAnswer {
		return ForwardDecision{UseAnswer: true}
	}
	return ForwardDecision{Conclusion: f.Conclude(f.last)}
}

// NoServer ends the request because no server is left for another attempt.
func (f *Forward) NoServer(refusal Refusal) *Conclusion {
	if f.last.Code != "" && f.mayHaveRun {
		refusal = f.last
	}
	return f.Conclude(refusal)
}

// Abort ends the request during an attempt; sent reports that the attempt was sent
// and may have run.
func (f *Forward) Abort(refusal Refusal, sent bool) *Conclusion {
	f.mayHaveRun = f.mayHaveRun || sent
	return f.Conclude(refusal)
}

// Conclude returns the final result of the request.
func (f *Forward) Conclude(refusal Refusal) *Conclusion {
	outcome := NotRun
	if f.mayHaveRun {
		outcome = Unknown
	}
	return &Conclusion{Outcome: outcome, Refusal: &refusal, Attempts: f.sent}
}

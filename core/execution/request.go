package execution

import (
	"time"
)

// RequestOptions describes one request at an entry.
type RequestOptions struct {
	ID        RequestID
	Retryable bool
	Key       Key
	// KeyFromCaller reports that the caller may resend the request under the same
	// key, here or at another entry; such a request is sent to its home only.
	KeyFromCaller bool
	Deadline      time.Time
	// OfferTTL bounds the validity of an offer.
	OfferTTL time.Duration
	// MaxAttempts bounds the attempts of the request.
	MaxAttempts int
	// MaxResumes bounds how often the stream of an attempt is resumed.
	MaxResumes int
	// Buffered reports that the answer is collected before any of it is sent to
	// the caller, so that an incomplete one can be discarded and retried.
	Buffered bool
	// NewAttempt returns a new attempt identifier.
	NewAttempt func() AttemptID
	// TakeRetry takes a token of the retry budget and reports whether there was one.
	TakeRetry func(now time.Time) bool
}

// Defaults of RequestOptions.
const (
	DefaultOfferTTL    = 3 * time.Second
	DefaultMaxAttempts = 4
	DefaultMaxResumes  = 2
)

// Target is a server with the incarnation under which the entry knows it.
type Target struct {
	Server      string
	Incarnation Incarnation
}

type stage uint8

const (
	stagePicking stage = iota + 1
	stageOffering
	stageStreaming
	stageCancelling
	stageConcluded
)

// Request is the state machine of one request at its entry.
type Request struct {
	options      RequestOptions
	stage        stage
	attempt      AttemptID
	target       Target
	expires      time.Time
	excluded     []string
	attempts     int
	resumes      int
	checker      *FrameChecker
	delivered    bool
	lastCause    Refusal
	sentAt       time.Time // send time of the pending offer or cancel
	priorOutcome Outcome   // the worst outcome of earlier attempts that ran
	stopping     bool      // this entry stops; no further attempt is made
}

// NewRequest returns a request that waits for RequestStarted.
func NewRequest(options RequestOptions) *Request {
	if options.OfferTTL == 0 {
		options.OfferTTL = DefaultOfferTTL
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	return &Request{options: options, stage: stagePicking}
}

// Concluded reports whether the request has ended.
func (r *Request) Concluded() bool { return r.stage == stageConcluded }

// Target returns the server of the current attempt.
func (r *Request) Target() Target { return r.target }

// Step handles an event and returns the resulting actions. After Conclude it
// ignores all events.
func (r *Request) Step(now time.Time, event Event) []Action {
	if r.stage == stageConcluded {
		return nil
	}
	switch e := event.(type) {
	case RequestStarted:
		return []Action{Pick{}}
	case Picked:
		return r.offer(now, e.Target)
	case NoTarget:
		return r.noTarget(e.Refusal)
	case OfferAnswered:
		return r.onOffer(now, e)
	case OfferLost:
		return r.onOfferLost(now, e)
	case FrameArrived:
		return r.onFrame(now, e.Frame)
	case StreamBroken:
		return r.onStreamBroken(now, e)
	case CancelAnswered:
		return r.onCancelled(now, e.Attempt, e.Outcome)
	case CancelLost:
		return r.onCancelled(now, e.Attempt, Unknown)
	case DeadlinePassed:
		return r.abort(Refusal{Code: CodeDeadline, Detail: "the request's deadline has passed"})
	case EntryStopping:
		return r.onEntryStopping(now, e.Refusal)
	case CallerDisconnected:
		return r.abort(Refusal{Code: CodeCallerGone})
	case ResponseTooLarge:
		return r.abort(e.Refusal)
	}
	return nil
}

func (r *Request) offer(now time.Time, target Target) []Action {
	if r.stage != stagePicking {
		return nil
	}
	r.stage = stageOffering
	r.attempts++
	r.resumes = 0
	r.lastCause = Refusal{}
	r.attempt = r.options.NewAttempt()
	r.target = target
	r.checker = NewFrameChecker(r.options.ID, r.attempt)
	r.sentAt = now
	r.expires = now.Add(r.options.OfferTTL)
	if r.options.Deadline.Before(r.expires) {
		r.expires = r.options.Deadline
	}
	return []Action{SendOffer{Attempt: r.attempt, Target: target, Expires: r.expires}}
}

func (r *Request) noTarget(refusal Refusal) []Action {
	if r.lastCause.Code != "" && refusal.Code == CodeNoServer {
		refusal = r.lastCause
	}
	return r.conclude(r.outcomeWithoutRun(), &refusal)
}

// outcomeWithoutRun returns the outcome while no attempt of this request can have
// run and no host has confirmed more. A key from the caller may have been sent
// through another entry before; only its home has the record.
func (r *Request) outcomeWithoutRun() Outcome {
	if r.options.KeyFromCaller {
		return Unknown
	}
	return NotRun
}

func (r *Request) onOffer(now time.Time, e OfferAnswered) []Action {
	if r.stage != stageOffering || e.Attempt != r.attempt {
		return nil
	}
	switch e.Result.Verdict {
	case Accepted:
		r.stage = stageStreaming
		return []Action{OpenStream{Attempt: r.attempt, Target: r.target, From: 1}}
	case Recorded:
		return r.concludeFromRecord(e.Result.Record)
	case RefusedUnknown:
		if r.options.KeyFromCaller {
			return r.conclude(Unknown, e.Result.Refusal)
		}
	}
	return r.retryNotRun(now, *e.Result.Refusal, r.hostEvidence(now))
}

// hostEvidence returns confirmed if a host's reply that a key did not run still
// holds. From its reply on the host bars the key for as long as an offer may be
// valid; a reply that was in flight for longer may have been overtaken by the run
// of a later submission.
func (r *Request) hostEvidence(now time.Time) evidence {
	if now.Sub(r.sentAt) > r.options.OfferTTL {
		return inferred
	}
	return confirmed
}

func (r *Request) concludeFromRecord(record *Record) []Action {
	r.stage = stageConcluded
	conclusion := Conclusion{Outcome: record.Outcome, Record: record, Attempts: r.attempts}
	if record.Outcome == 0 {
		conclusion.Outcome = Unknown
		conclusion.Refusal = &Refusal{Code: CodeKeyInProgress, Detail: "an earlier submission of this key is under way", RetryAfter: time.Second}
	}
	return []Action{Conclude{conclusion}}
}

// onOfferLost handles a missing verdict. The host may hold the reservation, but an
// offer starts nothing and this entry never opens the stream, so the attempt has
// not run. The cancel only releases the reservation before its lease expires.
func (r *Request) onOfferLost(now time.Time, e OfferLost) []Action {
	if r.stage != stageOffering || e.Attempt != r.attempt {
		return nil
	}
	cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
	cause := Refusal{Code: CodeConnectionLost, Detail: "the server did not answer the offer"}
	return append([]Action{cancel}, r.retryNotRun(now, cause, inferred)...)
}

// evidence is the source of the knowledge that an attempt did not run.
type evidence uint8

const (
	// inferred: this entry never sent the run message.
	inferred evidence = iota
	// confirmed: the host refused or cancelled it and keeps a tombstone.
	confirmed
)

// retryNotRun retries or concludes after an attempt that is known not to have run.
// A request with a key from the caller is concluded, because the key is tied to its
// home; inferred evidence says nothing about other submissions of the key.
func (r *Request) retryNotRun(now time.Time, cause Refusal, by evidence) []Action {
	r.lastCause = cause
	r.excluded = append(r.excluded, r.target.Server)
	switch {
	case r.options.KeyFromCaller && by == inferred:
		return r.conclude(Unknown, &cause)
	case r.options.KeyFromCaller:
		return r.conclude(NotRun, &cause)
	case r.stopping, r.attempts >= r.options.MaxAttempts, !now.Before(r.options.Deadline), refusedEverywhere(cause.Code):
		return r.conclude(NotRun, &cause)
	}
	r.stage = stagePicking
	return []Action{Pick{Exclude: r.excluded}}
}

// refusedEverywhere reports whether every server would refuse with this code.
func refusedEverywhere(code Code) bool {
	return code == CodeOverQuota || code == CodeKeyMismatch || code == CodeTooLong
}

func (r *Request) onFrame(now time.Time, frame Frame) []Action {
	if r.stage != stageStreaming || frame.Attempt != r.attempt {
		return nil
	}
	switch r.checker.Check(frame) {
	case FrameForeign, FrameDuplicate:
		return nil
	case FrameCorrupt:
		return r.cancel(now)
	}
	if !frame.Last {
		r.delivered = true
		return []Action{Deliver{frame}}
	}
	if frame.Outcome == Finished {
		return append([]Action{Deliver{frame}}, r.conclude(Finished, nil)...)
	}
	r.lastCause = Refusal{Code: frame.Code, Detail: frame.Detail, RetryAfter: frame.RetryAfter}
	if frame.Outcome == Unknown || (frame.Outcome == NotRun && r.options.KeyFromCaller) {
		// A frame may be outdated; the reply to a cancel is current. Also, a run
		// that may still be in progress has to be cancelled: it would hold an
		// engine's memory for an answer that nobody reads.
		return r.cancel(now)
	}
	return r.retryOrConclude(now, frame.Outcome, r.lastCause)
}

// onStreamBroken handles a stream that broke before its last frame.
func (r *Request) onStreamBroken(now time.Time, e StreamBroken) []Action {
	if r.stage != stageStreaming || e.Attempt != r.attempt {
		return nil
	}
	if !e.Sent && r.resumes == 0 {
		cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
		cause := Refusal{Code: CodeConnectionLost, Detail: "the server could not be reached"}
		return append([]Action{cancel}, r.retryNotRun(now, cause, inferred)...)
	}
	if r.resumes < r.options.MaxResumes {
		r.resumes++
		return []Action{OpenStream{Attempt: r.attempt, Target: r.target, From: r.checker.Next(), Resume: true}}
	}
	return r.cancel(now)
}

func (r *Request) cancel(now time.Time) []Action {
	r.stage = stageCancelling
	r.sentAt = now
	return []Action{SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}}
}

func (r *Request) onCancelled(now time.Time, attempt AttemptID, outcome Outcome) []Action {
	if r.stage != stageCancelling || attempt != r.attempt {
		return nil
	}
	if outcome == Finished {
		// The attempt completed, but this entry does not have its whole answer.
		outcome = Failed
	}
	cause := r.lastCause
	if cause.Code == "" {
		cause = Refusal{Code: CodeConnectionLost, Detail: "the connection to the server was lost"}
	}
	return r.retryOrConclude(now, outcome, cause)
}

// retryOrConclude retries or concludes after an attempt that ended with an outcome other
// than Finished.
//
// A request that may run only once is retried on NotRun alone. A retryable one is
// retried within the budget, unless a part of the answer was delivered: its tokens
// would be mixed with those of another run.
func (r *Request) retryOrConclude(now time.Time, outcome Outcome, cause Refusal) []Action {
	if outcome == NotRun {
		return r.retryNotRun(now, cause, r.hostEvidence(now))
	}
	mixed := r.delivered && !r.options.Buffered
	retry := r.options.Retryable && !r.stopping && !mixed && r.options.Key.None() &&
		r.attempts < r.options.MaxAttempts && now.Before(r.options.Deadline)
	r.priorOutcome = max(r.priorOutcome, outcome)
	if !retry || !r.options.TakeRetry(now) {
		return r.conclude(outcome, &cause)
	}
	r.lastCause = cause
	r.excluded = append(r.excluded, r.target.Server)
	r.stage = stagePicking
	return append(r.discard(), Pick{Exclude: r.excluded})
}

func (r *Request) discard() []Action {
	if !r.delivered {
		return nil
	}
	r.delivered = false
	return []Action{Discard{}}
}

// onEntryStopping ends the request because this entry stops. An attempt whose stream was opened is cancelled first,
// because its host knows whether it has run. The second call concludes without waiting.
func (r *Request) onEntryStopping(now time.Time, refusal Refusal) []Action {
	opened := r.stage == stageStreaming || r.stage == stageCancelling
	if !opened || r.stopping {
		return r.abort(refusal)
	}
	r.stopping = true
	r.lastCause = refusal
	if r.stage == stageCancelling {
		return nil
	}
	return r.cancel(now)
}

// abort concludes the request at once. The run is cancelled without waiting for
// the reply, so an outcome that is not known yet is Unknown.
func (r *Request) abort(refusal Refusal) []Action {
	switch r.stage {
	case stagePicking:
		return r.conclude(r.outcomeWithoutRun(), &refusal)
	case stageOffering:
		cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
		return append([]Action{cancel}, r.conclude(r.outcomeWithoutRun(), &refusal)...)
	case stageStreaming:
		cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
		return append([]Action{cancel}, r.conclude(Unknown, &refusal)...)
	}
	return r.conclude(Unknown, &refusal)
}

// conclude ends the request. If an earlier attempt ran, the request's outcome is
// not NotRun even if that of the last attempt is: the caller would otherwise
// conclude that the request had no effect although it had.
func (r *Request) conclude(outcome Outcome, refusal *Refusal) []Action {
	r.stage = stageConcluded
	if outcome == NotRun && r.priorOutcome != 0 {
		outcome = r.priorOutcome
	}
	return []Action{Conclude{Conclusion{Outcome: outcome, Refusal: refusal, Attempts: r.attempts}}}
}

// Streaming reports whether the request waits for frames.
func (r *Request) Streaming() bool { return r.stage == stageStreaming }

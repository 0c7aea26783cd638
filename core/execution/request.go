package execution

import (
	"time"
)

// RequestOptions describe one request at an entry.
type RequestOptions struct {
	ID         RequestID
	Retryable bool
	Key        Key
	// KeyFromCaller says that the caller may resend the request under the
	// same key, here or at another entry; such a request stays at its home.
	KeyFromCaller bool
	Deadline      time.Time
	// OfferTTL bounds how long an offer may be under way.
	OfferTTL time.Duration
	// MaxAttempts bounds the attempts of the request.
	MaxAttempts int
	// MaxResumes bounds how often a lost stream is opened again.
	MaxResumes int
	// Buffered says that the answer is gathered before any of it goes out, so
	// that a broken one can be dropped and begun anew.
	Buffered bool
	// NewAttempt draws a fresh attempt identifier.
	NewAttempt func() AttemptID
	// TakeRetry takes a token of the retry budget; false means none is left.
	TakeRetry func(now time.Time) bool
}

// Defaults of RequestOptions.
const (
	DefaultOfferTTL   = 3 * time.Second
	DefaultMaxAttempts = 4
	DefaultMaxResumes  = 2
)

// Target is the server that routing chose and the incarnation it is known by.
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

// Request is the entry's decision core for one request.
type Request struct {
	options   RequestOptions
	stage     stage
	attempt   AttemptID
	target    Target
	expires   time.Time
	excluded  []string
	attempts  int
	resumes   int
	check     *FrameChecker
	delivered bool
	lastCause Refusal
	asked     time.Time // when the offer or cancel under way was sent
	ran       Outcome   // the worst outcome of earlier attempts that did run
	ending    bool      // this entry ends, and nothing is tried again
}

// NewRequest returns a request that waits for Begun.
func NewRequest(options RequestOptions) *Request {
	if options.OfferTTL == 0 {
		options.OfferTTL = DefaultOfferTTL
	}
	if options.MaxAttempts == 0 {
		options.MaxAttempts = DefaultMaxAttempts
	}
	return &Request{options: options, stage: stagePicking}
}

// Concluded says whether the final answer has been given.
func (r *Request) Concluded() bool { return r.stage == stageConcluded }

// Target returns the server of the current attempt.
func (r *Request) Target() Target { return r.target }

// Step takes one event and returns what to do. After Conclude nothing more is
// returned, whatever arrives.
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
		return r.onStreamEnded(now, e)
	case CancelAnswered:
		return r.onCancelled(now, e.Attempt, e.Outcome)
	case CancelLost:
		return r.onCancelled(now, e.Attempt, Unknown)
	case DeadlinePassed:
		return r.giveUp(Refusal{Code: CodeDeadline, Detail: "the request's deadline has passed"})
	case EntryStopping:
		return r.end(now, e.Refusal)
	case CallerDisconnected:
		return r.giveUp(Refusal{Code: CodeCallerGone})
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
	r.check = NewFrameChecker(r.options.ID, r.attempt)
	r.asked = now
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
	return r.conclude(r.idleOutcome(), &refusal)
}

// idleOutcome is the outcome while no attempt of this request can have run and
// no host has vouched for more. A caller's key may have been sent through
// another entry before, and only its home knows of that.
func (r *Request) idleOutcome() Outcome {
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
		return r.recorded(e.Result.Record)
	case RefusedUnknown:
		if r.options.KeyFromCaller {
			return r.conclude(Unknown, e.Result.Refusal)
		}
	}
	return r.retryNotRun(now, *e.Result.Refusal, r.vouched(now))
}

// vouched says whether a host's word that a key did not run still holds. The
// host bars the key for as long as an offer may live, from the moment it gave
// its word; an answer that was under way for longer may have been overtaken by
// a run of a later submission.
func (r *Request) vouched(now time.Time) evidence {
	if now.Sub(r.asked) > r.options.OfferTTL {
		return deduced
	}
	return vouched
}

func (r *Request) recorded(record *Record) []Action {
	r.stage = stageConcluded
	conclusion := Conclusion{Outcome: record.Outcome, Record: record, Attempts: r.attempts}
	if record.Outcome == 0 {
		conclusion.Outcome = Unknown
		conclusion.Refusal = &Refusal{Code: CodeKeyInProgress, Detail: "an earlier submission of this key is under way", RetryAfter: time.Second}
	}
	return []Action{Conclude{conclusion}}
}

// onOfferLost handles a missing verdict. The host may hold the reservation, but
// an offer starts nothing and this entry never opens that stream, so the attempt
// has not run. The cancel only frees the place before its lease lapses.
func (r *Request) onOfferLost(now time.Time, e OfferLost) []Action {
	if r.stage != stageOffering || e.Attempt != r.attempt {
		return nil
	}
	cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
	cause := Refusal{Code: CodeConnectionLost, Detail: "the server did not answer the offer"}
	return append([]Action{cancel}, r.retryNotRun(now, cause, deduced)...)
}

// evidence is how it is known that an attempt did not run.
type evidence uint8

const (
	// deduced: this entry never sent the run message.
	deduced evidence = iota
	// vouched: the host refused or cancelled it and keeps a tombstone.
	vouched
)

// retryNotRun goes on after an attempt that is known not to have run. A key
// from the caller stays at its home, so it is answered instead; what is only
// deduced here says nothing of the key's other submissions.
func (r *Request) retryNotRun(now time.Time, cause Refusal, by evidence) []Action {
	r.lastCause = cause
	r.excluded = append(r.excluded, r.target.Server)
	switch {
	case r.options.KeyFromCaller && by == deduced:
		return r.conclude(Unknown, &cause)
	case r.options.KeyFromCaller:
		return r.conclude(NotRun, &cause)
	case r.ending, r.attempts >= r.options.MaxAttempts, !now.Before(r.options.Deadline), final(cause.Code):
		return r.conclude(NotRun, &cause)
	}
	r.stage = stagePicking
	return []Action{Pick{Exclude: r.excluded}}
}

// final says whether a refusal holds for every server alike.
func final(code Code) bool {
	return code == CodeOverQuota || code == CodeKeyMismatch || code == CodeTooLong
}

func (r *Request) onFrame(now time.Time, frame Frame) []Action {
	if r.stage != stageStreaming || frame.Attempt != r.attempt {
		return nil
	}
	switch r.check.Check(frame) {
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
		// A frame may be old; the answer to a cancel is fresh. And a run that
		// may go on must not be left behind: it would hold an engine's memory
		// for an answer that nobody reads.
		return r.cancel(now)
	}
	return r.settle(now, frame.Outcome, r.lastCause)
}

// onStreamEnded handles a stream that broke before its last frame.
func (r *Request) onStreamEnded(now time.Time, e StreamBroken) []Action {
	if r.stage != stageStreaming || e.Attempt != r.attempt {
		return nil
	}
	if !e.Sent && r.resumes == 0 {
		cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
		cause := Refusal{Code: CodeConnectionLost, Detail: "the server could not be reached"}
		return append([]Action{cancel}, r.retryNotRun(now, cause, deduced)...)
	}
	if r.resumes < r.options.MaxResumes {
		r.resumes++
		return []Action{OpenStream{Attempt: r.attempt, Target: r.target, From: r.check.Next(), Resume: true}}
	}
	return r.cancel(now)
}

func (r *Request) cancel(now time.Time) []Action {
	r.stage = stageCancelling
	r.asked = now
	return []Action{SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}}
}

func (r *Request) onCancelled(now time.Time, attempt AttemptID, outcome Outcome) []Action {
	if r.stage != stageCancelling || attempt != r.attempt {
		return nil
	}
	if outcome == Finished {
		// It ran to its end, but this entry does not have the whole answer.
		outcome = Failed
	}
	cause := r.lastCause
	if cause.Code == "" {
		cause = Refusal{Code: CodeConnectionLost, Detail: "the connection to the server was lost"}
	}
	return r.settle(now, outcome, cause)
}

// settle decides what follows an attempt's outcome other than Finished.
//
// A request that may run once only is retried on NotRun alone. A repeatable one
// is retried within the budget, unless a part of the answer has gone out: its
// tokens would be mixed with those of another run.
func (r *Request) settle(now time.Time, outcome Outcome, cause Refusal) []Action {
	if outcome == NotRun {
		return r.retryNotRun(now, cause, r.vouched(now))
	}
	mixed := r.delivered && !r.options.Buffered
	again := r.options.Retryable && !r.ending && !mixed && r.options.Key.None() &&
		r.attempts < r.options.MaxAttempts && now.Before(r.options.Deadline)
	r.ran = max(r.ran, outcome)
	if !again || !r.options.TakeRetry(now) {
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

// end ends the request because this entry ends. An attempt that was opened is cancelled first: its host
// knows whether it has run. The second time nothing is waited for.
func (r *Request) end(now time.Time, refusal Refusal) []Action {
	opened := r.stage == stageStreaming || r.stage == stageCancelling
	if !opened || r.ending {
		return r.giveUp(refusal)
	}
	r.ending = true
	r.lastCause = refusal
	if r.stage == stageCancelling {
		return nil
	}
	return r.cancel(now)
}

// giveUp ends the request at once. The run is cancelled, but nobody waits for
// that: what is not known at this moment is Unknown.
func (r *Request) giveUp(refusal Refusal) []Action {
	switch r.stage {
	case stagePicking:
		return r.conclude(r.idleOutcome(), &refusal)
	case stageOffering:
		cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
		return append([]Action{cancel}, r.conclude(r.idleOutcome(), &refusal)...)
	case stageStreaming:
		cancel := SendCancel{Attempt: r.attempt, Target: r.target, Expires: r.expires}
		return append([]Action{cancel}, r.conclude(Unknown, &refusal)...)
	}
	return r.conclude(Unknown, &refusal)
}

// conclude gives the final answer. NotRun of the last attempt is not NotRun of
// the request if an earlier attempt did run: the caller would be told of a
// request that had no effect although it had.
func (r *Request) conclude(outcome Outcome, refusal *Refusal) []Action {
	r.stage = stageConcluded
	if outcome == NotRun && r.ran != 0 {
		outcome = r.ran
	}
	return []Action{Conclude{Conclusion{Outcome: outcome, Refusal: refusal, Attempts: r.attempts}}}
}

// Streaming says that the request waits for frames.
func (r *Request) Streaming() bool { return r.stage == stageStreaming }

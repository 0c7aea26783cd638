package execution

import (
	"time"
)

// Phase is how far an attempt has come at its host.
type Phase uint8

const (
	// Reserved: a place is reserved, nothing runs.
	Reserved Phase = iota + 1
	// Queued: the stream is open, the attempt waits for dispatch.
	Queued
	// Running: the engine or service has been asked.
	Running
	// Done: the outcome is known.
	Done
	// Tombstoned: it did not run and never will.
	Tombstoned
)

// LedgerOptions are the bounds of a Ledger.
type LedgerOptions struct {
	Server      string
	Incarnation Incarnation
	// StartedAt is when this daemon's ledger began; older keys are not run.
	StartedAt time.Time
	// Retention is how long records and tombstones are kept. It must exceed
	// the longest life of an offer.
	Retention time.Duration
	// MaxClockSkew bounds the difference between the clocks of key makers
	// and this host.
	MaxClockSkew time.Duration
	// OfferLease is how long an accepted offer waits for its stream.
	OfferLease time.Duration
	// OfferTTL is the longest life of an offer that is accepted.
	OfferTTL time.Duration
	// StreamLease is how long an attempt goes on without a connected stream.
	StreamLease time.Duration
	// MaxKeys bounds the number of ledger records.
	MaxKeys int
	// MaxAnswerBytes is the longest answer that is kept for resends, in bytes.
	MaxAnswerBytes int
}

// DefaultLedgerOptions returns the bounds used when the settings name none.
func DefaultLedgerOptions() LedgerOptions {
	return LedgerOptions{
		Retention:      10 * time.Minute,
		MaxClockSkew: 2 * time.Second,
		OfferLease:     5 * time.Second,
		OfferTTL:      DefaultOfferTTL,
		StreamLease:    5 * time.Second,
		MaxKeys:        100_000,
		MaxAnswerBytes:      16 << 10,
	}
}

// Offer asks a host to reserve a place for an attempt.
type Offer struct {
	Attempt   AttemptID
	Request   RequestID
	Target    Incarnation
	Workspace string
	Service   string
	Key       Key
	// Expires ends the life of the message: a later copy is refused.
	Expires time.Time
}

// Verdict is the host's answer to an offer.
type Verdict uint8

const (
	// Accepted: the place is reserved.
	Accepted Verdict = iota + 1
	// Refused: not run, with a tombstone as evidence.
	Refused
	// RefusedUnknown: this attempt did not run, but an earlier submission of
	// the same key may have.
	RefusedUnknown
	// Recorded: the key has run; the record says how it ended.
	Recorded
)

// OfferResult is the verdict with its reason or record.
type OfferResult struct {
	Verdict Verdict
	Refusal *Refusal
	Record  *Record
}

type attempt struct {
	phase    Phase
	key      string
	outcome  Outcome
	forgetAt time.Time
	// lease ends an offer without a stream, or a run whose stream was lost;
	// zero while a stream is connected.
	lease    time.Time
	stopping bool
	// unsure marks a tombstone whose key may have run in another attempt.
	unsure bool
}

// Ledger decides, for one host daemon, which attempts run. It is the single
// writer for them: whatever it has not let start has not run.
type Ledger struct {
	options  LedgerOptions
	draining bool
	attempts map[AttemptID]*attempt
	// open holds the attempts that have not ended, the only ones whose leases
	// can run out.
	open    map[AttemptID]*attempt
	sweepAt time.Time
	records map[string]*Record
	// barriers hold, for keys that were refused as not run, until when no
	// offer of the key is accepted.
	barriers map[string]time.Time
	homes    HomeChecker
}

// HomeChecker says whether this server may run a key made by a caller.
type HomeChecker interface {
	// Check returns nil if it may, and the refusal otherwise. made is the
	// key's time, allowance the bound on clock differences.
	Check(service, key string, made time.Time, allowance time.Duration) *Refusal
}

// NewLedger returns an empty ledger. homes may be nil where no caller-made
// keys are taken.
func NewLedger(options LedgerOptions, homes HomeChecker) *Ledger {
	return &Ledger{options: options, homes: homes, attempts: map[AttemptID]*attempt{}, open: map[AttemptID]*attempt{},
		records: map[string]*Record{}, barriers: map[string]time.Time{}}
}

// Drain makes the ledger refuse all offers from now on. It is never undone.
func (l *Ledger) Drain() { l.draining = true }

// Draining says whether Drain was called.
func (l *Ledger) Draining() bool { return l.draining }

// Keys returns the number of records held.
func (l *Ledger) Keys() int { return len(l.records) }

// Attempts returns the number of attempts and tombstones held.
func (l *Ledger) Attempts() int { return len(l.attempts) }

// Open returns the number of attempts that have not ended.
func (l *Ledger) Open() int { return len(l.open) }

// Offer decides on an offer. Capacity is the caller's admission check; it runs
// only if the ledger itself would accept, and a refusal by it is tombstoned
// like any other.
func (l *Ledger) Offer(now time.Time, offer Offer, capacity func() *Refusal) OfferResult {
	record, ran := l.records[l.recordKey(offer)]
	if ran && !offer.Key.None() && record.Attempt != offer.Attempt {
		return l.resend(now, offer, record)
	}
	if known, ok := l.attempts[offer.Attempt]; ok {
		return l.repeated(known)
	}
	if refusal := l.refuse(now, offer); refusal != nil {
		return l.tombstone(now, offer, refusal)
	}
	if refusal := l.refuseKey(now, offer); refusal != nil {
		return l.tombstone(now, offer, refusal)
	}
	if refusal := capacity(); refusal != nil {
		return l.tombstone(now, offer, refusal)
	}
	a := &attempt{phase: Reserved, key: l.recordKey(offer), lease: now.Add(l.options.OfferLease)}
	l.attempts[offer.Attempt], l.open[offer.Attempt] = a, a
	if !offer.Key.None() {
		l.records[l.recordKey(offer)] = &Record{Attempt: offer.Attempt, Fingerprint: offer.Key.Fingerprint, created: now}
	}
	return OfferResult{Verdict: Accepted}
}

// repeated answers a second copy of an offer no better than the first: a copy
// that was told notRun although the first was told unknown would be believed.
func (l *Ledger) repeated(known *attempt) OfferResult {
	switch {
	case known.phase == Tombstoned && !known.unsure:
		return OfferResult{Verdict: Refused, Refusal: &Refusal{Code: CodeTombstone}}
	case known.phase >= Done:
		return OfferResult{Verdict: RefusedUnknown, Refusal: &Refusal{Code: CodeTombstone}}
	}
	return OfferResult{Verdict: Accepted}
}

func (l *Ledger) refuse(now time.Time, offer Offer) *Refusal {
	switch {
	case !now.Before(offer.Expires):
		return &Refusal{Code: CodeExpired, Detail: "the offer arrived after its expiry"}
	case offer.Expires.Sub(now) > l.options.OfferTTL+l.options.MaxClockSkew:
		return &Refusal{Code: CodeExpired, Detail: "the offer's expiry is too far ahead: a clock is off"}
	case offer.Target != l.options.Incarnation:
		return &Refusal{Code: CodeWrongIncarnation, Detail: "the daemon has restarted"}
	case l.draining:
		return &Refusal{Code: CodeDraining, Detail: "the server is leaving"}
	}
	return nil
}

// tombstone writes the evidence that the attempt will never run: a delayed
// copy of its offer would otherwise be accepted after the caller has been told
// notRun. It outlives the message because retention exceeds an offer's life.
func (l *Ledger) tombstone(now time.Time, offer Offer, refusal *Refusal) OfferResult {
	a := &attempt{phase: Tombstoned, key: l.recordKey(offer), outcome: NotRun, forgetAt: now.Add(l.options.Retention)}
	l.attempts[offer.Attempt] = a
	if offer.Key.None() {
		return OfferResult{Verdict: Refused, Refusal: refusal}
	}
	if unknownForKey(refusal.Code, offer.Key) {
		a.unsure = true
		return OfferResult{Verdict: RefusedUnknown, Refusal: refusal}
	}
	l.raiseBarrier(now, l.recordKey(offer))
	refusal.RetryAfter = max(refusal.RetryAfter, l.barrierTime())
	return OfferResult{Verdict: Refused, Refusal: refusal}
}

// OpenStream moves an offered attempt into the queue. The outcome that goes with
// a refusal is NotRun only if a tombstone is left behind. A second copy of the
// message finds the attempt under way, and one that reaches a restarted daemon
// may have been run by the daemon before it: saying NotRun there would be false.
func (l *Ledger) OpenStream(now time.Time, id AttemptID, target Incarnation) (Outcome, *Refusal) {
	if target != l.options.Incarnation {
		return Unknown, &Refusal{Code: CodeWrongIncarnation, Detail: "the daemon has restarted"}
	}
	a, ok := l.attempts[id]
	if !ok {
		a = &attempt{phase: Tombstoned, outcome: NotRun, forgetAt: now.Add(l.options.Retention)}
		l.attempts[id] = a
	}
	switch a.phase {
	case Reserved:
		a.phase = Queued
		a.lease = time.Time{}
		return 0, nil
	case Tombstoned:
		return NotRun, &Refusal{Code: CodeTombstone, Detail: "no such offer is held here"}
	}
	return Unknown, &Refusal{Code: CodeAlreadyOpen, Detail: "the attempt's stream was opened before"}
}

// Start marks the point of no return: from here on the attempt may have run.
// It reports false if the attempt was cancelled in the meantime.
func (l *Ledger) Start(id AttemptID) bool {
	a, ok := l.attempts[id]
	if !ok || a.phase != Queued {
		return false
	}
	a.phase = Running
	if record := l.records[a.key]; record != nil && record.Attempt == id {
		record.Started = true
	}
	return true
}

// Finish ends a running attempt. NotRun is for an adapter that has evidence that
// nothing ran: its engine was never reached, or refused.
func (l *Ledger) Finish(now time.Time, id AttemptID, outcome Outcome, answer Answer) {
	a, ok := l.attempts[id]
	if !ok || a.phase != Running {
		return
	}
	if outcome == NotRun {
		l.bury(now, id, a)
		return
	}
	a.phase, a.outcome, a.forgetAt = Done, outcome, now.Add(l.options.Retention)
	delete(l.open, id)
	record := l.records[a.key]
	if record == nil || record.Attempt != id {
		return
	}
	record.Outcome = outcome
	if len(answer.Body) <= l.options.MaxAnswerBytes {
		record.Answer = answer
		record.Answer.Kept = outcome == Finished
	}
}

// CancelResult says what a cancel found.
type CancelResult struct {
	Outcome Outcome
	// StopRun asks the adapter to stop the run that is under way.
	StopRun bool
}

// CancelRequest asks to end an attempt. The key's parts are those of its offer.
type CancelRequest struct {
	Attempt AttemptID
	Target  Incarnation
	// OfferExpires is the expiry of the attempt's offer: past its retention
	// this ledger may have forgotten the attempt.
	OfferExpires time.Time
	Workspace    string
	Service      string
	Key          Key
}

// Cancel ends an attempt. NotRun is returned only together with a tombstone and,
// for a key, with a barrier.
func (l *Ledger) Cancel(now time.Time, request CancelRequest) CancelResult {
	if request.Target != l.options.Incarnation || now.Sub(request.OfferExpires) > l.options.Retention {
		return CancelResult{Outcome: Unknown}
	}
	a, ok := l.attempts[request.Attempt]
	if !ok {
		key := l.recordKey(Offer{Workspace: request.Workspace, Service: request.Service, Key: request.Key})
		a = &attempt{phase: Tombstoned, key: key, outcome: NotRun, forgetAt: now.Add(l.options.Retention)}
		l.attempts[request.Attempt] = a
	}
	switch a.phase {
	case Reserved, Queued:
		l.bury(now, request.Attempt, a)
		return CancelResult{Outcome: NotRun}
	case Running:
		a.stopping = true
		return CancelResult{Outcome: Unknown, StopRun: true}
	case Tombstoned:
		return CancelResult{Outcome: l.vouch(now, a)}
	}
	return CancelResult{Outcome: a.outcome}
}

// vouch returns NotRun for a tombstone, unless its key may have run in another
// attempt. The barrier is raised anew, because the caller believes the answer
// from now on.
func (l *Ledger) vouch(now time.Time, a *attempt) Outcome {
	if a.unsure || l.records[a.key] != nil {
		return Unknown
	}
	if a.key != "" {
		l.raiseBarrier(now, a.key)
	}
	return NotRun
}

// bury turns an attempt that has not started into a tombstone and frees its key.
func (l *Ledger) bury(now time.Time, id AttemptID, a *attempt) {
	if record := l.records[a.key]; record != nil && record.Attempt == id {
		delete(l.records, a.key)
		l.raiseBarrier(now, a.key)
	}
	a.phase, a.outcome, a.forgetAt = Tombstoned, NotRun, now.Add(l.options.Retention)
	delete(l.open, id)
}

// Phase returns the phase of an attempt, or zero if it is not known.
func (l *Ledger) Phase(id AttemptID) Phase {
	if a, ok := l.attempts[id]; ok {
		return a.phase
	}
	return 0
}

// StartedAt returns when this ledger began.
func (l *Ledger) StartedAt() time.Time { return l.options.StartedAt }

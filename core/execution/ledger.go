package execution

import (
	"time"
)

// Phase is the progress of an attempt at its host.
type Phase uint8

const (
	// Reserved: capacity is reserved, nothing runs.
	Reserved Phase = iota + 1
	// Queued: the stream is open, the attempt waits for dispatch.
	Queued
	// Running: the attempt was handed to the engine or service.
	Running
	// Done: the outcome is known.
	Done
	// Tombstoned: the attempt did not run and never will.
	Tombstoned
)

// LedgerOptions bounds the memory and the lease times of a Ledger.
type LedgerOptions struct {
	Server      string
	Incarnation Incarnation
	// StartedAt is the creation time of this daemon's ledger; older keys are not run.
	StartedAt time.Time
	// Retention bounds how long records and tombstones are kept. It must exceed
	// OfferTTL.
	Retention time.Duration
	// MaxClockSkew bounds the difference between this host's clock and the
	// clocks of those who create keys.
	MaxClockSkew time.Duration
	// OfferLease bounds the time that an accepted offer waits for its stream.
	OfferLease time.Duration
	// OfferTTL bounds the remaining validity of an offer that is accepted.
	OfferTTL time.Duration
	// StreamLease bounds the time that an attempt continues without a connected stream.
	StreamLease time.Duration
	// MaxKeys bounds the number of records.
	MaxKeys int
	// MaxAnswerBytes bounds the size of an answer that is kept for resends, MaxKeptBytes that of all of them together; 0
	// stands for no limit of these.
	MaxAnswerBytes int
	MaxKeptBytes   int64
}

// DefaultLedgerOptions returns the options used where the settings give none.
func DefaultLedgerOptions() LedgerOptions {
	return LedgerOptions{
		Retention:      10 * time.Minute,
		MaxClockSkew:   2 * time.Second,
		OfferLease:     5 * time.Second,
		OfferTTL:       DefaultOfferTTL,
		StreamLease:    5 * time.Second,
		MaxKeys:        100_000,
		MaxAnswerBytes: 16 << 10,
	}
}

// Offer asks a host to reserve capacity for an attempt.
type Offer struct {
	Attempt   AttemptID
	Request   RequestID
	Target    Incarnation
	Workspace string
	Service   string
	Key       Key
	// Expires is the end of the message's validity: a later copy is refused.
	Expires time.Time
}

// Verdict is the host's reply to an offer.
type Verdict uint8

const (
	// Accepted: the capacity is reserved.
	Accepted Verdict = iota + 1
	// Refused: the attempt did not run; a tombstone is kept as evidence.
	Refused
	// RefusedUnknown: this attempt did not run, but an earlier submission of
	// the same key may have.
	RefusedUnknown
	// Recorded: the key has run; the record holds its outcome.
	Recorded
)

// OfferResult is a verdict with the refusal or record that explains it.
type OfferResult struct {
	Verdict Verdict
	Refusal *Refusal
	Record  *Record
}

type attempt struct {
	phase     Phase
	key       string
	outcome   Outcome
	expiresAt time.Time
	// lease is the time at which an offer without a stream, or a run whose
	// stream was lost, is ended; zero while a stream is connected.
	lease    time.Time
	stopping bool
	// keyMayHaveRun marks a tombstone whose key may have run in another attempt.
	keyMayHaveRun bool
}

// Ledger decides, for one host daemon, which attempts run. An attempt runs only
// after Start has admitted it, so any other attempt has not run.
type Ledger struct {
	options  LedgerOptions
	draining bool
	attempts map[AttemptID]*attempt
	// open holds the attempts that have not ended; only their leases can expire.
	open    map[AttemptID]*attempt
	sweepAt time.Time
	records map[string]*Record
	// keptBytes is the size of the answers in records.
	keptBytes int64
	// barriers maps a key that was refused as not run to the time until which
	// no offer with this key is accepted.
	barriers map[string]time.Time
	homes    HomeChecker
}

// HomeChecker decides whether this server is the home of a key created by a caller.
type HomeChecker interface {
	// Check returns nil if this server may run the key, and a refusal otherwise.
	// createdAt is the key's creation time, skew the bound on clock differences.
	Check(service, key string, createdAt time.Time, skew time.Duration) *Refusal
}

// NewLedger returns an empty ledger. With nil homes it refuses all keys created
// by callers.
func NewLedger(options LedgerOptions, homes HomeChecker) *Ledger {
	return &Ledger{options: options, homes: homes, attempts: map[AttemptID]*attempt{}, open: map[AttemptID]*attempt{},
		records: map[string]*Record{}, barriers: map[string]time.Time{}}
}

// Drain makes the ledger refuse all further offers. It can't be undone.
func (l *Ledger) Drain() { l.draining = true }

// Draining reports whether Drain was called.
func (l *Ledger) Draining() bool { return l.draining }

// Keys returns the number of records held.
func (l *Ledger) Keys() int { return len(l.records) }

// Attempts returns the number of attempts and tombstones held.
func (l *Ledger) Attempts() int { return len(l.attempts) }

// Open returns the number of attempts that have not ended.
func (l *Ledger) Open() int { return len(l.open) }

// Offer accepts or refuses an offer. capacity is the caller's admission check; it
// is called only if the ledger itself would accept, and a refusal by it leaves a
// tombstone like any other.
func (l *Ledger) Offer(now time.Time, offer Offer, capacity func() *Refusal) OfferResult {
	record, ran := l.records[l.recordKey(offer)]
	if ran && !offer.Key.None() && record.Attempt != offer.Attempt {
		return l.replyToResend(now, offer, record)
	}
	if known, ok := l.attempts[offer.Attempt]; ok {
		return l.replyToDuplicate(known)
	}
	if refusal := l.checkOffer(now, offer); refusal != nil {
		return l.tombstone(now, offer, refusal)
	}
	if refusal := l.checkKey(now, offer); refusal != nil {
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

// replyToDuplicate replies to a further copy of an offer. The reply never claims
// more than the first one did: otherwise the sender would rely on NotRun although
// the reply to the first copy was RefusedUnknown.
func (l *Ledger) replyToDuplicate(known *attempt) OfferResult {
	switch {
	case known.phase == Tombstoned && !known.keyMayHaveRun:
		return OfferResult{Verdict: Refused, Refusal: &Refusal{Code: CodeTombstone}}
	case known.phase >= Done:
		return OfferResult{Verdict: RefusedUnknown, Refusal: &Refusal{Code: CodeTombstone}}
	}
	return OfferResult{Verdict: Accepted}
}

func (l *Ledger) checkOffer(now time.Time, offer Offer) *Refusal {
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

// tombstone refuses an offer and records that the attempt never runs. Otherwise a
// delayed copy of the offer could be accepted after NotRun was reported to the
// caller. The tombstone outlives the message because Retention exceeds OfferTTL.
func (l *Ledger) tombstone(now time.Time, offer Offer, refusal *Refusal) OfferResult {
	a := &attempt{phase: Tombstoned, key: l.recordKey(offer), outcome: NotRun, expiresAt: now.Add(l.options.Retention)}
	l.attempts[offer.Attempt] = a
	if offer.Key.None() {
		return OfferResult{Verdict: Refused, Refusal: refusal}
	}
	if unknownForKey(refusal.Code, offer.Key) {
		a.keyMayHaveRun = true
		return OfferResult{Verdict: RefusedUnknown, Refusal: refusal}
	}
	l.setBarrier(now, l.recordKey(offer))
	refusal.RetryAfter = max(refusal.RetryAfter, l.barrierDuration())
	return OfferResult{Verdict: Refused, Refusal: refusal}
}

// OpenStream moves a reserved attempt into the queue. A refusal comes with the
// outcome NotRun only if a tombstone is kept. In two cases the outcome is Unknown:
// a duplicate of the message finds the attempt in progress, and a message that
// reaches a restarted daemon may have been run by the previous incarnation.
func (l *Ledger) OpenStream(now time.Time, id AttemptID, target Incarnation) (Outcome, *Refusal) {
	if target != l.options.Incarnation {
		return Unknown, &Refusal{Code: CodeWrongIncarnation, Detail: "the daemon has restarted"}
	}
	a, ok := l.attempts[id]
	if !ok {
		a = &attempt{phase: Tombstoned, outcome: NotRun, expiresAt: now.Add(l.options.Retention)}
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

// Start admits a queued attempt to its engine; from then on it may have run. It
// reports false if the attempt was cancelled in the meantime.
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

// Finish ends a running attempt. The outcome NotRun requires evidence that
// nothing ran: the engine was never reached, or it refused the attempt.
func (l *Ledger) Finish(now time.Time, id AttemptID, outcome Outcome, answer Answer) {
	a, ok := l.attempts[id]
	if !ok || a.phase != Running {
		return
	}
	if outcome == NotRun {
		l.cancelUnstarted(now, id, a)
		return
	}
	a.phase, a.outcome, a.expiresAt = Done, outcome, now.Add(l.options.Retention)
	delete(l.open, id)
	record := l.records[a.key]
	if record == nil || record.Attempt != id {
		return
	}
	record.Outcome = outcome
	size := int64(len(answer.Body))
	if size <= int64(l.options.MaxAnswerBytes) && (l.options.MaxKeptBytes == 0 || l.keptBytes+size <= l.options.MaxKeptBytes) {
		record.Answer = answer
		record.Answer.Kept = outcome == Finished
		l.keptBytes += size
	}
}

// CancelResult is the result of Ledger.Cancel.
type CancelResult struct {
	Outcome Outcome
	// StopRun asks the adapter to stop the run in progress.
	StopRun bool
}

// CancelRequest asks to end an attempt. Workspace, Service and Key are those of its offer.
type CancelRequest struct {
	Attempt AttemptID
	Target  Incarnation
	// OfferExpires is the expiry of the attempt's offer. More than Retention
	// after it the ledger may have forgotten the attempt.
	OfferExpires time.Time
	Workspace    string
	Service      string
	Key          Key
}

// Cancel ends an attempt. It returns NotRun only if it leaves a tombstone and, for
// a key, a barrier.
func (l *Ledger) Cancel(now time.Time, request CancelRequest) CancelResult {
	if request.Target != l.options.Incarnation || now.Sub(request.OfferExpires) > l.options.Retention {
		return CancelResult{Outcome: Unknown}
	}
	a, ok := l.attempts[request.Attempt]
	if !ok {
		key := l.recordKey(Offer{Workspace: request.Workspace, Service: request.Service, Key: request.Key})
		a = &attempt{phase: Tombstoned, key: key, outcome: NotRun, expiresAt: now.Add(l.options.Retention)}
		l.attempts[request.Attempt] = a
	}
	switch a.phase {
	case Reserved, Queued:
		l.cancelUnstarted(now, request.Attempt, a)
		return CancelResult{Outcome: NotRun}
	case Running:
		a.stopping = true
		return CancelResult{Outcome: Unknown, StopRun: true}
	case Tombstoned:
		return CancelResult{Outcome: l.confirmNotRun(now, a)}
	}
	return CancelResult{Outcome: a.outcome}
}

// confirmNotRun returns NotRun for a tombstone, or Unknown if its key may have run
// in another attempt. It renews the key's barrier, because the caller relies on
// the reply from now on.
func (l *Ledger) confirmNotRun(now time.Time, a *attempt) Outcome {
	if a.keyMayHaveRun || l.records[a.key] != nil {
		return Unknown
	}
	if a.key != "" {
		l.setBarrier(now, a.key)
	}
	return NotRun
}

// cancelUnstarted replaces an attempt that has not started by a tombstone and releases its key.
func (l *Ledger) cancelUnstarted(now time.Time, id AttemptID, a *attempt) {
	if record := l.records[a.key]; record != nil && record.Attempt == id {
		delete(l.records, a.key)
		l.setBarrier(now, a.key)
	}
	a.phase, a.outcome, a.expiresAt = Tombstoned, NotRun, now.Add(l.options.Retention)
	delete(l.open, id)
}

// Phase returns the phase of an attempt, or zero if it is not known.
func (l *Ledger) Phase(id AttemptID) Phase {
	if a, ok := l.attempts[id]; ok {
		return a.phase
	}
	return 0
}

// StartedAt returns the creation time of this ledger.
func (l *Ledger) StartedAt() time.Time { return l.options.StartedAt }

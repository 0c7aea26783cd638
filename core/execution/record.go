package execution

import (
	"time"
)

// Record holds the run of one key and, once it has ended, its outcome and answer.
type Record struct {
	Attempt     AttemptID
	Fingerprint uint64
	Started     bool
	Outcome     Outcome
	Answer      Answer
	created     time.Time
}

// Answer is the answer of a finished attempt, kept for resends.
type Answer struct {
	// Kept is false if the answer exceeded MaxAnswerBytes, or all together MaxKeptBytes.
	Kept        bool
	ContentType string
	Status      int
	Body        []byte
}

// setBarrier bars a key from running for as long as an offer that was sent before
// now may still be in flight. Otherwise an earlier, delayed submission of the key
// could run after NotRun was reported to the caller for a resend. An offer is valid
// for at most OfferTTL and clocks differ by at most MaxClockSkew, so their sum
// suffices.
func (l *Ledger) setBarrier(now time.Time, key string) {
	l.barriers[key] = now.Add(l.barrierDuration())
}

func (l *Ledger) barrierDuration() time.Duration { return l.options.OfferTTL + l.options.MaxClockSkew }

// unknownForKey reports whether, despite a refusal, an earlier submission of the
// key may have run. A restarted daemon has lost its ledger, so a key that was sent
// to the previous incarnation may have run there.
func unknownForKey(code Code, key Key) bool {
	switch code {
	case CodeWrongIncarnation, CodeKeyTooOld, CodeKeyNotHome, CodeKeyHomeLost, CodeExpired:
		return true
	case CodeDraining:
		return !key.Issued
	}
	return false
}

func (l *Ledger) recordKey(offer Offer) string {
	if offer.Key.None() {
		return ""
	}
	return offer.Workspace + "\x00" + offer.Service + "\x00" + offer.Key.ID
}

// replyToResend replies to an offer whose key is already in the ledger.
func (l *Ledger) replyToResend(now time.Time, offer Offer, record *Record) OfferResult {
	if record.Fingerprint != offer.Key.Fingerprint {
		return l.refuseMismatch(now, offer)
	}
	l.attempts[offer.Attempt] = &attempt{phase: Tombstoned, outcome: NotRun, keyMayHaveRun: true, expiresAt: now.Add(l.options.Retention)}
	copied := *record
	return OfferResult{Verdict: Recorded, Record: &copied}
}

// refuseMismatch refuses an offer whose key was used with another body. The refused
// body has not run, whatever became of the recorded one, so the outcome is NotRun
// and no barrier is set.
func (l *Ledger) refuseMismatch(now time.Time, offer Offer) OfferResult {
	l.attempts[offer.Attempt] = &attempt{phase: Tombstoned, outcome: NotRun, expiresAt: now.Add(l.options.Retention)}
	return OfferResult{Verdict: Refused, Refusal: &Refusal{Code: CodeKeyMismatch, Detail: "the key was used with another body"}}
}

// checkKey accepts or refuses a key of which the ledger has no record.
//
// A key created before the ledger may have run under the previous incarnation, and
// the record of one older than Retention may have been dropped; running either
// could run it twice. Refusing both as unknown suffices, because a record is kept
// for the whole retention and its key can't be younger than the record.
func (l *Ledger) checkKey(now time.Time, offer Offer) *Refusal {
	if offer.Key.None() {
		return nil
	}
	if until, ok := l.barriers[l.recordKey(offer)]; ok && now.Before(until) {
		return &Refusal{Code: CodeKeyBarred, Detail: "the key was refused a moment ago", RetryAfter: until.Sub(now)}
	}
	if len(l.records) >= l.options.MaxKeys {
		return &Refusal{Code: CodeLedgerFull, Detail: "too many keys in use", RetryAfter: time.Second}
	}
	createdAt := offer.Key.CreatedAt
	skew := l.options.MaxClockSkew
	if now.Sub(createdAt) > l.options.Retention-skew {
		return &Refusal{Code: CodeKeyTooOld, Detail: "the key is older than the ledger keeps records"}
	}
	if offer.Key.Issued {
		return nil
	}
	if createdAt.Sub(now) > skew {
		return &Refusal{Code: CodeKeyFromFuture, Detail: "the key's time is ahead of this host's clock", RetryAfter: createdAt.Sub(now)}
	}
	if createdAt.Before(l.options.StartedAt.Add(skew)) {
		return &Refusal{Code: CodeKeyHomeLost, Detail: "the key was made before this home's ledger began"}
	}
	if l.homes == nil {
		return &Refusal{Code: CodeKeyNotHome, Detail: "this server is no home of keys made by callers"}
	}
	return l.homes.Check(offer.Service, offer.Key.ID, createdAt, skew)
}

func (l *Ledger) expireKeys(now time.Time) {
	for key, record := range l.records {
		if record.Outcome != 0 && now.Sub(record.created) > l.options.Retention {
			l.keptBytes -= int64(len(record.Answer.Body))
			delete(l.records, key)
		}
	}
	for key, until := range l.barriers {
		if !now.Before(until) {
			delete(l.barriers, key)
		}
	}
}

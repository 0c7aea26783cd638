package execution

import (
	"time"
)

// Record is what the ledger keeps of a key.
type Record struct {
	Attempt     AttemptID
	Fingerprint uint64
	Started     bool
	Outcome     Outcome
	Answer      Answer
	created     time.Time
}

// Answer is a kept answer of a finished attempt.
type Answer struct {
	// Kept is false when the answer was too long to keep.
	Kept        bool
	ContentType string
	Status      int
	Body        []byte
}

// raiseBarrier keeps a key from running for as long as an offer that was sent
// before now may still be under way. Otherwise a caller who was told notRun for
// a resend could see an earlier, delayed submission of the same key run after
// all. An offer lives OfferLife at most and clocks differ by the allowance at
// most, so the sum is enough.
func (l *Ledger) raiseBarrier(now time.Time, key string) { l.barriers[key] = now.Add(l.barrierTime()) }

func (l *Ledger) barrierTime() time.Duration { return l.options.OfferTTL + l.options.MaxClockSkew }

// unknownForKey says whether a refusal leaves open what an earlier submission
// of the key did. A restarted daemon has lost its ledger, so a key that was sent
// to the former incarnation may have run there.
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

// resend answers an offer whose key is already in the ledger.
func (l *Ledger) resend(now time.Time, offer Offer, record *Record) OfferResult {
	if record.Fingerprint != offer.Key.Fingerprint {
		return l.mismatch(now, offer)
	}
	l.attempts[offer.Attempt] = &attempt{phase: Tombstoned, outcome: NotRun, unsure: true, forgetAt: now.Add(l.options.Retention)}
	copied := *record
	return OfferResult{Verdict: Recorded, Record: &copied}
}

// mismatch refuses a key that stands for another body. That body's run is none
// of this caller's business, so the refusal is notRun and bars nothing.
func (l *Ledger) mismatch(now time.Time, offer Offer) OfferResult {
	l.attempts[offer.Attempt] = &attempt{phase: Tombstoned, outcome: NotRun, forgetAt: now.Add(l.options.Retention)}
	return OfferResult{Verdict: Refused, Refusal: &Refusal{Code: CodeKeyMismatch, Detail: "the key was used with another body"}}
}

// refuseKey holds the rules for a key that the ledger has no record of.
//
// A key from before the ledger began may have run under the former daemon, and
// one older than the retention may have been forgotten; running either could
// run it twice. Refusing both as unknown is enough, because a record is kept
// for the whole retention and its key can't be younger than the record.
func (l *Ledger) refuseKey(now time.Time, offer Offer) *Refusal {
	if offer.Key.None() {
		return nil
	}
	if until, ok := l.barriers[l.recordKey(offer)]; ok && now.Before(until) {
		return &Refusal{Code: CodeKeyBarred, Detail: "the key was refused a moment ago", RetryAfter: until.Sub(now)}
	}
	if len(l.records) >= l.options.MaxKeys {
		return &Refusal{Code: CodeLedgerFull, Detail: "too many keys in use", RetryAfter: time.Second}
	}
	made := offer.Key.CreatedAt
	allowance := l.options.MaxClockSkew
	if now.Sub(made) > l.options.Retention-allowance {
		return &Refusal{Code: CodeKeyTooOld, Detail: "the key is older than the ledger keeps records"}
	}
	if offer.Key.Issued {
		return nil
	}
	if made.Sub(now) > allowance {
		return &Refusal{Code: CodeKeyFromFuture, Detail: "the key's time is ahead of this host's clock", RetryAfter: made.Sub(now)}
	}
	if made.Before(l.options.StartedAt.Add(allowance)) {
		return &Refusal{Code: CodeKeyHomeLost, Detail: "the key was made before this home's ledger began"}
	}
	if l.homes == nil {
		return &Refusal{Code: CodeKeyNotHome, Detail: "this server is no home of keys made by callers"}
	}
	return l.homes.Check(offer.Service, offer.Key.ID, made, allowance)
}

func (l *Ledger) forgetKeys(now time.Time) {
	for key, record := range l.records {
		if record.Outcome != 0 && now.Sub(record.created) > l.options.Retention {
			delete(l.records, key)
		}
	}
	for key, until := range l.barriers {
		if !now.Before(until) {
			delete(l.barriers, key)
		}
	}
}

// Package execution decides what becomes of a request: its attempts, their
// outcomes with the evidence for them, retries, keys and the ledger that lets a
// key run at most once. Both cores in it, Request at the entry and Ledger at the
// host daemon, are pure: time and identifiers are passed in.
package execution

import (
	"fmt"
	"time"
)

// RequestID names a request; unique over all entries.
type RequestID string

// AttemptID names one try to run a request on one server.
type AttemptID string

// Incarnation names one start of a daemon.
type Incarnation string

// Outcome is what may be said of an attempt or a request.
type Outcome uint8

const (
	// Finished: it ran and its whole answer is known.
	Finished Outcome = iota + 1
	// Failed: it ran, at least in part, and is known to have ended.
	Failed
	// NotRun: there is evidence that it did not run and will not.
	NotRun
	// Unknown: it may or may not have run.
	Unknown
)

var outcomeNames = map[Outcome]string{Finished: "finished", Failed: "failed", NotRun: "notRun", Unknown: "unknown"}

func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// Code is the stable word of an error that callers may act on.
type Code string

// Codes of refusals and failures.
const (
	CodeExpired          Code = "offer_expired"
	CodeWrongIncarnation Code = "wrong_incarnation"
	CodeDraining         Code = "draining"
	CodeTombstone        Code = "attempt_cancelled"
	CodeAlreadyOpen      Code = "already_open"
	CodeQueueFull        Code = "queue_full"
	CodeOverQuota        Code = "over_quota"
	CodeInfeasible       Code = "deadline_infeasible"
	CodeNoServer         Code = "no_server"
	CodeTooLong          Code = "prompt_too_long"
	CodeKeyInProgress    Code = "key_in_progress"
	CodeKeyMismatch      Code = "key_reused"
	CodeKeyBarred        Code = "key_barred"
	CodeKeyTooOld        Code = "key_too_old"
	CodeKeyFromFuture    Code = "key_from_future"
	CodeKeyNotHome       Code = "key_not_home"
	CodeKeyHomeLost      Code = "key_home_lost"
	CodeLedgerFull       Code = "ledger_full"
	CodeConnectionLost   Code = "connection_lost"
	CodeDeadline         Code = "deadline_exceeded"
	CodeCallerGone       Code = "caller_gone"
	CodeEngineFailed     Code = "engine_failed"
	CodeEngineEnded      Code = "engine_ended"
	CodeCancelled        Code = "cancelled"
	CodeLeaseExpired     Code = "lease_expired"
	CodeRevisionBehind   Code = "revision_behind"
	CodeQuarantined      Code = "quarantined"
)

// Refusal says why something was not taken on, and when asking again helps.
type Refusal struct {
	Code   Code
	Detail string
	// RetryAfter is zero where asking again does not help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return string(r.Code) + ": " + r.Detail
}

// Quarantined refuses a request under which servers end, for a time. It is no fault of the caller's
// that the answer tells: the request is a proper one that the servers can't bear, which a release of
// theirs may mend.
func Quarantined(left time.Duration) Refusal {
	return Refusal{Code: CodeQuarantined, Detail: "backend servers end when they run this request", RetryAfter: left}
}

// Key is what makes a request idempotent over its resends.
type Key struct {
	// ID is the key's text; empty for a request that has none.
	ID string
	// Issued says that the key came from an entry and names its home.
	Issued bool
	// Fingerprint is the hash of the request's body: one key, one body.
	Fingerprint uint64
	// CreatedAt is when the key was made, in the maker's clock.
	CreatedAt time.Time
}

// None says that the request carries no key.
func (k Key) None() bool { return k.ID == "" }

// Package execution tracks the attempts of a request and their outcomes, decides
// on retries, and keeps the ledger that runs an idempotency key at most once.
// Its two state machines, Request at the entry and Ledger at the host daemon, do
// no I/O: time and identifiers are passed in.
package execution

import (
	"fmt"
	"time"
)

// RequestID identifies a request uniquely across all entries.
type RequestID string

// AttemptID identifies one attempt to run a request on one server.
type AttemptID string

// Incarnation identifies one run of a daemon; it changes with every restart.
type Incarnation string

// Outcome classifies how an attempt or a request ended, as far as the evidence goes.
type Outcome uint8

const (
	// Finished: it ran and its whole answer is known.
	Finished Outcome = iota + 1
	// Failed: it ran, at least in part, and is known to have ended.
	Failed
	// NotRun: there is evidence that it did not run and never will.
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

// Code is a stable, machine-readable error code that callers may act on.
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

// Refusal holds the reason for refusing a request and the delay after which a retry may succeed.
type Refusal struct {
	Code   Code
	Detail string
	// RetryAfter is zero if a retry does not help.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return string(r.Code) + ": " + r.Detail
}

// Quarantined returns the refusal of a request that crashes the servers that run it; left is the rest
// of its quarantine. The refusal is not a client error: the request is valid and triggers a fault of
// the servers, which a later release of them may fix.
func Quarantined(left time.Duration) Refusal {
	return Refusal{Code: CodeQuarantined, Detail: "backend servers end when they run this request", RetryAfter: left}
}

// Key is the idempotency key under which a caller may resend a request.
type Key struct {
	// ID is the key's text; empty for a request without a key.
	ID string
	// Issued reports that an entry issued the key, which then names its home.
	Issued bool
	// Fingerprint is the hash of the request's body; a key is valid for one body only.
	Fingerprint uint64
	// CreatedAt is read from the clock of whoever created the key.
	CreatedAt time.Time
}

// None reports whether the request carries no key.
func (k Key) None() bool { return k.ID == "" }

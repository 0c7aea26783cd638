// Package claims decides which prompts get memory that becomes free at the engines of a zone. A prompt that finds no
// memory waits at its entry and publishes a claim: its size, its value, the time at which it has to begin, and the
// servers at which it collects memory. Every entry of the zone keeps the claims that it has heard of in a Book, and
// takes none of the collected memory for prompts that come later in one order.
//
// The load it addresses is bursts of prompts that need the free memory of several servers. Without claims each such
// prompt competes with all smaller ones for every server and is refused while the zone as a whole has the memory.
//
// The package is pure: it does no I/O and has no clock.
package claims

import (
	"cmp"
	"errors"
	"math"
	"time"
)

// Claim is one prompt that waits for memory.
type Claim struct {
	// ID identifies the claim among all entries.
	ID string
	// From is the entry at which the prompt waits; empty for this entry.
	From    string
	Service string
	// Tokens is the memory that the prompt needs.
	Tokens int64
	// Worth is the value of an answer in time, LateWorth that of a late one, in short requests.
	Worth, LateWorth float64
	// Hold is the predicted time for which the prompt takes the memory.
	Hold time.Duration
	// Since is the time at which the prompt began to wait.
	Since time.Time
	// Due is the latest time to get the memory and be in time, Until the latest time to be served at all.
	Due, Until time.Time
	// Parts are the servers at which memory is kept for the prompt, at most MaxParts. Its entry chooses them, so that
	// all entries keep memory at the same servers.
	Parts []Part
}

// Part is the memory that is kept for a claim at one server.
type Part struct {
	// Server is the incarnation of the server.
	Server string `cbor:"1,keyasint,omitempty"`
	Tokens int64  `cbor:"2,keyasint,omitempty"`
}

// loss returns the value that the prompt loses if it gets no memory from now on in time.
func (c *Claim) loss(now time.Time) float64 {
	if now.After(c.Due) {
		return c.LateWorth
	}
	return c.Worth - c.LateWorth
}

// urgency returns the logarithm to base two, rounded down, of the value that is lost by waiting for each token. It is
// rounded because predictions of the value are rough: differences below a factor of two don't overrule the time at
// which claims are due.
//
// The time for which a prompt takes the memory isn't a divisor: it grows with the prompt, whose prefill takes the
// longer, so that each prompt would come after all shorter ones and the largest would never get any memory.
func (c *Claim) urgency(now time.Time) int {
	perToken := c.loss(now) / float64(max(c.Tokens, 1))
	if perToken <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log2(perToken)))
}

// Compare orders claims at a time: a negative result means that a gets memory before b. The order is the same at all
// entries except for the differences in transmission time of what they have heard.
func Compare(now time.Time, a, b *Claim) int {
	return cmp.Or(
		cmp.Compare(b.urgency(now), a.urgency(now)),
		// Claims that are still in time go by the time at which they stop being so, late ones by the end of their time.
		a.nextLoss(now).Compare(b.nextLoss(now)),
		cmp.Compare(b.Tokens, a.Tokens),
		cmp.Compare(a.ID, b.ID))
}

// nextLoss returns the time at which the prompt loses value next.
func (c *Claim) nextLoss(now time.Time) time.Time {
	if now.After(c.Due) {
		return c.Until
	}
	return c.Due
}

// Bounds of what is kept and accepted.
const (
	// MaxParts is the largest number of servers of a claim; engines divide a prompt among at most sixteen.
	MaxParts = 16
	// MaxOwn bounds the claims of one entry, MaxPeers those that are kept for all others. The bodies of waiting
	// prompts count in the memory budget of bodies, which usually binds first.
	MaxOwn, MaxPeers = 32, 1024
	maxTokens        = 1<<31 - 1
	maxTimeMs        = 24 * 60 * 60 * 1000
	maxWorth         = 1e9
	maxNameBytes     = 128
)

// Report is a claim as entries send it to each other. Times are relative to the time of sending, in milliseconds, since
// the clocks of entries differ.
type Report struct {
	ID        string  `cbor:"1,keyasint,omitempty"`
	Service   string  `cbor:"2,keyasint,omitempty"`
	Tokens    int64   `cbor:"3,keyasint,omitempty"`
	Worth     float64 `cbor:"4,keyasint,omitempty"`
	LateWorth float64 `cbor:"5,keyasint,omitempty"`
	HoldMs    int64   `cbor:"6,keyasint,omitempty"`
	// AgeMs is the time since Claim.Since, DueMs and UntilMs the times left; DueMs is negative once the prompt is late.
	AgeMs   int64  `cbor:"7,keyasint,omitempty"`
	DueMs   int64  `cbor:"8,keyasint,omitempty"`
	UntilMs int64  `cbor:"9,keyasint,omitempty"`
	Parts   []Part `cbor:"10,keyasint,omitempty"`
	// Withdrawn is set once the prompt waits no longer; only ID is set besides.
	Withdrawn bool `cbor:"11,keyasint,omitempty"`
}

// Errors of Report.Check.
var (
	ErrInvalidName   = errors.New("the claim's or a server's name is empty or too long")
	ErrInvalidTokens = errors.New("the tokens of a claim are out of range")
	ErrInvalidWorth  = errors.New("the value of a claim is out of range")
	ErrInvalidTime   = errors.New("a time of a claim is out of range")
	ErrTooManyParts  = errors.New("a claim names too many servers")
)

// Check returns an error if the report can't be one of an entry.
func (r *Report) Check() error {
	switch {
	case r.ID == "" || len(r.ID) > maxNameBytes || len(r.Service) > maxNameBytes:
		return ErrInvalidName
	case r.Withdrawn:
		return nil
	case r.Service == "":
		return ErrInvalidName
	case r.Tokens < 1 || r.Tokens > maxTokens:
		return ErrInvalidTokens
	// Written so that a value that is not a number is refused.
	case !(r.LateWorth >= 0 && r.LateWorth <= r.Worth && r.Worth <= maxWorth):
		return ErrInvalidWorth
	case r.HoldMs < 0 || r.HoldMs > maxTimeMs || r.AgeMs < 0 || r.AgeMs > maxTimeMs || r.DueMs < -maxTimeMs || r.DueMs > maxTimeMs || r.UntilMs < 0 || r.UntilMs > maxTimeMs:
		return ErrInvalidTime
	case len(r.Parts) > MaxParts:
		return ErrTooManyParts
	}
	return r.checkParts()
}

func (r *Report) checkParts() error {
	sum := int64(0)
	for _, part := range r.Parts {
		if part.Server == "" || len(part.Server) > maxNameBytes {
			return ErrInvalidName
		}
		if part.Tokens < 0 || part.Tokens > r.Tokens {
			return ErrInvalidTokens
		}
		sum += part.Tokens
	}
	if sum > r.Tokens {
		return ErrInvalidTokens
	}
	return nil
}

// report returns the claim as it is sent at a time.
func (c *Claim) report(now time.Time) Report {
	return Report{ID: c.ID, Service: c.Service, Tokens: c.Tokens, Worth: c.Worth, LateWorth: c.LateWorth, HoldMs: c.Hold.Milliseconds(),
		AgeMs: max(now.Sub(c.Since).Milliseconds(), 0), DueMs: c.Due.Sub(now).Milliseconds(), UntilMs: max(c.Until.Sub(now).Milliseconds(), 0), Parts: c.Parts}
}

// claim is the inverse of report.
func (r *Report) claim(now time.Time, from string) Claim {
	in := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	return Claim{ID: r.ID, From: from, Service: r.Service, Tokens: r.Tokens, Worth: r.Worth, LateWorth: r.LateWorth, Hold: time.Duration(r.HoldMs) * time.Millisecond,
		Since: in(-r.AgeMs), Due: in(r.DueMs), Until: in(r.UntilMs), Parts: r.Parts}
}

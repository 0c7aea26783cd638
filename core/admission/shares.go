// Package admission decides which requests are taken on. At the entry, Shares
// spends this entry's part of each workspace's quota. At the host, Limits holds
// the truth: the demand of all entries, open requests and the bounds of queues.
package admission

import (
	"math"
	"time"

	"arbutusdeck/core/execution"
)

// Quota is a workspace's limit over the whole fleet; zero fields are unlimited.
type Quota struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// quotaBurst is how much unused quota is saved, in seconds.
const quotaBurst = 2.0

// bucket is a token bucket whose rate may change with each call.
type bucket struct {
	level float64
	at    time.Time
	ready bool
}

func (b *bucket) refill(now time.Time, rate float64) {
	limit := max(rate*quotaBurst, 1)
	if !b.ready {
		b.level, b.ready = limit, true
	} else {
		b.level = min(limit, b.level+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
}

// wait returns how long until the level reaches the cost. A cost above the
// bucket's size needs the bucket full: the level then goes below zero, so that a
// million tokens at once are paid back by the time after them.
func (b *bucket) wait(rate, cost float64) time.Duration {
	need := min(cost, max(rate*quotaBurst, 1))
	if b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / rate * float64(time.Second))
}

// ShareOptions are the bounds of Shares.
type ShareOptions struct {
	// Smoothing is the weight of a new hint in the share.
	Smoothing float64
	// HintTTL is how long hints count. Without newer ones the share goes back
	// to an even part.
	HintTTL time.Duration
}

// DefaultShareOptions returns the options used when the settings name none.
func DefaultShareOptions() ShareOptions {
	return ShareOptions{Smoothing: 0.1, HintTTL: 10 * time.Second}
}

type share struct {
	// inverse is one over this entry's part of the quota.
	inverse  float64
	hinted   time.Time
	requests bucket
	tokens   bucket
}

// Shares spends this entry's part of every workspace's quota. The part follows
// demand without shared state: each host says with its replies which part of the
// workspace's recent demand came through this entry, and those parts sum to one
// over the entries at each host.
type Shares struct {
	options ShareOptions
	entries int
	shares  map[string]*share
}

// NewShares returns shares for a fleet with one entry.
func NewShares(options ShareOptions) *Shares {
	return &Shares{options: options, entries: 1, shares: map[string]*share{}}
}

// Configure takes over the number of entries and drops workspaces that are gone.
func (s *Shares) Configure(entries int, exists func(workspace string) bool) {
	s.entries = max(entries, 1)
	for name := range s.shares {
		if !exists(name) {
			delete(s.shares, name)
		}
	}
}

func (s *Shares) of(workspace string) *share {
	found := s.shares[workspace]
	if found == nil {
		found = &share{inverse: float64(s.entries)}
		s.shares[workspace] = found
	}
	return found
}

// Hint takes in a host's word on this entry's part of the demand, above 0 and up
// to 1. The inverse is what is averaged: an entry hears more often from hosts to
// which it sends more, so the plain mean of the parts would be too large, and the
// sum over the entries would exceed the quota.
func (s *Shares) Hint(now time.Time, workspace string, part float64) {
	if part <= 0 || part > 1 {
		return
	}
	found := s.of(workspace)
	found.inverse += s.options.Smoothing * (1/part - found.inverse)
	found.hinted = now
}

// floorPart is the least part of an even share that an entry keeps.
const floorPart = 0.1

// Fraction returns this entry's part of the workspace's quota. An entry that hears
// no hints falls back to an even part: cut off, it cannot know that the others
// are idle, and the sum over all entries stays at the quota.
func (s *Shares) Fraction(now time.Time, workspace string) float64 {
	found := s.of(workspace)
	even := 1 / float64(s.entries)
	if found.hinted.IsZero() || now.Sub(found.hinted) > s.options.HintTTL {
		found.inverse = float64(s.entries)
		return even
	}
	// A small floor lets an entry with little demand so far begin at all.
	return max(1/found.inverse, even*floorPart)
}

// Admit takes a request out of the share, or says when to come back.
func (s *Shares) Admit(now time.Time, workspace string, quota Quota, promptTokens int64) *execution.Refusal {
	found := s.of(workspace)
	part := s.Fraction(now, workspace)
	wait := max(
		waitFor(&found.requests, now, quota.RequestsPerSecond*part, 1),
		waitFor(&found.tokens, now, quota.TokensPerSecond*part, float64(promptTokens)))
	if wait > 0 {
		return overQuota(wait)
	}
	found.requests.level -= 1
	found.tokens.level -= float64(promptTokens)
	return nil
}

func waitFor(b *bucket, now time.Time, rate, cost float64) time.Duration {
	if rate <= 0 {
		b.level, b.ready = math.Inf(1), false
		return 0
	}
	b.refill(now, rate)
	return b.wait(rate, cost)
}

func overQuota(wait time.Duration) *execution.Refusal {
	return &execution.Refusal{Code: execution.CodeOverQuota, Detail: "the workspace's quota is used up", RetryAfter: wait}
}

// WorkspaceUsage is one row for operators.
type WorkspaceUsage struct {
	Workspace string  `json:"workspace"`
	Part      float64 `json:"part"`
	Requests  float64 `json:"requestsLeft"`
	Tokens    float64 `json:"tokensLeft"`
}

// Usage lists the workspaces that were seen.
func (s *Shares) Usage(now time.Time) []WorkspaceUsage {
	var rows []WorkspaceUsage
	for name, found := range s.shares {
		rows = append(rows, WorkspaceUsage{Workspace: name, Part: s.Fraction(now, name),
			Requests: finite(found.requests.level), Tokens: finite(found.tokens.level)})
	}
	return rows
}

func finite(level float64) float64 {
	if math.IsInf(level, 0) {
		return -1
	}
	return level
}

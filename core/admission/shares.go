// Package admission decides which requests are admitted. At the entry, Shares
// spends this entry's part of each workspace's quota. At the host, Limits is
// authoritative: it knows the demand of all entries, the open requests and the
// limits of the queues.
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

// quotaBurstSeconds is the burst of a quota, in seconds of its rate.
const quotaBurstSeconds = 2.0

// bucket is a token bucket whose rate may change with each call.
type bucket struct {
	level float64
	at    time.Time
	ready bool
}

func (b *bucket) refill(now time.Time, rate float64) {
	limit := max(rate*quotaBurstSeconds, 1)
	if !b.ready {
		b.level, b.ready = limit, true
	} else {
		b.level = min(limit, b.level+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
}

// wait returns the time until the level reaches the cost. A cost above the
// bucket's size waits for a full bucket. After a prompt of, say, a million tokens
// the level is below zero, and the requests after it wait until the excess is
// paid back.
func (b *bucket) wait(rate, cost float64) time.Duration {
	need := min(cost, max(rate*quotaBurstSeconds, 1))
	if b.level >= need {
		return 0
	}
	return time.Duration((need - b.level) / rate * float64(time.Second))
}

// ShareOptions configures Shares.
type ShareOptions struct {
	// Smoothing is the weight of a new hint in the average.
	Smoothing float64
	// HintTTL is the validity of the last hint. After it the entry falls back to
	// an equal part.
	HintTTL time.Duration
}

// DefaultShareOptions returns the options used where the settings give none.
func DefaultShareOptions() ShareOptions {
	return ShareOptions{Smoothing: 0.1, HintTTL: 10 * time.Second}
}

type share struct {
	// inverse is the reciprocal of this entry's part of the quota.
	inverse  float64
	hintedAt time.Time
	requests bucket
	tokens   bucket
}

// Shares spends this entry's part of every workspace's quota. The part follows
// demand without shared state: each host hints in its replies at the part of the
// workspace's recent demand that came through this entry. At each host these parts
// sum to one over the entries.
type Shares struct {
	options ShareOptions
	entries int
	shares  map[string]*share
}

// NewShares returns shares for a fleet with one entry.
func NewShares(options ShareOptions) *Shares {
	return &Shares{options: options, entries: 1, shares: map[string]*share{}}
}

// Configure sets the number of entries and drops workspaces that no longer exist.
func (s *Shares) Configure(entries int, exists func(workspace string) bool) {
	s.entries = max(entries, 1)
	for name := range s.shares {
		if !exists(name) {
			delete(s.shares, name)
		}
	}
}

func (s *Shares) shareOf(workspace string) *share {
	found := s.shares[workspace]
	if found == nil {
		found = &share{inverse: float64(s.entries)}
		s.shares[workspace] = found
	}
	return found
}

// Hint records a host's hint at this entry's part of the demand, above 0 and up to
// 1; other values are ignored. It averages the reciprocals: an entry gets more hints
// from hosts to which it sends more, so the mean of the parts would be too large and
// their sum over the entries would exceed the quota.
func (s *Shares) Hint(now time.Time, workspace string, part float64) {
	if part <= 0 || part > 1 {
		return
	}
	found := s.shareOf(workspace)
	found.inverse += s.options.Smoothing * (1/part - found.inverse)
	found.hintedAt = now
}

// minFraction is the least part of an equal share that an entry keeps.
const minFraction = 0.1

// Fraction returns this entry's part of the workspace's quota. An entry without
// recent hints falls back to an equal part: if it is cut off, it cannot know that
// the others are idle, and the sum over all entries stays within the quota.
func (s *Shares) Fraction(now time.Time, workspace string) float64 {
	found := s.shareOf(workspace)
	equal := 1 / float64(s.entries)
	if found.hintedAt.IsZero() || now.Sub(found.hintedAt) > s.options.HintTTL {
		found.inverse = float64(s.entries)
		return equal
	}
	// The lower bound lets an entry without demand so far start at all.
	return max(1/found.inverse, equal*minFraction)
}

// Admit charges a request to this entry's part of the quota. It returns nil, or a
// refusal with the delay after which the request fits.
func (s *Shares) Admit(now time.Time, workspace string, quota Quota, promptTokens int64) *execution.Refusal {
	found := s.shareOf(workspace)
	fraction := s.Fraction(now, workspace)
	wait := max(
		waitFor(&found.requests, now, quota.RequestsPerSecond*fraction, 1),
		waitFor(&found.tokens, now, quota.TokensPerSecond*fraction, float64(promptTokens)))
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

// WorkspaceUsage is the state of one workspace's quota at this entry, for operators.
type WorkspaceUsage struct {
	Workspace string  `json:"workspace"`
	Part      float64 `json:"part"`
	Requests  float64 `json:"requestsLeft"`
	Tokens    float64 `json:"tokensLeft"`
}

// Usage lists the workspaces that sent requests through this entry or got hints.
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

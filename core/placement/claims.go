package placement

import (
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/enginemodel"
)

// MayClaim reports whether a prompt may wait for memory: short ones never wait at the entry.
func (t *LoadTable) MayClaim(q Query) bool {
	return q.Engine != nil && q.PromptTokens > t.options.ShortTokens
}

// Claim returns the claim of a query that found no memory. Its identity and Since are left to the caller.
func (t *LoadTable) Claim(now time.Time, q Query) claims.Claim {
	c := claims.Claim{Tokens: q.PromptTokens + q.AnswerTokens, Worth: t.value(q.PromptTokens)}
	c.LateWorth = c.Worth * (1 - t.options.LateLoss)
	parts := t.options.UsualParts
	// A single answer at an idle server: the time is a lower bound, so that a claim isn't given up too early.
	prefill := enginemodel.MillisToDuration(q.Engine.PrefillMs(q.PromptTokens, parts))
	answer := enginemodel.MillisToDuration(q.Engine.AnswerMs(q.AnswerTokens, enginemodel.Batch{Answers: 1, ContextTokens: q.PromptTokens / int64(parts)}))
	c.Hold = prefill + answer
	c.Due, c.Until = now.Add(q.Target-prefill), now.Add(q.Remaining-prefill)
	return c
}

func (t *LoadTable) memoryShare(q Query) int64 {
	return int64(t.options.MemoryShare * float64(q.Engine.MemoryTokens))
}

// Memory returns the memory of the servers that a choice would consider, with what long prompts are expected to leave.
func (t *LoadTable) Memory(now time.Time, q Query) []claims.Memory {
	if q.Engine == nil {
		return nil
	}
	var all []claims.Memory
	for _, c := range t.candidates(now, q) {
		m := claims.Memory{Server: c.IncarnationID(), Capacity: t.memoryShare(q), Free: max(c.free, 0)}
		for _, w := range c.state.workItems {
			if w.memory > 0 && w.dispatch.PromptTokens > t.options.ShortTokens {
				m.Releases = append(m.Releases, claims.Release{After: t.expectedRelease(now, c, w), Tokens: w.memory})
			}
		}
		all = append(all, m)
	}
	return all
}

// expectedRelease returns the expected time until a dispatch ends: the prefill that is left where its answer is
// written, and the passes of the answer.
func (t *LoadTable) expectedRelease(now time.Time, c *candidate, w *workItem) time.Duration {
	a := t.active[w.dispatch.ID]
	if a == nil {
		return 0
	}
	writer, batch, ahead := t.servers[w.dispatch.Server], c.batch, 0.0
	if writer != nil {
		writer.advance(now)
		batch = writer.batch()
	}
	batch.Answers = max(batch.Answers, 1)
	answer := enginemodel.MillisToDuration(c.state.engine.AnswerMs(w.dispatch.AnswerTokens, batch))
	if a.answering {
		return max(answer-now.Sub(a.answeringSince), 0)
	}
	for _, id := range append([]string{w.dispatch.Server}, w.dispatch.Helpers...) {
		if s := t.servers[id]; s != nil {
			s.advance(now)
			ahead = max(ahead, s.backlogMs())
		}
	}
	return enginemodel.MillisToDuration(ahead) + answer
}

// withhold applies what is kept for the claims of others to a server. A long prompt doesn't get that memory. A short
// one does if every other server would cost more than the delay of the claims: it needs little memory and gives it back
// soon, and held back by force it would be late while slots are free.
func (t *LoadTable) withhold(c *candidate, q Query) {
	kept, ok := q.Withheld[c.IncarnationID()]
	if !ok {
		return
	}
	if q.PromptTokens > t.options.ShortTokens {
		c.free -= kept.Tokens
		return
	}
	need := q.PromptTokens + q.AnswerTokens
	if taken := min(need-(c.free-kept.Tokens), need); taken > 0 {
		c.loss += kept.Loss * float64(taken)
	}
}

// NewsAge returns the time since the latest begin, first event or end at any server; 0 if there was none yet.
func (t *LoadTable) NewsAge(now time.Time) time.Duration {
	var latest time.Time
	for _, s := range t.servers {
		if s.updatedAt.After(latest) {
			latest = s.updatedAt
		}
	}
	if latest.IsZero() {
		return 0
	}
	return now.Sub(latest)
}

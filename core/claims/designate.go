package claims

import (
	"cmp"
	"slices"
	"time"
)

// Memory is the memory of one server that may hold a prompt.
type Memory struct {
	// Server is the incarnation of the server.
	Server string
	// Capacity is the memory for prompts, Free the part of it that no request takes now.
	Capacity, Free int64
	// Releases is the memory that long prompts are expected to leave. That of short prompts isn't listed, since the
	// next ones take it again.
	Releases []Release
}

// Release is memory that is expected to become free.
type Release struct {
	After  time.Duration
	Tokens int64
}

// available returns the memory that is expected to be free after some time.
func (m *Memory) available(after time.Duration) int64 {
	sum := m.Free
	for _, r := range m.Releases {
		if r.After <= after {
			sum += r.Tokens
		}
	}
	return sum
}

// Plan is where and when a claim is expected to get its memory.
type Plan struct {
	Parts []Part
	// Ready is the expected time until the memory is free.
	Ready time.Duration
	// Hopeless is set if the memory can't be free in the claim's time; RetryAfter is then the time from which it may be.
	Hopeless   bool
	RetryAfter time.Duration
}

// Designate chooses the servers at which memory is kept for a claim: one that has room for all of it, or for a prompt
// that is larger than any server the fewest that have the memory together, at the earliest time. What claims that come
// before it keep is not counted.
//
// Parts are empty while the memory isn't expected within Hold: free memory that waits for the rest would be idle for
// longer than the prompt uses it, and prompts of the same value could use it meanwhile.
func (b *Book) Designate(now time.Time, c *Claim, servers []Memory) Plan {
	left := c.Until.Sub(now)
	if wait := b.leastWait(now, c, servers); wait > left {
		return Plan{Hopeless: true, RetryAfter: wait}
	}
	kept := b.Withheld(now, c)
	most, whole := 1, int64(0)
	for i := range servers {
		whole = max(whole, servers[i].Capacity)
	}
	if c.Tokens > whole {
		most = MaxParts
	}
	for after := time.Duration(0); after <= min(left, c.Hold); after += designationStep {
		if parts := collect(c.Tokens, servers, kept, after, most); parts != nil {
			return Plan{Parts: parts, Ready: after}
		}
	}
	return Plan{Ready: min(left, c.Hold)}
}

// designationStep is the resolution of expected times. Predictions of the end of an answer are off by more.
const designationStep = 50 * time.Millisecond

// collect returns the fewest servers, at most most, that are expected to have the memory after some time; nil if none
// have it.
func collect(tokens int64, servers []Memory, kept map[string]Withheld, after time.Duration, most int) []Part {
	parts := make([]Part, 0, len(servers))
	for i := range servers {
		if room := servers[i].available(after) - kept[servers[i].Server].Tokens; room > 0 {
			parts = append(parts, Part{servers[i].Server, room})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Server, b.Server))
	})
	for i := range parts[:min(most, len(parts))] {
		parts[i].Tokens = min(parts[i].Tokens, tokens)
		if tokens -= parts[i].Tokens; tokens == 0 {
			return parts[:i+1]
		}
	}
	return nil
}

// leastWait returns a time within which the claim surely gets no memory: that in which all servers together serve the
// claims before it, or a time beyond any if the servers together can't hold it.
func (b *Book) leastWait(now time.Time, c *Claim, servers []Memory) time.Duration {
	capacity, ahead := int64(0), 0.0
	for i := range servers {
		capacity += servers[i].Capacity
	}
	if c.Tokens > capacity {
		return never
	}
	for _, other := range b.Ordered(now, c.Service) {
		if other.ID != c.ID && Compare(now, other, c) < 0 {
			ahead += float64(other.Tokens) * other.Hold.Seconds()
		}
	}
	// The claims that are served last may overlap with this one, so that one of them counts as none.
	return max(time.Duration(ahead/float64(capacity)*float64(time.Second))-c.Hold, 0)
}

// never is a wait that exceeds the time of any claim.
const never = 24 * time.Hour

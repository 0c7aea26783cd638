package forwarding

import (
	"fmt"
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/placement"
)

// LargePrompts returns one zone of a deployment whose longest prompts exceed the memory of an engine and arrive in
// bursts: 26 engines, 9 entries, and most of the load in short prompts.
func LargePrompts(load float64) Deployment {
	deployment := Zagara(load)
	deployment.Engine.Slots, deployment.Engine.MemoryTokens, deployment.Engine.Stride, deployment.Engine.UsualAnswer = 12, 197_200, 57, 1750
	deployment.Engine.ReadPerMs, deployment.Engine.PairsMs = 250, 0.05
	deployment.Engines, deployment.Entries, deployment.Zones = 26, 9, 1
	short, middle, long := &deployment.Classes[0], &deployment.Classes[1], &deployment.Classes[2]
	short.PerSecond, middle.PerSecond, long.PerSecond = 42, 2.66, 1.8
	short.Events, short.EventMax, middle.Events, middle.EventMax, long.Events, long.EventMax = 31.7, 79, 19, 47.6, 15.9, 39.6
	middle.Worth, middle.LateWorth = 3.5, 0.88
	long.Prompt, long.PromptMax, long.Worth, long.LateWorth = 190_000, 600_000, 19, 4.8
	deployment.Phases = []Phase{phaseAt(load, 0, 1, 1, 1), phaseAt(load, 2, 0.38, 1.3, 2.8), phaseAt(load, 12, 1, 1, 1), phaseAt(load, 13, 2.4, 0.5, 0.05),
		phaseAt(load, 23, 0.35, 1.3, 2.8), phaseAt(load, 33, 1, 1, 1)}
	return deployment
}

// hugeTokens is the length from which a prompt counts as huge.
const hugeTokens = 256_000

// MemoryResult counts what became of prompts for lack of memory.
type MemoryResult struct {
	// Huge are the prompts from hugeTokens on, HugeInTime those of them that were in time.
	Huge, HugeInTime int
	// Refused counts refusals for lack of memory, RefusedTwice the callers that were refused so twice.
	Refused, RefusedTwice int
	// Claims counts the prompts that waited for memory, Hopeless those of them that were refused since the memory could
	// not be free in their time.
	Claims, Hopeless int
}

// useClaims fills in what claims withhold from a request.
func (s *simulation) useClaims(r *request, query *placement.Query) {
	if !s.deployment.Claims {
		return
	}
	own := s.claim(r, *query)
	query.Withheld = s.books[r.entry].Withheld(s.clock(), &own)
	if s.deployment.WithholdNothing {
		query.Withheld = nil
	}
}

// claim returns the claim of a request, which need not be in the book.
func (s *simulation) claim(r *request, query placement.Query) claims.Claim {
	if own, ok := s.books[r.entry].Get(s.clock(), r.claimID); ok {
		return own
	}
	own := s.entries[r.entry].Claim(s.clock(), query)
	own.Service, own.Since = "engines", s.clock()
	return own
}

// awaitMemory lets a request that found no memory wait with a claim. It returns false if it is refused instead.
func (s *simulation) awaitMemory(r *request, query placement.Query, choice *placement.Choice) bool {
	table, book := s.entries[r.entry], s.books[r.entry]
	if !s.deployment.Claims || !table.MayClaim(query) {
		return false
	}
	own := s.claim(r, query)
	if own.ID == "" {
		s.sequence++
		own.ID = fmt.Sprintf("claim-%d", s.sequence)
	}
	if s.deployment.ClaimsInTime {
		own.Until = own.Due
		if !own.Due.After(s.clock()) {
			return false
		}
	}
	plan := book.Designate(s.clock(), &own, table.Memory(s.clock(), query))
	if plan.Hopeless {
		s.result.Memory.Hopeless++
		choice.RetryAfter = plan.RetryAfter
		return false
	}
	if s.deployment.WithholdNothing {
		plan.Parts = nil
	}
	own.Parts = plan.Parts
	if r.claimID == "" {
		s.result.Memory.Claims++
	}
	r.claimID = own.ID
	if !book.State(s.clock(), own) {
		return false
	}
	s.sendClaims(r.entry)
	// An entry is woken by the ends of requests; some are reported in each interval.
	s.at(s.now+claimRetryMs, func() { s.send(r) })
	return true
}

const claimRetryMs = 10

// withdrawClaim ends the claim of a request.
func (s *simulation) withdrawClaim(r *request) {
	if r.claimID == "" {
		return
	}
	id := r.claimID
	r.claimID = ""
	s.books[r.entry].Withdraw(id)
	s.broadcastClaims(r.entry, []claims.Report{{ID: id, Withdrawn: true}})
}

func (s *simulation) sendClaims(entry int) {
	s.broadcastClaims(entry, s.books[entry].Reports(s.clock()))
}

func (s *simulation) broadcastClaims(entry int, reports []claims.Report) {
	sentAt := enginemodel.MillisToDuration(s.now)
	if s.deployment.isPartitioned(entry, sentAt) {
		return
	}
	s.at(s.now+float64(s.deployment.UpdateDelay)/float64(time.Millisecond), func() {
		for i, book := range s.books {
			for _, report := range reports {
				if i != entry && !s.stoppedEntries[i] && !s.deployment.isPartitioned(i, sentAt) {
					book.Learn(s.clock(), entryName(entry), report)
				}
			}
		}
	})
}

package gateway

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

// A prompt that finds no memory in this zone, nor in another one, waits here with a claim. The entries of the zone keep
// memory that becomes free for the first claim in order; see core/claims.

const (
	// claimReportTTL ends the claims of an entry after three lost heartbeats.
	claimReportTTL = 3 * peering.HeartbeatInterval
	// claimChoiceInterval bounds how often one waiting prompt chooses again. Requests end more often than that, and a
	// choice among some thirty servers takes up to a millisecond.
	claimChoiceInterval = 20 * time.Millisecond
	// claimRecheck is the time after which a prompt chooses again that no load update has woken: servers return from
	// backoff, and claims of entries that are not heard end, without one.
	claimRecheck = 500 * time.Millisecond
	// maxMemoryRetryAfter bounds the Retry-After of a prompt that no servers known now could ever hold.
	maxMemoryRetryAfter = time.Minute
)

// memoryClaim is the claim of a request; the zero value is none.
type memoryClaim struct {
	id string
	// wake gets a value when memory may have become free; nil without a claim.
	wake     chan struct{}
	since    time.Time
	chosenAt time.Time
	// waking is set while a wake-up is under way.
	waking bool
	parts  []claims.Part
}

// claimsEnabled reports whether prompts wait with claims; the caller holds the lock.
func (s *Server) claimsEnabled() bool { return s.settings.Overload.Claims }

// withClaims adds to a query what is kept for the claims of others; the caller holds the lock.
func (e *exchange) withClaims(now time.Time, q placement.Query) placement.Query {
	if !e.s.claimsEnabled() || q.Engine == nil {
		return q
	}
	own, _ := e.s.claims.Get(now, e.claim.id)
	return e.s.withholdClaims(now, e.service.Name, own, q)
}

// withholdClaims adds to a query what is kept for the claims that come before own. A query without a claim is compared
// as if it had one, so that a prompt which would come first is not held back. The caller holds the lock.
func (s *Server) withholdClaims(now time.Time, service string, own claims.Claim, q placement.Query) placement.Query {
	if !s.claimsEnabled() || q.Engine == nil {
		return q
	}
	if own.ID == "" {
		own = s.loadTable.Claim(now, q)
	}
	own.Service = service
	q.Withheld = s.claims.Withheld(now, &own)
	return q
}

// orClaim lets a request that found no memory wait with a claim: the returned choice then has a Wait. Any other result
// ends the request's claim.
func (e *exchange) orClaim(now time.Time, choice placement.Choice, refusal placement.Refusal) (placement.Choice, placement.Refusal) {
	switch {
	case refusal == "" && choice.Wait > 0:
		// It waits for others' prefill or for a paused server. Memory that it doesn't use yet isn't kept for it.
		e.endClaim("waits for something else")
		return choice, refusal
	case refusal != placement.NoMemory:
		e.endClaim(claimEnd(refusal))
		return choice, refusal
	}
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if !e.s.claimsEnabled() {
		return choice, refusal
	}
	q := e.query(now, e.forward.Excluded())
	if !e.s.loadTable.MayClaim(q) {
		return choice, refusal
	}
	if e.s.stopping.Load() != nil {
		return choice, placement.Outlasts
	}
	plan, refused := e.openClaim(now, q)
	if refused {
		// jitter shortens a Retry-After by up to a quarter; the caller must not return before there can be memory.
		choice.RetryAfter = max(min(plan.RetryAfter, maxMemoryRetryAfter)*4/3, choice.RetryAfter)
		return choice, refusal
	}
	return placement.Choice{Wait: min(claimRecheck, max(e.deadline.Sub(now), time.Millisecond))}, ""
}

// claimEnd names the end of a claim by the refusal of its request.
func claimEnd(refusal placement.Refusal) string {
	if refusal == "" {
		return "granted"
	}
	return string(refusal)
}

// openClaim states the claim of a request, or brings it up to date. It returns true if the request is refused instead.
// The caller holds the lock.
func (e *exchange) openClaim(now time.Time, q placement.Query) (claims.Plan, bool) {
	s := e.s
	c, known := s.claims.Get(now, e.claim.id)
	if !known {
		c = s.loadTable.Claim(now, q)
		c.ID, c.Service, c.Since = strconv.FormatUint(s.random.Uint64(), 36), e.service.Name, now
	}
	servers := s.loadTable.Memory(now, q)
	plan := s.claims.Designate(now, &c, servers)
	if plan.Hopeless {
		s.counters.claimsHopeless.Inc(1)
		s.logClaim(e, c, plan, servers).Info("a prompt is refused: its memory can't be free in its time")
		return plan, true
	}
	c.Parts = plan.Parts
	if !s.claims.State(now, c) {
		s.counters.claimsFull.Inc(1)
		s.logClaim(e, c, plan, servers).Info("a prompt is refused: too many wait here for memory")
		return plan, true
	}
	if !known {
		e.claim = memoryClaim{id: c.ID, wake: make(chan struct{}, 1), since: now}
		s.claimWaiters[e] = struct{}{}
		s.logClaim(e, c, plan, servers).Info("a prompt waits for memory")
	}
	e.claim.chosenAt, e.claim.waking = now, false
	if !known || !sameParts(e.claim.parts, c.Parts) {
		e.claim.parts = c.Parts
		for _, report := range s.claims.Reports(now) {
			if report.ID == c.ID {
				s.peers.SendClaims([]claims.Report{report})
			}
		}
	}
	return plan, false
}

// sameParts reports whether memory is kept at the same servers. Amounts that differ by little aren't worth a message
// to all entries.
func sameParts(a, b []claims.Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Server != b[i].Server || max(a[i].Tokens, b[i].Tokens) > min(a[i].Tokens, b[i].Tokens)*9/8 {
			return false
		}
	}
	return true
}

// endClaim ends the claim of the request, if it has one.
func (e *exchange) endClaim(why string) {
	if e.claim.id == "" {
		return
	}
	s := e.s
	s.mu.Lock()
	s.claims.Withdraw(e.claim.id)
	delete(s.claimWaiters, e)
	s.wakeClaims()
	s.mu.Unlock()
	s.peers.SendClaims([]claims.Report{{ID: e.claim.id, Withdrawn: true}})
	if why == "granted" {
		s.counters.claimsGranted.Inc(1)
	} else {
		s.counters.claimsEnded.Inc(1)
	}
	s.log.WithFields(logrus.Fields{"request": e.info.ID, "claim": e.claim.id, "why": why, "waitedMs": time.Since(e.claim.since).Milliseconds()}).Info("a prompt waits for memory no longer")
	e.claim = memoryClaim{}
}

// wakeClaims lets the requests that wait for memory choose again; the caller holds the lock.
func (s *Server) wakeClaims() {
	for e := range s.claimWaiters {
		if e.claim.waking {
			continue
		}
		e.claim.waking = true
		wake := e.claim.wake
		time.AfterFunc(max(claimChoiceInterval-time.Since(e.claim.chosenAt), 0), func() {
			select {
			case wake <- struct{}{}:
			default: // it is about to choose anyway
			}
		})
	}
}

// learnClaims applies the claims of another entry, after the loads in the same message; the caller holds the lock.
func (s *Server) learnClaims(now time.Time, m peering.Message, restarted bool) {
	if restarted || m.Stopping {
		s.claims.ForgetPeer(m.From)
	}
	changed := len(m.Ended) > 0
	for _, report := range m.Claims {
		if m.Zone == s.settings.Zone && s.claims.Learn(now, m.From, report) {
			changed = true
		}
	}
	if changed {
		s.wakeClaims()
	}
}

// claimReports returns the claims of this entry for its peers; none while claims are switched off.
func (s *Server) claimReports(now time.Time) []claims.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims.Reports(now)
}

func (s *Server) registerClaimMetrics() {
	s.gauge("claims.open", func() int { count, _ := s.claims.Open(time.Now()); return count })
	s.gauge("claims.own", func() int { return s.claims.Own() })
	s.gauge("claims.oldest.ms", func() int { _, oldest := s.claims.Open(time.Now()); return int(oldest.Milliseconds()) })
}

// logClaim returns a log entry with the inputs of a decision about a claim and their age; the caller holds the lock.
func (s *Server) logClaim(e *exchange, c claims.Claim, plan claims.Plan, servers []claims.Memory) *logrus.Entry {
	now := time.Now()
	free, largest := int64(0), int64(0)
	for _, server := range servers {
		free += server.Free
		largest = max(largest, server.Free)
	}
	count, oldest := s.claims.Open(now)
	return s.log.WithFields(logrus.Fields{"request": e.info.ID, "claim": c.ID, "tokens": c.Tokens, "worth": c.Worth, "dueMs": c.Due.Sub(now).Milliseconds(),
		"untilMs": c.Until.Sub(now).Milliseconds(), "parts": plan.Parts, "readyMs": plan.Ready.Milliseconds(), "servers": len(servers), "freeTokens": free,
		"largestFree": largest, "claims": count, "oldestClaimMs": oldest.Milliseconds(), "serverNewsMs": s.loadTable.NewsAge(now).Milliseconds()})
}

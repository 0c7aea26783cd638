package forwarding

import (
	"fmt"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

// avoided returns the servers owned by running entries that the given entry can't hear.
func (s *simulation) avoided(entry int) map[string]bool {
	now := enginemodel.MillisToDuration(s.now)
	var silent []string
	for other := range s.entries {
		if other != entry && !s.stoppedEntries[other] && (s.deployment.isPartitioned(entry, now) || s.deployment.isPartitioned(other, now)) {
			silent = append(silent, entryName(other))
		}
	}
	if len(silent) == 0 || s.deployment.ShareWhenPartitioned {
		return nil
	}
	return peering.ServersOf(silent, s.owners)
}

func entryName(entry int) string { return fmt.Sprintf("entry-%d", entry) }

// maxFailures bounds the choices of a request that fail at one entry: refused reservations and failed
// attempts.
const maxFailures = 3

func (s *simulation) send(r *request) {
	if r.done || r.id != "" || s.stoppedEntries[r.entry] {
		return
	}
	table := s.entries[r.entry]
	waited := enginemodel.MillisToDuration(s.now - r.arrived)
	query := placement.Query{Servers: s.serversFor(r.entry), Avoid: s.avoided(r.entry), Engine: &s.deployment.Engine, Exclude: r.excluded, PromptTokens: r.promptTokens, AnswerTokens: r.outputHint,
		Target: max(r.class.Target-waited, time.Millisecond), Gap: r.class.Gap, Remaining: r.class.Deadline - waited, TieBreak: s.ties.Float64()}
	s.useClaims(r, &query)
	choice, refusal := table.Choose(s.clock(), query)
	if refusal == placement.NoMemory && s.awaitMemory(r, query, &choice) {
		return
	}
	s.withdrawClaim(r)
	if refusal == placement.NoMemory {
		s.result.Memory.Refused++
		if r.memoryRefusals++; r.memoryRefusals == 2 {
			s.result.Memory.RefusedTwice++
		}
	}
	if refusal != "" {
		s.refuse(r, choice.RetryAfter)
		return
	}
	if choice.Wait > 0 {
		s.at(s.now+float64(choice.Wait.Milliseconds()), func() { s.send(r) })
		return
	}
	if !s.reserve(choice) {
		r.failures++
		r.excluded = append(r.excluded, choice.Server.ID)
		if r.failures >= maxFailures {
			s.refuse(r, time.Second)
			return
		}
		s.send(r)
		return
	}
	s.sequence++
	r.id = fmt.Sprintf("r%d", s.sequence)
	r.choice, r.pendingParts = choice, len(choice.Helpers)+1
	r.attempts++
	s.jobs[r.id] = r
	s.result.Connections++
	s.recordDispatch(r, choice)
	id := r.id
	s.at(s.now+toServerMs, func() { s.submit(r, id) })
	s.watchStall(r, id, query)
}

// watchStall redispatches a request whose server is stalled.
func (s *simulation) watchStall(r *request, id string, query placement.Query) {
	check := placement.RedispatchCheckDelay(r.choice, query.Engine)
	if check == 0 || r.attempts >= maxAttempts {
		return
	}
	s.at(s.now+ms(check), func() { s.checkStall(r, id, query) })
}

func (s *simulation) checkStall(r *request, id string, query placement.Query) {
	if r.done || r.id != id || r.events > r.written {
		return
	}
	if s.entries[r.entry].ShouldRedispatch(s.clock(), r.choice.Server.ID, query) {
		s.retry(r, r.choice.Server.ID)
		return
	}
	s.at(s.now+ms(placement.RedispatchCheckInterval), func() { s.checkStall(r, id, query) })
}

// refuse rejects a request that has not run. Its caller retries once after the delay it was told, but
// at the latest after a third of its remaining time.
func (s *simulation) refuse(r *request, after time.Duration) {
	if !s.mayRetry(r) {
		return
	}
	remaining := ms(r.class.Deadline) - (s.now - r.arrived)
	delay := ms(after) * (0.75 + 0.5*s.ties.Float64())
	s.retryAfter(r, min(delay, remaining/3))
}

// mayRetry counts a retry of the caller and resets what its earlier attempts met; a caller that has
// used up its retries gives up.
func (s *simulation) mayRetry(r *request) bool {
	r.callerRetries++
	if r.callerRetries > maxCallerRetries {
		s.fail(r)
		return false
	}
	r.excluded, r.failures, r.attempts = nil, 0, 0
	return true
}

// maxCallerRetries bounds the retries of a caller after a refusal or a broken connection.
const maxCallerRetries = 1

func (s *simulation) reserve(choice placement.Choice) bool {
	for i, tokens := range choice.Reserved {
		if tokens > 0 && !s.engines[choice.ServerAt(i).ID].Fits(tokens) {
			return false
		}
	}
	return true
}

func (s *simulation) recordDispatch(r *request, choice placement.Choice) {
	dispatch := placement.Dispatch{ID: r.id, Server: choice.Server.ID, Reserved: choice.Reserved, PromptTokens: r.promptTokens, AnswerTokens: r.outputHint,
		Gap: r.class.Gap, Target: r.class.Target - enginemodel.MillisToDuration(s.now-r.arrived), Lifetime: r.class.Deadline}
	for _, helper := range choice.Helpers {
		dispatch.Helpers = append(dispatch.Helpers, helper.ID)
	}
	s.broadcast(r.entry, func(b *placement.LoadTable, own bool) {
		if own {
			b.Begin(s.clock(), dispatch, &s.deployment.Engine, choice.Predicted)
			return
		}
		b.BeginPeerDispatch(s.clock(), entryName(r.entry), dispatch, &s.deployment.Engine)
	})
}

// broadcast calls do for the load table of an entry now and for those of the other entries of its
// shard after the update delay. Updates to or from a partitioned entry are lost.
func (s *simulation) broadcast(entry int, do func(b *placement.LoadTable, own bool)) {
	do(s.entries[entry], true)
	sentAt := enginemodel.MillisToDuration(s.now)
	if s.deployment.isPartitioned(entry, sentAt) {
		return
	}
	s.at(s.now+float64(s.deployment.UpdateDelay)/float64(time.Millisecond), func() {
		for i, b := range s.entries {
			if i != entry && !s.stoppedEntries[i] && !s.deployment.isPartitioned(i, sentAt) && s.shardOf(i) == s.shardOf(entry) {
				do(b, false)
			}
		}
	})
}

func (s *simulation) submit(r *request, id string) {
	if r.done || r.id != id {
		return
	}
	if s.crashedEngines[r.choice.Server.ID] {
		s.entries[r.entry].MarkUnreachable(s.clock(), r.choice.Server.ID, s.ties.Float64())
		r.attempts--
		s.retry(r, r.choice.Server.ID)
		return
	}
	for i := range r.pendingParts {
		job := enginemodel.Job{ID: r.id, PromptTokens: r.promptTokens, Parts: r.pendingParts, PrefillOnly: i > 0, AnswerTokens: max(r.outputTokens-int64(r.written*s.deployment.Engine.Stride), 1), Urgency: urgency(r.promptTokens)}
		if len(r.choice.Reserved) > 0 {
			job.Distributed, job.Reserved = true, r.choice.Reserved[i]
		}
		s.updateEngine(r.choice.ServerAt(i).ID, func(b *enginemodel.Batcher) { b.Submit(s.now, job) })
	}
}

// urgency returns the priority that entries give to a prompt by its length.
func urgency(promptTokens int64) int {
	if promptTokens <= 12_000 {
		return 1
	}
	return 5
}

// updateEngine changes an engine and schedules the end of the pass that this starts.
func (s *simulation) updateEngine(id string, do func(b *enginemodel.Batcher)) {
	b := s.engines[id]
	_, busy := b.PassEnd()
	do(b)
	if !busy {
		s.schedulePass(id)
	}
}

func (s *simulation) schedulePass(id string) {
	b := s.engines[id]
	end, busy := b.PassEnd()
	if !busy {
		return
	}
	s.at(end, func() {
		notices := b.EndPass(s.now)
		s.schedulePass(id)
		for _, notice := range notices {
			s.handleNotice(notice)
		}
	})
}

func (s *simulation) handleNotice(n enginemodel.Notice) {
	r := s.jobs[n.ID]
	if r == nil || r.done || r.id != n.ID {
		return
	}
	switch n.Kind {
	case enginemodel.PartPrefilled:
		r.pendingParts--
		if r.pendingParts == 0 {
			var released []enginemodel.Notice
			s.updateEngine(r.choice.Server.ID, func(b *enginemodel.Batcher) { released = b.CompletePrefill(s.now, r.id) })
			for _, notice := range released {
				s.handleNotice(notice)
			}
		}
	case enginemodel.EventWritten:
		s.at(s.now+backMs, func() { s.receiveEvent(r, n.ID) })
	case enginemodel.AnswerComplete:
		s.at(s.now+backMs, func() { s.finish(r, n.ID) })
	}
}

func (s *simulation) receiveEvent(r *request, id string) {
	if r.done || r.id != id {
		return
	}
	r.events++
	if r.events == r.written+1 {
		s.broadcast(r.entry, func(b *placement.LoadTable, _ bool) { b.FirstEvent(s.clock(), id) })
	}
	if r.events == 1 {
		r.firstEventMs = s.now - r.arrived
	} else {
		r.longestGapMs = max(r.longestGapMs, s.now-r.lastEventMs)
	}
	r.lastActivityMs, r.lastEventMs = s.now, s.now
}

func (s *simulation) finish(r *request, id string) {
	if r.done || r.id != id {
		return
	}
	s.end(r)
	full, late := r.class.worth(float64(r.promptTokens))
	r.stats.FirstEventMs = append(r.stats.FirstEventMs, r.firstEventMs)
	r.stats.LongestGapMs = append(r.stats.LongestGapMs, r.longestGapMs)
	switch {
	case r.firstEventMs > float64(r.class.Target.Milliseconds()):
		r.stats.Late++
		r.stats.LateFirstEvent++
		s.result.addEarned(r, late)
	case r.longestGapMs > float64(r.class.Gap.Milliseconds()):
		r.stats.Late++
		r.stats.LateGap++
		s.result.addEarned(r, late)
	default:
		r.stats.InTime++
		if r.promptTokens >= hugeTokens {
			s.result.Memory.HugeInTime++
		}
		s.result.addEarned(r, full)
	}
}

// fail ends a request that got no complete response.
func (s *simulation) fail(r *request) {
	if r.done {
		return
	}
	r.stats.Failed++
	s.cancel(r)
	s.end(r)
}

// cancel cancels the current attempt of a request at the engines.
func (s *simulation) cancel(r *request) {
	if r.id == "" {
		return
	}
	s.cancelAt(r.choice, r.id)
}

// cancelAt cancels an attempt at all engines that prefill it.
func (s *simulation) cancelAt(choice placement.Choice, id string) {
	for i := range len(choice.Helpers) + 1 {
		s.engines[choice.ServerAt(i).ID].Cancel(id)
	}
}

// end marks a request as done and ends its attempt.
func (s *simulation) end(r *request) {
	r.done = true
	s.withdrawClaim(r)
	s.endAttempt(r)
}

// endAttempt removes the attempt from the load tables of the entries.
func (s *simulation) endAttempt(r *request) {
	if r.id == "" {
		return
	}
	id := r.id
	delete(s.jobs, id)
	r.id = ""
	s.broadcast(r.entry, func(b *placement.LoadTable, _ bool) { b.End(s.clock(), id) })
}

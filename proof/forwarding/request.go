package forwarding

import (
	"fmt"
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

// avoided returns the servers of the entries that one doesn't hear.
func (d *day) avoided(entry int) map[string]bool {
	now := enginemodel.MillisToDuration(d.now)
	var silent []string
	for other := range d.entries {
		if other != entry && !d.away[other] && (d.site.cutOff(entry, now) || d.site.cutOff(other, now)) {
			silent = append(silent, entryName(other))
		}
	}
	if len(silent) == 0 || d.site.NoSlices {
		return nil
	}
	return peering.ServersOf(silent, d.owners)
}

func entryName(entry int) string { return fmt.Sprintf("entry-%d", entry) }

// maxTries bounds the choices whose reservations were refused.
const maxTries = 3

func (d *day) send(r *request) {
	if r.over || r.id != "" || d.away[r.entry] {
		return
	}
	book := d.entries[r.entry]
	waited := enginemodel.MillisToDuration(d.now - r.arrived)
	query := placement.Query{Servers: d.listedFor(r.entry), Avoid: d.avoided(r.entry), Engine: &d.site.Engine, Exclude: r.excluded, PromptTokens: r.prompt, AnswerTokens: r.hint,
		Target: max(r.class.Target-waited, time.Millisecond), Gap: r.class.Gap, Remaining: r.class.Deadline - waited, TieBreak: d.ties.Float64()}
	choice, refusal := book.Choose(d.clock(), query)
	if refusal != "" {
		d.refuse(r, choice.RetryAfter)
		return
	}
	if choice.Wait > 0 {
		d.at(d.now+float64(choice.Wait.Milliseconds()), func() { d.send(r) })
		return
	}
	if !d.reserve(choice) {
		r.tries++
		r.excluded = append(r.excluded, choice.Server.ID)
		if r.tries >= maxTries {
			d.refuse(r, time.Second)
			return
		}
		d.send(r)
		return
	}
	d.serial++
	r.id = fmt.Sprintf("r%d", d.serial)
	r.choice, r.partsDue = choice, len(choice.Helpers)+1
	r.sent++
	d.jobs[r.id] = r
	d.result.Connections++
	d.tell(r, choice)
	id := r.id
	d.at(d.now+toServerMs, func() { d.submit(r, id) })
	d.watchStall(r, id, query)
}

// watchStall moves a request to another server if its own is stalled.
func (d *day) watchStall(r *request, id string, query placement.Query) {
	check := placement.RedispatchCheckDelay(r.choice, query.Engine)
	if check == 0 || r.sent >= maxSends {
		return
	}
	d.at(d.now+ms(check), func() { d.lookForStall(r, id, query) })
}

func (d *day) lookForStall(r *request, id string, query placement.Query) {
	if r.over || r.id != id || r.events > r.written {
		return
	}
	if d.entries[r.entry].ShouldRedispatch(d.clock(), r.choice.Server.ID, query) {
		d.again(r, r.choice.Server.ID)
		return
	}
	d.at(d.now+ms(placement.RedispatchCheckInterval), func() { d.lookForStall(r, id, query) })
}

// refuse answers a request that was not run. Its caller comes back once, when it was told to,
// as long as that is within a third of its time.
func (d *day) refuse(r *request, after time.Duration) {
	if !d.mayReturn(r) {
		return
	}
	left := ms(r.class.Deadline) - (d.now - r.arrived)
	told := ms(after) * (0.75 + 0.5*d.ties.Float64())
	d.sleep(r, min(told, left/3))
}

// mayReturn counts a caller's return and forgets what it met before; one that has come back
// often enough leaves.
func (d *day) mayReturn(r *request) bool {
	r.returns++
	if r.returns > callerReturns {
		d.leave(r)
		return false
	}
	r.excluded, r.tries, r.sent = nil, 0, 0
	return true
}

// callerReturns is how often callers come back after a refusal or a broken connection.
const callerReturns = 1

func (d *day) reserve(choice placement.Choice) bool {
	for i, tokens := range choice.Reserved {
		if tokens > 0 && !d.engines[choice.ServerAt(i).ID].Fits(tokens) {
			return false
		}
	}
	return true
}

func (d *day) tell(r *request, choice placement.Choice) {
	dispatch := placement.Dispatch{ID: r.id, Server: choice.Server.ID, Reserved: choice.Reserved, PromptTokens: r.prompt, AnswerTokens: r.hint,
		Gap: r.class.Gap, Target: r.class.Target - enginemodel.MillisToDuration(d.now-r.arrived), Lifetime: r.class.Deadline}
	for _, helper := range choice.Helpers {
		dispatch.Helpers = append(dispatch.Helpers, helper.ID)
	}
	d.everywhere(r.entry, func(b *placement.LoadTable, own bool) {
		if own {
			b.Begin(d.clock(), dispatch, &d.site.Engine, choice.Predicted)
			return
		}
		b.BeginPeerDispatch(d.clock(), entryName(r.entry), dispatch, &d.site.Engine)
	})
}

// everywhere does something at an entry now and at the others of its part when the news
// has reached them. News to or from an entry that is cut off are lost.
func (d *day) everywhere(entry int, do func(b *placement.LoadTable, own bool)) {
	do(d.entries[entry], true)
	sent := enginemodel.MillisToDuration(d.now)
	if d.site.cutOff(entry, sent) {
		return
	}
	d.at(d.now+float64(d.site.News)/float64(time.Millisecond), func() {
		for i, b := range d.entries {
			if i != entry && !d.away[i] && !d.site.cutOff(i, sent) && d.partOf(i) == d.partOf(entry) {
				do(b, false)
			}
		}
	})
}

func (d *day) submit(r *request, id string) {
	if r.over || r.id != id {
		return
	}
	if d.down[r.choice.Server.ID] {
		d.entries[r.entry].MarkUnreachable(d.clock(), r.choice.Server.ID, d.ties.Float64())
		r.sent--
		d.again(r, r.choice.Server.ID)
		return
	}
	for i := range r.partsDue {
		job := enginemodel.Job{ID: r.id, PromptTokens: r.prompt, Parts: r.partsDue, PrefillOnly: i > 0, AnswerTokens: max(r.answer-int64(r.written*d.site.Engine.Stride), 1), Urgency: urgency(r.prompt)}
		if len(r.choice.Reserved) > 0 {
			job.Distributed, job.Reserved = true, r.choice.Reserved[i]
		}
		d.drive(r.choice.ServerAt(i).ID, func(b *enginemodel.Batcher) { b.Submit(d.now, job) })
	}
}

// urgency is the entries' rank by length.
func urgency(prompt int64) int {
	if prompt <= 12_000 {
		return 1
	}
	return 5
}

// drive changes an engine and schedules the end of the pass that this begins.
func (d *day) drive(id string, do func(b *enginemodel.Batcher)) {
	b := d.engines[id]
	_, busy := b.PassEnd()
	do(b)
	if !busy {
		d.schedulePass(id)
	}
}

func (d *day) schedulePass(id string) {
	b := d.engines[id]
	end, busy := b.PassEnd()
	if !busy {
		return
	}
	d.at(end, func() {
		notices := b.EndPass(d.now)
		d.schedulePass(id)
		for _, notice := range notices {
			d.notice(notice)
		}
	})
}

func (d *day) notice(n enginemodel.Notice) {
	r := d.jobs[n.ID]
	if r == nil || r.over || r.id != n.ID {
		return
	}
	switch n.Kind {
	case enginemodel.PartPrefilled:
		r.partsDue--
		if r.partsDue == 0 {
			var released []enginemodel.Notice
			d.drive(r.choice.Server.ID, func(b *enginemodel.Batcher) { released = b.CompletePrefill(d.now, r.id) })
			for _, notice := range released {
				d.notice(notice)
			}
		}
	case enginemodel.EventWritten:
		d.at(d.now+backMs, func() { d.wrote(r, n.ID) })
	case enginemodel.AnswerComplete:
		d.at(d.now+backMs, func() { d.finish(r, n.ID) })
	}
}

func (d *day) wrote(r *request, id string) {
	if r.over || r.id != id {
		return
	}
	r.events++
	if r.events == r.written+1 {
		d.everywhere(r.entry, func(b *placement.LoadTable, _ bool) { b.FirstEvent(d.clock(), id) })
	}
	if r.events == 1 {
		r.firstMs = d.now - r.arrived
	} else {
		r.longest = max(r.longest, d.now-r.eventAt)
	}
	r.lastAt, r.eventAt = d.now, d.now
}

func (d *day) finish(r *request, id string) {
	if r.over || r.id != id {
		return
	}
	d.end(r)
	full, late := r.class.worth(float64(r.prompt))
	r.outcome.FirstMs = append(r.outcome.FirstMs, r.firstMs)
	r.outcome.Longest = append(r.outcome.Longest, r.longest)
	switch {
	case r.firstMs > float64(r.class.Target.Milliseconds()):
		r.outcome.Late++
		r.outcome.LateFirst++
		d.result.earn(r, late)
	case r.longest > float64(r.class.Gap.Milliseconds()):
		r.outcome.Late++
		r.outcome.LateGap++
		d.result.earn(r, late)
	default:
		r.outcome.InTime++
		d.result.earn(r, full)
	}
}

// leave ends a request that got no whole answer.
func (d *day) leave(r *request) {
	if r.over {
		return
	}
	r.outcome.Failed++
	d.cancel(r)
	d.end(r)
}

// cancel ends the work of a request's try at the engines.
func (d *day) cancel(r *request) {
	if r.id == "" {
		return
	}
	d.cancelAt(r.choice, r.id)
}

// cancelAt ends a try at all engines that read it.
func (d *day) cancelAt(choice placement.Choice, id string) {
	for i := range len(choice.Helpers) + 1 {
		d.engines[choice.ServerAt(i).ID].Cancel(id)
	}
}

// end ends a request.
func (d *day) end(r *request) {
	r.over = true
	d.endTry(r)
}

// endTry ends a try in the books of the entries.
func (d *day) endTry(r *request) {
	if r.id == "" {
		return
	}
	id := r.id
	delete(d.jobs, id)
	r.id = ""
	d.everywhere(r.entry, func(b *placement.LoadTable, _ bool) { b.End(d.clock(), id) })
}

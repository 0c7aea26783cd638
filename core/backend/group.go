package backend

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/scheduling"
)

// GroupLeaseDuration is the time after which a part of a group reservation
// expires unless renewed.
const GroupLeaseDuration = 6 * time.Second

// GroupParts returns the engines of a group with their memory sizes in tokens.
func GroupParts(snapshot *config.Snapshot, group config.Group) []memory.Part {
	var parts []memory.Part
	for _, member := range group.Members {
		server, engine, _ := strings.Cut(member, "/")
		parts = append(parts, memory.Part{Server: server, Engine: engine, Tokens: snapshot.Servers[server].Engines[engine].MemoryTokens})
	}
	return parts
}

// groupRetryDelay is the wait before refused parts are requested again.
const groupRetryDelay = 500 * time.Millisecond

// groupQueue serves the prompts of one group sequentially. Waiting prompts hold no
// reservation.
type groupQueue struct {
	reservations *memory.Group
	waiting      []execution.AttemptID
	// reserving is the attempt whose parts are being requested, running the
	// attempt that holds its parts. At most one of them is set.
	reserving, running execution.AttemptID
	// reservation is the ID of the reservation that is being requested or held.
	reservation string
	// reservationCount numbers the reservations, so that their IDs differ.
	reservationCount int
	retryAt          time.Time
}

// reservationSeparator separates the attempt from the number in a reservation ID.
const reservationSeparator = "~"

// reservationID returns a distinct ID for each reservation of an attempt. Members
// remember released IDs for a while, so that a delayed message can't reserve a
// part again; a new reservation under the same ID would be refused.
func reservationID(id execution.AttemptID, number int) string {
	return fmt.Sprintf("%s%s%d", id, reservationSeparator, number)
}

// attemptOf returns the attempt that a reservation belongs to.
func attemptOf(reservation string) execution.AttemptID {
	id, _, _ := strings.Cut(reservation, reservationSeparator)
	return execution.AttemptID(id)
}

// checkGroupCapacity returns a refusal if a prompt can't be admitted to an engine
// group that this daemon leads.
func (c *Core) checkGroupCapacity(now time.Time, offer Offer, job scheduling.Job) *execution.Refusal {
	group, ok := c.snapshot.Groups[offer.Group]
	if !ok || group.Lead != c.options.Server {
		return &execution.Refusal{Code: execution.CodeNoServer, Detail: "this daemon does not lead the group"}
	}
	if _, fits := memory.Split(job.MemoryTokens(), GroupParts(c.snapshot, group)); !fits {
		return &execution.Refusal{Code: execution.CodeTooLong, Detail: "the group's engines don't hold the prompt and its answer"}
	}
	rate := c.scheduler.MeanPrefillRate(group.Hall) * float64(len(group.Members))
	own := prefillTime(job.PromptTokens, rate)
	return c.checkLimits(now, offer, job, own+prefillTime(c.groupBacklog(c.groups[offer.Group]), rate), own)
}

// groupLoad returns the load of the hall's groups that this daemon leads.
func (c *Core) groupLoad(hall string) scheduling.Load {
	var load scheduling.Load
	for name, queue := range c.groups {
		group := c.snapshot.Groups[name]
		if group.Hall != hall {
			continue
		}
		load.PrefillRate += c.scheduler.MeanPrefillRate(hall) * float64(len(group.Members))
		load.Waiting += len(queue.waiting)
		for _, id := range append(slices.Clone(queue.waiting), queue.reserving, queue.running) {
			if a := c.attempts[id]; a != nil {
				load.Classes = append(load.Classes, scheduling.ClassLoad{Class: a.job.Class, QueuedTokens: a.job.PromptTokens})
			}
		}
	}
	return load
}

// groupBacklog returns the prompt tokens to prefill before a new prompt of the
// group.
func (c *Core) groupBacklog(queue *groupQueue) int64 {
	var tokens int64
	for _, id := range append(slices.Clone(queue.waiting), queue.reserving, queue.running) {
		if a := c.attempts[id]; a != nil {
			tokens += a.job.PromptTokens
		}
	}
	return tokens
}

func (c *Core) enqueueGroup(now time.Time, a *attempt) []Effect {
	queue := c.groups[a.offer.Group]
	queue.waiting = append(queue.waiting, a.offer.Attempt)
	return c.reserveNext(now, a.offer.Group)
}

// reserveNext requests the parts of the next waiting prompt, unless a reservation
// is already requested or held.
func (c *Core) reserveNext(now time.Time, name string) []Effect {
	queue := c.groups[name]
	if queue.reserving != "" || queue.running != "" || len(queue.waiting) == 0 || now.Before(queue.retryAt) {
		return nil
	}
	queue.reserving = queue.waiting[0]
	queue.waiting = queue.waiting[1:]
	a := c.attempts[queue.reserving]
	parts, _ := memory.Split(a.job.MemoryTokens(), GroupParts(c.snapshot, c.snapshot.Groups[name]))
	queue.reservationCount++
	queue.reservation = reservationID(queue.reserving, queue.reservationCount)
	return c.groupEffects(now, name, queue.reservations.Reserve(now, queue.reservation, parts))
}

// leaveGroup removes an attempt from its group's queue and releases its parts.
func (c *Core) leaveGroup(now time.Time, a *attempt) []Effect {
	queue := c.groups[a.offer.Group]
	if queue == nil {
		return nil
	}
	id := a.offer.Attempt
	queue.waiting = slices.DeleteFunc(queue.waiting, func(other execution.AttemptID) bool { return other == id })
	if queue.reserving != id && queue.running != id {
		return nil
	}
	queue.reserving, queue.running = "", ""
	effects := c.groupEffects(now, a.offer.Group, queue.reservations.Release(queue.reservation))
	return append(effects, c.reserveNext(now, a.offer.Group)...)
}

func (c *Core) tickGroups(now time.Time) []Effect {
	var effects []Effect
	for name, queue := range c.groups {
		effects = append(effects, c.groupEffects(now, name, queue.reservations.Tick(now))...)
		effects = append(effects, c.reserveNext(now, name)...)
	}
	return effects
}

// holdsPart reports whether a stream's owner has reserved a part of an engine of
// this server.
func (c *Core) holdsPart(engine, stream string) bool {
	for _, lease := range c.leases.List() {
		if lease.Engine == engine && !lease.Orphan && attemptOf(lease.Owner) == execution.AttemptID(stream) {
			return true
		}
	}
	return false
}

// PartReplied handles a member's reply to RequestPart. A lost reply counts as a
// refusal.
func (c *Core) PartReplied(now time.Time, request RequestPart, granted bool) []Effect {
	return c.groupEffects(now, request.Group, c.groups[request.Group].reservations.OnReply(request.Reservation, request.Part, granted))
}

func (c *Core) groupEffects(now time.Time, group string, actions []memory.GroupAction) []Effect {
	var effects []Effect
	for _, action := range actions {
		switch a := action.(type) {
		case memory.RequestPart:
			effects = append(effects, RequestPart{Group: group, Reservation: a.Reservation, Part: a.Part, Expires: a.Expires})
		case memory.ReleasePart:
			effects = append(effects, ReleasePart(a))
		case memory.GroupReady:
			effects = append(effects, c.startGroup(a.Reservation)...)
		case memory.GroupRefused:
			effects = append(effects, c.handleGroupRefusal(now, a.Reservation)...)
		}
	}
	return effects
}

// startGroup starts the attempt on the lead's engine once all parts are reserved.
// The parts cover its memory, so it needs no further lease.
func (c *Core) startGroup(reservation string) []Effect {
	id := attemptOf(reservation)
	a := c.attempts[id]
	if a == nil || !c.ledger.Start(id) {
		return nil
	}
	queue := c.groups[a.offer.Group]
	queue.reserving, queue.running = "", id
	group := c.snapshot.Groups[a.offer.Group]
	for _, member := range group.Members {
		if server, engine, _ := strings.Cut(member, "/"); server == c.options.Server {
			return []Effect{StartRun{Attempt: id, Engine: engine, Priority: a.job.Rank, Group: group.Members}}
		}
	}
	return nil
}

// handleGroupRefusal handles a failed reservation. A prompt that has not started
// is requeued and retried after groupRetryDelay; a running prompt has lost a part
// and is stopped.
func (c *Core) handleGroupRefusal(now time.Time, reservation string) []Effect {
	id := attemptOf(reservation)
	a := c.attempts[id]
	if a == nil {
		return nil
	}
	queue := c.groups[a.offer.Group]
	if queue.running == id {
		return c.stopRun(id)
	}
	queue.reserving = ""
	queue.waiting = append([]execution.AttemptID{id}, queue.waiting...)
	queue.retryAt = now.Add(groupRetryDelay)
	return nil
}

// ReservePart reserves a part of a group reservation on an engine of this server.
func (c *Core) ReservePart(now time.Time, reservation string, part memory.Part, expires time.Time) error {
	if err := c.scheduler.Reserve(now, part.Engine, reservation, part.Tokens); err != nil {
		return err
	}
	err := c.leases.Grant(now, memory.Lease{Owner: reservation, Engine: part.Engine, Tokens: part.Tokens, Expires: expires})
	if err != nil {
		c.scheduler.Release(now, reservation)
	}
	return err
}

// ReleasePart releases a part. It is idempotent.
func (c *Core) ReleasePart(now time.Time, reservation string) []Effect {
	c.leases.Release(now, reservation)
	c.scheduler.Release(now, reservation)
	return c.schedule(now)
}

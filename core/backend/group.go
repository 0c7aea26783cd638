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

// GroupLeaseDuration is how long a part of a group reservation lives unless renewed.
const GroupLeaseDuration = 6 * time.Second

// GroupParts returns the engines of a group with their sizes.
func GroupParts(snapshot *config.Snapshot, group config.Group) []memory.Part {
	var parts []memory.Part
	for _, member := range group.Members {
		server, engine, _ := strings.Cut(member, "/")
		parts = append(parts, memory.Part{Server: server, Engine: engine, Tokens: snapshot.Servers[server].Engines[engine].MemoryTokens})
	}
	return parts
}

// groupRetry is the wait before parts that were refused are asked for again.
const groupRetry = 500 * time.Millisecond

// groupQueue serves the prompts of one group, one after the other. Those that
// wait hold nothing.
type groupQueue struct {
	reservations *memory.Group
	waiting      []execution.AttemptID
	// asking is the attempt whose parts are asked for, running the one that
	// holds them; one of them at most is set.
	asking, running execution.AttemptID
	// reservation is the name of the one that is asked for or held.
	reservation string
	tries       int
	retryAt     time.Time
}

// reservationMark stands between an attempt and the number of the try.
const reservationMark = "~"

// reservationName returns a name of its own for each try. A member remembers for
// a while what was released, so that a late message can't take a part again; a
// second try under the same name would be refused for it.
func reservationName(id execution.AttemptID, try int) string {
	return fmt.Sprintf("%s%s%d", id, reservationMark, try)
}

// attemptOf returns the attempt that a reservation is for.
func attemptOf(reservation string) execution.AttemptID {
	id, _, _ := strings.Cut(reservation, reservationMark)
	return execution.AttemptID(id)
}

// groupCapacity admits a prompt for an engine group that this daemon leads.
func (c *Core) groupCapacity(now time.Time, offer Offer, job scheduling.Job) *execution.Refusal {
	group, ok := c.snapshot.Groups[offer.Group]
	if !ok || group.Lead != c.options.Server {
		return &execution.Refusal{Code: execution.CodeNoServer, Detail: "this daemon does not lead the group"}
	}
	if _, fits := memory.Split(job.Memory(), GroupParts(c.snapshot, group)); !fits {
		return &execution.Refusal{Code: execution.CodeTooLong, Detail: "the group's engines don't hold the prompt and its answer"}
	}
	rate := c.scheduler.Rate(group.Hall) * float64(len(group.Members))
	own := prefillTime(job.PromptTokens, rate)
	return c.checkLimits(now, offer, job, own+prefillTime(c.groupTokens(c.groups[offer.Group]), rate), own)
}

// groupLoad is the load of the hall's groups that this daemon leads.
func (c *Core) groupLoad(hall string) scheduling.Load {
	var load scheduling.Load
	for name, queue := range c.groups {
		group := c.snapshot.Groups[name]
		if group.Hall != hall {
			continue
		}
		load.Rate += c.scheduler.Rate(hall) * float64(len(group.Members))
		load.Waiting += len(queue.waiting)
		for _, id := range append(slices.Clone(queue.waiting), queue.asking, queue.running) {
			if w := c.work[id]; w != nil {
				load.Classes = append(load.Classes, scheduling.ClassLoad{Class: w.job.Class, QueuedTokens: w.job.PromptTokens})
			}
		}
	}
	return load
}

// groupTokens is the prefill work ahead of a new prompt of the group.
func (c *Core) groupTokens(queue *groupQueue) int64 {
	var tokens int64
	for _, id := range append(slices.Clone(queue.waiting), queue.asking, queue.running) {
		if w := c.work[id]; w != nil {
			tokens += w.job.PromptTokens
		}
	}
	return tokens
}

func (c *Core) queueGroup(now time.Time, w *work) []Effect {
	queue := c.groups[w.offer.Group]
	queue.waiting = append(queue.waiting, w.offer.Attempt)
	return c.nextOfGroup(now, w.offer.Group)
}

// nextOfGroup asks for the parts of the next prompt, if none is under way.
func (c *Core) nextOfGroup(now time.Time, name string) []Effect {
	queue := c.groups[name]
	if queue.asking != "" || queue.running != "" || len(queue.waiting) == 0 || now.Before(queue.retryAt) {
		return nil
	}
	queue.asking = queue.waiting[0]
	queue.waiting = queue.waiting[1:]
	w := c.work[queue.asking]
	parts, _ := memory.Split(w.job.Memory(), GroupParts(c.snapshot, c.snapshot.Groups[name]))
	queue.tries++
	queue.reservation = reservationName(queue.asking, queue.tries)
	return c.groupEffects(now, name, queue.reservations.Begin(now, queue.reservation, parts))
}

// endGroup takes an attempt out of its group and gives its parts back.
func (c *Core) endGroup(now time.Time, w *work) []Effect {
	queue := c.groups[w.offer.Group]
	if queue == nil {
		return nil
	}
	id := w.offer.Attempt
	queue.waiting = slices.DeleteFunc(queue.waiting, func(other execution.AttemptID) bool { return other == id })
	if queue.asking != id && queue.running != id {
		return nil
	}
	queue.asking, queue.running = "", ""
	effects := c.groupEffects(now, w.offer.Group, queue.reservations.End(queue.reservation))
	return append(effects, c.nextOfGroup(now, w.offer.Group)...)
}

func (c *Core) tickGroups(now time.Time) []Effect {
	var effects []Effect
	for name, queue := range c.groups {
		effects = append(effects, c.groupEffects(now, name, queue.reservations.Tick(now))...)
		effects = append(effects, c.nextOfGroup(now, name)...)
	}
	return effects
}

// reserved says whether a stream's owner holds a part of an engine here.
func (c *Core) reserved(engine, stream string) bool {
	for _, lease := range c.leases.Held() {
		if lease.Engine == engine && !lease.Orphan && attemptOf(lease.Owner) == execution.AttemptID(stream) {
			return true
		}
	}
	return false
}

// PartReplied takes in a member's answer to AskPart; a lost one is a refusal.
func (c *Core) PartReplied(now time.Time, ask RequestPart, granted bool) []Effect {
	return c.groupEffects(now, ask.Group, c.groups[ask.Group].reservations.Answered(ask.Reservation, ask.Part, granted))
}

func (c *Core) groupEffects(now time.Time, group string, actions []memory.GroupAction) []Effect {
	var effects []Effect
	for _, action := range actions {
		switch a := action.(type) {
		case memory.Ask:
			effects = append(effects, RequestPart{Group: group, Reservation: a.Reservation, Part: a.Part, Expires: a.Expires})
		case memory.GiveBack:
			effects = append(effects, ReleasePart(a))
		case memory.GroupReady:
			effects = append(effects, c.startGroup(a.Reservation)...)
		case memory.GroupRefused:
			effects = append(effects, c.refuseGroup(now, a.Reservation)...)
		}
	}
	return effects
}

// startGroup runs the attempt on the lead's engine once all parts are held. The
// parts are its memory, so it takes no lease of its own.
func (c *Core) startGroup(reservation string) []Effect {
	id := attemptOf(reservation)
	w := c.work[id]
	if w == nil || !c.ledger.Start(id) {
		return nil
	}
	queue := c.groups[w.offer.Group]
	queue.asking, queue.running = "", id
	group := c.snapshot.Groups[w.offer.Group]
	for _, member := range group.Members {
		if server, engine, _ := strings.Cut(member, "/"); server == c.options.Server {
			return []Effect{StartRun{Attempt: id, Engine: engine, Priority: w.job.Rank, Group: group.Members}}
		}
	}
	return nil
}

// refuseGroup handles a reservation that failed. One that waits is asked for
// again a little later; a prompt that runs has lost a part and can't go on.
func (c *Core) refuseGroup(now time.Time, reservation string) []Effect {
	id := attemptOf(reservation)
	w := c.work[id]
	if w == nil {
		return nil
	}
	queue := c.groups[w.offer.Group]
	if queue.running == id {
		return c.stopRun(id)
	}
	queue.asking = ""
	queue.waiting = append([]execution.AttemptID{id}, queue.waiting...)
	queue.retryAt = now.Add(groupRetry)
	return nil
}

// ReservePart books a part of a group reservation on an engine of this server.
func (c *Core) ReservePart(now time.Time, reservation string, part memory.Part, expires time.Time) error {
	if err := c.scheduler.Hold(now, part.Engine, reservation, part.Tokens); err != nil {
		return err
	}
	err := c.leases.Grant(now, memory.Lease{Owner: reservation, Engine: part.Engine, Tokens: part.Tokens, Expires: expires})
	if err != nil {
		c.scheduler.Unhold(now, reservation)
	}
	return err
}

// ReleasePart gives a part back; it is idempotent.
func (c *Core) ReleasePart(now time.Time, reservation string) []Effect {
	c.leases.Release(now, reservation)
	c.scheduler.Unhold(now, reservation)
	return c.schedule(now)
}

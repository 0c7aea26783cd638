package forwarding

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

// Times of the network, in milliseconds.
const (
	toServerMs = 3.5 // opening a connection and the request's way
	backMs     = 1.5 // an event's way back
)

// Outcome is what a class's callers got.
type Outcome struct {
	Asked, InTime, Late, Failed int
	// LateFirst and LateGap divide the late ones by what was late first.
	LateFirst, LateGap int
	Owed, Earned       float64
	// FirstMs is the times to the first event, Longest the longest pauses.
	FirstMs, Longest []float64
}

// Result is a day's outcome by class.
type Result struct {
	Classes []Outcome
}

// Worth is the earned part of the worth of all requests.
func (r *Result) Worth() float64 {
	owed, earned := 0.0, 0.0
	for _, c := range r.Classes {
		owed += c.Owed
		earned += c.Earned
	}
	return earned / owed
}

type day struct {
	site   *Site
	random *rand.Rand
	// ties is apart from random, so that all policies see the same callers.
	ties    *rand.Rand
	now     float64
	queue   events
	entries []*placement.Book
	listed  []directory.Server
	engines map[string]*enginemodel.Batcher
	open    map[string]*request
	result  *Result
	serial  int
	// owners names the entry that keeps each server while entries are cut off.
	owners map[string]string
}

// request is one caller's request.
type request struct {
	id       string
	class    *Class
	outcome  *Outcome
	entry    int
	prompt   int64
	answer   int64
	hint     int64
	arrived  float64
	choice   placement.Choice
	partsDue int
	events   int
	lastAt   float64
	firstMs  float64
	longest  float64
	over     bool
	tries    int
	refused  int
	excluded []string
}

type event struct {
	at    float64
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Play plays one day with the options of the entries' placement.
func Play(site Site, seed uint64, options placement.Options) *Result {
	d := &day{site: &site, random: rand.New(rand.NewPCG(seed, 1)), ties: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*enginemodel.Batcher{},
		open: map[string]*request{}, result: &Result{Classes: make([]Outcome, len(site.Classes))}}
	for i := range site.Entries {
		options.Zone = zoneName(i % site.Zones)
		d.entries = append(d.entries, placement.NewBook(options))
	}
	for i := range site.Engines {
		server := directory.Server{ID: fmt.Sprintf("e%03d", i), Service: "engines", Zone: zoneName(i % site.Zones), Slots: site.Engine.Slots}
		d.listed = append(d.listed, server)
		d.engines[server.ID] = enginemodel.NewBatcher(site.Engine)
	}
	d.owners = peering.Owners(names(site.Entries, entryName), directory.IDs(d.listed))
	for i := range site.Classes {
		d.scheduleArrival(i, 0)
	}
	for d.queue.Len() > 0 {
		next := heap.Pop(&d.queue).(event)
		d.now = next.at
		next.do()
	}
	return d.result
}

func names(count int, name func(int) string) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = name(i)
	}
	return all
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func (d *day) at(ms float64, do func()) {
	d.serial++
	heap.Push(&d.queue, event{ms, d.serial, do})
}

func (d *day) clock() time.Time { return time.Unix(0, 0).Add(enginemodel.Millis(d.now)) }

// maxRateStep bounds how far ahead an arrival is drawn, so that a change of the
// mix takes hold, in milliseconds.
const maxRateStep = 500

func (d *day) scheduleArrival(class int, from float64) {
	rate := d.site.Classes[class].PerSecond * d.site.loads(enginemodel.Millis(from))[class] / 1000
	gap := d.random.ExpFloat64() / rate
	end := float64(d.site.Length.Milliseconds())
	if gap > maxRateStep {
		if from+maxRateStep < end {
			d.at(from+maxRateStep, func() { d.scheduleArrival(class, d.now) })
		}
		return
	}
	if from+gap >= end {
		return
	}
	d.at(from+gap, func() {
		d.arrive(class)
		d.scheduleArrival(class, d.now)
	})
}

func (d *day) arrive(class int) {
	c, out := &d.site.Classes[class], &d.result.Classes[class]
	d.serial++
	r := &request{id: fmt.Sprintf("r%d", d.serial), class: c, outcome: out, entry: d.pickEntry(), arrived: d.now, lastAt: d.now}
	r.prompt = int64(lognormal(d.random, c.Prompt, c.PromptSpread, c.PromptMax))
	r.answer = int64(lognormal(d.random, c.Events, c.EventSpread, c.EventMax) * float64(d.site.Engine.Stride))
	r.hint = int64(lognormal(d.random, float64(r.answer), d.site.HintSpread, 10*float64(r.answer)))
	out.Asked++
	full, _ := c.worth(float64(r.prompt))
	out.Owed += full
	d.at(d.now+float64(c.Deadline.Milliseconds()), func() { d.leave(r) })
	d.watch(r)
	d.send(r)
}

// pickEntry draws the entry that a request comes to: any but the dead ones.
func (d *day) pickEntry() int {
	for {
		entry := d.random.IntN(d.site.Entries)
		if d.site.Dead == nil || !d.site.Dead(entry) {
			return entry
		}
	}
}

// roundingMs covers the rounding of times that were added up.
const roundingMs = 1e-6

// watch makes the caller leave after a pause that is longer than its patience.
func (d *day) watch(r *request) {
	patience := float64(r.class.patience().Milliseconds())
	d.at(r.lastAt+patience, func() {
		if r.over {
			return
		}
		if d.now-r.lastAt >= patience-roundingMs {
			d.leave(r)
			return
		}
		d.watch(r)
	})
}

// avoided returns the servers of the entries that one doesn't hear.
func (d *day) avoided(entry int) map[string]bool {
	now := enginemodel.Millis(d.now)
	var silent []string
	for other := range d.entries {
		if other != entry && (d.site.cutOff(entry, now) || d.site.cutOff(other, now)) {
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
	if r.over {
		return
	}
	book := d.entries[r.entry]
	waited := enginemodel.Millis(d.now - r.arrived)
	query := placement.Query{Servers: d.listed, Avoid: d.avoided(r.entry), Engine: &d.site.Engine, Exclude: r.excluded, PromptTokens: r.prompt, AnswerTokens: r.hint,
		Target: max(r.class.Target-waited, time.Millisecond), Gap: r.class.Gap, Remaining: r.class.Deadline - waited, Tie: d.ties.Float64()}
	choice, refusal := book.Choose(d.clock(), query)
	if refusal != "" {
		d.refuse(r)
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
			d.refuse(r)
			return
		}
		d.send(r)
		return
	}
	r.choice, r.partsDue = choice, len(choice.Helpers)+1
	d.open[r.id] = r
	d.tell(r, choice)
	d.at(d.now+toServerMs, func() { d.submit(r) })
}

// retryAfterMs is the mean of what refused callers are told; they come back within
// a quarter around it, once.
const retryAfterMs = 1000

func (d *day) refuse(r *request) {
	r.refused++
	if r.refused > 1 {
		d.leave(r)
		return
	}
	r.excluded, r.tries = nil, 0
	after := retryAfterMs * (0.75 + 0.5*d.ties.Float64())
	r.lastAt = d.now + after
	d.at(d.now+after, func() { d.send(r) })
}

func (d *day) reserve(choice placement.Choice) bool {
	for i, tokens := range choice.Held {
		if tokens > 0 && !d.engines[choice.At(i).ID].Fits(tokens) {
			return false
		}
	}
	return true
}

func (d *day) tell(r *request, choice placement.Choice) {
	dispatch := placement.Dispatch{ID: r.id, Server: choice.Server.ID, Held: choice.Held, PromptTokens: r.prompt, AnswerTokens: r.hint,
		Gap: r.class.Gap, Target: r.class.Target - enginemodel.Millis(d.now-r.arrived), Life: r.class.Deadline}
	for _, helper := range choice.Helpers {
		dispatch.Helpers = append(dispatch.Helpers, helper.ID)
	}
	d.everywhere(r.entry, func(b *placement.Book, own bool) {
		predicted := choice.Predicted
		if !own {
			predicted = 0
		}
		b.Begin(d.clock(), dispatch, &d.site.Engine, predicted)
	})
}

// everywhere does something at an entry now and at the others when the news has
// reached them. News to or from an entry that is cut off are lost.
func (d *day) everywhere(entry int, do func(b *placement.Book, own bool)) {
	do(d.entries[entry], true)
	sent := enginemodel.Millis(d.now)
	if d.site.cutOff(entry, sent) {
		return
	}
	d.at(d.now+float64(d.site.News)/float64(time.Millisecond), func() {
		for i, b := range d.entries {
			if i != entry && !d.site.cutOff(i, sent) {
				do(b, false)
			}
		}
	})
}

func (d *day) submit(r *request) {
	if r.over {
		return
	}
	for i := range r.partsDue {
		job := enginemodel.Job{ID: r.id, PromptTokens: r.prompt, Parts: r.partsDue, Helping: i > 0, AnswerTokens: r.answer, Urgency: urgency(r.prompt)}
		if len(r.choice.Held) > 0 {
			job.Spread, job.Reserved = true, r.choice.Held[i]
		}
		d.drive(r.choice.At(i).ID, func(b *enginemodel.Batcher) { b.Submit(d.now, job) })
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
	r := d.open[n.ID]
	if r == nil || r.over {
		return
	}
	switch n.Kind {
	case enginemodel.PartRead:
		r.partsDue--
		if r.partsDue == 0 {
			var released []enginemodel.Notice
			d.drive(r.choice.Server.ID, func(b *enginemodel.Batcher) { released = b.Release(d.now, r.id) })
			for _, notice := range released {
				d.notice(notice)
			}
		}
	case enginemodel.Wrote:
		d.at(d.now+backMs, func() { d.wrote(r) })
	case enginemodel.Done:
		d.at(d.now+backMs, func() { d.finish(r) })
	}
}

func (d *day) wrote(r *request) {
	if r.over {
		return
	}
	r.events++
	if r.events == 1 {
		r.firstMs = d.now - r.arrived
		d.everywhere(r.entry, func(b *placement.Book, _ bool) { b.FirstEvent(d.clock(), r.id) })
	} else {
		r.longest = max(r.longest, d.now-r.lastAt)
	}
	r.lastAt = d.now
}

func (d *day) finish(r *request) {
	if r.over {
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
		r.outcome.Earned += late
	case r.longest > float64(r.class.Gap.Milliseconds()):
		r.outcome.Late++
		r.outcome.LateGap++
		r.outcome.Earned += late
	default:
		r.outcome.InTime++
		r.outcome.Earned += full
	}
}

// leave ends a request that got no whole answer.
func (d *day) leave(r *request) {
	if r.over {
		return
	}
	d.end(r)
	r.outcome.Failed++
	if d.open[r.id] == nil {
		return
	}
	for i := range len(r.choice.Helpers) + 1 {
		d.engines[r.choice.At(i).ID].Cancel(r.id)
	}
}

func (d *day) end(r *request) {
	r.over = true
	if d.open[r.id] != nil {
		d.everywhere(r.entry, func(b *placement.Book, _ bool) { b.End(d.clock(), r.id) })
	}
}

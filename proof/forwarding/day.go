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

type day struct {
	site   *Site
	random *rand.Rand
	// ties and picks are apart from random, so that all policies see the same callers: a
	// policy decides how often callers return, and each return picks an entry.
	ties    *rand.Rand
	picks   *rand.Rand
	now     float64
	queue   events
	entries []*placement.LoadTable
	listed  []directory.Server
	engines map[string]*enginemodel.Batcher
	// jobs are the tries that engines work on, by their identifiers.
	jobs map[string]*request
	// live are the requests that are not over.
	live []*request
	// all are the requests of the day.
	all    []*request
	result *Result
	serial int
	// owners names the entry that keeps each server while entries are cut off.
	owners  map[string]string
	options placement.Options
	// away are the entries that don't run, down the engines.
	away map[int]bool
	down map[string]bool
	// orphans is the work of entries that lost power.
	orphans []orphan
}

// request is one caller's request.
type request struct {
	// id names the try under way, empty between tries.
	id       string
	class    *Class
	outcome  *Outcome
	entry    int
	prompt   int64
	size     size
	answer   int64
	hint     int64
	arrived  float64
	choice   placement.Choice
	partsDue int
	events   int
	lastAt   float64 // of the caller's patience
	eventAt  float64
	firstMs  float64
	longest  float64
	over     bool
	// tries counts the servers that could not take it, sent those that it went to,
	// returns how often its caller came back.
	tries    int
	sent     int
	returns  int
	excluded []string
	// written is the events that were delivered before the try under way.
	written int
	// asleep says that the caller waits to come back.
	asleep bool
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
	d := &day{site: &site, random: rand.New(rand.NewPCG(seed, 1)), ties: rand.New(rand.NewPCG(seed, 2)), picks: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*enginemodel.Batcher{},
		jobs: map[string]*request{}, away: map[int]bool{}, down: map[string]bool{}, result: &Result{Classes: make([]Outcome, len(site.Classes))}}
	for i := range site.Entries {
		options.Zone = zoneName(i % site.Zones)
		d.entries = append(d.entries, placement.NewLoadTable(options))
	}
	for i := range site.Engines {
		server := directory.Server{ID: fmt.Sprintf("e%03d", i), Service: "engines", Zone: zoneName(i % site.Zones), Slots: site.Engine.Slots}
		d.listed = append(d.listed, server)
		d.engines[server.ID] = enginemodel.NewBatcher(site.Engine)
	}
	d.options = options
	d.scheduleTrouble()
	d.owners = peering.Owners(names(site.Entries, entryName), directory.IncarnationIDs(d.listed))
	for i := range site.Classes {
		d.scheduleArrival(i, 0)
	}
	for d.queue.Len() > 0 {
		next := heap.Pop(&d.queue).(event)
		d.now = next.at
		next.do()
	}
	d.result.Limit = d.limit()
	return d.result
}

// partOf returns the part of an entry or engine.
func (d *day) partOf(index int) int { return index % max(d.site.Parts, 1) }

// listedFor returns the engines that an entry chooses among.
func (d *day) listedFor(entry int) []directory.Server {
	if d.site.Parts <= 1 {
		return d.listed
	}
	var own []directory.Server
	for i, server := range d.listed {
		if d.partOf(i) == d.partOf(entry) {
			own = append(own, server)
		}
	}
	return own
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

func (d *day) clock() time.Time { return time.Unix(0, 0).Add(enginemodel.MillisToDuration(d.now)) }

// maxRateStep bounds how far ahead an arrival is drawn, so that a change of the
// mix takes hold, in milliseconds.
const maxRateStep = 500

func (d *day) scheduleArrival(class int, from float64) {
	rate := d.site.Classes[class].PerSecond * d.site.loads(enginemodel.MillisToDuration(from))[class] / 1000
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
	r := &request{class: c, outcome: out, arrived: d.now, lastAt: d.now}
	r.prompt = int64(lognormal(d.random, c.Prompt, c.PromptSpread, c.PromptMax))
	r.answer = int64(lognormal(d.random, c.Events, c.EventSpread, c.EventMax) * float64(d.site.Engine.Stride))
	r.hint = int64(lognormal(d.random, float64(r.answer), d.site.HintSpread, 10*float64(r.answer)))
	out.Asked++
	full, _ := c.worth(float64(r.prompt))
	r.size = c.sizeOf(float64(r.prompt))
	d.result.owe(r, full)
	d.at(d.now+float64(c.Deadline.Milliseconds()), func() { d.leave(r) })
	d.live, d.all = append(d.live, r), append(d.all, r)
	d.watch(r)
	d.connect(r)
}

// connect takes a caller to an entry; while none runs it comes back a little later.
func (d *day) connect(r *request) {
	if r.over {
		return
	}
	r.asleep = false
	entry, ok := d.pickEntry()
	if !ok {
		d.sleep(r, reconnectMs*(0.5+d.ties.Float64()))
		return
	}
	r.entry, r.lastAt = entry, d.now
	d.send(r)
}

// reconnectMs is after how long, on the mean, a caller tries again that finds no entry.
const reconnectMs = 250

// sleep makes a caller come back after a time; it does not lose patience meanwhile.
func (d *day) sleep(r *request, ms float64) {
	r.asleep = true
	d.at(d.now+ms, func() { d.connect(r) })
}

// pickEntry draws one of the entries that take requests; false if there is none.
func (d *day) pickEntry() (int, bool) {
	var running []int
	for entry := range d.site.Entries {
		if d.site.Dead != nil && d.site.Dead(entry) || d.away[entry] {
			continue
		}
		running = append(running, entry)
	}
	if len(running) == 0 {
		return 0, false
	}
	return running[d.picks.IntN(len(running))], true
}

// watch makes the caller leave after a pause that is longer than its patience. One that
// waits to come back loses none.
func (d *day) watch(r *request) {
	patience := ms(r.class.patience())
	if r.asleep {
		r.lastAt = d.now
	}
	d.at(r.lastAt+patience, func() {
		switch {
		case r.over:
		case !r.asleep && d.now-r.lastAt >= patience-roundingMs:
			d.leave(r)
		default:
			d.watch(r)
		}
	})
}

// roundingMs covers the rounding of times that were added up.
const roundingMs = 1e-6

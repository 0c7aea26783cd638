package forwarding

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
)

// Network delays, in milliseconds.
const (
	toServerMs = 3.5 // connection setup and sending the request
	backMs     = 1.5 // delivery of an event
)

type simulation struct {
	deployment *Deployment
	random     *rand.Rand
	// ties and picks are separate from random so that all policies see the same callers: the policy
	// decides how often callers retry, and each retry picks an entry.
	ties    *rand.Rand
	picks   *rand.Rand
	now     float64
	queue   events
	entries []*placement.LoadTable
	books   []*claims.Book
	servers []directory.Server
	engines map[string]*enginemodel.Batcher
	// jobs are the attempts that engines work on, by their identifiers.
	jobs map[string]*request
	// active are the requests that are not done.
	active   []*request
	requests []*request
	result   *Result
	sequence int
	// owners maps servers to the entries that own them during a partition.
	owners  map[string]string
	options placement.Options
	// stoppedEntries and crashedEngines are out of service.
	stoppedEntries map[int]bool
	crashedEngines map[string]bool
	// orphans are attempts whose entry has lost power.
	orphans []orphan
}

// request is the request of one caller.
type request struct {
	// id names the current attempt; empty between attempts.
	id             string
	class          *Class
	stats          *ClassResult
	entry          int
	promptTokens   int64
	sizeClass      sizeClass
	outputTokens   int64
	outputHint     int64
	arrived        float64
	choice         placement.Choice
	pendingParts   int
	events         int
	lastActivityMs float64 // start of the caller's current wait
	lastEventMs    float64
	firstEventMs   float64
	longestGapMs   float64
	done           bool
	// failures counts the servers that could not take it, attempts those that it was sent to,
	// callerRetries the retries of its caller.
	failures      int
	attempts      int
	callerRetries int
	excluded      []string
	// written counts the events that were delivered before the current attempt.
	written int
	// claimID is the claim with which it waits for memory; empty if it has none. memoryRefusals counts its refusals for
	// lack of memory.
	claimID        string
	memoryRefusals int
	// waiting marks a caller that waits for its next retry.
	waiting bool
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

// Simulate runs a deployment with a seed and the given placement options of its entries.
func Simulate(deployment Deployment, seed uint64, options placement.Options) *Result {
	s := &simulation{deployment: &deployment, random: rand.New(rand.NewPCG(seed, 1)), ties: rand.New(rand.NewPCG(seed, 2)), picks: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*enginemodel.Batcher{},
		jobs: map[string]*request{}, stoppedEntries: map[int]bool{}, crashedEngines: map[string]bool{}, result: &Result{Classes: make([]ClassResult, len(deployment.Classes))}}
	for i := range deployment.Entries {
		options.Zone = zoneName(i % deployment.Zones)
		s.entries = append(s.entries, placement.NewLoadTable(options))
		s.books = append(s.books, claims.New(claims.Options{ReportTTL: 1500 * time.Millisecond}))
	}
	for i := range deployment.Engines {
		server := directory.Server{ID: fmt.Sprintf("e%03d", i), Service: "engines", Zone: zoneName(i % deployment.Zones), Slots: deployment.Engine.Slots}
		s.servers = append(s.servers, server)
		s.engines[server.ID] = enginemodel.NewBatcher(deployment.Engine)
	}
	s.options = options
	s.scheduleFaults()
	s.owners = peering.Owners(names(deployment.Entries, entryName), directory.IncarnationIDs(s.servers))
	for i := range deployment.Classes {
		s.scheduleArrival(i, 0)
	}
	for s.queue.Len() > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
	s.result.UpperBound = s.upperBound()
	return s.result
}

// shardOf returns the shard of an entry or engine.
func (s *simulation) shardOf(index int) int { return index % max(s.deployment.Shards, 1) }

// serversFor returns the engines that an entry chooses among.
func (s *simulation) serversFor(entry int) []directory.Server {
	if s.deployment.Shards <= 1 {
		return s.servers
	}
	var own []directory.Server
	for i, server := range s.servers {
		if s.shardOf(i) == s.shardOf(entry) {
			own = append(own, server)
		}
	}
	return own
}

func names(count int, name func(int) string) []string {
	result := make([]string, count)
	for i := range result {
		result[i] = name(i)
	}
	return result
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func (s *simulation) at(ms float64, do func()) {
	s.sequence++
	heap.Push(&s.queue, event{ms, s.sequence, do})
}

func (s *simulation) clock() time.Time {
	return time.Unix(0, 0).Add(enginemodel.MillisToDuration(s.now))
}

// maxArrivalStepMs bounds how far ahead an arrival is drawn, in milliseconds, so that a change of the
// mix takes effect.
const maxArrivalStepMs = 500

func (s *simulation) scheduleArrival(class int, from float64) {
	rate := s.deployment.Classes[class].PerSecond * s.deployment.loads(enginemodel.MillisToDuration(from))[class] / 1000
	gap := s.random.ExpFloat64() / rate
	end := float64(s.deployment.Length.Milliseconds())
	if gap > maxArrivalStepMs {
		if from+maxArrivalStepMs < end {
			s.at(from+maxArrivalStepMs, func() { s.scheduleArrival(class, s.now) })
		}
		return
	}
	if from+gap >= end {
		return
	}
	s.at(from+gap, func() {
		s.arrive(class)
		s.scheduleArrival(class, s.now)
	})
}

func (s *simulation) arrive(class int) {
	c, out := &s.deployment.Classes[class], &s.result.Classes[class]
	s.sequence++
	r := &request{class: c, stats: out, arrived: s.now, lastActivityMs: s.now}
	r.promptTokens = int64(lognormal(s.random, c.Prompt, c.PromptSpread, c.PromptMax))
	r.outputTokens = int64(lognormal(s.random, c.Events, c.EventSpread, c.EventMax) * float64(s.deployment.Engine.Stride))
	r.outputHint = int64(lognormal(s.random, float64(r.outputTokens), s.deployment.HintSpread, 10*float64(r.outputTokens)))
	out.Requests++
	if r.promptTokens >= hugeTokens {
		s.result.Memory.Huge++
	}
	full, _ := c.worth(float64(r.promptTokens))
	r.sizeClass = c.sizeClassOf(float64(r.promptTokens))
	s.result.addDemand(r, full)
	s.at(s.now+float64(c.Deadline.Milliseconds()), func() { s.fail(r) })
	s.active, s.requests = append(s.active, r), append(s.requests, r)
	s.watchPatience(r)
	s.connect(r)
}

// connect sends a caller to a running entry; while there is none, it retries after a delay.
func (s *simulation) connect(r *request) {
	if r.done {
		return
	}
	r.waiting = false
	entry, ok := s.pickEntry()
	if !ok {
		s.retryAfter(r, reconnectMs*(0.5+s.ties.Float64()))
		return
	}
	r.entry, r.lastActivityMs = entry, s.now
	s.send(r)
}

// reconnectMs is the mean delay of a caller that finds no running entry, in milliseconds.
const reconnectMs = 250

// retryAfter lets a caller retry after a delay, which does not count against its patience.
func (s *simulation) retryAfter(r *request, ms float64) {
	r.waiting = true
	s.at(s.now+ms, func() { s.connect(r) })
}

// pickEntry draws one of the running entries; false if there is none.
func (s *simulation) pickEntry() (int, bool) {
	var running []int
	for entry := range s.deployment.Entries {
		if s.deployment.Terminated != nil && s.deployment.Terminated(entry) || s.stoppedEntries[entry] {
			continue
		}
		running = append(running, entry)
	}
	if len(running) == 0 {
		return 0, false
	}
	return running[s.picks.IntN(len(running))], true
}

// watchPatience lets a caller give up after a gap longer than its patience. The wait for a retry does
// not count.
func (s *simulation) watchPatience(r *request) {
	patience := ms(r.class.patience())
	if r.waiting {
		r.lastActivityMs = s.now
	}
	s.at(r.lastActivityMs+patience, func() {
		switch {
		case r.done:
		case !r.waiting && s.now-r.lastActivityMs >= patience-roundingMs:
			s.fail(r)
		default:
			s.watchPatience(r)
		}
	})
}

// roundingMs absorbs rounding errors of summed times, in milliseconds.
const roundingMs = 1e-6

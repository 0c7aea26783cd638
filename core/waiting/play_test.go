package waiting

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// discipline is a way to order and refuse waiting requests; Queue and the alternatives of the comparison.
type discipline interface {
	Offer(now time.Time, t Ticket, s Supply) Verdict
	Next(now time.Time, s Supply) Plan
	Leave(id string)
	Report(now time.Time) Report
	ObservePeer(now time.Time, from string, r Report)
}

// caller is one request of a caller with its kind.
type caller struct {
	id, workspace   string
	entry, attempts int
	first           time.Time
	target, timeout time.Duration
	tokens          int64
	gone            bool          // gave up
	patience        time.Duration // time after which it gives up; 0 is the timeout
	answered        time.Time     // first event
}

func (c *caller) inTime() bool { return !c.answered.IsZero() && c.answered.Sub(c.first) <= c.target }

// play runs entries with delayed views of servers in virtual time.
type play struct {
	now     time.Time
	events  eventHeap
	seq     int
	random  *rand.Rand
	entries []*playEntry
	servers []*playServer
	callers []*caller
	hold    time.Duration
	// knowsFirst is set if entries know the time of a caller's first attempt.
	knowsFirst bool
	lossShare  float64 // of the reports
	// overshoot counts the requests that found their server full, retries the time of each.
	overshoot, started int
	retries            []time.Duration
	maxWaiting         int
}

type playEntry struct {
	name            string
	queue           discipline
	busy            []int // by server, as known here
	waiting         map[string]*caller
	down, reporting bool
	woken           time.Time
}

type playServer struct {
	slots, running int
	queued         []func()
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

const (
	playBatch = 4 * time.Millisecond // events and reports are batched
	playLink  = 2 * time.Millisecond
	playFirst = 30 * time.Millisecond // predicted time to the first event in a slot
)

var playStart = time.Unix(1_000, 0)

func newPlay(seed uint64, entries, servers, slots int, make func(name string) discipline) *play {
	p := &play{now: playStart, random: rand.New(rand.NewPCG(seed, 1)), hold: 500 * time.Millisecond}
	for range servers {
		p.servers = append(p.servers, &playServer{slots: slots})
	}
	for i := range entries {
		name := fmt.Sprintf("e%02d", i)
		p.entries = append(p.entries, &playEntry{name: name, queue: make(name), busy: slices.Repeat([]int{0}, servers), waiting: map[string]*caller{}})
	}
	return p
}

func (p *play) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{p.now.Add(d), p.seq, do})
}

func (p *play) run(until time.Duration) {
	end := playStart.Add(until)
	for len(p.events) > 0 && !p.events[0].at.After(end) {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	p.now = end
}

// capacity is the number of requests per second that the servers complete.
func (p *play) capacity() float64 {
	slots := 0
	for _, s := range p.servers {
		slots += s.slots
	}
	return float64(slots) / p.hold.Seconds()
}

// arrive has callers like the given one come at a rate per second between two times, at one entry or at all (-1).
func (p *play) arrive(from, to time.Duration, rate float64, like caller) {
	at := from
	for {
		at += time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		c := like
		c.first, c.id = playStart.Add(at), fmt.Sprintf("r%05d", len(p.callers))
		if c.entry < 0 {
			c.entry = p.random.IntN(len(p.entries))
		}
		p.callers = append(p.callers, &c)
		p.after(c.first.Sub(p.now), func() { p.attempt(&c) })
		if c.patience > 0 {
			p.after(c.first.Add(c.patience).Sub(p.now), func() { p.giveUp(&c) })
		}
	}
}

func (p *play) giveUp(c *caller) {
	e := p.entries[c.entry]
	if c.answered.IsZero() && e.waiting[c.id] != nil {
		c.gone = true
		delete(e.waiting, c.id)
		e.queue.Leave(c.id)
	}
}

func (p *play) attempt(c *caller) {
	c.attempts++
	e := p.entries[c.entry]
	if e.down {
		return
	}
	arrived := p.now
	if p.knowsFirst {
		arrived = c.first
	}
	t := Ticket{ID: c.id, Workspace: c.workspace, PromptTokens: c.tokens, Bytes: 4 * c.tokens, Arrived: arrived, Due: arrived.Add(c.target),
		Deadline: c.first.Add(c.timeout), FirstEvent: playFirst, Worth: 1, LateWorth: 0.25, Draw: p.random.Float64()}
	verdict := e.queue.Offer(p.now, t, p.supply(e))
	if !verdict.Wait {
		p.refused(c, verdict.RetryAfter)
		return
	}
	e.waiting[c.id] = c
	p.maxWaiting = max(p.maxWaiting, len(e.waiting))
	p.next(e)
}

// refused has a caller return once, if that is within a third of its remaining time.
func (p *play) refused(c *caller, after time.Duration) {
	left := c.first.Add(c.timeout).Sub(p.now)
	if c.attempts > 1 || left <= 0 {
		return
	}
	p.retries = append(p.retries, p.now.Add(after).Sub(playStart))
	p.after(min(after, left/3), func() { p.attempt(c) })
}

func (p *play) supply(e *playEntry) Supply {
	s := Supply{HoldTime: p.hold, Entries: len(p.entries)}
	for i, server := range p.servers {
		s.Slots += server.slots
		s.Free += max(server.slots-e.busy[i], 0)
	}
	return s
}

func (p *play) next(e *playEntry) {
	if e.down {
		return
	}
	plan := e.queue.Next(p.now, p.supply(e))
	for _, r := range plan.Refuse {
		if c := e.waiting[r.ID]; c != nil {
			delete(e.waiting, r.ID)
			p.refused(c, r.RetryAfter)
		}
	}
	for _, id := range plan.Start {
		if c := e.waiting[id]; c != nil {
			delete(e.waiting, id)
			p.send(e, c)
		}
		e.queue.Leave(id)
	}
	for _, name := range plan.Pass {
		r := e.queue.Report(p.now)
		r.Granted = 1
		p.after(playBatch+playLink, func() {
			other := p.entries[slices.IndexFunc(p.entries, func(o *playEntry) bool { return o.name == name })]
			if p.random.Float64() >= p.lossShare {
				other.queue.ObservePeer(p.now, e.name, r)
				p.next(other)
			}
		})
	}
	p.report(e)
	if at := p.now.Add(plan.Wake); plan.Wake > 0 && (e.woken.Before(p.now) || e.woken.Equal(p.now) || at.Before(e.woken)) {
		e.woken = at
		p.after(plan.Wake, func() { p.next(e) })
	}
}

// report sends the state of the queue to the others with the next batch.
func (p *play) report(e *playEntry) {
	if e.reporting {
		return
	}
	e.reporting = true
	p.after(playBatch, func() {
		e.reporting = false
		if e.down {
			return
		}
		r := e.queue.Report(p.now)
		p.tell(e, playLink, func(other *playEntry) {
			if p.random.Float64() >= p.lossShare {
				other.queue.ObservePeer(p.now, e.name, r)
			}
		})
	})
}

// tell has the other entries learn something from e after a delay.
func (p *play) tell(e *playEntry, delay time.Duration, do func(*playEntry)) {
	for _, other := range p.entries {
		if other != e {
			p.after(delay, func() {
				do(other)
				p.next(other)
			})
		}
	}
}

// send runs a request at the server with the most free slots known here.
func (p *play) send(e *playEntry, c *caller) {
	best, offset := 0, p.random.IntN(len(p.servers))
	for i := range p.servers {
		j := (i + offset) % len(p.servers)
		if i == 0 || p.servers[j].slots-e.busy[j] > p.servers[best].slots-e.busy[best] {
			best = j
		}
	}
	server := p.servers[best]
	e.busy[best]++
	p.tell(e, playLink, func(other *playEntry) { other.busy[best]++ })
	p.started++
	if server.running >= server.slots {
		p.overshoot++
		server.queued = append(server.queued, func() { p.serve(e, c, best) })
		return
	}
	p.serve(e, c, best)
}

func (p *play) serve(e *playEntry, c *caller, index int) {
	server := p.servers[index]
	server.running++
	p.after(time.Duration((0.8+0.6*p.random.Float64())*float64(playFirst)), func() { c.answered = p.now })
	p.after(time.Duration((0.8+0.4*p.random.Float64())*float64(p.hold)), func() {
		server.running--
		if len(server.queued) > 0 {
			begin := server.queued[0]
			server.queued = server.queued[1:]
			begin()
		}
		e.busy[index]--
		p.tell(e, playBatch+playLink, func(other *playEntry) { other.busy[index]-- })
		if q, ok := e.queue.(*Queue); ok && !e.down {
			q.Released(p.now)
		}
		p.next(e)
	})
}

// tallies of the callers whose first attempt lies between two times.
type result struct{ all, inTime, late, none int }

func (p *play) result(from, to time.Duration, of func(*caller) bool) result {
	var r result
	for _, c := range p.callers {
		if at := c.first.Sub(playStart); at < from || at >= to || of != nil && !of(c) {
			continue
		}
		r.all++
		switch {
		case c.inTime():
			r.inTime++
		case !c.answered.IsZero():
			r.late++
		default:
			r.none++
		}
	}
	return r
}

func (r result) share() float64 { return float64(r.inTime) / float64(max(r.all, 1)) }

// worth is the mean value of the answers, a late one being worth a quarter.
func (r result) worth() float64 {
	return (float64(r.inTime) + 0.25*float64(r.late)) / float64(max(r.all, 1))
}

func (r result) plus(o result) result {
	return result{r.all + o.all, r.inTime + o.inTime, r.late + o.late, r.none + o.none}
}

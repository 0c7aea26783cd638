package spillover

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/zonestate"
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simZone is a zone with slots and a queue. Its entries know their own zone exactly and other zones by summaries.
type simZone struct {
	name    string
	slots   int
	busy    int
	closed  bool
	queue   []*simRequest
	entries []*Spillover
	demand  zonestate.Rate
	// rate is the arrival rate per second at a time after the start.
	rate func(time.Duration) float64
	// seen is what the entries know of other zones; overstated is added to the free slots that the zone states.
	seen       map[string]Zone
	overstated int
	// cutOff is set while nothing reaches other zones or comes from them.
	cutOff bool
	// arrivals and late count the requests of its own callers.
	arrivals, late int
	// leastLeft is the lowest number of free slots right after a request of another zone was admitted.
	leastLeft int
}

type simRequest struct {
	zone    *simZone
	entry   *Spillover
	id      string
	arrived time.Time
	// belowAtArrival is set if all zones together had free slots at the arrival.
	belowAtArrival bool
	over           bool // started or late
	waiting        bool
}

// world runs zones in virtual time. Requests hold a slot for 1 to 2.8 s; one that gets no slot within the target is
// late and leaves.
type world struct {
	now      time.Time
	start    time.Time
	random   *rand.Rand
	events   eventHeap
	zones    []*simZone
	spills   bool // false: every zone on its own
	lossRate float64
	// results
	arrivals, inTime, late, lateBelow, asks, refusals, lost int
	askedAt, placements                                     []placed
}

type placed struct {
	from, to string
	at       time.Time
}

const (
	oneWay = 5400 * time.Microsecond
	// passOn is the time until a summary is passed on to all entries of a zone.
	passOn   = 500 * time.Millisecond
	target   = 300 * time.Millisecond
	meanHold = 1900 * time.Millisecond
)

var options = Options{StateTTL: 1500 * time.Millisecond, HeartbeatInterval: 500 * time.Millisecond, ReplyTimeout: 40 * time.Millisecond}

// newWorld returns zones of a number of slots and entries each, whose arrival rates are given as shares of what their
// slots serve.
func newWorld(seed uint64, slots, entries int, shares map[string]func(time.Duration) float64) *world {
	start := time.Unix(1000, 0)
	w := &world{now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), spills: true}
	for _, name := range []string{"a", "b", "c"} {
		share, ok := shares[name]
		if !ok {
			continue
		}
		z := &simZone{name: name, slots: slots, leastLeft: slots, seen: map[string]Zone{}, rate: func(t time.Duration) float64 { return share(t) * float64(slots) / meanHold.Seconds() }}
		for range entries {
			z.entries = append(z.entries, New(options))
		}
		w.zones = append(w.zones, z)
		w.after(w.gap(z), func() { w.arrive(z) })
		w.after(time.Duration(w.random.Float64()*float64(options.HeartbeatInterval)), func() { w.heartbeat(z) })
	}
	return w
}

func always(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

func (w *world) after(delay time.Duration, run func()) {
	heap.Push(&w.events, event{w.now.Add(delay), run})
}

func (w *world) runFor(length time.Duration) *world {
	end := w.now.Add(length)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
	return w
}

// gap returns the time to the next arrival.
func (w *world) gap(z *simZone) time.Duration {
	rate := max(z.rate(w.now.Sub(w.start)), 0.001)
	return time.Duration(min(w.random.ExpFloat64()/rate, 0.1) * float64(time.Second))
}

// state returns the exact state of a zone.
func (z *simZone) state(now time.Time) zonestate.ServiceState {
	return zonestate.ServiceState{Service: "engines", Slots: z.slots, FreeSlots: z.slots - z.busy, Waiting: len(z.queue), FreeMemory: 1 << 40, LargestFree: 1 << 30,
		DemandPerS: z.demand.PerSecond(now)}
}

// heartbeat sends the zone's summary to the entries of the other zones.
func (w *world) heartbeat(z *simZone) {
	state := z.state(w.now)
	state.FreeSlots = min(state.FreeSlots+z.overstated, z.slots)
	summary := zonestate.New(z.closed, []zonestate.ServiceState{state}, nil)
	known := Zone{Name: z.name, Entries: len(z.entries), Summary: &summary, AsOf: w.now}
	if !z.cutOff {
		w.after(oneWay+passOn, func() {
			for _, other := range w.zones {
				if other != z && !other.cutOff {
					other.seen[z.name] = known
				}
			}
		})
	}
	w.after(options.HeartbeatInterval, func() { w.heartbeat(z) })
}

func (w *world) arrive(z *simZone) {
	// A gap that was cut short to follow a changing rate is no arrival.
	if rate := z.rate(w.now.Sub(w.start)); rate > 0.001 {
		w.arrivals++
		z.arrivals++
		z.demand.Observe(w.now)
		r := &simRequest{zone: z, entry: z.entries[w.random.IntN(len(z.entries))], id: fmt.Sprint(w.arrivals), arrived: w.now, belowAtArrival: w.hasRoom()}
		w.after(target, func() { w.expire(r) })
		w.place(r)
	}
	w.after(w.gap(z), func() { w.arrive(z) })
}

// hasRoom reports whether all zones together have more slots than requests.
func (w *world) hasRoom() bool {
	free := 0
	for _, z := range w.zones {
		if !z.closed {
			free += z.slots - z.busy - len(z.queue)
		}
	}
	return free > 0
}

// place gives the request a slot here, asks another zone or lets it wait.
func (w *world) place(r *simRequest) {
	if r.over {
		return
	}
	if !r.zone.closed && r.zone.busy < r.zone.slots {
		w.begin(r.zone, r)
		return
	}
	if w.spills && w.ask(r) {
		return
	}
	w.wait(r)
	w.after(50*time.Millisecond, func() {
		if r.waiting && !r.over {
			r.leave()
			w.place(r)
		}
	})
}

func (w *world) wait(r *simRequest) {
	r.waiting = true
	r.zone.queue = append(r.zone.queue, r)
}

func (r *simRequest) leave() {
	r.waiting = false
	for i, other := range r.zone.queue {
		if other == r {
			r.zone.queue = append(r.zone.queue[:i:i], r.zone.queue[i+1:]...)
			return
		}
	}
}

func (w *world) begin(z *simZone, r *simRequest) {
	r.over = true
	w.inTime++
	w.occupy(z)
}

// occupy takes a slot for the time of an answer.
func (w *world) occupy(z *simZone) {
	z.busy++
	w.after(time.Duration((1+1.8*w.random.Float64())/1.9*float64(meanHold)), func() { w.release(z) })
}

func (w *world) release(z *simZone) {
	z.busy--
	if len(z.queue) > 0 && z.busy < z.slots && !z.closed {
		r := z.queue[0]
		r.leave()
		w.begin(z, r)
	}
}

func (w *world) expire(r *simRequest) {
	if r.over {
		return
	}
	below := r.belowAtArrival && w.hasRoom()
	r.over = true
	if r.waiting {
		r.leave()
	}
	w.late++
	r.zone.late++
	if below {
		w.lateBelow++
	}
}

// ask sends a placement request to another zone; false if none is to be asked.
func (w *world) ask(r *simRequest) bool {
	need := Need{Service: "engines", Tokens: 5000, TargetLeft: target - w.now.Sub(r.arrived)}
	q := Query{Need: need, Own: Placement{Refused: true}, OwnEntries: len(r.zone.entries), Draw: w.random.Float64()}
	for _, z := range w.zones {
		if known, ok := r.zone.seen[z.name]; ok {
			q.Zones = append(q.Zones, known)
		}
	}
	d := r.entry.Choose(w.now, q)
	if d.Zone == "" {
		return false
	}
	w.asks++
	w.askedAt = append(w.askedAt, placed{r.zone.name, d.Zone, w.now})
	other := w.zone(d.Zone)
	r.entry.Sent(w.now, r.id, d.Zone, d.Zone, need)
	answered := false
	w.after(options.ReplyTimeout, func() {
		if !answered {
			w.lost++
			r.entry.Lost(w.now, r.id)
			w.place(r)
		}
	})
	if r.zone.cutOff || other.cutOff || w.random.Float64() < w.lossRate {
		return true
	}
	w.after(oneWay, func() { w.admit(r, other, &answered) })
	return true
}

func (w *world) zone(name string) *simZone {
	for _, z := range w.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

// admit decides at the asked entry and replies.
func (w *world) admit(r *simRequest, z *simZone, answered *bool) {
	entry := z.entries[w.random.IntN(len(z.entries))]
	accepted := entry.Admits(z.state(w.now), Placement{Refused: z.busy >= z.slots || z.closed})
	if accepted {
		z.busy++ // held until the reply, or its cancellation
		z.leastLeft = min(z.leastLeft, z.slots-z.busy)
		for _, local := range z.entries {
			local.ObserveReceived(w.now, r.zone.name)
		}
	}
	if w.random.Float64() < w.lossRate {
		if accepted {
			w.after(options.ReplyTimeout, func() { w.release(z) })
		}
		return
	}
	w.after(oneWay, func() {
		*answered = true
		r.entry.Replied(w.now, r.id, accepted)
		if !accepted {
			w.refusals++
			w.place(r)
			return
		}
		if r.over {
			w.release(z)
			return
		}
		z.busy--
		w.placements = append(w.placements, placed{r.zone.name, z.name, w.now})
		w.begin(z, r)
	})
}

// pool returns the same demand at a single zone that has all slots.
func pool(seed uint64, slots, entries int, shares map[string]func(time.Duration) float64) *world {
	return newWorld(seed, 3*slots, entries, map[string]func(time.Duration) float64{"a": func(t time.Duration) float64 {
		sum := 0.0
		for _, zone := range []string{"a", "b", "c"} {
			sum += shares[zone](t)
		}
		return sum / 3
	}})
}

// returned counts the placements whose zone had placed a request in the opposite direction within the hold before.
func (w *world) returned() int {
	count := 0
	last := map[[2]string]time.Time{}
	for _, p := range w.placements {
		if at, ok := last[[2]string{p.to, p.from}]; ok && p.at.Sub(at) < holdIntervals*options.HeartbeatInterval {
			count++
		}
		last[[2]string{p.from, p.to}] = p.at
	}
	return count
}

func (w *world) String() string {
	return fmt.Sprintf("arrivals %d, in time %d (%.4f), late %d, of them %d while there was room, asks %d, refused %d, lost %d, placed elsewhere %d", w.arrivals, w.inTime,
		float64(w.inTime)/float64(w.arrivals), w.late, w.lateBelow, w.asks, w.refusals, w.lost, len(w.placements))
}

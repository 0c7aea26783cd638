package waiting

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Queue holds the requests that wait at this entry for a slot of one service. It is not safe for concurrent use.
type Queue struct {
	options Options
	waiting map[string]*entrant
	bytes   int64
	// granted holds the requests that were started and have not left, with their start times: the load table doesn't
	// count them yet.
	granted map[string]time.Time
	evicted []Refused
	peers   map[string]peer
	kinds   kinds
	// fresh holds the requests that can still be in time, late the others in the order of their start.
	fresh, late []*entrant
	// promised and spare divide fresh, in the order of their start, as of the latest arrangement.
	promised, spare []*entrant
	// nextEnd is a lower bound of the time at which the first waiting request becomes hopeless; zero if none waits.
	nextEnd time.Time
	// released holds the times at which requests of this entry gave up slots that were neither used nor passed on yet,
	// grants those at which peers passed slots on to it, within the last stagger.
	released, grants []time.Time
	// freeSince is the time since which slots are free without a start here; zero while none is free.
	freeSince time.Time
}

// entrant is a waiting request.
type entrant struct {
	Ticket
	// key ranks promised requests among entries; factor is the usage and priority in it.
	key    time.Time
	factor float64
	// claim is the preference for the request where not all can be in time.
	claim float64
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{options: options, waiting: map[string]*entrant{}, granted: map[string]time.Time{}, peers: map[string]peer{}, kinds: kinds{}}
}

// Len returns the number of waiting requests, Bytes the memory that they take.
func (q *Queue) Len() int     { return len(q.waiting) }
func (q *Queue) Bytes() int64 { return q.bytes }

// Contended reports whether a request that arrives now has to be offered: others wait here or at a peer, or hold slots
// that the load table still counts as free.
func (q *Queue) Contended(now time.Time) bool { return q.Demand(now) > 0 || len(q.granted) > 0 }

// Demand returns the number of requests that wait here and, by their reports, at the peers.
func (q *Queue) Demand(now time.Time) int {
	sum := len(q.waiting)
	for _, p := range q.peers {
		if now.Sub(p.at) <= q.options.ReportLifetime {
			sum += p.promised + p.kept
		}
	}
	return sum
}

// Wait predicts the time until a request that is offered now gets a slot if all that wait go before it.
func (q *Queue) Wait(now time.Time, s Supply) time.Duration {
	ahead := q.Demand(now) + len(q.granted) + 1 - s.Free
	return time.Duration(max(ahead, 0)) * s.interval()
}

// Offer enqueues a request or refuses it.
func (q *Queue) Offer(now time.Time, t Ticket, s Supply) Verdict {
	if t.hopeless(now) {
		return Verdict{RetryAfter: s.HoldTime, Reason: TooLate}
	}
	if q.waiting[t.ID] != nil {
		return Verdict{Wait: true}
	}
	e := &entrant{Ticket: t}
	if _, again := q.granted[t.ID]; !again {
		q.kinds.offered(now, &e.Ticket)
	}
	delete(q.granted, t.ID)
	q.add(e)
	q.arrange(now, s)
	if reason := q.excess(now, e, s); reason != "" {
		q.remove(t.ID)
		return Verdict{RetryAfter: q.retryAfter(now, &e.Ticket, s), Reason: reason}
	}
	q.evict(now, s)
	return Verdict{Wait: true}
}

// excess returns the reason to refuse a request that was just added; empty if it may stay.
func (q *Queue) excess(now time.Time, e *entrant, s Supply) Reason {
	promised := slices.Contains(q.promised, e)
	if q.overBounds() && (!promised || !q.fitsWithoutKept()) {
		return QueueFull
	}
	if promised || q.startsNow(s) {
		return ""
	}
	// A request that would be late is kept only if it can be served, with those kept before it, well within its time.
	served := time.Duration(q.kept()+q.peersKept(now)) * s.interval()
	if served > time.Duration(q.options.KeepShare*float64(e.Deadline.Sub(now))) || q.options.KeepShare == 0 {
		return Overloaded
	}
	return ""
}

// startsNow reports whether there are free slots for all that wait here.
func (q *Queue) startsNow(s Supply) bool { return s.Free-len(q.granted) >= len(q.waiting) }

// Leave removes a request whose caller is gone, or that was started and is placed now or has ended.
func (q *Queue) Leave(id string) {
	delete(q.granted, id)
	q.remove(id)
}

// Stop removes all waiting requests and returns their refusals: none was run.
func (q *Queue) Stop(now time.Time, s Supply) []Refused {
	refused := q.takeEvicted()
	for _, id := range slices.Sorted(maps.Keys(q.waiting)) {
		refused = append(refused, q.refuse(now, q.waiting[id], s, Stopping))
	}
	return refused
}

// Next returns the requests to start and to refuse now. It is called when a slot becomes free, after an offer that
// waits, when a peer's report arrives, and after Plan.Wake.
func (q *Queue) Next(now time.Time, s Supply) Plan {
	plan := Plan{Refuse: q.takeEvicted()}
	q.expire(now, s)
	plan.Refuse = append(plan.Refuse, q.refuseHopeless(now, s)...)
	q.arrange(now, s)
	free := s.Free - len(q.granted)
	q.observeFree(now, free)
	start, pass := q.starters(now, s, free)
	plan.Pass = pass
	for _, e := range start {
		plan.Start = append(plan.Start, e.ID)
		if e.inTime(now) {
			q.kinds.served(now, &e.Ticket)
		}
		q.remove(e.ID)
		q.granted[e.ID] = now
	}
	if len(start) > 0 {
		q.freeSince = now
	}
	plan.Wake = q.wake(now, free-len(start))
	return plan
}

// Released records that a request of this entry has given up its slot. It is called before Next.
func (q *Queue) Released(now time.Time) {
	q.expireReleased(now)
	q.released = append(q.released, now)
}

func (q *Queue) expireReleased(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= q.options.Stagger }
	q.released, q.grants = slices.DeleteFunc(q.released, old), slices.DeleteFunc(q.grants, old)
}

func (q *Queue) refuseHopeless(now time.Time, s Supply) []Refused {
	if q.nextEnd.IsZero() || now.Before(q.nextEnd) {
		return nil
	}
	q.nextEnd = time.Time{}
	var refused []Refused
	for _, id := range slices.Sorted(maps.Keys(q.waiting)) {
		e := q.waiting[id]
		if e.hopeless(now) {
			refused = append(refused, q.refuse(now, e, s, TooLate))
			continue
		}
		q.observeEnd(e)
	}
	return refused
}

func (q *Queue) observeEnd(e *entrant) {
	if end := e.Deadline.Add(-e.FirstEvent + 1); q.nextEnd.IsZero() || end.Before(q.nextEnd) {
		q.nextEnd = end
	}
}

// expire drops what was left by peers that are gone, and starts that were never followed by Leave.
func (q *Queue) expire(now time.Time, s Supply) {
	maps.DeleteFunc(q.peers, func(_ string, p peer) bool { return now.Sub(p.at) > q.options.ReportLifetime })
	if s.HoldTime > 0 {
		maps.DeleteFunc(q.granted, func(_ string, at time.Time) bool { return now.Sub(at) > s.HoldTime })
	}
}

// observeFree records since when slots are free.
func (q *Queue) observeFree(now time.Time, free int) {
	switch {
	case free <= 0:
		q.freeSince = time.Time{}
	case q.freeSince.IsZero():
		q.freeSince = now
	}
}

// starters returns the requests whose turn it is, and the peers to which the slots given up here and not used go.
//
// Each slot that becomes free has one entry that decides on it: the one whose request gave it up. It uses the slot,
// unless a peer's request has clearly waited longer, and passes it on otherwise. The peers hear of the new request
// before they hear of the end, so that nobody competes. With decisions by all entries from reports that are a few
// milliseconds old, 28 % of the requests met full servers at 12 entries.
//
// A slot that stays free is taken by positions, which count the requests that go before, here and at the peers. Each
// stagger for which it stays free moves all requests up by one, so that a message that is lost or out of date delays
// a start by its count of staggers at most.
func (q *Queue) starters(now time.Time, s Supply, free int) (start []*entrant, pass []string) {
	reach, slots := q.reach(now, s, free), free
	q.expireReleased(now)
	own, passed := len(q.released), len(q.grants)
	take := func(e *entrant, position int, yields bool) bool {
		switch {
		case len(start) >= free:
			return false
		case passed > 0:
			passed--
		case own > 0 && !yields:
			own--
		case position >= reach:
			return false
		}
		start = append(start, e)
		return true
	}
	defer func() {
		q.released, q.grants = q.released[:own], q.grants[:passed]
		pass = q.passOn(min(own, slots-len(start)))
	}()
	for i, e := range q.promised {
		if !take(e, i+q.peersBefore(e.key), q.outranked(e)) {
			return start, nil
		}
	}
	peers := q.peersPromised()
	for i := range q.kept() {
		if i == len(q.spare) {
			// Late requests leave slots for those that arrive while messages are on their way. Without this, some
			// that arrived after an overload met full servers and were late.
			reserve := s.reserve(q.options.Stagger)
			free, reach = free-reserve, reach-reserve
		}
		if !take(q.keptAt(i), len(q.promised)+peers+q.keptPosition(i), peers > 0) {
			return start, nil
		}
	}
	return start, nil
}

// reach returns the number of positions that may start. While entries compete, or may do so because one of them is not
// heard, a slot is first left to the entry that gave it up or got it passed.
func (q *Queue) reach(now time.Time, s Supply, free int) int {
	others := q.peersPromised() + q.peersKept(now)
	alone := others == 0 && len(q.peers) >= s.Entries-1
	if q.options.Stagger == 0 || alone || len(q.waiting)+others <= free {
		return math.MaxInt
	}
	if patience := q.patience(now); patience > 0 {
		return free + patience - 1
	}
	return 0
}

// passOn selects the peers that get slots, the one whose first request is the first in order at a time.
func (q *Queue) passOn(count int) []string {
	var pass []string
	for ; count > 0; count-- {
		first := q.firstPeer()
		if first == "" {
			break
		}
		p := q.peers[first]
		p.advance()
		q.peers[first] = p
		pass = append(pass, first)
		q.released = q.released[:len(q.released)-1]
	}
	return pass
}

// kept returns the number of waiting requests that aren't promised to be in time.
func (q *Queue) kept() int { return len(q.spare) + len(q.late) }

func (q *Queue) keptAt(i int) *entrant {
	if i < len(q.spare) {
		return q.spare[i]
	}
	return q.late[i-len(q.spare)]
}

// patience returns the number of staggers for which slots have been free.
func (q *Queue) patience(now time.Time) int {
	if q.options.Stagger <= 0 || q.freeSince.IsZero() {
		return 0
	}
	return int(min(now.Sub(q.freeSince)/q.options.Stagger, maxReported))
}

// wake returns the time after which something changes without an event.
func (q *Queue) wake(now time.Time, free int) time.Duration {
	if len(q.waiting) == 0 {
		return 0
	}
	next := time.Duration(0)
	consider := func(d time.Duration) {
		if d = max(d, time.Millisecond); next == 0 || d < next {
			next = d
		}
	}
	consider(q.nextEnd.Sub(now) + time.Millisecond)
	if free > 0 && q.options.Stagger > 0 {
		consider(q.freeSince.Add(time.Duration(q.patience(now)+1) * q.options.Stagger).Sub(now))
	}
	return next
}

func (q *Queue) add(e *entrant) {
	q.waiting[e.ID] = e
	q.fresh = append(q.fresh, e)
	q.bytes += e.Bytes
	q.observeEnd(e)
}

func (q *Queue) remove(id string) {
	e := q.waiting[id]
	if e == nil {
		return
	}
	delete(q.waiting, id)
	q.bytes -= e.Bytes
	for _, list := range []*[]*entrant{&q.fresh, &q.late, &q.promised, &q.spare} {
		if i := slices.Index(*list, e); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
		}
	}
}

func (q *Queue) refuse(now time.Time, e *entrant, s Supply, reason Reason) Refused {
	q.remove(e.ID)
	return Refused{ID: e.ID, RetryAfter: q.retryAfter(now, &e.Ticket, s), Reason: reason}
}

func (q *Queue) takeEvicted() []Refused {
	evicted := q.evicted
	q.evicted = nil
	return evicted
}

func (q *Queue) overBounds() bool {
	return q.options.MaxWaiting > 0 && len(q.waiting) > q.options.MaxWaiting || q.options.MaxBytes > 0 && q.bytes > q.options.MaxBytes
}

// fitsWithoutKept reports whether the promised requests alone are within the bounds.
func (q *Queue) fitsWithoutKept() bool {
	bytes := int64(0)
	for _, e := range q.promised {
		bytes += e.Bytes
	}
	return (q.options.MaxWaiting <= 0 || len(q.promised) <= q.options.MaxWaiting) && (q.options.MaxBytes <= 0 || bytes <= q.options.MaxBytes)
}

// evict refuses kept requests, the last in order first, until the queue is within its bounds.
func (q *Queue) evict(now time.Time, s Supply) {
	for q.overBounds() && q.kept() > 0 {
		q.evicted = append(q.evicted, q.refuse(now, q.keptAt(q.kept()-1), s, QueueFull))
	}
}

// retryShare is the share of its remaining time up to which a caller honours Retry-After.
const retryShare = 1.0 / 3

// retryAfter returns the time at which a refused caller should return: between the time in which all that wait now
// are served and the last one that it honours. Callers that are refused together are spread over that time.
func (q *Queue) retryAfter(now time.Time, t *Ticket, s Supply) time.Duration {
	latest := time.Duration(retryShare * float64(t.Deadline.Sub(now)))
	if latest <= 0 {
		return s.HoldTime
	}
	others := q.peersPromised() + q.peersKept(now)
	drained := max(time.Duration(len(q.waiting)+others)*s.interval(), s.interval())
	// At least half of the time is for the spread, also where the queue will not be empty by then.
	earliest := min(drained, latest/2)
	return earliest + time.Duration(t.Draw*float64(latest-earliest))
}

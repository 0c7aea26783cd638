package waiting

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// arrange divides the waiting requests into those that are promised to be in time and those that are kept for slots
// that nobody in time needs, and orders both.
//
// Promised requests go by their keys. Where one of them would miss its due time, the request with the least claim up to
// it is withdrawn. With equal claims this is the rule of Moore and Hodgson, which leaves the fewest late; of equal
// requests the newest is withdrawn, so that a promise holds once it is made.
//
// The requests that can be in time but aren't promised go newest first: the newest is the most likely to be in time if
// a slot becomes free, whereas the oldest would take its slot and be late all the same.
func (q *Queue) arrange(now time.Time, s Supply) {
	q.moveLate(now)
	q.assess(now)
	free := max(s.Free-len(q.granted), 0)
	dropped := map[*entrant]bool{}
	promised := &leastClaim{}
	for _, e := range q.fresh {
		heap.Push(promised, e)
		before := q.peersBefore(e.key)
		for promised.Len() > 0 && !dropped[e] && !q.reaches(now, e, promised.Len()+before-free, s) {
			dropped[heap.Pop(promised).(*entrant)] = true
		}
	}
	q.promised, q.spare = q.promised[:0], q.spare[:0]
	for _, e := range q.fresh {
		if dropped[e] {
			q.spare = append(q.spare, e)
		} else {
			q.promised = append(q.promised, e)
		}
	}
	slices.Reverse(q.spare)
}

// reaches reports whether a request is predicted to start early enough if it gets the slot of this number of those
// that become free from now on. Its wait may take PlanShare of its whole slack: measured from now, a request that waits
// longer than predicted would stay promised until its slack is used up, and all would start at the last moment.
func (q *Queue) reaches(now time.Time, e *entrant, number int, s Supply) bool {
	slack := e.Due.Sub(e.Arrived) - e.FirstEvent
	start := now.Add(time.Duration(max(number, 0)) * s.interval())
	return start.Sub(e.Arrived) <= time.Duration(q.options.PlanShare*float64(slack))
}

// moveLate moves the requests that can't be in time any more. Among those, lower usage and higher priority go first,
// then the earlier arrival.
func (q *Queue) moveLate(now time.Time) {
	q.fresh = slices.DeleteFunc(q.fresh, func(e *entrant) bool {
		if e.inTime(now) {
			return false
		}
		e.factor = q.factor(e)
		at, _ := slices.BinarySearchFunc(q.late, e, compareLate)
		q.late = slices.Insert(q.late, at, e)
		return true
	})
}

func compareLate(a, b *entrant) int {
	return cmp.Or(cmp.Compare(math.Round(math.Log2(a.factor)), math.Round(math.Log2(b.factor))), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

const (
	// maxFactor bounds the effect of usage and priority on the order, so that nobody waits without end.
	maxFactor = 4
	// maxPreference bounds the effect of the value, so that a kind of low value is served at least a quarter as often
	// as one of high value.
	maxPreference = 2
)

// assess sets the keys and claims of the requests that can be in time and sorts them by their keys.
func (q *Queue) assess(now time.Time) {
	shares, mean := map[kind]float64{}, q.kinds.meanLoss()
	for _, e := range q.fresh {
		k := kindOf(&e.Ticket)
		if shares[k] == 0 {
			shares[k] = q.kinds.share(now, &e.Ticket)
		}
		e.factor = q.factor(e)
		e.key = e.Arrived.Add(time.Duration(e.factor * float64(e.Due.Sub(e.Arrived))))
		e.claim = preference(&e.Ticket, mean) / e.factor / shares[k]
	}
	slices.SortFunc(q.fresh, func(a, b *entrant) int {
		return cmp.Or(a.key.Compare(b.key), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
}

// factor returns by how much the usage of its workspace and its priority delay a request in the order.
func (q *Queue) factor(e *entrant) float64 {
	usage := 1.0
	if q.options.Usage != nil {
		usage = q.options.Usage(e.Workspace)
	}
	return min(max(usage, 1.0/maxFactor)*float64(1+max(e.Priority, 0)), maxFactor)
}

// leastClaim is a heap with the request that is withdrawn first at its root.
type leastClaim []*entrant

func (h leastClaim) Len() int { return len(h) }
func (h leastClaim) Less(i, j int) bool {
	if h[i].claim != h[j].claim {
		return h[i].claim < h[j].claim
	}
	return cmp.Or(h[j].Arrived.Compare(h[i].Arrived), cmp.Compare(h[j].ID, h[i].ID)) < 0
}
func (h leastClaim) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *leastClaim) Push(x any)   { *h = append(*h, x.(*entrant)) }
func (h *leastClaim) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// kind groups requests by the powers of two of their target and prompt length. Kinds are served in time about equally
// often, whatever their target: by due times alone, requests with a long target would take all slots as soon as they
// have waited long enough.
type kind struct{ target, tokens int }

func kindOf(t *Ticket) kind {
	return kind{log2(t.Due.Sub(t.Arrived).Seconds()), log2(float64(t.PromptTokens))}
}

func log2(x float64) int {
	if x <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log2(x)))
}

// tally counts the requests of a kind, with counts that halve within the time that its requests have.
type tally struct {
	offered, served float64
	loss            float64 // sum over offered requests of what is lost if they are late
	at              time.Time
	halfLife        time.Duration
}

type kinds map[kind]*tally

func (k kinds) tally(now time.Time, t *Ticket) *tally {
	c := k[kindOf(t)]
	if c == nil {
		c = &tally{at: now}
		k[kindOf(t)] = c
	}
	if c.halfLife > 0 {
		decay := math.Exp2(-now.Sub(c.at).Seconds() / c.halfLife.Seconds())
		c.offered, c.served, c.loss = c.offered*decay, c.served*decay, c.loss*decay
	}
	c.at, c.halfLife = now, max(t.Deadline.Sub(t.Arrived), time.Millisecond)
	return c
}

func (k kinds) offered(now time.Time, t *Ticket) {
	c := k.tally(now, t)
	c.offered++
	c.loss += t.Worth - t.LateWorth
}

func (k kinds) served(now time.Time, t *Ticket) { k.tally(now, t).served++ }

// share returns the share of the requests of the kind of t that were started in time.
func (k kinds) share(now time.Time, t *Ticket) float64 {
	c := k.tally(now, t)
	return (c.served + 1) / (c.offered + 1)
}

// meanLoss returns the mean of what an offered request loses by being late.
func (k kinds) meanLoss() float64 {
	loss, offered := 0.0, 0.0
	for _, c := range k {
		loss, offered = loss+c.loss, offered+c.offered
	}
	if offered <= 0 {
		return 0
	}
	return loss / offered
}

// preference returns the loss of t by being late relative to the mean, within bounds.
func preference(t *Ticket, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return min(max((t.Worth-t.LateWorth)/mean, 1.0/maxPreference), maxPreference)
}

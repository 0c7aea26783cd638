package waiting

import (
	"maps"
	"slices"
	"time"
)

// peer is what a peer has reported, with times by the own clock.
type peer struct {
	name           string
	promised, kept int
	head, last     time.Time
	at             time.Time
}

// Report returns the state of the queue for the peers, as of the latest call of Offer or Next.
func (q *Queue) Report(now time.Time) Report {
	r := Report{Service: q.options.Service, Promised: len(q.promised), Kept: q.kept()}
	if len(q.promised) > 0 {
		r.Head = millis(q.promised[0].key.Sub(now))
		r.Last = millis(q.promised[len(q.promised)-1].key.Sub(now))
	}
	return r
}

// millis returns a rank key within the bounds of a report.
func millis(d time.Duration) int64 {
	return min(max(d.Milliseconds(), -maxRankMillis), maxRankMillis)
}

// ObservePeer records a report; one that is invalid or on another service is ignored.
func (q *Queue) ObservePeer(now time.Time, from string, r Report) {
	if r.Check() != nil || r.Service != q.options.Service {
		return
	}
	for range min(r.Granted, maxGranted) {
		q.grants = append(q.grants, now)
	}
	q.peers[from] = peer{name: from, promised: r.Promised, kept: r.Kept, at: now,
		head: now.Add(time.Duration(r.Head) * time.Millisecond), last: now.Add(time.Duration(r.Last) * time.Millisecond)}
}

// maxGranted bounds the slots that one report passes on.
const maxGranted = 64

// firstPeer returns the peer whose first request is the first in order: promised ones by their keys, then the one that
// keeps most; empty if none waits at the peers.
func (q *Queue) firstPeer() string {
	best := ""
	for _, name := range slices.Sorted(maps.Keys(q.peers)) {
		p, b := q.peers[name], q.peers[best]
		switch {
		case p.promised == 0 && p.kept == 0:
		case best == "", p.promised > 0 && (b.promised == 0 || p.head.Before(b.head)), p.promised+b.promised == 0 && p.kept > b.kept:
			best = name
		}
	}
	return best
}

// advance removes the peer's first request, which gets a slot.
func (p *peer) advance() {
	switch {
	case p.promised > 1:
		p.head = p.head.Add(p.last.Sub(p.head) / time.Duration(p.promised-1))
		p.promised--
	case p.promised == 1:
		p.promised--
	case p.kept > 0:
		p.kept--
	}
}

// ForgetPeer removes the report of a peer that stops or has restarted.
func (q *Queue) ForgetPeer(from string) { delete(q.peers, from) }

// before returns the number of the peer's promised requests that go before a key, spread evenly between the first and
// the last one.
func (p *peer) before(key time.Time, own string) int {
	switch {
	case p.promised == 0 || key.Before(p.head) || key.Equal(p.head) && own < p.name:
		return 0
	case key.After(p.last) || p.promised == 1:
		return p.promised
	}
	span := p.last.Sub(p.head)
	if span <= 0 {
		return p.promised
	}
	return min(1+int(float64(p.promised-1)*key.Sub(p.head).Seconds()/span.Seconds()), p.promised)
}

// peersBefore returns the number of the peers' promised requests that go before a key.
func (q *Queue) peersBefore(key time.Time) int {
	sum := 0
	for _, p := range q.peers {
		sum += p.before(key, q.options.Entry)
	}
	return sum
}

// yieldStaggers is the lead, in staggers, from which a peer's request gets a slot that was given up here. A shorter lead
// has more requests meet at full servers (13 % with 1, 9 % with 2 at 12 entries), as reports are about one stagger old;
// a longer one has an entry with few requests, which holds few slots, served less often.
const yieldStaggers = 2

// outranked reports whether the first request of a peer clearly precedes one of this entry. The lead is at most a
// quarter of the slack, so that an entry that holds no slots gets some for requests with a short target too.
func (q *Queue) outranked(e *entrant) bool {
	lead := min(yieldStaggers*q.options.Stagger, (e.Due.Sub(e.Arrived)-e.FirstEvent)/4)
	for _, p := range q.peers {
		if p.promised > 0 && p.head.Before(e.key.Add(-lead)) {
			return true
		}
	}
	return false
}

func (q *Queue) peersPromised() int {
	sum := 0
	for _, p := range q.peers {
		sum += p.promised
	}
	return sum
}

// peersKept returns the number of requests that the peers keep.
func (q *Queue) peersKept(now time.Time) int {
	sum := 0
	for _, p := range q.peers {
		if now.Sub(p.at) <= q.options.ReportLifetime {
			sum += p.kept
		}
	}
	return sum
}

// keptPosition returns the position of the own kept request of this index among those of all entries, which take
// turns by the share of each.
func (q *Queue) keptPosition(index int) int {
	total, entries, lower := q.kept(), 1, 0
	for name, p := range q.peers {
		if p.kept == 0 {
			continue
		}
		total += p.kept
		entries++
		if name < q.options.Entry {
			lower++
		}
	}
	phase := float64(lower) / float64(entries)
	return int((float64(index) + phase) * float64(total) / float64(q.kept()))
}

// PeersHeard returns the number of peers whose reports hold, and the age of the oldest of these.
func (q *Queue) PeersHeard(now time.Time) (count int, oldest time.Duration) {
	for _, p := range q.peers {
		if age := now.Sub(p.at); age <= q.options.ReportLifetime {
			count++
			oldest = max(oldest, age)
		}
	}
	return count, oldest
}

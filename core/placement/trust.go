package placement

import (
	"math"
	"time"
)

// Bounds of what is believed of a server's quality.
const (
	// trustHalfLife is after how long a failure counts half. Servers that fail a
	// part of their requests do so for seconds; a shorter memory goes back to
	// them at once, a longer one leaves a healed server idle.
	trustHalfLife = 3 * time.Second
	// failureWeight is the share of failures that a single one makes believe.
	failureWeight = 0.35
	// successWeight is by how much a success lowers it.
	successWeight = 0.15
	// paceWeight is the weight of the newest comparison of predicted and actual
	// time in the running mean.
	paceWeight = 0.2
	// maxSlowness bounds the factor of a slow server; its predicted times are
	// then beyond every target anyway.
	maxSlowness = 8
	// unreachableBase and unreachableMax bound how long a server that could not
	// be reached gets nothing: doubled with each failure in a row, so that one
	// that goes up and down by turns is not flooded on its return.
	unreachableBase = 500 * time.Millisecond
	unreachableMax  = 4 * time.Second
	// unreachableSpread is the part of the pause that is drawn at random, to either side.
	unreachableSpread = 0.25
)

// trust is earned by the results of requests alone. Health answers may be false
// either way.
type trust struct {
	failing float64 // share of requests that fail, as believed
	at      time.Time
	pace    float64 // actual over predicted time, 0 before the first
	// misses counts the times in a row that the server took no request, missedAt is when it
	// last didn't, until when it is left alone.
	misses   int
	missedAt time.Time
	until    time.Time
}

// failShare is the believed share of requests that fail here.
func (t *trust) failShare(now time.Time) float64 {
	if t.failing == 0 {
		return 0
	}
	return t.failing * math.Exp2(-now.Sub(t.at).Seconds()/trustHalfLife.Seconds())
}

func (t *trust) failed(now time.Time) {
	share := t.failShare(now)
	t.failing, t.at = share+(1-share)*failureWeight, now
}

func (t *trust) succeeded(now time.Time) {
	t.failing, t.at = t.failShare(now)*(1-successWeight), now
	t.misses, t.until = 0, time.Time{}
}

// unreachable leaves the server alone for a while: for a pause that doubles with each miss
// in a row, stretched or cut by up to a quarter as draw says. Without that all entries, which
// tell each other of such servers, would try one again at the same moment.
func (t *trust) unreachable(now time.Time, draw float64) {
	t.failed(now)
	pause := min(unreachableBase<<min(t.misses, 8), unreachableMax)
	t.misses++
	t.missedAt = now
	t.until = now.Add(time.Duration(float64(pause) * (1 - unreachableSpread + 2*unreachableSpread*draw)))
}

// shows takes in that a request that began at a time has its first event here: the server
// works again. What began before the last miss says nothing of the time after it.
func (t *trust) shows(began time.Time) {
	if began.After(t.missedAt) {
		t.misses, t.until = 0, time.Time{}
	}
}

// isLeftAlone says whether the server gets nothing for now, since it took no requests lately.
func (t *trust) isLeftAlone(now time.Time) bool { return now.Before(t.until) }

func (t *trust) slowness() float64 {
	if t.pace < 1 {
		return 1
	}
	return math.Min(t.pace, maxSlowness)
}

// observePace compares an actual time to the first event with the predicted one.
func (s *server) observePace(actual, predicted time.Duration) {
	ratio := math.Min(actual.Seconds()/predicted.Seconds(), maxSlowness)
	if s.trust.pace == 0 {
		s.trust.pace = 1
	}
	s.trust.pace += (ratio - s.trust.pace) * paceWeight
}

// Succeeded books a whole answer of a server.
func (b *Book) Succeeded(now time.Time, id string) { b.server(id, nil).trust.succeeded(now) }

// Failed books a failure of a server.
func (b *Book) Failed(now time.Time, id string) { b.server(id, nil).trust.failed(now) }

// Unreachable books that a server takes no requests: no connection to it could be made, it
// broke off before its answer, or it said that it did not run the request. draw is a random
// number from 0 to 1.
func (b *Book) Unreachable(now time.Time, id string, draw float64) {
	b.server(id, nil).trust.unreachable(now, draw)
}

// UnreachableFrom books that another entry has met such a server. One that is left alone
// already is left alone no longer for it, since the entries that meet it at the same moment
// all tell of it.
func (b *Book) UnreachableFrom(now time.Time, id string, draw float64) {
	s := b.server(id, nil)
	if s.trust.isLeftAlone(now) {
		return
	}
	s.trust.unreachable(now, draw)
}

// Awoke forgets what was believed before this process was suspended: loads and
// failures have gone on without it.
func (b *Book) Awoke() {
	b.servers = map[string]*server{}
	b.active = map[string]*active{}
}

package placement

import (
	"math"
	"time"
)

// Bounds of what is believed of a server's quality.
const (
	// failureHalfLife is after how long a failure counts half. Servers that fail a
	// part of their requests do so for seconds; a shorter memory goes back to
	// them at once, a longer one leaves a healed server idle.
	failureHalfLife = 3 * time.Second
	// failureWeight is the share of failures that a single one makes believe.
	failureWeight = 0.35
	// successWeight is by how much a success lowers it.
	successWeight = 0.15
	// latencyWeight is the weight of the newest comparison of predicted and actual
	// time in the running mean.
	latencyWeight = 0.2
	// maxSlowdown bounds the factor of a slow server; its predicted times are
	// then beyond every target anyway.
	maxSlowdown = 8
	// backoffBase and unreachableMax bound how long a server that could not
	// be reached gets nothing: doubled with each failure in a row, so that one
	// that goes up and down by turns is not flooded on its return.
	backoffBase = 500 * time.Millisecond
	backoffMax  = 4 * time.Second
	// backoffJitter is the part of the pause that is drawn at random, to either side.
	backoffJitter = 0.25
)

// serverHealth is earned by the results of requests alone. Health answers may be false
// either way.
type serverHealth struct {
	failureRate  float64 // share of requests that fail, as believed
	updatedAt    time.Time
	latencyRatio float64 // actual over predicted time, 0 before the first
	// misses counts the times in a row that the server took no request, missedAt is when it
	// last didn't, until when it is left alone.
	misses       int
	missedAt     time.Time
	backoffUntil time.Time
}

// currentFailureRate is the believed share of requests that fail here.
func (t *serverHealth) currentFailureRate(now time.Time) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp2(-now.Sub(t.updatedAt).Seconds()/failureHalfLife.Seconds())
}

func (t *serverHealth) failed(now time.Time) {
	share := t.currentFailureRate(now)
	t.failureRate, t.updatedAt = share+(1-share)*failureWeight, now
}

func (t *serverHealth) succeeded(now time.Time) {
	t.failureRate, t.updatedAt = t.currentFailureRate(now)*(1-successWeight), now
	t.misses, t.backoffUntil = 0, time.Time{}
}

// unreachable leaves the server alone for a while: for a pause that doubles with each miss
// in a row, stretched or cut by up to a quarter as draw says. Without that all entries, which
// tell each other of such servers, would try one again at the same moment.
func (t *serverHealth) unreachable(now time.Time, draw float64) {
	t.failed(now)
	pause := min(backoffBase<<min(t.misses, 8), backoffMax)
	t.misses++
	t.missedAt = now
	t.backoffUntil = now.Add(time.Duration(float64(pause) * (1 - backoffJitter + 2*backoffJitter*draw)))
}

// answered takes in that a request that began at a time has its first event here: the server
// works again. What began before the last miss says nothing of the time after it.
func (t *serverHealth) answered(began time.Time) {
	if began.After(t.missedAt) {
		t.misses, t.backoffUntil = 0, time.Time{}
	}
}

// inBackoff says whether the server gets nothing for now, since it took no requests lately.
func (t *serverHealth) inBackoff(now time.Time) bool { return now.Before(t.backoffUntil) }

func (t *serverHealth) slowdown() float64 {
	if t.latencyRatio < 1 {
		return 1
	}
	return math.Min(t.latencyRatio, maxSlowdown)
}

// observeLatency compares an actual time to the first event with the predicted one.
func (s *server) observeLatency(actual, predicted time.Duration) {
	ratio := math.Min(actual.Seconds()/predicted.Seconds(), maxSlowdown)
	if s.health.latencyRatio == 0 {
		s.health.latencyRatio = 1
	}
	s.health.latencyRatio += (ratio - s.health.latencyRatio) * latencyWeight
}

// Succeeded books a whole answer of a server.
func (b *Book) Succeeded(now time.Time, id string) { b.server(id, nil).health.succeeded(now) }

// Failed books a failure of a server.
func (b *Book) Failed(now time.Time, id string) { b.server(id, nil).health.failed(now) }

// Unreachable books that a server takes no requests: no connection to it could be made, it
// broke off before its answer, or it said that it did not run the request. draw is a random
// number from 0 to 1.
func (b *Book) Unreachable(now time.Time, id string, draw float64) {
	b.server(id, nil).health.unreachable(now, draw)
}

// UnreachableFrom books that another entry has met such a server. One that is left alone
// already is left alone no longer for it, since the entries that meet it at the same moment
// all tell of it.
func (b *Book) UnreachableFrom(now time.Time, id string, draw float64) {
	s := b.server(id, nil)
	if s.health.inBackoff(now) {
		return
	}
	s.health.unreachable(now, draw)
}

// Awoke forgets what was believed before this process was suspended: loads and
// failures have gone on without it.
func (b *Book) Awoke() {
	b.servers = map[string]*server{}
	b.active = map[string]*activeDispatch{}
}

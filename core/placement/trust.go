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
func (h *serverHealth) currentFailureRate(now time.Time) float64 {
	if h.failureRate == 0 {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.updatedAt).Seconds()/failureHalfLife.Seconds())
}

func (h *serverHealth) failed(now time.Time) {
	share := h.currentFailureRate(now)
	h.failureRate, h.updatedAt = share+(1-share)*failureWeight, now
}

func (h *serverHealth) succeeded(now time.Time) {
	h.failureRate, h.updatedAt = h.currentFailureRate(now)*(1-successWeight), now
	h.misses, h.backoffUntil = 0, time.Time{}
}

// unreachable leaves the server alone for a while: for a pause that doubles with each miss
// in a row, stretched or cut by up to a quarter as draw says. Without that all entries, which
// tell each other of such servers, would try one again at the same moment.
func (h *serverHealth) unreachable(now time.Time, draw float64) {
	h.failed(now)
	pause := min(backoffBase<<min(h.misses, 8), backoffMax)
	h.misses++
	h.missedAt = now
	h.backoffUntil = now.Add(time.Duration(float64(pause) * (1 - backoffJitter + 2*backoffJitter*draw)))
}

// answered takes in that a request that began at a time has its first event here: the server
// works again. What began before the last miss says nothing of the time after it.
func (h *serverHealth) answered(began time.Time) {
	if began.After(h.missedAt) {
		h.misses, h.backoffUntil = 0, time.Time{}
	}
}

// inBackoff says whether the server gets nothing for now, since it took no requests lately.
func (h *serverHealth) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

func (h *serverHealth) slowdown() float64 {
	if h.latencyRatio < 1 {
		return 1
	}
	return math.Min(h.latencyRatio, maxSlowdown)
}

// observeLatency compares an actual time to the first event with the predicted one.
func (s *server) observeLatency(actual, predicted time.Duration) {
	ratio := math.Min(actual.Seconds()/predicted.Seconds(), maxSlowdown)
	if s.health.latencyRatio == 0 {
		s.health.latencyRatio = 1
	}
	s.health.latencyRatio += (ratio - s.health.latencyRatio) * latencyWeight
}

// RecordSuccess books a whole answer of a server.
func (t *LoadTable) RecordSuccess(now time.Time, id string) { t.server(id, nil).health.succeeded(now) }

// RecordFailure books a failure of a server.
func (t *LoadTable) RecordFailure(now time.Time, id string) { t.server(id, nil).health.failed(now) }

// MarkUnreachable books that a server takes no requests: no connection to it could be made, it
// broke off before its answer, or it said that it did not run the request. draw is a random
// number from 0 to 1.
func (t *LoadTable) MarkUnreachable(now time.Time, id string, draw float64) {
	t.server(id, nil).health.unreachable(now, draw)
}

// MarkUnreachableByPeer books that another entry has met such a server. One that is left alone
// already is left alone no longer for it, since the entries that meet it at the same moment
// all tell of it.
func (t *LoadTable) MarkUnreachableByPeer(now time.Time, id string, draw float64) {
	s := t.server(id, nil)
	if s.health.inBackoff(now) {
		return
	}
	s.health.unreachable(now, draw)
}

// Reset forgets what was believed before this process was suspended: loads and
// failures have gone on without it.
func (t *LoadTable) Reset() {
	t.servers = map[string]*server{}
	t.active = map[string]*activeDispatch{}
}

package placement

import (
	"math"
	"time"
)

// Parameters of a server's health.
const (
	// failureHalfLife is the time after which a failure counts half. Servers that fail a part of their
	// requests do so for seconds; a shorter half-life returns to them at once, a longer one leaves a
	// recovered server idle.
	failureHalfLife = 3 * time.Second
	// failureWeight is the failure rate that a single failure implies.
	failureWeight = 0.35
	// successWeight is the share by which a success lowers the failure rate.
	successWeight = 0.15
	// latencyWeight is the weight of the newest ratio of actual to predicted time in the moving average.
	latencyWeight = 0.2
	// maxSlowdown bounds the factor of a slow server; its predicted times are then beyond every target
	// anyway.
	maxSlowdown = 8
	// minBackoff and maxBackoff bound the backoff of an unreachable server. It doubles with each consecutive
	// failure, so that a flapping server is not flooded on its return.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// backoffJitter is the share of the backoff by which it is randomly lengthened or shortened.
	backoffJitter = 0.25
)

// serverHealth is derived from the results of requests alone. Health-check responses may be wrong either way.
type serverHealth struct {
	failureRate  float64 // estimated share of requests that fail
	updatedAt    time.Time
	latencyRatio float64 // actual over predicted time, 0 before the first one
	// misses counts the consecutive times that the server took no request; missedAt is the time of the last
	// one, backoffUntil the end of the backoff.
	misses       int
	missedAt     time.Time
	backoffUntil time.Time
}

// currentFailureRate returns the failure rate, decayed up to now.
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

// unreachable starts a backoff that doubles with each consecutive miss, with a jitter of up to a quarter
// either way that draw, a random number from 0 to 1, selects. Without the jitter all entries, which report
// such servers to each other, would send to one again at the same moment.
func (h *serverHealth) unreachable(now time.Time, draw float64) {
	h.failed(now)
	pause := min(minBackoff<<min(h.misses, 8), maxBackoff)
	h.misses++
	h.missedAt = now
	h.backoffUntil = now.Add(time.Duration(float64(pause) * (1 - backoffJitter + 2*backoffJitter*draw)))
}

// answered records that a request that began at a time has its first event here: the server works again. A
// request that began before the last miss is no evidence of the state after it.
func (h *serverHealth) answered(began time.Time) {
	if began.After(h.missedAt) {
		h.misses, h.backoffUntil = 0, time.Time{}
	}
}

// inBackoff reports whether the server gets no requests for now, since it took none lately.
func (h *serverHealth) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

func (h *serverHealth) slowdown() float64 {
	if h.latencyRatio < 1 {
		return 1
	}
	return math.Min(h.latencyRatio, maxSlowdown)
}

// observeLatency compares the actual time to the first event with the predicted one.
func (s *server) observeLatency(actual, predicted time.Duration) {
	ratio := math.Min(actual.Seconds()/predicted.Seconds(), maxSlowdown)
	if s.health.latencyRatio == 0 {
		s.health.latencyRatio = 1
	}
	s.health.latencyRatio += (ratio - s.health.latencyRatio) * latencyWeight
}

// RecordSuccess records a complete answer of a server.
func (t *LoadTable) RecordSuccess(now time.Time, id string) { t.server(id, nil).health.succeeded(now) }

// RecordFailure records a failure of a server.
func (t *LoadTable) RecordFailure(now time.Time, id string) { t.server(id, nil).health.failed(now) }

// MarkUnreachable records that a server takes no requests: no connection to it could be made, it closed the
// connection before its answer, or it said that it did not run the request. draw is a random number from 0 to
// 1.
func (t *LoadTable) MarkUnreachable(now time.Time, id string, draw float64) {
	t.server(id, nil).health.unreachable(now, draw)
}

// MarkUnreachableByPeer records that a peer reports a server as unreachable. It does not extend a backoff
// that has begun, since all the entries that meet the server at the same moment report it.
func (t *LoadTable) MarkUnreachableByPeer(now time.Time, id string, draw float64) {
	s := t.server(id, nil)
	if s.health.inBackoff(now) {
		return
	}
	s.health.unreachable(now, draw)
}

// Reset discards the load and the health of all servers after this process was suspended, as both have
// changed meanwhile.
func (t *LoadTable) Reset() {
	t.servers = map[string]*server{}
	t.active = map[string]*activeDispatch{}
}

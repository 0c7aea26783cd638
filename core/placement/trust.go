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
)

// trust is earned by the results of requests alone. Health answers may be false
// either way.
type trust struct {
	failing float64 // share of requests that fail, as believed
	at      time.Time
	pace    float64 // actual over predicted time, 0 before the first
	misses  int
	until   time.Time
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

func (t *trust) unreachable(now time.Time) {
	t.failed(now)
	pause := min(unreachableBase<<min(t.misses, 8), unreachableMax)
	t.misses++
	t.until = now.Add(pause)
}

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

// Unreachable books that no connection to a server could be made.
func (b *Book) Unreachable(now time.Time, id string) { b.server(id, nil).trust.unreachable(now) }

// Awoke forgets what was believed before this process was suspended: loads and
// failures have gone on without it.
func (b *Book) Awoke() {
	b.servers = map[string]*server{}
	b.active = map[string]*active{}
}

package servertimes

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// learn records the same ratio several times, a tenth of a second apart, and returns the time after it.
func learn(c *Service, s *Server, now time.Time, at Situation, ratio float64, count int) time.Time {
	for range count {
		estimate := c.Estimate(now, s, at)
		c.Observe(now, s, Observation{Situation: at, Own: true, Ratio: ratio, Offset: estimate.Offset})
		now = now.Add(100 * time.Millisecond)
	}
	return now
}

func TestLevels(t *testing.T) {
	for requests, level := range []Level{Idle, BelowQuarter, BelowQuarter, BelowHalf, BelowHalf, BelowHalf, BelowThreeQuarters, BelowThreeQuarters, BelowThreeQuarters,
		NearlyFull, NearlyFull, NearlyFull, Full, Beyond, TwiceBeyond, FarBeyond} {
		require.Equal(t, level, LevelOf(requests, 12), requests)
	}
	require.Equal(t, Beyond, LevelOf(68, 64))
	require.Equal(t, TwiceBeyond, LevelOf(72, 64))
}

// Guards against a server that has shown nothing being predicted by the published speeds although all others of its
// service differ from them.
func TestAServerThatHasShownNothingIsLikeTheOthers(t *testing.T) {
	var c Service
	warmServer := Situation{Level: NearlyFull, Age: -1}
	now := start
	for range 8 {
		now = learn(&c, &Server{}, now, warmServer, 1.6, 8)
	}
	require.InDelta(t, 1.6, c.Estimate(now, &Server{}, warmServer).Median, 0.16)
	require.InDelta(t, 1, c.Estimate(now, &Server{}, Situation{Level: Idle, Age: -1}).Median, 0.01, "other occupancies are learned separately")
}

// Guards against one observation deciding for a server: its own ratio counts as its observations grow, and is
// forgotten with time.
func TestAServersOwnRatioCountsAsItsObservationsGrow(t *testing.T) {
	var c Service
	at := Situation{Level: BelowHalf, Age: -1}
	now := learn(&c, &Server{}, start, at, 1, 60)
	slow, previous := &Server{}, 1.0
	for range 3 {
		now = learn(&c, slow, now, at, 2, 1)
		estimate := c.Estimate(now, slow, at).Median
		require.Greater(t, estimate, previous)
		require.Less(t, estimate, 1.8)
		previous = estimate
	}
	now = learn(&c, slow, now, at, 2, 12)
	require.InDelta(t, 2, c.Estimate(now, slow, at).Median, 0.2)
	require.InDelta(t, 1, c.Estimate(now.Add(5*time.Minute), slow, at).Median, 0.1)
}

// Guards against a slow start being predicted for warm servers, or not at all.
func TestASlowStartIsLearnedByAge(t *testing.T) {
	var c Service
	at := Situation{Level: BelowHalf, Age: -1}
	now := learn(&c, &Server{}, start, at, 1, 60)
	young := Situation{Level: BelowHalf, Age: 500 * time.Millisecond}
	for range 8 {
		now = learn(&c, &Server{}, now, young, 3, 4)
	}
	require.InDelta(t, 3, c.Estimate(now, &Server{}, young).Median, 0.3)
	require.InDelta(t, 1, c.Estimate(now, &Server{}, at).Median, 0.1)
	require.InDelta(t, 3, c.Slowdown(now, &Server{}, 500*time.Millisecond), 0.3)
}

// Guards against the 90th percentile being that of regular requests.
func TestTheSpreadIsLearned(t *testing.T) {
	var c Service
	s := &Server{}
	at := Situation{Level: Full, Age: -1}
	now := start
	for range 20 {
		now = learn(&c, s, now, at, 1, 4)
		now = learn(&c, s, now, at, 4, 1)
	}
	estimate := c.Estimate(now, s, at)
	require.InDelta(t, 1, estimate.Median, 0.1)
	require.Greater(t, estimate.P90, 2.5)
}

// Guards against a ratio that can't be compared, or is out of all proportion, spoiling all predictions.
func TestOutliersAreBounded(t *testing.T) {
	var c Service
	s := &Server{}
	at := Situation{Level: Idle, Age: -1}
	now := learn(&c, s, start, at, 1, 20)
	for _, ratio := range []float64{math.NaN(), math.Inf(1), 0, -1, 1e300, 1e-300} {
		now = learn(&c, s, now, at, ratio, 1)
	}
	require.Len(t, c.own[Idle].ring, 20+3, "three of them can't be compared")
	for _, v := range c.own[Idle].ring {
		require.LessOrEqual(t, math.Abs(v.value), 2*math.Log(MaxRatio))
	}
	estimate := c.Estimate(now, s, at)
	require.InDelta(t, 1, estimate.Median, 0.1)
	require.LessOrEqual(t, estimate.P90, float64(MaxRatio))
}

// Guards against memory that grows with the number of requests.
func TestMemoryIsBounded(t *testing.T) {
	var c Service
	s := &Server{}
	for i := range 10_000 {
		c.Observe(start.Add(time.Duration(i)*time.Millisecond), s, Observation{Situation: Situation{Level: Level(i % int(Divided)), Age: time.Duration(i%20) * time.Second}, Own: i%2 == 0, Ratio: 1 + float64(i%7)})
	}
	require.LessOrEqual(t, cap(s.residuals.ring), maxServer)
	require.LessOrEqual(t, cap(s.scaled.ring), maxServer)
	for _, cell := range append(append(c.own[:], c.peers[:]...), c.ages[:]...) {
		require.LessOrEqual(t, cap(cell.ring), 2*maxPooled)
	}
}

package servertimes

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type sample struct {
	value float64
	// weight is the weight at the time of the latest sample.
	weight float64
}

// samples holds the latest values of a cell with weights that halve with time. The weights relative to each
// other change only with a new value, and so do the median and the spread.
type samples struct {
	// ring grows to the bound of the cell; next is the index of the oldest value from then on.
	ring  []sample
	next  int
	count int
	// latest is the time of the latest value, total the sum of the weights at it.
	latest time.Time
	total  float64
	// median is the weighted median, spread the distance of the 90th percentile from it.
	median, spread float64
}

// add records a value and forgets the oldest one beyond a number.
func (s *samples) add(now time.Time, value float64, halfLife time.Duration, most int) {
	if s.count > 0 {
		s.fade(decay(now.Sub(s.latest), halfLife))
	}
	if s.latest.Before(now) {
		s.latest = now
	}
	if len(s.ring) < most {
		s.ring = append(s.ring, sample{})
		s.next = len(s.ring) - 1
	}
	s.ring[s.next] = sample{value, 1}
	s.next = (s.next + 1) % most
	s.count = len(s.ring)
	s.summarize()
}

// fade lowers the weights of all values by a factor.
func (s *samples) fade(factor float64) {
	for i := range s.ring {
		s.ring[i].weight *= factor
	}
	s.total *= factor
}

// weightAt returns the sum of the weights at a time.
func (s *samples) weightAt(now time.Time, halfLife time.Duration) float64 {
	if s.count == 0 {
		return 0
	}
	return s.total * decay(now.Sub(s.latest), halfLife)
}

// decay returns the factor by which a weight falls in a time; a time in the past changes nothing.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(elapsed, 0).Seconds() / halfLife.Seconds())
}

func (s *samples) summarize() {
	var sorted [maxPooled]sample
	values := sorted[:copy(sorted[:], s.ring)]
	slices.SortFunc(values, func(a, b sample) int { return cmp.Compare(a.value, b.value) })
	s.total = 0
	for _, v := range values {
		s.total += v.weight
	}
	s.median = quantile(values, 0.5, s.total)
	s.spread = quantile(values, 0.9, s.total) - s.median
}

// quantile returns the value below which a share of the total weight lies, interpolated between the middles of
// the weights of neighbouring values.
func quantile(sorted []sample, share, total float64) float64 {
	wanted, below := share*total, 0.0
	for i, v := range sorted {
		middle := below + v.weight/2
		if middle >= wanted {
			if i == 0 {
				return v.value
			}
			previous := sorted[i-1]
			start := below - previous.weight/2
			return previous.value + (v.value-previous.value)*(wanted-start)/(middle-start)
		}
		below += v.weight
	}
	return sorted[len(sorted)-1].value
}

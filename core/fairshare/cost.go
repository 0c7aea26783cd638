package fairshare

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the number by which entries name a workspace to each other. It is 0 only for the empty name: requests
// without a workspace share one account. Two of 1,000 names share a hash with a probability of about 1 in 8,600; these
// then share an account.
func Hash(workspace string) uint32 {
	if workspace == "" {
		return 0
	}
	sum := xxhash.Sum64String(workspace)
	return max(uint32(sum^sum>>32), 1)
}

// Cost is what requests have used.
type Cost struct {
	PrefillTokens int64
	// SlotTime is the time for which slots were held.
	SlotTime time.Duration
	// MemoryTime is the memory held times the time it was held, in token seconds.
	MemoryTime float64
}

// Add returns the sum of two costs.
func (c Cost) Add(other Cost) Cost {
	return Cost{c.PrefillTokens + other.PrefillTokens, c.SlotTime + other.SlotTime, c.MemoryTime + other.MemoryTime}
}

// Use is what a workspace has used lately: amounts that are halved with each half-life since their use.
type Use struct {
	Workspace uint32
	Cost
}

// Capacity is what the zone's servers provide together; 0 where it isn't known. A resource of unknown capacity isn't
// charged; if none is known, slot time alone is.
type Capacity struct {
	// PrefillTokens is the rate of prefill, in tokens per second.
	PrefillTokens float64
	Slots         float64
	// MemoryTokens is the memory for prompts and answers, in tokens.
	MemoryTokens float64
}

// resources are amounts of prefill tokens, slot seconds and token seconds, in this order.
type resources [3]float64

func (c Cost) resources() resources {
	return resources{positive(float64(c.PrefillTokens)), positive(c.SlotTime.Seconds()), positive(c.MemoryTime)}
}

func (c Capacity) resources() resources {
	known := resources{positive(c.PrefillTokens), positive(c.Slots), positive(c.MemoryTokens)}
	if known == (resources{}) {
		known[1] = 1
	}
	return known
}

func (r resources) cost() Cost {
	return Cost{PrefillTokens: int64(math.Round(r[0])), SlotTime: time.Duration(r[1] * float64(time.Second)), MemoryTime: r[2]}
}

func (r *resources) add(other resources) {
	for i := range r {
		r[i] += other[i]
	}
}

func (r *resources) scale(factor float64) {
	for i := range r {
		r[i] *= factor
	}
}

// positive returns a number that is finite and not negative, else 0: amounts come from other entries too.
func positive(x float64) float64 {
	if x > 0 && !math.IsInf(x, 1) {
		return x
	}
	return 0
}

// scarcity returns the price of each resource from 0 to 1: the square of its utilisation relative to the most used one.
// Squared, a resource of which half is free costs a quarter, so that shares are divided by what runs out and not by
// what is plentiful.
func scarcity(used, capacity resources) resources {
	var price resources
	highest := 0.0
	for i := range used {
		if capacity[i] > 0 {
			price[i] = used[i] / capacity[i]
			highest = max(highest, price[i])
		}
	}
	for i := range price {
		switch {
		case capacity[i] <= 0:
		case highest <= 0:
			price[i] = 1
		default:
			price[i] = (price[i] / highest) * (price[i] / highest)
		}
	}
	return price
}

package waiting

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Failure: under overload servers worked on late answers, and a standing queue made all requests late (0.58 of the
// capacity in time at 1.06, 0.02 at 2).
func TestInTimeStaysAtTheCapacityUnderOverload(t *testing.T) {
	for _, load := range []float64{0.8, 1.06, 1.3, 2} {
		for _, knows := range []bool{false, true} {
			t.Run(fmt.Sprintf("load %.2f, first attempts known %v", load, knows), func(t *testing.T) {
				p := newPlay(2, 4, 4, 16, queues(nil))
				p.knowsFirst = knows
				surge(p, load, 8*time.Second)
				all, after := p.result(time.Second, 8*time.Second, nil), p.result(10*time.Second, 14*time.Second, nil)
				owed := min(float64(all.all), p.capacity()*7)
				t.Logf("in time %.3f of what the slots allow; worth %.3f; after %.4f (%d of %d); at full servers %.3f", float64(all.inTime)/owed, all.worth(),
					after.share(), after.inTime, after.all, float64(p.overshoot)/float64(p.started))
				require.GreaterOrEqual(t, float64(all.inTime), 0.95*owed)
				require.Equal(t, after.all, after.inTime, "all are in time again two seconds after the overload")
			})
		}
	}
}

// Failure: a queue that holds requests back while there is capacity for all.
func TestNoRequestIsHeldBackBesideFreeSlots(t *testing.T) {
	p := newPlay(3, 4, 4, 16, queues(nil))
	p.arrive(0, 5*time.Second, 0.5*p.capacity(), caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second})
	p.run(10 * time.Second)
	for _, c := range p.callers {
		require.LessOrEqual(t, c.answered.Sub(c.first), 2*playFirst, c.id)
	}
}

// Failure: several entries start a request each for one freed slot. With decisions by all from reports that are a few
// milliseconds old, 28 % of the requests met full servers at 12 entries. The harm of lost reports is bounded.
func TestEntriesMostlyDoNotTakeTheSameSlot(t *testing.T) {
	for _, c := range []struct {
		entries             int
		lost, share, inTime float64
	}{{2, 0, 0.1, 0.95}, {6, 0, 0.1, 0.95}, {12, 0, 0.1, 0.95}, {12, 0.3, 0.15, 0.95}, {12, 1, 0.25, 0.85}} {
		p := newPlay(4, c.entries, 6, 16, queues(nil))
		p.lossShare = c.lost
		p.arrive(0, 6*time.Second, 1.3*p.capacity(), caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second, tokens: 5000})
		p.run(6 * time.Second)
		share := float64(p.overshoot) / float64(p.started)
		p.run(12 * time.Second)
		r := p.result(time.Second, 6*time.Second, nil)
		inTime := float64(r.inTime) / p.capacity() / 5
		t.Logf("%d entries, reports lost %.1f: at full servers %.3f, in time %.3f of capacity", c.entries, c.lost, share, inTime)
		assert.LessOrEqual(t, share, c.share)
		assert.GreaterOrEqual(t, inTime, c.inTime)
	}
}

// Failure: an entry with few requests holds few slots, and one whose end it sees first takes each again.
func TestAnEntryWithFewRequestsGetsItsShareOfSlots(t *testing.T) {
	var all, few result
	for seed := uint64(5); seed < 8; seed++ {
		p := newPlay(seed, 4, 4, 16, queues(nil))
		like := caller{target: 300 * time.Millisecond, timeout: 6 * time.Second}
		for entry, share := range []float64{0.05, 0.25, 0.4, 0.6} {
			like.entry = entry
			p.arrive(0, 20*time.Second, share*p.capacity(), like)
		}
		p.run(30 * time.Second)
		all = all.plus(p.result(time.Second, 20*time.Second, nil))
		few = few.plus(p.result(time.Second, 20*time.Second, func(c *caller) bool { return c.entry == 0 }))
	}
	t.Logf("in time %.3f of all, %.3f at the entry with few (%d requests)", all.share(), few.share(), few.all)
	require.GreaterOrEqual(t, few.share(), 0.75*all.share())
}

// Failure: by due times alone, requests with a long target take all slots when they have waited; by arrival alone,
// those with a short target do.
func TestKindsOfEachTargetAreServed(t *testing.T) {
	p := newPlay(6, 4, 4, 16, queues(nil))
	p.arrive(0, 10*time.Second, 0.8*p.capacity(), caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second, tokens: 5000})
	p.arrive(0, 10*time.Second, 0.8*p.capacity(), caller{entry: -1, target: 3 * time.Second, timeout: 12 * time.Second, tokens: 100_000})
	p.run(15 * time.Second)
	all := p.result(4*time.Second, 10*time.Second, nil)
	for _, tokens := range []int64{5000, 100_000} {
		r := p.result(4*time.Second, 10*time.Second, func(c *caller) bool { return c.tokens == tokens })
		t.Logf("%d tokens: in time %.3f, of all %.3f", tokens, r.share(), all.share())
		require.GreaterOrEqual(t, r.share(), all.share()/2)
	}
}

// Failure: a workspace with many requests makes those of another one late, here through one entry or through all.
func TestUsageOrdersWorkspaces(t *testing.T) {
	for _, entry := range []int{0, -1} {
		share := map[bool]float64{}
		for _, weighed := range []bool{false, true} {
			usage := map[string]float64{"many": 1.8, "few": 0.2}
			p := newPlay(7, 4, 4, 16, queues(func(o *Options) {
				if weighed {
					o.Usage = func(workspace string) float64 { return usage[workspace] }
				}
			}))
			p.arrive(0, 8*time.Second, 1.8*p.capacity(), caller{entry: entry, workspace: "many", target: 300 * time.Millisecond, timeout: 6 * time.Second})
			p.arrive(0, 8*time.Second, 0.2*p.capacity(), caller{entry: -1, workspace: "few", target: 300 * time.Millisecond, timeout: 6 * time.Second})
			p.run(15 * time.Second)
			share[weighed] = p.result(time.Second, 8*time.Second, func(c *caller) bool { return c.workspace == "few" }).share()
		}
		t.Logf("entry %d: in time of few %.3f without usage, %.3f with", entry, share[false], share[true])
		require.GreaterOrEqual(t, share[true], 0.95)
		require.Less(t, share[false], 0.9, "the play contends")
	}
}

// Failure: what waited at an entry that is killed or frozen keeps its place, and the others leave slots to it.
func TestAnEntryThatIsKilledOrFrozenCostsNobodyItsPlace(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		p := newPlay(8, 4, 4, 16, queues(nil))
		like := caller{target: 300 * time.Millisecond, timeout: 6 * time.Second}
		for entry := range 4 {
			like.entry = entry
			p.arrive(0, 8*time.Second, 0.4*p.capacity(), like)
		}
		victim := p.entries[1]
		p.after(3*time.Second, func() { victim.down = true })
		if frozen {
			p.after(6*time.Second, func() {
				victim.down = false
				p.next(victim)
			})
		}
		p.run(15 * time.Second)
		others := func(c *caller) bool { return c.entry != 1 }
		soon := p.result(3*time.Second, 4500*time.Millisecond, others)
		later := p.result(4500*time.Millisecond, 6*time.Second, others)
		end := p.result(6*time.Second, 8*time.Second, nil)
		part := func(r result, length float64) float64 { return float64(r.inTime) / p.capacity() / length }
		t.Logf("frozen %v: in time of the capacity %.3f until the report expires, %.3f later, %.3f with all entries that run", frozen, part(soon, 1.5), part(later, 1.5), part(end, 2))
		require.GreaterOrEqual(t, part(soon, 1.5), 0.9)
		require.GreaterOrEqual(t, part(later, 1.5), 0.95)
		require.GreaterOrEqual(t, part(end, 2), 0.95)
	}
}

// Failure: callers that were refused together return together and are refused again.
func TestRefusedCallersReturnSpread(t *testing.T) {
	p := newPlay(9, 4, 4, 16, queues(func(o *Options) { o.MaxWaiting = 20 }))
	p.arrive(time.Second, 1100*time.Millisecond, 20*p.capacity(), caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second})
	p.run(10 * time.Second)
	require.Greater(t, len(p.retries), 50)
	slices.Sort(p.retries)
	for i, at := range p.retries {
		end := i
		for end < len(p.retries) && p.retries[end] < at+100*time.Millisecond {
			end++
		}
		require.LessOrEqual(t, end-i, len(p.retries)/4, "within 100 ms from %v", at)
	}
	require.GreaterOrEqual(t, p.retries[len(p.retries)-1]-p.retries[0], 800*time.Millisecond)
}

package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func slots(seconds float64) Cost {
	return Cost{SlotTime: time.Duration(seconds * float64(time.Second))}
}

func zoneLedger() *Ledger {
	l := NewLedger(DefaultOptions())
	l.SetCapacity(Capacity{PrefillTokens: 100_000, Slots: 100, MemoryTokens: 1_000_000})
	return l
}

// Failure: usage isn't divided by weight.
func TestNormalizedIsUsageByWeight(t *testing.T) {
	l := NewLedger(Options{Floor: 0.01})
	l.SetCapacity(Capacity{Slots: 100})
	l.SetWeights(map[string]float64{"heavy": 3, "broken": math.NaN(), "negative": -1})
	l.Charge(start, "light", slots(10))
	l.Charge(start, "heavy", slots(20)) // starts at the even share, 30 slot seconds
	// 0.1 and 0.5 seconds of the capacity; the even share is 0.6/4 per weight.
	require.InEpsilon(t, 0.1/0.15, l.Normalized(start, "light"), 1e-9)
	require.InEpsilon(t, 0.5/3/0.15, l.Normalized(start, "heavy"), 1e-9)
	require.InDelta(t, 0.75, l.Share(start, "heavy"), 1e-9)
	require.InDelta(t, 0.25, l.Share(start, "light"), 1e-9)
	require.InDelta(t, 0.2, l.Share(start, "negative"), 1e-9, "an invalid weight counts as 1")
}

// Failure: a workspace that is new or was idle starves the others until its usage is as high as theirs, or pays for
// what it used long ago.
func TestIdlingMakesNeitherCreditNorDebt(t *testing.T) {
	l := zoneLedger()
	for i := range 2000 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		l.Charge(now, "steady", slots(0.3))
		if i < 200 || i == 1999 {
			l.Charge(now, "flood", slots(0.6))
		}
	}
	now := at(20 * time.Second)
	require.InDelta(t, 1, l.Normalized(now, "flood"), 0.02, "returned after 18 s")
	l.Ask(now, "new")
	require.InDelta(t, 1, l.Normalized(now, "new"), 0.02)
	require.InDelta(t, 1, l.Normalized(now, "unknown"), 1e-9)
	require.Equal(t, 1.0, NewLedger(Options{}).Normalized(now, "any"))
}

// Failure: a workspace that asks for little saves up its share and then takes all of the capacity for long.
func TestUnusedShareIsLostBeyondTheFloor(t *testing.T) {
	l := zoneLedger()
	for i := range 3000 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		l.Charge(now, "busy", slots(0.95))
		l.Charge(now, "small", slots(0.05))
	}
	caughtUp := 0.0
	for i := 3000; l.Normalized(at(time.Duration(i)*10*time.Millisecond), "small") < 1; i++ {
		l.Charge(at(time.Duration(i)*10*time.Millisecond), "small", slots(1))
		caughtUp += 0.01
		require.Less(t, caughtUp, 1.3, "seconds of the whole capacity; 1.14 with the default floor")
	}
}

// Failure: a change of weights puts a workspace before or behind all others for several seconds.
func TestAChangeOfWeightsKeepsNormalizedUsage(t *testing.T) {
	l := zoneLedger()
	for i := range 1000 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		l.Charge(now, "a", slots(0.5))
		l.Charge(now, "b", slots(0.5))
	}
	l.SetWeights(map[string]float64{"b": 4})
	now := at(10 * time.Second)
	require.InDelta(t, 1, l.Normalized(now, "b"), 0.02)
	l.SetWeights(nil)
	require.InDelta(t, 1, l.Normalized(now, "b"), 0.02)
}

// Failure: a workspace pays for a resource of which there is plenty as much as for one that has run out.
func TestScarceResourcesCount(t *testing.T) {
	capacity := Capacity{Slots: 100, MemoryTokens: 1_000_000}
	l := NewLedger(Options{Floor: 0.01})
	l.SetCapacity(capacity)
	charge := func(memory float64) {
		for i := range 2000 {
			now := at(time.Duration(i) * 10 * time.Millisecond)
			l.Charge(now, "slots", slots(0.5))
			l.Charge(now, "memory", Cost{MemoryTime: memory})
		}
	}
	charge(5000) // all but no slot, half of the memory
	require.InDelta(t, 1, l.Normalized(at(20*time.Second), "memory"), 0.05)
	l = NewLedger(Options{Floor: 0.01})
	l.SetCapacity(capacity)
	charge(1000) // a tenth of the memory: a twenty-fifth of the price
	require.Less(t, l.Normalized(at(20*time.Second), "memory"), 0.05, "0.33 if memory had the price of slots")
}

// Failure: requests of many workspaces, or hashes that a faulty peer makes up, fill the memory.
func TestAccountsAreBounded(t *testing.T) {
	l := NewLedger(Options{MaxWorkspaces: 100})
	for i := range uint32(5000) {
		l.ChargeHash(start, i+1, slots(1))
	}
	require.LessOrEqual(t, len(l.accounts), 101)
	require.Greater(t, l.Normalized(start, "one too many"), 1.0, "those beyond the bound share an account")
	l.Ask(at(10*time.Second), "later")
	require.NotNil(t, l.accounts[Hash("later")], "idle accounts make room")
	for i := range 1000 {
		l.Merge(start, fmt.Sprint(i), make([]Use, 1000))
	}
	require.LessOrEqual(t, len(l.zones), maxZones)
	l.Ask(at(time.Hour), "last")
	require.Len(t, l.accounts, 1, "unused accounts are removed")
}

// Failure: usage of another zone counts twice with each report, or for ever once the zone isn't heard.
func TestUsageOfOtherZonesExpires(t *testing.T) {
	l := zoneLedger()
	for i := range 1000 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		l.Charge(now, "here", slots(0.5))
		l.Charge(now, "both", slots(0.5))
	}
	now := at(10 * time.Second)
	before := l.Normalized(now, "both")
	elsewhere := []Use{{Hash("both"), l.Top(now, 2)[0].Cost}}
	l.Merge(now, "b", elsewhere)
	merged := l.Normalized(now, "both")
	require.InDelta(t, 4/3.0, merged, 0.02)
	l.Merge(now, "b", elsewhere)
	require.Equal(t, merged, l.Normalized(now, "both"))
	l.Merge(now, "b", []Use{{Hash("both"), Cost{MemoryTime: math.NaN(), SlotTime: -1, PrefillTokens: -1}}})
	require.InDelta(t, before, l.Normalized(now, "both"), 1e-9, "invalid amounts count as none")
	l.Merge(now, "b", elsewhere)
	require.InDelta(t, before, l.Normalized(now.Add(2*time.Second), "both"), 0.02)
}

// Failure: a report that was overtaken replaces a newer one, or the age of a report isn't counted.
func TestOlderUsageOfAZoneIsIgnored(t *testing.T) {
	l := zoneLedger()
	l.Ask(start, "a")
	use := []Use{{Hash("a"), slots(100)}}
	l.Merge(start.Add(-time.Second), "b", use)
	require.InEpsilon(t, math.Exp2(-0.2), l.elsewhere[Hash("a")], 1e-9)
	l.Merge(start, "b", nil)
	l.Merge(start.Add(-time.Second), "b", use)
	require.Zero(t, l.elsewhere[Hash("a")])
}

func TestTopIsTheUsageOfTheBusiest(t *testing.T) {
	l := zoneLedger()
	for i := range 5 {
		l.Charge(start, fmt.Sprint(i), slots(float64(i)))
	}
	l.Ask(start, "asks")
	top := l.Top(at(5*time.Second), 2)
	require.Equal(t, []uint32{Hash("4"), Hash("3")}, []uint32{top[0].Workspace, top[1].Workspace})
	require.Equal(t, 2*time.Second, top[0].SlotTime, "a half-life later")
	require.Len(t, l.Top(start, 100), 4)
	require.Empty(t, l.Top(start, -1))
}

// Failure: a workspace is held back although there is room for all or nobody else asks.
func TestNobodyIsHeldBackWithoutNeed(t *testing.T) {
	require.Equal(t, Usual, Decide(false, 10, 0.1))
	require.Equal(t, Usual, Decide(true, 10, 1))
	require.Equal(t, Before, Decide(true, 1, 0.1))
	require.Equal(t, After, Decide(true, 1.04, 0.5))
	require.Equal(t, RefuseFirst, Decide(true, 1.06, 0.5))
	l := zoneLedger()
	for i := range 1000 {
		l.Charge(at(time.Duration(i)*10*time.Millisecond), "alone", slots(1))
	}
	require.Equal(t, Usual, l.Decide(at(10*time.Second), "alone", true))
	require.Equal(t, "refuse-first", RefuseFirst.String())
}

// Failure: requests without a workspace are taken for those of one that has a name.
func TestOnlyTheEmptyNameHasHashZero(t *testing.T) {
	require.Zero(t, Hash(""))
	for i := range 1000 {
		require.NotZero(t, Hash(fmt.Sprint(i)))
	}
}

// BenchmarkLedger measures a charge and a decision beside 1,000 workspaces.
func BenchmarkLedger(b *testing.B) {
	l := zoneLedger()
	for i := range uint32(1000) {
		l.ChargeHash(start, i+1, slots(1))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.ChargeHash(start, 5, slots(1))
		l.Decide(start, "a", true)
	}
}

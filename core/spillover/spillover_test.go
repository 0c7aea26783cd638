package spillover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/zonestate"
)

var now = time.Unix(1000, 0)

const millisecond = time.Millisecond

// zoneWith returns a zone of nine entries with a fresh summary.
func zoneWith(name string, state zonestate.ServiceState) Zone {
	state.Service = "engines"
	return Zone{Name: name, Entries: 9, AsOf: now.Add(-500 * millisecond), Summary: &zonestate.Summary{Version: zonestate.Version, Services: []zonestate.ServiceState{state}}}
}

// roomy is the state of a zone with capacity for all kinds of requests.
var roomy = zonestate.ServiceState{Slots: 312, FreeSlots: 100, FreeMemory: 2_000_000, LargestFree: 150_000, DemandPerS: 128}

func refusedHere(zones ...Zone) Query {
	return Query{Need: Need{Service: "engines", Tokens: 5000, TargetLeft: 300 * millisecond}, Own: Placement{Refused: true}, OwnEntries: 9, Zones: zones, Draw: 0.5}
}

// askOne asks the zone that is chosen and returns whether there was one.
func askOne(s *Spillover, at time.Time, id string, q Query) bool {
	d := s.Choose(at, q)
	if d.Zone != "" {
		s.Sent(at, id, d.Zone, d.Zone+"-1", q.Need)
	}
	return d.Zone != ""
}

// Guards against traffic between zones for requests that the own zone serves in time.
func TestNothingIsAskedWhileTheOwnZoneServesInTime(t *testing.T) {
	s := New(options)
	q := refusedHere(zoneWith("b", roomy))
	q.Own = Placement{Predicted: 300 * millisecond}
	require.Equal(t, Decision{Reason: InTime}, s.Choose(now, q))
	q.Own.Predicted++
	require.Equal(t, "b", s.Choose(now, q).Zone)
	q.Own = Placement{Refused: true}
	require.Equal(t, "b", s.Choose(now, q).Zone)
}

// Guards against requests to zones that can't or mustn't take them.
func TestZonesThatAreNotAsked(t *testing.T) {
	closed := zoneWith("b", roomy)
	closed.Summary.Closed = true
	stale := zoneWith("b", roomy)
	stale.AsOf = now.Add(-options.StateTTL - 1)
	later := zoneWith("b", roomy)
	later.Summary.Version = zonestate.Version + 1
	other := zoneWith("b", roomy)
	other.Summary.Services[0].Service = "others"
	full := roomy
	full.FreeSlots = 8 // the reserve for 128 requests a second
	for name, c := range map[string]struct {
		zone   Zone
		reason Reason
	}{
		"unheard":                    {Zone{Name: "b"}, Unheard},
		"stale":                      {stale, Unheard},
		"a later version":            {later, Unheard},
		"evacuated":                  {closed, Closed},
		"without the service":        {other, Closed},
		"cold, limited or paused":    {zoneWith("b", zonestate.ServiceState{}), Closed},
		"full up to its own reserve": {zoneWith("b", full), Full},
	} {
		d := New(options).Choose(now, refusedHere(c.zone))
		require.Empty(t, d.Zone, name)
		require.Equal(t, c.reason, d.Reason, name)
	}
	full.FreeSlots = 10
	require.Equal(t, "b", New(options).Choose(now, refusedHere(zoneWith("b", full))).Zone)
	require.Equal(t, Unheard, New(options).Choose(now, refusedHere(Zone{Name: "b"}, stale)).Reason)
	require.Equal(t, Decision{Reason: InTime}, New(options).Choose(now, refusedHere()), "there is no other zone")
}

// Guards against requests that are late in the other zone as well: its servers are busy with prefill, or it is far.
func TestAZoneThatWouldBeLateTooIsNotAsked(t *testing.T) {
	s := New(options)
	busy := roomy
	busy.BacklogMs = 250
	q := refusedHere(zoneWith("b", busy))
	q.Own = Placement{Predicted: time.Second}
	require.Equal(t, TooSlow, s.Choose(now, q).Reason, "two response times that were never measured, 40 ms each")
	require.True(t, askOne(s, now, "refused", refusedHere(zoneWith("b", busy))), "late is better than not served")
	s.Replied(now.Add(8*millisecond), "refused", true)
	require.Equal(t, "b", s.Choose(now, q).Zone, "two response times of 24 ms and 250 ms of prefill")
	q.Need.TargetLeft = 280 * millisecond
	require.Equal(t, TooSlow, s.Choose(now, q).Reason)
}

// Guards against an entry that takes all of a zone's room, and against one that never asks because its part is less
// than one request.
func TestAnEntryTakesItsShareOfTheRoom(t *testing.T) {
	full := zoneWith("c", zonestate.ServiceState{Slots: 312, DemandPerS: 128})
	s := New(options)
	q := refusedHere(zoneWith("b", roomy), full)
	d := s.Choose(now, q)
	require.Equal(t, Decision{Zone: "b", Reason: Ask, Age: 500 * millisecond, Room: 92, Share: 5}, d, "92 slots for 18 entries of two zones")
	for i := range 5 {
		require.True(t, askOne(s, now, fmt.Sprint(i), q), i)
	}
	d = s.Choose(now, q)
	require.Equal(t, Limited, d.Reason)
	require.Equal(t, 5, d.UnderWay)
	s.Replied(now.Add(10*millisecond), "3", true)
	require.True(t, askOne(s, now.Add(10*millisecond), "more", q), "an acceptance shows that there was room")
	withRoom := zoneWith("c", roomy)
	s = New(options)
	s.zone("c").receivedAt = now
	require.Equal(t, 10, s.Choose(now, refusedHere(zoneWith("b", roomy), withRoom)).Share, "the entries of a zone with room don't ask")
	q.OwnEntries = 10_000
	require.Equal(t, 1, New(options).Choose(now, q).Share)
}

// Guards against a zone that gets all requests while another one has as much room.
func TestZonesAreSelectedInProportionToTheirRoom(t *testing.T) {
	half := roomy
	half.FreeSlots = 8 + 46
	counts := map[string]int{}
	for i := range 300 {
		q := refusedHere(zoneWith("b", roomy), zoneWith("c", half))
		q.Draw = float64(i) / 300
		counts[New(options).Choose(now, q).Zone]++
	}
	require.InDelta(t, 200, counts["b"], 2)
	require.InDelta(t, 100, counts["c"], 2)
}

// Guards against requests that go on to a zone which refuses them: its room was gone when the summary came, or it
// states room that it doesn't have.
func TestARefusalEndsTheRequestsUntilANewerSummary(t *testing.T) {
	s := New(options)
	q := refusedHere(zoneWith("b", roomy))
	require.True(t, askOne(s, now, "1", q))
	s.Replied(now.Add(10*millisecond), "1", false)
	require.Equal(t, Refusing, s.Choose(now.Add(10*millisecond), q).Reason)
	shares := []int{}
	for i := range 8 {
		at := now.Add(time.Duration(i+1) * time.Second)
		q.Zones[0].AsOf = at
		shares = append(shares, s.Choose(at, q).Share)
		if i < 3 {
			require.True(t, askOne(s, at, fmt.Sprint("again", i), q))
			s.Replied(at.Add(10*millisecond), fmt.Sprint("again", i), false)
		}
	}
	require.Equal(t, []int{5, 3, 1, 1, 1, 3, 5, 10}, shares, "each refusal halves the share, each summary without one doubles it")
}

// Guards against a lost reply that frees its part of the room before the zone has heard of the cancellation.
func TestALostReplyCountsUntilANewerSummary(t *testing.T) {
	s := New(options)
	small := roomy
	small.FreeSlots = 9 + 8
	q := refusedHere(zoneWith("b", small))
	require.Equal(t, 1, s.Choose(now, q).Share)
	require.True(t, askOne(s, now, "1", q))
	s.Lost(now.Add(40*millisecond), "1")
	require.Equal(t, Limited, s.Choose(now.Add(100*millisecond), q).Reason)
	s.Replied(now.Add(150*millisecond), "1", true)
	require.Equal(t, Limited, s.Choose(now.Add(150*millisecond), q).Reason, "the reply comes after the placement was cancelled")
	q.Zones[0].AsOf = now.Add(20 * millisecond)
	require.Equal(t, Limited, s.Choose(now.Add(200*millisecond), q).Reason, "the summary may be from before the request arrived")
	q.Zones[0].AsOf = now.Add(100 * millisecond)
	require.Equal(t, "b", s.Choose(now.Add(700*millisecond), q).Zone)
	s.Sent(now, "2", "b", "b-1", q.Need)
	s.Withdrawn("2")
	s.Expire(now.Add(2*options.StateTTL), func(string) bool { return false })
	require.Empty(t, s.asks)
	require.Empty(t, s.silent)
	require.Empty(t, s.zones)
}

// Guards against an entry that asks one that has terminated, again and again, while others of its zone reply.
func TestAnEntryThatDoesNotReplyIsAskedLast(t *testing.T) {
	s := New(options)
	running := []string{"b-1", "b-2"}
	require.Equal(t, "b-1", s.Entry(now, running))
	s.Sent(now, "1", "b", "b-1", Need{})
	s.Lost(now, "1")
	require.Equal(t, "b-2", s.Entry(now, running))
	require.Equal(t, "b-1", s.Entry(now, running[:1]))
	require.Equal(t, "b-1", s.Entry(now.Add(options.StateTTL), running))
	require.Empty(t, s.Entry(now, nil))
}

// Guards against long prompts that are kept here or sent in vain because slots count for memory.
func TestLongPromptsNeedMemory(t *testing.T) {
	q := refusedHere(zoneWith("b", roomy))
	q.Need.Long, q.Need.Tokens, q.Need.TargetLeft = true, 120_000, 3*time.Second
	d := New(options).Choose(now, q)
	require.Equal(t, "b", d.Zone)
	require.InDelta(t, 16, d.Room, 0.001, "prompts of this size in all of the free memory")
	q.Need.Tokens = 160_000
	require.Equal(t, Full, New(options).Choose(now, q).Reason, "no server holds it")
	q.Need.Spread = true
	require.Equal(t, "b", New(options).Choose(now, q).Zone)
	q.Need.Tokens = 2_100_000
	require.Equal(t, Full, New(options).Choose(now, q).Reason)
	both := New(options)
	require.Equal(t, Full, both.Choose(now, q).Reason)
	q.Need.Tokens, q.Need.Spread = 120_000, false
	require.Equal(t, "b", both.Choose(now, q).Zone, "a larger prompt before it leaves this one's share")
	busy := roomy
	busy.BacklogMs = 4000
	q = refusedHere(zoneWith("b", busy))
	q.Own = Placement{Predicted: 5 * time.Second}
	q.Need.Long, q.Need.Tokens, q.Need.TargetLeft = true, 120_000, 3*time.Second
	require.Equal(t, TooSlow, New(options).Choose(now, q).Reason, "its servers are busy with prefill")
	s := New(options)
	q = refusedHere(zoneWith("b", roomy))
	q.Need.Long, q.Need.Tokens = true, 120_000
	require.True(t, askOne(s, now, "long", q))
	s.Replied(now, "long", false)
	require.Equal(t, Refusing, s.Choose(now, q).Reason)
	require.Equal(t, "b", s.Choose(now, refusedHere(zoneWith("b", roomy))).Zone, "a zone without memory still takes short prompts")
}

// Guards against a zone that gives its last slots to callers of other zones.
func TestAZoneKeepsItsReserve(t *testing.T) {
	s := New(options)
	state := roomy
	state.FreeSlots = 9
	require.True(t, s.Admits(state, Placement{}))
	state.FreeSlots = 8
	require.False(t, s.Admits(state, Placement{}))
	state.DemandPerS, state.FreeSlots = 0, 1
	require.False(t, s.Admits(state, Placement{}), "one slot is kept even without demand")
	state.FreeSlots = 100
	require.True(t, s.Admits(state, Placement{}))
	require.False(t, s.Admits(state, Placement{Refused: true}))
}

// Guards against a zone that sends requests back to where it takes some from.
func TestAZoneThatHasSentRequestsIsNotAsked(t *testing.T) {
	s := New(options)
	s.ObserveReceived(now, "b")
	require.Equal(t, Received, s.Choose(now.Add(999*millisecond), refusedHere(zoneWith("b", roomy))).Reason)
	require.Equal(t, "c", s.Choose(now.Add(999*millisecond), refusedHere(zoneWith("b", roomy), zoneWith("c", roomy))).Zone)
	require.Equal(t, "b", s.Choose(now.Add(time.Second), refusedHere(zoneWith("b", roomy))).Zone)
}

// Guards against a late prompt that becomes later: a zone with slots may have more prefill queued than its own.
func TestAPlacementThatIsNoSoonerIsNotPreferred(t *testing.T) {
	s := New(options)
	own := Placement{Predicted: 500 * millisecond}
	require.True(t, s.Prefers(own, "b", 500*millisecond-options.ReplyTimeout-1))
	require.False(t, s.Prefers(own, "b", 500*millisecond-options.ReplyTimeout), "the request takes its time to get there")
	require.True(t, s.Prefers(Placement{Refused: true}, "b", time.Minute))
	s.Sent(now, "1", "b", "b-1", Need{})
	s.Replied(now.Add(2*millisecond), "1", true)
	require.True(t, s.Prefers(own, "b", 490*millisecond), "the time is that of the zone's replies")
}

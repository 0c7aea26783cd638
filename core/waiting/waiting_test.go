package waiting

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func testOptions(name string) Options {
	return Options{Service: "s", Entry: name, PlanShare: DefaultPlanShare, KeepShare: DefaultKeepShare, Stagger: playBatch + 3*playLink, ReportLifetime: 1500 * time.Millisecond}
}

func queues(change func(*Options)) func(string) discipline {
	return func(name string) discipline { return newQueue(name, change) }
}

func newQueue(name string, change func(*Options)) *Queue {
	o := testOptions(name)
	if change != nil {
		change(&o)
	}
	return New(o)
}

// surge plays a load for a time and a load of 0.8 after it.
func surge(p *play, load float64, length time.Duration) {
	like := caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second, tokens: 5000}
	p.arrive(0, length, load*p.capacity(), like)
	p.arrive(length, length+6*time.Second, 0.8*p.capacity(), like)
	p.run(length + 12*time.Second)
}

var (
	start = playStart
	full  = Supply{Slots: 64, HoldTime: 500 * time.Millisecond}
)

func withFree(n int) Supply { return Supply{Slots: full.Slots, Free: n, HoldTime: full.HoldTime} }

// ticket returns a request that arrived at a time after the start.
func ticket(id string, after time.Duration) Ticket {
	arrived := start.Add(after)
	return Ticket{ID: id, Bytes: 1000, Arrived: arrived, Due: arrived.Add(300 * time.Millisecond), Deadline: arrived.Add(6 * time.Second), FirstEvent: playFirst, Worth: 1, LateWorth: 0.25}
}

func offer(t *testing.T, q *Queue, tickets ...Ticket) {
	t.Helper()
	for _, ticket := range tickets {
		require.True(t, q.Offer(ticket.Arrived, ticket, full).Wait, ticket.ID)
	}
}

// Failure: a slot goes to the request of a caller who has left.
func TestACallerWhoGivesUpLeavesAtOnce(t *testing.T) {
	q := newQueue("a", nil)
	offer(t, q, ticket("1", 0), ticket("2", 0))
	q.Leave("1")
	require.Equal(t, 1, q.Len())
	require.EqualValues(t, 1000, q.Bytes())
	require.Equal(t, []string{"2"}, q.Next(start, withFree(2)).Start)
	require.Zero(t, q.Len())
	require.Equal(t, Report{Service: "s"}, q.Report(start))

	p := newPlay(10, 2, 2, 4, queues(nil))
	p.arrive(0, 4*time.Second, 3*p.capacity(), caller{entry: -1, target: 300 * time.Millisecond, timeout: 6 * time.Second, patience: time.Second})
	p.run(12 * time.Second)
	for _, c := range p.callers {
		require.False(t, c.gone && !c.answered.IsZero(), "%s was run after it had left", c.id)
	}
}

// Failure: a started request is counted neither as waiting nor in the load table, and its slot is given twice.
func TestAStartedRequestHoldsItsSlotUntilItIsPlaced(t *testing.T) {
	q := newQueue("a", nil)
	offer(t, q, ticket("1", 0), ticket("2", 0))
	require.Equal(t, []string{"1"}, q.Next(start, withFree(1)).Start)
	require.Empty(t, q.Next(start, withFree(1)).Start)
	q.Leave("1")
	require.Equal(t, []string{"2"}, q.Next(start, withFree(1)).Start)
	// Failure: a start without Leave blocks a slot without end.
	offer(t, q, ticket("3", 100*time.Millisecond))
	require.Empty(t, q.Next(start.Add(100*time.Millisecond), withFree(1)).Start)
	require.Equal(t, []string{"3"}, q.Next(start.Add(600*time.Millisecond), withFree(2)).Start)
}

// Failure: all entries' heads take one slot that has become free. The one that has waited longest goes first, and where
// it doesn't, the others follow after a stagger each.
func TestTheReportsDecideWhoseHeadGoesFirst(t *testing.T) {
	a, b := newQueue("a", nil), newQueue("b", nil)
	offer(t, a, ticket("late", 20*time.Millisecond))
	offer(t, b, ticket("early", 0))
	now := start.Add(20 * time.Millisecond)
	a.ObservePeer(now, "b", b.Report(now))
	b.ObservePeer(now, "a", a.Report(now))
	for _, q := range []*Queue{a, b} {
		plan := q.Next(now, withFree(1))
		require.Empty(t, plan.Start, "it is left to the entry that gave it up")
		require.LessOrEqual(t, plan.Wake, q.options.Stagger)
	}
	now = now.Add(a.options.Stagger)
	require.Empty(t, a.Next(now, withFree(1)).Start)
	require.Equal(t, []string{"early"}, b.Next(now, withFree(1)).Start)
	now = now.Add(a.options.Stagger)
	require.Equal(t, []string{"late"}, a.Next(now, withFree(1)).Start, "b didn't take it")
}

// Failure: a slot that the entry which gave it up doesn't need is taken by several, or by none until a stagger is over.
func TestASlotThatIsNotUsedIsPassedOn(t *testing.T) {
	a, b := newQueue("a", nil), newQueue("b", nil)
	offer(t, b, ticket("1", 0), ticket("2", 0))
	a.ObservePeer(start, "b", b.Report(start))
	a.ObservePeer(start, "c", Report{Service: "s", Promised: 1, Head: 305, Last: 305})
	for _, to := range []string{"b", "b", "c", ""} {
		a.Released(start)
		plan := a.Next(start, withFree(1))
		if to == "" {
			require.Empty(t, plan.Pass, "nobody waits beyond those that got one")
			break
		}
		require.Equal(t, []string{to}, plan.Pass)
	}
	granted := a.Report(start)
	granted.Granted = 1
	b.ObservePeer(start, "c", Report{Service: "s", Promised: 1})
	b.ObservePeer(start, "a", granted)
	require.Equal(t, []string{"1"}, b.Next(start, withFree(2)).Start)
}

// Failure: at slots that become free as often as messages arrive, entries that go by positions compete. The entry that
// gave up a slot uses it, except that a request that waits clearly longer elsewhere gets it.
func TestAReleasedSlotIsUsedWhereItWasGivenUp(t *testing.T) {
	for _, lead := range []time.Duration{10 * time.Millisecond, 60 * time.Millisecond} {
		q := newQueue("a", nil)
		offer(t, q, ticket("own", 0))
		q.ObservePeer(start, "b", Report{Service: "s", Promised: 1, Head: 300 - lead.Milliseconds(), Last: 300 - lead.Milliseconds()})
		q.Released(start)
		started := len(q.Next(start, withFree(1)).Start) == 1
		require.Equal(t, lead < 50*time.Millisecond, started, lead)
	}
	// Failure: a release counts for ever, or for more slots than one.
	q := newQueue("a", nil)
	q.ObservePeer(start, "b", Report{Service: "s", Promised: 9, Head: 290, Last: 290})
	offer(t, q, ticket("1", 0), ticket("2", 0))
	q.Released(start)
	require.Equal(t, []string{"1"}, q.Next(start, withFree(2)).Start)
	q.Leave("1")
	q.Released(start)
	q.Next(start.Add(time.Millisecond), full)
	require.Empty(t, q.Next(start.Add(50*time.Millisecond), withFree(1)).Start)
}

// Failure: requests of an entry that is cut off, was killed or has restarted are awaited without end.
func TestTheReportOfAPeerThatIsNotHeardExpires(t *testing.T) {
	q := newQueue("a", nil)
	q.ObservePeer(start, "b", Report{Service: "s", Promised: 1000, Kept: 100, Head: -5000, Last: 5000})
	offer(t, q, ticket("1", 0))
	require.Empty(t, q.Next(start, withFree(1)).Start)
	later := start.Add(q.options.ReportLifetime + time.Millisecond)
	require.Equal(t, []string{"1"}, q.Next(later, withFree(2)).Start)

	q = newQueue("a", nil)
	q.ObservePeer(start, "b", Report{Service: "s", Promised: 1000, Head: -5000, Last: 5000})
	q.ForgetPeer("b")
	offer(t, q, ticket("1", 0))
	require.Equal(t, []string{"1"}, q.Next(start, withFree(1)).Start)
}

// Failure: a request that can't be in time takes a slot from one that can.
func TestLateRequestsGoLast(t *testing.T) {
	q := newQueue("a", nil)
	offer(t, q, ticket("late", 0), ticket("inTime", 290*time.Millisecond))
	now := start.Add(290 * time.Millisecond)
	require.Equal(t, []string{"inTime"}, q.Next(now, withFree(1)).Start)
	q.Leave("inTime")
	// Failure: a late one takes the slot that the next request in time needs. One slot becomes free within a stagger.
	require.Empty(t, q.Next(now.Add(time.Millisecond), withFree(1)).Start)
	require.Equal(t, []string{"late"}, q.Next(now.Add(time.Millisecond), withFree(2)).Start)
	// Failure: a late one takes the only slot while a peer has one in time.
	q = newQueue("a", nil)
	offer(t, q, ticket("late", 0))
	q.ObservePeer(now, "b", Report{Service: "s", Promised: 3, Head: 100, Last: 200})
	require.Empty(t, q.Next(now, withFree(3)).Start)
}

// Failure: a request is held until its caller gives up instead of being refused.
func TestARequestIsRefusedBeforeItsTimeIsOver(t *testing.T) {
	q := newQueue("a", nil)
	offer(t, q, ticket("1", 0))
	plan := q.Next(start.Add(5*time.Second), full)
	require.Empty(t, plan.Refuse)
	plan = q.Next(start.Add(5*time.Second).Add(plan.Wake), full)
	require.Len(t, plan.Refuse, 1)
	require.Equal(t, TooLate, plan.Refuse[0].Reason)
	require.Zero(t, q.Len())
	verdict := q.Offer(start.Add(5990*time.Millisecond), ticket("2", 0), full)
	require.Equal(t, Verdict{RetryAfter: full.HoldTime, Reason: TooLate}, verdict)
}

// Failure: an overload fills the entry's memory.
func TestTheQueueIsBounded(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"in number": func(o *Options) { o.MaxWaiting = 30 },
		"in bytes":  func(o *Options) { o.MaxBytes = 30_000 },
	} {
		t.Run(name, func(t *testing.T) {
			q := newQueue("a", change)
			refused := 0
			for i := range 100 {
				verdict := q.Offer(start, ticket(fmt.Sprintf("%03d", i), 0), full)
				require.LessOrEqual(t, q.Len(), 30)
				if !verdict.Wait {
					refused++
					require.Equal(t, QueueFull, verdict.Reason)
					require.Positive(t, verdict.RetryAfter)
					require.LessOrEqual(t, verdict.RetryAfter, 2*time.Second, "a caller honours a third of its time")
				}
			}
			require.Equal(t, 70, refused)
			// A full queue of late requests must not keep out one that can be in time.
			now := start.Add(400 * time.Millisecond)
			require.True(t, q.Offer(now, ticket("new", 400*time.Millisecond), full).Wait)
			plan := q.Next(now, full)
			require.Len(t, plan.Refuse, 1)
			require.Equal(t, QueueFull, plan.Refuse[0].Reason)
			require.Equal(t, 30, q.Len())
			require.Equal(t, []string{"new"}, q.Next(now, withFree(1)).Start)
		})
	}
	t.Run("in time", func(t *testing.T) {
		q := newQueue("a", nil)
		waiting := 0
		for i := range 2000 {
			if q.Offer(start, ticket(fmt.Sprintf("%04d", i), 0), full).Wait {
				waiting++
			}
		}
		// 64 slots of half a second serve 768 requests in six seconds.
		require.InDelta(t, 768, waiting, 40)
	})
}

// Failure: an entry that stops leaves its waiting callers without an answer.
func TestAnEntryThatStopsRefusesAllThatWait(t *testing.T) {
	q := newQueue("a", nil)
	offer(t, q, ticket("1", 0), ticket("2", 0))
	refused := q.Stop(start, full)
	require.Len(t, refused, 2)
	for _, r := range refused {
		require.Equal(t, Stopping, r.Reason)
		require.Positive(t, r.RetryAfter)
	}
	require.Zero(t, q.Len())
	require.Zero(t, q.Bytes())
	require.Equal(t, Report{Service: "s"}, q.Report(start))
}

// Failure: priority decides nothing, or lower priorities wait without end.
func TestPriorityOrdersRequestsOfOneTime(t *testing.T) {
	q := newQueue("a", nil)
	low, high := ticket("low", 0), ticket("high", 10*time.Millisecond)
	low.Priority = 2
	offer(t, q, low, high)
	require.Equal(t, []string{"high"}, q.Next(start.Add(10*time.Millisecond), withFree(1)).Start)
}

// Failure: without the hold time of a slot, every request is predicted late or promised nothing.
func TestWithoutAHoldTimeAllArePromised(t *testing.T) {
	q := newQueue("a", nil)
	for i := range 10 {
		require.True(t, q.Offer(start, ticket(fmt.Sprint(i), 0), Supply{Slots: 4}).Wait)
	}
	require.Equal(t, 10, q.Report(start).Promised)
	require.Len(t, q.Next(start, Supply{Slots: 4, Free: 4}).Start, 4)
}

// Failure: a report with invalid values stops an entry or changes its order, or one on another service does.
func TestInvalidReportsAreIgnored(t *testing.T) {
	for _, r := range []Report{{Service: "s", Promised: -1}, {Service: "s", Promised: 1 << 40}, {Service: "s", Kept: -1},
		{Service: "s", Promised: 1, Head: 1 << 62, Last: 1 << 62}, {Service: "s", Promised: 1, Head: 1}, {Service: "other", Promised: 9, Head: -9, Last: -9}} {
		q := newQueue("a", nil)
		q.ObservePeer(start, "b", r)
		offer(t, q, ticket("1", 0))
		require.Equal(t, []string{"1"}, q.Next(start, withFree(1)).Start, "%+v", r)
	}
}

// Failure: reports grow with the queue and don't fit beside load updates.
func TestReportsAreSmall(t *testing.T) {
	encoded, err := cbor.Marshal(Report{Service: "a-service-with-a-name", Promised: maxReported, Kept: maxReported, Head: -maxRankMillis, Last: maxRankMillis})
	require.NoError(t, err)
	require.LessOrEqual(t, len(encoded), 60)
}

// Package spillover decides which other availability zone an entry asks to place a request that its own zone can't
// serve in time, and whether a zone that is asked takes the request.
//
// An entry knows another zone by its summary (core/zonestate), which is half a second to one and a half seconds old
// once all entries of a zone have it. Bursts fill or free a zone within that time. The summary therefore only decides
// which zones are worth asking, and how many requests an entry may have under way to each of them. The asked entry
// knows its servers exactly; its reply is the admission. An entry goes on asking while its requests are taken, and
// stops at the first refusal until a newer summary states room.
//
// The package addresses demand that differs between zones while all of them together have room. Its state is that of
// one entry; the package does no I/O, times and random numbers are passed in. It is not safe for concurrent use.
package spillover

import (
	"math"
	"time"

	"arbutusdeck/core/zonestate"
)

// Options are the limits of the exchange between zones.
type Options struct {
	// StateTTL is the age beyond which a summary counts as not heard.
	StateTTL time.Duration
	// HeartbeatInterval is the interval between two summaries of a zone.
	HeartbeatInterval time.Duration
	// ReplyTimeout bounds the wait for a reply. It stands for the response time until one was measured.
	ReplyTimeout time.Duration
}

// Need is what a request needs of a zone.
type Need struct {
	Service string
	// Long is set for a prompt that is decided by memory and prefill; a short one is decided by slots.
	Long bool
	// Tokens is the memory of the prompt and its answer, in tokens. Spread is set if no single server can hold them.
	Tokens int64
	Spread bool
	// TargetLeft is the time left to the target of the first event, counted from the caller's arrival; zero or less
	// if it has passed.
	TargetLeft time.Duration
}

// Placement is what the own zone offers for a request.
type Placement struct {
	// Refused is set if there is no placement; otherwise Predicted is the predicted time to the first event.
	Refused   bool
	Predicted time.Duration
}

// inTime reports whether the request has a placement whose first event comes by its target.
func (p Placement) inTime(need Need) bool { return !p.Refused && p.Predicted <= need.TargetLeft }

// Zone is what is known of another zone.
type Zone struct {
	Name string
	// Entries is the number of its running entries.
	Entries int
	// Summary is its last one, nil if there is none; AsOf is the time of it.
	Summary *zonestate.Summary
	AsOf    time.Time
}

// Query describes a request and the zones.
type Query struct {
	Need Need
	Own  Placement
	// OwnEntries is the number of running entries of the own zone.
	OwnEntries int
	Zones      []Zone
	// Draw is a random number from 0 to 1. It selects the zone and rounds shares below one request, so that entries
	// with equal knowledge don't all do the same.
	Draw float64
}

// Reason says why a zone is or isn't asked. The values are used in log lines and metric names.
type Reason string

// Reasons of decisions, in the order in which they are checked. The reason of a decision that no zone is asked is the
// last one reached by any zone.
const (
	InTime   Reason = "inTime"   // the own zone serves the request in time
	Unheard  Reason = "unheard"  // there is no summary, or it is stale
	Closed   Reason = "closed"   // the zone is evacuated, or has no server that accepts requests
	Received Reason = "received" // the zone has lately sent requests here: it is short of capacity itself
	TooSlow  Reason = "tooSlow"  // the first event would be too late there as well
	Full     Reason = "full"     // the zone states no room beyond the reserve for its own demand
	Refusing Reason = "refusing" // the zone has refused a request since its summary
	Limited  Reason = "limited"  // as many requests of this entry as it may have are under way there
	Ask      Reason = "ask"      // the zone is asked
)

// order holds the reasons in the order in which they are checked.
var order = map[Reason]int{InTime: 0, Unheard: 1, Closed: 2, Received: 3, TooSlow: 4, Full: 5, Refusing: 6, Limited: 7, Ask: 8}

// Decision is the zone to ask, with its inputs for the log. Zone is empty if none is asked.
type Decision struct {
	Zone   string
	Reason Reason
	// Age is the age of the zone's summary, Room the stated room beyond the reserve: free slots for a short prompt,
	// prompts of this size for a long one. Share is what this entry may have under way there, UnderWay what it has.
	Age             time.Duration
	Room            float64
	Share, UnderWay int
}

// Spillover holds the decisions of one entry.
type Spillover struct {
	options Options
	zones   map[string]*zone
	asks    map[string]*ask
	// silent holds the entries that did not reply, and when.
	silent map[string]time.Time
}

// New returns an entry's state before it has asked any zone.
func New(options Options) *Spillover {
	return &Spillover{options: options, zones: map[string]*zone{}, asks: map[string]*ask{}, silent: map[string]time.Time{}}
}

// holdIntervals is the number of heartbeat intervals for which a zone that has received requests of another one sends
// it none: one until its summary is sent, and one until that is passed on to the other's entries. In trials without
// this hold, two zones at their capacity exchanged requests in both directions within 1.5 s; a hold of three intervals
// made three times as many requests late where demand moves between zones every two seconds.
const holdIntervals = 2

// Choose returns the zone to ask for a request. If a zone is returned, the caller sends the request to one of its
// entries, see Entry, and reports it with Sent.
func (s *Spillover) Choose(now time.Time, q Query) Decision {
	best := Decision{Reason: InTime}
	if q.Own.inTime(q.Need) {
		return best
	}
	total := 0.0
	for _, other := range q.Zones {
		d := s.assess(now, q, other)
		if d.Reason != Ask {
			if best.Reason != Ask && order[d.Reason] > order[best.Reason] {
				best = d
			}
			continue
		}
		// Of several zones each is selected in proportion to its room.
		total += d.Room
		if best.Reason != Ask || q.Draw*total >= total-d.Room {
			best = d
		}
	}
	if best.Reason != Ask {
		best.Zone = ""
	}
	return best
}

// assess returns whether a zone may be asked.
func (s *Spillover) assess(now time.Time, q Query, other Zone) Decision {
	d := Decision{Zone: other.Name, Reason: Unheard, Age: now.Sub(other.AsOf)}
	if !other.Summary.Known() || d.Age > s.options.StateTTL {
		return d
	}
	state, ok := other.Summary.Service(q.Need.Service)
	z := s.zone(other.Name)
	switch {
	case !ok || state.Slots == 0 || other.Summary.Closed:
		d.Reason = Closed
		return d
	case !z.receivedAt.IsZero() && now.Sub(z.receivedAt) < holdIntervals*s.options.HeartbeatInterval:
		d.Reason = Received
		return d
	case !q.Own.Refused && s.firstEvent(z, state) > q.Need.TargetLeft:
		// A request that is refused here is better late than not served.
		d.Reason = TooSlow
		return d
	}
	d.Room = s.room(state, q.Need)
	if d.Room < 1 {
		d.Reason = Full
		return d
	}
	a := z.account(q.Need)
	a.renew(other.AsOf, d.Room/float64(s.askers(now, q, other)), q.Draw)
	d.Share, d.UnderWay = a.share, s.underWay(other.Name, q.Need.Long, other.AsOf.Add(-z.responseTime(s.options.ReplyTimeout)))
	switch {
	case !a.refusedAt.Before(other.AsOf):
		d.Reason = Refusing
	case d.UnderWay >= d.Share:
		d.Reason = Limited
	default:
		d.Reason = Ask
	}
	return d
}

// firstEvent is the expected time to the first event in a zone: a round trip for the placement, one for the request,
// and the prefill that is queued there.
func (s *Spillover) firstEvent(z *zone, state zonestate.ServiceState) time.Duration {
	return 2*z.responseTime(s.options.ReplyTimeout) + time.Duration(state.BacklogMs)*time.Millisecond
}

// lately reports whether a time is within StateTTL.
func (s *Spillover) lately(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < s.options.StateTTL
}

// reserve returns the free slots that a zone keeps for its own callers: the number by which their arrivals within a
// heartbeat interval exceed the mean at one time in six (one standard deviation of independent arrivals), and at least
// one. Until the next summary the zone can't tell the others that its demand has risen.
func (s *Spillover) reserve(state zonestate.ServiceState) float64 {
	return max(math.Sqrt(state.DemandPerS*s.options.HeartbeatInterval.Seconds()), 1)
}

// room returns how many requests a zone could take beyond its reserve: slots for a short prompt, prompts of the
// needed size for a long one, which takes a slot as well.
func (s *Spillover) room(state zonestate.ServiceState, need Need) float64 {
	slots := float64(state.FreeSlots) - s.reserve(state)
	if !need.Long || need.Tokens <= 0 {
		return slots
	}
	if !need.Spread && state.LargestFree < need.Tokens {
		return 0
	}
	return min(slots, float64(state.FreeMemory/need.Tokens))
}

// askers returns the number of entries that may ask a zone: those of the own zone and of other zones without room.
// A zone that isn't heard may have none.
func (s *Spillover) askers(now time.Time, q Query, asked Zone) int {
	count := max(q.OwnEntries, 1)
	for _, other := range q.Zones {
		if other.Name == asked.Name || s.hasRoom(now, q.Need, other) {
			continue
		}
		count += other.Entries
	}
	return count
}

func (s *Spillover) hasRoom(now time.Time, need Need, other Zone) bool {
	if !other.Summary.Known() || now.Sub(other.AsOf) > s.options.StateTTL || other.Summary.Closed {
		return false
	}
	state, ok := other.Summary.Service(need.Service)
	return ok && s.room(state, need) >= 1
}

// Admits reports whether the own zone, whose exact state is given, takes a request that an entry of another zone asks
// it to place, and what the own zone offers for it. The reserve is kept free.
func (s *Spillover) Admits(own zonestate.ServiceState, offered Placement) bool {
	return !offered.Refused && float64(own.FreeSlots)-s.reserve(own) >= 1
}

// Prefers reports whether a placement that another zone offers, with its predicted time to the first event there, is
// better than that of the own zone, once the request has been sent there. A zone that has slots may still have long
// prompts queued.
func (s *Spillover) Prefers(own Placement, zone string, predicted time.Duration) bool {
	return own.Refused || s.zone(zone).responseTime(s.options.ReplyTimeout)+predicted < own.Predicted
}

// ObserveReceived records that the own zone took a request of another one, by this entry or by a local one.
func (s *Spillover) ObserveReceived(now time.Time, from string) { s.zone(from).receivedAt = now }

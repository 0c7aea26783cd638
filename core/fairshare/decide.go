package fairshare

import "time"

// Decision says how a workspace's request is treated while others wait.
type Decision int

const (
	// Usual treats the request in the usual order: there is room for all, or nobody else asks.
	Usual Decision = iota
	// Before lets the request wait and start before those of workspaces above their share.
	Before
	// After lets the request wait, and start while more slots are free than requests of workspaces with less Normalized
	// usage wait in the zone.
	After
	// RefuseFirst refuses the request before any other.
	RefuseFirst
)

// String returns the name of the decision in log lines and metrics.
func (d Decision) String() string {
	return [...]string{"usual", "before", "after", "refuse-first"}[d]
}

// refuseMargin is the excess over the share, per part of the capacity that belongs to others, from which requests are
// refused first. Below it a workspace at its share would be refused for the variation of its own requests.
const refuseMargin = 0.1

// Decide returns how a request is treated. exceeds says that demand exceeds the capacity: the requests that wait in
// the zone would use up half of the route's target until the last of them has a slot. That all slots are taken for a
// moment is not enough; of a workspace with 1.5 times its share, 2 % were refused at a load of 0.68. normalized is the
// workspace's Ledger.Normalized and share its Ledger.Share. A workspace that is due all of the capacity is never held
// back.
func Decide(exceeds bool, normalized, share float64) Decision {
	switch {
	case !exceeds || share >= 1:
		return Usual
	case normalized <= 1:
		return Before
	case normalized <= 1+refuseMargin*(1-share):
		return After
	default:
		return RefuseFirst
	}
}

// Decide returns how a request of a workspace is treated.
func (l *Ledger) Decide(now time.Time, workspace string, exceeds bool) Decision {
	return Decide(exceeds, l.Normalized(now, workspace), l.Share(now, workspace))
}

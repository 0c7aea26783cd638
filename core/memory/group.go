package memory

import (
	"time"
)

// Part is the memory of one engine in a group reservation.
type Part struct {
	Server string
	Engine string
	Tokens int64
}

// GroupAction is an output of Group that the lead daemon carries out. The types are
// RequestPart, ReleasePart, GroupReady and GroupRefused.
type GroupAction interface{ groupAction() }

type (
	// RequestPart asks the part's host daemon to reserve or renew it.
	RequestPart struct {
		Reservation string
		Part        Part
		Expires     time.Time
	}
	// ReleasePart releases one part; it is idempotent.
	ReleasePart struct {
		Reservation string
		Part        Part
	}
	// GroupReady reports that every part is reserved.
	GroupReady struct{ Reservation string }
	// GroupRefused reports that the reservation has failed and was released.
	GroupRefused struct{ Reservation string }
)

func (RequestPart) groupAction()  {}
func (ReleasePart) groupAction()  {}
func (GroupReady) groupAction()   {}
func (GroupRefused) groupAction() {}

type reservation struct {
	parts   []Part
	granted []bool
	count   int
	expires time.Time
}

// Group makes, at its lead daemon, the reservations of engines that serve one prompt
// together. A reservation asks for all parts at once and releases all of them on the
// first refusal. It never waits while it holds a part, which rules out deadlock; and
// each part is a lease that expires, so a lead that crashes leaks no memory.
type Group struct {
	ttl          time.Duration
	reservations map[string]*reservation
}

// NewGroup returns a group whose reservations expire after ttl unless renewed.
func NewGroup(ttl time.Duration) *Group {
	return &Group{ttl: ttl, reservations: map[string]*reservation{}}
}

// Reserve starts a reservation. It is idempotent for the same id.
func (g *Group) Reserve(now time.Time, id string, parts []Part) []GroupAction {
	if g.reservations[id] != nil {
		return nil
	}
	r := &reservation{parts: parts, granted: make([]bool, len(parts)), expires: now.Add(g.ttl)}
	g.reservations[id] = r
	return r.requestParts(id)
}

func (r *reservation) requestParts(id string) []GroupAction {
	var actions []GroupAction
	for _, part := range r.parts {
		actions = append(actions, RequestPart{Reservation: id, Part: part, Expires: r.expires})
	}
	return actions
}

// OnReply handles the reply to a RequestPart. A lost reply counts as a refusal: the
// part may be reserved, and is released with the others.
func (g *Group) OnReply(id string, part Part, granted bool) []GroupAction {
	r := g.reservations[id]
	if r == nil {
		if granted {
			// The reservation has ended; the late grant has to be released.
			return []GroupAction{ReleasePart{id, part}}
		}
		return nil
	}
	if !granted {
		return append(g.Release(id), GroupRefused{id})
	}
	for i := range r.parts {
		if r.parts[i] == part && !r.granted[i] {
			r.granted[i] = true
			r.count++
			if r.count == len(r.parts) {
				return []GroupAction{GroupReady{id}}
			}
		}
	}
	return nil
}

// Release ends a reservation and releases its parts.
func (g *Group) Release(id string) []GroupAction {
	r := g.reservations[id]
	if r == nil {
		return nil
	}
	delete(g.reservations, id)
	var actions []GroupAction
	for _, part := range r.parts {
		actions = append(actions, ReleasePart{id, part})
	}
	return actions
}

// Tick renews complete reservations after a third of their TTL, and ends those that
// were not complete when they expired.
func (g *Group) Tick(now time.Time) []GroupAction {
	var actions []GroupAction
	for id, r := range g.reservations {
		if r.expires.Sub(now) > g.ttl*2/3 {
			continue
		}
		if r.count < len(r.parts) {
			if !now.Before(r.expires) {
				actions = append(actions, append(g.Release(id), GroupRefused{id})...)
			}
			continue
		}
		r.expires = now.Add(g.ttl)
		actions = append(actions, r.requestParts(id)...)
	}
	return actions
}

// Reservations returns the number of open reservations.
func (g *Group) Reservations() int { return len(g.reservations) }

// Split divides tokens among members in proportion to their sizes. It reports false
// if the group is too small.
func Split(tokens int64, members []Part) ([]Part, bool) {
	var total int64
	for _, member := range members {
		total += member.Tokens
	}
	if tokens > total || total == 0 {
		return nil, false
	}
	parts := make([]Part, len(members))
	left := tokens
	for i, member := range members {
		share := min(left, (tokens*member.Tokens+total-1)/total)
		parts[i] = Part{Server: member.Server, Engine: member.Engine, Tokens: share}
		left -= share
	}
	return parts, true
}

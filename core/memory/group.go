package memory

import (
	"time"
)

// Part is one engine's share of a group reservation.
type Part struct {
	Server string
	Engine string
	Tokens int64
}

// GroupAction is something the lead host daemon has to do: Ask or GiveBack.
type GroupAction interface{ groupAction() }

type (
	// ReservePart requests one part from its host daemon.
	ReservePart struct {
		Reservation string
		Part        Part
		Expires     time.Time
	}
	// ReleasePart releases one part; it is idempotent.
	ReleasePart struct {
		Reservation string
		Part        Part
	}
	// GroupReady says that every part is held.
	GroupReady struct{ Reservation string }
	// GroupRefused says that the reservation has failed and is given back.
	GroupRefused struct{ Reservation string }
)

func (ReservePart) groupAction()  {}
func (ReleasePart) groupAction()  {}
func (GroupReady) groupAction()   {}
func (GroupRefused) groupAction() {}

type reservation struct {
	parts   []Part
	granted []bool
	count   int
	expires time.Time
}

// Group serialises, at its lead daemon, the reservations of engines that serve
// one prompt together. A reservation asks for all parts at once and gives all
// back on the first refusal. Nothing waits while holding, so there is no
// deadlock; and each part is a lease that ends by itself, so a lead that dies
// leaves nothing behind.
type Group struct {
	life    time.Duration
	current map[string]*reservation
}

// NewGroup returns a group whose reservations live for life unless renewed.
func NewGroup(life time.Duration) *Group {
	return &Group{life: life, current: map[string]*reservation{}}
}

// Reserve starts a reservation. A second one of the same name does nothing.
func (g *Group) Reserve(now time.Time, id string, parts []Part) []GroupAction {
	if g.current[id] != nil {
		return nil
	}
	r := &reservation{parts: parts, granted: make([]bool, len(parts)), expires: now.Add(g.life)}
	g.current[id] = r
	return r.ask(id)
}

func (r *reservation) ask(id string) []GroupAction {
	var actions []GroupAction
	for _, part := range r.parts {
		actions = append(actions, ReservePart{Reservation: id, Part: part, Expires: r.expires})
	}
	return actions
}

// OnReply takes in the answer to one Ask. A lost answer counts as a refusal:
// the part may be held, and is given back with the others.
func (g *Group) OnReply(id string, part Part, granted bool) []GroupAction {
	r := g.current[id]
	if r == nil {
		if granted {
			// The reservation is over; a late grant must not linger.
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

// Release gives a reservation back.
func (g *Group) Release(id string) []GroupAction {
	r := g.current[id]
	if r == nil {
		return nil
	}
	delete(g.current, id)
	var actions []GroupAction
	for _, part := range r.parts {
		actions = append(actions, ReleasePart{id, part})
	}
	return actions
}

// Tick renews the reservations that are held, at a third of their life, and
// refuses those that were not answered in time.
func (g *Group) Tick(now time.Time) []GroupAction {
	var actions []GroupAction
	for id, r := range g.current {
		if r.expires.Sub(now) > g.life*2/3 {
			continue
		}
		if r.count < len(r.parts) {
			if !now.Before(r.expires) {
				actions = append(actions, append(g.Release(id), GroupRefused{id})...)
			}
			continue
		}
		r.expires = now.Add(g.life)
		actions = append(actions, r.ask(id)...)
	}
	return actions
}

// Reservations returns the number of open reservations.
func (g *Group) Reservations() int { return len(g.current) }

// Split divides tokens over members in proportion to their sizes. It reports
// false if the group is too small.
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

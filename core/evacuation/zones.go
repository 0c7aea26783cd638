// Package evacuation knows from which availability zones the operators keep new work away. It is pure.
//
// What is known of a zone is a register that the newest revision of the platform's store wins, so that states may be
// taken in from the store, from other entries, twice and in any order, and nothing goes back to an older one.
package evacuation

import (
	"maps"
	"slices"
)

// State is whether a zone is evacuated as of a revision of the platform's store.
type State struct {
	Zone      string `json:"zone" cbor:"1,keyasint,omitempty"`
	Revision  uint64 `json:"revision" cbor:"2,keyasint,omitempty"`
	Evacuated bool   `json:"evacuated" cbor:"3,keyasint,omitempty"`
}

// Zones is what is known of all zones; one of which nothing is known is not evacuated. The zero value knows nothing. It
// is not safe for concurrent use.
type Zones struct{ states map[string]State }

// Apply takes in what is known of a zone. It returns false if nothing changes for the zone's servers.
func (z *Zones) Apply(state State) bool {
	known := z.states[state.Zone]
	if state.Revision <= known.Revision {
		return false
	}
	if z.states == nil {
		z.states = map[string]State{}
	}
	z.states[state.Zone] = state
	return state.Evacuated != known.Evacuated
}

// Replace takes in all zones that are evacuated as of a revision, and returns the states that have changed. A zone that
// is not listed has been taken back, unless something later is known of it.
func (z *Zones) Replace(listed []State, revision uint64) []State {
	var changed []State
	isListed := map[string]bool{}
	for _, state := range listed {
		isListed[state.Zone] = true
		if z.Apply(state) {
			changed = append(changed, state)
		}
	}
	for _, zone := range z.Evacuated() {
		ended := State{Zone: zone, Revision: revision}
		if !isListed[zone] && z.Apply(ended) {
			changed = append(changed, ended)
		}
	}
	return changed
}

// Restore takes in the zones that are listed once the store has come back from an older copy. One that is not listed may
// have been evacuated after the copy was made: it stays evacuated until it is written of anew.
func (z *Zones) Restore(listed []State) []State {
	var changed []State
	for _, state := range listed {
		if z.Apply(state) {
			changed = append(changed, state)
		}
	}
	return changed
}

// IsEvacuated says whether a zone is evacuated.
func (z *Zones) IsEvacuated(zone string) bool { return z.states[zone].Evacuated }

// Evacuated returns the zones that are, in a fixed order.
func (z *Zones) Evacuated() []string {
	var zones []string
	for _, state := range z.All() {
		if state.Evacuated {
			zones = append(zones, state.Zone)
		}
	}
	return zones
}

// All returns what other entries are told, in a fixed order. It is never nil.
func (z *Zones) All() []State {
	all := make([]State, 0, len(z.states))
	for _, zone := range slices.Sorted(maps.Keys(z.states)) {
		all = append(all, z.states[zone])
	}
	return all
}

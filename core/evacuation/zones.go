// Package evacuation tracks the availability zones that operators have evacuated, so that they get no new work.
// The package is pure.
//
// Each zone is a last-writer-wins register, ordered by the revision of the platform's store. States may be
// applied from the store and from other entries, repeatedly and in any order, and no older state replaces a newer
// one.
package evacuation

import (
	"maps"
	"slices"
)

// State records whether a zone is evacuated as of a revision of the platform's store.
type State struct {
	Zone      string `json:"zone" cbor:"1,keyasint,omitempty"`
	Revision  uint64 `json:"revision" cbor:"2,keyasint,omitempty"`
	Evacuated bool   `json:"evacuated" cbor:"3,keyasint,omitempty"`
}

// Zones holds the states of all zones; a zone without a state is not evacuated. The zero value is empty. It is
// not safe for concurrent use.
type Zones struct{ states map[string]State }

// Apply applies the state of a zone. It reports whether the zone's evacuation began or ended.
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

// Replace applies the complete list of evacuated zones as of a revision, and returns the changed states. The
// evacuation of a zone that is not listed has ended, unless a newer state is known.
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

// Restore applies the evacuated zones that are listed after the store came back from an older copy, and returns
// the changed states. A zone that is not listed may have been evacuated after the copy was made: it stays
// evacuated until it is written again.
func (z *Zones) Restore(listed []State) []State {
	var changed []State
	for _, state := range listed {
		if z.Apply(state) {
			changed = append(changed, state)
		}
	}
	return changed
}

// IsEvacuated reports whether a zone is evacuated.
func (z *Zones) IsEvacuated(zone string) bool { return z.states[zone].Evacuated }

// Evacuated returns the evacuated zones, sorted.
func (z *Zones) Evacuated() []string {
	var zones []string
	for _, state := range z.All() {
		if state.Evacuated {
			zones = append(zones, state.Zone)
		}
	}
	return zones
}

// All returns all states, sorted by zone, for other entries. It is never nil.
func (z *Zones) All() []State {
	all := make([]State, 0, len(z.states))
	for _, zone := range slices.Sorted(maps.Keys(z.states)) {
		all = append(all, z.states[zone])
	}
	return all
}

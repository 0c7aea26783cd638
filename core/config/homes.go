package config

import (
	"slices"
	"time"

	"arbutusdeck/core/execution"
)

// HomeSlots decides at a host daemon whether a request with a caller-made
// idempotency key can run at its server. The daemon owns a slot only if the
// configuration names the server as holder and lists every former holder as
// retired.
//
// A former holder can still be running and accepting requests behind a network
// partition. If it restarts while the platform serves stale contents, it has no
// record that it lost the slot, so an acknowledgement from it would not be
// reliable. Only the operators know that it is permanently shut down.
type HomeSlots struct {
	server   string
	snapshot *Snapshot
	slots    map[slotKey]*slotState
}

type slotKey struct{ service, slot string }

type slotState struct {
	// former are holders that this daemon has seen but the configuration omits.
	former []string
	// exclusive is set while every former holder is retired, ownedSince to the
	// start of that period.
	exclusive  bool
	ownedSince time.Time
}

// unretired returns a former holder that is not listed as retired, or "".
func (s *slotState) unretired(home HomeSlot) string {
	for _, former := range append(slices.Clone(home.Former), s.former...) {
		if !slices.Contains(home.Retired, former) {
			return former
		}
	}
	return ""
}

// NewHomeSlots returns a HomeSlots for a server that holds no slot yet.
func NewHomeSlots(server string) *HomeSlots {
	return &HomeSlots{server: server, slots: map[slotKey]*slotState{}}
}

// Apply applies a snapshot. It returns the slots, as service/slot, whose former
// holder this daemon has seen but the snapshot does not list.
func (h *HomeSlots) Apply(now time.Time, snapshot *Snapshot) []string {
	var unnamed []string
	previous := h.snapshot
	h.snapshot = snapshot
	applied := map[slotKey]*slotState{}
	for service := range snapshot.Services {
		for slot, home := range snapshot.Services[service].Homes {
			if home.Server != h.server {
				continue
			}
			key := slotKey{service, slot}
			state := h.slots[key]
			if state == nil {
				state = &slotState{}
				if before := previousHolder(previous, service, slot); before != "" && before != h.server && !slices.Contains(home.Former, before) {
					state.former = []string{before}
					unnamed = append(unnamed, service+"/"+slot)
				}
			}
			state.update(now, home)
			applied[key] = state
		}
	}
	h.slots = applied
	slices.Sort(unnamed)
	return unnamed
}

// update records the start of exclusive ownership. It does not start when the
// server is named as holder: until the last former holder is shut down, it may run
// keys created in the meantime, which must not run at this server later.
func (s *slotState) update(now time.Time, home HomeSlot) {
	exclusive := s.unretired(home) == ""
	if exclusive && !s.exclusive {
		s.ownedSince = now
	}
	s.exclusive = exclusive
}

func previousHolder(snapshot *Snapshot, service, slot string) string {
	if snapshot == nil {
		return ""
	}
	return snapshot.Services[service].Homes[slot].Server
}

// Check returns nil if a request with a caller-made key can run at this server. It
// refuses keys created before this server owned the slot, plus the bound on clock
// skew, since they may have run at a former holder.
func (h *HomeSlots) Check(service, key string, createdAt time.Time, skew time.Duration) *execution.Refusal {
	if h.snapshot == nil {
		return refuseNotHome("no configuration is in force")
	}
	slot, home, ok := h.snapshot.HomeSlotOf(service, key)
	if !ok || home.Server != h.server {
		return refuseNotHome("another server is the key's home")
	}
	state := h.slots[slotKey{service, slot}]
	if former := state.unretired(home); former != "" {
		return refuseNotHome("the former home " + former + " is not stated to be retired")
	}
	if createdAt.Before(state.ownedSince.Add(skew)) {
		return &execution.Refusal{Code: execution.CodeKeyHomeLost, Detail: "the key was made before this home held its slot"}
	}
	return nil
}

func refuseNotHome(detail string) *execution.Refusal {
	return &execution.Refusal{Code: execution.CodeKeyNotHome, Detail: detail}
}

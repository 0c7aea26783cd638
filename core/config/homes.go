package config

import (
	"slices"
	"time"

	"arbutusdeck/core/execution"
)

// HomeSlots decides at one host daemon whether a key that a caller made may run
// here. The daemon holds a slot only if the configuration names it and states
// that every former holder is retired.
//
// A former holder may live on behind a partition and still accept; and if it
// restarts under a stale platform, it does not remember having given the slot
// up, so no acknowledgement of its would hold. Only the operators know that it
// is off for good.
type HomeSlots struct {
	server   string
	snapshot *Snapshot
	slots    map[homeKey]*heldSlot
}

type homeKey struct{ service, slot string }

type heldSlot struct {
	// former are holders seen by this daemon that the operators left out.
	former []string
	// clear is set once every former holder is retired, since then.
	clear bool
	since time.Time
}

// unretired returns a former holder that is not stated to be retired, or "".
func (s *heldSlot) unretired(home HomeSlot) string {
	for _, former := range append(slices.Clone(home.Former), s.former...) {
		if !slices.Contains(home.Retired, former) {
			return former
		}
	}
	return ""
}

// NewHomeSlots returns the homes of a server that holds no slot yet.
func NewHomeSlots(server string) *HomeSlots {
	return &HomeSlots{server: server, slots: map[homeKey]*heldSlot{}}
}

// Apply takes over a snapshot and returns the slots, as service/slot, whose
// former holder this daemon has seen but the snapshot does not name.
func (h *HomeSlots) Apply(now time.Time, snapshot *Snapshot) []string {
	var unnamed []string
	previous := h.snapshot
	h.snapshot = snapshot
	held := map[homeKey]*heldSlot{}
	for service := range snapshot.Services {
		for slot, home := range snapshot.Services[service].Homes {
			if home.Server != h.server {
				continue
			}
			key := homeKey{service, slot}
			kept := h.slots[key]
			if kept == nil {
				kept = &heldSlot{}
				if before := previousHolder(previous, service, slot); before != "" && before != h.server && !slices.Contains(home.Former, before) {
					kept.former = []string{before}
					unnamed = append(unnamed, service+"/"+slot)
				}
			}
			kept.update(now, home)
			held[key] = kept
		}
	}
	h.slots = held
	slices.Sort(unnamed)
	return unnamed
}

// update notes since when the slot is clear. Being named is not enough: until the
// last former holder is off, it may run keys that are made meanwhile, and those
// must not run here later.
func (s *heldSlot) update(now time.Time, home HomeSlot) {
	clear := s.unretired(home) == ""
	if clear && !s.clear {
		s.since = now
	}
	s.clear = clear
}

func previousHolder(snapshot *Snapshot, service, slot string) string {
	if snapshot == nil {
		return ""
	}
	return snapshot.Services[service].Homes[slot].Server
}

// Check returns nil if a key made by a caller may run here. Keys made before
// this daemon held the slot may have run at a former holder.
func (h *HomeSlots) Check(service, key string, made time.Time, allowance time.Duration) *execution.Refusal {
	if h.snapshot == nil {
		return notHome("no configuration is in force")
	}
	slot, home, ok := h.snapshot.HomeSlotOf(service, key)
	if !ok || home.Server != h.server {
		return notHome("another server is the key's home")
	}
	held := h.slots[homeKey{service, slot}]
	if former := held.unretired(home); former != "" {
		return notHome("the former home " + former + " is not stated to be retired")
	}
	if made.Before(held.since.Add(allowance)) {
		return &execution.Refusal{Code: execution.CodeKeyHomeLost, Detail: "the key was made before this home held its slot"}
	}
	return nil
}

func notHome(detail string) *execution.Refusal {
	return &execution.Refusal{Code: execution.CodeKeyNotHome, Detail: detail}
}

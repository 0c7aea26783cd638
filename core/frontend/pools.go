package frontend

import (
	"maps"
	"slices"
	"strings"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/routing"
)

// servicePrefillRate, in tokens per second, makes the prefill time of a call to a
// plain service negligible in predictions.
const servicePrefillRate = 1e6

func poolSpecs(snapshot *config.Snapshot) map[string][]routing.ServerSpec {
	pools := map[string][]routing.ServerSpec{}
	for hall := range snapshot.Halls {
		pools[hall] = hallSpecs(snapshot, hall)
	}
	for name, service := range snapshot.Services {
		pool := config.ServicePool(name)
		for _, server := range service.Servers {
			pools[pool] = append(pools[pool], routing.ServerSpec{Name: server, Zone: snapshot.Servers[server].Zone, Rate: servicePrefillRate, Engines: 1})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(snapshot.Groups)) {
		group := snapshot.Groups[name]
		pool := config.GroupPool(group.Hall)
		pools[pool] = append(pools[pool], groupSpec(snapshot, group))
	}
	return pools
}

func hallSpecs(snapshot *config.Snapshot, hall string) []routing.ServerSpec {
	var specs []routing.ServerSpec
	for _, name := range snapshot.HallServers(hall) {
		spec := routing.ServerSpec{Name: name, Zone: snapshot.Servers[name].Zone}
		for _, e := range snapshot.Servers[name].Engines {
			if e.Hall != hall {
				continue
			}
			spec.Rate += e.PrefillRate
			spec.Engines++
			spec.MaxTokens = max(spec.MaxTokens, e.MemoryTokens)
		}
		specs = append(specs, spec)
	}
	return specs
}

func groupSpec(snapshot *config.Snapshot, group config.Group) routing.ServerSpec {
	spec := routing.ServerSpec{Name: group.Lead, Zone: snapshot.Servers[group.Lead].Zone, Engines: 1}
	for _, member := range group.Members {
		server, engine, _ := strings.Cut(member, "/")
		e := snapshot.Servers[server].Engines[engine]
		spec.Rate += e.PrefillRate
		spec.MaxTokens += e.MemoryTokens
	}
	return spec
}

// Placement is the pool for a prompt. If the pool consists of engine groups, Groups
// maps each lead server to its group.
type Placement struct {
	Pool   string
	Groups map[string]string
}

// Place returns the pool for a prompt of a hall: the hall itself, or its engine
// groups if prompt and answer exceed config.LongMemoryShare of the largest engine's
// memory. tokens is the total length of prompt and answer. It returns a refusal if
// neither an engine nor a group has enough memory.
func Place(snapshot *config.Snapshot, hall string, tokens int64) (Placement, *execution.Refusal) {
	largest := int64(0)
	for _, spec := range hallSpecs(snapshot, hall) {
		largest = max(largest, spec.MaxTokens)
	}
	if float64(tokens) <= config.LongMemoryShare*float64(largest) {
		return Placement{Pool: hall}, nil
	}
	placement := Placement{Pool: config.GroupPool(hall), Groups: map[string]string{}}
	for name, group := range snapshot.Groups {
		if group.Hall == hall && groupSpec(snapshot, group).MaxTokens >= tokens {
			placement.Groups[group.Lead] = name
		}
	}
	switch {
	case len(placement.Groups) > 0:
		return placement, nil
	case tokens <= largest:
		return Placement{Pool: hall}, nil
	}
	return placement, &execution.Refusal{Code: execution.CodeTooLong,
		Detail: "the prompt and its answer need more memory than every engine and engine group has"}
}

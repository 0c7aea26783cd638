package account

import (
	"cmp"
	"maps"
	"slices"
)

// zonePair is the zone of the entry that asks another zone for a placement, and the asked one.
type zonePair struct{ from, to string }

// placementOutcomes are the ends of placement requests to other zones, in the order of the table.
var placementOutcomes = []string{"placed", "refused", "unused", "lost", "withdrawn"}

// placements counts the placement requests to other zones by their outcome.
type placements map[zonePair]map[string]int

func (p placements) add(from, to, outcome string) {
	pair := zonePair{from, to}
	if p[pair] == nil {
		p[pair] = map[string]int{}
	}
	p[pair][outcome]++
}

// pairs returns the zones in the order of their names.
func (p placements) pairs() []zonePair {
	return slices.SortedFunc(maps.Keys(p), func(a, b zonePair) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}

// zoneOf returns the zone of an entry as logged at its start.
func (r *Report) zoneOf(entry string) string { return cmp.Or(r.zones[entry], "(unknown)") }

// writePlacements prints the placement requests between zones, if there are any.
func (r *Report) writePlacements(print func(format string, values ...any)) {
	if len(r.placements) == 0 {
		return
	}
	print("\t\nplacements asked by zone\tof zone\t")
	for _, outcome := range placementOutcomes {
		print("%s\t", outcome)
	}
	print("\n")
	for _, pair := range r.placements.pairs() {
		print("%s\t%s\t", pair.from, pair.to)
		for _, outcome := range placementOutcomes {
			print("%d\t", r.placements[pair][outcome])
		}
		print("\n")
	}
}

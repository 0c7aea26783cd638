package peering

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners gives each server to one entry, in even numbers. While entries can't hear each
// other each of them prefers its own servers and keeps away from those of the silent
// ones: without a word they then meet nowhere. Entries that know the same entries and
// servers compute the same. One entry or server more or less changes the owner of few
// servers, since each goes to the entry that ranks highest for it by a hash of both and
// still has room.
func Owners(entries, servers []string) map[string]string {
	owners := make(map[string]string, len(servers))
	if len(entries) == 0 {
		return owners
	}
	limit := (len(servers) + len(entries) - 1) / len(entries)
	counts := map[string]int{}
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Compare(rendezvousHash(a, ""), rendezvousHash(b, "")) })
	for _, server := range ordered {
		owner, highest := "", uint64(0)
		for _, entry := range entries {
			if r := rendezvousHash(entry, server); counts[entry] < limit && (owner == "" || r > highest) {
				owner, highest = entry, r
			}
		}
		counts[owner]++
		owners[server] = owner
	}
	return owners
}

func rendezvousHash(entry, server string) uint64 { return xxhash.Sum64String(entry + "\x00" + server) }

// Rank returns this entry's place among all that it knows by a hash of each and of a server; the first is 0.
func (g *Group) Rank(server string) int {
	rank, own := 0, rendezvousHash(g.self, server)
	for address := range g.members {
		if rendezvousHash(address, server) > own {
			rank++
		}
	}
	return rank
}

// ServersOf returns the servers that some entries own.
func ServersOf(entries []string, owners map[string]string) map[string]bool {
	owned := map[string]bool{}
	for server, owner := range owners {
		if slices.Contains(entries, owner) {
			owned[server] = true
		}
	}
	return owned
}

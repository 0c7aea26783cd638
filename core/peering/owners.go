package peering

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owners assigns each server to one entry, in even numbers, by rendezvous hashing with bounded load. Entries that
// can't hear each other prefer their own servers and avoid those of entries that are not heard, so that their
// choices don't collide although they can't communicate. Entries that know the same entries and servers compute
// the same owners. Each server goes to the entry with the highest hash that has capacity left, so that one entry
// or server more or less moves few servers.
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

// Rank returns this entry's rank among all known entries by their rendezvous hash with a server; the highest hash
// has rank 0.
func (g *Group) Rank(server string) int {
	rank, _ := g.rankAmong(server, func(*member) bool { return true })
	return rank
}

// rankAmong returns this entry's rank by the hash with a server among the members that satisfy a condition, and their
// number.
func (g *Group) rankAmong(server string, holds func(*member) bool) (rank, count int) {
	own := rendezvousHash(g.self, server)
	for address, m := range g.members {
		if !holds(m) {
			continue
		}
		count++
		if rendezvousHash(address, server) > own {
			rank++
		}
	}
	return rank, count
}

// ServersOf returns the set of servers that the given entries own.
func ServersOf(entries []string, owners map[string]string) map[string]bool {
	owned := map[string]bool{}
	for server, owner := range owners {
		if slices.Contains(entries, owner) {
			owned[server] = true
		}
	}
	return owned
}

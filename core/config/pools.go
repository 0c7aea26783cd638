package config

import "strings"

// Prefixes of pool names. A pool is a set of servers that an attempt can be routed
// to: a hall's engines (named as the hall), a plain service, or a hall's engine
// groups.
const (
	servicePrefix = "service/"
	groupPrefix   = "group/"
)

// ServicePool returns the name of a plain service's pool.
func ServicePool(service string) string { return servicePrefix + service }

// GroupPool returns the name of the pool of a hall's engine groups.
func GroupPool(hall string) string { return groupPrefix + hall }

// HallOfGroupPool returns the hall of a pool of engine groups, or false for
// another pool.
func HallOfGroupPool(pool string) (string, bool) { return strings.CutPrefix(pool, groupPrefix) }

package config

import "strings"

// Pools are the sets of servers that an attempt is routed to: a hall's engines,
// a plain service, or a hall's engine groups.
const (
	servicePrefix = "service/"
	groupPrefix   = "group/"
)

// ServicePool names the pool of a plain service.
func ServicePool(service string) string { return servicePrefix + service }

// GroupPool names the pool of a hall's engine groups.
func GroupPool(hall string) string { return groupPrefix + hall }

// HallOfGroupPool returns the hall if the pool is that of its engine groups.
func HallOfGroupPool(pool string) (string, bool) { return strings.CutPrefix(pool, groupPrefix) }

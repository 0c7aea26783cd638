package backend

import (
	"maps"
	"time"

	"arbutusdeck/core/memory"
	"arbutusdeck/core/orders"
	"arbutusdeck/core/scheduling"
)

// LedgerStatus counts the ledger's open attempts, its records of keys, and its
// attempts including tombstones.
type LedgerStatus struct {
	Open     int `json:"open"`
	Keys     int `json:"keys"`
	Attempts int `json:"attempts"`
}

// QueueStatus is the state of queues and engines.
type QueueStatus struct {
	Waiting int             `json:"waiting"`
	Running int             `json:"running"`
	Load    scheduling.Load `json:"load"`
	Open    map[string]int  `json:"openByWorkspace"`
}

// MemoryStatus is the state of the engines' memory reservations.
type MemoryStatus struct {
	Leases  []memory.Lease `json:"leases"`
	Orphans int            `json:"orphans"`
}

// Ledger returns the counts of the execution ledger.
func (c *Core) Ledger() LedgerStatus {
	return LedgerStatus{Open: c.ledger.Open(), Keys: c.ledger.Keys(), Attempts: c.ledger.Attempts()}
}

// Queues returns the state of the queues.
func (c *Core) Queues(now time.Time) QueueStatus {
	return QueueStatus{Waiting: c.scheduler.Waiting(), Running: c.scheduler.Running(), Load: c.scheduler.Load(now, ""), Open: maps.Clone(c.limits.Open())}
}

// Memory returns the current leases and the number of orphaned streams.
func (c *Core) Memory() MemoryStatus {
	return MemoryStatus{Leases: c.leases.List(), Orphans: c.recovery.Orphans()}
}

// Engines returns the state of orders by engine.
func (c *Core) Engines() []orders.Status { return c.orders.Statuses() }

package backend

import (
	"maps"
	"time"

	"arbutusdeck/core/memory"
	"arbutusdeck/core/orders"
	"arbutusdeck/core/scheduling"
)

// LedgerStatus counts what the ledger holds.
type LedgerStatus struct {
	Open     int `json:"open"`
	Keys     int `json:"keys"`
	Attempts int `json:"attempts"`
}

// QueueStatus describes queues and engines.
type QueueStatus struct {
	Waiting int             `json:"waiting"`
	Running int             `json:"running"`
	Load    scheduling.Load `json:"load"`
	Open    map[string]int  `json:"openByWorkspace"`
}

// MemoryStatus describes the engines' memory.
type MemoryStatus struct {
	Leases  []memory.Lease `json:"leases"`
	Orphans int            `json:"orphans"`
}

// Ledger returns the ledger's counts.
func (c *Core) Ledger() LedgerStatus {
	return LedgerStatus{Open: c.ledger.Open(), Keys: c.ledger.Keys(), Attempts: c.ledger.Attempts()}
}

// Queues returns the queues' state.
func (c *Core) Queues(now time.Time) QueueStatus {
	return QueueStatus{Waiting: c.scheduler.Waiting(), Running: c.scheduler.Running(), Load: c.scheduler.Load(now, ""), Open: maps.Clone(c.limits.Open())}
}

// Memory returns the leases.
func (c *Core) Memory() MemoryStatus {
	return MemoryStatus{Leases: c.leases.List(), Orphans: c.recovery.Orphans()}
}

// Engines returns the state of orders.
func (c *Core) Engines() []orders.Status { return c.orders.Statuses() }

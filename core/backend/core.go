// Package backend combines the host daemon's components (execution, admission,
// scheduling, memory, orders) into one state machine. Core does no I/O and reads
// no clock, so that the daemon, tests and simulations can drive it.
package backend

import (
	"time"

	"arbutusdeck/core/admission"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/orders"
	"arbutusdeck/core/scheduling"
)

// Options configures a Core.
type Options struct {
	// Server is the name of the backend server in the configuration.
	Server      string
	Incarnation execution.Incarnation
	Ledger      execution.LedgerOptions
	Limits      admission.LimitOptions
	Schedule    scheduling.Options
	Orders      orders.Options
	// RecoveryGrace is the time for which streams of a previous daemon may
	// continue.
	RecoveryGrace time.Duration
}

// DefaultOptions returns the options for the daemon of a backend server.
func DefaultOptions(server string, incarnation execution.Incarnation) Options {
	return Options{
		Server:        server,
		Incarnation:   incarnation,
		Ledger:        execution.DefaultLedgerOptions(),
		Limits:        admission.DefaultLimitOptions(),
		Schedule:      scheduling.DefaultOptions(),
		Orders:        orders.DefaultOptions(),
		RecoveryGrace: 2 * time.Second,
	}
}

// Core makes the decisions of one host daemon: admission, scheduling, memory and
// orders of its backend server. It is not safe for concurrent use.
type Core struct {
	options   Options
	snapshot  *config.Snapshot
	serving   bool
	ledger    *execution.Ledger
	limits    *admission.Limits
	scheduler *scheduling.Scheduler
	leases    *memory.Leases
	recovery  *memory.Recovery
	orders    *orders.Reconciler
	homes     *config.HomeSlots
	groups    map[string]*groupQueue
	attempts  map[execution.AttemptID]*attempt
}

// attempt is an accepted attempt that has not ended.
type attempt struct {
	offer Offer
	job   scheduling.Job
}

// New returns a Core without a configuration for a daemon that starts at now.
func New(now time.Time, options Options) *Core {
	options.Ledger.Server, options.Ledger.Incarnation, options.Ledger.StartedAt = options.Server, options.Incarnation, now
	options.Orders.Server = options.Server
	c := &Core{
		options:   options,
		limits:    admission.NewLimits(options.Limits),
		scheduler: scheduling.New(options.Schedule),
		leases:    memory.NewLeases(),
		orders:    orders.New(now, options.Orders),
		homes:     config.NewHomeSlots(options.Server),
		groups:    map[string]*groupQueue{},
		attempts:  map[execution.AttemptID]*attempt{},
	}
	c.ledger = execution.NewLedger(options.Ledger, c.homes)
	c.recovery = memory.NewRecovery(options.RecoveryGrace, c.leases)
	return c
}

// Configure applies a snapshot. It returns the home slots whose former holder is
// known here but missing from the snapshot.
func (c *Core) Configure(now time.Time, snapshot *config.Snapshot) []string {
	c.snapshot = snapshot
	own := snapshot.Servers[c.options.Server]
	c.scheduler.Configure(engineSpecs(c.options.Server, snapshot))
	capacity := map[string]int64{}
	for name, e := range own.Engines {
		capacity[name] = e.MemoryTokens
	}
	c.leases.Configure(capacity)
	c.orders.Configure(now, snapshot.Revision, orderSpecs(own, snapshot), fleetEngines(snapshot))
	for name, group := range snapshot.Groups {
		if group.Lead == c.options.Server && c.groups[name] == nil {
			c.groups[name] = &groupQueue{reservations: memory.NewGroup(GroupLeaseDuration)}
		}
	}
	return c.homes.Apply(now, snapshot)
}

// StartServing makes Core accept offers.
func (c *Core) StartServing() { c.serving = true }

// Drain makes Core refuse all new work.
func (c *Core) Drain() { c.ledger.Drain() }

// Draining reports whether Drain was called.
func (c *Core) Draining() bool { return c.ledger.Draining() }

// StartedAt returns the time at which this daemon started.
func (c *Core) StartedAt() time.Time { return c.ledger.StartedAt() }

// Incarnation returns the ID of this run of the daemon.
func (c *Core) Incarnation() execution.Incarnation { return c.options.Incarnation }

const (
	// serviceMemoryTokens is high enough that memory never limits plain services.
	serviceMemoryTokens = 1 << 50
	// servicePrefillRate, in tokens per second, makes the prefill time of a call
	// to a plain service negligible.
	servicePrefillRate = 1e6
)

func engineSpecs(server string, snapshot *config.Snapshot) []scheduling.EngineSpec {
	var specs []scheduling.EngineSpec
	for name, e := range snapshot.Servers[server].Engines {
		specs = append(specs, scheduling.EngineSpec{Name: name, Hall: e.Hall, Slots: e.Slots, MemoryTokens: e.MemoryTokens,
			PrefillRate: e.PrefillRate, LongShare: snapshot.Halls[e.Hall].LongShare})
	}
	for name, service := range snapshot.Services {
		for _, at := range service.Servers {
			if at == server {
				specs = append(specs, scheduling.EngineSpec{Name: config.ServicePool(name), Hall: config.ServicePool(name), Slots: service.Concurrency,
					MemoryTokens: serviceMemoryTokens, PrefillRate: servicePrefillRate, LongShare: 1})
			}
		}
	}
	return specs
}

func orderSpecs(own config.Server, snapshot *config.Snapshot) map[string]orders.Spec {
	specs := map[string]orders.Spec{}
	for name, e := range own.Engines {
		hall := snapshot.Halls[e.Hall]
		specs[name] = orders.Spec{ChecksFencing: e.ChecksFencing,
			Desired: orders.EngineState{Model: hall.Model, Version: hall.Version, Adapters: hall.Adapters, Role: e.Role}}
	}
	return specs
}

func fleetEngines(snapshot *config.Snapshot) []string {
	var all []string
	for server, spec := range snapshot.Servers {
		for name := range spec.Engines {
			all = append(all, server+"/"+name)
		}
	}
	return all
}

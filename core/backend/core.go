// Package backend joins the host daemon's slices (execution, admission,
// scheduling, memory, orders) into its one decision core. Core is pure: the
// daemon, the tests and the experiments drive it alike.
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

// Options are the parts of a Core.
type Options struct {
	// Server is the name of the backend server in the configuration.
	Server      string
	Incarnation execution.Incarnation
	Ledger      execution.LedgerOptions
	Limits      admission.LimitOptions
	Schedule    scheduling.Options
	Orders      orders.Options
	// RecoveryGrace is how long streams of a former daemon may stay.
	RecoveryGrace time.Duration
}

// DefaultOptions returns the options of a server's daemon.
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

// Core decides over everything on one backend server.
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
	work      map[execution.AttemptID]*work
}

// work is one accepted attempt.
type work struct {
	offer Offer
	job   scheduling.Job
}

// New returns the core of a daemon that starts now, without a configuration.
func New(now time.Time, options Options) *Core {
	options.Ledger.Server, options.Ledger.Incarnation, options.Ledger.Began = options.Server, options.Incarnation, now
	options.Orders.Server = options.Server
	c := &Core{
		options:   options,
		limits:    admission.NewLimits(options.Limits),
		scheduler: scheduling.New(options.Schedule),
		leases:    memory.NewLeases(),
		orders:    orders.New(now, options.Orders),
		homes:     config.NewHomeSlots(options.Server),
		groups:    map[string]*groupQueue{},
		work:      map[execution.AttemptID]*work{},
	}
	c.ledger = execution.NewLedger(options.Ledger, c.homes)
	c.recovery = memory.NewRecovery(options.RecoveryGrace, c.leases)
	return c
}

// Configure brings a snapshot into force. It returns the home slots whose former
// holder is known here but not named by the snapshot.
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

// StartServing lets offers be accepted.
func (c *Core) StartServing() { c.serving = true }

// Drain refuses all new work from now on.
func (c *Core) Drain() { c.ledger.Drain() }

// Draining says whether Drain was called.
func (c *Core) Draining() bool { return c.ledger.Draining() }

// StartedAt returns when this daemon started.
func (c *Core) StartedAt() time.Time { return c.ledger.Began() }

// Incarnation returns this start's name.
func (c *Core) Incarnation() execution.Incarnation { return c.options.Incarnation }

const (
	// serviceMemory makes memory no bound for plain services.
	serviceMemory = 1 << 50
	// serviceRate makes the own work of a plain call negligible.
	serviceRate = 1e6
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
					MemoryTokens: serviceMemory, PrefillRate: serviceRate, LongShare: 1})
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
			Wanted: orders.Wanted{Model: hall.Model, Version: hall.Version, Adapters: hall.Adapters, Role: e.Role}}
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

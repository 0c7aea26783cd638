// Package fleet simulates the gossip between up to thousands of entries in virtual time: the entries' peering cores, the
// messages that they send, and the platform's store. It counts the traffic of each kind of message, within a zone and
// between zones, and how it grows with the number of entries. Requests are not simulated here but in proof/forwarding.
//
// Links within and between zones have a delay and lose messages. The store responds in pages, each after a delay, and
// can refuse the calls of some entries. Processor time is computed from measured costs per message and takes no virtual
// time.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/virtualtime"
)

// Options configure a simulation: the fleet and the events that it undergoes.
type Options struct {
	// Entries is the number of entries, spread evenly over the zones; Servers is the number of backend servers that the
	// store lists.
	Entries, Zones, Servers int
	// Duration is the simulated time. All entries start at random times within StartWindow.
	Duration, StartWindow time.Duration
	// FastLinkShare is the fraction of entries on hosts with fast links.
	FastLinkShare float64
	// LossRate is the fraction of messages that are lost.
	LossRate float64
	// Seeds is the number of seed entries that the settings name. The first DeadSeeds of these never start.
	Seeds, DeadSeeds int
	// EmptyFor is the time from the start during which the store is empty. No entry serves before it has elapsed.
	EmptyFor time.Duration
	// MaxPropagationDelay bounds the time until a change of the store is in force at all entries.
	MaxPropagationDelay time.Duration
	// LocalRouting makes entries use only the servers of their zones.
	LocalRouting bool
	Seed         uint64
	Events       []Event
}

// Event is a fault or a change that affects a part of the fleet, from At after the start and for Duration.
type Event struct {
	At       time.Duration
	Duration time.Duration
	// Share is the fraction of the entries that the event affects; Zone is the index of their zone, negative for all zones.
	Kind  EventKind
	Share float64
	Zone  int
}

// EventKind selects the effect of an event.
type EventKind string

// Kinds of events.
const (
	// KillEntries kills entries at once. The platform restarts them restartDelay after the event's Duration.
	KillEntries EventKind = "kill"
	// Partition drops all messages between a zone and the others.
	Partition EventKind = "cut"
	// RefuseStoreCalls makes the store refuse the calls of entries.
	RefuseStoreCalls EventKind = "refuse"
	// ChangeStore writes one row to the store.
	ChangeStore EventKind = "change"
)

// DefaultOptions returns the options of the users' largest deployment (424 entries, 604 servers), scaled to a number of
// entries.
func DefaultOptions(entries int) Options {
	return Options{Entries: entries, Zones: 5, Servers: entries * 604 / 424, Duration: time.Minute, StartWindow: 300 * time.Millisecond, FastLinkShare: 0.14,
		Seeds: 3, MaxPropagationDelay: 5 * time.Second, LocalRouting: true, Seed: 1}
}

// fleet is the state of a running simulation.
type fleet struct {
	options     Options
	clock       *virtualtime.Clock
	start       time.Time
	random      *rand.Rand
	entries     []*entry
	byName      map[string]*entry
	store       *store
	partitioned map[string]bool
	result      *Result
}

// Simulate runs a simulation and returns its measurements.
func Simulate(options Options) *Result {
	f := &fleet{options: options, start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(options.Seed, 1)), byName: map[string]*entry{},
		partitioned: map[string]bool{}, result: newResult(options)}
	f.clock = virtualtime.NewClock(f.start)
	f.store = &store{fleet: f, revision: 5000, refused: map[*entry]bool{}}
	f.addEntries()
	for _, event := range options.Events {
		f.clock.After(event.At, func() { f.apply(event) })
	}
	f.clock.Run(options.Duration)
	f.result.finish(f)
	return f.result
}

func (f *fleet) addEntries() {
	var seeds []string
	for i := range f.options.Entries {
		zone, position := i%f.options.Zones, i/f.options.Zones
		e := &entry{fleet: f, index: i, zone: fmt.Sprintf("zone-%d", zone), name: fmt.Sprintf("10.%d.%d.%d:8229", 1+zone, position/200, 9+position%200), linkMbps: slowLink}
		if float64(position) < f.options.FastLinkShare*float64(f.options.Entries)/float64(f.options.Zones) {
			e.linkMbps = fastLink
		}
		f.entries = append(f.entries, e)
		f.byName[e.name] = e
		if i < f.options.Seeds {
			seeds = append(seeds, e.name)
		}
	}
	for i, e := range f.entries {
		e.seeds = seeds
		if i >= f.options.DeadSeeds {
			f.clock.After(time.Duration(f.random.Float64()*float64(f.options.StartWindow)), e.start)
		}
	}
}

func (f *fleet) apply(event Event) {
	switch event.Kind {
	case Partition:
		f.partitioned[fmt.Sprintf("zone-%d", event.Zone)] = true
		f.clock.After(event.Duration, func() { f.partitioned = map[string]bool{} })
	case ChangeStore:
		f.store.change()
	case KillEntries, RefuseStoreCalls:
		for _, e := range f.entries {
			if event.Zone >= 0 && e.zone != fmt.Sprintf("zone-%d", event.Zone) || f.random.Float64() >= event.Share {
				continue
			}
			if event.Kind == KillEntries {
				e.kill(event.Duration)
				continue
			}
			f.store.refused[e] = true
			f.clock.After(event.Duration, func() { delete(f.store.refused, e) })
		}
	}
}

// One-way delays of a message within a zone and between zones.
const (
	localDelay  = 300 * time.Microsecond
	remoteDelay = 1700 * time.Microsecond
)

// send delivers a message to the target entries, except where it is lost or a partition drops it. Dropped messages count as
// sent.
func (f *fleet) send(from *entry, targets []string, m peering.Message, kind MessageKind, bytes int) {
	var local, remote []*entry
	for _, target := range targets {
		to := f.byName[target]
		if to == nil {
			continue
		}
		isRemote := to.zone != from.zone
		f.result.sent(from, kind, isRemote, bytes)
		switch {
		case f.options.LossRate > 0 && f.random.Float64() < f.options.LossRate, f.isPartitioned(from, to):
		case isRemote:
			remote = append(remote, to)
		default:
			local = append(local, to)
		}
	}
	f.deliver(localDelay, local, m)
	f.deliver(remoteDelay, remote, m)
}

func (f *fleet) deliver(delay time.Duration, targets []*entry, m peering.Message) {
	if len(targets) == 0 {
		return
	}
	f.clock.After(delay, func() {
		for _, to := range targets {
			to.receive(m)
		}
	})
}

func (f *fleet) isPartitioned(a, b *entry) bool {
	return a.zone != b.zone && (f.partitioned[a.zone] || f.partitioned[b.zone])
}

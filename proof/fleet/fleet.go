// Package fleet plays the exchange between up to thousands of entries in virtual time: the pure cores that they decide
// with, the messages that those send, and the platform's store. It counts what each kind of message costs, within a zone
// and between zones, and how that grows with the fleet. Requests are not played: proof/forwarding does.
//
// Links within a zone and between zones have a delay and lose messages; the store answers after a time, in pages, and
// turns some entries away. Processor time is counted by measured slopes, not waited for.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/virtualtime"
)

// Options describe a fleet and what happens to it.
type Options struct {
	// Entries are spread evenly over the zones. Servers is how many backend servers the store lists.
	Entries, Zones, Servers int
	// Duration is how long is played, StartWindow the time within which all entries start.
	Duration, StartWindow time.Duration
	// FastLinkShare is the share of entries on hosts with fast links.
	FastLinkShare float64
	// LossRate is the share of messages that are lost.
	LossRate float64
	// Seeds is how many entries the settings name; DeadSeeds of these never start.
	Seeds, DeadSeeds int
	// EmptyFor is for how long the store holds nothing at the start: no entry serves until it does.
	EmptyFor time.Duration
	// MaxPropagationDelay is the time in which a change of the store has to be in force everywhere.
	MaxPropagationDelay time.Duration
	// LocalRouting says that entries keep to the servers of their zones.
	LocalRouting bool
	Seed         uint64
	Events       []Event
}

// Event is something that happens to a part of the fleet.
type Event struct {
	At       time.Duration
	Duration time.Duration
	// Kind is what happens, Share to how many of the entries it concerns, Zone to which: negative for all.
	Kind  EventKind
	Share float64
	Zone  int
}

// EventKind is what happens.
type EventKind string

// Kinds of events.
const (
	// KillEntries ends entries at once; they start again half a second after For.
	KillEntries EventKind = "kill"
	// Partition separates a zone from all others.
	Partition EventKind = "cut"
	// RefuseStoreCalls makes the store turn entries away.
	RefuseStoreCalls EventKind = "refuse"
	// ChangeStore writes to the store.
	ChangeStore EventKind = "change"
)

// DefaultOptions are options of the users' largest deployment, scaled to a number of entries.
func DefaultOptions(entries int) Options {
	return Options{Entries: entries, Zones: 5, Servers: entries * 604 / 424, Duration: time.Minute, StartWindow: 300 * time.Millisecond, FastLinkShare: 0.14,
		Seeds: 3, MaxPropagationDelay: 5 * time.Second, LocalRouting: true, Seed: 1}
}

// fleet is a play under way.
type fleet struct {
	options Options
	clock   *virtualtime.Clock
	start   time.Time
	random  *rand.Rand
	entries []*entry
	byName  map[string]*entry
	store   *store
	cut     map[string]bool
	result  *Result
}

// Simulate plays a fleet.
func Simulate(options Options) *Result {
	f := &fleet{options: options, start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(options.Seed, 1)), byName: map[string]*entry{},
		cut: map[string]bool{}, result: newResult(options)}
	f.clock = virtualtime.NewClock(f.start)
	f.store = &store{fleet: f, revision: 5000, refused: map[*entry]bool{}}
	f.addEntries()
	for _, event := range options.Events {
		f.clock.After(event.At, func() { f.happen(event) })
	}
	f.clock.Run(options.Duration)
	f.result.finish(f)
	return f.result
}

func (f *fleet) addEntries() {
	var seeds []string
	for i := range f.options.Entries {
		zone, place := i%f.options.Zones, i/f.options.Zones
		e := &entry{fleet: f, index: i, zone: fmt.Sprintf("zone-%d", zone), name: fmt.Sprintf("10.%d.%d.%d:8229", 1+zone, place/200, 9+place%200), linkMbps: slowLink}
		if float64(place) < f.options.FastLinkShare*float64(f.options.Entries)/float64(f.options.Zones) {
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
			f.clock.After(time.Duration(f.random.Float64()*float64(f.options.StartWindow)), e.begin)
		}
	}
}

func (f *fleet) happen(event Event) {
	switch event.Kind {
	case Partition:
		f.cut[fmt.Sprintf("zone-%d", event.Zone)] = true
		f.clock.After(event.Duration, func() { f.cut = map[string]bool{} })
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

// Delays of a message, one way.
const (
	nearDelay = 300 * time.Microsecond
	farDelay  = 1700 * time.Microsecond
)

// send delivers a message to some entries.
func (f *fleet) send(from *entry, targets []string, m peering.Message, kind MessageKind, bytes int) {
	var near, far []*entry
	for _, target := range targets {
		to := f.byName[target]
		if to == nil {
			continue
		}
		isFar := to.zone != from.zone
		f.result.sent(from, kind, isFar, bytes)
		switch {
		case f.options.LossRate > 0 && f.random.Float64() < f.options.LossRate, f.isCut(from, to):
		case isFar:
			far = append(far, to)
		default:
			near = append(near, to)
		}
	}
	f.deliver(nearDelay, near, m)
	f.deliver(farDelay, far, m)
}

func (f *fleet) deliver(delay time.Duration, targets []*entry, m peering.Message) {
	if len(targets) == 0 {
		return
	}
	f.clock.After(delay, func() {
		for _, to := range targets {
			to.take(m)
		}
	})
}

func (f *fleet) isCut(a, b *entry) bool { return a.zone != b.zone && (f.cut[a.zone] || f.cut[b.zone]) }

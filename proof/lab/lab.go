// Package lab simulates a deployment in virtual time: the real cores of entries
// and host daemons run against the simulated engine model. The package makes no
// decisions of its own: it has a clock, an event queue, a network that can fail,
// and adapters as thin as those of the daemons.
package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/config"
	"arbutusdeck/core/frontend"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/scheduling"
	"arbutusdeck/core/virtualtime"
	"arbutusdeck/standin/engine"
)

// Options configure a simulation.
type Options struct {
	Seed     uint64
	Snapshot *config.Snapshot
	Engine   engine.Spec
	// Routing and Scheduling select policies; empty means the default policies.
	Routing    routing.Policy
	Scheduling scheduling.Policy
	// Delay is the one-way network delay between two daemons.
	Delay time.Duration
	// TokenFrames sends every token as its own frame; otherwise only the first and
	// the last token are sent.
	TokenFrames bool
	// Patience is the factor of its target that a first token's predicted time may
	// reach before the offer is refused; 0 means the default.
	Patience float64
	// TuneHost and TuneEntry adjust the cores' options, if set.
	TuneHost  func(*backend.Options)
	TuneEntry func(*frontend.Options)
	// NoRetries sets the entries' retry budget to 0.
	NoRetries bool
}

// Lab is one simulation of a deployment.
type Lab struct {
	Options
	*virtualtime.Clock
	Entries []*Entry
	Hosts   []*Host
	// Intercept returns the fault to inject into a message; nil injects none.
	Intercept func(m Message) MessageFault

	// IgnoreLoadReports makes entries ignore load reports.
	IgnoreLoadReports bool

	random        *rand.Rand
	partitioned   map[link]bool
	MessageCounts map[string]int
}

type link struct{ from, to string }

// Message is one message in transit between two daemons.
type Message struct {
	Kind     string
	From, To string
}

// MessageFault is a fault injected into one message. Delay adds to Options.Delay.
type MessageFault struct {
	Drop      bool
	Duplicate bool
	Delay     time.Duration
}

// Epoch is the virtual time at which every simulation starts.
var Epoch = time.Unix(1_700_000_000, 0)

// New starts all daemons of a snapshot. Entries learn the state of all servers
// within a second of virtual time.
func New(options Options) *Lab {
	l := &Lab{Options: options, Clock: virtualtime.NewClock(Epoch), random: rand.New(rand.NewPCG(options.Seed, 7)), partitioned: map[link]bool{}, MessageCounts: map[string]int{}}
	for _, name := range sortedKeys(options.Snapshot.Servers) {
		l.Hosts = append(l.Hosts, newHost(l, name))
	}
	for _, name := range sortedKeys(options.Snapshot.Entries) {
		l.Entries = append(l.Entries, newEntry(l, name))
	}
	return l
}

// Partition drops all messages from one daemon to another until HealPartitions.
// The other direction stays open.
func (l *Lab) Partition(from, to string) { l.partitioned[link{from, to}] = true }

// HealPartitions removes all partitions.
func (l *Lab) HealPartitions() { clear(l.partitioned) }

// Host returns the host daemon of a backend server. It panics for an unknown name.
func (l *Lab) Host(name string) *Host {
	for _, h := range l.Hosts {
		if h.Name == name {
			return h
		}
	}
	panic(fmt.Sprintf("no host %q", name))
}

// process is the process of a daemon, which can be killed or suspended.
type process struct {
	alive     bool
	suspended bool
	deferred  []func() // events that arrived during a suspension
}

// runOrDefer runs an event in the process, or defers it until a suspended process
// resumes. It returns false if the process is dead.
func (p *process) runOrDefer(run func()) bool {
	switch {
	case !p.alive:
		return false
	case p.suspended:
		p.deferred = append(p.deferred, run)
	default:
		run()
	}
	return true
}

// runDeferred ends a suspension and runs the events deferred in it.
func (p *process) runDeferred() {
	p.suspended = false
	deferred := p.deferred
	p.deferred = nil
	for _, run := range deferred {
		p.runOrDefer(run)
	}
}

func (l *Lab) processOf(name string) *process {
	for _, h := range l.Hosts {
		if h.Name == name {
			return &h.process
		}
	}
	for _, e := range l.Entries {
		if e.Name == name {
			return &e.process
		}
	}
	return nil
}

// send delivers a message after the network delay, unless a fault drops it. It
// calls refused, which may be nil, if the receiving process is dead.
func (l *Lab) send(m Message, deliver, refused func()) {
	l.MessageCounts[m.Kind]++
	fault := MessageFault{}
	if l.Intercept != nil {
		fault = l.Intercept(m)
	}
	copies := 1
	if fault.Duplicate {
		copies = 2
	}
	if fault.Drop {
		return
	}
	for range copies {
		l.After(l.Delay+fault.Delay, func() {
			if l.partitioned[link{m.From, m.To}] {
				return
			}
			if !l.processOf(m.To).runOrDefer(deliver) && refused != nil {
				l.After(l.Delay, refused)
			}
		})
	}
}

// call makes a unary call. done is called once, unless the caller's process dies:
// with the reply, or with ok false after the timeout or if no process receives it.
func (l *Lab) call(kind, from, to string, timeout time.Duration, serve func() any, done func(reply any, ok bool)) {
	finished := false
	finish := func(reply any, ok bool) {
		if finished {
			return
		}
		finished = true
		done(reply, ok)
	}
	replyToCaller := func(reply any, ok bool) {
		l.processOf(from).runOrDefer(func() { finish(reply, ok) })
	}
	l.send(Message{kind, from, to}, func() {
		reply := serve()
		l.send(Message{kind + " reply", to, from}, func() { finish(reply, true) }, nil)
	}, func() { replyToCaller(nil, false) })
	l.After(timeout, func() { replyToCaller(nil, false) })
}

// Alive reports whether the daemon's process exists, suspended or not.
func (p *process) Alive() bool { return p.alive }

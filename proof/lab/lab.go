// Package lab drives the real cores of entries and host daemons against the
// stand-in engine model in virtual time. It holds no decisions: only a clock, a
// queue of events, a network that can fail, and adapters as thin as the daemons'.
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

// Options describe a lab.
type Options struct {
	Seed     uint64
	Snapshot *config.Snapshot
	Engine   engine.Spec
	// Routing and Scheduling select policies; empty takes the project's own.
	Routing    routing.Policy
	Scheduling scheduling.Policy
	// Delay is the one-way delay between two daemons.
	Delay time.Duration
	// TokenFrames sends every token as a frame of its own; otherwise only the
	// first and the last are sent.
	TokenFrames bool
	// Patience is how far beyond its target a first token may be predicted
	// before the offer is refused, as a factor; 0 takes the default.
	Patience float64
	// TuneHost and TuneEntry may change the cores' options.
	TuneHost  func(*backend.Options)
	TuneEntry func(*frontend.Options)
	// NoRetries empties the retry budget.
	NoRetries bool
}

// Lab is one run.
type Lab struct {
	Options
	*virtualtime.Clock
	Entries []*Entry
	Hosts   []*Host
	// Intercept may change the fate of a message; nil lets all pass.
	Intercept func(m Message) MessageFault

	// FreezeReports keeps load reports from the entries.
	FreezeReports bool

	random        *rand.Rand
	cuts          map[link]bool
	MessageCounts map[string]int
}

type link struct{ from, to string }

// Message is one message under way.
type Message struct {
	Kind     string
	From, To string
}

// MessageFault is what becomes of a message.
type MessageFault struct {
	Drop      bool
	Duplicate bool
	Delay     time.Duration
}

// Epoch is the virtual time at which every lab starts.
var Epoch = time.Unix(1_700_000_000, 0)

// New starts all daemons of a snapshot. They need a second of virtual time to
// know each other.
func New(options Options) *Lab {
	l := &Lab{Options: options, Clock: virtualtime.NewClock(Epoch), random: rand.New(rand.NewPCG(options.Seed, 7)), cuts: map[link]bool{}, MessageCounts: map[string]int{}}
	for _, name := range sortedKeys(options.Snapshot.Servers) {
		l.Hosts = append(l.Hosts, newHost(l, name))
	}
	for _, name := range sortedKeys(options.Snapshot.Entries) {
		l.Entries = append(l.Entries, newEntry(l, name))
	}
	return l
}

// Partition drops all messages from one daemon to another until Heal.
func (l *Lab) Partition(from, to string) { l.cuts[link{from, to}] = true }

// HealPartitions ends all cuts.
func (l *Lab) HealPartitions() { clear(l.cuts) }

// Host returns a host daemon by its server's name.
func (l *Lab) Host(name string) *Host {
	for _, h := range l.Hosts {
		if h.Name == name {
			return h
		}
	}
	panic(fmt.Sprintf("no host %q", name))
}

// process is the part of a daemon that can die or be frozen.
type process struct {
	alive  bool
	frozen bool
	held   []func() // what reached it while frozen
}

// reach runs something in a process: at once, after it wakes, or never.
func (p *process) reach(run func()) bool {
	switch {
	case !p.alive:
		return false
	case p.frozen:
		p.held = append(p.held, run)
	default:
		run()
	}
	return true
}

// wake runs what was held back.
func (p *process) wake() {
	p.frozen = false
	held := p.held
	p.held = nil
	for _, run := range held {
		p.reach(run)
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

// send carries a message. refused is called if nobody listens at its end; it may
// be nil.
func (l *Lab) send(m Message, deliver, refused func()) {
	l.MessageCounts[m.Kind]++
	fate := MessageFault{}
	if l.Intercept != nil {
		fate = l.Intercept(m)
	}
	copies := 1
	if fate.Duplicate {
		copies = 2
	}
	if fate.Drop {
		return
	}
	for range copies {
		l.After(l.Delay+fate.Delay, func() {
			if l.cuts[link{m.From, m.To}] {
				return
			}
			if !l.processOf(m.To).reach(deliver) && refused != nil {
				l.After(l.Delay, refused)
			}
		})
	}
}

// call makes a unary call. done gets the reply once, or ok false if none came in
// time.
func (l *Lab) call(kind, from, to string, timeout time.Duration, serve func() any, done func(reply any, ok bool)) {
	over := false
	finish := func(reply any, ok bool) {
		if over {
			return
		}
		over = true
		done(reply, ok)
	}
	back := func(reply any, ok bool) {
		l.processOf(from).reach(func() { finish(reply, ok) })
	}
	l.send(Message{kind, from, to}, func() {
		reply := serve()
		l.send(Message{kind + " reply", to, from}, func() { finish(reply, true) }, nil)
	}, func() { back(nil, false) })
	l.After(timeout, func() { back(nil, false) })
}

// Alive says whether the daemon runs, frozen or not.
func (p *process) Alive() bool { return p.alive }

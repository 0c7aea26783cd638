// Package membership maintains a daemon's view of the fleet: which backend servers may be offered new work. The
// view is pure; its inputs are the platform's host list, the messages of servers and the time.
package membership

import (
	"maps"
	"slices"
	"time"

	"arbutusdeck/core/execution"
)

// State is the state of one server as the view knows it.
type State string

const (
	// Unknown: configured, but no message has been received yet.
	Unknown State = "unheard"
	// Live: it answered recently.
	Live State = "live"
	// Suspect: it failed repeatedly; it gets probes but no work until it answers.
	Suspect State = "suspect"
	// Draining: it, or the host list, has announced that it drains.
	Draining State = "leaving"
	// Removed: no longer configured.
	Removed State = "gone"
)

// Options are the bounds of a View.
type Options struct {
	// FailuresToSuspect is the number of consecutive failures after which a server is suspect.
	FailuresToSuspect int
	// ProbeBackoff is the first delay before a suspect server is probed again; it doubles up to MaxProbeBackoff.
	ProbeBackoff    time.Duration
	MaxProbeBackoff time.Duration
	// MaxShrinkShare is the share of the listed hosts that may be missing from a new list for it to be accepted.
	MaxShrinkShare float64
}

// DefaultOptions returns the bounds used when the settings name none.
func DefaultOptions() Options {
	return Options{FailuresToSuspect: 2, ProbeBackoff: 500 * time.Millisecond, MaxProbeBackoff: 15 * time.Second,
		MaxShrinkShare: 0.3}
}

// Change is one transition, for the audit trail.
type Change struct {
	Server string
	From   State
	To     State
	Reason string
}

type member struct {
	state            State
	incarnation      execution.Incarnation
	drained          map[execution.Incarnation]bool
	failures         int
	backoff          time.Duration
	retryAt          time.Time
	lastHeard        time.Time
	incarnationSince time.Time
	listed           bool
	listedDrainingAt time.Time
}

// View is the state of all configured servers.
type View struct {
	options Options
	members map[string]*member
	listed  int
}

// NewView returns an empty view.
func NewView(options Options) *View {
	return &View{options: options, members: map[string]*member{}}
}

// Configure replaces the set of configured servers.
func (v *View) Configure(now time.Time, servers []string) []Change {
	var changes []Change
	wanted := map[string]bool{}
	for _, name := range servers {
		wanted[name] = true
		if v.members[name] == nil {
			v.members[name] = &member{state: Unknown, incarnationSince: now, drained: map[execution.Incarnation]bool{}}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		if wanted[name] {
			continue
		}
		changes = append(changes, Change{Server: name, From: v.members[name].state, To: Removed, Reason: "left the configuration"})
		delete(v.members, name)
	}
	return changes
}

// Observe records direct evidence, a message from the server's daemon. It takes precedence over the host list.
func (v *View) Observe(now time.Time, server string, incarnation execution.Incarnation, draining bool) []Change {
	m := v.members[server]
	if m == nil || incarnation == "" {
		return nil
	}
	if m.drained[incarnation] && !draining {
		// A late message of an incarnation that has announced its stop must not make it live again.
		return nil
	}
	m.lastHeard = now
	if incarnation != m.incarnation {
		m.incarnation = incarnation
		m.incarnationSince = now
		m.listedDrainingAt = time.Time{}
	}
	if draining {
		m.drained[incarnation] = true
		return m.transition(server, Draining, "its daemon is stopping")
	}
	m.failures, m.backoff = 0, 0
	return m.transition(server, Live, "its daemon answered")
}

// RecordFailure records a failure to reach the server.
func (v *View) RecordFailure(now time.Time, server string) []Change {
	m := v.members[server]
	if m == nil {
		return nil
	}
	m.failures++
	if m.failures < v.options.FailuresToSuspect {
		return nil
	}
	if m.backoff == 0 {
		m.backoff = v.options.ProbeBackoff
	} else if !now.Before(m.retryAt) {
		m.backoff = min(m.backoff*2, v.options.MaxProbeBackoff)
	}
	m.retryAt = now.Add(m.backoff)
	if m.state == Draining {
		return nil
	}
	return m.transition(server, Suspect, "it can't be reached")
}

// ListedServer is one row of the platform's host list.
type ListedServer struct {
	Server   string
	Draining bool
}

// ApplyHostList applies the platform's host list, which lags. It is a hint: a missing server is only suspect, and
// a list that loses several hosts at once, more than MaxShrinkShare, is rejected, since a failure of the list is
// more likely than one of half the fleet.
func (v *View) ApplyHostList(now time.Time, rows []ListedServer) (changes []Change, accepted bool) {
	present := map[string]bool{}
	for _, row := range rows {
		if m := v.members[row.Server]; m != nil {
			present[row.Server] = true
			changes = append(changes, m.applyListed(now, row)...)
		}
	}
	missing := 0
	for name, m := range v.members {
		if m.listed && !present[name] {
			missing++
		}
	}
	if missing > 1 && float64(missing) > v.options.MaxShrinkShare*float64(v.listed) {
		return changes, false
	}
	v.listed = len(present)
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		if m.listed && !present[name] && now.Sub(m.lastHeard) > v.options.ProbeBackoff {
			changes = append(changes, m.markMissing(now, name, v.options)...)
		}
		m.listed = present[name]
	}
	return changes, true
}

// markMissing makes a server that is missing from the host list suspect.
func (m *member) markMissing(now time.Time, name string, options Options) []Change {
	if m.state == Draining {
		return nil
	}
	m.retryAt = now.Add(options.ProbeBackoff)
	return m.transition(name, Suspect, "it vanished from the host list")
}

// applyListed applies a draining notice at once, since a draining server must get no new work. Only another
// incarnation ends it.
func (m *member) applyListed(now time.Time, row ListedServer) []Change {
	if !row.Draining {
		return nil
	}
	if m.incarnation == "" {
		m.listedDrainingAt = now
		return m.transition(row.Server, Draining, "the host list says so")
	}
	if m.listedDrainingAt.IsZero() && now.Sub(m.incarnationSince) < HostListLag {
		// The lagging list may still mean the incarnation before this one.
		return nil
	}
	m.listedDrainingAt = now
	m.drained[m.incarnation] = true
	return m.transition(row.Server, Draining, "the host list says so")
}

// HostListLag bounds how far the host list lags behind a restarted server.
const HostListLag = 20 * time.Second

func (m *member) transition(server string, to State, why string) []Change {
	if m.state == to {
		return nil
	}
	change := Change{Server: server, From: m.state, To: to, Reason: why}
	m.state = to
	return []Change{change}
}

// ResetAfterPause makes every live server unknown, after this process was paused: each has to be heard again
// before it gets work. Draining servers stay so.
func (v *View) ResetAfterPause(now time.Time) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		if m.state == Live {
			m.retryAt = now
			changes = append(changes, m.transition(name, Unknown, "this process was paused")...)
		}
	}
	return changes
}

// Eligible reports whether new work may be offered to the server.
func (v *View) Eligible(server string) bool {
	m := v.members[server]
	if m == nil {
		return false
	}
	// An unknown server is probed first: without its incarnation every offer would be refused.
	return m.state == Live
}

// DueForProbe returns the servers to probe: unknown, suspect and draining ones whose backoff is over.
func (v *View) DueForProbe(now time.Time) []string {
	var due []string
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		waiting := now.Before(m.retryAt)
		if !waiting && (m.state == Suspect || m.state == Unknown || m.state == Draining) {
			due = append(due, name)
		}
	}
	return due
}

// RecordProbe records that a probe is under way, and schedules the next one.
func (v *View) RecordProbe(now time.Time, server string) {
	m := v.members[server]
	if m == nil {
		return
	}
	wait := max(m.backoff, v.options.ProbeBackoff)
	if m.state == Draining {
		// Only a new incarnation changes its state, so that probes may be rare.
		wait = v.options.MaxProbeBackoff / 3
	}
	m.retryAt = now.Add(wait)
}

// Incarnation returns the latest known incarnation of a server.
func (v *View) Incarnation(server string) execution.Incarnation {
	if m := v.members[server]; m != nil {
		return m.incarnation
	}
	return ""
}

// FirstObserved returns the time of the first message of the present incarnation.
func (v *View) FirstObserved(server string) time.Time {
	if m := v.members[server]; m != nil {
		return m.incarnationSince
	}
	return time.Time{}
}

// Member is one row of Members, for operators.
type Member struct {
	Server      string                `json:"server"`
	State       State                 `json:"state"`
	Incarnation execution.Incarnation `json:"incarnation,omitempty"`
	LastHeard   time.Time             `json:"heard"`
}

// Members returns the servers and their states, sorted by name.
func (v *View) Members() []Member {
	var rows []Member
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		rows = append(rows, Member{Server: name, State: m.state, Incarnation: m.incarnation, LastHeard: m.lastHeard})
	}
	return rows
}

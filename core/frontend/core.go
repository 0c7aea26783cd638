// Package frontend combines the entry's components (membership, routing, admission,
// retry budget) into one state machine. Core does no I/O and holds no authoritative
// state: its view of the fleet may be stale, and the host daemons decide on every
// offer.
package frontend

import (
	"math/rand/v2"
	"time"

	"arbutusdeck/core/admission"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/routing"
)

// Options configures a Core.
type Options struct {
	Routing    routing.Options
	Membership membership.Options
	Shares     admission.ShareOptions
	// Random samples the candidate servers of routing and the targets of probes.
	Random *rand.Rand
	// RetryRatio and RetryBurst bound retries; see execution.RetryBudget.
	RetryRatio float64
	RetryBurst int
}

// DefaultOptions returns the options of an entry in a zone.
func DefaultOptions(zone string, random *rand.Rand) Options {
	options := Options{
		Routing:    routing.DefaultOptions(),
		Membership: membership.DefaultOptions(),
		Shares:     admission.DefaultShareOptions(),
		Random:     random,
		RetryRatio: execution.DefaultRetryRatio,
		RetryBurst: execution.DefaultRetryBurst,
	}
	options.Routing.Zone = zone
	return options
}

// Core makes the decisions of one entry. It is not safe for concurrent use.
type Core struct {
	snapshot *config.Snapshot
	picker   *routing.Picker
	view     *membership.View
	shares   *admission.Shares
	budget   *execution.RetryBudget
	random   *rand.Rand
}

// New returns a Core without a configuration.
func New(options Options) *Core {
	return &Core{
		picker: routing.New(options.Routing),
		view:   membership.NewView(options.Membership),
		shares: admission.NewShares(options.Shares),
		budget: execution.NewRetryBudget(options.RetryRatio, options.RetryBurst),
		random: options.Random,
	}
}

// Configure applies a snapshot and returns the resulting changes of membership.
func (c *Core) Configure(now time.Time, snapshot *config.Snapshot) []membership.Change {
	c.snapshot = snapshot
	var names []string
	for name := range snapshot.Servers {
		names = append(names, name)
	}
	pools := poolSpecs(snapshot)
	for name, specs := range pools {
		c.picker.Configure(name, specs)
	}
	c.picker.Retain(func(pool string) bool { return pools[pool] != nil })
	c.shares.Configure(len(snapshot.Entries), func(workspace string) bool {
		_, ok := snapshot.Workspaces[workspace]
		return ok
	})
	return c.view.Configure(now, names)
}

// ObserveServer records that a server has sent a message, with its incarnation and
// whether it is draining.
func (c *Core) ObserveServer(now time.Time, server string, incarnation execution.Incarnation, draining bool) []membership.Change {
	return c.view.Observe(now, server, incarnation, draining)
}

// ApplyHostList applies the platform's list of hosts. It returns false if the list
// is ignored as implausible because it shrank too much at once.
func (c *Core) ApplyHostList(now time.Time, rows []membership.ListedServer) ([]membership.Change, bool) {
	return c.view.ApplyHostList(now, rows)
}

// RecordFailure records that a server was unreachable or closed a connection early.
// pool may be empty.
func (c *Core) RecordFailure(now time.Time, server, pool string) []membership.Change {
	c.picker.RecordFailure(now, pool, server)
	return c.view.RecordFailure(now, server)
}

// ExpireAfterPause discards observations made before a pause of the process.
func (c *Core) ExpireAfterPause(now time.Time) []membership.Change {
	c.picker.DiscardReports()
	return c.view.ResetAfterPause(now)
}

// Incarnation returns the last known incarnation of a server.
func (c *Core) Incarnation(server string) execution.Incarnation { return c.view.Incarnation(server) }

// Admit charges a request to the workspace's quota. If the quota is exhausted it
// returns a refusal with the delay before a retry.
func (c *Core) Admit(now time.Time, workspace string, promptTokens int64) *execution.Refusal {
	w := c.snapshot.Workspaces[workspace]
	quota := admission.Quota{RequestsPerSecond: w.RequestsPerSecond, TokensPerSecond: w.TokensPerSecond}
	return c.shares.Admit(now, workspace, quota, promptTokens)
}

// CountRequest credits a request's first attempt to the retry budget.
func (c *Core) CountRequest() { c.budget.FirstAttempt() }

// TakeRetry takes a token from the retry budget and reports whether one was left.
func (c *Core) TakeRetry(now time.Time) bool { return c.budget.Take(now) }

// Pick chooses a server for a query. It returns false if no server is eligible.
func (c *Core) Pick(now time.Time, q routing.Query) (routing.Decision, execution.Target, bool) {
	q.Eligible, q.FirstSeen = c.view.Eligible, c.view.FirstObserved
	decision, ok := c.picker.Pick(now, q, c.random)
	return decision, execution.Target{Server: decision.Server, Incarnation: c.view.Incarnation(decision.Server)}, ok
}

// AttemptSent adds an attempt that is offered to a server to its load.
func (c *Core) AttemptSent(now time.Time, q routing.Query, server string) {
	c.picker.RecordSent(now, q.Pool, server, q)
}

// AttemptEnded removes an attempt that AttemptSent has added.
func (c *Core) AttemptEnded(q routing.Query, server string) { c.picker.RecordEnded(q.Pool, server) }

// ObserveLoad records a load report.
func (c *Core) ObserveLoad(pool, server string, report routing.Report) {
	c.picker.Observe(pool, server, report)
}

// OfferReply is a host daemon's reply to an offer.
type OfferReply struct {
	Verdict execution.Verdict
	Refusal *execution.Refusal
	// Report is nil if the reply carried no load.
	Report *routing.Report
	// DemandShare is the fraction of the workspace's demand at the host that came
	// through this entry.
	DemandShare float64
	// DemandKnown is false if the host observed too little demand to compute
	// DemandShare.
	DemandKnown bool
}

// HandleOfferReply records a reply to an offer. A server with a full queue is
// offered less work, but does not count as unhealthy.
func (c *Core) HandleOfferReply(now time.Time, q routing.Query, workspace, server string, reply OfferReply) {
	if reply.DemandKnown {
		c.shares.Hint(now, workspace, reply.DemandShare)
	}
	if reply.Report != nil {
		c.picker.Observe(q.Pool, server, *reply.Report)
	}
	if reply.Verdict == execution.Accepted {
		c.picker.RecordAccepted(q.Pool, server)
		return
	}
	c.picker.RecordEnded(q.Pool, server)
	if reply.Refusal != nil && reply.Refusal.Code == execution.CodeQueueFull {
		c.picker.RecordOverload(now, q.Pool, server, reply.Refusal.RetryAfter)
	}
}

// Probe is a server to probe and the hall whose load it has to report.
type Probe struct{ Server, Hall string }

// ProbesDue returns the probes to send now. With refresh, it adds a random live
// server, so that the load of idle servers does not become stale.
func (c *Core) ProbesDue(now time.Time, refresh bool) []Probe {
	if c.snapshot == nil {
		return nil
	}
	names := c.view.DueForProbe(now)
	if refresh {
		names = append(names, c.randomLive()...)
	}
	var probes []Probe
	for _, name := range names {
		probes = append(probes, Probe{name, c.randomHall(name)})
	}
	return probes
}

// ProbeStarted records that a probe was sent.
func (c *Core) ProbeStarted(now time.Time, server string) { c.view.RecordProbe(now, server) }

func (c *Core) randomLive() []string {
	var live []string
	for _, member := range c.view.Members() {
		if member.State == membership.Live {
			live = append(live, member.Server)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return []string{live[c.random.IntN(len(live))]}
}

// randomHall returns a random hall among those of the server's engines, or "".
func (c *Core) randomHall(server string) string {
	halls := c.snapshot.HallsOf(server)
	if len(halls) == 0 {
		return ""
	}
	return halls[c.random.IntN(len(halls))]
}

// HasLiveServer reports whether any server can be offered work.
func (c *Core) HasLiveServer() bool {
	for _, member := range c.view.Members() {
		if member.State == membership.Live {
			return true
		}
	}
	return false
}

// Members lists the known servers, for the status report.
func (c *Core) Members() []membership.Member { return c.view.Members() }

// Loads lists the last known or estimated load of every server, for the status
// report.
func (c *Core) Loads(now time.Time) []routing.ServerLoad { return c.picker.Loads(now) }

// QuotaUsage lists the use of the workspaces' quotas at this entry, for the status
// report.
func (c *Core) QuotaUsage(now time.Time) []admission.WorkspaceUsage { return c.shares.Usage(now) }

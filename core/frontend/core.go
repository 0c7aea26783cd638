// Package frontend joins the entry's slices (membership, routing, admission,
// retry budget) into its one decision core. Core is pure and holds nothing that
// matters: whatever it believes, the host daemons decide.
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

// Options are the parts of a Core.
type Options struct {
	Routing    routing.Options
	Membership membership.Options
	Shares     admission.ShareOptions
	// Random draws routing's candidates.
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

// Core decides for one entry. It is not safe for concurrent use.
type Core struct {
	snapshot *config.Snapshot
	picker   *routing.Picker
	view     *membership.View
	shares   *admission.Shares
	budget   *execution.RetryBudget
	random   *rand.Rand
}

// New returns a core without a configuration.
func New(options Options) *Core {
	return &Core{
		picker: routing.New(options.Routing),
		view:   membership.NewView(options.Membership),
		shares: admission.NewShares(options.Shares),
		budget: execution.NewRetryBudget(options.RetryRatio, options.RetryBurst),
		random: options.Random,
	}
}

// Configure brings a snapshot into force.
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

// ObserveServer takes in who has sent a message.
func (c *Core) ObserveServer(now time.Time, server string, incarnation execution.Incarnation, draining bool) []membership.Change {
	return c.view.Heard(now, server, incarnation, draining)
}

// ApplyHostList takes in the platform's list of hosts.
func (c *Core) ApplyHostList(now time.Time, rows []membership.Listed) ([]membership.Change, bool) {
	return c.view.ReadList(now, rows)
}

// RecordFailure takes in that a server could not be reached or broke off; pool may be
// empty.
func (c *Core) RecordFailure(now time.Time, server, pool string) []membership.Change {
	c.picker.Failed(now, pool, server)
	return c.view.Failed(now, server)
}

// ExpireAfterPause drops what was believed before the process was paused.
func (c *Core) ExpireAfterPause(now time.Time) []membership.Change {
	c.picker.Expire()
	return c.view.Expire(now)
}

// Incarnation returns the known incarnation of a server.
func (c *Core) Incarnation(server string) execution.Incarnation { return c.view.Incarnation(server) }

// Admit spends the workspace's quota, or says when to come back.
func (c *Core) Admit(now time.Time, workspace string, promptTokens int64) *execution.Refusal {
	w := c.snapshot.Workspaces[workspace]
	quota := admission.Quota{RequestsPerSecond: w.RequestsPerSecond, TokensPerSecond: w.TokensPerSecond}
	return c.shares.Admit(now, workspace, quota, promptTokens)
}

// CountRequest counts a request's first attempt in the retry budget.
func (c *Core) CountRequest() { c.budget.FirstAttempt() }

// TakeRetry takes a token of the retry budget.
func (c *Core) TakeRetry(now time.Time) bool { return c.budget.Take(now) }

// Pick chooses a server and counts the work that it is about to be offered.
func (c *Core) Pick(now time.Time, q routing.Query) (routing.Reason, execution.Target, bool) {
	q.Eligible, q.Since = c.view.Eligible, c.view.Since
	reason, ok := c.picker.Pick(now, q, c.random)
	return reason, execution.Target{Server: reason.Server, Incarnation: c.view.Incarnation(reason.Server)}, ok
}

// AttemptSent counts an attempt that is offered to a server.
func (c *Core) AttemptSent(now time.Time, q routing.Query, server string) {
	c.picker.Sent(now, q.Pool, server, q)
}

// AttemptEnded counts the end of an attempt that Sent has counted.
func (c *Core) AttemptEnded(q routing.Query, server string) { c.picker.Ended(q.Pool, server) }

// ObserveLoad takes in a load report.
func (c *Core) ObserveLoad(pool, server string, report routing.Report) {
	c.picker.Observe(pool, server, report)
}

// OfferReply is what a reply to an offer tells besides the verdict's meaning for the
// request.
type OfferReply struct {
	Verdict execution.Verdict
	Refusal *execution.Refusal
	// Report is nil if the reply held no load.
	Report *routing.Report
	// DemandShare is the host's hint on this entry's part of the demand.
	DemandShare float64
	// DemandKnown is false if the host could not tell.
	DemandKnown bool
}

// HandleOfferReply takes in a reply to an offer. A full server gets a slower pace; its
// health is not doubted for it.
func (c *Core) HandleOfferReply(now time.Time, q routing.Query, workspace, server string, answer OfferReply) {
	if answer.DemandKnown {
		c.shares.Hint(now, workspace, answer.DemandShare)
	}
	if answer.Report != nil {
		c.picker.Observe(q.Pool, server, *answer.Report)
	}
	if answer.Verdict == execution.Accepted {
		c.picker.Accepted(q.Pool, server)
		return
	}
	c.picker.Ended(q.Pool, server)
	if answer.Refusal != nil && answer.Refusal.Code == execution.CodeQueueFull {
		c.picker.Overloaded(now, q.Pool, server, answer.Refusal.RetryAfter)
	}
}

// Probe is a server to ask how it is, and the hall whose load to ask for.
type Probe struct{ Server, Hall string }

// ProbesDue returns the servers that should be asked now. With refresh, a random
// live one is among them, so that servers without work stay known.
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

// ProbeStarted notes that a probe is under way.
func (c *Core) ProbeStarted(now time.Time, server string) { c.view.Probing(now, server) }

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

// randomHall returns one hall that the server has engines of, or "".
func (c *Core) randomHall(server string) string {
	halls := c.snapshot.HallsOf(server)
	if len(halls) == 0 {
		return ""
	}
	return halls[c.random.IntN(len(halls))]
}

// HasLiveServer says whether any server may be offered work.
func (c *Core) HasLiveServer() bool {
	for _, member := range c.view.Members() {
		if member.State == membership.Live {
			return true
		}
	}
	return false
}

// Members, Loads and Uses are for operators.
func (c *Core) Members() []membership.Member { return c.view.Members() }

// Loads lists what is believed of every server's load.
func (c *Core) Loads(now time.Time) []routing.ServerLoad { return c.picker.Loads(now) }

// QuotaUsage lists how the workspaces' quotas are used here.
func (c *Core) QuotaUsage(now time.Time) []admission.Use { return c.shares.Uses(now) }

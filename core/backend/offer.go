package backend

import (
	"time"

	"arbutusdeck/core/admission"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/scheduling"
)

// Offer is an entry's offer with the parameters for admission and scheduling.
// Lengths are in tokens.
type Offer struct {
	execution.Offer
	// Entry is the name of the offering entry daemon.
	Entry        string
	Kind         string
	Hall         string
	Class        string
	PromptTokens int64
	AnswerTokens int64
	Deadline     time.Time
	// Group is the engine group that has to serve the prompt, or empty.
	Group string
}

// Pool returns the name of the pool that the offer is for.
func (o Offer) Pool() string {
	switch {
	case o.Service != "":
		return config.ServicePool(o.Service)
	case o.Group != "":
		return config.GroupPool(o.Hall)
	}
	return o.Hall
}

// Reply is the reply to an offer.
type Reply struct {
	execution.OfferResult
	Load scheduling.Load
	// DemandShare is the fraction of the workspace's recent demand at this server
	// that came through the offering entry.
	DemandShare float64
	// DemandKnown is false if too little demand was observed to compute
	// DemandShare.
	DemandKnown bool
}

// Offer accepts or refuses an offer.
func (c *Core) Offer(now time.Time, offer Offer) Reply {
	reply := Reply{OfferResult: c.decideOffer(now, offer)}
	reply.Load = c.Load(now, offer.Pool())
	reply.DemandShare, reply.DemandKnown = c.limits.Demand(now, offer.Workspace, offer.Entry)
	return reply
}

func (c *Core) decideOffer(now time.Time, offer Offer) execution.OfferResult {
	if c.snapshot == nil || !c.serving {
		return c.ledger.Offer(now, offer.Offer, func() *execution.Refusal {
			return &execution.Refusal{Code: execution.CodeRevisionBehind, Detail: "the daemon is starting", RetryAfter: time.Second}
		})
	}
	job := c.newJob(now, offer)
	result := c.ledger.Offer(now, offer.Offer, func() *execution.Refusal { return c.checkCapacity(now, offer, job) })
	if result.Verdict == execution.Accepted && c.attempts[offer.Attempt] == nil {
		c.limits.Opened(offer.Workspace)
		c.attempts[offer.Attempt] = &attempt{offer: offer, job: job}
	}
	return result
}

func (c *Core) newJob(now time.Time, offer Offer) scheduling.Job {
	job := scheduling.Job{
		Attempt: offer.Attempt, Workspace: offer.Workspace, Weight: c.snapshot.Workspaces[offer.Workspace].Weight, Hall: offer.Pool(),
		PromptTokens: offer.PromptTokens, AnswerTokens: offer.AnswerTokens, FirstTokenBy: offer.Deadline,
	}
	if offer.Service == "" {
		job.Class = offer.Class
		job.Rank = max(c.snapshot.ClassRank(offer.Class), 0)
		job.Isolated = c.snapshot.LengthClasses[offer.Class].Isolated
		job.FirstTokenBy = now.Add(c.snapshot.FirstTokenTarget(offer.Workspace, offer.Kind, offer.Class))
	}
	return job
}

// checkCapacity returns a refusal if an offer can't be admitted.
func (c *Core) checkCapacity(now time.Time, offer Offer, job scheduling.Job) *execution.Refusal {
	if offer.Group != "" {
		return c.checkGroupCapacity(now, offer, job)
	}
	if !c.scheduler.Fits(job) {
		return &execution.Refusal{Code: execution.CodeTooLong, Detail: "no engine here holds the prompt and its answer"}
	}
	predicted, ok := c.scheduler.PredictFirstToken(now, job)
	if !ok {
		return &execution.Refusal{Code: execution.CodeNoServer, Detail: "no engine of the hall is here"}
	}
	return c.checkLimits(now, offer, job, predicted, prefillTime(job.PromptTokens, c.scheduler.MeanPrefillRate(job.Hall)))
}

func (c *Core) checkLimits(now time.Time, offer Offer, job scheduling.Job, predicted, own time.Duration) *execution.Refusal {
	return c.limits.Check(now, admission.Offer{
		Workspace: offer.Workspace, Concurrency: c.snapshot.Workspaces[offer.Workspace].Concurrency,
		Deadline: offer.Deadline, Target: job.FirstTokenBy.Sub(now), Predicted: predicted, OwnPrefill: own, Waiting: c.scheduler.Waiting(),
	})
}

// prefillTime returns the time to prefill tokens at a rate in tokens per second.
func prefillTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / max(rate, 1) * float64(time.Second))
}

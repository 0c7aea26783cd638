package forwarding

import (
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/placement"
)

// Outage takes entries away for a time.
type Outage struct {
	From, For time.Duration
	// Entries is how many of them, from the first on; 0 for all.
	Entries int
	// Power says that they lose power: servers hear nothing of it and go on with their
	// work. Otherwise they are killed, and their connections end.
	PowerLoss bool
}

// Spell makes engines slow or takes them away for a time.
type EngineFault struct {
	From, For time.Duration
	// Engines is how many, from the first on.
	Engines int
	// Slow is the factor by which they are slower; 0 if they crash: their work is lost,
	// and they come back empty.
	Slowdown float64
}

func ms(duration time.Duration) float64 { return duration.Seconds() * 1000 }

// scheduleTrouble sets the times of the site's outages and spells.
func (s *simulation) scheduleFaults() {
	for _, outage := range s.deployment.Outages {
		count := outage.Entries
		if count == 0 {
			count = s.deployment.Entries
		}
		s.at(ms(outage.From), func() { s.stopEntries(count, outage.PowerLoss) })
		s.at(ms(outage.From+outage.For), func() { s.restartEntries(count) })
	}
	for _, fault := range s.deployment.EngineFaults {
		s.at(ms(fault.From), func() { s.startEngineFault(fault) })
		s.at(ms(fault.From+fault.For), func() { s.endEngineFault(fault) })
	}
}

// takeEntries ends the first entries. Callers whose answers break off come back at once.
func (s *simulation) stopEntries(count int, powerLoss bool) {
	for entry := range count {
		s.stoppedEntries[entry] = true
	}
	for _, r := range s.activeRequests() {
		if !s.stoppedEntries[r.entry] || r.waiting {
			continue
		}
		if !powerLoss {
			s.cancel(r)
		}
		if powerLoss && r.id != "" {
			s.orphans = append(s.orphans, orphan{r.id, r.choice, r.events > 0})
		}
		delete(s.jobs, r.id)
		r.id, r.written = "", r.events
		s.reconnect(r)
	}
}

// comeBack makes a caller come back whose connection broke.
func (s *simulation) reconnect(r *request) {
	if !s.mayRetry(r) {
		return
	}
	s.retryAfter(r, s.ties.Float64()*reconnectMs)
}

// running returns the requests that are not over.
func (s *simulation) activeRequests() []*request {
	kept := s.active[:0]
	for _, r := range s.active {
		if !r.done {
			kept = append(kept, r)
		}
	}
	s.active = kept
	return kept
}

// orphan is a try whose entry has lost power: its engines work on.
type orphan struct {
	id     string
	choice placement.Choice
	// writing says that events are sent: the first one that reaches the entry's next
	// start is answered with a reset, which ends the work. A read goes on to its end.
	writing bool
}

// endOrphans ends the work whose events reach a started entry.
func (s *simulation) endOrphans() {
	for _, o := range s.orphans {
		if o.writing {
			s.cancelAt(o.choice, o.id)
		}
	}
	s.orphans = nil
}

// returnEntries starts the first entries anew: they know of nothing, and the others learn
// that what those had begun is over.
func (s *simulation) restartEntries(count int) {
	for entry := range count {
		s.stoppedEntries[entry] = false
		options := s.options
		options.Zone = zoneName(entry % s.deployment.Zones)
		s.entries[entry] = placement.NewLoadTable(options)
	}
	s.endOrphans()
	for entry := range count {
		for other := count; other < s.deployment.Entries; other++ {
			s.entries[other].EndPeerDispatches(s.clock(), entryName(entry))
		}
	}
}

// beginSpell slows or crashes engines.
func (s *simulation) startEngineFault(fault EngineFault) {
	for _, server := range s.servers[:fault.Engines] {
		if fault.Slowdown > 0 {
			s.engines[server.ID].SetSlowdown(fault.Slowdown)
			continue
		}
		s.crashedEngines[server.ID] = true
		s.engines[server.ID] = enginemodel.NewBatcher(s.deployment.Engine)
		for _, r := range s.activeRequests() {
			if r.id != "" && r.choice.Server.ID == server.ID {
				s.entries[r.entry].RecordFailure(s.clock(), server.ID)
				s.retry(r, server.ID)
			}
		}
	}
}

func (s *simulation) endEngineFault(fault EngineFault) {
	for _, server := range s.servers[:fault.Engines] {
		s.engines[server.ID].SetSlowdown(1)
		s.crashedEngines[server.ID] = false
	}
}

// maxSends is how many servers a request is sent to at one entry.
const maxAttempts = 2

// again tries another server after one has failed.
func (s *simulation) retry(r *request, failed string) {
	s.cancel(r)
	s.endAttempt(r)
	r.written = r.events
	r.excluded = append(r.excluded, failed)
	r.failures++
	if r.attempts >= maxAttempts || r.failures >= maxFailures {
		s.reconnect(r)
		return
	}
	s.send(r)
}

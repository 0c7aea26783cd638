package forwarding

import (
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/placement"
)

// Outage stops entries for a time.
type Outage struct {
	From, For time.Duration
	// Entries counts the stopped entries, from the first on; 0 for all.
	Entries int
	// PowerLoss leaves the connections open: servers don't notice and go on with their work. Otherwise
	// the entries are killed and their connections close.
	PowerLoss bool
}

// EngineFault slows or crashes engines for a time.
type EngineFault struct {
	From, For time.Duration
	// Engines counts the affected engines, from the first on.
	Engines int
	// Slowdown is the factor by which they are slower; 0 for a crash, which loses their work and lets
	// them come back empty.
	Slowdown float64
}

func ms(duration time.Duration) float64 { return duration.Seconds() * 1000 }

// scheduleFaults schedules the outages and engine faults of the deployment.
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

// stopEntries stops the first entries. Callers whose responses break off reconnect at once.
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

// reconnect lets a caller whose connection broke send its request again.
func (s *simulation) reconnect(r *request) {
	if !s.mayRetry(r) {
		return
	}
	s.retryAfter(r, s.ties.Float64()*reconnectMs)
}

// activeRequests returns the requests that are not done.
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

// orphan is an attempt whose entry has lost power; its engines continue to work on it.
type orphan struct {
	id     string
	choice placement.Choice
	// writing marks an attempt that sends events: the first event that reaches the restarted entry is
	// answered by a reset, which ends the work. A prefill runs to its end.
	writing bool
}

// endOrphans cancels the attempts whose events reach a restarted entry.
func (s *simulation) endOrphans() {
	for _, o := range s.orphans {
		if o.writing {
			s.cancelAt(o.choice, o.id)
		}
	}
	s.orphans = nil
}

// restartEntries starts the first entries with empty load tables; the other entries learn that their
// dispatches have ended.
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

// startEngineFault slows or crashes engines.
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

// maxAttempts bounds the servers that one entry sends a request to.
const maxAttempts = 2

// retry sends a request to another server after one has failed.
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

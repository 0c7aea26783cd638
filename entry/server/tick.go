package server

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"arbutusdeck/core/frontend"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/wire"
)

const (
	// tickInterval is how often probes and pauses are looked at.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between ticks that counts as a pause.
	pauseLimit = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbes bounds the probes under way.
	maxProbes = 32
	// refreshTicks is the number of ticks between two probes of a random live
	// server, which keep a view of servers that get no work.
	refreshTicks = 10
	// firstRound is how long a starting entry waits for its first probes and for other entries.
	firstRound = 2 * time.Second
)

func (s *Server) tickLoop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	probes := semaphore.NewWeighted(maxProbes)
	configured := time.Time{}
	for count := 0; ; count++ {
		now := time.Now()
		if configured.IsZero() && s.Store.Current() != nil {
			configured = now
		}
		s.becomeReady(now, configured)
		s.lookForPause(now)
		s.probeDue(now, probes, count%refreshTicks == 0)
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// becomeReady serves once a configuration is confirmed, at least one server has answered and the
// other entries were asked what they refuse, or the time for both is over.
func (s *Server) becomeReady(now, configured time.Time) {
	if s.Manager().State() != lifecycle.Starting || configured.IsZero() || !s.ConfigLoop.Ready() {
		return
	}
	s.mu.Lock()
	live := s.core.HasLiveServer()
	s.mu.Unlock()
	if live && s.met.Load() || now.Sub(configured) > firstRound {
		s.Manager().Serve()
	}
}

// lookForPause drops what was believed before a pause: the load, the liveness of
// servers and the revision have all gone on without this process.
func (s *Server) lookForPause(now time.Time) {
	s.mu.Lock()
	gap := s.pause.Tick(now.Round(0))
	var changes []membership.Change
	if gap > 0 {
		changes = s.core.ExpireAfterPause(now)
	}
	s.mu.Unlock()
	if gap == 0 {
		return
	}
	s.ConfigLoop.Resync()
	s.auditMembers(changes, "process")
	s.AuditPause(gap)
}

func (s *Server) probeDue(now time.Time, probes *semaphore.Weighted, refresh bool) {
	s.mu.Lock()
	due := s.core.ProbesDue(now, refresh)
	s.mu.Unlock()
	for _, probe := range due {
		if !probes.TryAcquire(1) {
			return
		}
		s.mu.Lock()
		s.core.ProbeStarted(now, probe.Server)
		s.mu.Unlock()
		go func() {
			defer probes.Release(1)
			s.probe(probe)
		}()
	}
}

func (s *Server) probe(probe frontend.Probe) {
	address, ok := s.AddressOf(probe.Server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := s.Dialer.Host(address).Probe(ctx, &wire.ProbeRequest{Envelope: s.Envelope(), Hall: probe.Hall})
	if err != nil {
		s.failed(probe.Server, "")
		return
	}
	s.heard(reply.Envelope)
	if probe.Hall == "" || reply.Load == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ObserveLoad(probe.Hall, probe.Server, wire.ToReport(now, reply.Load, s.Store.Current().ClassRank))
}

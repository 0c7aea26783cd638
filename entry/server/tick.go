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
	// tickInterval is the interval of the checks for due probes and for process pauses.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between two ticks from which the process counts as paused.
	pauseLimit = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbes bounds the concurrent probes.
	maxProbes = 32
	// refreshTicks is the number of ticks between two probes of a random live server.
	// These keep the view of idle servers fresh.
	refreshTicks = 10
	// startupLimit bounds the wait of a starting entry for its first probes and for the
	// records of the other entries.
	startupLimit = 2 * time.Second
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
		s.serveWhenReady(now, configured)
		s.resetAfterPause(now)
		s.startProbes(now, probes, count%refreshTicks == 0)
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// serveWhenReady moves a starting entry to serving. It requires a confirmed configuration,
// and that at least one server has answered a probe and the other entries' quarantine records
// were requested, or that startupLimit has passed.
func (s *Server) serveWhenReady(now, configured time.Time) {
	if s.Manager().State() != lifecycle.Starting || configured.IsZero() || !s.ConfigLoop.Ready() {
		return
	}
	s.mu.Lock()
	live := s.core.HasLiveServer()
	s.mu.Unlock()
	if live && s.exchangedAtStart.Load() || now.Sub(configured) > startupLimit {
		s.Manager().Serve()
	}
}

// resetAfterPause resets the known loads, the liveness of servers and the confirmed revision
// after the process was paused: all of them may have changed meanwhile.
func (s *Server) resetAfterPause(now time.Time) {
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
	s.auditMembership(changes, "process")
	s.AuditPause(gap)
}

func (s *Server) startProbes(now time.Time, probes *semaphore.Weighted, refresh bool) {
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
		s.recordFailure(probe.Server, "")
		return
	}
	s.observeEnvelope(reply.Envelope)
	if probe.Hall == "" || reply.Load == nil {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.ObserveLoad(probe.Hall, probe.Server, wire.ToReport(now, reply.Load, s.Store.Current().ClassRank))
}

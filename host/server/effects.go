package server

import (
	"context"
	"time"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/backend"
	"arbutusdeck/core/wire"
	"arbutusdeck/host/engine"
)

const (
	// controlTimeout bounds one control request to an engine.
	controlTimeout = 2 * time.Second
	// partTimeout bounds one request for a part of a group reservation.
	partTimeout = 2 * time.Second
)

// executeEffects executes the core's effects. The lock must not be held.
func (s *Server) executeEffects(effects []backend.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case backend.StartRun:
			s.startRun(e)
		case backend.StopRun:
			s.stopRun(e.Attempt)
		case backend.CloseStream:
			s.closeStream(e)
		case backend.Pause:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error { return c.Pause(ctx, string(e.Attempt)) })
		case backend.Resume:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error { return c.Resume(ctx, string(e.Attempt)) })
		case backend.SetPriority:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error {
				return c.SetPriority(ctx, string(e.Attempt), e.Priority)
			})
		case backend.RequestPart:
			go s.requestPart(e)
		case backend.ReleasePart:
			go s.releasePart(e)
		case backend.CancelOrphan:
			s.cancelOrphan(e)
		case backend.LeaseExpired:
			s.counters.expired.Inc(1)
			s.auditMemory(e.Lease.Engine+" "+e.Lease.Owner, "the lease ran out")
		}
	}
}

// control sends a control request to an engine in the background. A failed
// request is not retried: pause, resume and priority only affect the order of
// work, and a stream that survives a failed cancel is later found as an orphan.
func (s *Server) control(name string, call func(ctx context.Context, e *engine.Client) error) {
	client := s.engines[name]
	if client == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		if err := call(ctx, client); err != nil {
			s.Log.WithError(err).WithField("engine", name).Warn("engine control request failed")
		}
	}()
}

func (s *Server) cancelOrphan(e backend.CancelOrphan) {
	s.counters.orphans.Inc(1)
	s.auditMemory(e.Stream.Engine+" "+e.Stream.ID, "a stream that no living daemon owns")
	s.control(e.Stream.Engine, func(ctx context.Context, c *engine.Client) error { return c.Cancel(ctx, e.Stream.ID) })
}

func (s *Server) auditMemory(subject, reason string) {
	s.Audit(audit.Event{Area: audit.Memory, Subject: subject, From: "held", To: "freed", Reason: reason, Source: "host"})
}

func (s *Server) requestPart(request backend.RequestPart) {
	granted := s.reservePart(request)
	s.mu.Lock()
	effects := s.core.PartReplied(time.Now(), request, granted)
	s.mu.Unlock()
	s.executeEffects(effects)
}

func (s *Server) reservePart(request backend.RequestPart) bool {
	if request.Part.Server == s.Name() {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.ReservePart(time.Now(), request.Reservation, request.Part, request.Expires) == nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	reply, err := s.hostClient(request.Part.Server).Reserve(ctx, &wire.ReserveRequest{Envelope: s.Envelope(), Reservation: request.Reservation,
		Engine: request.Part.Engine, Tokens: request.Part.Tokens, ExpiresUnixMs: request.Expires.UnixMilli()})
	return err == nil && reply.Granted
}

func (s *Server) hostClient(server string) wire.HostDaemon {
	return s.Dialer.Host(s.Store.Current().Servers[server].Address)
}

// releasePart releases one part of a group reservation, here or at another
// host. If the release is lost, the part's lease expires.
func (s *Server) releasePart(e backend.ReleasePart) {
	if e.Part.Server == s.Name() {
		s.mu.Lock()
		effects := s.core.ReleasePart(time.Now(), e.Reservation)
		s.mu.Unlock()
		s.executeEffects(effects)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	_, err := s.hostClient(e.Part.Server).Release(ctx, &wire.ReleaseRequest{Envelope: s.Envelope(), Reservation: e.Reservation})
	if err != nil {
		s.Log.WithError(err).WithField("server", e.Part.Server).Warn("release of a reservation part failed; its lease will expire")
	}
}

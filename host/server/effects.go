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
	// controlTimeout bounds one control call to an engine.
	controlTimeout = 2 * time.Second
	// partTimeout bounds one call for a part of a group reservation.
	partTimeout = 2 * time.Second
)

// carryOut does what the core decided. It is called without the lock.
func (s *Server) carryOut(effects []backend.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case backend.StartRun:
			s.start(e)
		case backend.StopRun:
			s.stopRun(e.Attempt)
		case backend.CloseStream:
			s.ended(e)
		case backend.Pause:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error { return c.Pause(ctx, string(e.Attempt)) })
		case backend.Resume:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error { return c.Resume(ctx, string(e.Attempt)) })
		case backend.SetPriority:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error {
				return c.SetPriority(ctx, string(e.Attempt), e.Priority)
			})
		case backend.RequestPart:
			go s.askPart(e)
		case backend.ReleasePart:
			go s.giveBackPart(e)
		case backend.CancelOrphan:
			s.cancelOrphan(e)
		case backend.LeaseExpired:
			s.counters.expired.Inc(1)
			s.auditMemory(e.Lease.Engine+" "+e.Lease.Owner, "the lease ran out")
		}
	}
}

// control calls an engine in the background. A call that fails is not repeated:
// pause, resume and priority only shape the order of work, and what a cancel
// leaves behind is found as an orphan.
func (s *Server) control(name string, call func(ctx context.Context, e *engine.Client) error) {
	client := s.engines[name]
	if client == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		if err := call(ctx, client); err != nil {
			s.Log.WithError(err).WithField("engine", name).Warn("a control call to the engine failed")
		}
	}()
}

func (s *Server) cancelOrphan(e backend.CancelOrphan) {
	s.counters.orphans.Inc(1)
	s.auditMemory(e.Stream.Engine+" "+e.Stream.ID, "a stream that no living daemon owns")
	s.control(e.Stream.Engine, func(ctx context.Context, c *engine.Client) error { return c.Cancel(ctx, e.Stream.ID) })
}

func (s *Server) auditMemory(subject, why string) {
	s.Audit(audit.Event{Area: audit.Memory, Subject: subject, From: "held", To: "freed", Reason: why, Source: "host"})
}

func (s *Server) askPart(ask backend.RequestPart) {
	granted := s.reservePart(ask)
	s.mu.Lock()
	effects := s.core.PartReplied(time.Now(), ask, granted)
	s.mu.Unlock()
	s.carryOut(effects)
}

func (s *Server) reservePart(ask backend.RequestPart) bool {
	if ask.Part.Server == s.Name() {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.ReservePart(time.Now(), ask.Reservation, ask.Part, ask.Expires) == nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	reply, err := s.member(ask.Part.Server).Reserve(ctx, &wire.ReserveRequest{Envelope: s.Envelope(), Reservation: ask.Reservation,
		Engine: ask.Part.Engine, Tokens: ask.Part.Tokens, ExpiresUnixMs: ask.Expires.UnixMilli()})
	return err == nil && reply.Granted
}

func (s *Server) member(server string) wire.HostDaemon {
	return s.Dialer.Host(s.Store.Current().Servers[server].Address)
}

// giveBackPart releases a part. A release that is lost is made good by the end
// of the part's lease.
func (s *Server) giveBackPart(e backend.ReleasePart) {
	if e.Part.Server == s.Name() {
		s.mu.Lock()
		effects := s.core.ReleasePart(time.Now(), e.Reservation)
		s.mu.Unlock()
		s.carryOut(effects)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	_, err := s.member(e.Part.Server).Release(ctx, &wire.ReleaseRequest{Envelope: s.Envelope(), Reservation: e.Reservation})
	if err != nil {
		s.Log.WithError(err).WithField("server", e.Part.Server).Warn("a part's release was lost; its lease will end")
	}
}

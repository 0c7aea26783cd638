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

// carryOut executes the core's effects. The lock must not be held.
func (s *Server) carryOut(effects []backend.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case backend.Start:
			s.start(e)
		case backend.StopRun:
			s.stopRun(e.Attempt)
		case backend.Ended:
			s.ended(e)
		case backend.Pause:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error { return c.Pause(ctx, string(e.Attempt)) })
		case backend.Resume:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error { return c.Resume(ctx, string(e.Attempt)) })
		case backend.SetPriority:
			s.control(e.Engine, func(ctx context.Context, c *engine.Client) error {
				return c.SetPriority(ctx, string(e.Attempt), e.Priority)
			})
		case backend.AskPart:
			go s.askPart(e)
		case backend.GiveBackPart:
			go s.giveBackPart(e)
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

func (s *Server) auditMemory(subject, why string) {
	s.Audit(audit.Event{Area: audit.Memory, Subject: subject, From: "held", To: "freed", Why: why, Source: "host"})
}

func (s *Server) askPart(ask backend.AskPart) {
	granted := s.reservePart(ask)
	s.mu.Lock()
	effects := s.core.PartAnswered(time.Now(), ask, granted)
	s.mu.Unlock()
	s.carryOut(effects)
}

func (s *Server) reservePart(ask backend.AskPart) bool {
	if ask.Part.Server == s.Name() {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.core.HoldPart(time.Now(), ask.Reservation, ask.Part, ask.Expires) == nil
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

// giveBackPart releases one part of a group reservation, here or at another
// host. If the release is lost, the part's lease expires.
func (s *Server) giveBackPart(e backend.GiveBackPart) {
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
		s.Log.WithError(err).WithField("server", e.Part.Server).Warn("release of a reservation part failed; its lease will expire")
	}
}

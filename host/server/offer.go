package server

import (
	"context"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/wire"
)

// hostService implements the unary RPCs for other daemons.
type hostService struct{ s *Server }

// Offer accepts or refuses an attempt; see backend.Core.
func (h hostService) Offer(_ context.Context, m *wire.OfferRequest) (*wire.OfferReply, error) {
	s := h.s
	s.ObserveEnvelope(m.Envelope)
	s.counters.offers.Inc(1)
	now := time.Now()
	offer := offerOf(m)
	s.mu.Lock()
	reply := s.core.Offer(now, offer)
	if reply.Verdict == execution.Accepted && s.runs[offer.Attempt] == nil {
		s.runs[offer.Attempt] = newRun(offer)
		s.Manager().Join()
	}
	s.mu.Unlock()
	if reply.Verdict != execution.Accepted {
		s.counters.refused.Inc(1)
	}
	message := wire.FromResult(reply.OfferResult)
	message.Envelope, message.Load = s.Envelope(), wire.FromLoad(now, reply.Load)
	message.DemandShare, message.DemandKnown = reply.DemandShare, reply.DemandKnown
	return message, nil
}

func offerOf(m *wire.OfferRequest) backend.Offer {
	return backend.Offer{
		Offer: wire.ToOffer(m), Entry: m.GetEnvelope().GetSender(), Kind: m.Kind, Hall: m.Hall, Class: m.LengthClass,
		PromptTokens: m.PromptTokens, AnswerTokens: m.AnswerTokens, Deadline: time.UnixMilli(m.DeadlineUnixMs), Group: m.Group,
	}
}

// Cancel stops an attempt and returns its outcome. NotRun leaves a tombstone,
// so that the attempt can't start later.
func (h hostService) Cancel(_ context.Context, m *wire.CancelRequest) (*wire.CancelReply, error) {
	s := h.s
	s.ObserveEnvelope(m.Envelope)
	s.counters.cancelled.Inc(1)
	s.mu.Lock()
	outcome, effects := s.core.Cancel(time.Now(), wire.ToCancel(m))
	s.mu.Unlock()
	s.executeEffects(effects)
	return &wire.CancelReply{Envelope: s.Envelope(), Outcome: wire.ToOutcome(outcome)}, nil
}

// Probe returns the load of a hall, or of the whole server.
func (h hostService) Probe(_ context.Context, m *wire.ProbeRequest) (*wire.ProbeReply, error) {
	s := h.s
	s.ObserveEnvelope(m.Envelope)
	return &wire.ProbeReply{Envelope: s.Envelope(), Load: s.load(m.Hall)}, nil
}

func (s *Server) load(pool string) *wire.Load {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.FromLoad(now, s.core.Load(now, pool))
}

// Reserve leases memory of one engine to a group reservation.
func (h hostService) Reserve(_ context.Context, m *wire.ReserveRequest) (*wire.ReserveReply, error) {
	s := h.s
	s.ObserveEnvelope(m.Envelope)
	reply := &wire.ReserveReply{Envelope: s.Envelope()}
	if s.Manager().State() != lifecycle.Serving {
		reply.Code = string(execution.CodeDraining)
		return reply, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.core.ReservePart(time.Now(), m.Reservation, memory.Part{Engine: m.Engine, Tokens: m.Tokens}, time.UnixMilli(m.ExpiresUnixMs))
	reply.Granted = err == nil
	if err != nil {
		reply.Code = string(execution.CodeQueueFull)
	}
	return reply, nil
}

// Release frees the part of a group reservation that this host holds.
func (h hostService) Release(_ context.Context, m *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	s := h.s
	s.ObserveEnvelope(m.Envelope)
	s.mu.Lock()
	effects := s.core.ReleasePart(time.Now(), m.Reservation)
	s.mu.Unlock()
	s.executeEffects(effects)
	return &wire.ReleaseReply{Envelope: s.Envelope()}, nil
}

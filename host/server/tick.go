package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/orders"
	"arbutusdeck/host/engine"
)

const (
	// tickInterval is the period of checks for expired leases and time slices.
	tickInterval = 25 * time.Millisecond
	// pauseLimit is the gap between ticks from which the process counts as
	// having been paused.
	pauseLimit = 2 * time.Second
	// observeInterval is the polling period for engine states.
	observeInterval = time.Second
)

func (s *Server) tickLoop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick(time.Now())
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// tick advances the core. It checks for a pause of the process first: after one,
// everything that the process knew is stale and must not be acted on.
func (s *Server) tick(now time.Time) {
	if s.Manager().State() == lifecycle.Starting && s.Store.Current() != nil && s.ConfigLoop.Ready() {
		s.Manager().Serve()
	}
	s.mu.Lock()
	gap := s.pauseDetector.Tick(now.Round(0))
	if gap > 0 {
		s.core.ExpireAfterPause(now)
	}
	effects := s.core.Tick(now)
	s.mu.Unlock()
	if gap > 0 {
		s.ConfigLoop.Resync()
		s.AuditPause(gap)
	}
	s.executeEffects(effects)
}

// abortLoop aborts all attempts once a graceful shutdown has reached its time limit.
func (s *Server) abortLoop() error {
	select {
	case <-s.Manager().Aborting().Done():
	case <-s.tomb.Dying():
		return nil
	}
	s.mu.Lock()
	effects := s.core.Shutdown(time.Now())
	s.mu.Unlock()
	s.executeEffects(effects)
	return nil
}

// engineLoop polls the engines, cancels orphaned streams and sends due orders.
func (s *Server) engineLoop() error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		for name, client := range s.engines {
			s.observe(name, client)
		}
		s.sendOrders(time.Now())
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
	}
}

func (s *Server) observe(name string, client *engine.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	requestedAt := time.Now()
	state, err := client.State(ctx)
	if err != nil {
		s.Log.WithError(err).WithField("engine", name).Warn("could not fetch the engine's state")
		return
	}
	s.mu.Lock()
	effects := s.core.ObserveEngine(requestedAt, name, state.Observation(), state.EngineStreams(name))
	s.mu.Unlock()
	s.executeEffects(effects)
	s.reports.fetch(ctx, name, client)
}

func (s *Server) sendOrders(now time.Time) {
	s.mu.Lock()
	due := s.core.OrdersDue(now)
	s.mu.Unlock()
	for _, order := range due {
		go s.sendOrder(order)
	}
}

func (s *Server) sendOrder(order orders.Order) {
	err := engine.ErrNotSent
	if client := s.engines[order.Engine]; client != nil {
		ctx, cancel := context.WithTimeout(context.Background(), s.options.Backend.Orders.MaxOrderDuration)
		err = client.Order(ctx, order)
		cancel()
	}
	s.mu.Lock()
	s.core.OrderEnded(time.Now(), order.Engine, orderResult(err), 0)
	s.mu.Unlock()
	event := audit.Event{Area: audit.Orders, Subject: order.Engine, To: order.Desired.String(),
		Reason: fmt.Sprintf("fencing number %d", order.Fence), Source: "configuration", Refused: err != nil}
	if err != nil {
		event.Reason += ": " + err.Error()
	}
	s.Audit(event)
}

func orderResult(err error) orders.Result {
	switch {
	case err == nil:
		return orders.Done
	case errors.Is(err, engine.ErrFenced):
		return orders.Fenced
	case errors.Is(err, engine.ErrThrottled):
		return orders.Throttled
	}
	return orders.OrderFailed
}

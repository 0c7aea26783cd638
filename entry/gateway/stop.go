package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/peering"
)

// beginStop keeps the daemon open for a while after the notice to stop: until the
// balancer has noticed, callers still connect here, and a closed port would cut
// them off.
func (s *Server) beginStop() {
	now := time.Now()
	s.stopping.Store(&now)
	s.manager.Join()
	time.AfterFunc(lingerAfterStop, func() {
		s.log.WithFields(logrus.Fields{"open": s.manager.Open() - 1}).Info("no new requests are taken")
		s.connections.closeIdle(time.Now(), 0)
		s.manager.End()
	})
}

// takesNew says whether a new request is taken.
func (s *Server) takesNew(now time.Time) bool {
	since := s.stopping.Load()
	return since == nil || now.Sub(*since) < lingerAfterStop
}

// elsewhereDelay is after how long a caller comes back that another entry can serve: at once,
// on a new connection.
const elsewhereDelay = 50 * time.Millisecond

// returnAfterStop is when a caller should come back that is refused because this entry stops.
// Where entries are restarted in turn faster than they drain, all of them may be stopping;
// a caller that comes back at once is refused again and has no try left.
func (s *Server) returnAfterStop(now time.Time) time.Duration {
	wait, known := s.peers.nextServing(now, s.StopLimit())
	if known && wait == 0 {
		return elsewhereDelay
	}
	own := peering.RestartTime + peering.BalancerDelay
	if since := s.stopping.Load(); since != nil {
		own += max(since.Add(s.StopLimit()).Sub(now), 0)
	}
	if !known || own < wait {
		wait = own
	}
	// Spread over a quarter of the time more: all come back to the same entry.
	return wait + time.Duration(s.random01()*float64(wait)/4)
}

// life is how long this entry still runs, once it stops and another entry serves; 0 otherwise. Where none
// does, an answer that may be cut off is better than none.
func (s *Server) life(now time.Time) time.Duration {
	since := s.stopping.Load()
	if since == nil {
		return 0
	}
	if wait, known := s.peers.nextServing(now, s.StopLimit()); !known || wait > 0 {
		return 0
	}
	return max(since.Add(s.StopLimit()).Sub(now), time.Nanosecond)
}

// StopLimit is how long a planned stop waits for open requests.
func (s *Server) StopLimit() time.Duration {
	return max(s.settings.StopLimit.D()-stopMargin, stopMargin)
}

// stopRefusal refuses a request because this entry stops.
func (e *exchange) stopRefusal() execution.Refusal {
	return execution.Refusal{Code: CodeStopping, Detail: "this entry is about to stop", RetryAfter: e.s.returnAfterStop(time.Now())}
}
